//! Simulates version moves with many seeds and prints their results as a Markdown table.
//!
//! `cargo run --release -p heatherhinge-controllers --example move_table -- 200 1001`
//!
//! The arguments are the number of seeds, the first seed, and optionally the only service to run.

#[path = "support/mod.rs"]
#[allow(
    unreachable_pub,
    dead_code,
    missing_docs,
    reason = "shared with the tests"
)]
mod support;

use heatherhinge_blackboard::MoveState;
use std::thread;
use support::move_fleet::MoveFleet;
use support::setup::{Fault, Setup};

/// Results of one run.
struct Run {
    state: Option<MoveState>,
    is_bad: bool,
    detected_ms: Option<u64>,
    harmed_permille: f64,
    ended_ms: Option<u64>,
    invariant_violations: u64,
}

fn run(setup: Setup) -> Run {
    let mut fleet = MoveFleet::new(setup);
    fleet.run();
    let observed = &fleet.observed;
    let is_taken_back = observed.state == Some(MoveState::TakenBack);
    let detected_ms = observed
        .harmed_since_ms
        .filter(|_| is_taken_back)
        .map(|since_ms| observed.last_new_ms.saturating_sub(since_ms));
    Run {
        state: observed.state,
        is_bad: fleet.is_bad(),
        detected_ms,
        harmed_permille: observed.harmed as f64 * 1_000.0 / observed.requests as f64,
        ended_ms: observed.ended_ms,
        invariant_violations: observed.above_cap + observed.after_taken_back,
    }
}

fn quantile(mut values: Vec<u64>, part: f64) -> String {
    values.sort_unstable();
    let index = ((values.len() as f64 - 1.0) * part).round() as usize;
    values.get(index).map_or("–".to_owned(), |ms| {
        format!("{:.1}", *ms as f64 / 1_000.0)
    })
}

fn row(user: &str, name: &str, runs: &[Run]) {
    let count = |state| runs.iter().filter(|run| run.state == Some(state)).count();
    let false_alarms = runs
        .iter()
        .filter(|run| !run.is_bad && run.state == Some(MoveState::TakenBack))
        .count();
    let detected: Vec<u64> = runs.iter().filter_map(|run| run.detected_ms).collect();
    let done = runs.iter().filter(|run| run.state == Some(MoveState::Done));
    let ended: Vec<u64> = done.filter_map(|run| run.ended_ms).collect();
    let harmed: f64 = runs.iter().map(|run| run.harmed_permille).sum::<f64>() / runs.len() as f64;
    let most = runs
        .iter()
        .map(|run| run.harmed_permille)
        .fold(0.0, f64::max);
    let broken: u64 = runs.iter().map(|run| run.invariant_violations).sum();
    println!(
        "| {user} | {name} | {} | {} | {} | {} | {false_alarms} | {} | {} | {} | {harmed:.2} | {most:.2} | {broken} |",
        runs.len(),
        count(MoveState::Done),
        count(MoveState::TakenBack),
        count(MoveState::Late),
        quantile(ended, 0.5),
        quantile(detected.clone(), 0.5),
        quantile(detected, 0.95),
    );
}

fn main() {
    let argument = |index| {
        std::env::args()
            .nth(index)
            .and_then(|text| text.parse().ok())
    };
    let seeds: u64 = argument(1).unwrap_or(200);
    let first: u64 = argument(2).unwrap_or(1);
    println!(
        "| Service | New version | Runs | Done | Taken back | Late | False alarms | Done after, median s | \
         Stopped after, median s | 95th percentile s | Harmed, mean ‰ | most ‰ | Broken promises |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let cases = [
        ("good", Fault::None, false),
        ("good, noisy neighbours", Fault::None, true),
        ("all fail", Fault::Broken, false),
        ("1 in 5 fails", Fault::Fails, false),
        ("1 in 5 fails, noisy neighbours", Fault::Fails, true),
        ("takes twice as long", Fault::Slow, false),
        ("takes twice as long, noisy neighbours", Fault::Slow, true),
        ("fails from 90 s on", Fault::FailsLater, true),
        ("fails above 30% of the calls", Fault::UnderLoad, true),
        ("fails on one route", Fault::OneRoute, true),
    ];
    let only = std::env::args().nth(3);
    let services = ["Orders", "Patterns", "Booking", "Fieldkit"];
    let is_wanted = |user: &&str| only.as_ref().is_none_or(|only| only == user);
    for user in services.into_iter().filter(is_wanted) {
        for (name, fault, is_noisy) in cases {
            let setup = |seed| match user {
                "Orders" => Setup::vatuwaqa(fault, is_noisy, seed),
                "Patterns" => Setup::patterns(fault, is_noisy, seed),
                "Fieldkit" => Setup::fieldkit(fault, is_noisy, seed),
                _ => Setup::kozhikode(fault, is_noisy, seed),
            };
            let workers = 5;
            let runs: Vec<Run> = thread::scope(|scope| {
                let part =
                    |worker| move || (first..first + seeds).filter(move |s| s % workers == worker);
                let threads: Vec<_> = (0..workers)
                    .map(|worker| {
                        let seeds = part(worker);
                        scope
                            .spawn(move || seeds().map(|seed| run(setup(seed))).collect::<Vec<_>>())
                    })
                    .collect();
                threads
                    .into_iter()
                    .flat_map(|t| t.join().unwrap_or_default())
                    .collect()
            });
            row(user, name, &runs);
        }
    }
}
