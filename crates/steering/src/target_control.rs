//! Builds the routing snapshot from the registered targets, the orders and the live hosts.

use crate::move_tracker::EXPOSURE_MILLI;
use crate::pace::MIN_FEEDERS;
use crate::{
    DutyRanking, FleetView, MoveTracker, PastMoves, ServicePool, Target, TargetCell, TargetGroup,
    TargetTable, VersionFate,
};
use heatherhinge_orders::{RouteTable, ServiceSpec, TargetEntry, TargetPhase};
use heatherhinge_types::{Digest, MonoNs, Name, StoreVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Share of a cold target's rate limit that the host which sends to it uses, in percent. Two hosts
/// with different views may both send for a moment; at 140% together they stay within the bound of
/// 1.5 times the rate plus a small burst over any second.
const COLD_USED_PERCENT: u64 = 70;
/// Targets of a service that a host uses in its own zone, and in all others together. It bounds a
/// host's connections and their buffers; with a hundred hosts each target is still used by several.
const SUBSET_SIZE: usize = 24;
/// Targets that an unproven version is tried on at least, so that one that is broken or slow does
/// not stand for the version.
const MIN_TRIAL_TARGETS: usize = 2;
/// Gap between copies of the registrations, in milliseconds, from which missing entries may have
/// lapsed because their targets could not renew them.
const OUTAGE_GAP_MS: u64 = 2_000;
/// Time for which a target whose entry lapsed in an outage is still used, in milliseconds. Live
/// targets register again within about this time.
const LAPSED_RETENTION_MS: u64 = 2_000;

/// Time after the first update of an epoch for which the registrations of a copy are not taken for
/// departures or returns of targets, in milliseconds. Live targets register again within about two
/// seconds, and hosts learn of it a little later.
const RETURN_RETENTION_MS: u64 = 3_000;
/// Most removed targets whose state is kept.
const MAX_REMOVED: usize = 1_024;

/// A target that is registered, or whose entry lapsed recently.
#[derive(Clone, Debug)]
struct Registered {
    entry: Arc<TargetEntry>,
    cell: Arc<TargetCell>,
    /// When the target is removed, if its entry is missing and may have lapsed in an outage.
    lapsed_until: Option<MonoNs>,
}

/// Inputs of the snapshot besides the registrations.
#[derive(Clone, Copy, Debug)]
pub struct TargetInputs<'a> {
    /// This host.
    pub host: &'a Name,
    /// Zone of this host.
    pub zone: &'a Name,
    /// Routes and services in force.
    pub routes: &'a RouteTable,
    /// Zones whose targets receive no requests.
    pub zones_out: &'a BTreeSet<Name>,
    /// Moves in progress, by service.
    pub trackers: &'a BTreeMap<Name, Arc<MoveTracker>>,
    /// What became of versions whose moves are over.
    pub past_moves: &'a PastMoves,
    /// Live hosts; they decide which hosts send to a cold or rate-limited target.
    pub fleet: &'a FleetView,
}

/// Registered targets by id.
#[derive(Debug, Default)]
pub struct TargetControl {
    targets: BTreeMap<Name, Registered>,
    /// Starts and states of targets whose entries were removed. An entry may lapse while the store
    /// is away and come back; what the target has said of itself still holds then.
    removed: BTreeMap<Name, (u64, Arc<TargetCell>)>,
    /// Entries of removed targets that an older copy of the store shows, and until when they are not
    /// used unless they are written again.
    held: BTreeMap<Name, (TargetEntry, MonoNs)>,
}

impl TargetControl {
    /// Adds or replaces an entry. The request state of a target is kept unless it has restarted.
    pub fn set(&mut self, entry: TargetEntry, now: MonoNs) {
        self.held.remove(&entry.id);
        let known = self.targets.get(&entry.id);
        let is_same_start = known.is_some_and(|known| {
            known.entry.start_wall_ms == entry.start_wall_ms && known.entry.addr == entry.addr
        });
        let cell = match known {
            Some(known) if is_same_start => Arc::clone(&known.cell),
            _ => self.take_removed(&entry).unwrap_or_else(|| {
                let cell = Arc::new(TargetCell::default());
                cell.set_cold(now, entry.cold_ms);
                cell
            }),
        };
        if entry.cold_ms > 0 {
            cell.set_cold(now, entry.cold_ms);
        }
        let registered = Registered {
            cell,
            lapsed_until: None,
            entry: Arc::new(entry),
        };
        self.targets.insert(registered.entry.id.clone(), registered);
    }

