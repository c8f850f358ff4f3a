//! Tracks crash reports that wait for a decision.

use heatherhinge_controllers::{CrashReport, CrashReportId, CrashReportOutcome, QuarantineEvent};
use heatherhinge_peer::{CrashReportResponse, PeerCrashReport};
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The channels on which the outcomes of pending crash reports are sent.
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

    /// Adds a report of a peer and returns its event for the controller.
    pub(crate) fn add_peer(
        &mut self,
        report: PeerCrashReport,
        respond_to: oneshot::Sender<CrashReportResponse>,
    ) -> QuarantineEvent {
        let id = CrashReportId(report.number);
        self.peers.insert((report.from.clone(), id), respond_to);
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

    /// Completes a report of this host, so that its request continues.
    pub(crate) fn settle_own(&mut self, id: CrashReportId) {
        if let Some(done) = self.own.remove(&id) {
            done.send(()).ok();
        }
    }

    /// Sends the outcome to the peer that reported.
    pub(crate) fn respond_to_peer(
        &mut self,
        to: &Name,
        id: CrashReportId,
        outcome: CrashReportOutcome,
    ) {
        if let Some(sender) = self.peers.remove(&(to.clone(), id)) {
            sender.send(to_wire(outcome)).ok();
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

/// Converts the owner's response.
pub(crate) fn from_wire(response: CrashReportResponse) -> CrashReportOutcome {
    match response {
        CrashReportResponse::Counted => CrashReportOutcome::Counted,
        CrashReportResponse::Quarantined { until_wall_ms } => {
            CrashReportOutcome::Quarantined { until_wall_ms }
        }
        CrashReportResponse::NotOwner => CrashReportOutcome::NotOwner,
    }
}
