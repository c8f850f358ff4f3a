//! A loopback proxy that spoils connections.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are copied at a time.
const BLOCK_BYTES: usize = 16 * 1024;

/// What a link does with what passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultProxyMode {
    /// Passes everything on.
    Pass,
    /// Holds each block up for this many milliseconds.
    Delay(u64),
    /// Drops what flows towards the server, so that it looks silent.
    MuteForward,
    /// Drops what flows back, so that requests run and answers are lost.
    MuteBack,
}

/// A running link.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    mode: Arc<Mutex<FaultProxyMode>>,
    resets: watch::Sender<u64>,
}

impl FaultProxy {
    /// Binds an address and passes connections on to a server.
    ///
    /// # Errors
    ///
    /// The error of the system when the address cannot be bound.
    pub async fn bind(addr: SocketAddr, server: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr).await?;
        let proxy = Arc::new(Self {
            addr: listener.local_addr()?,
            mode: Arc::new(Mutex::new(FaultProxyMode::Pass)),
            resets: watch::channel(0).0,
        });
        tokio::spawn(Arc::clone(&proxy).accept(listener, server));
        Ok(proxy)
    }

    /// Returns the address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets what happens to open and new connections.
    pub fn set_mode(&self, mode: FaultProxyMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Breaks all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, server: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            let proxy = Arc::clone(&self);
            tokio::spawn(async move { proxy.pass(client, server).await });
        }
    }

    async fn pass(&self, client: TcpStream, server: SocketAddr) {
        let mut resets = self.resets.subscribe();
        let Ok(server) = TcpStream::connect(server).await else {
            return;
        };
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let forward = self.copy(
            &mut from_client,
            &mut to_server,
            FaultProxyMode::MuteForward,
        );
        let back = self.copy(&mut from_server, &mut to_client, FaultProxyMode::MuteBack);
        tokio::select! {
            () = forward => {}
            () = back => {}
            // An error means that the link is gone.
            _ = resets.changed() => {}
        }
    }

    async fn copy<R, W>(&self, from: &mut R, to: &mut W, mute: FaultProxyMode)
    where
        R: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let mut block = vec![0; BLOCK_BYTES];
        loop {
            let Ok(bytes @ 1..) = from.read(&mut block).await else {
                return;
            };
            let mode = *self.mode.lock().unwrap_or_else(PoisonError::into_inner);
            if mode == mute {
                continue;
            }
            if let FaultProxyMode::Delay(ms) = mode {
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
            if to.write_all(&block[..bytes]).await.is_err() {
                return;
            }
        }
    }
}
