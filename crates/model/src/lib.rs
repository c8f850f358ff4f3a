//! A deterministic model of entry hosts, store, targets and callers.
//!
//! The model drives the real claims table and ownership controller with virtual time and a seed,
//! against faults of the network, the store, the clocks and the hosts, and checks the promises of
//! `docs/at-most-once.md`. The same seed always gives the same run. The tests use it for the proof
//! in `docs/measurements-at-most-once.md`.

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
