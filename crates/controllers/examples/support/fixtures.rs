//! Provides small bundles and host records for examples and tests.

use heatherhinge_blackboard::{HostRecord, OverheadCounts, RecordVersion};
use heatherhinge_bundle::{
    Budget, Bundle, BundleVersion, Route, RouteClass, Service, VersionMove, Zone, ZoneState,
};
use heatherhinge_types::{Name, Now, Urgency, WallMs};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Returns the virtual time `ms` after the start of the run.
pub fn at(ms: u64) -> Now {
    Now::default().plus_ms(1_000_000 + ms)
}

fn route(name: &str) -> Route {
    Route {
        name: Name::from(name),
        prefix: format!("/{name}"),
        methods: BTreeSet::new(),
        idempotent: None,
        class: RouteClass::Interactive,
        urgency: Urgency::DEFAULT,
        body_limit_bytes: 1_000,
        deadline_ms: 500,
    }
}

/// Returns a bundle with the single service `orders`.
pub fn bundle(
    version: u64,
    zones: &[(Name, ZoneState)],
    routes: &[&str],
    version_move: Option<VersionMove>,
) -> Arc<Bundle> {
    let routes = routes.iter().map(|name| Arc::new(route(name)));
    let service = Service {
        name: Name::from("orders"),
        zones: zones.iter().map(|(zone, _)| zone.clone()).collect(),
        version: Name::from("v1"),
        slots: 5,
        connections: 200,
        warm_ms: 3_000,
        queue_ms: 100,
        queue_len: 100,
        routes: routes.collect(),
        version_move,
    };
    let zones = zones
        .iter()
        .map(|(name, state)| (name.clone(), Zone { state: *state }));
    Arc::new(Bundle {
        version: BundleVersion(version),
        zones: zones.collect(),
        services: BTreeMap::from([(service.name.clone(), Arc::new(service))]),
        budget: Budget {
            probes_per_s: 10,
            retry_permille: 100,
            lease_ms: 10_000,
        },
        revoked_keys: BTreeSet::new(),
    })
}

/// Returns the record of a host that has published nothing yet.
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
        spend: OverheadCounts::default(),
    }
}
