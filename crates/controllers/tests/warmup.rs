//! Tests the warmup controller on one host.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

use heatherhinge_blackboard::{
    Blackboard, WarmTarget, Warmth, Writers, ZoneEntry, ZonePhase, ZoneTable,
};
use heatherhinge_bundle::{BundleVersion, ZoneState};
use heatherhinge_controllers::{
    ColdReport, Controller, ListedTarget, ResponseKind, WarmupController, WarmupEffect, WarmupEvent,
};
use heatherhinge_types::{Name, StartId};
use std::collections::BTreeMap;
use std::sync::Arc;
use support::{addr, at, bundle, host, host_table, owned_by, record};
use yare::parameterized;

/// One host with one target; the target's partition is owned by `owner`.
struct Fixture {
    board: Arc<Blackboard>,
    writers: Option<Writers>,
    warmup: WarmupController,
    target: Name,
    effects: Vec<WarmupEffect>,
}

impl Fixture {
    fn new(owner: usize) -> Self {
        let (board, mut writers) = Blackboard::new(host(0), Name::from("north"));
        writers.bundle.publish(Some(bundle(1, ZoneState::In, None)));
        writers.owners.publish(owned_by(&host(owner), at(60_000)));
        let (_, spare) = heatherhinge_blackboard::entry(Default::default());
        let warmth = std::mem::replace(&mut writers.warmth, spare);
        let mut fixture = Self {
            board,
            writers: Some(writers),
            warmup: WarmupController::new(warmth),
            target: Name::from(addr(9).to_string()),
            effects: Vec::new(),
        };
        fixture.step(0, listed());
        fixture
    }

    fn writers(&mut self) -> &mut Writers {
        self.writers.as_mut().unwrap()
    }

    fn step(&mut self, ms: u64, event: WarmupEvent) {
        let effects = self.warmup.step(&self.board, event, at(ms));
        self.effects.extend(effects);
    }

    fn answer(&mut self, ms: u64, kind: ResponseKind, run: u64, uptime_ms: u64) {
        let event = WarmupEvent::Answer {
            target: self.target.clone(),
            kind,
            report: Some((StartId(run), uptime_ms)),
            latency_ns: 1,
        };
        self.step(ms, event);
    }

    fn announce(&mut self, ms: u64, sequence: u64, runs: &[u64], zone_since: u64) {
        let warm = runs.iter().map(|run| WarmTarget {
            target: self.target.clone(),
            start_id: StartId(*run),
            zone_since: BundleVersion(zone_since),
        });
        let mut peer = record(&host(1), sequence);
        peer.warm = warm.collect();
        let table = host_table([(record(&host(0), 1), true), (peer, true)]);
        self.writers().hosts.publish(table);
        self.step(ms, WarmupEvent::Tick);
    }

    fn return_zone(&mut self, ms: u64, since: u64) {
        let entry = ZoneEntry {
            phase: ZonePhase::Returning,
            since: BundleVersion(since),
        };
        let zones = BTreeMap::from([(Name::from("north"), entry)]);
        self.writers().zones.publish(ZoneTable { zones });
        self.step(ms, WarmupEvent::Tick);
    }

    fn warmth(&self) -> Warmth {
        self.board.warmth.read().value.get(&self.target)
    }

    fn reports(&self) -> usize {
        let is_report = |effect: &&WarmupEffect| matches!(effect, WarmupEffect::NotifyOwner { .. });
        self.effects.iter().filter(is_report).count()
    }
}

fn listed() -> WarmupEvent {
    WarmupEvent::Listed(vec![ListedTarget {
        service: Name::from("orders"),
        addr: addr(9),
        zone: Name::from("north"),
        version: Name::from("v1"),
        is_leaving: false,
    }])
}

/// Guards against an allowance that rises faster than good responses allow, or that stays after
/// errors. Responses: `g` good, `s` slow, `e` error, early in run 7; `G` good and `E` error at an
/// uptime at which run 7 is warm; `n` error in run 8.
#[parameterized(
    new = { "", Warmth::Owned { allowance: 1 } },
    one_good = { "g", Warmth::Owned { allowance: 2 } },
    three_good = { "ggg", Warmth::Owned { allowance: 4 } },
    capped_at_slots = { "ggggggg", Warmth::Owned { allowance: 5 } },
    error_halves = { "ggge", Warmth::Owned { allowance: 2 } },
    error_keeps_one = { "ee", Warmth::Owned { allowance: 1 } },
    slow_holds = { "gsss", Warmth::Owned { allowance: 2 } },
    three_rounds_at_slots = { "ggggggg ggggg ggggg ggggg", Warmth::Warm { start_id: StartId(7) } },
    uptime_and_good = { "G", Warmth::Warm { start_id: StartId(7) } },
    uptime_without_good = { "E", Warmth::Owned { allowance: 1 } },
    restart_when_warm = { "Gn", Warmth::Owned { allowance: 1 } },
    late_response_of_ended_run = { "GnG", Warmth::Owned { allowance: 1 } },
)]
fn owner_warms_a_target(answers: &str, expected: Warmth) {
    let mut fixture = Fixture::new(0);
    for answer in answers.chars().filter(|c| *c != ' ') {
        match answer {
            'g' => fixture.answer(10, ResponseKind::Good, 7, 10),
            's' => fixture.answer(10, ResponseKind::Slow, 7, 10),
            'e' => fixture.answer(10, ResponseKind::Error, 7, 10),
            'G' => fixture.answer(10, ResponseKind::Good, 7, 3_000),
            'E' => fixture.answer(10, ResponseKind::Error, 7, 3_000),
            _ => fixture.answer(10, ResponseKind::Error, 8, 5),
        }
    }
    assert_eq!(fixture.warmth(), expected);
}

