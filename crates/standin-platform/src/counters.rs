//! Counters of calls, for measuring what heatherhinge costs the platform.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};

/// Calls received by each service, refused ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of the table service; a scan page counts as one.
    pub table_reads: u64,
    /// Writes of the table service; a transaction counts as one.
    pub table_writes: u64,
    /// Reads of the object store, lists included.
    pub object_reads: u64,
    /// Writes of the object store.
    pub object_writes: u64,
    /// Reads of the host list.
    pub list_reads: u64,
    /// Registrations in the host list.
    pub list_writes: u64,
}

/// Reads and writes of one service.
#[derive(Debug, Default)]
pub struct ServiceCounts {
    reads: AtomicU64,
    writes: AtomicU64,
}

impl ServiceCounts {
    /// Counts one call.
    pub fn count(&self, is_write: bool) {
        let counter = if is_write { &self.writes } else { &self.reads };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the reads so far.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Returns the writes so far.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }
}
