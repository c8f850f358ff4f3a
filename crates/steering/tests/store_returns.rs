//! What a host knows when the store returns from an older copy.

mod common;

use common::fleet;
use heatherhinge_orders::{MoveOrder, TargetEntry, TargetPhase};
use heatherhinge_steering::{
    EpochStep, MoveControl, MoveEffect, MoveReport, MoveStage, OrderRows, PastMove, Replica,
    ReportedState, RowChange, StoreEpoch, TableUpdate, TargetControl, VersionFate,
};
use heatherhinge_types::{MonoNs, Name, StoreVersion};
use std::collections::BTreeMap;
use yare::parameterized;

fn at(epoch: u64, number: u64) -> StoreVersion {
    StoreVersion::new(epoch, number).unwrap_or_default()
}

/// Returns an update whose rows have the epoch of its version.
fn update(
    is_whole: bool,
    version: StoreVersion,
    rows: &[(&str, u64, Option<&str>)],
) -> TableUpdate {
    let row = |(key, number, content): &(&str, u64, Option<&str>)| RowChange {
        key: Name::new(key),
        version: at(version.epoch(), *number),
        content: content.map(|text| text.as_bytes().into()),
    };
    TableUpdate {
        is_whole,
        version,
        age_ms: 0,
        rows: rows.iter().map(row).collect(),
    }
}

/// The orders of a host.
struct Orders {
    replica: Replica,
    rows: OrderRows,
    in_force: BTreeMap<Name, String>,
}

impl Orders {
    fn new() -> Self {
        Self {
            replica: Replica::following_rewrites(),
            rows: OrderRows::default(),
            in_force: BTreeMap::new(),
        }
    }

    fn apply(&mut self, update: &TableUpdate, at_ms: u64) {
        let now = MonoNs::from_ms(at_ms);
        let is_same = |before: &[u8], after: &[u8]| before == after;
        let applied = self.replica.apply(update, now, is_same);
        let mut changes = self.rows.accept(&applied, now);
        changes.extend(self.rows.expire(now));
        for change in changes {
            match change.row {
                Some(row) => {
                    let text = String::from_utf8_lossy(&row.content).into_owned();
                    self.in_force.insert(change.key, text);
                }
                None => {
                    self.in_force.remove(&change.key);
                }
            }
        }
    }

    fn expire(&mut self, at_ms: u64) {
        let current = update(false, self.replica.version(), &[]);
        self.apply(&current, at_ms);
    }

    fn content(&self, key: &str) -> Option<&str> {
        self.in_force.get(&Name::new(key)).map(String::as_str)
    }
}

/// Returns the orders of a host that has seen `a` as 1, 2 and 3, `gone` written and removed, and
/// `late` written last.
fn orders_before_return() -> Orders {
    let mut orders = Orders::new();
    let first = [("a", 2, Some("1")), ("gone", 3, Some("x"))];
    orders.apply(&update(true, at(1, 3), &first), 1_000);
    orders.apply(&update(false, at(1, 5), &[("a", 5, Some("2"))]), 2_000);
    let last = [
        ("a", 8, Some("3")),
        ("gone", 9, None),
        ("late", 10, Some("y")),
    ];
    orders.apply(&update(false, at(1, 10), &last), 3_000);
    orders
}

// Guards against an order that goes back to what the copy shows, one that is lost before it can be
// written again, and one that stays although it was not.
#[test]
fn orders_do_not_go_back_to_those_of_a_copy() {
    let mut orders = orders_before_return();
    let copy = [("a", 5, Some("2")), ("gone", 3, Some("x"))];
    orders.apply(&update(true, at(2, 6), &copy), 10_000);
    assert_eq!(orders.content("a"), Some("3"));
    assert_eq!(orders.content("gone"), None);
    assert_eq!(orders.content("late"), Some("y"));
    // Written again, under numbers that were given out before.
    orders.apply(&update(false, at(2, 8), &[("a", 7, Some("3"))]), 11_000);
    orders.apply(&update(false, at(2, 9), &[("gone", 9, None)]), 11_500);
    assert_eq!(orders.content("a"), Some("3"));
    orders.expire(12_900);
    assert_eq!(orders.content("late"), Some("y"));
    orders.expire(13_000);
    assert_eq!(orders.content("late"), None);
    assert_eq!(orders.content("a"), Some("3"));
}

// Guards against a new order that is taken for an old one because its number or its content was there
// before.
#[parameterized(
    other_content_at_an_old_number = { "a", 5, "4" },
    old_content_at_a_new_number = { "a", 6, "1" },
    removed_order_again = { "gone", 4, "x" },
)]
fn orders_written_after_a_return_are_new(key: &str, number: u64, content: &str) {
    let mut orders = orders_before_return();
    let rows = [(key, number, Some(content))];
    orders.apply(&update(true, at(2, 7), &rows), 10_000);
    assert_eq!(orders.content(key), Some(content));
}

