//! Counts the requests and responses of one version move on one host, as atomics on the request
//! path.

use heatherhinge_types::Name;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Responses of the old version needed before its 95th percentile is used.
const P95_MIN_RESPONSES: u64 = 100;
/// Requests of a route at which both counts of its share are halved, so that they fit into one
/// word.
const SHARE_TOTAL_MAX: u64 = 1 << 31;

/// Counts of one version on one route since the move began.
#[derive(Debug, Default)]
pub struct VersionCounters {
    /// Successful responses.
    pub good: AtomicU64,
    /// Failed responses.
    pub failed: AtomicU64,
    /// Successful responses of warm targets, slower than the old version's recent 95th percentile.
    pub slow: AtomicU64,
}

/// Counts of one route.
#[derive(Debug, Default)]
pub struct RouteCounters {
    /// Requests since the last step and those of them for the new version: 32 bits each in one
    /// word, so that a decision reads and counts both atomically.
    share: AtomicU64,
    /// Estimate of the old version's 95th percentile in nanoseconds; 0 before the first response.
    old_p95_ns: AtomicU64,
    /// Responses of the old version.
    pub old: VersionCounters,
    /// Responses of the new version.
    pub new: VersionCounters,
}

impl RouteCounters {
    /// Decides whether the new version gets this request, and counts the request.
    ///
    /// The new version gets it if `new_count + 1 <= floor(share × total)`, where the total includes
    /// this request. The fleet stays within the share because each host does. Decision and count
    /// are one atomic step for any number of threads.
    #[must_use]
    pub fn try_count_new(&self, share_permille: u32) -> bool {
        let before = self
            .share
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                Some(decide(word, share_permille).0)
            });
        before.is_ok_and(|word| decide(word, share_permille).1)
    }

    /// Counts a request for the old version after all, because the new one had no capacity for it.
    pub fn uncount_new(&self) {
        self.share
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                (word & u64::from(u32::MAX) > 0).then(|| word - 1)
            })
            .ok();
    }

    /// Returns the requests since the last step and how many of them went to the new version.
    #[must_use]
    pub fn taken(&self) -> (u64, u64) {
        unpack(self.share.load(Ordering::Acquire))
    }

    /// Counts a successful response. Responses of cold targets never count as slow, because their
    /// latency is no evidence about the version.
    pub fn count_good(&self, is_new: bool, latency_ns: u64, is_cold: bool) {
        let version = self.version(is_new);
        let responses = version.good.fetch_add(1, Ordering::Relaxed);
        if is_cold {
            return;
        }
        let p95_ns = self.old_p95_ns.load(Ordering::Relaxed);
        let is_trusted = self.old.good.load(Ordering::Relaxed) >= P95_MIN_RESPONSES;
        if is_trusted && latency_ns > p95_ns {
            version.slow.fetch_add(1, Ordering::Relaxed);
        }
        if !is_new {
            self.update_p95(latency_ns, responses);
        }
    }

    /// Counts a failed response.
    pub fn count_failed(&self, is_new: bool) {
        self.version(is_new).failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the old version's recent 95th percentile in nanoseconds; 0 before any response.
    #[must_use]
    pub fn old_p95_ns(&self) -> u64 {
        self.old_p95_ns.load(Ordering::Relaxed)
    }

    fn version(&self, is_new: bool) -> &VersionCounters {
        if is_new { &self.new } else { &self.old }
    }

    /// Moves the estimate up by 19 steps if the response was slower and down by 1 step if it was
    /// not, so that it settles where 1 response in 20 is slower. The step is larger at the
    /// beginning.
    fn update_p95(&self, latency_ns: u64, responses: u64) {
        let divisor = if responses < P95_MIN_RESPONSES {
            100
        } else {
            1_000
        };
        self.old_p95_ns
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |p95_ns| {
                let step_ns = (p95_ns / divisor).max(1);
                Some(match p95_ns {
                    0 => latency_ns,
                    _ if latency_ns > p95_ns => p95_ns + 19 * step_ns,
                    _ => p95_ns - step_ns.min(p95_ns - 1),
                })
            })
            .ok();
    }
}

/// Returns the word after the decision, and the decision.
fn decide(word: u64, share_permille: u32) -> (u64, bool) {
    let (mut total, mut new) = unpack(word);
    if total >= SHARE_TOTAL_MAX {
        // The new version's count is rounded up, so that the share is never exceeded.
        (total, new) = (total / 2, new.div_ceil(2));
    }
    total += 1;
    let is_new = new < total * u64::from(share_permille.min(1_000)) / 1_000;
    (total << 32 | (new + u64::from(is_new)), is_new)
}

fn unpack(word: u64) -> (u64, u64) {
    (word >> 32, word & u64::from(u32::MAX))
}

/// Counts of a move on one host, which outlive routing snapshots.
#[derive(Debug)]
pub struct MoveCounters {
    /// Name of the move.
    pub move_id: Name,
    /// Counts by the name of the route.
    pub routes: BTreeMap<Name, RouteCounters>,
    step: AtomicU64,
}

impl MoveCounters {
    /// Creates the counters of a move for the routes of its service.
    pub fn new(move_id: Name, routes: impl IntoIterator<Item = Name>) -> Self {
        let routes = routes
            .into_iter()
            .map(|name| (name, RouteCounters::default()));
        Self {
            move_id,
            routes: routes.collect(),
            step: AtomicU64::new(0),
        }
    }

    /// Resets the count of the share if the step is new; only the target controller calls it.
    /// Without the reset, a raised share would send every request to the new version until it had
    /// caught up with all requests since the beginning.
    pub fn begin_step(&self, step: u64) {
        if self.step.swap(step, Ordering::AcqRel) != step {
            for route in self.routes.values() {
                route.share.store(0, Ordering::Release);
            }
        }
    }
}
