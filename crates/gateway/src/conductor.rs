//! Steps the controllers and publishes what they decide.

use crate::caller_server::{ListenMode, OpenConnections};
use crate::events::GatewayEvent;
use crate::fleet_board::{FleetBoard, FleetWriters};
use crate::fleet_service::SyncAnswer;
use crate::forward::Forwarder;
use crate::intake::OrderBook;
use crate::io::Io;
use crate::links::Links;
use crate::store_duty::{StoreCall, StoreChange, StoreDuty, StoreFacts, store_readers};
use crate::{GatewaySettings, Platform, StoreFault, StoredTable, WriteOutcome};
use heatherhinge_proxy::Clock;
use heatherhinge_steering::{
    BeatId, CrashWatch, DrainNext, FleetView, HostStage, HostState, Membership, MoveControl,
    MoveEffect, MoveReport, MoveState, Replica, ReportedState, RetryBudget, RouteStat,
    SteeringBoard, SteeringWriters, TableUpdate, TargetControl, TargetInputs, drain_next,
};
use heatherhinge_types::{MonoNs, Name};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

/// Time between two steps of the controllers.
const TICK: Duration = Duration::from_millis(150);
/// Time between two steps until the host takes callers. All hosts may have lost power at once, and
/// callers wait.
const START_TICK: Duration = Duration::from_millis(60);
/// Steps between exchanges with other hosts.
const TICKS_PER_SYNC: u64 = 2;
/// Shortest time over which requests are counted for a rate, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 250;
/// Hosts that are told at once of new orders. Each of them tells as many others.
const TOLD_OF_ORDERS: usize = 4;
/// Time after its start for which a host learns from others before it asks the store, in
/// milliseconds. A fleet that starts at once would else make four calls for each host.
const LEARN_MS: u64 = 1_000;
/// Longest further time, drawn at random, in milliseconds.
const LEARN_SPREAD_MS: u64 = 1_000;
/// Time for which a host waits for registrations before it takes callers without, in
/// milliseconds.
const START_WAIT_MS: u64 = 2_500;
/// Beats after which a change of the counts of a move is told, so that they are told at most
/// about every 600 ms.
const BEATS_PER_TALLY: u32 = 2;
/// Change of the request rate that is told, in percent.
const RATE_CHANGE_PERCENT: u32 = 25;

/// What the conductor is made of.
pub(crate) struct ConductorParts<P> {
    pub(crate) settings: GatewaySettings,
    pub(crate) board: Arc<SteeringBoard>,
    pub(crate) writers: SteeringWriters,
    pub(crate) fleet_board: Arc<FleetBoard>,
    pub(crate) fleet_writers: FleetWriters,
    pub(crate) io: Io<P>,
    pub(crate) links: Arc<Links>,
    pub(crate) forwarder: Arc<Forwarder>,
    pub(crate) clock: Clock,
    pub(crate) incarnation: u64,
    pub(crate) seed: u64,
    pub(crate) mode: watch::Sender<ListenMode>,
    pub(crate) open: Arc<OpenConnections>,
}

/// Owns the controllers and all writers of the blackboard.
pub(crate) struct Conductor<P> {
    parts: ConductorParts<P>,
    membership: Membership,
    orders: Replica,
    targets: Replica,
    book: OrderBook,
    target_control: TargetControl,
    moves: MoveControl,
    crashes: CrashWatch,
    rng: Pcg64Mcg,
    started: MonoNs,
    beat: u32,
    ticks: u64,
    told: Option<HostState>,
    /// Whether an exchange is under way that may bring orders.
    orders_asked: bool,
    /// A host that has newer orders.
    newer_orders_at: Option<SocketAddr>,
    /// Since when another host is known to have newer orders.
    behind_since: Option<MonoNs>,
    store_duty: StoreDuty,
    requests_per_s: u32,
    requests_before: u64,
    counted_at: MonoNs,
    stop_since: Option<MonoNs>,
}

