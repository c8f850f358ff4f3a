//! Inputs of a command besides its arguments: time, randomness, default hosts and timeouts.

use heatherhinge_types::WallMs;
use std::net::SocketAddr;

/// Time limits of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Timeout for opening a connection to an entry host, in milliseconds.
    pub connect_ms: u64,
    /// Timeout of one call, connecting included, in milliseconds.
    pub call_ms: u64,
    /// Longest wait for hosts to bring a bundle into force, in milliseconds.
    pub in_force_ms: u64,
    /// Time between two polls of the hosts, in milliseconds.
    pub poll_interval_ms: u64,
}

impl Limits {
    /// Limits of the binary. A bundle is in force everywhere within 4 s of its acceptance
    /// (`docs/design.md`, section 2), and a store write takes up to 2 s before it counts as lost.
    pub const DEFAULT: Self = Self {
        connect_ms: 1_000,
        call_ms: 3_000,
        in_force_ms: 4_000,
        poll_interval_ms: 200,
    };
}

/// Inputs of a command besides its arguments.
#[derive(Clone, Debug)]
pub struct Context {
    /// Wall time at the start.
    pub now_wall_ms: WallMs,
    /// 32 random bytes for a new key.
    pub secret: [u8; 32],
    /// Entry hosts used if the arguments name none.
    pub default_entries: Vec<SocketAddr>,
    /// Time limits.
    pub limits: Limits,
}
