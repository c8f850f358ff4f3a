//! Which hosts there are, from what they tell each other.

use crate::{Beat, HostStage, HostState, KnownState};
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

/// Time after its start in which a host cannot know the others yet, in milliseconds. An exchange
/// with a host that knows them ends it sooner.
const SETTLE_MS: u64 = 2_000;

/// Exchanges that stay within the zone, in percent.
const NEAR_PERCENT: u32 = 75;
/// Rounds of exchanges after which a host that is not heard is asked again, on average.
const LEAD_ROUNDS: u32 = 6;

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
    /// Hosts by the short names of their incarnations.
    keys: BTreeMap<u32, Name>,
    /// Addresses of hosts that were not heard yet, from settings and the store.
    leads: Vec<SocketAddr>,
    started: MonoNs,
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
            keys: BTreeMap::new(),
            leads: Vec::new(),
            started: now,
        }
    }

    /// Returns whether this host knows the others: it has heard one that does, or it has heard
    /// some for a while. A host without any address of another one is a fleet of its own.
    #[must_use]
    pub fn is_settled(&self, now: MonoNs) -> bool {
        let mut live = self.others().filter(|host| host.is_live(now)).peekable();
        let is_lone_fleet = self.leads.is_empty() && self.hosts.len() == 1;
        let has_waited = now.ms_since(self.started) >= SETTLE_MS;
        (has_waited && (live.peek().is_some() || is_lone_fleet))
            || live.any(|host| host.state.is_settled)
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
        self.keys.insert(state.key(), state.host.clone());
        let sighting = Sighting { state, heard: now };
        self.hosts.insert(sighting.state.host.clone(), sighting);
        true
    }

    /// Takes in a beat of a host whose state is known.
    pub fn hear_beat(&mut self, beat: Beat, now: MonoNs) {
        let Some(name) = self.keys.get(&beat.key) else {
            return;
        };
        if let Some(known) = self.hosts.get_mut(name)
            && *name != self.own
            && known.state.key() == beat.key
            && known.state.id.beat < beat.beat
        {
            known.state.id.beat = beat.beat;
            known.heard = now;
        }
    }

    /// Forgets hosts that have been silent for long.
    pub fn forget_silent(&mut self, now: MonoNs) {
        let own = self.own.clone();
        self.hosts
            .retain(|name, host| *name == own || now.ms_since(host.heard) < FORGET_MS);
        let hosts = &self.hosts;
        self.keys
            .retain(|key, name| hosts.get(name).is_some_and(|host| host.state.key() == *key));
    }

    /// Lists which state of each host is known here.
    #[must_use]
    pub fn digest(&self) -> Vec<KnownState> {
        self.hosts.values().map(|host| host.state.known()).collect()
    }

    /// Returns what is newer here than in a digest: whole states where the content has changed,
    /// else beats.
    #[must_use]
    pub fn newer_than(&self, digest: &[KnownState]) -> (Vec<HostState>, Vec<Beat>) {
        let known: BTreeMap<u32, KnownState> =
            digest.iter().map(|known| (known.key, *known)).collect();
        let (mut states, mut beats) = (Vec::new(), Vec::new());
        for host in self.hosts.values() {
            let here = host.state.known();
            match known.get(&here.key) {
                Some(there) if there.revision >= here.revision => {
                    if there.beat < here.beat {
                        beats.push(Beat {
                            key: here.key,
                            beat: here.beat,
                        });
                    }
                }
                _ => states.push(host.state.clone()),
            }
        }
        (states, beats)
    }

    /// Picks live hosts at random to exchange states with. Hosts of the own zone are preferred,
    /// because bytes between zones are dear.
    pub fn partners<R: Rng>(&self, count: usize, now: MonoNs, rng: &mut R) -> Vec<SocketAddr> {
        let is_near_only = rng.random_range(0..100) < NEAR_PERCENT;
        let zone = self.hosts.get(&self.own).map(|own| own.state.zone.clone());
        let live = self.others().filter(|host| host.is_live(now));
        let (near, far): (Vec<_>, Vec<_>) =
            live.partition(|host| Some(&host.state.zone) == zone.as_ref());
        let mut open: Vec<SocketAddr> = match (is_near_only, near.len() >= count) {
            (true, true) => near.iter().map(|host| host.state.peer_addr).collect(),
            _ => near
                .iter()
                .chain(&far)
                .map(|host| host.state.peer_addr)
                .collect(),
        };
        let mut partners = Vec::with_capacity(count + 1);
        while partners.len() < count && !open.is_empty() {
            partners.push(open.swap_remove(rng.random_range(0..open.len())));
        }
        partners
    }

    /// Picks an address at which a host may answer that is not heard at the moment: always while
    /// no host is live, and now and then as a way back after a network partition.
    pub fn lost_lead<R: Rng>(&self, now: MonoNs, rng: &mut R) -> Option<SocketAddr> {
        let is_alone = !self.others().any(|host| host.is_live(now));
        let silent = self
            .others()
            .filter(|host| !host.is_live(now) && host.state.stage != HostStage::Leaving)
            .map(|host| host.state.peer_addr);
        let lost: Vec<SocketAddr> = silent.chain(self.leads.iter().copied()).collect();
        if lost.is_empty() || !(is_alone || rng.random_range(0..LEAD_ROUNDS) == 0) {
            return None;
        }
        Some(lost[rng.random_range(0..lost.len())])
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
            is_settled: self.is_settled(now),
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
    /// Whether this host has been up long enough to know the others.
    pub is_settled: bool,
}

impl FleetView {
    /// Returns the number of hosts that share a budget of the fleet, `None` while this host cannot
    /// tell. A fleet that restarts at once would else spend the budget once for each host.
    #[must_use]
    pub fn budget_sharers(&self) -> Option<usize> {
        self.is_settled.then_some(self.known)
    }

    /// Returns whether this host hears most of the hosts that it knows. One that does not may be
    /// cut off from a fleet which shares out duties without it.
    #[must_use]
    pub fn hears_most(&self) -> bool {
        self.is_settled && self.live.len() * 2 >= self.known
    }

    /// Lists the hosts that take callers.
    pub fn ready(&self) -> impl Iterator<Item = &HostState> {
        self.live
            .iter()
            .filter(|host| host.stage == HostStage::Ready)
    }
}
