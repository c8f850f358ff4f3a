//! Keeps the connection to another host and reopens it after failures.

use crate::PeerError;
use crate::codec::{ClientCodec, framing, root_kind};
use crate::service::PeerServiceClient;
use arc_swap::ArcSwapOption;
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tarpc::serde_transport;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tracing::{debug, warn};

/// Timeout for opening a connection; hosts are at most a few milliseconds apart.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Consecutive timeouts after which the connection is reopened, because a network partition can
/// leave it without any error for many minutes.
const TIMEOUTS_TO_RECONNECT: u32 = 3;

/// A connection that was opened; `is_closed` marks that it must not be used for further calls.
#[derive(Debug)]
struct OpenConnection {
    stub: PeerServiceClient,
    is_closed: Arc<AtomicBool>,
    timeouts: AtomicU32,
}

/// The connection to one host, opened when a call needs it.
#[derive(Debug)]
pub(crate) struct Connection {
    addr: SocketAddr,
    open: ArcSwapOption<OpenConnection>,
    opening: Mutex<()>,
}

impl Connection {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            open: ArcSwapOption::empty(),
            opening: Mutex::new(()),
        }
    }

    /// Makes one call within `deadline_ms`, including the time to connect.
    pub(crate) async fn call<T, F, Fut>(&self, deadline_ms: u64, call: F) -> Result<T, PeerError>
    where
        F: FnOnce(PeerServiceClient, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        let connection = match timeout(Duration::from_millis(deadline_ms), self.connection()).await
        {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) | Err(_) => return Err(PeerError::Unavailable),
        };
        let mut context = context::current();
        context.deadline = deadline;
        let left = deadline.saturating_duration_since(Instant::now());
        // The outer timeout also covers a call that waits for a place in the connection's queue.
        let result = timeout(left, call(connection.stub.clone(), context)).await;
        match result.unwrap_or(Err(RpcError::DeadlineExceeded)) {
            Ok(value) => {
                connection.timeouts.store(0, Ordering::Relaxed);
                Ok(value)
            }
            Err(error) => Err(self.classify_error(&connection, &error)),
        }
    }

    fn classify_error(&self, connection: &Arc<OpenConnection>, error: &RpcError) -> PeerError {
        debug!(addr = %self.addr, %error, "peer: call failed");
        match error {
            // Nothing was written: the message could not be encoded.
            RpcError::Send(cause) => match cause.downcast_ref::<io::Error>().map(root_kind) {
                Some(io::ErrorKind::InvalidInput) => PeerError::TooLarge,
                _ => PeerError::Unavailable,
            },
            // The server rejects calls over its limit before it runs them.
            RpcError::Server(error) if error.kind == io::ErrorKind::WouldBlock => {
                PeerError::Unavailable
            }
            RpcError::DeadlineExceeded => {
                if connection.timeouts.fetch_add(1, Ordering::Relaxed) + 1 >= TIMEOUTS_TO_RECONNECT
                {
                    warn!(
                        addr = %self.addr,
                        "peer: {TIMEOUTS_TO_RECONNECT} timeouts in a row; reconnecting"
                    );
                    connection.is_closed.store(true, Ordering::Release);
                }
                PeerError::OutcomeUnknown
            }
            _ => PeerError::OutcomeUnknown,
        }
    }

    async fn connection(&self) -> io::Result<Arc<OpenConnection>> {
        if let Some(connection) = self.usable_connection() {
            return Ok(connection);
        }
        let _opening = self.opening.lock().await;
        if let Some(connection) = self.usable_connection() {
            return Ok(connection);
        }
        let connection = Arc::new(connect(self.addr).await?);
        self.open.store(Some(Arc::clone(&connection)));
        Ok(connection)
    }

    fn usable_connection(&self) -> Option<Arc<OpenConnection>> {
        let connection = self.open.load_full()?;
        (!connection.is_closed.load(Ordering::Acquire)).then_some(connection)
    }
}

async fn connect(addr: SocketAddr) -> io::Result<OpenConnection> {
    let stream = timeout(
        Duration::from_millis(CONNECT_TIMEOUT_MS),
        TcpStream::connect(addr),
    )
    .await??;
    stream.set_nodelay(true)?;
    let transport = serde_transport::new(Framed::new(stream, framing()), ClientCodec::default());
    let new = PeerServiceClient::new(Config::default(), transport);
    let is_closed = Arc::new(AtomicBool::new(false));
    let closed = Arc::clone(&is_closed);
    tokio::spawn(async move {
        if let Err(error) = new.dispatch.await {
            warn!(
                %addr, %error, cause = ?error.source(),
                "peer: connection failed; next call reconnects"
            );
        }
        closed.store(true, Ordering::Release);
    });
    Ok(OpenConnection {
        stub: new.client,
        is_closed,
        timeouts: AtomicU32::new(0),
    })
}
