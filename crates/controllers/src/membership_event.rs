//! Defines the events and effects of the membership controller.

use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, HostRecord};
use heatherhinge_types::{MonoNs, Name};
use std::net::SocketAddr;

/// One entry host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub host: Name,
    /// Address of its peer protocol.
    pub peer_addr: SocketAddr,
}

/// Identifies one exchange that this host started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeTicket {
    /// The peer that the request went to.
    pub peer_addr: SocketAddr,
    /// When the request was sent. The content of a response is treated as this old, so that a
    /// delayed response does not count as new.
    pub requested_ns: MonoNs,
    /// Whether the exchange only sends the peer records that it lacks.
    pub is_push: bool,
}

/// Input of the membership controller.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// The content of this host's own record changed. The controller sets its version and age.
    OwnRecordChanged(Box<HostRecord>),
    /// A peer sent an exchange request; [`MembershipEffect::Respond`] is the response.
    RequestReceived(ExchangeRequest),
    /// A peer responded to an exchange request.
    ResponseReceived {
        /// The ticket of the exchange.
        ticket: ExchangeTicket,
        /// The peer's digest and records.
        answer: ExchangeResponse,
    },
    /// The platform's list was read; these are the entry hosts in it.
    Listed(Vec<ListedHost>),
    /// Periodic tick, at least every 500 ms.
    Tick,
}

/// Work for the daemon to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Send a request to a peer and report the response with the ticket. Failures need not be
    /// reported.
    Exchange {
        /// Ticket to return with the response.
        ticket: ExchangeTicket,
        /// This host's digest, and the records that the peer lacks.
        request: ExchangeRequest,
    },
    /// Send the response to the request in the event. There is none while this host has no record
    /// of its own; the requester then gets an error that the host is unavailable.
    Respond(ExchangeResponse),
}
