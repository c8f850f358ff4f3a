//! Quarantines requests that crash targets.
//!
//! The controller is the only writer of the `quarantine` entry. See `docs/design.md`, sections 14
//! and 22, and `docs/controllers/quarantine.md`.

use crate::crash_counts::CrashCounts;
use crate::decision_record::decision_record;
use crate::{
    Controller, CrashReport, CrashReportId, CrashReportOutcome, QuarantineEffect, QuarantineEvent,
};
use heatherhinge_blackboard::{Blackboard, Owner, Quarantine, QuarantineTable, Writer};
use heatherhinge_records::{RecordEvent, Subject};
use heatherhinge_types::{Digest, MonoNs, Name, Now, Partition, WallMs};
use std::collections::{BTreeMap, BTreeSet};

/// Duration of a quarantine.
const QUARANTINE_MS: u64 = 600_000;
/// Longest wait for peers to confirm a quarantine. A peer that does not respond is suspected dead
/// only after 2 s, and the caller's request must not wait for it.
const BROADCAST_TIMEOUT_MS: u64 = 1_000;
/// Most quarantines that this host decided and publishes: 12 KB of its record.
const MAX_OWN: usize = 512;
/// Most digests in quarantine: about 1 MB. The one that ends first is evicted first.
const MAX_QUARANTINED: usize = 16_384;
/// Most suspects: about 0.5 MB. An evicted one is just not cleared by a success.
const MAX_SUSPECTS: usize = 4_096;

/// A crash report whose response waits until peers confirm the quarantine.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Waiter {
    Own(CrashReportId),
    Peer(Name, CrashReportId),
}

/// A quarantine that was sent to peers and is not yet confirmed by all of them.
#[derive(Debug)]
struct PendingBroadcast {
    unconfirmed: BTreeSet<Name>,
    until_ns: MonoNs,
    waiters: BTreeSet<Waiter>,
}

/// Publishes the quarantine table.
#[derive(Debug)]
pub struct QuarantineController {
    writer: Writer<QuarantineTable>,
    table: QuarantineTable,
    is_dirty: bool,
    counts: CrashCounts,
    pending: BTreeMap<CrashReportId, CrashReport>,
    broadcasts: BTreeMap<Digest, PendingBroadcast>,
    own: BTreeMap<Digest, WallMs>,
    suspected_ns: BTreeMap<Digest, MonoNs>,
    hosts_version: u64,
}

impl QuarantineController {
    /// Creates the controller with the only writer of the `quarantine` entry.
    #[must_use]
    pub fn new(writer: Writer<QuarantineTable>) -> Self {
        Self {
            writer,
            table: QuarantineTable::default(),
            is_dirty: false,
            counts: CrashCounts::default(),
            pending: BTreeMap::new(),
            broadcasts: BTreeMap::new(),
            own: BTreeMap::new(),
            suspected_ns: BTreeMap::new(),
            hosts_version: 0,
        }
    }

