//! Serves the target protocol of the platform, with faults on request, and reports each run.

use crate::invariant_checker::InvariantChecker;
use crate::rate_limit_check::RateLimitCheck;
use crate::store::Store;
use crate::target_body::TargetBody;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time within which hosts must stop sending to a target that registers as draining.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// How a target treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetMode {
    /// Runs requests without a fault.
    Serve,
    /// Runs all requests and closes the connection in place of each third response.
    LoseAnswers,
    /// Runs all requests and closes the connection in place of every response.
    LoseAll,
    /// Truncates the body of each third response.
    CutAnswers,
    /// Runs all requests and returns 500 for each third.
    Fail,
    /// Runs all requests and returns this status, that of a refusal, for each third.
    RefuseAfterRun(u16),
    /// Sends a part of the body of each third response, without its length, and keeps the connection
    /// open.
    Stall,
    /// Runs all requests and never responds to each third.
    Hang,
    /// Rejects every request with 503 before it runs.
    Shed,
    /// Multiplies the time of a request by this factor.
    Slow(u64),
    /// Fails health checks but runs requests.
    LieIll,
}

/// Identity and speed of a target.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Id of the incarnation, the key of the registration.
    pub id: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Availability zone in which it registers.
    pub zone: String,
    /// Version of its software, as registered.
    pub version: String,
    /// Time that a request takes, in milliseconds.
    pub service_time_ms: u64,
}

/// Concurrent requests that a target registers; it sheds load at three times as many.
const SLOTS: u32 = 6;

/// A running target that listens on a loopback address.
#[derive(Debug)]
pub struct Target {
    spec: TargetSpec,
    addr: SocketAddr,
    registered_addr: OnceLock<SocketAddr>,
    checker: Arc<InvariantChecker>,
    mode: Mutex<TargetMode>,
    running: AtomicU32,
    request_count: AtomicU64,
    draining_since: Mutex<Option<Instant>>,
    /// Since when the target says in its responses that it leaves.
    leaving_since: Mutex<Option<Instant>>,
    /// Value of the `Retry-After` header with which it rejects all requests.
    busy: Mutex<Option<String>>,
    arrivals: AtomicU64,
    /// Time of the start in the registration.
    born: AtomicU64,
    rate_limit: Mutex<Option<RateLimitCheck>>,
    stop: watch::Sender<bool>,
}

