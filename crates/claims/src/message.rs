//! What a host asks of the owner of a key, and what the owner answers.

use heatherhinge_types::{Digest, IdempotencyKey, Name, WallMs};
use serde::{Deserialize, Serialize};

/// Tells the attempts of one sender apart, over its restarts too.
///
/// The sender chooses it, so that it can give a claim back even when the answer to its claim was
/// lost, and so that a repeated claim message is recognised. A sender acts on at most one grant of
/// an attempt, and on none after it has settled the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Wall time of the sender's start in milliseconds, which tells its runs apart.
    pub incarnation: u64,
    /// Counts the attempts of one run.
    pub sequence: u64,
}

/// Asks the owner of a key's partition for the right to run the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of service, route, method, path and body, to tell a resend from a reused key.
    pub digest: Digest,
    /// The host that will send the request to a target.
    pub sender: Name,
    /// The attempt of that host.
    pub attempt: AttemptId,
}

/// What the owner decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// The sender may run the request once, and must not start it after this time.
    Granted {
        /// Wall time after which the request must not start.
        not_after_wall_ms: WallMs,
    },
    /// The request ran; this is its stored answer.
    Completed(StoredResponse),
    /// The request must not run now, with the number of a [`heatherhinge_types::Code`].
    Refused {
        /// Number of the result code.
        code: u16,
    },
    /// The host asked does not own the partition under a valid lease.
    NotOwner,
}

/// An answer that is kept so that a resend gets the same one.
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
    /// Returns the size that counts towards the limits on kept answers.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// Tells the owner how a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of the request.
    pub digest: Digest,
    /// The host that held the claim.
    pub sender: Name,
    /// The attempt that the claim was granted to; a claim of another attempt is left alone.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It provably did not run; the claim is given back.
    NotRun,
    /// It ran; the answer is kept if it is small enough.
    Completed(Option<StoredResponse>),
    /// It may have run.
    Unknown,
}

/// What became of a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleResponse {
    /// The claim was settled.
    Settled,
    /// The claim belongs to another attempt or was settled before; nothing changed.
    Stale,
    /// This host has no such claim. The sender may tell the owner that it now knows of.
    NotHeld,
}
