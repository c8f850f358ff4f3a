//! Defines the calls that a host serves to other hosts.

use crate::{CrashReportResponse, PeerColdReport, PeerCrashReport};
use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, Quarantine};
use heatherhinge_claims::{
    ClaimRequest, ClaimResponse, HandedPartition, SettleResponse, Settlement,
};
use heatherhinge_types::{Digest, Name};
use std::future::Future;

/// Handles the calls of other hosts. A handler may be cancelled at any await point when the
/// deadline of the call has passed or its connection has failed.
pub trait PeerHandler: Send + Sync + 'static {
    /// Decides a claim for a key that this host may own.
    fn claim(&self, request: ClaimRequest) -> impl Future<Output = ClaimResponse> + Send;

    /// Records how a claimed request ended.
    fn settle(&self, settlement: Settlement) -> impl Future<Output = SettleResponse> + Send;

    /// Merges the request's host records and returns records that are newer than the sender's.
    fn exchange(&self, request: ExchangeRequest) -> impl Future<Output = ExchangeResponse> + Send;

    /// Counts a crash against the digest of the request that a target was running.
    fn report_crash(
        &self,
        report: PeerCrashReport,
    ) -> impl Future<Output = CrashReportResponse> + Send;

    /// Starts to hold back the requests of a quarantine; returns when it is in force.
    fn apply_quarantine(&self, quarantine: Quarantine) -> impl Future<Output = ()> + Send;

    /// Clears the crashes counted against a digest.
    fn report_success(&self, digest: Digest) -> impl Future<Output = ()> + Send;

    /// Stores one part of the claims of a partition. Returns whether it was accepted.
    fn hand_over(&self, handed: HandedPartition) -> impl Future<Output = bool> + Send;

    /// Returns the envelope of a bundle version, if this host has it.
    fn fetch_bundle(&self, version: u64) -> impl Future<Output = Option<Vec<u8>>> + Send;

    /// Records that a target was observed cold.
    fn report_cold(&self, report: PeerColdReport) -> impl Future<Output = ()> + Send;

    /// Records that the host `from` has stopped sending to the new version of a move.
    fn report_halt(&self, move_id: Name, from: Name) -> impl Future<Output = ()> + Send;
}