    /// Adds or replaces an entry that the first update of an epoch shows. It may be older than what is
    /// known: a target that was draining stays so, one that was removed is held back, and an earlier
    /// start does not replace a later one.
    pub fn set_restored(&mut self, entry: TargetEntry, now: MonoNs) {
        let until = now.plus_ms(RETURN_RETENTION_MS);
        if let Some(known) = self.targets.get_mut(&entry.id) {
            let is_earlier_start = entry.start_wall_ms < known.entry.start_wall_ms;
            let is_same_start = entry.start_wall_ms == known.entry.start_wall_ms;
            let was_draining = known.entry.phase == TargetPhase::Draining;
            if is_earlier_start {
                known.lapsed_until = Some(until);
            } else if !(is_same_start && was_draining) {
                self.set(entry, now);
            }
            return;
        }
        let removed = self.removed.get(&entry.id);
        if removed.is_some_and(|(start, _)| entry.start_wall_ms <= *start) {
            self.held.insert(entry.id.clone(), (entry, until));
        } else {
            self.set(entry, now);
        }
    }

    /// Removes an entry that the first update of an epoch lacks. Its target is used for a while longer,
    /// until it can have registered again.
    pub fn remove_restored(&mut self, id: &Name, now: MonoNs) {
        self.held.remove(id);
        match self.targets.get_mut(id) {
            Some(known) if known.entry.phase != TargetPhase::Draining => {
                known.lapsed_until = Some(now.plus_ms(RETURN_RETENTION_MS));
            }
            _ => self.remove(id, 0, now),
        }
    }

    /// Removes an entry. `gap_ms` is the time between the last copy of the registrations that had
    /// it and the one without it; after a long gap the target is used for a while longer.
    pub fn remove(&mut self, id: &Name, gap_ms: u64, now: MonoNs) {
        self.held.remove(id);
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        if gap_ms < OUTAGE_GAP_MS || known.entry.phase == TargetPhase::Draining {
            let removed = self.targets.remove(id);
            removed.into_iter().for_each(|known| self.retire(&known));
        } else if known.lapsed_until.is_none() {
            known.lapsed_until = Some(now.plus_ms(LAPSED_RETENTION_MS));
        }
    }

    /// Removes targets whose lapsed entries were not renewed in time, and uses those whose entries
    /// were held back and are still there; returns whether there were any.
    pub fn expire(&mut self, now: MonoNs) -> bool {
        let is_due = |(_, until): &(TargetEntry, MonoNs)| now >= *until;
        let due: Vec<TargetEntry> = self
            .held
            .values()
            .filter(|held| is_due(held))
            .map(|(entry, _)| entry.clone())
            .collect();
        let has_due = !due.is_empty();
        due.into_iter().for_each(|entry| self.set(entry, now));
        let is_expired = |known: &Registered| known.lapsed_until.is_some_and(|until| now >= until);
        let expired: Vec<Registered> = self
            .targets
            .values()
            .filter(|known| is_expired(known))
            .cloned()
            .collect();
        for known in &expired {
            self.targets.remove(&known.entry.id);
            self.retire(known);
        }
        has_due || !expired.is_empty()
    }

