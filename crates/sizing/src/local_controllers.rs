//! Runs and times the controllers of one host that exchange no messages with peers.

use crate::fleet_host::LocalWriters;
use crate::{Samples, Size, synthetic};
use base64::Engine as _;
use ed25519_dalek::SigningKey;
use heatherhinge_blackboard::Blackboard;
use heatherhinge_bundle::{Bundle, BundleVersion, Envelope, TrustedKeys};
use heatherhinge_controllers::{
    BundleController, BundleEffect, BundleEvent, Controller, CurrentBundleRow, ListedTarget,
    MoveController, MoveEvent, QuarantineController, QuarantineEvent, ResponseKind,
    TargetController, TargetEvent, WarmupController, WarmupEvent, ZoneController, ZoneEvent,
};
use heatherhinge_types::{Name, Now};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One group of the platform's list, as `crates/platform` decodes it.
#[derive(Deserialize)]
struct Group {
    #[expect(dead_code, reason = "decoded only to measure the time")]
    targets: Vec<String>,
    #[expect(dead_code, reason = "decoded only to measure the time")]
    labels: BTreeMap<String, String>,
}

/// All controllers of one host except membership and ownership.
pub(crate) struct LocalControllers {
    size: Size,
    bundle: BundleController,
    warmup: WarmupController,
    zones: ZoneController,
    moves: MoveController,
    quarantine: QuarantineController,
    targets: TargetController,
    trusted: TrustedKeys,
    hosts: Vec<Name>,
    list: Vec<ListedTarget>,
    list_json: Vec<u8>,
    accepted: Envelope,
    accepted_version: u64,
    last_bundle_version: u64,
    pub(crate) row_reads: u64,
    pub(crate) envelope_bytes: u64,
}

impl LocalControllers {
    pub(crate) fn new(size: Size, writers: LocalWriters) -> eyre::Result<Self> {
        let mut trusted = TrustedKeys::default();
        let key = SigningKey::from_bytes(&[7; 32]).verifying_key();
        let public = base64::engine::general_purpose::STANDARD.encode(key.as_bytes());
        trusted
            .add_base64(Name::new("ops-1"), &public)
            .map_err(|error| eyre::eyre!("sizing: {error}"))?;
        Ok(Self {
            size,
            bundle: BundleController::new(writers.bundle),
            warmup: WarmupController::new(writers.warmth),
            zones: ZoneController::new(writers.zones),
            moves: MoveController::new(writers.moves, 1),
            quarantine: QuarantineController::new(writers.quarantine),
            targets: TargetController::new(writers.routing),
            trusted,
            hosts: (0..size.hosts).map(synthetic::host_name).collect(),
            list: synthetic::targets(size, 0),
            list_json: synthetic::list_json(size)?,
            accepted: synthetic::envelope(size, 1),
            accepted_version: 1,
            last_bundle_version: 0,
            row_reads: 0,
            envelope_bytes: 0,
        })
    }

    /// Accepts the next version of the bundle, in which one service differs.
    pub(crate) fn change_bundle(&mut self) {
        self.accepted_version += 1;
        self.accepted = synthetic::envelope(self.size, self.accepted_version);
    }

    /// Returns the size in bytes of the platform's list.
    pub(crate) fn list_bytes(&self) -> u64 {
        self.list_json.len() as u64
    }

    /// Replaces the first `changed` targets in the platform's list.
    pub(crate) fn change_list(&mut self, changed: usize) {
        self.list = synthetic::targets(self.size, changed);
    }

    /// Reports a good response of a target that has been up for an hour.
    pub(crate) fn warm_target(
        &mut self,
        board: &Blackboard,
        warm: &heatherhinge_blackboard::WarmTarget,
        now: Now,
        samples: &mut Samples,
    ) {
        let event = WarmupEvent::Answer {
            target: warm.target.clone(),
            kind: ResponseKind::Good,
            report: Some((warm.start_id, 3_600_000)),
            latency_ns: 2_000_000,
        };
        samples.time("warmup answer", || self.warmup.step(board, event, now));
    }

