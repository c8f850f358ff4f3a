//! Tests bundles and freshness under faults of the store, the network and the hosts.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::{Fleet, at_ms, bundle, digest, name, peer_addr, record, row};
use heatherhinge_blackboard::{Blackboard, HostEntry, HostTable, Writer};
use heatherhinge_bundle::BundleVersion;
use heatherhinge_controllers::{
    BundleController, BundleEffect, BundleEvent, BundleSource, Controller, CurrentBundleRow,
    PeerBundleStatus,
};
use heatherhinge_types::{MonoNs, Name};
use std::collections::BTreeSet;
use std::sync::Arc;
use yare::parameterized;

/// Hosts in every scenario with a fleet.
const COUNT: usize = 5;

fn one_paused_and_cut_off(fleet: &mut Fleet) {
    // The requests that the others sent before the cut wait in the socket of the paused host.
    fleet.pause(3, 30_000);
    fleet.run_ms(28_000);
    fleet.far_side = [3].into();
    fleet.store_down = [3].into();
}

/// Guards against a host that rejects work although it can tell that its bundle is the newest, and
/// against one that takes new work although it cannot. A new bundle is accepted 5 s into the fault;
/// after the fault every host has it.
#[parameterized(
    no_fault = { |_| {}, &[1, 2, 3, 4, 5] },
    store_down = { |f| f.store_down = f.all(), &[1, 2, 3, 4, 5] },
    cut_off_from_all = { |f| (f.far_side, f.store_down) = ([5].into(), [5].into()), &[1, 2, 3, 4] },
    minority_cut_off = { |f| (f.far_side, f.store_down) = ([4, 5].into(), f.all()), &[1, 2, 3] },
    cut_off_from_half = { |f| { f.stop(5); (f.far_side, f.store_down) = ([3, 4].into(), f.all()) }, &[] },
    paused = { |f| f.pause(3, 30_000), &[1, 2, 4, 5] },
    paused_and_cut_off = { one_paused_and_cut_off, &[1, 2, 4, 5] },
    restart_with_store_down = { |f| { f.store_down = f.all(); f.restart(3) }, &[1, 2, 3, 4, 5] },
    all_restart = { |f| { f.store_down = f.all(); (1..=COUNT).for_each(|h| f.stop(h)); (1..=COUNT).for_each(|h| f.restart(h)) }, &[] },
)]
fn fresh_hosts_under_fault(fault: fn(&mut Fleet), fresh: &[usize]) {
    let mut fleet = Fleet::new(COUNT, 1);
    fleet.run_ms(5_000);
    assert!(
        (1..=COUNT).all(|host| fleet.is_fresh(host)),
        "{}",
        fleet.log
    );
    fault(&mut fleet);
    fleet.run_ms(4_000);
    let expected: BTreeSet<usize> = fresh.iter().copied().collect();
    fleet.run_checked(5_000, |fleet| {
        let found: BTreeSet<usize> = (1..=COUNT).filter(|host| fleet.is_fresh(*host)).collect();
        assert_eq!(found, expected, "{}", fleet.log);
    });
    fleet.accepted = 2;
    let before: Vec<u64> = (1..=COUNT).map(|host| fleet.version(host)).collect();
    fleet.run_checked(4_000, |fleet| {
        for host in 1..=COUNT {
            assert!(fleet.version(host) >= before[host - 1], "{}", fleet.log);
        }
    });
    fleet.far_side.clear();
    fleet.store_down.clear();
    // The longest pause ends in this time.
    fleet.run_ms(25_000);
    for host in 1..=COUNT {
        let is_stopped = fleet.live(1).iter().all(|live| *live != format!("h{host}"));
        let is_newest = fleet.version(host) == 2 && fleet.is_fresh(host);
        assert!(is_stopped || is_newest, "h{host}: {}", fleet.log);
    }
}

