//! Per-target state that requests update with atomics.

use crate::{HoldOff, RateLimit};
use heatherhinge_types::MonoNs;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

/// Added to the cost of a target for one failure, in percent of its usual cost.
const FAILURE_PENALTY_STEP_PERCENT: u32 = 150;
/// Upper bound of the failure penalty, in percent.
const FAILURE_PENALTY_MAX_PERCENT: u32 = 1_200;
/// Half-life of the failure penalty, in milliseconds.
const FAILURE_PENALTY_HALF_LIFE_MS: u64 = 1_000;

/// Stands for a target without a rate limit.
const UNLIMITED: u64 = u64::MAX;
/// Time for which a rate limit holds after the last response that named it, in milliseconds. A host
/// that may not send to a limited target gets no responses of it and must ask it again.
const RATE_LIMIT_HOLD_MS: u64 = 3_000;

/// How a response changed what is known of a target's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimitChange {
    /// The target has a limit now and had none before.
    Began,
    /// The target has no limit any more.
    Ended,
    /// The target has a limit as before, perhaps another one, or still has none.
    Unchanged,
}

/// State of a target that any request may update; readers tolerate values that are milliseconds
/// old.
#[derive(Debug)]
pub struct TargetCell {
    in_flight: AtomicU32,
    cold_until_ns: AtomicU64,
    avoid_until_ns: AtomicU64,
    /// Until when the target has asked this host to send it nothing.
    held_until_ns: AtomicU64,
    /// Whether the target has said that it leaves.
    is_leaving: AtomicBool,
    /// Failure penalty at `last_failure_at_ns`, before it decays.
    failure_penalty_percent: AtomicU32,
    last_failure_at_ns: AtomicU64,
    next_token_at_ns: AtomicU64,
    /// [`UNLIMITED`] if the target names no limit.
    rate_limit_milli: AtomicU64,
    rate_limit_until_ns: AtomicU64,
}

impl Default for TargetCell {
    fn default() -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            cold_until_ns: AtomicU64::new(0),
            avoid_until_ns: AtomicU64::new(0),
            held_until_ns: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            failure_penalty_percent: AtomicU32::new(0),
            last_failure_at_ns: AtomicU64::new(0),
            next_token_at_ns: AtomicU64::new(0),
            rate_limit_milli: AtomicU64::new(UNLIMITED),
            rate_limit_until_ns: AtomicU64::new(0),
        }
    }
}

impl TargetCell {
    /// Returns the in-flight requests of this host at the target.
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

    /// Sets how much longer the target stays cold; 0 means that it is warm.
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

    /// Sets the rate limit that the target's last response named, if any.
    pub fn set_rate_limit(&self, now: MonoNs, limit: Option<RateLimit>) -> RateLimitChange {
        let milli = limit.map_or(UNLIMITED, |limit| limit.milli_per_s);
        let until = now.plus_ms(RATE_LIMIT_HOLD_MS).0;
        self.rate_limit_until_ns.store(until, Ordering::Relaxed);
        let before = self.rate_limit_milli.swap(milli, Ordering::Relaxed);
        match (before == UNLIMITED, milli == UNLIMITED) {
            (true, false) => RateLimitChange::Began,
            (false, true) => RateLimitChange::Ended,
            _ => RateLimitChange::Unchanged,
        }
    }

    /// Returns the rate limit that the target's last response named, unless that was long ago.
    #[must_use]
    pub fn rate_limit(&self, now: MonoNs) -> Option<RateLimit> {
        if self.rate_limit_until_ns.load(Ordering::Relaxed) <= now.0 {
            return None;
        }
        let milli_per_s = self.rate_limit_milli.load(Ordering::Relaxed);
        (milli_per_s != UNLIMITED).then_some(RateLimit { milli_per_s })
    }

    /// Excludes the target from selection until a time; an earlier time than the current one has no
    /// effect.
    pub fn avoid_until(&self, until: MonoNs) {
        self.avoid_until_ns.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Returns whether the target is excluded from selection.
    #[must_use]
    pub fn is_avoided(&self, now: MonoNs) -> bool {
        self.avoid_until_ns.load(Ordering::Relaxed) > now.0
    }

    /// Records that the target is leaving, which holds until it starts again; returns whether this
    /// is new.
    pub fn set_leaving(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::Relaxed)
    }

    /// Returns whether the target has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Holds off requests to the target for a time; a shorter time than the one in force has no
    /// effect. Returns whether the time became longer.
    pub fn hold_off(&self, now: MonoNs, hold_off: HoldOff) -> bool {
        let until = now.plus_ms(hold_off.ms).0;
        let before = self.held_until_ns.fetch_max(until, Ordering::Relaxed);
        until > before && hold_off.ms > 0
    }

    /// Returns for how long requests to the target are held off, in milliseconds.
    #[must_use]
    pub fn held_off_ms(&self, now: MonoNs) -> u64 {
        let until = self.held_until_ns.load(Ordering::Relaxed);
        until.saturating_sub(now.0).div_ceil(1_000_000)
    }

    /// Raises the failure penalty by one step.
    pub fn record_failure(&self, now: MonoNs) {
        let raised = (self.failure_penalty_percent(now) + FAILURE_PENALTY_STEP_PERCENT)
            .min(FAILURE_PENALTY_MAX_PERCENT);
        self.failure_penalty_percent
            .store(raised, Ordering::Relaxed);
        self.last_failure_at_ns.store(now.0, Ordering::Relaxed);
    }

    /// Lowers the failure penalty by a quarter.
    pub fn record_success(&self) {
        let penalty_percent = self.failure_penalty_percent.load(Ordering::Relaxed);
        if penalty_percent > 0 {
            self.failure_penalty_percent
                .store(penalty_percent * 3 / 4, Ordering::Relaxed);
        }
    }

    /// Returns what recent failures add to the cost of the target, in percent. It halves each
    /// second, so that a target that is no longer chosen is tried again.
    #[must_use]
    pub fn failure_penalty_percent(&self, now: MonoNs) -> u32 {
        let penalty_percent = self.failure_penalty_percent.load(Ordering::Relaxed);
        if penalty_percent == 0 {
            return 0;
        }
        let at = MonoNs(self.last_failure_at_ns.load(Ordering::Relaxed));
        let halvings =
            u32::try_from(now.ms_since(at) / FAILURE_PENALTY_HALF_LIFE_MS).unwrap_or(u32::MAX);
        penalty_percent.checked_shr(halvings).unwrap_or(0)
    }

    /// Returns whether [`Self::take_token`] would succeed.
    #[must_use]
    pub fn has_token(&self, now: MonoNs) -> bool {
        self.next_token_at_ns.load(Ordering::Relaxed) <= now.0
    }

    /// Takes the token of one request to a target that bears few, and returns whether there was
    /// one. Tokens are `interval_ns` apart; one that is taken late brings the next forward by up to
    /// half an interval, so that a host with few requests still uses most of the rate.
    pub fn take_token(&self, now: MonoNs, interval_ns: u64) -> bool {
        self.next_token_at_ns
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |at| {
                let start = at.max(now.0.saturating_sub(interval_ns / 2));
                (at <= now.0).then(|| start.saturating_add(interval_ns))
            })
            .is_ok()
    }
}
