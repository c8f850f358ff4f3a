//! Routing snapshot: the targets that a host may send to.

mod common;

use common::fleet;
use heatherhinge_orders::{
    CallerLimits, MoveOrder, RouteTable, ServiceSpec, TargetEntry, TargetPhase,
};
use heatherhinge_steering::{
    MoveStage, MoveTracker, Side, TargetControl, TargetGroup, TargetInputs, TargetTable,
};
use heatherhinge_types::{MonoNs, Name};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn service() -> Name {
    Name::new("orders")
}

fn routes() -> RouteTable {
    let spec = ServiceSpec {
        name: service(),
        health_path: Name::new("/health"),
        max_connections: 100,
        cold_ms: 3_000,
        cold_milli_per_s: 5_000,
    };
    let services = BTreeMap::from([(service(), Arc::new(spec))]);
    RouteTable::new(1, BTreeMap::new(), services, CallerLimits::default())
}

fn entry(version: &str, number: u16, zone: &str) -> TargetEntry {
    TargetEntry {
        id: Name::from(format!("i-{version}-{number}")),
        service: service(),
        addr: ([127, 0, 0, 1], number).into(),
        zone: Name::new(zone),
        version: Name::new(version),
        slots: 4,
        phase: TargetPhase::Ready,
        cold_ms: 0,
        start_wall_ms: 1,
    }
}

/// Builds the snapshot of a host from `count` targets of each version in each of two zones.
fn table(host: &str, zone: &str, count: u16, trackers: &[Arc<MoveTracker>]) -> TargetTable {
    let mut control = TargetControl::default();
    for number in 1..=count {
        for (version, zone) in [("v1", "a"), ("v1", "b"), ("v2", "a"), ("v2", "b")] {
            let port = if zone == "a" { number } else { number + 1_000 };
            control.set(entry(version, port, zone), MonoNs::from_ms(1_000));
        }
    }
    let by_service = |tracker: &Arc<MoveTracker>| (service(), Arc::clone(tracker));
    control.table(
        1,
        &TargetInputs {
            host: &Name::new(host),
            zone: &Name::new(zone),
            routes: &routes(),
            zones_out: &BTreeSet::new(),
            trackers: &trackers.iter().map(by_service).collect(),
            fleet: &fleet(5),
        },
    )
}

fn tracker() -> Arc<MoveTracker> {
    let order = MoveOrder {
        service: service(),
        to: Name::new("v2"),
        duration_ms: 15_000,
    };
    Arc::new(MoveTracker::new(order, 40, &[]))
}

fn ids(group: &TargetGroup) -> BTreeSet<Name> {
    let targets = group.near.iter().chain(&group.far);
    targets.map(|target| target.id().clone()).collect()
}

/// Returns the targets that requests go to on the side of the new version.
fn moving_targets(table: &TargetTable) -> BTreeSet<Name> {
    let pool = &table.pools["orders"];
    let choices = (0..200).map(|_| pool.choose(true));
    let mut moving = choices.filter(|(side, _)| *side == Side::Moving);
    moving
        .next()
        .map_or_else(BTreeSet::new, |(_, group)| ids(group))
}

// Guards against a version that fails only under load and is judged good, because its small share
// is spread over so many targets that none of them has its usual load.
#[test]
fn an_unproven_version_is_tried_on_few_targets() {
    let tracker = tracker();
    let tables = [("host-1", "a"), ("host-2", "a"), ("host-3", "b")]
        .map(|(host, zone)| table(host, zone, 20, std::slice::from_ref(&tracker)));
    let tried: Vec<BTreeSet<Name>> = tables.iter().map(moving_targets).collect();
    assert_eq!(tried[0].len(), 4, "8% of 40 targets, rounded up");
    assert!(
        tried.iter().all(|ids| *ids == tried[0]),
        "all hosts must use the same targets: {tried:?}"
    );
    tracker.set_stage(MoveStage::Shift);
    assert_eq!(moving_targets(&tables[0]).len(), 40);
}

// Guards against a single broken target that stands for its version.
#[test]
fn an_unproven_version_is_tried_on_at_least_two_targets() {
    let table = table("host-1", "a", 3, &[tracker()]);
    assert_eq!(moving_targets(&table).len(), 2);
}

// Guards against requests that are refused, or all sent to the few targets on which a version is
// tried, because the targets of the old version have gone.
#[test]
fn all_requests_move_when_the_old_targets_are_gone() {
    let tracker = tracker();
    let full = table("host-1", "a", 20, std::slice::from_ref(&tracker));
    let mut pool = full.pools["orders"].as_ref().clone();
    pool.current = TargetGroup::default();
    let (side, group) = pool.choose(false);
    assert_eq!((side, ids(group).len()), (Side::Moving, 40));
    tracker.set_stage(MoveStage::RolledBack);
    assert_eq!(pool.choose(false).0, Side::Current);
}
