//! Urgency of a request.

use serde::{Deserialize, Serialize};

/// Urgency after RFC 9218: 0 is served first, 7 last, and 3 is the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Urgency(u8);

impl Urgency {
    /// Urgency of a request that states none.
    pub const DEFAULT: Self = Self(3);
    /// The lowest urgency.
    pub const LOWEST: Self = Self(7);

    /// Makes an urgency; `None` above 7.
    #[must_use]
    pub fn new(level: u8) -> Option<Self> {
        (level <= Self::LOWEST.0).then_some(Self(level))
    }

    /// Reads the `u` parameter of a `Priority` header. As RFC 9218 asks, a value that cannot be
    /// read is ignored and the default stands.
    #[must_use]
    pub fn from_priority_header(value: &str) -> Self {
        value
            .split(',')
            .filter_map(|part| part.trim().strip_prefix("u="))
            .find_map(|level| level.trim().parse().ok().and_then(Self::new))
            .unwrap_or(Self::DEFAULT)
    }

    /// Returns the level, 0 to 7.
    #[must_use]
    pub const fn level(self) -> u8 {
        self.0
    }
}
