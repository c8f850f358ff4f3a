//! What the parts of a host tell its conductor.

use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, Quarantine};
use heatherhinge_controllers::{
    BundleEvent, CrashReport, DrainEvent, ExchangeTicket, MoveEvent, OwnershipEvent,
    QuarantineEvent, WarmupEvent,
};
use heatherhinge_peer::{CrashReportResponse, PeerCrashReport};
use heatherhinge_platform::Listing;
use tokio::sync::{mpsc, oneshot};

/// One event for the conductor.
#[derive(Debug)]
pub(crate) enum HostEvent {
    /// The platform's list was read.
    Listed(Listing),
    /// A target said on an answer that it is leaving.
    TargetLeaving,
    /// For the warmup controller.
    Warmup(WarmupEvent),
    /// For the quarantine controller.
    Quarantine(QuarantineEvent),
    /// A request of this host broke at a target; it goes on when `done` is answered.
    Crashed {
        report: CrashReport,
        done: oneshot::Sender<()>,
    },
    /// A peer reports a crash to this host as the owner.
    PeerCrashed {
        report: PeerCrashReport,
        answer: oneshot::Sender<CrashReportResponse>,
    },
    /// A peer holds back requests; it is told when this host does so too.
    ApplyQuarantine {
        quarantine: Quarantine,
        done: oneshot::Sender<()>,
    },
    /// A peer asks for an exchange of records.
    ExchangeAsked {
        request: ExchangeRequest,
        answer: oneshot::Sender<ExchangeResponse>,
    },
    /// A peer answered an exchange.
    Exchanged {
        ticket: ExchangeTicket,
        answer: ExchangeResponse,
    },
    /// For the bundle controller.
    Bundle(BundleEvent),
    /// For the ownership controller.
    Ownership(OwnershipEvent),
    /// For the move controller.
    Moves(MoveEvent),
    /// For the drain controller.
    Drain(DrainEvent),
}

/// Sends events to the conductor. The queue has no bound, because what is sent is bounded: by the
/// requests in flight, the peers and the timers.
#[derive(Clone, Debug)]
pub(crate) struct EventSender(mpsc::UnboundedSender<HostEvent>);

/// Receives events.
pub(crate) type EventReceiver = mpsc::UnboundedReceiver<HostEvent>;

impl EventSender {
    /// Makes a queue of events.
    pub(crate) fn new() -> (Self, EventReceiver) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Sends an event. Once the host has stopped there is nobody to tell.
    pub(crate) fn send(&self, event: HostEvent) {
        self.0.send(event).ok();
    }

    /// Sends an event and waits for its answer; `None` if the host stops meanwhile.
    pub(crate) async fn ask<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> HostEvent,
    ) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        self.send(event(answer));
        answered.await.ok()
    }
}
