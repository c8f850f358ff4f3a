//! Reads and buffers a request body, and computes the request's digest.

use crate::Limits;
use crate::outgoing_body::OutgoingBody;
use bytes::{Bytes, BytesMut};
use heatherhinge_types::{Code, Digest};
use http::request::Parts;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

/// The body of a request, read up to the buffer limit.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// The whole body is in memory, so the request can be retried.
    Buffered(Bytes),
    /// The rest is still arriving, so the body can be sent only once.
    Streamed {
        /// The bytes that have arrived.
        prefix: Bytes,
        /// The rest of the body; `None` once an attempt has taken it.
        rest: Option<Incoming>,
        /// Most bytes that may still arrive.
        remaining_bytes: u64,
    },
}

impl RequestBody {
    /// Reads a body up to the buffer limit.
    ///
    /// # Errors
    ///
    /// A code of the family 10xx when the body is too large, too slow or broken.
    pub(crate) async fn read(
        mut incoming: Incoming,
        limit_bytes: u64,
        limits: &Limits,
    ) -> Result<Self, Code> {
        if incoming.size_hint().lower() > limit_bytes {
            return Err(Code::BodyTooLarge);
        }
        let mut prefix = BytesMut::new();
        while !incoming.is_end_stream() && prefix.len() < limits.buffer_bytes {
            let next = timeout(limits.idle(), incoming.frame()).await;
            match next.map_err(|_| Code::SlowRequestBody)? {
                None => return Ok(Self::Buffered(prefix.freeze())),
                Some(Err(_)) => return Err(Code::BrokenRequestBody),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        prefix.extend_from_slice(&data);
                    }
                }
            }
            if prefix.len() as u64 > limit_bytes {
                return Err(Code::BodyTooLarge);
            }
        }
        let prefix = prefix.freeze();
        if incoming.is_end_stream() {
            return Ok(Self::Buffered(prefix));
        }
        let remaining_bytes = limit_bytes - prefix.len() as u64;
        Ok(Self::Streamed {
            prefix,
            rest: Some(incoming),
            remaining_bytes,
        })
    }

    /// Returns whether the body can be sent in more than one attempt.
    pub(crate) const fn can_replay(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the body for one attempt, or `None` if it was streamed to an earlier one.
    pub(crate) fn for_attempt(&mut self) -> Option<OutgoingBody> {
        match self {
            Self::Buffered(bytes) => Some(OutgoingBody::buffered(bytes.clone())),
            Self::Streamed {
                prefix,
                rest,
                remaining_bytes,
            } => {
                let rest = rest.take()?;
                Some(OutgoingBody::streamed(
                    std::mem::take(prefix),
                    rest,
                    *remaining_bytes,
                ))
            }
        }
    }

    /// Returns the digest that identifies the request: of the method, the path with query, and the
    /// buffered bytes. The path begins with the service.
    pub(crate) fn digest(&self, head: &Parts) -> Digest {
        let (Self::Buffered(bytes) | Self::Streamed { prefix: bytes, .. }) = self;
        let path = head
            .uri
            .path_and_query()
            .map_or("/", http::uri::PathAndQuery::as_str);
        Digest::of_parts(&[head.method.as_str().as_bytes(), path.as_bytes(), bytes])
    }
}
