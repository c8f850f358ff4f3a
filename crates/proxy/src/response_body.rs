//! The answer body on its way to a caller.

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

/// Body of any answer of an entry host.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body that is in memory.
    Full(Option<Bytes>),
    /// An answer of a target, streamed.
    Answer(Pin<Box<StreamedResponseBody>>),
    /// An answer of the admin endpoints.
    Admin(AdminBody),
}

/// Why an answer could not be passed on as a whole. The caller's connection is then reset, so that
/// a cut answer is never taken for a complete one.
#[derive(Debug)]
pub enum ResponseBodyError {
    /// The target's connection broke.
    Broken(hyper::Error),
    /// The target sent nothing for too long.
    Stalled,
    /// An admin answer failed.
    Admin(axum::Error),
}

impl fmt::Display for ResponseBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "the answer broke: {error}"),
            Self::Stalled => f.write_str("the target sent nothing for too long"),
            Self::Admin(error) => write!(f, "the admin answer failed: {error}"),
        }
    }
}

impl std::error::Error for ResponseBodyError {}

/// A streamed answer. The request counts as in flight at the target until the body ends.
#[derive(Debug)]
pub struct StreamedResponseBody {
    incoming: Incoming,
    idle: Duration,
    stalled_at: Pin<Box<Sleep>>,
    // Declared in this order so that the request has left the target when waiters are woken.
    _in_flight: Option<InFlight>,
    _wake: Option<WakeOnDrop>,
    active: Option<ActiveRequest>,
}

/// Counts a request of a caller as in flight on this host until its answer has been passed on.
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

/// Wakes a request that waits for a target when another one has ended.
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
        idle: Duration,
        in_flight: InFlight,
        wake: WakeOnDrop,
    ) -> Self {
        let stalled_at = Box::pin(sleep(idle));
        Self {
            incoming,
            idle,
            stalled_at,
            _in_flight: Some(in_flight),
            _wake: Some(wake),
            active: None,
        }
    }

    /// Makes the body of an answer that another entry host gave.
    pub(crate) fn passed_on(incoming: Incoming, idle: Duration) -> Self {
        let stalled_at = Box::pin(sleep(idle));
        Self {
            incoming,
            idle,
            stalled_at,
            _in_flight: None,
            _wake: None,
            active: None,
        }
    }

    fn poll_answer(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
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
        Self::Answer(Box::pin(body))
    }
}

impl ResponseBody {
    /// Keeps the request counted as in flight until a streamed body has ended.
    pub(crate) fn hold(&mut self, active: ActiveRequest) {
        if let Self::Answer(body) = self {
            body.active = Some(active);
        }
    }

    /// Makes a body that is in memory.
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
            Self::Answer(body) => body.as_mut().poll_answer(cx),
            Self::Admin(body) => Pin::new(body)
                .poll_frame(cx)
                .map(|frame| frame.map(|frame| frame.map_err(ResponseBodyError::Admin))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Answer(body) => body.incoming.is_end_stream(),
            Self::Admin(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Answer(body) => body.incoming.size_hint(),
            Self::Admin(body) => body.size_hint(),
        }
    }
}
