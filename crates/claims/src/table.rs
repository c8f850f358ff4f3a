//! The claims of the partitions that this host owns.

use crate::claim::{Claim, ClaimState};
use crate::partition_claims::PartitionClaims;
use crate::{
    ClaimRequest, ClaimResponse, HandedClaim, HandedPartition, Outcome, SettleResponse, Settlement,
    StoredResponse, Tenure, TenureId,
};
use heatherhinge_types::{CLOCK_ERROR_MS, Code, IdempotencyKey, Now, Partition, WallMs};
use std::collections::BTreeMap;

/// How long a key can be used after its issue, and a claim is kept after its last change.
pub const RETENTION_MS: u64 = 300_000;

/// Largest answer that is kept for replay.
pub const MAX_STORED_ANSWER_BYTES: usize = 4_096;

/// A claim is forgotten only this long after the key itself is too old, so that neither a clock
/// that is set back nor the clock of the next owner lets the key in again.
const FORGET_AGE_MS: u64 = RETENTION_MS + 2 * CLOCK_ERROR_MS;

/// Bounds of a [`ClaimTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Most claims at once. At about 300 bytes each, a million claims take 300 MB.
    pub max_claims: usize,
    /// Most bytes of kept answers at once.
    pub max_stored_bytes: usize,
}

/// Decides claims by the rules of `docs/design.md`, sections 7 and 22.
///
/// The table never forgets a claim whose key could still be used. When it is full it refuses new
/// keys with [`Code::ClaimsFull`].
#[derive(Debug)]
pub struct ClaimTable {
    limits: ClaimLimits,
    partitions: BTreeMap<Partition, PartitionClaims>,
    claim_count: usize,
    stored_bytes: usize,
}

impl ClaimTable {
    /// Makes an empty table.
    #[must_use]
    pub const fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            partitions: BTreeMap::new(),
            claim_count: 0,
            stored_bytes: 0,
        }
    }

    /// Returns the number of claims.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.claim_count
    }

    /// Returns whether there are no claims.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.claim_count == 0
    }

    /// Returns the bytes of all kept answers.
    #[must_use]
    pub const fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Decides one claim for a partition that this host owns under `tenure`.
    ///
    /// `now` must be read after the tenure was looked up: an older reading could outlive a lease.
    pub fn claim(&mut self, request: &ClaimRequest, tenure: &Tenure, now: Now) -> ClaimResponse {
        let place = self.partitions.entry(request.key.partition()).or_default();
        if !tenure.is_valid(now) || place.is_closed(tenure.from_wall_ms) {
            return ClaimResponse::NotOwner;
        }
        let complete_from =
            place.complete_from_wall_ms(tenure.from_wall_ms, tenure.has_earlier_claims);
        if let Some(code) = refusal_by_age(request.key, complete_from, now.wall_ms) {
            return refused(code);
        }
        if let Some(claim) = place.claims.get(&request.key) {
            return answer_known(claim, request, tenure);
        }
        if self.claim_count >= self.limits.max_claims
            || self.stored_bytes >= self.limits.max_stored_bytes
        {
            return refused(Code::ClaimsFull);
        }
        let claim = Claim::new(request, now.mono_ns);
        place.claims.insert(request.key, claim);
        self.claim_count += 1;
        granted(tenure)
    }

    /// Takes in how an attempt ended.
    ///
    /// Messages may be lost, repeated and late. A settlement changes only the claim of its own
    /// attempt, and of several settlements of one attempt the first stands, except that
    /// [`Outcome::Completed`] replaces [`Outcome::Unknown`].
    pub fn settle(&mut self, settlement: Settlement, now: Now) -> SettleResponse {
        let place = self
            .partitions
            .entry(settlement.key.partition())
            .or_default();
        let Some(claim) = place.claims.get_mut(&settlement.key) else {
            return SettleResponse::NotHeld;
        };
        if !claim.is_of(&settlement.sender, settlement.attempt) || claim.digest != settlement.digest
        {
            return SettleResponse::Stale;
        }
        let state = match (&claim.state, settlement.outcome) {
            (ClaimState::Running, Outcome::NotRun) => {
                place.claims.remove(&settlement.key);
                self.claim_count -= 1;
                return SettleResponse::Settled;
            }
            (ClaimState::Running, Outcome::Unknown) => ClaimState::Unknown,
            (ClaimState::Running | ClaimState::Unknown, Outcome::Completed(answer)) => {
                let room_bytes = self
                    .limits
                    .max_stored_bytes
                    .saturating_sub(self.stored_bytes);
                ClaimState::Completed(answer.filter(|answer| is_kept(answer, room_bytes)))
            }
            (ClaimState::Unknown, Outcome::NotRun | Outcome::Unknown)
            | (ClaimState::Completed(_), _) => return SettleResponse::Stale,
        };
        self.stored_bytes += state.stored_bytes();
        claim.state = state;
        claim.changed_ns = now.mono_ns;
        SettleResponse::Settled
    }

    /// Ends a tenure of this host and returns all its claims for the next owner.
    ///
    /// From this call on the tenure grants nothing, so the returned claims stay complete although
    /// requests keep arriving. Settlements that arrive later get [`SettleResponse::NotHeld`].
    /// `has_earlier_claims` is that of the tenure.
    pub fn hand_over(
        &mut self,
        partition: Partition,
        giver: TenureId,
        has_earlier_claims: bool,
    ) -> HandedPartition {
        let place = self.partitions.entry(partition).or_default();
        let from_wall_ms = giver.from_wall_ms;
        let complete_from_wall_ms = place.complete_from_wall_ms(from_wall_ms, has_earlier_claims);
        let claims: Vec<_> = place
            .close(from_wall_ms)
            .into_iter()
            .map(|(key, claim)| HandedClaim::new(key, claim))
            .collect();
        self.claim_count -= claims.len();
        self.stored_bytes -= claims.iter().map(|c| c.state.stored_bytes()).sum::<usize>();
        HandedPartition {
            partition,
            giver,
            complete_from_wall_ms,
            part: 0,
            parts: 1,
            claims,
        }
    }

    /// Keeps claims that another host handed over until [`ClaimTable::adopt`] asks for them.
    /// Returns false if they would exceed the bound; the keys are then refused by their age.
    pub fn take_over(&mut self, handed: HandedPartition) -> bool {
        let pending: usize = self
            .partitions
            .values()
            .map(PartitionClaims::pending_len)
            .sum();
        if self.claim_count + pending + handed.claims.len() > self.limits.max_claims {
            return false;
        }
        let place = self.partitions.entry(handed.partition).or_default();
        place.keep_pending(handed);
        true
    }

    /// Adopts the claims that the tenure `giver` handed over into the tenure of this host that
    /// started at `from_wall_ms` and follows it directly. Returns whether all parts were there.
    ///
    /// The tenure may have granted claims before: their keys were issued later than any key that
    /// the giver could have granted, so the two sets do not meet.
    pub fn adopt(
        &mut self,
        partition: Partition,
        giver: &TenureId,
        from_wall_ms: WallMs,
        now: Now,
    ) -> bool {
        let place = self.partitions.entry(partition).or_default();
        let Some(parts) = place.adopt(giver, from_wall_ms) else {
            return false;
        };
        for handed in parts.into_iter().flat_map(|part| part.claims) {
            let (key, claim) = handed.into_claim(now.mono_ns);
            if key.partition() != partition || place.claims.contains_key(&key) {
                continue;
            }
            self.claim_count += 1;
            self.stored_bytes += claim.state.stored_bytes();
            place.claims.insert(key, claim);
        }
        true
    }

    /// Forgets claims whose keys cannot be used any more and that did not change within the
    /// retention. Returns how many were forgotten.
    pub fn expire(&mut self, now: Now) -> usize {
        let mut forgotten = 0;
        for place in self.partitions.values_mut() {
            // Keys are ordered by their issue time, so the walk ends at the first recent one.
            let due: Vec<_> = place
                .claims
                .iter()
                .take_while(|(key, _)| now.wall_ms.ms_since(key.issued_wall_ms()) > FORGET_AGE_MS)
                .filter(|(_, claim)| now.mono_ns.ms_since(claim.changed_ns) >= RETENTION_MS)
                .map(|(key, _)| *key)
                .collect();
            for key in due {
                if let Some(claim) = place.claims.remove(&key) {
                    self.stored_bytes -= claim.state.stored_bytes();
                    forgotten += 1;
                }
            }
        }
        self.claim_count -= forgotten;
        forgotten
    }
}