// Guards against an order that the operator gives again after a return, and that is not put in force
// because the copy showed the same content before.
#[test]
fn an_outdated_order_that_is_written_again_is_in_force() {
    let mut orders = orders_before_return();
    let copy = [("a", 5, Some("2")), ("gone", 3, Some("x"))];
    orders.apply(&update(true, at(2, 6), &copy), 10_000);
    orders.apply(&update(false, at(2, 7), &[("gone", 7, Some("x"))]), 10_500);
    assert_eq!(orders.content("gone"), Some("x"));
}

// Guards against a second return within the time of the first one that brings old orders back.
#[test]
fn orders_do_not_go_back_across_two_returns() {
    let mut orders = orders_before_return();
    orders.apply(&update(true, at(2, 6), &[("a", 5, Some("2"))]), 10_000);
    let rewritten = [("a", 7, Some("3")), ("late", 8, Some("y"))];
    orders.apply(&update(false, at(2, 8), &rewritten), 11_000);
    let copy = [("a", 5, Some("2")), ("gone", 3, Some("x"))];
    orders.apply(&update(true, at(3, 6), &copy), 12_000);
    assert_eq!(orders.content("a"), Some("3"));
    assert_eq!(orders.content("gone"), None);
    orders.expire(14_900);
    assert_eq!(orders.content("late"), Some("y"));
}

// Guards against updates of an earlier epoch that replace later ones, and against changes since a
// version of another epoch.
#[test]
fn replicas_follow_the_latest_epoch() {
    let mut replica = Replica::default();
    let is_same = |before: &[u8], after: &[u8]| before == after;
    let mut apply = |update: &TableUpdate| replica.apply(update, MonoNs::from_ms(1_000), is_same);
    apply(&update(true, at(1, 90), &[("a", 80, Some("old"))]));
    assert!(!apply(&update(false, at(2, 95), &[("b", 94, Some("x"))])).begins_epoch);
    let begun = apply(&update(true, at(2, 40), &[("a", 30, Some("new"))]));
    assert!(begun.begins_epoch && begun.changes.len() == 1);
    let late = apply(&update(true, at(1, 99), &[("a", 99, Some("late"))]));
    assert_eq!(late, heatherhinge_steering::AppliedUpdate::default());
    assert_eq!(replica.version(), at(2, 40));
    let now = MonoNs::from_ms(2_000);
    // Other hosts learn that there is something new, and get all of it.
    assert!(replica.changed_version() > at(1, 99));
    assert!(replica.update_since(at(1, 95), now).is_whole);
    assert!(!replica.update_since(at(2, 40), now).is_whole);
}

// Guards against a return that is not noticed, or is noticed twice.
#[test]
fn epochs_only_rise() {
    let mut epoch = StoreEpoch::default();
    assert_eq!(epoch.observe(at(4, 1)), EpochStep::First);
    assert_eq!(epoch.observe(at(5, 1)), EpochStep::Later { from: 4 });
    assert_eq!(epoch.observe(at(5, 2)), EpochStep::Current);
    assert_eq!(epoch.observe(at(4, 9)), EpochStep::Earlier);
    assert_eq!(
        epoch.observe(StoreVersion::without_epoch(9)),
        EpochStep::Earlier
    );
    assert_eq!(epoch.current(), 5);
}

fn entry(id: &str, phase: TargetPhase, start_wall_ms: u64) -> TargetEntry {
    TargetEntry {
        id: Name::new(id),
        service: Name::new("orders"),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: Name::new("a"),
        version: Name::new("v1"),
        slots: 4,
        phase,
        cold_ms: 0,
        start_wall_ms,
    }
}

// Guards against a registration of the copy that is taken for the state of a target now.
#[parameterized(
    removed = { 7, 7, 0 },
    removed_start_before = { 7, 6, 0 },
    started_again = { 7, 8, 1 },
)]
fn removed_targets_do_not_come_back_with_the_copy(removed: u64, shown: u64, expected: usize) {
    let now = MonoNs::from_ms(1_000);
    let mut control = TargetControl::default();
    control.set(entry("i", TargetPhase::Ready, removed), now);
    control.remove(&Name::new("i"), 0, now);
    control.set_restored(entry("i", TargetPhase::Ready, shown), now);
    assert_eq!(control.len(), expected);
    control.expire(now.plus_ms(2_900));
    assert_eq!(control.len(), expected);
    // It lives if it is still registered then.
    control.expire(now.plus_ms(3_000));
    assert_eq!(control.len(), 1);
}

