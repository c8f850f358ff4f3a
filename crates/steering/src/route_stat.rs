//! Statistics of a route that a host keeps between requests.

use crate::WeightedSplit;
use std::sync::atomic::{AtomicU64, Ordering};

/// Smoothed response time of a route and the split of its requests over services.
#[derive(Debug)]
pub struct RouteStat {
    /// Distributes requests over services.
    pub split: WeightedSplit,
    usual_us: AtomicU64,
}

/// Inverse weight of a new sample in the smoothed time.
const SMOOTHING: u64 = 16;

impl RouteStat {
    /// Creates statistics without samples; `seed` is the start of the split's sequence.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            split: WeightedSplit::new(seed),
            usual_us: AtomicU64::new(0),
        }
    }

    /// Records the time in microseconds of a successful response of a target at its usual speed.
    pub fn count(&self, took_us: u64) {
        let old = self.usual_us.load(Ordering::Relaxed);
        let new = if old == 0 {
            took_us
        } else {
            (old * (SMOOTHING - 1) + took_us) / SMOOTHING
        };
        self.usual_us.store(new.max(1), Ordering::Relaxed);
    }

    /// Returns the smoothed response time in microseconds, or `None` without samples.
    #[must_use]
    pub fn usual_us(&self) -> Option<u64> {
        let usual_us = self.usual_us.load(Ordering::Relaxed);
        (usual_us > 0).then_some(usual_us)
    }
}
