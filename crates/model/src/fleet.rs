//! The entry hosts and their store.

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
const LONGEST_CUT_MS: u64 = 20_000;
const LONGEST_OUTAGE_MS: u64 = 30_000;
/// Longest time after which a write takes effect whose answer was lost.
const LATEST_WRITE_MS: u64 = 20_000;
/// Time after which a host that waits for the answer to a write gives up.
const WRITE_TIMEOUT_MS: u64 = 2_000;
/// Times after which a killed host starts again: at once, soon, and after its lease has lapsed.
const RESTARTS_MS: [u64; 3] = [50, 2_000, 30_000];
const RESTART_AFTER_STOP_MS: u64 = 3_000;
/// Seconds in thousandths in which a wall clock is stepped.
const CLOCK_STEP_PERMILLE: u32 = 200;

/// One entry host: the process that runs on it, if any.
#[derive(Debug)]
struct Place {
    process: Option<Process>,
    clock: Clock,
    paused_until_ms: u64,
    side: bool,
}

/// The entry hosts and their store.
#[derive(Debug)]
pub(crate) struct Fleet {
    plan: Experiment,
    places: Vec<Place>,
    store: Store,
    next_run: u64,
    /// Faults of hosts, network and store that struck.
    pub(crate) faults: usize,
}

impl Fleet {
    pub(crate) fn new(plan: Experiment, net: &mut Net) -> Self {
        let place = |_| Place {
            process: None,
            clock: Clock::new(plan.faults.clock_error_ms, &mut net.rng),
            paused_until_ms: 0,
            side: false,
        };
        let places: Vec<_> = (0..plan.hosts).map(place).collect();
        for host in 0..places.len() {
            net.after(0, Event::Start { host });
        }
        Self {
            plan,
            places,
            store: Store::default(),
            next_run: 0,
            faults: 0,
        }
    }

    /// Reads the clocks of a host.
    pub(crate) fn now(&self, host: usize, net: &Net) -> Now {
        self.places[host].clock.read(net.now_ms)
    }

    pub(crate) fn process(&mut self, host: usize) -> Option<&mut Process> {
        self.places[host].process.as_mut()
    }

    /// Returns whether a process runs on a host, and whether it is `run` if that is given.
    pub(crate) fn runs(&self, host: usize, run: Option<u64>) -> bool {
        let process = self.places[host].process.as_ref();
        process.is_some_and(|process| run.is_none_or(|run| run == process.run))
    }

    pub(crate) fn paused_until_ms(&self, host: usize) -> u64 {
        self.places[host].paused_until_ms
    }

    pub(crate) fn pause(&mut self, host: usize, net: &Net) {
        self.faults += 1;
        self.places[host].paused_until_ms = net.now_ms + HOST_PAUSE_MS;
    }

    pub(crate) fn kill(&mut self, host: usize, net: &mut Net) {
        self.faults += 1;
        self.places[host].process = None;
        net.trace(|| format!("host{host} is killed"));
    }

    pub(crate) fn start(&mut self, host: usize, net: &mut Net) {
        if self.places[host].process.is_some() {
            return;
        }
        self.next_run += 1;
        let (run, lease_ms, rules) = (self.next_run, self.plan.lease_ms, self.plan.rules);
        let place = &mut self.places[host];
        let now = place.clock.read(net.now_ms);
        place.paused_until_ms = 0;
        place.process = Some(Process::new(host, run, lease_ms, rules, now));
        net.after(0, Event::Tick { host, run });
    }

    pub(crate) fn tick(&mut self, host: usize, run: u64, net: &mut Net) {
        self.control(host, OwnershipEvent::Tick, net);
        net.after(TICK_MS, Event::Tick { host, run });
    }

    pub(crate) fn heal_partition(&mut self) {
        for place in &mut self.places {
            place.side = false;
        }
    }

    /// Returns a host that the addresses name to callers.
    pub(crate) fn any_host(&self, net: &mut Net) -> usize {
        let first = net.rng.random_range(0..self.places.len());
        let mut order = (0..self.places.len()).map(|i| (first + i) % self.places.len());
        order
            .find(|host| self.is_live(first, *host, net))
            .unwrap_or(first)
    }

    fn is_live(&self, from: usize, other: usize, net: &Net) -> bool {
        let (place, other) = (&self.places[from], &self.places[other]);
        let process = other.process.as_ref();
        let is_running = process.is_some_and(|process| !process.is_leaving);
        is_running && other.paused_until_ms <= net.now_ms && place.side == other.side
    }

