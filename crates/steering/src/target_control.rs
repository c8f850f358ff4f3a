//! Makes the routing snapshot from the registered targets, the orders and the hosts.

use crate::{
    DutyRanking, FleetView, MoveTracker, ServicePool, Target, TargetCell, TargetGroup, TargetTable,
};
use heatherhinge_orders::{RouteTable, ServiceSpec, TargetEntry, TargetPhase};
use heatherhinge_types::{Digest, MonoNs, Name};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Share of what a cold target bears that one feeding host uses, in percent. Hosts with different
/// views may both feed a target for a moment, and both together stay within the bound.
const COLD_USED_PERCENT: u64 = 70;
/// Targets of a service that a host uses in its own zone, and in all others together. With a
/// hundred hosts each target is still used by several, and a host's connections and their buffers
/// do not grow with the number of targets.
const SUBSET_SIZE: usize = 24;
/// Time without a fresh copy of the registrations from which entries may have lapsed because
/// their targets could not renew them, in milliseconds.
const OUTAGE_MS: u64 = 2_000;
/// Time for which a target whose entry has lapsed in an outage is still used, in milliseconds.
/// Living targets are back in the store within about this time.
const LAPSED_HOLD_MS: u64 = 2_000;

/// A target that is registered, or whose entry has lapsed lately.
#[derive(Clone, Debug)]
struct Registered {
    entry: Arc<TargetEntry>,
    cell: Arc<TargetCell>,
    /// Set while the entry is missing because it may have lapsed in an outage.
    lapsed_until: Option<MonoNs>,
}

/// What the snapshot is made from, besides the registrations.
#[derive(Clone, Copy, Debug)]
pub struct TargetInputs<'a> {
    /// This host.
    pub host: &'a Name,
    /// Zone of this host.
    pub zone: &'a Name,
    /// Routes and services in force.
    pub routes: &'a RouteTable,
    /// Zones that are taken out.
    pub zones_out: &'a BTreeSet<Name>,
    /// Moves under way.
    pub trackers: &'a BTreeMap<Name, Arc<MoveTracker>>,
    /// Hosts.
    pub fleet: &'a FleetView,
}

/// Keeps the registrations.
#[derive(Debug, Default)]
pub struct TargetControl {
    targets: BTreeMap<Name, Registered>,
}

impl TargetControl {
    /// Takes in an entry that was written or changed.
    pub fn set(&mut self, entry: TargetEntry, now: MonoNs) {
        let known = self.targets.get(&entry.id);
        let is_same_start = known.is_some_and(|known| {
            known.entry.start_wall_ms == entry.start_wall_ms && known.entry.addr == entry.addr
        });
        let cell = match known {
            Some(known) if is_same_start => Arc::clone(&known.cell),
            _ => {
                let cell = Arc::new(TargetCell::default());
                cell.set_cold(now, entry.cold_ms);
                cell
            }
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

    /// Takes in that an entry is gone. `gap_ms` is the time between the copy of the registrations
    /// that still had it and the one that has not.
    pub fn remove(&mut self, id: &Name, gap_ms: u64, now: MonoNs) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        if gap_ms < OUTAGE_MS || known.entry.phase == TargetPhase::Draining {
            self.targets.remove(id);
        } else if known.lapsed_until.is_none() {
            known.lapsed_until = Some(now.plus_ms(LAPSED_HOLD_MS));
        }
    }

    /// Drops targets whose lapsed entries have not come back; returns whether any was dropped.
    pub fn expire(&mut self, now: MonoNs) -> bool {
        let before = self.targets.len();
        self.targets
            .retain(|_, known| known.lapsed_until.is_none_or(|until| now < until));
        self.targets.len() != before
    }

    /// Returns the number of targets known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Makes the snapshot.
    #[must_use]
    pub fn table(&self, stored_version: u64, inputs: &TargetInputs<'_>) -> TargetTable {
        let ring = DutyRanking::new(inputs.host, inputs.fleet);
        // Several hosts that were cut off would each feed every cold target.
        let may_feed = inputs.fleet.hears_most();
        let mut pools: BTreeMap<Name, ServicePool> = BTreeMap::new();
        for known in self.targets.values() {
            let entry = &known.entry;
            let Some(spec) = inputs.routes.services.get(&entry.service) else {
                continue;
            };
            if entry.phase == TargetPhase::Draining || inputs.zones_out.contains(&entry.zone) {
                continue;
            }
            let pool = pools.entry(entry.service.clone()).or_default();
            pool.tracker = inputs.trackers.get(&entry.service).cloned();
            let is_moving = pool
                .tracker
                .as_ref()
                .is_some_and(|tracker| tracker.order.to == entry.version);
            let group = if is_moving {
                &mut pool.moving
            } else {
                &mut pool.current
            };
            let may_send_while_cold = may_feed && ring.duty_rank(&entry.id) == Some(0);
            add(group, known, spec, may_send_while_cold, inputs.zone);
        }
        for pool in pools.values_mut() {
            for group in [&mut pool.current, &mut pool.moving] {
                keep_subset(&mut group.near, inputs.host);
                keep_subset(&mut group.far, inputs.host);
            }
        }
        TargetTable {
            stored_version,
            pools: pools
                .into_iter()
                .map(|(name, pool)| (name, Arc::new(pool)))
                .collect(),
        }
    }
}

fn add(
    group: &mut TargetGroup,
    known: &Registered,
    spec: &ServiceSpec,
    may_send_while_cold: bool,
    zone: &Name,
) {
    let entry = &known.entry;
    let target = Arc::new(Target {
        entry: Arc::clone(entry),
        health_path: spec.health_path.clone(),
        cold_interval_ns: cold_interval_ns(spec),
        may_send_while_cold,
        cell: Arc::clone(&known.cell),
    });
    if entry.zone == *zone {
        group.near.push(target);
    } else {
        group.far.push(target);
    }
}

/// Keeps the targets of a zone that this host uses. Targets that it feeds while they are cold
/// stay in any case.
fn keep_subset(targets: &mut Vec<Arc<Target>>, host: &Name) {
    if targets.len() <= SUBSET_SIZE {
        return;
    }
    targets.sort_by_cached_key(|target| {
        let weight = Digest::of_parts(&[host.as_bytes(), target.id().as_bytes()]).0;
        (!target.may_send_while_cold, weight)
    });
    targets.truncate(SUBSET_SIZE);
}

/// Returns the time between requests to a cold target, in nanoseconds.
fn cold_interval_ns(spec: &ServiceSpec) -> u64 {
    let milli_per_s = spec.cold_milli_per_s * COLD_USED_PERCENT / 100;
    1_000_000_000_000_u64
        .checked_div(milli_per_s)
        .unwrap_or(u64::MAX)
}
