//! Runs several hosts in virtual time, with a store, a platform list and links that can fail.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]
#![allow(dead_code, reason = "each test file uses a part")]

use heatherhinge_blackboard::{
    Blackboard, ExchangeRequest, HostRecord, OverheadCounts, RecordVersion,
};
use heatherhinge_bundle::{Budget, Bundle, BundleVersion};
use heatherhinge_controllers::{
    BundleController, BundleEffect, BundleEvent, BundleSource, Controller, CurrentBundleRow,
    ExchangeTicket, ListedHost, MembershipController, MembershipEffect, MembershipEvent,
    MembershipSettings, PeerBundleStatus,
};
use heatherhinge_types::{Digest, MonoNs, Name, Now, WallMs};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Virtual time between two steps of each host.
pub(crate) const STEP_MS: u64 = 100;
/// Wall time at the start.
pub(crate) const START_WALL_MS: u64 = 1_700_000_000_000;

pub(crate) fn name(host: usize) -> Name {
    Name::from(format!("h{host}"))
}

pub(crate) fn peer_addr(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(host).unwrap()))
}

pub(crate) fn bundle(version: u64) -> Arc<Bundle> {
    Arc::new(Bundle {
        version: BundleVersion(version),
        zones: BTreeMap::new(),
        services: BTreeMap::new(),
        budget: Budget {
            probes_per_s: 1,
            retry_permille: 100,
            lease_ms: 120_000,
        },
        revoked_keys: BTreeSet::new(),
    })
}

pub(crate) fn digest(version: u64) -> Digest {
    Digest::of(&version.to_le_bytes())
}

pub(crate) fn row(version: u64) -> CurrentBundleRow {
    CurrentBundleRow {
        version: BundleVersion(version),
        digest: digest(version),
    }
}

pub(crate) fn record(host: usize, incarnation: u64, bundle_version: u64) -> HostRecord {
    HostRecord {
        host: name(host),
        version: RecordVersion {
            incarnation,
            sequence: 1,
        },
        zone: Name::from("north"),
        caller_addr: SocketAddr::from(([127, 0, 0, 1], 8_000)),
        peer_addr: peer_addr(host),
        takes_callers: true,
        bundle_version: BundleVersion(bundle_version),
        store_age_ms: 0,
        lease_epoch: 0,
        lease_until_wall_ms: WallMs(0),
        warm: Vec::new(),
        evidence: Vec::new(),
        verdicts: Vec::new(),
        quarantine: Vec::new(),
        spend: OverheadCounts::default(),
    }
}

pub(crate) fn at_ms(ms: u64) -> Now {
    Now {
        mono_ns: MonoNs::from_ms(ms),
        wall_ms: WallMs(START_WALL_MS + ms),
    }
}

struct Host {
    board: Arc<Blackboard>,
    membership: MembershipController,
    bundles: BundleController,
    paused_until_ms: u64,
    is_up: bool,
    /// Requests that wait in the socket of a paused host.
    inbox: Vec<(usize, ExchangeTicket, ExchangeRequest)>,
    last_logged: String,
}

impl Host {
    fn new(host: usize, count: usize, now_ms: u64) -> Self {
        let (board, writers) = Blackboard::new(name(host), Name::from("north"));
        let settings = MembershipSettings {
            incarnation: START_WALL_MS + now_ms,
            seed_peers: (1..=count.min(2)).map(peer_addr).collect(),
            seed: u64::try_from(host).unwrap(),
        };
        Self {
            board,
            membership: MembershipController::new(writers.hosts, settings),
            bundles: BundleController::new(writers.bundle),
            paused_until_ms: 0,
            is_up: true,
            inbox: Vec::new(),
            last_logged: String::new(),
        }
    }

    fn version(&self) -> u64 {
        let bundle = self.board.bundle.read();
        bundle.value.as_ref().map_or(0, |bundle| bundle.version.0)
    }
}

/// One event for a host to handle.
enum WorkItem {
    Membership(MembershipEvent),
    Bundle(BundleEvent),
}

/// A fleet with the hosts 1 to `count`.
pub(crate) struct Fleet {
    hosts: Vec<Host>,
    pub(crate) now_ms: u64,
    /// The accepted version; 0 for none.
    pub(crate) accepted: u64,
    /// Hosts that cannot reach the store.
    pub(crate) store_down: BTreeSet<usize>,
    /// Hosts on one side of a network partition; the others are on the other side.
    pub(crate) far_side: BTreeSet<usize>,
    /// Hosts in the platform's list.
    pub(crate) listed: BTreeSet<usize>,
    /// Changes that an operator would see, one per line.
    pub(crate) log: String,
}

