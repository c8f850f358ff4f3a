//! Defines the tenure of a partition: the time during which one host owns it.

use heatherhinge_types::{CLOCK_ERROR_MS, MonoNs, Name, Now, WallMs};
use serde::{Deserialize, Serialize};

/// The owner's own tenure of a partition when it decides a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// End of the owner's lease by the wall clock, as written to the store.
    pub lease_until_wall_ms: WallMs,
    /// End of the owner's lease by its monotonic clock.
    pub lease_until_ns: MonoNs,
    /// Start of the tenure by the owner's wall clock.
    pub from_wall_ms: WallMs,
    /// Whether the claims of the previous tenure were adopted.
    pub has_earlier_claims: bool,
}

impl Tenure {
    /// Returns whether the lease is valid by both clocks for longer than the clock error.
    #[must_use]
    pub fn is_valid(&self, now: Now) -> bool {
        now.wall_ms.plus_ms(CLOCK_ERROR_MS) < self.lease_until_wall_ms
            && now.mono_ns.plus_ms(CLOCK_ERROR_MS) < self.lease_until_ns
    }

    /// Returns the time after which a request granted in this tenure must not start.
    #[must_use]
    pub fn not_after_wall_ms(&self) -> WallMs {
        self.lease_until_wall_ms.minus_ms(CLOCK_ERROR_MS)
    }
}

/// Identifies one tenure of one partition, so that claims handed over are adopted only by the
/// tenure that follows directly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenureId {
    /// The owner.
    pub host: Name,
    /// Epoch of the owner's lease.
    pub epoch: u64,
    /// Start of the tenure by the owner's wall clock.
    pub from_wall_ms: WallMs,
}
