//! What a target says of itself.

use heatherhinge_types::Name;
use std::net::SocketAddr;

/// Whether a registered target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// Takes new work.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
}

/// The registration of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id of the target's incarnation, which it states on its answers.
    pub id: Name,
    /// Service that it serves.
    pub service: Name,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Version of its software.
    pub version: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: TargetPhase,
    /// How much longer it stays cold, in milliseconds, when the entry was written.
    pub cold_ms: u64,
    /// Wall time of its start in Unix milliseconds; 0 if it is not stated.
    pub start_wall_ms: u64,
}
