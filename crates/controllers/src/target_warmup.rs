//! Tracks the warm-up of one target on one host: its run, allowance and announcements.

use heatherhinge_blackboard::RecordVersion;
use heatherhinge_bundle::Service;
use heatherhinge_types::{MonoNs, Name, Partition, StartId};
use std::collections::VecDeque;

/// Rounds of good responses at full allowance after which a target is warm.
const ROUNDS_AT_SLOTS: u32 = 3;
/// Drop of the reported uptime that counts as a restart. A response that arrives out of order
/// reports an uptime that is lower by its delay.
const UPTIME_DROP_MS: u64 = 2_000;
/// Most ended runs that are kept, so that a late response of an ended run is ignored.
const MAX_RETIRED_RUNS: usize = 4;

/// Result of a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A good response.
    Good,
    /// A good response that took more than twice the service's usual time.
    Slow,
    /// A failed response.
    Error,
}

/// Change caused by a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WarmupChange {
    /// No change that must be published.
    None,
    /// The allowance changed to this value.
    Allowance(u32),
    /// The target became warm in this run.
    Warm(StartId),
}

/// The owner's progress in warming a cold target.
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

/// Phase of the warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WarmupPhase {
    Cold(WarmupProgress),
    Warm(StartId),
}

/// Runs whose announcements are rejected, because this host saw the target fail in them.
#[derive(Clone, Debug)]
pub(crate) struct RejectedRuns {
    pub(crate) runs: [Option<StartId>; 2],
    pub(crate) until_ns: MonoNs,
    /// The owner and its record at the failure. Only later records of that owner are accepted.
    pub(crate) record: Option<(Name, RecordVersion)>,
}

impl RejectedRuns {
    /// Returns whether the owner can have received the report before it published this record.
    pub(crate) fn is_over(&self, owner: &Name, record: RecordVersion, now_ns: MonoNs) -> bool {
        let known = self.record.as_ref().filter(|(known, _)| known == owner);
        now_ns >= self.until_ns && known.is_none_or(|(_, version)| record > *version)
    }
}

/// One target, as this host knows it.
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
    /// The owner that announced the target as warm, with the incarnation of that host.
    pub(crate) announced_by: Option<(Name, u64)>,
    /// When the current owner was first seen without the announcement of the earlier owner.
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

    /// Copies the limits of the service from the bundle.
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

    /// Marks the target as cold, with an allowance of 1. Returns whether it was warm before.
    pub(crate) fn mark_cold(&mut self) -> bool {
        let was_warm = self.is_warm();
        self.phase = WarmupPhase::Cold(WarmupProgress::FIRST);
        self.announced_by = None;
        self.unannounced_since_ns = None;
        was_warm
    }

    /// Marks a run as warm. The previous run is not retired: an announcement may be older than what
    /// this host observed, and the next response must still be able to correct it.
    pub(crate) fn mark_warm(&mut self, run: StartId) {
        if self.run != Some(run) {
            self.uptime_ms = 0;
        }
        self.phase = WarmupPhase::Warm(run);
        self.run = Some(run);
        self.unannounced_since_ns = None;
    }

    /// Records the run that a response or a peer reports. Returns whether it ends the previous run,
    /// or `None` if the reported run itself has ended.
    pub(crate) fn observe_run(&mut self, run: StartId, uptime_ms: u64) -> Option<bool> {
        if self.is_retired(run) {
            return None;
        }
        let known = self.run;
        let uptime_dropped = known == Some(run) && uptime_ms + UPTIME_DROP_MS < self.uptime_ms;
        let changed = known.is_some_and(|old| old != run);
        if let Some(old) = known.filter(|_| changed) {
            self.retired.push_back(old);
            if self.retired.len() > MAX_RETIRED_RUNS {
                self.retired.pop_front();
            }
        }
        self.run = Some(run);
        self.uptime_ms = if uptime_dropped || changed {
            uptime_ms
        } else {
            self.uptime_ms.max(uptime_ms)
        };
        Some(uptime_dropped || changed)
    }

    /// Counts a response that the owner got from a cold target, and adjusts the allowance.
    pub(crate) fn count(&mut self, kind: ResponseKind) -> WarmupChange {
        let WarmupPhase::Cold(progress) = &mut self.phase else {
            return WarmupChange::None;
        };
        match kind {
            ResponseKind::Slow => WarmupChange::None,
            ResponseKind::Error => {
                let halved = (progress.allowance / 2).max(1);
                let changed = halved != progress.allowance;
                *progress = WarmupProgress {
                    allowance: halved,
                    ..WarmupProgress::FIRST
                };
                if changed {
                    WarmupChange::Allowance(halved)
                } else {
                    WarmupChange::None
                }
            }
            ResponseKind::Good => self.count_good(),
        }
    }

    fn count_good(&mut self) -> WarmupChange {
        let (slots, run, uptime_ms, warm_ms) = (self.slots, self.run, self.uptime_ms, self.warm_ms);
        let WarmupPhase::Cold(progress) = &mut self.phase else {
            return WarmupChange::None;
        };
        progress.good += 1;
        let mut change = WarmupChange::None;
        if progress.good >= progress.allowance {
            progress.good = 0;
            if progress.allowance < slots {
                progress.allowance = (progress.allowance * 2).min(slots);
                change = WarmupChange::Allowance(progress.allowance);
            } else {
                progress.rounds_at_slots += 1;
            }
        }
        let is_warm = uptime_ms >= warm_ms || progress.rounds_at_slots >= ROUNDS_AT_SLOTS;
        match run {
            Some(run) if is_warm => {
                self.mark_warm(run);
                WarmupChange::Warm(run)
            }
            _ => change,
        }
    }
}
