//! Orders of operators and registrations of targets, which entry hosts read from a store.
//!
//! A [`RouteTable`] maps requests to services and defines how they may be handled. An [`Order`] is
//! one change by an operator: a route table, a move between versions or an excluded zone. A
//! [`TargetEntry`] is the registration of a target. The crate has only data types and look-ups, no
//! encoding and no clock. See `docs/platform.md`.

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
