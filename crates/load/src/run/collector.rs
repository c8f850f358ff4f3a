//! Counts and histograms of one run.

use super::SendOutcome;
use hdrhistogram::{CreationError, Histogram};
use std::collections::BTreeMap;

/// Longest latency that is told apart, in microseconds; longer ones count as this.
const LATENCY_MAX_US: u64 = 3_600_000_000;

/// One request that is over, its resends included.
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
    /// What came of the last attempt.
    pub outcome: SendOutcome,
}

/// Counts and histograms; requests are added by one task.
#[derive(Clone, Debug)]
pub struct Collector {
    /// Latencies of good answers in microseconds, all routes together.
    pub good: Histogram<u64>,
    /// Latencies of good answers by route.
    pub by_route: Vec<Histogram<u64>>,
    /// Answers by HTTP status.
    pub by_status: BTreeMap<u16, u64>,
    /// Answers by result code.
    pub by_code: BTreeMap<u16, u64>,
    /// Answers by what they say of the run.
    pub by_ran: BTreeMap<String, u64>,
    /// Requests without an answer, by cause.
    pub by_error: BTreeMap<&'static str, u64>,
    /// Requests that were served well.
    pub good_count: u64,
    /// All requests that are over.
    pub total_count: u64,
    /// Resends.
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
    /// Returns an error if the histogram's bounds are refused.
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

    /// Adds one request.
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
            SendOutcome::Answered(reply) => {
                *self.by_status.entry(reply.status).or_default() += 1;
                if let Some(code) = reply.code {
                    *self.by_code.entry(code).or_default() += 1;
                }
                if let Some(ran) = &reply.ran {
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
