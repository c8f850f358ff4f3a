//! Defines monotonic and wall time as values that are passed in.

use serde::{Deserialize, Serialize};

/// Largest difference assumed between the wall clocks of two hosts, in milliseconds.
///
/// A lease holder stops this long before the end of its lease, and a new owner waits this long
/// after it. `docs/design.md`, section 6, describes which guarantees remain if the assumption does
/// not hold.
pub const CLOCK_ERROR_MS: u64 = 500;

/// Monotonic time in nanoseconds since a fixed origin of the process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoNs(pub u64);

impl MonoNs {
    /// Creates a time from milliseconds.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000_000))
    }

    /// Returns the time `ms` milliseconds later.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(1_000_000)))
    }

    /// Returns the time `ns` nanoseconds later.
    #[must_use]
    pub const fn plus_ns(self, ns: u64) -> Self {
        Self(self.0.saturating_add(ns))
    }

    /// Returns the time `ms` milliseconds earlier, or the origin if that would be before it.
    #[must_use]
    pub const fn minus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms.saturating_mul(1_000_000)))
    }

    /// Returns the whole milliseconds from `earlier` to this time, or 0 if it is later.
    #[must_use]
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0) / 1_000_000
    }

    /// Returns the nanoseconds from `earlier` to this time, or 0 if it is later.
    #[must_use]
    pub const fn ns_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Wall time in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallMs(pub u64);

impl WallMs {
    /// Returns the time `ms` milliseconds later.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the time `ms` milliseconds earlier, or the epoch if that would be before it.
    #[must_use]
    pub const fn minus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms))
    }

    /// Returns the milliseconds from `earlier` to this time, or 0 if it is later.
    #[must_use]
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Both clocks of a host at one moment, as read by the daemon or set by a test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time.
    pub mono_ns: MonoNs,
    /// Wall time.
    pub wall_ms: WallMs,
}

impl Now {
    /// Returns both clocks `ms` milliseconds later.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self {
            mono_ns: self.mono_ns.plus_ms(ms),
            wall_ms: self.wall_ms.plus_ms(ms),
        }
    }
}
