//! What an entry host has seen of one target, as atomics.

use heatherhinge_types::MonoNs;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// What one failure adds to the cost of a target, in percent of its usual cost.
const TROUBLE_STEP_PERCENT: u32 = 150;
/// Most that failures add, in percent.
const TROUBLE_MAX_PERCENT: u32 = 1_200;
/// Time in which the memory of failures halves, in milliseconds.
const TROUBLE_HALF_LIFE_MS: u64 = 1_000;

/// Hot state of a target. Any request may write it; readers bear values that are milliseconds old.
#[derive(Debug, Default)]
pub struct TargetCell {
    in_flight: AtomicU32,
    cold_until_ns: AtomicU64,
    avoid_until_ns: AtomicU64,
    /// Trouble that the last failures left, and when it was last raised.
    failure_penalty_percent: AtomicU32,
    trouble_at_ns: AtomicU64,
    cold_tokens_at_ns: AtomicU64,
}

impl TargetCell {
    /// Returns the requests of this host that the target has at the moment.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as sent.
    pub fn begin(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request as ended.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records how much longer the target stays cold.
    pub fn set_cold(&self, now: MonoNs, cold_ms: u64) {
        let until = if cold_ms == 0 {
            0
        } else {
            now.plus_ms(cold_ms).0
        };
        self.cold_until_ns.store(until, Ordering::Relaxed);
    }

    /// Returns whether the target is cold.
    #[must_use]
    pub fn is_cold(&self, now: MonoNs) -> bool {
        self.cold_until_ns.load(Ordering::Relaxed) > now.0
    }

    /// Keeps requests away from the target until a time.
    pub fn avoid_until(&self, until: MonoNs) {
        self.avoid_until_ns.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Returns whether requests are kept away.
    #[must_use]
    pub fn is_avoided(&self, now: MonoNs) -> bool {
        self.avoid_until_ns.load(Ordering::Relaxed) > now.0
    }

    /// Counts a failure of a request.
    pub fn fail(&self, now: MonoNs) {
        let raised =
            (self.failure_penalty_percent(now) + TROUBLE_STEP_PERCENT).min(TROUBLE_MAX_PERCENT);
        self.failure_penalty_percent
            .store(raised, Ordering::Relaxed);
        self.trouble_at_ns.store(now.0, Ordering::Relaxed);
    }

    /// Counts a good answer.
    pub fn succeed(&self) {
        let trouble = self.failure_penalty_percent.load(Ordering::Relaxed);
        if trouble > 0 {
            self.failure_penalty_percent
                .store(trouble * 3 / 4, Ordering::Relaxed);
        }
    }

    /// Returns what recent failures add to the cost of the target, in percent. It halves each
    /// second, so that a target that nobody chooses gets another chance.
    #[must_use]
    pub fn failure_penalty_percent(&self, now: MonoNs) -> u32 {
        let trouble = self.failure_penalty_percent.load(Ordering::Relaxed);
        if trouble == 0 {
            return 0;
        }
        let at = MonoNs(self.trouble_at_ns.load(Ordering::Relaxed));
        let halvings = u32::try_from(now.ms_since(at) / TROUBLE_HALF_LIFE_MS).unwrap_or(u32::MAX);
        trouble.checked_shr(halvings).unwrap_or(0)
    }

    /// Takes one request's worth of a cold target's allowance, if there is one.
    ///
    /// The allowance is a virtual schedule: requests are `interval_ns` apart on average, and at
    /// most `burst` of them may come at once.
    pub fn take_cold_token(&self, now: MonoNs, interval_ns: u64, burst: u64) -> bool {
        let slack_ns = interval_ns.saturating_mul(burst.saturating_sub(1));
        self.cold_tokens_at_ns
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |at| {
                let start = at.max(now.0.saturating_sub(slack_ns));
                (start <= now.0).then(|| start.saturating_add(interval_ns))
            })
            .is_ok()
    }
}
