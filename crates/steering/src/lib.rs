//! Decisions of an entry host that finds its targets and its orders in a platform's store.
//!
//! The crate has no sockets, no runtime, no clock and no process-wide state: time and randomness
//! are arguments, and functions return what to do next. Everything on the path of a request reads
//! one snapshot of the [`SteeringBoard`] and updates atomics; the controllers
//! ([`TargetControl`], [`MoveControl`], [`Membership`], [`CrashWatch`]) run beside it and publish
//! new snapshots. `docs/platform.md` explains the rules.

mod attempt;
mod board;
mod crash_watch;
mod directory;
mod drain;
mod host_state;
mod latency;
mod load_figure;
mod log_budget;
mod membership;
mod move_control;
mod move_gauge;
mod move_judge;
mod move_state;
mod probe_budget;
mod rank;
mod rendezvous;
mod replica;
mod retry_budget;
mod route_stat;
mod sample;
mod split;
mod target;
mod target_cell;
mod target_control;
mod target_table;

pub use attempt::{AttemptEnd, AttemptFacts, NextStep, after_attempt};
pub use board::{Counts, SteeringBoard, SteeringWriters};
pub use crash_watch::CrashWatch;
pub use directory::{Demand, addresses};
pub use drain::{DrainNext, drain_next};
pub use host_state::{Beat, BeatId, CrashTally, HostStage, HostState, KnownState, Marker, Told};
pub use latency::{LATENCY_BOUNDS_MS, Latency};
pub use load_figure::{LoadFigure, LoadFigureError, USUAL_SLOWNESS_PERCENT};
pub use log_budget::{LineKind, LogBudget};
pub use membership::{FleetView, Membership, SILENCE_MS, Sighting};
pub use move_control::{MoveControl, MoveEffect, MoveReport, ReportedState};
pub use move_gauge::{MoveGauge, MoveSample};
pub use move_judge::{Verdict, judge};
pub use move_state::{MoveStage, MoveState, RouteTally, Side, Tally};
pub use probe_budget::{ProbeBudget, ProbeSupply};
pub use rank::{Cost, Fit, cost, fit};
pub use rendezvous::{DutyRing, duty_holders, place};
pub use replica::{AppliedChange, Replica, ReplicaRow, RowChange, TableUpdate};
pub use retry_budget::{BudgetLimits, RetryBudget};
pub use route_stat::RouteStat;
pub use sample::{RoundSize, sample};
pub use split::Split;
pub use target::Target;
pub use target_cell::TargetCell;
pub use target_control::{TargetControl, TargetInputs};
pub use target_table::{ServicePool, TargetGroup, TargetTable};
