//! Runs a fleet of entry hosts in one process and in virtual time.
//!
//! Messages arrive at once and nothing fails, so the counts are the cost of the steady state.

use crate::encoding::framed_bytes;
use crate::fleet_host::FleetHost;
use crate::local_controllers::LocalControllers;
use crate::store::Store;
use crate::{Samples, Size, Traffic, synthetic};
use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, HostRecord, WarmTarget};
use heatherhinge_controllers::{
    ExchangeTicket, ListedHost, MembershipEffect, MembershipEvent, OwnershipEffect, OwnershipEvent,
};
use heatherhinge_types::{MonoNs, Now, Partition};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Tick interval of the daemon.
const TICK_MS: u64 = 100;
/// Ticks between two reads of the platform's list.
const LIST_TICKS: u64 = 10;

/// A synthetic fleet. Host 0 runs all controllers and is the one that is measured.
pub struct Fleet {
    hosts: Vec<FleetHost>,
    by_addr: BTreeMap<SocketAddr, usize>,
    store: Store,
    warm: BTreeMap<Partition, Vec<WarmTarget>>,
    pub(crate) local_controllers: LocalControllers,
    listed: Vec<ListedHost>,
    now: Now,
    ticks: u64,
    is_busy: bool,
    pub(crate) samples: Samples,
}

impl Fleet {
    /// Makes a fleet of this size.
    ///
    /// # Errors
    ///
    /// Fails when the synthetic bundle is not valid.
    pub fn new(size: Size) -> eyre::Result<Self> {
        let now = Now {
            mono_ns: MonoNs::from_ms(1_000),
            wall_ms: synthetic::START_WALL_MS,
        };
        let bundle = Arc::new(synthetic::bundle(size, 1)?);
        let listed: Vec<_> = (0..size.hosts)
            .map(|number| ListedHost {
                host: synthetic::host_name(number),
                peer_addr: synthetic::host_addr(number),
            })
            .collect();
        let mut hosts: Vec<_> = (0..size.hosts)
            .map(|number| FleetHost::new(number, Arc::clone(&bundle), &listed, now))
            .collect();
        let writers = hosts.first_mut().and_then(|host| host.local_writers.take());
        let writers = writers.ok_or_else(|| eyre::eyre!("sizing: a fleet needs a host"))?;
        Ok(Self {
            hosts,
            by_addr: (0..size.hosts)
                .map(|n| (synthetic::host_addr(n), n))
                .collect(),
            store: Store::default(),
            warm: synthetic::warm_by_partition(size),
            local_controllers: LocalControllers::new(size, writers)?,
            listed,
            now,
            ticks: 0,
            is_busy: false,
            samples: Samples::default(),
        })
    }

    /// Sets whether the record of every host changes in each round, as its counts of refusals,
    /// retries and probes do under load.
    pub fn set_busy(&mut self, is_busy: bool) {
        self.is_busy = is_busy;
    }

    /// Marks all targets in the partitions of host 0 as warm.
    pub fn warm_up(&mut self) {
        let board = Arc::clone(&self.hosts[0].board);
        let owners = board.owners.read_owned();
        for (partition, targets) in &self.warm {
            let is_own = owners
                .value
                .owner(*partition)
                .is_some_and(|owner| owner.host == board.host);
            for warm in targets.iter().filter(|_| is_own) {
                self.local_controllers
                    .warm_target(&board, warm, self.now, &mut self.samples);
            }
        }
    }

    /// Returns the number of targets that host 0 may send to.
    #[must_use]
    pub fn usable_targets(&self) -> usize {
        let routing = self.hosts[0].board.routing.read();
        let pools = routing.value.services.values().flat_map(|s| &s.pools);
        pools.map(|pool| pool.warm.len()).sum()
    }

    /// Returns the number of live hosts in the host table of host 0, itself included.
    #[must_use]
    pub fn live_hosts(&self) -> usize {
        self.hosts[0].board.hosts.read().value.live().count()
    }

    /// Returns the number of partitions with an owner.
    #[must_use]
    pub fn owned_partitions(&self) -> usize {
        self.store.rows.partitions.len()
    }

    /// Resets all counts and times.
    pub fn clear(&mut self) {
        self.samples.clear();
        self.hosts[0].traffic = Traffic::default();
        self.local_controllers.row_reads = 0;
        self.local_controllers.envelope_bytes = 0;
    }

