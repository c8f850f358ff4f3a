//! Simulates the warmup controllers of 19 hosts and their shared targets, in virtual time.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

use heatherhinge_blackboard::{
    Blackboard, HostRecord, HostTable, InFlight, OwnerTable, TargetCell, Warmth, Writer, Writers,
};
use heatherhinge_bundle::ZoneState;
use heatherhinge_controllers::{
    ColdReport, Controller, ListedTarget, ResponseKind, WarmupController, WarmupEffect, WarmupEvent,
};
use heatherhinge_types::{CLOCK_ERROR_MS, Digest, Name, Partition, StartId, WallMs};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use support::{addr, at, host, owner, record};
use yare::parameterized;

const STEP_MS: u64 = 10;
const LEASE_MS: u64 = 6_000;
const WARM_MS: u64 = 3_000;
const SLOTS: u32 = 5;

/// A target. Its capacity starts at 1 and doubles with rounds of good responses, as in the design.
/// It is unlimited once the target is warm, by its uptime or by three rounds at its slots.
struct Target {
    name: Name,
    run: u64,
    started_ms: u64,
    capacity: u32,
    good: u32,
    rounds_at_slots: u32,
    in_flight: u32,
    /// Hosts that got a response of the current run, or that lost a connection of the previous one.
    informed: BTreeSet<usize>,
}

impl Target {
    fn capacity(&self, ms: u64) -> u32 {
        if ms >= self.started_ms + WARM_MS || self.rounds_at_slots >= 3 {
            u32::MAX
        } else {
            self.capacity
        }
    }

    fn count_good(&mut self) {
        self.good += 1;
        if self.good >= self.capacity {
            self.good = 0;
            self.rounds_at_slots += u32::from(self.capacity == SLOTS);
            self.capacity = (self.capacity * 2).min(SLOTS);
        }
    }
}

struct Flight {
    host: usize,
    target: usize,
    run: u64,
    end_ms: u64,
    is_overload: bool,
    _guard: InFlight,
}

struct Host {
    board: Arc<Blackboard>,
    hosts: Writer<HostTable>,
    owners: Writer<OwnerTable>,
    warmup: WarmupController,
    cells: BTreeMap<Name, Arc<TargetCell>>,
    own: HostRecord,
    known: BTreeMap<usize, (HostRecord, u64)>,
    lease_until_ms: u64,
    isolated_until_ms: u64,
    is_alive: bool,
    is_leaving: bool,
}

impl Host {
    fn is_isolated(&self, ms: u64) -> bool {
        ms < self.isolated_until_ms
    }
}

/// Owner of each partition and the start of its ownership in ms, as in the table service.
type Rows = Vec<Option<(usize, u64)>>;

struct Fleet {
    rng: Pcg64Mcg,
    ms: u64,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    flights: Vec<Flight>,
    rows: Rows,
    reports: Vec<(Name, ColdReport)>,
    overloads: u64,
    overloads_after_evidence: u64,
    served: u64,
}

