//! Runs version moves from the order to the final report.
//!
//! Every host judges the sum of the responses that all hosts have counted, so any host may roll a
//! move back. One host, chosen by rendezvous hashing, advances it; the others take over when they
//! see no progress. The report in the store is written conditionally and is authoritative.

use crate::{
    FleetView, MoveEvidence, MoveProgress, MoveStage, MoveTracker, PastMove, PastMoves, Verdict,
    VersionFate, duty_rank, judge,
};
use heatherhinge_orders::MoveOrder;
use heatherhinge_types::{MonoNs, Name, StoreVersion};
use std::collections::BTreeMap;
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

/// State of a move in the report for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// The move is in progress.
    Running,
    /// All requests go to the new version.
    Completed,
    /// The new version receives no requests.
    RolledBack,
}

/// A stored report of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveReport {
    /// Version that the move goes to.
    pub to: Name,
    /// State that was reported.
    pub state: ReportedState,
    /// Version of the store at which the report was written.
    pub version: StoreVersion,
}

/// An effect of [`MoveControl::step`] that the daemon carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveEffect {
    /// Read the report of this service, then call [`MoveControl::set_report`].
    ReadReport(Name),
    /// Write a report if the row still has the expected version.
    WriteReport {
        /// Service that moves.
        service: Name,
        /// Version that the move goes to.
        to: Name,
        /// State to report.
        state: ReportedState,
        /// Version that the row must have; none if there must be no row.
        expected_version: StoreVersion,
    },
    /// Log that a move has entered a stage.
    LogStage {
        /// Service that moves.
        service: Name,
        /// Stage that was entered.
        stage: MoveStage,
        /// Why the stage was entered.
        reason: &'static str,
        /// What the host knew of both versions.
        evidence: MoveEvidence,
    },
}

/// Progress of one move at this host.
#[derive(Debug)]
struct Move {
    tracker: Arc<MoveTracker>,
    /// Version of the store at which the order was written, which identifies the move for other
    /// hosts. It rises when the same order is written again.
    order_version: StoreVersion,
    started: MonoNs,
    stage_started: MonoNs,
    /// Report in the store: `None` if not known, `Some(None)` if there is none.
    report: Option<Option<MoveReport>>,
    /// Whether the store is known to have held a final report, which no verdict overrides.
    is_final: bool,
    /// Whether the store may have lost the final report by a return from an older copy.
    must_report_again: bool,
    next_store_call: MonoNs,
}

/// All moves that operators have ordered, by service.
#[derive(Debug, Default)]
pub struct MoveControl {
    moves: BTreeMap<Name, Move>,
    past: PastMoves,
    /// Epoch of the store.
    epoch: u64,
}

impl MoveControl {
    /// Replaces the orders in force, given with their store versions; another order starts another
    /// move. Returns the moves whose orders were replaced or removed.
    pub fn set_orders(
        &mut self,
        orders: &BTreeMap<Name, (StoreVersion, MoveOrder)>,
        routes: &[Name],
        now: MonoNs,
    ) -> Vec<PastMove> {
        let mut ended = Vec::new();
        self.moves
            .retain(|service, known| match orders.get(service) {
                Some((version, order)) if *order == known.tracker.order => {
                    known.order_version = *version;
                    true
                }
                _ => {
                    ended.push(known.past());
                    false
                }
            });
        for past in &ended {
            self.past.record(past.clone());
        }
        for (service, (version, order)) in orders {
            self.moves.entry(service.clone()).or_insert_with(|| Move {
                tracker: Arc::new(MoveTracker::new(order.clone(), routes)),
                order_version: *version,
                started: now,
                stage_started: now,
                report: None,
                is_final: false,
                must_report_again: false,
                next_store_call: now,
            });
        }
        ended
    }

    /// Begins an epoch of the store. What it shows of reports may be older than what this host knows,
    /// so they are read again, and final ones that are lost are written again. Returns the number of
    /// final reports that this host knows.
    pub fn begin_epoch(&mut self, epoch: u64) -> usize {
        self.epoch = epoch;
        for known in self.moves.values_mut() {
            known.report = None;
            known.must_report_again = known.is_final;
        }
        let is_final = |known: &&Move| known.is_final;
        self.moves.values().filter(is_final).count()
    }

