//! Runs version moves from the order to the final report.
//!
//! Every host judges the sum of the responses that all hosts have counted, so any host may roll a
//! move back. One host, chosen by rendezvous hashing, advances it; the others take over when they
//! see no progress. The report in the store is written conditionally and is authoritative.

use crate::ordered_move::Move;
use crate::stored_verdicts::StoredVerdicts;
use crate::{
    FleetView, MoveEvidence, MoveProgress, MoveStage, MoveTracker, PastMove, PastMoves,
    VersionFate, duty_rank,
};
use heatherhinge_orders::MoveOrder;
use heatherhinge_types::{MonoNs, Name, StoreVersion};
use std::collections::BTreeMap;
use std::sync::Arc;

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
    /// Store what became of the versions of a service, so that it outlasts the hosts' processes.
    WriteVerdicts {
        /// The service.
        service: Name,
        /// Its versions whose moves ended with a final report.
        verdicts: Vec<PastMove>,
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

/// All moves that operators have ordered, by service.
#[derive(Debug, Default)]
pub struct MoveControl {
    moves: BTreeMap<Name, Move>,
    past: PastMoves,
    /// Epoch of the store.
    epoch: u64,
    stored_verdicts: StoredVerdicts,
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
        self.stored_verdicts.forget_all();
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
            self.roll_back_known(past, now);
        }
        let is_new = |past: &&PastMove| self.past.record((*past).clone());
        told.iter().filter(is_new).cloned().collect()
    }

    /// Records the verdicts that the store holds; returns those that are new to this host.
    pub fn learn_stored(&mut self, verdicts: &[PastMove], now: MonoNs) -> Vec<PastMove> {
        self.stored_verdicts.set(verdicts);
        self.learn(verdicts, now)
    }

    /// Records that the verdicts of a service could not be stored, or may not have been.
    pub fn verdicts_not_stored(&mut self, service: &Name) {
        self.stored_verdicts.forget(service);
    }

    /// Returns the versions of a service whose moves ended with a final report.
    fn verdicts(&self, service: &Name) -> Vec<PastMove> {
        let current = self.moves.get(service).filter(|known| known.is_final);
        let current = current.map(Move::past);
        let is_other = |past: &&PastMove| {
            current
                .as_ref()
                .is_none_or(|current| current.version != past.version)
        };
        let past = self.past.verdicts(service).filter(is_other).cloned();
        let mut verdicts: Vec<PastMove> = past.chain(current.clone()).collect();
        verdicts.sort_by(|one, other| one.version.cmp(&other.version));
        verdicts
    }

    /// Returns the verdicts that this host has to store: those of services whose duty it has.
    fn verdict_writes(&mut self, own: &Name, fleet: &FleetView, now: MonoNs) -> Vec<MoveEffect> {
        let mut services = self.past.services();
        services.extend(self.moves.keys().cloned());
        services.retain(|service| duty_rank(service, own, fleet) == Some(0));
        let known = services.into_iter().map(|service| {
            let verdicts = self.verdicts(&service);
            (service, verdicts)
        });
        let known: Vec<_> = known.collect();
        let writes = self.stored_verdicts.writes(known, now);
        let effect = |(service, verdicts)| MoveEffect::WriteVerdicts { service, verdicts };
        writes.into_iter().map(effect).collect()
    }

    /// Ends a move if another host, or the store, knows that its version was rolled back. The order may
    /// come from an older copy of the store, whose rows keep their numbers.
    fn roll_back_known(&mut self, past: &PastMove, now: MonoNs) {
        let Some(known) = self.moves.get_mut(&past.service) else {
            return;
        };
        let is_same_order = known.tracker.order.to == past.version
            && known.order_version.number() == past.order_version.number()
            && known.order_version.epoch() >= past.order_version.epoch();
        if is_same_order && !known.is_final {
            known.finish(MoveStage::RolledBack, now);
            known.must_report_again = !known.order_version.is_same_epoch(past.order_version);
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
        effects.extend(self.verdict_writes(own, fleet, now));
        effects
    }
}
