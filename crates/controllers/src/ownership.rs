//! Acquires and renews the host's lease, takes over partitions and releases them.
//!
//! It is the only writer of the `owners` entry; `docs/design.md`, sections 6 and 22.

use crate::adoption::{Adoption, tenure_of};
use crate::decision_record::decision_record;
use crate::host_lease::{HostLease, LeaseContext, LeaseEnd, LeaseEvent, State};
use crate::rendezvous::preferred;
use crate::takeover::Takeover;
use crate::{
    Controller, HandOver, HostIdentity, OwnershipEffect, OwnershipEvent, OwnershipRows,
    PartitionRow, RowWrite, TransactionResult,
};
use heatherhinge_blackboard::{Blackboard, Owner, OwnerTable, Writer};
use heatherhinge_claims::TenureId;
use heatherhinge_records::{RecordEvent, Subject};
use heatherhinge_types::{MonoNs, Name, Now, Partition};
use statig::blocking::{IntoStateMachineExt as _, StateMachine};
use std::fmt;
use std::net::SocketAddr;

/// Shortest time between two reads of the rows. It grows by 20 ms with each row, so that a fleet
/// of 190 hosts, with 446 rows of about 150 bytes, reads less than 8 KB/s on each host.
pub const OWNERSHIP_READ_INTERVAL_MS: u64 = 1_000;
const READ_INTERVAL_PER_ROW_MS: u64 = 20;

/// Shortest time between two reads after a stale owner was reported. Requests with a key wait for
/// this read, and such reports come only with a change of owners.
const STALE_READ_INTERVAL_MS: u64 = 200;

/// Delay after the store could not be reached.
const STORE_BACKOFF_MS: u64 = 1_000;

/// Delay of the next write after one whose outcome is unknown or that lost against another. Without
/// it, responses that are lost at once would make this host write without end.
const WRITE_BACKOFF_MS: u64 = 200;

/// Length of the lease until the first bundle sets one.
const DEFAULT_LEASE_MS: u64 = 120_000;

/// Purpose of a write in flight.
#[derive(Debug)]
enum Purpose {
    Lease,
    Takes(Vec<RowWrite>),
}

/// Maintains the host's lease and the owners of the partitions.
pub struct OwnershipController {
    writer: Writer<OwnerTable>,
    lease: StateMachine<HostLease>,
    me: HostIdentity,
    rows: OwnershipRows,
    takeover: Takeover,
    adoption: Adoption,
    next_id: u64,
    write: Option<(u64, Purpose)>,
    read: Option<u64>,
    /// Reads with a lower number may have missed the last write.
    first_valid_read: u64,
    /// Whether the rows have to be read before the next write.
    must_read_first: bool,
    /// Whether a stale owner was reported since the last read.
    is_reported_stale: bool,
    /// Time between two reads while a stale owner is reported.
    stale_read_interval_ms: u64,
    last_read_ns: Option<MonoNs>,
    read_after_ns: MonoNs,
    write_after_ns: MonoNs,
    is_stopped: bool,
}

impl fmt::Debug for OwnershipController {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OwnershipController")
            .field("lease", self.lease.state())
            .field("write", &self.write)
            .finish_non_exhaustive()
    }
}

impl OwnershipController {
    /// Creates the controller from the only writer of the owners entry. The daemon must have bound
    /// the peer address in `me` before.
    #[must_use]
    pub fn new(writer: Writer<OwnerTable>, me: HostIdentity, now: Now) -> Self {
        Self {
            writer,
            lease: HostLease::new(me.clone()).state_machine(),
            me,
            rows: OwnershipRows::default(),
            takeover: Takeover::new(now),
            adoption: Adoption::default(),
            next_id: 1,
            write: None,
            read: None,
            first_valid_read: 0,
            must_read_first: true,
            is_reported_stale: false,
            stale_read_interval_ms: STALE_READ_INTERVAL_MS,
            last_read_ns: None,
            read_after_ns: MonoNs(0),
            write_after_ns: MonoNs(0),
            is_stopped: false,
        }
    }

    fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn apply_rows(&mut self, id: u64, rows: OwnershipRows, now: Now) -> Option<LeaseEvent> {
        if self.read == Some(id) {
            self.read = None;
        }
        if id < self.first_valid_read || self.write.is_some() {
            return None;
        }
        // While an owner is down, every request for its partitions reports it as stale until its
        // lease has lapsed. Reads that find no change become rarer, to limit the load on the store.
        if self.rows.partitions != rows.partitions {
            self.stale_read_interval_ms = STALE_READ_INTERVAL_MS;
        } else if self.is_reported_stale {
            self.stale_read_interval_ms = self.stale_read_interval_ms.saturating_mul(2);
        }
        self.rows = rows;
        self.must_read_first = false;
        self.is_reported_stale = false;
        self.last_read_ns = Some(now.mono_ns);
        self.adoption.drop_outdated(&self.rows, &self.me.host);
        Some(LeaseEvent::RowRead(
            self.rows.hosts.get(&self.me.host).cloned(),
        ))
    }

    fn apply_write_result(
        &mut self,
        id: u64,
        result: TransactionResult,
        now: Now,
    ) -> Option<LeaseEvent> {
        let (_, purpose) = self.write.take_if(|(write_id, _)| *write_id == id)?;
        self.first_valid_read = self.next_id + 1;
        match result {
            TransactionResult::Applied => {}
            TransactionResult::Unavailable => {
                self.write_after_ns = now.mono_ns.plus_ms(STORE_BACKOFF_MS);
                self.takeover.record_outage(now);
            }
            TransactionResult::Conflict | TransactionResult::Unknown => {
                self.must_read_first = true;
                self.write_after_ns = now.mono_ns.plus_ms(WRITE_BACKOFF_MS);
            }
        }
        match purpose {
            Purpose::Lease => Some(LeaseEvent::Written(result)),
            Purpose::Takes(parts) => {
                if result == TransactionResult::Applied {
                    self.rows.apply(parts);
                }
                None
            }
        }
    }

    fn apply_event(&mut self, event: OwnershipEvent, now: Now) -> LeaseEvent {
        let lease_event = match event {
            OwnershipEvent::RowsRead { id, rows } => self.apply_rows(id, rows, now),
            OwnershipEvent::ReadFailed { id } => {
                self.read.take_if(|read| *read == id);
                self.read_after_ns = now.mono_ns.plus_ms(STORE_BACKOFF_MS);
                self.takeover.record_outage(now);
                None
            }
            OwnershipEvent::Written { id, result } => self.apply_write_result(id, result, now),
            OwnershipEvent::ClaimsReceived { partition, giver } => {
                self.adoption.record_received(partition, giver);
                None
            }
            OwnershipEvent::StaleOwnerReported => {
                self.is_reported_stale = true;
                None
            }
            OwnershipEvent::ClaimsHandedOver => Some(LeaseEvent::ClaimsHandedOver),
            OwnershipEvent::StopRequested => Some(LeaseEvent::StopRequested),
            OwnershipEvent::Tick => None,
        };
        lease_event.unwrap_or(LeaseEvent::Tick)
    }

    fn may_write(&self, now: Now) -> bool {
        self.write.is_none() && !self.must_read_first && now.mono_ns >= self.write_after_ns
    }

    fn start_write(&mut self, parts: Vec<RowWrite>, purpose: Purpose) -> OwnershipEffect {
        let id = self.allocate_id();
        self.write = Some((id, purpose));
        OwnershipEffect::Write { id, rows: parts }
    }

