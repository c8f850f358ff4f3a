//! Maintains the table of entry hosts by gossip: periodic exchanges of records with peers.
//!
//! It is the only writer of the `hosts` entry; `docs/design.md`, sections 13 and 22.
//!
//! A message may have waited in a socket while this host was paused or cut off. A heartbeat
//! therefore counts by its age, which is known once its host has responded directly. Until then
//! only responses to this host's own requests show that a host is alive, and a peer that sends a
//! request is sent one in return.

use crate::heartbeat_clock::HEARTBEAT_INTERVAL_MS;
use crate::pause::PauseDetector;
use crate::peer_state::{HeartbeatVersion, PeerState};
use crate::rotation::Rotation;
use crate::{Controller, ExchangeTicket, ListedHost, MembershipEffect, MembershipEvent};
use heatherhinge_blackboard::{
    Blackboard, DigestEntry, ExchangeRequest, ExchangeResponse, HostEntry, HostRecord, HostTable,
    RecordVersion, Writer,
};
use heatherhinge_types::{MonoNs, Name, Now};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between two rounds of exchanges.
const ROUND_INTERVAL_MS: u64 = 500;
/// Maximum number of peers that one round sends requests to.
const FANOUT: usize = 5;
/// Average number of digest entries in the requests of one round. Responses are about half as long,
/// so at 25 bytes an entry both stay within the 21 KB/s that a host may spend on control traffic.
const ENTRIES_PER_ROUND: usize = 270;
/// A removed host is not added again for this time unless a newer heartbeat of it arrives. Records
/// are relayed for 10 s, so no older copy can be in transit after that.
const TOMBSTONE_MS: u64 = 60_000;

/// Settings of the membership controller.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Wall time of the host's start in milliseconds, which distinguishes its runs.
    pub incarnation: u64,
    /// Addresses of peers for the first exchanges.
    pub seed_peers: Vec<SocketAddr>,
    /// Seed of the order in which peers are chosen.
    pub seed: u64,
}

/// Maintains the table of entry hosts.
#[derive(Debug)]
pub struct MembershipController {
    writer: Writer<HostTable>,
    own: Option<Arc<HostRecord>>,
    own_version: RecordVersion,
    next_round_ns: MonoNs,
    entry_credit: usize,
    peers: BTreeMap<Name, PeerState>,
    tombstones: BTreeMap<Name, (HeartbeatVersion, MonoNs)>,
    listed: Vec<ListedHost>,
    seed_peers: Vec<SocketAddr>,
    rotation: Rotation,
    pause: PauseDetector,
}

impl MembershipController {
    /// Creates the controller from the only writer of the hosts entry.
    #[must_use]
    pub fn new(writer: Writer<HostTable>, settings: MembershipSettings) -> Self {
        Self {
            writer,
            own: None,
            own_version: RecordVersion {
                incarnation: settings.incarnation,
                sequence: 0,
            },
            next_round_ns: MonoNs(0),
            entry_credit: 0,
            peers: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            listed: Vec::new(),
            seed_peers: settings.seed_peers,
            rotation: Rotation::new(settings.seed),
            pause: PauseDetector::default(),
        }
    }

    fn set_own_record(&mut self, mut record: HostRecord) {
        record.version = self.own_version;
        record.store_age_ms = 0;
        if self.own.as_deref() == Some(&record) {
            return;
        }
        self.own_version.sequence += 1;
        record.version = self.own_version;
        self.own = Some(Arc::new(record));
    }

    /// Stores records that are newer than those held.
    fn merge_records(&mut self, own: &Name, records: Vec<HostRecord>, now_ns: MonoNs) {
        for record in records {
            if record.host == *own {
                self.advance_past(record.version);
            } else if let Some(peer) = self.peers.get_mut(&record.host) {
                if record.version > peer.record.version {
                    peer.record = Arc::new(record);
                }
            } else if self.accepts_new_host(&record) {
                let heartbeat = self
                    .tombstones
                    .remove(&record.host)
                    .map(|(heartbeat, _)| heartbeat)
                    .unwrap_or_default();
                let host = record.host.clone();
                self.peers
                    .insert(host, PeerState::new(record, heartbeat, now_ns));
            }
        }
    }

