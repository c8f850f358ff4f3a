//! Checks that a key runs at most once under every fault, and that the model detects second runs if
//! a rule is switched off.
//!
//! `SEEDS=100 cargo test --release -p heatherhinge-model -- --nocapture` runs more seeds, from
//! `FIRST_SEED` on and with leases of `LEASE_MS` milliseconds, and prints the table of
//! `docs/measurements-at-most-once.md`.

use heatherhinge_model::{Experiment, Faults, Rules, RunSummary, Step};
use std::ops::Range;
use std::thread;
use yare::parameterized;

/// Seeds of each profile in CI; with 9 profiles of 2,000 bookings they make 108,000 bookings.
const SEEDS: u64 = 6;
const BOOKINGS: usize = 2_000;

fn env_number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run_profile(faults: Faults, seeds: Range<u64>) -> RunSummary {
    let mut total = RunSummary::default();
    for seed in seeds {
        let mut experiment = Experiment::new(seed, BOOKINGS, faults, Rules::ALL);
        experiment.lease_ms = env_number("LEASE_MS", experiment.lease_ms);
        let summary = experiment.run();
        assert_eq!(summary.violations, Vec::<String>::new(), "seed {seed}");
        total.add(summary);
    }
    total
}

/// Guards against a key that runs twice, a false "not run" and a response that differs when it is
/// replayed, under every profile of faults.
#[test]
fn promises_hold_under_every_fault() {
    let first = env_number("FIRST_SEED", 0);
    let seeds = first..first + env_number("SEEDS", SEEDS);
    let totals: Vec<_> = thread::scope(|scope| {
        let runs: Vec<_> = Faults::PROFILES
            .iter()
            .map(|(name, faults)| (name, scope.spawn(|| run_profile(*faults, seeds.clone()))))
            .collect();
        runs.into_iter()
            .map(|(name, run)| (name, run.join()))
            .collect()
    });
    println!("Seeds {seeds:?}.\n");
    println!(
        "| Profile | {} | Last codes of the refused |",
        RunSummary::COLUMNS
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for (name, total) in totals {
        let total = total.unwrap_or_else(|_| panic!("the profile {name} failed, see above"));
        println!("| {name} | {total} | {:?} |", total.last_codes);
    }
}

fn run_violations(seed: u64, resends: usize, faults: Faults, rules: Rules) -> Vec<String> {
    let mut experiment = Experiment::new(seed, 1_000, faults, rules);
    experiment.resends = resends;
    experiment.run().violations
}

fn has_second_run(violations: &[String]) -> bool {
    violations.iter().any(|text| text.contains("ran twice"))
}

/// Guards against a model that detects nothing: without the rule, the seed gives a second run, and
/// with all rules the same seed gives no violation.
#[parameterized(
    tenure = { 0, Faults::HASTY_RESTARTS, Rules { tenure: false, ..Rules::ALL } },
    clock_margin = { 28, Faults::HASTY_RESTARTS, Rules { clock_margin: false, ..Rules::ALL } },
    attempt_id = { 0, Faults::PROFILES[1].1, Rules { attempt_id: false, ..Rules::ALL } },
)]
fn each_rule_is_needed(seed: u64, faults: Faults, rules: Rules) {
    assert!(has_second_run(&run_violations(seed, 6, faults, rules)));
    assert_eq!(
        run_violations(seed, 6, faults, Rules::ALL),
        Vec::<String>::new()
    );
}

/// Guards against a not-after time that has no effect. The rule on the tenure alone prevents second
/// runs by late sends, so it is off here: then only the not-after time prevents them.
#[test]
fn not_after_time_prevents_late_runs() {
    let tenure_off = Rules {
        tenure: false,
        ..Rules::ALL
    };
    let both_off = Rules {
        not_after: false,
        ..tenure_off
    };
    let not_after_off = Rules {
        not_after: false,
        ..Rules::ALL
    };
    for seed in 0..3 {
        assert!(has_second_run(&run_violations(
            seed,
            1,
            Faults::LATE_SENDS,
            both_off
        )));
        let false_not_run = run_violations(seed, 1, Faults::LATE_SENDS, tenure_off);
        assert!(!false_not_run.is_empty() && !has_second_run(&false_not_run));
        for rules in [not_after_off, Rules::ALL] {
            let found = run_violations(seed, 1, Faults::LATE_SENDS, rules);
            assert_eq!(found, Vec::<String>::new());
        }
    }
}

/// Guards against a change of the events and response codes of a takeover after a kill.
#[test]
fn session_of_a_takeover() {
    let mut session = Experiment::new(1, 0, Faults::CLOCK_ERROR_ONLY, Rules::ALL);
    session.hosts = 3;
    session.script = vec![
        (
            16_000,
            Step::Book {
                via: 0,
                partition: 7,
            },
        ),
        (17_000, Step::Resend { booking: 0, via: 2 }),
        (18_000, Step::Kill { host: 1 }),
        (20_000, Step::Resend { booking: 0, via: 2 }),
        (36_000, Step::Resend { booking: 0, via: 2 }),
        (
            36_500,
            Step::Book {
                via: 0,
                partition: 7,
            },
        ),
        (40_000, Step::Wait),
    ];
    insta::assert_snapshot!(session.run().transcript.join("\n"));
}
