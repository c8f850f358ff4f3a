//! Turns what the data path sees of targets into events.

use crate::event::{EventSender, HostEvent};
use heatherhinge_controllers::{ResponseKind, WarmupEvent};
use heatherhinge_proxy::{Observation, ObservationKind, Observer};

/// Passes observations on to the conductor.
#[derive(Debug)]
pub(crate) struct EventObserver(pub(crate) EventSender);

impl Observer for EventObserver {
    fn observe(&self, observation: Observation) {
        let target = &observation.target;
        let name = target.id.clone();
        let report = target.start_id().map(|run| (run, target.uptime_ms()));
        let answer = |kind, latency_ns| WarmupEvent::Answer {
            target: name.clone(),
            kind,
            report,
            latency_ns,
        };
        let event = match observation.kind {
            ObservationKind::Leaving => {
                self.0.send(HostEvent::TargetLeaving);
                return;
            }
            ObservationKind::ColdAnswer { latency_ns } => answer(ResponseKind::Good, latency_ns),
            ObservationKind::ColdFailure | ObservationKind::Restarted => {
                answer(ResponseKind::Error, 0)
            }
            ObservationKind::Unreachable | ObservationKind::Broke { .. } => {
                WarmupEvent::ConnectionLost {
                    target: name.clone(),
                    run: target.start_id(),
                }
            }
        };
        self.0.send(HostEvent::Warmup(event));
    }
}
