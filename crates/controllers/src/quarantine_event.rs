//! Events and effects of the quarantine controller.

use heatherhinge_blackboard::Quarantine;
use heatherhinge_records::Record;
use heatherhinge_types::{Digest, Name, StartId, WallMs};
use std::net::SocketAddr;

/// Identifies a crash report among those of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashReportId(pub u64);

/// A report that a connection broke after a request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Digest of the request.
    pub digest: Digest,
    /// The target.
    pub target: Name,
    /// The run of the target, if it was known.
    pub start_id: Option<StartId>,
}

/// Decision of the owner of a digest's partition on a crash report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashReportOutcome {
    /// The crash is counted; the request is not in quarantine.
    Counted,
    /// Requests with the digest are in quarantine on every host that could be reached.
    Quarantined {
        /// End of the quarantine.
        until_wall_ms: WallMs,
    },
    /// The host does not own the partition.
    NotOwner,
}

/// Events of the quarantine controller.
#[derive(Clone, Debug)]
pub enum QuarantineEvent {
    /// The data path of this host lost a connection after it sent a request. The request must get
    /// no response and no retry before [`QuarantineEffect::Settled`] with the same id.
    Crashed {
        /// Id of the report, unique on this host.
        id: CrashReportId,
        /// The report.
        report: CrashReport,
    },
    /// A request succeeded whose digest is a suspect in the quarantine table.
    Succeeded {
        /// Digest of the request.
        digest: Digest,
    },
    /// A peer reported a crash to this host as the owner.
    PeerCrashed {
        /// The peer.
        from: Name,
        /// Id of the report on the peer.
        id: CrashReportId,
        /// The report.
        report: CrashReport,
    },
    /// A peer reported a success to this host as the owner.
    PeerSucceeded {
        /// Digest of the request.
        digest: Digest,
    },
    /// A peer quarantined a digest. The daemon sends the confirmation to the peer after this step.
    PeerQuarantined(Quarantine),
    /// The owner responded to a report of this host.
    OwnerResponded {
        /// Id of the report.
        id: CrashReportId,
        /// Decision of the owner.
        outcome: CrashReportOutcome,
    },
    /// The owner could not be reached, or did not respond within 2 s.
    OwnerUnreachable {
        /// Id of the report.
        id: CrashReportId,
    },
    /// A peer confirmed the quarantine of a digest.
    BroadcastConfirmed {
        /// The quarantined digest.
        digest: Digest,
        /// The peer.
        host: Name,
    },
    /// Time passed, or peers' records changed.
    Tick,
}

/// Actions that the daemon carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum QuarantineEffect {
    /// Report a crash to the owner and send its response back as
    /// [`QuarantineEvent::OwnerResponded`].
    ReportCrash {
        /// Name of the owner.
        owner: Name,
        /// Address of its peer protocol.
        peer_addr: SocketAddr,
        /// Id of the report.
        id: CrashReportId,
        /// The report.
        report: CrashReport,
    },
    /// Report a success to the owner; no response is needed.
    ReportSuccess {
        /// Name of the owner.
        owner: Name,
        /// Address of its peer protocol.
        peer_addr: SocketAddr,
        /// Digest of the request.
        digest: Digest,
    },
    /// Send a quarantine to peers at once, and their confirmations back as
    /// [`QuarantineEvent::BroadcastConfirmed`].
    Broadcast {
        /// The quarantine.
        quarantine: Quarantine,
        /// Names and addresses of the peers.
        peers: Vec<(Name, SocketAddr)>,
    },
    /// Respond to the report of a peer.
    RespondToPeer {
        /// The peer.
        to: Name,
        /// Id of the report on the peer.
        id: CrashReportId,
        /// The decision.
        outcome: CrashReportOutcome,
    },
    /// The request of a report of this host may now get a response or a retry.
    Settled {
        /// Id of the report.
        id: CrashReportId,
        /// The decision; never [`CrashReportOutcome::NotOwner`].
        outcome: CrashReportOutcome,
    },
    /// Replace the quarantines in this host's record.
    Announce(Vec<Quarantine>),
    /// Store a decision record.
    Record(Box<Record>),
}
