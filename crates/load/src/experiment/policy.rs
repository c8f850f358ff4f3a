//! Compares the policies that choose a target.

use super::fake_host::DEADLINE_MS;
use super::{Budgeted, Fleet, Scenario, Tally, parallel, simulate};
use crate::plot::{Line, Plot};
use heatherhinge_policy::{LeastReported, Random, RoundRobin, TwoChoices, Weighted};
use serde::Serialize;
use std::fmt::Write as _;

/// Seeds of each case. The spread of p99 between them is the noise of the comparison.
const SEEDS: u64 = 3;

type SimulateFn = fn(&Fleet, &Scenario, Budgeted, u64) -> eyre::Result<Tally>;

/// Policies by name. Each is a monomorphized function, as in the daemon.
pub const POLICIES: [(&str, SimulateFn); 5] = [
    ("random", simulate::<Random, Budgeted>),
    ("round robin", simulate::<RoundRobin, Budgeted>),
    ("least reported", simulate::<LeastReported, Budgeted>),
    ("two choices", simulate::<TwoChoices, Budgeted>),
    ("weighted", simulate::<Weighted, Budgeted>),
];

/// The result of one policy in one scenario, over all seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyRow {
    /// Name of the fleet.
    pub fleet: &'static str,
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Requests that were counted.
    pub requests: u64,
    /// Median latency of good responses in microseconds.
    pub p50_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// Lowest 99th percentile of a seed in microseconds.
    pub p99_low_us: u64,
    /// Highest 99th percentile of a seed in microseconds.
    pub p99_high_us: u64,
    /// 99.9th percentile in microseconds.
    pub p999_us: u64,
    /// 99th percentile of all requests in microseconds, where a request without a good response
    /// counts as its deadline, so that a policy does not improve by failing its slow requests.
    pub p99_all_us: u64,
    /// Requests without a good response, per million.
    pub errors_ppm: u64,
}

/// All rows of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyReport {
    /// First seed; each case is run with this one and the next two.
    pub seed: u64,
    /// Virtual time of each case in seconds.
    pub duration_s: u64,
    /// Rows by fleet, scenario and policy.
    pub rows: Vec<PolicyRow>,
}

/// Runs all policies in all scenarios for all fleets. The same arguments give the same report.
///
/// # Errors
///
/// Returns the errors of [`simulate`].
pub fn run_policy_experiment(seed: u64, duration_s: u64) -> eyre::Result<PolicyReport> {
    let mut cases = Vec::new();
    for fleet in [Fleet::VATUWAQA, Fleet::KOZHIKODE] {
        for scenario in Scenario::for_policies(duration_s) {
            cases.extend(POLICIES.map(|policy| (fleet, scenario, policy)));
        }
    }
    let rows = parallel::map(&cases, |(fleet, scenario, (policy, run))| {
        let seeds = seed..seed + SEEDS;
        let tallies = seeds.map(|seed| run(fleet, scenario, Budgeted, seed));
        let tallies = tallies.collect::<eyre::Result<Vec<_>>>()?;
        row(fleet.name, scenario.name, policy, &tallies)
    })?;
    Ok(PolicyReport {
        seed,
        duration_s,
        rows,
    })
}

fn row(
    fleet: &'static str,
    scenario: &'static str,
    policy: &'static str,
    tallies: &[Tally],
) -> eyre::Result<PolicyRow> {
    let mut all = Tally::new(0)?;
    tallies.iter().for_each(|tally| all.merge(tally));
    let p99 = |tally: &Tally| tally.latency.value_at_quantile(0.99);
    let total = all.total(0, usize::MAX);
    let errors = total.requests - total.good;
    let mut with_errors = all.latency.clone();
    with_errors.saturating_record_n(DEADLINE_MS * 1_000, errors);
    Ok(PolicyRow {
        fleet,
        scenario,
        policy,
        requests: total.requests,
        p50_us: all.latency.value_at_quantile(0.5),
        p99_us: p99(&all),
        p99_low_us: tallies.iter().map(p99).min().unwrap_or(0),
        p99_high_us: tallies.iter().map(p99).max().unwrap_or(0),
        p999_us: all.latency.value_at_quantile(0.999),
        p99_all_us: with_errors.value_at_quantile(0.99),
        errors_ppm: errors * 1_000_000 / total.requests.max(1),
    })
}

impl PolicyReport {
    /// Returns the names of the fleets.
    #[must_use]
    pub fn fleets(&self) -> [&'static str; 2] {
        [Fleet::VATUWAQA.name, Fleet::KOZHIKODE.name]
    }

    fn rows_of<'a>(&'a self, fleet: &'a str) -> impl Iterator<Item = &'a PolicyRow> {
        self.rows.iter().filter(move |row| row.fleet == fleet)
    }

    /// Returns one Markdown table for each fleet.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let mut text = String::new();
        for fleet in self.fleets() {
            let _ = writeln!(text, "{fleet}\n");
            text.push_str("| Scenario | Policy | p50 ms | p99 ms | p99 of the seeds | p99.9 ms | ");
            text.push_str("p99 with errors as 1,000 ms | Errors per million |\n");
            text.push_str("|---|---|--:|--:|---|--:|--:|--:|\n");
            for row in self.rows_of(fleet) {
                let ms = |us: u64| us as f64 / 1_000.0;
                let _ = writeln!(
                    text,
                    "| {} | {} | {:.1} | {:.1} | {:.1} to {:.1} | {:.1} | {:.1} | {} |",
                    row.scenario,
                    row.policy,
                    ms(row.p50_us),
                    ms(row.p99_us),
                    ms(row.p99_low_us),
                    ms(row.p99_high_us),
                    ms(row.p999_us),
                    ms(row.p99_all_us),
                    row.errors_ppm
                );
            }
            text.push('\n');
        }
        text
    }

    /// Returns a plot of the 99th percentiles of one fleet.
    #[must_use]
    pub fn plot(&self, fleet: &str) -> Plot {
        let line = |(policy, _): &(&str, SimulateFn)| Line {
            name: (*policy).to_owned(),
            values: self
                .rows_of(fleet)
                .filter(|row| row.policy == *policy)
                .map(|row| row.p99_us as f64 / 1_000.0)
                .collect(),
        };
        let first = POLICIES[0].0;
        Plot {
            title: format!("{fleet}: p99 of good responses by scenario"),
            unit: "ms".to_owned(),
            labels: self
                .rows_of(fleet)
                .filter(|row| row.policy == first)
                .map(|row| row.scenario.to_owned())
                .collect(),
            lines: POLICIES.iter().map(line).collect(),
        }
    }
}
