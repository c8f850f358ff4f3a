//! The table service in memory.

use heatherhinge_controllers::{OwnershipRows, RowWrite, WriteResult};

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
    pub(crate) fn write(&mut self, parts: Vec<RowWrite>) -> WriteResult {
        if !self.rows.allow(&parts) {
            return WriteResult::Conflict;
        }
        self.rows.apply(parts);
        WriteResult::Applied
    }
}
