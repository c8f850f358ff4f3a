//! Tracks the record and the heartbeats of one other host.

use crate::heartbeat_clock::HeartbeatClock;
use crate::pause::PauseDetector;
use heatherhinge_blackboard::{DigestEntry, HostEntry, HostRecord};
use heatherhinge_types::MonoNs;
use std::sync::Arc;

/// A host is live for this time after its last heartbeat; `docs/design.md`, section 13.
const LIVE_MS: u64 = 2_000;
/// A host that is silent for this time and not in the platform's list is removed.
const DROP_MS: u64 = 10_000;

/// A heartbeat of a host, ordered by run and then by number.
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

/// State of one other host.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub(crate) record: Arc<HostRecord>,
    /// The newest heartbeat that was accepted.
    pub(crate) heartbeat: HeartbeatVersion,
    clock: Option<HeartbeatClock>,
    /// Latest time at which the host is known to have been alive.
    alive_at_ns: Option<MonoNs>,
    /// Time at which the last accepted heartbeat arrived.
    last_arrival_ns: Option<MonoNs>,
    /// Start of the silence: the last accepted heartbeat, the arrival of the first record, or the
    /// end of a pause of this host.
    silent_since_ns: MonoNs,
}

impl PeerState {
    /// Creates the state of a host whose first record has arrived. A record alone does not make the
    /// host live.
    pub(crate) fn new(record: HostRecord, heartbeat: HeartbeatVersion, now_ns: MonoNs) -> Self {
        Self {
            record: Arc::new(record),
            heartbeat,
            clock: None,
            alive_at_ns: None,
            last_arrival_ns: None,
            silent_since_ns: now_ns,
        }
    }

    /// Records the heartbeat in the host's own response to a request sent at `requested_ns`. The
    /// response shows that the host was alive even if the heartbeat is not newer.
    pub(crate) fn record_response(&mut self, heartbeat: HeartbeatVersion, requested_ns: MonoNs) {
        self.clock =
            Some(HeartbeatClock::from_response(heartbeat, requested_ns).or_tighter(self.clock));
        self.heartbeat = self.heartbeat.max(heartbeat);
        self.alive_at_ns = self.alive_at_ns.max(Some(requested_ns));
        self.record_arrival(requested_ns);
    }

    /// Records a heartbeat that was relayed by another host or came in a request. `is_recent` is
    /// true if the message is a response to a request that this host sent since its last pause.
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
            .and_then(|clock| clock.sent_after_ns(heartbeat, now_ns))
        {
            Some(sent_after_ns) => {
                if !pause.is_since_resume(sent_after_ns) || now_ns > sent_after_ns.plus_ms(DROP_MS)
                {
                    return;
                }
                self.alive_at_ns = self.alive_at_ns.max(Some(sent_after_ns));
            }
            // If the age of the heartbeat is unknown, the message itself must be recent.
            None if !is_recent => return,
            None => {}
        }
        self.heartbeat = heartbeat;
        self.record_arrival(now_ns);
    }

    /// Drops the contacts before a pause of this host; silence counts from its end.
    pub(crate) fn reset_after_pause(&mut self, now_ns: MonoNs) {
        self.alive_at_ns = None;
        self.last_arrival_ns = None;
        self.silent_since_ns = now_ns;
    }

    /// Returns whether an exchange with the host is needed before its heartbeats can be dated.
    pub(crate) fn needs_exchange(&self, now_ns: MonoNs) -> bool {
        self.alive_at_ns.is_none() || !self.is_live(now_ns)
    }

    /// Returns whether the host was heard from recently enough to be used.
    pub(crate) fn is_live(&self, now_ns: MonoNs) -> bool {
        self.heard_within(LIVE_MS, now_ns)
    }

    /// Returns whether the host's record is relayed to other hosts.
    pub(crate) fn is_relayed(&self, now_ns: MonoNs) -> bool {
        self.heard_within(DROP_MS, now_ns)
    }

    /// Returns whether the host was silent for so long that it is removed.
    pub(crate) fn is_expired(&self, now_ns: MonoNs) -> bool {
        now_ns > self.silent_since_ns.plus_ms(DROP_MS)
    }

    /// Returns the digest entry sent to other hosts, if the host is relayed.
    pub(crate) fn digest(&self, now_ns: MonoNs) -> Option<DigestEntry> {
        // A heartbeat of another run than the record's is not sent.
        let is_same_run = self.heartbeat.incarnation == self.record.version.incarnation;
        self.is_relayed(now_ns).then(|| DigestEntry {
            host: self.record.host.clone(),
            version: self.record.version,
            beat: if is_same_run { self.heartbeat.beat } else { 0 },
        })
    }

    /// Returns the host's entry for the blackboard.
    pub(crate) fn to_entry(&self, now_ns: MonoNs) -> HostEntry {
        HostEntry {
            record: Arc::clone(&self.record),
            last_heard_ns: self.alive_at_ns.unwrap_or_default(),
            is_live: self.is_live(now_ns),
        }
    }

    fn heard_within(&self, limit_ms: u64, now_ns: MonoNs) -> bool {
        self.last_arrival_ns
            .is_some_and(|arrived| now_ns <= arrived.plus_ms(limit_ms))
    }

    fn record_arrival(&mut self, at_ns: MonoNs) {
        self.last_arrival_ns = self.last_arrival_ns.max(Some(at_ns));
        self.silent_since_ns = self.silent_since_ns.max(at_ns);
    }
}