    /// Returns whether a host that is not in the table may be added by this record. While a
    /// tombstone of the host is kept, the record must be of a later run; a host that was cut off is
    /// added again after its newer heartbeat has removed the tombstone.
    fn accepts_new_host(&self, record: &HostRecord) -> bool {
        self.tombstones
            .get(&record.host)
            .is_none_or(|(heartbeat, _)| record.version.incarnation > heartbeat.incarnation)
    }

    /// Gives this run a later incarnation than an earlier run that peers still hold. The wall clock
    /// may have been set back between the two.
    fn advance_past(&mut self, seen: RecordVersion) {
        if seen > self.own_version {
            self.own_version = RecordVersion {
                incarnation: seen.incarnation + 1,
                sequence: 1,
            };
            if let Some(own) = &mut self.own {
                Arc::make_mut(own).version = self.own_version;
            }
        }
    }

    /// Removes the tombstones of hosts that have sent a newer heartbeat.
    fn clear_tombstones(&mut self, digest: &[DigestEntry]) {
        for entry in digest {
            let is_newer = |(heartbeat, _): &(HeartbeatVersion, MonoNs)| {
                HeartbeatVersion::of(entry) > *heartbeat
            };
            if self.tombstones.get(&entry.host).is_some_and(is_newer) {
                self.tombstones.remove(&entry.host);
            }
        }
    }

    /// Applies the heartbeats of a digest. `answer` is the host whose response carried them and the
    /// time of the request; it is `None` for a request and for a response to a request from before
    /// a pause.
    fn apply_heartbeats(
        &mut self,
        digest: &[DigestEntry],
        answer: Option<(&Name, MonoNs)>,
        now_ns: MonoNs,
    ) {
        for entry in digest {
            // A heartbeat sent after a change of the record must not count until the new record has
            // arrived: it would confirm what the host published before.
            let peer = self.peers.get_mut(&entry.host);
            let Some(peer) = peer.filter(|peer| peer.record.version >= entry.version) else {
                continue;
            };
            let heartbeat = HeartbeatVersion::of(entry);
            match answer {
                Some((responder, requested_ns)) if entry.host == *responder => {
                    peer.record_response(heartbeat, requested_ns);
                }
                _ => peer.apply_heartbeat(heartbeat, answer.is_some(), &self.pause, now_ns),
            }
        }
    }

    fn handle_response(
        &mut self,
        own: &Name,
        ticket: ExchangeTicket,
        answer: ExchangeResponse,
        now_ns: MonoNs,
    ) -> Option<MembershipEffect> {
        let responder = answer.records.first()?.host.clone();
        self.clear_tombstones(&answer.digest);
        self.merge_records(own, answer.records, now_ns);
        let is_recent = self.pause.is_since_resume(ticket.requested_ns);
        let asked = is_recent.then_some((&responder, ticket.requested_ns));
        self.apply_heartbeats(&answer.digest, asked, now_ns);
        if ticket.is_push {
            return None;
        }
        let records = self.records_missing_at_peer(&answer.digest, &responder);
        (!records.is_empty()).then(|| self.exchange(own, ticket.peer_addr, records, true, now_ns))
    }

    fn handle_request(
        &mut self,
        board: &Blackboard,
        request: ExchangeRequest,
        now_ns: MonoNs,
    ) -> Vec<MembershipEffect> {
        self.clear_tombstones(&request.digest);
        self.merge_records(&board.host, request.records, now_ns);
        self.apply_heartbeats(&request.digest, None, now_ns);
        for entry in request.digest.iter().filter(|e| e.host == board.host) {
            self.advance_past(entry.version);
        }
        let Some(own) = &self.own else {
            return Vec::new();
        };
        let mut records = vec![current_own(own, board, now_ns)];
        let digest = self.response_digest(&board.host, &request.digest, now_ns);
        records.extend(self.newer_than(&request.digest, now_ns));
        let answer = ExchangeResponse { digest, records };
        let mut effects = vec![MembershipEffect::Respond(answer)];
        let requester = self.peers.get(&request.from);
        if let Some(peer) = requester.filter(|peer| peer.needs_exchange(now_ns)) {
            let peer_addr = peer.record.peer_addr;
            effects.push(self.exchange(&board.host, peer_addr, Vec::new(), false, now_ns));
        }
        effects
    }

