//! Chooses hosts for a duty by rendezvous hashing, so that hosts with the same view agree.

use crate::{FleetView, HostStage, HostState};
use heatherhinge_types::{Digest, Name};

/// Returns the weight of a host for a duty; the highest weight has it.
fn weight(duty: &str, host: &Name) -> u128 {
    let mut bytes = Vec::with_capacity(duty.len() + host.len() + 1);
    bytes.extend_from_slice(duty.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(host.as_bytes());
    Digest::of(&bytes).0
}

/// Returns the place of `own` for a duty among the hosts that take callers, 0 the first.
///
/// A host that does not take callers itself has no place.
#[must_use]
pub fn place(duty: &str, own: &Name, fleet: &FleetView) -> Option<usize> {
    if !fleet.ready().any(|host| host.host == *own) {
        return None;
    }
    let own_weight = weight(duty, own);
    let before = fleet
        .ready()
        .filter(|host| weight(duty, &host.host) > own_weight)
        .count();
    Some(before)
}

/// Returns the hosts that have a common duty of the fleet, the first one first. Larger hosts come
/// before smaller ones, and leaving hosts have no duty.
#[must_use]
pub fn duty_holders<'a>(duty: &str, count: usize, fleet: &'a FleetView) -> Vec<&'a HostState> {
    let mut hosts: Vec<&HostState> = fleet
        .live
        .iter()
        .filter(|host| host.stage != HostStage::Leaving)
        .collect();
    hosts.sort_by_cached_key(|host| {
        std::cmp::Reverse((host.capacity_milli, weight(duty, &host.host)))
    });
    hosts.truncate(count);
    hosts
}
