//! Holds the state of one running stand-in.

use crate::faults::FaultInjector;
use crate::{Counts, HostList, ObjectStore, ServiceCounts, Table};
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The data, faults and counters of one service.
#[derive(Debug, Default)]
pub(crate) struct Service<T> {
    data: Mutex<T>,
    pub(crate) faults: FaultInjector,
    pub(crate) counts: ServiceCounts,
}

impl<T> Service<T> {
    fn new(data: T) -> Self {
        Self {
            data: Mutex::new(data),
            faults: FaultInjector::default(),
            counts: ServiceCounts::default(),
        }
    }

    /// Locks the data, for the duration of one call.
    pub(crate) fn data(&self) -> MutexGuard<'_, T> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The state of all services of one stand-in.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) bucket: String,
    pub(crate) table: Service<Table>,
    pub(crate) objects: Service<ObjectStore>,
    pub(crate) list: Service<HostList>,
    pub(crate) list_lag_ms: AtomicU64,
}

impl State {
    pub(crate) fn new(table: &str, bucket: &str, list_lag_ms: u64) -> Self {
        Self {
            bucket: bucket.to_owned(),
            table: Service::new(Table::new(table)),
            objects: Service::new(ObjectStore::default()),
            list: Service::new(HostList::default()),
            list_lag_ms: AtomicU64::new(list_lag_ms),
        }
    }

    pub(crate) fn counts(&self) -> Counts {
        Counts {
            table_reads: self.table.counts.reads(),
            table_writes: self.table.counts.writes(),
            object_reads: self.objects.counts.reads(),
            object_writes: self.objects.counts.writes(),
            list_reads: self.list.counts.reads(),
            list_writes: self.list.counts.writes(),
        }
    }
}
