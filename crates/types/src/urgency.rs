//! Defines the urgency of a request.

use serde::{Deserialize, Serialize};

/// Urgency as in RFC 9218: 0 is served first, 7 last, and 3 is the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Urgency(u8);

impl Urgency {
    /// Urgency of a request that sets none.
    pub const DEFAULT: Self = Self(3);
    /// Lowest urgency, which is served last.
    pub const LOWEST: Self = Self(7);

    /// Returns the urgency of a level, or `None` above 7.
    #[must_use]
    pub fn new(level: u8) -> Option<Self> {
        (level <= Self::LOWEST.0).then_some(Self(level))
    }

    /// Parses the `u` parameter of a `Priority` header. As RFC 9218 requires, an invalid value is
    /// ignored and the default applies.
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