impl Fleet {
    pub(crate) fn new(count: usize, accepted: u64) -> Self {
        let mut fleet = Self {
            hosts: (1..=count).map(|host| Host::new(host, count, 0)).collect(),
            now_ms: STEP_MS,
            accepted,
            store_down: BTreeSet::new(),
            far_side: BTreeSet::new(),
            listed: (1..=count).collect(),
            log: String::new(),
        };
        fleet.log_note(&format!(
            "{count} hosts start; bundle {accepted} is accepted"
        ));
        (1..=count).for_each(|host| fleet.publish_record(host));
        fleet
    }

    pub(crate) fn all(&self) -> BTreeSet<usize> {
        (1..=self.hosts.len()).collect()
    }

    pub(crate) fn version(&self, host: usize) -> u64 {
        self.hosts[host - 1].version()
    }

    pub(crate) fn is_fresh(&self, host: usize) -> bool {
        let status = &self.hosts[host - 1].board.counters.status;
        status.is_fresh(at_ms(self.now_ms).mono_ns)
    }

    pub(crate) fn live(&self, host: usize) -> Vec<String> {
        let hosts = self.hosts[host - 1].board.hosts.read();
        hosts
            .value
            .live()
            .map(|entry| entry.record.host.to_string())
            .collect()
    }

    pub(crate) fn known(&self, host: usize) -> usize {
        self.hosts[host - 1].board.hosts.read().value.hosts.len()
    }

    pub(crate) fn pause(&mut self, host: usize, ms: u64) {
        self.hosts[host - 1].paused_until_ms = self.now_ms + ms;
    }

    pub(crate) fn stop(&mut self, host: usize) {
        self.hosts[host - 1].is_up = false;
    }

    pub(crate) fn restart(&mut self, host: usize) {
        self.hosts[host - 1] = Host::new(host, self.hosts.len(), self.now_ms);
        self.publish_record(host);
    }

    pub(crate) fn log_note(&mut self, text: &str) {
        self.log += &format!("{:>6} ms      {text}\n", self.now_ms);
    }

    pub(crate) fn run_ms(&mut self, ms: u64) {
        self.run_checked(ms, |_| {});
    }

