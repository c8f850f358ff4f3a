//! Decides on the request path: which route, which target, and whether to wait, retry or refuse.
//!
//! Each decision is a function of a routing snapshot, the time and a random number generator that
//! are passed in, and returns an enum of what to do next. Target selection policies implement the
//! trait [`Picker`]. See `docs/design.md`, section 9.

mod choose;
mod estimate;
mod least_reported;
mod outcome;
mod picker;
mod plan;
mod random;
mod retry;
mod round_robin;
mod two_choices;
mod wait_queue;
mod weighted;

pub use choose::{Choice, Chosen, choose};
pub use estimate::estimated_in_flight;
pub use least_reported::LeastReported;
pub use outcome::AttemptOutcome;
pub use picker::{PickView, Picker};
pub use plan::{RequestHead, RequestPlan, plan};
pub use random::Random;
pub use retry::{MAX_ATTEMPTS, NextStep, RetryBudget, after_attempt};
pub use round_robin::RoundRobin;
pub use two_choices::TwoChoices;
pub use wait_queue::{Admission, Ticket, WaitQueue};
pub use weighted::Weighted;
