//! Defines the bodies of the responses to callers.

use crate::connection::Connection;
use crate::connection_pools::ConnectionPool;
use crate::in_flight::InFlight;
use crate::stream_deadline::{StreamDeadline, StreamGuard};
use crate::stream_log::{EarlyEnd, StreamLog};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::time::{Instant, Sleep};

/// Body of any response of an entry host.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body held in memory.
    Full(Option<Bytes>),
    /// A response of a target, forwarded as it arrives.
    Stream(Box<StreamedResponse>),
    /// A response of the host's own endpoints.
    Own(axum::body::Body),
}

impl ResponseBody {
    /// Returns a body held in memory.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Makes a streamed response known to the connection that it is sent on.
    pub(crate) fn limit(&mut self, stream_deadline: &StreamDeadline) {
        if let Self::Stream(response) = self {
            let guard = stream_deadline.begin(response.deadline.deadline());
            response.guard = Some(guard);
        }
    }
}

/// A response that is forwarded as it arrives. An error while streaming resets the caller's
/// connection, so that a truncated response is never taken for a complete one.
#[derive(Debug)]
pub struct StreamedResponse {
    pub(crate) incoming: Incoming,
    pub(crate) connection: Option<Connection>,
    pub(crate) connection_pool: Arc<ConnectionPool>,
    pub(crate) _in_flight: InFlight,
    /// Ends at the route's timeout, or at the caller's deadline if that is earlier. A faulty target
    /// may stop in the middle of a body, or send one without end.
    pub(crate) deadline: Pin<Box<Sleep>>,
    pub(crate) log: StreamLog,
    /// Set when the response is handed to the connection of its caller.
    pub(crate) guard: Option<StreamGuard>,
}

impl StreamedResponse {
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.log.end_early(EarlyEnd::OutOfTime);
            let elapsed =
                io::Error::new(io::ErrorKind::TimedOut, "the time for the response is over");
            return Poll::Ready(Some(Err(axum::Error::new(elapsed))));
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.log.add_bytes(bytes as u64);
            }
            Poll::Ready(Some(Err(_))) => self.log.end_early(EarlyEnd::TargetBroke),
            Poll::Ready(None) | Poll::Pending => {}
        }
        if matches!(polled, Poll::Ready(None)) || self.incoming.is_end_stream() {
            self.finish();
        }
        polled.map(|frame| frame.map(|frame| frame.map_err(axum::Error::new)))
    }

    /// Returns the connection to its pool once the whole response has arrived.
    fn finish(&mut self) {
        self.log.complete();
        if let Some(mut connection) = self.connection.take() {
            connection.served_at = Some(Instant::now());
            self.connection_pool.put_back(connection);
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(response) => response.poll_frame(cx),
            Self::Own(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Stream(response) => response.incoming.is_end_stream(),
            Self::Own(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(response) => response.incoming.size_hint(),
            Self::Own(body) => body.size_hint(),
        }
    }
}