    /// Runs and calls `check` after each step.
    pub(crate) fn run_checked(&mut self, ms: u64, mut check: impl FnMut(&Self)) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            for host in 1..=self.hosts.len() {
                if self.is_running(host) {
                    self.step_host(host);
                }
            }
            (1..=self.hosts.len()).for_each(|host| self.log_changes(host));
            check(self);
            self.now_ms += STEP_MS;
        }
    }

    fn is_running(&self, host: usize) -> bool {
        let host = &self.hosts[host - 1];
        host.is_up && host.paused_until_ms <= self.now_ms
    }

    fn step_host(&mut self, host: usize) {
        for (from, ticket, request) in std::mem::take(&mut self.hosts[host - 1].inbox) {
            self.send_request(from, host, ticket, request);
        }
        if self.now_ms.is_multiple_of(1_000) {
            self.deliver_list(host);
        }
        self.work(host, WorkItem::Membership(MembershipEvent::Tick));
        self.work(host, WorkItem::Bundle(BundleEvent::Tick));
    }

    fn deliver_list(&mut self, host: usize) {
        let listed: Vec<_> = self
            .listed
            .iter()
            .map(|listed| ListedHost {
                host: name(*listed),
                peer_addr: peer_addr(*listed),
            })
            .collect();
        let names = self.listed.iter().map(|listed| name(*listed)).collect();
        self.work(host, WorkItem::Membership(MembershipEvent::Listed(listed)));
        self.work(host, WorkItem::Bundle(BundleEvent::Listed(names)));
    }

    fn publish_record(&mut self, host: usize) {
        let own = record(host, 0, self.version(host));
        let event = MembershipEvent::OwnRecordChanged(Box::new(own));
        self.work(host, WorkItem::Membership(event));
    }

    /// Passes an event to a host and carries out the effects that follow from it.
    fn work(&mut self, host: usize, first: WorkItem) {
        let mut queue = VecDeque::from([first]);
        while let Some(work) = queue.pop_front() {
            let now = at_ms(self.now_ms);
            let receiver = &mut self.hosts[host - 1];
            match work {
                WorkItem::Membership(event) => {
                    for effect in receiver.membership.step(&receiver.board, event, now) {
                        self.exchange(host, effect);
                    }
                }
                WorkItem::Bundle(event) => {
                    for effect in receiver.bundles.step(&receiver.board, event, now) {
                        queue.extend(self.bundle_effect(host, effect));
                    }
                }
            }
        }
    }

    fn exchange(&mut self, host: usize, effect: MembershipEffect) {
        if let MembershipEffect::Exchange { ticket, request } = effect {
            let peer = usize::from(ticket.peer_addr.port() - 7_000);
            if !self.are_linked(host, peer) || !self.hosts[peer - 1].is_up {
                return;
            }
            if self.is_running(peer) {
                self.send_request(host, peer, ticket, request);
            } else {
                self.hosts[peer - 1].inbox.push((host, ticket, request));
            }
        }
    }

    fn send_request(
        &mut self,
        from: usize,
        to: usize,
        ticket: ExchangeTicket,
        request: ExchangeRequest,
    ) {
        let now = at_ms(self.now_ms);
        let peer = &mut self.hosts[to - 1];
        let event = MembershipEvent::RequestReceived(request);
        for effect in peer.membership.step(&peer.board, event, now) {
            let MembershipEffect::Respond(answer) = effect else {
                self.exchange(to, effect);
                continue;
            };
            if self.is_running(from) && self.are_linked(from, to) {
                let contact = PeerBundleStatus::from_response(&ticket, &answer).unwrap();
                self.work(from, WorkItem::Bundle(BundleEvent::PeerResponded(contact)));
                let event = MembershipEvent::ResponseReceived { ticket, answer };
                self.work(from, WorkItem::Membership(event));
            }
        }
    }

    fn are_linked(&self, a: usize, b: usize) -> bool {
        self.far_side.contains(&a) == self.far_side.contains(&b)
    }

    fn bundle_effect(&mut self, host: usize, effect: BundleEffect) -> Option<WorkItem> {
        let event = match effect {
            BundleEffect::ReadRow { .. } if self.store_down.contains(&host) => {
                BundleEvent::StoreUnreachable
            }
            BundleEffect::ReadRow { requested_ns } => BundleEvent::StoreRead {
                requested_ns,
                row: (self.accepted > 0).then(|| row(self.accepted)),
            },
            BundleEffect::Fetch { version, source } => self.fetch(host, version, source),
            BundleEffect::InForce { version, .. } => {
                self.log += &format!(
                    "{:>6} ms  h{host}  bundle {} in force\n",
                    self.now_ms, version.0
                );
                let own = record(host, 0, version.0);
                return Some(WorkItem::Membership(MembershipEvent::OwnRecordChanged(
                    Box::new(own),
                )));
            }
        };
        Some(WorkItem::Bundle(event))
    }

    fn fetch(&mut self, host: usize, wanted: BundleVersion, source: BundleSource) -> BundleEvent {
        let (from, version) = match source {
            BundleSource::Store if self.store_down.contains(&host) => ("store".to_owned(), 0),
            BundleSource::Store => ("store".to_owned(), self.accepted),
            BundleSource::Peer(addr) => {
                let peer = usize::from(addr.port() - 7_000);
                let is_reachable = self.is_running(peer) && self.are_linked(host, peer);
                let version = if is_reachable { self.version(peer) } else { 0 };
                (format!("h{peer}"), version)
            }
        };
        let now_ms = self.now_ms;
        self.log += &format!(
            "{now_ms:>6} ms  h{host}  fetches bundle {} from {from}\n",
            wanted.0
        );
        if version == 0 {
            return BundleEvent::FetchFailed;
        }
        BundleEvent::Fetched {
            bundle: bundle(version),
            digest: digest(version),
        }
    }

    fn log_changes(&mut self, host: usize) {
        let state = if !self.hosts[host - 1].is_up {
            "stopped".to_owned()
        } else {
            let fresh = if self.is_fresh(host) {
                "fresh"
            } else {
                "not fresh"
            };
            format!("{fresh}, live: {}", self.live(host).join(" "))
        };
        if self.hosts[host - 1].last_logged != state {
            self.log += &format!("{:>6} ms  h{host}  {state}\n", self.now_ms);
            self.hosts[host - 1].last_logged = state;
        }
    }
}
