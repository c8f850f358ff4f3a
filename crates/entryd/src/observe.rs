//! Converts the data path's observations of targets into events.

use crate::event::{EventSender, HostEvent};
use heatherhinge_controllers::{ResponseKind, WarmupEvent};
use heatherhinge_proxy::{Observation, ObservationKind, Observer};

/// Sends observations to the control loop.
#[derive(Debug)]
pub(crate) struct EventObserver(pub(crate) EventSender);

impl Observer for EventObserver {
    fn observe(&self, observation: Observation) {
        let target = &observation.target;
        let name = target.id.clone();
        let report = target.start_id().map(|run| (run, target.uptime_ms()));
        let warmup_event = |kind, latency_ns| WarmupEvent::Answer {
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
            ObservationKind::ColdResponse { latency_ns } => {
                warmup_event(ResponseKind::Good, latency_ns)
            }
            ObservationKind::ColdFailure | ObservationKind::Restarted => {
                warmup_event(ResponseKind::Error, 0)
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
