//! Measures the latency that an entry host adds, by alternating requests in one run.

use super::report::ms;
use super::{Alternating, Destination, Direct, LatencySummary, RunLimits, RunReport, run_load};
use crate::profile::Profile;
use serde::Serialize;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Reports of a run whose requests went alternately through entry hosts and directly to a target.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Requests through entry hosts.
    pub through: RunReport,
    /// Requests that went directly to a target.
    pub direct: RunReport,
    /// Added time at the median, in microseconds; negative when the entry host was faster.
    pub added_p50_us: i64,
    /// Added time at the 99th percentile, in microseconds.
    pub added_p99_us: i64,
}

impl Comparison {
    /// Returns the comparison as a Markdown table, by route and for all requests.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let mut text = "| Route | Good through entry hosts | p50 ms | p99 ms | Good directly \
                        | p50 ms | p99 ms | Added p50 ms | Added p99 ms |\n\
                        |---|--:|--:|--:|--:|--:|--:|--:|--:|\n"
            .to_owned();
        for (name, through) in &self.through.routes {
            if let Some(direct) = self.direct.routes.get(name) {
                push_row(&mut text, name, through, direct);
            }
        }
        push_row(
            &mut text,
            "all",
            &self.through.latency,
            &self.direct.latency,
        );
        text
    }
}

fn push_row(text: &mut String, name: &str, through: &LatencySummary, direct: &LatencySummary) {
    let side = |latency: &LatencySummary| {
        let (p50, p99) = (ms(latency.p50_us), ms(latency.p99_us));
        format!("{} | {p50:.2} | {p99:.2}", latency.count)
    };
    let _ = writeln!(
        text,
        "| {name} | {} | {} | {:.2} | {:.2} |",
        side(through),
        side(direct),
        ms(through.p50_us) - ms(direct.p50_us),
        ms(through.p99_us) - ms(direct.p99_us)
    );
}

/// Sends one schedule alternately through entry hosts and directly to a target.
///
/// # Errors
///
/// Returns the errors of [`run_load`].
pub async fn compare<D: Destination>(
    profile: &Profile,
    entry_hosts: D,
    target: SocketAddr,
    seed_and_rate: (u64, f64),
    limits: RunLimits,
) -> eyre::Result<Comparison> {
    let destination = Alternating(entry_hosts, Direct(target));
    let reports = run_load(profile, destination, seed_and_rate, limits, 2).await?;
    let [through, direct] = <[RunReport; 2]>::try_from(reports)
        .map_err(|_| eyre::eyre!("load: a comparison needs two reports"))?;
    let added = |a: u64, b: u64| a.cast_signed() - b.cast_signed();
    Ok(Comparison {
        added_p50_us: added(through.latency.p50_us, direct.latency.p50_us),
        added_p99_us: added(through.latency.p99_us, direct.latency.p99_us),
        through,
        direct,
    })
}
