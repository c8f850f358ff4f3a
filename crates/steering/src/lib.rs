//! Routing decisions of an entry host whose targets and orders are kept in a platform's store.
//!
//! The crate has no sockets, no runtime, no clock and no process-wide state: time and randomness
//! are arguments, and functions return what to do next. The request path reads one snapshot of the
//! [`SteeringBoard`] and updates atomics; the controllers ([`TargetControl`], [`MoveControl`],
//! [`Membership`], [`CrashWatch`]) run in other tasks and publish new snapshots.
//! `docs/platform.md` explains the rules.

mod attempt;
mod board;
mod crash_watch;
mod directory;
mod drain;
mod hold_off;
mod host_state;
mod latency;
mod log_budget;
mod membership;
mod move_control;
mod move_evidence;
mod move_judge;
mod move_state;
mod move_tracker;
mod order_rows;
mod ordered_move;
mod pace;
mod past_moves;
mod probe_budget;
mod rank;
mod rate_limit;
mod rendezvous;
mod replica;
mod retry_budget;
mod route_stat;
mod sample;
mod served_requests;
mod store_epoch;
mod stored_verdicts;
mod target;
mod target_cell;
mod target_control;
mod target_load;
mod target_table;
mod weighted_split;

pub use attempt::{AttemptContext, AttemptOutcome, NextStep, after_attempt};
pub use board::{Counts, SteeringBoard, SteeringWriters};
pub use crash_watch::{CrashWatch, QuarantineChange};
pub use directory::{Demand, addresses};
pub use drain::{DrainStep, LAST_SEND_MS, drain_step};
pub use hold_off::{HoldOff, HoldOffError};
pub use host_state::{
    ChangeCursor, CrashTally, ForwardedState, GossipDigest, Heartbeat, HeartbeatId, HostStage,
    HostState, KnownState,
};
pub use latency::{LATENCY_BOUNDS_MS, Latency};
pub use log_budget::{LineKind, LogBudget};
pub use membership::{FAILURE_TIMEOUT_MS, FleetView, HostEntry, Membership};
pub use move_control::{MoveControl, MoveEffect, MoveReport, ReportedState};
pub use move_evidence::MoveEvidence;
pub use move_judge::{Verdict, judge};
pub use move_state::{MoveProgress, MoveStage, RouteTally, Side, Tally};
pub use move_tracker::{MoveSample, MoveTracker, ShareCounts};
pub use order_rows::OrderRows;
pub use pace::Pace;
pub use past_moves::{PastMove, PastMoves, VersionFate};
pub use probe_budget::{ProbeBudget, ProbeSupply};
pub use rank::{Cost, Fit, cost, fit};
pub use rate_limit::{RateLimit, RateLimitError};
pub use rendezvous::{DutyRanking, duty_holders, duty_rank};
pub use replica::{AppliedChange, AppliedUpdate, Replica, ReplicaRow, RowChange, TableUpdate};
pub use retry_budget::{BudgetLimits, RetryBudget};
pub use route_stat::RouteStat;
pub use sample::{ProbeRoundSize, sample};
pub use served_requests::ServedRequests;
pub use store_epoch::{EpochStep, StoreEpoch};
pub use target::Target;
pub use target_cell::{RateLimitChange, TargetCell};
pub use target_control::{TargetControl, TargetInputs};
pub use target_load::{TargetLoad, TargetLoadError, USUAL_SLOWNESS_PERCENT};
pub use target_table::{ServicePool, TargetGroup, TargetTable};
pub use weighted_split::WeightedSplit;
