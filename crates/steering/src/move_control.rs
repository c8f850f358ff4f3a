//! Steers version moves from the order to the report.
//!
//! Every host judges the sum of the answers that all hosts have counted, so any host may take a
//! move back. One host, chosen by rendezvous hashing, brings it forward; the others take over
//! when they see no progress. The report in the store is written under a condition and decides.

use crate::{FleetView, MoveProgress, MoveStage, MoveTracker, Verdict, duty_rank, judge};
use heatherhinge_orders::MoveOrder;
use heatherhinge_types::{MonoNs, Name};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Part of the move's time, in percent, that the canary takes.
const CANARY_PERCENT: u64 = 38;
/// Part of the move's time, in percent, until all requests go to a good version.
const RAMP_PERCENT: u64 = 60;
/// Shortest time at full share before a move may be reported as completed, in milliseconds. It
/// lets every host learn of the shift and end its requests at the old version.
const SHIFT_MIN_MS: u64 = 1_300;
/// Time before the end of the move at which it is reported even with requests at the old version.
/// Reading and writing the report takes 0.4 s, and the hosts whose turn it is may have ended.
const REPORT_MARGIN_MS: u64 = 2_000;
/// Time after which the next host in line takes a duty over, in milliseconds.
const SUCCESSION_MS: u64 = 700;
/// Pause between attempts to write a report, in milliseconds.
const WRITE_PAUSE_MS: u64 = 400;

/// State of a move as it is reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// The move is under way.
    Running,
    /// All requests go to the new version.
    Completed,
    /// The new version gets nothing.
    RolledBack,
}

/// A report as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveReport {
    /// Version that the move goes to.
    pub to: Name,
    /// State.
    pub state: ReportedState,
    /// Version of the store at which it was written.
    pub version: u64,
}

/// What the daemon has to do for a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveEffect {
    /// Read the report of a service.
    ReadReport(Name),
    /// Write a report if the row still has the version, 0 for no row.
    WriteReport {
        /// Service.
        service: Name,
        /// Version that the move goes to.
        to: Name,
        /// State to report.
        state: ReportedState,
        /// Version that the row must have.
        expected_version: u64,
    },
    /// Log that a move has reached a stage.
    LogStage {
        /// Service.
        service: Name,
        /// Stage.
        stage: MoveStage,
        /// Why.
        reason: &'static str,
    },
}

/// One move.
#[derive(Debug)]
struct Move {
    tracker: Arc<MoveTracker>,
    since: MonoNs,
    stage_since: MonoNs,
    report: Option<Option<MoveReport>>,
    /// Whether the store is known to hold a final report, which no verdict overrules.
    is_final: bool,
    next_call: MonoNs,
}

/// All moves that operators have ordered.
#[derive(Debug, Default)]
pub struct MoveControl {
    moves: BTreeMap<Name, Move>,
}

impl MoveControl {
    /// Takes in the orders in force; a service with a newer order starts anew.
    pub fn set_orders(
        &mut self,
        orders: &BTreeMap<Name, (u64, MoveOrder)>,
        routes: &[Name],
        now: MonoNs,
    ) {
        self.moves.retain(|service, known| {
            orders
                .get(service)
                .is_some_and(|(version, _)| *version == known.tracker.order_version)
        });
        for (service, (version, order)) in orders {
            self.moves.entry(service.clone()).or_insert_with(|| Move {
                tracker: Arc::new(MoveTracker::new(order.clone(), *version, routes)),
                since: now,
                stage_since: now,
                report: None,
                is_final: false,
                next_call: now,
            });
        }
    }

    /// Returns the gauges for the routing snapshot.
    #[must_use]
    pub fn trackers(&self) -> BTreeMap<Name, Arc<MoveTracker>> {
        let tracker = |(name, known): (&Name, &Move)| (name.clone(), Arc::clone(&known.tracker));
        self.moves.iter().map(tracker).collect()
    }

    /// Returns the states for the other hosts.
    #[must_use]
    pub fn states(&self, now: MonoNs) -> Vec<MoveProgress> {
        self.moves
            .values()
            .map(|known| MoveProgress {
                is_reported: known.is_reported(),
                ..known.tracker.state(now.ms_since(known.since))
            })
            .collect()
    }

    /// Takes in a report that was read or written; `None` if the store has none.
    pub fn set_report(&mut self, service: &Name, report: Option<MoveReport>, now: MonoNs) {
        let Some(known) = self.moves.get_mut(service) else {
            return;
        };
        if let Some(report) = &report {
            let is_ours =
                report.to == known.tracker.order.to && report.version > known.tracker.order_version;
            match report.state {
                ReportedState::Completed if is_ours => known.finish(MoveStage::Completed, now),
                ReportedState::RolledBack if is_ours => known.finish(MoveStage::RolledBack, now),
                _ => {}
            }
        }
        known.report = Some(report);
    }

    /// Notes that a report could not be read or that its write has an unknown outcome.
    pub fn report_unknown(&mut self, service: &Name) {
        if let Some(known) = self.moves.get_mut(service) {
            known.report = None;
        }
    }

    /// Brings all moves forward and returns what is to be done.
    pub fn step(&mut self, own: &Name, fleet: &FleetView, now: MonoNs) -> Vec<MoveEffect> {
        let mut effects = Vec::new();
        for (service, known) in &mut self.moves {
            known.step(service, own, fleet, now, &mut effects);
        }
        effects
    }
}

