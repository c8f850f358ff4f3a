//! Advances one version move and decides when its report is written.

use crate::{
    FleetView, MoveEffect, MoveEvidence, MoveProgress, MoveReport, MoveStage, MoveTracker,
    PastMove, ReportedState, Verdict, VersionFate, duty_rank, judge,
};
use heatherhinge_types::{MonoNs, Name, StoreVersion};
use std::sync::Arc;

/// Length of the canary stage, in percent of the move's duration.
const CANARY_PERCENT: u64 = 38;
/// Time until all requests go to a good version, in percent of the move's duration.
const RAMP_PERCENT: u64 = 60;
/// Shortest time in the shift stage before a move may be reported as completed, in milliseconds.
/// In this time every host learns of the shift and ends its requests at the old version.
const SHIFT_MIN_MS: u64 = 1_300;
/// Time before the end of the move at which it is reported even with requests at the old version,
/// or rolled back if its version is not proven, in milliseconds. Reading and writing the report takes 0.4 s, and the hosts responsible for it
/// may have stopped.
const REPORT_MARGIN_MS: u64 = 2_000;
/// Time after which the next host by duty rank takes over, in milliseconds.
const TAKEOVER_DELAY_MS: u64 = 700;
/// Pause between store calls for a report, in milliseconds.
const STORE_CALL_PAUSE_MS: u64 = 400;

/// Progress of one move at this host.
#[derive(Debug)]
pub(crate) struct Move {
    pub(crate) tracker: Arc<MoveTracker>,
    /// Version of the store at which the order was written, which identifies the move for other
    /// hosts. It rises when the same order is written again.
    pub(crate) order_version: StoreVersion,
    pub(crate) started: MonoNs,
    pub(crate) stage_started: MonoNs,
    /// Report in the store: `None` if not known, `Some(None)` if there is none.
    pub(crate) report: Option<Option<MoveReport>>,
    /// Whether the store is known to have held a final report, which no verdict overrides.
    pub(crate) is_final: bool,
    /// Whether the store may have lost the final report by a return from an older copy.
    pub(crate) must_report_again: bool,
    pub(crate) next_store_call: MonoNs,
}

impl Move {
    /// Returns whether a report is one of this move. Versions of two epochs tell nothing of that.
    pub(crate) fn is_for_order(&self, report: &MoveReport) -> bool {
        report.to == self.tracker.order.to
            && report.version.is_same_epoch(self.order_version)
            && report.version > self.order_version
    }

    /// Returns whether the store is known to hold the report for the current stage.
    pub(crate) fn is_reported(&self) -> bool {
        if self.is_final {
            return !self.must_report_again;
        }
        let Some(Some(report)) = &self.report else {
            return false;
        };
        let wanted = match self.tracker.stage() {
            MoveStage::Canary | MoveStage::Ramp => ReportedState::Running,
            MoveStage::Shift => return false,
            MoveStage::Completed => ReportedState::Completed,
            MoveStage::RolledBack => ReportedState::RolledBack,
        };
        self.is_for_order(report) && report.state == wanted
    }

    /// Returns what became of the version if the move ends now. Only a final report shows that a
    /// version was rolled back: other hosts may have completed the move that this one judged bad.
    pub(crate) fn past(&self) -> PastMove {
        let order = &self.tracker.order;
        PastMove {
            service: order.service.clone(),
            version: order.to.clone(),
            order_version: self.order_version,
            fate: match self.tracker.stage() {
                MoveStage::Shift | MoveStage::Completed => VersionFate::Accepted,
                MoveStage::RolledBack if self.is_final => VersionFate::RolledBack,
                MoveStage::Canary | MoveStage::Ramp | MoveStage::RolledBack => {
                    VersionFate::Unproven
                }
            },
        }
    }

    /// Enters the stage of a final report.
    pub(crate) fn finish(&mut self, stage: MoveStage, now: MonoNs) {
        self.is_final = true;
        self.enter(stage, now);
    }

    fn enter(&mut self, stage: MoveStage, now: MonoNs) {
        if self.tracker.stage() != stage {
            self.tracker.set_stage(stage);
            self.stage_started = now;
        }
    }

    pub(crate) fn step(
        &mut self,
        service: &Name,
        own: &Name,
        fleet: &FleetView,
        epoch: u64,
        now: MonoNs,
        effects: &mut Vec<MoveEffect>,
    ) {
        let peers: Vec<&MoveProgress> = fleet
            .live
            .iter()
            .filter(|host| host.host != *own)
            .flat_map(|host| &host.moves)
            .filter(|state| state.service == *service && state.order_version == self.order_version)
            .collect();
        let before = self.tracker.stage();
        self.merge_peers(&peers, now);
        let reason = self.decide(&peers, duty_rank(service, own, fleet), now);
        let after = self.tracker.stage();
        if before != after {
            effects.push(MoveEffect::LogStage {
                service: service.clone(),
                stage: after,
                reason: reason.unwrap_or("another host or the stored report has this stage"),
                evidence: self.evidence(&peers, now),
            });
        }
        // While the order has not been written again, no report can be told to be one of it.
        if self.order_version.epoch() == epoch
            && let Some(effect) = self.report_effect(service, &peers, own, fleet, now)
        {
            effects.push(effect);
        }
    }

