//! Generates seeded Poisson arrivals from a profile.

use crate::profile::Profile;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// One request that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Position in the schedule, from 0.
    pub number: u64,
    /// Time after the start of the run, in nanoseconds.
    pub at_ns: u64,
    /// Index of the route in the profile.
    pub route: usize,
    /// Random part of the idempotency key, if the request carries one.
    pub key_random: Option<[u8; 10]>,
}

/// Infinite iterator over the arrivals of a profile; the same seed gives the same arrivals.
#[derive(Clone, Debug)]
pub struct Schedule {
    rng: Pcg64,
    mean_gap_ns: f64,
    /// Cumulative shares of the routes in the total rate, ending with 1.
    shares: Vec<f64>,
    keyed_permille: Vec<u32>,
    next_number: u64,
    at_ns: f64,
}

impl Schedule {
    /// Makes the schedule of a profile with all rates multiplied by `rate_factor`.
    #[must_use]
    pub fn new(profile: &Profile, seed: u64, rate_factor: f64) -> Self {
        let total = profile.rate_per_s();
        let mut sum = 0.0;
        let shares = profile.routes.iter().map(|route| {
            sum += route.rate_per_s / total;
            sum
        });
        Self {
            rng: Pcg64::seed_from_u64(seed),
            mean_gap_ns: 1e9 / (total * rate_factor),
            shares: shares.collect(),
            keyed_permille: profile
                .routes
                .iter()
                .map(|route| route.non_idempotent_permille)
                .collect(),
            next_number: 0,
            at_ns: 0.0,
        }
    }
}

impl Iterator for Schedule {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // 1 - u lies in (0, 1], so the logarithm is finite.
        self.at_ns -= (1.0 - self.rng.random::<f64>()).ln() * self.mean_gap_ns;
        let place: f64 = self.rng.random();
        let last = self.shares.len().saturating_sub(1);
        let route = self.shares.partition_point(|end| *end <= place).min(last);
        let is_keyed = self.rng.random_range(0..1_000) < *self.keyed_permille.get(route)?;
        let random: [u8; 10] = self.rng.random();
        let number = self.next_number;
        self.next_number += 1;
        Some(Arrival {
            number,
            at_ns: self.at_ns as u64,
            route,
            key_random: is_keyed.then_some(random),
        })
    }
}
