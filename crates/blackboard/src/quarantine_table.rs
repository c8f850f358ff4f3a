//! Lists the requests that are quarantined because they crashed targets.

use heatherhinge_types::{Digest, WallMs};
use std::collections::{BTreeMap, BTreeSet};

/// Digests of quarantined requests, each with the end of its quarantine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineTable {
    /// End of the quarantine by digest.
    pub until_wall_ms: BTreeMap<Digest, WallMs>,
    /// Digests for which this host reported a crash. The next success of such a request must be
    /// reported too, because it clears the crash count.
    pub suspects: BTreeSet<Digest>,
}

impl QuarantineTable {
    /// Returns whether requests with this digest are quarantined.
    #[must_use]
    pub fn is_quarantined(&self, digest: Digest, now_wall_ms: WallMs) -> bool {
        self.until_wall_ms
            .get(&digest)
            .is_some_and(|until| now_wall_ms < *until)
    }

    /// Returns whether a success of a request with this digest must be reported.
    #[must_use]
    pub fn is_suspect(&self, digest: Digest) -> bool {
        self.suspects.contains(&digest)
    }
}
