//! Callers as the platform's clients behave.

use crate::invariant_checker::InvariantChecker;
use crate::target::answer_body;
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
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// Time that a caller waits for a connection, and for an address.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests that a caller sends over one connection at most.
const REQUESTS_PER_CONNECTION: u32 = 8;
/// Body of an at-most-once request in bytes.
const BODY_BYTES: usize = 3_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A whole and good answer.
    Good,
    /// It has not run and never will.
    NotRun,
    /// Anything else.
    Failed,
}

/// What callers need to know.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Where they ask for addresses.
    pub directories: Vec<SocketAddr>,
    /// Host name of the routes.
    pub host: String,
    /// Path of idempotent requests.
    pub idempotent_path: String,
    /// Path of at-most-once requests.
    pub at_most_once_path: String,
    /// Where everything is noted.
    pub checker: Arc<InvariantChecker>,
}

#[derive(Debug, Deserialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
}

/// An open connection of a caller.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    left: u32,
}

impl Callers {
    /// Sends requests from `count` callers, each with this pause between them, until told to stop.
    pub async fn run(&self, count: u64, pause: Duration, seed: u64, stop: Arc<AtomicBool>) {
        let sequence = Arc::new(AtomicU64::new(0));
        let tasks: Vec<_> = (0..count)
            .map(|number| {
                let (callers, stop) = (self.clone(), Arc::clone(&stop));
                let sequence = Arc::clone(&sequence);
                let rng = Pcg64Mcg::seed_from_u64(seed.wrapping_add(number));
                tokio::spawn(async move { callers.one(pause, rng, &sequence, &stop).await })
            })
            .collect();
        for task in tasks {
            // A panic of a caller shows as missing requests in the ledger.
            task.await.ok();
        }
    }

    async fn one(
        &self,
        pause: Duration,
        mut rng: Pcg64Mcg,
        sequence: &AtomicU64,
        stop: &AtomicBool,
    ) {
        let mut kept: Option<Connection> = None;
        while !stop.load(Ordering::Acquire) {
            let number = sequence.fetch_add(1, Ordering::Relaxed);
            let id = format!("{number:08x}{:08x}", rng.random::<u32>());
            let is_at_most_once = rng.random_range(0..3) == 0;
            let connection = match kept.take() {
                Some(connection) => Some(connection),
                None => self.connect(&mut rng).await,
            };
            if let Some(connection) = connection {
                kept = self.send(connection, &id, is_at_most_once).await;
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

    async fn resolve(&self, directory: SocketAddr) -> Option<Vec<SocketAddr>> {
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

    /// Sends one request and returns the connection if it can be used again.
    async fn send(
        &self,
        mut connection: Connection,
        id: &str,
        is_at_most_once: bool,
    ) -> Option<Connection> {
        self.checker.sent(id, is_at_most_once);
        let request = self.request(id, is_at_most_once)?;
        let exchange = self.exchange(&mut connection, request, id, is_at_most_once);
        match timeout(DEADLINE, exchange).await {
            Ok(Answer::Good) => self.checker.good(),
            Ok(Answer::NotRun) => self.checker.reported_not_run(id),
            Ok(Answer::Failed) | Err(_) => {
                self.checker.failed();
                return None;
            }
        }
        connection.left -= 1;
        (connection.left > 0 && !connection.sender.is_closed()).then_some(connection)
    }

    fn request(&self, id: &str, is_at_most_once: bool) -> Option<Request<Full<Bytes>>> {
        let (method, path, bytes) = if is_at_most_once {
            ("POST", &self.at_most_once_path, BODY_BYTES)
        } else {
            ("GET", &self.idempotent_path, 0)
        };
        Request::builder()
            .method(method)
            .uri(format!("{path}{id}"))
            .header(header::HOST, &self.host)
            .header("x-request-id", id)
            .header("x-deadline-ms", DEADLINE.as_millis().to_string())
            .body(Full::from(vec![b'b'; bytes]))
            .ok()
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        id: &str,
        is_at_most_once: bool,
    ) -> Answer {
        let Ok(response) = connection.sender.send_request(request).await else {
            return Answer::Failed;
        };
        self.read(response, id, is_at_most_once).await
    }

    /// Reads an answer and checks that it belongs to the request and is whole.
    async fn read(&self, response: Response<Incoming>, id: &str, is_at_most_once: bool) -> Answer {
        let (head, body) = response.into_parts();
        let has_id = head
            .headers
            .get("x-request-id")
            .is_some_and(|value| value == id);
        let is_signed = head.headers.contains_key("x-server-signature");
        let Ok(body) = body.collect().await else {
            return Answer::Failed;
        };
        match head.status {
            StatusCode::OK => {
                let bytes = if is_at_most_once { BODY_BYTES } else { 0 };
                let is_whole = body.to_bytes() == answer_body(id, bytes).as_bytes();
                if !(has_id && is_signed && is_whole) {
                    self.checker.violation(
                        "a good answer is the whole answer to its own request",
                        format!("{id}: id {has_id}, signed {is_signed}, whole {is_whole}"),
                    );
                }
                Answer::Good
            }
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST => Answer::NotRun,
            status if status.is_client_error() => {
                self.checker
                    .violation("a proper request is not denied", format!("{id}: {status}"));
                Answer::Failed
            }
            _ => Answer::Failed,
        }
    }
}

async fn open(addr: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // How a connection ends shows in its answers.
        connection.await.ok();
    });
    Some(Connection {
        sender,
        left: REQUESTS_PER_CONNECTION,
    })
}
