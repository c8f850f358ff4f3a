//! What a host knew of both versions when a move changed its stage, for the log.

use crate::{MoveProgress, ShareCounts, Tally};

/// Sums of the counts of a move over the hosts that announced them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MoveEvidence {
    /// Responses of the versions before the move.
    pub current: Tally,
    /// Responses of the version that the move goes to.
    pub moving: Tally,
    /// Hosts with responses among those summed, this one included.
    pub hosts: usize,
    /// Age of the oldest counts, in milliseconds.
    pub oldest_ms: u64,
    /// How this host alone has split its requests.
    pub own_share: ShareCounts,
}

impl MoveEvidence {
    /// Sums this host's progress and that of its peers.
    #[must_use]
    pub fn new(own: &MoveProgress, peers: &[&MoveProgress], own_share: ShareCounts) -> Self {
        let mut evidence = Self {
            own_share,
            ..Self::default()
        };
        for progress in peers.iter().copied().chain([own]) {
            for route in &progress.routes {
                evidence.current += route.current;
                evidence.moving += route.moving;
            }
            if !progress.routes.is_empty() {
                evidence.hosts += 1;
                // Both times count from the order, so their difference is the age of the counts.
                let age_ms = own.elapsed_ms.saturating_sub(progress.elapsed_ms);
                evidence.oldest_ms = evidence.oldest_ms.max(age_ms);
            }
        }
        evidence
    }
}
