//! Types of a decision record.

use heatherhinge_blackboard::{MoveState, SnapshotVersions};
use heatherhinge_types::{Digest, Name, Partition, StartId, WallMs};
use serde::{Deserialize, Serialize};

/// One decision of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the decision, by the host's wall clock.
    pub at_wall_ms: WallMs,
    /// The host that made the decision.
    pub host: Name,
    /// What the decision is about.
    pub subject: Subject,
    /// Versions of the state that the decision was based on.
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
    /// Returns the basis for the versions of a routing snapshot and of the quarantine entry.
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
    /// These are first attempts at warm targets, and responses below status 500 after at most one
    /// attempt. Every other event is always kept.
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
    reason = "the sentences in `sentence.rs` explain the fields"
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
    /// A response was sent to the caller.
    Answered {
        status: u16,
        attempts: u32,
        total_us: u64,
        added_us: u64,
    },
    /// A request was refused.
    Refused { code: u16 },
    /// An attempt failed and is retried.
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
    /// The request was relayed to the entry host that owns a target which is not warm.
    Relayed { service: Name, owner: Name },
    /// The stored response of a completed idempotency key was returned again.
    Replayed { partition: Partition, owner: Name },
    /// A target was marked cold.
    ColdSeen { start_id: StartId, reason: Name },
    /// The number of requests that a cold target may have in flight changed.
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
    /// A zone was taken out and gets no new work.
    ZoneOut,
    /// A zone is returning; its targets count as cold until announced warm.
    ZoneBack,
    /// A bundle came into force on this host.
    BundleInForce {
        version: u64,
        #[serde(with = "crate::digest_text")]
        digest: Digest,
    },
    /// This host wrote a bundle to the store, which makes it accepted.
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
    /// The host acquired or released partitions.
    Ownership {
        taken: u32,
        released: u32,
        epoch: u64,
    },
    /// Records were dropped because the queue was full or the object store was down for too long.
    RecordsLost { count: u64 },
}
