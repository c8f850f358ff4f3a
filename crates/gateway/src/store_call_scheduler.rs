//! Decides which calls to the store this host makes.
//!
//! Calls cost money, so a few hosts, the readers, read for the fleet and send the others what they
//! read. A host reads for itself as soon as its replicas are too old for the guarantees that depend
//! on them.

use crate::startup_delays::StartupDelays;
use crate::{StoreError, StoredTable};
use heatherhinge_steering::{FleetView, HostState, duty_holders};
use heatherhinge_types::{MonoNs, StoreVersion};

/// Live hosts for each reader beyond the minimum.
const HOSTS_PER_READER: usize = 40;
/// Smallest number of readers, so that the failure of one has no effect.
const MIN_READERS: usize = 2;
/// Time for which a reader's watch for orders waits for a change, in milliseconds. A dead connection
/// goes unnoticed for this time and the timeout of a call, and orders must be in force everywhere
/// within 3 s of such a fault.
const ORDERS_WAIT_MS: u64 = 1_000;
/// Age of the registrations at which the first reader reads them again, in percent of the time
/// within which hosts must stop sending requests to a leaving target.
const FIRST_AGE_PERCENT: u64 = 30;
/// The same age for the other readers, which have received what the first one read by then. The
/// replicas of all readers become old at the same moment, so without this gap all would read at
/// once.
const BACKUP_AGE_PERCENT: u64 = 52;
/// The same age for any other host, which reads for itself from then on.
const FOLLOWER_AGE_PERCENT: u64 = 70;
/// Time for which a host waits for newer orders from another host before it reads them from the
/// store, in milliseconds.
const ORDERS_BEHIND_MS: u64 = 700;
/// Shortest time between two reads that do not wait for a change, in milliseconds. A read that
/// returns nothing newer would otherwise be repeated at once.
const MIN_READ_INTERVAL_MS: u64 = 500;
/// Time after a loss of the history within which another loss is not followed by an immediate read,
/// in milliseconds.
const HISTORY_RETRY_WINDOW_MS: u64 = 3_000;
/// Pause after the first failed call, in milliseconds; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 100;
/// Longest pause after failed calls, in milliseconds. An order must be in force within 2 s of its
/// acknowledgement, even if the store has only just become available again.
const MAX_BACKOFF_MS: u64 = 700;
/// The same for a host that has replicas and is no reader. It gets updates from the readers once
/// the store is back; 120 hosts with the readers' pauses made 2,900 calls to a store that was down
/// for 8 s.
const MAX_FOLLOWER_BACKOFF_MS: u64 = 2_000;
/// Time between reads of the registered hosts while no other host is live, in milliseconds.
const HOSTS_READ_INTERVAL_MS: u64 = 3_000;
/// Pause after a failed read of the verdicts, in milliseconds.
const VERDICTS_RETRY_MS: u64 = 500;
/// Pause after a failed attempt to register this host, in milliseconds.
const REGISTER_RETRY_MS: u64 = 1_000;

/// Returns the hosts that read the store for the fleet, in order of rank. They are in different
/// zones as far as possible.
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

/// State that decides which calls are made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreFacts {
    /// Rank of this host among the readers, 0 for the first; `None` if it is no reader.
    pub(crate) reader_rank: Option<usize>,
    /// Time for which another host has had newer orders, in milliseconds; 0 if none has.
    pub(crate) orders_behind_ms: u64,
    /// Whether no other host is live.
    pub(crate) is_alone: bool,
    /// Epoch of the store.
    pub(crate) epoch: u64,
    /// Version of the replica of the orders; none without one.
    pub(crate) orders_version: StoreVersion,
    /// Version of the replica of the registrations; none without one.
    pub(crate) targets_version: StoreVersion,
    /// Age of the replica of the registrations in milliseconds.
    pub(crate) targets_age_ms: u64,
}

/// A call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCall {
    /// Read the whole table if `after` is none, else the changes after that version; wait up to
    /// `wait_ms` for one.
    Read {
        table: StoredTable,
        after: StoreVersion,
        wait_ms: u64,
    },
    /// Register this host.
    Register,
    /// Read which hosts are registered.
    ReadHosts,
    /// Read what became of versions.
    ReadVerdicts,
}

/// How a call changed the store's availability as this host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreChange {
    /// No change.
    None,
    /// This call is the first that failed.
    BecameUnavailable,
    /// This call is the first that succeeded after failures.
    Recovered,
}

/// Calls to the store for one table.
#[derive(Clone, Copy, Debug)]
struct TableCalls {
    is_calling: bool,
    must_read_whole: bool,
    /// Whether the current call waits for a change, so that the next one may follow at once.
    waits_for_change: bool,
    history_lost_at: MonoNs,
    not_before: MonoNs,
    backoff_ms: u64,
}