    /// Returns the traffic of host 0 since the last [`Fleet::clear`].
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.hosts[0].traffic
    }

    /// Returns the size in bytes of the response to one scan of the ownership rows.
    pub fn scan_bytes(&mut self) -> u64 {
        self.store.scan_bytes()
    }

    /// Runs the fleet for this virtual time.
    ///
    /// # Errors
    ///
    /// Fails when a message cannot be encoded.
    pub fn run(&mut self, seconds: u64) -> eyre::Result<()> {
        for _ in 0..seconds * 1_000 / TICK_MS {
            self.now = self.now.plus_ms(TICK_MS);
            self.ticks += 1;
            for number in 0..self.hosts.len() {
                // Hosts start at different ticks, so that their rounds do not coincide.
                if self.ticks > number as u64 % 5 {
                    self.tick_host(number)?;
                }
            }
            self.tick_local()?;
        }
        Ok(())
    }

    fn tick_local(&mut self) -> eyre::Result<()> {
        let board = Arc::clone(&self.hosts[0].board);
        self.local_controllers
            .tick(&board, self.now, &mut self.samples)?;
        if self.ticks.is_multiple_of(LIST_TICKS) {
            let listed = self.listed.clone();
            self.step_membership(0, MembershipEvent::Listed(listed));
            self.local_controllers
                .read_list(&board, self.now, &mut self.samples)?;
        }
        Ok(())
    }

    fn tick_host(&mut self, number: usize) -> eyre::Result<()> {
        let refusals = if self.is_busy { self.ticks } else { 0 };
        let update_record = self.hosts[number].update_record(&self.warm, refusals);
        let mut queue = VecDeque::new();
        for event in update_record.into_iter().chain([MembershipEvent::Tick]) {
            let effects = self.step_membership(number, event);
            queue.extend(effects.into_iter().map(|effect| (number, effect)));
        }
        while let Some((from, effect)) = queue.pop_front() {
            if let MembershipEffect::Exchange { ticket, request } = effect {
                self.exchange(from, ticket, request, &mut queue)?;
            }
        }
        self.tick_ownership(number);
        Ok(())
    }

    fn step_membership(&mut self, number: usize, event: MembershipEvent) -> Vec<MembershipEffect> {
        let now = self.now;
        let host = &mut self.hosts[number];
        if number != 0 {
            return host.step_membership(event, now);
        }
        let kind = match event {
            MembershipEvent::OwnRecordChanged(_) => "membership own record",
            MembershipEvent::RequestReceived(_) => "membership asked",
            MembershipEvent::ResponseReceived { .. } => "membership answered",
            MembershipEvent::Listed(_) => "membership list",
            MembershipEvent::Tick => "membership tick",
        };
        self.samples.time(kind, || host.step_membership(event, now))
    }

    fn exchange(
        &mut self,
        from: usize,
        ticket: ExchangeTicket,
        request: ExchangeRequest,
        queue: &mut VecDeque<(usize, MembershipEffect)>,
    ) -> eyre::Result<()> {
        let Some(&to) = self.by_addr.get(&ticket.peer_addr) else {
            return Ok(());
        };
        if from == 0 || to == 0 {
            self.count(from, &request, &request.records)?;
        }
        let mut answer = None;
        for effect in self.step_membership(to, MembershipEvent::RequestReceived(request)) {
            match effect {
                MembershipEffect::Respond(response) => answer = Some(response),
                MembershipEffect::Exchange { .. } => queue.push_back((to, effect)),
            }
        }
        let Some(answer) = answer else { return Ok(()) };
        if from == 0 || to == 0 {
            self.count_response(to, &answer)?;
        }
        let effects =
            self.step_membership(from, MembershipEvent::ResponseReceived { ticket, answer });
        queue.extend(effects.into_iter().map(|effect| (from, effect)));
        Ok(())
    }

    fn count_response(&mut self, sender: usize, answer: &ExchangeResponse) -> eyre::Result<()> {
        self.count(sender, answer, &answer.records)
    }

    /// Counts a message that host 0 sent or received.
    fn count<T: serde::Serialize>(
        &mut self,
        sender: usize,
        message: &T,
        records: &[HostRecord],
    ) -> eyre::Result<()> {
        let bytes = self
            .samples
            .time("exchange encode", || framed_bytes(message))?;
        let traffic = &mut self.hosts[0].traffic;
        if sender == 0 {
            traffic.peer_messages_out += 1;
            traffic.peer_bytes_out += bytes;
        } else {
            traffic.peer_bytes_in += bytes;
        }
        for record in records {
            traffic.record_bytes += framed_bytes(record)? - crate::CALL_BYTES;
        }
        Ok(())
    }

    fn tick_ownership(&mut self, number: usize) {
        let mut events = VecDeque::from([OwnershipEvent::Tick]);
        while let Some(event) = events.pop_front() {
            for effect in self.step_ownership(number, event) {
                match effect {
                    OwnershipEffect::Read { id } => {
                        let rows = self.store.rows.clone();
                        let bytes = self.store.scan_bytes();
                        let traffic = &mut self.hosts[number].traffic;
                        traffic.owner_reads += 1;
                        traffic.owner_read_bytes += bytes;
                        events.push_back(OwnershipEvent::RowsRead { id, rows });
                    }
                    OwnershipEffect::Write { id, rows } => {
                        let result = self.store.write(rows);
                        self.hosts[number].traffic.owner_writes += 1;
                        events.push_back(OwnershipEvent::Written { id, result });
                    }
                    OwnershipEffect::HandOverClaims(_) => {
                        events.push_back(OwnershipEvent::ClaimsHandedOver);
                    }
                    _ => {}
                }
            }
        }
    }

    fn step_ownership(&mut self, number: usize, event: OwnershipEvent) -> Vec<OwnershipEffect> {
        let now = self.now;
        let host = &mut self.hosts[number];
        if number != 0 {
            return host.step_ownership(event, now);
        }
        let kind = match event {
            OwnershipEvent::RowsRead { .. } => "ownership rows",
            OwnershipEvent::Written { .. } => "ownership written",
            _ => "ownership tick",
        };
        self.samples.time(kind, || host.step_ownership(event, now))
    }
}
