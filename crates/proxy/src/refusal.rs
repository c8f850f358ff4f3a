//! Builds the error response for a request that failed or was rejected.

use crate::ResponseBody;
use heatherhinge_types::{Code, Name, Ran, header};
use http::{HeaderMap, HeaderValue, Response};
use serde::Serialize;

/// The error of a request, with what is known about whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestError {
    code: Code,
    ran: Ran,
}

impl From<Code> for RequestError {
    fn from(code: Code) -> Self {
        Self {
            code,
            ran: code.ran(),
        }
    }
}

impl RequestError {
    /// Creates the error of a request that failed before a claim was requested.
    ///
    /// An earlier attempt with the same key may have run through another host, so such an error
    /// does not report "not run". A malformed key is rejected by every host and never runs.
    pub(crate) fn before_claim(code: Code, headers: &HeaderMap) -> Self {
        let has_key = headers.contains_key(header::IDEMPOTENCY_KEY) && code != Code::BadKey;
        let least = if has_key { Ran::Unknown } else { Ran::No };
        Self {
            code,
            ran: code.ran().max(least),
        }
    }
}

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    code: u16,
    ran: &'a str,
    message: &'a str,
    request_id: &'a str,
}

/// Builds the error response.
#[must_use]
pub(crate) fn error_response(error: RequestError, request_id: &Name) -> Response<ResponseBody> {
    let RequestError { code, ran } = error;
    let body = ErrorBody {
        code: code.number(),
        ran: ran.as_str(),
        message: code.text(),
        request_id,
    };
    // Serializing four plain fields cannot fail, and the headers alone carry the code.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = code.status();
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(header::CODE, HeaderValue::from(code.number()));
    headers.insert(header::RAN, HeaderValue::from_static(ran.as_str()));
    // An upstream entry host must not retry what this one has already tried.
    headers.insert(header::RETRIED, HeaderValue::from_static("1"));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(header::REQUEST_ID, value);
    }
    response
}
