//! Chooses by own requests in flight, latency and failures; the policy of the daemon.
//!
//! The figures behind its parts are in `docs/measurements.md`, "Choice of a target".

use crate::{PickView, Picker, estimated_in_flight};
use heatherhinge_blackboard::{TargetCell, TargetSample};
use heatherhinge_types::MonoNs;
use rand::{Rng, RngExt};
use std::sync::Arc;

/// Targets looked at for one decision. The services of today's users have at most this many, so
/// all of theirs are looked at; at 5,000 targets the bound keeps the cost of a decision constant.
const CHOICES: usize = 32;
/// Time for which a failing target is held at a distance after its last failure.
const FAILURE_HOLD_MS: u64 = 1_000;
/// Factor on the cost of a target for each failure in a row, as a power of two.
const FAILURE_SHIFT_MAX: u32 = 12;
/// Latency that counts as slow, as a multiple of the median of the candidates. Service times vary
/// by nature, so a smaller difference says little about a target; a larger bound finds a sudden
/// slow-down later.
const SLOW_RATIO: u64 = 2;
/// Age up to which an answer's latency counts for the usual one. It is the time after which the
/// latency of a target begins to fade.
const RECENT_MS: u64 = 500;

/// Chooses the lowest product of own load, slowness and failures among up to 32 targets
/// that have room.
///
/// - Load is this host's own requests in flight. What a report says of other hosts' requests only
///   decides whether there is room: a host hears from a target more rarely than a request lasts,
///   so a ranking by reports sends hosts to the same targets and rewards targets that lie.
/// - Slowness is the latency as a multiple of the median, if it is above 2.
/// - A target that fails fast looks idle, so failures in a row multiply its cost.
/// - Among equals, the target that answered longest ago is chosen, which spaces out the requests
///   that it gets from this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weighted;

/// What one decision needs to know of a target.
#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    index: usize,
    own_in_flight: u32,
    latency_ns: u64,
    is_failing: bool,
    penalty_shift: u32,
    answered_ns: MonoNs,
}

impl Candidate {
    /// Reads a target; `None` if it has no room.
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
            answered_ns: sample.reported_ns,
        })
    }

    /// Returns the cost of one more request, and the time that decides among equal costs.
    fn rank(&self, usual_ns: u64) -> (u128, MonoNs) {
        let slowness_permille = if self.latency_ns > usual_ns.saturating_mul(SLOW_RATIO) {
            u128::from(self.latency_ns) * 1_000 / u128::from(usual_ns.max(1))
        } else {
            1_000
        };
        let load = u128::from(self.own_in_flight) + 1;
        let cost = load * slowness_permille;
        (cost << self.penalty_shift, self.answered_ns)
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
        // A run of neighbours from a random start needs one random number and no memory of what
        // was looked at.
        let start = rng.random_range(0..targets.len());
        let mut candidates = [Candidate::default(); CHOICES];
        let mut count = 0;
        for step in 0..targets.len().min(CHOICES) {
            let index = (start + step) % targets.len();
            if let Some(candidate) = Candidate::read(&targets[index], index, view) {
                candidates[count] = candidate;
                count += 1;
            }
        }
        let candidates = &candidates[..count];
        let usual_ns = usual_latency_ns(candidates, view.now_ns);
        candidates
            .iter()
            .min_by_key(|candidate| candidate.rank(usual_ns))
            .map(|candidate| candidate.index)
    }
}

/// Returns the median latency of the candidates that answer well, or the largest number if there
/// is none, so that an unknown usual latency makes no target slow.
///
/// The latency of a target that fails or is idle fades away. Counted in, half of the targets that
/// fail for some seconds make the others look slow.
fn usual_latency_ns(candidates: &[Candidate], now_ns: MonoNs) -> u64 {
    let mut latencies = [0; CHOICES];
    let mut count = 0;
    let answers_well = |c: &&Candidate| {
        !c.is_failing && c.latency_ns > 0 && now_ns.ms_since(c.answered_ns) < RECENT_MS
    };
    for candidate in candidates.iter().filter(answers_well) {
        latencies[count] = candidate.latency_ns;
        count += 1;
    }
    let known = &mut latencies[..count];
    known.sort_unstable();
    known.get(count / 2).copied().unwrap_or(u64::MAX)
}

fn failure_shift(sample: &TargetSample, now_ns: MonoNs) -> u32 {
    if now_ns.ms_since(sample.failed_at_ns) >= FAILURE_HOLD_MS {
        return 0;
    }
    sample.failures.saturating_mul(2).min(FAILURE_SHIFT_MAX)
}
