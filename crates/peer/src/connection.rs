//! The one connection to another host.

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

/// Longest time to open a connection; hosts are at most a few milliseconds apart.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// After this many time-outs in a row the connection counts as dead and is opened anew, because a
/// network partition can leave it without any error for many minutes.
const TIMEOUTS_TO_RECONNECT: u32 = 3;

/// An open connection.
#[derive(Debug)]
struct Link {
    stub: PeerServiceClient,
    is_closed: Arc<AtomicBool>,
    timeouts: AtomicU32,
}

/// Keeps one connection to one host and opens it when a call needs it.
#[derive(Debug)]
pub(crate) struct Connection {
    addr: SocketAddr,
    link: ArcSwapOption<Link>,
    opening: Mutex<()>,
}

impl Connection {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            link: ArcSwapOption::empty(),
            opening: Mutex::new(()),
        }
    }

    /// Makes one call within `deadline_ms`, the time to connect included.
    pub(crate) async fn call<T, F, Fut>(&self, deadline_ms: u64, call: F) -> Result<T, PeerError>
    where
        F: FnOnce(PeerServiceClient, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        let link = match timeout(Duration::from_millis(deadline_ms), self.link()).await {
            Ok(Ok(link)) => link,
            Ok(Err(_)) | Err(_) => return Err(PeerError::Unavailable),
        };
        let mut context = context::current();
        context.deadline = deadline;
        let left = deadline.saturating_duration_since(Instant::now());
        // The outer time-out also covers a call that waits for room in the connection's queue.
        let result = timeout(left, call(link.stub.clone(), context)).await;
        match result.unwrap_or(Err(RpcError::DeadlineExceeded)) {
            Ok(value) => {
                link.timeouts.store(0, Ordering::Relaxed);
                Ok(value)
            }
            Err(error) => Err(self.failed(&link, &error)),
        }
    }

    fn failed(&self, link: &Arc<Link>, error: &RpcError) -> PeerError {
        debug!(addr = %self.addr, %error, "peer: a call failed");
        match error {
            // Nothing was written: the message could not be encoded.
            RpcError::Send(cause) => match cause.downcast_ref::<io::Error>().map(root_kind) {
                Some(io::ErrorKind::InvalidInput) => PeerError::TooLarge,
                _ => PeerError::Unavailable,
            },
            // The server refuses calls over its limit before it runs them.
            RpcError::Server(error) if error.kind == io::ErrorKind::WouldBlock => {
                PeerError::Unavailable
            }
            RpcError::DeadlineExceeded => {
                if link.timeouts.fetch_add(1, Ordering::Relaxed) + 1 >= TIMEOUTS_TO_RECONNECT {
                    warn!(addr = %self.addr, "peer: no answers, opening a new connection");
                    link.is_closed.store(true, Ordering::Release);
                }
                PeerError::OutcomeUnknown
            }
            _ => PeerError::OutcomeUnknown,
        }
    }

    async fn link(&self) -> io::Result<Arc<Link>> {
        if let Some(link) = self.open_link() {
            return Ok(link);
        }
        let _opening = self.opening.lock().await;
        if let Some(link) = self.open_link() {
            return Ok(link);
        }
        let link = Arc::new(open(self.addr).await?);
        self.link.store(Some(Arc::clone(&link)));
        Ok(link)
    }

    fn open_link(&self) -> Option<Arc<Link>> {
        let link = self.link.load_full()?;
        (!link.is_closed.load(Ordering::Acquire)).then_some(link)
    }
}

async fn open(addr: SocketAddr) -> io::Result<Link> {
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
            warn!(%addr, %error, cause = ?error.source(), "peer: the connection broke");
        }
        closed.store(true, Ordering::Release);
    });
    Ok(Link {
        stub: new.client,
        is_closed,
        timeouts: AtomicU32::new(0),
    })
}
