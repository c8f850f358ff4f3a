//! Counts calls, to measure the load that heatherhinge puts on the platform.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};

/// Calls received by each service, rejected ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Read calls to the table service; each page of a scan is one.
    pub table_reads: u64,
    /// Write calls to the table service; each transaction is one.
    pub table_writes: u64,
    /// Read calls to the object store, list calls included.
    pub object_reads: u64,
    /// Write calls to the object store.
    pub object_writes: u64,
    /// Read calls to the host list.
    pub list_reads: u64,
    /// Registration calls to the host list.
    pub list_writes: u64,
}

/// Numbers of read and write calls to one service.
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

    /// Returns the number of read calls so far.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Returns the number of write calls so far.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }
}
