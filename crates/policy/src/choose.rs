//! Selects the target of a request, or decides that the request waits or is refused.

use crate::{PickView, Picker, RequestPlan};
use heatherhinge_blackboard::{ColdTarget, InFlight, ServiceTargets, TargetCell, VersionPool};
use heatherhinge_bundle::RouteClass;
use heatherhinge_types::{Code, MonoNs, Name, Urgency};
use rand::{Rng, RngExt};
use std::sync::Arc;

/// Requests that a target may have in flight beyond its slots. They wait in the target's own short
/// queue, so that no slot is idle while a response travels.
const QUEUED_AT_TARGET: u32 = 1;

/// Of the requests that are urgent, bulk or not idempotent, one in this many may go to a cold
/// target.
const COLD_TARGET_ONE_IN: u32 = 32;

/// What to do with a request.
#[derive(Debug)]
pub enum Choice {
    /// Send it to this target.
    Send(Chosen),
    /// Wait until a target has capacity.
    Wait,
    /// Refuse it; it has not run.
    Refuse(Code),
}

/// A selected target, at which the request is counted as in flight.
#[derive(Debug)]
pub struct Chosen {
    /// Counts the request at the target until dropped.
    pub in_flight: InFlight,
    /// Version that the target runs.
    pub version: Name,
    /// Whether the target runs the new version of a move.
    pub is_new_version: bool,
    /// Whether the target is not warm.
    pub is_cold: bool,
    /// Number of targets in the pool that the target was selected from.
    pub candidates: usize,
}

/// Selects a target for a request. `avoid` is the target that has just failed it.
pub fn choose<P: Picker, R: Rng>(
    plan: &mut RequestPlan,
    avoid: Option<&Name>,
    picker: &P,
    now_ns: MonoNs,
    rng: &mut R,
) -> Choice {
    let targets = Arc::clone(&plan.targets);
    if takes_new_version(plan, &targets, avoid)
        && let Some(new) = targets.pools.get(1)
    {
        if let Some(chosen) = choose_in(plan, new, true, avoid, picker, now_ns, rng) {
            return Choice::Send(chosen);
        }
        // The new version has no capacity, so the request does not count towards its share.
        uncount_new_version(plan, &targets);
    }
    let Some(main) = targets.pools.first() else {
        return Choice::Refuse(Code::NoTarget);
    };
    match choose_in(plan, main, false, avoid, picker, now_ns, rng) {
        Some(chosen) => Choice::Send(chosen),
        None if main.warm.is_empty() && main.cold.is_empty() => Choice::Refuse(Code::NoTarget),
        None => Choice::Wait,
    }
}

/// Decides once for each request whether it goes to the new version of a move. A retry goes to the
/// old one, so that a bad version costs a request at most one attempt.
fn takes_new_version(
    plan: &mut RequestPlan,
    targets: &ServiceTargets,
    avoid: Option<&Name>,
) -> bool {
    let (Some(new), Some(counters)) = (targets.pools.get(1), &targets.move_counters) else {
        return false;
    };
    let Some(route) = counters.routes.get(&plan.route.name) else {
        return false;
    };
    let is_new = plan
        .is_new_version
        .get_or_insert_with(|| route.try_count_new(new.share_permille));
    *is_new && avoid.is_none()
}

fn uncount_new_version(plan: &mut RequestPlan, targets: &ServiceTargets) {
    plan.is_new_version = Some(false);
    if let Some(counters) = &targets.move_counters
        && let Some(route) = counters.routes.get(&plan.route.name)
    {
        route.uncount_new();
    }
}

fn choose_in<P: Picker, R: Rng>(
    plan: &RequestPlan,
    pool: &VersionPool,
    is_new_version: bool,
    avoid: Option<&Name>,
    picker: &P,
    now_ns: MonoNs,
    rng: &mut R,
) -> Option<Chosen> {
    let chosen = may_use_cold(plan, pool, rng)
        .then(|| choose_cold(pool, avoid))
        .flatten();
    let view = PickView {
        now_ns,
        limit: limit(plan),
        avoid,
    };
    let chosen = chosen.or_else(|| choose_warm(pool, picker, &view, rng))?;
    Some(Chosen {
        is_new_version,
        ..chosen
    })
}

/// Decides whether a request may go to a cold target. Such a target may be slow, so it gets
/// requests that can be retried and are not urgent. It also gets a small share of the others,
/// because the cold targets of a service that has only those would never become warm.
fn may_use_cold<R: Rng>(plan: &RequestPlan, pool: &VersionPool, rng: &mut R) -> bool {
    let tolerates_slowness = plan.is_idempotent
        && plan.urgency >= Urgency::DEFAULT
        && plan.route.class == RouteClass::Interactive;
    !pool.cold.is_empty()
        && (tolerates_slowness || pool.warm.is_empty() || rng.random_ratio(1, COLD_TARGET_ONE_IN))
}

fn choose_cold(pool: &VersionPool, avoid: Option<&Name>) -> Option<Chosen> {
    let begin = |cold: &ColdTarget| cold.cell.try_begin(cold.allowance);
    let usable = pool
        .cold
        .iter()
        .filter(|cold| avoid.is_none_or(|name| *name != cold.cell.id));
    let in_flight = usable.into_iter().find_map(begin)?;
    Some(Chosen {
        in_flight,
        version: pool.version.clone(),
        is_new_version: false,
        is_cold: true,
        candidates: pool.cold.len(),
    })
}

fn choose_warm<P: Picker, R: Rng>(
    pool: &VersionPool,
    picker: &P,
    view: &PickView<'_>,
    rng: &mut R,
) -> Option<Chosen> {
    let index = picker.pick(&pool.warm, view, rng)?;
    let cell: &Arc<TargetCell> = pool.warm.get(index)?;
    Some(Chosen {
        in_flight: cell.try_begin(view.limit)?,
        version: pool.version.clone(),
        is_new_version: false,
        is_cold: false,
        candidates: pool.warm.len(),
    })
}

/// Returns the most requests that may be in flight at a target. Bulk transfers hold a slot for
/// long, so they may use only half of the slots.
fn limit(plan: &RequestPlan) -> u32 {
    let slots = plan.targets.service.slots;
    match plan.route.class {
        RouteClass::Interactive => slots.saturating_add(QUEUED_AT_TARGET),
        RouteClass::Bulk => (slots / 2).max(1),
    }
}
