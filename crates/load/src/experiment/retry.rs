//! Compares retry rules in an outage of half the targets.

use super::{
    Budgeted, Fault, Fleet, ImmediateRetry, NoRetry, RetryRule, Scenario, Tally, TimeSlice,
    parallel, simulate,
};
use crate::plot::{Line, Plot};
use heatherhinge_policy::{Picker, Random, Weighted};
use serde::Serialize;
use std::fmt::Write as _;

/// Loads of the experiment, in thousandths of the capacity of all slots: the remaining half of the
/// targets can just serve the first one, and not the others.
const LOADS_PERMILLE: [u64; 3] = [450, 600, 800];

/// The result of one rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RetryRow {
    /// Name of the fleet.
    pub fleet: &'static str,
    /// Arrival rate as a share of the capacity of all slots, in thousandths.
    pub load_permille: u64,
    /// Name of the policy for choosing a target.
    pub policy: &'static str,
    /// Name of the retry rule.
    pub rule: &'static str,
    /// Attempts for each thousand requests that arrived during the outage.
    pub attempts_permille_during: u64,
    /// Share of requests that arrived during the outage and got a good response, in thousandths.
    pub goodput_permille_during: u64,
    /// The same for requests that arrived in the 2 s after the outage.
    pub goodput_permille_after: u64,
    /// The same for requests that arrived later.
    pub goodput_permille_later: u64,
    /// Share of requests with a good response, by the second of their arrival, in thousandths.
    pub goodput_permille_by_s: Vec<u64>,
}

/// All rows of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RetryReport {
    /// Seed of arrivals, service times and faults.
    pub seed: u64,
    /// Virtual time of each case in seconds; the outage is the middle third.
    pub duration_s: u64,
    /// Rows by fleet, policy and rule.
    pub rows: Vec<RetryRow>,
}

type CaseFn = fn(&Fleet, &Scenario, u64) -> eyre::Result<Tally>;

/// Policies and retry rules by name.
const CASES: [(&str, &str, CaseFn); 6] = [
    ("weighted", "none", case::<Weighted, NoRetry>),
    ("weighted", "3 at once", case::<Weighted, ImmediateRetry>),
    ("weighted", "budget", case::<Weighted, Budgeted>),
    ("random", "none", case::<Random, NoRetry>),
    ("random", "3 at once", case::<Random, ImmediateRetry>),
    ("random", "budget", case::<Random, Budgeted>),
];

fn case<P: Picker + Default, T: RetryRule + Default>(
    fleet: &Fleet,
    scenario: &Scenario,
    seed: u64,
) -> eyre::Result<Tally> {
    simulate::<P, T>(fleet, scenario, T::default(), seed)
}

/// Runs all retry rules with the weighted and with the random policy. The same arguments give the
/// same report.
///
/// # Errors
///
/// Returns the errors of [`simulate`].
pub fn run_retry_experiment(seed: u64, duration_s: u64) -> eyre::Result<RetryReport> {
    let mut cases = Vec::new();
    for fleet in [Fleet::VATUWAQA, Fleet::KOZHIKODE] {
        for load_permille in LOADS_PERMILLE {
            let scenario = Scenario::new("outage", load_permille, Fault::Outage, duration_s);
            cases.extend(CASES.map(|case| (fleet, scenario, case)));
        }
    }
    let rows = parallel::map(&cases, |(fleet, scenario, (policy, rule, run))| {
        let tally = run(fleet, scenario, seed)?;
        Ok(row(fleet.name, policy, rule, &tally, scenario))
    })?;
    Ok(RetryReport {
        seed,
        duration_s,
        rows,
    })
}

fn row(
    fleet: &'static str,
    policy: &'static str,
    rule: &'static str,
    tally: &Tally,
    scenario: &Scenario,
) -> RetryRow {
    let (from_ns, to_ns) = scenario.fault_span_ns();
    let second = |ns: u64| usize::try_from(ns / 1_000_000_000).unwrap_or(usize::MAX);
    let (from_s, to_s) = (second(from_ns), second(to_ns));
    let during = tally.total(from_s, to_s);
    RetryRow {
        fleet,
        load_permille: scenario.load_permille,
        policy,
        rule,
        attempts_permille_during: during.attempts * 1_000 / during.requests.max(1),
        goodput_permille_during: goodput(&during),
        goodput_permille_after: goodput(&tally.total(to_s, to_s + 2)),
        goodput_permille_later: goodput(&tally.total(to_s + 2, usize::MAX)),
        goodput_permille_by_s: tally.slices.iter().map(goodput).collect(),
    }
}

fn goodput(slice: &TimeSlice) -> u64 {
    slice.good * 1_000 / slice.requests.max(1)
}

impl RetryReport {
    /// Returns the report as a Markdown table.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let mut text =
            "| User | Load, % | Policy | Retries | Attempts per request during the outage | \
                        Good during, % | Good in the 2 s after, % | Good later, % |\n\
                        |---|--:|---|---|--:|--:|--:|--:|\n"
                .to_owned();
        for row in &self.rows {
            let percent = |permille: u64| permille as f64 / 10.0;
            let _ = writeln!(
                text,
                "| {} | {:.0} | {} | {} | {:.2} | {:.1} | {:.1} | {:.1} |",
                row.fleet,
                percent(row.load_permille),
                row.policy,
                row.rule,
                row.attempts_permille_during as f64 / 1_000.0,
                percent(row.goodput_permille_during),
                percent(row.goodput_permille_after),
                percent(row.goodput_permille_later)
            );
        }
        text
    }

    /// Returns a plot of the goodput of one fleet by second, at the middle load.
    #[must_use]
    pub fn plot(&self, fleet: &str) -> Plot {
        let rows = || {
            self.rows
                .iter()
                .filter(|row| row.fleet == fleet && row.load_permille == LOADS_PERMILLE[1])
        };
        let seconds = rows().map(|row| row.goodput_permille_by_s.len()).max();
        Plot {
            title: format!(
                "{fleet}: requests with a good response, by the second of their arrival"
            ),
            unit: "%".to_owned(),
            labels: (0..seconds.unwrap_or(0)).map(|s| s.to_string()).collect(),
            lines: rows()
                .map(|row| Line {
                    name: format!("{}, {}", row.policy, row.rule),
                    values: row
                        .goodput_permille_by_s
                        .iter()
                        .map(|permille| *permille as f64 / 10.0)
                        .collect(),
                })
                .collect(),
        }
    }
}
