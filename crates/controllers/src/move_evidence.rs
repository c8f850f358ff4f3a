//! Turns the counts that hosts publish into windows of the statistical test.

use crate::canary_analysis::{Counts, Stratum, Window};
use heatherhinge_blackboard::{Evidence, HostTable, MoveCounters, RecordVersion, VersionCounters};
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

/// The last reading of one host.
#[derive(Clone, Debug, Default)]
struct Reading {
    version: RecordVersion,
    counts: BTreeMap<(Name, bool), Counts>,
}

/// Readings of all hosts for one move.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readings {
    hosts: BTreeMap<Name, Reading>,
    is_begun: bool,
}

impl Readings {
    /// Returns the answers since the last reading.
    ///
    /// The first reading of all is only the base of the next one: it may hold answers of earlier
    /// steps, in which the versions had other shares of other times of the day.
    pub(crate) fn window(&mut self, hosts: &HostTable, move_id: &Name) -> Window {
        let mut window = Window::new();
        for (name, entry) in &hosts.hosts {
            let record = &entry.record;
            let reading = self.hosts.entry(name.clone()).or_default();
            if record.version <= reading.version {
                continue;
            }
            if record.version.incarnation != reading.version.incarnation {
                reading.counts.clear(); // A host that started again counts from 0.
            }
            reading.version = record.version;
            for evidence in record.evidence.iter().filter(|e| e.move_id == *move_id) {
                let counts = Counts {
                    good: evidence.good,
                    failed: evidence.failed,
                    slow: evidence.slow,
                };
                let key = (evidence.route.clone(), evidence.is_new);
                let before = reading.counts.insert(key, counts).unwrap_or_default();
                let place = (evidence.route.clone(), record.zone.clone());
                let stratum = window.entry(place).or_default();
                let side = if evidence.is_new {
                    &mut stratum.new
                } else {
                    &mut stratum.old
                };
                side.add(counts.since(before));
            }
        }
        if std::mem::replace(&mut self.is_begun, true) {
            window
        } else {
            Window::new()
        }
    }
}

/// Returns the counts of this host for its record.
pub(crate) fn own_evidence(counters: &MoveCounters) -> Vec<Evidence> {
    let mut evidence = Vec::new();
    for (route, counts) in &counters.routes {
        for (is_new, version) in [(false, &counts.old), (true, &counts.new)] {
            let counts = read(version);
            evidence.push(Evidence {
                move_id: counters.move_id.clone(),
                route: route.clone(),
                is_new,
                good: counts.good,
                failed: counts.failed,
                slow: counts.slow,
            });
        }
    }
    evidence
}

fn read(version: &VersionCounters) -> Counts {
    Counts {
        good: version.good.load(Ordering::Relaxed),
        failed: version.failed.load(Ordering::Relaxed),
        slow: version.slow.load(Ordering::Relaxed),
    }
}

/// The last reading of this host's own counters, for its local brake.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnReading(BTreeMap<Name, Stratum>);

impl OwnReading {
    /// Returns the answers since the last reading.
    pub(crate) fn window(&mut self, counters: &MoveCounters, zone: &Name) -> Window {
        let mut window = Window::new();
        for (route, counts) in &counters.routes {
            let now = Stratum {
                old: read(&counts.old),
                new: read(&counts.new),
            };
            let before = self.0.insert(route.clone(), now).unwrap_or_default();
            let since = Stratum {
                old: now.old.since(before.old),
                new: now.new.since(before.new),
            };
            window.insert((route.clone(), zone.clone()), since);
        }
        window
    }
}
