//! Input and output that the controllers ask for. Each call spawns a task that reports back.

use crate::bundle_store::BundleStore;
use crate::event::{EventSender, HostEvent};
use crate::local_claims::LocalClaims;
use crate::move_store::MoveStore;
use crate::ownership_store::OwnershipStore;
use crate::pending_crash_reports::from_wire;
use heatherhinge_blackboard::{ExchangeRequest, Quarantine};
use heatherhinge_bundle::BundleVersion;
use heatherhinge_controllers::{
    BundleEvent, BundleSource, ColdReport, CrashReport, CrashReportId, ExchangeTicket, HandOver,
    MoveEvent, MoveReport, MoveRow, OwnershipEvent, QuarantineEvent, RowWrite,
};
use heatherhinge_peer::{PeerCalls, PeerClient, PeerColdReport, PeerCrashReport};
use heatherhinge_types::{Digest, MonoNs, Name};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time for a call to a peer off the path of a request.
const PEER_DEADLINE_MS: u64 = 500;
/// Time for the owner to decide a crash report, a quarantine's spread included.
const CRASH_DEADLINE_MS: u64 = 2_000;
/// Time for the claims of one partition to be handed over.
const HAND_OVER_DEADLINE_MS: u64 = 1_000;

/// The other hosts and the store, for the conductor.
#[derive(Clone, Debug)]
pub(crate) struct Io {
    pub(crate) host: Name,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) bundles: Arc<BundleStore>,
    pub(crate) owners: Arc<OwnershipStore>,
    pub(crate) moves: Arc<MoveStore>,
    pub(crate) events: EventSender,
}

