//! Defines the record that a host publishes about itself. Only that host writes it; its peers keep
//! copies in memory.

use crate::MoveState;
use heatherhinge_bundle::BundleVersion;
use heatherhinge_types::{Digest, Name, StartId, WallMs};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Orders the records of one host: a later start wins, then a later change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Wall time of the host's start in milliseconds, which identifies the run.
    pub incarnation: u64,
    /// Number of changes within the run.
    pub sequence: u64,
}

/// The published record of one host; `docs/design.md`, section 13.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host.
    pub host: Name,
    /// Orders the records of the same host.
    pub version: RecordVersion,
    /// Zone of the host.
    pub zone: Name,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address of the peer protocol.
    pub peer_addr: SocketAddr,
    /// Whether callers may be directed to the host.
    pub takes_callers: bool,
    /// The bundle in force on the host.
    pub bundle_version: BundleVersion,
    /// Age of the host's last contact with the store, directly or through peers, in milliseconds.
    /// The host sets it on its own record in each exchange response; it is meaningless in a record
    /// that came through another host.
    pub store_age_ms: u64,
    /// Epoch of its lease.
    pub lease_epoch: u64,
    /// End of its lease; 0 without one.
    pub lease_until_wall_ms: WallMs,
    /// Targets that the host, as their owner, announces as warm.
    pub warm: Vec<WarmTarget>,
    /// Counts of responses for the moves in progress.
    pub evidence: Vec<Evidence>,
    /// Verdicts on moves, including those received from other hosts, so that a new host gets them.
    pub verdicts: Vec<MoveVerdict>,
    /// Quarantined requests.
    pub quarantine: Vec<Quarantine>,
    /// Overhead since the start of the host.
    pub spend: OverheadCounts,
}

/// A target that its owner announces as warm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmTarget {
    /// Name of the target.
    pub target: Name,
    /// The run that is warm.
    pub start_id: StartId,
    /// The bundle that last brought the target's zone back, as known to the owner; 0 if the zone
    /// was never out. A host that has seen a later return ignores the announcement.
    pub zone_since: BundleVersion,
}

/// Responses of one version on one route since the move began, as counted by one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Name of the move.
    pub move_id: Name,
    /// Name of the route.
    pub route: Name,
    /// Whether the counts are of the new version.
    pub is_new: bool,
    /// Successful responses.
    pub good: u64,
    /// Failed responses.
    pub failed: u64,
    /// Successful responses slower than the old version's recent 95th percentile.
    pub slow: u64,
}

/// A verdict on the state and the share of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveVerdict {
    /// Name of the service.
    pub service: Name,
    /// Name of the move.
    pub move_id: Name,
    /// State of the move.
    pub state: MoveState,
    /// Share of the new version, in thousandths.
    pub share_permille: u32,
    /// Number that rises with each decision of the leader.
    pub step: u64,
}

/// A quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Digest of the request.
    pub digest: Digest,
    /// End of the quarantine.
    pub until_wall_ms: WallMs,
}

/// Counts of probes, retries and refusals since the start of the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverheadCounts {
    /// Active probes sent to targets.
    pub probes: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Requests refused.
    pub refusals: u64,
}
