//! One request of a caller.

use crate::WireHeaders;
use crate::probe::text;
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

/// Deadline of a request that states none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;
/// Part of the objective for which a request may be held while no target is good, in percent.
const HOLD_PERCENT: u64 = 12;
/// Part of the time left that the expected time of an answer may take, in percent. The work of
/// single requests differs from the usual.
const FITS_PERCENT: u64 = 80;
/// Usual time that is assumed of a route without answers so far, in percent of its objective.
const UNKNOWN_TIME_PERCENT: u64 = 40;
/// Objective of a route that states none, in milliseconds.
const DEFAULT_OBJECTIVE_MS: u64 = 500;

/// When an answer is likely to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseEstimate {
    /// Within the route's objective.
    InTime,
    /// Later, but while the caller still waits.
    Late,
    /// After the caller has given up.
    Never,
}

/// A request that has been read whole.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: HeaderValue,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Name,
    pub(crate) arrived: MonoNs,
    /// When the caller leaves.
    pub(crate) deadline: MonoNs,
    /// When the caller gets an answer at the latest: its deadline or the route's timeout.
    pub(crate) effective_deadline: MonoNs,
    /// Names requests that are alike, for those that crash targets.
    pub(crate) digest: u64,
    /// Usual time of the route's answers in microseconds, if it is known.
    pub(crate) usual_us: Option<u64>,
    /// Version of the routes that decided.
    pub(crate) routes_version: u64,
}

impl Call {
    /// Returns the time until which the request may be held without a target.
    pub(crate) fn hold_until(&self) -> MonoNs {
        self.objective_part(HOLD_PERCENT)
    }

    /// Returns when a part of the objective is over, in percent.
    pub(crate) fn objective_part(&self, percent: u64) -> MonoNs {
        let objective_ms = self.route.objective_ms.unwrap_or(DEFAULT_OBJECTIVE_MS);
        self.arrived
            .plus_ms(objective_ms * percent / 100)
            .min(self.effective_deadline)
    }

    /// Returns when an answer of a target of this cost is likely to come.
    pub(crate) fn response_estimate(&self, cost: Cost, now: MonoNs) -> ResponseEstimate {
        let objective_ms = self.route.objective_ms.unwrap_or(DEFAULT_OBJECTIVE_MS);
        let unknown_us = objective_ms * 1_000 * UNKNOWN_TIME_PERCENT / 100;
        let expected_us = cost.time_us(self.usual_us.unwrap_or(unknown_us));
        let left_us = self.effective_deadline.ns_since(now) / 1_000;
        let objective_us = self.arrived.plus_ms(objective_ms).ns_since(now) / 1_000;
        if expected_us <= objective_us {
            ResponseEstimate::InTime
        } else if expected_us * 100 <= left_us * FITS_PERCENT {
            ResponseEstimate::Late
        } else {
            ResponseEstimate::Never
        }
    }

    /// Returns the request's id as text for logs.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("-")
    }
}

/// Refuses methods that are not for targets: `TRACE` would send a caller's headers back, and
/// `CONNECT` asks for a tunnel.
pub(crate) fn check_head(head: &Parts) -> Result<(), Code> {
    if head.method == Method::TRACE || head.method == Method::CONNECT {
        return Err(Code::BadRequestHead);
    }
    Ok(())
}

/// Finds the route of a request.
pub(crate) fn find_route(head: &Parts, table: &RouteTable) -> Result<Arc<Route>, Code> {
    if !table.is_known() {
        return Err(Code::NoBundle);
    }
    let host = text(&head.headers, &HOST).ok_or(Code::BadRequestHead)?;
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    table
        .find(host, head.uri.path())
        .cloned()
        .ok_or(Code::UnknownRoute)
}

/// Reads the time that a caller will wait.
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

/// Reads the body of a request.
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

/// Digests what is the same when a caller sends a request again: host, method, path and body.
pub(crate) fn digest(head: &Parts, body: &Bytes) -> u64 {
    let host = head
        .headers
        .get(HOST)
        .map_or(&b""[..], |value| value.as_bytes());
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let parts = [host, head.method.as_str().as_bytes(), path.as_bytes(), body];
    Digest::of_parts(&parts).0 as u64
}
