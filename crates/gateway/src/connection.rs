//! Opens connections to targets and sends requests on them.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// Timeout for opening a connection. Hosts and targets are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that sent bytes may stay unacknowledged. A network partition shows in no other
/// way.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Read buffer of a connection in bytes, the smallest that hyper accepts.
const BUFFER_BYTES: usize = 8 * 1024;

/// An open connection to a target. Dropping it closes it at once, which also cancels the request in
/// flight on it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// When the connection became idle.
    pub(crate) idle_since: Instant,
    /// How long the target keeps an idle connection, from its `Keep-Alive` header.
    pub(crate) idle_timeout: Option<Duration>,
    /// When a response to a caller's request last ended on it; probes do not count.
    pub(crate) served_at: Option<Instant>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request on a connection got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// Nothing was written.
    NeverSent,
    /// The request was written, at least in part.
    Broke,
}

impl Connection {
    /// Opens a connection and starts the task that drives it.
    pub(crate) async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::trace!("gateway: connection to a target closed on an error: {error}");
            }
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            idle_since: Instant::now(),
            idle_timeout: None,
            served_at: None,
        })
    }

    /// Returns whether the connection still accepts requests.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NeverSent);
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(SendError::NeverSent),
                None => Err(SendError::Broke),
            },
        }
    }
}