    /// Returns the numbers of digests with counted crashes and of digests in quarantine.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize) {
        (self.counts.len(), self.table.until_wall_ms.len())
    }

    fn crashed(&mut self, id: CrashReportId, report: CrashReport, context: &mut StepContext<'_>) {
        self.suspect(report.digest, context.now);
        match context.owner(report.digest) {
            Some(owner) if owner.host != context.board.host => {
                context.out.push(QuarantineEffect::ReportCrash {
                    owner: owner.host,
                    peer_addr: owner.peer_addr,
                    id,
                    report: report.clone(),
                });
                self.pending.insert(id, report);
            }
            // Without a valid owner, each host decides by its own counts.
            _ => self.count(Waiter::Own(id), &report, context),
        }
    }

    fn peer_crashed(
        &mut self,
        from: Name,
        id: CrashReportId,
        report: &CrashReport,
        context: &mut StepContext<'_>,
    ) {
        if context.is_owner(report.digest) {
            self.count(Waiter::Peer(from, id), report, context);
        } else {
            context.respond(Waiter::Peer(from, id), CrashReportOutcome::NotOwner);
        }
    }

    /// Counts a crash and responds to its report, at once or after peers confirm the quarantine.
    fn count(&mut self, waiter: Waiter, report: &CrashReport, context: &mut StepContext<'_>) {
        let digest = report.digest;
        if let Some(broadcast) = self.broadcasts.get_mut(&digest) {
            broadcast.waiters.insert(waiter);
            return;
        }
        if let Some(until_wall_ms) = self.quarantined_until(digest, context.now) {
            return context.respond(waiter, CrashReportOutcome::Quarantined { until_wall_ms });
        }
        let target = report.target.clone();
        let now_ns = context.now.mono_ns;
        let Some(crashed) = self.counts.count(digest, target, report.start_id, now_ns) else {
            return context.respond(waiter, CrashReportOutcome::Counted);
        };
        self.quarantine(digest, crashed, waiter, context);
    }

    fn quarantine(
        &mut self,
        digest: Digest,
        crashed: Vec<Name>,
        waiter: Waiter,
        context: &mut StepContext<'_>,
    ) {
        let until_wall_ms = context.now.wall_ms.plus_ms(QUARANTINE_MS);
        let quarantine = Quarantine {
            digest,
            until_wall_ms,
        };
        self.own.insert(digest, until_wall_ms);
        drop_earliest(&mut self.own, MAX_OWN);
        self.add_quarantine(quarantine);
        context.record(digest, until_wall_ms, crashed);
        context
            .out
            .push(QuarantineEffect::Announce(self.own_quarantines()));
        let peers = context.live_peers();
        let broadcast = PendingBroadcast {
            unconfirmed: peers.iter().map(|(name, _)| name.clone()).collect(),
            until_ns: context.now.mono_ns.plus_ms(BROADCAST_TIMEOUT_MS),
            waiters: BTreeSet::from([waiter]),
        };
        self.broadcasts.insert(digest, broadcast);
        if !peers.is_empty() {
            context
                .out
                .push(QuarantineEffect::Broadcast { quarantine, peers });
        }
        self.finish_broadcasts(context);
    }

    /// Responds to the reports whose quarantine every peer confirmed or whose wait timed out.
    fn finish_broadcasts(&mut self, context: &mut StepContext<'_>) {
        let now_ns = context.now.mono_ns;
        let is_over =
            |_: &Digest, s: &mut PendingBroadcast| s.unconfirmed.is_empty() || now_ns >= s.until_ns;
        let over: Vec<_> = self.broadcasts.extract_if(.., is_over).collect();
        for (digest, broadcast) in over {
            let until_wall_ms = self
                .quarantined_until(digest, context.now)
                .unwrap_or(context.now.wall_ms);
            for waiter in broadcast.waiters {
                context.respond(waiter, CrashReportOutcome::Quarantined { until_wall_ms });
            }
        }
    }

    fn owner_answered(
        &mut self,
        id: CrashReportId,
        outcome: CrashReportOutcome,
        context: &mut StepContext<'_>,
    ) {
        let Some(report) = self.pending.remove(&id) else {
            return;
        };
        match outcome {
            CrashReportOutcome::NotOwner => self.count(Waiter::Own(id), &report, context),
            CrashReportOutcome::Counted => context.respond(Waiter::Own(id), outcome),
            CrashReportOutcome::Quarantined { until_wall_ms } => {
                self.add_quarantine(Quarantine {
                    digest: report.digest,
                    until_wall_ms,
                });
                context.respond(Waiter::Own(id), outcome);
            }
        }
    }

    fn succeeded(&mut self, digest: Digest, context: &mut StepContext<'_>) {
        self.counts.clear(digest);
        if self.suspected_ns.remove(&digest).is_none() {
            return;
        }
        self.is_dirty |= self.table.suspects.remove(&digest);
        if let Some(owner) = context
            .owner(digest)
            .filter(|o| o.host != context.board.host)
        {
            context.out.push(QuarantineEffect::ReportSuccess {
                owner: owner.host,
                peer_addr: owner.peer_addr,
                digest,
            });
        }
    }

    fn suspect(&mut self, digest: Digest, now: Now) {
        self.suspected_ns.insert(digest, now.mono_ns);
        self.is_dirty |= self.table.suspects.insert(digest);
        if self.suspected_ns.len() <= MAX_SUSPECTS {
            return;
        }
        let oldest = self
            .suspected_ns
            .iter()
            .min_by_key(|(_, since_ns)| **since_ns);
        if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
            self.suspected_ns.remove(&oldest);
            self.table.suspects.remove(&oldest);
        }
    }

    fn add_quarantine(&mut self, quarantine: Quarantine) {
        let quarantined = &mut self.table.until_wall_ms;
        let until = quarantined.entry(quarantine.digest).or_insert(WallMs(0));
        if *until < quarantine.until_wall_ms {
            *until = quarantine.until_wall_ms;
            self.is_dirty = true;
        }
        drop_earliest(quarantined, MAX_QUARANTINED);
    }

    fn quarantined_until(&self, digest: Digest, now: Now) -> Option<WallMs> {
        let until = self.table.until_wall_ms.get(&digest).copied();
        until.filter(|until| now.wall_ms < *until)
    }

    fn own_quarantines(&self) -> Vec<Quarantine> {
        let own = self.own.iter().map(|(digest, until)| Quarantine {
            digest: *digest,
            until_wall_ms: *until,
        });
        own.collect()
    }

    fn tick(&mut self, context: &mut StepContext<'_>) {
        let hosts = context.board.hosts.read();
        if hosts.version != self.hosts_version {
            self.hosts_version = hosts.version;
            let records = hosts.value.hosts.values().map(|entry| &entry.record);
            for quarantine in records.flat_map(|record| &record.quarantine) {
                // A peer's clock may be wrong by any amount, so no quarantine lasts longer than one
                // that starts now.
                let longest = context.now.wall_ms.plus_ms(QUARANTINE_MS);
                if context.now.wall_ms < quarantine.until_wall_ms {
                    let until_wall_ms = quarantine.until_wall_ms.min(longest);
                    let digest = quarantine.digest;
                    if self.quarantined_until(digest, context.now).is_none() {
                        self.add_quarantine(Quarantine {
                            digest,
                            until_wall_ms,
                        });
                    }
                }
            }
        }
        self.expire(context);
        self.finish_broadcasts(context);
    }

    fn expire(&mut self, context: &mut StepContext<'_>) {
        let now = context.now;
        self.counts.expire(now.mono_ns);
        let (quarantined, suspects) = (self.table.until_wall_ms.len(), self.table.suspects.len());
        self.table
            .until_wall_ms
            .retain(|_, until| now.wall_ms < *until);
        self.suspected_ns
            .retain(|_, since| now.mono_ns.ms_since(*since) < QUARANTINE_MS);
        let suspected = &self.suspected_ns;
        self.table
            .suspects
            .retain(|digest| suspected.contains_key(digest));
        self.is_dirty |= quarantined != self.table.until_wall_ms.len();
        self.is_dirty |= suspects != self.table.suspects.len();
        let own = self.own.len();
        self.own.retain(|_, until| now.wall_ms < *until);
        if own != self.own.len() {
            context
                .out
                .push(QuarantineEffect::Announce(self.own_quarantines()));
        }
    }
}

