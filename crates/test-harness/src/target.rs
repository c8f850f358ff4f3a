//! A stand-in for a target of the platform.

use crate::invariant_checker::InvariantChecker;
use crate::store::Store;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time within which hosts must stop sending to a target that leaves.
const LEAVE: Duration = Duration::from_secs(2);

/// How a target treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetMode {
    /// It runs them.
    Serve,
    /// It runs each third request and breaks the connection without an answer.
    LoseAnswers,
    /// It runs requests and breaks every connection without an answer.
    LoseAll,
    /// It breaks each third answer off in its middle.
    CutAnswers,
    /// It fails each third request with 500 after it has run.
    Fail,
    /// It runs each third request and never answers.
    Hang,
    /// It says before running that it is full.
    Shed,
    /// It takes this many times as long.
    Slow(u64),
    /// Its health check fails, but it runs requests.
    LieIll,
}

/// What a target is.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Id of the incarnation.
    pub id: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Time that a request takes in milliseconds.
    pub service_time_ms: u64,
}

/// Requests that a target runs at once.
const SLOTS: u32 = 6;

/// A running target.
#[derive(Debug)]
pub struct Target {
    spec: TargetSpec,
    addr: SocketAddr,
    registered_addr: OnceLock<SocketAddr>,
    checker: Arc<InvariantChecker>,
    mode: Mutex<TargetMode>,
    running: AtomicU32,
    count: AtomicU64,
    leaving_since: Mutex<Option<Instant>>,
    stop: watch::Sender<bool>,
}

impl Target {
    /// Binds an address and serves until it is stopped.
    ///
    /// # Errors
    ///
    /// The error of the system when the address cannot be bound.
    pub async fn bind(
        addr: SocketAddr,
        spec: TargetSpec,
        checker: Arc<InvariantChecker>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr).await?;
        let target = Arc::new(Self {
            spec,
            addr: listener.local_addr()?,
            registered_addr: OnceLock::new(),
            checker,
            mode: Mutex::new(TargetMode::Serve),
            running: AtomicU32::new(0),
            count: AtomicU64::new(0),
            leaving_since: Mutex::new(None),
            stop: watch::channel(false).0,
        });
        tokio::spawn(Arc::clone(&target).accept(listener));
        Ok(target)
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns what the target is.
    #[must_use]
    pub const fn spec(&self) -> &TargetSpec {
        &self.spec
    }

    /// Sets the address that it registers, that of a link in front of it. The first call counts.
    pub fn set_registered_addr(&self, addr: SocketAddr) {
        self.registered_addr.set(addr).ok();
    }

