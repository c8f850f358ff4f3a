//! Which hosts there are, from what they tell each other.

use crate::rendezvous::pair_weight;
use crate::{ChangeCursor, GossipDigest, Heartbeat, HostStage, HostState, KnownState};
use heatherhinge_types::{MonoNs, Name};
use rand::{Rng, RngExt};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Silence after which a host counts as dead, in milliseconds. A beat takes about three exchanges
/// to reach every host, and a host is to leave address answers within 6 s of its death.
pub const FAILURE_TIMEOUT_MS: u64 = 2_500;
/// Silence after which a host is forgotten, in milliseconds. The retry budget is shared with
/// hosts that are gone for up to this long.
const FORGET_MS: u64 = 30_000;

/// Time after its start in which a host cannot know the others yet, in milliseconds. An exchange
/// with a host that knows them ends it sooner.
const SETTLE_MS: u64 = 2_000;

/// Exchanges with neighbours that stay within the zone, in percent.
const NEAR_PERCENT: u32 = 75;
/// Neighbours in the own zone. A random graph of this degree is connected as long as most hosts
/// live.
const NEAR_NEIGHBOURS: usize = 4;
/// Neighbours in other zones.
const FAR_NEIGHBOURS: usize = 2;
/// Rounds of exchanges after which a host that is not heard is asked again, on average.
const LEAD_ROUNDS: u32 = 6;

/// A host as another one sees it.
#[derive(Clone, Debug)]
pub struct HostEntry {
    /// Its newest state.
    pub state: HostState,
    /// When that state arrived.
    pub heard: MonoNs,
    /// Short name of the host's incarnation.
    key: u32,
    /// Number of the change that brought the content of the state.
    content_change: u64,
    /// Number of the change that brought its newest beat.
    beat_change: u64,
}

impl HostEntry {
    /// Returns whether the host was heard lately.
    #[must_use]
    pub const fn is_live(&self, now: MonoNs) -> bool {
        now.ms_since(self.heard) < FAILURE_TIMEOUT_MS
    }
}

/// The hosts known to this one, itself included.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Name,
    hosts: BTreeMap<Name, HostEntry>,
    /// Hosts by the short names of their incarnations.
    keys: BTreeMap<u32, Name>,
    /// Addresses of hosts that were not heard yet, from settings and the store.
    leads: Vec<SocketAddr>,
    started: MonoNs,
    /// Counts what has changed here. Other hosts ask for what came after a change that they have.
    changes: u64,
}

impl Membership {
    /// Starts with this host alone.
    #[must_use]
    pub fn new(own: HostState, now: MonoNs) -> Self {
        let mut membership = Self {
            own: own.host.clone(),
            hosts: BTreeMap::new(),
            keys: BTreeMap::new(),
            leads: Vec::new(),
            started: now,
            changes: 0,
        };
        membership.put(own, now);
        membership
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
        self.put(state, now);
    }

    /// Stores a state and numbers the change.
    fn put(&mut self, state: HostState, now: MonoNs) {
        let before = self.hosts.get(&state.host);
        let is_same_content = before.is_some_and(|before| {
            before.state.id.incarnation == state.id.incarnation
                && before.state.revision == state.revision
        });
        let is_same_beat = before.is_some_and(|before| before.state.id == state.id);
        let old = before.map_or((0, 0), |before| (before.content_change, before.beat_change));
        self.changes += u64::from(!(is_same_content && is_same_beat));
        let change = |is_same, old| if is_same { old } else { self.changes };
        let sighting = HostEntry {
            key: state.key(),
            heard: now,
            content_change: change(is_same_content, old.0),
            beat_change: change(is_same_beat, old.1),
            state,
        };
        self.hosts.insert(sighting.state.host.clone(), sighting);
    }

    /// Adds an address at which a host may answer, unless it is that of a known one or of this host.
    pub fn add_seed(&mut self, addr: SocketAddr) {
        let is_known = self.hosts.values().any(|host| host.state.peer_addr == addr);
        if !is_known && !self.leads.contains(&addr) {
            self.leads.push(addr);
        }
    }

    /// Takes in the state of a host and returns whether it was news.
    pub fn apply_state(&mut self, state: HostState, now: MonoNs) -> bool {
        let is_older = self.hosts.get(&state.host).is_some_and(|known| {
            let is_same_process = known.state.id.incarnation == state.id.incarnation;
            // The time of day may have gone back before a restart, so a process that has fallen
            // silent does not hide its successor.
            known.state.id >= state.id && (is_same_process || known.is_live(now))
        });
        if state.host == self.own || is_older {
            return false;
        }
        self.leads.retain(|lead| *lead != state.peer_addr);
        self.keys.insert(state.key(), state.host.clone());
        self.put(state, now);
        true
    }

    /// Takes in a beat; returns whether the state that it belongs to is known. A newer content may
    /// have passed this host by while its sender was silent for the host that told of it.
    pub fn apply_heartbeat(&mut self, beat: Heartbeat, now: MonoNs) -> bool {
        let known = self
            .keys
            .get(&beat.key)
            .and_then(|name| self.hosts.get_mut(name))
            .filter(|known| known.key == beat.key && known.state.revision >= beat.revision);
        let Some(known) = known else {
            return false;
        };
        if known.state.host != self.own && known.state.id.beat < beat.beat {
            self.changes += 1;
            known.state.id.beat = beat.beat;
            known.state.requests_per_s = u32::from(beat.requests_per_s);
            known.beat_change = self.changes;
            known.heard = now;
        }
        true
    }