    /// Merges the progress of other hosts: the latest stage and the longest time since the order.
    /// A stage that is reported as final overrides any other, because the old targets stop once a
    /// move is reported as completed.
    fn merge_peers(&mut self, peers: &[&MoveProgress], now: MonoNs) {
        let reported = peers
            .iter()
            .find(|peer| peer.is_reported && peer.stage >= MoveStage::Completed);
        if let Some(peer) = reported.filter(|_| !self.is_final) {
            self.finish(peer.stage, now);
        }
        for peer in peers {
            let started = now.minus_ms(peer.elapsed_ms);
            self.started = self.started.min(started);
            let own = self.tracker.stage();
            if own < MoveStage::Completed && peer.stage > own {
                self.enter(peer.stage, now);
            }
        }
    }

    fn decide(
        &mut self,
        peers: &[&MoveProgress],
        duty_rank: Option<usize>,
        now: MonoNs,
    ) -> Option<&'static str> {
        let stage = self.tracker.stage();
        if stage >= MoveStage::Completed {
            return None;
        }
        let own = self.tracker.state(0);
        let verdict = judge(
            peers
                .iter()
                .flat_map(|peer| &peer.routes)
                .chain(&own.routes),
        );
        let rollback_reason = match verdict {
            Verdict::Worse => {
                Some("the new version has more failed or slow responses than the current one")
            }
            Verdict::Failing => Some("the new version has too many failed or slow responses"),
            Verdict::Unclear | Verdict::Unproven | Verdict::Good => None,
        };
        if rollback_reason.is_some() {
            self.enter(MoveStage::RolledBack, now);
            return rollback_reason;
        }
        let takeover_delay_ms = u64::try_from(duty_rank?)
            .ok()?
            .saturating_mul(TAKEOVER_DELAY_MS);
        let elapsed_ms = now.ms_since(self.started).saturating_sub(takeover_delay_ms);
        let duration_ms = self.tracker.order.duration_ms;
        if stage == MoveStage::Canary && elapsed_ms * 100 >= duration_ms * CANARY_PERCENT {
            self.enter(MoveStage::Ramp, now);
            return Some("the canary stage has ended");
        }
        if stage == MoveStage::Ramp
            && verdict == Verdict::Good
            && elapsed_ms * 100 >= duration_ms * RAMP_PERCENT
        {
            self.enter(MoveStage::Shift, now);
            return Some("failed and slow responses of the new version are within the bounds");
        }
        if stage < MoveStage::Shift
            && verdict == Verdict::Unproven
            && elapsed_ms + REPORT_MARGIN_MS >= duration_ms
        {
            self.enter(MoveStage::RolledBack, now);
            return Some("the new version could not be shown to be good in time");
        }
        None
    }

    fn evidence(&self, peers: &[&MoveProgress], now: MonoNs) -> MoveEvidence {
        let own = self.tracker.state(now.ms_since(self.started));
        MoveEvidence::new(&own, peers, self.tracker.share())
    }

    fn wanted_report(&self, peers: &[&MoveProgress], now: MonoNs) -> Option<ReportedState> {
        match self.tracker.stage() {
            MoveStage::Canary | MoveStage::Ramp => Some(ReportedState::Running),
            MoveStage::RolledBack => Some(ReportedState::RolledBack),
            MoveStage::Completed => self.must_report_again.then_some(ReportedState::Completed),
            MoveStage::Shift => {
                let is_drained = |state: &MoveProgress| {
                    state.stage >= MoveStage::Shift && state.current_in_flight == 0
                };
                let all_drained =
                    is_drained(&self.tracker.state(0)) && peers.iter().all(|peer| is_drained(peer));
                let is_shift_settled = now.ms_since(self.stage_started) >= SHIFT_MIN_MS;
                let elapsed_ms = now.ms_since(self.started);
                let is_urgent = elapsed_ms + REPORT_MARGIN_MS >= self.tracker.order.duration_ms;
                ((all_drained && is_shift_settled) || is_urgent).then_some(ReportedState::Completed)
            }
        }
    }

    fn report_effect(
        &mut self,
        service: &Name,
        peers: &[&MoveProgress],
        own: &Name,
        fleet: &FleetView,
        now: MonoNs,
    ) -> Option<MoveEffect> {
        if now < self.next_store_call {
            return None;
        }
        let wanted = self.wanted_report(peers, now)?;
        let stage = self.tracker.stage();
        let is_reported = self.is_reported()
            || peers
                .iter()
                .any(|peer| peer.is_reported && peer.stage >= stage);
        let duty_rank = u64::try_from(duty_rank(service, own, fleet)?).ok()?;
        let is_due =
            now.ms_since(self.stage_started) >= duty_rank.saturating_mul(TAKEOVER_DELAY_MS);
        if is_reported || !is_due {
            return None;
        }
        let Some(report) = &self.report else {
            self.next_store_call = now.plus_ms(STORE_CALL_PAUSE_MS);
            return Some(MoveEffect::ReadReport(service.clone()));
        };
        self.next_store_call = now.plus_ms(STORE_CALL_PAUSE_MS);
        Some(MoveEffect::WriteReport {
            service: service.clone(),
            to: self.tracker.order.to.clone(),
            state: wanted,
            expected_version: report
                .as_ref()
                .map_or(StoreVersion::NONE, |report| report.version),
        })
    }
}
