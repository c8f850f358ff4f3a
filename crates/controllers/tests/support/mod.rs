//! Builds entries and hosts for the tests of several controllers.

#![allow(dead_code, unused_imports, reason = "each test file uses its part")]

#[path = "../../examples/support/fixtures.rs"]
#[allow(unreachable_pub, reason = "shared with an example")]
mod fixtures;

pub(crate) use fixtures::at;
use heatherhinge_blackboard::{HostEntry, HostRecord, HostTable, Owner, OwnerTable};
use heatherhinge_bundle::{Bundle, VersionMove, ZoneState};
use heatherhinge_types::{MonoNs, Name, Now, Partition, WallMs};
use std::net::SocketAddr;
use std::sync::Arc;

pub(crate) fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(crate) fn host(index: usize) -> Name {
    Name::from(format!("host{index:02}"))
}

/// Returns a bundle with the zone `north` and the route `read`.
pub(crate) fn bundle(version: u64, state: ZoneState, moved: Option<VersionMove>) -> Arc<Bundle> {
    fixtures::bundle(version, &[(Name::from("north"), state)], &["read"], moved)
}

pub(crate) fn record(host: &Name, sequence: u64) -> HostRecord {
    let mut record = fixtures::record(host.clone(), Name::from("north"), 1);
    record.version.sequence = sequence;
    record
}

pub(crate) fn host_table(records: impl IntoIterator<Item = (HostRecord, bool)>) -> HostTable {
    let entries = records.into_iter().map(|(record, is_live)| {
        let entry = HostEntry {
            last_heard_ns: MonoNs(0),
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

/// Returns a table with all partitions owned by one host, with this host's own lease valid until
/// `until`.
pub(crate) fn owned_by(host: &Name, until: Now) -> OwnerTable {
    let mut table = OwnerTable::default();
    table.own_lease_until_ns = until.mono_ns;
    table.own_lease_until_wall_ms = until.wall_ms;
    for partition in Partition::all() {
        table.set(partition, Some(owner(host, 1, WallMs(0))));
    }
    table
}
