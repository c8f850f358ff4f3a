//! Holds back requests that crash targets.
//!
//! It is the only writer of the `quarantine` entry; `docs/design.md`, sections 14 and 22, and
//! `docs/controllers/quarantine.md`.

use crate::crash_counts::CrashCounts;
use crate::decision_record::decision_record;
use crate::{
    Controller, CrashReport, CrashReportId, CrashReportOutcome, QuarantineEffect, QuarantineEvent,
};
use heatherhinge_blackboard::{Blackboard, Owner, Quarantine, QuarantineTable, Writer};
use heatherhinge_records::{RecordEvent, Subject};
use heatherhinge_types::{Digest, MonoNs, Name, Now, Partition, WallMs};
use std::collections::{BTreeMap, BTreeSet};

/// Length of a quarantine.
const QUARANTINE_MS: u64 = 600_000;
/// Longest wait for peers to confirm a quarantine. A peer that is silent for longer than this is
/// suspected dead after 2 s, and the caller's request must not wait for it.
const SPREAD_WAIT_MS: u64 = 1_000;
/// Most quarantines that this host decided and publishes: 12 KB of its record.
const MAX_OWN: usize = 512;
/// Most digests held back: about 1 MB. The one that ends first is forgotten first.
const MAX_HELD: usize = 16_384;
/// Most suspects: about 0.5 MB. A forgotten one is only not cleared by a success.
const MAX_SUSPECTS: usize = 4_096;

/// A report that waits until a quarantine is spread.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Waiter {
    Own(CrashReportId),
    Peer(Name, CrashReportId),
}

/// A quarantine on its way to the peers.
#[derive(Debug)]
struct Spreading {
    unconfirmed: BTreeSet<Name>,
    until_ns: MonoNs,
    waiters: BTreeSet<Waiter>,
}

/// Keeps the quarantine table.
#[derive(Debug)]
pub struct QuarantineController {
    writer: Writer<QuarantineTable>,
    table: QuarantineTable,
    is_dirty: bool,
    counts: CrashCounts,
    pending: BTreeMap<CrashReportId, CrashReport>,
    spreading: BTreeMap<Digest, Spreading>,
    own: BTreeMap<Digest, WallMs>,
    suspected_ns: BTreeMap<Digest, MonoNs>,
    hosts_version: u64,
}

impl QuarantineController {
    /// Makes the controller from the one writer of the quarantine entry.
    #[must_use]
    pub fn new(writer: Writer<QuarantineTable>) -> Self {
        Self {
            writer,
            table: QuarantineTable::default(),
            is_dirty: false,
            counts: CrashCounts::default(),
            pending: BTreeMap::new(),
            spreading: BTreeMap::new(),
            own: BTreeMap::new(),
            suspected_ns: BTreeMap::new(),
            hosts_version: 0,
        }
    }

