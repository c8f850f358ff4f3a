//! Decides which calls to the store this host makes.
//!
//! Calls are dear, so a few hosts read for all of them and the others learn from these. Every host
//! reads for itself as soon as what it has learned is too old for the promises that rest on it.

use crate::startup_delays::StartupDelays;
use crate::{StoreError, StoredTable};
use heatherhinge_steering::{FleetView, HostState, duty_holders};
use heatherhinge_types::MonoNs;

/// Hosts for each further reader.
const HOSTS_PER_READER: usize = 40;
/// Fewest readers, so that the death of one goes unnoticed.
const MIN_READERS: usize = 2;
/// Time that a reader's watch for orders waits for a change, in milliseconds. It bounds the time
/// for which a connection that has fallen silent goes unnoticed.
const ORDERS_WAIT_MS: u64 = 2_500;
/// Age of the registrations at which the first reader reads them again, in percent of the time
/// within which a leaving target must get no more requests.
const FIRST_AGE_PERCENT: u64 = 30;
/// The same for the other readers, which have learned of the first one's read by then. Copies
/// that all readers hold become old at the same moment, so all of them would else read at once.
const RELIEF_AGE_PERCENT: u64 = 52;
/// The same for any other host, which reads for itself then.
const FOLLOWER_AGE_PERCENT: u64 = 70;
/// Time after which a host reads orders from the store that another host is known to have, in
/// milliseconds.
const ORDERS_BEHIND_MS: u64 = 700;
/// Shortest time between two reads that do not wait for a change, in milliseconds. A read that
/// brings nothing newer would else be repeated at once.
const READ_GAP_MS: u64 = 500;
/// Time within which a second loss of the history is not answered at once, in milliseconds.
const HISTORY_GAP_MS: u64 = 3_000;
/// First pause after a failed call, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;
/// Longest pause after failed calls, in milliseconds. An order is to be in force within 2 s of its
/// acknowledgement, also when the store has just come back.
const LONGEST_PAUSE_MS: u64 = 700;
/// The same for a host that does not read for others and has copies. The readers tell it when the
/// store is back; 120 hosts at the readers' pace made 2,900 calls to a store that was away for 8 s.
const FOLLOWER_PAUSE_MS: u64 = 2_000;
/// Pause between reads of the registered hosts while no other host is heard, in milliseconds.
const HOSTS_PAUSE_MS: u64 = 3_000;
/// Pause between attempts to register this host, in milliseconds.
const REGISTER_PAUSE_MS: u64 = 1_000;

/// Returns the hosts that read the store for the fleet, the first one first. They are spread over
/// the zones as far as they go.
pub(crate) fn store_readers(fleet: &FleetView) -> Vec<&HostState> {
    let count = MIN_READERS + fleet.live.len() / HOSTS_PER_READER;
    let holders = duty_holders("store", fleet.live.len(), fleet);
    let (mut readers, mut others): (Vec<&HostState>, Vec<&HostState>) = (Vec::new(), Vec::new());
    for holder in holders {
        if readers.iter().any(|reader| reader.zone == holder.zone) {
            others.push(holder);
        } else {
            readers.push(holder);
        }
    }
    readers.extend(others);
    readers.truncate(count);
    readers
}

/// What the calls depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreFacts {
    /// The place of this host among those that read for the fleet, 0 the first.
    pub(crate) reader_place: Option<usize>,
    /// Time for which another host is known to have newer orders, in milliseconds.
    pub(crate) orders_behind_ms: u64,
    /// Whether no other host is heard.
    pub(crate) is_alone: bool,
    /// Version of the copy of the orders; 0 without one.
    pub(crate) orders_version: u64,
    /// Version of the copy of the registrations; 0 without one.
    pub(crate) targets_version: u64,
    /// Age of the copy of the registrations in milliseconds.
    pub(crate) targets_age_ms: u64,
}

