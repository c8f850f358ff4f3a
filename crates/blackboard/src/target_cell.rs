//! Holds the state of one target on this host, as atomics on the request path.

use heatherhinge_types::{LoadReport, MonoNs, Name, StartId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Half-life of the latency estimate of a target that sends no successful response.
const LATENCY_HALF_LIFE_NS: u64 = 500_000_000;

/// The state of one target. It outlives routing snapshots, so counts survive a change of the
/// bundle.
#[derive(Debug)]
pub struct TargetCell {
    /// Name, which is the address as text.
    pub id: Name,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Version that the target runs.
    pub version: Name,
    in_flight: AtomicU32,
    sent: AtomicU64,
    reported_in_flight: AtomicU32,
    own_at_report: AtomicU32,
    reported_ns: AtomicU64,
    start_id: AtomicU64,
    uptime_ms: AtomicU64,
    leaving_run: AtomicU64,
    latency_ns: AtomicU64,
    latency_at_ns: AtomicU64,
    failures: AtomicU32,
    failed_at_ns: AtomicU64,
}

/// The values of a cell for one decision. Each is read atomically, but not all of them together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetSample {
    /// Requests of this host in flight at the target.
    pub own_in_flight: u32,
    /// Requests in flight by the target's last report, from all hosts.
    pub reported_in_flight: u32,
    /// Requests of this host in flight when that report arrived.
    pub own_at_report: u32,
    /// Arrival of the last report; 0 if there is none.
    pub reported_ns: MonoNs,
    /// Recent latency, with the decay applied; 0 if unknown.
    pub latency_ns: u64,
    /// Failures in a row.
    pub failures: u32,
    /// Time of the last failure; 0 if there is none.
    pub failed_at_ns: MonoNs,
}

impl TargetCell {
    /// Creates the cell of a target without reports or requests.
    #[must_use]
    pub fn new(addr: SocketAddr, zone: Name, version: Name) -> Self {
        Self {
            id: Name::from(addr.to_string()),
            addr,
            zone,
            version,
            in_flight: AtomicU32::new(0),
            sent: AtomicU64::new(0),
            reported_in_flight: AtomicU32::new(0),
            own_at_report: AtomicU32::new(0),
            reported_ns: AtomicU64::new(0),
            start_id: AtomicU64::new(0),
            uptime_ms: AtomicU64::new(0),
            leaving_run: AtomicU64::new(0),
            latency_ns: AtomicU64::new(0),
            latency_at_ns: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            failed_at_ns: AtomicU64::new(0),
        }
    }

    /// Returns the current values, with the latency decayed until `now_ns`.
    #[must_use]
    pub fn sample(&self, now_ns: MonoNs) -> TargetSample {
        TargetSample {
            own_in_flight: self.in_flight.load(Ordering::Relaxed),
            reported_in_flight: self.reported_in_flight.load(Ordering::Relaxed),
            own_at_report: self.own_at_report.load(Ordering::Relaxed),
            reported_ns: MonoNs(self.reported_ns.load(Ordering::Relaxed)),
            latency_ns: self.decayed_latency_ns(now_ns),
            failures: self.failures.load(Ordering::Relaxed),
            failed_at_ns: MonoNs(self.failed_at_ns.load(Ordering::Relaxed)),
        }
    }

    /// Returns the requests of this host in flight.
    #[must_use]
    pub fn own_in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that this host has sent to the target.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the target's run (one start of its process) from the last report, or `None` before
    /// the first report.
    #[must_use]
    pub fn start_id(&self) -> Option<StartId> {
        match self.start_id.load(Ordering::Acquire) {
            0 => None,
            id => Some(StartId(id)),
        }
    }

    /// Returns the uptime in the last report, in milliseconds.
    #[must_use]
    pub fn uptime_ms(&self) -> u64 {
        self.uptime_ms.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the returned guard is dropped, or returns `None` if
    /// `limit` requests of this host are in flight already.
    ///
    /// The check and the count are one atomic step, so concurrent decisions cannot exceed the limit
    /// together.
    #[must_use]
    pub fn try_begin(self: &Arc<Self>, limit: u32) -> Option<InFlight> {
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |n| {
                (n < limit).then_some(n + 1)
            })
            .ok()?;
        self.sent.fetch_add(1, Ordering::Relaxed);
        Some(InFlight(Arc::clone(self)))
    }

    /// Returns the run in which the target last reported that it is leaving.
    #[must_use]
    pub fn leaving_run(&self) -> Option<StartId> {
        match self.leaving_run.load(Ordering::Acquire) {
            0 => None,
            id => Some(StartId(id)),
        }
    }

    /// Records the report on a response. Its request is left out of `own_at_report`: this host still
    /// counts it as in flight, but the target no longer does. Returns the earlier run if the target
    /// has restarted since.
    pub fn record_answer(&self, report: LoadReport, now_ns: MonoNs) -> Option<StartId> {
        let restarted = self.record_report(report, now_ns);
        let own = self.own_in_flight().saturating_sub(1);
        self.own_at_report.store(own, Ordering::Relaxed);
        restarted
    }

    /// Records a load report. Returns the earlier run if the target has restarted since.
    pub fn record_report(&self, report: LoadReport, now_ns: MonoNs) -> Option<StartId> {
        if report.is_leaving {
            self.leaving_run.store(report.start_id.0, Ordering::Release);
        }
        self.reported_in_flight
            .store(report.in_flight, Ordering::Relaxed);
        self.own_at_report
            .store(self.own_in_flight(), Ordering::Relaxed);
        self.reported_ns.store(now_ns.0, Ordering::Relaxed);
        self.uptime_ms.store(report.uptime_ms, Ordering::Relaxed);
        let before = self.start_id.swap(report.start_id.0, Ordering::AcqRel);
        (before != 0 && before != report.start_id.0).then_some(StartId(before))
    }

    /// Records the latency of a successful response: the estimate rises to it at once and falls by
    /// a quarter of the difference.
    pub fn record_success(&self, latency_ns: u64, now_ns: MonoNs) {
        let old = self.decayed_latency_ns(now_ns);
        let new = if latency_ns > old {
            latency_ns
        } else {
            old - (old - latency_ns) / 4
        };
        self.latency_ns.store(new, Ordering::Relaxed);
        self.latency_at_ns.store(now_ns.0, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Records a failure, so that a target that fails fast does not look idle.
    pub fn record_failure(&self, now_ns: MonoNs) {
        self.failures
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                Some(n.saturating_add(1))
            })
            .ok();
        self.failed_at_ns.store(now_ns.0, Ordering::Relaxed);
    }

    fn decayed_latency_ns(&self, now_ns: MonoNs) -> u64 {
        let latency_ns = self.latency_ns.load(Ordering::Relaxed);
        let age_ns = now_ns.ns_since(MonoNs(self.latency_at_ns.load(Ordering::Relaxed)));
        // Halves once per half-life that has passed without a successful response.
        let halvings = u32::try_from(age_ns / LATENCY_HALF_LIFE_NS).unwrap_or(u32::MAX);
        latency_ns.checked_shr(halvings).unwrap_or(0)
    }
}

/// Counts one request as in flight at a target until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<TargetCell>);

impl InFlight {
    /// Returns the target.
    #[must_use]
    pub fn target(&self) -> &Arc<TargetCell> {
        &self.0
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