    /// Forgets hosts that have been silent for long.
    pub fn forget_silent(&mut self, now: MonoNs) {
        let own = self.own.clone();
        self.hosts
            .retain(|name, host| *name == own || now.ms_since(host.heard) < FORGET_MS);
        let hosts = &self.hosts;
        self.keys
            .retain(|key, name| hosts.get(name).is_some_and(|host| host.key == *key));
    }

    /// Returns the mark up to which a host that takes everything in from here now is told.
    #[must_use]
    pub fn marker(&self) -> ChangeCursor {
        let own = self.hosts.get(&self.own);
        ChangeCursor {
            incarnation: own.map_or(0, |own| own.state.id.incarnation),
            change: self.changes,
        }
    }

    /// Lists the states of live hosts that are known here.
    #[must_use]
    pub fn known_states(&self, now: MonoNs) -> Vec<KnownState> {
        let live = self.hosts.values().filter(|host| host.is_live(now));
        live.map(|host| KnownState {
            key: host.key,
            revision: host.state.revision,
        })
        .collect()
    }

    /// Returns what a host lacks: whole states where the content is new to it, else beats. A mark
    /// of another incarnation of this host counts as none. Hosts that are silent are left out,
    /// because the asking host would take them for live ones.
    #[must_use]
    pub fn delta_for(&self, told: &GossipDigest, now: MonoNs) -> (Vec<HostState>, Vec<Heartbeat>) {
        let here = self.marker();
        let (since, known) = match told {
            GossipDigest::Since(marker) if marker.incarnation == here.incarnation => {
                (marker.change, BTreeMap::new())
            }
            GossipDigest::Since(_) => (0, BTreeMap::new()),
            GossipDigest::States(states) => {
                let by_key = states.iter().map(|state| (state.key, state.revision));
                (0, by_key.collect())
            }
        };
        let (mut states, mut beats) = (Vec::new(), Vec::new());
        let is_told = |host: &&HostEntry| host.state.host == self.own || host.is_live(now);
        for host in self.hosts.values().filter(is_told) {
            let revision = known.get(&host.key);
            let has_content = revision.is_some_and(|known| *known >= host.state.revision);
            if host.content_change > since && !has_content {
                states.push(host.state.clone());
            } else if host.beat_change > since {
                beats.push(Heartbeat {
                    key: host.key,
                    beat: host.state.id.beat,
                    revision: host.state.revision,
                    requests_per_s: u16::try_from(host.state.requests_per_s).unwrap_or(u16::MAX),
                });
            }
        }
        (states, beats)
    }

    /// Picks one of this host's neighbours at random to exchange states with. Neighbours of the own
    /// zone are preferred, because bytes between zones are dear.
    pub fn neighbour<R: Rng>(&self, now: MonoNs, rng: &mut R) -> Option<SocketAddr> {
        let [near, far] = self.neighbours(now);
        let is_near = far.is_empty() || rng.random_range(0..100) < NEAR_PERCENT;
        let open = if is_near && !near.is_empty() {
            near
        } else {
            far
        };
        (!open.is_empty()).then(|| open[rng.random_range(0..open.len())])
    }

    /// Lists the live hosts that come first for this one by rendezvous hashing, those of its own
    /// zone and the others. They are few, because the first exchange with a host lists all states
    /// that are known.
    #[must_use]
    pub fn neighbours(&self, now: MonoNs) -> [Vec<SocketAddr>; 2] {
        let zone = self.hosts.get(&self.own).map(|own| own.state.zone.clone());
        let mut live: Vec<&HostState> = self
            .others()
            .filter(|host| host.is_live(now))
            .map(|host| &host.state)
            .collect();
        live.sort_by_cached_key(|host| Reverse(pair_weight(&self.own, &host.host)));
        let (near, far): (Vec<_>, Vec<_>) = live
            .into_iter()
            .partition(|host| Some(&host.zone) == zone.as_ref());
        let first = |hosts: Vec<&HostState>, count| -> Vec<SocketAddr> {
            hosts
                .iter()
                .take(count)
                .map(|host| host.peer_addr)
                .collect()
        };
        [first(near, NEAR_NEIGHBOURS), first(far, FAR_NEIGHBOURS)]
    }

    /// Picks an address at which a host may answer that is not heard at the moment: always while
    /// no host is live, and now and then as a way back after a network partition.
    pub fn reconnect_addr<R: Rng>(&self, now: MonoNs, rng: &mut R) -> Option<SocketAddr> {
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
    pub fn others(&self) -> impl Iterator<Item = &HostEntry> {
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

    /// Returns whether both views have the same live hosts in the same stages, so that duties are
    /// shared out alike.
    #[must_use]
    pub fn has_same_hosts(&self, other: &Self) -> bool {
        let stages = |view: &Self| -> Vec<(Name, HostStage)> {
            let of = |host: &HostState| (host.host.clone(), host.stage);
            view.live.iter().map(of).collect()
        };
        self.is_settled == other.is_settled && stages(self) == stages(other)
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