/// Applies the rules on the issue time of a key; they come before the look-up of the key.
fn refusal_by_age(key: IdempotencyKey, complete_from: WallMs, now_wall_ms: WallMs) -> Option<Code> {
    let issued = key.issued_wall_ms();
    if issued > now_wall_ms.plus_ms(CLOCK_ERROR_MS) {
        Some(Code::KeyFromFuture)
    } else if now_wall_ms.ms_since(issued) > RETENTION_MS {
        Some(Code::KeyTooOld)
    } else if issued <= complete_from.plus_ms(2 * CLOCK_ERROR_MS) {
        // The owner before may have granted a key up to one clock error ahead of its own clock,
        // which may be one clock error ahead of this host's.
        Some(Code::KeyBeforeTenure)
    } else {
        None
    }
}

fn answer_known(claim: &Claim, request: &ClaimRequest, tenure: &Tenure) -> ClaimResponse {
    if claim.digest != request.digest {
        return refused(Code::KeyReused);
    }
    match &claim.state {
        // The message was repeated; the attempt acts on one grant only.
        ClaimState::Running if claim.is_of(&request.sender, request.attempt) => granted(tenure),
        ClaimState::Running | ClaimState::Unknown => refused(Code::KeyRunning),
        ClaimState::Completed(Some(answer)) => ClaimResponse::Completed(answer.clone()),
        ClaimState::Completed(None) => refused(Code::KeyCompleted),
    }
}

fn is_kept(answer: &StoredResponse, room_bytes: usize) -> bool {
    answer.size_bytes() <= MAX_STORED_ANSWER_BYTES.min(room_bytes)
}

fn granted(tenure: &Tenure) -> ClaimResponse {
    ClaimResponse::Granted {
        not_after_wall_ms: tenure.not_after_wall_ms(),
    }
}

fn refused(code: Code) -> ClaimResponse {
    ClaimResponse::Refused {
        code: code.number(),
    }
}