/// Guards against a host that uses a cold target of another owner, or that keeps using a target on
/// an announcement that its own evidence, the owner or a return of the zone has invalidated.
/// Events, one a second: `a`, `A` the owner announces run 7 (`A` after the return), `w` withdraws
/// it, `r` a connection of run 7 is lost, `n` a response reports run 8, `z` the zone returns.
#[parameterized(
    never_announced = { "", false, 0 },
    announced = { "a", true, 0 },
    withdrawn = { "aw", false, 0 },
    own_evidence_overrides = { "ar", false, 1 },
    stale_record_after_evidence = { "ara", false, 1 },
    owner_announces_again = { "ar.....a", true, 1 },
    new_run = { "an", false, 1 },
    ended_run_announced_again = { "an.....a", false, 1 },
    notified_once = { "arr", false, 1 },
    zone_returned = { "az", false, 0 },
    old_announcement_after_return = { "aza", false, 0 },
    announced_after_return = { "azA", true, 0 },
)]
fn other_hosts_follow_the_owner(events: &str, is_warm: bool, reports: usize) {
    let mut fixture = Fixture::new(1);
    for (index, event) in events.chars().enumerate() {
        let (ms, sequence) = (1_000 * (index as u64 + 1), index as u64 + 1);
        let lost = WarmupEvent::ConnectionLost {
            target: fixture.target.clone(),
            run: Some(StartId(7)),
        };
        match event {
            'a' => fixture.announce(ms, sequence, &[7], 0),
            'A' => fixture.announce(ms, sequence, &[7], 2),
            'w' => fixture.announce(ms, sequence, &[], 0),
            'r' => fixture.step(ms, lost),
            'n' => fixture.answer(ms, ResponseKind::Good, 8, 5),
            'z' => fixture.return_zone(ms, 2),
            _ => fixture.step(ms, WarmupEvent::Tick),
        }
    }
    let expected = if is_warm {
        Warmth::Warm {
            start_id: StartId(7),
        }
    } else {
        Warmth::NotOwned
    };
    assert_eq!(fixture.warmth(), expected);
    assert_eq!(fixture.reports(), reports);
}

/// Guards against an owner that sends after its lease expired, and one that ignores peers' reports.
#[test]
fn lease_end_and_peer_reports() {
    let mut fixture = Fixture::new(0);
    fixture.answer(5, ResponseKind::Good, 6, 4_000);
    fixture.answer(10, ResponseKind::Good, 7, 4_000);
    let report = |lost, new| {
        WarmupEvent::Reported(ColdReport {
            target: Name::from(addr(9).to_string()),
            lost_run: Some(StartId(lost)),
            new_run: new,
        })
    };
    let warm = Warmth::Warm {
        start_id: StartId(7),
    };
    fixture.step(20, report(6, None));
    assert_eq!(
        fixture.warmth(),
        warm,
        "a report about an ended run must be ignored"
    );
    fixture.step(30, report(7, Some(StartId(8))));
    assert_eq!(fixture.warmth(), Warmth::Owned { allowance: 1 });
    assert_eq!(
        fixture.effects.last(),
        Some(&WarmupEffect::AnnounceWarm(vec![]))
    );
    fixture.step(59_600, WarmupEvent::Tick);
    assert_eq!(fixture.warmth(), Warmth::NotOwned);
}

/// Guards against publishing the table again for responses that change nothing.
#[test]
fn unchanged_responses_publish_nothing() {
    let mut fixture = Fixture::new(0);
    fixture.answer(10, ResponseKind::Good, 7, 4_000);
    let version = fixture.board.warmth.read().version;
    for _ in 0..1_000 {
        fixture.answer(20, ResponseKind::Good, 7, 4_100);
    }
    fixture.step(900, WarmupEvent::Tick);
    assert_eq!(fixture.board.warmth.read().version, version);
}

/// Guards against a new owner that sends while requests of the previous owner are in flight, and
/// against an isolated host that relies on old announcements.
#[test]
fn takeover_waits_and_isolated_host_sends_nothing() {
    let mut fixture = Fixture::new(1);
    fixture.announce(100, 1, &[7], 0);
    let alone = host_table([(record(&host(0), 1), true), (record(&host(1), 1), false)]);
    fixture.writers().hosts.publish(alone);
    fixture.step(1_000, WarmupEvent::Tick);
    assert_eq!(fixture.warmth(), Warmth::NotOwned, "the host is isolated");
    fixture.announce(1_500, 2, &[], 0);
    let mut table = owned_by(&host(0), at(60_000));
    for partition in heatherhinge_types::Partition::all() {
        table.set(
            partition,
            Some(support::owner(&host(0), 2, at(2_000).wall_ms)),
        );
    }
    fixture.writers().owners.publish(table);
    fixture.step(2_000, WarmupEvent::Tick);
    assert_eq!(
        fixture.warmth(),
        Warmth::NotOwned,
        "requests of the previous owner may be in flight"
    );
    fixture.step(2_500, WarmupEvent::Tick);
    assert_eq!(fixture.warmth(), Warmth::Owned { allowance: 1 });
}
