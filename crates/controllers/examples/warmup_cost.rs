//! Refreshes the warmth table of 5,000 targets 200 times, as often as a host does in 100 s.
//!
//! Measure it with `time`, at the size of the design:
//! `cargo build --release -p heatherhinge-controllers --example warmup_cost` and then
//! `time target/release/examples/warmup_cost`

#[path = "support/fixtures.rs"]
#[allow(unreachable_pub, reason = "shared with the tests")]
mod fixtures;

use fixtures::{at, bundle, record};
use heatherhinge_blackboard::{
    Blackboard, HostEntry, HostRecord, HostTable, Owner, OwnerTable, WarmTarget, Writers,
};
use heatherhinge_bundle::{BundleVersion, ZoneState};
use heatherhinge_controllers::{Controller, ListedTarget, WarmupController, WarmupEvent};
use heatherhinge_types::{MonoNs, Name, Partition, StartId, WallMs};
use std::net::SocketAddr;
use std::sync::Arc;

const HOSTS: usize = 190;
const TARGETS: u16 = 5_000;
const READINGS: u64 = 200;

fn host(index: usize) -> Name {
    Name::from(format!("host{index:03}"))
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn owner_of(partition: Partition) -> usize {
    usize::from(partition.0) % HOSTS
}

/// Returns the records of all hosts, each with the warm targets that it owns.
fn records(sequence: u64) -> Vec<HostRecord> {
    let mut records: Vec<_> = (0..HOSTS)
        .map(|index| record(host(index), Name::from("north"), 1))
        .collect();
    for port in 1..=TARGETS {
        let target = Name::from(addr(port).to_string());
        let owner = owner_of(Partition::of_name(&target));
        records[owner].version.sequence = sequence;
        records[owner].warm.push(WarmTarget {
            target,
            start_id: StartId(1),
            zone_since: BundleVersion(0),
        });
    }
    records
}

fn main() {
    let (board, writers) = Blackboard::new(host(0), Name::from("north"));
    let Writers {
        bundle: mut bundles,
        mut hosts,
        mut owners,
        warmth,
        ..
    } = writers;
    let zones = [(Name::from("north"), ZoneState::In)];
    bundles.publish(Some(bundle(1, &zones, &["read"], None)));
    let mut table = OwnerTable::default();
    table.own_lease_until_ns = at(10_000_000).mono_ns;
    table.own_lease_until_wall_ms = at(10_000_000).wall_ms;
    for partition in Partition::all() {
        let owner = Owner {
            host: host(owner_of(partition)),
            peer_addr: addr(1),
            epoch: 1,
            from_wall_ms: WallMs(0),
            lease_until_wall_ms: WallMs(u64::MAX),
            has_earlier_claims: false,
        };
        table.set(partition, Some(owner));
    }
    owners.publish(table);
    let mut warmup = WarmupController::new(warmth);
    let listed = (1..=TARGETS).map(|port| ListedTarget {
        service: Name::from("orders"),
        addr: addr(port),
        zone: Name::from("north"),
        version: Name::from("v1"),
        is_leaving: false,
    });
    warmup.step(&board, WarmupEvent::Listed(listed.collect()), at(0));
    let mut records = records(1);
    for reading in 1..=READINGS {
        // Every record is new in each exchange; one target restarts every 10, as with 1,500 a day.
        if reading % 10 == 0 {
            records[1].warm.rotate_left(1);
        }
        let entries = records.iter().map(|record| {
            let entry = HostEntry {
                record: Arc::new(record.clone()),
                last_heard_ns: MonoNs(0),
                is_live: true,
            };
            (record.host.clone(), entry)
        });
        hosts.publish(HostTable {
            hosts: entries.collect(),
        });
        warmup.step(&board, WarmupEvent::Tick, at(reading * 500));
    }
    let warm = board.warmth.read().value.targets.len();
    println!("{READINGS} readings, {warm} of {TARGETS} targets in the warmth table");
}