    /// Returns the owner of a key as a host knows it.
    pub(crate) fn owner(&self, host: usize, key: IdempotencyKey) -> Option<usize> {
        let name = self.places[host].process.as_ref()?.owner(key)?;
        self.index_of(&name)
    }

    fn index_of(&self, name: &Name) -> Option<usize> {
        (0..self.places.len()).find(|index| host_name(*index) == *name)
    }

    /// Sends a message between hosts, which may arrive twice or be cut off.
    pub(crate) fn send(&self, from: usize, to: usize, event: Event, net: &mut Net) {
        if self.places[from].side != self.places[to].side {
            return;
        }
        if net.chance(net.faults.duplicated_permille) {
            net.send(event.clone());
        }
        net.send(event);
    }

    /// Steps the ownership controller of a host and carries its effects out.
    pub(crate) fn control(&mut self, host: usize, event: OwnershipEvent, net: &mut Net) {
        let live: Vec<usize> = (0..self.places.len())
            .filter(|other| *other != host && self.is_live(host, *other, net))
            .collect();
        let now = self.now(host, net);
        let Some(process) = self.process(host) else {
            return;
        };
        process.set_live(&live);
        let run = process.run;
        for effect in process.step(event, now) {
            self.carry_out(host, run, effect, net);
        }
    }

    fn carry_out(&mut self, host: usize, run: u64, effect: OwnershipEffect, net: &mut Net) {
        match effect {
            OwnershipEffect::Read { id } => net.after(2, Event::StoreRead { host, run, id }),
            OwnershipEffect::Write { id, rows: parts } => {
                let delay_ms = net.rng.random_range(1..=10);
                let event = Event::StoreWrite {
                    host,
                    run,
                    id,
                    parts,
                };
                net.after(delay_ms, event);
            }
            OwnershipEffect::HandOverClaims(given) => {
                for given in given {
                    let to = given.to.as_ref().and_then(|(name, _)| self.index_of(name));
                    let handed = self.process(host).map(|process| process.close(&given));
                    if let Some((to, handed)) = to.zip(handed) {
                        self.send(host, to, Event::HandOver { host: to, handed }, net);
                    }
                }
                let event = OwnershipEvent::ClaimsHandedOver;
                net.after(100, Event::Control { host, run, event });
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
                self.places[host].process = None;
                net.after(RESTART_AFTER_STOP_MS, Event::Start { host });
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
        net.after(2, Event::Control { host, run, event });
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
            let latest_ms = if net.chance(500) { 0 } else { LATEST_WRITE_MS };
            let delay_ms = net.rng.random_range(0..=latest_ms);
            net.after(delay_ms, Event::LateWrite { parts });
            (TransactionResult::Unknown, WRITE_TIMEOUT_MS)
        } else {
            (self.store.write(parts), 2)
        };
        let event = OwnershipEvent::Written { id, result };
        net.after(delay_ms, Event::Control { host, run, event });
    }

    pub(crate) fn late_write(&mut self, parts: Vec<RowWrite>) {
        self.store.write(parts);
    }

    /// Decides a claim on the host that is asked, if a process runs there.
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
        self.control(
            host,
            OwnershipEvent::ClaimsReceived { partition, giver },
            net,
        );
    }

    /// Lets the faults of one second strike.
    pub(crate) fn inject_faults(&mut self, net: &mut Net) {
        let faults = net.faults;
        let host = net.rng.random_range(0..self.places.len());
        if net.chance(faults.kill_permille) {
            self.kill(host, net);
            let delay_ms = RESTARTS_MS[net.rng.random_range(0..RESTARTS_MS.len())];
            net.after(delay_ms, Event::Start { host });
        }
        if net.chance(faults.stop_permille) && self.runs(host, None) {
            self.faults += 1;
            self.control(host, OwnershipEvent::StopRequested, net);
        }
        if net.chance(faults.pause_permille) {
            self.pause(host, net);
        }
        if net.chance(faults.network_partition_permille) {
            self.faults += 1;
            for place in &mut self.places {
                place.side = net.rng.random();
            }
            let delay_ms = net.rng.random_range(1_000..LONGEST_CUT_MS);
            net.after(delay_ms, Event::HealPartition);
        }
        if net.chance(faults.outage_permille) {
            self.faults += 1;
            let length_ms = net.rng.random_range(1_000..LONGEST_OUTAGE_MS);
            self.store.down_until_ms = net.now_ms + length_ms;
        }
        if net.chance(CLOCK_STEP_PERMILLE) {
            self.places[host].clock.set(&mut net.rng);
        }
    }
}
