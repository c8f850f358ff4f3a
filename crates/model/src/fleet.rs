//! Runs the processes of the entry hosts and injects faults of hosts, network and store.

use crate::Experiment;
use crate::clock::Clock;
use crate::event::Event;
use crate::net::Net;
use crate::process::{Process, host_name};
use crate::store::Store;
use heatherhinge_claims::{ClaimRequest, ClaimResponse, HandedPartition, Settlement};
use heatherhinge_controllers::{OwnershipEffect, OwnershipEvent, RowWrite, TransactionResult};
use heatherhinge_records::RecordEvent;
use heatherhinge_types::{IdempotencyKey, Name, Now};
use rand::RngExt;

const TICK_MS: u64 = 250;
const HOST_PAUSE_MS: u64 = 30_000;
const MAX_PARTITION_MS: u64 = 20_000;
const MAX_OUTAGE_MS: u64 = 30_000;
/// Longest delay of a write whose response was lost.
const MAX_WRITE_DELAY_MS: u64 = 20_000;
/// Time after which a host gets an unknown result for a write whose response was lost.
const WRITE_TIMEOUT_MS: u64 = 2_000;
/// Delays after which a killed host restarts: at once, soon, and after its lease has expired.
const RESTART_DELAYS_MS: [u64; 3] = [50, 2_000, 30_000];
const STOP_RESTART_DELAY_MS: u64 = 3_000;
/// Share of seconds in which a wall clock is stepped.
const CLOCK_STEP_PERMILLE: u32 = 200;

/// State of one entry host.
#[derive(Debug)]
struct HostState {
    process: Option<Process>,
    clock: Clock,
    paused_until_ms: u64,
    /// Hosts on different sides of a network partition cannot reach each other.
    network_side: bool,
}

/// The entry hosts and their store. Hosts are named by their index.
#[derive(Debug)]
pub(crate) struct Fleet {
    experiment: Experiment,
    hosts: Vec<HostState>,
    store: Store,
    next_run: u64,
    /// Faults of hosts, network and store so far.
    pub(crate) faults: usize,
}

impl Fleet {
    pub(crate) fn new(experiment: Experiment, net: &mut Net) -> Self {
        let state = |_| HostState {
            process: None,
            clock: Clock::new(experiment.faults.clock_error_ms, &mut net.rng),
            paused_until_ms: 0,
            network_side: false,
        };
        let hosts: Vec<_> = (0..experiment.hosts).map(state).collect();
        for host in 0..hosts.len() {
            net.schedule(0, Event::Start { host });
        }
        Self {
            experiment,
            hosts,
            store: Store::default(),
            next_run: 0,
            faults: 0,
        }
    }

    /// Returns the clocks of a host.
    pub(crate) fn now(&self, host: usize, net: &Net) -> Now {
        self.hosts[host].clock.read(net.now_ms)
    }

    pub(crate) fn process(&mut self, host: usize) -> Option<&mut Process> {
        self.hosts[host].process.as_mut()
    }

    /// Returns whether a process runs on a host; with `run`, only if it is that process.
    pub(crate) fn is_running(&self, host: usize, run: Option<u64>) -> bool {
        let process = self.hosts[host].process.as_ref();
        process.is_some_and(|process| run.is_none_or(|run| run == process.run))
    }

    pub(crate) fn paused_until_ms(&self, host: usize) -> u64 {
        self.hosts[host].paused_until_ms
    }

    pub(crate) fn pause(&mut self, host: usize, net: &Net) {
        self.faults += 1;
        self.hosts[host].paused_until_ms = net.now_ms + HOST_PAUSE_MS;
    }

    pub(crate) fn kill(&mut self, host: usize, net: &mut Net) {
        self.faults += 1;
        self.hosts[host].process = None;
        net.trace(|| format!("host{host} is killed"));
    }

    pub(crate) fn start(&mut self, host: usize, net: &mut Net) {
        if self.hosts[host].process.is_some() {
            return;
        }
        self.next_run += 1;
        let (run, lease_ms, rules) = (
            self.next_run,
            self.experiment.lease_ms,
            self.experiment.rules,
        );
        let state = &mut self.hosts[host];
        let now = state.clock.read(net.now_ms);
        state.paused_until_ms = 0;
        state.process = Some(Process::new(host, run, lease_ms, rules, now));
        net.schedule(0, Event::Tick { host, run });
    }

