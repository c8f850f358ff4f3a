//! Tests the membership controller: which hosts are live and known, and which peers are sent
//! requests.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::{Fleet, at_ms, name, peer_addr, record};
use heatherhinge_blackboard::{
    Blackboard, DigestEntry, ExchangeRequest, ExchangeResponse, HostRecord, RecordVersion,
};
use heatherhinge_controllers::{
    Controller, ExchangeTicket, ListedHost, MembershipController, MembershipEffect,
    MembershipEvent, MembershipSettings,
};
use heatherhinge_types::MonoNs;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use yare::parameterized;

/// The controller of host 1, stepped by hand.
struct Member {
    board: Arc<Blackboard>,
    controller: MembershipController,
}

impl Member {
    fn new(incarnation: u64) -> Self {
        let (board, writers) = Blackboard::new(name(1), "north".into());
        let settings = MembershipSettings {
            incarnation,
            seed_peers: Vec::new(),
            seed: 7,
        };
        let controller = MembershipController::new(writers.hosts, settings);
        let mut member = Self { board, controller };
        let own = record(1, 0, 0);
        member.step(0, MembershipEvent::OwnRecordChanged(Box::new(own)));
        member
    }

    fn step(&mut self, ms: u64, event: MembershipEvent) -> Vec<MembershipEffect> {
        self.controller.step(&self.board, event, at_ms(ms))
    }

    /// Steps with ticks only, as a daemon that is not paused does.
    fn run_ticks(&mut self, from_ms: u64, to_ms: u64) {
        for ms in (from_ms..=to_ms).step_by(100) {
            self.step(ms, MembershipEvent::Tick);
        }
    }

    /// Applies a response of host 2 to a request sent at the same time, with further digest
    /// entries.
    fn receive_response(&mut self, ms: u64, others: &[(usize, u64)]) {
        let event = response_of_host_2(ms, others);
        self.step(ms, event);
    }

    fn last_heard_ns(&self, host: usize) -> MonoNs {
        self.board.hosts.read().value.hosts[&name(host)].last_heard_ns
    }

    fn is_live(&self, host: usize) -> Option<bool> {
        let hosts = self.board.hosts.read();
        hosts
            .value
            .hosts
            .get(&name(host))
            .map(|entry| entry.is_live)
    }
}

fn entry(host: usize, incarnation: u64, beat: u64) -> DigestEntry {
    DigestEntry {
        host: name(host),
        version: RecordVersion {
            incarnation,
            sequence: 1,
        },
        beat,
    }
}

fn response_of_host_2(asked_ms: u64, others: &[(usize, u64)]) -> MembershipEvent {
    let mut digest = vec![entry(2, 5, 1 + asked_ms / 500)];
    let mut records = vec![record(2, 5, 0)];
    for (host, beat) in others {
        digest.push(entry(*host, 5, *beat));
        records.push(record(*host, 5, 0));
    }
    response_event(2, asked_ms, digest, records)
}

fn response_event(
    host: usize,
    asked_ms: u64,
    digest: Vec<DigestEntry>,
    records: Vec<HostRecord>,
) -> MembershipEvent {
    MembershipEvent::ResponseReceived {
        ticket: ExchangeTicket {
            peer_addr: peer_addr(host),
            requested_ns: MonoNs::from_ms(asked_ms),
            is_push: true,
        },
        answer: ExchangeResponse { digest, records },
    }
}

fn listed(host: usize) -> ListedHost {
    ListedHost {
        host: name(host),
        peer_addr: peer_addr(host),
    }
}

fn request_event(
    from: usize,
    digest: Vec<DigestEntry>,
    records: Vec<HostRecord>,
) -> MembershipEvent {
    MembershipEvent::RequestReceived(ExchangeRequest {
        from: name(from),
        digest,
        records,
    })
}

/// Guards against a silent host that is used after 2 s, or removed while it is listed.
#[parameterized(
    just_heard = { 2_000, false, Some(true) },
    silent = { 2_100, false, Some(false) },
    silent_long = { 10_000, false, Some(false) },
    silent_and_gone = { 10_200, false, None },
    silent_but_listed = { 60_000, true, Some(false) },
)]
fn silent_host_is_marked_then_removed(silent_ms: u64, is_listed: bool, expected: Option<bool>) {
    let mut member = Member::new(5);
    let listed = if is_listed { vec![listed(2)] } else { vec![] };
    member.step(0, MembershipEvent::Listed(listed));
    member.receive_response(100, &[]);
    member.run_ticks(200, 100 + silent_ms);
    assert_eq!(member.is_live(2), expected);
}

