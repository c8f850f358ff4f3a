//! Selects the targets that are probed for their load before a request is sent.

use crate::{Target, TargetGroup};
use heatherhinge_types::MonoNs;
use rand::{Rng, RngExt};
use std::sync::Arc;

/// Number of targets that one round probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRoundSize {
    /// Targets in the zone of this host.
    pub near: usize,
    /// Targets in other zones.
    pub far: usize,
}

/// Picks random targets that were not probed before. Missing targets in the host's own zone are
/// replaced by targets in other zones.
pub fn sample<R: Rng>(
    group: &TargetGroup,
    probed: &[Arc<Target>],
    size: ProbeRoundSize,
    now: MonoNs,
    rng: &mut R,
) -> Vec<Arc<Target>> {
    let mut picked = pick(&group.near, probed, size.near, now, rng);
    let far = size.far + size.near.saturating_sub(picked.len());
    picked.extend(pick(&group.far, probed, far, now, rng));
    picked
}

fn pick<R: Rng>(
    targets: &[Arc<Target>],
    probed: &[Arc<Target>],
    count: usize,
    now: MonoNs,
    rng: &mut R,
) -> Vec<Arc<Target>> {
    let is_eligible = |target: &&Arc<Target>| {
        !target.cell.is_avoided(now)
            && target.may_send(now)
            && !probed
                .iter()
                .any(|other| Arc::ptr_eq(&other.cell, &target.cell))
    };
    let mut eligible: Vec<&Arc<Target>> = targets.iter().filter(is_eligible).collect();
    let mut picked = Vec::with_capacity(count.min(eligible.len()));
    while picked.len() < count && !eligible.is_empty() {
        let index = rng.random_range(0..eligible.len());
        picked.push(Arc::clone(eligible.swap_remove(index)));
    }
    picked
}
