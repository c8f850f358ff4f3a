//! Runs the controllers and executes their effects.
//!
//! Controllers share state only through the blackboard. The control loop passes each one its events
//! and the time, spawns the I/O that it requests, and handles the outcome as another event.

use crate::bundle_store::BundleStore;
use crate::event::{EventReceiver, EventSender, HostEvent};
use crate::host_record::HostRecordBuilder;
use crate::io::Io;
use crate::local_claims::LocalClaims;
use crate::pending_crash_reports::PendingCrashReports;
use heatherhinge_blackboard::{Blackboard, Writers};
use heatherhinge_controllers::{
    BundleController, BundleEffect, BundleEvent, Controller, DrainController, DrainEffect,
    DrainEvent, DrainLimits, HostIdentity, ListedHost, ListedTarget, MembershipController,
    MembershipEffect, MembershipEvent, MembershipSettings, MoveController, MoveEffect, MoveEvent,
    OwnershipController, OwnershipEffect, OwnershipEvent, PeerBundleStatus, QuarantineController,
    QuarantineEffect, QuarantineEvent, TargetController, TargetEvent, WarmupController,
    WarmupEffect, WarmupEvent, ZoneController, ZoneEffect, ZoneEvent,
};
use heatherhinge_platform::Listing;
use heatherhinge_proxy::Clock;
use heatherhinge_records::{Record, RecordBasis, RecordEvent, RecordSink, Subject};
use heatherhinge_types::Now;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

/// Time between two ticks. The warmup controller has the shortest requirement, 250 ms.
const TICK: Duration = Duration::from_millis(100);

/// The parts that the control loop is built from.
pub(crate) struct ControlLoopParts<S> {
    pub(crate) board: Arc<Blackboard>,
    pub(crate) writers: Writers,
    pub(crate) clock: Clock,
    pub(crate) events: EventSender,
    pub(crate) claims: Arc<LocalClaims>,
    pub(crate) bundles: Arc<BundleStore>,
    pub(crate) io: Io,
    pub(crate) records: S,
    pub(crate) record_builder: HostRecordBuilder,
    pub(crate) identity: HostIdentity,
    pub(crate) membership: MembershipSettings,
    pub(crate) drain: DrainLimits,
    pub(crate) seed: u64,
}

/// Signals to the host for the steps of a stop that the control loop does not perform itself.
#[derive(Debug)]
pub(crate) struct ShutdownSignals {
    /// Sent once when the listener for callers must close.
    pub(crate) close_listener: Option<oneshot::Sender<()>>,
    /// Sent once when the process may exit.
    pub(crate) exit: Option<oneshot::Sender<()>>,
}

/// Owns all controllers of a host.
pub(crate) struct ControlLoop<S> {
    board: Arc<Blackboard>,
    clock: Clock,
    events: EventSender,
    claims: Arc<LocalClaims>,
    io: Io,
    records: S,
    record_builder: HostRecordBuilder,
    reports: PendingCrashReports,
    signals: ShutdownSignals,
    membership: MembershipController,
    bundle: BundleController,
    ownership: OwnershipController,
    zones: ZoneController,
    warmup: WarmupController,
    quarantine: QuarantineController,
    moves: MoveController,
    targets: TargetController,
    drain: DrainController,
    bundle_seen: u64,
}

impl<S: RecordSink> ControlLoop<S> {
    /// Creates the controllers, each with the writer of its blackboard entry.
    pub(crate) fn new(parts: ControlLoopParts<S>, signals: ShutdownSignals) -> Self {
        let ControlLoopParts {
            board,
            writers,
            clock,
            events,
            claims,
            bundles,
            io,
            ..
        } = parts;
        let now = clock.now();
        Self {
            membership: MembershipController::new(writers.hosts, parts.membership),
            bundle: BundleController::new(writers.bundle),
            ownership: OwnershipController::new(writers.owners, parts.identity, now),
            zones: ZoneController::new(writers.zones),
            warmup: WarmupController::new(writers.warmth),
            quarantine: QuarantineController::new(writers.quarantine),
            moves: MoveController::new(writers.moves, parts.seed),
            targets: TargetController::new(writers.routing),
            drain: DrainController::new(parts.drain),
            reports: PendingCrashReports::default(),
            record_builder: parts.record_builder,
            records: parts.records,
            board,
            clock,
            events,
            claims,
            io: Io { bundles, ..io },
            signals,
            bundle_seen: 0,
        }
    }

    /// Runs until the host stops.
    pub(crate) async fn run(mut self, mut receiver: EventReceiver) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while self.signals.exit.is_some() {
            tokio::select! {
                event = receiver.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
            self.propagate_changes();
        }
    }

