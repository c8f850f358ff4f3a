//! Reads and writes the reports of version moves as the move controller requests.

use crate::io::Io;
use crate::{Platform, StoreError, WriteOutcome};
use heatherhinge_orders::MoveOrder;
use heatherhinge_steering::{
    FleetView, MoveControl, MoveEffect, MoveEvidence, MoveProgress, MoveReport, MoveStage,
    MoveTracker, PastMove, PastMoves, ReportedState,
};
use heatherhinge_types::{MonoNs, Name, StoreVersion};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Moves under way, with their reports.
#[derive(Debug, Default)]
pub(crate) struct MoveExecutor(MoveControl);

impl MoveExecutor {
    /// Sets the move orders in force, by service with the version of their row.
    pub(crate) fn set_orders(
        &mut self,
        orders: &BTreeMap<Name, (StoreVersion, MoveOrder)>,
        routes: &[Name],
        now: MonoNs,
    ) {
        let ended = self.0.set_orders(orders, routes, now);
        ended
            .iter()
            .for_each(|past| log_past_move(past, "its order was replaced or removed"));
    }

    /// Begins an epoch of the store; returns the number of final reports that may be lost.
    pub(crate) fn begin_epoch(&mut self, epoch: u64) -> usize {
        self.0.begin_epoch(epoch)
    }

    /// Returns the trackers of the moves under way, by service, for the routing snapshot.
    pub(crate) fn trackers(&self) -> BTreeMap<Name, Arc<MoveTracker>> {
        self.0.trackers()
    }

    /// Records past moves that another host told of; returns whether the routing snapshot must be
    /// built again.
    pub(crate) fn learn(&mut self, told: &[PastMove], now: MonoNs) -> bool {
        let learned = self.0.learn(told, now);
        learned
            .iter()
            .for_each(|past| log_past_move(past, "another host told of it"));
        !learned.is_empty()
    }

    /// Returns what became of versions whose moves are over.
    pub(crate) const fn past_moves(&self) -> &PastMoves {
        self.0.past_moves()
    }

    /// Returns the progress of all moves, to be announced to the other hosts.
    pub(crate) fn states(&self, now: MonoNs) -> Vec<MoveProgress> {
        self.0.states(now)
    }

    /// Advances all moves and starts the reads and writes that they need.
    pub(crate) fn step<P: Platform>(
        &mut self,
        own: &Name,
        fleet: &FleetView,
        io: &Io<P>,
        now: MonoNs,
    ) {
        for effect in self.0.step(own, fleet, now) {
            match effect {
                MoveEffect::ReadReport(service) => io.read_report(service),
                MoveEffect::WriteReport {
                    service,
                    to,
                    state,
                    expected_version,
                } => {
                    tracing::info!(
                        %service,
                        %to,
                        ?state,
                        %expected_version,
                        "moves: writing a report"
                    );
                    io.write_report(service, to, state, expected_version);
                }
                MoveEffect::WriteVerdicts { service, verdicts } => {
                    tracing::info!(%service, verdicts = verdicts.len(), "moves: storing verdicts");
                    io.write_verdicts(service, verdicts);
                }
                MoveEffect::LogStage {
                    service,
                    stage,
                    reason,
                    evidence,
                } => log_stage(&service, stage, reason, &evidence),
            }
        }
    }

    /// Handles the verdicts that the store holds; returns whether the routing snapshot must be built
    /// again.
    pub(crate) fn handle_verdicts_read(&mut self, verdicts: &[PastMove], now: MonoNs) -> bool {
        let learned = self.0.learn_stored(verdicts, now);
        learned
            .iter()
            .for_each(|past| log_past_move(past, "the store holds it"));
        !learned.is_empty()
    }

    /// Handles the result of storing verdicts.
    pub(crate) fn handle_verdicts_written(
        &mut self,
        service: &Name,
        result: Result<(), StoreError>,
    ) {
        if let Err(error) = result {
            tracing::info!(%service, "moves: storing verdicts failed; trying again: {error}");
            self.0.verdicts_not_stored(service);
        }
    }

    /// Handles the result of reading a report.
    pub(crate) fn handle_report_read(
        &mut self,
        service: &Name,
        result: Result<Option<MoveReport>, StoreError>,
        now: MonoNs,
    ) {
        match result {
            Ok(report) => self.0.set_report(service, report, now),
            Err(error) => {
                tracing::info!(%service, "moves: reading the report failed: {error}");
                self.0.clear_report(service);
            }
        }
    }

    /// Handles the result of writing a report.
    pub(crate) fn handle_report_written(
        &mut self,
        service: &Name,
        to: Name,
        state: ReportedState,
        result: Result<WriteOutcome, StoreError>,
        now: MonoNs,
    ) {
        match result {
            Ok(WriteOutcome::Written(version)) => {
                tracing::info!(%service, %to, ?state, %version, "moves: report written");
                let report = MoveReport { to, state, version };
                self.0.set_report(service, Some(report), now);
            }
            Ok(WriteOutcome::Conflict) => {
                tracing::info!(
                    %service,
                    "moves: report not written: its version in the store has changed"
                );
                self.0.clear_report(service);
            }
            Err(error) => {
                tracing::info!(
                    %service,
                    "moves: writing the report failed or its outcome is unknown: {error}"
                );
                self.0.clear_report(service);
            }
        }
    }
}

/// Logs what became of the version of a move that is over, which decides whether it gets requests.
fn log_past_move(past: &PastMove, reason: &str) {
    tracing::info!(
        service = %past.service,
        version = %past.version,
        order_version = %past.order_version,
        fate = ?past.fate,
        reason,
        "moves: a move is over"
    );
}

/// Logs a stage with the counts that decided it, so that a wrong decision can be told from one on
/// old or missing counts.
fn log_stage(service: &Name, stage: MoveStage, reason: &str, evidence: &MoveEvidence) {
    let MoveEvidence {
        current,
        moving,
        hosts,
        oldest_ms,
        own_share,
    } = evidence;
    tracing::info!(
        %service,
        ?stage,
        reason,
        current_answers = current.answers,
        current_bad = current.bad,
        current_slow = current.slow,
        moving_answers = moving.answers,
        moving_bad = moving.bad,
        moving_slow = moving.slow,
        hosts,
        oldest_ms,
        own_searches = own_share.searches,
        own_moving_searches = own_share.moving_searches,
        own_requests = own_share.requests,
        own_moving_sends = own_share.moving_sends,
        "moves: stage of a move changed"
    );
}
