//! Calls the owners of partitions for the data path; the owner may be this host.

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

/// Timeout for a claim. One way between zones takes 1 ms.
const CLAIM_TIMEOUT_MS: u64 = 100;
/// Timeout for a settlement; the caller waits for it, so that a retry finds the outcome.
const SETTLE_TIMEOUT_MS: u64 = 100;
/// Timeout for counting a crash and broadcasting a quarantine. The controller settles a report
/// within this time.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Checks for a new owners entry after a host responded that it is not the owner.
const REREAD_CHECKS: u32 = 50;
/// Time between two of these checks.
const REREAD_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Calls the owners of partitions through the local claims and the peer protocol.
#[derive(Debug)]
pub(crate) struct OwnerClient {
    pub(crate) board: Arc<Blackboard>,
    pub(crate) clock: Clock,
    pub(crate) claims: Arc<LocalClaims>,
    pub(crate) client: Arc<PeerClient>,
    pub(crate) events: EventSender,
}

impl OwnerClient {
    /// Returns the owner of a partition, if its lease has not ended.
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
        let result = self
            .client
            .claim(owner.peer_addr, request.clone(), CLAIM_TIMEOUT_MS)
            .await;
        match result {
            Ok(response) => Ok(response),
            Err(PeerError::OutcomeUnknown) => {
                // The owner may have granted the claim. It is released, or the key would stay in
                // use until its claim expires.
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
        let result = self
            .client
            .settle(owner.peer_addr, settlement, SETTLE_TIMEOUT_MS)
            .await;
        // A lost settlement leaves the claim in use: a retry is rejected, never run.
        result.unwrap_or(SettleResponse::NotHeld)
    }

    async fn reread_owners(&self) {
        let before = self.board.owners.read().version;
        self.events
            .send(HostEvent::Ownership(OwnershipEvent::StaleOwnerReported));
        for _ in 0..REREAD_CHECKS {
            sleep(REREAD_CHECK_INTERVAL).await;
            if self.board.owners.read().version != before {
                return;
            }
        }
    }
}

impl PartitionOwners for OwnerClient {
    async fn claim(&self, request: ClaimRequest) -> Result<ClaimResponse, Code> {
        let response = self.claim_once(&request).await;
        if !matches!(response, Ok(ClaimResponse::NotOwner) | Err(Code::NoOwner)) {
            return response;
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
        let settled = self
            .events
            .send_and_wait(|done| HostEvent::Crashed { report, done });
        if timeout(CRASH_REPORT_TIMEOUT, settled).await.is_err() {
            tracing::warn!(
                "quarantine: a crash report was not settled within {CRASH_REPORT_TIMEOUT:?}"
            );
        }
    }

    async fn report_success(&self, digest: Digest) {
        self.events
            .send(HostEvent::Quarantine(QuarantineEvent::Succeeded { digest }));
    }
}
