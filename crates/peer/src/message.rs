//! Messages that have no home in a decision crate.

use heatherhinge_types::{Digest, Name, StartId};
use serde::{Deserialize, Serialize};

/// Tells the owner of a request digest that a target crashed while it ran such a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Digest of the request.
    pub digest: Digest,
    /// Name of the target.
    pub target: Name,
    /// The run of the target that ended.
    pub start_id: StartId,
}

/// Tells the owner of a target that the target was seen cold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// Name of the target.
    pub target: Name,
    /// The run that was seen.
    pub start_id: StartId,
}
