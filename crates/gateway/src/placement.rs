//! Finds the target for a request by asking a few for their load.

use crate::call::{Call, ResponseEstimate};
use crate::probe::{ProbeAnswers, Probed, Prober};
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

/// Targets asked in each round while probes are ample. Most requests are placed by the first one.
const AMPLE_ROUNDS: &[ProbeRoundSize] = &[
    ProbeRoundSize { near: 3, far: 0 },
    ProbeRoundSize { near: 2, far: 2 },
    ProbeRoundSize { near: 4, far: 4 },
];
/// Targets asked in each round while probes are short.
const SHORT_ROUNDS: &[ProbeRoundSize] = &[
    ProbeRoundSize { near: 2, far: 0 },
    ProbeRoundSize { near: 1, far: 1 },
    ProbeRoundSize { near: 2, far: 2 },
];
/// Targets asked for a second send while probes are ample.
const SECOND_SEND_ROUNDS: &[ProbeRoundSize] = &[
    ProbeRoundSize { near: 3, far: 0 },
    ProbeRoundSize { near: 2, far: 1 },
];
/// Targets asked while probes are scarce.
const SCARCE_ROUNDS: &[ProbeRoundSize] = &[
    ProbeRoundSize { near: 1, far: 0 },
    ProbeRoundSize { near: 1, far: 0 },
];
/// Longest time for a round that has had an answer. A target in another zone that needs a new
/// connection takes about 7 ms.
const ROUND_WAIT: Duration = Duration::from_millis(12);
/// Longest time for a round without an answer.
const SILENT_ROUND_WAIT: Duration = Duration::from_millis(60);
/// Part of the objective, in percent, for which answers to probes are waited for when no target
/// has answered. A large answer on a small link holds up what comes after it for 100 ms and more.
const LATE_PROBE_PERCENT: u64 = 50;
/// Pause before a request is tried again that found no target.
const RETRY_PAUSE: Duration = Duration::from_millis(15);
/// Share of a target's slots, in percent, that late answers may take.
const LATE_SLOTS_PERCENT: u32 = 50;

/// A target for one attempt.
#[derive(Debug)]
pub(crate) struct Placed {
    pub(crate) probed: Probed,
    pub(crate) side: Side,
    /// The move that the side was chosen for, if one is under way.
    pub(crate) tracker: Option<Arc<MoveTracker>>,
}

/// How choosy an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SelectionMode {
    /// Takes the best target that can answer in time.
    Best,
    /// Takes a target only if it runs the request at once and at its usual speed.
    GoodOnly,
}

/// Places requests.
#[derive(Debug)]
pub(crate) struct Placer {
    pub(crate) board: Arc<SteeringBoard>,
    pub(crate) prober: Arc<Prober>,
    pub(crate) clock: Clock,
}

/// What the rounds have found so far.
struct Search {
    asked: Vec<Arc<Target>>,
    found: Vec<Probed>,
    answers: ProbeAnswers,
}

