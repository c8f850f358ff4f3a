//! Accepts connections of other hosts and serves their calls.

use crate::PeerHandler;
use crate::codec::{ServerCodec, framing, root_kind};
use crate::service::{Dispatch, PeerService};
use futures_util::StreamExt;
use heatherhinge_types::Code;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tarpc::server::{BaseChannel, Channel};
use tarpc::{ChannelError, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::codec::Framed;
use tracing::{debug, info, warn};

/// Most open connections; the design size has 190 hosts, each with one connection.
const MAX_CONNECTIONS: usize = 1_024;

/// Most calls in flight on one connection; further calls are rejected before they run.
const MAX_CALLS_PER_CONNECTION: usize = 1_024;

/// Starts servers of the peer protocol.
#[derive(Debug)]
pub struct PeerServer;

impl PeerServer {
    /// Listens on `addr` and serves calls with `handler` until the returned handle is stopped.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn bind<H: PeerHandler>(
        addr: SocketAddr,
        handler: Arc<H>,
    ) -> io::Result<PeerServerHandle> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (stop, stop_signal) = watch::channel(false);
        let task = tokio::spawn(accept(listener, Dispatch(handler), stop_signal));
        info!(%addr, "peer: listening");
        Ok(PeerServerHandle { addr, stop, task })
    }
}

/// A running server. Dropping the handle stops it like [`PeerServerHandle::stop`], without waiting.
#[derive(Debug)]
pub struct PeerServerHandle {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl PeerServerHandle {
    /// Returns the address, with the port that the system chose if 0 was asked for.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops gracefully: accepts no new calls, responds to those already read, closes the
    /// connections and then returns.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        if let Err(error) = self.task.await {
            warn!(%error, "peer: server task failed");
        }
        info!(addr = %self.addr, "peer: stopped");
    }
}

async fn accept<H: PeerHandler>(
    listener: TcpListener,
    service: Dispatch<H>,
    mut stop_signal: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop_signal.wait_for(|stop| *stop) => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, peer)) => {
                let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                    warn!(%peer, "peer: rejected a connection, {MAX_CONNECTIONS} are open");
                    continue;
                };
                let (service, stop_signal) = (service.clone(), stop_signal.clone());
                connections.spawn(async move {
                    serve(stream, peer, service, stop_signal).await;
                    drop(permit);
                });
            }
            Err(error) => {
                // The process may be out of file descriptors; a pause lets connections close.
                warn!(%error, "peer: cannot accept a connection; trying again in 50 ms");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve<H: PeerHandler>(
    stream: TcpStream,
    peer: SocketAddr,
    service: Dispatch<H>,
    mut stop_signal: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%peer, %error, "peer: cannot set TCP_NODELAY on a connection; serving it without");
    }
    let transport = serde_transport::new(Framed::new(stream, framing()), ServerCodec::default());
    // Stops reading when the server stops; responses to calls read before are still written.
    let transport =
        transport.take_until(async move { stop_signal.wait_for(|stop| *stop).await.is_ok() });
    let channel = BaseChannel::with_defaults(Box::pin(transport));
    let requests = channel
        .max_concurrent_requests(MAX_CALLS_PER_CONNECTION)
        .requests();
    let mut requests = std::pin::pin!(requests);
    while let Some(next) = requests.next().await {
        match next {
            Ok(request) => {
                tokio::spawn(request.execute(service.clone().serve()));
            }
            Err(ChannelError::Read(error)) if root_kind(&error) == io::ErrorKind::InvalidData => {
                warn!(%peer, %error, "peer: {}", Code::PeerMalformed);
                break;
            }
            Err(error) => {
                info!(%peer, cause = ?error.source(), "peer: connection failed");
                break;
            }
        }
    }
}