/// Guards against a resumed host that counts requests from before its pause as signs of life.
#[test]
fn resumed_host_without_contact_is_never_fresh() {
    let mut fleet = Fleet::new(COUNT, 1);
    fleet.run_ms(5_000);
    one_paused_and_cut_off(&mut fleet);
    fleet.accepted = 2;
    fleet.run_ms(2_000);
    fleet.run_checked(20_000, |fleet| {
        assert!(!fleet.is_fresh(3), "{}", fleet.log);
    });
}

/// Guards against an accepted bundle that takes longer than 4 s to be in force at a host that
/// cannot reach the store.
#[test]
fn bundle_reaches_hosts_without_the_store() {
    let mut fleet = Fleet::new(COUNT, 1);
    fleet.run_ms(5_000);
    fleet.store_down = [2, 3, 4, 5].into();
    fleet.run_ms(10_000);
    fleet.accepted = 2;
    fleet.run_ms(4_000);
    let versions: Vec<u64> = (1..=COUNT).map(|host| fleet.version(host)).collect();
    assert_eq!(versions, [2; COUNT], "{}", fleet.log);
}

/// One bundle controller without peers, stepped by hand.
struct LoneHost {
    board: Arc<Blackboard>,
    bundles: BundleController,
    hosts: Writer<HostTable>,
}

impl LoneHost {
    fn new() -> Self {
        let (board, writers) = Blackboard::new(name(1), Name::from("north"));
        let bundles = BundleController::new(writers.bundle);
        Self {
            board,
            bundles,
            hosts: writers.hosts,
        }
    }

    /// Returns a controller with the given version in force and a contact with the store at 1 s.
    fn with(version: u64) -> Self {
        let mut lone = Self::new();
        lone.step(1_000, fetched(version));
        lone.step(1_000, read(1_000, Some(row(version))));
        lone
    }

    fn step(&mut self, ms: u64, event: BundleEvent) -> Vec<BundleEffect> {
        self.bundles.step(&self.board, event, at_ms(ms))
    }

    /// Steps with ticks only up to a time, as a daemon that is not paused does.
    fn run_ticks(&mut self, from_ms: u64, to_ms: u64) -> Vec<BundleEffect> {
        let times = (from_ms..=to_ms).step_by(100);
        times
            .flat_map(|ms| self.step(ms, BundleEvent::Tick))
            .collect()
    }

    fn version(&self) -> Option<u64> {
        let bundle = self.board.bundle.read();
        bundle.value.as_ref().map(|bundle| bundle.version.0)
    }

    fn is_fresh(&self, ms: u64) -> bool {
        self.board.counters.status.is_fresh(at_ms(ms).mono_ns)
    }
}

fn table_of(host: usize, version: u64, heard_ms: u64) -> HostTable {
    let entry = HostEntry {
        record: Arc::new(record(host, 1, version)),
        last_heard_ns: MonoNs::from_ms(heard_ms),
        is_live: true,
    };
    HostTable {
        hosts: [(name(host), entry)].into(),
    }
}

fn fetched(version: u64) -> BundleEvent {
    BundleEvent::Fetched {
        bundle: bundle(version),
        digest: digest(version),
    }
}

fn read(asked_ms: u64, row: Option<CurrentBundleRow>) -> BundleEvent {
    BundleEvent::StoreRead {
        requested_ns: MonoNs::from_ms(asked_ms),
        row,
    }
}

fn peer_has(asked_ms: u64, version: u64, store_age_ms: u64) -> BundleEvent {
    BundleEvent::PeerResponded(PeerBundleStatus {
        peer_addr: peer_addr(2),
        version: BundleVersion(version),
        store_age_ms,
        requested_ns: MonoNs::from_ms(asked_ms),
    })
}

