//! Time for which a target asks a host to send it nothing.

use std::str::FromStr;

/// Longest time that is accepted, in milliseconds. A target that asked for more by mistake is tried
/// again after it.
const MAX_HOLD_OFF_MS: u64 = 600_000;

/// Time for which a busy target wants no requests from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldOff {
    /// Length in milliseconds; 0 asks for nothing.
    pub ms: u64,
}

impl FromStr for HoldOff {
    type Err = HoldOffError;

    /// Parses a number of seconds, with fractions. Longer times than 10 minutes are shortened to
    /// that; negative numbers, dates and other texts are errors, because a host cannot tell what
    /// the target wants.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let seconds: f64 = text.trim().parse().map_err(|_| HoldOffError)?;
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(HoldOffError);
        }
        let ms = (seconds * 1_000.0).min(MAX_HOLD_OFF_MS as f64);
        Ok(Self { ms: ms as u64 })
    }
}

/// A time that cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldOffError;

impl std::fmt::Display for HoldOffError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("invalid time to hold off: expected a number of seconds from 0")
    }
}

impl std::error::Error for HoldOffError {}