    fn handle(&mut self, event: HostEvent) {
        match event {
            HostEvent::Listed(listing) => self.handle_listing(&listing),
            HostEvent::TargetLeaving => {
                let now = self.now();
                self.targets.step(&self.board, TargetEvent::Leaving, now);
            }
            HostEvent::Warmup(event) => self.step_warmup(event),
            HostEvent::Quarantine(event) => self.step_quarantine(event),
            HostEvent::Crashed { report, done } => {
                let id = self.reports.add_own(done);
                self.step_quarantine(QuarantineEvent::Crashed { id, report });
            }
            HostEvent::PeerCrashed { report, respond_to } => {
                let event = self.reports.add_peer(report, respond_to);
                self.step_quarantine(event);
            }
            HostEvent::ApplyQuarantine { quarantine, done } => {
                self.step_quarantine(QuarantineEvent::PeerQuarantined(quarantine));
                done.send(()).ok();
            }
            HostEvent::ExchangeRequested {
                request,
                respond_to,
            } => {
                self.step_membership(MembershipEvent::RequestReceived(request), Some(respond_to));
            }
            HostEvent::Exchanged { ticket, answer } => {
                if let Some(contact) = PeerBundleStatus::from_response(&ticket, &answer) {
                    self.step_bundle(BundleEvent::PeerResponded(contact));
                }
                self.step_membership(MembershipEvent::ResponseReceived { ticket, answer }, None);
            }
            HostEvent::Bundle(event) => self.step_bundle(event),
            HostEvent::Ownership(event) => self.step_ownership(event),
            HostEvent::Moves(event) => self.step_moves(event),
            HostEvent::Drain(event) => self.step_drain(event),
        }
    }

    fn tick(&mut self) {
        self.step_bundle(BundleEvent::Tick);
        self.publish_host_record();
        self.step_membership(MembershipEvent::Tick, None);
        self.step_ownership(OwnershipEvent::Tick);
        self.step_zones();
        self.step_warmup(WarmupEvent::Tick);
        self.step_quarantine(QuarantineEvent::Tick);
        self.step_moves(MoveEvent::Tick);
        self.step_drain(DrainEvent::Tick);
        self.claims.expire();
    }

    /// Passes a change of the bundle to the other controllers at once, and rebuilds the routing
    /// snapshot for the data path after any change.
    fn propagate_changes(&mut self) {
        let bundle = self.board.bundle.read().version;
        if bundle != self.bundle_seen {
            self.bundle_seen = bundle;
            // Peers that cannot read the store find the new version in this record.
            self.publish_host_record();
            self.step_zones();
            self.step_moves(MoveEvent::Tick);
            self.step_warmup(WarmupEvent::Tick);
            self.step_drain(DrainEvent::Ready);
        }
        let now = self.now();
        self.targets.step(&self.board, TargetEvent::Tick, now);
    }

    fn now(&self) -> Now {
        self.clock.now()
    }

    fn record(&self, record: Record) {
        self.records.record(record);
    }

    fn handle_listing(&mut self, listing: &Listing) {
        let targets: Vec<ListedTarget> = listing
            .targets
            .iter()
            .map(|target| ListedTarget {
                service: target.service.clone(),
                addr: target.addr,
                zone: target.zone.clone(),
                version: target.version.clone(),
                is_leaving: target.is_leaving,
            })
            .collect();
        let hosts = listing.entries.iter().map(|entry| ListedHost {
            host: entry.host.clone(),
            peer_addr: entry.peer_addr,
        });
        let names = listing
            .entries
            .iter()
            .map(|entry| entry.host.clone())
            .collect();
        self.step_membership(MembershipEvent::Listed(hosts.collect()), None);
        self.step_bundle(BundleEvent::Listed(names));
        self.step_warmup(WarmupEvent::Listed(targets.clone()));
        let now = self.now();
        self.targets
            .step(&self.board, TargetEvent::Listed(targets), now);
    }

    fn publish_host_record(&mut self) {
        if let Some(record) = self
            .record_builder
            .changed(&self.board, self.clock.mono_ns())
        {
            self.step_membership(MembershipEvent::OwnRecordChanged(Box::new(record)), None);
        }
    }

    fn step_membership(
        &mut self,
        event: MembershipEvent,
        mut respond_to: Option<oneshot::Sender<heatherhinge_blackboard::ExchangeResponse>>,
    ) {
        for effect in self.membership.step(&self.board, event, self.clock.now()) {
            match effect {
                MembershipEffect::Exchange { ticket, request } => self.io.exchange(ticket, request),
                MembershipEffect::Respond(response) => {
                    if let Some(sender) = respond_to.take() {
                        sender.send(response).ok();
                    }
                }
            }
        }
    }