/// Guards against a host that stays live by copies of heartbeats that it no longer sends.
#[parameterized(
    newer_heartbeat = { 8, Some(true) },
    same_heartbeat = { 7, Some(false) },
    older_heartbeat = { 6, Some(false) },
    unknown_to_the_relay = { 0, Some(false) },
)]
fn relayed_heartbeat_counts_only_if_newer(beat: u64, expected: Option<bool>) {
    let mut member = Member::new(5);
    member.receive_response(100, &[(3, 7)]);
    assert_eq!(member.is_live(3), Some(true));
    member.run_ticks(200, 2_400);
    member.receive_response(2_500, &[(3, beat)]);
    assert_eq!(member.is_live(3), expected);
}

/// Guards against a removed host that is added again from the copies of other hosts.
#[parameterized(
    same_heartbeat = { 7, None },
    unknown_to_the_relay = { 0, None },
    newer_heartbeat = { 8, Some(true) },
)]
fn removed_host_returns_only_with_a_newer_heartbeat(beat: u64, expected: Option<bool>) {
    let mut member = Member::new(5);
    member.receive_response(100, &[(3, 7)]);
    member.run_ticks(200, 11_000);
    assert_eq!(member.is_live(3), None);
    member.receive_response(11_100, &[(3, beat)]);
    assert_eq!(member.is_live(3), expected);
}

/// Guards against heartbeats from before a pause that count after it, and against hosts that are
/// removed because this host was paused.
#[parameterized(
    no_pause = { 1_000, 900, Some(true) },
    answer_from_before = { 31_000, 900, Some(false) },
    recent_answer_from_before = { 2_200, 900, Some(false) },
    answer_from_after = { 31_000, 31_000, Some(true) },
)]
fn pause_invalidates_signs_of_life(resumed_ms: u64, asked_ms: u64, expected: Option<bool>) {
    let mut member = Member::new(5);
    member.receive_response(100, &[]);
    member.run_ticks(200, 900);
    member.step(resumed_ms, response_of_host_2(asked_ms, &[]));
    assert_eq!(member.is_live(2), expected);
}

/// Guards against a request that waited in a socket counting as a sign of life. The requester is
/// sent a request instead.
#[test]
fn request_is_no_sign_of_life() {
    let mut member = Member::new(5);
    let digest = vec![entry(2, 5, 3), entry(1, 5, 9)];
    let effects = member.step(100, request_event(2, digest, vec![record(2, 5, 0)]));
    assert_eq!(member.is_live(2), Some(false));
    assert!(matches!(effects[0], MembershipEffect::Respond(_)));
    let is_request_to_host_2 = |effect: &MembershipEffect| matches!(effect, MembershipEffect::Exchange { ticket, .. } if ticket.peer_addr == peer_addr(2));
    assert!(effects.iter().any(is_request_to_host_2));
}

/// Guards against a restarted host whose records are ignored because its wall clock was set back.
#[parameterized(
    clock_set_back = { 900, 901 },
    clock_right = { 100, 500 },
)]
fn restarted_host_gets_a_later_incarnation(remembered: u64, expected: u64) {
    let mut member = Member::new(500);
    let effects = member.step(
        100,
        request_event(2, vec![entry(1, remembered, 40)], vec![]),
    );
    let MembershipEffect::Respond(answer) = &effects[0] else {
        panic!("no response: {effects:?}");
    };
    assert_eq!(answer.records[0].version.incarnation, expected);
    assert_eq!(answer.digest[0].version.incarnation, expected);
}

/// Guards against records and digest entries that are sent although the peer has them, or omitted
/// although it lacks them.
#[test]
fn answer_carries_what_the_peer_lacks() {
    let mut member = Member::new(5);
    member.receive_response(100, &[(3, 7), (4, 7)]);
    let effects = member.step(
        200,
        request_event(9, vec![entry(3, 5, 7), entry(8, 5, 3)], vec![]),
    );
    let MembershipEffect::Respond(answer) = &effects[0] else {
        panic!("no response: {effects:?}");
    };
    let hosts: Vec<_> = answer.records.iter().map(|r| r.host.clone()).collect();
    assert_eq!(hosts, [name(1), name(2), name(4)]);
    let digest: Vec<_> = answer
        .digest
        .iter()
        .map(|e| (e.host.clone(), e.beat))
        .collect();
    assert_eq!(digest[1..], [(name(2), 1), (name(4), 7), (name(8), 0)]);
    assert_eq!(answer.digest[3].version, RecordVersion::default());
}

/// Guards against a delayed heartbeat that counts as new: a host that is cut off would be counted
/// as heard from for longer than a bundle may take to be in force. The host responded at 1,000 ms
/// with its heartbeat 10, which can be up to 500 ms old, and clocks drift by 1%.
#[parameterized(
    same = { 10, 1_000 },
    next_may_be_older_than_the_answer = { 11, 1_000 },
    later = { 13, 1_980 },
    latest_possible = { 15, 2_980 },
    from_the_future = { 40, 3_000 },
)]
fn delayed_heartbeat_is_dated_by_its_senders_clock(beat: u64, alive_at_ms: u64) {
    for is_request in [false, true] {
        let mut member = member_compared_with_3();
        member.run_ticks(1_100, 2_900);
        if is_request {
            member.step(3_000, request_event(2, vec![entry(3, 5, beat)], vec![]));
        } else {
            member.receive_response(3_000, &[(3, beat)]);
        }
        assert_eq!(member.last_heard_ns(3), MonoNs::from_ms(alive_at_ms));
    }
}