/// Guards against a version in force that decreases.
#[parameterized(
    older_body = { fetched(1), Some(2) },
    same_body = { fetched(2), Some(2) },
    newer_body = { fetched(4), Some(4) },
    older_row = { read(1_100, Some(row(1))), Some(2) },
    no_row = { read(1_100, None), Some(2) },
    stale_peer = { peer_has(1_100, 1, 0), Some(2) },
)]
fn version_in_force_never_falls(event: BundleEvent, expected: Option<u64>) {
    let mut lone = LoneHost::with(2);
    let effects = lone.step(1_100, event);
    assert_eq!(lone.version(), expected);
    assert!(
        !effects
            .iter()
            .any(|e| matches!(e, BundleEffect::Fetch { .. }))
    );
}

/// Guards against ages that do not add up on the way from the store, and against contacts that
/// count although a newer version was seen.
#[parameterized(
    nothing = { vec![], 4_000 },
    store_read = { vec![read(1_500, Some(row(2)))], 4_500 },
    delayed_read = { vec![read(700, Some(row(2)))], 4_000 },
    fresh_peer = { vec![peer_has(1_900, 2, 400)], 4_500 },
    stale_peer = { vec![peer_has(1_900, 2, 1_000)], 4_000 },
    peer_without_contact = { vec![peer_has(1_900, 2, u64::MAX)], 4_000 },
    newer_row = { vec![read(1_900, Some(row(3)))], 4_000 },
    newer_row_then_body = { vec![read(1_900, Some(row(3))), fetched(3)], 4_900 },
    newer_peer = { vec![peer_has(1_900, 3, 0)], 4_000 },
    newer_peer_then_body = { vec![peer_has(1_900, 3, 100), fetched(3)], 4_800 },
    store_unreachable = { vec![BundleEvent::StoreUnreachable], 4_000 },
)]
fn freshness_ends_3_s_after_the_contact(events: Vec<BundleEvent>, end_ms: u64) {
    let mut lone = LoneHost::with(2);
    lone.run_ticks(1_100, 1_900);
    for event in events {
        lone.step(2_000, event);
    }
    lone.run_ticks(2_100, 3_000);
    assert!(lone.is_fresh(end_ms - 1));
    assert!(!lone.is_fresh(end_ms));
}

/// Guards against a host that counts itself as the whole fleet because it has no record of any
/// other.
#[parameterized(
    list_never_read = { None, false },
    alone_in_the_list = { Some(vec![1]), true },
    not_in_the_list = { Some(vec![]), true },
    one_of_two = { Some(vec![1, 2]), false },
)]
fn lone_host_needs_the_list_to_be_fresh(listed: Option<Vec<usize>>, expected: bool) {
    let mut lone = LoneHost::with(1);
    if let Some(listed) = listed {
        let names = listed.into_iter().map(name).collect();
        lone.step(1_100, BundleEvent::Listed(names));
    }
    lone.run_ticks(1_200, 9_000);
    assert_eq!(lone.is_fresh(9_000), expected);
}

/// Guards against a majority that stays fresh although one of its hosts has a newer bundle that
/// cannot be fetched, and against half of the hosts or fewer counting as a majority.
#[parameterized(
    same_version = { &[1, 1, 1, 1], true },
    one_has_a_newer_version = { &[1, 1, 1, 2], false },
    one_has_an_older_version = { &[0, 1, 1, 1], true },
    two_of_five_heard = { &[1, 1], true },
    one_of_five_heard = { &[1], false },
)]
fn majority_keeps_a_host_fresh_without_the_store(versions: &[u64], expected: bool) {
    let mut lone = LoneHost::with(1);
    lone.step(1_100, BundleEvent::Listed((1..=5).map(name).collect()));
    for ms in (1_200..=9_000).step_by(100) {
        let mut table = HostTable::default();
        for (host, version) in (2..).zip(versions) {
            table.hosts.extend(table_of(host, *version, ms).hosts);
        }
        lone.hosts.publish(table);
        lone.step(ms, BundleEvent::FetchFailed);
    }
    assert_eq!(lone.is_fresh(9_000), expected);
}

