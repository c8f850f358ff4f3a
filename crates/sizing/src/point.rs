//! Measures one host at one size of the fleet.

use crate::{CALL_BYTES, Fleet, Size, store, synthetic};
use serde::Serialize;
use std::collections::BTreeMap;

/// Virtual time before counting starts: leases are acquired and partitions are assigned.
const SETTLE_S: u64 = 60;
/// Virtual time of the measurement, a multiple of the 40 s between two renewals of a lease.
const MEASURED_S: u64 = 40;
/// Number of timed changes of the bundle and of the list.
const CHANGES: usize = 5;

/// Frequency and run time of one kind of step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct StepTime {
    /// Steps per second in the steady state; 0 for steps that only a change causes.
    pub per_s: f64,
    /// Median time in microseconds.
    pub median_us: f64,
    /// Mean time in microseconds, for sums over time.
    pub mean_us: f64,
}

/// The measurement of one host at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// Size of the fleet.
    pub size: Size,
    /// Live hosts in the host table. This and the next two counts show that the fleet was in its
    /// steady state.
    pub live_hosts: usize,
    /// Partitions with an owner.
    pub owned_partitions: usize,
    /// Targets that the host may send to.
    pub usable_targets: usize,
    /// Figures by name, with the unit at the end of the name.
    pub figures: BTreeMap<&'static str, f64>,
    /// Times of steps by kind.
    pub steps: BTreeMap<&'static str, StepTime>,
}

impl Point {
    /// Measures one size.
    ///
    /// # Errors
    ///
    /// Fails when the fleet cannot be built or a message cannot be encoded.
    pub fn measure(size: Size) -> eyre::Result<Self> {
        let mut fleet = Fleet::new(size)?;
        fleet.run(SETTLE_S)?;
        fleet.warm_up();
        // The snapshot needs this time to include the warm targets of host 0.
        fleet.run(5)?;
        fleet.clear();
        fleet.run(MEASURED_S)?;
        let mut figures = idle_figures(&mut fleet);
        let mut steps = steps(&fleet, true);
        let (live_hosts, owned_partitions) = (fleet.live_hosts(), fleet.owned_partitions());
        let usable_targets = fleet.usable_targets();
        let idle_us: f64 = steps.values().map(|step| step.per_s * step.mean_us).sum();
        figures.insert("steps_permille_of_core", idle_us / 1_000.0);
        fleet.clear();
        fleet.set_busy(true);
        fleet.run(MEASURED_S)?;
        let busy = fleet.traffic();
        let busy_bytes = busy.peer_bytes_out + busy.peer_bytes_in;
        figures.insert("peer_busy_bytes_per_s", rate(busy_bytes));
        let busy_us: f64 = self::steps(&fleet, true)
            .values()
            .map(|step| step.per_s * step.mean_us)
            .sum();
        figures.insert("steps_busy_permille_of_core", busy_us / 1_000.0);
        fleet.set_busy(false);
        fleet.clear();
        for change in 1..=CHANGES {
            fleet.local_controllers.change_bundle();
            fleet.local_controllers.change_list(change);
            fleet.run(2)?;
        }
        for (kind, time) in self::steps(&fleet, false) {
            steps.entry(kind).or_insert(time);
        }
        let envelope_bytes = fleet.local_controllers.envelope_bytes as f64 / CHANGES as f64;
        figures.insert("bundle_whole_bytes_per_change", envelope_bytes);
        figures.insert("bundle_delta_bytes_per_change", delta_bytes() as f64);
        Ok(Self {
            size,
            live_hosts,
            owned_partitions,
            usable_targets,
            figures,
            steps,
        })
    }
}

fn rate(count: u64) -> f64 {
    count as f64 / MEASURED_S as f64
}

fn idle_figures(fleet: &mut Fleet) -> BTreeMap<&'static str, f64> {
    let traffic = fleet.traffic();
    let row_reads = fleet.local_controllers.row_reads;
    let list = fleet.local_controllers.list_bytes();
    BTreeMap::from([
        ("peer_messages_out_per_s", rate(traffic.peer_messages_out)),
        ("peer_bytes_out_per_s", rate(traffic.peer_bytes_out)),
        ("peer_bytes_in_per_s", rate(traffic.peer_bytes_in)),
        ("peer_record_bytes_per_s", rate(traffic.record_bytes)),
        ("owner_reads_per_s", rate(traffic.owner_reads)),
        ("owner_read_bytes_per_s", rate(traffic.owner_read_bytes)),
        ("owner_writes_per_s", rate(traffic.owner_writes)),
        ("owner_scan_bytes", fleet.scan_bytes() as f64),
        ("bundle_row_reads_per_s", rate(row_reads)),
        (
            "bundle_row_bytes_per_s",
            rate(row_reads * store::bundle_row_bytes()),
        ),
        // The daemon reads the list once a second.
        ("list_bytes_per_s", list as f64),
    ])
}

fn steps(fleet: &Fleet, is_steady: bool) -> BTreeMap<&'static str, StepTime> {
    let times = fleet
        .samples
        .summaries()
        .map(|(kind, count, median_ns, mean_ns)| {
            let per_s = if is_steady { rate(count as u64) } else { 0.0 };
            let (median_us, mean_us) = (median_ns as f64 / 1_000.0, mean_ns as f64 / 1_000.0);
            let time = StepTime {
                per_s,
                median_us,
                mean_us,
            };
            (kind, time)
        });
    times.collect()
}

/// Returns the bytes of one changed section plus the fields that a receiver needs to insert it and
/// to verify the whole bundle: version, key id and signature. `docs/design.md`, section 8.
fn delta_bytes() -> u64 {
    let section = synthetic::service_section(0, 5).len() as u64;
    let signature_and_versions = 64 + 2 * 9 + 8;
    section + signature_and_versions + CALL_BYTES
}
