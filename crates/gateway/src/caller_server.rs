//! Listens for callers and for those who ask the host about itself.

use crate::answer::ResponseBody;
use crate::forward::Forwarder;
use axum::Router;
use heatherhinge_orders::CallerLimits;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tower::ServiceExt;

/// Pause after a failed accept, so that running out of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer that the library takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// What the listeners are told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ListenMode {
    /// Serve and keep connections open.
    Serve,
    /// Serve what comes, but close each connection after its answer.
    CloseAfterAnswer,
    /// Take no new connections.
    Closed,
}

/// Counts open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections(AtomicU64);

impl OpenConnections {
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }
}

/// Accepts callers until the mode is [`ListenMode::Closed`].
pub(crate) async fn serve_callers(
    listener: TcpListener,
    forwarder: Arc<Forwarder>,
    open: Arc<OpenConnections>,
    mut mode: watch::Receiver<ListenMode>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = mode.wait_for(|mode| *mode == ListenMode::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                open.0.fetch_add(1, Ordering::AcqRel);
                let (forwarder, open) = (Arc::clone(&forwarder), Arc::clone(&open));
                let mode = mode.clone();
                tokio::spawn(async move {
                    serve_caller(stream, forwarder, mode).await;
                    open.0.fetch_sub(1, Ordering::AcqRel);
                });
            }
            Err(error) => {
                tracing::warn!("gateway: accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(
    stream: TcpStream,
    forwarder: Arc<Forwarder>,
    mode: watch::Receiver<ListenMode>,
) {
    // Small answers must not wait for more data; a failure costs only time.
    stream.set_nodelay(true).ok();
    let limits = forwarder.board.routes.read().value.limits;
    let keeps_open = *mode.borrow() == ListenMode::Serve;
    let service = service_fn(move |request: Request<Incoming>| {
        let forwarder = Arc::clone(&forwarder);
        async move { Ok::<_, Infallible>(forwarder.forward(request).await) }
    });
    let connection = builder(&limits)
        .keep_alive(keeps_open)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = drive(connection, mode).await {
        tracing::debug!("gateway: a caller's connection ended: {error}");
    }
}

/// Drives a connection; when the host begins to stop, it closes after the answer under way.
async fn drive<S>(
    connection: Connection<TokioIo<TcpStream>, S>,
    mut mode: watch::Receiver<ListenMode>,
) -> hyper::Result<()>
where
    S: hyper::service::HttpService<Incoming, ResBody = ResponseBody, Error = Infallible>,
{
    let mut connection = pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return result,
        _ = mode.wait_for(|mode| *mode != ListenMode::Serve) => {}
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

fn builder(limits: &CallerLimits) -> Builder {
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    builder
}

/// Serves the host's own endpoints until the process ends.
pub(crate) async fn serve_router(listener: TcpListener, router: Router) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_own(stream, router.clone()));
            }
            Err(error) => {
                tracing::warn!("gateway: accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn serve_own(stream: TcpStream, router: Router) -> impl Future<Output = ()> {
    stream.set_nodelay(true).ok();
    let service = service_fn(move |request: Request<Incoming>| {
        let router = router.clone();
        async move {
            let response: Response<axum::body::Body> =
                router.oneshot(request.map(axum::body::Body::new)).await?;
            Ok::<_, Infallible>(response.map(ResponseBody::Own))
        }
    });
    let connection =
        builder(&CallerLimits::default()).serve_connection(TokioIo::new(stream), service);
    async move {
        if let Err(error) = connection.await {
            tracing::debug!("gateway: a connection to the host's endpoints ended: {error}");
        }
    }
}