    /// Returns how many digests are counted as crashed and how many are held back, for reports.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize) {
        (self.counts.len(), self.table.until_wall_ms.len())
    }

    fn crashed(&mut self, id: CrashReportId, report: CrashReport, turn: &mut Turn<'_>) {
        self.suspect(report.digest, turn.now);
        match turn.owner(report.digest) {
            Some(owner) if owner.host != turn.board.host => {
                turn.out.push(QuarantineEffect::ReportCrash {
                    owner: owner.host,
                    peer_addr: owner.peer_addr,
                    id,
                    report: report.clone(),
                });
                self.pending.insert(id, report);
            }
            // Without a valid owner each host applies the rule on its own counts.
            _ => self.count(Waiter::Own(id), &report, turn),
        }
    }

    fn peer_crashed(
        &mut self,
        from: Name,
        id: CrashReportId,
        report: &CrashReport,
        turn: &mut Turn<'_>,
    ) {
        if turn.is_owner(report.digest) {
            self.count(Waiter::Peer(from, id), report, turn);
        } else {
            turn.answer(Waiter::Peer(from, id), CrashReportOutcome::NotOwner);
        }
    }

    /// Counts a crash and answers its report, at once or when the quarantine is spread.
    fn count(&mut self, waiter: Waiter, report: &CrashReport, turn: &mut Turn<'_>) {
        let digest = report.digest;
        if let Some(spreading) = self.spreading.get_mut(&digest) {
            spreading.waiters.insert(waiter);
            return;
        }
        if let Some(until_wall_ms) = self.held_until(digest, turn.now) {
            return turn.answer(waiter, CrashReportOutcome::Quarantined { until_wall_ms });
        }
        let target = report.target.clone();
        let now_ns = turn.now.mono_ns;
        let Some(crashed) = self.counts.count(digest, target, report.start_id, now_ns) else {
            return turn.answer(waiter, CrashReportOutcome::Counted);
        };
        self.quarantine(digest, crashed, waiter, turn);
    }

    fn quarantine(
        &mut self,
        digest: Digest,
        crashed: Vec<Name>,
        waiter: Waiter,
        turn: &mut Turn<'_>,
    ) {
        let until_wall_ms = turn.now.wall_ms.plus_ms(QUARANTINE_MS);
        let quarantine = Quarantine {
            digest,
            until_wall_ms,
        };
        self.own.insert(digest, until_wall_ms);
        drop_earliest(&mut self.own, MAX_OWN);
        self.hold(quarantine);
        turn.record(digest, until_wall_ms, crashed);
        turn.out.push(QuarantineEffect::Announce(self.published()));
        let peers = turn.live_peers();
        let spreading = Spreading {
            unconfirmed: peers.iter().map(|(name, _)| name.clone()).collect(),
            until_ns: turn.now.mono_ns.plus_ms(SPREAD_WAIT_MS),
            waiters: BTreeSet::from([waiter]),
        };
        self.spreading.insert(digest, spreading);
        if !peers.is_empty() {
            turn.out
                .push(QuarantineEffect::Broadcast { quarantine, peers });
        }
        self.settle_spread(turn);
    }

    /// Answers the reports whose quarantine has reached every peer or has waited long enough.
    fn settle_spread(&mut self, turn: &mut Turn<'_>) {
        let now_ns = turn.now.mono_ns;
        let is_over =
            |_: &Digest, s: &mut Spreading| s.unconfirmed.is_empty() || now_ns >= s.until_ns;
        let over: Vec<_> = self.spreading.extract_if(.., is_over).collect();
        for (digest, spreading) in over {
            let until_wall_ms = self
                .held_until(digest, turn.now)
                .unwrap_or(turn.now.wall_ms);
            for waiter in spreading.waiters {
                turn.answer(waiter, CrashReportOutcome::Quarantined { until_wall_ms });
            }
        }
    }

    fn owner_answered(
        &mut self,
        id: CrashReportId,
        outcome: CrashReportOutcome,
        turn: &mut Turn<'_>,
    ) {
        let Some(report) = self.pending.remove(&id) else {
            return;
        };
        match outcome {
            CrashReportOutcome::NotOwner => self.count(Waiter::Own(id), &report, turn),
            CrashReportOutcome::Counted => turn.answer(Waiter::Own(id), outcome),
            CrashReportOutcome::Quarantined { until_wall_ms } => {
                self.hold(Quarantine {
                    digest: report.digest,
                    until_wall_ms,
                });
                turn.answer(Waiter::Own(id), outcome);
            }
        }
    }

    fn succeeded(&mut self, digest: Digest, turn: &mut Turn<'_>) {
        self.counts.clear(digest);
        if self.suspected_ns.remove(&digest).is_none() {
            return;
        }
        self.is_dirty |= self.table.suspects.remove(&digest);
        if let Some(owner) = turn.owner(digest).filter(|o| o.host != turn.board.host) {
            turn.out.push(QuarantineEffect::ReportSuccess {
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

    fn hold(&mut self, quarantine: Quarantine) {
        let held = &mut self.table.until_wall_ms;
        let until = held.entry(quarantine.digest).or_insert(WallMs(0));
        if *until < quarantine.until_wall_ms {
            *until = quarantine.until_wall_ms;
            self.is_dirty = true;
        }
        drop_earliest(held, MAX_HELD);
    }

    fn held_until(&self, digest: Digest, now: Now) -> Option<WallMs> {
        let until = self.table.until_wall_ms.get(&digest).copied();
        until.filter(|until| now.wall_ms < *until)
    }

    fn published(&self) -> Vec<Quarantine> {
        let own = self.own.iter().map(|(digest, until)| Quarantine {
            digest: *digest,
            until_wall_ms: *until,
        });
        own.collect()
    }

    fn tick(&mut self, turn: &mut Turn<'_>) {
        let hosts = turn.board.hosts.read();
        if hosts.version != self.hosts_version {
            self.hosts_version = hosts.version;
            let records = hosts.value.hosts.values().map(|entry| &entry.record);
            for quarantine in records.flat_map(|record| &record.quarantine) {
                // A peer's clock may be wrong by any amount; no quarantine is longer than ours.
                let longest = turn.now.wall_ms.plus_ms(QUARANTINE_MS);
                if turn.now.wall_ms < quarantine.until_wall_ms {
                    let until_wall_ms = quarantine.until_wall_ms.min(longest);
                    let digest = quarantine.digest;
                    if self.held_until(digest, turn.now).is_none() {
                        self.hold(Quarantine {
                            digest,
                            until_wall_ms,
                        });
                    }
                }
            }
        }
        self.expire(turn);
        self.settle_spread(turn);
    }

    fn expire(&mut self, turn: &mut Turn<'_>) {
        let now = turn.now;
        self.counts.expire(now.mono_ns);
        let (held, suspects) = (self.table.until_wall_ms.len(), self.table.suspects.len());
        self.table
            .until_wall_ms
            .retain(|_, until| now.wall_ms < *until);
        self.suspected_ns
            .retain(|_, since| now.mono_ns.ms_since(*since) < QUARANTINE_MS);
        let suspected = &self.suspected_ns;
        self.table
            .suspects
            .retain(|digest| suspected.contains_key(digest));
        self.is_dirty |= held != self.table.until_wall_ms.len();
        self.is_dirty |= suspects != self.table.suspects.len();
        let own = self.own.len();
        self.own.retain(|_, until| now.wall_ms < *until);
        if own != self.own.len() {
            turn.out.push(QuarantineEffect::Announce(self.published()));
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
        let mut turn = Turn {
            board,
            now,
            out: Vec::new(),
        };
        match event {
            QuarantineEvent::Crashed { id, report } => self.crashed(id, report, &mut turn),
            QuarantineEvent::Succeeded { digest } => self.succeeded(digest, &mut turn),
            QuarantineEvent::PeerCrashed { from, id, report } => {
                self.peer_crashed(from, id, &report, &mut turn);
            }
            QuarantineEvent::PeerSucceeded { digest } => {
                self.counts.clear(digest);
            }
            QuarantineEvent::PeerQuarantined(quarantine) => self.hold(quarantine),
            QuarantineEvent::OwnerAnswered { id, outcome } => {
                self.owner_answered(id, outcome, &mut turn);
            }
            QuarantineEvent::OwnerUnreachable { id } => {
                self.owner_answered(id, CrashReportOutcome::NotOwner, &mut turn);
            }
            QuarantineEvent::BroadcastConfirmed { digest, host } => {
                if let Some(spreading) = self.spreading.get_mut(&digest) {
                    spreading.unconfirmed.remove(&host);
                }
                self.settle_spread(&mut turn);
            }
            QuarantineEvent::Tick => self.tick(&mut turn),
        }
        if std::mem::take(&mut self.is_dirty) {
            self.writer.publish(self.table.clone());
        }
        turn.out
    }
}

/// What one step reads and returns.
struct Turn<'a> {
    board: &'a Blackboard,
    now: Now,
    out: Vec<QuarantineEffect>,
}

impl Turn<'_> {
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

    fn answer(&mut self, waiter: Waiter, outcome: CrashReportOutcome) {
        self.out.push(match waiter {
            Waiter::Own(id) => QuarantineEffect::Settled { id, outcome },
            Waiter::Peer(to, id) => QuarantineEffect::AnswerPeer { to, id, outcome },
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

/// Keeps a map of ends within a bound.
fn drop_earliest(ends: &mut BTreeMap<Digest, WallMs>, most: usize) {
    while ends.len() > most {
        let earliest = ends.iter().min_by_key(|(_, until)| **until);
        let Some(earliest) = earliest.map(|(digest, _)| *digest) else {
            return;
        };
        ends.remove(&earliest);
    }
}
