//! What a host answers to other hosts.

use crate::{CrashReportResponse, PeerColdReport, PeerCrashReport};
use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, Quarantine};
use heatherhinge_claims::{
    ClaimRequest, ClaimResponse, HandedPartition, SettleResponse, Settlement,
};
use heatherhinge_types::{Digest, Name};
use std::future::Future;

/// Answers the calls of other hosts. A handler may be cut short when the deadline of the call has
/// passed or its connection broke, at any point where it waits.
pub trait PeerHandler: Send + Sync + 'static {
    /// Decides a claim for a key that this host may own.
    fn claim(&self, request: ClaimRequest) -> impl Future<Output = ClaimResponse> + Send;

    /// Takes in how a claimed request ended.
    fn settle(&self, settlement: Settlement) -> impl Future<Output = SettleResponse> + Send;

    /// Takes in and returns host records.
    fn exchange(&self, request: ExchangeRequest) -> impl Future<Output = ExchangeResponse> + Send;

    /// Counts a crash against the digest of the request that a target was running.
    fn report_crash(
        &self,
        report: PeerCrashReport,
    ) -> impl Future<Output = CrashReportResponse> + Send;

    /// Holds back the requests of a quarantine from now on.
    fn hold_back(&self, quarantine: Quarantine) -> impl Future<Output = ()> + Send;

    /// Clears the crashes counted against a digest.
    fn report_success(&self, digest: Digest) -> impl Future<Output = ()> + Send;

    /// Takes one part of the claims of a partition. Returns whether it was kept.
    fn hand_over(&self, handed: HandedPartition) -> impl Future<Output = bool> + Send;

    /// Returns the envelope of a bundle version, if this host has it.
    fn fetch_bundle(&self, version: u64) -> impl Future<Output = Option<Vec<u8>>> + Send;

    /// Takes in that a target was seen cold.
    fn cold_seen(&self, report: PeerColdReport) -> impl Future<Output = ()> + Send;

    /// Takes in that a host has stopped sending to the new version of a move.
    fn brake(&self, move_id: Name, from: Name) -> impl Future<Output = ()> + Send;
}
