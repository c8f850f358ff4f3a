//! Starts and stops an entry host.

use crate::admin::Admin;
use crate::bundle_store::BundleStore;
use crate::control_loop::{ControlLoop, ControlLoopParts, ShutdownSignals};
use crate::event::{EventSender, HostEvent};
use crate::host_record::HostRecordBuilder;
use crate::io::Io;
use crate::local_claims::LocalClaims;
use crate::move_store::MoveStore;
use crate::observe::EventObserver;
use crate::owner_client::OwnerClient;
use crate::ownership_store::OwnershipStore;
use crate::peer_handler::HostPeerHandler;
use crate::prober::Prober;
use crate::record_buffer::RecordBuffer;
use crate::tasks::{read_list, send_metrics};
use eyre::WrapErr;
use heatherhinge_blackboard::Blackboard;
use heatherhinge_controllers::{
    ADDRESS_TTL_MS, DrainEvent, DrainLimits, HostIdentity, MembershipSettings,
};
use heatherhinge_peer::{PeerClient, PeerServer, PeerServerHandle};
use heatherhinge_platform::{HostListClient, ObjectClient, TableClient};
use heatherhinge_policy::Weighted;
use heatherhinge_proxy::{Clock, Limits, Proxy, ProxyParts, Server, ServerHandle};
use heatherhinge_settings::EntrySettings;
use heatherhinge_types::Digest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinHandle};

/// Name of the table and of the bucket.
const STORE_NAME: &str = "heatherhinge";
/// Timeout for a call to the table service.
const TABLE_TIMEOUT_MS: u64 = 1_000;
/// Timeout for a call to the object store; longer because objects are larger than rows.
const OBJECT_TIMEOUT_MS: u64 = 5_000;

/// Starts entry hosts.
#[derive(Debug)]
pub struct EntryHost;

/// A running entry host.
#[derive(Debug)]
pub struct EntryHostHandle {
    caller_addr: SocketAddr,
    peer_addr: SocketAddr,
    events: EventSender,
    exit: oneshot::Receiver<()>,
    listener: JoinHandle<()>,
    peer: PeerServerHandle,
    tasks: Vec<AbortHandle>,
    final_upload: FinalUpload,
}

/// State for the upload of the last records at a stop.
#[derive(Debug)]
struct FinalUpload {
    record_buffer: Arc<RecordBuffer>,
    objects: ObjectClient,
    prefix: String,
    clock: Clock,
}

impl EntryHost {
    /// Binds the addresses from the settings and starts all parts of a host.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn spawn(settings: EntrySettings) -> eyre::Result<EntryHostHandle> {
        let clock = Clock::start();
        let started = clock.now();
        let seed = Digest::of(settings.host.as_bytes()).0 as u64 ^ started.wall_ms.0;
        let (board, writers) = Blackboard::new(settings.host.clone(), settings.zone.clone());
        let (events, receiver) = EventSender::new();
        let (record_buffer, sink) = RecordBuffer::new(settings.host.clone(), settings.record_limit);
        let record_buffer = Arc::new(record_buffer);
        let table = TableClient::new(settings.table_addr, STORE_NAME, TABLE_TIMEOUT_MS);
        let objects = ObjectClient::new(settings.object_addr, STORE_NAME, OBJECT_TIMEOUT_MS);
        let bundles = Arc::new(BundleStore::new(
            table.clone(),
            settings.trusted_keys.clone(),
        ));
        let claims = Arc::new(LocalClaims::new(Arc::clone(&board), clock));
        let peers = Arc::new(PeerClient::new());
        let moves = Arc::new(MoveStore::new(table.clone()));

        let handler = HostPeerHandler {
            claims: Arc::clone(&claims),
            bundles: Arc::clone(&bundles),
            events: events.clone(),
        };
        let peer = PeerServer::bind(settings.peer_addr, Arc::new(handler))
            .await
            .wrap_err_with(|| format!("cannot bind the peer address {}", settings.peer_addr))?;

