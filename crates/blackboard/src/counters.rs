//! Holds the atomic counters and the status of one host.

use heatherhinge_types::MonoNs;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

/// Phase of this host's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostPhase {
    /// No bundle is in force yet.
    Starting,
    /// The host accepts new requests.
    Serving,
    /// The host is no longer listed for callers but still accepts new requests.
    Leaving,
    /// The host accepts no new requests and finishes those in flight.
    Draining,
}

/// The state of the host that every request reads.
#[derive(Debug, Default)]
pub struct HostStatus {
    phase: AtomicU8,
    fresh_until_ns: AtomicU64,
    store_contact_ns: AtomicU64,
}

impl HostStatus {
    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> HostPhase {
        match self.phase.load(Ordering::Acquire) {
            0 => HostPhase::Starting,
            1 => HostPhase::Serving,
            2 => HostPhase::Leaving,
            _ => HostPhase::Draining,
        }
    }

    /// Sets the phase; only the drain controller does so.
    pub fn set_phase(&self, phase: HostPhase) {
        self.phase.store(phase as u8, Ordering::Release);
    }

    /// Returns whether the bundle in force may be assumed to be the newest.
    #[must_use]
    pub fn is_fresh(&self, now_ns: MonoNs) -> bool {
        now_ns.0 < self.fresh_until_ns.load(Ordering::Acquire)
    }

    /// Sets the end of freshness; only the bundle controller does so.
    pub fn set_fresh_until(&self, until_ns: MonoNs) {
        self.fresh_until_ns.store(until_ns.0, Ordering::Release);
    }

    /// Returns the age of the last contact with the store, directly or through peers, in
    /// milliseconds; `u64::MAX` if there was none since the start or the last pause.
    #[must_use]
    pub fn store_age_ms(&self, now_ns: MonoNs) -> u64 {
        match self.store_contact_ns.load(Ordering::Acquire) {
            0 => u64::MAX,
            // Rounded up, so that a sum of ages is never too low.
            contact_ns => now_ns.ns_since(MonoNs(contact_ns)).div_ceil(1_000_000),
        }
    }

    /// Sets the time of the last contact with the store, 0 for none; only the bundle controller
    /// does so.
    pub fn record_store_contact(&self, contact_ns: MonoNs) {
        self.store_contact_ns.store(contact_ns.0, Ordering::Release);
    }
}

/// Retry credit of an unused service, in thousandths: two retries, so that one target that is down
/// does not make the first requests fail.
const RETRY_CREDIT_START_PERMILLE: u64 = 2_000;

/// Counters of one service on one host.
#[derive(Debug)]
pub struct ServiceCounters {
    /// Complete responses passed to callers.
    pub successes: AtomicU64,
    /// Requests refused by this host.
    pub refusals: AtomicU64,
    /// Attempts after the first.
    pub retries: AtomicU64,
    /// Retry credit left, in thousandths of a retry.
    pub retry_credit_permille: AtomicU64,
    /// Moving average of the time that a target takes for one request, in nanoseconds; 0 at first.
    pub service_time_ns: AtomicU64,
}

impl Default for ServiceCounters {
    fn default() -> Self {
        Self {
            successes: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
            retries: AtomicU64::new(0),
            retry_credit_permille: AtomicU64::new(RETRY_CREDIT_START_PERMILLE),
            service_time_ns: AtomicU64::new(0),
        }
    }
}

/// Counters of one host.
#[derive(Debug, Default)]
pub struct Counters {
    /// Phase and freshness.
    pub status: HostStatus,
    /// Active probes sent to targets.
    pub probes: AtomicU64,
    /// Requests received from callers.
    pub requests: AtomicU64,
    /// Requests in flight from callers.
    pub in_flight: AtomicU64,
    /// Claim requests sent to other hosts.
    pub claims_sent: AtomicU64,
}
