//! Response bodies of a target, some of which are never complete.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// What follows the content of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
    /// The body is complete.
    Complete,
    /// The connection closes before the declared length.
    Truncated,
    /// Nothing, and the connection stays open. The body declares no length.
    Stalled,
}

/// A response body that may end before its declared length, or not at all.
#[derive(Debug)]
pub(crate) struct TargetBody {
    content: Full<Bytes>,
    end: BodyEnd,
    /// Declared bytes that have not been sent yet.
    unsent_bytes: u64,
}

impl TargetBody {
    pub(crate) fn truncated(content: &str) -> Self {
        Self::half(content, BodyEnd::Truncated)
    }

    pub(crate) fn stalled(content: &str) -> Self {
        Self::half(content, BodyEnd::Stalled)
    }

    fn half(content: &str, end: BodyEnd) -> Self {
        let half = content.get(..content.len() / 2).unwrap_or_default();
        Self {
            content: Full::from(half.to_owned()),
            end,
            unsent_bytes: content.len() as u64,
        }
    }
}

impl From<String> for TargetBody {
    fn from(content: String) -> Self {
        Self {
            unsent_bytes: content.len() as u64,
            content: Full::from(content),
            end: BodyEnd::Complete,
        }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Poll::Ready(Some(Ok(frame))) = Pin::new(&mut self.content).poll_frame(cx) {
            let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
            self.unsent_bytes -= bytes.min(self.unsent_bytes);
            return Poll::Ready(Some(Ok(frame)));
        }
        match self.end {
            BodyEnd::Complete => Poll::Ready(None),
            BodyEnd::Truncated => {
                let error = io::Error::other("response body truncated");
                Poll::Ready(Some(Err(error)))
            }
            BodyEnd::Stalled => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self.end {
            BodyEnd::Complete | BodyEnd::Truncated => SizeHint::with_exact(self.unsent_bytes),
            BodyEnd::Stalled => SizeHint::default(),
        }
    }
}
