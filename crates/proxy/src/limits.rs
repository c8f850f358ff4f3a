//! Limits on sizes, times and connections of the data path.

use std::time::Duration;

/// Limits of the data path; `docs/design.md`, section 15.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Timeout in milliseconds for a request head and between two parts of a request body, after
    /// which the request is rejected. It also applies between two parts of a response body, and to
    /// idle connections to targets.
    pub idle_ms: u64,
    /// Bytes of a body that are read before a target is chosen. Only a body up to this size can be
    /// retried, and the digest covers all of it.
    pub buffer_bytes: usize,
    /// Timeout for connecting to a target, in milliseconds.
    pub connect_ms: u64,
    /// Most idle connections that are kept for each target.
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
    /// Returns the idle timeout as a duration.
    #[must_use]
    pub const fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}