    /// Runs a tick of all controllers, as the daemon does every 100 ms.
    pub(crate) fn tick(
        &mut self,
        board: &Blackboard,
        now: Now,
        samples: &mut Samples,
    ) -> eyre::Result<()> {
        self.step_bundle(board, BundleEvent::Tick, now, samples)?;
        samples.time("zones tick", || {
            self.zones.step(board, ZoneEvent::Tick, now)
        });
        samples.time("warmup tick", || {
            self.warmup.step(board, WarmupEvent::Tick, now)
        });
        samples.time("quarantine tick", || {
            self.quarantine.step(board, QuarantineEvent::Tick, now)
        });
        samples.time("moves tick", || {
            self.moves.step(board, MoveEvent::Tick, now)
        });
        self.rebuild_routing(board, now, samples);
        Ok(())
    }

    /// Reads the platform's list, as the daemon does every second.
    pub(crate) fn read_list(
        &mut self,
        board: &Blackboard,
        now: Now,
        samples: &mut Samples,
    ) -> eyre::Result<()> {
        let groups: Vec<Group> =
            samples.time("list decode", || serde_json::from_slice(&self.list_json))?;
        drop(groups);
        self.step_bundle(board, BundleEvent::Listed(self.hosts.clone()), now, samples)?;
        let (warmup, targets) = (self.list.clone(), self.list.clone());
        samples.time("warmup list", || {
            self.warmup.step(board, WarmupEvent::Listed(warmup), now)
        });
        self.step_targets(board, TargetEvent::Listed(targets), now, samples);
        Ok(())
    }

    /// Rebuilds the routing snapshot after any step, as the daemon does.
    pub(crate) fn rebuild_routing(&mut self, board: &Blackboard, now: Now, samples: &mut Samples) {
        let version = board.bundle.read().version;
        if version != self.last_bundle_version {
            self.last_bundle_version = version;
            samples.time("zones change", || {
                self.zones.step(board, ZoneEvent::Tick, now)
            });
            samples.time("moves change", || {
                self.moves.step(board, MoveEvent::Tick, now)
            });
            samples.time("warmup change", || {
                self.warmup.step(board, WarmupEvent::Tick, now)
            });
        }
        self.step_targets(board, TargetEvent::Tick, now, samples);
    }

    fn step_targets(
        &mut self,
        board: &Blackboard,
        event: TargetEvent,
        now: Now,
        samples: &mut Samples,
    ) {
        let is_list = matches!(event, TargetEvent::Listed(_));
        samples.time_as(|| {
            let before = board.routing.read().version;
            self.targets.step(board, event, now);
            let is_rebuilt = board.routing.read().version != before;
            let kind = match (is_list, is_rebuilt) {
                (true, true) => "targets list, changed",
                (true, false) => "targets list, same",
                (false, true) => "targets rebuild",
                (false, false) => "targets tick",
            };
            ((), kind)
        });
    }

    fn step_bundle(
        &mut self,
        board: &Blackboard,
        event: BundleEvent,
        now: Now,
        samples: &mut Samples,
    ) -> eyre::Result<()> {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let effects = samples.time("bundle step", || self.bundle.step(board, event, now));
            for effect in effects {
                match effect {
                    BundleEffect::ReadRow { requested_ns } => {
                        self.row_reads += 1;
                        let row = Some(CurrentBundleRow {
                            version: BundleVersion(self.accepted_version),
                            digest: self.accepted.digest(),
                        });
                        events.push(BundleEvent::StoreRead { requested_ns, row });
                    }
                    BundleEffect::Fetch { .. } => events.push(self.fetch_bundle(samples)?),
                    BundleEffect::InForce { .. } => {}
                }
            }
        }
        Ok(())
    }

    fn fetch_bundle(&mut self, samples: &mut Samples) -> eyre::Result<BundleEvent> {
        let json = self
            .accepted
            .to_json()
            .map_err(|code| eyre::eyre!("sizing: {code}"))?;
        self.envelope_bytes += json.len() as u64;
        let opened: Option<(Bundle, Envelope)> = samples.time("bundle open", || {
            let envelope = Envelope::from_json(json.as_bytes()).ok()?;
            let bundle = envelope
                .open_accepted(&self.trusted, &BTreeSet::new())
                .ok()?;
            Some((bundle, envelope))
        });
        let (bundle, envelope) = opened.ok_or_else(|| eyre::eyre!("sizing: no valid bundle"))?;
        Ok(BundleEvent::Fetched {
            bundle: Arc::new(bundle),
            digest: envelope.digest(),
        })
    }
}
