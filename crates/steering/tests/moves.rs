//! Version moves: request shares, verdicts and reports.

mod common;

use common::{fleet, with_moves};
use heatherhinge_orders::MoveOrder;
use heatherhinge_steering::{
    MoveControl, MoveEffect, MoveProgress, MoveReport, MoveSample, MoveStage, MoveTracker,
    ReportedState, RouteTally, Side, Tally, Verdict, VersionFate, judge,
};
use heatherhinge_types::{MonoNs, Name, StoreVersion};
use std::collections::BTreeMap;
use yare::parameterized;

const ORDER_VERSION: u64 = 40;

fn at(number: u64) -> StoreVersion {
    StoreVersion::without_epoch(number)
}

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

// Guards against bad versions that are not detected, also if only one route fails, against good
// versions judged bad because both versions fail, and against bad ones judged good because of that.
#[parameterized(
    few = { vec![route("r", tally(100, 0, 0), tally(5, 1, 0))], Verdict::Unclear },
    good = { vec![route("r", tally(500, 2, 3), tally(60, 1, 1))], Verdict::Good },
    errors = { vec![route("r", tally(100, 0, 0), tally(12, 6, 0))], Verdict::Worse },
    slow = { vec![route("r", tally(100, 0, 1), tally(15, 0, 7))], Verdict::Worse },
    one_route = { vec![route("r", tally(900, 2, 0), tally(200, 1, 0)), route("s", tally(90, 0, 0), tally(12, 5, 0))], Verdict::Worse },
    both_versions_failing = { vec![route("r", tally(300, 60, 0), tally(40, 9, 0))], Verdict::Unproven },
    both_failing_half = { vec![route("r", tally(1_248, 624, 0), tally(40, 20, 0))], Verdict::Unproven },
    both_failing_half_for_long = { vec![route("r", tally(1_248, 624, 0), tally(89, 44, 0))], Verdict::Failing },
    both_slow_for_long = { vec![route("r", tally(1_248, 0, 624), tally(89, 0, 44))], Verdict::Failing },
    one_route_failing_on_both = { vec![route("r", tally(900, 2, 0), tally(300, 0, 0)), route("s", tally(90, 45, 0), tally(12, 6, 0))], Verdict::Unproven },
    both_failing_a_little = { vec![route("r", tally(900, 60, 0), tally(100, 6, 0))], Verdict::Good },
    good_after_a_disruption = { vec![route("r", tally(900, 200, 0), tally(400, 32, 0))], Verdict::Good },
    no_responses_of_current = { vec![route("r", tally(0, 0, 0), tally(30, 1, 0))], Verdict::Good },
)]
fn judges_new_versions(tallies: Vec<RouteTally>, expected: Verdict) {
    assert_eq!(judge(tallies.iter()), expected);
}

/// Requests that were sent, and those of them that reached the new version.
#[derive(Default)]
struct Sent {
    all: u32,
    moved: u32,
}

impl Sent {
    /// Sends `requests` requests. The current version has a target for one in
    /// `current_finds_one_in` of them, the new one has a target for all, and each request that was
    /// sent is sent `retries` times more.
    fn send(&mut self, tracker: &MoveTracker, current_finds_one_in: u32, retries: u32) {
        for request in 0..2_000 {
            let side = tracker.choose_side(true);
            if side == Side::Current && request % current_finds_one_in > 0 {
                continue;
            }
            tracker.begin(side, true);
            let mut is_moved = side == Side::Moving;
            for _ in 0..retries {
                let side = tracker.choose_side(false);
                tracker.begin(side, false);
                is_moved |= side == Side::Moving;
            }
            self.all += 1;
            self.moved += u32::from(is_moved);
            let Self { all, moved } = self;
            assert!(*moved * 10 <= *all + 20, "{moved} of {all}");
        }
    }
}

// Guards against an unproven version that receives more than a tenth of all requests in any stage,
// also if the current version has no room for most requests or if requests are retried.
#[parameterized(
    calm = { 1, 0 },
    current_version_full = { 4, 0 },
    retries = { 1, 2 },
)]
fn exposure_stays_within_its_share(current_finds_one_in: u32, retries: u32) {
    let tracker = MoveTracker::new(order(), &[]);
    let mut sent = Sent::default();
    sent.send(&tracker, current_finds_one_in, retries);
    tracker.set_stage(MoveStage::Ramp);
    sent.send(&tracker, current_finds_one_in, retries);
    let Sent { all, moved } = sent;
    assert!(
        moved * 16 > all,
        "{moved} of {all}: the ramp stage did not use the unused canary share"
    );
    tracker.set_stage(MoveStage::RolledBack);
    assert!((0..100).all(|_| tracker.choose_side(true) == Side::Current));
}

