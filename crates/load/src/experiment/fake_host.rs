//! Holds the decision state of one simulated entry host.

use super::Fleet;
use heatherhinge_blackboard::{ServiceCounters, ServiceTargets, TargetCell, VersionPool};
use heatherhinge_bundle::{Route, RouteClass, Service};
use heatherhinge_policy::{RequestPlan, WaitQueue};
use heatherhinge_types::{MonoNs, Name, Urgency};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Most requests that wait on one host.
pub(crate) const QUEUE_LEN: u32 = 100;
/// Longest wait of a request for a target, in milliseconds.
pub(crate) const QUEUE_MS: u64 = 200;
/// Deadline of requests in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 1_000;

/// One entry host with its own cells, policy state, wait queue and random numbers.
#[derive(Debug)]
pub(crate) struct FakeHost<P> {
    pub(crate) picker: P,
    pub(crate) cells: Vec<Arc<TargetCell>>,
    pub(crate) waiting: WaitQueue<u32>,
    /// Whether a wake event for the wait queue is scheduled.
    pub(crate) is_wake_scheduled: bool,
    pub(crate) rng: Pcg64,
    plan: RequestPlan,
}

impl<P> FakeHost<P> {
    /// Makes the host with this number.
    pub(crate) fn new(fleet: &Fleet, number: usize, seed: u64, picker: P) -> Self {
        let cells: Vec<_> = (0..fleet.targets).map(|t| cell(fleet, t)).collect();
        let pool = VersionPool {
            version: Name::new("v1"),
            share_permille: 1_000,
            warm: cells.clone(),
            cold: Vec::new(),
            remote_partitions: BTreeSet::new(),
        };
        let (service, route) = service(fleet);
        let targets = ServiceTargets {
            service: Arc::new(service),
            counters: Arc::new(ServiceCounters::default()),
            pools: vec![pool],
            move_counters: None,
        };
        Self {
            picker,
            cells,
            waiting: WaitQueue::default(),
            is_wake_scheduled: false,
            rng: Pcg64::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64)),
            plan: RequestPlan {
                is_new_version: None,
                targets: Arc::new(targets),
                route,
                is_idempotent: true,
                key: None,
                urgency: Urgency::DEFAULT,
                deadline_ns: MonoNs(0),
                caller_attempt: 1,
            },
        }
    }

    /// Returns the plan of a request that arrived at this time.
    pub(crate) fn plan(&self, arrived_ns: u64) -> RequestPlan {
        RequestPlan {
            deadline_ns: MonoNs(arrived_ns).plus_ms(DEADLINE_MS),
            ..self.plan.clone()
        }
    }
}

fn cell(fleet: &Fleet, target: usize) -> Arc<TargetCell> {
    let port = u16::try_from(10_000 + target).unwrap_or(u16::MAX);
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let zone = Name::from(format!("zone-{}", target % fleet.zones));
    Arc::new(TargetCell::new(addr, zone, Name::new("v1")))
}

fn service(fleet: &Fleet) -> (Service, Arc<Route>) {
    let route = Arc::new(Route {
        name: Name::new("all"),
        prefix: "/".to_owned(),
        methods: BTreeSet::new(),
        idempotent: Some(true),
        class: RouteClass::Interactive,
        urgency: Urgency::DEFAULT,
        body_limit_bytes: 0,
        deadline_ms: DEADLINE_MS,
    });
    let service = Service {
        name: Name::new(fleet.name),
        zones: BTreeSet::new(),
        version: Name::new("v1"),
        slots: fleet.slots,
        connections: 200,
        warm_ms: 0,
        queue_ms: QUEUE_MS,
        queue_len: QUEUE_LEN,
        routes: vec![Arc::clone(&route)],
        version_move: None,
    };
    (service, route)
}
