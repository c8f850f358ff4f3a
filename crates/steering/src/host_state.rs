//! State of a host and the messages that hosts exchange about it.

use crate::{MoveProgress, PastMove};
use heatherhinge_types::{Digest, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a host accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostStage {
    /// The host has no routes or targets yet.
    Starting,
    /// The host accepts callers.
    Ready,
    /// The host finishes its in-flight requests and stops.
    Leaving,
}

/// Orders the states of one host: a restart starts a new incarnation, and each heartbeat is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeartbeatId {
    /// Wall time of the process start in Unix milliseconds.
    pub incarnation: u64,
    /// Number of the heartbeat within the incarnation.
    pub beat: u32,
}

/// Identifies a change of the membership of one host. A peer that has received all changes up to it
/// is sent only the later ones; with lists of all states instead, each exchange of a fleet of 300
/// hosts took 6 KB.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCursor {
    /// Incarnation of the host that numbered the change, in Unix milliseconds.
    pub incarnation: u64,
    /// Number of the change.
    pub change: u64,
}

/// Identifies a state whose content a host has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Key of the host and its incarnation, see [`HostState::key`].
    pub key: u32,
    /// Revision of the content.
    pub revision: u32,
}

/// What the requesting host already has, so that the response carries only the rest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipDigest {
    /// Everything up to a change of the responding host.
    Since(ChangeCursor),
    /// These states. They are listed in the first exchange with a host, because the states of 120
    /// hosts take 23 KB.
    States(Vec<KnownState>),
}

/// Heartbeat of a host whose content has not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Key of the host and its incarnation, see [`HostState::key`].
    pub key: u32,
    /// Number of the newest heartbeat.
    pub beat: u32,
    /// Revision of the content that the heartbeat belongs to.
    pub revision: u32,
    /// Requests of callers in the last second.
    pub requests_per_s: u16,
    /// Time since the sender heard it, in milliseconds.
    pub age_ms: u16,
}

/// The state of a host as another host forwards it. Without its age, the state of a dead host would
/// look fresh to each process that has just started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedState {
    /// The state.
    pub state: HostState,
    /// Time since the sender heard its newest heartbeat, in milliseconds.
    pub age_ms: u16,
}

/// A target that crashed while it ran a request, as seen by one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashTally {
    /// Digest of the request.
    pub digest: u64,
    /// Identifies the target and its start, so that hosts which saw the same crash count it once.
    pub target_key: u32,
    /// Whether the crash is recent enough to quarantine the request.
    pub is_recent: bool,
}

/// The state of a host. Only that host changes it; the others forward it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostState {
    /// Name of the host.
    pub host: Name,
    /// Incarnation and heartbeat of this state.
    pub id: HeartbeatId,
    /// Number of changes of the fields below.
    pub revision: u32,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for other hosts.
    pub peer_addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Whether the host accepts callers.
    pub stage: HostStage,
    /// Whether the host knows the other hosts.
    pub is_settled: bool,
    /// Requests of callers in the last second.
    pub requests_per_s: u32,
    /// Processor share in thousandths of a core; larger hosts get more of the shared duties.
    pub capacity_milli: u32,
    /// Bandwidth of the host's link in megabits per second.
    pub link_mbps: u32,
    /// Progress of the moves in force at this host.
    pub moves: Vec<MoveProgress>,
    /// Moves whose orders are no longer in force.
    pub past_moves: Vec<PastMove>,
    /// Crashes that this host has counted.
    pub crashes: Vec<CrashTally>,
    /// Digests among the counts of all hosts that a target has recently answered for this host.
    pub served: Vec<u64>,
}

impl HostState {
    /// Returns a 32-bit hash of the name and incarnation, which identifies the host in exchanges.
    #[must_use]
    pub fn key(&self) -> u32 {
        let incarnation = self.id.incarnation.to_le_bytes();
        Digest::of_parts(&[self.host.as_bytes(), &incarnation]).0 as u32
    }
}