fn control(now: MonoNs) -> MoveControl {
    let mut control = MoveControl::default();
    let orders = BTreeMap::from([(Name::new("orders"), (at(ORDER_VERSION), order()))]);
    control.set_orders(&orders, &[Name::new("r")], now);
    control
}

fn state(stage: MoveStage, current_in_flight: u32, routes: Vec<RouteTally>) -> MoveProgress {
    MoveProgress {
        service: Name::new("orders"),
        order_version: at(ORDER_VERSION),
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

// Guards against a verdict from one host's responses when only those of the whole fleet show the
// fault.
#[test]
fn a_move_is_rolled_back_on_the_responses_of_all_hosts() {
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

/// Runs a fleet of one host until `until_ms` after the order and returns what it reported.
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
                    let version = at(version);
                    control.set_report(&service, Some(MoveReport { to, state, version }), now);
                }
                MoveEffect::LogStage { .. } | MoveEffect::WriteVerdicts { .. } => {}
            }
        }
    }
    written
}

// Guards against a good move that is not reported as completed before its duration has passed.
#[test]
fn a_good_move_completes_in_time() {
    let start = MonoNs::from_ms(1_000);
    let mut control = control(start);
    let tracker = std::sync::Arc::clone(&control.trackers()["orders"]);
    for _ in 0..60 {
        tracker.count(
            &Name::new("r"),
            Side::Current,
            MoveSample::Good(80_000),
            None,
        );
        tracker.count(
            &Name::new("r"),
            Side::Moving,
            MoveSample::Good(82_000),
            None,
        );
    }
    let written = run_alone(&mut control, start, 14_000);
    assert_eq!(written, [ReportedState::Running, ReportedState::Completed]);
    assert_eq!(stage(&control), MoveStage::Completed);
}

/// Counts `answers` responses of the new version and ten times as many of the current one;
/// `failed_in_10` in ten of them fail.
fn count_on_both_sides(tracker: &MoveTracker, answers: u32, failed_in_10: u32) {
    for number in 0..answers {
        let sample = if number % 10 < failed_in_10 {
            MoveSample::Bad
        } else {
            MoveSample::Good(80_000)
        };
        for _ in 0..10 {
            tracker.count(&Name::new("r"), Side::Current, sample, None);
        }
        tracker.count(&Name::new("r"), Side::Moving, sample, None);
    }
}

// Guards against a bad version that receives all requests because the current version fails as
// often for another reason.
#[parameterized(
    few_failures = { 40, 3 },
    many_failures = { 90, 5 },
)]
fn a_version_is_not_excused_by_failures_of_the_current_one(answers: u32, failed_in_10: u32) {
    let start = MonoNs::from_ms(1_000);
    let mut control = control(start);
    let tracker = std::sync::Arc::clone(&control.trackers()["orders"]);
    count_on_both_sides(&tracker, answers, failed_in_10);
    let written = run_alone(&mut control, start, 14_500);
    assert_eq!(written.last(), Some(&ReportedState::RolledBack));
    assert!(!written.contains(&ReportedState::Completed));
}

// Guards against a good version that is rolled back before its time is over because a disruption
// makes both versions fail for a while.
#[test]
fn a_version_may_still_prove_itself_after_a_disruption() {
    let start = MonoNs::from_ms(1_000);
    let mut control = control(start);
    let tracker = std::sync::Arc::clone(&control.trackers()["orders"]);
    count_on_both_sides(&tracker, 50, 2);
    run_alone(&mut control, start, 10_000);
    assert_eq!(stage(&control), MoveStage::Ramp);
    count_on_both_sides(&tracker, 150, 0);
    run_alone(&mut control, start.plus_ms(10_000), 2_000);
    assert!(stage(&control) >= MoveStage::Shift && stage(&control) != MoveStage::RolledBack);
}

// Guards against requests that were given up and do not count, although they took long, and against
// callers that leave early and make a version look slow.
#[test]
fn requests_without_a_response_count_as_slow_after_a_while() {
    let tracker = MoveTracker::new(order(), &[Name::new("r")]);
    let count = |side, sample| tracker.count(&Name::new("r"), side, sample, None);
    for _ in 0..20 {
        count(Side::Current, MoveSample::Good(80_000));
    }
    count(Side::Moving, MoveSample::Unanswered(100_000));
    count(Side::Moving, MoveSample::Unanswered(170_000));
    let routes = tracker.state(0).routes;
    assert_eq!(routes[0].moving, tally(1, 0, 1));
}

