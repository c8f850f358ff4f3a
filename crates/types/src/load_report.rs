//! Parses and formats the load reports that targets send on their responses.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Identifies one run of a target process; it changes whenever the target restarts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StartId(pub u64);

/// Load that a target reports on a response: `inflight=2;slots=5;start=77;uptime-ms=1200`, followed
/// by `;leaving=1` while the target drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests from all hosts that the target was running when it responded.
    pub in_flight: u32,
    /// Requests that the target can run at once.
    pub slots: u32,
    /// The run of the target process.
    pub start_id: StartId,
    /// Time since the target process started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether the target drains and must get no new requests in this run.
    pub is_leaving: bool,
}

/// Why a load report could not be parsed. The report is then ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportError {
    /// A part is not of the form `name=number`.
    BadPart,
    /// A required part is absent.
    Missing,
}

impl FromStr for LoadReport {
    type Err = LoadReportError;

    fn from_str(text: &str) -> Result<Self, LoadReportError> {
        let (mut in_flight, mut slots, mut start, mut uptime_ms) = (None, None, None, None);
        let mut is_leaving = false;
        for part in text.split(';') {
            let (name, value) = part
                .trim()
                .split_once('=')
                .ok_or(LoadReportError::BadPart)?;
            let value: u64 = value.trim().parse().map_err(|_| LoadReportError::BadPart)?;
            match name.trim() {
                "inflight" => in_flight = Some(value),
                "slots" => slots = Some(value),
                "start" => start = Some(value),
                "uptime-ms" => uptime_ms = Some(value),
                "leaving" => is_leaving = value != 0,
                _ => {} // Ignored, so that later versions of the report can add parts.
            }
        }
        let to_u32 = |value: Option<u64>| {
            value
                .map(|v| u32::try_from(v).unwrap_or(u32::MAX))
                .ok_or(LoadReportError::Missing)
        };
        Ok(Self {
            in_flight: to_u32(in_flight)?,
            slots: to_u32(slots)?,
            start_id: StartId(start.ok_or(LoadReportError::Missing)?),
            uptime_ms: uptime_ms.ok_or(LoadReportError::Missing)?,
            is_leaving,
        })
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "inflight={};slots={};start={};uptime-ms={}",
            self.in_flight, self.slots, self.start_id.0, self.uptime_ms
        )?;
        if self.is_leaving {
            f.write_str(";leaving=1")?;
        }
        Ok(())
    }
}