    fn step_bundle(&mut self, event: BundleEvent) {
        for effect in self.bundle.step(&self.board, event, self.clock.now()) {
            match effect {
                BundleEffect::ReadRow { requested_ns } => self.io.read_bundle_row(requested_ns),
                BundleEffect::Fetch { version, source } => self.io.fetch_bundle(version, source),
                BundleEffect::InForce { version, digest } => {
                    tracing::info!("bundle: version {} is in force", version.0);
                    let event = RecordEvent::BundleInForce {
                        version: version.0,
                        digest,
                    };
                    let basis = RecordBasis {
                        bundle: version.0,
                        ..RecordBasis::default()
                    };
                    self.record(Record {
                        at_wall_ms: self.now().wall_ms,
                        host: self.board.host.clone(),
                        subject: Subject::Bundle,
                        basis,
                        event,
                    });
                }
            }
        }
    }

    fn step_ownership(&mut self, event: OwnershipEvent) {
        for effect in self.ownership.step(&self.board, event, self.clock.now()) {
            match effect {
                OwnershipEffect::Read { id } => self.io.read_owners(id),
                OwnershipEffect::Write { id, rows } => self.io.write_owners(id, rows),
                OwnershipEffect::HandOverClaims(parts) => {
                    self.io.hand_over(Arc::clone(&self.claims), parts);
                }
                OwnershipEffect::AdoptClaims {
                    partition,
                    giver,
                    from_wall_ms,
                } => {
                    self.claims.adopt(partition, &giver, from_wall_ms);
                }
                OwnershipEffect::Record(record) => self.record(*record),
                OwnershipEffect::Stopped => {
                    self.events.send(HostEvent::Drain(DrainEvent::Released));
                }
            }
        }
    }

    fn step_zones(&mut self) {
        for effect in self
            .zones
            .step(&self.board, ZoneEvent::Tick, self.clock.now())
        {
            let ZoneEffect::Record(record) = effect;
            self.record(*record);
        }
    }

    fn step_warmup(&mut self, event: WarmupEvent) {
        for effect in self.warmup.step(&self.board, event, self.clock.now()) {
            match effect {
                WarmupEffect::AnnounceWarm(warm) => self.record_builder.warm = warm,
                WarmupEffect::NotifyOwner {
                    peer_addr, report, ..
                } => {
                    self.io.report_cold_target(peer_addr, report);
                }
                WarmupEffect::Record(record) => self.record(*record),
            }
        }
    }

    fn step_quarantine(&mut self, event: QuarantineEvent) {
        for effect in self.quarantine.step(&self.board, event, self.clock.now()) {
            match effect {
                QuarantineEffect::ReportCrash {
                    peer_addr,
                    id,
                    report,
                    ..
                } => {
                    self.io.report_crash(peer_addr, id, report);
                }
                QuarantineEffect::ReportSuccess {
                    peer_addr, digest, ..
                } => {
                    self.io.report_success(peer_addr, digest);
                }
                QuarantineEffect::Broadcast { quarantine, peers } => {
                    self.io.broadcast_quarantine(quarantine, peers);
                }
                QuarantineEffect::RespondToPeer { to, id, outcome } => {
                    self.reports.respond_to_peer(&to, id, outcome);
                }
                QuarantineEffect::Settled { id, .. } => self.reports.settle_own(id),
                QuarantineEffect::Announce(quarantines) => {
                    self.record_builder.quarantine = quarantines
                }
                QuarantineEffect::Record(record) => self.record(*record),
            }
        }
    }

    fn step_moves(&mut self, event: MoveEvent) {
        for effect in self.moves.step(&self.board, event, self.clock.now()) {
            match effect {
                MoveEffect::ReadRow { move_id } => self.io.read_move(move_id),
                MoveEffect::WriteRow { row, expected_step } => {
                    self.io.write_move(row, expected_step);
                }
                MoveEffect::WriteReport(report) => self.io.write_report(report),
                MoveEffect::NotifyLeader {
                    peer_addr, move_id, ..
                } => {
                    self.io.report_halt(peer_addr, move_id);
                }
                MoveEffect::Publish { evidence, verdicts } => {
                    self.record_builder.evidence = evidence;
                    self.record_builder.verdicts = verdicts;
                }
                MoveEffect::Record(record) => self.record(*record),
            }
        }
    }

    fn step_drain(&mut self, event: DrainEvent) {
        for effect in self.drain.step(&self.board, event, self.clock.now()) {
            match effect {
                DrainEffect::StopAdvertising => {
                    tracing::info!("drain: this host is no longer advertised to callers");
                    self.publish_host_record();
                }
                DrainEffect::CloseListener => {
                    tracing::info!("drain: closing the listener, requests in flight continue");
                    if let Some(close) = self.signals.close_listener.take() {
                        close.send(()).ok();
                    }
                }
                DrainEffect::ReleasePartitions => {
                    self.step_ownership(OwnershipEvent::StopRequested);
                }
                DrainEffect::Exit => {
                    if let Some(exit) = self.signals.exit.take() {
                        exit.send(()).ok();
                    }
                }
                DrainEffect::Record(record) => self.record(*record),
            }
        }
    }
}
