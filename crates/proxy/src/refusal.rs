//! The answer that tells a caller of a refusal.

use crate::ServerBody;
use heatherhinge_types::{Code, Name, header};
use http::{HeaderValue, Response};
use serde::Serialize;

/// Body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    code: u16,
    ran: &'a str,
    message: &'a str,
    request_id: &'a str,
}

/// Makes the answer for a refusal.
#[must_use]
pub fn refusal(code: Code, request_id: &Name) -> Response<ServerBody> {
    let body = RefusalBody {
        code: code.number(),
        ran: code.ran().as_str(),
        message: code.text(),
        request_id,
    };
    // Serializing four plain fields into memory cannot fail; an empty body is still truthful.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(ServerBody::full(body));
    *response.status_mut() = code.status();
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(header::CODE, HeaderValue::from(code.number()));
    headers.insert(header::RAN, HeaderValue::from_static(code.ran().as_str()));
    // An entry host further up must not repeat what this one has already tried.
    headers.insert(header::RETRIED, HeaderValue::from_static("1"));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(header::REQUEST_ID, value);
    }
    response
}
