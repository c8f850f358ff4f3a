//! Runs the controllers in a loop and publishes their decisions to the blackboard.

use crate::announcement::{Announcement, LocalStatus};
use crate::connection_pools::ConnectionPools;
use crate::events::{GatewayEvent, UpdateSource};
use crate::fleet_board::{FleetBoard, FleetWriters};
use crate::fleet_service::SyncResponse;
use crate::graceful_shutdown::GracefulShutdown;
use crate::io::Io;
use crate::move_executor::MoveExecutor;
use crate::order_registry::OrderRegistry;
use crate::orders_catch_up::OrdersCatchUp;
use crate::packed_update::PackedUpdate;
use crate::quarantine_log::log_quarantine;
use crate::route_publisher::{publish_budget_limits, publish_routes};
use crate::startup_delays::StartupDelays;
use crate::store_call_scheduler::{
    StoreCall, StoreCallScheduler, StoreChange, StoreFacts, store_readers,
};
use crate::sync_peers::SyncPeers;
use crate::target_registry::{TargetRegistry, used_ids};
use crate::{GatewaySettings, Platform, StoreError, StoredTable};
use heatherhinge_proxy::Clock;
use heatherhinge_steering::{
    CrashWatch, DrainStep, EpochStep, ForwardedState, HostStage, Membership, PastMove,
    SteeringBoard, SteeringWriters, StoreEpoch, TableUpdate, TargetInputs,
};
use heatherhinge_types::{Code, MonoNs, Name};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Time between two ticks of the controllers.
const TICK: Duration = Duration::from_millis(150);
/// Time between two ticks until the host is ready. All hosts may have lost power at once, and
/// callers wait.
const START_TICK: Duration = Duration::from_millis(60);
/// Ticks between exchanges with other hosts.
const TICKS_PER_SYNC: u64 = 2;
/// Longest time after a return of the store until a host registers again, in milliseconds.
const MAX_REGISTER_DELAY_MS: u64 = 1_000;
/// Longest time for which a starting host waits for registrations of targets before it becomes
/// ready without any, in milliseconds.
const START_WAIT_MS: u64 = 2_500;

/// Everything that the control loop owns or uses.
pub(crate) struct ControlLoopParts<P> {
    pub(crate) settings: GatewaySettings,
    pub(crate) board: Arc<SteeringBoard>,
    pub(crate) writers: SteeringWriters,
    pub(crate) fleet_board: Arc<FleetBoard>,
    pub(crate) fleet_writers: FleetWriters,
    pub(crate) io: Io<P>,
    pub(crate) connection_pools: Arc<ConnectionPools>,
    pub(crate) stop: GracefulShutdown,
    pub(crate) clock: Clock,
    pub(crate) incarnation: u64,
    pub(crate) seed: u64,
}

/// Runs the controllers. It holds all writers of the blackboard.
pub(crate) struct ControlLoop<P> {
    parts: ControlLoopParts<P>,
    membership: Membership,
    epoch: StoreEpoch,
    orders: OrderRegistry,
    targets: TargetRegistry,
    moves: MoveExecutor,
    crashes: CrashWatch,
    announcement: Announcement,
    orders_catch_up: OrdersCatchUp,
    sync_peers: SyncPeers,
    store_call_scheduler: StoreCallScheduler,
    rng: Pcg64Mcg,
    started: MonoNs,
    ticks: u64,
}

impl<P: Platform> ControlLoop<P> {
    pub(crate) fn new(parts: ControlLoopParts<P>, membership: Membership) -> Self {
        let started = parts.clock.mono_ns();
        let mut rng = Pcg64Mcg::seed_from_u64(parts.seed);
        let settings = &parts.settings;
        let is_seed = settings.seeds.is_empty() || settings.seeds.contains(&settings.peer_addr);
        let startup_delays = StartupDelays::new(is_seed, settings.is_first_start, &mut rng);
        let store_call_scheduler =
            StoreCallScheduler::new(started, startup_delays, settings.leave_ms);
        Self {
            membership,
            epoch: StoreEpoch::default(),
            orders: OrderRegistry::new(),
            targets: TargetRegistry::default(),
            moves: MoveExecutor::default(),
            crashes: CrashWatch::default(),
            announcement: Announcement::new(parts.incarnation, started),
            orders_catch_up: OrdersCatchUp::default(),
            sync_peers: SyncPeers::default(),
            store_call_scheduler,
            rng,
            started,
            ticks: 0,
            parts,
        }
    }

