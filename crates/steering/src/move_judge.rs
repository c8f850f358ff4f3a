//! Judges a new version by its answers beside those of the current one.

use crate::{RouteTally, Tally};
use heatherhinge_types::Name;
use std::collections::BTreeMap;

/// Bad answers below which nothing is concluded.
const MIN_BAD: u32 = 4;
/// Rate by which a version has to be worse before it counts, as a share of its answers.
const MARGIN: f64 = 0.08;
/// Standard deviations by which a count has to be above what the current version makes likely.
const DEVIATIONS: f64 = 3.0;
/// Answers of the new version before it may be called good.
const MIN_ANSWERS: u32 = 20;

/// What the answers of a new version show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too few answers.
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
    is_more(current.bad, current.answers, moving.bad, moving.answers)
        || is_more(current.slow, current.answers, moving.slow, moving.answers)
}

/// Returns whether `count` of `answers` is more than the reference makes likely. The reference
/// rate is pulled towards 2% while it rests on few answers.
fn is_more(reference: u32, reference_answers: u32, count: u32, answers: u32) -> bool {
    if count < MIN_BAD {
        return false;
    }
    let rate = (f64::from(reference) + 1.0) / (f64::from(reference_answers) + 50.0);
    let answers = f64::from(answers);
    let expected = answers * rate;
    let spread = (expected * (1.0 - rate)).max(0.5).sqrt();
    let count = f64::from(count);
    count > expected + DEVIATIONS * spread && count / answers > rate + MARGIN
}
