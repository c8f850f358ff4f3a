//! Runs the controllers in a loop and publishes their decisions to the blackboard.

mod exchanges;
mod tables;

use crate::announcement::Announcement;
use crate::connection_pools::ConnectionPools;
use crate::events::GatewayEvent;
use crate::fleet_board::{FleetBoard, FleetWriters};
use crate::graceful_shutdown::GracefulShutdown;
use crate::io::Io;
use crate::move_executor::MoveExecutor;
use crate::order_registry::OrderRegistry;
use crate::orders_catch_up::OrdersCatchUp;
use crate::quarantine_log::log_quarantine;
use crate::route_publisher::publish_budget_limits;
use crate::startup_delays::StartupDelays;
use crate::store_call_scheduler::StoreCallScheduler;
use crate::sync_peers::SyncPeers;
use crate::target_registry::TargetRegistry;
use crate::{GatewaySettings, Platform};
use heatherhinge_proxy::Clock;
use heatherhinge_steering::{
    CrashWatch, DrainStep, HostStage, Membership, SteeringBoard, SteeringWriters, StoreEpoch,
};
use heatherhinge_types::MonoNs;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
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
    /// Whether the verdicts on versions are being read, without which the host could send to a version
    /// that was rolled back.
    awaits_verdicts: bool,
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
            awaits_verdicts: false,
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
            GatewayEvent::VerdictsRead(result) => self.handle_verdicts_read(result),
            GatewayEvent::VerdictsWritten { service, result } => {
                self.moves.handle_verdicts_written(&service, result);
            }
            GatewayEvent::Crashed { digest, target_key } => {
                self.crashes.count(digest, target_key, self.now());
                self.publish_quarantined();
            }
            GatewayEvent::Stop => self.begin_stop(),
            GatewayEvent::Reload(settings) => self.reload(*settings),
        }
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
        let is_complete = self.targets.len() > 0 && !self.awaits_verdicts;
        if is_complete || has_waited {
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

    fn step_moves(&mut self, now: MonoNs) {
        let fleet = self.parts.board.fleet.read_owned();
        let host = &self.parts.settings.host;
        self.moves.step(host, &fleet.value, &self.parts.io, now);
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