    pub(crate) fn tick(&mut self, host: usize, run: u64, net: &mut Net) {
        self.step_controller(host, OwnershipEvent::Tick, net);
        net.schedule(TICK_MS, Event::Tick { host, run });
    }

    pub(crate) fn heal_partition(&mut self) {
        for state in &mut self.hosts {
            state.network_side = false;
        }
    }

    /// Returns a random host that is live, as a directory would return to callers.
    pub(crate) fn pick_host(&self, net: &mut Net) -> usize {
        let first = net.rng.random_range(0..self.hosts.len());
        let mut order = (0..self.hosts.len()).map(|i| (first + i) % self.hosts.len());
        order
            .find(|host| self.is_live(first, *host, net))
            .unwrap_or(first)
    }

    fn is_live(&self, from: usize, other: usize, net: &Net) -> bool {
        let (state, other) = (&self.hosts[from], &self.hosts[other]);
        let process = other.process.as_ref();
        let is_running = process.is_some_and(|process| !process.is_leaving);
        is_running
            && other.paused_until_ms <= net.now_ms
            && state.network_side == other.network_side
    }

    /// Returns the owner of a key according to a host.
    pub(crate) fn owner(&self, host: usize, key: IdempotencyKey) -> Option<usize> {
        let name = self.hosts[host].process.as_ref()?.owner(key)?;
        self.index_of(&name)
    }

    fn index_of(&self, name: &Name) -> Option<usize> {
        (0..self.hosts.len()).find(|index| host_name(*index) == *name)
    }

    /// Sends a message between hosts. It may arrive twice, and is dropped by a network partition.
    pub(crate) fn send(&self, from: usize, to: usize, event: Event, net: &mut Net) {
        if self.hosts[from].network_side != self.hosts[to].network_side {
            return;
        }
        if net.chance(net.faults.duplicated_permille) {
            net.send(event.clone());
        }
        net.send(event);
    }

    /// Steps the ownership controller of a host and applies its effects.
    pub(crate) fn step_controller(&mut self, host: usize, event: OwnershipEvent, net: &mut Net) {
        let live: Vec<usize> = (0..self.hosts.len())
            .filter(|other| *other != host && self.is_live(host, *other, net))
            .collect();
        let now = self.now(host, net);
        let Some(process) = self.process(host) else {
            return;
        };
        process.set_live(&live);
        let run = process.run;
        for effect in process.step(event, now) {
            self.apply_effect(host, run, effect, net);
        }
    }

    fn apply_effect(&mut self, host: usize, run: u64, effect: OwnershipEffect, net: &mut Net) {
        match effect {
            OwnershipEffect::Read { id } => net.schedule(2, Event::StoreRead { host, run, id }),
            OwnershipEffect::Write { id, rows: parts } => {
                let delay_ms = net.rng.random_range(1..=10);
                let event = Event::StoreWrite {
                    host,
                    run,
                    id,
                    parts,
                };
                net.schedule(delay_ms, event);
            }
            OwnershipEffect::HandOverClaims(hand_overs) => {
                for hand_over in hand_overs {
                    let to = hand_over
                        .to
                        .as_ref()
                        .and_then(|(name, _)| self.index_of(name));
                    let handed = self
                        .process(host)
                        .map(|process| process.hand_over(&hand_over));
                    if let Some((to, handed)) = to.zip(handed) {
                        self.send(host, to, Event::HandOver { host: to, handed }, net);
                    }
                }
                let event = OwnershipEvent::ClaimsHandedOver;
                net.schedule(100, Event::StepController { host, run, event });
            }
            OwnershipEffect::AdoptClaims {
                partition,
                giver,
                from_wall_ms,
            } => {
                let now = self.now(host, net);
                if let Some(process) = self.process(host) {
                    process.claims.adopt(partition, &giver, from_wall_ms, now);
                }
            }
            OwnershipEffect::Record(record) => {
                if let RecordEvent::Ownership {
                    taken,
                    released,
                    epoch,
                } = record.event
                {
                    net.trace(|| {
                        format!("host{host} epoch {epoch}: took {taken}, lost {released}")
                    });
                }
            }
            OwnershipEffect::Stopped => {
                self.hosts[host].process = None;
                net.schedule(STOP_RESTART_DELAY_MS, Event::Start { host });
            }
        }
    }

