//! The warm-up of one target as one host knows it.

use heatherhinge_blackboard::RecordVersion;
use heatherhinge_bundle::Service;
use heatherhinge_types::{MonoNs, Name, Partition, StartId};
use std::collections::VecDeque;

/// Rounds at full allowance after which a target is warm.
const ROUNDS_AT_SLOTS: u32 = 3;
/// Fall of the reported uptime that counts as a restart. Answers that overtake each other report
/// an uptime that is lower by their time on the way.
const UPTIME_FALL_MS: u64 = 2_000;
/// Number of ended runs that are remembered, so that a late answer of an ended run is ignored.
const RETIRED_RUNS: usize = 4;

/// Whether a request to a target went well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// A good answer.
    Good,
    /// A good answer that took more than twice the service's usual time.
    Slow,
    /// A failed answer.
    Error,
}

/// What changed by an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WarmupChange {
    /// Nothing that others have to know.
    None,
    /// The allowance changed.
    Allowance(u32),
    /// The target is warm.
    Warm(StartId),
}

/// Progress of the owner with a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WarmupProgress {
    pub(crate) allowance: u32,
    good: u32,
    rounds_at_slots: u32,
}

impl WarmupProgress {
    const FIRST: Self = Self {
        allowance: 1,
        good: 0,
        rounds_at_slots: 0,
    };
}

/// Whether a target is warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WarmupPhase {
    Cold(WarmupProgress),
    Warm(StartId),
}

/// Announcements of runs that are not accepted, because this host saw the target fail in them.
#[derive(Clone, Debug)]
pub(crate) struct RejectedRuns {
    pub(crate) runs: [Option<StartId>; 2],
    pub(crate) until_ns: MonoNs,
    /// The owner's record at that time; a later one of the same owner is needed.
    pub(crate) record: Option<(Name, RecordVersion)>,
}

impl RejectedRuns {
    /// Returns whether this record of the owner was made after the owner could know.
    pub(crate) fn is_over(&self, owner: &Name, record: RecordVersion, now_ns: MonoNs) -> bool {
        let known = self.record.as_ref().filter(|(known, _)| known == owner);
        now_ns >= self.until_ns && known.is_none_or(|(_, version)| record > *version)
    }
}

/// One target.
#[derive(Debug)]
pub(crate) struct TargetWarmup {
    pub(crate) service: Name,
    pub(crate) zone: Name,
    pub(crate) partition: Partition,
    pub(crate) slots: u32,
    pub(crate) warm_ms: u64,
    /// Longest time that a request of an earlier owner may still be in flight.
    pub(crate) max_deadline_ms: u64,
    pub(crate) phase: WarmupPhase,
    /// The owner that announced the target warm, with the start of that host.
    pub(crate) announced_by: Option<(Name, u64)>,
    /// Since when the present owner has not announced what an earlier owner announced.
    pub(crate) unannounced_since_ns: Option<MonoNs>,
    pub(crate) rejected_runs: Option<RejectedRuns>,
    run: Option<StartId>,
    uptime_ms: u64,
    retired: VecDeque<StartId>,
}

impl TargetWarmup {
    pub(crate) fn new(service: Name, zone: Name, partition: Partition) -> Self {
        Self {
            service,
            zone,
            partition,
            slots: 1,
            warm_ms: u64::MAX,
            max_deadline_ms: 0,
            phase: WarmupPhase::Cold(WarmupProgress::FIRST),
            announced_by: None,
            unannounced_since_ns: None,
            rejected_runs: None,
            run: None,
            uptime_ms: 0,
            retired: VecDeque::new(),
        }
    }

    /// Takes over the limits that the bundle states for the service.
    pub(crate) fn set_limits(&mut self, service: &Service) {
        self.slots = service.slots.max(1);
        self.warm_ms = service.warm_ms;
        let deadlines = service.routes.iter().map(|route| route.deadline_ms);
        self.max_deadline_ms = deadlines.max().unwrap_or(0);
    }

    pub(crate) fn run(&self) -> Option<StartId> {
        self.run
    }

    pub(crate) fn is_warm(&self) -> bool {
        matches!(self.phase, WarmupPhase::Warm(_))
    }

    pub(crate) fn is_retired(&self, run: StartId) -> bool {
        self.retired.contains(&run)
    }

    /// Starts again at an allowance of 1. Returns whether the target was warm before.
    pub(crate) fn turn_cold(&mut self) -> bool {
        let was_warm = self.is_warm();
        self.phase = WarmupPhase::Cold(WarmupProgress::FIRST);
        self.announced_by = None;
        self.unannounced_since_ns = None;
        was_warm
    }

    /// Treats a run as warm. The run known before is not retired: an announcement may be older
    /// than what this host saw, and the next answer must still be able to correct it.
    pub(crate) fn turn_warm(&mut self, run: StartId) {
        if self.run != Some(run) {
            self.uptime_ms = 0;
        }
        self.phase = WarmupPhase::Warm(run);
        self.run = Some(run);
        self.unannounced_since_ns = None;
    }

    /// Takes in the run that an answer or a peer names. Returns whether it ends the run known
    /// before, or `None` if it is itself a run that has ended.
    pub(crate) fn see_run(&mut self, run: StartId, uptime_ms: u64) -> Option<bool> {
        if self.is_retired(run) {
            return None;
        }
        let known = self.run;
        let fell = known == Some(run) && uptime_ms + UPTIME_FALL_MS < self.uptime_ms;
        let changed = known.is_some_and(|old| old != run);
        if let Some(old) = known.filter(|_| changed) {
            self.retired.push_back(old);
            if self.retired.len() > RETIRED_RUNS {
                self.retired.pop_front();
            }
        }
        self.run = Some(run);
        self.uptime_ms = if fell || changed {
            uptime_ms
        } else {
            self.uptime_ms.max(uptime_ms)
        };
        Some(fell || changed)
    }

    /// Takes in an answer that the owner got from a cold target.
    pub(crate) fn count(&mut self, kind: AnswerKind) -> WarmupChange {
        let WarmupPhase::Cold(round) = &mut self.phase else {
            return WarmupChange::None;
        };
        match kind {
            AnswerKind::Slow => WarmupChange::None,
            AnswerKind::Error => {
                let halved = (round.allowance / 2).max(1);
                let changed = halved != round.allowance;
                *round = WarmupProgress {
                    allowance: halved,
                    ..WarmupProgress::FIRST
                };
                if changed {
                    WarmupChange::Allowance(halved)
                } else {
                    WarmupChange::None
                }
            }
            AnswerKind::Good => self.count_good(),
        }
    }

    fn count_good(&mut self) -> WarmupChange {
        let (slots, run, uptime_ms, warm_ms) = (self.slots, self.run, self.uptime_ms, self.warm_ms);
        let WarmupPhase::Cold(round) = &mut self.phase else {
            return WarmupChange::None;
        };
        round.good += 1;
        let mut change = WarmupChange::None;
        if round.good >= round.allowance {
            round.good = 0;
            if round.allowance < slots {
                round.allowance = (round.allowance * 2).min(slots);
                change = WarmupChange::Allowance(round.allowance);
            } else {
                round.rounds_at_slots += 1;
            }
        }
        let is_warm = uptime_ms >= warm_ms || round.rounds_at_slots >= ROUNDS_AT_SLOTS;
        match run {
            Some(run) if is_warm => {
                self.turn_warm(run);
                WarmupChange::Warm(run)
            }
            _ => change,
        }
    }
}
