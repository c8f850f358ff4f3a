//! Defines the consistent snapshot that the request path reads.

use crate::{MoveCounters, ServiceCounters, TargetCell};
use heatherhinge_bundle::{BundleVersion, Service};
use heatherhinge_types::{Name, Partition};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Versions of the entries that a routing snapshot was built from, for decision records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotVersions {
    /// Version of the bundle.
    pub bundle: BundleVersion,
    /// Version of the owners entry.
    pub owners: u64,
    /// Version of the warmth entry.
    pub warmth: u64,
    /// Version of the moves entry.
    pub moves: u64,
    /// Version of the zones entry.
    pub zones: u64,
}

/// All state by which requests are routed.
#[derive(Debug, Default)]
pub struct RoutingSnapshot {
    /// Versions that the snapshot was built from.
    pub basis: SnapshotVersions,
    /// Services by name.
    pub services: BTreeMap<Name, Arc<ServiceTargets>>,
}

/// The targets of one service that may get new requests.
#[derive(Debug)]
pub struct ServiceTargets {
    /// The service as configured in the bundle.
    pub service: Arc<Service>,
    /// Counters, which outlive the snapshot.
    pub counters: Arc<ServiceCounters>,
    /// Counters of the move in progress, if any, which outlive the snapshot too.
    pub move_counters: Option<Arc<MoveCounters>>,
    /// The versions that get traffic, the main one first. There is a second one during a move.
    pub pools: Vec<VersionPool>,
}

/// The targets of one version.
#[derive(Debug)]
pub struct VersionPool {
    /// The version.
    pub version: Name,
    /// Largest share of the requests on each route, in thousandths; 1,000 for the main version.
    pub share_permille: u32,
    /// Warm targets that this host uses.
    pub warm: Vec<Arc<TargetCell>>,
    /// Targets that are not warm and whose allowance this host may use as their owner.
    pub cold: Vec<ColdTarget>,
    /// Partitions whose targets are not warm and which other hosts own. If this host has no usable
    /// target, it relays requests to one of these owners.
    pub remote_partitions: BTreeSet<Partition>,
}

/// A target that is not warm.
#[derive(Clone, Debug)]
pub struct ColdTarget {
    /// The target.
    pub cell: Arc<TargetCell>,
    /// Most requests in flight at once, over all hosts.
    pub allowance: u32,
}
