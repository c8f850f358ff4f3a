//! Streams a request body to a target.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body whose first part is in memory while the rest may still be arriving.
#[derive(Debug)]
pub(crate) struct OutgoingBody {
    prefix: Bytes,
    rest: Option<Incoming>,
    remaining_bytes: u64,
}

/// Why a request body could not be forwarded completely.
#[derive(Debug)]
pub(crate) enum OutgoingBodyError {
    /// The caller's connection broke.
    Broken(hyper::Error),
    /// The body is larger than the route allows.
    TooLarge,
}

impl std::fmt::Display for OutgoingBodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "reading the request body failed: {error}"),
            Self::TooLarge => f.write_str("the request body is larger than the route allows"),
        }
    }
}

impl std::error::Error for OutgoingBodyError {}

impl OutgoingBody {
    /// Creates a body that is completely in memory.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self {
            prefix: bytes,
            rest: None,
            remaining_bytes: 0,
        }
    }

    /// Creates a body of which at most `remaining_bytes` may still arrive.
    pub(crate) fn streamed(prefix: Bytes, rest: Incoming, remaining_bytes: u64) -> Self {
        Self {
            prefix,
            rest: Some(rest),
            remaining_bytes,
        }
    }

    fn poll_rest(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, OutgoingBodyError>>> {
        let Some(rest) = self.rest.as_mut() else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(rest).poll_frame(cx);
        let Poll::Ready(Some(Ok(frame))) = polled else {
            return polled.map(|frame| frame.map(|frame| frame.map_err(OutgoingBodyError::Broken)));
        };
        let size = frame.data_ref().map_or(0, Bytes::len) as u64;
        match self.remaining_bytes.checked_sub(size) {
            Some(remaining_bytes) => {
                self.remaining_bytes = remaining_bytes;
                Poll::Ready(Some(Ok(frame)))
            }
            None => Poll::Ready(Some(Err(OutgoingBodyError::TooLarge))),
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = OutgoingBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, OutgoingBodyError>>> {
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        self.poll_rest(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.len() as u64;
        let Some(rest) = &self.rest else {
            return SizeHint::with_exact(prefix);
        };
        let (inner, mut hint) = (rest.size_hint(), SizeHint::new());
        hint.set_lower(prefix + inner.lower());
        if let Some(upper) = inner.upper() {
            hint.set_upper(prefix + upper);
        }
        hint
    }
}
