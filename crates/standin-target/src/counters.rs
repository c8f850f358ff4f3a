//! Counts the requests and restarts of one target.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of one target, over all its restarts.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests received, without probes and admin calls.
    pub received: AtomicU64,
    /// Requests started.
    pub ran: AtomicU64,
    /// Requests rejected because the queue was full.
    pub shed: AtomicU64,
    /// Requests rejected because their deadline or not-after time passed before they started.
    pub expired: AtomicU64,
    /// Requests that ended with status 500.
    pub failed: AtomicU64,
    /// Probes on `/health`.
    pub probes: AtomicU64,
    /// Starts of the target after the first.
    pub restarts: AtomicU64,
    /// Maximum of in-flight requests while the target was cold.
    pub max_in_flight_cold: AtomicU64,
    /// Requests started above the capacity of a cold target.
    pub cold_overloads: AtomicU64,
}

/// A snapshot of [`Counters`], as returned by `GET /admin/counters`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterSnapshot {
    /// Requests received, without probes and admin calls.
    pub received: u64,
    /// Requests started.
    pub ran: u64,
    /// Requests rejected because the queue was full.
    pub shed: u64,
    /// Requests rejected because their deadline or not-after time passed before they started.
    pub expired: u64,
    /// Requests that ended with status 500.
    pub failed: u64,
    /// Probes on `/health`.
    pub probes: u64,
    /// Starts of the target after the first.
    pub restarts: u64,
    /// Maximum of in-flight requests while the target was cold.
    pub max_in_flight_cold: u64,
    /// Requests started above the capacity of a cold target.
    pub cold_overloads: u64,
}

impl Counters {
    /// Adds one to a counter.
    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current values. Each counter is read on its own.
    #[must_use]
    pub fn snapshot(&self) -> CounterSnapshot {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CounterSnapshot {
            received: read(&self.received),
            ran: read(&self.ran),
            shed: read(&self.shed),
            expired: read(&self.expired),
            failed: read(&self.failed),
            probes: read(&self.probes),
            restarts: read(&self.restarts),
            max_in_flight_cold: read(&self.max_in_flight_cold),
            cold_overloads: read(&self.cold_overloads),
        }
    }
}