    /// Runs until the host has stopped.
    pub(crate) async fn run(
        mut self,
        mut events: mpsc::Receiver<GatewayEvent>,
        exit: oneshot::Sender<()>,
    ) {
        let mut next_tick = Instant::now();
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.handle(event),
                () = sleep_until(next_tick) => {
                    if self.tick() == DrainStep::Exit {
                        break;
                    }
                    let is_starting = self.parts.board.stage() == HostStage::Starting;
                    next_tick = Instant::now() + if is_starting { START_TICK } else { TICK };
                }
            }
        }
        // An error means that nobody waits for the exit.
        exit.send(()).ok();
    }

    fn now(&self) -> MonoNs {
        self.parts.clock.mono_ns()
    }

    fn handle(&mut self, event: GatewayEvent) {
        match event {
            GatewayEvent::TableRead { table, result } => self.handle_table_read(table, result),
            GatewayEvent::Synced {
                addr,
                asked,
                wanted_orders,
                response,
            } => {
                if wanted_orders {
                    self.orders_catch_up.record_end();
                }
                match response {
                    Some(response) => self.handle_sync_response(addr, asked, *response),
                    None => {
                        let now = self.now();
                        self.sync_peers
                            .record_timeout(addr, asked, wanted_orders, now);
                    }
                }
                self.fetch_newer_orders();
            }
            GatewayEvent::SyncReceived { state, orders_told } => {
                let peer_addr = state.peer_addr;
                if self.moves.learn(&state.past_moves, self.now()) {
                    self.publish_targets();
                }
                self.membership.apply_state(*state, self.now());
                if orders_told > self.orders.replica().changed_version() {
                    self.orders_catch_up.note_newer(peer_addr, self.now());
                    self.fetch_newer_orders();
                }
            }
            GatewayEvent::HostsRead(addrs) => {
                for addr in addrs {
                    self.membership.add_seed(addr);
                }
            }
            GatewayEvent::Registered(result) => match result {
                Ok(()) => tracing::info!("fleet: this host was registered in the store"),
                Err(error) => {
                    tracing::info!("fleet: registering this host failed; retrying later: {error}");
                    self.store_call_scheduler.register_failed(self.now());
                }
            },
            GatewayEvent::ReportRead { service, result } => {
                let now = self.now();
                self.moves.handle_report_read(&service, result, now);
            }
            GatewayEvent::ReportWritten {
                service,
                to,
                state,
                result,
            } => {
                let now = self.now();
                self.moves
                    .handle_report_written(&service, to, state, result, now);
            }
            GatewayEvent::Crashed { digest, target_key } => {
                self.crashes.count(digest, target_key, self.now());
                self.publish_quarantined();
            }
            GatewayEvent::Stop => self.begin_stop(),
            GatewayEvent::Reload(settings) => self.reload(*settings),
        }
    }

    fn handle_table_read(&mut self, table: StoredTable, result: Result<TableUpdate, StoreError>) {
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

    fn apply(&mut self, table: StoredTable, update: &TableUpdate, source: UpdateSource) {
        if let EpochStep::Later { from } = self.epoch.observe(update.version) {
            self.begin_epoch(from, table, update, source);
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
    fn publish_orders(&mut self, now: MonoNs) {
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

    fn publish_targets(&mut self) {
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

    fn publish_quarantined(&mut self) {
        let now = self.now();
        let board = &self.parts.board;
        let fleet = board.fleet.read_owned();
        let host = &self.parts.settings.host;
        let changes = self.crashes.review(host, &fleet.value, &board.served, now);
        if changes.is_empty() {
            return;
        }
        changes.iter().for_each(log_quarantine);
        let quarantined = self.crashes.quarantined().clone();
        self.parts.writers.quarantined.publish(quarantined);
    }

    fn handle_sync_response(&mut self, addr: SocketAddr, asked: MonoNs, response: SyncResponse) {
        let now = self.now();
        self.sync_peers.record_cursor(addr, response.marker);
        // Past moves come before the tables, so that no target of a rolled-back version is used.
        let past_moves = |told: &ForwardedState| told.state.past_moves.clone();
        let told: Vec<PastMove> = response.states.iter().flat_map(past_moves).collect();
        if self.moves.learn(&told, now) {
            self.publish_targets();
        }
        for forwarded in response.states {
            let (name, age_ms) = (forwarded.state.host.clone(), forwarded.age_ms);
            if self.membership.apply_forwarded(forwarded, asked, now) {
                tracing::debug!(host = %name, age_ms, "fleet: received a new state of a host");
            }
        }
        for beat in response.beats {
            if !self.membership.apply_heartbeat(beat, asked) {
                self.sync_peers.forget_cursor(addr);
            }
        }
        let updates = [
            (StoredTable::Orders, response.orders),
            (StoredTable::Targets, response.targets),
        ];
        for (table, update) in updates {
            match update.map(PackedUpdate::unpack) {
                Some(Ok(update)) => self.apply(table, &update, UpdateSource::Host(addr)),
                Some(Err(error)) => {
                    tracing::warn!(
                        %addr,
                        code = Code::PeerMalformed.number(),
                        "fleet: dropped an update: {error}"
                    );
                }
                None => {}
            }
        }
        self.check_ready(now);
    }

    fn tick(&mut self) -> DrainStep {
        let now = self.now();
        self.ticks += 1;
        self.check_ready(now);
        let leaving = self.parts.board.targets.read().value.leaving;
        if self.targets.expire(now) || self.targets.leaving() != leaving {
            self.publish_targets();
        }
        if self.orders.expire(self.parts.io.platform.as_ref(), now) {
            self.publish_orders(now);
        }
        let is_starting = self.parts.board.stage() == HostStage::Starting;
        if is_starting || self.ticks.is_multiple_of(TICKS_PER_SYNC) {
            self.sync(now);
        }
        if is_starting && let Some(addr) = self.parts.settings.seed_in_turn(self.ticks) {
            self.sync_with(addr);
        }
        self.step_moves(now);
        self.read_store(now);
        self.parts.stop.step(now)
    }

    fn check_ready(&mut self, now: MonoNs) {
        let board = &self.parts.board;
        if board.stage() != HostStage::Starting || !board.routes.read().value.is_known() {
            return;
        }
        let has_waited = now.ms_since(self.started) >= START_WAIT_MS;
        if self.targets.len() > 0 || has_waited {
            board.set_stage(HostStage::Ready);
            // Announces the new stage to the other hosts, and lets the directory list this host.
            self.sync(now);
            let board = &self.parts.board;
            tracing::info!(
                routes_version = board.routes.read().value.version,
                targets = self.targets.len(),
                "gateway: ready for callers"
            );
        }
    }

    fn sync(&mut self, now: MonoNs) {
        let status = LocalStatus {
            stage: self.parts.board.stage(),
            is_settled: self.membership.is_settled(now),
            moves: self.moves.states(now),
            past_moves: self.moves.past_moves().list(),
            crashes: self.crashes.tallies(now),
            served: self.crashes.served(),
            requests: self.parts.board.counts.requests.load(Ordering::Relaxed),
        };
        let own = self.announcement.next(&self.parts.settings, status, now);
        self.membership.set_own(own, now);
        self.membership.remove_expired(now);
        let fleet = self.membership.view(now);
        let before = self.parts.board.fleet.read_owned();
        let has_changed = !before.value.has_same_hosts(&fleet);
        if has_changed {
            tracing::info!(
                live = fleet.live.len(),
                ready = fleet.ready().count(),
                known = fleet.known,
                "fleet: the set of live hosts changed"
            );
        }
        let targets = u64::try_from(self.targets.len()).unwrap_or(u64::MAX);
        let per_target_s = self.parts.settings.probes_per_s;
        let probes = &self.parts.board.probes;
        probes.set_rates(per_target_s, targets, fleet.requests_per_s());
        self.parts.writers.fleet.publish(fleet);
        self.parts
            .fleet_writers
            .membership
            .publish(self.membership.clone());
        self.publish_quarantined();
        if has_changed {
            self.publish_targets();
        }
        let fleet = self.parts.board.fleet.read_owned();
        let settings = &self.parts.settings;
        let own = (&settings.host, &settings.zone);
        let (membership, rng) = (&self.membership, &mut self.rng);
        let partners = self
            .sync_peers
            .partners(membership, &fleet.value, own, now, rng);
        for addr in partners {
            self.sync_with(addr);
        }
    }

    /// Requests newer orders from a host that has them, unless such a request is already under way.
    fn fetch_newer_orders(&mut self) {
        if let Some(addr) = self.orders_catch_up.next() {
            self.sync_with(addr);
        }
    }

    /// Starts an exchange with a host.
    fn sync_with(&mut self, addr: SocketAddr) {
        let Some(own) = self.announcement.last_announced() else {
            return;
        };
        let wants_orders = self
            .orders_catch_up
            .begin(!self.orders.replica().version().is_none());
        let board = &self.parts.fleet_board;
        let now = self.now();
        let marker = self.sync_peers.marker(addr);
        let request = board.request(own.clone(), marker, wants_orders, now);
        self.parts.io.sync(addr, request, now);
    }

    fn step_moves(&mut self, now: MonoNs) {
        let fleet = self.parts.board.fleet.read_owned();
        let host = &self.parts.settings.host;
        self.moves.step(host, &fleet.value, &self.parts.io, now);
    }

    fn read_store(&mut self, now: MonoNs) {
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
            }
        }
    }

    fn reload(&mut self, new: GatewaySettings) {
        let parts = &mut self.parts;
        let reloaded = parts.settings.reload(new);
        let settings = &parts.settings;
        tracing::info!(
            changed = reloaded.changed.join(", "),
            needs_restart = reloaded.needs_restart.join(", "),
            "gateway: the settings were read again"
        );
        self.store_call_scheduler.set_leave_ms(settings.leave_ms);
        parts.stop.grace_ms = settings.grace_ms;
        for seed in &settings.seeds {
            self.membership.add_seed(*seed);
        }
        if reloaded.changed.contains(&"budget") {
            publish_budget_limits(&parts.board, &mut parts.writers, settings.budget);
        }
    }

    fn begin_stop(&mut self) {
        let now = self.now();
        if self.parts.stop.begin(now) {
            self.parts.board.set_stage(HostStage::Leaving);
            self.sync(now);
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
