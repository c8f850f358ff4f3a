//! What a target says of its load.

use std::str::FromStr;

/// Slowness of a target at its usual speed, in percent.
pub const USUAL_SLOWNESS_PERCENT: u32 = 100;

/// A load report that is as old as the answer which carried it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// How long work takes at the moment, in percent of the usual time.
    pub slowness_percent: u32,
}

impl FromStr for TargetLoad {
    type Err = TargetLoadError;

    /// Reads `running,waiting,slots` with an optional fourth figure, the slowness in percent.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text
            .split(',')
            .map(|part| part.trim().parse::<u32>().map_err(|_| TargetLoadError));
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

/// A load report that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoadError;

impl std::fmt::Display for TargetLoadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the load report is not a list of at least three whole numbers")
    }
}

impl std::error::Error for TargetLoadError {}
