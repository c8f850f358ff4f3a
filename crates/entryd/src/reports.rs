//! Crash reports that wait for a decision.

use heatherhinge_controllers::{CrashReport, QuarantineEvent, ReportId, ReportOutcome};
use heatherhinge_peer::{CrashAnswer, CrashReport as PeerCrashReport};
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Who waits for which report.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    next: u64,
    own: BTreeMap<ReportId, oneshot::Sender<()>>,
    peers: BTreeMap<(Name, ReportId), oneshot::Sender<CrashAnswer>>,
}

impl PendingReports {
    /// Adds a report of this host and returns its id.
    pub(crate) fn add_own(&mut self, done: oneshot::Sender<()>) -> ReportId {
        self.next += 1;
        let id = ReportId(self.next);
        self.own.insert(id, done);
        id
    }

    /// Adds a report of a peer and returns the event that tells the controller of it.
    pub(crate) fn add_peer(
        &mut self,
        report: PeerCrashReport,
        answer: oneshot::Sender<CrashAnswer>,
    ) -> QuarantineEvent {
        let id = ReportId(report.number);
        self.peers.insert((report.from.clone(), id), answer);
        let PeerCrashReport {
            from,
            digest,
            target,
            start_id,
            ..
        } = report;
        QuarantineEvent::PeerCrashed {
            from,
            id,
            report: CrashReport {
                digest,
                target,
                start_id,
            },
        }
    }

    /// Lets the request of a report go on.
    pub(crate) fn settle_own(&mut self, id: ReportId) {
        if let Some(done) = self.own.remove(&id) {
            done.send(()).ok();
        }
    }

    /// Answers the report of a peer.
    pub(crate) fn answer_peer(&mut self, to: &Name, id: ReportId, outcome: ReportOutcome) {
        if let Some(answer) = self.peers.remove(&(to.clone(), id)) {
            answer.send(to_wire(outcome)).ok();
        }
    }
}

fn to_wire(outcome: ReportOutcome) -> CrashAnswer {
    match outcome {
        ReportOutcome::Counted => CrashAnswer::Counted,
        ReportOutcome::Quarantined { until_wall_ms } => CrashAnswer::Quarantined { until_wall_ms },
        ReportOutcome::NotOwner => CrashAnswer::NotOwner,
    }
}

/// Reads the owner's answer.
pub(crate) fn from_wire(answer: CrashAnswer) -> ReportOutcome {
    match answer {
        CrashAnswer::Counted => ReportOutcome::Counted,
        CrashAnswer::Quarantined { until_wall_ms } => ReportOutcome::Quarantined { until_wall_ms },
        CrashAnswer::NotOwner => ReportOutcome::NotOwner,
    }
}
