//! Which addresses a caller is told.

use crate::{FleetView, HostState};
use heatherhinge_types::Name;
use rand::{Rng, RngExt};
use std::net::SocketAddr;

/// Hosts that an answer names at least, if there are so many, so that callers can go on when
/// some of them fail.
const MIN_ADDRESSES: usize = 3;
/// Hosts of the caller's zone that an answer for small answers names. Callers pick one of them
/// with equal chances, so larger hosts get their larger part by being named more often.
const LIGHT_ADDRESSES: usize = 8;
/// The same for large answers. It is small so that hosts with wide links get most of them: an
/// answer of 540 KB takes 430 ms on a link of 10 Mbit/s, and probes wait behind it.
const BULK_ADDRESSES: usize = 3;

/// What callers will ask the hosts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// Small answers, which take processor time.
    Light,
    /// Large answers, which take room on links.
    Bulk,
}

impl Demand {
    const fn addresses(self) -> usize {
        match self {
            Self::Light => LIGHT_ADDRESSES,
            Self::Bulk => BULK_ADDRESSES,
        }
    }

    /// Returns how much of the demand a host can carry, relative to other hosts.
    fn weight(self, host: &HostState) -> f64 {
        f64::from(match self {
            Self::Light => host.capacity_milli.max(1),
            Self::Bulk => host.link_mbps.max(1),
        })
    }
}

/// Returns the addresses for a caller in a zone: hosts of its own zone, drawn by what they can
/// carry, and hosts of other zones where these are too few. The order is random.
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

/// Draws hosts without replacement, each with a chance that grows with its weight: the smallest of
/// exponentially distributed keys are taken.
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
