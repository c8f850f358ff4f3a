//! Tests leases, takeovers and releases of one or two hosts against a store in memory.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

use heatherhinge_blackboard::{Blackboard, Writers};
use heatherhinge_bundle::ZoneState;
use heatherhinge_claims::TenureId;
use heatherhinge_controllers::{
    Controller, HostIdentity, OwnershipController, OwnershipEffect, OwnershipEvent, OwnershipRows,
    RowWrite, TransactionResult,
};
use heatherhinge_types::{CLOCK_ERROR_MS, Name, Now, Partition};
use std::net::SocketAddr;
use std::sync::Arc;
use support::{addr, at, bundle, host, host_table, record};

const LEASE_MS: u64 = 10_000;

/// Outcome of the writes of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Unavailable,
    /// The write takes effect but its response is lost.
    ResponseLost,
    /// The response is lost and the write takes effect later, if its conditions still hold.
    Late,
}

struct Host {
    board: Arc<Blackboard>,
    writers: Writers,
    controller: OwnershipController,
    fault: Fault,
    late: Vec<Vec<RowWrite>>,
    writes: usize,
    reads: usize,
}

impl Host {
    fn new(index: usize, peer_addr: SocketAddr, others: &[usize], now: Now) -> Self {
        let (board, mut writers) = Blackboard::new(host(index), Name::from("north"));
        writers.bundle.publish(Some(bundle(1, ZoneState::In, None)));
        let live = others.iter().map(|other| (record(&host(*other), 1), true));
        writers.hosts.publish(host_table(live));
        let (_, spare) = heatherhinge_blackboard::entry(Default::default());
        let owners = std::mem::replace(&mut writers.owners, spare);
        let me = HostIdentity {
            host: host(index),
            peer_addr,
            start_wall_ms: now.wall_ms,
        };
        Self {
            board,
            writers,
            controller: OwnershipController::new(owners, me, now),
            fault: Fault::None,
            late: Vec::new(),
            writes: 0,
            reads: 0,
        }
    }

    /// Steps the controller, carries out its reads and writes and returns its other effects.
    fn step(
        &mut self,
        store: &mut OwnershipRows,
        event: OwnershipEvent,
        now: Now,
    ) -> Vec<OwnershipEffect> {
        let mut events = vec![event];
        let mut rest = Vec::new();
        while let Some(event) = events.pop() {
            for effect in self.controller.step(&self.board, event, now) {
                match effect {
                    OwnershipEffect::Read { id } if self.fault == Fault::Unavailable => {
                        events.push(OwnershipEvent::ReadFailed { id });
                    }
                    OwnershipEffect::Read { id } => {
                        self.reads += 1;
                        let rows = store.clone();
                        events.push(OwnershipEvent::RowsRead { id, rows });
                    }
                    OwnershipEffect::Write { id, rows } => {
                        let result = self.write(store, rows);
                        events.push(OwnershipEvent::Written { id, result });
                    }
                    OwnershipEffect::Record(_) => {}
                    other => rest.push(other),
                }
            }
        }
        rest
    }

    fn write(&mut self, store: &mut OwnershipRows, parts: Vec<RowWrite>) -> TransactionResult {
        assert!(parts.len() <= 25, "a transaction has at most 25 parts");
        self.writes += 1;
        match self.fault {
            Fault::Unavailable => return TransactionResult::Unavailable,
            Fault::Late => {
                self.late.push(parts);
                return TransactionResult::Unknown;
            }
            Fault::None | Fault::ResponseLost => {}
        }
        let is_allowed = store.allow(&parts);
        if is_allowed {
            store.apply(parts);
        }
        match (self.fault, is_allowed) {
            (Fault::ResponseLost, _) => TransactionResult::Unknown,
            (_, true) => TransactionResult::Applied,
            (_, false) => TransactionResult::Conflict,
        }
    }

    fn run(&mut self, store: &mut OwnershipRows, from_ms: u64, to_ms: u64) {
        for ms in (from_ms..=to_ms).step_by(250) {
            self.step(store, OwnershipEvent::Tick, at(ms));
        }
    }

    fn owned(&self, now: Now) -> usize {
        let owners = self.board.owners.read();
        Partition::all()
            .filter(|partition| owners.value.holds(&self.board.host, *partition, now))
            .count()
    }
}

/// Returns a store and a host that has owned all partitions since about 4 s.
fn owner_of_all() -> (OwnershipRows, Host) {
    let mut store = OwnershipRows::default();
    let mut first = Host::new(0, addr(2), &[], at(0));
    first.run(&mut store, 0, 8_000);
    assert_eq!(first.owned(at(8_000)), 256);
    (store, first)
}

/// Guards against a first host that takes everything before it has heard from the others, and
/// against more writes than one renewal each third of the lease.
#[test]
fn takes_after_the_start_wait_and_renews_each_third() {
    let mut store = OwnershipRows::default();
    let mut first = Host::new(0, addr(2), &[], at(0));
    first.run(&mut store, 0, 2_750);
    assert_eq!((first.owned(at(2_750)), first.writes), (0, 1));
    first.run(&mut store, 3_000, 9_000);
    assert_eq!(first.owned(at(9_000)), 256);
    first.writes = 0;
    first.run(&mut store, 9_250, 129_000);
    assert!(
        (34..=36).contains(&first.writes),
        "{} renewals in 12 leases",
        first.writes
    );
}

