//! Which hosts there are, from what they tell each other.

use crate::{BeatId, HostStage, HostState};
use heatherhinge_types::{MonoNs, Name};
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Silence after which a host counts as dead, in milliseconds. A beat takes about three exchanges
/// to reach every host, and a host is to leave address answers within 6 s of its death.
pub const SILENCE_MS: u64 = 2_500;
/// Silence after which a host is forgotten, in milliseconds. The retry budget is shared with
/// hosts that are gone for up to this long.
const FORGET_MS: u64 = 30_000;

/// A host as another one sees it.
#[derive(Clone, Debug)]
pub struct Sighting {
    /// Its newest state.
    pub state: HostState,
    /// When that state arrived.
    pub heard: MonoNs,
}

impl Sighting {
    /// Returns whether the host was heard lately.
    #[must_use]
    pub const fn is_live(&self, now: MonoNs) -> bool {
        now.ms_since(self.heard) < SILENCE_MS
    }
}

/// The hosts known to this one, itself included.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Name,
    hosts: BTreeMap<Name, Sighting>,
    /// Addresses of hosts that were not heard yet, from settings and the store.
    leads: Vec<SocketAddr>,
}

impl Membership {
    /// Starts with this host alone.
    #[must_use]
    pub fn new(own: HostState, now: MonoNs) -> Self {
        let name = own.host.clone();
        let sighting = Sighting {
            state: own,
            heard: now,
        };
        Self {
            own: name.clone(),
            hosts: BTreeMap::from([(name, sighting)]),
            leads: Vec::new(),
        }
    }

    /// Replaces the state of this host.
    pub fn set_own(&mut self, state: HostState, now: MonoNs) {
        let sighting = Sighting { state, heard: now };
        self.hosts.insert(self.own.clone(), sighting);
    }

    /// Adds an address at which a host may answer.
    pub fn add_lead(&mut self, addr: SocketAddr) {
        let is_known = self.hosts.values().any(|host| host.state.peer_addr == addr);
        if !is_known && !self.leads.contains(&addr) {
            self.leads.push(addr);
        }
    }

    /// Takes in the state of a host and returns whether it was news.
    pub fn hear(&mut self, state: HostState, now: MonoNs) -> bool {
        let known = self.hosts.get(&state.host).map(|known| known.state.id);
        if state.host == self.own || known.is_some_and(|id| id >= state.id) {
            return false;
        }
        self.leads.retain(|lead| *lead != state.peer_addr);
        let sighting = Sighting { state, heard: now };
        self.hosts.insert(sighting.state.host.clone(), sighting);
        true
    }

    /// Forgets hosts that have been silent for long.
    pub fn forget_silent(&mut self, now: MonoNs) {
        let own = self.own.clone();
        self.hosts
            .retain(|name, host| *name == own || now.ms_since(host.heard) < FORGET_MS);
    }

    /// Lists which state of each host is known here.
    #[must_use]
    pub fn digest(&self) -> Vec<(Name, BeatId)> {
        let id = |(name, host): (&Name, &Sighting)| (name.clone(), host.state.id);
        self.hosts.iter().map(id).collect()
    }

    /// Returns the states that are newer than those of a digest.
    #[must_use]
    pub fn newer_than(&self, digest: &[(Name, BeatId)]) -> Vec<HostState> {
        let known: BTreeMap<&Name, BeatId> = digest.iter().map(|(name, id)| (name, *id)).collect();
        self.hosts
            .values()
            .filter(|host| {
                known
                    .get(&host.state.host)
                    .is_none_or(|id| *id < host.state.id)
            })
            .map(|host| host.state.clone())
            .collect()
    }

    /// Picks the hosts to exchange states with: live ones at random, and leads while hosts are
    /// wanting or as a way back after a network partition.
    pub fn partners<R: Rng>(&self, count: usize, now: MonoNs, rng: &mut R) -> Vec<SocketAddr> {
        let mut live: Vec<SocketAddr> = self
            .others()
            .filter(|host| host.is_live(now))
            .map(|host| host.state.peer_addr)
            .collect();
        let mut partners = Vec::with_capacity(count + 1);
        while partners.len() < count && !live.is_empty() {
            partners.push(live.swap_remove(rng.random_range(0..live.len())));
        }
        let silent = self
            .others()
            .filter(|host| !host.is_live(now) && host.state.stage != HostStage::Leaving)
            .map(|host| host.state.peer_addr);
        let lost: Vec<SocketAddr> = silent.chain(self.leads.iter().copied()).collect();
        if !lost.is_empty() && (partners.len() < count || rng.random_range(0..4) == 0) {
            partners.push(lost[rng.random_range(0..lost.len())]);
        }
        partners
    }

    /// Lists the other hosts.
    pub fn others(&self) -> impl Iterator<Item = &Sighting> {
        let own = &self.own;
        self.hosts
            .values()
            .filter(move |host| host.state.host != *own)
    }

    /// Makes the snapshot for the blackboard.
    #[must_use]
    pub fn view(&self, now: MonoNs) -> FleetView {
        let live: Vec<HostState> = self
            .hosts
            .values()
            .filter(|host| host.state.host == self.own || host.is_live(now))
            .map(|host| host.state.clone())
            .collect();
        FleetView {
            live,
            known: self.hosts.len(),
        }
    }
}

/// The hosts, as the path of a request sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Live hosts in the order of their names, this one included.
    pub live: Vec<HostState>,
    /// Hosts known, those included that fell silent lately.
    pub known: usize,
}

impl FleetView {
    /// Lists the hosts that take callers.
    pub fn ready(&self) -> impl Iterator<Item = &HostState> {
        self.live
            .iter()
            .filter(|host| host.stage == HostStage::Ready)
    }
}
