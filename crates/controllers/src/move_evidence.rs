//! Converts the counts that hosts publish into windows for the canary analysis.

use crate::canary_analysis::{Counts, Stratum, Window};
use heatherhinge_blackboard::{Evidence, HostTable, MoveCounters, RecordVersion, VersionCounters};
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

/// The counts of one host at the last reading.
#[derive(Clone, Debug, Default)]
struct Reading {
    version: RecordVersion,
    counts: BTreeMap<(Name, bool), Counts>,
}

/// The last readings of all hosts for one move.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readings {
    hosts: BTreeMap<Name, Reading>,
    has_baseline: bool,
}

impl Readings {
    /// Returns the responses since the last reading.
    ///
    /// The first window is empty, as the first reading is only a baseline: it may include
    /// responses of earlier steps, when the versions had other shares at other times of the day.
    pub(crate) fn window(&mut self, hosts: &HostTable, move_id: &Name) -> Window {
        let mut window = Window::new();
        for (name, entry) in &hosts.hosts {
            let record = &entry.record;
            let reading = self.hosts.entry(name.clone()).or_default();
            if record.version <= reading.version {
                continue;
            }
            if record.version.incarnation != reading.version.incarnation {
                reading.counts.clear(); // A restarted host counts from 0.
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
                let stratum_key = (evidence.route.clone(), record.zone.clone());
                let stratum = window.entry(stratum_key).or_default();
                let side = if evidence.is_new {
                    &mut stratum.new
                } else {
                    &mut stratum.old
                };
                side.add(counts.since(before));
            }
        }
        if std::mem::replace(&mut self.has_baseline, true) {
            window
        } else {
            Window::new()
        }
    }
}

/// Returns the counts of this host, as its record publishes them.
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

/// The last reading of this host's own counters, by route, for its local analysis.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnReading(BTreeMap<Name, Stratum>);

impl OwnReading {
    /// Returns the responses since the last reading.
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
