//! The blackboard that the controllers and the request path of an entry host share.

use crate::{
    FleetView, HostStage, Latency, LogBudget, ProbeBudget, RetryBudget, RouteStat, ServedRequests,
    TargetTable,
};
use heatherhinge_blackboard::{Reader, Writer, entry};
use heatherhinge_orders::RouteTable;
use heatherhinge_types::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

/// Counters for the metrics, updated on the request path.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests of callers received.
    pub requests: AtomicU64,
    /// Requests of callers in flight.
    pub in_flight: AtomicU64,
    /// Responses of targets returned to callers.
    pub delivered: AtomicU64,
    /// Requests refused before they ran.
    pub refused: AtomicU64,
    /// Requests that failed and may have run.
    pub failed: AtomicU64,
    /// Streamed responses that ended early because of the target or of the time allowed.
    pub cut_streams: AtomicU64,
    /// Requests sent to targets.
    pub sends: AtomicU64,
    /// Retries and hedged requests.
    pub retries: AtomicU64,
    /// Load probes sent to targets.
    pub probes: AtomicU64,
    /// Connections opened to targets.
    pub connects: AtomicU64,
    /// Calls to the platform's store.
    pub store_calls: AtomicU64,
    /// Returns of the store from an older copy that this host has noticed.
    pub store_returns: AtomicU64,
}

/// The shared state of a host. Each entry has one writer, which [`SteeringBoard::new`] returns.
#[derive(Debug)]
pub struct SteeringBoard {
    /// Name of this host.
    pub host: Name,
    /// Availability zone of this host.
    pub zone: Name,
    /// Routes and services in force.
    pub routes: Reader<RouteTable>,
    /// Targets that may receive requests.
    pub targets: Reader<TargetTable>,
    /// Live hosts.
    pub fleet: Reader<FleetView>,
    /// Digests of quarantined requests.
    pub quarantined: Reader<BTreeSet<u64>>,
    /// Retry budgets by service.
    pub budgets: Reader<BTreeMap<Name, Arc<RetryBudget>>>,
    /// Statistics of routes by name.
    pub route_stats: Reader<BTreeMap<Name, Arc<RouteStat>>>,
    /// Requests that targets have answered recently.
    pub served: ServedRequests,
    /// Budget for load probes.
    pub probes: ProbeBudget,
    /// Rate limit of log lines.
    pub log: LogBudget,
    /// Time from a request's arrival to its response, in milliseconds.
    pub answer_ms: Latency,
    /// Time to choose a target, in milliseconds.
    pub placement_ms: Latency,
    /// Counters for the metrics.
    pub counts: Counts,
    stage: AtomicU8,
}

/// The writers of the entries; the control loop holds them.
#[derive(Debug)]
pub struct SteeringWriters {
    /// Routes and services in force.
    pub routes: Writer<RouteTable>,
    /// Targets that may receive requests.
    pub targets: Writer<TargetTable>,
    /// Live hosts.
    pub fleet: Writer<FleetView>,
    /// Digests of quarantined requests.
    pub quarantined: Writer<BTreeSet<u64>>,
    /// Retry budgets by service.
    pub budgets: Writer<BTreeMap<Name, Arc<RetryBudget>>>,
    /// Statistics of routes by name.
    pub route_stats: Writer<BTreeMap<Name, Arc<RouteStat>>>,
}

impl SteeringBoard {
    /// Creates an empty board and its writers.
    #[must_use]
    pub fn new(host: Name, zone: Name) -> (Arc<Self>, SteeringWriters) {
        let (routes, routes_writer) = entry(RouteTable::default());
        let (targets, targets_writer) = entry(TargetTable::default());
        let (fleet, fleet_writer) = entry(FleetView::default());
        let (quarantined, quarantined_writer) = entry(BTreeSet::new());
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
            served: ServedRequests::default(),
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
            quarantined: quarantined_writer,
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

    /// Advances the stage of this host. An earlier stage than the current one has no effect.
    pub fn set_stage(&self, stage: HostStage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }
}
