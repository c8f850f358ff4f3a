//! Crash reports that wait for a decision.

use heatherhinge_controllers::{CrashReport, CrashReportId, CrashReportOutcome, QuarantineEvent};
use heatherhinge_peer::{CrashReportResponse, PeerCrashReport};
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Who waits for which report.
#[derive(Debug, Default)]
pub(crate) struct PendingCrashReports {
    next: u64,
    own: BTreeMap<CrashReportId, oneshot::Sender<()>>,
    peers: BTreeMap<(Name, CrashReportId), oneshot::Sender<CrashReportResponse>>,
}

impl PendingCrashReports {
    /// Adds a report of this host and returns its id.
    pub(crate) fn add_own(&mut self, done: oneshot::Sender<()>) -> CrashReportId {
        self.next += 1;
        let id = CrashReportId(self.next);
        self.own.insert(id, done);
        id
    }

    /// Adds a report of a peer and returns the event that tells the controller of it.
    pub(crate) fn add_peer(
        &mut self,
        report: PeerCrashReport,
        answer: oneshot::Sender<CrashReportResponse>,
    ) -> QuarantineEvent {
        let id = CrashReportId(report.number);
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
    pub(crate) fn settle_own(&mut self, id: CrashReportId) {
        if let Some(done) = self.own.remove(&id) {
            done.send(()).ok();
        }
    }

    /// Answers the report of a peer.
    pub(crate) fn answer_peer(
        &mut self,
        to: &Name,
        id: CrashReportId,
        outcome: CrashReportOutcome,
    ) {
        if let Some(answer) = self.peers.remove(&(to.clone(), id)) {
            answer.send(to_wire(outcome)).ok();
        }
    }
}

fn to_wire(outcome: CrashReportOutcome) -> CrashReportResponse {
    match outcome {
        CrashReportOutcome::Counted => CrashReportResponse::Counted,
        CrashReportOutcome::Quarantined { until_wall_ms } => {
            CrashReportResponse::Quarantined { until_wall_ms }
        }
        CrashReportOutcome::NotOwner => CrashReportResponse::NotOwner,
    }
}

/// Reads the owner's answer.
pub(crate) fn from_wire(answer: CrashReportResponse) -> CrashReportOutcome {
    match answer {
        CrashReportResponse::Counted => CrashReportOutcome::Counted,
        CrashReportResponse::Quarantined { until_wall_ms } => {
            CrashReportOutcome::Quarantined { until_wall_ms }
        }
        CrashReportResponse::NotOwner => CrashReportOutcome::NotOwner,
    }
}