/// Guards against a lost response that costs the epoch, or that extends the lease beyond the
/// requested end. The end of the lease counts from the sending of the write.
#[test]
fn lost_responses_are_resolved_by_reading() {
    let mut store = OwnershipRows::default();
    let mut first = Host::new(0, addr(2), &[], at(0));
    first.fault = Fault::ResponseLost;
    first.run(&mut store, 0, 0);
    let row = store.hosts[&host(0)].clone();
    assert_eq!(
        (row.epoch, row.lease_until_wall_ms),
        (1, at(LEASE_MS).wall_ms)
    );
    let owners = first.board.owners.read().value.clone();
    assert_eq!(owners.own_lease_until_wall_ms, at(LEASE_MS).wall_ms);
    assert_eq!(owners.own_lease_until_ns, at(LEASE_MS - 100).mono_ns);
    first.run(&mut store, 250, 20_000);
    assert_eq!(store.hosts[&host(0)].epoch, 1);
    assert_eq!(first.owned(at(20_000)), 256);
}

/// Guards against a takeover before the lease and the clock error have passed, and against a paused
/// holder that continues with partitions that were taken.
#[test]
fn lapsed_lease_is_taken_and_its_holder_starts_a_new_epoch() {
    let (mut store, mut first) = owner_of_all();
    let until = store.hosts[&host(0)].lease_until_wall_ms;
    let until_ms = until.0 - at(0).wall_ms.0;
    let mut second = Host::new(1, addr(3), &[], at(8_000));
    second.run(&mut store, 8_000, until_ms + CLOCK_ERROR_MS);
    assert_eq!(second.owned(at(until_ms + CLOCK_ERROR_MS)), 0);
    second.run(&mut store, until_ms + CLOCK_ERROR_MS + 1, until_ms + 4_000);
    assert_eq!(second.owned(at(until_ms + 4_000)), 256);
    let late = at(until_ms + 4_000);
    assert_eq!(first.owned(late), 0, "the lease lapsed by the own clock");
    first.run(&mut store, until_ms + 4_000, until_ms + 5_000);
    let epoch = store.hosts[&host(0)].epoch;
    assert_eq!((first.owned(at(until_ms + 5_000)), epoch), (0, 2));
}

/// Guards against a renewal that was sent in time, takes effect after a takeover and restores the
/// old tenure.
#[test]
fn late_renewal_fails_after_a_takeover() {
    let (mut store, mut first) = owner_of_all();
    first.fault = Fault::Late;
    first.run(&mut store, 8_250, 12_000);
    let renewal = first.late.pop().unwrap();
    let mut second = Host::new(1, addr(3), &[], at(8_000));
    second.run(&mut store, 8_000, 30_000);
    assert_eq!(second.owned(at(30_000)), 256);
    assert!(!store.allow(&renewal));
}

/// Guards against a store outage that invalidates keys although no other host took anything: the
/// same tenures continue, so keys issued before the outage are still accepted or rejected by them.
#[test]
fn tenures_continue_after_an_outage() {
    let (mut store, mut first) = owner_of_all();
    let before = store.partitions.clone();
    first.fault = Fault::Unavailable;
    first.run(&mut store, 8_250, 30_000);
    assert_eq!(first.owned(at(30_000)), 0);
    first.fault = Fault::None;
    first.run(&mut store, 30_250, 33_000);
    assert_eq!(
        (first.owned(at(33_000)), store.partitions == before),
        (256, true)
    );
}

/// Guards against the first host to reach the store after an outage taking the partitions of hosts
/// that are about to renew.
#[test]
fn lapsed_leases_are_left_alone_right_after_an_outage() {
    let (mut store, mut first) = owner_of_all();
    let mut second = Host::new(1, addr(3), &[], at(0));
    second.run(&mut store, 0, 8_000);
    second.fault = Fault::Unavailable;
    second.run(&mut store, 8_250, 30_000);
    second.fault = Fault::None;
    second.run(&mut store, 30_250, 32_000);
    first.run(&mut store, 32_250, 32_250);
    second.run(&mut store, 32_250, 40_000);
    assert_eq!(
        (first.owned(at(32_250)), second.owned(at(40_000))),
        (256, 0)
    );
}

/// Guards against a restarted host that waits for its own lease, and against a second process of
/// the same name elsewhere that does not.
#[test]
fn restart_at_the_same_address_takes_its_partitions_at_once() {
    let (mut store, _killed) = owner_of_all();
    let mut elsewhere = Host::new(0, addr(9), &[], at(8_500));
    elsewhere.run(&mut store, 8_500, 9_500);
    assert_eq!(
        (elsewhere.owned(at(9_500)), store.hosts[&host(0)].epoch),
        (0, 1)
    );
    let mut restarted = Host::new(0, addr(2), &[], at(9_500));
    restarted.run(&mut store, 9_500, 9_750);
    assert_eq!(
        (restarted.owned(at(9_750)), store.hosts[&host(0)].epoch),
        (256, 2)
    );
    let owners = restarted.board.owners.read().value.clone();
    assert_eq!(
        owners.owner(Partition(7)).unwrap().from_wall_ms,
        at(9_500).wall_ms
    );
}

