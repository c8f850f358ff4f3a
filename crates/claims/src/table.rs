//! Decides, settles, hands over and expires the claims of the partitions that this host owns.

use crate::claim::{Claim, ClaimState};
use crate::partition_claims::PartitionClaims;
use crate::{
    ClaimRequest, ClaimResponse, HandedClaim, HandedPartition, Outcome, SettleResponse, Settlement,
    StoredResponse, Tenure, TenureId,
};
use heatherhinge_types::{CLOCK_ERROR_MS, Code, IdempotencyKey, Now, Partition, WallMs};
use std::collections::BTreeMap;

/// Time for which a key can be used after its issue and a claim is kept after its last change.
pub const RETENTION_MS: u64 = 300_000;

/// Largest response that is stored for replay.
pub const MAX_STORED_RESPONSE_BYTES: usize = 4_096;

/// Age of its key above which a claim may be deleted. The claim outlives the key by twice the clock
/// error, so that the key stays refused if a clock is set back and by the clock of the next owner.
const DELETE_AGE_MS: u64 = RETENTION_MS + 2 * CLOCK_ERROR_MS;

/// Bounds of a [`ClaimTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Most claims at once. At about 300 bytes each, a million claims take 300 MB.
    pub max_claims: usize,
    /// Most bytes of stored responses at once.
    pub max_stored_bytes: usize,
}

/// Decides claims by the rules of `docs/design.md`, sections 7 and 22.
///
/// The table never deletes a claim whose key could still be used. When it is full it refuses new
/// keys with [`Code::ClaimsFull`].
#[derive(Debug)]
pub struct ClaimTable {
    limits: ClaimLimits,
    partitions: BTreeMap<Partition, PartitionClaims>,
    claim_count: usize,
    stored_bytes: usize,
}

impl ClaimTable {
    /// Creates an empty table.
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

    /// Returns the size of all stored responses.
    #[must_use]
    pub const fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Decides one claim for a partition that this host owns under `tenure`.
    ///
    /// `now` must be read after the tenure was looked up: an older reading could outlive a lease.
    pub fn claim(&mut self, request: &ClaimRequest, tenure: &Tenure, now: Now) -> ClaimResponse {
        let partition_entry = self.partitions.entry(request.key.partition()).or_default();
        if !tenure.is_valid(now) || partition_entry.is_closed(tenure.from_wall_ms) {
            return ClaimResponse::NotOwner;
        }
        let complete_from =
            partition_entry.complete_from_wall_ms(tenure.from_wall_ms, tenure.has_earlier_claims);
        if let Some(code) = refusal_by_age(request.key, complete_from, now.wall_ms) {
            return refused(code);
        }
        if let Some(claim) = partition_entry.claims.get(&request.key) {
            return decide_known(claim, request, tenure);
        }
        if self.claim_count >= self.limits.max_claims
            || self.stored_bytes >= self.limits.max_stored_bytes
        {
            return refused(Code::ClaimsFull);
        }
        let claim = Claim::new(request, now.mono_ns);
        partition_entry.claims.insert(request.key, claim);
        self.claim_count += 1;
        granted(tenure)
    }

