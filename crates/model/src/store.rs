//! The table service in memory.

use heatherhinge_controllers::{OwnershipRows, RowWrite, TransactionResult};

/// Rows of ownership, and whether the store answers.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) rows: OwnershipRows,
    pub(crate) down_until_ms: u64,
}

impl Store {
    pub(crate) fn is_down(&self, true_ms: u64) -> bool {
        true_ms < self.down_until_ms
    }

    /// Carries a transaction out if its conditions hold.
    pub(crate) fn write(&mut self, parts: Vec<RowWrite>) -> TransactionResult {
        if !self.rows.allow(&parts) {
            return TransactionResult::Conflict;
        }
        self.rows.apply(parts);
        TransactionResult::Applied
    }
}
