//! Registration of a target.

use heatherhinge_types::Name;
use std::net::SocketAddr;

/// Whether a registered target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// The target accepts new requests.
    Ready,
    /// The target finishes its in-flight requests and stops.
    Draining,
}

/// The registration of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id of the target's incarnation, which its responses carry.
    pub id: Name,
    /// Service that the target belongs to.
    pub service: Name,
    /// Address that the target listens on.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Version of its software.
    pub version: Name,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub phase: TargetPhase,
    /// Time that the target stays cold after the entry was written, in milliseconds; 0 if warm.
    pub cold_ms: u64,
    /// Wall time of the target's start in Unix milliseconds; 0 if unknown.
    pub start_wall_ms: u64,
}
