//! Defines the message in which an owner hands its claims over to the next owner.

use crate::claim::{Claim, ClaimState};
use crate::{AttemptId, TenureId};
use heatherhinge_types::{Digest, IdempotencyKey, MonoNs, Name, Partition, WallMs};
use serde::{Deserialize, Serialize};

/// Bytes of one claim in a message besides its stored response and the sender's name.
const CLAIM_OVERHEAD_BYTES: usize = 96;

/// One claim that is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedClaim {
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of the request.
    pub digest: Digest,
    /// The host that holds the claim.
    pub sender: Name,
    /// The attempt of that host.
    pub attempt: AttemptId,
    /// Progress of the request.
    pub state: ClaimState,
}

impl HandedClaim {
    pub(crate) fn new(key: IdempotencyKey, claim: Claim) -> Self {
        Self {
            key,
            digest: claim.digest,
            sender: claim.sender,
            attempt: claim.attempt,
            state: claim.state,
        }
    }

    pub(crate) fn into_claim(self, now_ns: MonoNs) -> (IdempotencyKey, Claim) {
        let claim = Claim {
            digest: self.digest,
            sender: self.sender,
            attempt: self.attempt,
            state: self.state,
            changed_ns: now_ns,
        };
        (self.key, claim)
    }

    fn size_bytes(&self) -> usize {
        CLAIM_OVERHEAD_BYTES + self.sender.len() + self.state.stored_bytes()
    }
}

/// The claims of a tenure that has ended, or one part of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedPartition {
    /// The partition.
    pub partition: Partition,
    /// The tenure that ended.
    pub giver: TenureId,
    /// Start of a tenure from which the claims are complete. It is earlier than the giver's own
    /// start if the giver had adopted claims itself.
    pub complete_from_wall_ms: WallMs,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts; the claims are usable only when all parts have arrived.
    pub parts: u32,
    /// The claims.
    pub claims: Vec<HandedClaim>,
}

impl HandedPartition {
    /// Splits the claims into parts of about `max_bytes`, so that each fits into a message.
    #[must_use]
    pub fn split(mut self, max_bytes: usize) -> Vec<Self> {
        let mut groups = vec![Vec::new()];
        let mut size_bytes = 0;
        for claim in std::mem::take(&mut self.claims) {
            size_bytes += claim.size_bytes();
            if size_bytes > max_bytes && groups.last().is_some_and(|group| !group.is_empty()) {
                size_bytes = claim.size_bytes();
                groups.push(Vec::new());
            }
            if let Some(group) = groups.last_mut() {
                group.push(claim);
            }
        }
        let parts = u32::try_from(groups.len()).unwrap_or(u32::MAX);
        (0..parts)
            .zip(groups)
            .map(|(part, claims)| Self {
                part,
                parts,
                claims,
                ..self.clone()
            })
            .collect()
    }
}
