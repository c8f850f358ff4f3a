//! Reads the process clocks; the data path reads them nowhere else.

use heatherhinge_types::{MonoNs, Now, WallMs};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time at the start of the process, in milliseconds. What other hosts say of the time
/// before it, such as the age of a copy, must not be cut off at 0, which also means "never".
const ORIGIN_MS: u64 = 24 * 3_600 * 1_000;

/// The monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at one day.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Reads the monotonic clock.
    #[must_use]
    pub fn mono_ns(&self) -> MonoNs {
        let elapsed_ns = u64::try_from(self.origin.elapsed().as_nanos()).unwrap_or(u64::MAX);
        MonoNs::from_ms(ORIGIN_MS).plus_ns(elapsed_ns)
    }

    /// Reads both clocks.
    #[must_use]
    pub fn now(&self) -> Now {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Now {
            mono_ns: self.mono_ns(),
            wall_ms: WallMs(wall_ms),
        }
    }
}
