//! Decides whether a failed attempt is retried, within the retry budget.

use crate::{AttemptOutcome, RequestPlan};
use heatherhinge_blackboard::ServiceCounters;
use heatherhinge_types::{Code, MonoNs};
use rand::{Rng, RngExt};
use std::sync::atomic::Ordering;

/// Most attempts at one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Credit that one retry costs, in thousandths.
const RETRY_COST_PERMILLE: u64 = 1_000;
/// Most credit that a service can have, in thousandths. Each host has its own, so beyond its share
/// of successes a fleet can retry at once at most this credit times the number of hosts.
const CREDIT_MAX_PERMILLE: u64 = 2_000;
/// Base of the backoff window, in microseconds; the window doubles with each attempt.
const BACKOFF_BASE_US: u64 = 4_000;

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Pass the response to the caller.
    Deliver,
    /// Try another target after the backoff.
    Retry {
        /// Backoff in microseconds.
        backoff_us: u64,
    },
    /// Refuse the request with this code.
    Refuse(Code),
}

/// The retry budget of one service on one host: a share of its successes.
///
/// With a budget per request, every request would be retried in an outage; a share of successes
/// falls to zero with them (Retry Strategies & Backoff, "Attempt Budgets").
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget<'a> {
    counters: &'a ServiceCounters,
    retry_permille: u32,
}

impl<'a> RetryBudget<'a> {
    /// Creates the budget on the counters of a service. Each success earns `retry_permille`
    /// thousandths of a retry.
    #[must_use]
    pub const fn new(counters: &'a ServiceCounters, retry_permille: u32) -> Self {
        Self {
            counters,
            retry_permille,
        }
    }

    /// Records a success, which earns a share of a retry.
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

/// Decides what to do after attempt number `attempt`, counted from 1.
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
