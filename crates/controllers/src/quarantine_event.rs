//! What the quarantine controller is told and what it asks for.

use heatherhinge_blackboard::Quarantine;
use heatherhinge_records::Record;
use heatherhinge_types::{Digest, Name, StartId, WallMs};
use std::net::SocketAddr;

/// Names a report among those of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashReportId(pub u64);

/// A connection broke after a request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Digest of the request.
    pub digest: Digest,
    /// The target.
    pub target: Name,
    /// The run that the target was in, if it was known.
    pub start_id: Option<StartId>,
}

/// What the owner of a digest's partition decided on a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashReportOutcome {
    /// The crash is counted; the request is not held back.
    Counted,
    /// Requests with the digest are held back by every host that could be reached.
    Quarantined {
        /// End of the quarantine.
        until_wall_ms: WallMs,
    },
    /// The host asked does not own the partition.
    NotOwner,
}

/// What the quarantine controller is told.
#[derive(Clone, Debug)]
pub enum QuarantineEvent {
    /// The data path of this host lost a connection after it had sent a request. The request must
    /// be neither answered nor retried before [`QuarantineEffect::Settled`] names the report.
    Crashed {
        /// Name of the report, new for each one.
        id: CrashReportId,
        /// The report.
        report: CrashReport,
    },
    /// A request succeeded whose digest is a suspect in the quarantine table.
    Succeeded {
        /// Digest of the request.
        digest: Digest,
    },
    /// A peer reports a crash to this host as the owner.
    PeerCrashed {
        /// The peer.
        from: Name,
        /// Name of the report on the peer.
        id: CrashReportId,
        /// The report.
        report: CrashReport,
    },
    /// A peer reports a success to this host as the owner.
    PeerSucceeded {
        /// Digest of the request.
        digest: Digest,
    },
    /// A peer holds back requests with a digest; the daemon confirms it to the peer after this
    /// step.
    PeerQuarantined(Quarantine),
    /// The owner answered a report of this host.
    OwnerAnswered {
        /// Name of the report.
        id: CrashReportId,
        /// What the owner decided.
        outcome: CrashReportOutcome,
    },
    /// The owner could not be reached, or did not answer within 2 s.
    OwnerUnreachable {
        /// Name of the report.
        id: CrashReportId,
    },
    /// A peer confirmed that it holds back requests with a digest.
    BroadcastConfirmed {
        /// Digest of the requests.
        digest: Digest,
        /// The peer.
        host: Name,
    },
    /// Time passed or peers' records changed.
    Tick,
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum QuarantineEffect {
    /// Report a crash to the owner and feed back its answer.
    ReportCrash {
        /// Name of the owner.
        owner: Name,
        /// Address of its peer protocol.
        peer_addr: SocketAddr,
        /// Name of the report.
        id: CrashReportId,
        /// The report.
        report: CrashReport,
    },
    /// Report a success to the owner; it needs no answer.
    ReportSuccess {
        /// Name of the owner.
        owner: Name,
        /// Address of its peer protocol.
        peer_addr: SocketAddr,
        /// Digest of the request.
        digest: Digest,
    },
    /// Send a quarantine to peers at once and feed back their confirmations.
    Broadcast {
        /// What is held back.
        quarantine: Quarantine,
        /// Names and addresses of the peers.
        peers: Vec<(Name, SocketAddr)>,
    },
    /// Answer the report of a peer.
    AnswerPeer {
        /// The peer.
        to: Name,
        /// Name of the report on the peer.
        id: CrashReportId,
        /// The answer.
        outcome: CrashReportOutcome,
    },
    /// The request of a report of this host may now be answered or retried.
    Settled {
        /// Name of the report.
        id: CrashReportId,
        /// What was decided. It is never [`CrashReportOutcome::NotOwner`].
        outcome: CrashReportOutcome,
    },
    /// Replace the quarantines in this host's record.
    Announce(Vec<Quarantine>),
    /// Keep a decision record.
    Record(Box<Record>),
}
