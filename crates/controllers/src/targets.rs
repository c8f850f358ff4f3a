//! Builds the routing snapshot from the bundle, zones, moves, warmth and the list of targets.
//!
//! The controller is the only writer of the `routing` entry. See `docs/design.md`, sections 5 and
//! 9.

use crate::Controller;
use crate::decision_record::current_basis;
use heatherhinge_blackboard::{
    Blackboard, ColdTarget, MoveCounters, MoveEntry, MoveState, RoutingSnapshot, ServiceCounters,
    ServiceTargets, TargetCell, VersionPool, Warmth, WarmthTable, Writer, ZoneTable,
};
use heatherhinge_bundle::Service;
use heatherhinge_types::{Name, Now, Partition};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// One target in the list that the platform publishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// Name of the service.
    pub service: Name,
    /// Address that the target serves requests on.
    pub addr: SocketAddr,
    /// Zone that the target runs in.
    pub zone: Name,
    /// Version that the target runs.
    pub version: Name,
    /// Whether the target is shutting down and must get no new requests.
    pub is_leaving: bool,
}

/// Events of the target controller.
#[derive(Clone, Debug)]
pub enum TargetEvent {
    /// The platform's list was read.
    Listed(Vec<ListedTarget>),
    /// A target reported in a response that it is shutting down.
    Leaving,
    /// Time passed; another entry may have changed.
    Tick,
}

/// Publishes the routing snapshot.
#[derive(Debug)]
pub struct TargetController {
    writer: Writer<RoutingSnapshot>,
    listed: Vec<ListedTarget>,
    /// Targets that are not leaving, by service, so that a rebuild reads each of them once.
    by_service: BTreeMap<Name, Vec<(Arc<TargetCell>, ListedTarget)>>,
    list_changed: bool,
    cells: BTreeMap<SocketAddr, Arc<TargetCell>>,
    counters: BTreeMap<Name, Arc<ServiceCounters>>,
    move_counters: BTreeMap<Name, Arc<MoveCounters>>,
}

impl TargetController {
    /// Creates the controller with the only writer of the `routing` entry.
    #[must_use]
    pub fn new(writer: Writer<RoutingSnapshot>) -> Self {
        Self {
            writer,
            listed: Vec::new(),
            by_service: BTreeMap::new(),
            list_changed: false,
            cells: BTreeMap::new(),
            counters: BTreeMap::new(),
            move_counters: BTreeMap::new(),
        }
    }

    /// Returns the cell of a target that is listed, or was listed and still has requests in flight.
    #[must_use]
    pub fn cell(&self, addr: &SocketAddr) -> Option<&Arc<TargetCell>> {
        self.cells.get(addr)
    }

    fn apply_list(&mut self, listed: Vec<ListedTarget>) {
        if listed == self.listed {
            return;
        }
        let wanted: BTreeMap<SocketAddr, &ListedTarget> =
            listed.iter().map(|target| (target.addr, target)).collect();
        self.cells.retain(|addr, cell| {
            let is_listed = wanted.get(addr).is_some_and(|t| t.version == cell.version);
            is_listed || cell.own_in_flight() > 0
        });
        self.by_service.clear();
        for target in &listed {
            let known = self.cells.get(&target.addr);
            let known = known.filter(|c| c.version == target.version && c.zone == target.zone);
            let cell = known.cloned().unwrap_or_else(|| {
                let (zone, version) = (target.zone.clone(), target.version.clone());
                Arc::new(TargetCell::new(target.addr, zone, version))
            });
            self.cells.insert(target.addr, Arc::clone(&cell));
            if !target.is_leaving {
                let service = self.by_service.entry(target.service.clone()).or_default();
                service.push((cell, target.clone()));
            }
        }
        self.listed = listed;
        self.list_changed = true;
    }

