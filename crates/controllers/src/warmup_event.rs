//! Events and effects of the warmup controller.

use crate::{ListedTarget, ResponseKind};
use heatherhinge_blackboard::{WarmTarget, Warmth};
use heatherhinge_records::Record;
use heatherhinge_types::{Name, StartId};
use std::net::SocketAddr;

/// A report by a host that a target is cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdReport {
    /// The target.
    pub target: Name,
    /// The run that ended or refused a connection, if it was known.
    pub lost_run: Option<StartId>,
    /// The new run, if a response reported one.
    pub new_run: Option<StartId>,
}

/// Events of the warmup controller.
#[derive(Clone, Debug)]
pub enum WarmupEvent {
    /// The platform's list was read.
    Listed(Vec<ListedTarget>),
    /// A target responded. The data path may omit responses for which [`may_change_warmth`] is
    /// false.
    Answer {
        /// The target.
        target: Name,
        /// Result of the request.
        kind: ResponseKind,
        /// The run and the uptime in milliseconds that the response reported, if any.
        report: Option<(StartId, u64)>,
        /// Time from sending the request to the response, in nanoseconds.
        latency_ns: u64,
    },
    /// A target refused or reset a connection.
    ConnectionLost {
        /// The target.
        target: Name,
        /// The last known run of the target when the request was sent.
        run: Option<StartId>,
    },
    /// A peer reported to this host, as the owner, that a target is cold.
    Reported(ColdReport),
    /// Time passed or another entry changed. Must be sent at least every 250 ms, so that the end of
    /// a lease is detected within its margin of 500 ms.
    Tick,
}

/// Actions that the daemon carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum WarmupEffect {
    /// Replace the warm announcements in this host's record.
    AnnounceWarm(Vec<WarmTarget>),
    /// Send a report to the owner of the target's partition.
    NotifyOwner {
        /// Name of the owner.
        owner: Name,
        /// Address of its peer protocol.
        peer_addr: SocketAddr,
        /// The report to send.
        report: ColdReport,
    },
    /// Store a decision record.
    Record(Box<Record>),
}

/// Returns whether a response can change the warmth of a target.
///
/// The data path uses it to omit the responses of warm targets whose run has not changed.
#[must_use]
pub fn may_change_warmth(warmth: Warmth, run: Option<StartId>) -> bool {
    match warmth {
        Warmth::Warm { start_id } => run.is_some_and(|run| run != start_id),
        Warmth::Owned { .. } | Warmth::NotOwned => true,
    }
}
