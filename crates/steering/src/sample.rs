//! Picks the targets that are asked for their load before a request is sent.

use crate::{Target, TargetGroup};
use heatherhinge_types::MonoNs;
use rand::{Rng, RngExt};
use std::sync::Arc;

/// How many targets one round asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRoundSize {
    /// Targets in the zone of this host.
    pub near: usize,
    /// Targets in other zones.
    pub far: usize,
}

/// Picks targets at random that were not asked before. Targets of the host's own zone that are
/// wanting are made up for by targets of other zones.
pub fn sample<R: Rng>(
    group: &TargetGroup,
    asked: &[Arc<Target>],
    size: ProbeRoundSize,
    now: MonoNs,
    rng: &mut R,
) -> Vec<Arc<Target>> {
    let mut picked = pick(&group.near, asked, size.near, now, rng);
    let far = size.far + size.near.saturating_sub(picked.len());
    picked.extend(pick(&group.far, asked, far, now, rng));
    picked
}

fn pick<R: Rng>(
    targets: &[Arc<Target>],
    asked: &[Arc<Target>],
    count: usize,
    now: MonoNs,
    rng: &mut R,
) -> Vec<Arc<Target>> {
    let is_open = |target: &&Arc<Target>| {
        !target.cell.is_avoided(now)
            && (target.may_send_while_cold || !target.cell.is_cold(now))
            && !asked
                .iter()
                .any(|other| Arc::ptr_eq(&other.cell, &target.cell))
    };
    let mut open: Vec<&Arc<Target>> = targets.iter().filter(is_open).collect();
    let mut picked = Vec::with_capacity(count.min(open.len()));
    while picked.len() < count && !open.is_empty() {
        let index = rng.random_range(0..open.len());
        picked.push(Arc::clone(open.swap_remove(index)));
    }
    picked
}
