//! What the conductor is told.

use crate::fleet_service::SyncAnswer;
use crate::{GatewaySettings, StoreError, StoredTable, WriteOutcome};
use heatherhinge_steering::{HostState, MoveReport, ReportedState, TableUpdate};
use heatherhinge_types::Name;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Events that may wait for the conductor. Only exchanges between hosts and rare faults make
/// events, so a full queue means that the conductor has stopped.
const QUEUE_LENGTH: usize = 1_024;

/// An event for the conductor.
#[derive(Debug)]
pub(crate) enum GatewayEvent {
    /// A table was read, or the call failed.
    TableRead {
        table: StoredTable,
        result: Result<TableUpdate, StoreError>,
    },
    /// An exchange that this host began has ended.
    Synced {
        /// Address of the other host.
        addr: SocketAddr,
        /// Whether it could have brought orders.
        wanted_orders: bool,
        /// What the other host answered, if it did in time.
        answer: Option<Box<SyncAnswer>>,
    },
    /// Another host began an exchange.
    SyncReceived {
        state: Box<HostState>,
        /// Version of the newest change of the orders that it has.
        orders_told: u64,
    },
    /// The registered hosts were read.
    HostsRead(Vec<SocketAddr>),
    /// This host was registered.
    Registered(Result<(), StoreError>),
    /// The report of a move was read.
    ReportRead {
        service: Name,
        result: Result<Option<MoveReport>, StoreError>,
    },
    /// The report of a move was written, or not.
    ReportWritten {
        service: Name,
        to: Name,
        state: ReportedState,
        result: Result<WriteOutcome, StoreError>,
    },
    /// A request crashed a target.
    Crashed { digest: u64 },
    /// The process was told to stop.
    Stop,
    /// The settings have changed.
    Reload(Box<GatewaySettings>),
}

/// Sends events to the conductor.
#[derive(Clone, Debug)]
pub(crate) struct EventSender(mpsc::Sender<GatewayEvent>);

impl EventSender {
    pub(crate) fn new() -> (Self, mpsc::Receiver<GatewayEvent>) {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        (Self(sender), receiver)
    }

    /// Sends an event without waiting; it is dropped with a log line if the queue is full.
    pub(crate) fn send(&self, event: GatewayEvent) {
        if let Err(error) = self.0.try_send(event) {
            tracing::warn!("gateway: an event was dropped: {error}");
        }
    }
}
