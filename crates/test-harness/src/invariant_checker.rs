//! Records what targets ran and what callers received, and checks the invariants on both.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant as a sentence.
    pub invariant: &'static str,
    /// The request, host or target concerned and the observed values.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

/// One request, by its id.
#[derive(Clone, Debug, Default)]
struct RequestRecord {
    is_at_most_once: bool,
    /// Targets that ran the request, in order.
    targets: Vec<String>,
    reported_not_run: bool,
}

#[derive(Debug, Default)]
struct CheckerState {
    requests: BTreeMap<String, RequestRecord>,
    violations: Vec<Violation>,
    timing_suspended_until: Option<Instant>,
    good: u64,
    failed: u64,
}

/// Records the requests of one test run. Targets and callers write to it; an invariant is checked
/// when an event is recorded, or in [`Self::finish`] if a later event can still violate it.
#[derive(Debug, Default)]
pub struct InvariantChecker(Mutex<CheckerState>);

impl InvariantChecker {
    fn lock(&self) -> MutexGuard<'_, CheckerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a caller sends a request.
    pub fn record_sent(&self, id: &str, is_at_most_once: bool) {
        let mut state = self.lock();
        let request = state.requests.entry(id.to_owned()).or_default();
        request.is_at_most_once = is_at_most_once;
    }

    /// Records that a target runs a request.
    pub fn record_run(&self, id: &str, target: &str) {
        let mut state = self.lock();
        if !state.requests.contains_key(id) {
            state.add_violation(
                "a target runs only requests that callers sent",
                format!("{id} at {target}"),
            );
        }
        let request = state.requests.entry(id.to_owned()).or_default();
        request.targets.push(target.to_owned());
    }

    /// Returns whether a target has run a request.
    #[must_use]
    pub fn has_run(&self, id: &str) -> bool {
        let state = self.lock();
        let request = state.requests.get(id);
        request.is_some_and(|request| !request.targets.is_empty())
    }

    /// Records a response which reports that the request has not run and never will.
    pub fn record_not_run(&self, id: &str) {
        let mut state = self.lock();
        state.failed += 1;
        state
            .requests
            .entry(id.to_owned())
            .or_default()
            .reported_not_run = true;
    }

    /// Records a response with status 200.
    pub fn record_success(&self) {
        self.lock().good += 1;
    }

    /// Records a failed request that may or may not have run.
    pub fn record_failure(&self) {
        self.lock().failed += 1;
    }

    /// Records a violated invariant.
    pub fn record_violation(&self, invariant: &'static str, detail: String) {
        self.lock().add_violation(invariant, detail);
    }

    /// Suspends the checks of invariants with a time bound, because a fault was injected.
    pub fn suspend_timing_checks(&self, duration: Duration) {
        let mut state = self.lock();
        let until = Instant::now() + duration;
        state.timing_suspended_until = Some(
            state
                .timing_suspended_until
                .map_or(until, |old| old.max(until)),
        );
    }

    /// Returns whether invariants with a time bound are checked now.
    #[must_use]
    pub fn are_timing_checks_active(&self) -> bool {
        let until = self.lock().timing_suspended_until;
        until.is_none_or(|until| Instant::now() >= until)
    }

    /// Returns the numbers of successful and of failed requests.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.good, state.failed)
    }

    /// Runs the checks that need all events of the run, and returns all violations. Call it once.
    #[must_use]
    pub fn finish(&self) -> Vec<Violation> {
        let mut state = self.lock();
        let mut found = Vec::new();
        for (id, request) in &state.requests {
            if request.is_at_most_once && request.targets.len() > 1 {
                found.push((
                    "an at-most-once request runs once",
                    format!("{id} ran at {:?}", request.targets),
                ));
            }
            let distinct: BTreeSet<&String> = request.targets.iter().collect();
            if distinct.len() < request.targets.len() {
                found.push((
                    "a retry goes to another target",
                    format!("{id} ran at {:?}", request.targets),
                ));
            }
            if request.is_at_most_once && request.reported_not_run && !request.targets.is_empty() {
                found.push((
                    "a request that was reported as not run does not run",
                    format!(
                        "{id} was reported as not run and ran at {:?}",
                        request.targets
                    ),
                ));
            }
        }
        for (invariant, detail) in found {
            state.add_violation(invariant, detail);
        }
        state.violations.clone()
    }
}

impl CheckerState {
    fn add_violation(&mut self, invariant: &'static str, detail: String) {
        self.violations.push(Violation { invariant, detail });
    }
}
