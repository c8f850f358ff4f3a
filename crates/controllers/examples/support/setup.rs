//! A user's size, the conditions of a run, and the bundle that it starts with.

use heatherhinge_blackboard::{HostRecord, RecordVersion, Spend};
use heatherhinge_bundle::{
    Budget, Bundle, BundleVersion, Route, RouteClass, Service, VersionMove, Zone, ZoneState,
};
use heatherhinge_types::{Name, Now, Urgency, WallMs};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Share of an unproven version.
pub const CAP_PERMILLE: u32 = 20;

/// Virtual time, `ms` after the start of the run.
pub fn at(ms: u64) -> Now {
    Now::default().plus_ms(1_000_000 + ms)
}

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Every answer fails.
    Broken,
    /// One answer in five fails.
    Fails,
    /// Answers take twice as long.
    Slow,
    /// One answer in five fails, from the 90th second on.
    FailsLater,
    /// Three answers in ten fail once more than 30% of the calls go to it.
    UnderLoad,
    /// Three answers in ten fail on the last route.
    OneRoute,
}

/// A user's size and the conditions of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Entry hosts.
    pub hosts: usize,
    /// Availability zones.
    pub zones: usize,
    /// Targets of each version.
    pub targets: usize,
    /// Calls per second over all hosts.
    pub calls_per_s: f64,
    /// Routes with their share of the calls.
    pub routes: Vec<(&'static str, f64)>,
    /// What is wrong with the new version.
    pub fault: Fault,
    /// Whether neighbouring workloads disturb zones and targets.
    pub is_noisy: bool,
    /// From when to when the store is down, in milliseconds.
    pub store_down_ms: (u64, u64),
    /// Writes of which the answer is lost, in thousandths.
    pub answers_lost_permille: u32,
    /// When the leader is paused for 40 s, if it is.
    pub leader_paused_ms: Option<u64>,
    /// Length of the move in milliseconds.
    pub move_ms: u64,
    /// Seed of the run.
    pub seed: u64,
}

impl Setup {
    /// The orders of Vatuwaqa Bronze & Chime Works.
    pub fn vatuwaqa(fault: Fault, is_noisy: bool, seed: u64) -> Self {
        Self {
            hosts: 16,
            zones: 3,
            targets: 25,
            calls_per_s: 400.0,
            routes: vec![("stock", 0.6), ("sheets", 0.25), ("casting", 0.15)],
            fault,
            is_noisy,
            store_down_ms: (0, 0),
            answers_lost_permille: 0,
            leader_paused_ms: None,
            move_ms: 600_000,
            seed,
        }
    }

    /// The bookings of Kozhikode Koop Rentals.
    pub fn kozhikode(fault: Fault, is_noisy: bool, seed: u64) -> Self {
        Self {
            hosts: 19,
            zones: 4,
            targets: 30,
            calls_per_s: 500.0,
            routes: vec![("availability", 0.7), ("history", 0.2), ("booking", 0.1)],
            ..Self::vatuwaqa(fault, is_noisy, seed)
        }
    }
}

fn service(setup: &Setup, version_move: Option<VersionMove>) -> Service {
    let route = |name: &str| Route {
        name: Name::from(name),
        prefix: format!("/{name}"),
        methods: BTreeSet::new(),
        idempotent: None,
        class: RouteClass::Interactive,
        urgency: Urgency::DEFAULT,
        body_limit_bytes: 1_000,
        deadline_ms: 500,
    };
    Service {
        name: Name::from("orders"),
        zones: (0..setup.zones).map(zone).collect(),
        version: Name::from("v1"),
        slots: 5,
        connections: 200,
        warm_ms: 3_000,
        queue_ms: 100,
        queue_len: 100,
        routes: setup
            .routes
            .iter()
            .map(|(name, _)| Arc::new(route(name)))
            .collect(),
        version_move,
    }
}

/// Name of a zone.
pub fn zone(index: usize) -> Name {
    Name::from(format!("zone{index}"))
}

/// A bundle with or without a move.
pub fn bundle(setup: &Setup, version: u64, move_id: Option<&str>) -> Arc<Bundle> {
    let version_move = move_id.map(|id| VersionMove {
        id: Name::from(id),
        from: Name::from("v1"),
        to: Name::from("v2"),
        end_wall_ms: at(setup.move_ms).wall_ms,
        cap_permille: CAP_PERMILLE,
        min_samples: 300,
    });
    let service = service(setup, version_move);
    let state = Zone {
        state: ZoneState::In,
    };
    Arc::new(Bundle {
        version: BundleVersion(version),
        zones: service
            .zones
            .iter()
            .map(|zone| (zone.clone(), state))
            .collect(),
        services: BTreeMap::from([(service.name.clone(), Arc::new(service))]),
        budget: Budget {
            probes_per_s: 10,
            retry_permille: 100,
            lease_ms: 10_000,
        },
        revoked_keys: BTreeSet::new(),
    })
}

/// The first record of a host.
pub fn record(host: Name, zone: Name, incarnation: u64) -> HostRecord {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    HostRecord {
        host,
        version: RecordVersion {
            incarnation,
            sequence: 0,
        },
        zone,
        caller_addr: addr,
        peer_addr: addr,
        takes_callers: true,
        bundle_version: BundleVersion(1),
        store_age_ms: 0,
        lease_epoch: 1,
        lease_until_wall_ms: WallMs(0),
        warm: Vec::new(),
        evidence: Vec::new(),
        verdicts: Vec::new(),
        quarantine: Vec::new(),
        spend: Spend::default(),
    }
}
