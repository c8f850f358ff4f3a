//! Reaches the owners of partitions for the data path, this host included.

use crate::event::{EventSender, HostEvent};
use crate::local_claims::LocalClaims;
use heatherhinge_blackboard::{Blackboard, Owner, TargetCell};
use heatherhinge_claims::{ClaimRequest, ClaimResponse, Outcome, SettleResponse, Settlement};
use heatherhinge_controllers::{CrashReport, OwnershipEvent, QuarantineEvent};
use heatherhinge_peer::{PeerCalls, PeerClient, PeerError};
use heatherhinge_proxy::{Clock, PartitionOwners};
use heatherhinge_types::{Code, Digest, Partition};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time for the owner's answer to a claim. One way between zones takes 1 ms.
const CLAIM_DEADLINE_MS: u64 = 100;
/// Time for a settlement; the caller waits for it, so that a resend finds the outcome.
const SETTLE_DEADLINE_MS: u64 = 100;
/// Longest wait for a crash to be counted and a quarantine to be spread. The controller itself
/// settles a report within this time.
const CRASH_WAIT: Duration = Duration::from_secs(4);
/// Time for the owners to be read again after a host said that it is not the owner.
const REREAD_STEPS: u32 = 50;
/// One step of that time.
const REREAD_STEP: Duration = Duration::from_millis(10);

/// The owners of partitions as the data path sees them.
#[derive(Debug)]
pub(crate) struct OwnerClient {
    pub(crate) board: Arc<Blackboard>,
    pub(crate) clock: Clock,
    pub(crate) claims: Arc<LocalClaims>,
    pub(crate) client: Arc<PeerClient>,
    pub(crate) events: EventSender,
}

impl OwnerClient {
    /// Returns the owner of a partition whose lease has not ended.
    fn owner(&self, partition: Partition) -> Option<Owner> {
        let now = self.clock.now();
        let owners = self.board.owners.read();
        let owner = owners.value.owner(partition)?;
        let is_valid = if owner.host == self.board.host {
            owners.value.lease_valid(now)
        } else {
            now.wall_ms < owner.lease_until_wall_ms
        };
        is_valid.then(|| owner.clone())
    }

    async fn claim_once(&self, request: &ClaimRequest) -> Result<ClaimResponse, Code> {
        let owner = self.owner(request.key.partition()).ok_or(Code::NoOwner)?;
        if owner.host == self.board.host {
            return Ok(self.claims.claim(request));
        }
        let asked = self
            .client
            .claim(owner.peer_addr, request.clone(), CLAIM_DEADLINE_MS)
            .await;
        match asked {
            Ok(answer) => Ok(answer),
            Err(PeerError::OutcomeUnknown) => {
                // The owner may have granted the claim. It is given back, or the key would stay
                // in use until its claim is forgotten.
                self.settle(Settlement {
                    key: request.key,
                    digest: request.digest,
                    sender: request.sender.clone(),
                    attempt: request.attempt,
                    outcome: Outcome::NotRun,
                })
                .await;
                Err(Code::OwnerUnreachable)
            }
            Err(PeerError::Unavailable | PeerError::TooLarge) => Err(Code::OwnerUnreachable),
        }
    }

    async fn settle_once(&self, settlement: Settlement) -> SettleResponse {
        let Some(owner) = self.owner(settlement.key.partition()) else {
            return SettleResponse::NotHeld;
        };
        if owner.host == self.board.host {
            return self.claims.settle(settlement);
        }
        let told = self
            .client
            .settle(owner.peer_addr, settlement, SETTLE_DEADLINE_MS)
            .await;
        // A settlement that is lost leaves the claim in use: a resend is refused, never run.
        told.unwrap_or(SettleResponse::NotHeld)
    }

    async fn reread_owners(&self) {
        let before = self.board.owners.read().version;
        self.events
            .send(HostEvent::Ownership(OwnershipEvent::StaleOwnerReported));
        for _ in 0..REREAD_STEPS {
            sleep(REREAD_STEP).await;
            if self.board.owners.read().version != before {
                return;
            }
        }
    }
}

impl PartitionOwners for OwnerClient {
    async fn claim(&self, request: ClaimRequest) -> Result<ClaimResponse, Code> {
        let answer = self.claim_once(&request).await;
        if !matches!(answer, Ok(ClaimResponse::NotOwner) | Err(Code::NoOwner)) {
            return answer;
        }
        self.reread_owners().await;
        self.claim_once(&request).await
    }

    async fn settle(&self, settlement: Settlement) {
        if self.settle_once(settlement.clone()).await == SettleResponse::NotHeld {
            // The partition may have a new owner that was handed the claim.
            self.reread_owners().await;
            self.settle_once(settlement).await;
        }
    }

    async fn report_crash(&self, digest: Digest, target: &Arc<TargetCell>) {
        let report = CrashReport {
            digest,
            target: target.id.clone(),
            start_id: target.start_id(),
        };
        let settled = self.events.ask(|done| HostEvent::Crashed { report, done });
        if timeout(CRASH_WAIT, settled).await.is_err() {
            tracing::warn!("quarantine: a crash report was not settled in time");
        }
    }

    async fn report_success(&self, digest: Digest) {
        self.events
            .send(HostEvent::Quarantine(QuarantineEvent::Succeeded { digest }));
    }
}
