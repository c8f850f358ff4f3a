//! Defines the blackboard and its writers.

use crate::{
    Counters, HostTable, MoveTable, OwnerTable, QuarantineTable, Reader, RoutingSnapshot,
    WarmthTable, Writer, ZoneTable, entry,
};
use heatherhinge_bundle::{Bundle, BundleVersion};
use heatherhinge_types::Name;
use std::sync::Arc;

/// All shared state of one host, for readers.
#[derive(Debug)]
pub struct Blackboard {
    /// Name of this host.
    pub host: Name,
    /// Zone of this host.
    pub zone: Name,
    /// The bundle in force, or `None` before the first one.
    pub bundle: Reader<Option<Arc<Bundle>>>,
    /// Records that the entry hosts publish about themselves.
    pub hosts: Reader<HostTable>,
    /// Owners of partitions.
    pub owners: Reader<OwnerTable>,
    /// Allowances of targets that are not warm.
    pub warmth: Reader<WarmthTable>,
    /// Shares and states of version moves.
    pub moves: Reader<MoveTable>,
    /// Availability zones.
    pub zones: Reader<ZoneTable>,
    /// Quarantined requests.
    pub quarantine: Reader<QuarantineTable>,
    /// What the request path reads.
    pub routing: Reader<RoutingSnapshot>,
    /// Atomic counters.
    pub counters: Counters,
}

/// The one writer of each entry, to be moved into the controller that owns the entry.
#[derive(Debug)]
pub struct Writers {
    /// For the bundle controller.
    pub bundle: Writer<Option<Arc<Bundle>>>,
    /// For the membership controller.
    pub hosts: Writer<HostTable>,
    /// For the ownership controller.
    pub owners: Writer<OwnerTable>,
    /// For the warmup controller.
    pub warmth: Writer<WarmthTable>,
    /// For the move controller.
    pub moves: Writer<MoveTable>,
    /// For the zone controller.
    pub zones: Writer<ZoneTable>,
    /// For the quarantine controller.
    pub quarantine: Writer<QuarantineTable>,
    /// For the target controller.
    pub routing: Writer<RoutingSnapshot>,
}

impl Blackboard {
    /// Returns the version of the bundle in force, or the default version before the first bundle.
    #[must_use]
    pub fn bundle_version(&self) -> BundleVersion {
        let bundle = self.bundle.read();
        bundle
            .value
            .as_ref()
            .map(|bundle| bundle.version)
            .unwrap_or_default()
    }

    /// Creates an empty blackboard for a host, and the writers of its entries.
    #[must_use]
    pub fn new(host: Name, zone: Name) -> (Arc<Self>, Writers) {
        let (bundle, bundle_writer) = entry(None);
        let (hosts, hosts_writer) = entry(HostTable::default());
        let (owners, owners_writer) = entry(OwnerTable::default());
        let (warmth, warmth_writer) = entry(WarmthTable::default());
        let (moves, moves_writer) = entry(MoveTable::default());
        let (zones, zones_writer) = entry(ZoneTable::default());
        let (quarantine, quarantine_writer) = entry(QuarantineTable::default());
        let (routing, routing_writer) = entry(RoutingSnapshot::default());
        let board = Self {
            host,
            zone,
            bundle,
            hosts,
            owners,
            warmth,
            moves,
            zones,
            quarantine,
            routing,
            counters: Counters::default(),
        };
        let writers = Writers {
            bundle: bundle_writer,
            hosts: hosts_writer,
            owners: owners_writer,
            warmth: warmth_writer,
            moves: moves_writer,
            zones: zones_writer,
            quarantine: quarantine_writer,
            routing: routing_writer,
        };
        (Arc::new(board), writers)
    }
}