    /// Keeps the state of a removed target.
    fn retire(&mut self, known: &Registered) {
        let start = known.entry.start_wall_ms;
        let removed = (start, Arc::clone(&known.cell));
        self.removed.insert(known.entry.id.clone(), removed);
        if self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, (start, _))| *start);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.removed.remove(&id));
        }
    }

    /// Returns the state of a target that was removed and has not started again.
    fn take_removed(&mut self, entry: &TargetEntry) -> Option<Arc<TargetCell>> {
        let (start, cell) = self.removed.remove(&entry.id)?;
        (start == entry.start_wall_ms).then_some(cell)
    }

    /// Returns the number of registered targets that have said that they leave.
    #[must_use]
    pub fn leaving(&self) -> usize {
        let is_leaving = |known: &&Registered| known.cell.is_leaving();
        self.targets.values().filter(is_leaving).count()
    }

    /// Returns the number of targets, including those whose entries have lapsed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there is no target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Builds the snapshot. Draining targets, those in excluded zones and those of versions that
    /// were rolled back are left out. A version whose move ended before it had proven itself is
    /// used only if there is no other.
    #[must_use]
    pub fn table(&self, stored_version: StoreVersion, inputs: &TargetInputs<'_>) -> TargetTable {
        let ranking = DutyRanking::new(inputs.host, inputs.fleet);
        // Several hosts that are cut off from the fleet would each send to every cold or
        // rate-limited target.
        let may_feed = inputs.fleet.sees_majority();
        let mut pools: BTreeMap<Name, ServicePool> = BTreeMap::new();
        let mut unproven: BTreeMap<Name, TargetGroup> = BTreeMap::new();
        for known in self.targets.values() {
            let entry = &known.entry;
            let Some(spec) = inputs.routes.services.get(&entry.service) else {
                continue;
            };
            let is_leaving = entry.phase == TargetPhase::Draining || known.cell.is_leaving();
            if is_leaving || inputs.zones_out.contains(&entry.zone) {
                continue;
            }
            let pool = pools.entry(entry.service.clone()).or_default();
            pool.tracker = inputs.trackers.get(&entry.service).cloned();
            let is_moving = pool
                .tracker
                .as_ref()
                .is_some_and(|tracker| tracker.order.to == entry.version);
            let fate = inputs.past_moves.fate(&entry.service, &entry.version);
            let group = match fate {
                _ if is_moving => &mut pool.moving,
                Some(VersionFate::RolledBack) => continue,
                Some(VersionFate::Unproven) => unproven.entry(entry.service.clone()).or_default(),
                Some(VersionFate::Accepted) | None => &mut pool.current,
            };
            let target = Target {
                entry: Arc::clone(entry),
                health_path: spec.health_path.clone(),
                cold_interval_ns: cold_interval_ns(spec),
                feeder_rank: ranking.duty_rank(&entry.id).filter(|_| may_feed),
                ranked_hosts: ranking.len(),
                cell: Arc::clone(&known.cell),
            };
            add(group, target, inputs.zone);
        }
        for (service, pool) in &mut pools {
            if pool.current.is_empty() {
                pool.current = unproven.remove(service).unwrap_or_default();
            }
            pool.trial = trial_targets(&pool.moving);
            for group in [&mut pool.current, &mut pool.moving] {
                truncate_to_subset(&mut group.near, inputs.host);
                truncate_to_subset(&mut group.far, inputs.host);
            }
        }
        TargetTable {
            stored_version,
            leaving: self.leaving(),
            pools: pools
                .into_iter()
                .map(|(name, pool)| (name, Arc::new(pool)))
                .collect(),
        }
    }
}

fn add(group: &mut TargetGroup, target: Target, zone: &Name) {
    let targets = if target.entry.zone == *zone {
        &mut group.near
    } else {
        &mut group.far
    };
    targets.push(Arc::new(target));
}

/// Returns the targets that an unproven version is tried on. They are the first by hash, so that all
/// hosts use the same ones.
fn trial_targets(moving: &TargetGroup) -> TargetGroup {
    let hash = |target: &Arc<Target>| Digest::of(target.id().as_bytes()).0;
    let share = u64::try_from(moving.len()).unwrap_or(u64::MAX) * EXPOSURE_MILLI;
    let count = usize::try_from(share.div_ceil(1_000)).unwrap_or(usize::MAX);
    let mut hashes: Vec<_> = moving.near.iter().chain(&moving.far).map(hash).collect();
    hashes.sort_unstable();
    hashes.truncate(count.max(MIN_TRIAL_TARGETS));
    let pick = |targets: &[Arc<Target>]| -> Vec<Arc<Target>> {
        let is_tried = |target: &&Arc<Target>| hashes.contains(&hash(target));
        targets.iter().filter(is_tried).cloned().collect()
    };
    TargetGroup {
        near: pick(&moving.near),
        far: pick(&moving.far),
    }
}

/// Truncates `targets` to the subset of this host, chosen by rendezvous hashing. Those that it
/// feeds while they are cold or rate-limited come first.
fn truncate_to_subset(targets: &mut Vec<Arc<Target>>, host: &Name) {
    if targets.len() <= SUBSET_SIZE {
        return;
    }
    targets.sort_by_cached_key(|target| {
        let weight = Digest::of_parts(&[host.as_bytes(), target.id().as_bytes()]).0;
        let may_feed = target.feeder_rank.is_some_and(|rank| rank < MIN_FEEDERS);
        (!may_feed, weight)
    });
    targets.truncate(SUBSET_SIZE);
}

/// Returns the time between requests to a cold target, in nanoseconds; `u64::MAX` if it takes none.
fn cold_interval_ns(spec: &ServiceSpec) -> u64 {
    let milli_per_s = spec.cold_milli_per_s * COLD_USED_PERCENT / 100;
    1_000_000_000_000_u64
        .checked_div(milli_per_s)
        .unwrap_or(u64::MAX)
}
