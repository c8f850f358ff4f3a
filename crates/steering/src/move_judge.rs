//! Compares the responses of a new version with those of the current one.

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

/// Result of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too few responses.
    Unclear,
    /// No worse than the current version so far.
    Good,
    /// Worse than the current version.
    Bad,
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
    let is_bad = routes
        .values()
        .chain(std::iter::once(&all))
        .any(|(current, moving)| is_worse(current, moving));
    if is_bad {
        Verdict::Bad
    } else if all.1.answers < MIN_ANSWERS {
        Verdict::Unclear
    } else {
        Verdict::Good
    }
}

fn is_worse(current: &Tally, moving: &Tally) -> bool {
    is_significantly_higher(current.bad, current.answers, moving.bad, moving.answers)
        || is_significantly_higher(current.slow, current.answers, moving.slow, moving.answers)
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
