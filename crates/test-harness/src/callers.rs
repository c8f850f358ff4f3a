//! Sends requests to the hosts as clients of the platform do, and checks the responses.

use crate::invariant_checker::InvariantChecker;
use crate::target::response_body;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time that a caller waits for a response; sent to the host as the deadline of the request.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout of a connect and of an address lookup.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests after which a caller opens a new connection.
const REQUESTS_PER_CONNECTION: u32 = 8;
/// Body size of an at-most-once request.
const BODY_BYTES: usize = 3_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A response with status 200.
    Good,
    /// The response reports that the request has not run and never will.
    NotRun,
    /// Any other response, a broken connection or a timeout.
    Failed,
}

/// A group of callers of one deployment.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Addresses of the directories, which return the addresses of hosts.
    pub directories: Vec<SocketAddr>,
    /// Value of the `Host` header, which selects the routes.
    pub host: String,
    /// Path prefix of idempotent requests; the request id follows.
    pub idempotent_path: String,
    /// Path prefix of at-most-once requests; the request id follows.
    pub at_most_once_path: String,
    /// Whether all idempotent requests have the same path, without their ids.
    pub is_idempotent_path_shared: bool,
    /// Time within which a request must end, if that is checked.
    pub longest: Option<Duration>,
    /// Records requests and outcomes.
    pub checker: Arc<InvariantChecker>,
}

#[derive(Debug, Deserialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    requests_left: u32,
}

impl Callers {
    /// Sends requests from `count` callers until `stop` is set. Each caller pauses between requests.
    pub async fn run(&self, count: u64, pause: Duration, seed: u64, stop: Arc<AtomicBool>) {
        let sequence = Arc::new(AtomicU64::new(0));
        let tasks: Vec<_> = (0..count)
            .map(|number| {
                let (callers, stop) = (self.clone(), Arc::clone(&stop));
                let sequence = Arc::clone(&sequence);
                let rng = Pcg64Mcg::seed_from_u64(seed.wrapping_add(number));
                tokio::spawn(async move { callers.run_caller(pause, rng, &sequence, &stop).await })
            })
            .collect();
        for task in tasks {
            // If a caller panics, its requests are missing from the counts.
            task.await.ok();
        }
    }

