//! Batches of records for upload to the object store.

use crate::Record;
use std::sync::Arc;

/// Largest number of records in a batch, which keeps an object to about 1 MB.
pub const BATCH_LIMIT_RECORDS: usize = 4_096;

/// Records that are written to the object store as one object.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Number of the batch within one run of the host, from 0. It is part of the object's name, so
    /// that a repeated upload after a lost response replaces the same object.
    pub sequence: u64,
    /// The records in the order of arrival.
    pub records: Arc<[Record]>,
}
