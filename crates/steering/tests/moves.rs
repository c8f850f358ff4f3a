//! Version moves: shares, judgements and reports.

mod common;

use common::{fleet, with_moves};
use heatherhinge_orders::MoveOrder;
use heatherhinge_steering::{
    MoveControl, MoveEffect, MoveProgress, MoveReport, MoveSample, MoveStage, MoveTracker,
    ReportedState, RouteTally, Side, Tally, Verdict, judge,
};
use heatherhinge_types::{MonoNs, Name};
use std::collections::BTreeMap;
use yare::parameterized;

const ORDER_VERSION: u64 = 40;

fn order() -> MoveOrder {
    MoveOrder {
        service: Name::new("orders"),
        to: Name::new("v2"),
        duration_ms: 15_000,
    }
}

fn tally(answers: u32, bad: u32, slow: u32) -> Tally {
    Tally { answers, bad, slow }
}

fn route(name: &str, current: Tally, moving: Tally) -> RouteTally {
    RouteTally {
        route: Name::new(name),
        current,
        moving,
    }
}

// Guards against bad versions that are not seen, on one route only too, and against good ones
// taken for bad because all targets have trouble.
#[parameterized(
    few = { vec![route("r", tally(100, 0, 0), tally(5, 1, 0))], Verdict::Unclear },
    good = { vec![route("r", tally(500, 2, 3), tally(60, 1, 1))], Verdict::Good },
    errors = { vec![route("r", tally(100, 0, 0), tally(12, 6, 0))], Verdict::Bad },
    slow = { vec![route("r", tally(100, 0, 1), tally(15, 0, 7))], Verdict::Bad },
    one_route = { vec![route("r", tally(900, 2, 0), tally(200, 1, 0)), route("s", tally(90, 0, 0), tally(12, 5, 0))], Verdict::Bad },
    all_troubled = { vec![route("r", tally(300, 60, 0), tally(40, 9, 0))], Verdict::Good },
    few_references = { vec![route("r", tally(0, 0, 0), tally(30, 1, 0))], Verdict::Good },
)]
fn versions_are_judged(tallies: Vec<RouteTally>, expected: Verdict) {
    assert_eq!(judge(tallies.iter()), expected);
}

// Guards against an unproven version that gets more than a tenth of all requests, in any stage
// before it is found good.
#[test]
fn exposure_stays_within_its_share() {
    let tracker = MoveTracker::new(order(), ORDER_VERSION, &[]);
    let mut moved = 0_u32;
    for total in 1..=4_000_u32 {
        if total == 1_500 {
            tracker.set_stage(MoveStage::Ramp);
        }
        moved += u32::from(tracker.choose_side() == Side::Moving);
        assert!(moved * 10 <= total + 20, "{moved} of {total}");
    }
    assert!(moved > 250, "{moved}: the ramp spends the savings");
    tracker.set_stage(MoveStage::RolledBack);
    assert!((0..100).all(|_| tracker.choose_side() == Side::Current));
}

fn control(now: MonoNs) -> MoveControl {
    let mut control = MoveControl::default();
    let orders = BTreeMap::from([(Name::new("orders"), (ORDER_VERSION, order()))]);
    control.set_orders(&orders, &[Name::new("r")], now);
    control
}

fn state(stage: MoveStage, current_in_flight: u32, routes: Vec<RouteTally>) -> MoveProgress {
    MoveProgress {
        service: Name::new("orders"),
        order_version: ORDER_VERSION,
        stage,
        elapsed_ms: 0,
        is_reported: false,
        current_in_flight,
        routes,
    }
}

fn stage(control: &MoveControl) -> MoveStage {
    control.trackers()["orders"].stage()
}

fn reports(effects: &[MoveEffect]) -> Vec<ReportedState> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            MoveEffect::WriteReport { state, .. } => Some(*state),
            _ => None,
        })
        .collect()
}

// Guards against a verdict that rests on one host's answers where the fleet's show the fault.
#[test]
fn the_fleets_answers_take_a_move_back() {
    let start = MonoNs::from_ms(1_000);
    let own = Name::new("host-1");
    let mut control = control(start);
    let part = || vec![route("r", tally(30, 0, 0), tally(4, 2, 0))];
    let peers: Vec<(u8, MoveProgress)> = (2..=5)
        .map(|number| (number, state(MoveStage::Canary, 1, part())))
        .collect();
    control.step(&own, &with_moves(fleet(5), &peers[..1]), start.plus_ms(500));
    assert_eq!(stage(&control), MoveStage::Canary);
    control.step(&own, &with_moves(fleet(5), &peers), start.plus_ms(800));
    assert_eq!(stage(&control), MoveStage::RolledBack);
}

/// Steps a host that is alone until `until_ms` after the order and returns what it reported.
fn run_alone(control: &mut MoveControl, start: MonoNs, until_ms: u64) -> Vec<ReportedState> {
    let own = Name::new("host-1");
    let mut written = Vec::new();
    let mut version = ORDER_VERSION + 1;
    for ms in (0..=until_ms).step_by(150) {
        let now = start.plus_ms(ms);
        for effect in control.step(&own, &fleet(1), now) {
            match effect {
                MoveEffect::ReadReport(service) => control.set_report(&service, None, now),
                MoveEffect::WriteReport {
                    service, to, state, ..
                } => {
                    written.push(state);
                    version += 1;
                    control.set_report(&service, Some(MoveReport { to, state, version }), now);
                }
                MoveEffect::LogStage { .. } => {}
            }
        }
    }
    written
}

