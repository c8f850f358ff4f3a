//! Implements the state machine of a host's own lease.

use crate::{HostCondition, HostRow, TransactionResult};
use heatherhinge_types::{CLOCK_ERROR_MS, MonoNs, Name, Now, WallMs};
use statig::prelude::*;
use std::net::SocketAddr;

/// Monotonic clocks may run 1% apart, so the lease ends 1% earlier by the monotonic clock.
const MONO_RATE_ERROR_PERMILLE: u64 = 10;

/// Identity of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostIdentity {
    /// Name of the host.
    pub host: Name,
    /// Address that this process has bound for the peer protocol. As no two processes can bind
    /// it, a lease row with the same name and address proves that its writer is gone.
    pub peer_addr: SocketAddr,
    /// Start of the process by its wall clock.
    pub start_wall_ms: WallMs,
}

/// End of a lease by both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaseEnd {
    pub(crate) wall_ms: WallMs,
    pub(crate) mono_ns: MonoNs,
}

impl LeaseEnd {
    /// Returns the end of a lease that a write sent at `sent` requests.
    fn after(sent: Now, lease_ms: u64) -> Self {
        let mono_ms = lease_ms - lease_ms * MONO_RATE_ERROR_PERMILLE / 1_000;
        Self {
            wall_ms: sent.wall_ms.plus_ms(lease_ms),
            mono_ns: sent.mono_ns.plus_ms(mono_ms),
        }
    }

    fn is_valid(self, now: Now) -> bool {
        now.wall_ms.plus_ms(CLOCK_ERROR_MS) < self.wall_ms
            && now.mono_ns.plus_ms(CLOCK_ERROR_MS) < self.mono_ns
    }

    /// Returns the shorter of the times left by the two clocks.
    fn left_ms(self, now: Now) -> u64 {
        let wall_ms = self.wall_ms.ms_since(now.wall_ms);
        wall_ms.min(self.mono_ns.ms_since(now.mono_ns))
    }
}

/// Events that concern the lease.
#[derive(Clone, Debug)]
pub(crate) enum LeaseEvent {
    /// This host's row was read.
    RowRead(Option<HostRow>),
    /// A write of this host's row ended.
    Written(TransactionResult),
    Tick,
    ClaimsHandedOver,
    StopRequested,
}

/// Inputs and results of one step.
#[derive(Clone, Debug)]
pub(crate) struct LeaseContext {
    pub(crate) now: Now,
    pub(crate) lease_ms: u64,
    /// Whether a write may be requested: none is in flight and the store responded recently.
    pub(crate) may_write: bool,
    pub(crate) write: Option<(HostRow, HostCondition)>,
    pub(crate) hand_over: bool,
    pub(crate) is_stopped: bool,
}

/// A write whose outcome is pending or unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SentLease {
    row: HostRow,
    end: LeaseEnd,
}

/// Data shared by the states of the lease.
#[derive(Debug)]
pub(crate) struct HostLease {
    me: HostIdentity,
    /// The row as last read or written; meaningless unless `is_row_known`.
    row: Option<HostRow>,
    is_row_known: bool,
    end: LeaseEnd,
    sent: Option<SentLease>,
    is_stopping: bool,
    claims_handed_over: bool,
}

impl HostLease {
    pub(crate) fn new(me: HostIdentity) -> Self {
        Self {
            me,
            row: None,
            is_row_known: false,
            end: LeaseEnd::default(),
            sent: None,
            is_stopping: false,
            claims_handed_over: false,
        }
    }

    /// Returns the row of the lease and its end, or `None` if this process has no lease.
    pub(crate) fn current(&self) -> Option<(&HostRow, LeaseEnd)> {
        let row = self.row.as_ref().filter(|row| self.is_own(row))?;
        (self.end != LeaseEnd::default()).then_some((row, self.end))
    }

    fn is_own(&self, row: &HostRow) -> bool {
        row.start_wall_ms == self.me.start_wall_ms && row.peer_addr == self.me.peer_addr
    }

