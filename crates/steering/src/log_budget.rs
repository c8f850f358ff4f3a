//! Rate limit for the log lines of requests.

use heatherhinge_types::MonoNs;
use std::sync::atomic::{AtomicU64, Ordering};

/// Lines per second for requests that were refused, failed, late or sent more than once.
const ABNORMAL_LINES_PER_S: u64 = 40;
/// Lines per second for all other requests.
const NORMAL_LINES_PER_S: u64 = 4;
/// Largest burst, in seconds of the rate.
const BURST_S: u64 = 5;

/// Kind of request that a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Refused, failed, late or sent more than once.
    Abnormal,
    /// All others.
    Normal,
}

/// Rate limit of log lines for each kind. Lines beyond it are dropped and counted.
#[derive(Debug, Default)]
pub struct LogBudget {
    abnormal_at_ns: AtomicU64,
    normal_at_ns: AtomicU64,
    dropped: AtomicU64,
}

impl LogBudget {
    /// Returns whether a line may be written; counts it as dropped otherwise.
    pub fn take(&self, kind: LineKind, now: MonoNs) -> bool {
        let (cell, per_s) = match kind {
            LineKind::Abnormal => (&self.abnormal_at_ns, ABNORMAL_LINES_PER_S),
            LineKind::Normal => (&self.normal_at_ns, NORMAL_LINES_PER_S),
        };
        let interval_ns = 1_000_000_000 / per_s;
        let burst_ns = BURST_S * 1_000_000_000;
        let taken = cell
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |at| {
                let start = at.max(now.0.saturating_sub(burst_ns));
                (start + interval_ns <= now.0).then(|| start + interval_ns)
            })
            .is_ok();
        if !taken {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        taken
    }

    /// Returns how many lines were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