impl Target {
    /// Binds an address and serves requests until [`Self::crash`].
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the address cannot be bound.
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
            request_count: AtomicU64::new(0),
            draining_since: Mutex::new(None),
            leaving_since: Mutex::new(None),
            busy: Mutex::new(None),
            arrivals: AtomicU64::new(0),
            born: AtomicU64::new(1),
            rate_limit: Mutex::new(None),
            stop: watch::channel(false).0,
        });
        tokio::spawn(Arc::clone(&target).accept(listener));
        Ok(target)
    }

    /// Returns the address that the target listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the identity and speed given to [`Self::bind`].
    #[must_use]
    pub const fn spec(&self) -> &TargetSpec {
        &self.spec
    }

    /// Sets the address to register, that of the proxy in front of the target. Only the first call has
    /// an effect.
    pub fn set_registered_addr(&self, addr: SocketAddr) {
        self.registered_addr.set(addr).ok();
    }

    /// Sets how later requests are treated.
    pub fn set_mode(&self, mode: TargetMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Sets the limit of requests per second that the target names from now on, `None` for no limit.
    /// It runs requests beyond the limit too, but records them as violations.
    pub fn set_rate_limit(&self, per_s: Option<f64>) {
        *self.rate_limit() = per_s.map(|per_s| RateLimitCheck::new(per_s, Instant::now()));
    }

    fn rate_limit(&self) -> MutexGuard<'_, Option<RateLimitCheck>> {
        self.rate_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes all responses say that the target leaves, until [`Self::restart`].
    pub fn start_leaving(&self) {
        *lock(&self.leaving_since) = Some(Instant::now());
    }

    /// Starts the target again under its id; it no longer leaves.
    pub fn restart(&self) {
        self.born.fetch_add(1, Ordering::Relaxed);
        *lock(&self.leaving_since) = None;
    }

    /// Rejects all requests with this `Retry-After`, or none.
    pub fn set_busy(&self, retry_after: Option<&str>) {
        *lock(&self.busy) = retry_after.map(str::to_owned);
    }

    /// Returns how many requests have arrived, also those that were rejected.
    #[must_use]
    pub fn arrival_count(&self) -> u64 {
        self.arrivals.load(Ordering::Relaxed)
    }

    /// Returns how many requests the target has run.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.request_count.load(Ordering::Relaxed)
    }

    fn mode(&self) -> TargetMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the registration, with the state `draining` after [`Self::start_draining`].
    pub fn register(&self, store: &Store, sequence: u64) {
        let state = if self.draining_start().is_some() {
            "draining"
        } else {
            "ready"
        };
        let entry = json!({
            "service": self.spec.service, "zone": self.spec.zone, "version": self.spec.version,
            "address": self.registered_addr.get().unwrap_or(&self.addr), "slots": SLOTS,
            "state": state, "cold_remaining": "0ms", "sequence": sequence,
            "born": self.born.load(Ordering::Relaxed),
        });
        store.put("servers", &self.spec.id, entry.to_string().as_bytes());
    }

    /// Registers the target as draining. Requests that arrive 2 s later are violations.
    pub fn start_draining(&self, store: &Store) {
        *self
            .draining_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        self.register(store, 0);
    }

    fn draining_start(&self) -> Option<Instant> {
        *self
            .draining_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the listener and all connections at once, as a crash does.
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
                let service = service_fn(move |request| Arc::clone(&target).respond(request));
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    // An error means that a response was broken on purpose.
                    _ = connection => {}
                    _ = stop.wait_for(|stop| *stop) => {}
                }
            });
        }
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<TargetBody>, io::Error> {
        if request.uri().path() == "/health" {
            return Ok(self.health_response());
        }
        let (head, body) = request.into_parts();
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (id, expected) = (header("x-request-id"), header("x-expect-instance"));
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        if !expected.is_empty() && expected != self.spec.id {
            return Ok(self.reject(StatusCode::MISDIRECTED_REQUEST, &id));
        }
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        self.check_leaving(&id);
        self.check_rate_limit(&id);
        let busy = lock(&self.busy).clone();
        if let Some(retry_after) = busy {
            let mut response = self.reject(StatusCode::SERVICE_UNAVAILABLE, &id);
            self.set_header(&mut response, "retry-after", &retry_after);
            return Ok(response);
        }
        let mode = self.mode();
        if mode == TargetMode::Shed || self.running.load(Ordering::Acquire) >= SLOTS * 3 {
            return Ok(self.reject(StatusCode::SERVICE_UNAVAILABLE, &id));
        }
        self.check_draining(&id);
        self.run(&id, mode, &body).await
    }

    async fn run(
        &self,
        id: &str,
        mode: TargetMode,
        body: &Bytes,
    ) -> Result<Response<TargetBody>, io::Error> {
        self.checker.record_run(id, &self.spec.id);
        let running = RunningGuard::begin(&self.running);
        let factor = match mode {
            TargetMode::Slow(factor) => factor,
            _ => 1,
        };
        tokio::time::sleep(Duration::from_millis(self.spec.service_time_ms * factor)).await;
        drop(running);
        let is_third = self
            .request_count
            .fetch_add(1, Ordering::Relaxed)
            .is_multiple_of(3);
        if mode == TargetMode::Hang && is_third {
            std::future::pending::<()>().await;
        }
        let content = response_body(id, body.len());
        let (status, body) = match mode {
            TargetMode::LoseAll => return Err(io::Error::other("response lost on purpose")),
            TargetMode::LoseAnswers if is_third => {
                return Err(io::Error::other("response lost on purpose"));
            }
            TargetMode::Fail if is_third => (StatusCode::INTERNAL_SERVER_ERROR, content.into()),
            TargetMode::RefuseAfterRun(status) if is_third => {
                let status = StatusCode::from_u16(status).map_err(io::Error::other)?;
                (status, content.into())
            }
            TargetMode::CutAnswers if is_third => (StatusCode::OK, TargetBody::truncated(&content)),
            TargetMode::Stall if is_third => (StatusCode::OK, TargetBody::stalled(&content)),
            _ => (StatusCode::OK, content.into()),
        };
        let mut response = Response::builder()
            .status(status)
            .header("x-request-id", id)
            .header("x-server-signature", format!("s-{}", self.spec.id))
            .header("x-server-load", self.load())
            .body(body)
            .map_err(io::Error::other)?;
        self.name_rate_limit(&mut response);
        self.name_leaving(&mut response);
        Ok(response)
    }

    /// Records a violation if the target has been draining for longer than hosts may send to it.
    fn check_draining(&self, id: &str) {
        let Some(since) = self.draining_start() else {
            return;
        };
        if since.elapsed() > DRAIN_TIMEOUT && self.checker.are_timing_checks_active() {
            let after_ms = since.elapsed().as_millis();
            self.checker.record_violation(
                "a draining target gets no request after 2 s",
                format!("{id} at {} after {after_ms} ms", self.spec.id),
            );
        }
    }

    /// Records a violation if the target has said for longer than hosts may send to it that it leaves.
    fn check_leaving(&self, id: &str) {
        let since = *lock(&self.leaving_since);
        let late = since.filter(|since| since.elapsed() > DRAIN_TIMEOUT);
        if late.is_some() && self.checker.are_timing_checks_active() {
            self.checker.record_violation(
                "a target that says it leaves gets no request after 2 s",
                format!("{id} at {}", self.spec.id),
            );
        }
    }

    /// Records a violation if the target has got more requests than its rate limit allows.
    fn check_rate_limit(&self, id: &str) {
        let excess = match self.rate_limit().as_mut() {
            Some(limit) => limit.record_arrival(Instant::now()),
            None => None,
        };
        if let Some(excess) = excess.filter(|_| self.checker.are_timing_checks_active()) {
            self.checker.record_violation(
                "a rate-limited target gets few requests",
                format!("{id} at {}: {excess}", self.spec.id),
            );
        }
    }

    fn name_rate_limit(&self, response: &mut Response<TargetBody>) {
        let per_s = self.rate_limit().as_ref().map(RateLimitCheck::per_s);
        if let Some(per_s) = per_s {
            self.set_header(response, "server-limit", &per_s.to_string());
        }
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::Acquire);
        let waiting = running.saturating_sub(SLOTS);
        format!("{},{waiting},{SLOTS},100", running.min(SLOTS))
    }

    fn health_response(&self) -> Response<TargetBody> {
        let is_unhealthy = self.draining_start().is_some() || self.mode() == TargetMode::LieIll;
        let mut response = Response::new(TargetBody::from(String::new()));
        if is_unhealthy {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        self.set_header(&mut response, "x-instance-id", &self.spec.id);
        self.set_header(&mut response, "x-server-load", &self.load());
        self.name_rate_limit(&mut response);
        self.name_leaving(&mut response);
        response
    }

    fn name_leaving(&self, response: &mut Response<TargetBody>) {
        if lock(&self.leaving_since).is_some() {
            self.set_header(response, "server-leaving", "1");
        }
    }

    fn reject(&self, status: StatusCode, id: &str) -> Response<TargetBody> {
        let mut response = Response::new(TargetBody::from(String::new()));
        *response.status_mut() = status;
        self.set_header(&mut response, "x-request-id", id);
        self.set_header(&mut response, "x-instance-id", &self.spec.id);
        self.set_header(&mut response, "x-not-executed", "1");
        self.name_leaving(&mut response);
        response
    }

    fn set_header(&self, response: &mut Response<TargetBody>, name: &'static str, value: &str) {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the body of the response to a request: its id, its body size and 2,000 bytes of filler.
#[must_use]
pub(crate) fn response_body(id: &str, request_bytes: usize) -> String {
    format!("{id}:{request_bytes}:{}", "x".repeat(2_000))
}

/// Counts a request as running until it is dropped.
struct RunningGuard<'a>(&'a AtomicU32);

impl<'a> RunningGuard<'a> {
    fn begin(running: &'a AtomicU32) -> Self {
        running.fetch_add(1, Ordering::AcqRel);
        Self(running)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
