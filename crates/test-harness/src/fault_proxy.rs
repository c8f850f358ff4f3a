//! Forwards TCP connections to a server and delays, drops or resets their traffic on request.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the copy buffer of each direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// How a proxy treats the bytes of open and new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultProxyMode {
    /// Forwards both directions.
    Pass,
    /// Delays each buffer by this many milliseconds.
    Delay(u64),
    /// Drops bytes to the server, so that requests do not arrive and time out.
    MuteForward,
    /// Drops bytes from the server, so that requests run and their responses are lost.
    MuteBack,
}

/// A running proxy in front of one server. Its mode is [`FaultProxyMode::Pass`] at first.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    mode: Arc<Mutex<FaultProxyMode>>,
    resets: watch::Sender<u64>,
    silences: watch::Sender<u64>,
    is_closed: watch::Sender<bool>,
}

impl FaultProxy {
    /// Binds an address and forwards its connections to a server.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the address cannot be bound.
    pub async fn bind(addr: SocketAddr, server: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr).await?;
        let proxy = Arc::new(Self {
            addr: listener.local_addr()?,
            mode: Arc::new(Mutex::new(FaultProxyMode::Pass)),
            resets: watch::channel(0).0,
            silences: watch::channel(0).0,
            is_closed: watch::channel(false).0,
        });
        tokio::spawn(Arc::clone(&proxy).accept(listener, server));
        Ok(proxy)
    }

    /// Returns the address that the proxy listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the mode of open and new connections.
    pub fn set_mode(&self, mode: FaultProxyMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Forwards nothing more on the connections that are open now and keeps them open, as a
    /// firewall does that has lost its state. New connections are forwarded.
    pub fn silence(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Closes the listener and all connections, so that new ones are refused.
    pub fn close(&self) {
        self.is_closed.send_replace(true);
        self.reset();
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, server: SocketAddr) {
        let mut is_closed = self.is_closed.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = is_closed.wait_for(|is_closed| *is_closed) => return,
            };
            let Ok((client, _)) = accepted else {
                return;
            };
            let proxy = Arc::clone(&self);
            tokio::spawn(async move { proxy.forward(client, server).await });
        }
    }

    async fn forward(&self, client: TcpStream, server: SocketAddr) {
        let mut resets = self.resets.subscribe();
        let mut silences = self.silences.subscribe();
        let Ok(server) = TcpStream::connect(server).await else {
            return;
        };
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let to_server_copy = self.copy(
            &mut from_client,
            &mut to_server,
            FaultProxyMode::MuteForward,
        );
        let to_client_copy = self.copy(&mut from_server, &mut to_client, FaultProxyMode::MuteBack);
        tokio::select! {
            () = to_server_copy => {}
            () = to_client_copy => {}
            // An error means that the proxy was dropped.
            _ = resets.changed() => {}
            Ok(()) = silences.changed() => {
                resets.changed().await.ok();
            }
        }
    }

    async fn copy<R, W>(&self, from: &mut R, to: &mut W, drop_mode: FaultProxyMode)
    where
        R: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok(bytes @ 1..) = from.read(&mut buffer).await else {
                return;
            };
            let mode = *self.mode.lock().unwrap_or_else(PoisonError::into_inner);
            if mode == drop_mode {
                continue;
            }
            if let FaultProxyMode::Delay(ms) = mode {
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
            if to.write_all(&buffer[..bytes]).await.is_err() {
                return;
            }
        }
    }
}
