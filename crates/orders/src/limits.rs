//! Limits on the requests and connections of callers.

/// Size and time limits for the requests and connections of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request to arrive, in milliseconds.
    pub head_ms: u64,
    /// Longest time that a connection may stay idle between requests, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until the first route table is loaded.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}
