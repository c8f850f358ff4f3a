//! Calls other hosts over one connection to each.

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

/// Largest part of handed-over claims; it leaves room for the frame's other fields.
const HAND_OVER_PART_BYTES: usize = 512 * 1_024;

type Connections = BTreeMap<SocketAddr, Arc<Connection>>;

/// Client of the peer protocol with one connection to each host. The connections are a
/// read-copy-update map, so calls on open connections take no lock.
#[derive(Debug, Default)]
pub struct PeerClient {
    connections: ArcSwap<Connections>,
}

impl PeerClient {
    /// Creates a client without connections; each is opened by the first call to its host.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Closes the connections to all hosts except `addrs`, once their calls have ended.
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
        let new_connection = Arc::new(Connection::new(addr));
        self.connections.rcu(|old| {
            let mut new = Connections::clone(old);
            new.entry(addr)
                .or_insert_with(|| Arc::clone(&new_connection));
            new
        });
        self.connections
            .load()
            .get(&addr)
            .map_or(new_connection, Arc::clone)
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
        let retry = request.clone();
        let call =
            |stub: PeerServiceClient, context| async move { stub.claim(context, request).await };
        let first = connection.call(deadline_ms, call).await;
        // A broken connection may have lost only the response. The owner gives the same attempt the
        // same response, so a retry cannot return a second grant.
        let spent_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let left_ms = deadline_ms.saturating_sub(spent_ms);
        if first != Err(PeerError::OutcomeUnknown) || left_ms == 0 {
            return first;
        }
        let call =
            |stub: PeerServiceClient, context| async move { stub.claim(context, retry).await };
        match connection.call(left_ms, call).await {
            // The owner may have acted on the first message.
            Err(_) => Err(PeerError::OutcomeUnknown),
            response => response,
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

    async fn apply_quarantine(
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

    async fn report_cold(
        &self,
        addr: SocketAddr,
        report: PeerColdReport,
        deadline_ms: u64,
    ) -> Result<(), PeerError> {
        let call =
            |stub: PeerServiceClient, context| async move { stub.cold_seen(context, report).await };
        self.connection(addr).call(deadline_ms, call).await
    }

    async fn report_halt(
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
