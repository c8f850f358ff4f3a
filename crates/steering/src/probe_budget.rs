//! One host's share of the fleet's budget for load probes.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// Share of the fleet's budget that is used, in percent. The rest covers hosts whose request
/// rates are unknown.
const USED_PERCENT: u64 = 80;
/// Upper bound of the saved probes for load peaks, in thousandths of a probe.
const MAX_SAVED_MILLI: i64 = 400_000;
/// Saved probes, in thousandths, below which rounds are limited to two targets.
const REDUCED_BELOW_MILLI: i64 = 200_000;
/// Saved probes, in thousandths, below which only one small round is made.
const MINIMAL_BELOW_MILLI: i64 = 30_000;
/// Upper bound of the probes that one request adds, in thousandths.
const MAX_GRANT_MILLI: u64 = 20_000;

/// How many probes a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeSupply {
    /// Rounds of full size.
    Full,
    /// Small rounds.
    Reduced,
    /// One small round.
    Minimal,
}

/// Token bucket of load probes. The limit applies to a whole day and to the sum of all hosts, so
/// each request of a caller adds the fleet's allowed probes divided by the fleet's requests.
#[derive(Debug, Default)]
pub struct ProbeBudget {
    grant_milli: AtomicU64,
    saved_milli: AtomicI64,
}

impl ProbeBudget {
    /// Sets what a request adds: the probes per second allowed for all targets together, divided
    /// by the requests per second of all hosts.
    pub fn set_rates(&self, probes_per_target_s: u64, targets: u64, requests_per_s: u64) {
        let allowed_milli = probes_per_target_s * targets * USED_PERCENT * 10;
        let grant = allowed_milli / requests_per_s.max(1);
        self.grant_milli
            .store(grant.min(MAX_GRANT_MILLI), Ordering::Relaxed);
    }

    /// Adds the probes for one request of a caller and returns how many it may use.
    pub fn begin_request(&self) -> ProbeSupply {
        let grant = self.grant_milli.load(Ordering::Relaxed);
        let grant = i64::try_from(grant).unwrap_or(0);
        let saved = self.saved_milli.load(Ordering::Relaxed) + grant;
        let saved = saved.min(MAX_SAVED_MILLI);
        self.saved_milli.store(saved, Ordering::Relaxed);
        self.supply()
    }

    /// Returns how many probes a request may use now.
    #[must_use]
    pub fn supply(&self) -> ProbeSupply {
        let saved = self.saved_milli.load(Ordering::Relaxed);
        if saved < MINIMAL_BELOW_MILLI {
            ProbeSupply::Minimal
        } else if saved < REDUCED_BELOW_MILLI {
            ProbeSupply::Reduced
        } else {
            ProbeSupply::Full
        }
    }

    /// Subtracts probes from the saved ones. The result may be negative, so that a request can
    /// always probe at least one target.
    pub fn spend(&self, probes: usize) {
        let milli = i64::try_from(probes).unwrap_or(0).saturating_mul(1_000);
        self.saved_milli.fetch_sub(milli, Ordering::Relaxed);
    }
}
