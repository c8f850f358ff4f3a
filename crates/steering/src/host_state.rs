//! What a host tells the others of itself.

use crate::MoveProgress;
use heatherhinge_types::{Digest, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether callers may be sent to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostStage {
    /// It has no routes or targets yet.
    Starting,
    /// It takes callers.
    Ready,
    /// It finishes what it has and stops.
    Leaving,
}

/// Orders the states of one host: a restart begins a new incarnation, and each beat is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeartbeatId {
    /// Wall time of the process's start in Unix milliseconds.
    pub incarnation: u64,
    /// Counts the beats of the incarnation.
    pub beat: u32,
}

/// Names a change of what a host knows of the fleet. A host that has taken everything in up to it
/// is told what came later; with lists of all states instead, each exchange of a fleet of 300 hosts
/// took 6 KB.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCursor {
    /// Wall time of the start of the process that counted the change, in Unix milliseconds.
    pub incarnation: u64,
    /// Number of the change.
    pub change: u64,
}

/// Names a state whose content a host has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Names the host and its incarnation.
    pub key: u32,
    /// Revision of the content.
    pub revision: u32,
}

/// What an asking host has already, so that it is told the rest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipDigest {
    /// Everything up to a change of the asked host.
    Since(ChangeCursor),
    /// These states. A host that asks another one for the first time lists them, because the
    /// states of 120 hosts take 23 KB.
    States(Vec<KnownState>),
}

/// A beat of a host whose content has not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Names the host and its incarnation.
    pub key: u32,
    /// Newest beat.
    pub beat: u32,
    /// Revision of the content that the beat belongs to.
    pub revision: u32,
    /// Requests of callers in the last second.
    pub requests_per_s: u16,
}

/// Targets that one request has crashed, as one host has counted them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashTally {
    /// Digest of the request.
    pub digest: u64,
    /// Targets that crashed while they ran it.
    pub crashes: u32,
}

/// The state of a host. Only that host writes it; the others pass it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostState {
    /// Name of the host.
    pub host: Name,
    /// Which state this is.
    pub id: HeartbeatId,
    /// Counts changes of the fields below.
    pub revision: u32,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for other hosts.
    pub peer_addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Whether it takes callers.
    pub stage: HostStage,
    /// Whether it has been up long enough to know the other hosts.
    pub is_settled: bool,
    /// Requests of callers in the last second.
    pub requests_per_s: u32,
    /// Processor share in thousandths of a core; larger hosts take on more of the common duties.
    pub capacity_milli: u32,
    /// Bandwidth of the host's link in megabits a second.
    pub link_mbps: u32,
    /// Moves that it takes part in.
    pub moves: Vec<MoveProgress>,
    /// Crashes that it has counted lately.
    pub crashes: Vec<CrashTally>,
}

impl HostState {
    /// Returns the short name of the host's incarnation.
    #[must_use]
    pub fn key(&self) -> u32 {
        let incarnation = self.id.incarnation.to_le_bytes();
        Digest::of_parts(&[self.host.as_bytes(), &incarnation]).0 as u32
    }
}