/// A call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCall {
    /// Read a table, whole if `after` is 0, else what changed, and wait for a change.
    Read {
        table: StoredTable,
        after: u64,
        wait_ms: u64,
    },
    /// Register this host.
    Register,
    /// Read which hosts are registered.
    ReadHosts,
}

/// How the store's availability has changed for this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreChange {
    /// It is as before.
    None,
    /// The first call that failed.
    Lost,
    /// The first call that succeeded again.
    Regained,
}

/// Calls for one table.
#[derive(Clone, Copy, Debug)]
struct TableDuty {
    is_calling: bool,
    must_read_whole: bool,
    /// Whether the call under way waits for a change, so that its return is news.
    has_waited: bool,
    history_lost: MonoNs,
    not_before: MonoNs,
    pause_ms: u64,
}

impl TableDuty {
    const fn new() -> Self {
        Self {
            is_calling: false,
            must_read_whole: false,
            has_waited: false,
            history_lost: MonoNs(0),
            not_before: MonoNs(0),
            pause_ms: FIRST_PAUSE_MS,
        }
    }

    fn ended(&mut self, fault: Option<&StoreError>, longest_pause_ms: u64, now: MonoNs) {
        self.is_calling = false;
        match fault {
            None => {
                self.must_read_whole = false;
                self.pause_ms = FIRST_PAUSE_MS;
                if !self.has_waited {
                    self.not_before = now.plus_ms(READ_GAP_MS);
                }
            }
            Some(StoreError::HistoryLost) => {
                // Only the first loss in a row is answered at once: the store may drop its
                // history again and again.
                if self.must_read_whole || now.ms_since(self.history_lost) < HISTORY_GAP_MS {
                    self.not_before = now.plus_ms(READ_GAP_MS);
                }
                self.must_read_whole = true;
                self.history_lost = now;
            }
            Some(_) => {
                self.not_before = now.plus_ms(self.pause_ms);
                self.pause_ms = (self.pause_ms * 2).min(longest_pause_ms);
            }
        }
    }

    fn begin(&mut self, table: StoredTable, version: u64, wait_ms: u64) -> StoreCall {
        self.is_calling = true;
        self.has_waited = wait_ms > 0 && !self.must_read_whole;
        let after = if self.must_read_whole { 0 } else { version };
        StoreCall::Read {
            table,
            after,
            wait_ms,
        }
    }

    fn is_free(&self, now: MonoNs) -> bool {
        !self.is_calling && now >= self.not_before
    }
}

/// Keeps track of the calls of this host.
#[derive(Debug)]
pub(crate) struct StoreCallScheduler {
    orders: TableDuty,
    targets: TableDuty,
    copies_from: MonoNs,
    duties_from: MonoNs,
    first_age_ms: u64,
    relief_age_ms: u64,
    follower_age_ms: u64,
    next_hosts_read: MonoNs,
    next_register: MonoNs,
    is_registered: bool,
    is_lost: bool,
    longest_pause_ms: u64,
}

impl StoreCallScheduler {
    /// Starts without calls; `leave_ms` is the time within which a leaving target must get no more
    /// requests.
    pub(crate) const fn new(now: MonoNs, startup_delays: StartupDelays, leave_ms: u64) -> Self {
        let mut duty = Self {
            orders: TableDuty::new(),
            targets: TableDuty::new(),
            copies_from: now.plus_ms(startup_delays.initial_read_delay_ms),
            duties_from: now.plus_ms(startup_delays.regular_calls_delay_ms),
            first_age_ms: 0,
            relief_age_ms: 0,
            follower_age_ms: 0,
            next_hosts_read: now,
            next_register: now,
            is_registered: false,
            is_lost: false,
            longest_pause_ms: LONGEST_PAUSE_MS,
        };
        duty.set_leave_ms(leave_ms);
        duty
    }

