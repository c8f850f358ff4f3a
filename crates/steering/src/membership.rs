//! Gossip membership: tracks the live hosts of the fleet from the states that they exchange.

use crate::rendezvous::pair_weight;
use crate::{
    ChangeCursor, ForwardedState, GossipDigest, Heartbeat, HostStage, HostState, KnownState,
};
use heatherhinge_types::{MonoNs, Name};
use rand::{Rng, RngExt};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time without a heartbeat after which a host counts as dead, in milliseconds. A heartbeat takes
/// about three exchanges to reach every host, and a dead host must leave address responses within
/// 6 s.
pub const FAILURE_TIMEOUT_MS: u64 = 2_500;
/// Time without a heartbeat after which a host is removed, in milliseconds. The retry budget is
/// shared with hosts that have been gone for up to this long.
const RETENTION_MS: u64 = 30_000;

/// Time after its start in which a host cannot know the others yet, in milliseconds. An exchange
/// with a settled host ends it sooner.
const SETTLE_MS: u64 = 2_000;

/// Share of the exchanges with neighbours of the own zone, in percent.
const NEAR_PERCENT: u32 = 75;
/// Neighbours in the own zone. A random graph of this degree stays connected while most hosts are
/// live.
const NEAR_NEIGHBOURS: usize = 4;
/// Neighbours in other zones.
const FAR_NEIGHBOURS: usize = 2;
/// Average number of exchange rounds between attempts to reach a host that is not live.
const RECONNECT_ROUNDS: u32 = 6;

/// What this host has stored about a host.
#[derive(Clone, Debug)]
pub struct HostEntry {
    /// Newest state received.
    pub state: HostState,
    /// When the newest heartbeat was heard first, here or by the hosts that forwarded it.
    pub last_heard: MonoNs,
    /// Key of the host's incarnation, see [`HostState::key`].
    key: u32,
    /// Change in which the content of the state was stored.
    content_change: u64,
    /// Change in which the newest heartbeat was stored.
    heartbeat_change: u64,
}

impl HostEntry {
    /// Returns whether a heartbeat arrived within [`FAILURE_TIMEOUT_MS`].
    #[must_use]
    pub const fn is_live(&self, now: MonoNs) -> bool {
        now.ms_since(self.last_heard) < FAILURE_TIMEOUT_MS
    }
}

/// The hosts known to this one, including itself.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Name,
    hosts: BTreeMap<Name, HostEntry>,
    /// Names of hosts by the keys of their incarnations.
    keys: BTreeMap<u32, Name>,
    /// Peer addresses from settings and the store from which no state has arrived yet.
    seeds: Vec<SocketAddr>,
    started: MonoNs,
    /// Number of the last change. Other hosts ask for the changes after one that they have.
    changes: u64,
}

impl Membership {
    /// Creates a membership with only this host.
    #[must_use]
    pub fn new(own: HostState, now: MonoNs) -> Self {
        let mut membership = Self {
            own: own.host.clone(),
            hosts: BTreeMap::new(),
            keys: BTreeMap::new(),
            seeds: Vec::new(),
            started: now,
            changes: 0,
        };
        membership.put_state(own, now);
        membership
    }

    /// Returns whether this host knows the others: a settled host is live, or any host is live and
    /// the time for settling has passed. A host without any address of another one is a fleet of
    /// its own.
    #[must_use]
    pub fn is_settled(&self, now: MonoNs) -> bool {
        let mut live = self.others().filter(|host| host.is_live(now)).peekable();
        let is_lone_fleet = self.seeds.is_empty() && self.hosts.len() == 1;
        let has_waited = now.ms_since(self.started) >= SETTLE_MS;
        (has_waited && (live.peek().is_some() || is_lone_fleet))
            || live.any(|host| host.state.is_settled)
    }

    /// Replaces the state of this host.
    pub fn set_own(&mut self, state: HostState, now: MonoNs) {
        self.put_state(state, now);
    }

    /// Stores a state that was heard at `heard` and assigns the number of the change.
    fn put_state(&mut self, state: HostState, heard: MonoNs) {
        let before = self.hosts.get(&state.host);
        let is_same_content = before.is_some_and(|before| {
            before.state.id.incarnation == state.id.incarnation
                && before.state.revision == state.revision
        });
        let is_same_heartbeat = before.is_some_and(|before| before.state.id == state.id);
        let old = before.map_or((0, 0), |before| {
            (before.content_change, before.heartbeat_change)
        });
        self.changes += u64::from(!(is_same_content && is_same_heartbeat));
        let change = |is_same, old| if is_same { old } else { self.changes };
        let entry = HostEntry {
            key: state.key(),
            last_heard: heard,
            content_change: change(is_same_content, old.0),
            heartbeat_change: change(is_same_heartbeat, old.1),
            state,
        };
        self.hosts.insert(entry.state.host.clone(), entry);
    }

