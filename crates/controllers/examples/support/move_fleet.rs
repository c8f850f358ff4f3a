//! Runs the move and target controllers of several hosts in virtual time.

use super::fixtures::{at, record};
use super::setup::{CAP_PERMILLE, Fault, Setup, bundle, zone};
use super::world::{Store, Targets, poisson};
use heatherhinge_blackboard::{
    Blackboard, HostEntry, HostRecord, HostTable, MoveState, Owner, OwnerTable, Writer, Writers,
};
use heatherhinge_bundle::Bundle;
use heatherhinge_controllers::{
    Controller, MoveController, MoveEffect, MoveEvent, TargetController, TargetEvent, WriteOutcome,
};
use heatherhinge_types::{MonoNs, Name, Partition, WallMs};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;

const STEP_MS: u64 = 100;
const PAUSE_MS: u64 = 40_000;
/// Lease of the leader plus the clock error, after which another host takes over.
const TAKEOVER_MS: u64 = 11_000;

struct Host {
    name: Name,
    board: Arc<Blackboard>,
    hosts: Writer<HostTable>,
    owners: Writer<OwnerTable>,
    bundle: Writer<Option<Arc<Bundle>>>,
    moves: MoveController,
    targets: TargetController,
    own: HostRecord,
    known: Vec<Arc<HostRecord>>,
    /// Events that arrive in the next step.
    inbox: Vec<MoveEvent>,
}

/// Requests of one route before the new version was proven.
#[derive(Clone, Copy, Default)]
pub struct Unproven {
    pub total: u64,
    pub new: u64,
}

/// Results of a run.
#[derive(Default)]
pub struct Observations {
    pub requests: u64,
    pub new_requests: u64,
    pub harmed: u64,
    pub harmed_since_ms: Option<u64>,
    /// Time of the last request to the new version.
    pub last_new_ms: u64,
    pub state: Option<MoveState>,
    pub ended_ms: Option<u64>,
    pub unproven: BTreeMap<&'static str, Unproven>,
    /// Requests to the new version above the cap, before it was proven.
    pub above_cap: u64,
    /// Requests to the new version through a host that had the verdict that it was taken back.
    pub after_taken_back: u64,
    /// Decisions, writes and changes on the hosts, in order.
    pub log: Vec<String>,
    applied: BTreeMap<Option<(MoveState, u32)>, usize>,
}

pub struct MoveFleet {
    pub setup: Setup,
    pub ms: u64,
    pub store: Store,
    pub observed: Observations,
    hosts: Vec<Host>,
    world: Targets,
    rng: Pcg64Mcg,
    leader: usize,
    bundle_version: u64,
}

impl MoveFleet {
    pub fn new(setup: Setup) -> Self {
        let mut fleet = Self {
            ms: 0,
            store: Store::default(),
            observed: Observations::default(),
            hosts: Vec::new(),
            world: Targets::new(&setup),
            rng: Pcg64Mcg::seed_from_u64(setup.seed),
            leader: 0,
            bundle_version: 0,
            setup,
        };
        fleet.hosts = (0..fleet.setup.hosts)
            .map(|index| fleet.host(index))
            .collect();
        fleet.set_owner(0, fleet.hosts.len());
        fleet.publish_move(Some("m1"));
        fleet
    }

    fn host(&self, index: usize) -> Host {
        let (name, zone) = (
            Name::from(format!("host{index:02}")),
            zone(index % self.setup.zones),
        );
        let (board, writers) = Blackboard::new(name.clone(), zone.clone());
        let Writers {
            bundle,
            hosts,
            owners,
            moves,
            routing,
            ..
        } = writers;
        Host {
            own: record(name.clone(), zone, 1 + self.ms),
            name,
            board,
            hosts,
            owners,
            bundle,
            moves: MoveController::new(moves, self.setup.seed * 100 + index as u64),
            targets: TargetController::new(routing),
            known: Vec::new(),
            inbox: Vec::new(),
        }
    }

    /// Publishes a bundle with or without a move on every host.
    pub fn publish_move(&mut self, id: Option<&str>) {
        self.bundle_version += 1;
        let bundle = bundle(&self.setup, self.bundle_version, id);
        for host in &mut self.hosts {
            host.bundle.publish(Some(Arc::clone(&bundle)));
        }
    }

