//! Checks that hosts together keep to the rate limit that a target names.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time after a target first names a limit from which it is checked. The users' pages allow 3 s.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window that a limit allows, as a multiple of the limit, and besides.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;

/// The rate limit that a target names, and the requests that arrived since.
#[derive(Debug)]
pub(crate) struct RateLimitCheck {
    per_s: f64,
    since: Instant,
    arrivals: VecDeque<Instant>,
}

impl RateLimitCheck {
    /// Starts with a limit in requests per second.
    pub(crate) fn new(per_s: f64, now: Instant) -> Self {
        Self {
            per_s,
            since: now,
            arrivals: VecDeque::new(),
        }
    }

    /// Returns the limit in requests per second.
    pub(crate) const fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Records the arrival of a request; returns what was seen if there were too many.
    pub(crate) fn record_arrival(&mut self, now: Instant) -> Option<String> {
        while self.arrivals.front().is_some_and(|at| now - *at > WINDOW) {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(now);
        let count = self.arrivals.len();
        let allowed = ALLOWED_FACTOR * self.per_s * WINDOW.as_secs_f64() + ALLOWED_EXTRA;
        let is_bound = now - self.since > SETTLING_TIME + WINDOW;
        (is_bound && count as f64 > allowed).then(|| {
            let per_s = self.per_s;
            format!("{count} requests in 4 s at a limit of {per_s} a second")
        })
    }
}
