//! What a host asks of the owner of a key, and what the owner answers.

use heatherhinge_types::{Digest, Name, RequestKey, WallMs};
use serde::{Deserialize, Serialize};

/// Asks the owner of a key's partition for the right to run the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: RequestKey,
    /// Digest of service, route, method, path and body, to tell a resend from a reused key.
    pub digest: Digest,
    /// The host that will send the request to a target.
    pub sender: Name,
}

/// What the owner decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The sender may run the request once, and must not start it after this time.
    Granted {
        /// Wall time after which the request must not start.
        not_after_wall_ms: WallMs,
    },
    /// The request ran; this is its stored answer.
    Completed(StoredAnswer),
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
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Tells the owner how a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The key.
    pub key: RequestKey,
    /// Digest of the request.
    pub digest: Digest,
    /// The host that held the claim.
    pub sender: Name,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It provably did not run; the claim is given back.
    NotRun,
    /// It ran; the answer is kept if it is small enough.
    Completed(Option<StoredAnswer>),
    /// It may have run.
    Unknown,
}
