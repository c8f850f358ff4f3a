//! Tests which targets and counters the routing snapshot contains.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

use heatherhinge_blackboard::{
    Blackboard, MoveEntry, MoveState, MoveTable, Warmth, WarmthTable, Writers, ZoneEntry,
    ZonePhase, ZoneTable,
};
use heatherhinge_bundle::{BundleVersion, ZoneState};
use heatherhinge_controllers::{Controller, ListedTarget, TargetController, TargetEvent};
use heatherhinge_types::{LoadReport, MonoNs, Name, StartId};
use std::collections::BTreeMap;
use support::{addr, at, bundle, host};
use yare::parameterized;

fn listed(version: &str, is_leaving: bool) -> TargetEvent {
    TargetEvent::Listed(vec![ListedTarget {
        service: Name::from("orders"),
        addr: addr(9),
        zone: Name::from("north"),
        version: Name::from(version),
        is_leaving,
    }])
}

const WARM: Option<Warmth> = Some(Warmth::Warm {
    start_id: StartId(8),
});

/// Guards against a target that gets requests although it is leaving, cold, of another version or
/// in a zone that is out, and against a warm one that is never used: the cell holds run 7 from
/// before the target restarted, and no response can correct it while the target gets no requests.
#[parameterized(
    warm_in_a_run_not_seen_yet = { WARM, ZonePhase::In, "v1", false, (1, 0) },
    returning_and_announced = { WARM, ZonePhase::Returning, "v1", false, (1, 0) },
    own_cold = { Some(Warmth::Owned { allowance: 2 }), ZonePhase::In, "v1", false, (0, 1) },
    cold_of_another_owner = { None, ZonePhase::In, "v1", false, (0, 0) },
    zone_out = { WARM, ZonePhase::Out, "v1", false, (0, 0) },
    leaving = { WARM, ZonePhase::In, "v1", true, (0, 0) },
    other_version = { WARM, ZonePhase::In, "v9", false, (0, 0) },
)]
fn only_usable_targets_get_work(
    warmth: Option<Warmth>,
    phase: ZonePhase,
    version: &str,
    is_leaving: bool,
    expected: (usize, usize),
) {
    let (board, writers) = Blackboard::new(host(0), Name::from("north"));
    let Writers {
        bundle: mut bundles,
        warmth: mut warmths,
        mut zones,
        routing,
        ..
    } = writers;
    let mut targets = TargetController::new(routing);
    targets.step(&board, listed(version, is_leaving), at(0));
    let report = LoadReport {
        in_flight: 0,
        slots: 5,
        start_id: StartId(7),
        uptime_ms: 1,
        is_leaving: false,
    };
    targets
        .cell(&addr(9))
        .unwrap()
        .record_report(report, MonoNs(1));
    bundles.publish(Some(bundle(1, ZoneState::In, None)));
    let since = BundleVersion(1);
    let entry = (Name::from("north"), ZoneEntry { phase, since });
    zones.publish(ZoneTable {
        zones: BTreeMap::from([entry]),
    });
    let rows = warmth.map(|warmth| (Name::from(addr(9).to_string()), warmth));
    warmths.publish(WarmthTable {
        targets: rows.into_iter().collect(),
    });
    targets.step(&board, TargetEvent::Tick, at(1));
    let snapshot = board.routing.read();
    let pool = &snapshot.value.services["orders"].pools[0];
    assert_eq!((pool.warm.len(), pool.cold.len()), expected);
}

/// Guards against counts of a move that are reset by a new snapshot or kept for the next move.
#[test]
fn counters_last_as_long_as_the_move() {
    let (board, writers) = Blackboard::new(host(0), Name::from("north"));
    let Writers {
        bundle: mut bundles,
        mut moves,
        routing,
        ..
    } = writers;
    bundles.publish(Some(bundle(1, ZoneState::In, None)));
    let mut targets = TargetController::new(routing);
    let mut good_after = |id: &str, step| {
        let entry = MoveEntry {
            id: Name::from(id),
            from: Name::from("v1"),
            to: Name::from("v2"),
            state: MoveState::Canary,
            share_permille: 20,
            step,
        };
        let services = BTreeMap::from([(Name::from("orders"), entry)]);
        moves.publish(MoveTable { services });
        targets.step(&board, TargetEvent::Tick, at(step));
        let snapshot = board.routing.read();
        let counters = snapshot.value.services["orders"]
            .move_counters
            .clone()
            .unwrap();
        let route = &counters.routes["read"];
        route.count_good(true, 1, false);
        route.new.good.load(std::sync::atomic::Ordering::Relaxed)
    };
    assert_eq!(good_after("m1", 1), 1);
    assert_eq!(good_after("m1", 2), 2);
    assert_eq!(good_after("m2", 3), 1);
}

/// Guards against new requests to a target that reported in a response that it is leaving, before
/// the platform's list shows it, and against excluding its next run too.
#[parameterized(
    same_run = { 8, (0, 0) },
    next_run = { 9, (1, 0) },
)]
fn leaving_by_its_own_response(warm_run: u64, expected: (usize, usize)) {
    let (board, writers) = Blackboard::new(host(0), Name::from("north"));
    let Writers {
        bundle: mut bundles,
        warmth: mut warmths,
        mut zones,
        routing,
        ..
    } = writers;
    let mut targets = TargetController::new(routing);
    targets.step(&board, listed("v1", false), at(0));
    let cell = targets.cell(&addr(9)).unwrap();
    let report = LoadReport {
        in_flight: 0,
        slots: 5,
        start_id: StartId(8),
        uptime_ms: 60_000,
        is_leaving: true,
    };
    cell.record_report(report, MonoNs(1));
    let name = cell.id.clone();
    bundles.publish(Some(bundle(1, ZoneState::In, None)));
    let entry = ZoneEntry {
        phase: ZonePhase::In,
        since: BundleVersion(1),
    };
    zones.publish(ZoneTable {
        zones: [(Name::from("north"), entry)].into(),
    });
    let warm = Warmth::Warm {
        start_id: StartId(warm_run),
    };
    warmths.publish(WarmthTable {
        targets: [(name, warm)].into(),
    });
    targets.step(&board, TargetEvent::Leaving, at(1));
    let routing = board.routing.read();
    let pool = &routing.value.services["orders"].pools[0];
    assert_eq!((pool.warm.len(), pool.cold.len()), expected);
}
