//! Clocks that differ.

use heatherhinge_types::{MonoNs, Now, WallMs};
use rand::{Rng, RngExt};

/// True time 0 as wall time, so that clocks behind it stay positive.
const ORIGIN_WALL_MS: u64 = 1_000_000_000;

/// Clocks of one machine: a wall clock that is stepped now and then, and a monotonic clock with
/// its own rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    offset_ms: u64,
    error_ms: u64,
    rate_per_mille: u64,
}

impl Clock {
    pub(crate) fn new(error_ms: u64, rng: &mut impl Rng) -> Self {
        let mut clock = Self {
            offset_ms: error_ms,
            error_ms,
            rate_per_mille: rng.random_range(995..=1_005),
        };
        clock.set(rng);
        clock
    }

    /// Sets the wall clock anew within its error.
    pub(crate) fn set(&mut self, rng: &mut impl Rng) {
        self.offset_ms = rng.random_range(0..=2 * self.error_ms);
    }

    /// Reads both clocks at a true time.
    pub(crate) fn read(&self, true_ms: u64) -> Now {
        let wall_ms = ORIGIN_WALL_MS + true_ms + self.offset_ms - self.error_ms;
        Now {
            mono_ns: MonoNs(true_ms * self.rate_per_mille * 1_000),
            wall_ms: WallMs(wall_ms),
        }
    }
}
