//! The blackboard of an entry host on a platform.

use crate::{
    FleetView, HostStage, Latency, LogBudget, ProbeBudget, RetryBudget, RouteStat, TargetTable,
};
use heatherhinge_blackboard::{Reader, Writer, entry};
use heatherhinge_orders::RouteTable;
use heatherhinge_types::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

/// Counts for the metrics; written on the path of a request.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests of callers.
    pub requests: AtomicU64,
    /// Requests in flight.
    pub in_flight: AtomicU64,
    /// Answers of targets that were passed on.
    pub delivered: AtomicU64,
    /// Refusals, which have not run.
    pub refused: AtomicU64,
    /// Failures, which may have run.
    pub failed: AtomicU64,
    /// Requests sent to targets.
    pub sends: AtomicU64,
    /// Requests sent once more.
    pub repeats: AtomicU64,
    /// Load probes.
    pub probes: AtomicU64,
    /// Connections opened to targets.
    pub connects: AtomicU64,
    /// Calls to the platform's store.
    pub store_calls: AtomicU64,
}

/// The shared state of a host. Each entry has one writer, handed out by [`SteeringBoard::new`].
#[derive(Debug)]
pub struct SteeringBoard {
    /// Name of this host.
    pub host: Name,
    /// Availability zone of this host.
    pub zone: Name,
    /// Routes and services in force.
    pub routes: Reader<RouteTable>,
    /// Targets that may get requests.
    pub targets: Reader<TargetTable>,
    /// Hosts.
    pub fleet: Reader<FleetView>,
    /// Digests of requests that are held back.
    pub quarantined: Reader<BTreeSet<u64>>,
    /// Budgets for sending once more, by service.
    pub budgets: Reader<BTreeMap<Name, Arc<RetryBudget>>>,
    /// What is remembered of routes, by name.
    pub route_stats: Reader<BTreeMap<Name, Arc<RouteStat>>>,
    /// Load probes that may be spent.
    pub probes: ProbeBudget,
    /// Log lines that may be written.
    pub log: LogBudget,
    /// Time from a request's arrival to its answer.
    pub answer_ms: Latency,
    /// Time that it takes to find a target.
    pub placement_ms: Latency,
    /// Counts.
    pub counts: Counts,
    stage: AtomicU8,
}

/// The writers of the entries; the conductor holds them.
#[derive(Debug)]
pub struct SteeringWriters {
    /// Routes and services in force.
    pub routes: Writer<RouteTable>,
    /// Targets that may get requests.
    pub targets: Writer<TargetTable>,
    /// Hosts.
    pub fleet: Writer<FleetView>,
    /// Digests of requests that are held back.
    pub quarantined: Writer<BTreeSet<u64>>,
    /// Budgets for sending once more.
    pub budgets: Writer<BTreeMap<Name, Arc<RetryBudget>>>,
    /// What is remembered of routes.
    pub route_stats: Writer<BTreeMap<Name, Arc<RouteStat>>>,
}

impl SteeringBoard {
    /// Makes an empty board and its writers.
    #[must_use]
    pub fn new(host: Name, zone: Name) -> (Arc<Self>, SteeringWriters) {
        let (routes, routes_writer) = entry(RouteTable::default());
        let (targets, targets_writer) = entry(TargetTable::default());
        let (fleet, fleet_writer) = entry(FleetView::default());
        let (quarantined, held_back_writer) = entry(BTreeSet::new());
        let (budgets, budgets_writer) = entry(BTreeMap::new());
        let (route_stats, route_stats_writer) = entry(BTreeMap::new());
        let board = Arc::new(Self {
            host,
            zone,
            routes,
            targets,
            fleet,
            quarantined,
            budgets,
            route_stats,
            probes: ProbeBudget::default(),
            log: LogBudget::default(),
            answer_ms: Latency::default(),
            placement_ms: Latency::default(),
            counts: Counts::default(),
            stage: AtomicU8::new(HostStage::Starting as u8),
        });
        let writers = SteeringWriters {
            routes: routes_writer,
            targets: targets_writer,
            fleet: fleet_writer,
            quarantined: held_back_writer,
            budgets: budgets_writer,
            route_stats: route_stats_writer,
        };
        (board, writers)
    }

    /// Returns the stage of this host.
    #[must_use]
    pub fn stage(&self) -> HostStage {
        match self.stage.load(Ordering::Acquire) {
            1 => HostStage::Ready,
            2 => HostStage::Leaving,
            _ => HostStage::Starting,
        }
    }

    /// Sets the stage of this host. A host that leaves does not become ready again.
    pub fn set_stage(&self, stage: HostStage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }
}
