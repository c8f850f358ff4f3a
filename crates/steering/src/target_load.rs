//! Parses the load that a target reports on its responses.

use std::str::FromStr;

/// Slowness of a target at its usual speed, in percent.
pub const USUAL_SLOWNESS_PERCENT: u32 = 100;

/// Larger figures of a report count as this one, because sums of them could overflow and make an
/// overloaded target look idle.
const MAX_FIGURE: u32 = 1_000_000;

/// Load of a target at the time of the response that carried it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued for a slot.
    pub waiting: u32,
    /// Requests that may run at once; at least 1 in a parsed report.
    pub slots: u32,
    /// Current service time in percent of the usual one.
    pub slowness_percent: u32,
}

impl FromStr for TargetLoad {
    type Err = TargetLoadError;

    /// Parses `running,waiting,slots` with an optional fourth number, the slowness in percent.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text
            .split(',')
            .map(|part| part.trim().parse::<u32>().map_err(|_| TargetLoadError))
            .map(|figure| figure.map(|figure| figure.min(MAX_FIGURE)));
        let mut next = || parts.next().ok_or(TargetLoadError)?;
        let (running, waiting, slots) = (next()?, next()?, next()?);
        let slowness_percent = match next() {
            Ok(percent) => percent.max(1),
            Err(_) => USUAL_SLOWNESS_PERCENT,
        };
        if slots == 0 {
            return Err(TargetLoadError);
        }
        Ok(Self {
            running,
            waiting,
            slots,
            slowness_percent,
        })
    }
}

/// A load report that cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoadError;

impl std::fmt::Display for TargetLoadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("invalid load report: expected at least three whole numbers, the third above 0")
    }
}

impl std::error::Error for TargetLoadError {}
