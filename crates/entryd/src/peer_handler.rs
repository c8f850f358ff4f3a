//! Handles the calls of other entry hosts.

use crate::bundle_store::BundleStore;
use crate::event::{EventSender, HostEvent};
use crate::local_claims::LocalClaims;
use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, Quarantine};
use heatherhinge_claims::{
    ClaimRequest, ClaimResponse, HandedPartition, SettleResponse, Settlement,
};
use heatherhinge_controllers::{
    ColdReport, MoveEvent, OwnershipEvent, QuarantineEvent, WarmupEvent,
};
use heatherhinge_peer::{CrashReportResponse, PeerColdReport, PeerCrashReport, PeerHandler};
use heatherhinge_types::{Digest, Name};
use std::sync::Arc;

/// Handles peer calls with the local claims, the bundle store and the control loop.
#[derive(Debug)]
pub(crate) struct HostPeerHandler {
    pub(crate) claims: Arc<LocalClaims>,
    pub(crate) bundles: Arc<BundleStore>,
    pub(crate) events: EventSender,
}

impl PeerHandler for HostPeerHandler {
    async fn claim(&self, request: ClaimRequest) -> ClaimResponse {
        self.claims.claim(&request)
    }

    async fn settle(&self, settlement: Settlement) -> SettleResponse {
        self.claims.settle(settlement)
    }

    async fn exchange(&self, request: ExchangeRequest) -> ExchangeResponse {
        let response = self
            .events
            .send_and_wait(|respond_to| HostEvent::ExchangeRequested {
                request,
                respond_to,
            })
            .await;
        // There is no response while this host has no record of its own.
        response.unwrap_or(ExchangeResponse {
            digest: Vec::new(),
            records: Vec::new(),
        })
    }

    async fn report_crash(&self, report: PeerCrashReport) -> CrashReportResponse {
        let response = self
            .events
            .send_and_wait(|respond_to| HostEvent::PeerCrashed { report, respond_to })
            .await;
        response.unwrap_or(CrashReportResponse::NotOwner)
    }

    async fn apply_quarantine(&self, quarantine: Quarantine) {
        self.events
            .send_and_wait(|done| HostEvent::ApplyQuarantine { quarantine, done })
            .await;
    }

    async fn report_success(&self, digest: Digest) {
        self.events
            .send(HostEvent::Quarantine(QuarantineEvent::PeerSucceeded {
                digest,
            }));
    }

    async fn hand_over(&self, handed: HandedPartition) -> bool {
        let (partition, giver) = (handed.partition, handed.giver.clone());
        let is_kept = self.claims.take_over(handed);
        if is_kept {
            let event = OwnershipEvent::ClaimsReceived { partition, giver };
            self.events.send(HostEvent::Ownership(event));
        }
        is_kept
    }

    async fn fetch_bundle(&self, version: u64) -> Option<Vec<u8>> {
        self.bundles.envelope_json(version)
    }

    async fn report_cold(&self, report: PeerColdReport) {
        let PeerColdReport {
            target,
            lost_run,
            new_run,
        } = report;
        let event = WarmupEvent::Reported(ColdReport {
            target,
            lost_run,
            new_run,
        });
        self.events.send(HostEvent::Warmup(event));
    }

    async fn report_halt(&self, move_id: Name, from: Name) {
        self.events
            .send(HostEvent::Moves(MoveEvent::HaltReported { move_id, from }));
    }
}