/// Returns a member that sent host 3 a request at 1,000 ms and got heartbeat 10 in response.
fn member_compared_with_3() -> Member {
    let mut member = Member::new(5);
    member.receive_response(100, &[(3, 4)]);
    let response_of_host_3 = response_event(3, 1_000, vec![entry(3, 5, 10)], vec![record(3, 5, 0)]);
    member.step(1_000, response_of_host_3);
    member
}

/// Guards against a heartbeat of a restarted host that is dated by the clock of the run before, and
/// against one that was delayed for longer than silent hosts are kept.
#[parameterized(
    same_run = { 3_000, 5, 13, true },
    later_run = { 3_000, 6, 13, false },
    delayed = { 12_900, 5, 13, false },
)]
fn heartbeat_in_a_request_counts_only_if_recent(
    at_ms: u64,
    incarnation: u64,
    beat: u64,
    expected: bool,
) {
    let mut member = member_compared_with_3();
    member.step(1_000, MembershipEvent::Listed(vec![listed(3)]));
    member.run_ticks(1_100, at_ms);
    let digest = vec![entry(3, incarnation, beat)];
    member.step(
        at_ms,
        request_event(2, digest, vec![record(3, incarnation, 0)]),
    );
    let is_newer = member.last_heard_ns(3) > MonoNs::from_ms(1_000);
    assert_eq!(is_newer, expected);
}

/// Guards against a heartbeat of unknown age that counts for freshness.
#[test]
fn heartbeat_of_unknown_age_makes_live_but_not_heard() {
    let mut member = Member::new(5);
    member.receive_response(1_000, &[(3, 7)]);
    assert_eq!(member.is_live(3), Some(true));
    assert_eq!(member.last_heard_ns(3), MonoNs(0));
}

/// Guards against a heartbeat that confirms what the host published before its last change.
#[test]
fn heartbeat_without_its_record_does_not_count() {
    let mut member = Member::new(5);
    member.receive_response(1_000, &[]);
    member.run_ticks(1_100, 3_900);
    let mut changed = entry(2, 5, 8);
    changed.version.sequence = 2;
    member.step(4_000, request_event(3, vec![changed], vec![]));
    assert_eq!(member.is_live(2), Some(false));
    member.step(4_100, request_event(3, vec![entry(2, 5, 8)], vec![]));
    assert_eq!(member.is_live(2), Some(true));
}

/// Guards against peers that are chosen more often than others, and against an order that differs
/// from run to run.
#[test]
fn rounds_ask_each_peer_equally_often() {
    let rounds = || {
        let mut member = Member::new(5);
        member.step(0, MembershipEvent::Listed((1..=19).map(listed).collect()));
        let mut asked: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        let mut order = Vec::new();
        for ms in (500..=9_000).step_by(500) {
            let effects = member.step(ms, MembershipEvent::Tick);
            assert_eq!(effects.len(), 5);
            for effect in effects {
                let MembershipEffect::Exchange { ticket, .. } = effect else {
                    panic!("not an exchange: {effect:?}");
                };
                *asked.entry(ticket.peer_addr).or_default() += 1;
                order.push(ticket.peer_addr);
            }
        }
        (asked, order)
    };
    let (asked, order) = rounds();
    assert_eq!(asked.len(), 18);
    assert!(asked.values().all(|count| *count == 5), "{asked:?}");
    assert_eq!(order, rounds().1);
}

/// Guards against a host that stays unknown to some hosts, or silent hosts that stay known, in a
/// fleet of 19 hosts.
#[test]
fn fleet_detects_joins_and_departures() {
    let mut fleet = Fleet::new(19, 1);
    fleet.run_ms(3_000);
    fleet.run_checked(5_000, |fleet| {
        for host in 1..=19 {
            assert_eq!(fleet.live(host).len(), 19, "{}", fleet.log);
        }
    });
    fleet.stop(7);
    fleet.listed.remove(&7);
    fleet.run_ms(4_000);
    assert!(
        (1..=6).all(|host| fleet.live(host).len() == 18),
        "{}",
        fleet.log
    );
    fleet.run_ms(10_000);
    assert!((1..=6).all(|host| fleet.known(host) == 18), "{}", fleet.log);
    fleet.restart(7);
    fleet.run_ms(3_000);
    assert!(
        (1..=19).all(|host| fleet.live(host).len() == 19),
        "{}",
        fleet.log
    );
}
