//! Builds and sends one attempt to a target and classifies its result.

use crate::Limits;
use crate::headers::{AttemptHeaders, Trace, set_attempt_headers, strip_hop_by_hop, target_uri};
use crate::outgoing_body::OutgoingBody;
use crate::status::is_final_status;
use heatherhinge_policy::AttemptOutcome;
use heatherhinge_types::{LoadReport, header};
use http::request::Parts;
use http::{HeaderMap, Request, Response, Version};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// HTTP client that pools the connections to targets.
pub(crate) type TargetClient = Client<HttpConnector, OutgoingBody>;

/// Creates a client with the limits of the data path.
pub(crate) fn target_client(limits: &Limits) -> TargetClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(limits.connect_ms)));
    // The library's own retry is off: a request on a connection that the target has just closed
    // may have been executed.
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(limits.idle())
        .pool_max_idle_per_host(limits.idle_connections)
        .build(connector)
}

/// Result of one attempt.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) report: Option<LoadReport>,
    pub(crate) response: Option<Response<Incoming>>,
    pub(crate) latency_ns: u64,
}

impl AttemptResult {
    /// Creates the result of an attempt that got no response.
    pub(crate) const fn no_response(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            report: None,
            response: None,
            latency_ns: 0,
        }
    }
}

/// Builds the request of one attempt.
pub(crate) fn attempt_request<R: Rng>(
    head: &Parts,
    body: OutgoingBody,
    addr: SocketAddr,
    trace: &Trace,
    attempt: AttemptHeaders,
    rng: &mut R,
) -> Result<Request<OutgoingBody>, http::Error> {
    let mut headers: HeaderMap = head.headers.clone();
    strip_hop_by_hop(&mut headers);
    set_attempt_headers(&mut headers, trace, attempt, rng);
    headers.remove(http::header::HOST);
    headers.remove(header::RELAYED);
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = target_uri(&head.uri, addr)?;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Sends one attempt and waits for the response head.
pub(crate) async fn send(
    client: &TargetClient,
    request: Request<OutgoingBody>,
    deadline: Duration,
) -> AttemptResult {
    match timeout(deadline, client.request(request)).await {
        Err(_elapsed) => AttemptResult::no_response(AttemptOutcome::DeadlinePassed),
        Ok(Err(error)) => AttemptResult::no_response(failure_outcome(&error)),
        Ok(Ok(response)) => classify_response(response),
    }
}

fn classify_response(mut response: Response<Incoming>) -> AttemptResult {
    let headers = response.headers_mut();
    let report = headers
        .get(header::LOAD)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    let is_set = |name| {
        headers
            .get(name)
            .is_some_and(|value| value.as_bytes() == b"1")
    };
    let (is_not_run, is_already_retried) = (is_set(header::NOT_RUN), is_set(header::RETRIED));
    strip_hop_by_hop(headers);
    if !is_final_status(response.status()) {
        return AttemptResult::no_response(AttemptOutcome::BadAnswer);
    }
    let status = response.status().as_u16();
    let outcome = match status {
        425 | 429 | 503 if is_not_run => AttemptOutcome::Shed,
        504 if is_not_run => AttemptOutcome::Expired,
        _ => AttemptOutcome::Answered {
            status,
            is_already_retried,
        },
    };
    AttemptResult {
        outcome,
        report,
        response: Some(response),
        latency_ns: 0,
    }
}

/// Maps a client error to an outcome. Only a failure to connect proves that nothing was sent: a
/// request on a pooled connection that the target had just closed may have been read.
fn failure_outcome(error: &hyper_util::client::legacy::Error) -> AttemptOutcome {
    if error.is_connect() {
        return AttemptOutcome::Unreachable;
    }
    let source = std::error::Error::source(error).and_then(|e| e.downcast_ref::<hyper::Error>());
    match source {
        Some(error) if error.is_parse() => AttemptOutcome::BadAnswer,
        Some(error) if error.is_user() => AttemptOutcome::CallerBroke,
        _ => AttemptOutcome::Broke,
    }
}
