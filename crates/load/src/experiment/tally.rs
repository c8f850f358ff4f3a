//! Collects the latencies and counts of one case.

use hdrhistogram::{CreationError, Histogram};

/// Largest latency that the histogram records, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Length of a time slice in nanoseconds.
const SLICE_NS: u64 = 1_000_000_000;

/// Counts of one second of arrivals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimeSlice {
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts at targets.
    pub attempts: u64,
    /// Requests with a good response within their deadline.
    pub good: u64,
}

/// Latencies and counts of one case.
#[derive(Clone, Debug, PartialEq)]
pub struct Tally {
    /// Latencies of good responses in microseconds.
    pub latency: Histogram<u64>,
    /// Counts by the second in which the request arrived.
    pub slices: Vec<TimeSlice>,
    warm_up_ns: u64,
}

impl Tally {
    /// Makes an empty tally that ignores requests that arrive before `warm_up_ns`.
    ///
    /// # Errors
    ///
    /// Returns an error if the histogram's bounds are invalid.
    pub fn new(warm_up_ns: u64) -> Result<Self, CreationError> {
        Ok(Self {
            latency: Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)?,
            slices: Vec::new(),
            warm_up_ns,
        })
    }

    /// Adds a finished request.
    pub fn add(&mut self, arrived_ns: u64, now_ns: u64, attempts: u32, is_good: bool) {
        if arrived_ns < self.warm_up_ns {
            return;
        }
        let index = usize::try_from(arrived_ns / SLICE_NS).unwrap_or(usize::MAX);
        if self.slices.len() <= index {
            self.slices.resize(index + 1, TimeSlice::default());
        }
        let slice = &mut self.slices[index];
        slice.requests += 1;
        slice.attempts += u64::from(attempts);
        slice.good += u64::from(is_good);
        if is_good {
            self.latency
                .saturating_record((now_ns - arrived_ns) / 1_000);
        }
    }

    /// Adds another tally of the same case.
    pub fn merge(&mut self, other: &Self) {
        // Both histograms have the same bounds, so nothing can be out of range.
        let _ = self.latency.add(&other.latency);
        if self.slices.len() < other.slices.len() {
            self.slices.resize(other.slices.len(), TimeSlice::default());
        }
        for (slice, more) in self.slices.iter_mut().zip(&other.slices) {
            slice.requests += more.requests;
            slice.attempts += more.attempts;
            slice.good += more.good;
        }
    }

    /// Returns the sum over the seconds from `from_s` up to `to_s`.
    #[must_use]
    pub fn total(&self, from_s: usize, to_s: usize) -> TimeSlice {
        let slices = self.slices.iter().take(to_s).skip(from_s);
        slices.fold(TimeSlice::default(), |sum, slice| TimeSlice {
            requests: sum.requests + slice.requests,
            attempts: sum.attempts + slice.attempts,
            good: sum.good + slice.good,
        })
    }
}
