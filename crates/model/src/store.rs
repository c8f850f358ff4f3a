//! Simulates the store in memory.

use heatherhinge_controllers::{OwnershipRows, RowWrite, TransactionResult};

/// Rows of ownership, and when the store is down.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) rows: OwnershipRows,
    /// True time at which the last outage ends.
    pub(crate) down_until_ms: u64,
}

impl Store {
    pub(crate) fn is_down(&self, true_ms: u64) -> bool {
        true_ms < self.down_until_ms
    }

    /// Applies a transaction if its conditions hold.
    pub(crate) fn write(&mut self, parts: Vec<RowWrite>) -> TransactionResult {
        if !self.rows.allow(&parts) {
            return TransactionResult::Conflict;
        }
        self.rows.apply(parts);
        TransactionResult::Applied
    }
}
