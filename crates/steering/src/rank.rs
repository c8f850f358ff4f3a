//! Ranks targets by the load that probes report just before a request is sent.

use crate::{TargetLoad, USUAL_SLOWNESS_PERCENT};

/// Slot utilisation, in percent, above which some targets slow down.
const KNEE_PERCENT: u32 = 80;
/// Service time above the knee, in percent of the one below it.
const KNEE_SLOWNESS_PERCENT: u64 = 170;
/// Highest slowness plus failure penalty, in percent, at which a target is a good fit.
const GOOD_FIT_MAX_PERCENT: u32 = 150;

/// Expected time of a request at a target, in percent of that at an idle target of usual speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost(pub u64);

impl Cost {
    /// Returns the expected time in microseconds of a request that usually takes `usual_us`.
    #[must_use]
    pub const fn time_us(self, usual_us: u64) -> u64 {
        usual_us.saturating_mul(self.0) / USUAL_SLOWNESS_PERCENT as u64
    }
}

/// How well a target suits one more request at its current load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fit {
    /// Runs the request immediately and at its usual speed.
    Good,
    /// Runs the request immediately, but is slow or has failed recently.
    Slow,
    /// Queues the request until a slot is free.
    Queues,
}

/// Returns the expected relative time of one more request; `failure_penalty_percent` is what
/// recent failures of the target add.
#[must_use]
pub fn cost(load: &TargetLoad, failure_penalty_percent: u32) -> Cost {
    let slots = u64::from(load.slots.max(1));
    let after = u64::from(load.running) + u64::from(load.waiting) + 1;
    let mut cost = u64::from(load.slowness_percent + failure_penalty_percent);
    if after * 100 > slots * u64::from(KNEE_PERCENT) {
        cost = cost * KNEE_SLOWNESS_PERCENT / 100;
    }
    if after > slots {
        // Each full set of waiting requests costs about one more service time.
        cost += cost * (after - slots).div_ceil(slots);
    }
    Cost(cost)
}

/// Returns how well a target suits one more request; `failure_penalty_percent` is what its recent
/// failures add to its cost.
#[must_use]
pub const fn fit(load: &TargetLoad, failure_penalty_percent: u32) -> Fit {
    if load.running >= load.slots || load.waiting > 0 {
        Fit::Queues
    } else if load.slowness_percent + failure_penalty_percent > GOOD_FIT_MAX_PERCENT {
        Fit::Slow
    } else {
        Fit::Good
    }
}
