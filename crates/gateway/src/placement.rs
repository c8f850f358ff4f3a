//! Chooses the target of a request by probing the load of a few.

use crate::call::{Call, ResponseEstimate};
use crate::probe::{ProbeResults, ProbedTarget, Prober};
use crate::sent_log::SentLog;
use heatherhinge_proxy::Clock;
use heatherhinge_steering::{
    Cost, Fit, MoveTracker, ProbeRoundSize, ProbeSupply, Side, SteeringBoard, Target, TargetGroup,
    TargetLoad, cost, fit, sample,
};
use heatherhinge_types::{Code, MonoNs};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Targets probed in each round with a full supply of probes. Most requests need only the first.
const FULL_ROUNDS: &[ProbeRoundSize] = &[
    ProbeRoundSize { near: 3, far: 0 },
    ProbeRoundSize { near: 2, far: 2 },
    ProbeRoundSize { near: 4, far: 4 },
];
/// Targets probed in each round with a reduced supply of probes.
const REDUCED_ROUNDS: &[ProbeRoundSize] = &[
    ProbeRoundSize { near: 2, far: 0 },
    ProbeRoundSize { near: 1, far: 1 },
    ProbeRoundSize { near: 2, far: 2 },
];
/// Targets probed in each round for a hedged request with a full supply of probes.
const HEDGE_ROUNDS: &[ProbeRoundSize] = &[
    ProbeRoundSize { near: 3, far: 0 },
    ProbeRoundSize { near: 2, far: 1 },
];
/// Targets probed in each round with a minimal supply of probes, and for a hedged request unless
/// the supply is full.
const MINIMAL_ROUNDS: &[ProbeRoundSize] = &[
    ProbeRoundSize { near: 1, far: 0 },
    ProbeRoundSize { near: 1, far: 0 },
];
/// Timeout of a round that has had a response. A target in another zone that needs a new connection
/// takes about 7 ms.
const ROUND_TIMEOUT: Duration = Duration::from_millis(12);
/// Timeout of a round without a response.
const EMPTY_ROUND_TIMEOUT: Duration = Duration::from_millis(60);
/// Percentage of the objective for which a request waits for late probe responses when no target
/// has responded. A large response on a slow link delays what follows it by 100 ms and more.
const LATE_PROBE_WAIT_PERCENT: u64 = 50;
/// Pause before the search is repeated for a request that found no target.
const RETRY_PAUSE: Duration = Duration::from_millis(15);
/// Percentage of a target's slots that requests whose response will be late may take.
const LATE_SLOTS_PERCENT: u32 = 50;

/// The target chosen for one attempt.
#[derive(Debug)]
pub(crate) struct Placement {
    pub(crate) probed: ProbedTarget,
    pub(crate) side: Side,
    /// The tracker of the service's move, if one is under way.
    pub(crate) tracker: Option<Arc<MoveTracker>>,
}

/// Which targets an attempt accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SelectionMode {
    /// Accepts the best target that can respond in time.
    Best,
    /// Accepts a target only if it runs the request at once and at its usual speed.
    GoodOnly,
}

/// Chooses targets for requests.
#[derive(Debug)]
pub(crate) struct Placer {
    pub(crate) board: Arc<SteeringBoard>,
    pub(crate) prober: Arc<Prober>,
    pub(crate) clock: Clock,
}

/// State of a search over its rounds.
struct Search {
    excluded: Vec<Arc<Target>>,
    found: Vec<ProbedTarget>,
    results: ProbeResults,
}

