//! Rate limit that a target names for all hosts together.

use std::str::FromStr;

/// Largest limit that is accepted, in requests per second. More would overflow no count, but no
/// target serves as many.
const MAX_PER_S: f64 = 1e9;

/// Requests that a target takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Thousandths of a request per second.
    pub milli_per_s: u64,
}

impl FromStr for RateLimit {
    type Err = RateLimitError;

    /// Parses a decimal number of requests per second.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_s: f64 = text.trim().parse().map_err(|_| RateLimitError)?;
        if !(0.0..=MAX_PER_S).contains(&per_s) {
            return Err(RateLimitError);
        }
        // In range, as checked above.
        Ok(Self {
            milli_per_s: (per_s * 1_000.0) as u64,
        })
    }
}

/// A rate limit that cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimitError;

impl std::fmt::Display for RateLimitError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("invalid rate limit: expected a number of requests per second")
    }
}

impl std::error::Error for RateLimitError {}
