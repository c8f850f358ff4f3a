//! The answer that tells a caller of a refusal.

use crate::ResponseBody;
use heatherhinge_types::{Code, Name, Ran, header};
use http::{HeaderMap, HeaderValue, Response};
use serde::Serialize;

/// A refusal, with what is known of the request having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refused {
    code: Code,
    ran: Ran,
}

impl From<Code> for Refused {
    fn from(code: Code) -> Self {
        Self {
            code,
            ran: code.ran(),
        }
    }
}

impl Refused {
    /// Makes a refusal that was decided before the owner of the key was asked.
    ///
    /// An earlier attempt with the same key may have run through another host, so such a refusal
    /// does not say "not run". A malformed key is refused by every host and never runs.
    pub(crate) fn before_claim(code: Code, headers: &HeaderMap) -> Self {
        let has_key = headers.contains_key(header::IDEMPOTENCY_KEY) && code != Code::BadKey;
        let least = if has_key { Ran::Unknown } else { Ran::No };
        Self {
            code,
            ran: code.ran().max(least),
        }
    }
}

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
pub(crate) fn refusal(refused: Refused, request_id: &Name) -> Response<ResponseBody> {
    let Refused { code, ran } = refused;
    let body = RefusalBody {
        code: code.number(),
        ran: ran.as_str(),
        message: code.text(),
        request_id,
    };
    // Serializing four plain fields into memory cannot fail; an empty body is still truthful.
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
    // An entry host further up must not repeat what this one has already tried.
    headers.insert(header::RETRIED, HeaderValue::from_static("1"));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(header::REQUEST_ID, value);
    }
    response
}