    /// Returns the relayed records that are newer than those in the digest of a request.
    fn newer_than(&self, digest: &[DigestEntry], now_ns: MonoNs) -> Vec<HostRecord> {
        let held: BTreeMap<&Name, RecordVersion> = digest
            .iter()
            .map(|entry| (&entry.host, entry.version))
            .collect();
        self.peers
            .values()
            .filter(|peer| peer.is_relayed(now_ns))
            .map(|peer| &peer.record)
            .filter(|record| held.get(&record.host).is_none_or(|v| *v < record.version))
            .map(|record| HostRecord::clone(record))
            .collect()
    }

    /// Returns the records that are newer than those in the digest of a response, except the
    /// responder's own record.
    fn records_missing_at_peer(&self, digest: &[DigestEntry], responder: &Name) -> Vec<HostRecord> {
        let own = self.own.as_ref();
        digest
            .iter()
            .filter(|entry| entry.host != *responder)
            .filter_map(|entry| {
                let peer = self.peers.get(&entry.host).map(|peer| &peer.record);
                peer.or(own.filter(|own| own.host == entry.host))
                    .filter(|record| record.version > entry.version)
            })
            .map(|record| HostRecord::clone(record))
            .collect()
    }

    /// Returns the digest of a response: the entries that differ from the digest of the request,
    /// and those that this host needs.
    fn response_digest(
        &self,
        own: &Name,
        asked: &[DigestEntry],
        now_ns: MonoNs,
    ) -> Vec<DigestEntry> {
        let held: BTreeMap<&Name, &DigestEntry> =
            asked.iter().map(|entry| (&entry.host, entry)).collect();
        let differs = |entry: &DigestEntry| {
            held.get(&entry.host)
                .is_none_or(|asked| entry.version != asked.version || entry.beat > asked.beat)
        };
        let known = self.digest(own, now_ns);
        let wanted = asked
            .iter()
            .filter_map(|entry| self.wanted(own, entry, now_ns));
        let changed = known
            .iter()
            .filter(|entry| entry.host == *own || differs(entry));
        changed.cloned().chain(wanted).collect()
    }

    /// Returns a digest entry that requests the record of the host in `asked`, if the requester has
    /// a newer one and this host's digest does not list the host. A host with a tombstone is not
    /// requested.
    fn wanted(&self, own: &Name, asked: &DigestEntry, now_ns: MonoNs) -> Option<DigestEntry> {
        let peer = self.peers.get(&asked.host);
        let is_in_own_digest = peer.is_some_and(|peer| peer.is_relayed(now_ns));
        if asked.host == *own || is_in_own_digest || self.tombstones.contains_key(&asked.host) {
            return None;
        }
        let version = peer.map(|peer| peer.record.version).unwrap_or_default();
        (version < asked.version).then(|| DigestEntry {
            host: asked.host.clone(),
            version,
            beat: 0,
        })
    }

    fn digest(&self, own: &Name, now_ns: MonoNs) -> Vec<DigestEntry> {
        let own_entry = DigestEntry {
            host: own.clone(),
            version: self.own_version,
            beat: beat_at(now_ns),
        };
        let others = self.peers.values().filter_map(|peer| peer.digest(now_ns));
        std::iter::once(own_entry).chain(others).collect()
    }

    fn exchange(
        &self,
        own: &Name,
        peer_addr: SocketAddr,
        records: Vec<HostRecord>,
        is_push: bool,
        now_ns: MonoNs,
    ) -> MembershipEffect {
        MembershipEffect::Exchange {
            ticket: ExchangeTicket {
                peer_addr,
                requested_ns: now_ns,
                is_push,
            },
            request: ExchangeRequest {
                from: own.clone(),
                digest: self.digest(own, now_ns),
                records,
            },
        }
    }

