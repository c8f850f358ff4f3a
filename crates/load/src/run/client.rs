//! Sends single requests and classifies their outcomes.

use crate::profile::RouteProfile;
use bytes::Bytes;
use heatherhinge_types::{IdempotencyKey, header};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of requests that are not part of the load.
const GET_TIMEOUT: Duration = Duration::from_secs(2);

/// The head of a complete response, and the size of its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Value of the header `Heatherhinge-Code`.
    pub code: Option<u16>,
    /// Value of the header `Heatherhinge-Ran`.
    pub ran: Option<String>,
    /// Whether the target reports in a header that the request did not run.
    pub is_not_run: bool,
    /// Size of the body in bytes.
    pub body_bytes: u64,
}

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// A complete response was received.
    Answered(ResponseHead),
    /// No connection was opened.
    Unreachable,
    /// The connection broke before the response was complete.
    ConnectionLost,
    /// The deadline passed.
    TimedOut,
}

impl SendOutcome {
    /// Returns whether the request may have run although there is no good response.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        match self {
            Self::Answered(head) if head.is_not_run => false,
            Self::Answered(head) => match head.ran.as_deref() {
                Some(ran) => ran == "unknown",
                None => head.status >= 500,
            },
            Self::Unreachable => false,
            Self::ConnectionLost | Self::TimedOut => true,
        }
    }

    /// Returns whether the response has a status from 200 to 399.
    #[must_use]
    pub fn is_good(&self) -> bool {
        matches!(self, Self::Answered(head) if (200..400).contains(&head.status))
    }
}

/// An HTTP client that never sends a request twice by itself.
#[derive(Clone, Debug)]
pub struct HttpClient(Client<HttpConnector, Full<Bytes>>);

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(1_024)
            .build(connector);
        Self(client)
    }
}

impl HttpClient {
    /// Fetches a small document; `None` without a complete response with status 200.
    pub async fn get(&self, host: SocketAddr, path: &str) -> Option<Bytes> {
        let request = Request::get(format!("http://{host}{path}"))
            .body(Full::default())
            .ok()?;
        let response = tokio::time::timeout(GET_TIMEOUT, self.0.request(request))
            .await
            .ok()?
            .ok()?;
        if response.status() != http::StatusCode::OK {
            return None;
        }
        let body = tokio::time::timeout(GET_TIMEOUT, response.into_body().collect()).await;
        Some(body.ok()?.ok()?.to_bytes())
    }

    /// Sends one request of a route and reads the complete response within `time_left`.
    pub async fn send(
        &self,
        host: SocketAddr,
        route: &RouteProfile,
        key: Option<IdempotencyKey>,
        time_left: Duration,
    ) -> SendOutcome {
        let Some(request) = build(host, route, key, time_left) else {
            return SendOutcome::Unreachable;
        };
        tokio::time::timeout(time_left, self.exchange(request))
            .await
            .unwrap_or(SendOutcome::TimedOut)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> SendOutcome {
        let response = match self.0.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return SendOutcome::Unreachable,
            Err(_) => return SendOutcome::ConnectionLost,
        };
        let (parts, body) = response.into_parts();
        match count_bytes(body).await {
            Some(body_bytes) => {
                SendOutcome::Answered(head(parts.status.as_u16(), &parts.headers, body_bytes))
            }
            None => SendOutcome::ConnectionLost,
        }
    }
}

fn build(
    host: SocketAddr,
    route: &RouteProfile,
    key: Option<IdempotencyKey>,
    time_left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(route.method.clone())
        .uri(format!("http://{host}{}", route.path))
        .header(
            header::DEADLINE_MS,
            time_left.as_millis().max(1).to_string(),
        )
        .header("priority", format!("u={}", route.urgency.level()));
    if let Some(key) = key {
        request = request.header(header::IDEMPOTENCY_KEY, key.to_string());
    }
    let body = Bytes::from(vec![b'x'; route.body_bytes]);
    request.body(Full::new(body)).ok()
}

fn head(status: u16, headers: &HeaderMap, body_bytes: u64) -> ResponseHead {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    ResponseHead {
        status,
        code: text(header::CODE).and_then(|code| code.parse().ok()),
        ran: text(header::RAN).map(str::to_owned),
        is_not_run: text(header::NOT_RUN) == Some("1"),
        body_bytes,
    }
}

/// Reads and discards the body; returns its size in bytes, or `None` if the connection breaks.
async fn count_bytes(mut body: Incoming) -> Option<u64> {
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.ok()?.data_ref() {
            total += u64::try_from(data.len()).unwrap_or(0);
        }
    }
    Some(total)
}