impl Placer {
    /// Returns a target that the request was not sent to before. In the mode
    /// [`SelectionMode::Best`] it repeats the search while the request may be held.
    ///
    /// # Errors
    ///
    /// Returns [`Code::NoTarget`] if there are no targets, and [`Code::QueueFull`] if none of them
    /// can take the request, at once if all of them have said so.
    pub(crate) async fn place(
        &self,
        call: &Call,
        sent: &SentLog,
        selection_mode: SelectionMode,
        rng: &mut Pcg64Mcg,
    ) -> Result<Placement, Code> {
        let hold_until = call.hold_until();
        let mut is_first_search = sent.is_empty();
        loop {
            let pool = self
                .board
                .targets
                .read()
                .value
                .pools
                .get(&call.service)
                .map(Arc::clone);
            let Some(pool) = pool else {
                return Err(Code::NoTarget);
            };
            let (side, group) = pool.choose(is_first_search);
            let is_sent = |target: &Target| sent.contains(target.id());
            if group.held_off_ms(is_sent, self.clock.mono_ns()).is_some() {
                return Err(Code::QueueFull);
            }
            if let Some(probed) = self.search(call, group, sent, selection_mode, rng).await {
                let tracker = pool.tracker.clone();
                return Ok(Placement {
                    probed,
                    side,
                    tracker,
                });
            }
            if selection_mode == SelectionMode::GoodOnly || self.clock.mono_ns() >= hold_until {
                return Err(if group.is_empty() {
                    Code::NoTarget
                } else {
                    Code::QueueFull
                });
            }
            is_first_search = false;
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn search(
        &self,
        call: &Call,
        group: &TargetGroup,
        sent: &SentLog,
        selection_mode: SelectionMode,
        rng: &mut Pcg64Mcg,
    ) -> Option<ProbedTarget> {
        let is_sent = |target: &&Arc<Target>| sent.contains(target.id());
        let excluded = group.near.iter().chain(&group.far).filter(is_sent);
        let mut search = Search {
            excluded: excluded.cloned().collect(),
            found: Vec::new(),
            results: ProbeResults::new(),
        };
        for size in rounds(self.board.probes.supply(), selection_mode) {
            let now = self.clock.mono_ns();
            let targets = sample(group, &search.excluded, *size, now, rng);
            if targets.is_empty() {
                break;
            }
            self.probe_all(&mut search, &targets).await;
            if let Some(probed) = self.take_best(&mut search, Fit::Good) {
                return Some(probed);
            }
        }
        if selection_mode == SelectionMode::GoodOnly {
            return None;
        }
        if search.found.is_empty() {
            self.await_late_response(call, &mut search).await;
        }
        let now = self.clock.mono_ns();
        search.found.retain(|probed| {
            let (fit, _) = self.rank(probed, now);
            // Past failures lower the rank of a target, but do not make it slower.
            let response_estimate = call.response_estimate(cost(&probed.load, 0), now);
            should_send(response_estimate, fit, &probed.load)
        });
        self.take_best(&mut search, Fit::Queues)
    }

    async fn probe_all(&self, search: &mut Search, targets: &[Arc<Target>]) {
        self.board.probes.spend(targets.len());
        let started = Instant::now();
        self.prober.probe_all(targets, &mut search.results);
        search.excluded.extend(targets.iter().cloned());
        let mut until = started + EMPTY_ROUND_TIMEOUT;
        while let Ok(Some(probed)) = timeout_at(until, search.results.next()).await {
            search.found.push(probed);
            until = started + ROUND_TIMEOUT;
        }
    }

    /// Waits for a late probe response while the request can still be completed in time.
    async fn await_late_response(&self, call: &Call, search: &mut Search) {
        let now = self.clock.mono_ns();
        let left_ns = call.objective_part(LATE_PROBE_WAIT_PERCENT).ns_since(now);
        if search.results.pending() == 0 || left_ns == 0 {
            return;
        }
        let until = Instant::now() + Duration::from_nanos(left_ns);
        if let Ok(Some(probed)) = timeout_at(until, search.results.next()).await {
            search.found.push(probed);
        }
    }

    /// Removes and returns the target with the lowest cost among those that fit at least as well as
    /// `worst`. One that is cold or names a rate limit is skipped unless this host may send to it
    /// now.
    fn take_best(&self, search: &mut Search, worst: Fit) -> Option<ProbedTarget> {
        let now = self.clock.mono_ns();
        loop {
            let rank = |probed: &ProbedTarget| self.rank(probed, now);
            let best = search
                .found
                .iter()
                .enumerate()
                .filter(|(_, probed)| rank(probed).0 <= worst)
                .min_by_key(|(_, probed)| rank(probed))
                .map(|(index, _)| index)?;
            let probed = search.found.swap_remove(best);
            let target = &probed.target;
            if target.take_send(now) {
                return Some(probed);
            }
        }
    }

    fn rank(&self, probed: &ProbedTarget, now: MonoNs) -> (Fit, Cost) {
        let penalty_percent = probed.target.cell.failure_penalty_percent(now);
        (
            fit(&probed.load, penalty_percent),
            cost(&probed.load, penalty_percent),
        )
    }
}

/// Returns the sizes of the rounds of a search.
const fn rounds(supply: ProbeSupply, selection_mode: SelectionMode) -> &'static [ProbeRoundSize] {
    match (selection_mode, supply) {
        (SelectionMode::GoodOnly, ProbeSupply::Full) => HEDGE_ROUNDS,
        (SelectionMode::GoodOnly, _) => MINIMAL_ROUNDS,
        (SelectionMode::Best, ProbeSupply::Full) => FULL_ROUNDS,
        (SelectionMode::Best, ProbeSupply::Reduced) => REDUCED_ROUNDS,
        (SelectionMode::Best, ProbeSupply::Minimal) => MINIMAL_ROUNDS,
    }
}

/// Returns whether a request may be sent to a target. A late response is worth little, so such a
/// request may take slots that would stay empty, but neither a place in a queue, where it would
/// delay the requests behind it, nor the last slots of a target that may soon be fast again.
fn should_send(response_estimate: ResponseEstimate, fit: Fit, load: &TargetLoad) -> bool {
    match (response_estimate, fit) {
        (ResponseEstimate::InTime, _) => true,
        (ResponseEstimate::Late, Fit::Good | Fit::Slow) => {
            (load.running + 1) * 100 <= load.slots * LATE_SLOTS_PERCENT
        }
        (ResponseEstimate::Late, Fit::Queues) | (ResponseEstimate::Never, _) => false,
    }
}
