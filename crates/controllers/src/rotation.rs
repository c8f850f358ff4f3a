//! Chooses the peers of an exchange in shuffled order.

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Returns every peer once, in a shuffled order, before it returns one of them again.
#[derive(Clone, Debug)]
pub(crate) struct Rotation {
    rng: Pcg64Mcg,
    remaining: Vec<SocketAddr>,
}

impl Rotation {
    /// Creates a rotation whose order depends on the seed only.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            remaining: Vec::new(),
        }
    }

    /// Returns the next `count` peers, or all peers if there are fewer.
    pub(crate) fn next(&mut self, peers: &BTreeSet<SocketAddr>, count: usize) -> Vec<SocketAddr> {
        let count = count.min(peers.len());
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count {
            match self.remaining.pop() {
                Some(peer) if peers.contains(&peer) && !chosen.contains(&peer) => {
                    chosen.push(peer);
                }
                Some(_) => {}
                None => {
                    self.remaining = peers.iter().copied().collect();
                    self.remaining.shuffle(&mut self.rng);
                }
            }
        }
        chosen
    }
}