    /// Records past moves that another host told of; returns those that are new to this one.
    pub fn learn(&mut self, told: &[PastMove], now: MonoNs) -> Vec<PastMove> {
        for past in told
            .iter()
            .filter(|past| past.fate == VersionFate::RolledBack)
        {
            self.roll_back_restored(past, now);
        }
        let is_new = |past: &&PastMove| self.past.record((*past).clone());
        told.iter().filter(is_new).cloned().collect()
    }

    /// Ends a move whose order came from an older copy of the store, if another host knows that its
    /// version was rolled back. Rows of a copy keep their numbers.
    fn roll_back_restored(&mut self, past: &PastMove, now: MonoNs) {
        let Some(known) = self.moves.get_mut(&past.service) else {
            return;
        };
        let is_same_order = known.tracker.order.to == past.version
            && known.order_version.number() == past.order_version.number()
            && known.order_version.epoch() > past.order_version.epoch();
        if is_same_order && !known.is_final {
            known.finish(MoveStage::RolledBack, now);
            known.must_report_again = true;
        }
    }

    /// Returns what became of versions whose moves are over.
    #[must_use]
    pub const fn past_moves(&self) -> &PastMoves {
        &self.past
    }

    /// Returns the trackers for the routing snapshot, by service.
    #[must_use]
    pub fn trackers(&self) -> BTreeMap<Name, Arc<MoveTracker>> {
        let tracker = |(name, known): (&Name, &Move)| (name.clone(), Arc::clone(&known.tracker));
        self.moves.iter().map(tracker).collect()
    }

    /// Returns the progress of all moves for gossip.
    #[must_use]
    pub fn states(&self, now: MonoNs) -> Vec<MoveProgress> {
        self.moves
            .values()
            .map(|known| MoveProgress {
                order_version: known.order_version,
                is_reported: known.is_reported(),
                ..known.tracker.state(now.ms_since(known.started))
            })
            .collect()
    }

    /// Records a report that was read or written; `None` if the store has none.
    pub fn set_report(&mut self, service: &Name, report: Option<MoveReport>, now: MonoNs) {
        let Some(known) = self.moves.get_mut(service) else {
            return;
        };
        if let Some(report) = &report {
            if report.version.epoch() < self.epoch {
                // Read or written before the store's return, which may have undone it.
                known.report = None;
                return;
            }
            let stage = match report.state {
                ReportedState::Running => None,
                ReportedState::Completed => Some(MoveStage::Completed),
                ReportedState::RolledBack => Some(MoveStage::RolledBack),
            };
            if let Some(stage) = stage.filter(|_| known.is_for_order(report)) {
                if !known.is_final {
                    known.finish(stage, now);
                }
                known.must_report_again &= known.tracker.stage() != stage;
            }
        }
        known.report = Some(report);
    }

    /// Records that a report could not be read or that the outcome of its write is unknown.
    pub fn clear_report(&mut self, service: &Name) {
        if let Some(known) = self.moves.get_mut(service) {
            known.report = None;
        }
    }

    /// Advances all moves and returns the effects to carry out.
    pub fn step(&mut self, own: &Name, fleet: &FleetView, now: MonoNs) -> Vec<MoveEffect> {
        let mut effects = Vec::new();
        for (service, known) in &mut self.moves {
            known.step(service, own, fleet, self.epoch, now, &mut effects);
        }
        effects
    }
}

impl Move {
    /// Returns whether a report is one of this move. Versions of two epochs tell nothing of that.
    fn is_for_order(&self, report: &MoveReport) -> bool {
        report.to == self.tracker.order.to
            && report.version.is_same_epoch(self.order_version)
            && report.version > self.order_version
    }

    /// Returns whether the store is known to hold the report for the current stage.
    fn is_reported(&self) -> bool {
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
    fn past(&self) -> PastMove {
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
    fn finish(&mut self, stage: MoveStage, now: MonoNs) {
        self.is_final = true;
        self.enter(stage, now);
    }

    fn enter(&mut self, stage: MoveStage, now: MonoNs) {
        if self.tracker.stage() != stage {
            self.tracker.set_stage(stage);
            self.stage_started = now;
        }
    }

    fn step(
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
