//! Response bodies: truncated, streamed, and one that notifies when it is dropped.

use crate::RunOutcome;
use crate::worker::Permit;
use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use http_body::{Body as HttpBody, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;

/// Bytes in one frame of a streamed response.
const CHUNK_BYTES: u64 = 16 * 1024;
/// Delay before a connection is closed, so that the first part of the response is flushed.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Creates a body that ends with an error after the first half of `full_body`.
pub(crate) fn truncated(full_body: &[u8]) -> Body {
    let half = Bytes::copy_from_slice(&full_body[..full_body.len() / 2]);
    Body::from_stream(stream::unfold(Some(half), |half| async move {
        match half {
            Some(half) if !half.is_empty() => Some((Ok(half), Some(Bytes::new()))),
            Some(_) => Some((Err(truncation_error().await), None)),
            None => None,
        }
    }))
}

async fn truncation_error() -> io::Error {
    tokio::time::sleep(FLUSH_DELAY).await;
    io::Error::other("response truncated by the fault truncate_answer")
}

/// Creates a body of `total_bytes` that holds its slot until it is sent. If `is_truncated`, it ends
/// with an error after half of them.
pub(crate) fn bulk(total_bytes: u64, is_truncated: bool, permit: Permit) -> Body {
    if total_bytes == 0 {
        permit.finish(RunOutcome::Ok);
        return Body::empty();
    }
    let stop_at = if is_truncated {
        total_bytes / 2
    } else {
        total_bytes
    };
    Body::from_stream(stream::unfold(
        (0, Some(permit)),
        move |(sent, permit)| async move {
            let permit = permit?;
            let size = CHUNK_BYTES.min(stop_at - sent);
            if size == 0 {
                permit.finish(RunOutcome::Cut);
                return Some((Err(truncation_error().await), (sent, None)));
            }
            let chunk = Bytes::from(vec![b'x'; usize::try_from(size).unwrap_or(0)]);
            let sent = sent + size;
            if sent < total_bytes {
                return Some((Ok(chunk), (sent, Some(permit))));
            }
            // Finished here, because the connection stops polling at the content length.
            permit.finish(RunOutcome::Ok);
            Some((Ok(chunk), (sent, None)))
        },
    ))
}

/// A body that notifies `done` when the connection drops it.
#[derive(Debug)]
pub(crate) struct NotifyingBody {
    pub(crate) inner: Body,
    pub(crate) done: Arc<Notify>,
}

impl HttpBody for NotifyingBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for NotifyingBody {
    fn drop(&mut self) {
        self.done.notify_one();
    }
}
