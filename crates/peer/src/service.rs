//! Declares the `tarpc` service and passes its calls to the handler.

use crate::{CrashReportResponse, PeerColdReport, PeerCrashReport, PeerHandler};
use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, Quarantine};
use heatherhinge_claims::{
    ClaimRequest, ClaimResponse, HandedPartition, SettleResponse, Settlement,
};
use heatherhinge_types::{Digest, Name};
use std::sync::Arc;
use tarpc::context::Context;

/// The service; [`PeerHandler`] documents each call. New calls go to the end, because the encoding
/// identifies a call by its position. `tarpc` makes span names of the method names.
#[tarpc::service]
pub(crate) trait PeerService {
    async fn claim(request: ClaimRequest) -> ClaimResponse;
    async fn settle(settlement: Settlement) -> SettleResponse;
    async fn exchange(request: ExchangeRequest) -> ExchangeResponse;
    async fn report_crash(report: PeerCrashReport) -> CrashReportResponse;
    async fn report_success(digest: Digest);
    async fn hand_over(handed: HandedPartition) -> bool;
    async fn fetch_bundle(version: u64) -> Option<Vec<u8>>;
    async fn cold_seen(report: PeerColdReport);
    async fn hold_back(quarantine: Quarantine);
    async fn brake(move_id: Name, from: Name);
}

/// Passes each call to the handler of this host.
#[derive(Debug)]
pub(crate) struct Dispatch<H>(pub(crate) Arc<H>);

impl<H> Clone for Dispatch<H> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<H: PeerHandler> PeerService for Dispatch<H> {
    async fn claim(self, _: Context, request: ClaimRequest) -> ClaimResponse {
        self.0.claim(request).await
    }

    async fn settle(self, _: Context, settlement: Settlement) -> SettleResponse {
        self.0.settle(settlement).await
    }

    async fn exchange(self, _: Context, request: ExchangeRequest) -> ExchangeResponse {
        self.0.exchange(request).await
    }

    async fn report_crash(self, _: Context, report: PeerCrashReport) -> CrashReportResponse {
        self.0.report_crash(report).await
    }

    async fn hold_back(self, _: Context, quarantine: Quarantine) {
        self.0.apply_quarantine(quarantine).await;
    }

    async fn report_success(self, _: Context, digest: Digest) {
        self.0.report_success(digest).await;
    }

    async fn hand_over(self, _: Context, handed: HandedPartition) -> bool {
        self.0.hand_over(handed).await
    }

    async fn fetch_bundle(self, _: Context, version: u64) -> Option<Vec<u8>> {
        self.0.fetch_bundle(version).await
    }

    async fn cold_seen(self, _: Context, report: PeerColdReport) {
        self.0.report_cold(report).await;
    }

    async fn brake(self, _: Context, move_id: Name, from: Name) {
        self.0.report_halt(move_id, from).await;
    }
}
