//! Draws random service times.

use rand::{Rng, RngExt};
use std::str::FromStr;

/// A distribution of service times: a fixed part plus an exponentially distributed part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTime {
    /// Shortest service time in microseconds.
    pub floor_us: u64,
    /// Mean of the random part in microseconds.
    pub mean_extra_us: u64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            floor_us: 1_000,
            mean_extra_us: 1_000,
        }
    }
}

impl ServiceTime {
    /// Draws a service time in microseconds.
    pub fn draw_us<R: Rng>(self, rng: &mut R) -> u64 {
        // 1 - u lies in (0, 1], so the logarithm is finite.
        let unit: f64 = 1.0 - rng.random::<f64>();
        let extra = -unit.ln() * self.mean_extra_us as f64;
        self.floor_us + extra as u64
    }
}

impl FromStr for ServiceTime {
    type Err = String;

    /// Parses `FLOOR_US+MEAN_US` or `FLOOR_US`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (floor, mean) = text.split_once('+').unwrap_or((text, "0"));
        let number = |part: &str| {
            part.trim()
                .parse()
                .map_err(|_| format!("{part:?} is not a number of microseconds"))
        };
        Ok(Self {
            floor_us: number(floor)?,
            mean_extra_us: number(mean)?,
        })
    }
}
