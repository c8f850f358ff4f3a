//! One target in the routing snapshot.

use crate::TargetCell;
use heatherhinge_orders::TargetEntry;
use heatherhinge_types::Name;
use std::sync::Arc;

/// A registered target with the state that this host keeps for it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Registration of the target.
    pub entry: Arc<TargetEntry>,
    /// Path of its health check.
    pub health_path: Name,
    /// Time between requests of one host to the target while it is cold, in nanoseconds.
    pub cold_interval_ns: u64,
    /// Whether this host may send to the target while it is cold.
    pub may_send_while_cold: bool,
    /// State that requests update.
    pub cell: Arc<TargetCell>,
}

impl Target {
    /// Returns the id of the target.
    #[must_use]
    pub fn id(&self) -> &Name {
        &self.entry.id
    }
}
