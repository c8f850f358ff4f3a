//! Plans a request from its head: service, route, class, deadline and idempotency key.

use heatherhinge_blackboard::{RoutingSnapshot, ServiceTargets};
use heatherhinge_bundle::Route;
use heatherhinge_types::{Code, IdempotencyKey, MonoNs, Urgency, header};
use http::{HeaderMap, Method};
use std::sync::Arc;

/// Longest deadline that a caller may set, in milliseconds. Downloads of an hour are the longest
/// requests of today's users.
const DEADLINE_MAX_MS: u64 = 3_600_000;

/// The head of a request, independent of the protocol that carried it.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path without the query, starting with a slash.
    pub path: &'a str,
    /// Headers.
    pub headers: &'a HeaderMap,
}

/// How a request is to be handled.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// The service and its targets in the snapshot.
    pub targets: Arc<ServiceTargets>,
    /// The route.
    pub route: Arc<Route>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Idempotency key; `None` for an idempotent request and for one without the header.
    pub key: Option<IdempotencyKey>,
    /// Urgency.
    pub urgency: Urgency,
    /// Time by which the caller needs the response.
    pub deadline_ns: MonoNs,
    /// Attempt number that the caller sent, from 1. Above 1 the request is not retried, so that
    /// retries of several layers do not multiply.
    pub caller_attempt: u32,
    /// Whether the request counts towards the new version of a move; `None` before the first
    /// selection. A request is counted once, however often it waits or is retried.
    pub is_new_version: Option<bool>,
}

/// Plans a request, or returns the code with which it is refused.
///
/// # Errors
///
/// Codes 10xx and [`Code::BadKey`]; the request has not run.
pub fn plan(
    head: &RequestHead<'_>,
    snapshot: &RoutingSnapshot,
    now_ns: MonoNs,
) -> Result<RequestPlan, Code> {
    let (service, rest) = split_path(head.path);
    let targets = snapshot.services.get(service).ok_or(Code::UnknownService)?;
    let route = targets
        .service
        .routes
        .iter()
        .find(|route| route.matches(head.method.as_str(), rest))
        .ok_or(Code::UnknownRoute)?;
    let is_idempotent = route
        .idempotent
        .unwrap_or_else(|| head.method.is_idempotent());
    let deadline_ms = deadline_ms(head.headers, route)?;
    Ok(RequestPlan {
        targets: Arc::clone(targets),
        route: Arc::clone(route),
        is_idempotent,
        key: if is_idempotent {
            None
        } else {
            idempotency_key(head.headers)?
        },
        urgency: urgency(head.headers, route),
        deadline_ns: now_ns.plus_ms(deadline_ms),
        caller_attempt: number(head.headers, header::ATTEMPT).unwrap_or(1),
        is_new_version: None,
    })
}

/// Splits `/service/rest` into the service and `/rest`.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.strip_prefix('/').unwrap_or(path);
    match path.find('/') {
        Some(end) => (&path[..end], &path[end..]),
        None => (path, "/"),
    }
}

fn deadline_ms(headers: &HeaderMap, route: &Route) -> Result<u64, Code> {
    match headers.get(header::DEADLINE_MS) {
        None => Ok(route.deadline_ms),
        Some(_) => match number::<u64>(headers, header::DEADLINE_MS) {
            Some(ms @ 1..=DEADLINE_MAX_MS) => Ok(ms),
            _ => Err(Code::BadDeadline),
        },
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Code> {
    let mut values = headers.get_all(header::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Code::BadKey);
    }
    let text = value.to_str().map_err(|_| Code::BadKey)?;
    text.parse().map(Some).map_err(|_| Code::BadKey)
}

fn urgency(headers: &HeaderMap, route: &Route) -> Urgency {
    match headers
        .get("priority")
        .and_then(|value| value.to_str().ok())
    {
        Some(value) => Urgency::from_priority_header(value),
        None => route.urgency,
    }
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
