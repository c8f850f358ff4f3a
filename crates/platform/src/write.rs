//! Defines writes to the table and their conditions.

use crate::Item;

/// What must be true of the stored row for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No condition.
    Always,
    /// No row with the key exists.
    NotExists,
    /// The stored row has this version.
    Version(u64),
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Stores a row, replacing one with the same key.
    Put {
        /// The row.
        item: Item,
        /// Condition on the stored row.
        condition: Condition,
    },
    /// Deletes a row.
    Delete {
        /// Key of the row.
        pk: String,
        /// Condition on the stored row.
        condition: Condition,
    },
    /// Writes nothing, but its condition must hold for the transaction to take effect.
    Check {
        /// Key of the row.
        pk: String,
        /// Condition on the stored row.
        condition: Condition,
    },
}
