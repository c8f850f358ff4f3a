//! Builds the responses for requests that the host itself rejects or fails.

use crate::ResponseBody;
use heatherhinge_types::{Code, header};
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};

/// `Retry-After` of a request shed by a target that had reported room, in milliseconds. Another
/// target may well take it, and the caller's objective can still be met.
const RETRY_AFTER_SHED_MS: u64 = 20;
/// Shortest `Retry-After` while targets are full, in milliseconds.
const RETRY_AFTER_FULL_MIN_MS: u64 = 150;
/// Longest `Retry-After` while targets are full, in milliseconds.
const RETRY_AFTER_FULL_MAX_MS: u64 = 1_000;
/// Divisor of the caller's remaining time that gives the `Retry-After` while targets are full.
/// Callers wait for at most a third of their time.
const RETRY_AFTER_DIVISOR: u64 = 4;
/// `Retry-After` while the host cannot serve the request, in milliseconds.
const RETRY_AFTER_START_MS: u64 = 300;

/// Returns whether callers take a status for the promise that the request has not run and never will.
/// Only the target can keep it for a request that has been sent, so a target's status is not enough:
/// it must state as well that it did not run the request.
pub(crate) const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the response for a code; `after_ms` is the time after which the caller may come back.
pub(crate) fn refusal(
    code: Code,
    request_id: &HeaderName,
    id: Option<&HeaderValue>,
    after_ms: Option<u64>,
) -> Response<ResponseBody> {
    let body = format!(
        "{{\"code\":{},\"ran\":\"{}\",\"message\":\"{}\"}}",
        code.number(),
        code.ran().as_str(),
        code.text()
    );
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = code.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(header::CODE, HeaderValue::from(code.number()));
    headers.insert(header::RAN, HeaderValue::from_static(code.ran().as_str()));
    if let Some(id) = id {
        headers.insert(request_id.clone(), id.clone());
    }
    if code == Code::BadRequestHead {
        // What follows on the connection may be part of the rejected request.
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(after_ms) = after_ms {
        let seconds = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns the `Retry-After` in milliseconds, for codes that guarantee that the request has not
/// run; `left_ms` is the time that the caller still waits.
pub(crate) fn retry_after_ms(code: Code, left_ms: u64) -> Option<u64> {
    match code {
        Code::TargetShed => Some(RETRY_AFTER_SHED_MS),
        Code::QueueFull | Code::DeadlineTooShort => {
            let after_ms = left_ms / RETRY_AFTER_DIVISOR;
            Some(after_ms.clamp(RETRY_AFTER_FULL_MIN_MS, RETRY_AFTER_FULL_MAX_MS))
        }
        Code::NoTarget | Code::NoBundle | Code::Leaving | Code::HeldBack => {
            Some(RETRY_AFTER_START_MS)
        }
        _ => None,
    }
}
