//! The exchange between entry hosts: a `tarpc` service over TCP.

use crate::fleet_board::FleetBoard;
use crate::packed_update::PackedUpdate;
use futures_util::StreamExt;
use heatherhinge_proxy::Clock;
use heatherhinge_steering::{ChangeCursor, GossipDigest, Heartbeat, HostState};
use heatherhinge_types::Code;
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::client::Config;
use tarpc::context::{self, Context};
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::timeout;
use tokio_serde::formats::Bincode;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest message in bytes. 5,000 registrations take about 1.3 MB.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Longest time for an exchange, the time to connect included.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for an exchange that may bring orders. A configuration of some hundred kilobytes
/// takes most of a second over the link of a small host.
const ORDERS_SYNC_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time to open a connection. A host without power does not answer, and others may.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Stands for a version of the orders to which nothing is newer: the asking host wants none.
pub(crate) const ORDERS_NOT_WANTED: u64 = u64::MAX;
/// Longest time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Calls of one connection that are worked on at once.
const MAX_CALLS_PER_CONNECTION: usize = 16;
/// Connections to other hosts that are kept.
const MAX_CONNECTIONS: usize = 32;
/// Pause after a failed accept, so that running out of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a host says of itself and what it has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncRequest {
    /// State of the asking host.
    pub own: HostState,
    /// What it has of the states of hosts.
    pub told: GossipDigest,
    /// Version of its copy of the orders.
    pub orders_version: u64,
    /// Version of the newest change in it, or [`ORDERS_NOT_WANTED`].
    pub orders_changed: u64,
    /// Version of the newest change of the orders that it could tell.
    pub orders_told: u64,
    /// Version of its copy of the registrations.
    pub targets_version: u64,
    /// Age of that copy in milliseconds.
    pub targets_age_ms: u64,
}

/// What the asking host lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncAnswer {
    /// What the asking host will have taken in with this answer.
    pub marker: ChangeCursor,
    /// States of hosts whose content has changed.
    pub states: Vec<HostState>,
    /// Beats of the other hosts.
    pub beats: Vec<Heartbeat>,
    /// Newer orders.
    pub orders: Option<PackedUpdate>,
    /// Newer or more recently confirmed registrations.
    pub targets: Option<PackedUpdate>,
}

/// The service.
#[tarpc::service]
pub(crate) trait FleetService {
    async fn sync(request: SyncRequest) -> SyncAnswer;
}

/// Answers exchanges from the snapshots on the board.
#[derive(Clone, Debug)]
struct Responder {
    board: Arc<FleetBoard>,
    clock: Clock,
}

impl FleetService for Responder {
    async fn sync(self, _: Context, request: SyncRequest) -> SyncAnswer {
        self.board.answer(request, self.clock.mono_ns())
    }
}

fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Answers other hosts until the process ends.
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
                tracing::warn!("fleet: accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_host(stream: TcpStream, peer: SocketAddr, responder: Responder) {
    if let Err(error) = prepare(&stream) {
        tracing::debug!(%peer, "fleet: a connection cannot be set up: {error}");
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
                tracing::info!(%peer, code = Code::PeerMalformed.number(), "fleet: a host's connection ended: {error}");
                return;
            }
        }
    }
}

/// Asks other hosts, over one connection each.
#[derive(Debug, Default)]
pub(crate) struct FleetClient {
    stubs: Mutex<BTreeMap<SocketAddr, FleetServiceClient>>,
}

impl FleetClient {
    /// Exchanges states with a host; `None` if it does not answer in time.
    pub(crate) async fn sync(&self, addr: SocketAddr, request: SyncRequest) -> Option<SyncAnswer> {
        let longest = if request.orders_changed == ORDERS_NOT_WANTED {
            SYNC_TIMEOUT
        } else {
            ORDERS_SYNC_TIMEOUT
        };
        let deadline = Instant::now() + longest;
        let answer = timeout(longest, self.call(addr, request, deadline)).await;
        if let Ok(Some(answer)) = answer {
            return Some(answer);
        }
        // A connection that gave no answer may be silent for good; the next call opens a new one.
        self.stubs.lock().await.remove(&addr);
        None
    }

    async fn call(
        &self,
        addr: SocketAddr,
        request: SyncRequest,
        deadline: Instant,
    ) -> Option<SyncAnswer> {
        let known = self.stubs.lock().await.get(&addr).cloned();
        let stub = match known {
            Some(stub) => stub,
            None => self.open(addr).await.ok()?,
        };
        let mut context = context::current();
        context.deadline = deadline;
        stub.sync(context, request).await.ok()
    }

    async fn open(&self, addr: SocketAddr) -> io::Result<FleetServiceClient> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        prepare(&stream)?;
        let transport = serde_transport::new(Framed::new(stream, framing()), Bincode::default());
        let stub = FleetServiceClient::new(Config::default(), transport).spawn();
        let mut stubs = self.stubs.lock().await;
        if stubs.len() >= MAX_CONNECTIONS {
            stubs.pop_first();
        }
        stubs.insert(addr, stub.clone());
        Ok(stub)
    }
}
