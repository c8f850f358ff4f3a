//! What operators and targets tell the entry hosts on a platform that stores it for them.
//!
//! A [`RouteTable`] says which service a request goes to and what may be done with it. An
//! [`Order`] is one change by an operator: a route table, a move between versions or a zone taken
//! out. A [`TargetEntry`] is what a target says of itself. The crate holds data and look-ups; it
//! knows no encoding and no clock. See `docs/platform.md`.

mod limits;
mod order;
mod route;
mod route_table;
mod service_spec;
mod target_entry;

pub use limits::CallerLimits;
pub use order::{MoveOrder, Order, OrderKey};
pub use route::{Destination, RequestKind, Route};
pub use route_table::RouteTable;
pub use service_spec::ServiceSpec;
pub use target_entry::{TargetEntry, TargetPhase};
