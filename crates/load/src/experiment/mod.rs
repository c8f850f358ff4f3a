//! Compares policies and retry rules in virtual time.
//!
//! A case is a fleet size, a scenario, a policy and a retry rule. The decisions are those of
//! `heatherhinge-policy` on blackboard cells of each entry host; the targets are short queues with
//! slots. All cases of one seed get the same arrivals, service times and faults, so differences
//! between them come from the decisions. It uses no sockets and no wall clock.

mod event_queue;
mod fake_host;
mod fake_target;
mod fleet;
mod parallel;
mod policy;
mod retry;
mod retry_rule;
mod scenario;
mod simulation;
mod tally;

pub use fleet::Fleet;
pub use policy::{POLICIES, PolicyReport, PolicyRow, run_policy_experiment};
pub use retry::{RetryReport, RetryRow, run_retry_experiment};
pub use retry_rule::{Budgeted, ImmediateRetry, NoRetry, RetryRule};
pub use scenario::{Fault, Scenario};
pub use simulation::simulate;
pub use tally::{Tally, TimeSlice};