    /// Steps the lease and returns the effects that it requests.
    fn step_lease(
        &mut self,
        board: &Blackboard,
        event: &LeaseEvent,
        now: Now,
    ) -> Vec<OwnershipEffect> {
        let mut context = LeaseContext {
            now,
            lease_ms: lease_ms(board),
            // The first lease waits for the bundle, which sets its length: a lease that is longer
            // than the bundle's is not renewed, and so not shortened, until it nearly ends.
            may_write: self.may_write(now) && board.bundle.read().value.is_some(),
            write: None,
            hand_over: false,
            is_stopped: false,
        };
        self.lease.handle_with_context(event, &mut context);
        let mut effects = Vec::new();
        if let Some((row, _)) = self.lease.current() {
            self.rows.hosts.insert(row.host.clone(), row.clone());
        }
        if context.hand_over {
            effects.push(OwnershipEffect::HandOverClaims(self.hand_overs(board)));
        }
        if let Some((row, condition)) = context.write {
            let parts = vec![RowWrite::Host { row, condition }];
            effects.push(self.start_write(parts, Purpose::Lease));
        }
        if context.is_stopped && !self.is_stopped {
            self.is_stopped = true;
            effects.push(OwnershipEffect::Stopped);
        }
        effects
    }

    fn hand_overs(&self, board: &Blackboard) -> Vec<HandOver> {
        let live = live_peers(board);
        let hand_over = |row: &PartitionRow| {
            let next = preferred(row.partition, live.iter().map(|(name, _)| name));
            HandOver {
                partition: row.partition,
                giver: tenure_of(row),
                has_earlier_claims: self.adoption.giver(row).is_some(),
                to: next.and_then(|next| live.iter().find(|(name, _)| name == next).cloned()),
            }
        };
        self.own_rows().map(hand_over).collect()
    }

    fn own_rows(&self) -> impl Iterator<Item = &PartitionRow> {
        let epoch = self.lease.current().map(|(row, _)| row.epoch);
        self.rows
            .partitions
            .values()
            .filter(move |row| row.owner == self.me.host && Some(row.owner_epoch) == epoch)
    }

    fn plan_takeover(&mut self, board: &Blackboard, now: Now) -> Option<OwnershipEffect> {
        if *self.lease.state() != (State::Held {}) || !self.may_write(now) {
            return None;
        }
        let me = self.lease.current()?.0.clone();
        let mut live: Vec<Name> = live_peers(board)
            .into_iter()
            .map(|(name, _)| name)
            .collect();
        live.push(me.host.clone());
        let parts = self.takeover.plan(&self.rows, &me, &live, now);
        if parts.is_empty() {
            return None;
        }
        self.adoption.record_takeover(&parts);
        Some(self.start_write(parts.clone(), Purpose::Takes(parts)))
    }

    fn plan_read(&mut self, now: Now) -> Option<OwnershipEffect> {
        let rows = self.rows.hosts.len() + self.rows.partitions.len();
        let rows = u64::try_from(rows).unwrap_or(u64::MAX);
        let usual_ms =
            OWNERSHIP_READ_INTERVAL_MS.max(rows.saturating_mul(READ_INTERVAL_PER_ROW_MS));
        let interval_ms = if self.is_reported_stale {
            usual_ms.min(self.stale_read_interval_ms)
        } else if self.adoption.expects_takeover(&self.rows) {
            OWNERSHIP_READ_INTERVAL_MS
        } else {
            usual_ms
        };
        let is_due = self.must_read_first
            || self
                .last_read_ns
                .is_none_or(|last| now.mono_ns.ms_since(last) >= interval_ms);
        let may_read =
            self.read.is_none() && self.write.is_none() && now.mono_ns >= self.read_after_ns;
        if !is_due || !may_read || self.is_stopped {
            return None;
        }
        let id = self.allocate_id();
        self.read = Some(id);
        Some(OwnershipEffect::Read { id })
    }

    /// Returns the epoch and the end of the lease to publish.
    ///
    /// While the host releases its lease it owns no partition, so that it cannot grant claims after
    /// it has handed them over.
    fn held(&self) -> Option<(u64, LeaseEnd)> {
        let is_releasing = *self.lease.state() == (State::Releasing {});
        let current = self.lease.current().filter(|_| !is_releasing);
        current.map(|(row, end)| (row.epoch, end))
    }