impl Placer {
    /// Finds a target that the request was not sent to before.
    pub(crate) async fn place(
        &self,
        call: &Call,
        sent: &SentLog,
        selection_mode: SelectionMode,
        rng: &mut Pcg64Mcg,
    ) -> Result<Placed, Code> {
        let hold_until = call.hold_until();
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
            let mut side = match &pool.tracker {
                Some(tracker) => tracker.choose_side(),
                None => Side::Current,
            };
            if pool.group(side).is_empty() && side == Side::Current && pool.may_move_all() {
                side = Side::Moving;
            }
            let group = pool.group(side);
            if let Some(probed) = self.search(call, group, sent, selection_mode, rng).await {
                let tracker = pool.tracker.clone();
                return Ok(Placed {
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
    ) -> Option<Probed> {
        let is_sent = |target: &&Arc<Target>| sent.contains(target.id());
        let asked = group.near.iter().chain(&group.far).filter(is_sent);
        let mut search = Search {
            asked: asked.cloned().collect(),
            found: Vec::new(),
            answers: ProbeAnswers::new(),
        };
        for size in rounds(self.board.probes.supply(), selection_mode) {
            let now = self.clock.mono_ns();
            let targets = sample(group, &search.asked, *size, now, rng);
            if targets.is_empty() {
                break;
            }
            self.ask(&mut search, &targets).await;
            if let Some(probed) = self.take_best(&mut search, Fit::Good) {
                return Some(probed);
            }
        }
        if selection_mode == SelectionMode::GoodOnly {
            return None;
        }
        if search.found.is_empty() {
            self.await_late_answer(call, &mut search).await;
        }
        let now = self.clock.mono_ns();
        search.found.retain(|probed| {
            let (fit, _) = self.rank(probed, now);
            // Past failures make a target less welcome, but not slower.
            let response_estimate = call.response_estimate(cost(&probed.load, 0), now);
            is_worth_it(response_estimate, fit, &probed.load)
        });
        self.take_best(&mut search, Fit::Queues)
    }

    async fn ask(&self, search: &mut Search, targets: &[Arc<Target>]) {
        self.board.probes.spend(targets.len());
        let started = Instant::now();
        self.prober.ask(targets, &mut search.answers);
        search.asked.extend(targets.iter().cloned());
        let mut until = started + SILENT_ROUND_WAIT;
        while let Ok(Some(probed)) = timeout_at(until, search.answers.next()).await {
            search.found.push(probed);
            until = started + ROUND_WAIT;
        }
    }

    /// Waits for a late answer while the request can still be answered in time.
    async fn await_late_answer(&self, call: &Call, search: &mut Search) {
        let now = self.clock.mono_ns();
        let left_ns = call.objective_part(LATE_PROBE_PERCENT).ns_since(now);
        if search.answers.pending() == 0 || left_ns == 0 {
            return;
        }
        let until = Instant::now() + Duration::from_nanos(left_ns);
        if let Ok(Some(probed)) = timeout_at(until, search.answers.next()).await {
            search.found.push(probed);
        }
    }

    /// Takes the target with the lowest cost among those that fit at least this well, and the
    /// token of a cold one.
    fn take_best(&self, search: &mut Search, worst: Fit) -> Option<Probed> {
        let now = self.clock.mono_ns();
        loop {
            let rank = |probed: &Probed| self.rank(probed, now);
            let best = search
                .found
                .iter()
                .enumerate()
                .filter(|(_, probed)| rank(probed).0 <= worst)
                .min_by_key(|(_, probed)| rank(probed))
                .map(|(index, _)| index)?;
            let probed = search.found.swap_remove(best);
            let target = &probed.target;
            if !target.cell.is_cold(now) {
                return Some(probed);
            }
            let interval_ns = target.cold_interval_ns;
            if target.may_send_while_cold && target.cell.take_cold_token(now, interval_ns, 1) {
                return Some(probed);
            }
        }
    }

    fn rank(&self, probed: &Probed, now: MonoNs) -> (Fit, Cost) {
        let trouble = probed.target.cell.failure_penalty_percent(now);
        (fit(&probed.load, trouble), cost(&probed.load, trouble))
    }
}

/// Returns the rounds of a search.
const fn rounds(supply: ProbeSupply, selection_mode: SelectionMode) -> &'static [ProbeRoundSize] {
    match (selection_mode, supply) {
        (SelectionMode::GoodOnly, ProbeSupply::Full) => SECOND_SEND_ROUNDS,
        (SelectionMode::GoodOnly, _) => SCARCE_ROUNDS,
        (SelectionMode::Best, ProbeSupply::Full) => AMPLE_ROUNDS,
        (SelectionMode::Best, ProbeSupply::Reduced) => SHORT_ROUNDS,
        (SelectionMode::Best, ProbeSupply::Minimal) => SCARCE_ROUNDS,
    }
}

/// Returns whether a request is sent to a target that is not good. A late answer is worth little,
/// so it may take slots that would stay empty, but neither a place in a queue, where it would make
/// the ones behind it late, nor the last slots of a target that may soon be fast again.
fn is_worth_it(response_estimate: ResponseEstimate, fit: Fit, load: &TargetLoad) -> bool {
    match (response_estimate, fit) {
        (ResponseEstimate::InTime, _) => true,
        (ResponseEstimate::Late, Fit::Good | Fit::Slow) => {
            (load.running + 1) * 100 <= load.slots * LATE_SLOTS_PERCENT
        }
        (ResponseEstimate::Late, Fit::Queues) | (ResponseEstimate::Never, _) => false,
    }
}