    /// Makes one host the owner of every partition on the first `reached` hosts, if not paused.
    fn set_owner(&mut self, owner: usize, reached: usize) {
        self.leader = owner;
        let name = self.hosts[owner].name.clone();
        let paused = self.paused();
        for (index, host) in self.hosts.iter_mut().enumerate().take(reached) {
            if paused == Some(index) {
                continue;
            }
            let mut table = OwnerTable::default();
            let until = at(self
                .setup
                .leader_paused_ms
                .map_or(u64::from(u32::MAX), |ms| {
                    if index == 0 {
                        ms + TAKEOVER_MS - 1_000
                    } else {
                        u64::from(u32::MAX)
                    }
                }));
            table.own_lease_until_ns = until.mono_ns;
            table.own_lease_until_wall_ms = until.wall_ms;
            for partition in Partition::all() {
                table.set(
                    partition,
                    Some(Owner {
                        host: name.clone(),
                        peer_addr: host.own.peer_addr,
                        epoch: 1,
                        from_wall_ms: at(self.ms).wall_ms,
                        lease_until_wall_ms: WallMs(u64::MAX),
                        has_earlier_claims: false,
                    }),
                );
            }
            host.owners.publish(table);
        }
    }

    fn paused(&self) -> Option<usize> {
        let since_ms = self.setup.leader_paused_ms?;
        (since_ms..since_ms + PAUSE_MS)
            .contains(&self.ms)
            .then_some(0)
    }

    /// Adds a host that starts now, with the bundle and the records of host 1.
    pub fn join(&mut self) {
        let mut new = self.host(self.hosts.len());
        new.bundle
            .publish(self.hosts[1].board.bundle.read().value.clone());
        new.known = self.hosts[1].known.clone();
        self.hosts.push(new);
        self.set_owner(self.leader, self.hosts.len());
    }

