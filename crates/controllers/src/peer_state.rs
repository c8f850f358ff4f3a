//! What a host knows of one other host.

use heatherhinge_blackboard::{DigestEntry, HostEntry, HostRecord};
use heatherhinge_types::MonoNs;
use std::sync::Arc;

/// A host heard within this time is live; `docs/design.md`, section 13.
const LIVE_MS: u64 = 2_000;
/// A heartbeat is relayed for this time. A host that is cut off is therefore counted as heard for
/// at most this time plus the 3 s of freshness, which is the limit for a bundle to be in force.
const RELAY_MS: u64 = 1_000;
/// A host that is silent for this time and not in the platform's list is forgotten.
const DROP_MS: u64 = 10_000;

/// Position in the life of a host: a later run, then a later heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Mark {
    pub(crate) incarnation: u64,
    pub(crate) beat: u64,
}

impl Mark {
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
    pub(crate) mark: Mark,
    heard_ns: Option<MonoNs>,
    /// Start of the silence: the last sign of life, the arrival of the first record, or the end of
    /// a pause of this host.
    silent_since_ns: MonoNs,
}

impl PeerState {
    /// Makes the state of a host whose first record has arrived, which alone is no sign of life.
    pub(crate) fn new(record: HostRecord, mark: Mark, now_ns: MonoNs) -> Self {
        Self {
            record: Arc::new(record),
            mark,
            heard_ns: None,
            silent_since_ns: now_ns,
        }
    }

    /// Takes in a sign of life at `at_ns`.
    pub(crate) fn hear(&mut self, mark: Mark, at_ns: MonoNs) {
        self.mark = self.mark.max(mark);
        self.heard_ns = self.heard_ns.max(Some(at_ns));
        self.silent_since_ns = self.silent_since_ns.max(at_ns);
    }

    /// Forgets what was heard before a pause of this host; silence counts from its end.
    pub(crate) fn void(&mut self, now_ns: MonoNs) {
        self.heard_ns = None;
        self.silent_since_ns = now_ns;
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
        let is_same_run = self.mark.incarnation == self.record.version.incarnation;
        let tells_beat = is_same_run && self.heard_within(RELAY_MS, now_ns);
        self.is_relayed(now_ns).then(|| DigestEntry {
            host: self.record.host.clone(),
            version: self.record.version,
            beat: if tells_beat { self.mark.beat } else { 0 },
        })
    }

    /// Returns the entry of the blackboard.
    pub(crate) fn to_entry(&self, now_ns: MonoNs) -> HostEntry {
        HostEntry {
            record: Arc::clone(&self.record),
            heard_ns: self.heard_ns.unwrap_or_default(),
            is_live: self.is_live(now_ns),
        }
    }

    fn heard_within(&self, limit_ms: u64, now_ns: MonoNs) -> bool {
        self.heard_ns
            .is_some_and(|heard| now_ns <= heard.plus_ms(limit_ms))
    }
}
