//! Shares the requests of a route out over its services by weight.

use heatherhinge_orders::Destination;
use std::sync::atomic::{AtomicU64, Ordering};

/// Multiplier of the low-discrepancy sequence: 2^64 divided by the golden ratio.
const GOLDEN_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Counts the requests of a route. The sequence of shares is the same in the long run as drawing
/// at random, and much closer to the weights over a few hundred requests.
#[derive(Debug)]
pub struct WeightedSplit {
    count: AtomicU64,
}

impl WeightedSplit {
    /// Makes a sequence; hosts with other seeds begin at other places of it.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            count: AtomicU64::new(seed),
        }
    }

    /// Returns the destination of the next request, or `None` if all weights are zero.
    pub fn next<'a>(&self, destinations: &'a [Destination]) -> Option<&'a Destination> {
        let total: u64 = destinations.iter().map(|d| u64::from(d.weight)).sum();
        if destinations.len() == 1 {
            return destinations.first();
        }
        let place = self
            .count
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_mul(GOLDEN_STEP);
        let mut point = u64::try_from((u128::from(place) * u128::from(total)) >> 64).unwrap_or(0);
        for destination in destinations {
            let weight = u64::from(destination.weight);
            if point < weight {
                return Some(destination);
            }
            point -= weight;
        }
        None
    }
}
