//! Chooses hosts for a duty by rendezvous hashing, so that hosts with the same view agree.

use crate::{FleetView, HostStage, HostState};
use heatherhinge_types::{Digest, Name};

/// Hashes of the hosts that take callers. A fleet of 130 hosts decides on 300 duties whenever a
/// target or a host changes, so the names are hashed once.
#[derive(Clone, Debug)]
pub struct DutyRanking {
    own: Option<u64>,
    others: Vec<u64>,
}

impl DutyRanking {
    /// Hashes the hosts that take callers. A host that cannot know the others yet has no place.
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

    /// Returns the place of this host for a duty among the hosts that take callers, 0 the first.
    ///
    /// A host that does not take callers itself has no place.
    #[must_use]
    pub fn duty_rank(&self, duty: &str) -> Option<usize> {
        let duty = hash(duty);
        let own = weight(duty, self.own?);
        let is_before = |other: &&u64| weight(duty, **other) > own;
        Some(self.others.iter().filter(is_before).count())
    }
}

/// Returns the place of `own` for a duty among the hosts that take callers, 0 the first.
#[must_use]
pub fn duty_rank(duty: &str, own: &Name, fleet: &FleetView) -> Option<usize> {
    DutyRanking::new(own, fleet).duty_rank(duty)
}

fn hash(text: &str) -> u64 {
    Digest::of(text.as_bytes()).0 as u64
}

/// Returns how early a host comes for another one among its neighbours.
pub(crate) fn pair_weight(own: &str, other: &str) -> u64 {
    weight(hash(own), hash(other))
}

/// Mixes a duty and a host; the finalizer of the SplitMix64 generator spreads every input bit.
const fn weight(duty: u64, host: u64) -> u64 {
    let mut mixed = duty ^ host.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

/// Returns the hosts that have a common duty of the fleet, the first one first. Larger hosts come
/// before smaller ones, and leaving hosts have no duty.
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
