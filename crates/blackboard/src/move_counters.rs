//! Counts of one version move on one host, as atomics on the path of a request.

use heatherhinge_types::Name;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Old answers needed before the 95th percentile is trusted.
const P95_MIN_ANSWERS: u64 = 100;
/// Largest total of a route's share; both counts are halved there, so that they fit into one word.
const SHARE_TOTAL_MAX: u64 = 1 << 31;

/// Counts of one version on one route since the move began.
#[derive(Debug, Default)]
pub struct VersionCounters {
    /// Good answers.
    pub good: AtomicU64,
    /// Failed answers.
    pub failed: AtomicU64,
    /// Good answers of warm targets slower than the old version's recent 95th percentile.
    pub slow: AtomicU64,
}

/// Counts of one route.
#[derive(Debug, Default)]
pub struct RouteCounters {
    /// Requests and those for the new version since the last step: 32 bits each, one word, so
    /// that a decision reads and counts both at once.
    share: AtomicU64,
    /// Estimate of the old version's 95th percentile in nanoseconds; 0 before the first answer.
    old_p95_ns: AtomicU64,
    /// Answers of the old version.
    pub old: VersionCounters,
    /// Answers of the new version.
    pub new: VersionCounters,
}

impl RouteCounters {
    /// Decides whether the new version gets this request, and counts the request.
    ///
    /// It does if `new_count + 1 <= floor(share × total)`, with this request included in the
    /// total. The sum over hosts then stays within the share, because it does on each host.
    /// Decision and count are one atomic step for any number of threads.
    #[must_use]
    pub fn try_take_new(&self, share_permille: u32) -> bool {
        let before = self
            .share
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                Some(decide(word, share_permille).0)
            });
        before.is_ok_and(|word| decide(word, share_permille).1)
    }

    /// Gives back a request that the new version had no room for; it counts as one of the old.
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

    /// Counts a good answer. Answers of cold targets are never slow: their latency says nothing
    /// about the version.
    pub fn count_good(&self, is_new: bool, latency_ns: u64, is_cold: bool) {
        let version = self.version(is_new);
        let answers = version.good.fetch_add(1, Ordering::Relaxed);
        if is_cold {
            return;
        }
        let p95_ns = self.old_p95_ns.load(Ordering::Relaxed);
        let is_trusted = self.old.good.load(Ordering::Relaxed) >= P95_MIN_ANSWERS;
        if is_trusted && latency_ns > p95_ns {
            version.slow.fetch_add(1, Ordering::Relaxed);
        }
        if !is_new {
            self.update_p95(latency_ns, answers);
        }
    }

    /// Counts a failed answer.
    pub fn count_failed(&self, is_new: bool) {
        self.version(is_new).failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the old version's recent 95th percentile in nanoseconds.
    #[must_use]
    pub fn old_p95_ns(&self) -> u64 {
        self.old_p95_ns.load(Ordering::Relaxed)
    }

    fn version(&self, is_new: bool) -> &VersionCounters {
        if is_new { &self.new } else { &self.old }
    }

    /// Moves the estimate up by 19 parts if the answer was slower and down by 1 part if it was
    /// not, so that it rests where 1 answer in 20 is slower. The part is larger at the beginning.
    fn update_p95(&self, latency_ns: u64, answers: u64) {
        let divisor = if answers < P95_MIN_ANSWERS {
            100
        } else {
            1_000
        };
        self.old_p95_ns
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |p95_ns| {
                let part_ns = (p95_ns / divisor).max(1);
                Some(match p95_ns {
                    0 => latency_ns,
                    _ if latency_ns > p95_ns => p95_ns + 19 * part_ns,
                    _ => p95_ns - part_ns.min(p95_ns - 1),
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

/// Counts of a move on one host. They outlive routing snapshots.
#[derive(Debug)]
pub struct MoveCounters {
    /// Name of the move.
    pub move_id: Name,
    /// Counts by the name of the route.
    pub routes: BTreeMap<Name, RouteCounters>,
    step: AtomicU64,
}

impl MoveCounters {
    /// Makes the counters of a move with all routes of its service.
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

    /// Starts the count of the share again if the step is a new one; only the target controller
    /// does so. Otherwise a raised share would send every request to the new version until it had
    /// caught up with all requests since the beginning.
    pub fn begin_step(&self, step: u64) {
        if self.step.swap(step, Ordering::AcqRel) != step {
            for route in self.routes.values() {
                route.share.store(0, Ordering::Release);
            }
        }
    }
}