    fn send(&mut self, context: &mut LeaseContext, row: HostRow, end: LeaseEnd) {
        context.write = Some((row.clone(), HostCondition::unchanged(self.row.as_ref())));
        self.sent = Some(SentLease { row, end });
    }

    /// Requests a new epoch if no other process can hold the old one. Returns whether a write was
    /// requested.
    fn acquire(&mut self, context: &mut LeaseContext) -> bool {
        let is_free = self.row.as_ref().is_none_or(|row| {
            let lapsed = row.lease_until_wall_ms.plus_ms(CLOCK_ERROR_MS) < context.now.wall_ms;
            row.is_ended || row.peer_addr == self.me.peer_addr || lapsed
        });
        if !is_free || !self.is_row_known || !context.may_write || self.is_stopping {
            return false;
        }
        let end = LeaseEnd::after(context.now, context.lease_ms);
        let row = HostRow {
            host: self.me.host.clone(),
            epoch: self.row.as_ref().map_or(0, |row| row.epoch) + 1,
            start_wall_ms: self.me.start_wall_ms,
            lease_until_wall_ms: end.wall_ms,
            peer_addr: self.me.peer_addr,
            is_ended: false,
        };
        self.send(context, row, end);
        true
    }

    /// Requests a later end under the same epoch when a third of the lease has passed.
    ///
    /// The end never moves back, because grants name it: a shorter lease takes effect when the time
    /// left has fallen to two thirds of it.
    fn renew(&mut self, context: &mut LeaseContext) {
        let early_ms = context.lease_ms * MONO_RATE_ERROR_PERMILLE / 1_000;
        let is_due = self.end.left_ms(context.now) + early_ms <= context.lease_ms * 2 / 3;
        let end = LeaseEnd::after(context.now, context.lease_ms);
        let Some(row) = self
            .row
            .clone()
            .filter(|row| end.wall_ms > row.lease_until_wall_ms)
        else {
            return;
        };
        if is_due && self.is_row_known && context.may_write {
            let lease_until_wall_ms = end.wall_ms;
            self.send(
                context,
                HostRow {
                    lease_until_wall_ms,
                    ..row
                },
                end,
            );
        }
    }

    /// Requests the end of the epoch once the claims have been handed over.
    fn release(&mut self, context: &mut LeaseContext) {
        if !self.claims_handed_over || !self.is_row_known || !context.may_write {
            return;
        }
        if let Some(row) = self.row.clone() {
            let end = self.end;
            self.send(
                context,
                HostRow {
                    is_ended: true,
                    ..row
                },
                end,
            );
        }
    }

    fn confirm(&mut self) {
        if let Some(sent) = self.sent.take() {
            self.row = Some(sent.row);
            self.end = sent.end;
            self.is_row_known = true;
        }
    }

    /// Applies the outcome of a write. Returns whether it took effect.
    fn apply_write_result(&mut self, result: TransactionResult) -> bool {
        match result {
            TransactionResult::Applied => self.confirm(),
            // Nothing changed, so the known row is still current.
            TransactionResult::Unavailable => self.sent = None,
            // The row is read before the next write; `sent` is kept to compare it with.
            TransactionResult::Conflict | TransactionResult::Unknown => self.is_row_known = false,
        }
        result == TransactionResult::Applied
    }

    /// Applies the row as read. Returns whether it is the lease of this process.
    fn apply_row(&mut self, row: Option<&HostRow>) -> bool {
        if self
            .sent
            .as_ref()
            .is_some_and(|sent| Some(&sent.row) == row)
        {
            self.confirm();
        }
        let is_same_epoch = self.row.as_ref().map(|row| row.epoch) == row.map(|row| row.epoch);
        let is_own = row.is_some_and(|row| self.is_own(row) && !row.is_ended);
        self.row = row.cloned();
        self.is_row_known = true;
        self.sent = None;
        let is_held = is_own && is_same_epoch && self.end != LeaseEnd::default();
        if !is_held {
            self.end = LeaseEnd::default();
        }
        is_held
    }
}

