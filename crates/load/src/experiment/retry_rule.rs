//! Retry rules: what follows a failed attempt.

use heatherhinge_policy::{AttemptOutcome, NextStep, RequestPlan, RetryBudget, after_attempt};
use heatherhinge_types::MonoNs;
use rand::Rng;

/// Decides what follows an attempt.
pub trait RetryRule: Copy + Send + Sync + 'static {
    /// Decides what follows attempt number `attempt`, counted from 1.
    fn next<R: Rng>(
        self,
        plan: &RequestPlan,
        outcome: AttemptOutcome,
        attempt: u32,
        budget: &RetryBudget<'_>,
        now_ns: MonoNs,
        rng: &mut R,
    ) -> NextStep;
}

/// The rule of `heatherhinge-policy`: a budget, backoff with jitter, at most two retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budgeted;

impl RetryRule for Budgeted {
    fn next<R: Rng>(
        self,
        plan: &RequestPlan,
        outcome: AttemptOutcome,
        attempt: u32,
        budget: &RetryBudget<'_>,
        now_ns: MonoNs,
        rng: &mut R,
    ) -> NextStep {
        after_attempt(plan, outcome, attempt, true, budget, now_ns, rng)
    }
}

/// Retries every failure at once, up to three times.
#[derive(Clone, Copy, Debug, Default)]
pub struct ImmediateRetry;

impl RetryRule for ImmediateRetry {
    fn next<R: Rng>(
        self,
        _plan: &RequestPlan,
        outcome: AttemptOutcome,
        attempt: u32,
        _budget: &RetryBudget<'_>,
        _now_ns: MonoNs,
        _rng: &mut R,
    ) -> NextStep {
        if outcome.is_failure() && attempt <= 3 {
            return NextStep::Retry { backoff_us: 0 };
        }
        outcome.code().map_or(NextStep::Deliver, NextStep::Refuse)
    }
}

/// Never retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoRetry;

impl RetryRule for NoRetry {
    fn next<R: Rng>(
        self,
        _plan: &RequestPlan,
        outcome: AttemptOutcome,
        _attempt: u32,
        _budget: &RetryBudget<'_>,
        _now_ns: MonoNs,
        _rng: &mut R,
    ) -> NextStep {
        outcome.code().map_or(NextStep::Deliver, NextStep::Refuse)
    }
}