// Guards against a good move that is not reported before its time is over.
#[test]
fn a_good_move_completes_in_time() {
    let start = MonoNs::from_ms(1_000);
    let mut control = control(start);
    let tracker = std::sync::Arc::clone(&control.trackers()["orders"]);
    for _ in 0..60 {
        tracker.count(&Name::new("r"), Side::Current, MoveSample::Good(80_000));
        tracker.count(&Name::new("r"), Side::Moving, MoveSample::Good(82_000));
    }
    let written = run_alone(&mut control, start, 14_000);
    assert_eq!(written, [ReportedState::Running, ReportedState::Completed]);
    assert_eq!(stage(&control), MoveStage::Completed);
}

// Guards against a version that is called good without any answers.
#[test]
fn a_move_without_answers_is_not_completed() {
    let start = MonoNs::from_ms(1_000);
    let mut control = control(start);
    let written = run_alone(&mut control, start, 20_000);
    assert_eq!(written, [ReportedState::Running]);
}

// Guards against old targets that are stopped while a host still has requests there.
#[test]
fn completion_waits_for_requests_at_the_old_version() {
    let start = MonoNs::from_ms(1_000);
    let own = Name::new("host-1");
    let mut control = control(start);
    control.set_report(&Name::new("orders"), None, start);
    let busy = with_moves(fleet(2), &[(2, state(MoveStage::Shift, 3, Vec::new()))]);
    let left = with_moves(fleet(2), &[(2, state(MoveStage::Shift, 0, Vec::new()))]);
    let mut written = Vec::new();
    for ms in (0..4_000).step_by(150) {
        written.extend(reports(&control.step(&own, &busy, start.plus_ms(ms))));
    }
    assert!(!written.contains(&ReportedState::Completed));
    for ms in (4_000..6_000).step_by(150) {
        written.extend(reports(&control.step(&own, &left, start.plus_ms(ms))));
    }
    assert!(written.contains(&ReportedState::Completed));
}

// Guards against a good move that is reported too late because there is always a host that has just
// started and is not as far as the others: with four restarts a second a report came at the last
// moment, and once after it.
#[test]
fn hosts_that_start_do_not_make_a_move_late() {
    let start = MonoNs::from_ms(1_000);
    let own = Name::new("host-1");
    let mut control = control(start);
    let ahead = state(MoveStage::Shift, 0, Vec::new());
    let fresh = state(MoveStage::Canary, 0, Vec::new());
    let fleet = with_moves(fleet(3), &[(2, ahead), (3, fresh)]);
    let mut reported_ms = None;
    for ms in (0..15_000).step_by(150) {
        let now = start.plus_ms(ms);
        for effect in control.step(&own, &fleet, now) {
            match effect {
                MoveEffect::ReadReport(service) => control.set_report(&service, None, now),
                MoveEffect::WriteReport {
                    state: ReportedState::Completed,
                    ..
                } => reported_ms = reported_ms.or(Some(ms)),
                _ => {}
            }
        }
    }
    assert!(
        reported_ms.is_some_and(|ms| ms <= 13_500),
        "{reported_ms:?}"
    );
}

// Guards against a restarted host that begins a finished move anew.
#[test]
fn the_stored_report_decides() {
    let start = MonoNs::from_ms(1_000);
    let mut control = control(start);
    let report = |state, version| MoveReport {
        to: Name::new("v2"),
        state,
        version,
    };
    let service = Name::new("orders");
    // A report that is older than the order belongs to an earlier move.
    let earlier = report(ReportedState::RolledBack, ORDER_VERSION - 5);
    control.set_report(&service, Some(earlier), start);
    assert_eq!(stage(&control), MoveStage::Canary);
    let ours = report(ReportedState::RolledBack, ORDER_VERSION + 5);
    control.set_report(&service, Some(ours), start);
    assert_eq!(stage(&control), MoveStage::RolledBack);
}

// Guards against a host that takes a move back by itself while another one has reported it as
// completed: the old targets are stopped then, and the host refused all requests until its turn to
// write a report came, up to a minute later.
#[test]
fn a_reported_stage_overrules_an_unreported_one() {
    let start = MonoNs::from_ms(1_000);
    let own = Name::new("host-1");
    let mut control = control(start);
    let bad = vec![route("r", tally(100, 0, 0), tally(40, 20, 0))];
    let doubting = [(2, state(MoveStage::Shift, 0, bad))];
    control.step(&own, &with_moves(fleet(3), &doubting), start.plus_ms(300));
    assert_eq!(stage(&control), MoveStage::RolledBack);
    let reported = MoveProgress {
        is_reported: true,
        ..state(MoveStage::Completed, 0, Vec::new())
    };
    let peers = [
        (2, state(MoveStage::RolledBack, 0, Vec::new())),
        (3, reported),
    ];
    control.step(&own, &with_moves(fleet(3), &peers), start.plus_ms(600));
    assert_eq!(stage(&control), MoveStage::Completed);
    let told = control.states(start.plus_ms(600));
    assert!(told[0].is_reported, "others learn it from this host too");
    let doubting = [(2, state(MoveStage::RolledBack, 0, Vec::new()))];
    control.step(&own, &with_moves(fleet(3), &doubting), start.plus_ms(900));
    assert_eq!(stage(&control), MoveStage::Completed);
}
