//! Formats the report of one run as JSON, Markdown and a plot.

use super::Collector;
use crate::plot::{Line, Plot};
use crate::profile::Profile;
use hdrhistogram::Histogram;
use heatherhinge_types::Name;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Latencies of good responses in microseconds, from the intended send time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Good responses.
    pub count: u64,
    /// Mean.
    pub mean_us: f64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl From<&Histogram<u64>> for LatencySummary {
    fn from(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            mean_us: histogram.mean(),
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// The report of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunReport {
    /// Name of the profile.
    pub profile: Name,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Length of the run in milliseconds.
    pub elapsed_ms: u64,
    /// Requests that were due.
    pub due: u64,
    /// Requests that the tool did not send because too many were in flight.
    pub not_sent: u64,
    /// Requests that were sent and finished.
    pub finished: u64,
    /// Requests with a good response.
    pub good: u64,
    /// Resends with the same key.
    pub resends: u64,
    /// Requests whose outcome stayed unknown.
    pub unknown: u64,
    /// Responses by HTTP status.
    pub by_status: BTreeMap<u16, u64>,
    /// Responses by `Heatherhinge-Code`.
    pub by_code: BTreeMap<u16, u64>,
    /// Responses by `Heatherhinge-Ran`.
    pub by_ran: BTreeMap<String, u64>,
    /// Requests without a response, by cause.
    pub by_error: BTreeMap<String, u64>,
    /// Latency of all good responses.
    pub latency: LatencySummary,
    /// Latency by route.
    pub routes: BTreeMap<Name, LatencySummary>,
}

impl RunReport {
    /// Makes the report of a run with `due` due requests; `elapsed_ms` is left at 0.
    #[must_use]
    pub fn new(profile: &Profile, seed: u64, collector: &Collector, due: u64) -> Self {
        let names = profile.routes.iter().map(|route| route.name.clone());
        let errors = collector.by_error.iter();
        Self {
            profile: profile.name.clone(),
            seed,
            elapsed_ms: 0,
            due,
            not_sent: due - collector.total_count.min(due),
            finished: collector.total_count,
            good: collector.good_count,
            resends: collector.resend_count,
            unknown: collector.unknown_count,
            by_status: collector.by_status.clone(),
            by_code: collector.by_code.clone(),
            by_ran: collector.by_ran.clone(),
            by_error: errors.map(|(k, v)| ((*k).to_owned(), *v)).collect(),
            latency: LatencySummary::from(&collector.good),
            routes: names
                .zip(collector.by_route.iter().map(LatencySummary::from))
                .collect(),
        }
    }

    /// Returns the share of due requests without a good response, in thousandths, rounded up.
    #[must_use]
    pub fn bad_permille(&self) -> u64 {
        let bad = self.due - self.good.min(self.due);
        (bad * 1_000).div_ceil(self.due.max(1))
    }

    /// Returns the report as Markdown.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let mut text = format!(
            "Profile {}, seed {}: {} due in {} ms, {} good, {} not sent, {} resends, {} unknown.\n\n",
            self.profile,
            self.seed,
            self.due,
            self.elapsed_ms,
            self.good,
            self.not_sent,
            self.resends,
            self.unknown
        );
        text.push_str("| Route | Good | p50 ms | p90 ms | p99 ms | p99.9 ms | Max ms |\n");
        text.push_str("|---|--:|--:|--:|--:|--:|--:|\n");
        for (name, latency) in &self.routes {
            push_row(&mut text, name, latency);
        }
        push_row(&mut text, "all", &self.latency);
        push_counts(&mut text, "Status", &self.by_status);
        push_counts(&mut text, "Code", &self.by_code);
        push_counts(&mut text, "Ran", &self.by_ran);
        push_counts(&mut text, "No answer", &self.by_error);
        text
    }
}

impl RunReport {
    /// Returns a plot of the latency percentiles of several reports.
    #[must_use]
    pub fn plot(reports: &[Self], names: &[&str]) -> Plot {
        let line = |(report, name): (&Self, &&str)| {
            let latency = report.latency;
            let values = [
                latency.p50_us,
                latency.p90_us,
                latency.p99_us,
                latency.p999_us,
                latency.max_us,
            ];
            Line {
                name: (*name).to_owned(),
                values: values.map(ms).to_vec(),
            }
        };
        Plot {
            title: "Latency of good responses from the intended send time".to_owned(),
            unit: "ms".to_owned(),
            labels: ["p50", "p90", "p99", "p99.9", "max"]
                .map(str::to_owned)
                .to_vec(),
            lines: reports.iter().zip(names).map(line).collect(),
        }
    }
}

pub(crate) fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}

fn push_row(text: &mut String, name: &str, latency: &LatencySummary) {
    let _ = writeln!(
        text,
        "| {name} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
        latency.count,
        ms(latency.p50_us),
        ms(latency.p90_us),
        ms(latency.p99_us),
        ms(latency.p999_us),
        ms(latency.max_us)
    );
}

fn push_counts<K: std::fmt::Display>(text: &mut String, title: &str, counts: &BTreeMap<K, u64>) {
    if counts.is_empty() {
        return;
    }
    let _ = write!(text, "\n{title}:");
    for (name, count) in counts {
        let _ = write!(text, " {name} × {count};");
    }
    text.push('\n');
}
