//! Sends a request to one target and reads the response.

use crate::WireHeaders;
use crate::call::Call;
use crate::connection::{Connection, SendError};
use crate::connection_pools::ConnectionPool;
use crate::in_flight::InFlight;
use crate::probe::header_text;
use crate::rate_limits::{ResponseKind, record_rate_limit};
use crate::refusal::promises_not_run;
use crate::response_body::{ResponseBody, StreamedResponse};
use crate::stream_log::StreamLog;
use crate::target_notices::record_notices;
use bytes::Bytes;
use heatherhinge_proxy::{Clock, is_final_status, strip_hop_by_hop};
use heatherhinge_steering::{AttemptOutcome, SteeringBoard, Target, TargetLoad};
use heatherhinge_types::{MonoNs, Name};
use http::header::{CONTENT_LENGTH, EXPECT};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, Version};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Responses up to this size are read completely before they are forwarded, so that a truncated one
/// can be replaced by the response to another attempt.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 256 * 1024;

/// The outcome of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    pub(crate) end: AttemptOutcome,
    /// The target's response, if it may be forwarded.
    pub(crate) response: Option<Response<ResponseBody>>,
    /// The target, if one was found.
    pub(crate) target: Option<Arc<Target>>,
    /// Load that the target reported before the request was sent.
    pub(crate) load: Option<TargetLoad>,
    /// Time from sending the request to the end of the attempt, in microseconds.
    pub(crate) took_us: u64,
    /// Why the attempt ended this way, for the log.
    pub(crate) cause: &'static str,
}

/// A request to be sent to a target.
#[derive(Debug)]
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) board: &'a Arc<SteeringBoard>,
    pub(crate) call: &'a Call,
    pub(crate) headers: &'a WireHeaders,
    pub(crate) target: &'a Target,
    pub(crate) now: MonoNs,
    pub(crate) clock: Clock,
}

/// Outcome of an exchange, its response if there is one, and the cause for the log.
pub(crate) type ExchangeResult = (AttemptOutcome, Option<Response<ResponseBody>>, &'static str);

impl OutgoingRequest<'_> {
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let call = self.call;
        let mut headers: HeaderMap = call.head.headers.clone();
        strip_hop_by_hop(&mut headers);
        headers.remove(EXPECT);
        // hyper sets the length of the body that is sent.
        headers.remove(CONTENT_LENGTH);
        let left_ms = call.effective_deadline.ns_since(self.now) / 1_000_000;
        headers.insert(
            self.headers.deadline_ms.clone(),
            HeaderValue::from(left_ms.max(1)),
        );
        let id = HeaderValue::from_str(self.target.id()).ok()?;
        headers.insert(self.headers.expected_target.clone(), id);
        let path = call.head.uri.path_and_query().cloned()?;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.head.method.clone();
        *request.uri_mut() = Uri::from(path);
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Sends the request and receives the response.
    pub(crate) async fn exchange(
        &self,
        mut connection: Connection,
        connection_pool: Arc<ConnectionPool>,
        in_flight: InFlight,
    ) -> ExchangeResult {
        let Some(request) = self.request() else {
            return (
                AttemptOutcome::NeverSent,
                None,
                "the request cannot be forwarded",
            );
        };
        let (head, body) = match connection.send(request).await {
            Ok(response) => response.into_parts(),
            Err(SendError::NeverSent) => {
                return (AttemptOutcome::NeverSent, None, "the connection was closed");
            }
            Err(SendError::Broke) => {
                return (AttemptOutcome::Broke, None, "the connection broke");
            }
        };
        if !is_final_status(head.status) {
            return (
                AttemptOutcome::Broke,
                None,
                "the response has an invalid status",
            );
        }
        if head.headers.get(&self.headers.request_id) != Some(&self.call.id) {
            return (
                AttemptOutcome::Broke,
                None,
                "the response belongs to another request",
            );
        }
        record_notices(
            self.board,
            self.headers,
            self.target,
            (head.status, &head.headers),
            ResponseKind::Request,
            self.clock.mono_ns(),
        );
        record_rate_limit(
            self.board,
            self.headers,
            self.target,
            &head.headers,
            ResponseKind::Request,
            self.clock.mono_ns(),
        );
        let is_signed = header_text(&head.headers, &self.headers.signature).is_some();
        // Another target at the address does not sign its response.
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST && !is_signed;
        if head.headers.contains_key(&self.headers.not_run) || is_misdirected {
            return (AttemptOutcome::NotRun, None, "the target did not run it");
        }
        if !is_signed {
            return (AttemptOutcome::Broke, None, "the response has no signature");
        }
        if promises_not_run(head.status) {
            return (
                AttemptOutcome::Unconfirmed,
                None,
                "the target refused it without stating that it did not run it",
            );
        }
        let end = if head.status.is_server_error() {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered
        };
        let left_ns = self.call.effective_deadline.ns_since(self.clock.mono_ns());
        let deadline = Instant::now() + Duration::from_nanos(left_ns);
        let received = self.receive_body(body, connection, connection_pool, in_flight, deadline);
        match received.await {
            Some(body) => {
                let mut response = Response::from_parts(head, body);
                strip_hop_by_hop(response.headers_mut());
                (end, Some(response), "the target answered")
            }
            None => (AttemptOutcome::Broke, None, "the response was cut off"),
        }
    }

    /// Reads a small response completely. A large one, or one of unknown length, is forwarded as it
    /// arrives, until `deadline`.
    async fn receive_body(
        &self,
        incoming: Incoming,
        mut connection: Connection,
        connection_pool: Arc<ConnectionPool>,
        in_flight: InFlight,
        deadline: Instant,
    ) -> Option<ResponseBody> {
        let is_small = incoming
            .size_hint()
            .exact()
            .is_some_and(|bytes| bytes <= MAX_BUFFERED_RESPONSE_BYTES);
        if !is_small {
            return Some(ResponseBody::Stream(Box::new(StreamedResponse {
                incoming,
                connection: Some(connection),
                connection_pool,
                _in_flight: in_flight,
                deadline: Box::pin(sleep_until(deadline)),
                log: StreamLog::new(self.board, self.clock, self.call, self.target),
                guard: None,
            })));
        }
        let bytes = incoming.collect().await.ok()?.to_bytes();
        connection.served_at = Some(Instant::now());
        connection_pool.put_back(connection);
        Some(ResponseBody::full(bytes))
    }
}

impl AttemptResult {
    /// Returns the result of an attempt that sent the request to no target.
    pub(crate) const fn without_target(cause: &'static str) -> Self {
        Self {
            end: AttemptOutcome::NoTarget,
            response: None,
            target: None,
            load: None,
            took_us: 0,
            cause,
        }
    }

    /// Returns the result of an attempt whose target asked for no requests before it was sent.
    pub(crate) fn never_sent(cause: &'static str) -> Self {
        let mut result = Self::without_target(cause);
        result.end = AttemptOutcome::NeverSent;
        result
    }

    /// Returns the id of the target, if one was found.
    pub(crate) fn target_id(&self) -> Option<&Name> {
        self.target.as_deref().map(Target::id)
    }
}
