//! Tests of the experiments in virtual time.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_load::experiment::{
    Budgeted, Fault, Fleet, ImmediateRetry, NoRetry, POLICIES, RetryRule, Scenario, Tally,
    run_retry_experiment, simulate,
};
use heatherhinge_policy::{Random, Weighted};
use yare::parameterized;

const SECONDS: u64 = 6;

fn scenario(load_permille: u64, fault: Fault) -> Scenario {
    Scenario::new("test", load_permille, fault, SECONDS)
}

fn good_permille(tally: &Tally) -> u64 {
    let total = tally.total(0, usize::MAX);
    total.good * 1_000 / total.requests
}

/// Guards against a comparison whose policies do not get the same arrivals, and against results
/// that differ between runs of one seed.
#[test]
fn cases_are_deterministic_and_share_arrivals() {
    let scenario = scenario(700, Fault::NoisyNeighbours);
    let requests =
        |tally: &Tally| -> Vec<u64> { tally.slices.iter().map(|s| s.requests).collect() };
    let first = simulate::<Random, _>(&Fleet::VATUWAQA, &scenario, Budgeted, 1).unwrap();
    for (name, run) in POLICIES {
        let tally = run(&Fleet::VATUWAQA, &scenario, Budgeted, 1).unwrap();
        assert_eq!(requests(&tally), requests(&first), "{name}");
        assert_eq!(
            tally,
            run(&Fleet::VATUWAQA, &scenario, Budgeted, 1).unwrap()
        );
    }
    let other = simulate::<Random, _>(&Fleet::VATUWAQA, &scenario, Budgeted, 2).unwrap();
    assert_ne!(requests(&other), requests(&first));
}

/// Guards against a load that is not the stated share of the slots.
#[parameterized(
    vatuwaqa = { Fleet::VATUWAQA, 12_500 },
    kozhikode = { Fleet::KOZHIKODE, 12_000 },
)]
fn load_is_the_stated_share(fleet: Fleet, capacity_per_s: u64) {
    let tally = simulate::<Weighted, _>(&fleet, &scenario(500, Fault::None), NoRetry, 1).unwrap();
    let total = tally.total(0, usize::MAX);
    // The first second is not counted.
    let expected = capacity_per_s / 2 * (SECONDS - 1);
    assert!(
        total.requests.abs_diff(expected) * 50 < expected,
        "{}",
        total.requests
    );
}

/// Guards against faults without effect: each must cost the random policy good responses.
#[parameterized(
    noisy = { Fault::NoisyNeighbours },
    slow_down = { Fault::SlowDown },
    fail_fast = { Fault::FailFast },
    outage = { Fault::Outage },
)]
fn fault_reduces_good_responses_of_random_choice(fault: Fault) {
    let run = |fault| simulate::<Random, _>(&Fleet::VATUWAQA, &scenario(500, fault), NoRetry, 1);
    let (without_fault, with_fault) = (run(Fault::None).unwrap(), run(fault).unwrap());
    // Full targets shed some requests of a random choice, and this rule does not retry.
    assert!(good_permille(&without_fault) >= 999);
    assert!(good_permille(&with_fault) < 990);
}

/// Guards against the weighted policy having fewer good responses than a random choice.
#[parameterized(
    noisy = { Fault::NoisyNeighbours },
    slow_down = { Fault::SlowDown },
    fail_fast = { Fault::FailFast },
    lying = { Fault::LyingReports },
    lagging = { Fault::LaggingReports },
)]
fn weighted_is_at_least_as_good_as_random(fault: Fault) {
    let scenario = scenario(700, fault);
    for fleet in [Fleet::VATUWAQA, Fleet::KOZHIKODE] {
        let weighted = simulate::<Weighted, _>(&fleet, &scenario, Budgeted, 1).unwrap();
        let random = simulate::<Random, _>(&fleet, &scenario, Budgeted, 1).unwrap();
        assert!(
            good_permille(&weighted) >= good_permille(&random),
            "{}",
            fleet.name
        );
    }
}

/// Guards against targets that fail for seconds and then attract requests, because their recorded
/// latency has decayed: in the last 2 s of an outage of 9 s, `Weighted` must still choose the good
/// half.
#[parameterized(
    vatuwaqa = { Fleet::VATUWAQA },
    kozhikode = { Fleet::KOZHIKODE },
)]
fn weighted_finds_the_good_half_in_a_long_outage(fleet: Fleet) {
    let scenario = Scenario::new("test", 450, Fault::Outage, 27);
    let tally = simulate::<Weighted, _>(&fleet, &scenario, Budgeted, 1).unwrap();
    let last = tally.total(16, 18);
    // The good half can serve all of this load.
    assert!(last.good * 10 > last.requests * 9, "{last:?}");
}

fn attempts_permille<T: RetryRule>(rule: T) -> u64 {
    let scenario = scenario(500, Fault::Outage);
    let tally = simulate::<Random, _>(&Fleet::VATUWAQA, &scenario, rule, 1).unwrap();
    let total = tally.total(2, 4);
    total.attempts * 1_000 / total.requests
}

/// Guards against retries that multiply the load in an outage.
#[test]
fn retry_rules_bound_attempts() {
    assert_eq!(attempts_permille(NoRetry), 1_000);
    assert!(attempts_permille(Budgeted) <= 1_100);
    let three = attempts_permille(ImmediateRetry);
    assert!((1_500..=4_000).contains(&three), "{three}");
}

/// Guards against a report that leaves out a case or a part of the outage.
#[test]
fn retry_report_has_all_cases() {
    let report = run_retry_experiment(1, SECONDS).unwrap();
    assert_eq!(report.rows.len(), 36);
    assert!(
        report
            .rows
            .iter()
            .all(|row| row.goodput_permille_during < 1_000)
    );
    assert!(
        report
            .rows
            .iter()
            .all(|row| row.goodput_permille_by_s.len() == 6)
    );
    assert_eq!(report.to_markdown().lines().count(), 38);
}
