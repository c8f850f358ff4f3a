//! Decides whether a request is retried, answered or ended after an attempt at a target.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No target was found for the request.
    NoTarget,
    /// The request did not reach a target, so it has not run.
    NeverSent,
    /// The target responded that it did not run the request.
    NotRun,
    /// The target sent a successful response.
    Answered,
    /// The target sent an error response; the request may have run.
    Failed,
    /// The target sent the status of a refusal without stating that it did not run the request; it
    /// may have run.
    Unconfirmed,
    /// The request was sent and no complete response arrived; it may have run.
    Broke,
}

/// State of a request when an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptContext {
    /// How the attempt ended.
    pub end: AttemptOutcome,
    /// Whether the request may run on a second target.
    pub is_idempotent: bool,
    /// Attempts that reached a target, including this one.
    pub sends: u32,
    /// Attempts that did not reach a target, including this one.
    pub unsent_attempts: u32,
    /// Upper bound of `sends`.
    pub max_sends: u32,
    /// Other attempts of the request that are still in flight.
    pub pending: usize,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Return the response to the caller.
    Deliver,
    /// Try another target if the retry budget allows it, else end with the result so far.
    Retry {
        /// Whether the attempt counts against the retry budget.
        draws_on_budget: bool,
    },
    /// Wait for the attempts in flight.
    Await,
    /// End the request with this outcome.
    End,
}

/// Attempts that may fail to reach a target before the request ends.
const MAX_MISSES: u32 = 3;

/// Returns what to do after an attempt. A request that may have run is retried only if it is
/// idempotent.
#[must_use]
pub const fn after_attempt(context: &AttemptContext) -> NextStep {
    let may_send = context.sends < context.max_sends;
    let next = match context.end {
        AttemptOutcome::Answered => return NextStep::Deliver,
        AttemptOutcome::NeverSent if context.unsent_attempts < MAX_MISSES => NextStep::Retry {
            draws_on_budget: context.sends > 0,
        },
        AttemptOutcome::NotRun if may_send => NextStep::Retry {
            draws_on_budget: true,
        },
        AttemptOutcome::Failed | AttemptOutcome::Unconfirmed | AttemptOutcome::Broke
            if may_send && context.is_idempotent =>
        {
            NextStep::Retry {
                draws_on_budget: true,
            }
        }
        _ => NextStep::End,
    };
    if context.pending > 0 {
        // Another attempt is already in flight; a third one would add more load than it saves time.
        return NextStep::Await;
    }
    next
}
