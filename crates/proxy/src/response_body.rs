//! Streams a response body to a caller.

use axum::body::Body as AdminBody;
use bytes::Bytes;
use heatherhinge_blackboard::{Blackboard, InFlight};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep};

/// Body of any response of an entry host.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body that is in memory.
    Full(Option<Bytes>),
    /// A streamed response of a target or of another entry host.
    Streamed(Pin<Box<StreamedResponseBody>>),
    /// A response of the admin endpoints.
    Admin(AdminBody),
}

/// Why a response could not be forwarded completely. The caller's connection is then reset, so that
/// a truncated response is never taken for a complete one.
#[derive(Debug)]
pub enum ResponseBodyError {
    /// The connection that the response arrives on broke.
    Broken(hyper::Error),
    /// No response data arrived within the idle timeout.
    Stalled,
    /// The deadline of the request passed before the response was complete.
    OutOfTime,
    /// Reading the body of an admin response failed.
    Admin(axum::Error),
}

impl fmt::Display for ResponseBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "reading the response body failed: {error}"),
            Self::Stalled => f.write_str("no response data arrived within the idle timeout"),
            Self::OutOfTime => f.write_str("the deadline passed before the response was complete"),
            Self::Admin(error) => write!(f, "reading the admin response body failed: {error}"),
        }
    }
}

impl std::error::Error for ResponseBodyError {}

/// A streamed response. The request counts as in flight at the target until the body is dropped.
#[derive(Debug)]
pub struct StreamedResponseBody {
    incoming: Incoming,
    idle: Duration,
    stalled_at: Pin<Box<Sleep>>,
    /// Ends at the deadline of the request. A target may send a body without end.
    deadline: Pin<Box<Sleep>>,
    // Fields drop in this order: the slot is free before a waiting request is woken.
    _in_flight: Option<InFlight>,
    _wake: Option<WakeOnDrop>,
    active: Option<ActiveRequest>,
}

/// Times within which a response body must arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyTimes {
    /// Longest time between two parts of it.
    pub(crate) idle: Duration,
    /// Time left until the deadline of the request.
    pub(crate) left: Duration,
}

/// Counts a caller's request as in flight on this host until it is dropped.
#[derive(Debug)]
pub(crate) struct ActiveRequest(Arc<Blackboard>);

impl ActiveRequest {
    pub(crate) fn begin(board: &Arc<Blackboard>) -> Self {
        board.counters.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(board))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.counters.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// When dropped, wakes a request that waits for a target.
#[derive(Debug)]
pub(crate) struct WakeOnDrop(pub(crate) Arc<Notify>);

impl Drop for WakeOnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

impl StreamedResponseBody {
    pub(crate) fn new(
        incoming: Incoming,
        times: BodyTimes,
        in_flight: InFlight,
        wake: WakeOnDrop,
    ) -> Self {
        Self {
            incoming,
            idle: times.idle,
            stalled_at: Box::pin(sleep(times.idle)),
            deadline: Box::pin(sleep(times.left)),
            _in_flight: Some(in_flight),
            _wake: Some(wake),
            active: None,
        }
    }

    /// Creates the body of a response from another entry host.
    pub(crate) fn relayed(incoming: Incoming, times: BodyTimes) -> Self {
        Self {
            incoming,
            idle: times.idle,
            stalled_at: Box::pin(sleep(times.idle)),
            deadline: Box::pin(sleep(times.left)),
            _in_flight: None,
            _wake: None,
            active: None,
        }
    }

    fn poll_response(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(ResponseBodyError::OutOfTime)));
        }
        match Pin::new(&mut self.incoming).poll_frame(cx) {
            Poll::Ready(frame) => {
                let until = Instant::now() + self.idle;
                self.stalled_at.as_mut().reset(until);
                Poll::Ready(frame.map(|frame| frame.map_err(ResponseBodyError::Broken)))
            }
            Poll::Pending => match self.stalled_at.as_mut().poll(cx) {
                Poll::Ready(()) => Poll::Ready(Some(Err(ResponseBodyError::Stalled))),
                Poll::Pending => Poll::Pending,
            },
        }
    }
}

impl From<StreamedResponseBody> for ResponseBody {
    fn from(body: StreamedResponseBody) -> Self {
        Self::Streamed(Box::pin(body))
    }
}

impl ResponseBody {
    /// Keeps the request counted as in flight until a streamed body is dropped.
    pub(crate) fn hold(&mut self, active: ActiveRequest) {
        if let Self::Streamed(body) = self {
            body.active = Some(active);
        }
    }

    /// Creates a body that is in memory.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(body) => body.as_mut().poll_response(cx),
            Self::Admin(body) => Pin::new(body)
                .poll_frame(cx)
                .map(|frame| frame.map(|frame| frame.map_err(ResponseBodyError::Admin))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Streamed(body) => body.incoming.is_end_stream(),
            Self::Admin(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streamed(body) => body.incoming.size_hint(),
            Self::Admin(body) => body.size_hint(),
        }
    }
}
