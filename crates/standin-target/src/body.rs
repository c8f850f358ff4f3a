//! Bodies of answers: whole, cut short, streamed, and one that tells when it is done.

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

/// Bytes in one frame of a streamed answer.
const CHUNK_BYTES: u64 = 16 * 1024;
/// Pause before a connection is cut, so that the first part of the answer is flushed.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// Makes a body that breaks after its first half.
pub(crate) fn truncated(whole: &[u8]) -> Body {
    let half = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
    Body::from_stream(stream::unfold(Some(half), |half| async move {
        match half {
            Some(half) if !half.is_empty() => Some((Ok(half), Some(Bytes::new()))),
            Some(_) => Some((Err(cut().await), None)),
            None => None,
        }
    }))
}

async fn cut() -> io::Error {
    tokio::time::sleep(FLUSH_PAUSE).await;
    io::Error::other("the answer is cut short")
}

/// Makes a body of `total_bytes` that holds its slot until it is sent, and breaks half-way if
/// `is_cut`.
pub(crate) fn bulk(total_bytes: u64, is_cut: bool, permit: Permit) -> Body {
    if total_bytes == 0 {
        permit.finish(RunOutcome::Ok);
        return Body::empty();
    }
    let stop_at = if is_cut { total_bytes / 2 } else { total_bytes };
    Body::from_stream(stream::unfold(
        (0, Some(permit)),
        move |(sent, permit)| async move {
            let permit = permit?;
            let size = CHUNK_BYTES.min(stop_at - sent);
            if size == 0 {
                permit.finish(RunOutcome::Cut);
                return Some((Err(cut().await), (sent, None)));
            }
            let chunk = Bytes::from(vec![b'x'; usize::try_from(size).unwrap_or(0)]);
            let sent = sent + size;
            if sent < total_bytes {
                return Some((Ok(chunk), (sent, Some(permit))));
            }
            // The connection does not ask for more once the stated length is reached.
            permit.finish(RunOutcome::Ok);
            Some((Ok(chunk), (sent, None)))
        },
    ))
}

/// A body that notifies when the connection has taken all of it.
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
