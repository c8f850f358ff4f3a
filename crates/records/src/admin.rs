//! Answers of the admin endpoints, shared by the daemon and the command line.
//!
//! The types say what the JSON bodies under `/heatherhinge/v1/` hold; `docs/design.md`, section 20.
//! They do no input or output. A body with fields that a reader does not know is still read, so
//! that hosts and command lines of neighbouring releases understand each other.

use crate::Record;
use heatherhinge_blackboard::{MoveState, OverheadCounts};
use heatherhinge_types::{Code, Name, WallMs};
use serde::{Deserialize, Serialize};

/// Path under which the admin endpoints are.
pub const ADMIN_PREFIX: &str = "/heatherhinge/v1";

/// Answer to `POST bundle` when the bundle was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleAccepted {
    /// Always [`Accepted::Accepted`].
    pub outcome: Accepted,
    /// Version of the accepted bundle.
    pub version: u64,
}

/// The only outcome that is not a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Accepted {
    /// The bundle was accepted.
    Accepted,
}

/// Body of every refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Number of the result code.
    pub code: u16,
    /// Whether the request ran: `no`, `unknown` or `yes`.
    pub ran: Name,
    /// One sentence for people.
    pub message: String,
    /// Name of the request in decision records.
    #[serde(default)]
    pub request_id: Option<Name>,
    /// Problems of a bundle, each with file, line and field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<String>,
}

impl ErrorBody {
    /// Makes the body of a refusal with this code.
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

/// Answer to `GET status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Name of the host that answers.
    pub host: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Phase: `starting`, `serving`, `leaving` or `draining`.
    pub phase: Name,
    /// Whether the host can tell that its bundle is the newest.
    pub is_fresh: bool,
    /// Version of the bundle in force; 0 before the first.
    pub bundle_version: u64,
    /// Digest of the envelope in force, as 32 hexadecimal digits; empty before the first.
    pub bundle_digest: Name,
    /// Entry hosts that the host knows, itself included.
    pub hosts: Vec<HostSummary>,
    /// Moves in force.
    pub moves: Vec<MoveSummary>,
    /// Availability zones.
    pub zones: Vec<ZoneSummary>,
    /// Number of partitions that the host owns.
    pub partitions_owned: u32,
    /// Costs since the start of the host.
    pub spend: OverheadCounts,
}

/// One entry host in a status answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSummary {
    /// Name.
    pub host: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers, which also serves the admin endpoints; absent if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_addr: Option<std::net::SocketAddr>,
    /// Whether the host was heard recently.
    pub live: bool,
    /// Version of the bundle in force on it, as last heard.
    pub bundle_version: u64,
    /// Whether callers may be sent to it.
    pub takes_callers: bool,
}

/// One move in a status answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveSummary {
    /// Name of the service.
    pub service: Name,
    /// Name of the move.
    pub id: Name,
    /// State.
    pub state: MoveState,
    /// Share of the new version on each route, in thousandths.
    pub share_permille: u32,
}

/// One availability zone in a status answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSummary {
    /// Name.
    pub zone: Name,
    /// Phase: `in`, `out` or `returning`.
    pub phase: Name,
}

/// Answer to `GET report`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportResponse {
    /// Reports on moves, in the order of time.
    pub moves: Vec<MoveReport>,
}

/// The report that a move is done, taken back or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveReport {
    /// Name of the service.
    pub service: Name,
    /// Name of the move.
    pub move_id: Name,
    /// [`MoveState::Done`], [`MoveState::TakenBack`] or [`MoveState::Late`].
    pub state: MoveState,
    /// When the state was reached, by the wall clock of the host that decided.
    pub at_wall_ms: WallMs,
    /// The counts that the decision was based on, as one sentence.
    pub evidence: String,
}

/// Answer to `GET explain/request/{id}` and `GET explain/move/{id}`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExplainResponse {
    /// The records found, in any order.
    pub records: Vec<Record>,
}