impl Io {
    /// Spawns a task and sends its event, if there is one.
    fn spawn(&self, work: impl Future<Output = Option<HostEvent>> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            if let Some(event) = work.await {
                events.send(event);
            }
        });
    }

    pub(crate) fn exchange(&self, ticket: ExchangeTicket, request: ExchangeRequest) {
        let peers = Arc::clone(&self.peers);
        self.spawn(async move {
            let asked = peers
                .exchange(ticket.peer_addr, request, PEER_DEADLINE_MS)
                .await;
            asked
                .ok()
                .map(|answer| HostEvent::Exchanged { ticket, answer })
        });
    }

    pub(crate) fn read_bundle_row(&self, requested_ns: MonoNs) {
        let bundles = Arc::clone(&self.bundles);
        self.spawn(async move {
            Some(HostEvent::Bundle(match bundles.read_current().await {
                Ok(row) => BundleEvent::StoreRead { requested_ns, row },
                Err(error) => {
                    tracing::debug!("bundle: the accepted row could not be read: {error}");
                    BundleEvent::StoreUnreachable
                }
            }))
        });
    }

    pub(crate) fn fetch_bundle(&self, version: BundleVersion, source: BundleSource) {
        let (bundles, peers) = (Arc::clone(&self.bundles), Arc::clone(&self.peers));
        self.spawn(async move {
            let json = match source {
                BundleSource::Store => bundles.read_envelope(version.0).await.ok(),
                BundleSource::Peer(addr) => {
                    let fetched = peers.fetch_bundle(addr, version.0, PEER_DEADLINE_MS).await;
                    fetched.ok().flatten().map(Into::into)
                }
            };
            let event = match json.map(|json| bundles.take_accepted(&json)) {
                Some(Ok(verified)) => BundleEvent::Fetched {
                    bundle: Arc::clone(&verified.bundle),
                    digest: verified.digest,
                },
                Some(Err(code)) => {
                    tracing::error!("bundle: version {} is not valid: {code}", version.0);
                    BundleEvent::FetchFailed
                }
                None => BundleEvent::FetchFailed,
            };
            Some(HostEvent::Bundle(event))
        });
    }

    pub(crate) fn read_owners(&self, id: u64) {
        let owners = Arc::clone(&self.owners);
        self.spawn(async move {
            Some(HostEvent::Ownership(match owners.read().await {
                Ok(rows) => OwnershipEvent::RowsRead { id, rows },
                Err(error) => {
                    tracing::debug!("owner: the rows could not be read: {error}");
                    OwnershipEvent::ReadFailed { id }
                }
            }))
        });
    }

    pub(crate) fn write_owners(&self, id: u64, rows: Vec<RowWrite>) {
        let owners = Arc::clone(&self.owners);
        let nonce = format!("{}-{id}", self.host);
        self.spawn(async move {
            let result = owners.write(rows, &nonce).await;
            Some(HostEvent::Ownership(OwnershipEvent::Written { id, result }))
        });
    }

    pub(crate) fn hand_over(&self, claims: Arc<LocalClaims>, parts: Vec<HandOver>) {
        let peers = Arc::clone(&self.peers);
        self.spawn(async move {
            for part in parts {
                let handed = claims.hand_over(&part);
                let Some((host, addr)) = part.to else {
                    continue;
                };
                let sent = peers.hand_over(addr, handed, HAND_OVER_DEADLINE_MS).await;
                if !matches!(sent, Ok(true)) {
                    // The next owner refuses the keys instead; none of them can run twice.
                    tracing::warn!(
                        "owner: partition {} was not handed to {host}",
                        part.partition
                    );
                }
            }
            Some(HostEvent::Ownership(OwnershipEvent::ClaimsHandedOver))
        });
    }

    pub(crate) fn report_cold(&self, addr: SocketAddr, report: ColdReport) {
        let peers = Arc::clone(&self.peers);
        let ColdReport {
            target,
            lost_run,
            new_run,
        } = report;
        let report = PeerColdReport {
            target,
            lost_run,
            new_run,
        };
        self.spawn(async move {
            // Lost reports are made up for by the record exchange and by the next observation.
            peers.report_cold(addr, report, PEER_DEADLINE_MS).await.ok();
            None
        });
    }

    pub(crate) fn report_crash(&self, addr: SocketAddr, id: CrashReportId, report: CrashReport) {
        let peers = Arc::clone(&self.peers);
        let CrashReport {
            digest,
            target,
            start_id,
        } = report;
        let from = self.host.clone();
        let report = PeerCrashReport {
            from,
            number: id.0,
            digest,
            target,
            start_id,
        };
        self.spawn(async move {
            let answered = peers.report_crash(addr, report, CRASH_DEADLINE_MS).await;
            Some(HostEvent::Quarantine(match answered {
                Ok(answer) => QuarantineEvent::OwnerResponded {
                    id,
                    outcome: from_wire(answer),
                },
                Err(_) => QuarantineEvent::OwnerUnreachable { id },
            }))
        });
    }

    pub(crate) fn report_success(&self, addr: SocketAddr, digest: Digest) {
        let peers = Arc::clone(&self.peers);
        self.spawn(async move {
            peers
                .report_success(addr, digest, PEER_DEADLINE_MS)
                .await
                .ok();
            None
        });
    }

    pub(crate) fn spread_quarantine(&self, quarantine: Quarantine, hosts: Vec<(Name, SocketAddr)>) {
        for (host, addr) in hosts {
            let peers = Arc::clone(&self.peers);
            self.spawn(async move {
                peers
                    .apply_quarantine(addr, quarantine, PEER_DEADLINE_MS)
                    .await
                    .ok()?;
                let digest = quarantine.digest;
                Some(HostEvent::Quarantine(QuarantineEvent::BroadcastConfirmed {
                    digest,
                    host,
                }))
            });
        }
    }

    pub(crate) fn read_move(&self, move_id: Name) {
        let moves = Arc::clone(&self.moves);
        self.spawn(async move {
            let row = moves.read(&move_id).await;
            Some(HostEvent::Moves(MoveEvent::RowRead { move_id, row }))
        });
    }

    pub(crate) fn write_move(&self, row: MoveRow, expected_step: Option<u64>) {
        let moves = Arc::clone(&self.moves);
        self.spawn(async move {
            let outcome = moves.write(&row, expected_step).await;
            let (move_id, nonce) = (row.move_id, row.nonce);
            Some(HostEvent::Moves(MoveEvent::RowWritten {
                move_id,
                nonce,
                outcome,
            }))
        });
    }

    pub(crate) fn write_report(&self, report: MoveReport) {
        let moves = Arc::clone(&self.moves);
        self.spawn(async move {
            let outcome = moves.write_report(&report).await;
            let (move_id, state) = (report.move_id, report.state);
            Some(HostEvent::Moves(MoveEvent::ReportWritten {
                move_id,
                state,
                outcome,
            }))
        });
    }

    pub(crate) fn report_halt(&self, addr: SocketAddr, move_id: Name) {
        let (peers, from) = (Arc::clone(&self.peers), self.host.clone());
        self.spawn(async move {
            // The evidence itself follows in this host's record.
            peers
                .report_halt(addr, move_id, from, PEER_DEADLINE_MS)
                .await
                .ok();
            None
        });
    }
}
