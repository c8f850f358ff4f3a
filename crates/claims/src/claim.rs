//! Defines a claim as its owner keeps it.

use crate::{AttemptId, ClaimRequest, StoredResponse};
use heatherhinge_types::{Digest, MonoNs, Name};
use serde::{Deserialize, Serialize};

/// Progress of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The sender has not settled the claim.
    Running,
    /// The request may have run.
    Unknown,
    /// The request ran; the response is absent if it was too large to store.
    Completed(Option<StoredResponse>),
}

impl ClaimState {
    /// Returns the size of the stored response, or 0 without one.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        match self {
            Self::Completed(Some(response)) => response.size_bytes(),
            Self::Running | Self::Unknown | Self::Completed(None) => 0,
        }
    }
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) digest: Digest,
    pub(crate) sender: Name,
    pub(crate) attempt: AttemptId,
    pub(crate) state: ClaimState,
    /// Last change by the owner's monotonic clock.
    pub(crate) changed_ns: MonoNs,
}

impl Claim {
    pub(crate) fn new(request: &ClaimRequest, now_ns: MonoNs) -> Self {
        Self {
            digest: request.digest,
            sender: request.sender.clone(),
            attempt: request.attempt,
            state: ClaimState::Running,
            changed_ns: now_ns,
        }
    }

    /// Returns whether the claim was granted to this attempt of this sender.
    pub(crate) fn is_of(&self, sender: &Name, attempt: AttemptId) -> bool {
        self.sender == *sender && self.attempt == attempt
    }
}
