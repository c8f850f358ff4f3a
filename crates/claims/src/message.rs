//! Defines the messages between a host that sends a request and the owner of its key.

use heatherhinge_types::{Digest, IdempotencyKey, Name, WallMs};
use serde::{Deserialize, Serialize};

/// Identifies an attempt of one sender, also across its restarts.
///
/// The sender assigns it, so that it can release a claim even when the response to it was lost, and
/// so that the owner recognises a repeated claim message. A sender acts on at most one grant of an
/// attempt, and on none after it has settled the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Wall time of the sender's start in milliseconds, which identifies the run.
    pub incarnation: u64,
    /// Number of the attempt in the run.
    pub sequence: u64,
}

/// Asks the owner of a key's partition for the right to run the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of service, route, method, path and body; it differs if the key is reused for another
    /// request.
    pub digest: Digest,
    /// The host that will send the request to a target.
    pub sender: Name,
    /// The attempt of that host.
    pub attempt: AttemptId,
}

/// The owner's decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// The sender may run the request once.
    Granted {
        /// Wall time after which the request must not start.
        not_after_wall_ms: WallMs,
    },
    /// The request ran; this is its stored response.
    Completed(StoredResponse),
    /// The request must not run now.
    Refused {
        /// Number of a [`heatherhinge_types::Code`].
        code: u16,
    },
    /// The receiving host does not own the partition under a valid lease.
    NotOwner,
}

/// A response that is stored, so that a resend of the request gets the same one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl StoredResponse {
    /// Returns the size that counts towards the limits on stored responses, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// Reports to the owner how a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of the request.
    pub digest: Digest,
    /// The host that held the claim.
    pub sender: Name,
    /// The attempt that the claim was granted to; a claim of another attempt does not change.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It provably did not run; the claim is released.
    NotRun,
    /// It ran; the response is stored if it is small enough.
    Completed(Option<StoredResponse>),
    /// It may have run.
    Unknown,
}

/// Result of a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleResponse {
    /// The claim was settled.
    Settled,
    /// The claim belongs to another attempt or was settled before; nothing changed.
    Stale,
    /// This host has no such claim. The sender may retry at the owner that it now knows.
    NotHeld,
}
