//! Collects the counts and latency histograms of one run.

use super::SendOutcome;
use hdrhistogram::{CreationError, Histogram};
use std::collections::BTreeMap;

/// Largest latency that a histogram records, in microseconds; larger ones are recorded as this.
const LATENCY_MAX_US: u64 = 3_600_000_000;

/// A finished request, including its resends.
#[derive(Clone, Debug)]
pub struct FinishedRequest {
    /// Number of the arrival.
    pub number: u64,
    /// Index of the route.
    pub route: usize,
    /// Time from the intended send time to the end, in microseconds.
    pub latency_us: u64,
    /// Resends with the same key.
    pub resends: u32,
    /// Outcome of the last attempt.
    pub outcome: SendOutcome,
}

/// Counts and histograms of finished requests. One task adds them, so it needs no lock.
#[derive(Clone, Debug)]
pub struct Collector {
    /// Latencies of good responses in microseconds, all routes together.
    pub good: Histogram<u64>,
    /// Latencies of good responses in microseconds, by index of the route.
    pub by_route: Vec<Histogram<u64>>,
    /// Responses by HTTP status.
    pub by_status: BTreeMap<u16, u64>,
    /// Responses by result code.
    pub by_code: BTreeMap<u16, u64>,
    /// Responses by the value of `Heatherhinge-Ran`.
    pub by_ran: BTreeMap<String, u64>,
    /// Requests without a response, by cause.
    pub by_error: BTreeMap<&'static str, u64>,
    /// Requests with a good response.
    pub good_count: u64,
    /// All finished requests.
    pub total_count: u64,
    /// Resends of all finished requests.
    pub resend_count: u64,
    /// Requests whose outcome stayed unknown.
    pub unknown_count: u64,
}

/// Makes an empty histogram with three significant digits.
pub(crate) fn histogram() -> Result<Histogram<u64>, CreationError> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
}

impl Collector {
    /// Makes an empty collector for a number of routes.
    ///
    /// # Errors
    ///
    /// Returns an error if the histogram's bounds are invalid.
    pub fn new(routes: usize) -> Result<Self, CreationError> {
        let empty = histogram()?;
        Ok(Self {
            good: empty.clone(),
            by_route: vec![empty; routes],
            by_status: BTreeMap::new(),
            by_code: BTreeMap::new(),
            by_ran: BTreeMap::new(),
            by_error: BTreeMap::new(),
            good_count: 0,
            total_count: 0,
            resend_count: 0,
            unknown_count: 0,
        })
    }

    /// Adds one finished request.
    pub fn add(&mut self, finished: &FinishedRequest) {
        self.total_count += 1;
        self.resend_count += u64::from(finished.resends);
        self.unknown_count += u64::from(finished.outcome.is_unknown());
        if finished.outcome.is_good() {
            self.good_count += 1;
            self.good.saturating_record(finished.latency_us);
            if let Some(route) = self.by_route.get_mut(finished.route) {
                route.saturating_record(finished.latency_us);
            }
        }
        match &finished.outcome {
            SendOutcome::Answered(head) => {
                *self.by_status.entry(head.status).or_default() += 1;
                if let Some(code) = head.code {
                    *self.by_code.entry(code).or_default() += 1;
                }
                if let Some(ran) = &head.ran {
                    *self.by_ran.entry(ran.clone()).or_default() += 1;
                }
            }
            SendOutcome::Unreachable => self.add_error("unreachable"),
            SendOutcome::ConnectionLost => self.add_error("broke"),
            SendOutcome::TimedOut => self.add_error("timed out"),
        }
    }

    fn add_error(&mut self, cause: &'static str) {
        *self.by_error.entry(cause).or_default() += 1;
    }
}
