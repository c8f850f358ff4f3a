//! Converts responses to and from the stored form that the owner of an idempotency key replays.

use crate::ResponseBody;
use bytes::Bytes;
use heatherhinge_claims::StoredResponse;
use heatherhinge_types::header;
use http::{HeaderName, HeaderValue, Response, StatusCode};

/// Largest response body that is stored for a retry by the caller, in bytes.
pub(crate) const STORED_BODY_MAX_BYTES: u64 = 4_096;

/// Copies a response so that the owner of the key can replay it. The load report is left out.
pub(crate) fn stored_response(head: &http::response::Parts, body: &Bytes) -> StoredResponse {
    let headers = head
        .headers
        .iter()
        .filter(|(name, _)| name.as_str() != header::LOAD)
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    StoredResponse {
        status: head.status.as_u16(),
        headers,
        body: body.to_vec(),
    }
}

/// Builds the response to a retry from the stored one; `None` if its status or a header is invalid.
pub(crate) fn replay(stored: StoredResponse) -> Option<Response<ResponseBody>> {
    let mut response = Response::new(ResponseBody::full(stored.body));
    *response.status_mut() = StatusCode::from_u16(stored.status).ok()?;
    for (name, value) in stored.headers {
        let name: HeaderName = name.parse().ok()?;
        response
            .headers_mut()
            .append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    response
        .headers_mut()
        .insert(header::REPLAYED, HeaderValue::from_static("1"));
    Some(response)
}
