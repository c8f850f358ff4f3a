//! Defines the calls that a host makes to other hosts.

use crate::{CrashReportResponse, PeerColdReport, PeerCrashReport, PeerError};
use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, Quarantine};
use heatherhinge_claims::{
    ClaimRequest, ClaimResponse, HandedPartition, SettleResponse, Settlement,
};
use heatherhinge_types::{Digest, Name};
use std::future::Future;
use std::net::SocketAddr;

/// Calls to other hosts. `deadline_ms` is the time that the call may take, connecting included.
pub trait PeerCalls: Send + Sync + 'static {
    /// Requests a claim from the owner of a key. The message may reach the owner twice, which the
    /// attempt id makes harmless. After [`PeerError::OutcomeUnknown`] the claim may have been
    /// granted: the sender does not run the request, and settles the attempt as not run.
    fn claim(
        &self,
        addr: SocketAddr,
        request: ClaimRequest,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<ClaimResponse, PeerError>> + Send;

    /// Reports to the owner how a claimed request ended.
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

    /// Makes a host hold back the requests of a quarantine; returns when it is in force there.
    fn apply_quarantine(
        &self,
        addr: SocketAddr,
        quarantine: Quarantine,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<(), PeerError>> + Send;

    /// Reports to the owner of a digest that such a request got a successful response.
    fn report_success(
        &self,
        addr: SocketAddr,
        digest: Digest,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<(), PeerError>> + Send;

    /// Hands over all claims of a partition in as many messages as needed. Returns whether the
    /// other host accepted them all.
    fn hand_over(
        &self,
        addr: SocketAddr,
        handed: HandedPartition,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<bool, PeerError>> + Send;

    /// Fetches the envelope of a bundle version; `None` if the host does not have it.
    fn fetch_bundle(
        &self,
        addr: SocketAddr,
        version: u64,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, PeerError>> + Send;

    /// Reports to the owner of a target that the target was observed cold.
    fn report_cold(
        &self,
        addr: SocketAddr,
        report: PeerColdReport,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<(), PeerError>> + Send;

    /// Reports to the leader of a move that the host `from` has stopped sending to the new version.
    fn report_halt(
        &self,
        addr: SocketAddr,
        move_id: Name,
        from: Name,
        deadline_ms: u64,
    ) -> impl Future<Output = Result<(), PeerError>> + Send;
}
