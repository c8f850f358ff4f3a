//! The order in which peers are asked.

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Goes through all peers in a shuffled order before it asks one of them again.
#[derive(Clone, Debug)]
pub(crate) struct Rotation {
    rng: Pcg64Mcg,
    waiting: Vec<SocketAddr>,
}

impl Rotation {
    /// Makes a rotation whose order depends on the seed only.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            waiting: Vec::new(),
        }
    }

    /// Returns the next peers, `count` of them or all that there are.
    pub(crate) fn next(&mut self, peers: &BTreeSet<SocketAddr>, count: usize) -> Vec<SocketAddr> {
        let count = count.min(peers.len());
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count {
            match self.waiting.pop() {
                Some(peer) if peers.contains(&peer) && !chosen.contains(&peer) => {
                    chosen.push(peer);
                }
                Some(_) => {}
                None => {
                    self.waiting = peers.iter().copied().collect();
                    self.waiting.shuffle(&mut self.rng);
                }
            }
        }
        chosen
    }
}
