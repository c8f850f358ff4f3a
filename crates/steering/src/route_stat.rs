//! What a host remembers of a route between requests.

use crate::WeightedSplit;
use std::sync::atomic::{AtomicU64, Ordering};

/// Smoothed time of a route's answers and the sequence that shares its requests out.
#[derive(Debug)]
pub struct RouteStat {
    /// Shares requests out over services.
    pub split: WeightedSplit,
    usual_us: AtomicU64,
}

/// Part of a new sample in the smoothed time, as a divisor.
const SMOOTHING: u64 = 16;

impl RouteStat {
    /// Makes an empty memory; `seed` is the first place in the sequence.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            split: WeightedSplit::new(seed),
            usual_us: AtomicU64::new(0),
        }
    }

    /// Takes in the time of a good answer at a target that works at its usual speed.
    pub fn count(&self, took_us: u64) {
        let old = self.usual_us.load(Ordering::Relaxed);
        let new = if old == 0 {
            took_us
        } else {
            (old * (SMOOTHING - 1) + took_us) / SMOOTHING
        };
        self.usual_us.store(new.max(1), Ordering::Relaxed);
    }

    /// Returns the usual time of an answer in microseconds, if one is known.
    #[must_use]
    pub fn usual_us(&self) -> Option<u64> {
        let usual_us = self.usual_us.load(Ordering::Relaxed);
        (usual_us > 0).then_some(usual_us)
    }
}