    fn owner_of(&self, row: &PartitionRow, is_held: bool) -> Option<Owner> {
        let host = self.rows.hosts.get(&row.owner)?;
        let is_own = row.owner == self.me.host;
        if host.epoch != row.owner_epoch || host.is_ended || (is_own && !is_held) {
            return None;
        }
        Some(Owner {
            host: row.owner.clone(),
            peer_addr: host.peer_addr,
            epoch: row.owner_epoch,
            from_wall_ms: row.from_wall_ms,
            lease_until_wall_ms: host.lease_until_wall_ms,
            has_earlier_claims: is_own && self.adoption.giver(row).is_some(),
        })
    }

    /// Publishes the entry and returns the adoptions and records that follow from the change.
    fn publish(&mut self, board: &Blackboard, received: bool, now: Now) -> Vec<OwnershipEffect> {
        let held = self.held();
        let mut table = OwnerTable::default();
        if let Some((_, end)) = held {
            table.own_lease_until_wall_ms = end.wall_ms;
            table.own_lease_until_ns = end.mono_ns;
        }
        let (mut effects, mut taken, mut released) = (Vec::new(), 0, 0);
        let old = self.writer.read();
        for partition in Partition::all() {
            let row = self.rows.partitions.get(&partition);
            let owner = row.and_then(|row| self.owner_of(row, held.is_some()));
            let is_own = |owner: Option<&Owner>| owner.is_some_and(|o| o.host == self.me.host);
            let before = old.value.owner(partition);
            taken += u32::from(is_own(owner.as_ref()) && !is_own(before));
            released += u32::from(is_own(before) && !is_own(owner.as_ref()));
            let adopts = owner.as_ref().filter(|owner| owner.has_earlier_claims);
            let adopted_before = before.is_some_and(|owner| owner.has_earlier_claims);
            if let Some((row, _)) = row.zip(adopts).filter(|_| received || !adopted_before) {
                effects.extend(self.adoption.giver(row).map(|giver| adopt(row, giver)));
            }
            table.set(partition, owner);
        }
        drop(old);
        self.writer.publish_if_changed(table);
        if taken + released > 0 {
            let epoch = held.map_or(0, |(epoch, _)| epoch);
            let event = RecordEvent::Ownership {
                taken,
                released,
                epoch,
            };
            effects.push(OwnershipEffect::Record(decision_record(
                board,
                now,
                Subject::Host,
                event,
            )));
        }
        effects
    }
}

impl Controller for OwnershipController {
    type Event = OwnershipEvent;
    type Effect = OwnershipEffect;

    fn step(
        &mut self,
        board: &Blackboard,
        event: OwnershipEvent,
        now: Now,
    ) -> Vec<OwnershipEffect> {
        let received = matches!(event, OwnershipEvent::ClaimsReceived { .. });
        let is_tick = matches!(event, OwnershipEvent::Tick);
        let held_before = self.held();
        let lease_event = self.apply_event(event, now);
        let mut effects = self.step_lease(board, &lease_event, now);
        effects.extend(self.plan_takeover(board, now));
        effects.extend(self.plan_read(now));
        // The rows change only with other events, so most ticks leave the entry as it is.
        if !is_tick || held_before != self.held() {
            effects.extend(self.publish(board, received, now));
        }
        effects
    }
}

fn adopt(row: &PartitionRow, giver: &TenureId) -> OwnershipEffect {
    OwnershipEffect::AdoptClaims {
        partition: row.partition,
        giver: giver.clone(),
        from_wall_ms: row.from_wall_ms,
    }
}

fn lease_ms(board: &Blackboard) -> u64 {
    let bundle = board.bundle.read();
    bundle
        .value
        .as_ref()
        .map_or(DEFAULT_LEASE_MS, |bundle| bundle.budget.lease_ms)
}

/// Returns the other live hosts that take callers, with the addresses of their peer protocol.
fn live_peers(board: &Blackboard) -> Vec<(Name, SocketAddr)> {
    let hosts = board.hosts.read();
    hosts
        .value
        .live()
        .filter(|entry| entry.record.takes_callers && entry.record.host != board.host)
        .map(|entry| (entry.record.host.clone(), entry.record.peer_addr))
        .collect()
}