    /// Returns the state of the move on each host that is not paused.
    pub fn states(&self) -> Vec<Option<MoveState>> {
        let entry = |host: &Host| {
            let moves = host.board.moves.read();
            moves.value.services.get("orders").map(|entry| entry.state)
        };
        let paused = self.paused();
        let awake = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(index, _)| Some(*index) != paused);
        awake.map(|(_, host)| entry(host)).collect()
    }

    /// Returns the largest share of the new version on any host.
    pub fn share_permille(&self) -> u32 {
        let share = |host: &Host| {
            let moves = host.board.moves.read();
            moves
                .value
                .services
                .get("orders")
                .map_or(0, |entry| entry.share_permille)
        };
        self.hosts.iter().map(share).max().unwrap_or(0)
    }

    pub fn step(&mut self) {
        self.ms += STEP_MS;
        let (from, until) = self.setup.store_down_ms;
        let is_down = (from..until).contains(&self.ms);
        if is_down != self.store.is_down {
            self.store.is_down = is_down;
            let what = if is_down { "is down" } else { "responds again" };
            self.observed
                .log
                .push(format!("{:>7} ms the store {what}", self.ms));
        }
        if let Some(paused_ms) = self.setup.leader_paused_ms {
            let (takeover_ms, wake_ms) = (paused_ms + TAKEOVER_MS, paused_ms + PAUSE_MS);
            let what = match self.ms {
                ms if ms == paused_ms => "host00 is paused",
                ms if ms == takeover_ms => "host01 owns the service's partition",
                ms if ms == wake_ms => "host00 resumes",
                _ => "",
            };
            if !what.is_empty() {
                self.observed.log.push(format!("{:>7} ms {what}", self.ms));
            }
            if self.ms == takeover_ms || self.ms == wake_ms {
                self.set_owner(1, self.hosts.len());
            }
        }
        let paused = self.paused();
        let before = (self.observed.requests, self.observed.new_requests);
        for index in 0..self.hosts.len() {
            if paused == Some(index) {
                continue;
            }
            self.gossip(index);
            for event in std::mem::take(&mut self.hosts[index].inbox) {
                self.deliver(index, event);
            }
            if (self.ms + index as u64 * STEP_MS).is_multiple_of(300) {
                self.deliver(index, MoveEvent::Tick);
            }
            let host = &mut self.hosts[index];
            host.targets
                .step(&host.board, TargetEvent::Tick, at(self.ms));
            self.call(index);
        }
        let calls = (self.observed.requests - before.0).max(1) as f64;
        let share = (self.observed.new_requests - before.1) as f64 / calls;
        self.world.step(self.ms, share, &mut self.rng);
        self.record_states();
    }

    fn record_states(&mut self) {
        let mut applied = BTreeMap::new();
        for host in &self.hosts {
            let moves = host.board.moves.read();
            let entry = moves.value.services.get("orders");
            let what = entry.map(|entry| (entry.state, entry.share_permille));
            *applied.entry(what).or_insert(0) += 1;
        }
        if applied != self.observed.applied {
            let parts = applied.iter().map(|(what, hosts)| match what {
                Some((state, share)) => format!("{state:?} {share} on {hosts}"),
                None => format!("no move on {hosts}"),
            });
            let parts: Vec<String> = parts.collect();
            let line = format!("{:>7} ms hosts apply {}", self.ms, parts.join(", "));
            self.observed.log.push(line);
            self.observed.applied = applied;
        }
        let states = self.states();
        let first = states.first().copied().flatten();
        let is_final = first.is_some_and(MoveState::is_final);
        if self.observed.ended_ms.is_none() && is_final && states.iter().all(|s| *s == first) {
            self.observed.ended_ms = Some(self.ms);
        }
        self.observed.state = first;
    }

    /// Copies the newer records of 5 random peers to a host, every 500 ms.
    fn gossip(&mut self, index: usize) {
        if !(self.ms + index as u64 * STEP_MS).is_multiple_of(500) {
            return;
        }
        let host = &mut self.hosts[index];
        host.own.version.sequence += 1;
        let own = Arc::new(host.own.clone());
        merge_record(&mut host.known, own);
        for _ in 0..5 {
            let peer = self.rng.random_range(0..self.hosts.len());
            if Some(peer) == self.paused() {
                continue;
            }
            for record in self.hosts[peer].known.clone() {
                merge_record(&mut self.hosts[index].known, record);
            }
        }
        let host = &mut self.hosts[index];
        let entries = host.known.iter().map(|record| {
            let entry = HostEntry {
                record: Arc::clone(record),
                last_heard_ns: MonoNs(0),
                is_live: true,
            };
            (record.host.clone(), entry)
        });
        host.hosts.publish(HostTable {
            hosts: entries.collect(),
        });
    }

    fn deliver(&mut self, index: usize, event: MoveEvent) {
        let host = &mut self.hosts[index];
        let effects = host.moves.step(&host.board, event, at(self.ms));
        for effect in effects {
            self.apply_effect(index, effect);
        }
    }

    fn apply_effect(&mut self, index: usize, effect: MoveEffect) {
        let lost = f64::from(self.setup.lost_responses_permille) / 1_000.0;
        let is_lost = lost > 0.0 && self.rng.random_bool(lost);
        let outcome_of = |outcome| {
            if is_lost {
                WriteOutcome::Unknown
            } else {
                outcome
            }
        };
        let name = self.hosts[index].name.clone();
        let event = match effect {
            MoveEffect::Publish { evidence, verdicts } => {
                let own = &mut self.hosts[index].own;
                (own.evidence, own.verdicts) = (evidence, verdicts);
                return;
            }
            MoveEffect::Record(record) => {
                let line = format!("{:>7} ms {name} records {:?}", self.ms, record.event);
                self.observed.log.push(line);
                return;
            }
            MoveEffect::NotifyLeader {
                leader, move_id, ..
            } => {
                let line = format!(
                    "{:>7} ms {name} notifies {leader} that it halted the move",
                    self.ms
                );
                self.observed.log.push(line);
                if let Some(peer) = self.hosts.iter_mut().find(|host| host.name == leader) {
                    peer.inbox.push(MoveEvent::HaltReported {
                        move_id,
                        from: name,
                    });
                }
                return;
            }
            MoveEffect::ReadRow { move_id } => MoveEvent::RowRead {
                row: self.store.read(&move_id),
                move_id,
            },
            MoveEffect::WriteRow { row, expected_step } => {
                let (move_id, nonce) = (row.move_id.clone(), row.nonce);
                let what = format!("{:?} {} step {}", row.state, row.share_permille, row.step);
                let outcome = self.store.write(row, expected_step);
                let response = outcome_of(outcome);
                let line = format!(
                    "{:>7} ms {name} writes {what} over {expected_step:?}: {outcome:?}, response {response:?}",
                    self.ms
                );
                self.observed.log.push(line);
                MoveEvent::RowWritten {
                    move_id,
                    nonce,
                    outcome: response,
                }
            }
            MoveEffect::WriteReport(report) => {
                let (move_id, state) = (report.move_id.clone(), report.state);
                let what = format!("{state:?}, {}", report.reason);
                let outcome = self.store.report(report);
                let response = outcome_of(outcome);
                let line = format!(
                    "{:>7} ms {name} reports {what}: {outcome:?}, response {response:?}",
                    self.ms
                );
                self.observed.log.push(line);
                MoveEvent::ReportWritten {
                    move_id,
                    state,
                    outcome: response,
                }
            }
        };
        self.hosts[index].inbox.push(event);
    }

    fn call(&mut self, index: usize) {
        let mean = self.setup.calls_per_s * STEP_MS as f64 / 1_000.0 / self.setup.hosts as f64;
        let calls = poisson(mean, &mut self.rng);
        let host = &self.hosts[index];
        let routing = host.board.routing.read_owned();
        let Some(targets) = routing.value.services.get("orders") else {
            return;
        };
        let moves = host.board.moves.read_owned();
        let state = moves.value.services.get("orders").map(|entry| entry.state);
        let is_proven = state.is_some_and(|s| !matches!(s, MoveState::Waiting | MoveState::Canary));
        let own_zone = index % self.setup.zones;
        for _ in 0..calls {
            let mut pick: f64 = self.rng.random();
            let route = self.setup.routes.iter().position(|(_, share)| {
                pick -= share;
                pick < 0.0
            });
            let route = route.unwrap_or(0);
            let name = self.setup.routes[route].0;
            let counters = targets
                .move_counters
                .as_ref()
                .and_then(|c| c.routes.get(name));
            let share = targets.pools.get(1).map_or(0, |pool| pool.share_permille);
            let is_done = state == Some(MoveState::Done);
            let is_new = match counters {
                Some(counters) if targets.pools.len() > 1 => counters.try_count_new(share),
                _ => is_done,
            };
            let (latency_ns, is_harmed) =
                self.world
                    .answer(self.ms, is_new, own_zone, route, &mut self.rng);
            if let Some(counters) = counters {
                match latency_ns {
                    Some(latency_ns) => counters.count_good(is_new, latency_ns, false),
                    None => counters.count_failed(is_new),
                }
            }
            let observed = &mut self.observed;
            observed.requests += 1;
            observed.new_requests += u64::from(is_new);
            observed.harmed += u64::from(is_harmed);
            observed.after_taken_back += u64::from(is_new && state == Some(MoveState::TakenBack));
            if is_new {
                observed.last_new_ms = self.ms;
            }
            if is_harmed {
                observed.harmed_since_ms.get_or_insert(self.ms);
            }
            if !is_proven {
                let unproven = observed.unproven.entry(name).or_default();
                unproven.total += 1;
                unproven.new += u64::from(is_new);
                let cap = unproven.total * u64::from(CAP_PERMILLE) / 1_000;
                observed.above_cap += u64::from(unproven.new > cap);
            }
        }
    }

    /// Runs until 15 s after the move ended on every host, or until 20 s after its end time.
    pub fn run(&mut self) {
        while self.ms < self.setup.move_ms + 20_000 {
            self.step();
            if self
                .observed
                .ended_ms
                .is_some_and(|ended_ms| self.ms > ended_ms + 15_000)
            {
                return;
            }
        }
    }

    /// Returns whether the new version has a fault.
    pub fn is_bad(&self) -> bool {
        self.setup.fault != Fault::None
    }
}

fn merge_record(known: &mut Vec<Arc<HostRecord>>, record: Arc<HostRecord>) {
    match known.iter_mut().find(|old| old.host == record.host) {
        Some(old) if old.version < record.version => *old = record,
        Some(_) => {}
        None => known.push(record),
    }
}
