//! What a host asks of other hosts.

use crate::{CrashReportResponse, PeerColdReport, PeerCrashReport, PeerError};
use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, Quarantine};
use heatherhinge_claims::{
    ClaimRequest, ClaimResponse, HandedPartition, SettleResponse, Settlement,
};
use heatherhinge_types::{Digest, Name};
use std::future::Future;
use std::net::SocketAddr;

/// Calls to other hosts, each with the time that it may take in milliseconds.
pub trait PeerCalls: Send + Sync + 'static {
    /// Asks the owner of a key for a claim. The message may reach the owner twice; the attempt id
    /// makes that harmless. After [`PeerError::OutcomeUnknown`] the claim may have been granted:
    /// the sender does not run the request, and settles the attempt as not run.
    fn claim(
        &self,
        addr: SocketAddr,
        request: ClaimRequest,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<ClaimResponse, PeerError>> + Send;

    /// Tells the owner how a claimed request ended.
    fn settle(
        &self,
        addr: SocketAddr,
        settlement: Settlement,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<SettleResponse, PeerError>> + Send;

    /// Exchanges host records.
    fn exchange(
        &self,
        addr: SocketAddr,
        request: ExchangeRequest,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<ExchangeResponse, PeerError>> + Send;

    /// Reports a crash to the owner of a digest.
    fn report_crash(
        &self,
        addr: SocketAddr,
        report: PeerCrashReport,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<CrashReportResponse, PeerError>> + Send;

    /// Tells a host to hold back the requests of a quarantine, and waits until it does.
    fn hold_back(
        &self,
        addr: SocketAddr,
        quarantine: Quarantine,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<(), PeerError>> + Send;

    /// Reports to the owner of a digest that such a request got a good answer.
    fn report_success(
        &self,
        addr: SocketAddr,
        digest: Digest,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<(), PeerError>> + Send;

    /// Hands all claims of a partition over, in as many messages as they take. Returns whether
    /// the other host kept them all.
    fn hand_over(
        &self,
        addr: SocketAddr,
        handed: HandedPartition,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<bool, PeerError>> + Send;

    /// Fetches the envelope of a bundle version.
    fn fetch_bundle(
        &self,
        addr: SocketAddr,
        version: u64,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, PeerError>> + Send;

    /// Tells the owner of a target that the target was seen cold.
    fn cold_seen(
        &self,
        addr: SocketAddr,
        report: PeerColdReport,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<(), PeerError>> + Send;

    /// Tells the leader of a move that `from` has stopped sending to the new version.
    fn brake(
        &self,
        addr: SocketAddr,
        move_id: Name,
        from: Name,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<(), PeerError>> + Send;
}
