//! Defines the events and effects of the bundle controller.

use crate::ExchangeTicket;
use heatherhinge_blackboard::ExchangeResponse;
use heatherhinge_bundle::{Bundle, BundleVersion};
use heatherhinge_types::{Digest, MonoNs, Name};
use std::net::SocketAddr;
use std::sync::Arc;

/// The store's row of the accepted bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CurrentBundleRow {
    /// Version of the accepted bundle.
    pub version: BundleVersion,
    /// Digest of its text.
    pub digest: Digest,
}

/// State of a peer's bundle, from a response that came directly from the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerBundleStatus {
    /// Address of the peer.
    pub peer_addr: SocketAddr,
    /// The bundle in force at the peer.
    pub version: BundleVersion,
    /// Age in milliseconds of the peer's last contact with the store, directly or through other
    /// hosts.
    pub store_age_ms: u64,
    /// When the request was sent to the peer.
    pub requested_ns: MonoNs,
}

impl PeerBundleStatus {
    /// Reads the status from the response to an exchange; `None` if it carries no record. The
    /// daemon passes it to the bundle controller before it moves the response into the membership
    /// controller.
    #[must_use]
    pub fn from_response(ticket: &ExchangeTicket, answer: &ExchangeResponse) -> Option<Self> {
        let record = answer.records.first()?;
        Some(Self {
            peer_addr: ticket.peer_addr,
            version: record.bundle_version,
            store_age_ms: record.store_age_ms,
            requested_ns: ticket.requested_ns,
        })
    }
}

/// Where the body of a bundle is fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BundleSource {
    /// The store's row of that version.
    Store,
    /// The live peer at this address of the peer protocol.
    Peer(SocketAddr),
}

/// Input of the bundle controller.
#[derive(Clone, Debug)]
pub enum BundleEvent {
    /// The store's row of the accepted bundle was read; `None` if no bundle was ever accepted.
    StoreRead {
        /// When the read was started.
        requested_ns: MonoNs,
        /// The row as read.
        row: Option<CurrentBundleRow>,
    },
    /// The store could not be read.
    StoreUnreachable,
    /// A body arrived, was verified with a trusted key, and parsed.
    Fetched {
        /// The parsed bundle.
        bundle: Arc<Bundle>,
        /// Digest of its text.
        digest: Digest,
    },
    /// The body could not be fetched, or was rejected.
    FetchFailed,
    /// A peer responded to an exchange request.
    PeerResponded(PeerBundleStatus),
    /// The platform's list was read; these are the entry hosts in it.
    Listed(Vec<Name>),
    /// Periodic tick, at least every 500 ms.
    Tick,
}

/// Work for the daemon to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BundleEffect {
    /// Read the store's row of the accepted bundle and report the outcome.
    ReadRow {
        /// Time to report as the start of the read.
        requested_ns: MonoNs,
    },
    /// Fetch, verify and parse the body of a bundle and report the outcome.
    Fetch {
        /// Lowest version that is of use; a peer may return a higher one.
        version: BundleVersion,
        /// Where to fetch it from.
        source: BundleSource,
    },
    /// Record that a bundle came into force on this host.
    InForce {
        /// Version of the bundle.
        version: BundleVersion,
        /// Digest of its text.
        digest: Digest,
    },
}
