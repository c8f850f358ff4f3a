//! Reads the stored tables and puts what they show in force.

use super::ControlLoop;
use crate::events::UpdateSource;
use crate::route_publisher::publish_routes;
use crate::store_call_scheduler::{StoreCall, StoreChange, StoreFacts, store_readers};
use crate::target_registry::used_ids;
use crate::{Platform, StoreError, StoredTable};
use heatherhinge_steering::{EpochStep, PastMove, StoreEpoch, TableUpdate, TargetInputs};
use heatherhinge_types::{Code, MonoNs, Name};
use rand::RngExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Longest time after a return of the store until a host registers again, in milliseconds.
const MAX_REGISTER_DELAY_MS: u64 = 1_000;

impl<P: Platform> ControlLoop<P> {
    pub(super) fn handle_table_read(
        &mut self,
        table: StoredTable,
        result: Result<TableUpdate, StoreError>,
    ) {
        let now = self.now();
        let result = result.and_then(|update| check_epoch(update, self.epoch));
        let change = self
            .store_call_scheduler
            .record_end(table, result.as_ref().err(), now);
        match result {
            Ok(update) => {
                if change == StoreChange::Recovered {
                    tracing::info!(%table, version = %update.version, "store: available again");
                }
                self.apply(table, &update, UpdateSource::Store);
            }
            Err(error) if change == StoreChange::BecameUnavailable => {
                tracing::warn!(%table, "store: {error}");
            }
            Err(StoreError::EpochChanged) => tracing::info!(
                %table,
                code = Code::StoreEpochChanged.number(),
                "store: {}; reading the whole table",
                StoreError::EpochChanged
            ),
            Err(error @ StoreError::EpochInvalid(_)) => tracing::warn!(
                %table,
                code = Code::StoreEpochInvalid.number(),
                "store: {error}; reading again"
            ),
            Err(error) => tracing::debug!(%table, "store: {error}"),
        }
        self.read_store(now);
        self.check_ready(now);
    }

    pub(super) fn apply(&mut self, table: StoredTable, update: &TableUpdate, source: UpdateSource) {
        match self.epoch.observe(update.version) {
            EpochStep::First => {
                self.moves.begin_epoch(update.version.epoch());
            }
            EpochStep::Later { from } => self.begin_epoch(from, table, update, source),
            EpochStep::Current | EpochStep::Earlier => {}
        }
        match table {
            StoredTable::Orders => self.apply_orders(update, source),
            StoredTable::Targets => self.apply_targets(update),
        }
    }

    /// Begins an epoch of the store: what it shows may be older than what this host knows.
    fn begin_epoch(
        &mut self,
        from: u64,
        table: StoredTable,
        update: &TableUpdate,
        source: UpdateSource,
    ) {
        let now = self.now();
        let counts = &self.parts.board.counts;
        counts.store_returns.fetch_add(1, Ordering::Relaxed);
        let epoch = self.epoch.current();
        let reports = self.moves.begin_epoch(epoch);
        let delay_ms = self.rng.random_range(0..MAX_REGISTER_DELAY_MS);
        self.store_call_scheduler.registration_lost(delay_ms, now);
        tracing::warn!(
            %source,
            %table,
            old_epoch = from,
            epoch,
            orders_version = %self.orders.replica().version(),
            targets_version = %self.targets.replica().version(),
            version = %update.version,
            reports,
            "store: returned from an older copy; its tables are read whole, final reports are checked \
             and this host registers again if that is its duty"
        );
    }

    fn apply_orders(&mut self, update: &TableUpdate, source: UpdateSource) {
        let now = self.now();
        let age_ms = self.orders.replica().age_ms(now);
        let platform = Arc::clone(&self.parts.io.platform);
        let changes = self.orders.apply(update, platform.as_ref(), now);
        let replica = self.orders.replica().clone();
        self.parts.fleet_writers.orders.publish(replica);
        if !changes.is_news {
            return;
        }
        tracing::info!(
            %source,
            version = %update.version,
            rows = changes.rows,
            age_ms,
            behind_ms = self.orders_catch_up.behind_ms(now),
            "orders: received changes"
        );
        self.orders_catch_up.caught_up();
        if changes.has_changed {
            self.publish_orders(now);
        }
        // Each neighbour notifies its own, so the orders reach all hosts within a few exchanges.
        for addr in self.membership.neighbours(now).concat() {
            self.sync_with(addr);
        }
    }

