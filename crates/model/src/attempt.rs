//! One attempt of a caller at a booking.

use heatherhinge_claims::{AttemptId, ClaimRequest, Outcome, Settlement};
use heatherhinge_types::{Digest, IdempotencyKey, Name};

/// How far the sender has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The claim is asked for.
    Claiming,
    /// The request was or will be sent.
    Sending,
    /// The attempt is over; nothing that arrives for it matters.
    Over,
}

/// One attempt and the state of its sender.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) booking: usize,
    pub(crate) key: IdempotencyKey,
    pub(crate) host: usize,
    /// Process and name of the sender, known when the request arrives.
    pub(crate) run: u64,
    pub(crate) sender: Name,
    pub(crate) sequence: u64,
    pub(crate) phase: Phase,
    /// Claim messages sent to owners that did not answer, and that answered to be none.
    pub(crate) timeouts: u32,
    pub(crate) wrong_owners: u32,
    /// Whether the caller has sent the booking again after this attempt.
    pub(crate) is_sent_again: bool,
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
