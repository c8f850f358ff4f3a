//! Simulates version moves on many hosts, in virtual time and with fixed seeds.

#[path = "../examples/support/mod.rs"]
#[allow(
    unreachable_pub,
    dead_code,
    missing_docs,
    reason = "shared with an example"
)]
mod fleet;

use fleet::move_fleet::MoveFleet;
use fleet::setup::{CAP_PERMILLE, Fault, Setup};
use heatherhinge_blackboard::MoveState;
use yare::parameterized;

fn assert_invariants(fleet: &MoveFleet) {
    let observed = &fleet.observed;
    assert_eq!(
        observed.above_cap, 0,
        "requests above the cap before the version was proven"
    );
    assert_eq!(
        observed.after_taken_back, 0,
        "requests through a host that knew that the version was taken back"
    );
    for (index, report) in fleet.store.reports.iter().enumerate() {
        let is_same = |r: &&_| **r == *report;
        assert_eq!(
            fleet.store.reports[index..].iter().filter(is_same).count(),
            1
        );
        let state = report.state;
        let reports_of_state = fleet
            .store
            .reports
            .iter()
            .filter(|r| r.state == state)
            .count();
        assert_eq!(reports_of_state, 1, "{state:?} is reported twice");
    }
}

/// Guards against a bad version that stays in use or gets more than its cap on any route, and
/// against a good one that is not done in time. `lost` is the share of writes whose response is
/// lost, in thousandths.
#[parameterized(
    good = { Fault::None, 1, 0, MoveState::Done },
    good_with_lost_responses = { Fault::None, 2, 400, MoveState::Done },
    broken = { Fault::Broken, 3, 0, MoveState::TakenBack },
    slow = { Fault::Slow, 4, 0, MoveState::TakenBack },
    fails_later_with_lost_responses = { Fault::FailsLater, 5, 400, MoveState::TakenBack },
    under_load = { Fault::UnderLoad, 6, 0, MoveState::TakenBack },
    one_route = { Fault::OneRoute, 7, 0, MoveState::TakenBack },
)]
fn moves_end_in_expected_state(fault: Fault, seed: u64, lost: u32, expected: MoveState) {
    for mut setup in [
        Setup::vatuwaqa(fault, true, seed),
        Setup::kozhikode(fault, true, seed),
    ] {
        setup.lost_responses_permille = lost;
        let mut fleet = MoveFleet::new(setup);
        fleet.run();
        assert_eq!(
            fleet.observed.state,
            Some(expected),
            "{:#?}",
            fleet.observed.log
        );
        assert!(
            fleet.observed.ended_ms.is_some(),
            "the hosts do not agree on the final state"
        );
        assert_eq!(fleet.store.reports.len(), 1);
        assert_invariants(&fleet);
    }
}

/// Guards against a share that is raised while the store is down, and against a bad version that
/// is kept because the store is down.
#[parameterized(
    good = { Fault::None, MoveState::Done },
    bad = { Fault::FailsLater, MoveState::TakenBack },
)]
fn store_down(fault: Fault, expected: MoveState) {
    let mut setup = Setup::vatuwaqa(fault, true, 11);
    setup.store_down_ms = (40_000, 250_000);
    let mut fleet = MoveFleet::new(setup);
    while fleet.ms < 250_000 {
        fleet.step();
        assert!(
            fleet.share_permille() <= CAP_PERMILLE,
            "raised without the store"
        );
    }
    let held = if fault == Fault::None {
        MoveState::Canary
    } else {
        MoveState::TakenBack
    };
    assert!(fleet.states().iter().all(|state| *state == Some(held)));
    assert!(fleet.store.reports.is_empty());
    (0..100).for_each(|_| fleet.step());
    fleet.run();
    assert_eq!(fleet.observed.state, Some(expected));
    assert_eq!(fleet.store.reports.len(), 1);
    assert_invariants(&fleet);
}