impl Controller for QuarantineController {
    type Event = QuarantineEvent;
    type Effect = QuarantineEffect;

    fn step(
        &mut self,
        board: &Blackboard,
        event: QuarantineEvent,
        now: Now,
    ) -> Vec<QuarantineEffect> {
        let mut context = StepContext {
            board,
            now,
            out: Vec::new(),
        };
        match event {
            QuarantineEvent::Crashed { id, report } => self.crashed(id, report, &mut context),
            QuarantineEvent::Succeeded { digest } => self.succeeded(digest, &mut context),
            QuarantineEvent::PeerCrashed { from, id, report } => {
                self.peer_crashed(from, id, &report, &mut context);
            }
            QuarantineEvent::PeerSucceeded { digest } => {
                self.counts.clear(digest);
            }
            QuarantineEvent::PeerQuarantined(quarantine) => self.add_quarantine(quarantine),
            QuarantineEvent::OwnerResponded { id, outcome } => {
                self.owner_answered(id, outcome, &mut context);
            }
            QuarantineEvent::OwnerUnreachable { id } => {
                self.owner_answered(id, CrashReportOutcome::NotOwner, &mut context);
            }
            QuarantineEvent::BroadcastConfirmed { digest, host } => {
                if let Some(broadcast) = self.broadcasts.get_mut(&digest) {
                    broadcast.unconfirmed.remove(&host);
                }
                self.finish_broadcasts(&mut context);
            }
            QuarantineEvent::Tick => self.tick(&mut context),
        }
        if std::mem::take(&mut self.is_dirty) {
            self.writer.publish(self.table.clone());
        }
        context.out
    }
}

/// Inputs and effects of one step.
struct StepContext<'a> {
    board: &'a Blackboard,
    now: Now,
    out: Vec<QuarantineEffect>,
}

impl StepContext<'_> {
    fn is_owner(&self, digest: Digest) -> bool {
        let owners = self.board.owners.read();
        owners
            .value
            .holds(&self.board.host, Partition::of_digest(digest), self.now)
    }

    /// Returns the owner of a digest's partition, if its lease has not ended.
    fn owner(&self, digest: Digest) -> Option<Owner> {
        let owners = self.board.owners.read();
        let owner = owners.value.owner(Partition::of_digest(digest));
        owner
            .filter(|o| self.now.wall_ms < o.lease_until_wall_ms)
            .cloned()
    }

    fn live_peers(&self) -> Vec<(Name, std::net::SocketAddr)> {
        let hosts = self.board.hosts.read();
        let live = hosts.value.live().map(|entry| &entry.record);
        live.filter(|record| record.host != self.board.host)
            .map(|record| (record.host.clone(), record.peer_addr))
            .collect()
    }

    fn respond(&mut self, waiter: Waiter, outcome: CrashReportOutcome) {
        self.out.push(match waiter {
            Waiter::Own(id) => QuarantineEffect::Settled { id, outcome },
            Waiter::Peer(to, id) => QuarantineEffect::RespondToPeer { to, id, outcome },
        });
    }

    fn record(&mut self, digest: Digest, until_wall_ms: WallMs, crashed: Vec<Name>) {
        let event = RecordEvent::Quarantined {
            digest,
            until_wall_ms,
            crashed,
        };
        let record = decision_record(self.board, self.now, Subject::Host, event);
        self.out.push(QuarantineEffect::Record(record));
    }
}

/// Removes the entries that end first until at most `max_len` are left.
fn drop_earliest(ends: &mut BTreeMap<Digest, WallMs>, max_len: usize) {
    while ends.len() > max_len {
        let earliest = ends.iter().min_by_key(|(_, until)| **until);
        let Some(earliest) = earliest.map(|(digest, _)| *digest) else {
            return;
        };
        ends.remove(&earliest);
    }
}