    /// Adds a peer address to contact, unless it is that of a known host or of this one.
    pub fn add_seed(&mut self, addr: SocketAddr) {
        let is_known = self.hosts.values().any(|host| host.state.peer_addr == addr);
        if !is_known && !self.seeds.contains(&addr) {
            self.seeds.push(addr);
        }
    }

    /// Stores the state that another host has sent of itself if it is newer than the known one;
    /// returns whether it was.
    pub fn apply_state(&mut self, state: HostState, now: MonoNs) -> bool {
        self.apply_heard(state, now, now)
    }

    /// Stores a forwarded state if it is newer than the known one; returns whether it was. `asked`
    /// is when the exchange began: the response may have waited for this host, so its age counts
    /// from there.
    pub fn apply_forwarded(
        &mut self,
        forwarded: ForwardedState,
        asked: MonoNs,
        now: MonoNs,
    ) -> bool {
        let heard = asked.minus_ms(forwarded.age_ms.into());
        self.apply_heard(forwarded.state, heard, now)
    }

    fn apply_heard(&mut self, state: HostState, heard: MonoNs, now: MonoNs) -> bool {
        let is_older = self.hosts.get(&state.host).is_some_and(|known| {
            let is_same_process = known.state.id.incarnation == state.id.incarnation;
            // The wall clock may have gone back before a restart, so the state of a process that is
            // no longer live does not block that of its successor.
            known.state.id >= state.id && (is_same_process || known.is_live(now))
        });
        if state.host == self.own || is_older {
            return false;
        }
        self.seeds.retain(|seed| *seed != state.peer_addr);
        self.keys.insert(state.key(), state.host.clone());
        let known = self.hosts.get(&state.host);
        let is_same_process =
            |known: &&HostEntry| known.state.id.incarnation == state.id.incarnation;
        let heard = known
            .filter(is_same_process)
            .map_or(heard, |known| heard.max(known.last_heard));
        self.put_state(state, heard);
        true
    }

    /// Stores a heartbeat of an exchange that began at `asked`; returns whether the state that it
    /// belongs to is known. This host may have missed newer content while its origin was not live
    /// for the host that forwards the heartbeat.
    pub fn apply_heartbeat(&mut self, heartbeat: Heartbeat, asked: MonoNs) -> bool {
        let known = self
            .keys
            .get(&heartbeat.key)
            .and_then(|name| self.hosts.get_mut(name))
            .filter(|known| {
                known.key == heartbeat.key && known.state.revision >= heartbeat.revision
            });
        let Some(known) = known else {
            return false;
        };
        if known.state.host != self.own && known.state.id.beat < heartbeat.beat {
            self.changes += 1;
            known.state.id.beat = heartbeat.beat;
            known.state.requests_per_s = u32::from(heartbeat.requests_per_s);
            known.heartbeat_change = self.changes;
            known.last_heard = known
                .last_heard
                .max(asked.minus_ms(heartbeat.age_ms.into()));
        }
        true
    }

    /// Removes hosts that have sent no heartbeat within the retention time.
    pub fn remove_expired(&mut self, now: MonoNs) {
        let own = self.own.clone();
        self.hosts
            .retain(|name, host| *name == own || now.ms_since(host.last_heard) < RETENTION_MS);
        let hosts = &self.hosts;
        self.keys
            .retain(|key, name| hosts.get(name).is_some_and(|host| host.key == *key));
    }

    /// Returns the cursor of a peer that has received all changes of this host up to now.
    #[must_use]
    pub fn marker(&self) -> ChangeCursor {
        let own = self.hosts.get(&self.own);
        ChangeCursor {
            incarnation: own.map_or(0, |own| own.state.id.incarnation),
            change: self.changes,
        }
    }

    /// Lists the known states of live hosts for a [`GossipDigest`].
    #[must_use]
    pub fn known_states(&self, now: MonoNs) -> Vec<KnownState> {
        let live = self.hosts.values().filter(|host| host.is_live(now));
        live.map(|host| KnownState {
            key: host.key,
            revision: host.state.revision,
        })
        .collect()
    }

