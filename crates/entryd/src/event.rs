//! Defines the events that the control loop handles, and the queue that carries them.

use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, Quarantine};
use heatherhinge_controllers::{
    BundleEvent, CrashReport, DrainEvent, ExchangeTicket, MoveEvent, OwnershipEvent,
    QuarantineEvent, WarmupEvent,
};
use heatherhinge_peer::{CrashReportResponse, PeerCrashReport};
use heatherhinge_platform::Listing;
use tokio::sync::{mpsc, oneshot};

/// One event for the control loop.
#[derive(Debug)]
pub(crate) enum HostEvent {
    /// The platform's list was read.
    Listed(Listing),
    /// A target announced in a response that it is leaving.
    TargetLeaving,
    /// For the warmup controller.
    Warmup(WarmupEvent),
    /// For the quarantine controller.
    Quarantine(QuarantineEvent),
    /// A target's connection broke during a request of this host, which continues when `done` is
    /// sent.
    Crashed {
        report: CrashReport,
        done: oneshot::Sender<()>,
    },
    /// A peer reported a crash to this host as the owner.
    PeerCrashed {
        report: PeerCrashReport,
        respond_to: oneshot::Sender<CrashReportResponse>,
    },
    /// A peer quarantined a request; `done` is sent when this host has applied the quarantine.
    ApplyQuarantine {
        quarantine: Quarantine,
        done: oneshot::Sender<()>,
    },
    /// A peer requested an exchange of records.
    ExchangeRequested {
        request: ExchangeRequest,
        respond_to: oneshot::Sender<ExchangeResponse>,
    },
    /// A peer responded to an exchange.
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

/// Sends events to the control loop. The queue is unbounded because its senders are bounded: the
/// requests in flight, the peers and the timers.
#[derive(Clone, Debug)]
pub(crate) struct EventSender(mpsc::UnboundedSender<HostEvent>);

/// Receives events.
pub(crate) type EventReceiver = mpsc::UnboundedReceiver<HostEvent>;

impl EventSender {
    /// Creates an event queue.
    pub(crate) fn new() -> (Self, EventReceiver) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Sends an event. It is discarded once the host has stopped.
    pub(crate) fn send(&self, event: HostEvent) {
        self.0.send(event).ok();
    }

    /// Sends an event and waits for the response; `None` if the host stops first.
    pub(crate) async fn send_and_wait<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> HostEvent,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(event(sender));
        receiver.await.ok()
    }
}