impl TableCalls {
    const fn new() -> Self {
        Self {
            is_calling: false,
            must_read_whole: false,
            waits_for_change: false,
            history_lost_at: MonoNs(0),
            not_before: MonoNs(0),
            backoff_ms: INITIAL_BACKOFF_MS,
        }
    }

    fn record_end(&mut self, error: Option<&StoreError>, max_backoff_ms: u64, now: MonoNs) {
        self.is_calling = false;
        match error {
            None => {
                self.must_read_whole = false;
                self.backoff_ms = INITIAL_BACKOFF_MS;
                if !self.waits_for_change {
                    self.not_before = now.plus_ms(MIN_READ_INTERVAL_MS);
                }
            }
            Some(StoreError::HistoryLost | StoreError::EpochChanged) => {
                // Only the first loss in a row is followed by an immediate read: the store may drop
                // its history again and again.
                if self.must_read_whole
                    || now.ms_since(self.history_lost_at) < HISTORY_RETRY_WINDOW_MS
                {
                    self.not_before = now.plus_ms(MIN_READ_INTERVAL_MS);
                }
                self.must_read_whole = true;
                self.history_lost_at = now;
            }
            Some(_) => {
                self.not_before = now.plus_ms(self.backoff_ms);
                self.backoff_ms = (self.backoff_ms * 2).min(max_backoff_ms);
            }
        }
    }

