//! Logs responses that were forwarded as they arrived and ended early.

use crate::call::Call;
use heatherhinge_proxy::Clock;
use heatherhinge_steering::{LineKind, SteeringBoard, Target};
use heatherhinge_types::{MonoNs, Name};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Why a streamed response ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EarlyEnd {
    /// The target closed the connection or sent something that is no response.
    TargetBroke,
    /// The time allowed for the response was over.
    OutOfTime,
    /// The caller closed its connection.
    CallerLeft,
    /// The caller did not read the response while there was time.
    NotRead,
}

impl EarlyEnd {
    const fn text(self) -> &'static str {
        match self {
            Self::TargetBroke => "the target broke it off",
            Self::OutOfTime => "the time allowed for it was over",
            Self::CallerLeft => "the caller closed its connection",
            Self::NotRead => "the caller did not read it in time",
        }
    }
}

/// Facts about a streamed response. The line of its request is written when its head is forwarded,
/// so one that ends early has a line of its own. Dropped before any end, it records that the caller
/// has left or did not read the response.
#[derive(Debug)]
pub(crate) struct StreamLog {
    board: Arc<SteeringBoard>,
    clock: Clock,
    request_id: String,
    route: Name,
    target: Name,
    arrived: MonoNs,
    allowed_ms: u64,
    deadline_ms: u64,
    forwarded_bytes: u64,
    is_ended: bool,
}

impl StreamLog {
    pub(crate) fn new(
        board: &Arc<SteeringBoard>,
        clock: Clock,
        call: &Call,
        target: &Target,
    ) -> Self {
        Self {
            board: Arc::clone(board),
            clock,
            request_id: call.id_text().to_owned(),
            route: call.route.name.clone(),
            target: target.id().clone(),
            arrived: call.arrived,
            allowed_ms: call.effective_deadline.ms_since(call.arrived),
            deadline_ms: call.deadline.ms_since(call.arrived),
            forwarded_bytes: 0,
            is_ended: false,
        }
    }

    pub(crate) const fn add_bytes(&mut self, bytes: u64) {
        self.forwarded_bytes += bytes;
    }

    /// Records that the response is complete.
    pub(crate) const fn complete(&mut self) {
        self.is_ended = true;
    }

    /// Records an early end, the first time that it is called.
    pub(crate) fn end_early(&mut self, cause: EarlyEnd) {
        if self.is_ended {
            return;
        }
        self.is_ended = true;
        if matches!(cause, EarlyEnd::TargetBroke | EarlyEnd::OutOfTime) {
            let counts = &self.board.counts;
            counts.cut_streams.fetch_add(1, Ordering::Relaxed);
        }
        let now = self.clock.mono_ns();
        if !self.board.log.take(LineKind::Abnormal, now) {
            return;
        }
        tracing::info!(
            request_id = self.request_id,
            route = %self.route,
            target = %self.target,
            forwarded_bytes = self.forwarded_bytes,
            took_ms = now.ms_since(self.arrived),
            allowed_ms = self.allowed_ms,
            deadline_ms = self.deadline_ms,
            "request: a streamed response ended early: {}",
            cause.text()
        );
    }
}

impl Drop for StreamLog {
    fn drop(&mut self) {
        let lasted_ms = self.clock.mono_ns().ms_since(self.arrived);
        self.end_early(if lasted_ms < self.allowed_ms {
            EarlyEnd::CallerLeft
        } else {
            EarlyEnd::NotRead
        });
    }
}