/// Guards against a move that stops when its leader is paused, and against a leader that resumes
/// and decides with an expired lease.
#[parameterized(
    good = { Fault::None, MoveState::Done },
    bad_while_paused = { Fault::FailsLater, MoveState::TakenBack },
)]
fn leader_paused(fault: Fault, expected: MoveState) {
    let mut setup = Setup::kozhikode(fault, true, 12);
    setup.leader_paused_ms = Some(70_000);
    setup.lost_responses_permille = 200;
    let mut fleet = MoveFleet::new(setup);
    fleet.run();
    assert_eq!(
        fleet.observed.state,
        Some(expected),
        "{:#?}",
        fleet.observed.log
    );
    assert_eq!(fleet.store.reports.len(), 1);
    assert_invariants(&fleet);
}

/// Guards against a verdict that is lost on a new host, by a withdrawal or by a second submission.
#[test]
fn taken_back_stays_taken_back() {
    let mut fleet = MoveFleet::new(Setup::vatuwaqa(Fault::Broken, false, 13));
    fleet.run();
    assert_eq!(fleet.observed.state, Some(MoveState::TakenBack));
    fleet.join();
    fleet.publish_move(None);
    (0..50).for_each(|_| fleet.step());
    assert!(fleet.states().iter().all(Option::is_none));
    let new_before = fleet.observed.new_requests;
    fleet.publish_move(Some("m1"));
    (0..100).for_each(|_| fleet.step());
    let is_taken_back = |state: &Option<MoveState>| *state == Some(MoveState::TakenBack);
    assert!(
        fleet.states().iter().all(is_taken_back),
        "{:?}",
        fleet.states()
    );
    assert_eq!(fleet.observed.new_requests, new_before);
    assert_invariants(&fleet);
}

/// Guards against a withdrawn move whose traffic goes on, and against a second move that inherits
/// the share of the first.
#[test]
fn operators_change_the_move_midway() {
    let mut fleet = MoveFleet::new(Setup::vatuwaqa(Fault::None, false, 14));
    while fleet.share_permille() < 100 {
        fleet.step();
    }
    fleet.publish_move(None);
    (0..20).for_each(|_| fleet.step());
    let withdrawn = fleet.observed.new_requests;
    (0..100).for_each(|_| fleet.step());
    assert_eq!(fleet.observed.new_requests, withdrawn);
    fleet.publish_move(Some("m2"));
    for _ in 0..100 {
        fleet.step();
        assert!(fleet.share_permille() <= CAP_PERMILLE);
    }
    assert_eq!(fleet.share_permille(), CAP_PERMILLE);
    assert_invariants(&fleet);
}

/// Guards against a share that is raised at the end time of a move that was too short to be judged.
#[test]
fn late_is_reported_and_held() {
    let mut setup = Setup::vatuwaqa(Fault::None, false, 15);
    setup.move_ms = 60_000;
    let mut fleet = MoveFleet::new(setup);
    fleet.run();
    assert_eq!(fleet.observed.state, Some(MoveState::Late));
    assert!(fleet.share_permille() <= CAP_PERMILLE);
    let states: Vec<_> = fleet
        .store
        .reports
        .iter()
        .map(|report| report.state)
        .collect();
    assert_eq!(states, [MoveState::Late]);
}

/// Guards against unintended changes of a whole move: a version that fails under load, a store
/// outage in the middle, and a leader that is paused while another takes over.
#[test]
fn session_matches_snapshot() {
    let mut setup = Setup::vatuwaqa(Fault::UnderLoad, true, 16);
    setup.store_down_ms = (130_000, 200_000);
    setup.leader_paused_ms = Some(215_000);
    setup.lost_responses_permille = 150;
    let mut fleet = MoveFleet::new(setup);
    fleet.run();
    assert_eq!(fleet.observed.state, Some(MoveState::TakenBack));
    assert_invariants(&fleet);
    insta::assert_snapshot!("move_taken_back", fleet.observed.log.join("\n"));
}
