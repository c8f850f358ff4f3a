//! Selects a target by own requests in flight, latency and failures; the policy of the daemon.
//!
//! The measurements are in `docs/measurements.md`, "Choice of a target".

use crate::{PickView, Picker, estimated_in_flight};
use heatherhinge_blackboard::{TargetCell, TargetSample};
use heatherhinge_types::MonoNs;
use rand::{Rng, RngExt};
use std::sync::Arc;

/// Targets examined for one decision. The services of today's users have at most this many, so all
/// of theirs are examined; at 5,000 targets the bound keeps the cost of a decision constant.
const CANDIDATES_MAX: usize = 32;
/// Time after its last failure for which the cost of a target stays raised.
const FAILURE_HOLD_MS: u64 = 1_000;
/// Largest factor on the cost of a failing target, as a power of two; each failure in a row adds 2.
const FAILURE_SHIFT_MAX: u32 = 12;
/// Latency above which a target is slow, as a multiple of the candidates' median. Service times
/// vary, so a smaller ratio is weak evidence of a slow target; a larger one detects a sudden
/// slowdown later.
const SLOW_RATIO: u64 = 2;
/// Age up to which a response's latency enters the median. After it the latency of a target begins
/// to decay.
const RECENT_MS: u64 = 500;

/// Selects the target with the lowest product of own load, slowness and failures, among up to 32
/// targets that have capacity.
///
/// - Load is this host's own requests in flight. The reported requests of other hosts only decide
///   whether a target has capacity: reports arrive less often than a request lasts, so a ranking by
///   reports sends all hosts to the same targets and favours targets that report too little.
/// - Slowness is the latency as a multiple of the median, if it is above 2.
/// - A target that fails fast looks idle, so failures in a row multiply its cost.
/// - Among equal costs, the target whose last response is the oldest is selected, which spaces out
///   the requests that it gets from this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weighted;

/// The state of one target, read once for a decision.
#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    index: usize,
    own_in_flight: u32,
    latency_ns: u64,
    is_failing: bool,
    penalty_shift: u32,
    responded_ns: MonoNs,
}

impl Candidate {
    /// Reads the state of a target; `None` if it has no capacity.
    fn read(cell: &TargetCell, index: usize, view: &PickView<'_>) -> Option<Self> {
        let sample = cell.sample(view.now_ns);
        if estimated_in_flight(&sample, view.now_ns) + 1_000 > u64::from(view.limit) * 1_000 {
            return None;
        }
        let avoid_shift = if view.avoids(cell) {
            FAILURE_SHIFT_MAX
        } else {
            0
        };
        Some(Self {
            index,
            own_in_flight: sample.own_in_flight,
            latency_ns: sample.latency_ns,
            is_failing: sample.failures > 0,
            penalty_shift: avoid_shift + failure_shift(&sample, view.now_ns),
            responded_ns: sample.reported_ns,
        })
    }

    /// Returns the cost of one more request, and the time that breaks ties.
    fn rank(&self, median_ns: u64) -> (u128, MonoNs) {
        let slowness_permille = if self.latency_ns > median_ns.saturating_mul(SLOW_RATIO) {
            u128::from(self.latency_ns) * 1_000 / u128::from(median_ns.max(1))
        } else {
            1_000
        };
        let load = u128::from(self.own_in_flight) + 1;
        let cost = load * slowness_permille;
        (cost << self.penalty_shift, self.responded_ns)
    }
}

impl Picker for Weighted {
    fn pick<R: Rng>(
        &self,
        targets: &[Arc<TargetCell>],
        view: &PickView<'_>,
        rng: &mut R,
    ) -> Option<usize> {
        if targets.is_empty() {
            return None;
        }
        // Consecutive targets from a random start need one random number and no list of those
        // already examined.
        let start = rng.random_range(0..targets.len());
        let mut candidates = [Candidate::default(); CANDIDATES_MAX];
        let mut count = 0;
        for step in 0..targets.len().min(CANDIDATES_MAX) {
            let index = (start + step) % targets.len();
            if let Some(candidate) = Candidate::read(&targets[index], index, view) {
                candidates[count] = candidate;
                count += 1;
            }
        }
        let candidates = &candidates[..count];
        let median_ns = median_latency_ns(candidates, view.now_ns);
        candidates
            .iter()
            .min_by_key(|candidate| candidate.rank(median_ns))
            .map(|candidate| candidate.index)
    }
}

/// Returns the median latency of the healthy candidates, or the largest number if there is none, so
/// that no target counts as slow.
///
/// The latency of a target that fails or is idle decays to zero. If it were included, the others
/// would look slow once half of the targets have failed for some seconds.
fn median_latency_ns(candidates: &[Candidate], now_ns: MonoNs) -> u64 {
    let mut latencies = [0; CANDIDATES_MAX];
    let mut count = 0;
    let is_healthy = |c: &&Candidate| {
        !c.is_failing && c.latency_ns > 0 && now_ns.ms_since(c.responded_ns) < RECENT_MS
    };
    for candidate in candidates.iter().filter(is_healthy) {
        latencies[count] = candidate.latency_ns;
        count += 1;
    }
    let sorted = &mut latencies[..count];
    sorted.sort_unstable();
    sorted.get(count / 2).copied().unwrap_or(u64::MAX)
}

fn failure_shift(sample: &TargetSample, now_ns: MonoNs) -> u32 {
    if now_ns.ms_since(sample.failed_at_ns) >= FAILURE_HOLD_MS {
        return 0;
    }
    sample.failures.saturating_mul(2).min(FAILURE_SHIFT_MAX)
}
