//! The share of one host in the budget for load probes.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// Share of the fleet's budget that is used, in percent. The rest covers hosts whose request
/// rates are not known yet.
const USED_PERCENT: u64 = 80;
/// Probes that a host may save for a busy moment, in thousandths.
const MAX_SAVED_MILLI: i64 = 400_000;
/// Savings, in thousandths of a probe, below which rounds are cut to two targets.
const SHORT_MILLI: i64 = 200_000;
/// Savings, in thousandths of a probe, below which only one small round is made.
const SCARCE_MILLI: i64 = 30_000;
/// Most probes that one request may add to the savings, in thousandths.
const MAX_GRANT_MILLI: u64 = 20_000;

/// How freely probes may be spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeSupply {
    /// Rounds of full size.
    Full,
    /// Small rounds.
    Reduced,
    /// One small round.
    Minimal,
}

/// Probes that may be spent. The budget holds over the whole day and for the sum of all hosts, so
/// each request of a caller brings as many probes as the fleet's budget has for each of its
/// requests.
#[derive(Debug, Default)]
pub struct ProbeBudget {
    grant_milli: AtomicU64,
    saved_milli: AtomicI64,
}

impl ProbeBudget {
    /// Sets what a request brings: the probes that all targets together bear each second, shared
    /// out over the requests that all hosts get each second.
    pub fn set_rates(&self, probes_per_target_s: u64, targets: u64, requests_per_s: u64) {
        let allowed_milli = probes_per_target_s * targets * USED_PERCENT * 10;
        let grant = allowed_milli / requests_per_s.max(1);
        self.grant_milli
            .store(grant.min(MAX_GRANT_MILLI), Ordering::Relaxed);
    }

    /// Adds what one request of a caller brings and returns how freely probes may be spent.
    pub fn begin_request(&self) -> ProbeSupply {
        let grant = self.grant_milli.load(Ordering::Relaxed);
        let grant = i64::try_from(grant).unwrap_or(0);
        let saved = self.saved_milli.load(Ordering::Relaxed) + grant;
        let saved = saved.min(MAX_SAVED_MILLI);
        self.saved_milli.store(saved, Ordering::Relaxed);
        self.supply()
    }

    /// Returns how freely probes may be spent.
    #[must_use]
    pub fn supply(&self) -> ProbeSupply {
        let saved = self.saved_milli.load(Ordering::Relaxed);
        if saved < SCARCE_MILLI {
            ProbeSupply::Minimal
        } else if saved < SHORT_MILLI {
            ProbeSupply::Reduced
        } else {
            ProbeSupply::Full
        }
    }

    /// Takes probes out of the savings. The savings may go below zero, so that a request can
    /// always ask at least one target.
    pub fn spend(&self, probes: usize) {
        let milli = i64::try_from(probes).unwrap_or(0).saturating_mul(1_000);
        self.saved_milli.fetch_sub(milli, Ordering::Relaxed);
    }
}
