//! Performs the I/O that the controllers request. Each call spawns a task that sends its outcome as
//! an event.

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

/// Timeout for a call to a peer that no request waits for.
const PEER_TIMEOUT_MS: u64 = 500;
/// Timeout for the owner's decision on a crash report, including the broadcast of a quarantine.
const CRASH_REPORT_TIMEOUT_MS: u64 = 2_000;
/// Timeout for handing over the claims of one partition.
const HAND_OVER_TIMEOUT_MS: u64 = 1_000;

/// Clients of the peers and the store, for the control loop.
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
    /// Spawns a task and sends the event that it returns, if any.
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
            let result = peers
                .exchange(ticket.peer_addr, request, PEER_TIMEOUT_MS)
                .await;
            result
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
                    tracing::debug!(
                        "bundle: reading the row of the accepted bundle failed: {error}"
                    );
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
                    let fetched = peers.fetch_bundle(addr, version.0, PEER_TIMEOUT_MS).await;
                    fetched.ok().flatten().map(Into::into)
                }
            };
            let event = match json.map(|json| bundles.verify_accepted(&json)) {
                Some(Ok(verified)) => BundleEvent::Fetched {
                    bundle: Arc::clone(&verified.bundle),
                    digest: verified.digest,
                },
                Some(Err(code)) => {
                    tracing::error!("bundle: fetched version {} is not valid: {code}", version.0);
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
                    tracing::debug!("owner: reading the ownership rows failed: {error}");
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
                let sent = peers.hand_over(addr, handed, HAND_OVER_TIMEOUT_MS).await;
                if !matches!(sent, Ok(true)) {
                    // The next owner rejects the keys instead; none of them can run twice.
                    tracing::warn!(
                        "owner: handing partition {} to {host} failed, it will reject the keys",
                        part.partition
                    );
                }
            }
            Some(HostEvent::Ownership(OwnershipEvent::ClaimsHandedOver))
        });
    }

    pub(crate) fn report_cold_target(&self, addr: SocketAddr, report: ColdReport) {
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
            // The record exchange and the next observation make up for a lost report.
            peers.report_cold(addr, report, PEER_TIMEOUT_MS).await.ok();
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
            let result = peers
                .report_crash(addr, report, CRASH_REPORT_TIMEOUT_MS)
                .await;
            Some(HostEvent::Quarantine(match result {
                Ok(response) => QuarantineEvent::OwnerResponded {
                    id,
                    outcome: from_wire(response),
                },
                Err(_) => QuarantineEvent::OwnerUnreachable { id },
            }))
        });
    }

    pub(crate) fn report_success(&self, addr: SocketAddr, digest: Digest) {
        let peers = Arc::clone(&self.peers);
        self.spawn(async move {
            peers
                .report_success(addr, digest, PEER_TIMEOUT_MS)
                .await
                .ok();
            None
        });
    }

    pub(crate) fn broadcast_quarantine(
        &self,
        quarantine: Quarantine,
        hosts: Vec<(Name, SocketAddr)>,
    ) {
        for (host, addr) in hosts {
            let peers = Arc::clone(&self.peers);
            self.spawn(async move {
                peers
                    .apply_quarantine(addr, quarantine, PEER_TIMEOUT_MS)
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
            // The evidence itself is in this host's record.
            peers
                .report_halt(addr, move_id, from, PEER_TIMEOUT_MS)
                .await
                .ok();
            None
        });
    }
}
