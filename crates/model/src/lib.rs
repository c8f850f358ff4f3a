//! Simulates entry hosts, store, targets and callers, and checks at-most-once execution.
//!
//! The simulation runs the real claims table and ownership controller in virtual time, with faults
//! of the network, the store, the clocks and the hosts, and checks the promises of
//! `docs/at-most-once.md`. The same seed always gives the same run. The tests print the tables of
//! `docs/measurements-at-most-once.md`.

mod attempt;
mod clock;
mod event;
mod experiment;
mod faults;
mod fleet;
mod invariant_checker;
mod net;
mod process;
mod simulation;
mod store;

pub use experiment::{Experiment, Step};
pub use faults::{Faults, Rules};
pub use invariant_checker::RunSummary;
