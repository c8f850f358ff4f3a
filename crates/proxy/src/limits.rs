//! Limits on what a caller or a target may do to a host.

use std::time::Duration;

/// Limits of the data path; `docs/design.md`, section 15.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Time for a request head to arrive, and for a body to go on, before it is refused.
    pub idle_ms: u64,
    /// Bytes of a body that are read before a target is chosen. A body up to this size can be sent
    /// again by a retry and is part of the digest as a whole.
    pub buffer_bytes: usize,
    /// Time to open a connection to a target, in milliseconds.
    pub connect_ms: u64,
    /// Idle connections that are kept for each target.
    pub idle_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1_024,
            idle_ms: 10_000,
            buffer_bytes: 64 * 1_024,
            connect_ms: 250,
            idle_connections: 8,
        }
    }
}

impl Limits {
    /// Returns the idle time as a duration.
    #[must_use]
    pub const fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}
