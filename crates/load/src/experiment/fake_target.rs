//! Simulates a target as a short queue with slots, in virtual time.

use super::Fault;
use heatherhinge_types::{LoadReport, StartId};
use std::collections::VecDeque;

/// Requests that wait at a target before it sheds.
const QUEUE_LEN: usize = 5;
/// Factor on the service time under [`Fault::SlowDown`], in thousandths.
const SLOW_PERMILLE: u64 = 10_000;
/// Factor on the service time under [`Fault::NoisyNeighbours`], in thousandths.
const NOISY_PERMILLE: u64 = 3_000;
/// Age of lagging reports in nanoseconds.
const REPORT_LAG_NS: u64 = 500_000_000;

/// What happens to a request that reaches a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetAdmission {
    /// It starts and has this service time in nanoseconds.
    Started(u64),
    /// It waits for a slot.
    Queued,
    /// It is shed and did not run.
    Shed,
    /// It fails at once.
    Failed,
}

/// A simulated target.
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

    /// Admits, queues or rejects a request that needs `demand_ns` of service at normal speed.
    pub(crate) fn admit(&mut self, request: u32, demand_ns: u64, now_ns: u64) -> TargetAdmission {
        if self.fault == Fault::FailFast {
            return TargetAdmission::Failed;
        }
        let admission = if self.running < self.slots {
            self.running += 1;
            TargetAdmission::Started(self.service_ns(demand_ns))
        } else if self.queue.len() < QUEUE_LEN {
            self.queue.push_back(request);
            TargetAdmission::Queued
        } else {
            TargetAdmission::Shed
        };
        self.record_in_flight(now_ns);
        admission
    }

    /// Completes a request and returns the queued one that gets its slot.
    pub(crate) fn complete(&mut self, now_ns: u64) -> Option<u32> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        self.record_in_flight(now_ns);
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

    /// Returns whether a request that completes now fails.
    pub(crate) fn fails(&self) -> bool {
        self.fault == Fault::Outage
    }

    /// Returns the load report on a response that is sent now.
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

    fn record_in_flight(&mut self, now_ns: u64) {
        if self.fault == Fault::LaggingReports {
            self.history.push_back((now_ns, self.in_flight()));
        }
    }

    /// Returns the requests in flight at a time, and drops the history before it.
    fn in_flight_at(&mut self, at_ns: u64) -> u32 {
        while self.history.get(1).is_some_and(|(at, _)| *at <= at_ns) {
            self.history.pop_front();
        }
        match self.history.front() {
            Some((at, in_flight)) if *at <= at_ns => *in_flight,
            _ => 0,
        }
    }
}
