//! Lists the entry hosts that callers may use; `docs/design.md`, sections 11 and 13.

use heatherhinge_blackboard::{HostEntry, HostTable, OwnerTable, ZoneTable};
use heatherhinge_types::{Name, Partition, WallMs};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How long a caller may keep an address response. A leaving host and a zone that was taken out get
/// no new callers after this time.
pub const ADDRESS_TTL_MS: u64 = 2_000;

/// One entry host that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAddress {
    /// Name of the host.
    pub host: Name,
    /// Zone of the host.
    pub zone: Name,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Partitions that the host owns. A key that ends in one of these bytes is checked by the host
    /// itself, without a message to another host.
    pub key_tags: Vec<Partition>,
}

/// The response to a caller that requests addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressResponse {
    /// How long the caller may keep the response, in milliseconds.
    pub keep_ms: u64,
    /// Hosts in the order in which the caller should try them.
    pub hosts: Vec<HostAddress>,
}

/// The blackboard entries that an address response is made from.
#[derive(Clone, Copy, Debug)]
pub struct AddressBook<'a> {
    /// Entry hosts, live or not.
    pub hosts: &'a HostTable,
    /// Availability zones and whether they take work.
    pub zones: &'a ZoneTable,
    /// Owners of partitions with the ends of their leases.
    pub owners: &'a OwnerTable,
}

impl AddressBook<'_> {
    /// Returns the hosts for a caller in `zone`.
    ///
    /// Omits hosts that are silent, that take no callers or whose zone is out. The order is
    /// shuffled by `seed`, with the hosts of the caller's zone first, so that callers spread over
    /// the hosts.
    #[must_use]
    pub fn answer(&self, zone: Option<&Name>, seed: u64, now_wall_ms: WallMs) -> AddressResponse {
        let mut entries: Vec<&HostEntry> = self
            .hosts
            .live()
            .filter(|entry| entry.record.takes_callers)
            .filter(|entry| self.zones.accepts_requests(&entry.record.zone))
            .collect();
        entries.shuffle(&mut Pcg64Mcg::seed_from_u64(seed));
        // The sort is stable, so both groups keep their random order.
        entries.sort_by_key(|entry| Some(&entry.record.zone) != zone);
        AddressResponse {
            keep_ms: ADDRESS_TTL_MS,
            hosts: entries
                .into_iter()
                .map(|entry| self.address(entry, now_wall_ms))
                .collect(),
        }
    }

    fn address(&self, entry: &HostEntry, now_wall_ms: WallMs) -> HostAddress {
        let record = &entry.record;
        let owns = |partition: &Partition| {
            self.owners.owner(*partition).is_some_and(|owner| {
                owner.host == record.host && now_wall_ms < owner.lease_until_wall_ms
            })
        };
        HostAddress {
            host: record.host.clone(),
            zone: record.zone.clone(),
            addr: record.caller_addr,
            key_tags: Partition::all().filter(owns).collect(),
        }
    }
}