    /// Sets how requests are treated.
    pub fn set_mode(&self, mode: TargetMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    fn mode(&self) -> TargetMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the registration.
    pub fn register(&self, store: &Store, sequence: u64) {
        let state = if self.leaving().is_some() {
            "draining"
        } else {
            "ready"
        };
        let entry = json!({
            "service": self.spec.service, "zone": self.spec.zone, "version": self.spec.version,
            "address": self.registered_addr.get().unwrap_or(&self.addr), "slots": SLOTS,
            "state": state, "cold_remaining": "0ms", "sequence": sequence, "born": 1,
        });
        store.put("servers", &self.spec.id, entry.to_string().as_bytes());
    }

    /// Reports that the target leaves; hosts must stop sending to it.
    pub fn leave(&self, store: &Store) {
        *self
            .leaving_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        self.register(store, 0);
    }

    fn leaving(&self) -> Option<Instant> {
        *self
            .leaving_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops at once, as a crash does: the listener and all connections close.
    pub fn crash(&self) {
        self.stop.send_replace(true);
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut stop = self.stop.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            let Ok((stream, _)) = accepted else {
                return;
            };
            let (target, mut stop) = (Arc::clone(&self), self.stop.subscribe());
            tokio::spawn(async move {
                let service = service_fn(move |request| Arc::clone(&target).answer(request));
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    // An error is what a broken answer looks like.
                    _ = connection => {}
                    _ = stop.wait_for(|stop| *stop) => {}
                }
            });
        }
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<TargetBody>, io::Error> {
        if request.uri().path() == "/health" {
            return Ok(self.health());
        }
        let (head, body) = request.into_parts();
        let text = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (id, expected) = (text("x-request-id"), text("x-expect-instance"));
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        if !expected.is_empty() && expected != self.spec.id {
            return Ok(self.refuse(StatusCode::MISDIRECTED_REQUEST, &id));
        }
        let mode = self.mode();
        if mode == TargetMode::Shed || self.running.load(Ordering::Acquire) >= SLOTS * 3 {
            return Ok(self.refuse(StatusCode::SERVICE_UNAVAILABLE, &id));
        }
        self.check_leaving(&id);
        self.run(&id, mode, &body).await
    }

    async fn run(
        &self,
        id: &str,
        mode: TargetMode,
        body: &Bytes,
    ) -> Result<Response<TargetBody>, io::Error> {
        self.checker.ran(id, &self.spec.id);
        let running = Running::begin(&self.running);
        let factor = match mode {
            TargetMode::Slow(factor) => factor,
            _ => 1,
        };
        tokio::time::sleep(Duration::from_millis(self.spec.service_time_ms * factor)).await;
        drop(running);
        let is_third = self.count.fetch_add(1, Ordering::Relaxed).is_multiple_of(3);
        if mode == TargetMode::Hang && is_third {
            std::future::pending::<()>().await;
        }
        let content = answer_body(id, body.len());
        let (status, body) = match mode {
            TargetMode::LoseAll => return Err(io::Error::other("the answer is lost")),
            TargetMode::LoseAnswers if is_third => {
                return Err(io::Error::other("the answer is lost"));
            }
            TargetMode::Fail if is_third => (StatusCode::INTERNAL_SERVER_ERROR, content.into()),
            TargetMode::CutAnswers if is_third => (StatusCode::OK, TargetBody::cut(&content)),
            _ => (StatusCode::OK, content.into()),
        };
        Response::builder()
            .status(status)
            .header("x-request-id", id)
            .header("x-server-signature", format!("s-{}", self.spec.id))
            .header("x-server-load", self.load())
            .body(body)
            .map_err(io::Error::other)
    }

    /// Checks that a request did not come too late to a target that leaves.
    fn check_leaving(&self, id: &str) {
        let Some(since) = self.leaving() else {
            return;
        };
        if since.elapsed() > LEAVE && self.checker.are_timing_checks_active() {
            let after_ms = since.elapsed().as_millis();
            self.checker.violation(
                "a leaving target gets no request after 2 s",
                format!("{id} at {} after {after_ms} ms", self.spec.id),
            );
        }
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::Acquire);
        let waiting = running.saturating_sub(SLOTS);
        format!("{},{waiting},{SLOTS},100", running.min(SLOTS))
    }

    fn health(&self) -> Response<TargetBody> {
        let is_ill = self.leaving().is_some() || self.mode() == TargetMode::LieIll;
        let mut response = Response::new(TargetBody::from(String::new()));
        if is_ill {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        self.set(&mut response, "x-instance-id", &self.spec.id);
        self.set(&mut response, "x-server-load", &self.load());
        response
    }

    fn refuse(&self, status: StatusCode, id: &str) -> Response<TargetBody> {
        let mut response = Response::new(TargetBody::from(String::new()));
        *response.status_mut() = status;
        self.set(&mut response, "x-request-id", id);
        self.set(&mut response, "x-instance-id", &self.spec.id);
        self.set(&mut response, "x-not-executed", "1");
        response
    }

    fn set(&self, response: &mut Response<TargetBody>, name: &'static str, value: &str) {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
}

/// Returns the body that answers a request, which names the request.
#[must_use]
pub(crate) fn answer_body(id: &str, request_bytes: usize) -> String {
    format!("{id}:{request_bytes}:{}", "x".repeat(2_000))
}

/// Counts a request as running.
struct Running<'a>(&'a AtomicU32);

impl<'a> Running<'a> {
    fn begin(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A whole body, or one that breaks off before its stated length.
#[derive(Debug)]
struct TargetBody {
    content: Full<Bytes>,
    stated_bytes: u64,
}

impl TargetBody {
    fn cut(content: &str) -> Self {
        let half = content.get(..content.len() / 2).unwrap_or_default();
        Self {
            content: Full::from(half.to_owned()),
            stated_bytes: content.len() as u64,
        }
    }
}

impl From<String> for TargetBody {
    fn from(content: String) -> Self {
        Self {
            stated_bytes: content.len() as u64,
            content: Full::from(content),
        }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = Pin::new(&mut self.content).poll_frame(cx);
        frame.map(|frame| match frame {
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                self.stated_bytes -= bytes.min(self.stated_bytes);
                Some(Ok(frame))
            }
            _ if self.stated_bytes > 0 => Some(Err(io::Error::other("the answer is cut"))),
            _ => None,
        })
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.stated_bytes)
    }
}
