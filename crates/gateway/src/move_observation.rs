//! Counts the outcome of a request that was sent during a version move.

use heatherhinge_orders::Route;
use heatherhinge_proxy::Clock;
use heatherhinge_steering::{
    AttemptOutcome, MoveSample, MoveTracker, Side, TargetLoad, USUAL_SLOWNESS_PERCENT,
};
use heatherhinge_types::MonoNs;
use std::sync::Arc;

/// A request that was sent and has no outcome yet. On drop it counts as unanswered, because the
/// attempts that are given up or overtaken by a hedged request are the slowest ones.
#[derive(Debug)]
pub(crate) struct MoveObservation {
    /// `None` once the outcome is counted.
    tracker: Option<Arc<MoveTracker>>,
    route: Arc<Route>,
    side: Side,
    load: TargetLoad,
    started: MonoNs,
    clock: Clock,
}

impl MoveObservation {
    /// Begins with a request that is about to be sent; `tracker` is `None` without a move.
    pub(crate) fn begin(
        tracker: Option<Arc<MoveTracker>>,
        route: Arc<Route>,
        side: Side,
        load: TargetLoad,
        clock: Clock,
    ) -> Self {
        Self {
            tracker,
            route,
            side,
            load,
            started: clock.mono_ns(),
            clock,
        }
    }

    /// Counts the outcome, unless the target did not run the request.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        let sample = match outcome {
            AttemptOutcome::Answered => Some(MoveSample::Good(self.took_us())),
            AttemptOutcome::Failed | AttemptOutcome::Unconfirmed | AttemptOutcome::Broke => {
                Some(MoveSample::Bad)
            }
            AttemptOutcome::NoTarget | AttemptOutcome::NeverSent | AttemptOutcome::NotRun => None,
        };
        if let Some((tracker, sample)) = self.tracker.take().zip(sample) {
            self.count(&tracker, sample);
        }
    }

    fn count(&self, tracker: &MoveTracker, sample: MoveSample) {
        let objective_us = self.route.objective_ms.map(|ms| ms * 1_000);
        tracker.count(&self.route.name, self.side, sample, objective_us);
    }

    /// Returns the time since the request was sent, adjusted to a target of usual speed.
    fn took_us(&self) -> u64 {
        let took_us = self.clock.mono_ns().ns_since(self.started) / 1_000;
        took_us * u64::from(USUAL_SLOWNESS_PERCENT) / u64::from(self.load.slowness_percent.max(1))
    }
}

impl Drop for MoveObservation {
    fn drop(&mut self) {
        if let Some(tracker) = self.tracker.take() {
            self.count(&tracker, MoveSample::Unanswered(self.took_us()));
        }
    }
}
