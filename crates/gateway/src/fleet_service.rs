//! Gossip between entry hosts, as a `tarpc` service over TCP.

use crate::fleet_board::FleetBoard;
use crate::packed_update::PackedUpdate;
use futures_util::StreamExt;
use heatherhinge_proxy::Clock;
use heatherhinge_steering::{ChangeCursor, ForwardedState, GossipDigest, Heartbeat, HostState};
use heatherhinge_types::{Code, StoreVersion};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tarpc::client::Config;
use tarpc::context::{self, Context};
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};
use tokio_serde::formats::Bincode;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::io::InspectReader;

/// Largest message in bytes. 5,000 registrations take about 1.3 MB.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Timeout of an exchange, including the time to connect.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without any byte after which an exchange that asks for orders ends, so that a dead connection
/// does not keep this host from asking another.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of an exchange that asks for orders and makes progress. A configuration of some hundred kilobytes takes
/// most of a second over the link of a small host.
const ORDERS_SYNC_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for opening a connection. A host without power does not respond, but others may.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A version of the orders that nothing is newer than: the requesting host wants no orders.
pub(crate) const ORDERS_NOT_WANTED: StoreVersion = StoreVersion::MAX;
/// Longest time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of concurrent calls on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 16;
/// Largest number of connections to other hosts that are kept open.
const MAX_CONNECTIONS: usize = 32;
/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A host's own state and the versions of what it has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncRequest {
    /// State of the requesting host.
    pub own: HostState,
    /// The host states that it has.
    pub told: GossipDigest,
    /// Version of its replica of the orders; none without one.
    pub orders_version: StoreVersion,
    /// Version of the newest change in it, or [`ORDERS_NOT_WANTED`].
    pub orders_changed: StoreVersion,
    /// Version of the newest change of the orders that it could send, even if it wants none.
    pub orders_told: StoreVersion,
    /// Version of its replica of the registrations; none without one.
    pub targets_version: StoreVersion,
    /// Age of that replica in milliseconds.
    pub targets_age_ms: u64,
}

/// What the requesting host lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncResponse {
    /// Last change that the requesting host has once it has applied this response.
    pub marker: ChangeCursor,
    /// States of hosts whose content has changed.
    pub states: Vec<ForwardedState>,
    /// Heartbeats of the other hosts.
    pub beats: Vec<Heartbeat>,
    /// Orders, if they are newer than those of the requesting host.
    pub orders: Option<PackedUpdate>,
    /// Registrations, if they are newer or were confirmed more recently.
    pub targets: Option<PackedUpdate>,
}

/// The service that every host offers to the others.
#[tarpc::service]
pub(crate) trait FleetService {
    /// The exchange of releases that do not know epochs of the store, by its position. Versions of both
    /// releases cannot be compared, so it gets no content, and such hosts read the store for themselves.
    async fn sync_without_epochs();
    async fn sync(request: SyncRequest) -> SyncResponse;
}

/// Serves exchanges from the snapshots on the board.
#[derive(Clone, Debug)]
struct Responder {
    board: Arc<FleetBoard>,
    clock: Clock,
}

impl FleetService for Responder {
    async fn sync_without_epochs(self, _: Context) {}

    async fn sync(self, _: Context, request: SyncRequest) -> SyncResponse {
        self.board.response(request, self.clock.mono_ns())
    }
}

fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Serves other hosts until the process exits.
pub(crate) async fn serve(listener: TcpListener, board: Arc<FleetBoard>, clock: Clock) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let responder = Responder {
                    board: Arc::clone(&board),
                    clock,
                };
                tokio::spawn(serve_host(stream, peer, responder));
            }
            Err(error) => {
                tracing::warn!("fleet: accept failed; retrying in 50 ms: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_host(stream: TcpStream, peer: SocketAddr, responder: Responder) {
    if let Err(error) = configure_socket(&stream) {
        tracing::debug!(
            %peer,
            "fleet: setting socket options failed; closing the connection: {error}"
        );
        return;
    }
    let transport = serde_transport::new(Framed::new(stream, framing()), Bincode::default());
    let requests = BaseChannel::with_defaults(transport)
        .max_concurrent_requests(MAX_CALLS_PER_CONNECTION)
        .requests();
    let mut requests = std::pin::pin!(requests);
    while let Some(next) = requests.next().await {
        match next {
            Ok(request) => request.execute(responder.clone().serve()).await,
            Err(error) => {
                tracing::info!(
                    %peer,
                    code = Code::PeerMalformed.number(),
                    "fleet: reading from a host failed; closing the connection: {error}"
                );
                return;
            }
        }
    }
}

/// An open connection to another host.
#[derive(Clone, Debug)]
struct PeerConnection {
    stub: FleetServiceClient,
    received_bytes: Arc<AtomicU64>,
}

impl PeerConnection {
    /// Waits until no byte has arrived for [`STALL_TIMEOUT`].
    async fn stalled(&self) {
        loop {
            let before = self.received_bytes.load(Ordering::Relaxed);
            sleep(STALL_TIMEOUT).await;
            if self.received_bytes.load(Ordering::Relaxed) == before {
                return;
            }
        }
    }
}

/// Starts exchanges with other hosts, over one connection each.
#[derive(Debug, Default)]
pub(crate) struct FleetClient {
    connections: Mutex<BTreeMap<SocketAddr, PeerConnection>>,
}

impl FleetClient {
    /// Exchanges states with a host; `None` if it cannot be reached or does not respond in time.
    pub(crate) async fn sync(
        &self,
        addr: SocketAddr,
        request: SyncRequest,
    ) -> Option<SyncResponse> {
        let longest = if request.orders_changed == ORDERS_NOT_WANTED {
            SYNC_TIMEOUT
        } else {
            ORDERS_SYNC_TIMEOUT
        };
        let deadline = Instant::now() + longest;
        let response = timeout(longest, self.call(addr, request, deadline)).await;
        if let Ok(Some(response)) = response {
            return Some(response);
        }
        // A connection without a response may be dead; the next call opens a new one.
        self.connections.lock().await.remove(&addr);
        None
    }

    async fn call(
        &self,
        addr: SocketAddr,
        request: SyncRequest,
        deadline: Instant,
    ) -> Option<SyncResponse> {
        let known = self.connections.lock().await.get(&addr).cloned();
        let connection = match known {
            Some(connection) => connection,
            None => self.open(addr).await.ok()?,
        };
        let mut context = context::current();
        context.deadline = deadline;
        tokio::select! {
            response = connection.stub.sync(context, request) => response.ok(),
            () = connection.stalled() => None,
        }
    }

    async fn open(&self, addr: SocketAddr) -> io::Result<PeerConnection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        configure_socket(&stream)?;
        let received_bytes = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&received_bytes);
        let stream = InspectReader::new(stream, move |bytes: &[u8]| {
            counter.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        });
        let transport = serde_transport::new(Framed::new(stream, framing()), Bincode::default());
        let stub = FleetServiceClient::new(Config::default(), transport).spawn();
        let connection = PeerConnection {
            stub,
            received_bytes,
        };
        let mut connections = self.connections.lock().await;
        if connections.len() >= MAX_CONNECTIONS {
            connections.pop_first();
        }
        connections.insert(addr, connection.clone());
        Ok(connection)
    }
}

#[cfg(test)]
#[path = "../tests/unit/fleet_service.rs"]
mod tests;
