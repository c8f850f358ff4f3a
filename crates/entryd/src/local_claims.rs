//! Decides claims for the partitions that this host owns.

use heatherhinge_blackboard::Blackboard;
use heatherhinge_claims::{
    ClaimLimits, ClaimRequest, ClaimResponse, ClaimTable, HandedPartition, SettleResponse,
    Settlement, Tenure, TenureId,
};
use heatherhinge_controllers::HandOver;
use heatherhinge_proxy::Clock;
use heatherhinge_types::{Partition, WallMs};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bounds of the claims on one host: 100,000 claims take about 30 MB, half of the memory budget of
/// the control plane, and suffice for 330 bookings per second on one host.
const CLAIM_LIMITS: ClaimLimits = ClaimLimits {
    max_claims: 100_000,
    max_stored_bytes: 16 * 1_024 * 1_024,
};

/// The claim table of this host, with the clock and the owners entry that its decisions need.
///
/// On the request path the lock is taken only for requests with a key, and held for one operation.
#[derive(Debug)]
pub(crate) struct LocalClaims {
    board: Arc<Blackboard>,
    clock: Clock,
    table: Mutex<ClaimTable>,
}

impl LocalClaims {
    pub(crate) fn new(board: Arc<Blackboard>, clock: Clock) -> Self {
        Self {
            board,
            clock,
            table: Mutex::new(ClaimTable::new(CLAIM_LIMITS)),
        }
    }

    /// Decides a claim.
    pub(crate) fn claim(&self, request: &ClaimRequest) -> ClaimResponse {
        let mut table = self.lock();
        let Some(tenure) = self.tenure(request.key.partition()) else {
            return ClaimResponse::NotOwner;
        };
        // Read after the tenure: with an older time, the lease could seem valid after it has ended.
        let now = self.clock.now();
        table.claim(request, &tenure, now)
    }

    /// Records how a claimed request ended.
    pub(crate) fn settle(&self, settlement: Settlement) -> SettleResponse {
        let now = self.clock.now();
        self.lock().settle(settlement, now)
    }

    /// Closes a tenure of this host and returns its claims for the next owner.
    pub(crate) fn hand_over(&self, part: &HandOver) -> HandedPartition {
        self.lock()
            .hand_over(part.partition, part.giver.clone(), part.has_earlier_claims)
    }

    /// Stores claims that another host hands over until the next tenure begins. Returns false if
    /// they would exceed the bounds.
    pub(crate) fn take_over(&self, handed: HandedPartition) -> bool {
        self.lock().take_over(handed)
    }

    /// Adopts the claims that `giver` handed over for the tenure that begins now. Returns whether
    /// all parts had arrived.
    pub(crate) fn adopt(
        &self,
        partition: Partition,
        giver: &TenureId,
        from_wall_ms: WallMs,
    ) -> bool {
        let now = self.clock.now();
        self.lock().adopt(partition, giver, from_wall_ms, now)
    }

    /// Removes claims whose keys can no longer be used.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        self.lock().expire(now);
    }

    fn tenure(&self, partition: Partition) -> Option<Tenure> {
        let owners = self.board.owners.read();
        let owner = owners.value.owner(partition)?;
        if owner.host != self.board.host {
            return None;
        }
        Some(Tenure {
            lease_until_wall_ms: owners.value.own_lease_until_wall_ms,
            lease_until_ns: owners.value.own_lease_until_ns,
            from_wall_ms: owner.from_wall_ms,
            has_earlier_claims: owner.has_earlier_claims,
        })
    }

    fn lock(&self) -> MutexGuard<'_, ClaimTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
