//! Measures what control costs one entry host, as a function of the size of the fleet.
//!
//! [`Fleet`] runs the membership and ownership controllers of every entry host, and all
//! controllers of one, in one process and in virtual time: no sockets, no faults, messages arrive
//! at once. Messages are encoded with the library of the peer protocol and counted for that one
//! host. [`Point::measure`] measures one size, [`Fit`] fits lines through several sizes. Inputs
//! depend only on the size; times depend on the machine. `docs/CAPACITY.md` uses the
//! results.

mod encoding;
mod fit;
mod fleet;
mod fleet_host;
mod local_controllers;
pub mod memory;
mod messages;
mod point;
mod report;
mod samples;
mod size;
mod store;
pub mod synthetic;
mod traffic;

pub use encoding::{CALL_BYTES, framed_bytes};
pub use fit::Fit;
pub use fleet::Fleet;
pub use point::{Point, StepTime};
pub use report::{Sweep, memory_table, points_table, steps_table};
pub use samples::Samples;
pub use size::Size;
pub use traffic::Traffic;
