//! Defines the types of a checked bundle.

use heatherhinge_types::{Name, Urgency, WallMs};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Version of a bundle. Each accepted bundle has the version of the one before plus 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BundleVersion(pub u64);

/// One checked bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bundle {
    /// Version of this bundle.
    pub version: BundleVersion,
    /// Availability zones by name.
    pub zones: BTreeMap<Name, Zone>,
    /// Services by name.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// Limits for the whole fleet.
    pub budget: Budget,
    /// Ids of signing keys that must no longer be accepted.
    pub revoked_keys: BTreeSet<Name>,
}

/// An availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Whether the zone gets new requests.
    pub state: ZoneState,
}

/// Whether a zone gets new requests, as set by operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneState {
    /// The zone gets new requests.
    In,
    /// The zone gets no new requests.
    Out,
}

/// Limits for the whole fleet of entry hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Active probes per second, over all entry hosts.
    pub probes_per_s: u32,
    /// Retries per thousand successes of a service.
    pub retry_permille: u32,
    /// Length of a host's lease in milliseconds.
    pub lease_ms: u64,
}

/// A named set of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service, which is also the first segment of the request path.
    pub name: Name,
    /// Availability zones whose targets may serve the service.
    pub zones: BTreeSet<Name>,
    /// Version that gets the traffic outside a move.
    pub version: Name,
    /// Requests that one target runs at once.
    pub slots: u32,
    /// Connections that one target accepts, from all entry hosts.
    pub connections: u32,
    /// Time after which a target that started cold is warm, in milliseconds.
    pub warm_ms: u64,
    /// Longest wait of a request for a target, in milliseconds.
    pub queue_ms: u64,
    /// Largest number of requests that wait on one entry host.
    pub queue_len: u32,
    /// Routes in order of priority; the first match applies.
    pub routes: Vec<Arc<Route>>,
    /// The move of the service to another version, if the bundle has one.
    pub version_move: Option<VersionMove>,
}

/// A path prefix of a service, with its rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route in records and reports.
    pub name: Name,
    /// Path prefix after the service segment, starting with a slash.
    pub prefix: String,
    /// Methods in upper case; empty means every method.
    pub methods: BTreeSet<String>,
    /// Whether requests can be run twice without harm; with `None`, the method decides.
    pub idempotent: Option<bool>,
    /// Class of work.
    pub class: RouteClass,
    /// Urgency of requests without an urgency of their own.
    pub urgency: Urgency,
    /// Largest request body in bytes.
    pub body_limit_bytes: u64,
    /// Deadline of requests without a deadline of their own, in milliseconds.
    pub deadline_ms: u64,
}

impl Route {
    /// Returns whether the route matches a request. `path` is the part after the service segment,
    /// without the query.
    ///
    /// A prefix matches whole segments: `/book` matches `/book` and `/book/7` but not `/booking`.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        (self.methods.is_empty() || self.methods.contains(method)) && self.matches_path(path)
    }

    /// Returns whether the route matches every request that a later one matches, so that the later
    /// one never applies.
    #[must_use]
    pub fn covers(&self, later: &Self) -> bool {
        let covers_methods = self.methods.is_empty()
            || (!later.methods.is_empty() && later.methods.is_subset(&self.methods));
        covers_methods && self.matches_path(&later.prefix)
    }

    fn matches_path(&self, path: &str) -> bool {
        let trimmed = self.prefix.trim_end_matches('/');
        path.strip_prefix(trimmed)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// Class of work, so that bulk downloads and short calls do not block each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RouteClass {
    /// Short calls.
    Interactive,
    /// Long transfers, which get a bounded share of the slots.
    Bulk,
}

/// A move of a service's traffic from one version to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionMove {
    /// Id of the move, unique over the life of the service.
    pub id: Name,
    /// Version that the traffic moves away from.
    pub from: Name,
    /// Version that the traffic moves to.
    pub to: Name,
    /// Time by which the move must be done.
    pub end_wall_ms: WallMs,
    /// Largest share of the new version on each route while it is unproven, in thousandths.
    pub cap_permille: u32,
    /// Responses of the new version needed before each step, over all entry hosts.
    pub min_samples: u32,
}

/// Shares of the new version after the cap, in thousandths; `docs/design.md`, section 22.
pub const STEP_SHARES_PERMILLE: [u32; 4] = [100, 250, 500, 1000];

/// Shortest time that a move stays at one share, in milliseconds.
///
/// The counts of a step reach the leader within 2 s, and its decision reaches every host within
/// another 2 s; the rest is for the responses that the decision needs.
pub const SHORTEST_STEP_MS: u64 = 10_000;

impl VersionMove {
    /// Returns the share of each step of the move, in thousandths, starting with the cap.
    pub fn step_shares_permille(&self) -> impl Iterator<Item = u32> {
        let cap_permille = self.cap_permille;
        std::iter::once(cap_permille).chain(
            STEP_SHARES_PERMILLE
                .into_iter()
                .filter(move |share| *share > cap_permille),
        )
    }

    /// Returns the shortest time in which the move can finish, in milliseconds.
    #[must_use]
    pub fn shortest_ms(&self) -> u64 {
        let steps = u64::try_from(self.step_shares_permille().count()).unwrap_or(u64::MAX);
        steps.saturating_mul(SHORTEST_STEP_MS)
    }
}
