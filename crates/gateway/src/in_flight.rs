//! Counts the in-flight requests of a target.

use heatherhinge_steering::{MoveTracker, Side, Target};
use std::sync::Arc;

/// Guard that counts a request as in flight at a target, and in a move, until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    target: Arc<Target>,
    tracker: Option<Arc<MoveTracker>>,
    side: Side,
}

impl InFlight {
    pub(crate) fn begin(
        target: Arc<Target>,
        tracker: Option<Arc<MoveTracker>>,
        side: Side,
        is_first_send: bool,
    ) -> Self {
        target.cell.begin();
        if let Some(tracker) = &tracker {
            tracker.begin(side, is_first_send);
        }
        Self {
            target,
            tracker,
            side,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.target.cell.end();
        if let Some(tracker) = &self.tracker {
            tracker.end(self.side);
        }
    }
}
