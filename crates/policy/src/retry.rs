//! Whether a failed attempt is followed by another one.

use crate::{AttemptOutcome, RequestPlan};
use heatherhinge_blackboard::ServiceCounters;
use heatherhinge_types::{Code, MonoNs};
use rand::{Rng, RngExt};
use std::sync::atomic::Ordering;

/// Most attempts at one request.
pub const MAX_ATTEMPTS: u32 = 3;
/// Credit that one retry costs, in thousandths.
const RETRY_COST_PERMILLE: u64 = 1_000;
/// Most credit that is kept. Each host keeps its own, so a fleet can retry at once at most this
/// many times the number of hosts beyond its share of successes.
const CREDIT_MAX_PERMILLE: u64 = 2_000;
/// Window of the first backoff, in microseconds; it doubles with each attempt.
const BACKOFF_BASE_US: u64 = 4_000;

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Pass the answer on.
    Deliver,
    /// Try another target after this time.
    Retry {
        /// Backoff in microseconds.
        backoff_us: u64,
    },
    /// Refuse the request with this code.
    Refuse(Code),
}

/// The retry budget of one service on one host: a share of its successes.
///
/// A budget for each request would let every request of an outage retry; a share of successes
/// shrinks to nothing with them (Retry Strategies & Backoff, "Attempt Budgets").
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget<'a> {
    counters: &'a ServiceCounters,
    retry_permille: u32,
}

impl<'a> RetryBudget<'a> {
    /// Makes the budget over the counters of a service.
    #[must_use]
    pub const fn new(counters: &'a ServiceCounters, retry_permille: u32) -> Self {
        Self {
            counters,
            retry_permille,
        }
    }

    /// Counts a success, which earns a share of a retry.
    pub fn deposit(&self) {
        self.counters.successes.fetch_add(1, Ordering::Relaxed);
        let earned = u64::from(self.retry_permille);
        let add = |credit: u64| Some((credit + earned).min(CREDIT_MAX_PERMILLE));
        self.counters
            .retry_credit_permille
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, add)
            .ok();
    }

    /// Takes the credit of one retry, or returns `false` when there is not enough.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let take = |credit: u64| credit.checked_sub(RETRY_COST_PERMILLE);
        let is_taken = self
            .counters
            .retry_credit_permille
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, take)
            .is_ok();
        if is_taken {
            self.counters.retries.fetch_add(1, Ordering::Relaxed);
        }
        is_taken
    }
}

/// Decides what follows attempt number `attempt`, counted from 1.
///
/// `can_replay` is false when the body was streamed and cannot be sent again.
pub fn after_attempt<R: Rng>(
    plan: &RequestPlan,
    outcome: AttemptOutcome,
    attempt: u32,
    can_replay: bool,
    budget: &RetryBudget<'_>,
    now_ns: MonoNs,
    rng: &mut R,
) -> NextStep {
    let backoff_us = rng.random_range(0..=BACKOFF_BASE_US << attempt.min(8));
    let is_allowed = outcome.is_transient()
        && (plan.is_idempotent || outcome.is_not_run())
        && can_replay
        && attempt < MAX_ATTEMPTS
        && plan.caller_attempt <= 1
        && now_ns.0 + backoff_us * 1_000 < plan.deadline_ns.0;
    if is_allowed && budget.withdraw() {
        return NextStep::Retry { backoff_us };
    }
    outcome.code().map_or(NextStep::Deliver, NextStep::Refuse)
}
