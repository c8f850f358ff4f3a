//! What a host tells the others of itself.

use crate::MoveState;
use heatherhinge_types::Name;
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
pub struct BeatId {
    /// Wall time of the process's start in Unix milliseconds.
    pub incarnation: u64,
    /// Counts the beats of the incarnation.
    pub beat: u64,
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
    pub id: BeatId,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for other hosts.
    pub peer_addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Whether it takes callers.
    pub stage: HostStage,
    /// Requests of callers in the last second.
    pub requests_per_s: u32,
    /// Version of the store up to which it knows the orders.
    pub orders_version: u64,
    /// Moves that it takes part in.
    pub moves: Vec<MoveState>,
    /// Crashes that it has counted lately.
    pub crashes: Vec<CrashTally>,
}
