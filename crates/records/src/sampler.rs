//! Chooses which plain successes are kept.

use heatherhinge_types::{Digest, Name};

/// Samples requests by a hash of their ids, so that all hosts with the same seed keep either all
/// records of a request or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sampler {
    seed: u64,
    one_in: u64,
}

impl Sampler {
    /// One in this many plain successes is kept; `docs/design.md`, section 16.
    pub const ONE_IN: u64 = 100;

    /// Returns a sampler that keeps one in [`Sampler::ONE_IN`] requests.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self::one_in(seed, Self::ONE_IN)
    }

    /// Returns a sampler that keeps one in `one_in` requests; 0 and 1 keep all.
    #[must_use]
    pub const fn one_in(seed: u64, one_in: u64) -> Self {
        let one_in = if one_in == 0 { 1 } else { one_in };
        Self { seed, one_in }
    }

    /// Returns whether the request is in the sample.
    #[must_use]
    pub fn keeps(&self, request_id: &Name) -> bool {
        let digest = Digest::of_parts(&[&self.seed.to_le_bytes(), request_id.as_bytes()]);
        digest.0.is_multiple_of(u128::from(self.one_in))
    }
}
