//! Routes and their destinations.

use heatherhinge_types::Name;

/// How the requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent, with a small response.
    Idempotent,
    /// Idempotent, with a large response.
    Bulk,
    /// May run at most once per attempt of the caller.
    AtMostOnce,
}

impl RequestKind {
    /// Returns whether the request may run on a second target.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::AtMostOnce)
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Name of the service.
    pub service: Name,
    /// Share of the route's requests, relative to the other destinations.
    pub weight: u32,
}

/// A path prefix of a caller-visible host name and the handling of its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Name,
    /// How requests may be retried.
    pub kind: RequestKind,
    /// Request timeout in milliseconds; if `None`, only the caller's deadline applies.
    pub timeout_ms: Option<u64>,
    /// Time in which a response should be sent, in milliseconds.
    pub objective_ms: Option<u64>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Most targets that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Where requests go; never empty.
    pub destinations: Vec<Destination>,
}
