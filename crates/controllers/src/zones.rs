//! Publishes the phase of each zone from the bundle in force.
//!
//! The controller is the only writer of the `zones` entry. See `docs/design.md`, section 11, and
//! `docs/controllers/zones.md`.

use crate::Controller;
use crate::decision_record::decision_record;
use crate::zone_machine::{ZoneInput, ZoneMachine};
use heatherhinge_blackboard::{Blackboard, Writer, ZoneEntry, ZonePhase, ZoneTable};
use heatherhinge_bundle::{BundleVersion, ZoneState};
use heatherhinge_records::{Record, RecordEvent, Subject};
use heatherhinge_types::{MonoNs, Name, Now};
use statig::blocking::{IntoStateMachineExt, StateMachine};
use std::collections::BTreeMap;

/// Time after which a returning zone is published as in. Its targets stay cold until they are
/// announced warm, however long that takes.
const RETURN_MS: u64 = 60_000;

/// Events of the zone controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneEvent {
    /// Time passed or the bundle changed.
    Tick,
}

/// Actions that the daemon carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneEffect {
    /// Store a decision record.
    Record(Box<Record>),
}

struct KnownZone {
    machine: StateMachine<ZoneMachine>,
    since: BundleVersion,
    changed_ns: MonoNs,
}

/// Publishes the zone table.
pub struct ZoneController {
    writer: Writer<ZoneTable>,
    zones: BTreeMap<Name, KnownZone>,
    bundle: BundleVersion,
}

impl ZoneController {
    /// Creates the controller with the only writer of the `zones` entry.
    #[must_use]
    pub fn new(writer: Writer<ZoneTable>) -> Self {
        Self {
            writer,
            zones: BTreeMap::new(),
            bundle: BundleVersion::default(),
        }
    }

    fn apply(
        &mut self,
        board: &Blackboard,
        name: &Name,
        wanted: ZoneState,
        version: BundleVersion,
        now: Now,
    ) -> Option<ZoneEffect> {
        // The zone may have been out in a bundle version that this host missed.
        let has_gap = version.0 > self.bundle.0 + 1;
        let zone = self.zones.entry(name.clone()).or_insert_with(|| KnownZone {
            machine: ZoneMachine.state_machine(),
            since: version,
            changed_ns: now.mono_ns,
        });
        let before = zone.machine.state().phase();
        zone.machine.handle(&ZoneInput::Wanted(wanted));
        let phase = zone.machine.state().phase();
        if phase == before {
            if has_gap && phase != ZonePhase::Out {
                zone.since = version;
            }
            return None;
        }
        zone.since = version;
        zone.changed_ns = now.mono_ns;
        let event = if phase == ZonePhase::Out {
            RecordEvent::ZoneOut
        } else {
            RecordEvent::ZoneBack
        };
        let record = decision_record(board, now, Subject::Zone(name.clone()), event);
        Some(ZoneEffect::Record(record))
    }

    fn apply_bundle(&mut self, board: &Blackboard, now: Now) -> Vec<ZoneEffect> {
        let bundle = board.bundle.read_owned();
        let Some(bundle) = bundle.value.as_ref().filter(|b| b.version > self.bundle) else {
            return Vec::new();
        };
        self.zones.retain(|name, _| bundle.zones.contains_key(name));
        let mut effects = Vec::new();
        for (name, zone) in &bundle.zones {
            effects.extend(self.apply(board, name, zone.state, bundle.version, now));
        }
        self.bundle = bundle.version;
        effects
    }

    fn end_returns(&mut self, now: Now) {
        for zone in self.zones.values_mut() {
            if now.mono_ns >= zone.changed_ns.plus_ms(RETURN_MS) {
                zone.machine.handle(&ZoneInput::Settled);
            }
        }
    }
}

impl Controller for ZoneController {
    type Event = ZoneEvent;
    type Effect = ZoneEffect;

    fn step(&mut self, board: &Blackboard, event: ZoneEvent, now: Now) -> Vec<ZoneEffect> {
        let ZoneEvent::Tick = event;
        let effects = self.apply_bundle(board, now);
        self.end_returns(now);
        let entries = self.zones.iter().map(|(name, zone)| {
            let entry = ZoneEntry {
                phase: zone.machine.state().phase(),
                since: zone.since,
            };
            (name.clone(), entry)
        });
        let table = ZoneTable {
            zones: entries.collect(),
        };
        self.writer.publish_if_changed(table);
        effects
    }
}
