//! Asks other hosts.

use crate::connection::Connection;
use crate::service::PeerServiceClient;
use crate::{CrashReportResponse, PeerCalls, PeerColdReport, PeerCrashReport, PeerError};
use arc_swap::ArcSwap;
use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, Quarantine};
use heatherhinge_claims::{
    ClaimRequest, ClaimResponse, HandedPartition, SettleResponse, Settlement,
};
use heatherhinge_types::{Digest, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Size of one part of handed claims; it leaves room for the frame's other fields.
const HAND_OVER_PART_BYTES: usize = 512 * 1_024;

type Connections = BTreeMap<SocketAddr, Arc<Connection>>;

/// Calls other hosts over one connection each. Connections are found by read-copy-update, so
/// calls to open connections take no lock.
#[derive(Debug, Default)]
pub struct PeerClient {
    connections: ArcSwap<Connections>,
}

impl PeerClient {
    /// Makes a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Closes the connections to all hosts but these, once their calls have ended.
    pub fn retain(&self, addrs: &[SocketAddr]) {
        self.connections.rcu(|old| {
            let mut new = Connections::clone(old);
            new.retain(|addr, _| addrs.contains(addr));
            new
        });
    }

    fn connection(&self, addr: SocketAddr) -> Arc<Connection> {
        if let Some(connection) = self.connections.load().get(&addr) {
            return Arc::clone(connection);
        }
        let made = Arc::new(Connection::new(addr));
        self.connections.rcu(|old| {
            let mut new = Connections::clone(old);
            new.entry(addr).or_insert_with(|| Arc::clone(&made));
            new
        });
        self.connections.load().get(&addr).map_or(made, Arc::clone)
    }
}

impl PeerCalls for PeerClient {
    async fn claim(
        &self,
        addr: SocketAddr,
        request: ClaimRequest,
        deadline_ms: u64,
    ) -> Result<ClaimResponse, PeerError> {
        let started = Instant::now();
        let connection = self.connection(addr);
        let again = request.clone();
        let call =
            |stub: PeerServiceClient, context| async move { stub.claim(context, request).await };
        let first = connection.call(deadline_ms, call).await;
        // A connection that broke may have lost the answer only. The owner answers the same
        // attempt alike, and this call returns one grant.
        let spent_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let left_ms = deadline_ms.saturating_sub(spent_ms);
        if first != Err(PeerError::OutcomeUnknown) || left_ms == 0 {
            return first;
        }
        let call =
            |stub: PeerServiceClient, context| async move { stub.claim(context, again).await };
        match connection.call(left_ms, call).await {
            // The first message may have been acted on.
            Err(_) => Err(PeerError::OutcomeUnknown),
            answer => answer,
        }
    }

    async fn settle(
        &self,
        addr: SocketAddr,
        settlement: Settlement,
        deadline_ms: u64,
    ) -> Result<SettleResponse, PeerError> {
        let call = |stub: PeerServiceClient, context| async move {
            stub.settle(context, settlement).await
        };
        self.connection(addr).call(deadline_ms, call).await
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        request: ExchangeRequest,
        deadline_ms: u64,
    ) -> Result<ExchangeResponse, PeerError> {
        let call =
            |stub: PeerServiceClient, context| async move { stub.exchange(context, request).await };
        self.connection(addr).call(deadline_ms, call).await
    }

    async fn report_crash(
        &self,
        addr: SocketAddr,
        report: PeerCrashReport,
        deadline_ms: u64,
    ) -> Result<CrashReportResponse, PeerError> {
        let call = |stub: PeerServiceClient, context| async move {
            stub.report_crash(context, report).await
        };
        self.connection(addr).call(deadline_ms, call).await
    }

    async fn hold_back(
        &self,
        addr: SocketAddr,
        quarantine: Quarantine,
        deadline_ms: u64,
    ) -> Result<(), PeerError> {
        let call = |stub: PeerServiceClient, context| async move {
            stub.hold_back(context, quarantine).await
        };
        self.connection(addr).call(deadline_ms, call).await
    }

    async fn report_success(
        &self,
        addr: SocketAddr,
        digest: Digest,
        deadline_ms: u64,
    ) -> Result<(), PeerError> {
        let call = |stub: PeerServiceClient, context| async move {
            stub.report_success(context, digest).await
        };
        self.connection(addr).call(deadline_ms, call).await
    }

    async fn hand_over(
        &self,
        addr: SocketAddr,
        handed: HandedPartition,
        deadline_ms: u64,
    ) -> Result<bool, PeerError> {
        let connection = self.connection(addr);
        for part in handed.split(HAND_OVER_PART_BYTES) {
            let call = |stub: PeerServiceClient, context| async move {
                stub.hand_over(context, part).await
            };
            if !connection.call(deadline_ms, call).await? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    async fn fetch_bundle(
        &self,
        addr: SocketAddr,
        version: u64,
        deadline_ms: u64,
    ) -> Result<Option<Vec<u8>>, PeerError> {
        let call = |stub: PeerServiceClient, context| async move {
            stub.fetch_bundle(context, version).await
        };
        self.connection(addr).call(deadline_ms, call).await
    }

    async fn cold_seen(
        &self,
        addr: SocketAddr,
        report: PeerColdReport,
        deadline_ms: u64,
    ) -> Result<(), PeerError> {
        let call =
            |stub: PeerServiceClient, context| async move { stub.cold_seen(context, report).await };
        self.connection(addr).call(deadline_ms, call).await
    }

    async fn brake(
        &self,
        addr: SocketAddr,
        move_id: Name,
        from: Name,
        deadline_ms: u64,
    ) -> Result<(), PeerError> {
        let call = |stub: PeerServiceClient, context| async move {
            stub.brake(context, move_id, from).await
        };
        self.connection(addr).call(deadline_ms, call).await
    }
}
