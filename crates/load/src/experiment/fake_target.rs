//! A target as a small queue with slots, in virtual time.

use super::Fault;
use heatherhinge_types::{LoadReport, StartId};
use std::collections::VecDeque;

/// Requests that wait at a target before it sheds.
const QUEUE_LEN: usize = 5;
/// Slow-down of a sudden fault, in thousandths.
const SLOW_PERMILLE: u64 = 10_000;
/// Slow-down by a noisy neighbour, in thousandths.
const NOISY_PERMILLE: u64 = 3_000;
/// Age of lagging reports in nanoseconds.
const REPORT_LAG_NS: u64 = 500_000_000;

/// What happens to a request that reaches a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetAdmission {
    /// It starts and takes this time in nanoseconds.
    Starts(u64),
    /// It waits for a slot.
    Waits,
    /// It is shed and did not run.
    Shed,
    /// It fails at once.
    Fails,
}

/// A target.
#[derive(Debug)]
pub(crate) struct FakeTarget {
    slots: u32,
    running: u32,
    queue: VecDeque<u32>,
    /// The fault in force.
    fault: Fault,
    /// Requests in flight by time, for lagging reports.
    history: VecDeque<(u64, u32)>,
}

impl FakeTarget {
    /// Makes an idle target.
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            queue: VecDeque::new(),
            fault: Fault::None,
            history: VecDeque::new(),
        }
    }

    /// Sets the fault in force.
    pub(crate) fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
    }

    /// Takes in a request that needs `demand_ns` of service at normal speed.
    pub(crate) fn reach(&mut self, request: u32, demand_ns: u64, now_ns: u64) -> TargetAdmission {
        if self.fault == Fault::FailFast {
            return TargetAdmission::Fails;
        }
        let reached = if self.running < self.slots {
            self.running += 1;
            TargetAdmission::Starts(self.service_ns(demand_ns))
        } else if self.queue.len() < QUEUE_LEN {
            self.queue.push_back(request);
            TargetAdmission::Waits
        } else {
            TargetAdmission::Shed
        };
        self.note(now_ns);
        reached
    }

    /// Ends a request and returns the waiting one that gets the slot.
    pub(crate) fn end(&mut self, now_ns: u64) -> Option<u32> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        self.note(now_ns);
        next
    }

    /// Returns the service time of a request that starts now.
    pub(crate) fn service_ns(&self, demand_ns: u64) -> u64 {
        match self.fault {
            Fault::SlowDown => demand_ns * SLOW_PERMILLE / 1_000,
            Fault::NoisyNeighbours => demand_ns * NOISY_PERMILLE / 1_000,
            _ => demand_ns,
        }
    }

    /// Returns whether a request that ends now fails.
    pub(crate) fn fails(&self) -> bool {
        self.fault == Fault::Outage
    }

    /// Returns the load report on an answer that is sent now.
    pub(crate) fn report(&mut self, now_ns: u64) -> LoadReport {
        let in_flight = match self.fault {
            Fault::LyingReports => 0,
            Fault::LaggingReports => self.in_flight_at(now_ns.saturating_sub(REPORT_LAG_NS)),
            _ => self.in_flight(),
        };
        LoadReport {
            in_flight,
            slots: self.slots,
            start_id: StartId(1),
            uptime_ms: now_ns / 1_000_000,
            is_leaving: false,
        }
    }

    fn in_flight(&self) -> u32 {
        self.running + u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn note(&mut self, now_ns: u64) {
        if self.fault == Fault::LaggingReports {
            self.history.push_back((now_ns, self.in_flight()));
        }
    }

    /// Returns the requests in flight at a time, and forgets what was before it.
    fn in_flight_at(&mut self, then_ns: u64) -> u32 {
        while self.history.get(1).is_some_and(|(at, _)| *at <= then_ns) {
            self.history.pop_front();
        }
        match self.history.front() {
            Some((at, in_flight)) if *at <= then_ns => *in_flight,
            _ => 0,
        }
    }
}
