//! Selects the host addresses that a caller receives.

use crate::{FleetView, HostState};
use heatherhinge_types::Name;
use rand::{Rng, RngExt};
use std::net::SocketAddr;

/// Fewest hosts in a response, if there are as many, so that callers have others when some fail.
const MIN_ADDRESSES: usize = 3;
/// Hosts of the caller's zone for light demand. Callers pick one of them with equal probability, so
/// larger hosts get their larger share by being returned more often.
const LIGHT_ADDRESSES: usize = 8;
/// Hosts of the caller's zone for bulk demand. They are few so that hosts with fast links get most
/// of it: a response of 540 KB takes 430 ms on a link of 10 Mbit/s and delays probes on that link.
const BULK_ADDRESSES: usize = 3;

/// Kind of responses that the caller will request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// Small responses, limited by processor time.
    Light,
    /// Large responses, limited by link bandwidth.
    Bulk,
}

impl Demand {
    const fn addresses(self) -> usize {
        match self {
            Self::Light => LIGHT_ADDRESSES,
            Self::Bulk => BULK_ADDRESSES,
        }
    }

    /// Returns the capacity of a host for the demand, relative to other hosts.
    fn weight(self, host: &HostState) -> f64 {
        f64::from(match self {
            Self::Light => host.capacity_milli.max(1),
            Self::Bulk => host.link_mbps.max(1),
        })
    }
}

/// Returns the addresses for a caller in a zone: hosts of its own zone, drawn by capacity, and
/// hosts of other zones where these are too few. The order is random.
pub fn addresses<R: Rng>(
    fleet: &FleetView,
    zone: Option<&str>,
    demand: Demand,
    rng: &mut R,
) -> Vec<SocketAddr> {
    let is_near = |near: &Name| zone.is_some_and(|zone| near.as_str() == zone);
    let near = fleet.ready().filter(|host| is_near(&host.zone));
    let mut chosen = draw(near, demand.addresses(), demand, rng);
    if chosen.len() < MIN_ADDRESSES {
        let far = fleet.ready().filter(|host| !is_near(&host.zone));
        chosen.extend(draw(far, MIN_ADDRESSES - chosen.len(), demand, rng));
    }
    chosen
}

/// Draws hosts by weighted sampling without replacement: each gets an exponentially distributed key
/// with its weight as the rate, and the smallest keys are taken.
fn draw<'a, R: Rng>(
    hosts: impl Iterator<Item = &'a HostState>,
    count: usize,
    demand: Demand,
    rng: &mut R,
) -> Vec<SocketAddr> {
    let mut keyed: Vec<(f64, SocketAddr)> = hosts
        .map(|host| {
            let uniform: f64 = rng.random();
            (
                -(1.0 - uniform).ln() / demand.weight(host),
                host.caller_addr,
            )
        })
        .collect();
    keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
    keyed
        .into_iter()
        .take(count)
        .map(|(_, addr)| addr)
        .collect()
}