/// Guards against a planned stop that ends the lease before the claims are closed, and against
/// adopting claims of another tenure than the one that was replaced.
#[test]
fn planned_stop_hands_over_before_it_releases() {
    let (mut store, mut first) = owner_of_all();
    let hosts = host_table([(record(&host(1), 1), true)]);
    first.writers.hosts.publish(hosts);
    let mut second = Host::new(1, addr(3), &[], at(0));
    second.run(&mut store, 0, 8_000);
    let effects = first.step(&mut store, OwnershipEvent::StopRequested, at(8_000));
    let [OwnershipEffect::HandOverClaims(given)] = &effects[..] else {
        unreachable!("{effects:?}");
    };
    assert_eq!(given.len(), 256);
    assert_eq!(given[0].to.as_ref().unwrap().0, host(1));
    assert_eq!(
        first.owned(at(8_000)),
        0,
        "nothing is granted after the claims are closed"
    );
    assert!(!store.hosts[&host(0)].is_ended);
    let (right, mut wrong) = (given[0].giver.clone(), given[1].giver.clone());
    wrong.epoch += 1;
    for (given, giver) in [(&given[0], right.clone()), (&given[1], wrong)] {
        let partition = given.partition;
        let received = OwnershipEvent::ClaimsReceived { partition, giver };
        assert_eq!(second.step(&mut store, received, at(8_000)), []);
    }
    let stopped = first.step(&mut store, OwnershipEvent::ClaimsHandedOver, at(8_100));
    assert_eq!(stopped, [OwnershipEffect::Stopped]);
    assert!(store.hosts[&host(0)].is_ended);
    assert_eq!(adoptions(&mut second, &mut store), [(Partition(0), right)]);
    assert_eq!(second.owned(at(20_000)), 256);
}

fn adoptions(host: &mut Host, store: &mut OwnershipRows) -> Vec<(Partition, TenureId)> {
    let mut adopted = Vec::new();
    for ms in (8_250..=20_000).step_by(250) {
        for effect in host.step(store, OwnershipEvent::Tick, at(ms)) {
            if let OwnershipEffect::AdoptClaims {
                partition, giver, ..
            } = effect
            {
                adopted.push((partition, giver));
            }
        }
    }
    adopted
}

/// Guards against a shorter lease that moves the end back although grants name the old end.
#[test]
fn shorter_lease_does_not_move_the_end_back() {
    let (mut store, mut first) = owner_of_all();
    let mut long = Arc::unwrap_or_clone(bundle(2, ZoneState::In, None));
    long.budget.lease_ms = 60_000;
    first.writers.bundle.publish(Some(Arc::new(long)));
    first.run(&mut store, 8_250, 8_250);
    assert_eq!(
        store.hosts[&host(0)].lease_until_wall_ms,
        at(68_250).wall_ms
    );
    first
        .writers
        .bundle
        .publish(Some(bundle(3, ZoneState::In, None)));
    for ms in (8_500..90_000).step_by(250) {
        let before = store.hosts[&host(0)].lease_until_wall_ms;
        first.step(&mut store, OwnershipEvent::Tick, at(ms));
        assert!(store.hosts[&host(0)].lease_until_wall_ms >= before);
        assert_eq!(first.owned(at(ms)), 256);
    }
}

/// Guards against a dead owner whose requests make every host read all rows five times a second
/// until the lease has lapsed, and against a late read on the first report after a change.
#[test]
fn stale_reports_without_change_read_less_often() {
    let (mut store, mut first) = owner_of_all();
    let report_stale = |first: &mut Host, store: &mut OwnershipRows, ms| {
        first.reads = 0;
        for ms in (ms..ms + 60_000).step_by(100) {
            first.step(store, OwnershipEvent::StaleOwnerReported, at(ms));
        }
        first.reads
    };
    let reads = report_stale(&mut first, &mut store, 8_100);
    assert!(
        (12..=18).contains(&reads),
        "{reads} reads in a minute of stale reports"
    );
    store.partitions.remove(&Partition(9));
    first.run(&mut store, 68_100, 76_000);
    first.reads = 0;
    first.step(&mut store, OwnershipEvent::StaleOwnerReported, at(76_250));
    assert_eq!(first.reads, 1);
}

/// Guards against a preferred host that cannot reach the store and so keeps partitions unowned, and
/// against every host taking them at once.
#[test]
fn second_in_rank_takes_after_a_wait() {
    let mut store = OwnershipRows::default();
    let mut first = Host::new(0, addr(2), &[1], at(0));
    first.run(&mut store, 0, 8_000);
    let share = first.owned(at(8_000));
    assert!((100..156).contains(&share), "{share} of 256");
    first.run(&mut store, 8_250, 18_000);
    assert_eq!(first.owned(at(18_000)), 256);
}
