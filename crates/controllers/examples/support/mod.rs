//! Simulates version moves with real controllers on several hosts, a store, callers and targets.

pub mod fixtures;
pub mod move_fleet;
pub mod setup;
pub mod world;
