//! Distributes the requests of a route over its services by weight.

use heatherhinge_orders::Destination;
use std::sync::atomic::{AtomicU64, Ordering};

/// Multiplier of the low-discrepancy sequence: 2^64 divided by the golden ratio.
const GOLDEN_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Assigns requests of a route by a low-discrepancy sequence. The long-run shares equal those of
/// random assignment, and are much closer to the weights over a few hundred requests.
#[derive(Debug)]
pub struct WeightedSplit {
    count: AtomicU64,
}

impl WeightedSplit {
    /// Creates a sequence that starts at `seed`, so that hosts start at different positions.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            count: AtomicU64::new(seed),
        }
    }

    /// Returns the destination of the next request, or `None` if there is none or all of several
    /// weights are zero.
    pub fn next<'a>(&self, destinations: &'a [Destination]) -> Option<&'a Destination> {
        let total: u64 = destinations.iter().map(|d| u64::from(d.weight)).sum();
        if destinations.len() == 1 {
            return destinations.first();
        }
        let position = self
            .count
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_mul(GOLDEN_STEP);
        let mut offset =
            u64::try_from((u128::from(position) * u128::from(total)) >> 64).unwrap_or(0);
        for destination in destinations {
            let weight = u64::from(destination.weight);
            if offset < weight {
                return Some(destination);
            }
            offset -= weight;
        }
        None
    }
}
