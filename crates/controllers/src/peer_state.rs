//! What a host knows of one other host.

use crate::heartbeat_clock::HeartbeatClock;
use crate::pause::PauseDetector;
use heatherhinge_blackboard::{DigestEntry, HostEntry, HostRecord};
use heatherhinge_types::MonoNs;
use std::sync::Arc;

/// A host heard within this time is live; `docs/design.md`, section 13.
const LIVE_MS: u64 = 2_000;
/// A host that is silent for this time and not in the platform's list is forgotten.
const DROP_MS: u64 = 10_000;

/// Position in the life of a host: a later run, then a later heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HeartbeatVersion {
    pub(crate) incarnation: u64,
    pub(crate) beat: u64,
}

impl HeartbeatVersion {
    pub(crate) fn of(entry: &DigestEntry) -> Self {
        Self {
            incarnation: entry.version.incarnation,
            beat: entry.beat,
        }
    }
}

/// One other host.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub(crate) record: Arc<HostRecord>,
    /// The newest heartbeat that was counted.
    pub(crate) heartbeat: HeartbeatVersion,
    clock: Option<HeartbeatClock>,
    /// Time up to which the host is known to have lived.
    lived_ns: Option<MonoNs>,
    /// Arrival of the last sign of life.
    arrived_ns: Option<MonoNs>,
    /// Start of the silence: the last sign of life, the arrival of the first record, or the end of
    /// a pause of this host.
    silent_since_ns: MonoNs,
}

impl PeerState {
    /// Makes the state of a host whose first record has arrived, which alone is no sign of life.
    pub(crate) fn new(record: HostRecord, heartbeat: HeartbeatVersion, now_ns: MonoNs) -> Self {
        Self {
            record: Arc::new(record),
            heartbeat,
            clock: None,
            lived_ns: None,
            arrived_ns: None,
            silent_since_ns: now_ns,
        }
    }

    /// Takes in the heartbeat in the host's own answer, which was asked for at `asked_ns`. The
    /// answer is a sign of life even between two heartbeats.
    pub(crate) fn observe_answer(&mut self, heartbeat: HeartbeatVersion, asked_ns: MonoNs) {
        self.clock = Some(HeartbeatClock::compare(heartbeat, asked_ns).better(self.clock));
        self.heartbeat = self.heartbeat.max(heartbeat);
        self.lived_ns = self.lived_ns.max(Some(asked_ns));
        self.arrive(asked_ns);
    }

    /// Takes in a heartbeat that came through others, or in a question. `is_recent` tells whether
    /// the message is an answer to a question of this host since its last pause.
    pub(crate) fn apply_heartbeat(
        &mut self,
        heartbeat: HeartbeatVersion,
        is_recent: bool,
        pause: &PauseDetector,
        now_ns: MonoNs,
    ) {
        if heartbeat.beat == 0 || heartbeat <= self.heartbeat {
            return;
        }
        match self
            .clock
            .and_then(|clock| clock.made_ns(heartbeat, now_ns))
        {
            Some(made_ns) => {
                if !pause.counts(made_ns) || now_ns > made_ns.plus_ms(DROP_MS) {
                    return;
                }
                self.lived_ns = self.lived_ns.max(Some(made_ns));
            }
            // Without the age of the heartbeat, the message must be known to be new.
            None if !is_recent => return,
            None => {}
        }
        self.heartbeat = heartbeat;
        self.arrive(now_ns);
    }

    /// Forgets what was heard before a pause of this host; silence counts from its end.
    pub(crate) fn reset_after_pause(&mut self, now_ns: MonoNs) {
        self.lived_ns = None;
        self.arrived_ns = None;
        self.silent_since_ns = now_ns;
    }

    /// Returns whether the host has to be asked before its heartbeats tell their age.
    pub(crate) fn needs_answer(&self, now_ns: MonoNs) -> bool {
        self.lived_ns.is_none() || !self.is_live(now_ns)
    }

    /// Returns whether the host was heard recently enough to be used.
    pub(crate) fn is_live(&self, now_ns: MonoNs) -> bool {
        self.heard_within(LIVE_MS, now_ns)
    }

    /// Returns whether the host's record is passed on to others.
    pub(crate) fn is_relayed(&self, now_ns: MonoNs) -> bool {
        self.heard_within(DROP_MS, now_ns)
    }

    /// Returns whether the host was silent for so long that it is forgotten.
    pub(crate) fn is_dropped(&self, now_ns: MonoNs) -> bool {
        now_ns > self.silent_since_ns.plus_ms(DROP_MS)
    }

    /// Returns what is told to others, if anything.
    pub(crate) fn digest(&self, now_ns: MonoNs) -> Option<DigestEntry> {
        // The heartbeat belongs to the run that the record names, or is not told.
        let is_same_run = self.heartbeat.incarnation == self.record.version.incarnation;
        self.is_relayed(now_ns).then(|| DigestEntry {
            host: self.record.host.clone(),
            version: self.record.version,
            beat: if is_same_run { self.heartbeat.beat } else { 0 },
        })
    }

    /// Returns the entry of the blackboard.
    pub(crate) fn to_entry(&self, now_ns: MonoNs) -> HostEntry {
        HostEntry {
            record: Arc::clone(&self.record),
            heard_ns: self.lived_ns.unwrap_or_default(),
            is_live: self.is_live(now_ns),
        }
    }

    fn heard_within(&self, limit_ms: u64, now_ns: MonoNs) -> bool {
        self.arrived_ns
            .is_some_and(|arrived| now_ns <= arrived.plus_ms(limit_ms))
    }

    fn arrive(&mut self, at_ns: MonoNs) {
        self.arrived_ns = self.arrived_ns.max(Some(at_ns));
        self.silent_since_ns = self.silent_since_ns.max(at_ns);
    }
}