    pub(crate) fn store_read(&self, host: usize, run: u64, id: u64, net: &mut Net) {
        let event = if self.store.is_down(net.now_ms) {
            OwnershipEvent::ReadFailed { id }
        } else {
            let rows = self.store.rows.clone();
            OwnershipEvent::RowsRead { id, rows }
        };
        net.schedule(2, Event::StepController { host, run, event });
    }

    pub(crate) fn store_write(
        &mut self,
        (host, run, id): (usize, u64, u64),
        parts: Vec<RowWrite>,
        net: &mut Net,
    ) {
        let (result, delay_ms) = if self.store.is_down(net.now_ms) {
            (TransactionResult::Unavailable, 2)
        } else if net.chance(net.faults.lost_write_permille) {
            let max_ms = if net.chance(500) {
                0
            } else {
                MAX_WRITE_DELAY_MS
            };
            let delay_ms = net.rng.random_range(0..=max_ms);
            net.schedule(delay_ms, Event::LateWrite { parts });
            (TransactionResult::Unknown, WRITE_TIMEOUT_MS)
        } else {
            (self.store.write(parts), 2)
        };
        let event = OwnershipEvent::Written { id, result };
        net.schedule(delay_ms, Event::StepController { host, run, event });
    }

    pub(crate) fn late_write(&mut self, parts: Vec<RowWrite>) {
        self.store.write(parts);
    }

    /// Decides on a claim at a host; `None` if no process runs there.
    pub(crate) fn claim(
        &mut self,
        host: usize,
        request: &ClaimRequest,
        net: &Net,
    ) -> Option<ClaimResponse> {
        let now = self.now(host, net);
        self.process(host)
            .map(|process| process.claim(request, now))
    }

    pub(crate) fn settle(&mut self, host: usize, settlement: Settlement, net: &Net) {
        let now = self.now(host, net);
        if let Some(process) = self.process(host) {
            process.settle(settlement, now);
        }
    }

    pub(crate) fn take_over(&mut self, host: usize, handed: HandedPartition, net: &mut Net) {
        let (partition, giver) = (handed.partition, handed.giver.clone());
        if let Some(process) = self.process(host) {
            process.claims.take_over(handed);
        }
        self.step_controller(
            host,
            OwnershipEvent::ClaimsReceived { partition, giver },
            net,
        );
    }

    /// Injects the faults of one second.
    pub(crate) fn inject_faults(&mut self, net: &mut Net) {
        let faults = net.faults;
        let host = net.rng.random_range(0..self.hosts.len());
        if net.chance(faults.kill_permille) {
            self.kill(host, net);
            let delay_ms = RESTART_DELAYS_MS[net.rng.random_range(0..RESTART_DELAYS_MS.len())];
            net.schedule(delay_ms, Event::Start { host });
        }
        if net.chance(faults.stop_permille) && self.is_running(host, None) {
            self.faults += 1;
            self.step_controller(host, OwnershipEvent::StopRequested, net);
        }
        if net.chance(faults.pause_permille) {
            self.pause(host, net);
        }
        if net.chance(faults.network_partition_permille) {
            self.faults += 1;
            for state in &mut self.hosts {
                state.network_side = net.rng.random();
            }
            let delay_ms = net.rng.random_range(1_000..MAX_PARTITION_MS);
            net.schedule(delay_ms, Event::HealPartition);
        }
        if net.chance(faults.outage_permille) {
            self.faults += 1;
            let length_ms = net.rng.random_range(1_000..MAX_OUTAGE_MS);
            self.store.down_until_ms = net.now_ms + length_ms;
        }
        if net.chance(CLOCK_STEP_PERMILLE) {
            self.hosts[host].clock.step(&mut net.rng);
        }
    }
}