impl<P: Platform> Conductor<P> {
    pub(crate) fn new(parts: ConductorParts<P>, membership: Membership) -> Self {
        let started = parts.clock.mono_ns();
        let mut rng = Pcg64Mcg::seed_from_u64(parts.seed);
        let settings = &parts.settings;
        let is_seed = settings.seeds.is_empty() || settings.seeds.contains(&settings.peer_addr);
        let learn_ms = if is_seed {
            0
        } else {
            LEARN_MS + rng.random_range(0..LEARN_SPREAD_MS)
        };
        let store_duty = StoreDuty::new(started, learn_ms, settings.leave_ms);
        Self {
            membership,
            orders: Replica::default(),
            targets: Replica::default(),
            book: OrderBook::default(),
            target_control: TargetControl::default(),
            moves: MoveControl::default(),
            crashes: CrashWatch::default(),
            rng,
            started,
            beat: 0,
            ticks: 0,
            told: None,
            orders_asked: false,
            newer_orders_at: None,
            behind_since: None,
            store_duty,
            requests_per_s: 0,
            requests_before: 0,
            counted_at: started,
            stop_since: None,
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
                Some(event) = events.recv() => self.take(event),
                () = sleep_until(next_tick) => {
                    if self.tick() == DrainNext::Exit {
                        break;
                    }
                    let is_starting = self.parts.board.stage() == HostStage::Starting;
                    next_tick = Instant::now() + if is_starting { START_TICK } else { TICK };
                }
            }
        }
        // An error means that nobody waits for the end.
        exit.send(()).ok();
    }

    fn now(&self) -> MonoNs {
        self.parts.clock.mono_ns()
    }

    fn take(&mut self, event: GatewayEvent) {
        match event {
            GatewayEvent::Stored { table, result } => self.stored(table, result),
            GatewayEvent::Synced {
                wanted_orders,
                answer,
            } => {
                if wanted_orders {
                    self.orders_asked = false;
                }
                if let Some(answer) = answer {
                    self.synced(*answer);
                }
                self.ask_for_orders();
            }
            GatewayEvent::Heard { state, orders_told } => {
                let peer_addr = state.peer_addr;
                self.heard(*state);
                if orders_told > self.orders.changed_version() {
                    self.behind_since = self.behind_since.or_else(|| Some(self.now()));
                    self.newer_orders_at = Some(peer_addr);
                    self.ask_for_orders();
                }
            }
            GatewayEvent::HostsRead(addrs) => {
                for addr in addrs {
                    if addr != self.parts.settings.peer_addr {
                        self.membership.add_lead(addr);
                    }
                }
            }
            GatewayEvent::Registered(result) => match result {
                Ok(()) => tracing::info!("fleet: this host is registered"),
                Err(error) => {
                    tracing::info!("fleet: this host was not registered: {error}");
                    self.store_duty.register_failed(self.now());
                }
            },
            GatewayEvent::ReportRead { service, result } => match result {
                Ok(report) => self.moves.set_report(&service, report, self.now()),
                Err(error) => {
                    tracing::info!(%service, "moves: the report was not read: {error}");
                    self.moves.report_unknown(&service);
                }
            },
            GatewayEvent::ReportWritten {
                service,
                to,
                state,
                result,
            } => self.report_written(&service, to, state, result),
            GatewayEvent::Crashed { digest } => {
                self.crashes.count(digest, self.now());
                self.publish_held_back();
            }
            GatewayEvent::Stop => self.begin_stop(),
            GatewayEvent::Reload => tracing::info!("gateway: the settings are unchanged"),
        }
    }

    fn stored(&mut self, table: StoredTable, result: Result<TableUpdate, StoreFault>) {
        let now = self.now();
        let change = self.store_duty.ended(table, result.as_ref().err(), now);
        match result {
            Ok(update) => {
                if change == StoreChange::Regained {
                    tracing::info!(%table, version = update.version, "store: it answers again");
                }
                self.apply(table, &update);
            }
            Err(error) if change == StoreChange::Lost => {
                tracing::warn!(%table, "store: {error}");
            }
            Err(error) => tracing::debug!(%table, "store: {error}"),
        }
        self.read_store(now);
        self.check_ready(now);
    }

    fn apply(&mut self, table: StoredTable, update: &TableUpdate) {
        match table {
            StoredTable::Orders => self.apply_orders(update),
            StoredTable::Targets => self.apply_targets(update),
        }
    }

    fn apply_orders(&mut self, update: &TableUpdate) {
        let now = self.now();
        let is_same = |before: &[u8], after: &[u8]| before == after;
        let applied = self.orders.apply(update, now, is_same);
        self.parts.fleet_writers.orders.publish(self.orders.clone());
        if applied.is_empty() {
            return;
        }
        self.behind_since = None;
        self.newer_orders_at = None;
        let platform = Arc::clone(&self.parts.io.platform);
        for change in &applied {
            self.book.apply(platform.as_ref(), change);
        }
        let names: Vec<Name> = self.book.route_names();
        self.moves.set_orders(self.book.moves(), &names, now);
        self.publish_routes();
        self.publish_targets();
        for addr in self.membership.partners(TOLD_OF_ORDERS, now, &mut self.rng) {
            self.ask(addr);
        }
    }

    fn publish_routes(&mut self) {
        let table = self.book.routes();
        let writers = &mut self.parts.writers;
        if !writers.routes.publish_if_changed(table.clone()) {
            return;
        }
        tracing::info!(version = table.version, "orders: routes in force");
        let old = Arc::clone(&self.parts.board.budgets.read_owned());
        let limits = self.parts.settings.budget;
        let budget = |name: &Name| {
            let known = old.value.get(name).map(Arc::clone);
            known.unwrap_or_else(|| Arc::new(RetryBudget::new(limits)))
        };
        let budgets = table
            .services
            .keys()
            .map(|name| (name.clone(), budget(name)));
        writers.budgets.publish(budgets.collect());
        let old = Arc::clone(&self.parts.board.route_stats.read_owned());
        let seed = self.parts.seed;
        let stat = |name: &Name| {
            let known = old.value.get(name).map(Arc::clone);
            known.unwrap_or_else(|| Arc::new(RouteStat::new(seed)))
        };
        let stats = table
            .routes()
            .map(|route| (route.name.clone(), stat(&route.name)));
        writers.route_stats.publish(stats.collect());
    }

    fn apply_targets(&mut self, update: &TableUpdate) {
        let now = self.now();
        let before = self.targets.as_of();
        let platform = Arc::clone(&self.parts.io.platform);
        let is_same = |before: &[u8], after: &[u8]| platform.is_same_target(before, after);
        let applied = self.targets.apply(update, now, is_same);
        let gap_ms = self.targets.as_of().ms_since(before);
        self.parts
            .fleet_writers
            .targets
            .publish(self.targets.clone());
        if applied.is_empty() {
            return;
        }
        for change in &applied {
            self.apply_target(change, gap_ms, now);
        }
        self.publish_targets();
    }

    fn apply_target(
        &mut self,
        change: &heatherhinge_steering::AppliedChange,
        gap_ms: u64,
        now: MonoNs,
    ) {
        let Some(row) = &change.row else {
            tracing::info!(target = %change.key, gap_ms, "targets: the entry is gone");
            self.target_control.remove(&change.key, gap_ms, now);
            return;
        };
        match self.parts.io.platform.target(&change.key, &row.content) {
            Ok(entry) => self.target_control.set(entry, now),
            Err(error) => {
                tracing::debug!(key = %change.key, "targets: an entry names no target: {error}");
                self.target_control.remove(&change.key, 0, now);
            }
        }
    }

    fn publish_targets(&mut self) {
        let fleet = self.parts.board.fleet.read_owned();
        let routes = self.parts.board.routes.read_owned();
        let gauges = self.moves.gauges();
        let table = self.target_control.table(
            self.targets.version(),
            &TargetInputs {
                host: &self.parts.settings.host,
                zone: &self.parts.settings.zone,
                routes: &routes.value,
                zones_out: self.book.zones_out(),
                gauges: &gauges,
                fleet: &fleet.value,
            },
        );
        let ids: BTreeSet<Name> = table
            .pools
            .values()
            .flat_map(|pool| [&pool.current, &pool.moving])
            .flat_map(|group| group.near.iter().chain(&group.far))
            .map(|target| target.id().clone())
            .collect();
        self.parts.links.retain(&ids);
        self.parts.writers.targets.publish(table);
    }

    fn publish_held_back(&mut self) {
        let fleet = self.parts.board.fleet.read_owned();
        let held_back = self
            .crashes
            .held_back(&self.parts.settings.host, &fleet.value);
        let count = held_back.len();
        if self.parts.writers.held_back.publish_if_changed(held_back) {
            tracing::info!(count, "crashes: the requests held back have changed");
        }
    }

    fn heard(&mut self, state: HostState) {
        let now = self.now();
        let name = state.host.clone();
        if self.membership.hear(state, now) {
            tracing::debug!(host = %name, "fleet: heard");
        }
    }

    fn synced(&mut self, answer: SyncAnswer) {
        for state in answer.states {
            self.heard(state);
        }
        let now = self.now();
        for beat in answer.beats {
            self.membership.hear_beat(beat, now);
        }
        if let Some(update) = answer.orders {
            self.apply_orders(&update);
        }
        if let Some(update) = answer.targets {
            self.apply_targets(&update);
        }
        self.check_ready(now);
    }

    /// Makes the state that the others are told, with a new revision if its content is new.
    fn own_state(&mut self, now: MonoNs) -> HostState {
        let settings = &self.parts.settings;
        let mut state = HostState {
            host: settings.host.clone(),
            id: BeatId {
                incarnation: self.parts.incarnation,
                beat: self.beat,
            },
            revision: 0,
            caller_addr: settings.caller_addr,
            peer_addr: settings.peer_addr,
            zone: settings.zone.clone(),
            stage: self.parts.board.stage(),
            requests_per_s: self.requests_per_s,
            capacity_milli: settings.capacity_milli,
            moves: self.moves.states(now),
            crashes: self.crashes.tallies(),
        };
        if let Some(told) = &self.told {
            let may_tell_tallies = self.beat.is_multiple_of(BEATS_PER_TALLY);
            state.revision = told.revision;
            if is_news(told, &state, may_tell_tallies) {
                state.revision += 1;
            } else {
                state.requests_per_s = told.requests_per_s;
                state.moves.clone_from(&told.moves);
            }
        }
        self.told = Some(state.clone());
        state
    }

    fn tick(&mut self) -> DrainNext {
        let now = self.now();
        self.ticks += 1;
        self.check_ready(now);
        if self.target_control.expire(now) {
            self.publish_targets();
        }
        let is_starting = self.parts.board.stage() == HostStage::Starting;
        if is_starting || self.ticks.is_multiple_of(TICKS_PER_SYNC) {
            self.sync(now);
        }
        if is_starting {
            self.ask_next_seed();
        }
        self.step_moves(now);
        self.read_store(now);
        self.drain(now)
    }

    fn check_ready(&mut self, now: MonoNs) {
        let board = &self.parts.board;
        if board.stage() != HostStage::Starting || !board.routes.read().value.is_known() {
            return;
        }
        let has_waited = now.ms_since(self.started) >= START_WAIT_MS;
        if !self.target_control.is_empty() || has_waited {
            board.set_stage(HostStage::Ready);
            // Tells the others, and lets the directory name this host.
            self.sync(now);
            let board = &self.parts.board;
            tracing::info!(
                routes_version = board.routes.read().value.version,
                targets = self.target_control.len(),
                "gateway: ready for callers"
            );
        }
    }

    fn sync(&mut self, now: MonoNs) {
        self.beat += 1;
        self.count_requests(now);
        let own = self.own_state(now);
        self.membership.set_own(own.clone(), now);
        self.membership.forget_silent(now);
        let fleet = self.membership.view(now);
        let before = self.parts.board.fleet.read_owned();
        let hosts = |view: &FleetView| -> Vec<(Name, HostStage)> {
            let of = |host: &HostState| (host.host.clone(), host.stage);
            view.live.iter().map(of).collect()
        };
        let has_changed = hosts(&before.value) != hosts(&fleet);
        if has_changed {
            tracing::info!(
                live = fleet.live.len(),
                ready = fleet.ready().count(),
                known = fleet.known,
                "fleet: the live hosts have changed"
            );
        }
        self.share_probes(&fleet);
        self.parts.writers.fleet.publish(fleet);
        self.parts
            .fleet_writers
            .membership
            .publish(self.membership.clone());
        self.publish_held_back();
        if has_changed {
            self.publish_targets();
        }
        let mut partners = self.membership.partners(1, now, &mut self.rng);
        let readers = self.other_readers();
        if !readers.is_empty() {
            partners.push(readers[self.rng.random_range(0..readers.len())]);
        }
        partners.extend(self.membership.lost_lead(now, &mut self.rng));
        partners.dedup();
        for addr in partners {
            self.ask(addr);
        }
    }

    /// Asks the hosts that the settings name, which read the store first, in turn. A hundred hosts
    /// that start at once would else take all of their processor time.
    fn ask_next_seed(&mut self) {
        let settings = &self.parts.settings;
        let seeds = settings.seeds.iter().copied();
        let seeds: Vec<SocketAddr> = seeds.filter(|addr| *addr != settings.peer_addr).collect();
        if seeds.is_empty() {
            return;
        }
        let turn = self.ticks.wrapping_add(self.parts.seed) % seeds.len() as u64;
        if let Some(addr) = usize::try_from(turn).ok().and_then(|turn| seeds.get(turn)) {
            self.ask(*addr);
        }
    }

    /// Returns the addresses of the other hosts that read the store for the fleet.
    fn other_readers(&self) -> Vec<SocketAddr> {
        let fleet = self.parts.board.fleet.read();
        store_readers(&fleet.value)
            .into_iter()
            .filter(|host| host.host != self.parts.settings.host)
            .map(|host| host.peer_addr)
            .collect()
    }

    /// Asks a host that has newer orders for them, unless another one is being asked.
    fn ask_for_orders(&mut self) {
        if self.orders_asked {
            return;
        }
        if let Some(addr) = self.newer_orders_at.take() {
            self.ask(addr);
        }
    }

    /// Begins an exchange with a host. Only one exchange at a time may bring orders, because they
    /// can be large and several hosts may have the same ones.
    fn ask(&mut self, addr: SocketAddr) {
        let Some(own) = &self.told else {
            return;
        };
        let wants_orders = !self.orders_asked || self.orders.version() == 0;
        self.orders_asked = true;
        let board = &self.parts.fleet_board;
        let request = board.request(own.clone(), wants_orders, self.parts.clock.mono_ns());
        self.parts.io.sync(addr, request);
    }

    /// Measures the requests a second since the last exchange, smoothed over about two seconds.
    fn count_requests(&mut self, now: MonoNs) {
        let total = self.parts.board.counts.requests.load(Ordering::Relaxed);
        let new = total.saturating_sub(self.requests_before);
        let passed_ms = now.ms_since(self.counted_at);
        if passed_ms < COUNT_INTERVAL_MS {
            return;
        }
        self.counted_at = now;
        self.requests_before = total;
        let rate = new * 1_000 / passed_ms;
        let smoothed = (u64::from(self.requests_per_s) * 7 + rate).div_ceil(8);
        self.requests_per_s = u32::try_from(smoothed).unwrap_or(u32::MAX);
    }

    fn share_probes(&self, fleet: &FleetView) {
        let live: u64 = fleet
            .live
            .iter()
            .map(|host| u64::from(host.requests_per_s))
            .sum();
        let targets = u64::try_from(self.target_control.len()).unwrap_or(u64::MAX);
        let per_target_s = self.parts.settings.probes_per_s;
        self.parts
            .board
            .probes
            .set_rates(per_target_s, targets, live);
    }

    fn step_moves(&mut self, now: MonoNs) {
        let fleet = self.parts.board.fleet.read_owned();
        let effects = self
            .moves
            .step(&self.parts.settings.host, &fleet.value, now);
        for effect in effects {
            match effect {
                MoveEffect::ReadReport(service) => self.parts.io.read_report(service),
                MoveEffect::WriteReport {
                    service,
                    to,
                    state,
                    expected_version,
                } => {
                    tracing::info!(%service, %to, ?state, expected_version, "moves: writing a report");
                    self.parts
                        .io
                        .write_report(service, to, state, expected_version);
                }
                MoveEffect::Note {
                    service,
                    stage,
                    reason,
                } => tracing::info!(%service, ?stage, reason, "moves: a move has a new stage"),
            }
        }
    }

    fn report_written(
        &mut self,
        service: &Name,
        to: Name,
        state: ReportedState,
        result: Result<WriteOutcome, StoreFault>,
    ) {
        match result {
            Ok(WriteOutcome::Written(version)) => {
                tracing::info!(%service, %to, ?state, version, "moves: the report was written");
                let report = MoveReport { to, state, version };
                self.moves.set_report(service, Some(report), self.now());
            }
            Ok(WriteOutcome::Conflict) => {
                tracing::info!(%service, "moves: another report was there first");
                self.moves.report_unknown(service);
            }
            Err(error) => {
                tracing::info!(%service, "moves: the report's fate is unknown: {error}");
                self.moves.report_unknown(service);
            }
        }
    }

    fn read_store(&mut self, now: MonoNs) {
        let settings = &self.parts.settings;
        let fleet = self.parts.board.fleet.read();
        let own = &settings.host;
        let facts = StoreFacts {
            is_reader: store_readers(&fleet.value)
                .iter()
                .any(|host| host.host == *own),
            orders_behind_ms: self.behind_since.map_or(0, |since| now.ms_since(since)),
            is_alone: !self.membership.others().any(|host| host.is_live(now)),
            orders_version: self.orders.version(),
            targets_version: self.targets.version(),
            targets_age_ms: self.targets.age_ms(now),
        };
        drop(fleet);
        for call in self.store_duty.next(&facts, now) {
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

    fn begin_stop(&mut self) {
        if self.stop_since.is_some() {
            return;
        }
        let now = self.now();
        self.stop_since = Some(now);
        self.parts.board.set_stage(HostStage::Leaving);
        self.parts.mode.send_replace(ListenMode::CloseAfterAnswer);
        tracing::info!(
            connections = self.parts.open.count(),
            "gateway: a planned stop begins"
        );
        self.sync(now);
    }

    fn drain(&mut self, now: MonoNs) -> DrainNext {
        let Some(since) = self.stop_since else {
            return DrainNext::Serve;
        };
        let in_flight = self.parts.open.count();
        let next = drain_next(since, now, self.parts.settings.grace_ms, in_flight);
        if next != DrainNext::Serve {
            self.parts
                .forwarder
                .is_closed
                .store(true, Ordering::Release);
            self.parts.mode.send_replace(ListenMode::Closed);
        }
        if next == DrainNext::Exit {
            tracing::info!(
                connections = in_flight,
                "gateway: the planned stop is complete"
            );
        }
        next
    }
}

/// Returns whether a state says more than the one that was told last.
fn is_news(told: &HostState, state: &HostState, may_tell_tallies: bool) -> bool {
    let (old, new) = (told.requests_per_s, state.requests_per_s);
    let rate_changed = old.abs_diff(new) * 100 > old.max(4) * RATE_CHANGE_PERCENT;
    let stages = |state: &HostState| -> Vec<_> {
        let of = |known: &MoveState| {
            let in_flight = known.current_in_flight > 0;
            (
                known.order_version,
                known.stage,
                known.is_reported,
                in_flight,
            )
        };
        state.moves.iter().map(of).collect()
    };
    let tallies = |state: &HostState| -> Vec<_> {
        state
            .moves
            .iter()
            .map(|known| known.routes.clone())
            .collect()
    };
    rate_changed
        || told.stage != state.stage
        || told.crashes != state.crashes
        || stages(told) != stages(state)
        || (may_tell_tallies && tallies(told) != tallies(state))
}
