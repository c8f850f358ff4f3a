//! Accepts connections of callers and connections to the host's own endpoints.

use crate::forward::Forwarder;
use crate::response_body::ResponseBody;
use crate::stream_deadline::StreamDeadline;
use axum::Router;
use heatherhinge_orders::CallerLimits;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tower::ServiceExt;

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// How the listener treats connections. The modes follow each other in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ListenMode {
    /// Accept connections and keep them open between requests.
    Serve,
    /// Accept connections, but close each one after the response in progress, or else the next one.
    CloseAfterResponse,
    /// Accept no new connections.
    Closed,
}

/// Number of open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections(AtomicU64);

impl OpenConnections {
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }
}

/// Accepts connections until the mode is [`ListenMode::Closed`].
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
                tracing::warn!("gateway: accept failed; retrying in 20 ms: {error}");
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
    // Nagle's algorithm would delay small responses. Failing to disable it costs only time.
    stream.set_nodelay(true).ok();
    let limits = forwarder.board.routes.read().value.limits;
    let requests = Arc::new(ConnectionRequests::default());
    let counted = Arc::clone(&requests);
    let stream_deadline = StreamDeadline::new();
    let limit = stream_deadline.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (forwarder, requests) = (Arc::clone(&forwarder), Arc::clone(&counted));
        let limit = limit.clone();
        requests.begun.fetch_add(1, Ordering::Relaxed);
        async move {
            let mut response = forwarder.forward(request).await;
            response.body_mut().limit(&limit);
            requests.answered.fetch_add(1, Ordering::Relaxed);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = builder(&limits).serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        result = drive(connection, mode, &requests) => if let Err(error) = result {
            tracing::debug!("gateway: caller connection closed on an error: {error}");
        },
        () = stream_deadline.passed() => {
            tracing::debug!("gateway: connection closed, its caller did not read the response");
        }
    }
}

/// Requests on one connection. Only the task of the connection uses them.
#[derive(Debug, Default)]
struct ConnectionRequests {
    begun: AtomicU64,
    answered: AtomicU64,
}

impl ConnectionRequests {
    fn begun(&self) -> u64 {
        self.begun.load(Ordering::Relaxed)
    }

    fn is_one_in_progress(&self) -> bool {
        self.begun() > self.answered.load(Ordering::Relaxed)
    }
}

/// Runs a connection. Once the host begins to stop, it closes after the response in progress, or
/// else after the next one, because a request may already be on its way to it.
async fn drive<S>(
    connection: Connection<TokioIo<TcpStream>, S>,
    mut mode: watch::Receiver<ListenMode>,
    requests: &ConnectionRequests,
) -> hyper::Result<()>
where
    S: hyper::service::HttpService<Incoming, ResBody = ResponseBody, Error = Infallible>,
{
    let mut connection = pin!(connection);
    // The connection comes first, so that a request that has arrived is read before it closes.
    tokio::select! {
        biased;
        result = connection.as_mut() => return result,
        _ = mode.wait_for(|mode| *mode != ListenMode::Serve) => {}
    }
    if !requests.is_one_in_progress() {
        let before = requests.begun();
        let next_request = poll_fn(|cx| match connection.as_mut().poll(cx) {
            Poll::Ready(result) => Poll::Ready(Some(result)),
            Poll::Pending if requests.begun() > before => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        });
        tokio::select! {
            biased;
            ended = next_request => if let Some(result) = ended {
                return result;
            },
            _ = mode.wait_for(|mode| *mode == ListenMode::Closed) => {}
        }
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

/// Serves the host's own endpoints until the process exits.
pub(crate) async fn serve_router(listener: TcpListener, router: Router) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_endpoints(stream, router.clone()));
            }
            Err(error) => {
                tracing::warn!("gateway: accept failed; retrying in 20 ms: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn serve_endpoints(stream: TcpStream, router: Router) -> impl Future<Output = ()> {
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
            tracing::debug!(
                "gateway: connection to this host's endpoints closed on an error: {error}"
            );
        }
    }
}