impl Fleet {
    fn new(seed: u64, hosts: usize, targets: u16) -> Self {
        let mut fleet = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            ms: 0,
            hosts: Vec::new(),
            targets: Vec::new(),
            flights: Vec::new(),
            rows: vec![None; 256],
            reports: Vec::new(),
            overloads: 0,
            overloads_after_evidence: 0,
            served: 0,
        };
        for _ in 0..hosts {
            fleet.join();
        }
        fleet.list(targets);
        fleet
    }

    fn join(&mut self) {
        let index = self.hosts.len();
        let (board, writers) = Blackboard::new(host(index), Name::from("north"));
        let Writers {
            mut bundle,
            hosts,
            owners,
            warmth,
            ..
        } = writers;
        bundle.publish(Some(support::bundle(1, ZoneState::In, None)));
        let mut new = Host {
            board,
            hosts,
            owners,
            warmup: WarmupController::new(warmth),
            cells: BTreeMap::new(),
            own: record(&host(index), 1),
            known: BTreeMap::new(),
            lease_until_ms: self.ms + LEASE_MS,
            isolated_until_ms: 0,
            is_alive: true,
            is_leaving: false,
        };
        for (peer, other) in self.hosts.iter().enumerate() {
            new.known.insert(peer, (other.own.clone(), self.ms));
        }
        self.hosts.push(new);
        self.read_rows(index);
        let count = u16::try_from(self.targets.len()).unwrap();
        self.deliver_list(index, count);
    }

    fn list(&mut self, count: u16) {
        for port in u16::try_from(self.targets.len()).unwrap()..count {
            self.targets.push(Target {
                name: Name::from(addr(port + 100).to_string()),
                run: 1 + u64::from(port) * 1_000,
                started_ms: self.ms,
                capacity: 1,
                good: 0,
                rounds_at_slots: 0,
                in_flight: 0,
                informed: BTreeSet::new(),
            });
        }
        for index in 0..self.hosts.len() {
            self.deliver_list(index, count);
        }
    }

    fn deliver_list(&mut self, index: usize, count: u16) {
        let listed = (100..100 + count).map(|port| ListedTarget {
            service: Name::from("orders"),
            addr: addr(port),
            zone: Name::from("north"),
            version: Name::from("v1"),
            is_leaving: false,
        });
        let listed: Vec<ListedTarget> = listed.collect();
        for target in &listed {
            let (zone, version) = (target.zone.clone(), target.version.clone());
            let cell = Arc::new(TargetCell::new(target.addr, zone, version));
            self.hosts[index]
                .cells
                .entry(cell.id.clone())
                .or_insert(cell);
        }
        self.deliver(index, WarmupEvent::Listed(listed));
    }

    fn deliver(&mut self, index: usize, event: WarmupEvent) {
        let host = &mut self.hosts[index];
        for effect in host.warmup.step(&host.board, event, at(self.ms)) {
            match effect {
                WarmupEffect::AnnounceWarm(warm) => host.own.warm = warm,
                WarmupEffect::NotifyOwner { owner, report, .. } => {
                    if !host.is_isolated(self.ms) {
                        self.reports.push((owner, report));
                    }
                }
                WarmupEffect::Record(_) => {}
            }
        }
    }

    /// Copies the rows of the table service to a host's blackboard.
    fn read_rows(&mut self, index: usize) {
        let mut table = OwnerTable::default();
        table.own_lease_until_ns = at(self.hosts[index].lease_until_ms).mono_ns;
        table.own_lease_until_wall_ms = at(self.hosts[index].lease_until_ms).wall_ms;
        for (partition, row) in Partition::all().zip(&self.rows) {
            let owner =
                row.map(|(holder, from_ms)| owner(&host(holder), 1, WallMs(at(from_ms).wall_ms.0)));
            table.set(partition, owner);
        }
        self.hosts[index].owners.publish_if_changed(table);
        self.deliver(index, WarmupEvent::Tick);
    }

    /// Renews the lease and updates the rows, once a second for each host. A host releases a
    /// partition before its row changes, and takes one only after the lease of its owner expired.
    fn ownership(&mut self, index: usize) {
        let ms = self.ms;
        let host = &mut self.hosts[index];
        if host.is_isolated(ms) || !(ms + index as u64 * 50).is_multiple_of(1_000) {
            return;
        }
        host.lease_until_ms = ms + LEASE_MS;
        let takers: Vec<usize> = (0..self.hosts.len())
            .filter(|i| self.hosts[*i].is_alive && !self.hosts[*i].is_leaving)
            .filter(|i| !self.hosts[*i].is_isolated(ms))
            .collect();
        for partition in 0..self.rows.len() {
            let preferred = takers.iter().copied().max_by_key(|i| {
                Digest::of_parts(&[&(*i as u64).to_le_bytes(), &[partition as u8]])
            });
            let is_free = match self.rows[partition] {
                None => true,
                Some((holder, _)) if holder == index => false,
                Some((holder, _)) => ms > self.hosts[holder].lease_until_ms + CLOCK_ERROR_MS,
            };
            if preferred == Some(index) && is_free {
                self.rows[partition] = Some((index, ms));
            } else if self.rows[partition].is_some_and(|(h, _)| h == index)
                && preferred.is_some_and(|p| p != index)
            {
                self.rows[partition] = preferred.map(|p| (p, ms));
            }
        }
        self.read_rows(index);
    }

    fn gossip(&mut self, index: usize) {
        let ms = self.ms;
        if !(ms + index as u64 * 30).is_multiple_of(500) {
            return;
        }
        self.hosts[index].own.version.sequence += 1;
        for _ in 0..5 {
            let peer = self.rng.random_range(0..self.hosts.len());
            let is_silent = !self.hosts[peer].is_alive || self.hosts[peer].is_isolated(ms);
            if peer == index || is_silent || self.hosts[index].is_isolated(ms) {
                continue;
            }
            let mut updates = self.hosts[peer].known.clone();
            updates.insert(peer, (self.hosts[peer].own.clone(), ms));
            for (about, (record, received_ms)) in updates {
                let known = self.hosts[index].known.get(&about);
                let is_newer = known.is_none_or(|(old, _)| old.version < record.version);
                if about != index && is_newer {
                    self.hosts[index]
                        .known
                        .insert(about, (record, received_ms.max(ms)));
                }
            }
        }
        let host = &mut self.hosts[index];
        let known = host
            .known
            .values()
            .map(|(r, received_ms)| (r.clone(), ms < received_ms + 2_000));
        let mut records: Vec<(HostRecord, bool)> = known.collect();
        records.push((host.own.clone(), true));
        host.hosts.publish(support::host_table(records));
        self.deliver(index, WarmupEvent::Tick);
    }

    fn send(&mut self, index: usize) {
        let target = self.rng.random_range(0..self.targets.len());
        let (host, target_state) = (&self.hosts[index], &mut self.targets[target]);
        let warmth = host.board.warmth.read().value.get(&target_state.name);
        let limit = match warmth {
            Warmth::Warm { .. } => 2,
            Warmth::Owned { allowance } => allowance,
            Warmth::NotOwned => 0,
        };
        let Some(guard) = host.cells[&target_state.name].try_begin(limit) else {
            return;
        };
        target_state.in_flight += 1;
        let is_overload = target_state.in_flight > target_state.capacity(self.ms);
        if is_overload {
            self.overloads += 1;
            // The owner may send within the allowance while other hosts are not informed yet.
            let own = guard.target().own_in_flight();
            let is_owner = matches!(warmth, Warmth::Owned { .. });
            let is_own_fault = target_state.informed.contains(&index)
                && (!is_owner || own > target_state.capacity(self.ms));
            self.overloads_after_evidence += u64::from(is_own_fault);
        }
        self.flights.push(Flight {
            host: index,
            target,
            run: target_state.run,
            end_ms: self.ms + self.rng.random_range(20..400),
            is_overload,
            _guard: guard,
        });
    }

    fn finish(&mut self) {
        let (ms, targets) = (self.ms, &self.targets);
        let is_over = |f: &Flight| f.end_ms <= ms || targets[f.target].run != f.run;
        let (over, unfinished): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(is_over);
        self.flights = unfinished;
        for flight in over {
            let target_state = &mut self.targets[flight.target];
            target_state.informed.insert(flight.host);
            let target = target_state.name.clone();
            let event = if target_state.run == flight.run {
                target_state.in_flight -= 1;
                if !flight.is_overload {
                    target_state.count_good();
                    self.served += 1;
                }
                let uptime_ms = ms - target_state.started_ms;
                WarmupEvent::Answer {
                    target,
                    kind: if flight.is_overload {
                        ResponseKind::Error
                    } else {
                        ResponseKind::Good
                    },
                    report: Some((StartId(flight.run), uptime_ms)),
                    latency_ns: 1,
                }
            } else {
                let run = Some(StartId(flight.run));
                WarmupEvent::ConnectionLost { target, run }
            };
            let index = flight.host;
            drop(flight);
            if self.hosts[index].is_alive {
                self.deliver(index, event);
            }
        }
    }

    fn restart_target(&mut self, target: usize) {
        let target_state = &mut self.targets[target];
        target_state.run += 1;
        (
            target_state.started_ms,
            target_state.capacity,
            target_state.good,
        ) = (self.ms, 1, 0);
        (target_state.in_flight, target_state.rounds_at_slots) = (0, 0);
        target_state.informed.clear();
    }

    fn step(&mut self) {
        self.ms += STEP_MS;
        self.finish();
        for (owner, report) in std::mem::take(&mut self.reports) {
            let index = (0..self.hosts.len()).find(|i| host(*i) == owner).unwrap();
            if self.hosts[index].is_alive && !self.hosts[index].is_isolated(self.ms) {
                self.deliver(index, WarmupEvent::Reported(report));
            }
        }
        for index in 0..self.hosts.len() {
            if !self.hosts[index].is_alive {
                continue;
            }
            if self.ms.is_multiple_of(100) {
                self.deliver(index, WarmupEvent::Tick);
            }
            self.gossip(index);
            self.ownership(index);
            if !self.hosts[index].is_leaving {
                self.send(index);
                self.send(index);
            } else if self.flights.iter().all(|flight| flight.host != index) {
                for row in &mut self.rows {
                    *row = row.filter(|(holder, _)| *holder != index);
                }
                self.hosts[index].is_alive = false;
            }
        }
    }

    /// Makes one random change of the hosts: one joins, leaves, dies or is isolated for a time.
    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        let usable = self
            .hosts
            .iter()
            .filter(|h| h.is_alive && !h.is_isolated(self.ms))
            .count();
        let length_ms = self.rng.random_range(1_000..12_000);
        match self.rng.random_range(0..4) {
            0 if self.hosts.len() < 30 => self.join(),
            1 if usable > 14 => self.hosts[index].is_leaving = true,
            2 if usable > 14 => self.hosts[index].is_alive = false,
            _ if usable > 14 => self.hosts[index].isolated_until_ms = self.ms + length_ms,
            _ => {}
        }
    }
}

