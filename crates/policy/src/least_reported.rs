//! Selects the target with the lowest reported load, as a baseline.

use crate::{PickView, Picker};
use heatherhinge_blackboard::TargetCell;
use rand::{Rng, RngExt};
use std::sync::Arc;

/// Selects the target with the fewest requests in flight in its last report; ties are broken at
/// random.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastReported;

impl Picker for LeastReported {
    fn pick<R: Rng>(
        &self,
        targets: &[Arc<TargetCell>],
        view: &PickView<'_>,
        rng: &mut R,
    ) -> Option<usize> {
        if targets.is_empty() {
            return None;
        }
        let start = rng.random_range(0..targets.len());
        (0..targets.len())
            .map(|step| (start + step) % targets.len())
            .min_by_key(|index| {
                let cell = &targets[*index];
                (
                    view.avoids(cell),
                    cell.sample(view.now_ns).reported_in_flight,
                )
            })
    }
}