// Guards against a removed target that is used at the end of the time although its entry was removed
// again.
#[test]
fn a_target_that_is_removed_again_stays_removed() {
    let now = MonoNs::from_ms(1_000);
    let mut control = TargetControl::default();
    control.set(entry("i", TargetPhase::Ready, 7), now);
    control.remove(&Name::new("i"), 0, now);
    control.set_restored(entry("i", TargetPhase::Ready, 7), now);
    control.remove(&Name::new("i"), 0, now.plus_ms(500));
    control.expire(now.plus_ms(3_000));
    assert_eq!(control.len(), 0);
}

// Guards against a departure that is concluded from a copy before the target can have registered again,
// and against one that is never concluded.
#[test]
fn targets_that_the_copy_lacks_have_time_to_come_back() {
    let now = MonoNs::from_ms(1_000);
    let mut control = TargetControl::default();
    for id in ["back", "lost"] {
        control.set(entry(id, TargetPhase::Ready, 7), now);
        control.remove_restored(&Name::new(id), now);
    }
    control.set(entry("back", TargetPhase::Ready, 7), now.plus_ms(2_000));
    control.expire(now.plus_ms(2_900));
    assert_eq!(control.len(), 2);
    control.expire(now.plus_ms(3_000));
    assert_eq!(control.len(), 1);
}

fn order() -> MoveOrder {
    MoveOrder {
        service: Name::new("orders"),
        to: Name::new("v2"),
        duration_ms: 15_000,
    }
}

fn orders_at(version: StoreVersion) -> BTreeMap<Name, (StoreVersion, MoveOrder)> {
    BTreeMap::from([(Name::new("orders"), (version, order()))])
}

/// Returns a host that knows the final report of a move.
fn reported_move(state: ReportedState, now: MonoNs) -> MoveControl {
    let mut control = MoveControl::default();
    control.set_orders(&orders_at(at(1, 40)), &[], now);
    let report = MoveReport {
        to: order().to,
        state,
        version: at(1, 50),
    };
    control.set_report(&order().service, Some(report), now);
    control
}

/// Steps a host alone, whose store holds this report; returns the states that it writes.
fn written(
    control: &mut MoveControl,
    stored: Option<MoveReport>,
    now: MonoNs,
) -> Vec<ReportedState> {
    let mut written = Vec::new();
    for ms in (0..3_000).step_by(100) {
        let now = now.plus_ms(ms);
        for effect in control.step(&Name::new("host-1"), &fleet(1), now) {
            match effect {
                MoveEffect::ReadReport(service) => {
                    control.set_report(&service, stored.clone(), now);
                }
                MoveEffect::WriteReport {
                    service, to, state, ..
                } => {
                    written.push(state);
                    let version = at(2, 60);
                    control.set_report(&service, Some(MoveReport { to, state, version }), now);
                }
                MoveEffect::LogStage { .. } | MoveEffect::WriteVerdicts { .. } => {}
            }
        }
    }
    written
}

// Guards against a final report that is lost with a return, written more than once, or replaced by what
// the copy shows.
#[parameterized(
    completed_lost = { ReportedState::Completed, None, 1 },
    completed_running_in_the_copy = { ReportedState::Completed, Some((ReportedState::Running, 45)), 1 },
    completed_in_the_copy = { ReportedState::Completed, Some((ReportedState::Completed, 50)), 0 },
    rolled_back_lost = { ReportedState::RolledBack, None, 1 },
    rolled_back_in_the_copy = { ReportedState::RolledBack, Some((ReportedState::RolledBack, 50)), 0 },
    of_an_earlier_order = { ReportedState::RolledBack, Some((ReportedState::Completed, 30)), 1 },
)]
fn final_reports_are_written_again(
    state: ReportedState,
    in_copy: Option<(ReportedState, u64)>,
    expected: usize,
) {
    let now = MonoNs::from_ms(1_000);
    let mut control = reported_move(state, now);
    assert_eq!(control.begin_epoch(2), 1);
    // The order is one of the copy, or was written again.
    control.set_orders(&orders_at(at(2, 40)), &[], now);
    let stored = in_copy.map(|(state, number)| MoveReport {
        to: order().to,
        state,
        version: at(2, number),
    });
    assert_eq!(written(&mut control, stored, now), vec![state; expected]);
    let stage = match state {
        ReportedState::Completed => MoveStage::Completed,
        _ => MoveStage::RolledBack,
    };
    assert_eq!(control.trackers()["orders"].stage(), stage);
}