/// Guards against a number of in-flight requests over all hosts above the capacity of a cold
/// target, while targets are new and hosts join, leave, die and are isolated.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 })]
fn cold_targets_are_never_overloaded(seed: u64) {
    let mut fleet = Fleet::new(seed, 19, 20);
    for step in 1..4_000_u64 {
        fleet.step();
        if step.is_multiple_of(150) {
            fleet.inject_fault();
            let count = u16::try_from(fleet.targets.len()).unwrap() + 1;
            fleet.list(count);
        }
    }
    println!(
        "seed {seed}: {} good responses, {} overloads",
        fleet.served, fleet.overloads
    );
    assert_eq!(fleet.overloads, 0);
    assert!(
        fleet.served > 30_000,
        "only {} good responses; more than 30,000 are expected",
        fleet.served
    );
}

/// Guards against hosts that keep sending to a restarted target after they had evidence of the
/// restart, and prints the number of requests that reach it before.
#[parameterized(one = { 1 }, two = { 2 })]
fn cold_without_warning_is_contained(seed: u64) {
    let mut fleet = Fleet::new(seed, 19, 20);
    let mut restarts = 0_u64;
    for step in 1..4_000_u64 {
        fleet.step();
        if step > 500 && step.is_multiple_of(50) {
            let target = fleet.rng.random_range(0..fleet.targets.len());
            fleet.restart_target(target);
            restarts += 1;
        }
    }
    println!(
        "seed {seed}: {restarts} unannounced restarts, {} requests beyond the capacity of cold \
         targets, {} of them by a host that had evidence; {} good responses",
        fleet.overloads, fleet.overloads_after_evidence, fleet.served
    );
    assert_eq!(fleet.overloads_after_evidence, 0);
}