    /// Records how an attempt ended.
    ///
    /// Messages may be lost, repeated and late. A settlement changes only the claim of its own
    /// attempt, and of several settlements of one attempt the first one counts, except that
    /// [`Outcome::Completed`] replaces [`Outcome::Unknown`].
    pub fn settle(&mut self, settlement: Settlement, now: Now) -> SettleResponse {
        let partition_entry = self
            .partitions
            .entry(settlement.key.partition())
            .or_default();
        let Some(claim) = partition_entry.claims.get_mut(&settlement.key) else {
            return SettleResponse::NotHeld;
        };
        if !claim.is_of(&settlement.sender, settlement.attempt) || claim.digest != settlement.digest
        {
            return SettleResponse::Stale;
        }
        let state = match (&claim.state, settlement.outcome) {
            (ClaimState::Running, Outcome::NotRun) => {
                partition_entry.claims.remove(&settlement.key);
                self.claim_count -= 1;
                return SettleResponse::Settled;
            }
            (ClaimState::Running, Outcome::Unknown) => ClaimState::Unknown,
            (ClaimState::Running | ClaimState::Unknown, Outcome::Completed(response)) => {
                let free_bytes = self
                    .limits
                    .max_stored_bytes
                    .saturating_sub(self.stored_bytes);
                ClaimState::Completed(response.filter(|response| is_storable(response, free_bytes)))
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
    /// From this call on the tenure grants no claims, so the returned claims stay complete although
    /// requests keep arriving. Settlements that arrive later get [`SettleResponse::NotHeld`].
    /// `has_earlier_claims` is the value in the [`Tenure`].
    pub fn hand_over(
        &mut self,
        partition: Partition,
        giver: TenureId,
        has_earlier_claims: bool,
    ) -> HandedPartition {
        let partition_entry = self.partitions.entry(partition).or_default();
        let from_wall_ms = giver.from_wall_ms;
        let complete_from_wall_ms =
            partition_entry.complete_from_wall_ms(from_wall_ms, has_earlier_claims);
        let claims: Vec<_> = partition_entry
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

    /// Stores claims that another host handed over until [`ClaimTable::adopt`] is called. Returns
    /// false if they would exceed the limit; their keys are then refused by age.
    pub fn take_over(&mut self, handed: HandedPartition) -> bool {
        let pending: usize = self
            .partitions
            .values()
            .map(PartitionClaims::pending_len)
            .sum();
        if self.claim_count + pending + handed.claims.len() > self.limits.max_claims {
            return false;
        }
        let partition_entry = self.partitions.entry(handed.partition).or_default();
        partition_entry.add_pending(handed);
        true
    }

    /// Adopts the claims that the tenure `giver` handed over into the tenure of this host that
    /// started at `from_wall_ms` and follows it directly. Returns whether all parts had arrived.
    ///
    /// The tenure may already have granted claims. Their keys were issued later than any key that
    /// the giver could have granted, so the two sets do not overlap.
    pub fn adopt(
        &mut self,
        partition: Partition,
        giver: &TenureId,
        from_wall_ms: WallMs,
        now: Now,
    ) -> bool {
        let partition_entry = self.partitions.entry(partition).or_default();
        let Some(parts) = partition_entry.adopt(giver, from_wall_ms) else {
            return false;
        };
        for handed in parts.into_iter().flat_map(|part| part.claims) {
            let (key, claim) = handed.into_claim(now.mono_ns);
            if key.partition() != partition || partition_entry.claims.contains_key(&key) {
                continue;
            }
            self.claim_count += 1;
            self.stored_bytes += claim.state.stored_bytes();
            partition_entry.claims.insert(key, claim);
        }
        true
    }

    /// Deletes claims whose keys can no longer be used and that did not change within the
    /// retention. Returns the number of deleted claims.
    pub fn expire(&mut self, now: Now) -> usize {
        let mut deleted = 0;
        for partition_entry in self.partitions.values_mut() {
            // Keys are ordered by issue time, so the scan ends at the first recent one.
            let due: Vec<_> = partition_entry
                .claims
                .iter()
                .take_while(|(key, _)| now.wall_ms.ms_since(key.issued_wall_ms()) > DELETE_AGE_MS)
                .filter(|(_, claim)| now.mono_ns.ms_since(claim.changed_ns) >= RETENTION_MS)
                .map(|(key, _)| *key)
                .collect();
            for key in due {
                if let Some(claim) = partition_entry.claims.remove(&key) {
                    self.stored_bytes -= claim.state.stored_bytes();
                    deleted += 1;
                }
            }
        }
        self.claim_count -= deleted;
        deleted
    }
}

/// Applies the rules on the issue time of a key, which precede the look-up of the key.
fn refusal_by_age(key: IdempotencyKey, complete_from: WallMs, now_wall_ms: WallMs) -> Option<Code> {
    let issued = key.issued_wall_ms();
    if issued > now_wall_ms.plus_ms(CLOCK_ERROR_MS) {
        Some(Code::KeyFromFuture)
    } else if now_wall_ms.ms_since(issued) > RETENTION_MS {
        Some(Code::KeyTooOld)
    } else if issued <= complete_from.plus_ms(2 * CLOCK_ERROR_MS) {
        // The previous owner may have granted a key up to one clock error ahead of its own clock,
        // which may be one clock error ahead of this host's.
        Some(Code::KeyBeforeTenure)
    } else {
        None
    }
}

fn decide_known(claim: &Claim, request: &ClaimRequest, tenure: &Tenure) -> ClaimResponse {
    if claim.digest != request.digest {
        return refused(Code::KeyReused);
    }
    match &claim.state {
        // The message was repeated; the sender acts on only one grant of an attempt.
        ClaimState::Running if claim.is_of(&request.sender, request.attempt) => granted(tenure),
        ClaimState::Running | ClaimState::Unknown => refused(Code::KeyRunning),
        ClaimState::Completed(Some(response)) => ClaimResponse::Completed(response.clone()),
        ClaimState::Completed(None) => refused(Code::KeyCompleted),
    }
}

fn is_storable(response: &StoredResponse, free_bytes: usize) -> bool {
    response.size_bytes() <= MAX_STORED_RESPONSE_BYTES.min(free_bytes)
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
