//! Events and effects of the membership controller.

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

/// Names one exchange that this host asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeTicket {
    /// The peer that was asked.
    pub peer_addr: SocketAddr,
    /// When it was asked. What an answer says is taken to be as old as this, so that an answer
    /// that was long on its way does not pass for new.
    pub asked_ns: MonoNs,
    /// Whether the exchange only brings the peer what it was seen to lack.
    pub is_push: bool,
}

/// What the membership controller is told.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// The content of this host's own record changed. Its version and age are set here.
    OwnChanged(Box<HostRecord>),
    /// A peer asks for an exchange; [`MembershipEffect::Answer`] is its answer.
    Asked(ExchangeRequest),
    /// A peer answered an exchange.
    Answered {
        /// The ticket that the effect carried.
        ticket: ExchangeTicket,
        /// The answer.
        answer: ExchangeResponse,
    },
    /// The platform's list was read.
    Listed(Vec<ListedHost>),
    /// Time passed; due at least every 500 ms.
    Tick,
}

/// What the daemon has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Ask a peer for an exchange and report the answer with the ticket. A failure need not be
    /// reported.
    Exchange {
        /// Names the exchange.
        ticket: ExchangeTicket,
        /// The message.
        request: ExchangeRequest,
    },
    /// Answer the exchange that the event asked for. It is absent while this host has no record of
    /// its own; the peer is then told that the host cannot be reached.
    Answer(ExchangeResponse),
}
