//! Simulates the wall clock and the monotonic clock of a host, with offset and drift.

use heatherhinge_types::{MonoNs, Now, WallMs};
use rand::{Rng, RngExt};

/// Wall time at true time 0; large enough that clocks behind it stay positive.
const ORIGIN_WALL_MS: u64 = 1_000_000_000;

/// Clocks of one host: a wall clock that is stepped at times, and a monotonic clock that drifts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// Offset of the wall clock plus `error_ms`, so that it is never negative.
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
        clock.step(rng);
        clock
    }

    /// Steps the wall clock to a random offset of at most its error.
    pub(crate) fn step(&mut self, rng: &mut impl Rng) {
        self.offset_ms = rng.random_range(0..=2 * self.error_ms);
    }

    /// Returns both clocks at a true time.
    pub(crate) fn read(&self, true_ms: u64) -> Now {
        let wall_ms = ORIGIN_WALL_MS + true_ms + self.offset_ms - self.error_ms;
        Now {
            mono_ns: MonoNs(true_ms * self.rate_per_mille * 1_000),
            wall_ms: WallMs(wall_ms),
        }
    }
}
