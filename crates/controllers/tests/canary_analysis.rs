//! Tests the canary analysis with exact counts.

use heatherhinge_controllers::{CanaryAnalysis, Counts, Judgement, Measure, Stratum, Window};
use heatherhinge_types::Name;
use yare::parameterized;

fn counts(answers: u64, failed: u64, slow: u64) -> Counts {
    Counts {
        good: answers - failed,
        failed,
        slow,
    }
}

/// Judges after `seconds` equal windows of (route, old, new). Each item has a zone of its own.
fn judge(seconds: u64, window: &[(&str, Counts, Counts)]) -> Judgement {
    let mut test = CanaryAnalysis::new(1);
    let mut routes = Window::new();
    for (index, (route, old, new)) in window.iter().enumerate() {
        let stratum = Stratum {
            old: *old,
            new: *new,
        };
        let zone = Name::from(format!("zone{index}"));
        routes.insert((Name::from(*route), zone), stratum);
    }
    for _ in 0..seconds {
        test.observe(&routes);
    }
    test.judge(300)
}

fn worse(route: Option<&str>, measure: Measure) -> Judgement {
    Judgement::Worse {
        route: route.map(Name::from),
        measure,
    }
}

/// Guards against a good version that is rolled back, and against one that passes with too few
/// responses. `a` is the only route in these cases.
#[parameterized(
    nothing_seen = { 100, counts(0, 0, 0), counts(0, 0, 0), Judgement::Undecided },
    no_new_answers = { 100, counts(400, 1, 20), counts(0, 0, 0), Judgement::Undecided },
    too_few = { 20, counts(400, 1, 20), counts(8, 0, 0), Judgement::Undecided },
    enough = { 60, counts(400, 1, 20), counts(8, 0, 0), Judgement::NotWorse },
    same_rates = { 60, counts(4_000, 40, 200), counts(100, 1, 5), Judgement::NotWorse },
    both_slow = { 60, counts(4_000, 4, 2_000), counts(100, 0, 50), Judgement::NotWorse },
    both_fail = { 60, counts(4_000, 400, 200), counts(100, 10, 5), Judgement::NotWorse },
    both_fail_mostly_new = { 60, counts(20, 4, 1), counts(400, 80, 20), Judgement::NotWorse },
    both_fail_nearly_always = { 60, counts(400, 390, 0), counts(8, 8, 0), Judgement::Undecided },
    one_failure_is_no_proof = { 1, counts(400, 0, 20), counts(8, 1, 0), Judgement::Undecided },
    one_bad_second_is_no_proof = { 1, counts(400, 0, 20), counts(50, 50, 0), Judgement::Undecided },
)]
fn not_taken_back(seconds: u64, old: Counts, new: Counts, expected: Judgement) {
    assert_eq!(judge(seconds, &[("a", old, new)]), expected);
}

/// Guards against a bad version that is not detected at some share. The total and the only route
/// have the same responses, so either may be the reason.
#[parameterized(
    all_fail = { 8, counts(400, 1, 20), counts(8, 8, 0), Measure::Failures },
    one_in_five_fails = { 15, counts(400, 1, 20), counts(10, 2, 0), Measure::Failures },
    at_half = { 10, counts(200, 1, 10), counts(200, 40, 10), Measure::Failures },
    nearly_all_new = { 30, counts(8, 0, 0), counts(392, 80, 20), Measure::Failures },
    twice_the_failures = { 200, counts(400, 8, 20), counts(400, 16, 20), Measure::Failures },
    half_is_slow = { 20, counts(400, 1, 20), counts(8, 0, 4), Measure::Slowness },
    while_both_are_disturbed = { 20, counts(400, 40, 20), counts(40, 24, 0), Measure::Failures },
)]
fn taken_back(seconds: u64, old: Counts, new: Counts, expected: Measure) {
    match judge(seconds, &[("a", old, new)]) {
        Judgement::Worse { measure, .. } => assert_eq!(measure, expected),
        other => assert_eq!(other, worse(None, expected)),
    }
}

/// Guards against a regression on one route that the total hides, and against different rates of
/// zones that count as a difference of the versions.
#[test]
fn routes_and_zones_are_compared_apart() {
    let fine = (counts(4_000, 4, 200), counts(40, 0, 2));
    let bad = (counts(100, 0, 5), counts(2, 1, 0));
    let judged = judge(40, &[("a", fine.0, fine.1), ("b", bad.0, bad.1)]);
    assert_eq!(judged, worse(Some("b"), Measure::Failures));
    // The new version gets most of its requests in the zone with more failures.
    let calm = (counts(4_000, 4, 200), counts(10, 0, 0));
    let disturbed = (counts(1_000, 300, 50), counts(100, 30, 5));
    let judged = judge(
        60,
        &[("a", calm.0, calm.1), ("a", disturbed.0, disturbed.1)],
    );
    assert!(!matches!(judged, Judgement::Worse { .. }), "{judged:?}");
}

/// Guards against late detection of a version that turns bad after a long good time.
#[test]
fn a_good_past_does_not_hide_a_bad_present() {
    let mut test = CanaryAnalysis::new(1);
    let window = |failed| {
        let stratum = Stratum {
            old: counts(400, 1, 20),
            new: counts(10, failed, 0),
        };
        Window::from([((Name::from("a"), Name::from("north")), stratum)])
    };
    for _ in 0..3_600 {
        test.observe(&window(0));
    }
    let seconds = (1..).find(|_| {
        test.observe(&window(5));
        test.worse().is_some()
    });
    assert!(seconds.is_some_and(|seconds| seconds <= 8), "{seconds:?}");
}