// Guards against a slow version that is judged good because a disruption makes the current one slow
// too.
#[parameterized(
    in_time = { 100_000, Some(200_000), tally(1, 0, 0) },
    late = { 600_000, Some(200_000), tally(1, 0, 1) },
    no_objective = { 600_000, None, tally(1, 0, 0) },
)]
fn responses_after_the_objective_count_as_slow(
    took_us: u64,
    objective_us: Option<u64>,
    expected: Tally,
) {
    let tracker = MoveTracker::new(order(), &[Name::new("r")]);
    let count = |side, took_us, objective_us| {
        tracker.count(
            &Name::new("r"),
            side,
            MoveSample::Good(took_us),
            objective_us,
        );
    };
    for _ in 0..20 {
        count(Side::Current, 480_000, None);
    }
    count(Side::Moving, took_us, objective_us);
    assert_eq!(tracker.state(0).routes[0].moving, expected);
}

// Guards against a version that is judged good without any responses.
#[test]
fn a_move_without_answers_is_not_completed() {
    let start = MonoNs::from_ms(1_000);
    let mut control = control(start);
    let written = run_alone(&mut control, start, 20_000);
    assert_eq!(written, [ReportedState::Running]);
}

// Guards against old targets that are stopped while a host still has requests in flight there.
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

// Guards against a good move that is reported too late because some host has always just started
// and is in an earlier stage: with four restarts a second a report came just before the end of the
// move, and once after it.
#[test]
fn starting_hosts_do_not_delay_completion() {
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

// Guards against a restarted host that starts a finished move again.
#[test]
fn a_stored_report_newer_than_the_order_sets_the_stage() {
    let start = MonoNs::from_ms(1_000);
    let mut control = control(start);
    let report = |state, version| MoveReport {
        to: Name::new("v2"),
        state,
        version,
    };
    let service = Name::new("orders");
    // A report that is older than the order belongs to an earlier move.
    let earlier = report(ReportedState::RolledBack, at(ORDER_VERSION - 5));
    control.set_report(&service, Some(earlier), start);
    assert_eq!(stage(&control), MoveStage::Canary);
    let ours = report(ReportedState::RolledBack, at(ORDER_VERSION + 5));
    control.set_report(&service, Some(ours), start);
    assert_eq!(stage(&control), MoveStage::RolledBack);
}

// Guards against a host that rolls a move back alone after another one has reported it completed.
// The old targets stop at completion, and the host refused all requests until it was its turn to
// write a report, up to a minute later.
#[test]
fn a_reported_stage_overrules_an_unreported_one() {
    let start = MonoNs::from_ms(1_000);
    let own = Name::new("host-1");
    let mut control = control(start);
    let bad = vec![route("r", tally(100, 0, 0), tally(40, 20, 0))];
    let unreported = [(2, state(MoveStage::Shift, 0, bad))];
    control.step(&own, &with_moves(fleet(3), &unreported), start.plus_ms(300));
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
    let own_states = control.states(start.plus_ms(600));
    assert!(
        own_states[0].is_reported,
        "this host must gossip the reported stage"
    );
    let unreported = [(2, state(MoveStage::RolledBack, 0, Vec::new()))];
    control.step(&own, &with_moves(fleet(3), &unreported), start.plus_ms(900));
    assert_eq!(stage(&control), MoveStage::Completed);
}

// Guards against a host that forgets what became of a version when the order of its move is replaced,
// takes its own verdict for the final one, or cannot learn from others after a restart.
#[parameterized(
    running = { None, VersionFate::Unproven },
    rolled_back = { Some(ReportedState::RolledBack), VersionFate::RolledBack },
    completed = { Some(ReportedState::Completed), VersionFate::Accepted },
)]
fn a_replaced_order_leaves_a_past_move(report: Option<ReportedState>, expected: VersionFate) {
    let start = MonoNs::from_ms(1_000);
    let service = Name::new("orders");
    let mut control = control(start);
    if let Some(state) = report {
        let (to, version) = (order().to, at(ORDER_VERSION + 1));
        control.set_report(&service, Some(MoveReport { to, state, version }), start);
    }
    let next = MoveOrder {
        to: Name::new("v3"),
        ..order()
    };
    let orders = BTreeMap::from([(service.clone(), (at(ORDER_VERSION + 5), next))]);
    let ended = control.set_orders(&orders, &[], start);
    assert_eq!(ended.len(), 1);
    let fate = |control: &MoveControl| control.past_moves().fate(&service, &order().to);
    assert_eq!(fate(&control), Some(expected));

    let mut restarted = MoveControl::default();
    restarted.set_orders(&orders, &[], start);
    assert_eq!(fate(&restarted), None);
    let told = control.past_moves().list();
    assert_eq!(restarted.learn(&told, start), ended);
    assert_eq!(restarted.learn(&told, start), []);
    assert_eq!(fate(&restarted), Some(expected));
}
