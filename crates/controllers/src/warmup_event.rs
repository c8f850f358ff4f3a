//! What the warmup controller is told and what it asks for.

use crate::{AnswerKind, ListedTarget};
use heatherhinge_blackboard::{WarmTarget, Warmth};
use heatherhinge_records::Record;
use heatherhinge_types::{Name, StartId};
use std::net::SocketAddr;

/// A host saw that a target is cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdReport {
    /// The target.
    pub target: Name,
    /// The run that ended or that refused a connection, if it was known.
    pub lost_run: Option<StartId>,
    /// The run that was seen instead, if an answer named one.
    pub new_run: Option<StartId>,
}

/// What the warmup controller is told.
#[derive(Clone, Debug)]
pub enum WarmupEvent {
    /// The platform's list was read.
    Listed(Vec<ListedTarget>),
    /// A target answered. The data path may leave out answers for which [`may_change_warmth`] is false.
    Answer {
        /// The target.
        target: Name,
        /// How the request went.
        kind: AnswerKind,
        /// The run and the uptime in milliseconds that the answer reported, if any.
        report: Option<(StartId, u64)>,
        /// Time from sending to the answer in nanoseconds.
        latency_ns: u64,
    },
    /// A target refused or reset a connection.
    ConnectionLost {
        /// The target.
        target: Name,
        /// The run that the target was known to be in when the request was sent.
        run: Option<StartId>,
    },
    /// A peer told this host, as the owner, that a target is cold.
    Reported(ColdReport),
    /// Time passed or another entry changed. Must come at least every 250 ms, so that a lease
    /// that ends is noticed within its margin of 500 ms.
    Tick,
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum WarmupEffect {
    /// Replace the warm announcements in this host's record.
    AnnounceWarm(Vec<WarmTarget>),
    /// Tell the owner of the target's partition.
    NotifyOwner {
        /// Name of the owner.
        owner: Name,
        /// Address of its peer protocol.
        peer_addr: SocketAddr,
        /// What to tell.
        report: ColdReport,
    },
    /// Keep a decision record.
    Record(Box<Record>),
}

/// Returns whether an answer can change the warmth of a target.
///
/// The data path uses it to leave out the answers of warm targets whose run has not changed.
#[must_use]
pub fn may_change_warmth(warmth: Warmth, run: Option<StartId>) -> bool {
    match warmth {
        Warmth::Warm { start_id } => run.is_some_and(|run| run != start_id),
        Warmth::Owned { .. } | Warmth::NotOwned => true,
    }
}