    /// Starts a round of exchanges if one is due.
    fn start_round(&mut self, own: &Name, now_ns: MonoNs) -> Vec<MembershipEffect> {
        let Some(own_addr) = self.own.as_ref().map(|own| own.peer_addr) else {
            return Vec::new();
        };
        if now_ns < self.next_round_ns {
            return Vec::new();
        }
        self.next_round_ns = now_ns.plus_ms(ROUND_INTERVAL_MS);
        let mut addrs: BTreeSet<SocketAddr> = self.seed_peers.iter().copied().collect();
        addrs.extend(self.listed.iter().map(|listed| listed.peer_addr));
        addrs.extend(self.peers.values().map(|peer| peer.record.peer_addr));
        addrs.remove(&own_addr);
        let known = self.peers.len() + 1;
        // Unused entries of a round are added to the next, so that the average is met.
        self.entry_credit = self.entry_credit.min(known) + ENTRIES_PER_ROUND;
        let fanout = (self.entry_credit / known).clamp(1, FANOUT);
        self.entry_credit = self.entry_credit.saturating_sub(fanout * known);
        self.rotation
            .next(&addrs, fanout)
            .into_iter()
            .map(|addr| self.exchange(own, addr, Vec::new(), false, now_ns))
            .collect()
    }

    fn drop_silent(&mut self, now_ns: MonoNs) {
        let (listed, tombstones) = (&self.listed, &mut self.tombstones);
        self.peers.retain(|host, peer| {
            let is_kept =
                !peer.is_expired(now_ns) || listed.iter().any(|listed| listed.host == *host);
            if !is_kept {
                tombstones.insert(host.clone(), (peer.heartbeat, now_ns));
            }
            is_kept
        });
        tombstones.retain(|_, (_, since_ns)| now_ns <= since_ns.plus_ms(TOMBSTONE_MS));
    }

    fn publish(&mut self, now_ns: MonoNs) {
        let own = self.own.iter().map(|record| HostEntry {
            record: Arc::clone(record),
            last_heard_ns: MonoNs::from_ms((beat_at(now_ns) - 1) * HEARTBEAT_INTERVAL_MS),
            is_live: true,
        });
        let peers = self.peers.values().map(|peer| peer.to_entry(now_ns));
        let hosts = own
            .chain(peers)
            .map(|entry| (entry.record.host.clone(), entry))
            .collect();
        self.writer.publish_if_changed(HostTable { hosts });
    }
}

/// Returns the heartbeat of this host, which counts from 1 because 0 stands for none.
const fn beat_at(now_ns: MonoNs) -> u64 {
    1 + now_ns.ms_since(MonoNs(0)) / HEARTBEAT_INTERVAL_MS
}

/// Returns this host's record with the age of the last contact with the store. The version of the
/// bundle is read after the age, so the contact never counts for an older bundle than it showed.
fn current_own(own: &HostRecord, board: &Blackboard, now_ns: MonoNs) -> HostRecord {
    let mut record = own.clone();
    record.store_age_ms = board.counters.status.store_age_ms(now_ns);
    if let Some(bundle) = &board.bundle.read().value {
        record.bundle_version = bundle.version;
    }
    record
}

impl Controller for MembershipController {
    type Event = MembershipEvent;
    type Effect = MembershipEffect;

    fn step(
        &mut self,
        board: &Blackboard,
        event: MembershipEvent,
        now: Now,
    ) -> Vec<MembershipEffect> {
        let now_ns = now.mono_ns;
        if self.pause.step(now_ns) {
            self.peers
                .values_mut()
                .for_each(|peer| peer.reset_after_pause(now_ns));
            self.next_round_ns = now_ns;
        }
        let mut effects = Vec::new();
        match event {
            MembershipEvent::OwnRecordChanged(record) => self.set_own_record(*record),
            MembershipEvent::RequestReceived(request) => {
                effects.extend(self.handle_request(board, request, now_ns));
            }
            MembershipEvent::ResponseReceived { ticket, answer } => {
                effects.extend(self.handle_response(&board.host, ticket, answer, now_ns));
            }
            MembershipEvent::Listed(listed) => self.listed = listed,
            MembershipEvent::Tick => {}
        }
        self.drop_silent(now_ns);
        effects.extend(self.start_round(&board.host, now_ns));
        self.publish(now_ns);
        effects
    }
}