        let owners = OwnerClient {
            board: Arc::clone(&board),
            clock,
            claims: Arc::clone(&claims),
            client: Arc::clone(&peers),
            events: events.clone(),
        };
        let proxy = Proxy::new(ProxyParts {
            board: Arc::clone(&board),
            picker: Weighted,
            partition_owners: Arc::new(owners),
            records: sink.clone(),
            observer: EventObserver(events.clone()),
            clock,
            limits: Limits::default(),
            seed,
            incarnation: started.wall_ms.0,
        });
        let admin = Admin {
            board: Arc::clone(&board),
            clock,
            bundles: Arc::clone(&bundles),
            moves: Arc::clone(&moves),
            record_buffer: Arc::clone(&record_buffer),
            records: sink.clone(),
            events: events.clone(),
            seed: AtomicU64::new(seed),
        };
        let server = Server::bind(settings.caller_addr, Arc::new(proxy), admin.router())
            .await
            .wrap_err_with(|| format!("cannot bind the caller address {}", settings.caller_addr))?;
        let (caller_addr, peer_addr) = (server.addr(), peer.addr());

        let io = Io {
            host: settings.host.clone(),
            peers,
            bundles: Arc::clone(&bundles),
            owners: Arc::new(OwnershipStore::new(table)),
            moves,
            events: events.clone(),
        };
        let (close_listener, listener_closed) = oneshot::channel();
        let (exit, exited) = oneshot::channel();
        let parts = ControlLoopParts {
            board: Arc::clone(&board),
            writers,
            clock,
            events: events.clone(),
            claims,
            bundles,
            io,
            records: sink,
            record_builder: HostRecordBuilder::new(caller_addr, peer_addr),
            identity: HostIdentity {
                host: settings.host.clone(),
                peer_addr,
                start_wall_ms: started.wall_ms,
            },
            membership: MembershipSettings {
                incarnation: started.wall_ms.0,
                seed_peers: settings.seed_peers,
                seed,
            },
            drain: DrainLimits {
                keep_ms: ADDRESS_TTL_MS,
                in_flight_ms: settings.drain_limit_ms,
            },
            seed,
        };
        let signals = ShutdownSignals {
            close_listener: Some(close_listener),
            exit: Some(exit),
        };
        let control_loop = ControlLoop::new(parts, signals);
        let prefix = format!("records/{}/{}", settings.host, started.wall_ms.0);
        let list = HostListClient::new(settings.host_list_addr, TABLE_TIMEOUT_MS);
        let prober = Prober::new(Arc::clone(&board), clock, events.clone());
        let mut tasks = vec![
            tokio::spawn(control_loop.run(receiver)).abort_handle(),
            tokio::spawn(read_list(list, events.clone())).abort_handle(),
            tokio::spawn(prober.run()).abort_handle(),
            tokio::spawn(upload(
                Arc::clone(&record_buffer),
                objects.clone(),
                prefix.clone(),
                clock,
            ))
            .abort_handle(),
        ];
        if let Some(addr) = settings.metrics_addr {
            tasks.push(tokio::spawn(metrics(board, addr)).abort_handle());
        }
        tracing::info!(
            "entryd: host {} serves callers on {caller_addr}",
            settings.host
        );
        Ok(EntryHostHandle {
            caller_addr,
            peer_addr,
            events,
            exit: exited,
            listener: tokio::spawn(close_on_signal(server, listener_closed)),
            peer,
            tasks,
            final_upload: FinalUpload {
                record_buffer,
                objects,
                prefix,
                clock,
            },
        })
    }
}

impl EntryHostHandle {
    /// Returns the bound address for callers.
    #[must_use]
    pub const fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Returns the bound address of the peer protocol.
    #[must_use]
    pub const fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Stops the host as planned and returns when the stop is complete. No request in flight is
    /// aborted.
    pub async fn stop(self) {
        self.events.send(HostEvent::Drain(DrainEvent::Stop));
        // An error means that the control loop has already ended.
        self.exit.await.ok();
        self.listener.await.ok();
        let FinalUpload {
            record_buffer,
            objects,
            prefix,
            clock,
        } = self.final_upload;
        record_buffer.flush(&objects, &prefix, clock).await;
        self.peer.stop().await;
        for task in self.tasks {
            task.abort();
        }
    }
}

async fn close_on_signal(server: ServerHandle, signal: oneshot::Receiver<()>) {
    signal.await.ok();
    server.stop().await;
}

async fn upload(
    record_buffer: Arc<RecordBuffer>,
    objects: ObjectClient,
    prefix: String,
    clock: Clock,
) {
    record_buffer.upload(&objects, &prefix, clock).await;
}

async fn metrics(board: Arc<Blackboard>, addr: SocketAddr) {
    if let Err(error) = send_metrics(board, addr).await {
        tracing::warn!("metrics: sending to {addr} failed, no metrics are sent: {error}");
    }
}
