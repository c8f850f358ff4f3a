//! One decision.

use heatherhinge_blackboard::{MoveState, SnapshotVersions};
use heatherhinge_types::{Digest, Name, Partition, StartId, WallMs};
use serde::{Deserialize, Serialize};

/// One decision that a host took.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the decision was taken, by the host's wall clock.
    pub at_wall_ms: WallMs,
    /// The host that took it.
    pub host: Name,
    /// What it is about.
    pub subject: Subject,
    /// The versions of the state that it was based on.
    pub basis: RecordBasis,
    /// What was decided.
    pub event: RecordEvent,
}

/// What a record is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A request, by its id.
    Request(Name),
    /// A version move, by its id.
    Move(Name),
    /// An availability zone.
    Zone(Name),
    /// A target.
    Target(Name),
    /// The bundle.
    Bundle,
    /// The host itself.
    Host,
}

/// Versions of the state that a decision was based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBasis {
    /// Version of the bundle in force.
    pub bundle: u64,
    /// Version of the owners entry.
    pub owners: u64,
    /// Version of the warmth entry.
    pub warmth: u64,
    /// Version of the moves entry.
    pub moves: u64,
    /// Version of the zones entry.
    pub zones: u64,
    /// Version of the quarantine entry.
    pub quarantine: u64,
}

impl RecordBasis {
    /// Makes the basis from a routing snapshot's and the version of the quarantine entry.
    #[must_use]
    pub const fn new(basis: SnapshotVersions, quarantine: u64) -> Self {
        Self {
            bundle: basis.bundle.0,
            owners: basis.owners,
            warmth: basis.warmth,
            moves: basis.moves,
            zones: basis.zones,
            quarantine,
        }
    }
}

impl RecordEvent {
    /// Returns whether the event is part of a plain success, of which only a sample is kept.
    ///
    /// First attempts at warm targets and good answers to them are; every other event is always
    /// kept.
    #[must_use]
    pub const fn is_plain_success(&self) -> bool {
        match self {
            Self::Chosen {
                attempt, is_cold, ..
            } => *attempt <= 1 && !*is_cold,
            Self::Answered {
                status, attempts, ..
            } => *attempts <= 1 && *status < 500,
            _ => false,
        }
    }
}

/// What was decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
#[expect(
    missing_docs,
    reason = "the fields are named by the sentences that explain them"
)]
pub enum RecordEvent {
    /// A request was sent to a target.
    Chosen {
        service: Name,
        route: Name,
        target: Name,
        zone: Name,
        version: Name,
        attempt: u32,
        is_cold: bool,
        own_in_flight: u32,
        reported_in_flight: u32,
        candidates: u32,
    },
    /// A request waited for a target.
    Waited {
        service: Name,
        waited_ms: u64,
        urgency: u8,
    },
    /// A request was answered.
    Answered {
        status: u16,
        attempts: u32,
        total_us: u64,
        added_us: u64,
    },
    /// A request was refused.
    Refused { code: u16 },
    /// An attempt failed and another one follows.
    Retried {
        target: Name,
        code: u16,
        backoff_ms: u64,
    },
    /// A claim for an idempotency key was granted.
    Claimed {
        partition: Partition,
        owner: Name,
        not_after_wall_ms: WallMs,
    },
    /// The request was passed to the entry host that owns a target which is not warm.
    Relayed { service: Name, owner: Name },
    /// The stored answer of a completed key was repeated.
    Replayed { partition: Partition, owner: Name },
    /// A target was seen cold.
    ColdSeen { start_id: StartId, reason: Name },
    /// The allowance of a cold target changed.
    AllowanceSet { allowance: u32 },
    /// A target was announced warm.
    WarmAnnounced { start_id: StartId },
    /// A request digest was put in quarantine.
    Quarantined {
        #[serde(with = "crate::digest_text")]
        digest: Digest,
        until_wall_ms: WallMs,
        crashed: Vec<Name>,
    },
    /// A move changed its state or share, with the counts that the decision was based on.
    MoveStep {
        service: Name,
        state: MoveState,
        share_permille: u32,
        step: u64,
        reason: Name,
        new_good: u64,
        new_failed: u64,
        old_good: u64,
        old_failed: u64,
    },
    /// A zone was taken out.
    ZoneOut,
    /// A zone comes back; its targets count as cold.
    ZoneBack,
    /// A bundle came into force on this host.
    BundleInForce {
        version: u64,
        #[serde(with = "crate::digest_text")]
        digest: Digest,
    },
    /// A bundle was written to the store through this host and so was accepted.
    BundleAccepted {
        version: u64,
        #[serde(with = "crate::digest_text")]
        digest: Digest,
        key_id: Name,
    },
    /// A bundle was refused.
    BundleRefused { code: u16, key_id: Name },
    /// The host changed its phase.
    HostPhase { phase: Name },
    /// The host took or gave up partitions.
    Ownership {
        taken: u32,
        released: u32,
        epoch: u64,
    },
    /// Records were dropped because the object store was down for too long.
    RecordsLost { count: u64 },
}