/// Guards against a restarted host on the minority side that counts the peers in its settings as
/// the whole fleet because it has not read the platform's list yet.
#[test]
fn majority_is_not_known_before_the_list() {
    let mut lone = LoneHost::with(1);
    for ms in (1_100..=9_000).step_by(100) {
        lone.hosts.publish(table_of(2, 1, ms));
        lone.step(ms, BundleEvent::Tick);
    }
    assert!(!lone.is_fresh(9_000));
}

/// Guards against contacts from before a pause that count after it.
#[parameterized(
    short_gap = { 2_000, read(1_500, Some(row(1))), true },
    answer_from_before = { 2_500, read(1_500, Some(row(1))), false },
    peer_from_before = { 2_500, peer_has(1_500, 1, 0), false },
    answer_from_after = { 2_500, read(2_500, Some(row(1))), true },
    peer_from_after = { 2_500, peer_has(2_500, 1, 0), true },
)]
fn pause_invalidates_contacts(resumed_ms: u64, event: BundleEvent, expected: bool) {
    let mut lone = LoneHost::with(1);
    lone.step(resumed_ms, BundleEvent::Tick);
    lone.step(resumed_ms, event);
    assert_eq!(lone.is_fresh(resumed_ms), expected);
}

/// Guards against a bundle controller that is stepped before the membership controller after a
/// pause and counts heartbeats from before it.
#[test]
fn majority_from_before_a_pause_does_not_count() {
    let mut lone = LoneHost::with(1);
    lone.step(1_100, BundleEvent::Listed(vec![name(1), name(2)]));
    lone.hosts.publish(table_of(2, 1, 1_900));
    lone.step(2_000, BundleEvent::Tick);
    assert!(lone.is_fresh(4_800));
    lone.step(4_800, BundleEvent::Tick);
    assert!(!lone.is_fresh(4_800));
}

/// Guards against a body that was signed but never accepted staying in force instead of the
/// accepted one of the same version.
#[test]
fn body_that_was_not_accepted_is_replaced() {
    let mut lone = LoneHost::with(1);
    let unaccepted = BundleEvent::Fetched {
        bundle: bundle(2),
        digest: digest(77),
    };
    lone.step(1_100, unaccepted.clone());
    let effects = lone.step(1_200, read(1_200, Some(row(2))));
    assert!(effects.contains(&BundleEffect::Fetch {
        version: BundleVersion(2),
        source: BundleSource::Store,
    }));
    assert!(!lone.is_fresh(1_200));
    // A peer with the same version may have the same body, so the store is used again.
    lone.hosts.publish(table_of(2, 2, 1_200));
    assert_eq!(lone.step(1_300, unaccepted), []);
    let again = lone.step(1_500, BundleEvent::Tick);
    assert!(again.contains(&BundleEffect::Fetch {
        version: BundleVersion(2),
        source: BundleSource::Store,
    }));
    let accepted = lone.step(1_600, fetched(2));
    assert!(accepted.contains(&BundleEffect::InForce {
        version: BundleVersion(2),
        digest: digest(2),
    }));
    lone.step(1_700, read(1_700, Some(row(2))));
    assert!(lone.is_fresh(1_700));
}

/// Guards against a failing source that is retried without delay.
#[test]
fn failed_fetch_waits_before_the_next() {
    let mut lone = LoneHost::with(1);
    let is_fetch = |effect: &BundleEffect| matches!(effect, BundleEffect::Fetch { .. });
    let first = lone.step(1_100, read(1_100, Some(row(2))));
    assert!(first.iter().any(is_fetch));
    let mut count = 0;
    for ms in (1_200..=3_200).step_by(100) {
        let failed = lone.step(ms, BundleEvent::FetchFailed);
        let next = lone.step(ms, BundleEvent::Tick);
        count += failed.iter().chain(&next).filter(|e| is_fetch(e)).count();
    }
    assert_eq!(count, 0, "each failure delays the next fetch");
    assert!(lone.run_ticks(3_300, 3_400).iter().any(is_fetch));
}
