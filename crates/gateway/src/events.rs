//! Defines the events that the control loop handles, and their queue.

use crate::fleet_service::SyncResponse;
use crate::{GatewaySettings, StoreError, StoredTable, WriteOutcome};
use heatherhinge_steering::{HostState, MoveReport, PastMove, ReportedState, TableUpdate};
use heatherhinge_types::{MonoNs, Name, StoreVersion};
use std::fmt;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Capacity of the event queue. Events come only from exchanges between hosts, calls to the store
/// and rare faults, so a full queue means that the control loop has stopped.
const QUEUE_LENGTH: usize = 1_024;

/// Where an update of a stored table came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// A call of this host to the store.
    Store,
    /// An exchange with the host at this address.
    Host(SocketAddr),
}

impl fmt::Display for UpdateSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Host(addr) => write!(f, "host {addr}"),
        }
    }
}

/// An event for the control loop.
#[derive(Debug)]
pub(crate) enum GatewayEvent {
    /// A table was read, or the call failed.
    TableRead {
        table: StoredTable,
        result: Result<TableUpdate, StoreError>,
    },
    /// An exchange that this host started has ended.
    Synced {
        /// Address of the other host.
        addr: SocketAddr,
        /// When the exchange began.
        asked: MonoNs,
        /// Whether the request asked for orders.
        wanted_orders: bool,
        /// The response of the other host; `None` after a timeout or a failure.
        response: Option<Box<SyncResponse>>,
    },
    /// Another host started an exchange.
    SyncReceived {
        state: Box<HostState>,
        /// Version of the newest change of the orders that the other host has.
        orders_told: StoreVersion,
    },
    /// The registered hosts were read.
    HostsRead(Vec<SocketAddr>),
    /// Registering this host has ended.
    Registered(Result<(), StoreError>),
    /// The report of a move was read.
    ReportRead {
        service: Name,
        result: Result<Option<MoveReport>, StoreError>,
    },
    /// Writing the report of a move has ended.
    ReportWritten {
        service: Name,
        to: Name,
        state: ReportedState,
        result: Result<WriteOutcome, StoreError>,
    },
    /// The verdicts on versions were read.
    VerdictsRead(Result<Vec<PastMove>, StoreError>),
    /// Storing the verdicts on the versions of a service has ended.
    VerdictsWritten {
        service: Name,
        result: Result<(), StoreError>,
    },
    /// A target crashed while it ran a request.
    Crashed {
        /// Digest of the request.
        digest: u64,
        /// Key of the start of the target.
        target_key: u32,
    },
    /// The process was asked to stop.
    Stop,
    /// The settings have changed.
    Reload(Box<GatewaySettings>),
}

/// Sends events to the control loop.
#[derive(Clone, Debug)]
pub(crate) struct EventSender(mpsc::Sender<GatewayEvent>);

impl EventSender {
    pub(crate) fn new() -> (Self, mpsc::Receiver<GatewayEvent>) {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        (Self(sender), receiver)
    }

    /// Sends an event without waiting. If the queue is full or closed, drops it and logs that.
    pub(crate) fn send(&self, event: GatewayEvent) {
        if let Err(error) = self.0.try_send(event) {
            tracing::warn!("gateway: dropped an event: {error}");
        }
    }
}