    /// Sets the time within which a leaving target must get no more requests.
    pub(crate) const fn set_leave_ms(&mut self, leave_ms: u64) {
        self.first_age_ms = leave_ms * FIRST_AGE_PERCENT / 100;
        self.relief_age_ms = leave_ms * RELIEF_AGE_PERCENT / 100;
        self.follower_age_ms = leave_ms * FOLLOWER_AGE_PERCENT / 100;
    }

    /// Takes in that a read has ended.
    pub(crate) fn ended(
        &mut self,
        table: StoredTable,
        fault: Option<&StoreError>,
        now: MonoNs,
    ) -> StoreChange {
        match table {
            StoredTable::Orders => self.orders.ended(fault, self.longest_pause_ms, now),
            StoredTable::Targets => self.targets.ended(fault, self.longest_pause_ms, now),
        }
        match fault {
            None if self.is_lost => {
                self.is_lost = false;
                StoreChange::Regained
            }
            None | Some(StoreError::HistoryLost) => StoreChange::None,
            Some(_) if self.is_lost => StoreChange::None,
            Some(_) => {
                self.is_lost = true;
                StoreChange::Lost
            }
        }
    }

    /// Takes in that this host was not registered.
    pub(crate) fn register_failed(&mut self, now: MonoNs) {
        self.is_registered = false;
        self.next_register = now.plus_ms(REGISTER_PAUSE_MS);
    }

    /// Returns the calls to make now.
    pub(crate) fn next(&mut self, facts: &StoreFacts, now: MonoNs) -> Vec<StoreCall> {
        let mut calls = Vec::new();
        if now < self.duties_from {
            if now >= self.copies_from {
                self.read_missing(facts, now, &mut calls);
            }
            return calls;
        }
        let is_reader = facts.reader_place.is_some();
        let has_copies = facts.orders_version > 0 && facts.targets_version > 0;
        let is_patient = has_copies && !is_reader;
        self.longest_pause_ms = if is_patient {
            FOLLOWER_PAUSE_MS
        } else {
            LONGEST_PAUSE_MS
        };
        let is_behind = facts.targets_age_ms >= self.follower_age_ms;
        let due_age_ms = match facts.reader_place {
            Some(0) => self.first_age_ms,
            Some(_) => self.relief_age_ms,
            None => self.follower_age_ms,
        };
        if facts.targets_age_ms >= due_age_ms && self.targets.is_free(now) {
            let table = StoredTable::Targets;
            calls.push(self.targets.begin(table, facts.targets_version, 0));
        }
        let orders_due = is_reader
            || is_behind
            || facts.orders_version == 0
            || facts.orders_behind_ms >= ORDERS_BEHIND_MS;
        // While the store is lost and the registrations are due, reading them shows when it is back.
        let is_tried = self.is_lost && is_patient && is_behind;
        if orders_due && !is_tried && self.orders.is_free(now) {
            let wait_ms = if is_reader { ORDERS_WAIT_MS } else { 0 };
            let table = StoredTable::Orders;
            calls.push(self.orders.begin(table, facts.orders_version, wait_ms));
        }
        if (is_reader || facts.is_alone) && !self.is_registered && now >= self.next_register {
            self.is_registered = true;
            calls.push(StoreCall::Register);
        }
        if facts.is_alone && now >= self.next_hosts_read {
            self.next_hosts_read = now.plus_ms(HOSTS_PAUSE_MS);
            calls.push(StoreCall::ReadHosts);
        }
        calls
    }

    /// Reads the tables of which this host has no copy.
    fn read_missing(&mut self, facts: &StoreFacts, now: MonoNs, calls: &mut Vec<StoreCall>) {
        if facts.orders_version == 0 && self.orders.is_free(now) {
            calls.push(self.orders.begin(StoredTable::Orders, 0, 0));
        }
        if facts.targets_version == 0 && self.targets.is_free(now) {
            calls.push(self.targets.begin(StoredTable::Targets, 0, 0));
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/store_call_scheduler.rs"]
mod tests;
