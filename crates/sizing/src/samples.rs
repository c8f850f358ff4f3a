//! Collects the run times of controller steps.

use std::collections::BTreeMap;
use std::time::Instant;

/// Run times of steps by kind, such as `membership tick`.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    times_ns: BTreeMap<&'static str, Vec<u64>>,
}

impl Samples {
    /// Runs a step and records its time.
    pub fn time<T>(&mut self, kind: &'static str, step: impl FnOnce() -> T) -> T {
        self.time_as(|| (step(), kind))
    }

    /// Runs a step that returns its kind, and records its time.
    pub fn time_as<T>(&mut self, step: impl FnOnce() -> (T, &'static str)) -> T {
        let start = Instant::now();
        let (value, kind) = step();
        let ns = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        self.times_ns.entry(kind).or_default().push(ns);
        value
    }

    /// Drops all times.
    pub fn clear(&mut self) {
        self.times_ns.clear();
    }

    /// Returns kind, number of steps, median and mean time in nanoseconds. Some steps do nothing
    /// most of the time, so a sum over time needs the mean.
    pub fn summaries(&self) -> impl Iterator<Item = (&'static str, usize, u64, u64)> {
        self.times_ns.iter().map(|(kind, times)| {
            let mut sorted = times.clone();
            sorted.sort_unstable();
            let count = sorted.len();
            let mean = sorted.iter().sum::<u64>() / count as u64;
            (*kind, count, sorted[count / 2], mean)
        })
    }
}
