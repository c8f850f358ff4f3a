//! Holds the state of one attempt of a booking.

use heatherhinge_claims::{AttemptId, ClaimRequest, Outcome, Settlement};
use heatherhinge_types::{Digest, IdempotencyKey, Name};

/// Progress of an attempt on the receiving host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for the response to its claim.
    Claiming,
    /// Holds the claim; the request was or will be sent.
    Sending,
    /// Responded to the caller; later messages are ignored.
    Ended,
}

/// One attempt of a booking and the state of its sender, the receiving host.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) booking: usize,
    pub(crate) key: IdempotencyKey,
    pub(crate) host: usize,
    /// Process of the sender, set when the request arrives.
    pub(crate) run: u64,
    pub(crate) sender: Name,
    pub(crate) sequence: u64,
    pub(crate) phase: Phase,
    /// Claim messages that timed out.
    pub(crate) timeouts: u32,
    /// Claim messages to hosts that were not the owner.
    pub(crate) wrong_owners: u32,
    /// Whether the caller has resent the booking after this attempt.
    pub(crate) is_resent: bool,
}

impl Attempt {
    fn id(&self) -> AttemptId {
        AttemptId {
            incarnation: self.run,
            sequence: self.sequence,
        }
    }

    pub(crate) fn request(&self) -> ClaimRequest {
        ClaimRequest {
            key: self.key,
            digest: Digest(1),
            sender: self.sender.clone(),
            attempt: self.id(),
        }
    }

    pub(crate) fn settlement(&self, outcome: Outcome) -> Settlement {
        Settlement {
            key: self.key,
            digest: Digest(1),
            sender: self.sender.clone(),
            attempt: self.id(),
            outcome,
        }
    }
}
