//! Carries out what the control of version moves asks for.

use crate::io::Io;
use crate::{Platform, StoreError, WriteOutcome};
use heatherhinge_orders::MoveOrder;
use heatherhinge_steering::{
    FleetView, MoveControl, MoveEffect, MoveProgress, MoveReport, MoveTracker, ReportedState,
};
use heatherhinge_types::{MonoNs, Name};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The moves under way and their reports.
#[derive(Debug, Default)]
pub(crate) struct MoveExecutor(MoveControl);

impl MoveExecutor {
    /// Takes in the orders in force.
    pub(crate) fn set_orders(
        &mut self,
        orders: &BTreeMap<Name, (u64, MoveOrder)>,
        routes: &[Name],
        now: MonoNs,
    ) {
        self.0.set_orders(orders, routes, now);
    }

    /// Returns the gauges for the routing snapshot.
    pub(crate) fn trackers(&self) -> BTreeMap<Name, Arc<MoveTracker>> {
        self.0.trackers()
    }

    /// Returns the states for the other hosts.
    pub(crate) fn states(&self, now: MonoNs) -> Vec<MoveProgress> {
        self.0.states(now)
    }

    /// Brings all moves forward.
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
                    tracing::info!(%service, %to, ?state, expected_version, "moves: writing a report");
                    io.write_report(service, to, state, expected_version);
                }
                MoveEffect::LogStage {
                    service,
                    stage,
                    reason,
                } => tracing::info!(%service, ?stage, reason, "moves: a move has a new stage"),
            }
        }
    }

    /// Takes in a report that was read.
    pub(crate) fn read(
        &mut self,
        service: &Name,
        result: Result<Option<MoveReport>, StoreError>,
        now: MonoNs,
    ) {
        match result {
            Ok(report) => self.0.set_report(service, report, now),
            Err(error) => {
                tracing::info!(%service, "moves: the report was not read: {error}");
                self.0.report_unknown(service);
            }
        }
    }

    /// Takes in how the write of a report ended.
    pub(crate) fn written(
        &mut self,
        service: &Name,
        to: Name,
        state: ReportedState,
        result: Result<WriteOutcome, StoreError>,
        now: MonoNs,
    ) {
        match result {
            Ok(WriteOutcome::Written(version)) => {
                tracing::info!(%service, %to, ?state, version, "moves: the report was written");
                let report = MoveReport { to, state, version };
                self.0.set_report(service, Some(report), now);
            }
            Ok(WriteOutcome::Conflict) => {
                tracing::info!(%service, "moves: another report was there first");
                self.0.report_unknown(service);
            }
            Err(error) => {
                tracing::info!(%service, "moves: the report's fate is unknown: {error}");
                self.0.report_unknown(service);
            }
        }
    }
}
