//! One order of an operator.

use crate::RouteTable;
use heatherhinge_types::Name;

/// What an order is about. A newer order with the same key replaces the older one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderKey {
    /// Routes and services.
    Routes,
    /// Move of a service to another version.
    Move(Name),
    /// Zone taken out.
    ZoneOut(Name),
}

/// A request to move a service's traffic to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveOrder {
    /// Service to move.
    pub service: Name,
    /// Version to move to.
    pub to: Name,
    /// Time for the move, in milliseconds from the order.
    pub duration_ms: u64,
}

/// An order that has been read and checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// The routes and services in force.
    Routes(RouteTable),
    /// A version move.
    Move(MoveOrder),
    /// Nothing more is to be sent to the targets of a zone.
    ZoneOut(Name),
}
