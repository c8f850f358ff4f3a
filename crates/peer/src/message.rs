//! Defines the messages that belong to no decision crate.

use heatherhinge_types::{Digest, Name, StartId, WallMs};
use serde::{Deserialize, Serialize};

/// Reports to the owner of a request digest that a target crashed while it ran such a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCrashReport {
    /// The reporting host.
    pub from: Name,
    /// Number of the report, counted by the reporting host.
    pub number: u64,
    /// Digest of the request.
    pub digest: Digest,
    /// Name of the target.
    pub target: Name,
    /// The run of the target that ended, if known.
    pub start_id: Option<StartId>,
}

/// What the owner decided on a crash report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashReportResponse {
    /// The crash is counted; the request is not held back.
    Counted,
    /// Requests with the digest are held back.
    Quarantined {
        /// End of the quarantine in Unix milliseconds.
        until_wall_ms: WallMs,
    },
    /// The called host does not own the partition.
    NotOwner,
}

/// Reports to the owner of a target that the target was observed cold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerColdReport {
    /// Name of the target.
    pub target: Name,
    /// The run that ended or that refused a connection, if known.
    pub lost_run: Option<StartId>,
    /// The run that was observed instead, if a response named one.
    pub new_run: Option<StartId>,
}
