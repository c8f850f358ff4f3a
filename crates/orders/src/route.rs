//! One route.

use heatherhinge_types::Name;

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent, with a small answer.
    Idempotent,
    /// Idempotent, with a large answer.
    Bulk,
    /// May run at most once for each attempt of the caller.
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

/// A path prefix of a caller-visible host name and what happens to its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a request is kept waiting for its answer, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: Option<u64>,
    /// Rank, 0 the most urgent.
    pub priority: u32,
    /// Most targets that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Where requests go; never empty.
    pub destinations: Vec<Destination>,
}
