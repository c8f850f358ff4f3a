//! Chooses by estimated load and latency among a few random targets.

use crate::{PickView, Picker, estimated_in_flight};
use heatherhinge_blackboard::TargetCell;
use heatherhinge_types::MonoNs;
use rand::{Rng, RngExt};
use std::sync::Arc;

/// Targets looked at for one decision. More would let hosts with the same stale reports choose the
/// same target, and would cost more at 5,000 targets.
const CHOICES: usize = 4;
/// Latency assumed of a target that has not answered yet.
const UNKNOWN_LATENCY_NS: u64 = 1_000_000;
/// Time for which a failing target is held at a distance after its last failure.
const FAILURE_HOLD_MS: u64 = 1_000;
/// Factor on the cost of a target for each failure in a row, as a power of two.
const FAILURE_SHIFT_MAX: u32 = 12;

/// Chooses the lowest of estimated load × latency among [`CHOICES`] random targets that have room.
///
/// A target that fails fast answers quickly and looks idle, so failures in a row multiply its cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weighted;

impl Weighted {
    /// Returns the cost of sending one more request to a target, or `None` if it has no room.
    fn cost(cell: &TargetCell, view: &PickView<'_>) -> Option<u128> {
        let sample = cell.sample(view.now_ns);
        let in_flight = estimated_in_flight(&sample, view.now_ns);
        if in_flight + 1_000 > u64::from(view.limit) * 1_000 {
            return None;
        }
        let latency_ns = if sample.latency_ns == 0 {
            UNKNOWN_LATENCY_NS
        } else {
            sample.latency_ns
        };
        let shift = failure_shift(sample.failures, sample.failed_at_ns, view.now_ns)
            + if view.avoids(cell) {
                FAILURE_SHIFT_MAX
            } else {
                0
            };
        Some((u128::from(in_flight + 1_000) * u128::from(latency_ns)) << shift)
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
        (0..CHOICES)
            .map(|_| rng.random_range(0..targets.len()))
            .filter_map(|index| Some((Self::cost(&targets[index], view)?, index)))
            .min()
            .map(|(_, index)| index)
    }
}

fn failure_shift(failures: u32, failed_at_ns: MonoNs, now_ns: MonoNs) -> u32 {
    if now_ns.ms_since(failed_at_ns) >= FAILURE_HOLD_MS {
        return 0;
    }
    (failures * 2).min(FAILURE_SHIFT_MAX)
}