    async fn run_caller(
        &self,
        pause: Duration,
        mut rng: Pcg64Mcg,
        sequence: &AtomicU64,
        stop: &AtomicBool,
    ) {
        let mut reusable: Option<Connection> = None;
        while !stop.load(Ordering::Acquire) {
            let number = sequence.fetch_add(1, Ordering::Relaxed);
            let id = format!("{number:08x}{:08x}", rng.random::<u32>());
            let is_at_most_once = rng.random_range(0..3) == 0;
            let connection = match reusable.take() {
                Some(connection) => Some(connection),
                None => self.connect(&mut rng).await,
            };
            if let Some(connection) = connection {
                reusable = self.send(connection, &id, is_at_most_once).await;
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn connect(&self, rng: &mut Pcg64Mcg) -> Option<Connection> {
        let directory = self.directories[rng.random_range(0..self.directories.len())];
        let addresses = timeout(CONNECT_TIMEOUT, self.resolve(directory))
            .await
            .ok()??;
        let addr = *addresses.get(rng.random_range(0..addresses.len().max(1)))?;
        timeout(CONNECT_TIMEOUT, open(addr)).await.ok()?
    }

    /// Asks a directory for the addresses of hosts; `None` if it returns none.
    pub async fn resolve(&self, directory: SocketAddr) -> Option<Vec<SocketAddr>> {
        let mut connection = open(directory).await?;
        let path = format!("/v1/resolve?name={}&region=r&zone=zone-a", self.host);
        let request = Request::get(path)
            .header(header::HOST, "directory")
            .body(Full::default())
            .ok()?;
        let response = connection.sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let addresses: Addresses = serde_json::from_slice(&body).ok()?;
        (!addresses.addresses.is_empty()).then_some(addresses.addresses)
    }

    /// Sends one request and returns the connection if it can be reused.
    async fn send(
        &self,
        mut connection: Connection,
        id: &str,
        is_at_most_once: bool,
    ) -> Option<Connection> {
        self.checker.record_sent(id, is_at_most_once);
        let request = self.request(id, is_at_most_once)?;
        let exchange = self.exchange(&mut connection, request, id, is_at_most_once);
        let began = Instant::now();
        let ended = timeout(RESPONSE_TIMEOUT, exchange).await;
        self.check_time(id, began.elapsed());
        match ended {
            Ok(RequestOutcome::Good) => self.checker.record_success(),
            Ok(RequestOutcome::NotRun) => self.checker.record_not_run(id),
            Ok(RequestOutcome::Failed) | Err(_) => {
                self.checker.record_failure();
                return None;
            }
        }
        connection.requests_left -= 1;
        (connection.requests_left > 0 && !connection.sender.is_closed()).then_some(connection)
    }

    fn check_time(&self, id: &str, took: Duration) {
        let is_late = self.longest.is_some_and(|longest| took > longest);
        if is_late && self.checker.are_timing_checks_active() {
            self.checker.record_violation(
                "a request ends within 0.5 s of its route's timeout",
                format!("{id}: {} ms", took.as_millis()),
            );
        }
    }

    fn request(&self, id: &str, is_at_most_once: bool) -> Option<Request<Full<Bytes>>> {
        let (method, path, bytes) = if is_at_most_once {
            ("POST", &self.at_most_once_path, BODY_BYTES)
        } else {
            ("GET", &self.idempotent_path, 0)
        };
        let is_shared = self.is_idempotent_path_shared && !is_at_most_once;
        let suffix = if is_shared { "shared" } else { id };
        Request::builder()
            .method(method)
            .uri(format!("{path}{suffix}"))
            .header(header::HOST, &self.host)
            .header("x-request-id", id)
            .header("x-deadline-ms", RESPONSE_TIMEOUT.as_millis().to_string())
            .body(Full::from(vec![b'b'; bytes]))
            .ok()
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        id: &str,
        is_at_most_once: bool,
    ) -> RequestOutcome {
        let Ok(response) = connection.sender.send_request(request).await else {
            return RequestOutcome::Failed;
        };
        self.read_response(response, id, is_at_most_once).await
    }

    /// Reads a response and checks that it is complete and belongs to the request.
    async fn read_response(
        &self,
        response: Response<Incoming>,
        id: &str,
        is_at_most_once: bool,
    ) -> RequestOutcome {
        let (head, body) = response.into_parts();
        let has_id = head
            .headers
            .get("x-request-id")
            .is_some_and(|value| value == id);
        let is_signed = head.headers.contains_key("x-server-signature");
        let Ok(body) = body.collect().await else {
            return RequestOutcome::Failed;
        };
        match head.status {
            StatusCode::OK => {
                let bytes = if is_at_most_once { BODY_BYTES } else { 0 };
                let is_complete = body.to_bytes() == response_body(id, bytes).as_bytes();
                if !(has_id && is_signed && is_complete) {
                    self.checker.record_violation(
                        "a 200 response is complete and belongs to its request",
                        format!("{id}: id matches: {has_id}, signed: {is_signed}, complete: {is_complete}"),
                    );
                }
                RequestOutcome::Good
            }
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST => RequestOutcome::NotRun,
            status if status.is_client_error() => {
                self.checker.record_violation(
                    "a valid request is not rejected as a client error",
                    format!("{id}: {status}"),
                );
                RequestOutcome::Failed
            }
            _ => RequestOutcome::Failed,
        }
    }
}

async fn open(addr: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // A connection error also fails the request that is in flight.
        connection.await.ok();
    });
    Some(Connection {
        sender,
        requests_left: REQUESTS_PER_CONNECTION,
    })
}
