//! Reads and validates one request of a caller.

use crate::WireHeaders;
use crate::probe::header_text;
use bytes::Bytes;
use heatherhinge_orders::{Route, RouteTable};
use heatherhinge_steering::Cost;
use heatherhinge_types::{Code, Digest, MonoNs, Name};
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Deadline of a request without a deadline header, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;
/// Percentage of the objective for which a request may be held while no target is suitable.
const HOLD_PERCENT: u64 = 12;
/// Percentage of the remaining time that the expected response time may take. The rest is a margin,
/// because the work of single requests differs from the usual.
const MAX_REMAINING_TIME_PERCENT: u64 = 80;
/// Response time assumed for a route without responses so far, in percent of its objective.
const DEFAULT_TIME_PERCENT: u64 = 40;
/// Objective of a route whose configuration sets none, in milliseconds.
const DEFAULT_OBJECTIVE_MS: u64 = 500;

/// When a response is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseEstimate {
    /// Within the route's objective.
    InTime,
    /// After the objective, but before the caller gives up.
    Late,
    /// Not before the caller has given up.
    Never,
}

/// A request whose head and body have been read.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: HeaderValue,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Name,
    pub(crate) arrived: MonoNs,
    /// When the caller gives up.
    pub(crate) deadline: MonoNs,
    /// Latest time for a response: the earlier of the deadline and the route's timeout.
    pub(crate) effective_deadline: MonoNs,
    /// Identifies identical requests, so that those that crash targets can be quarantined.
    pub(crate) digest: u64,
    /// Usual response time of the route in microseconds, if it is known.
    pub(crate) usual_us: Option<u64>,
    /// Version of the routes that the request was matched against.
    pub(crate) routes_version: u64,
}

impl Call {
    /// Returns until when the request may be held without a target.
    pub(crate) fn hold_until(&self) -> MonoNs {
        self.objective_part(HOLD_PERCENT)
    }

    /// Returns when `percent` of the objective has passed, capped at the effective deadline.
    pub(crate) fn objective_part(&self, percent: u64) -> MonoNs {
        let objective_ms = self.route.objective_ms.unwrap_or(DEFAULT_OBJECTIVE_MS);
        self.arrived
            .plus_ms(objective_ms * percent / 100)
            .min(self.effective_deadline)
    }

    /// Estimates when a target of this cost would respond.
    pub(crate) fn response_estimate(&self, cost: Cost, now: MonoNs) -> ResponseEstimate {
        let objective_ms = self.route.objective_ms.unwrap_or(DEFAULT_OBJECTIVE_MS);
        let default_us = objective_ms * 1_000 * DEFAULT_TIME_PERCENT / 100;
        let expected_us = cost.time_us(self.usual_us.unwrap_or(default_us));
        let left_us = self.effective_deadline.ns_since(now) / 1_000;
        let objective_us = self.arrived.plus_ms(objective_ms).ns_since(now) / 1_000;
        if expected_us <= objective_us {
            ResponseEstimate::InTime
        } else if expected_us * 100 <= left_us * MAX_REMAINING_TIME_PERCENT {
            ResponseEstimate::Late
        } else {
            ResponseEstimate::Never
        }
    }

    /// Returns the request's id for logs, `-` if it is not printable.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("-")
    }
}

/// Rejects methods that are not forwarded: `TRACE` would echo a caller's headers, and `CONNECT`
/// asks for a tunnel.
pub(crate) fn check_head(head: &Parts) -> Result<(), Code> {
    if head.method == Method::TRACE || head.method == Method::CONNECT {
        return Err(Code::BadRequestHead);
    }
    Ok(())
}

/// Returns the route that matches the host and path of a request.
pub(crate) fn find_route(head: &Parts, table: &RouteTable) -> Result<Arc<Route>, Code> {
    if !table.is_known() {
        return Err(Code::NoBundle);
    }
    let host = header_text(&head.headers, &HOST).ok_or(Code::BadRequestHead)?;
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    table
        .find(host, head.uri.path())
        .cloned()
        .ok_or(Code::UnknownRoute)
}

/// Returns how long the caller waits, in milliseconds, from its deadline header.
pub(crate) fn deadline_ms(headers: &HeaderMap, names: &WireHeaders) -> Result<u64, Code> {
    match headers.get(&names.deadline_ms) {
        None => Ok(DEFAULT_DEADLINE_MS),
        Some(value) => value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok())
            .ok_or(Code::BadDeadline),
    }
}

/// Reads the body of a request, up to `limit_bytes` and within the time left.
pub(crate) async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    left: Duration,
) -> Result<Bytes, Code> {
    match timeout(left, Limited::new(body, limit_bytes).collect()).await {
        Err(_elapsed) => Err(Code::SlowRequestBody),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Code::BodyTooLarge),
        Ok(Err(_)) => Err(Code::BrokenRequestBody),
    }
}

/// Hashes the parts that stay the same when a caller retries: host, method, path and body.
pub(crate) fn digest(head: &Parts, body: &Bytes) -> u64 {
    let host = head
        .headers
        .get(HOST)
        .map_or(&b""[..], |value| value.as_bytes());
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let parts = [host, head.method.as_str().as_bytes(), path.as_bytes(), body];
    Digest::of_parts(&parts).0 as u64
}
