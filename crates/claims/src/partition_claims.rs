//! Keeps the claims of one partition.

use crate::claim::Claim;
use crate::{HandedPartition, TenureId};
use heatherhinge_types::{IdempotencyKey, WallMs};
use std::collections::BTreeMap;

/// Claims of one partition by issue time, and the tenure start from which they are complete.
#[derive(Debug, Default)]
pub(crate) struct PartitionClaims {
    pub(crate) claims: BTreeMap<IdempotencyKey, Claim>,
    /// Start of the tenure that was handed over. It grants no more claims, although the row in the
    /// store still names this host for a while.
    closed_from_wall_ms: Option<WallMs>,
    /// Start of the tenure that adopted earlier claims, and the earlier start from which its claims
    /// are complete.
    adopted: Option<(WallMs, WallMs)>,
    /// Parts that arrived from the latest giver and are not adopted yet.
    pending: Vec<HandedPartition>,
}

impl PartitionClaims {
    /// Returns whether the tenure was handed over.
    pub(crate) fn is_closed(&self, from_wall_ms: WallMs) -> bool {
        self.closed_from_wall_ms == Some(from_wall_ms)
    }

    /// Ends the tenure, which then grants no more claims, and returns its claims.
    pub(crate) fn close(&mut self, from_wall_ms: WallMs) -> BTreeMap<IdempotencyKey, Claim> {
        self.closed_from_wall_ms = Some(from_wall_ms);
        std::mem::take(&mut self.claims)
    }

    /// Returns the start from which the claims of a tenure are complete: that of the tenure, or an
    /// earlier one if the tenure adopted claims.
    pub(crate) fn complete_from_wall_ms(
        &self,
        from_wall_ms: WallMs,
        has_earlier_claims: bool,
    ) -> WallMs {
        match self.adopted {
            Some((from, complete)) if has_earlier_claims && from == from_wall_ms => complete,
            _ => from_wall_ms,
        }
    }

    /// Returns the number of claims that wait for adoption.
    pub(crate) fn pending_len(&self) -> usize {
        self.pending.iter().map(|part| part.claims.len()).sum()
    }

    /// Stores a part for adoption. Drops the parts of other tenures, and a repeated part.
    pub(crate) fn add_pending(&mut self, handed: HandedPartition) {
        self.pending
            .retain(|other| other.giver == handed.giver && other.parts == handed.parts);
        if self.pending.iter().all(|other| other.part != handed.part) {
            self.pending.push(handed);
        }
    }

    /// Takes the pending parts of `giver` if all have arrived, and marks the tenure that started
    /// at `from_wall_ms` as having adopted them.
    pub(crate) fn adopt(
        &mut self,
        giver: &TenureId,
        from_wall_ms: WallMs,
    ) -> Option<Vec<HandedPartition>> {
        let first = self.pending.first().filter(|other| other.giver == *giver)?;
        let is_complete =
            usize::try_from(first.parts).is_ok_and(|parts| parts == self.pending.len());
        if !is_complete {
            return None;
        }
        self.adopted = Some((from_wall_ms, first.complete_from_wall_ms));
        Some(std::mem::take(&mut self.pending))
    }
}