    /// Returns what a peer lacks: whole states where the content is new to it, else heartbeats. A
    /// cursor of another incarnation of this host counts as none. Hosts that are not live are left
    /// out, because the peer would treat them as live.
    #[must_use]
    pub fn delta_for(
        &self,
        digest: &GossipDigest,
        now: MonoNs,
    ) -> (Vec<ForwardedState>, Vec<Heartbeat>) {
        let own_cursor = self.marker();
        let (since, known) = match digest {
            GossipDigest::Since(cursor) if cursor.incarnation == own_cursor.incarnation => {
                (cursor.change, BTreeMap::new())
            }
            GossipDigest::Since(_) => (0, BTreeMap::new()),
            GossipDigest::States(states) => {
                let by_key = states.iter().map(|state| (state.key, state.revision));
                (0, by_key.collect())
            }
        };
        let (mut states, mut heartbeats) = (Vec::new(), Vec::new());
        let is_included = |host: &&HostEntry| host.state.host == self.own || host.is_live(now);
        for host in self.hosts.values().filter(is_included) {
            let age_ms = if host.state.host == self.own {
                0
            } else {
                u16::try_from(now.ms_since(host.last_heard)).unwrap_or(u16::MAX)
            };
            let revision = known.get(&host.key);
            let has_content = revision.is_some_and(|known| *known >= host.state.revision);
            if host.content_change > since && !has_content {
                states.push(ForwardedState {
                    state: host.state.clone(),
                    age_ms,
                });
            } else if host.heartbeat_change > since {
                heartbeats.push(Heartbeat {
                    key: host.key,
                    beat: host.state.id.beat,
                    revision: host.state.revision,
                    requests_per_s: u16::try_from(host.state.requests_per_s).unwrap_or(u16::MAX),
                    age_ms,
                });
            }
        }
        (states, heartbeats)
    }

    /// Picks one of this host's neighbours at random to exchange states with. Neighbours of the own
    /// zone are preferred, because traffic between zones is expensive.
    pub fn neighbour<R: Rng>(&self, now: MonoNs, rng: &mut R) -> Option<SocketAddr> {
        let [near, far] = self.neighbours(now);
        let is_near = far.is_empty() || rng.random_range(0..100) < NEAR_PERCENT;
        let candidates = if is_near && !near.is_empty() {
            near
        } else {
            far
        };
        (!candidates.is_empty()).then(|| candidates[rng.random_range(0..candidates.len())])
    }

    /// Lists the live hosts that rank first for this one by rendezvous hashing: those of its own
    /// zone, then those of other zones. They are few, because the first exchange with a host lists
    /// all known states.
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

    /// Picks the address of a host that is not live: always while no other host is live, and
    /// occasionally otherwise, to reconnect after a network partition.
    pub fn reconnect_addr<R: Rng>(&self, now: MonoNs, rng: &mut R) -> Option<SocketAddr> {
        let is_alone = !self.others().any(|host| host.is_live(now));
        let silent = self
            .others()
            .filter(|host| !host.is_live(now) && host.state.stage != HostStage::Leaving)
            .map(|host| host.state.peer_addr);
        let candidates: Vec<SocketAddr> = silent.chain(self.seeds.iter().copied()).collect();
        if candidates.is_empty() || !(is_alone || rng.random_range(0..RECONNECT_ROUNDS) == 0) {
            return None;
        }
        Some(candidates[rng.random_range(0..candidates.len())])
    }

    /// Lists the other hosts, including those that are not live.
    pub fn others(&self) -> impl Iterator<Item = &HostEntry> {
        let own = &self.own;
        self.hosts
            .values()
            .filter(move |host| host.state.host != *own)
    }

    /// Returns the snapshot for the blackboard.
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

/// Snapshot of the hosts for the request path.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Live hosts sorted by name, including this one.
    pub live: Vec<HostState>,
    /// Number of known hosts, including those that stopped sending heartbeats recently.
    pub known: usize,
    /// Whether this host knows the others, see [`Membership::is_settled`].
    pub is_settled: bool,
}

impl FleetView {
    /// Returns the number of hosts that share a budget of the fleet, or `None` until this host is
    /// settled. Otherwise each host of a fleet that restarts at once would use the whole budget.
    #[must_use]
    pub fn budget_sharers(&self) -> Option<usize> {
        self.is_settled.then_some(self.known)
    }

    /// Returns whether both views have the same live hosts in the same stages, so that they assign
    /// duties to the same hosts.
    #[must_use]
    pub fn has_same_hosts(&self, other: &Self) -> bool {
        let stages = |view: &Self| -> Vec<(Name, HostStage)> {
            let of = |host: &HostState| (host.host.clone(), host.stage);
            view.live.iter().map(of).collect()
        };
        self.is_settled == other.is_settled && stages(self) == stages(other)
    }

    /// Returns whether this host is settled and at least half of the known hosts are live.
    /// Otherwise it may be cut off from a fleet that assigns duties without it.
    #[must_use]
    pub fn sees_majority(&self) -> bool {
        self.is_settled && self.live.len() * 2 >= self.known
    }

    /// Returns the requests of callers that all live hosts receive in a second.
    #[must_use]
    pub fn requests_per_s(&self) -> u64 {
        let rate = |host: &HostState| u64::from(host.requests_per_s);
        self.live.iter().map(rate).sum()
    }

    /// Lists the live hosts that accept callers.
    pub fn ready(&self) -> impl Iterator<Item = &HostState> {
        self.live
            .iter()
            .filter(|host| host.stage == HostStage::Ready)
    }
}
