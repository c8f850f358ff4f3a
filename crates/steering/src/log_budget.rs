//! Bounds the log lines of requests.

use heatherhinge_types::MonoNs;
use std::sync::atomic::{AtomicU64, Ordering};

/// Lines a second for requests that were refused, failed, late or sent more than once.
const TROUBLE_PER_S: u64 = 40;
/// Lines a second for requests that went as usual.
const USUAL_PER_S: u64 = 4;
/// Seconds' worth of lines that may be written at once.
const BURST_S: u64 = 5;

/// Whether a line is about a request that went as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Refused, failed, late or sent more than once.
    Abnormal,
    /// As usual.
    Normal,
}

/// Lines that may be written. Those beyond the bound are dropped and counted.
#[derive(Debug, Default)]
pub struct LogBudget {
    trouble_at_ns: AtomicU64,
    usual_at_ns: AtomicU64,
    dropped: AtomicU64,
}

impl LogBudget {
    /// Takes one line out of the budget, or counts it as dropped.
    pub fn take(&self, kind: LineKind, now: MonoNs) -> bool {
        let (cell, per_s) = match kind {
            LineKind::Abnormal => (&self.trouble_at_ns, TROUBLE_PER_S),
            LineKind::Normal => (&self.usual_at_ns, USUAL_PER_S),
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

    /// Returns how many lines were dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
