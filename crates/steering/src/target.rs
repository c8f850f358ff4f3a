//! One target as the routing snapshot holds it.

use crate::TargetCell;
use heatherhinge_orders::TargetEntry;
use heatherhinge_types::Name;
use std::sync::Arc;

/// A registered target and what this host has seen of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// What the target says of itself.
    pub entry: Arc<TargetEntry>,
    /// Path of its health check.
    pub health_path: Name,
    /// Nanoseconds between requests that it bears while cold, for one host.
    pub cold_interval_ns: u64,
    /// Whether this host may send to it while it is cold.
    pub may_send_while_cold: bool,
    /// Hot state.
    pub cell: Arc<TargetCell>,
}

impl Target {
    /// Returns the id of the target.
    #[must_use]
    pub fn id(&self) -> &Name {
        &self.entry.id
    }
}
