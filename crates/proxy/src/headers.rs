//! Reads and sets the headers of a proxied request.

use heatherhinge_types::{Name, header};
use http::header::{CONNECTION, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, Uri};
use rand::{Rng, RngExt};
use std::net::SocketAddr;

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// Hop-by-hop headers for which the library has no constant.
const HOP_BY_HOP_NAMES: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authenticate"];
/// Header of the W3C trace context.
const TRACEPARENT: &str = "traceparent";

/// Removes the hop-by-hop headers, including those that `Connection` lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
}

/// Removes the headers with which a host states what became of a request. A target may have copied
/// them from the response to a call of its own, and `no` is a promise to the caller.
pub(crate) fn strip_refusal_headers(headers: &mut HeaderMap) {
    headers.remove(header::CODE);
    headers.remove(header::RAN);
}

/// W3C trace context of a request. Each hop sends a 64-bit span id of its own.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    /// Identifies the request in records: the 128-bit trace id in hexadecimal.
    pub(crate) request_id: Name,
    flags: String,
}

impl Trace {
    /// Reads the caller's trace context, or starts a new one if it is missing or malformed.
    pub(crate) fn from_headers<R: Rng>(headers: &HeaderMap, rng: &mut R) -> Self {
        headers
            .get(TRACEPARENT)
            .and_then(|value| value.to_str().ok())
            .and_then(Self::parse)
            .unwrap_or_else(|| {
                let id = format!("{:032x}", rng.random::<u128>());
                Self {
                    request_id: Name::from(id),
                    flags: "01".to_owned(),
                }
            })
    }

    fn parse(value: &str) -> Option<Self> {
        let mut parts = value.trim().split('-');
        let (version, id, _span, flags) =
            (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        let is_hex = |text: &str| {
            text.bytes()
                .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
        };
        let is_valid = version.len() == 2
            && version != "ff"
            && id.len() == 32
            && flags.len() == 2
            && is_hex(id)
            && is_hex(flags)
            && id.bytes().any(|b| b != b'0');
        is_valid.then(|| Self {
            request_id: Name::from(id),
            flags: flags.to_owned(),
        })
    }

    /// Returns the `traceparent` value for the next hop, with a new span id.
    pub(crate) fn next_hop<R: Rng>(&self, rng: &mut R) -> Option<HeaderValue> {
        let span = rng.random::<u64>() | 1;
        let value = format!("00-{}-{span:016x}-{}", self.request_id, self.flags);
        HeaderValue::from_str(&value).ok()
    }
}

/// Values of the headers that are set for each attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptHeaders {
    pub(crate) deadline_ms: u64,
    pub(crate) not_after_wall_ms: Option<u64>,
    pub(crate) attempt: u32,
}

/// Sets the headers of one attempt.
pub(crate) fn set_attempt_headers<R: Rng>(
    headers: &mut HeaderMap,
    trace: &Trace,
    attempt: AttemptHeaders,
    rng: &mut R,
) {
    headers.insert(header::DEADLINE_MS, HeaderValue::from(attempt.deadline_ms));
    headers.insert(header::ATTEMPT, HeaderValue::from(attempt.attempt));
    headers.remove(header::NOT_AFTER_MS);
    if let Some(not_after) = attempt.not_after_wall_ms {
        headers.insert(header::NOT_AFTER_MS, HeaderValue::from(not_after));
    }
    if let Some(value) = trace.next_hop(rng) {
        headers.insert(TRACEPARENT, value);
    }
}

/// Returns the URI of a request with the target's address as its authority.
pub(crate) fn target_uri(uri: &Uri, addr: SocketAddr) -> Result<Uri, http::Error> {
    let path = uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    Uri::builder()
        .scheme("http")
        .authority(addr.to_string())
        .path_and_query(path)
        .build()
}