    fn rebuild(&mut self, board: &Blackboard) {
        let basis = current_basis(board);
        if !self.list_changed && basis == self.writer.read().value.basis {
            return;
        }
        let bundle = board.bundle.read_owned();
        let Some(bundle) = bundle.value.as_ref() else {
            return;
        };
        let (zones, moves, warmth) = (
            board.zones.read_owned(),
            board.moves.read_owned(),
            board.warmth.read_owned(),
        );
        let mut services = BTreeMap::new();
        for (name, service) in &bundle.services {
            let pools = pool_plan(service, moves.value.services.get(name))
                .into_iter()
                .map(|(version, share_permille)| {
                    self.pool(
                        service,
                        version,
                        share_permille,
                        &zones.value,
                        &warmth.value,
                    )
                })
                .collect();
            let counters = Arc::clone(self.counters.entry(name.clone()).or_default());
            let entry = moves.value.services.get(name);
            let targets = ServiceTargets {
                service: Arc::clone(service),
                counters,
                move_counters: self.counters_of_move(service, entry),
                pools,
            };
            services.insert(name.clone(), Arc::new(targets));
        }
        self.counters
            .retain(|name, _| bundle.services.contains_key(name));
        self.move_counters
            .retain(|name, _| bundle.services.contains_key(name));
        self.list_changed = false;
        self.writer.publish(RoutingSnapshot { basis, services });
    }

    /// Returns the counters of a move, kept while its name is the same and no route is added.
    fn counters_of_move(
        &mut self,
        service: &Service,
        entry: Option<&MoveEntry>,
    ) -> Option<Arc<MoveCounters>> {
        let Some(entry) = entry else {
            self.move_counters.remove(&service.name);
            return None;
        };
        let known = self.move_counters.get(&service.name).filter(|counters| {
            let mut routes = service.routes.iter();
            counters.move_id == entry.id && routes.all(|r| counters.routes.contains_key(&r.name))
        });
        let counters = known.cloned().unwrap_or_else(|| {
            let routes = service.routes.iter().map(|route| route.name.clone());
            Arc::new(MoveCounters::new(entry.id.clone(), routes))
        });
        counters.begin_step(entry.step);
        self.move_counters
            .insert(service.name.clone(), Arc::clone(&counters));
        Some(counters)
    }

    fn pool(
        &self,
        service: &Service,
        version: Name,
        share_permille: u32,
        zones: &ZoneTable,
        warmth: &WarmthTable,
    ) -> VersionPool {
        let mut pool = VersionPool {
            version,
            share_permille,
            warm: Vec::new(),
            cold: Vec::new(),
            remote_partitions: BTreeSet::new(),
        };
        for (cell, target) in self.by_service.get(&service.name).into_iter().flatten() {
            let is_usable = target.version == pool.version
                && service.zones.contains(&target.zone)
                && zones.accepts_requests(&target.zone);
            if !is_usable {
                continue;
            }
            match warmth.get(&cell.id) {
                // The cell may hold an earlier or a later run than the one announced. The warmup
                // controller gets every new run, so its entry decides. A run that reported that it
                // is leaving gets no new requests; the next run may.
                Warmth::Warm { start_id } if cell.leaving_run() == Some(start_id) => {}
                Warmth::Owned { .. } if is_leaving_now(cell) => {}
                Warmth::Warm { .. } => pool.warm.push(Arc::clone(cell)),
                Warmth::Owned { allowance } => {
                    pool.cold.push(ColdTarget {
                        cell: Arc::clone(cell),
                        allowance,
                    });
                }
                Warmth::NotOwned => {
                    pool.remote_partitions.insert(Partition::of_name(&cell.id));
                }
            }
        }
        pool
    }
}

impl Controller for TargetController {
    type Event = TargetEvent;
    type Effect = std::convert::Infallible;

    fn step(&mut self, board: &Blackboard, event: TargetEvent, _now: Now) -> Vec<Self::Effect> {
        match event {
            TargetEvent::Listed(listed) => self.apply_list(listed),
            TargetEvent::Leaving => self.list_changed = true,
            TargetEvent::Tick => {}
        }
        self.rebuild(board);
        Vec::new()
    }
}

fn is_leaving_now(cell: &TargetCell) -> bool {
    cell.leaving_run().is_some() && cell.leaving_run() == cell.start_id()
}

/// Returns the versions that get traffic, with their shares in thousandths, the main one first.
fn pool_plan(service: &Service, entry: Option<&MoveEntry>) -> Vec<(Name, u32)> {
    let Some(entry) = entry else {
        return vec![(service.version.clone(), 1_000)];
    };
    match entry.state {
        MoveState::Done => vec![(entry.to.clone(), 1_000)],
        MoveState::TakenBack | MoveState::Waiting => vec![(entry.from.clone(), 1_000)],
        MoveState::Canary | MoveState::Raising | MoveState::Late => {
            vec![
                (entry.from.clone(), 1_000),
                (entry.to.clone(), entry.share_permille),
            ]
        }
    }
}
