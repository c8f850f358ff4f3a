//! Assigns duties to hosts by rendezvous hashing, so that hosts with the same view agree.

use crate::{FleetView, HostStage, HostState};
use heatherhinge_types::{Digest, Name};

/// Hashes of the hosts that accept callers. A fleet of 130 hosts decides on 300 duties whenever a
/// target or a host changes, so the names are hashed once.
#[derive(Clone, Debug)]
pub struct DutyRanking {
    own: Option<u64>,
    others: Vec<u64>,
}

impl DutyRanking {
    /// Hashes the hosts that accept callers. A host that is not settled has no rank.
    #[must_use]
    pub fn new(own: &Name, fleet: &FleetView) -> Self {
        let is_own = |host: &&HostState| host.host == *own;
        let others = fleet
            .ready()
            .filter(|host| !is_own(host))
            .map(|host| hash(&host.host));
        Self {
            own: (fleet.is_settled && fleet.ready().any(|host| host.host == *own))
                .then(|| hash(own)),
            others: others.collect(),
        }
    }

    /// Returns the number of hosts that accept callers, this one included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.others.len() + usize::from(self.own.is_some())
    }

    /// Returns whether no host accepts callers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the rank of this host for a duty among the hosts that accept callers, starting at 0.
    ///
    /// A host that does not accept callers or is not settled has no rank.
    #[must_use]
    pub fn duty_rank(&self, duty: &str) -> Option<usize> {
        let duty = hash(duty);
        let own = weight(duty, self.own?);
        let is_before = |other: &&u64| weight(duty, **other) > own;
        Some(self.others.iter().filter(is_before).count())
    }
}

/// Returns the rank of `own` for a duty, see [`DutyRanking::duty_rank`].
#[must_use]
pub fn duty_rank(duty: &str, own: &Name, fleet: &FleetView) -> Option<usize> {
    DutyRanking::new(own, fleet).duty_rank(duty)
}

fn hash(text: &str) -> u64 {
    Digest::of(text.as_bytes()).0 as u64
}

/// Returns the weight of `other` as a neighbour of `own`; the highest ones are chosen.
pub(crate) fn pair_weight(own: &str, other: &str) -> u64 {
    weight(hash(own), hash(other))
}

/// Mixes the hashes of a duty and a host with the finalizer of SplitMix64, in which every input bit
/// affects the result.
const fn weight(duty: u64, host: u64) -> u64 {
    let mut mixed = duty ^ host.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

/// Returns up to `count` hosts for a shared duty of the fleet, by rank. Larger hosts rank before
/// smaller ones, and leaving hosts have no duty.
#[must_use]
pub fn duty_holders<'a>(duty: &str, count: usize, fleet: &'a FleetView) -> Vec<&'a HostState> {
    let duty = hash(duty);
    let mut hosts: Vec<&HostState> = fleet
        .live
        .iter()
        .filter(|host| host.stage != HostStage::Leaving)
        .collect();
    hosts.sort_by_cached_key(|host| {
        std::cmp::Reverse((host.capacity_milli, weight(duty, hash(&host.host))))
    });
    hosts.truncate(count);
    hosts
}
