//! The model of an accepted bundle.

use heatherhinge_types::{Name, Urgency, WallMs};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Version of a bundle. Accepted versions rise by one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BundleVersion(pub u64);

/// One checked bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bundle {
    /// Version, one above that of the bundle before.
    pub version: BundleVersion,
    /// Availability zones by name.
    pub zones: BTreeMap<Name, Zone>,
    /// Services by name.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// Budgets for the whole fleet.
    pub budget: Budget,
    /// Ids of signing keys that must no longer be accepted.
    pub revoked_keys: BTreeSet<Name>,
}

/// An availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Whether the zone takes new work.
    pub state: ZoneState,
}

/// Whether operators want a zone to take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneState {
    /// The zone takes new work.
    In,
    /// The zone must receive no new work.
    Out,
}

/// Limits on sums over all entry hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Active probes per second, fleet-wide.
    pub probes_per_s: u32,
    /// Retries per thousand successes of a service.
    pub retry_permille: u32,
    /// Length of a host's lease in milliseconds.
    pub lease_ms: u64,
}

/// A named set of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name; also the first segment of the request path.
    pub name: Name,
    /// Zones that may serve it.
    pub zones: BTreeSet<Name>,
    /// The version that takes the traffic outside a move.
    pub version: Name,
    /// Requests that one target runs at once.
    pub slots: u32,
    /// Connections that one target accepts, from all hosts.
    pub connections: u32,
    /// Time after which a target that started cold is warm, in milliseconds.
    pub warm_ms: u64,
    /// Longest wait of a request for a target, in milliseconds.
    pub queue_ms: u64,
    /// Most requests that wait on one host.
    pub queue_len: u32,
    /// Routes, tried in order; the first match is taken.
    pub routes: Vec<Arc<Route>>,
    /// The move under way, if any.
    pub version_move: Option<VersionMove>,
}

/// A path prefix of a service, with its rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for records and reports.
    pub name: Name,
    /// Path prefix behind the service segment, starting with a slash.
    pub prefix: String,
    /// Methods in upper case; empty means every method.
    pub methods: BTreeSet<String>,
    /// Whether a second run does no harm; `None` decides by the method.
    pub idempotent: Option<bool>,
    /// Class of work.
    pub class: RouteClass,
    /// Urgency of requests that state none.
    pub urgency: Urgency,
    /// Largest request body in bytes.
    pub body_limit_bytes: u64,
    /// Deadline of requests that state none, in milliseconds.
    pub deadline_ms: u64,
}

impl Route {
    /// Returns whether the route takes a request, with the path behind the service segment and
    /// without its query.
    ///
    /// A prefix matches whole segments: `/book` takes `/book` and `/book/7` but not `/booking`.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        (self.methods.is_empty() || self.methods.contains(method)) && self.takes_path(path)
    }

    /// Returns whether the route takes every request that a later one would, so that the later
    /// one never matches.
    #[must_use]
    pub fn covers(&self, later: &Self) -> bool {
        let takes_methods = self.methods.is_empty()
            || (!later.methods.is_empty() && later.methods.is_subset(&self.methods));
        takes_methods && self.takes_path(&later.prefix)
    }

    fn takes_path(&self, path: &str) -> bool {
        let bare = self.prefix.trim_end_matches('/');
        path.strip_prefix(bare)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// Class of work; bulk downloads must neither stall nor be stalled by short calls.
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
    /// Name of the move, unique over the life of the service.
    pub id: Name,
    /// The version that traffic leaves.
    pub from: Name,
    /// The version that traffic goes to.
    pub to: Name,
    /// Time by which the move must be done.
    pub end_wall_ms: WallMs,
    /// Largest share of an unproven version on each route, in thousandths.
    pub cap_permille: u32,
    /// Answers of the new version needed before a step, over all hosts.
    pub min_samples: u32,
}

/// Shares of the new version after the cap, in thousandths; `docs/design.md`, section 22.
pub const STEP_SHARES_PERMILLE: [u32; 4] = [100, 250, 500, 1000];

/// Shortest time for which a move stays at one share, in milliseconds.
///
/// Evidence of a step reaches the leader within 2 s and its decision reaches every host within
/// another 2 s; the rest is for the answers that the decision needs.
pub const SHORTEST_STEP_MS: u64 = 10_000;

impl VersionMove {
    /// Returns the shares that the move goes through, in thousandths, the cap first.
    pub fn step_shares_permille(&self) -> impl Iterator<Item = u32> {
        let cap_permille = self.cap_permille;
        std::iter::once(cap_permille).chain(
            STEP_SHARES_PERMILLE
                .into_iter()
                .filter(move |share| *share > cap_permille),
        )
    }

    /// Returns the least time that the move takes, in milliseconds.
    #[must_use]
    pub fn shortest_ms(&self) -> u64 {
        let steps = u64::try_from(self.step_shares_permille().count()).unwrap_or(u64::MAX);
        steps.saturating_mul(SHORTEST_STEP_MS)
    }
}
