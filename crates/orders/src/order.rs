//! Orders of operators and their keys.

use crate::RouteTable;
use heatherhinge_types::Name;

/// Subject of an order. A newer order with the same key replaces the older one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderKey {
    /// Routes and services.
    Routes,
    /// Move of a service to another version.
    Move(Name),
    /// Exclusion of a zone.
    ZoneOut(Name),
}

/// A request to move a service's traffic to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveOrder {
    /// Service to move.
    pub service: Name,
    /// Version to move to.
    pub to: Name,
    /// Time in which the move must end, in milliseconds from the order.
    pub duration_ms: u64,
}

/// A parsed and validated order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// The routes and services in force.
    Routes(RouteTable),
    /// A version move.
    Move(MoveOrder),
    /// Excluded zone: its targets receive no more requests.
    ZoneOut(Name),
}