    /// Puts the orders of the registry in force.
    pub(super) fn publish_orders(&mut self, now: MonoNs) {
        let orders = self.orders.active();
        let names: Vec<Name> = orders.route_names();
        self.moves.set_orders(orders.moves(), &names, now);
        publish_routes(
            orders.routes(),
            &self.parts.board,
            &mut self.parts.writers,
            self.parts.settings.budget,
            self.parts.seed,
        );
        self.publish_targets();
    }

    fn apply_targets(&mut self, update: &TableUpdate) {
        let now = self.now();
        let platform = Arc::clone(&self.parts.io.platform);
        let has_changed = self.targets.apply(update, platform.as_ref(), now);
        let replica = self.targets.replica().clone();
        self.parts.fleet_writers.targets.publish(replica);
        if has_changed {
            self.publish_targets();
        }
    }

    pub(super) fn publish_targets(&mut self) {
        let fleet = self.parts.board.fleet.read_owned();
        let routes = self.parts.board.routes.read_owned();
        let trackers = self.moves.trackers();
        let past_moves = self.moves.past_moves();
        let table = self.targets.table(&TargetInputs {
            host: &self.parts.settings.host,
            zone: &self.parts.settings.zone,
            routes: &routes.value,
            zones_out: self.orders.active().zones_out(),
            trackers: &trackers,
            past_moves,
            fleet: &fleet.value,
        });
        self.parts.connection_pools.retain(&used_ids(&table));
        self.parts.writers.targets.publish(table);
    }

    pub(super) fn handle_verdicts_read(&mut self, result: Result<Vec<PastMove>, StoreError>) {
        let now = self.now();
        match result {
            Ok(verdicts) => {
                self.awaits_verdicts = false;
                if self.moves.handle_verdicts_read(&verdicts, now) {
                    self.publish_targets();
                }
                self.check_ready(now);
            }
            Err(error) => {
                tracing::info!("moves: reading the verdicts failed; trying again: {error}");
                self.store_call_scheduler.verdicts_failed(now);
            }
        }
    }

    pub(super) fn read_store(&mut self, now: MonoNs) {
        let settings = &self.parts.settings;
        let fleet = self.parts.board.fleet.read();
        let own = &settings.host;
        let facts = StoreFacts {
            reader_rank: store_readers(&fleet.value)
                .iter()
                .position(|host| host.host == *own),
            orders_behind_ms: self.orders_catch_up.behind_ms(now),
            is_alone: !self.membership.others().any(|host| host.is_live(now)),
            epoch: self.epoch.current(),
            orders_version: self.orders.replica().version(),
            targets_version: self.targets.replica().version(),
            targets_age_ms: self.targets.replica().age_ms(now),
        };
        drop(fleet);
        for call in self.store_call_scheduler.next(&facts, now) {
            let io = &self.parts.io;
            match call {
                StoreCall::Read {
                    table,
                    after,
                    wait_ms,
                } => io.read(table, after, wait_ms),
                StoreCall::Register => io.register(settings.host.clone(), settings.peer_addr),
                StoreCall::ReadHosts => io.read_hosts(),
                StoreCall::ReadVerdicts => {
                    self.awaits_verdicts = true;
                    io.read_verdicts();
                }
            }
        }
    }
}

/// Rejects an update of the store that was made before its return, or that lacks the epoch.
fn check_epoch(update: TableUpdate, known: StoreEpoch) -> Result<TableUpdate, StoreError> {
    let epoch = update.version.epoch();
    if epoch >= known.current() {
        return Ok(update);
    }
    let cause = format!("{epoch} after {}", known.current());
    Err(StoreError::EpochInvalid(cause))
}
