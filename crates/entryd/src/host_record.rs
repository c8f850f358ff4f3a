//! Builds the record that this host publishes about itself.

use heatherhinge_blackboard::{
    Blackboard, Evidence, HostPhase, HostRecord, MoveVerdict, OverheadCounts, Quarantine,
    RecordVersion, WarmTarget,
};
use heatherhinge_types::{MonoNs, Name};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// Shortest time between two changes of the published overhead counts. They change with every
/// request, and each change sends the whole record to the peers: 180 KB/s at 19 hosts and 300
/// targets.
const OVERHEAD_INTERVAL_MS: u64 = 10_000;

/// Builds this host's record from the blackboard and the announcements of the controllers.
#[derive(Debug)]
pub(crate) struct HostRecordBuilder {
    caller_addr: SocketAddr,
    peer_addr: SocketAddr,
    published: Option<HostRecord>,
    spend: OverheadCounts,
    spend_ns: MonoNs,
    pub(crate) warm: Vec<WarmTarget>,
    pub(crate) evidence: Vec<Evidence>,
    pub(crate) verdicts: Vec<MoveVerdict>,
    pub(crate) quarantine: Vec<Quarantine>,
}

impl HostRecordBuilder {
    pub(crate) const fn new(caller_addr: SocketAddr, peer_addr: SocketAddr) -> Self {
        Self {
            caller_addr,
            peer_addr,
            published: None,
            spend: OverheadCounts {
                probes: 0,
                retries: 0,
                refusals: 0,
            },
            spend_ns: MonoNs(0),
            warm: Vec::new(),
            evidence: Vec::new(),
            verdicts: Vec::new(),
            quarantine: Vec::new(),
        }
    }

    /// Returns the record if it differs from the one published last.
    pub(crate) fn changed(&mut self, board: &Blackboard, now_ns: MonoNs) -> Option<HostRecord> {
        if now_ns.ms_since(self.spend_ns) >= OVERHEAD_INTERVAL_MS {
            self.spend = overhead_counts(board);
            self.spend_ns = now_ns;
        }
        let record = self.record(board);
        if self.published.as_ref() == Some(&record) {
            return None;
        }
        self.published = Some(record.clone());
        Some(record)
    }

    fn record(&self, board: &Blackboard) -> HostRecord {
        let owners = board.owners.read();
        let own_lease = owners.value.own_lease_until_wall_ms;
        HostRecord {
            host: board.host.clone(),
            // The membership controller sets the version and the age.
            version: RecordVersion::default(),
            store_age_ms: 0,
            zone: board.zone.clone(),
            caller_addr: self.caller_addr,
            peer_addr: self.peer_addr,
            takes_callers: board.counters.status.phase() == HostPhase::Serving,
            bundle_version: board.bundle_version(),
            lease_epoch: owners.value.epoch(&board.host),
            lease_until_wall_ms: own_lease,
            warm: self.warm.clone(),
            evidence: self.evidence.clone(),
            verdicts: self.verdicts.clone(),
            quarantine: self.quarantine.clone(),
            spend: self.spend,
        }
    }
}

/// Sums this host's probes, retries and refusals over all services.
pub(crate) fn overhead_counts(board: &Blackboard) -> OverheadCounts {
    let routing = board.routing.read();
    let mut counts = OverheadCounts {
        probes: board.counters.probes.load(Ordering::Relaxed),
        ..OverheadCounts::default()
    };
    for service in routing.value.services.values() {
        counts.retries += service.counters.retries.load(Ordering::Relaxed);
        counts.refusals += service.counters.refusals.load(Ordering::Relaxed);
    }
    counts
}

/// Returns the name of a phase in responses and records.
pub(crate) fn phase_name(phase: HostPhase) -> Name {
    Name::from(match phase {
        HostPhase::Starting => "starting",
        HostPhase::Serving => "serving",
        HostPhase::Leaving => "leaving",
        HostPhase::Draining => "draining",
    })
}
