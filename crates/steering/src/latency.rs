//! Latency histogram with atomic counters.

use std::sync::atomic::{AtomicU64, Ordering};

/// Inclusive upper bounds of the buckets in milliseconds; one more bucket is unbounded.
pub const LATENCY_BOUNDS_MS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/// Histogram of latencies in milliseconds.
#[derive(Debug, Default)]
pub struct Latency {
    buckets: [AtomicU64; LATENCY_BOUNDS_MS.len() + 1],
    sum_ms: AtomicU64,
}

impl Latency {
    /// Records one latency in milliseconds.
    pub fn count(&self, ms: u64) {
        let index = LATENCY_BOUNDS_MS.partition_point(|bound| *bound < ms);
        self.buckets[index].fetch_add(1, Ordering::Relaxed);
        self.sum_ms.fetch_add(ms, Ordering::Relaxed);
    }

    /// Returns the counts of the buckets, the unbounded one last, and the sum of the latencies in
    /// milliseconds.
    #[must_use]
    pub fn read(&self) -> (Vec<u64>, u64) {
        let counts = self
            .buckets
            .iter()
            .map(|bucket| bucket.load(Ordering::Relaxed));
        (counts.collect(), self.sum_ms.load(Ordering::Relaxed))
    }
}
