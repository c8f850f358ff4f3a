//! Accepts connections of callers and serves the data path and the admin endpoints.

use crate::forward::Proxy;
use crate::{Limits, Observer, PartitionOwners, ResponseBody};
use axum::Router;
use heatherhinge_policy::Picker;
use heatherhinge_records::RecordSink;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tower::ServiceExt;

/// Path prefix of the admin endpoints.
const ADMIN_PREFIX: &str = "/heatherhinge/";
/// Pause after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// HTTP/1.1 and HTTP/2 server for callers.
#[derive(Debug)]
pub struct Server;

/// A running server.
#[derive(Debug)]
pub struct ServerHandle {
    addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds the address and serves the data path and the admin endpoints.
    ///
    /// # Errors
    ///
    /// The operating system's error when the address cannot be bound.
    pub async fn bind<P, Q, S, O>(
        addr: SocketAddr,
        proxy: Arc<Proxy<P, Q, S, O>>,
        admin: Router,
    ) -> io::Result<ServerHandle>
    where
        P: Picker,
        Q: PartitionOwners,
        S: RecordSink,
        O: Observer,
    {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(accept_until(listener, proxy, admin, stopped));
        Ok(ServerHandle {
            addr,
            stop: Some(stop),
            task,
        })
    }
}

impl ServerHandle {
    /// Returns the bound address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections and returns when all requests in flight have ended.
    pub async fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            // An error means that the task has already ended.
            stop.send(()).ok();
        }
        (&mut self.task).await.ok();
    }
}

async fn accept_until<P, Q, S, O>(
    listener: TcpListener,
    proxy: Arc<Proxy<P, Q, S, O>>,
    admin: Router,
    mut stopped: oneshot::Receiver<()>,
) where
    P: Picker,
    Q: PartitionOwners,
    S: RecordSink,
    O: Observer,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut stopped => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream, &proxy, &admin, &graceful),
            Err(error) => {
                tracing::warn!(
                    "proxy: accepting a connection failed, retrying in {ACCEPT_PAUSE:?}: {error}"
                );
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve<P, Q, S, O>(
    stream: TcpStream,
    proxy: &Arc<Proxy<P, Q, S, O>>,
    admin: &Router,
    graceful: &GracefulShutdown,
) where
    P: Picker,
    Q: PartitionOwners,
    S: RecordSink,
    O: Observer,
{
    // Small responses must not wait for more data; without it they are only slower.
    stream.set_nodelay(true).ok();
    let (proxy, admin) = (Arc::clone(proxy), admin.clone());
    let builder = connection_builder(proxy.limits());
    let service = service_fn(move |request| respond(Arc::clone(&proxy), admin.clone(), request));
    let connection = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!("proxy: a caller's connection was closed by an error: {error}");
        }
    });
}

fn connection_builder(limits: &Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle())
        .max_buf_size(limits.head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX));
    builder
}

async fn respond<P, Q, S, O>(
    proxy: Arc<Proxy<P, Q, S, O>>,
    admin: Router,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible>
where
    P: Picker,
    Q: PartitionOwners,
    S: RecordSink,
    O: Observer,
{
    if !request.uri().path().starts_with(ADMIN_PREFIX) {
        return Ok(proxy.forward(request).await);
    }
    let response = admin.oneshot(request.map(axum::body::Body::new)).await?;
    Ok(response.map(ResponseBody::Admin))
}
