//! Entries and hosts for the tests of several controllers.

#![allow(dead_code, reason = "each test file uses its part")]

use heatherhinge_blackboard::{
    HostEntry, HostRecord, HostTable, Owner, OwnerTable, RecordVersion, Spend,
};
use heatherhinge_bundle::{
    Budget, Bundle, BundleVersion, Route, RouteClass, Service, VersionMove, Zone, ZoneState,
};
use heatherhinge_types::{MonoNs, Name, Now, Partition, Urgency, WallMs};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Virtual time, `ms` after an arbitrary start.
pub(crate) fn at(ms: u64) -> Now {
    Now::default().plus_ms(1_000_000 + ms)
}

pub(crate) fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(crate) fn host(index: usize) -> Name {
    Name::from(format!("host{index:02}"))
}

pub(crate) fn route(name: &str) -> Arc<Route> {
    Arc::new(Route {
        name: Name::from(name),
        prefix: format!("/{name}"),
        methods: BTreeSet::new(),
        idempotent: None,
        class: RouteClass::Interactive,
        urgency: Urgency::DEFAULT,
        body_limit_bytes: 1_000,
        deadline_ms: 500,
    })
}

pub(crate) fn bundle(
    version: u64,
    zones: &[(&str, ZoneState)],
    routes: &[&str],
    version_move: Option<VersionMove>,
) -> Arc<Bundle> {
    let service = Service {
        name: Name::from("orders"),
        zones: zones.iter().map(|(zone, _)| Name::from(*zone)).collect(),
        version: Name::from("v1"),
        slots: 5,
        connections: 200,
        warm_ms: 3_000,
        queue_ms: 100,
        queue_len: 100,
        routes: routes.iter().map(|name| route(name)).collect(),
        version_move,
    };
    let zones = zones
        .iter()
        .map(|(zone, state)| (Name::from(*zone), Zone { state: *state }));
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

pub(crate) fn record(host: &Name, sequence: u64) -> HostRecord {
    HostRecord {
        host: host.clone(),
        version: RecordVersion {
            incarnation: 1,
            sequence,
        },
        zone: Name::from("north"),
        caller_addr: addr(1),
        peer_addr: addr(2),
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

pub(crate) fn host_table(records: impl IntoIterator<Item = (HostRecord, bool)>) -> HostTable {
    let entries = records.into_iter().map(|(record, is_live)| {
        let entry = HostEntry {
            heard_ns: MonoNs(0),
            is_live,
            record: Arc::new(record),
        };
        (entry.record.host.clone(), entry)
    });
    HostTable {
        hosts: entries.collect(),
    }
}

pub(crate) fn owner(host: &Name, epoch: u64, from_wall_ms: WallMs) -> Owner {
    Owner {
        host: host.clone(),
        peer_addr: addr(2),
        epoch,
        from_wall_ms,
        lease_until_wall_ms: WallMs(u64::MAX),
        has_earlier_claims: false,
    }
}

/// All partitions owned by one host, with this host's own lease valid until `until`.
pub(crate) fn owned_by(host: &Name, until: Now) -> OwnerTable {
    let mut table = OwnerTable::default();
    table.own_lease_until_ns = until.mono_ns;
    table.own_lease_until_wall_ms = until.wall_ms;
    for partition in Partition::all() {
        table.set(partition, Some(owner(host, 1, WallMs(0))));
    }
    table
}
