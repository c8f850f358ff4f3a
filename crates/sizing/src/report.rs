//! Formats the results as Markdown.

use crate::memory::Part;
use crate::{Fit, Point};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// The points of one varied dimension.
#[derive(Clone, Debug, Serialize)]
pub struct Sweep {
    /// The varied dimension: `host`, `target` or `service`.
    pub dimension: &'static str,
    /// The points, from small to large.
    pub points: Vec<Point>,
    /// Fitted lines by name of the figure or step time.
    pub fits: BTreeMap<String, Fit>,
}

impl Sweep {
    /// Fits a line through the points of each figure and step time.
    #[must_use]
    pub fn new(dimension: &'static str, points: Vec<Point>) -> Self {
        let mut by_name: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
        for point in &points {
            let count = match dimension {
                "host" => point.size.hosts,
                "target" => point.size.targets,
                _ => point.size.services,
            };
            for (name, value) in values(point) {
                by_name.entry(name).or_default().push((count as f64, value));
            }
        }
        let fits = by_name
            .into_iter()
            .filter_map(|(name, points)| Some((name, Fit::of(&points)?)))
            .collect();
        Self {
            dimension,
            points,
            fits,
        }
    }

    /// Returns the points and the fitted lines as Markdown tables.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let mut text = format!(
            "## Per {}\n\n{}\n",
            self.dimension,
            points_table(&self.points)
        );
        // Writing to a string does not fail.
        writeln!(
            text,
            "| Figure | Slope per {} | At 0 | R² |",
            self.dimension
        )
        .ok();
        text.push_str("|---|--:|--:|--:|\n");
        for (name, fit) in &self.fits {
            let Fit {
                slope,
                intercept,
                r_squared,
            } = fit;
            writeln!(
                text,
                "| {name} | {slope:.4} | {intercept:.2} | {r_squared:.3} |"
            )
            .ok();
        }
        text
    }
}

fn values(point: &Point) -> impl Iterator<Item = (String, f64)> + '_ {
    let figures = point.figures.iter();
    let figures = figures.map(|(name, value)| ((*name).to_owned(), *value));
    let steps = point.steps.iter();
    figures.chain(steps.map(|(kind, step)| (format!("{kind} (us)"), step.median_us)))
}

/// Returns a Markdown table with one column per point.
#[must_use]
pub fn points_table(points: &[Point]) -> String {
    let mut text = String::from("| Figure |");
    for point in points {
        let size = point.size;
        write!(text, " {}/{}/{} |", size.hosts, size.targets, size.services).ok();
    }
    text.push_str("\n|---|");
    text.push_str(&"--:|".repeat(points.len()));
    text.push('\n');
    let check = |name: &str, value: fn(&Point) -> usize| {
        let cells: String = points.iter().map(|p| format!(" {} |", value(p))).collect();
        format!("| {name} |{cells}\n")
    };
    text.push_str(&check("live hosts", |p| p.live_hosts));
    text.push_str(&check("owned partitions", |p| p.owned_partitions));
    text.push_str(&check("usable targets", |p| p.usable_targets));
    let names: BTreeSet<String> = points
        .iter()
        .flat_map(values)
        .map(|(name, _)| name)
        .collect();
    for name in names {
        write!(text, "| {name} |").ok();
        for point in points {
            match values(point).find(|(other, _)| *other == name) {
                Some((_, value)) => write!(text, " {value:.2} |").ok(),
                None => write!(text, " – |").ok(),
            };
        }
        text.push('\n');
    }
    text
}

/// Returns a Markdown table of the steps of one point with their share of a core.
#[must_use]
pub fn steps_table(point: &Point) -> String {
    let mut text = String::from(
        "| Step | Per s | Median us | Mean us | us of a second |\n|---|--:|--:|--:|--:|\n",
    );
    for (kind, step) in &point.steps {
        let sum = step.per_s * step.mean_us;
        writeln!(
            text,
            "| {kind} | {:.3} | {:.2} | {:.2} | {sum:.1} |",
            step.per_s, step.median_us, step.mean_us
        )
        .ok();
    }
    text
}

/// Returns a Markdown table of the bytes of the parts.
#[must_use]
pub fn memory_table(parts: &[Part]) -> String {
    let mut text = String::from("| Part | Bytes |\n|---|--:|\n");
    for Part { name, bytes } in parts {
        writeln!(text, "| {name} | {bytes:.0} |").ok();
    }
    text
}
