//! Which addresses a caller is told.

use crate::FleetView;
use heatherhinge_types::Name;
use rand::{Rng, RngExt};
use std::net::SocketAddr;

/// Most addresses of an answer.
const MAX_ADDRESSES: usize = 64;
/// Hosts that an answer names at least, if there are so many, so that callers can go on when
/// some of them fail.
const MIN_ADDRESSES: usize = 3;

/// Returns the addresses for a caller in a zone: hosts of its own zone, and hosts of other zones
/// where these are too few. The order is random.
pub fn addresses<R: Rng>(fleet: &FleetView, zone: Option<&str>, rng: &mut R) -> Vec<SocketAddr> {
    let is_near = |near: &Name| zone.is_some_and(|zone| near.as_str() == zone);
    let near = fleet.ready().filter(|host| is_near(&host.zone));
    let mut chosen: Vec<SocketAddr> = near.map(|host| host.caller_addr).collect();
    shuffle(&mut chosen, rng);
    if chosen.len() < MIN_ADDRESSES {
        let far = fleet.ready().filter(|host| !is_near(&host.zone));
        let mut far: Vec<SocketAddr> = far.map(|host| host.caller_addr).collect();
        shuffle(&mut far, rng);
        far.truncate(MIN_ADDRESSES - chosen.len());
        chosen.extend(far);
    }
    chosen.truncate(MAX_ADDRESSES);
    chosen
}

fn shuffle<R: Rng>(addrs: &mut [SocketAddr], rng: &mut R) {
    for end in (1..addrs.len()).rev() {
        addrs.swap(end, rng.random_range(0..=end));
    }
}
