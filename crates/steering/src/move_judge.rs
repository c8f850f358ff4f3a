//! Judges a new version by its own responses and by those of the current version.
//!
//! A comparison alone can only take a version back. While a disruption makes the current version
//! fail, it cannot tell a bad version from a good one, so a version is proven only by responses of
//! its own that are good enough without any excuse.

use crate::{RouteTally, Tally};
use heatherhinge_types::Name;
use std::collections::BTreeMap;

/// Bad or slow responses of the new version below which it is not called bad.
const MIN_BAD: u32 = 4;
/// Excess over the rate of the current version below which a new one is not called bad, as a
/// share of its responses.
const MIN_RATE_EXCESS: f64 = 0.08;
/// Standard deviations above the expected count from which a new version is called bad.
const MIN_DEVIATIONS: f64 = 3.0;
/// Responses of the new version before it may be called good.
const MIN_ANSWERS: u32 = 20;
/// Largest share of bad or slow responses of a version that may receive all requests.
const MAX_FAULT_RATE: f64 = 0.15;
/// Standard deviations by which the share of bad or slow responses must be below or above
/// [`MAX_FAULT_RATE`] to be known.
const FAULT_RATE_DEVIATIONS: f64 = 2.0;
/// Bad or slow responses that a version above [`MAX_FAULT_RATE`] may give before it is taken back.
/// The requirements allow requests until 5 s after the fiftieth, and the counts and the decision
/// take up to 3 s to reach all hosts.
const MAX_FAULTS: u32 = 30;

/// What the responses show of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too few responses.
    Unclear,
    /// No worse than the current version, but not shown to be good either.
    Unproven,
    /// No worse than the current version, and most of its responses are good.
    Good,
    /// Fails too often for any version, though the current one may fail as often.
    Failing,
    /// Worse than the current version.
    Worse,
}

/// Sums the tallies of several hosts by route and judges each route and all of them together.
pub fn judge<'a>(tallies: impl Iterator<Item = &'a RouteTally>) -> Verdict {
    let mut routes: BTreeMap<&Name, (Tally, Tally)> = BTreeMap::new();
    for tally in tallies {
        let sums = routes.entry(&tally.route).or_default();
        sums.0 += tally.current;
        sums.1 += tally.moving;
    }
    let mut all = (Tally::default(), Tally::default());
    for (current, moving) in routes.values() {
        all.0 += *current;
        all.1 += *moving;
    }
    let mut judged = routes.values().chain(std::iter::once(&all));
    if judged
        .clone()
        .any(|(current, moving)| is_worse(current, moving))
    {
        Verdict::Worse
    } else if judged.any(|(_, moving)| is_failing(moving)) {
        Verdict::Failing
    } else if all.1.answers < MIN_ANSWERS {
        Verdict::Unclear
    } else if is_proven(&all.1) && routes.values().all(|(_, moving)| may_be_good(moving)) {
        Verdict::Good
    } else {
        Verdict::Unproven
    }
}

fn is_worse(current: &Tally, moving: &Tally) -> bool {
    is_significantly_higher(current.bad, current.answers, moving.bad, moving.answers)
        || is_significantly_higher(current.slow, current.answers, moving.slow, moving.answers)
}

/// Returns whether the version fails too often, with enough responses to know it.
fn is_failing(moving: &Tally) -> bool {
    let faults = f64::from(moving.faults());
    moving.faults() >= MAX_FAULTS
        && faults - FAULT_RATE_DEVIATIONS * faults.sqrt()
            > MAX_FAULT_RATE * f64::from(moving.answers)
}

/// Returns whether the share of faults is below its bound, with enough responses to know it.
fn is_proven(moving: &Tally) -> bool {
    let faults = f64::from(moving.faults());
    faults + FAULT_RATE_DEVIATIONS * (faults + 1.0).sqrt()
        <= MAX_FAULT_RATE * f64::from(moving.answers)
}

/// Returns whether a route, which may have few responses, does not speak against the version.
fn may_be_good(moving: &Tally) -> bool {
    moving.faults() < MIN_BAD || is_proven(moving)
}

/// Returns whether `count` of `answers` is significantly above the reference rate. That rate is
/// biased towards 2% while it is based on few responses.
fn is_significantly_higher(
    reference: u32,
    reference_answers: u32,
    count: u32,
    answers: u32,
) -> bool {
    if count < MIN_BAD {
        return false;
    }
    let rate = (f64::from(reference) + 1.0) / (f64::from(reference_answers) + 50.0);
    let answers = f64::from(answers);
    let expected = answers * rate;
    let spread = (expected * (1.0 - rate)).max(0.5).sqrt();
    let count = f64::from(count);
    count > expected + MIN_DEVIATIONS * spread && count / answers > rate + MIN_RATE_EXCESS
}