impl Move {
    /// Returns whether the store is known to hold the report that the stage asks for.
    fn is_reported(&self) -> bool {
        if self.is_final {
            return true;
        }
        let Some(Some(report)) = &self.report else {
            return false;
        };
        let order = &self.tracker.order;
        let is_ours = report.to == order.to && report.version > self.tracker.order_version;
        let wanted = match self.tracker.stage() {
            MoveStage::Canary | MoveStage::Ramp => ReportedState::Running,
            MoveStage::Shift => return false,
            MoveStage::Completed => ReportedState::Completed,
            MoveStage::RolledBack => ReportedState::RolledBack,
        };
        is_ours && report.state == wanted
    }

    /// Enters the stage that the store's report names.
    fn finish(&mut self, stage: MoveStage, now: MonoNs) {
        self.is_final = true;
        self.enter(stage, now);
    }

    fn enter(&mut self, stage: MoveStage, now: MonoNs) {
        if self.tracker.stage() != stage {
            self.tracker.set_stage(stage);
            self.stage_since = now;
        }
    }

    fn step(
        &mut self,
        service: &Name,
        own: &Name,
        fleet: &FleetView,
        now: MonoNs,
        effects: &mut Vec<MoveEffect>,
    ) {
        let peers: Vec<&MoveProgress> = fleet
            .live
            .iter()
            .filter(|host| host.host != *own)
            .flat_map(|host| &host.moves)
            .filter(|state| {
                state.service == *service && state.order_version == self.tracker.order_version
            })
            .collect();
        let before = self.tracker.stage();
        self.adopt(&peers, now);
        let reason = self.decide(&peers, duty_rank(service, own, fleet), now);
        let after = self.tracker.stage();
        if before != after {
            effects.push(MoveEffect::LogStage {
                service: service.clone(),
                stage: after,
                reason: reason.unwrap_or("another host or the store says so"),
            });
        }
        if let Some(effect) = self.report_effect(service, &peers, own, fleet, now) {
            effects.push(effect);
        }
    }

    /// Takes over how far other hosts have brought the move, and the longest time since its order.
    /// A stage that is reported as final goes before any other: once a move is reported as
    /// completed, its old targets stop.
    fn adopt(&mut self, peers: &[&MoveProgress], now: MonoNs) {
        let reported = peers
            .iter()
            .find(|peer| peer.is_reported && peer.stage >= MoveStage::Completed);
        if let Some(peer) = reported.filter(|_| !self.is_final) {
            self.finish(peer.stage, now);
        }
        for peer in peers {
            let since = MonoNs(now.0.saturating_sub(MonoNs::from_ms(peer.elapsed_ms).0));
            self.since = self.since.min(since);
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
        if verdict == Verdict::Bad {
            self.enter(MoveStage::RolledBack, now);
            return Some("the new version answers worse than the current one");
        }
        let waits_ms = u64::try_from(duty_rank?)
            .ok()?
            .saturating_mul(SUCCESSION_MS);
        let elapsed_ms = now.ms_since(self.since).saturating_sub(waits_ms);
        let duration_ms = self.tracker.order.duration_ms;
        if stage == MoveStage::Canary && elapsed_ms * 100 >= duration_ms * CANARY_PERCENT {
            self.enter(MoveStage::Ramp, now);
            return Some("the canary's time is over");
        }
        if stage == MoveStage::Ramp
            && verdict == Verdict::Good
            && elapsed_ms * 100 >= duration_ms * RAMP_PERCENT
        {
            self.enter(MoveStage::Shift, now);
            return Some("the new version answers no worse than the current one");
        }
        None
    }

    fn wanted_report(&self, peers: &[&MoveProgress], now: MonoNs) -> Option<ReportedState> {
        match self.tracker.stage() {
            MoveStage::Canary | MoveStage::Ramp => Some(ReportedState::Running),
            MoveStage::RolledBack => Some(ReportedState::RolledBack),
            MoveStage::Completed => None,
            MoveStage::Shift => {
                let has_left = |state: &MoveProgress| {
                    state.stage >= MoveStage::Shift && state.current_in_flight == 0
                };
                let all_left =
                    has_left(&self.tracker.state(0)) && peers.iter().all(|peer| has_left(peer));
                let is_settled = now.ms_since(self.stage_since) >= SHIFT_MIN_MS;
                let elapsed_ms = now.ms_since(self.since);
                let is_urgent = elapsed_ms + REPORT_MARGIN_MS >= self.tracker.order.duration_ms;
                ((all_left && is_settled) || is_urgent).then_some(ReportedState::Completed)
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
        if now < self.next_call {
            return None;
        }
        let wanted = self.wanted_report(peers, now)?;
        let stage = self.tracker.stage();
        let is_reported = self.is_reported()
            || peers
                .iter()
                .any(|peer| peer.is_reported && peer.stage >= stage);
        let duty_rank = u64::try_from(duty_rank(service, own, fleet)?).ok()?;
        let is_due = now.ms_since(self.stage_since) >= duty_rank.saturating_mul(SUCCESSION_MS);
        if is_reported || !is_due {
            return None;
        }
        let Some(report) = &self.report else {
            self.next_call = now.plus_ms(WRITE_PAUSE_MS);
            return Some(MoveEffect::ReadReport(service.clone()));
        };
        self.next_call = now.plus_ms(WRITE_PAUSE_MS);
        Some(MoveEffect::WriteReport {
            service: service.clone(),
            to: self.tracker.order.to.clone(),
            state: wanted,
            expected_version: report.as_ref().map_or(0, |report| report.version),
        })
    }
}
