//! Tests the address responses to callers.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::{START_WALL_MS, name, peer_addr, record};
use heatherhinge_blackboard::{
    HostEntry, HostRecord, HostTable, Owner, OwnerTable, ZoneEntry, ZonePhase, ZoneTable,
};
use heatherhinge_bundle::BundleVersion;
use heatherhinge_controllers::{ADDRESS_TTL_MS, AddressBook, AddressResponse};
use heatherhinge_types::{MonoNs, Name, Partition, WallMs};
use std::collections::BTreeSet;
use std::sync::Arc;
use yare::parameterized;

const NOW: WallMs = WallMs(START_WALL_MS);

fn zones(south: ZonePhase) -> ZoneTable {
    let entry = |phase| ZoneEntry {
        phase,
        since: BundleVersion(1),
    };
    let mut zones = ZoneTable::default();
    zones.zones.insert("north".into(), entry(ZonePhase::In));
    zones.zones.insert("south".into(), entry(south));
    zones
}

/// Returns six hosts: odd ones in the north, even ones in the south.
fn hosts(change: fn(&mut HostEntry)) -> HostTable {
    let mut table = HostTable::default();
    for host in 1..=6 {
        let zone: Name = if host % 2 == 1 { "north" } else { "south" }.into();
        let mut entry = HostEntry {
            record: Arc::new(HostRecord {
                zone,
                ..record(host, 1, 1)
            }),
            last_heard_ns: MonoNs(1),
            is_live: true,
        };
        if host == 3 {
            change(&mut entry);
        }
        table.hosts.insert(name(host), entry);
    }
    table
}

fn answer(hosts: &HostTable, zones: &ZoneTable, seed: u64) -> AddressResponse {
    let owners = OwnerTable::default();
    let book = AddressBook {
        hosts,
        zones,
        owners: &owners,
    };
    book.answer(Some(&"south".into()), seed, NOW)
}

fn host_names(answer: &AddressResponse) -> Vec<Name> {
    answer.hosts.iter().map(|host| host.host.clone()).collect()
}

/// Guards against a caller that is sent to a host that should get no new callers.
#[parameterized(
    all = { |_| {}, ZonePhase::In, &[1, 2, 3, 4, 5, 6] },
    returning_zone = { |_| {}, ZonePhase::Returning, &[1, 2, 3, 4, 5, 6] },
    zone_out = { |_| {}, ZonePhase::Out, &[1, 3, 5] },
    silent = { |entry| entry.is_live = false, ZonePhase::In, &[1, 2, 4, 5, 6] },
    leaving = { |entry| Arc::make_mut(&mut entry.record).takes_callers = false, ZonePhase::In, &[1, 2, 4, 5, 6] },
    unknown_zone = { |entry| Arc::make_mut(&mut entry.record).zone = "west".into(), ZonePhase::In, &[1, 2, 4, 5, 6] },
)]
fn response_omits_unusable_hosts(change: fn(&mut HostEntry), south: ZonePhase, expected: &[usize]) {
    let answer = answer(&hosts(change), &zones(south), 1);
    let found: BTreeSet<Name> = host_names(&answer).into_iter().collect();
    assert_eq!(found, expected.iter().copied().map(name).collect());
    assert_eq!(answer.keep_ms, ADDRESS_TTL_MS);
}

/// Guards against callers that all start with the same host or with another zone.
#[test]
fn own_zone_comes_first_in_an_order_by_seed() {
    let (hosts, zones) = (hosts(|_| {}), zones(ZonePhase::In));
    let mut first = BTreeSet::new();
    for seed in 0..50 {
        let order = answer(&hosts, &zones, seed);
        assert!(order.hosts[..3].iter().all(|host| &*host.zone == "south"));
        assert_eq!(order, answer(&hosts, &zones, seed));
        first.insert(order.hosts[0].host.clone());
    }
    assert_eq!(first.len(), 3);
}

/// Guards against a caller that makes keys for partitions that the host no longer owns.
#[test]
fn key_tags_are_the_partitions_under_lease() {
    let mut owners = OwnerTable::default();
    for (partition, host, lease_ms) in [(4, 1, 1), (200, 1, 1), (5, 2, 1), (6, 1, 0)] {
        let owner = Owner {
            host: name(host),
            peer_addr: peer_addr(host),
            epoch: 1,
            from_wall_ms: WallMs(0),
            lease_until_wall_ms: NOW.plus_ms(lease_ms),
            has_earlier_claims: false,
        };
        owners.set(Partition(partition), Some(owner));
    }
    let book = AddressBook {
        hosts: &hosts(|_| {}),
        zones: &zones(ZonePhase::Out),
        owners: &owners,
    };
    let answer = book.answer(None, 1, NOW);
    let first = answer.hosts.iter().find(|host| host.host == name(1));
    assert_eq!(first.unwrap().key_tags, [Partition(4), Partition(200)]);
}