#[state_machine(
    initial = "State::no_lease()",
    state(derive(Clone, Copy, Debug, PartialEq, Eq))
)]
impl HostLease {
    /// No lease is held. The row may be absent, ended, or of an earlier process.
    #[state]
    fn no_lease(&mut self, context: &mut LeaseContext, event: &LeaseEvent) -> Outcome<State> {
        match event {
            LeaseEvent::RowRead(row) => {
                if self.apply_row(row.as_ref()) {
                    // An acquisition whose response was lost took effect.
                    return Transition(State::held());
                }
            }
            LeaseEvent::StopRequested => self.is_stopping = true,
            LeaseEvent::Tick | LeaseEvent::Written(_) | LeaseEvent::ClaimsHandedOver => {}
        }
        context.is_stopped = self.is_stopping;
        if self.acquire(context) {
            Transition(State::acquiring())
        } else {
            Handled
        }
    }

    /// A write that acquires the lease is in flight.
    #[state]
    fn acquiring(&mut self, event: &LeaseEvent) -> Outcome<State> {
        match event {
            LeaseEvent::Written(result) if self.apply_write_result(*result) => {
                Transition(State::held())
            }
            LeaseEvent::Written(_) => Transition(State::no_lease()),
            LeaseEvent::StopRequested => {
                self.is_stopping = true;
                Handled
            }
            LeaseEvent::RowRead(_) | LeaseEvent::Tick | LeaseEvent::ClaimsHandedOver => Handled,
        }
    }

    /// The lease is held and renewed.
    #[state]
    fn held(&mut self, context: &mut LeaseContext, event: &LeaseEvent) -> Outcome<State> {
        match event {
            LeaseEvent::Written(result) => {
                self.apply_write_result(*result);
            }
            LeaseEvent::RowRead(row) if !self.apply_row(row.as_ref()) => {
                return Transition(State::no_lease());
            }
            LeaseEvent::StopRequested => self.is_stopping = true,
            LeaseEvent::RowRead(_) | LeaseEvent::Tick | LeaseEvent::ClaimsHandedOver => {}
        }
        if self.is_stopping {
            context.hand_over = true;
            return Transition(State::releasing());
        }
        if !self.end.is_valid(context.now) {
            return Transition(State::lost());
        }
        self.renew(context);
        Handled
    }

    /// The claims are being handed over, then the epoch is ended.
    #[state]
    fn releasing(&mut self, context: &mut LeaseContext, event: &LeaseEvent) -> Outcome<State> {
        match event {
            LeaseEvent::Written(result) => {
                self.apply_write_result(*result);
            }
            LeaseEvent::RowRead(row) => {
                self.apply_row(row.as_ref());
            }
            LeaseEvent::ClaimsHandedOver => self.claims_handed_over = true,
            LeaseEvent::StopRequested | LeaseEvent::Tick => {}
        }
        let is_over = self.row.as_ref().is_none_or(|row| row.is_ended);
        if is_over || !self.end.is_valid(context.now) {
            // Ended, replaced or lapsed: other hosts may take over without this host's help.
            self.end = LeaseEnd::default();
            context.is_stopped = true;
            return Transition(State::no_lease());
        }
        self.release(context);
        Handled
    }

    /// The lease lapsed by this host's clocks, but as far as is known no other host has ended the
    /// epoch. If that is still so, a renewal continues the same tenures: partitions can be taken
    /// only in the transaction that ends the epoch.
    #[state]
    fn lost(&mut self, context: &mut LeaseContext, event: &LeaseEvent) -> Outcome<State> {
        match event {
            LeaseEvent::Written(result) => {
                self.apply_write_result(*result);
            }
            LeaseEvent::RowRead(row) if !self.apply_row(row.as_ref()) => {
                return Transition(State::no_lease());
            }
            LeaseEvent::StopRequested => {
                self.is_stopping = true;
                self.end = LeaseEnd::default();
                context.is_stopped = true;
                return Transition(State::no_lease());
            }
            LeaseEvent::RowRead(_) | LeaseEvent::Tick | LeaseEvent::ClaimsHandedOver => {}
        }
        if self.end.is_valid(context.now) {
            return Transition(State::held());
        }
        self.renew(context);
        Handled
    }
}
