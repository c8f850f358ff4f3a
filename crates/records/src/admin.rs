//! JSON bodies of the responses under `/heatherhinge/v1/`, shared by the daemon and the command
//! line; `docs/design.md`, section 20.
//!
//! The types do no input or output. Unknown fields are ignored when a body is read, so that hosts
//! and command lines of neighbouring releases can read each other's responses.

use crate::Record;
use heatherhinge_blackboard::{MoveState, OverheadCounts};
use heatherhinge_types::{Code, Name, WallMs};
use serde::{Deserialize, Serialize};

/// Path prefix of the admin endpoints.
pub const ADMIN_PREFIX: &str = "/heatherhinge/v1";

/// Response to `POST bundle` when the bundle was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleAccepted {
    /// Always [`Accepted::Accepted`].
    pub outcome: Accepted,
    /// Version of the accepted bundle.
    pub version: u64,
}

/// The outcome of an accepted bundle; a refusal has an [`ErrorBody`] instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Accepted {
    /// The bundle was accepted.
    Accepted,
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Number of the result code.
    pub code: u16,
    /// Whether the request ran: `no`, `unknown` or `yes`.
    pub ran: Name,
    /// Human-readable message of one sentence.
    pub message: String,
    /// Id of the request in decision records.
    #[serde(default)]
    pub request_id: Option<Name>,
    /// Problems of a bundle, each with file, line and field; empty for other errors.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<String>,
}

impl ErrorBody {
    /// Returns the body for a result code, without problems.
    #[must_use]
    pub fn new(code: Code, request_id: Option<Name>) -> Self {
        Self {
            code: code.number(),
            ran: Name::new(code.ran().as_str()),
            message: code.text().to_owned(),
            request_id,
            problems: Vec::new(),
        }
    }
}

/// Response to `GET status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Name of the host that sends the response.
    pub host: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Phase: `starting`, `serving`, `leaving` or `draining`.
    pub phase: Name,
    /// Whether the host can confirm that its bundle is the newest.
    pub is_fresh: bool,
    /// Version of the bundle in force; 0 before the first.
    pub bundle_version: u64,
    /// Digest of the envelope in force, as 32 hexadecimal digits; empty before the first.
    pub bundle_digest: Name,
    /// Known entry hosts, including the host itself.
    pub hosts: Vec<HostSummary>,
    /// Moves in force.
    pub moves: Vec<MoveSummary>,
    /// Availability zones.
    pub zones: Vec<ZoneSummary>,
    /// Number of partitions that the host owns.
    pub partitions_owned: u32,
    /// Probes, retries and refusals since the start of the host.
    pub spend: OverheadCounts,
}

/// One entry host in a [`StatusResponse`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSummary {
    /// Name of the host.
    pub host: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers and the admin endpoints; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_addr: Option<std::net::SocketAddr>,
    /// Whether a message from the host arrived recently.
    pub live: bool,
    /// Version of the bundle in force on the host, as last reported.
    pub bundle_version: u64,
    /// Whether callers may be sent to it.
    pub takes_callers: bool,
}

/// One move in a [`StatusResponse`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveSummary {
    /// Name of the service.
    pub service: Name,
    /// Id of the move.
    pub id: Name,
    /// State of the move.
    pub state: MoveState,
    /// Share of the new version on each route, in thousandths.
    pub share_permille: u32,
}

/// One availability zone in a [`StatusResponse`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSummary {
    /// Name of the zone.
    pub zone: Name,
    /// Phase: `in`, `out` or `returning`.
    pub phase: Name,
}

/// Response to `GET report`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportResponse {
    /// Reports on moves, oldest first.
    pub moves: Vec<MoveReport>,
}

/// Report that a move is done, rolled back or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveReport {
    /// Name of the service.
    pub service: Name,
    /// Id of the move.
    pub move_id: Name,
    /// [`MoveState::Done`], [`MoveState::TakenBack`] or [`MoveState::Late`].
    pub state: MoveState,
    /// Time at which the state was reached, by the wall clock of the host that decided.
    pub at_wall_ms: WallMs,
    /// The counts that the decision was based on, as text.
    pub evidence: String,
}

/// Response to `GET explain/request/{id}` and `GET explain/move/{id}`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExplainResponse {
    /// The records found, in any order.
    pub records: Vec<Record>,
}