    /// Begins a call. Changes since a version of an earlier epoch cannot be told, so the whole table
    /// is read then.
    fn begin(
        &mut self,
        table: StoredTable,
        version: StoreVersion,
        epoch: u64,
        wait_ms: u64,
    ) -> StoreCall {
        self.is_calling = true;
        let reads_whole = self.must_read_whole || version.epoch() < epoch;
        self.waits_for_change = wait_ms > 0 && !reads_whole;
        let after = if reads_whole {
            StoreVersion::NONE
        } else {
            version
        };
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

/// Schedules the calls of this host to the store.
#[derive(Debug)]
pub(crate) struct StoreCallScheduler {
    orders: TableCalls,
    targets: TableCalls,
    initial_reads_from: MonoNs,
    regular_calls_from: MonoNs,
    first_age_ms: u64,
    backup_age_ms: u64,
    follower_age_ms: u64,
    next_hosts_read: MonoNs,
    next_register: MonoNs,
    is_registered: bool,
    /// When the verdicts are read again after a failure.
    verdicts_retry_at: Option<MonoNs>,
    is_unavailable: bool,
    max_backoff_ms: u64,
}

impl StoreCallScheduler {
    /// Returns a scheduler without calls under way; `leave_ms` is as in
    /// [`set_leave_ms`](Self::set_leave_ms).
    pub(crate) const fn new(now: MonoNs, startup_delays: StartupDelays, leave_ms: u64) -> Self {
        let mut scheduler = Self {
            orders: TableCalls::new(),
            targets: TableCalls::new(),
            initial_reads_from: now.plus_ms(startup_delays.initial_read_delay_ms),
            regular_calls_from: now.plus_ms(startup_delays.regular_calls_delay_ms),
            first_age_ms: 0,
            backup_age_ms: 0,
            follower_age_ms: 0,
            next_hosts_read: now,
            next_register: now,
            is_registered: false,
            verdicts_retry_at: None,
            is_unavailable: false,
            max_backoff_ms: MAX_BACKOFF_MS,
        };
        scheduler.set_leave_ms(leave_ms);
        scheduler
    }

    /// Sets the time within which hosts must stop sending requests to a leaving target.
    pub(crate) const fn set_leave_ms(&mut self, leave_ms: u64) {
        self.first_age_ms = leave_ms * FIRST_AGE_PERCENT / 100;
        self.backup_age_ms = leave_ms * BACKUP_AGE_PERCENT / 100;
        self.follower_age_ms = leave_ms * FOLLOWER_AGE_PERCENT / 100;
    }

    /// Records the end of a read, with its error if it failed.
    pub(crate) fn record_end(
        &mut self,
        table: StoredTable,
        error: Option<&StoreError>,
        now: MonoNs,
    ) -> StoreChange {
        match table {
            StoredTable::Orders => self.orders.record_end(error, self.max_backoff_ms, now),
            StoredTable::Targets => self.targets.record_end(error, self.max_backoff_ms, now),
        }
        match error {
            None if self.is_unavailable => {
                self.is_unavailable = false;
                StoreChange::Recovered
            }
            // The store has answered.
            None
            | Some(
                StoreError::HistoryLost | StoreError::EpochChanged | StoreError::EpochInvalid(_),
            ) => StoreChange::None,
            Some(_) if self.is_unavailable => StoreChange::None,
            Some(_) => {
                self.is_unavailable = true;
                StoreChange::BecameUnavailable
            }
        }
    }

    /// Records that the store may have lost the registration of this host, which is written again
    /// after `delay_ms`, so that not all hosts write at once.
    pub(crate) fn registration_lost(&mut self, delay_ms: u64, now: MonoNs) {
        self.is_registered = false;
        self.next_register = now.plus_ms(delay_ms);
    }

    /// Records that registering this host failed.
    pub(crate) fn register_failed(&mut self, now: MonoNs) {
        self.is_registered = false;
        self.next_register = now.plus_ms(REGISTER_RETRY_MS);
    }

    /// Records that reading the verdicts failed.
    pub(crate) fn verdicts_failed(&mut self, now: MonoNs) {
        self.verdicts_retry_at = Some(now.plus_ms(VERDICTS_RETRY_MS));
    }

    /// Returns the calls to make now and records them as started. A host that reads the orders because
    /// no other host has sent them reads the verdicts, too: all hosts may have lost their processes.
    pub(crate) fn next(&mut self, facts: &StoreFacts, now: MonoNs) -> Vec<StoreCall> {
        let mut calls = self.table_calls(facts, now);
        let reads_orders = calls.iter().any(|call| {
            let StoreCall::Read { table, .. } = call else {
                return false;
            };
            *table == StoredTable::Orders
        });
        let is_first_read = reads_orders && facts.orders_version.is_none();
        let retries = self.verdicts_retry_at.is_some_and(|at| now >= at);
        if is_first_read || retries {
            self.verdicts_retry_at = None;
            calls.push(StoreCall::ReadVerdicts);
        }
        calls
    }

    fn table_calls(&mut self, facts: &StoreFacts, now: MonoNs) -> Vec<StoreCall> {
        let mut calls = Vec::new();
        if now < self.regular_calls_from {
            if now >= self.initial_reads_from {
                self.read_missing(facts, now, &mut calls);
            }
            return calls;
        }
        let is_reader = facts.reader_rank.is_some();
        let has_replicas = !facts.orders_version.is_none() && !facts.targets_version.is_none();
        let is_follower_with_replicas = has_replicas && !is_reader;
        self.max_backoff_ms = if is_follower_with_replicas {
            MAX_FOLLOWER_BACKOFF_MS
        } else {
            MAX_BACKOFF_MS
        };
        let is_behind = facts.targets_age_ms >= self.follower_age_ms;
        let due_age_ms = match facts.reader_rank {
            Some(0) => self.first_age_ms,
            Some(_) => self.backup_age_ms,
            None => self.follower_age_ms,
        };
        if facts.targets_age_ms >= due_age_ms && self.targets.is_free(now) {
            let table = StoredTable::Targets;
            calls.push(
                self.targets
                    .begin(table, facts.targets_version, facts.epoch, 0),
            );
        }
        let orders_due = is_reader
            || is_behind
            || facts.orders_version.is_none()
            || facts.orders_behind_ms >= ORDERS_BEHIND_MS;
        // While the store is unavailable and the registrations are due, reading these is enough to
        // notice that it is back.
        let skips_orders = self.is_unavailable && is_follower_with_replicas && is_behind;
        if orders_due && !skips_orders && self.orders.is_free(now) {
            let wait_ms = if is_reader { ORDERS_WAIT_MS } else { 0 };
            let table = StoredTable::Orders;
            calls.push(
                self.orders
                    .begin(table, facts.orders_version, facts.epoch, wait_ms),
            );
        }
        if (is_reader || facts.is_alone) && !self.is_registered && now >= self.next_register {
            self.is_registered = true;
            calls.push(StoreCall::Register);
        }
        if facts.is_alone && now >= self.next_hosts_read {
            self.next_hosts_read = now.plus_ms(HOSTS_READ_INTERVAL_MS);
            calls.push(StoreCall::ReadHosts);
        }
        calls
    }

    /// Adds reads of the tables of which this host has no replica.
    fn read_missing(&mut self, facts: &StoreFacts, now: MonoNs, calls: &mut Vec<StoreCall>) {
        let none = StoreVersion::NONE;
        if facts.orders_version.is_none() && self.orders.is_free(now) {
            let table = StoredTable::Orders;
            calls.push(self.orders.begin(table, none, facts.epoch, 0));
        }
        if facts.targets_version.is_none() && self.targets.is_free(now) {
            let table = StoredTable::Targets;
            calls.push(self.targets.begin(table, none, facts.epoch, 0));
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/store_call_scheduler.rs"]
mod tests;