// Guards against a report that is read or written while the order is not there: it could be one of an
// earlier order to the same version.
#[test]
fn no_report_is_exchanged_before_the_order_is_written_again() {
    let now = MonoNs::from_ms(1_000);
    let mut control = reported_move(ReportedState::Completed, now);
    control.begin_epoch(2);
    assert_eq!(written(&mut control, None, now), []);
}

// Guards against an acknowledgement from before the return that is taken for a report in the store.
#[test]
fn a_late_acknowledgement_proves_nothing() {
    let now = MonoNs::from_ms(1_000);
    let mut control = reported_move(ReportedState::RolledBack, now);
    control.begin_epoch(2);
    control.set_orders(&orders_at(at(2, 40)), &[], now);
    let late = MoveReport {
        to: order().to,
        state: ReportedState::RolledBack,
        version: at(1, 55),
    };
    control.set_report(&order().service, Some(late), now);
    assert_eq!(
        written(&mut control, None, now),
        [ReportedState::RolledBack]
    );
}

// Guards against a move that a host which has just started resumes from the copy although its version
// was rolled back.
#[test]
fn a_restored_move_that_was_rolled_back_ends() {
    let now = MonoNs::from_ms(1_000);
    let mut control = MoveControl::default();
    control.set_orders(&orders_at(at(2, 40)), &[], now);
    let past = |order_version| PastMove {
        service: order().service,
        version: order().to,
        order_version,
        fate: VersionFate::RolledBack,
    };
    control.learn(&[past(at(1, 39))], now);
    assert_eq!(control.trackers()["orders"].stage(), MoveStage::Canary);
    control.learn(&[past(at(1, 40))], now);
    assert_eq!(control.trackers()["orders"].stage(), MoveStage::RolledBack);
}

/// Returns the verdicts that host `own` of three stores at a time, as versions and fates.
fn stored(control: &mut MoveControl, own: &str, now: MonoNs) -> Vec<(Name, VersionFate)> {
    let effects = control.step(&Name::new(own), &fleet(3), now);
    let verdicts = effects.into_iter().filter_map(|effect| match effect {
        MoveEffect::WriteVerdicts { verdicts, .. } => Some(verdicts),
        _ => None,
    });
    let pair = |past: PastMove| (past.version, past.fate);
    verdicts.flatten().map(pair).collect()
}

// Guards against a verdict that is lost with all processes, or with a return of the store, because no
// host stores it, and against all hosts that store it at once.
#[test]
fn one_host_stores_the_verdicts() {
    let now = MonoNs::from_ms(1_000);
    let mut writers = 0;
    for own in ["host-1", "host-2", "host-3"] {
        let mut control = reported_move(ReportedState::RolledBack, now);
        let expected = [(order().to, VersionFate::RolledBack)];
        let written = stored(&mut control, own, now);
        if written.is_empty() {
            continue;
        }
        writers += 1;
        assert_eq!(written, expected);
        assert_eq!(stored(&mut control, own, now.plus_ms(1_000)), []);
        control.verdicts_not_stored(&order().service);
        assert_eq!(stored(&mut control, own, now.plus_ms(2_000)), expected);
        control.begin_epoch(2);
        assert_eq!(stored(&mut control, own, now.plus_ms(3_000)), expected);
        // A later move to the same version goes well.
        let other = MoveOrder {
            to: Name::new("v3"),
            ..order()
        };
        let orders = BTreeMap::from([(order().service, (at(2, 70), other))]);
        control.set_orders(&orders, &[], now);
        control.set_orders(&orders_at(at(2, 80)), &[], now);
        let report = MoveReport {
            to: order().to,
            state: ReportedState::Completed,
            version: at(2, 90),
        };
        control.set_report(&order().service, Some(report), now);
        let expected = [(order().to, VersionFate::Accepted)];
        assert_eq!(stored(&mut control, own, now.plus_ms(4_000)), expected);
    }
    assert_eq!(writers, 1);
}

// Guards against a host that tries a version again after a loss of power although the store holds that
// it was rolled back, and against one that stores again what it has just read.
#[test]
fn stored_verdicts_are_known_after_a_restart() {
    let now = MonoNs::from_ms(1_000);
    let past = PastMove {
        service: order().service,
        version: order().to,
        order_version: at(1, 40),
        fate: VersionFate::RolledBack,
    };
    let mut control = MoveControl::default();
    control.set_orders(&orders_at(at(1, 40)), &[], now);
    control.learn_stored(&[past], now);
    assert_eq!(control.trackers()["orders"].stage(), MoveStage::RolledBack);
    let fate = control.past_moves().fate(&order().service, &order().to);
    assert_eq!(fate, Some(VersionFate::RolledBack));
    for own in ["host-1", "host-2", "host-3"] {
        assert_eq!(stored(&mut control, own, now), []);
    }
}
