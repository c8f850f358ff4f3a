//! What targets say of themselves: that they leave, or that they are busy for a time.

mod common;

use common::fleet;
use heatherhinge_orders::{CallerLimits, RouteTable, ServiceSpec, TargetEntry, TargetPhase};
use heatherhinge_steering::{
    HoldOff, HoldOffError, PastMoves, Target, TargetCell, TargetControl, TargetGroup, TargetInputs,
};
use heatherhinge_types::{MonoNs, Name, StoreVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use yare::parameterized;

const START: MonoNs = MonoNs::from_ms(1_000_000);

fn entry(number: u16, start_wall_ms: u64) -> TargetEntry {
    TargetEntry {
        id: Name::from(format!("i-{number}")),
        service: Name::new("orders"),
        addr: ([127, 0, 0, 1], number).into(),
        zone: Name::new("a"),
        version: Name::new("v1"),
        slots: 4,
        phase: TargetPhase::Ready,
        cold_ms: 0,
        start_wall_ms,
    }
}

/// Returns the targets that a host may use.
fn targets(control: &TargetControl) -> Vec<Arc<Target>> {
    let service = Name::new("orders");
    let spec = ServiceSpec {
        name: service.clone(),
        health_path: Name::new("/health"),
        max_connections: 100,
        cold_ms: 3_000,
        cold_milli_per_s: 5_000,
    };
    let services = BTreeMap::from([(service.clone(), Arc::new(spec))]);
    let inputs = TargetInputs {
        host: &Name::new("host-1"),
        zone: &Name::new("a"),
        routes: &RouteTable::new(1, BTreeMap::new(), services, CallerLimits::default()),
        zones_out: &BTreeSet::new(),
        trackers: &BTreeMap::new(),
        past_moves: &PastMoves::default(),
        fleet: &fleet(1),
    };
    let table = control.table(StoreVersion::without_epoch(1), &inputs);
    let pool = table.pools.get(&service);
    pool.map_or_else(Vec::new, |pool| pool.current.iter().cloned().collect())
}

// Guards against a value that stops a target for good, or that is taken for another time.
#[parameterized(
    whole = { "3", Ok(3_000) },
    fraction = { " 0.25 ", Ok(250) },
    zero = { "0", Ok(0) },
    too_small = { "0.0001", Ok(0) },
    large = { "1e300", Ok(600_000) },
    negative = { "-1", Err(HoldOffError) },
    infinite = { "inf", Err(HoldOffError) },
    not_a_number = { "NaN", Err(HoldOffError) },
    text = { "soon", Err(HoldOffError) },
    empty = { "", Err(HoldOffError) },
    date = { "Sat, 05 Dec 2026 14:00:00 GMT", Err(HoldOffError) },
)]
fn times_to_hold_off_are_parsed(text: &str, expected: Result<u64, HoldOffError>) {
    let expected = expected.map(|ms| HoldOff { ms });
    assert_eq!(text.parse::<HoldOff>(), expected);
}

// Guards against a time that a later response shortens, and one that does not end by itself.
#[test]
fn a_time_to_hold_off_is_only_lengthened_and_ends() {
    let cell = TargetCell::default();
    assert!(!cell.hold_off(START, HoldOff { ms: 0 }));
    assert!(cell.hold_off(START, HoldOff { ms: 3_000 }));
    assert!(!cell.hold_off(START, HoldOff { ms: 1_000 }));
    assert_eq!(cell.held_off_ms(START.plus_ms(1_500)), 1_500);
    assert!(cell.hold_off(START.plus_ms(1_500), HoldOff { ms: 2_000 }));
    assert_eq!(cell.held_off_ms(START.plus_ms(3_499)), 1);
    assert_eq!(cell.held_off_ms(START.plus_ms(3_500)), 0);
}

// Guards against a target that is used again although it has said that it leaves: its entry still
// says that it is ready, or it lapsed and came back. Only another start ends it.
#[test]
fn a_leaving_target_is_used_again_after_another_start_only() {
    let mut control = TargetControl::default();
    control.set(entry(1, 1), START);
    control.set(entry(2, 1), START);
    assert!(targets(&control)[0].cell.set_leaving());
    assert!(
        !targets(&control)
            .iter()
            .any(|target| target.id().as_str() == "i-1")
    );
    assert_eq!((targets(&control).len(), control.leaving()), (1, 1));
    control.set(entry(1, 1), START);
    assert_eq!(targets(&control).len(), 1);
    control.remove(&Name::new("i-1"), 0, START);
    control.set(entry(1, 1), START);
    assert_eq!(targets(&control).len(), 1);
    control.remove(&Name::new("i-1"), 5_000, START);
    assert!(control.expire(START.plus_ms(10_000)));
    control.set(entry(1, 1), START);
    assert_eq!(targets(&control).len(), 1);
    control.set(entry(1, 2), START);
    assert_eq!((targets(&control).len(), control.leaving()), (2, 0));
}

// Guards against a refusal that waits although no target wants the request, and against one while a
// target would take it.
#[test]
fn a_group_is_held_off_until_its_first_target_is_free() {
    let mut control = TargetControl::default();
    (1..=3).for_each(|number| control.set(entry(number, 1), START));
    let near = targets(&control);
    let group = TargetGroup {
        near: near.clone(),
        far: Vec::new(),
    };
    let held_off_ms = |group: &TargetGroup| group.held_off_ms(|_| false, START);
    assert_eq!(held_off_ms(&TargetGroup::default()), None);
    near[0].cell.hold_off(START, HoldOff { ms: 2_000 });
    near[1].cell.hold_off(START, HoldOff { ms: 1_000 });
    assert_eq!(held_off_ms(&group), None);
    let is_third = |target: &Target| target.id() == near[2].id();
    assert_eq!(group.held_off_ms(is_third, START), Some(1_000));
    near[2].cell.set_leaving();
    assert_eq!(held_off_ms(&group), Some(1_000));
    assert_eq!(group.held_off_ms(|_| false, START.plus_ms(1_000)), None);
}
