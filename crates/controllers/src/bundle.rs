//! Brings the newest accepted bundle into force and maintains the host's freshness.
//!
//! It is the only writer of the `bundle` entry and of the freshness atomics; see `docs/design.md`,
//! sections 8, 13 and 22. The version in force never decreases. Bundles arrive verified; this
//! controller decides which of them to use.

use crate::freshness::Freshness;
use crate::pause::PauseDetector;
use crate::{
    BundleEffect, BundleEvent, BundleSource, Controller, CurrentBundleRow, PeerBundleStatus,
};
use heatherhinge_blackboard::{Blackboard, Writer};
use heatherhinge_bundle::{Bundle, BundleVersion};
use heatherhinge_types::{Digest, MonoNs, Now};
use std::sync::Arc;

/// Time between two reads of the store's row.
const READ_INTERVAL_MS: u64 = 1_000;
/// A read without a result is abandoned after this time. Freshness lasts 3 s from the start of a
/// read, so a later result could no longer extend it.
const READ_TIMEOUT_MS: u64 = 3_000;
/// A fetch without an outcome is retried from the next source after this time, so that two sources
/// can be tried within the 4 s in which a bundle has to be in force.
const FETCH_TIMEOUT_MS: u64 = 1_000;
/// Delay after a failed fetch, so that a source that fails at once is not retried in a loop.
const RETRY_DELAY_MS: u64 = 200;

/// A fetch in flight.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    version: BundleVersion,
    started_ns: MonoNs,
}

/// Brings the newest accepted bundle into force.
#[derive(Debug)]
pub struct BundleController {
    writer: Writer<Option<Arc<Bundle>>>,
    in_force: Option<CurrentBundleRow>,
    /// The newest row that was read.
    row: Option<CurrentBundleRow>,
    freshness: Freshness,
    pause: PauseDetector,
    /// Start of the read in flight.
    read_started_ns: Option<MonoNs>,
    next_read_ns: MonoNs,
    fetch: Option<Fetch>,
    next_fetch_ns: MonoNs,
    /// Number of failed fetches since the last success, which selects the source.
    failures: usize,
}

impl BundleController {
    /// Creates the controller from the only writer of the bundle entry.
    #[must_use]
    pub fn new(writer: Writer<Option<Arc<Bundle>>>) -> Self {
        Self {
            writer,
            in_force: None,
            row: None,
            freshness: Freshness::default(),
            pause: PauseDetector::default(),
            read_started_ns: None,
            next_read_ns: MonoNs(0),
            fetch: None,
            next_fetch_ns: MonoNs(0),
            failures: 0,
        }
    }

    fn version(&self) -> Option<BundleVersion> {
        self.in_force.map(|row| row.version)
    }

    fn apply_row(&mut self, requested_ns: MonoNs, row: Option<CurrentBundleRow>) {
        self.read_started_ns = None;
        if let Some(row) = row {
            // A delayed read may return an older row than an earlier one.
            if self.row.is_none_or(|held| row.version >= held.version) {
                self.row = Some(row);
            }
        }
        let version = row.map(|row| row.version).unwrap_or_default();
        if self.pause.is_since_resume(requested_ns) && !self.has_digest_mismatch() {
            self.freshness
                .record_contact(version, requested_ns, self.version());
        }
    }

    /// Returns whether the bundle in force has the version of the row but not its digest: it was
    /// signed but never accepted, and the accepted bundle of this version is another one.
    fn has_digest_mismatch(&self) -> bool {
        match (self.in_force, self.row) {
            (Some(held), Some(row)) => held.version == row.version && held.digest != row.digest,
            _ => false,
        }
    }

    fn record_contact(&mut self, contact: PeerBundleStatus) {
        let age_ns = contact.store_age_ms.saturating_mul(1_000_000);
        // The peer computed the age after the request was sent, so its last contact with the store
        // was no earlier than `requested_ns` less that age. A peer without any contact sends the largest
        // age, which makes the difference 0, and that stands for unknown.
        let at_ns = if self.pause.is_since_resume(contact.requested_ns) {
            MonoNs(contact.requested_ns.0.saturating_sub(age_ns))
        } else {
            MonoNs(0)
        };
        self.freshness
            .record_contact(contact.version, at_ns, self.version());
    }

    fn apply_body(
        &mut self,
        bundle: Arc<Bundle>,
        digest: Digest,
        now_ns: MonoNs,
    ) -> Option<BundleEffect> {
        self.fetch = None;
        let version = bundle.version;
        let is_rejected = self
            .row
            .is_some_and(|row| row.version == version && row.digest != digest);
        let is_newer = Some(version) > self.version();
        let replaces_mismatch = Some(version) == self.version() && self.has_digest_mismatch();
        if is_rejected || !(is_newer || replaces_mismatch) {
            self.fail_fetch(now_ns);
            return None;
        }
        self.failures = 0;
        self.in_force = Some(CurrentBundleRow { version, digest });
        self.freshness.activate_bundle(version);
        self.writer.publish(Some(bundle));
        Some(BundleEffect::InForce { version, digest })
    }

    fn fail_fetch(&mut self, now_ns: MonoNs) {
        self.fetch = None;
        self.failures += 1;
        self.next_fetch_ns = now_ns.plus_ms(RETRY_DELAY_MS);
    }

    fn read(&mut self, now_ns: MonoNs) -> Option<BundleEffect> {
        let is_in_flight = self
            .read_started_ns
            .is_some_and(|started| now_ns < started.plus_ms(READ_TIMEOUT_MS));
        if is_in_flight || now_ns < self.next_read_ns {
            return None;
        }
        self.read_started_ns = Some(now_ns);
        self.next_read_ns = now_ns.plus_ms(READ_INTERVAL_MS);
        Some(BundleEffect::ReadRow {
            requested_ns: now_ns,
        })
    }

    fn fetch(&mut self, board: &Blackboard, now_ns: MonoNs) -> Option<BundleEffect> {
        let version = self.wanted_version(board)?;
        let is_in_flight = self.fetch.is_some_and(|fetch| {
            fetch.version >= version && now_ns < fetch.started_ns.plus_ms(FETCH_TIMEOUT_MS)
        });
        if is_in_flight || now_ns < self.next_fetch_ns {
            return None;
        }
        if self.fetch.take().is_some_and(|old| old.version >= version) {
            self.failures += 1;
        }
        let source = self.source(board, version)?;
        self.fetch = Some(Fetch {
            version,
            started_ns: now_ns,
        });
        Some(BundleEffect::Fetch { version, source })
    }

    /// Returns the version to fetch: the highest one that the store or any host shows, if it is
    /// above the one in force, or the version in force if the store's row has another digest for
    /// it.
    fn wanted_version(&self, board: &Blackboard) -> Option<BundleVersion> {
        let hosts = board.hosts.read();
        let at_hosts = hosts
            .value
            .hosts
            .values()
            .map(|entry| entry.record.bundle_version)
            .max();
        let highest = at_hosts
            .max(self.freshness.highest_pending())
            .max(self.row.map(|row| row.version))
            .filter(|version| *version > BundleVersion(0))?;
        if Some(highest) > self.version() {
            Some(highest)
        } else {
            self.has_digest_mismatch().then_some(highest)
        }
    }

    /// Chooses among the store, if its row has the version, and the live peers that have it. The
    /// store comes first; each failure selects the next source.
    fn source(&self, board: &Blackboard, version: BundleVersion) -> Option<BundleSource> {
        let hosts = board.hosts.read();
        let in_store = self.row.is_some_and(|row| row.version >= version);
        let peers = hosts
            .value
            .live()
            .filter(|entry| entry.record.host != board.host)
            .filter(|entry| entry.record.bundle_version >= version && !self.has_digest_mismatch())
            .map(|entry| BundleSource::Peer(entry.record.peer_addr));
        let sources: Vec<BundleSource> = in_store
            .then_some(BundleSource::Store)
            .into_iter()
            .chain(peers)
            .collect();
        let index = self.failures.checked_rem(sources.len())?;
        sources.get(index).copied()
    }

    fn publish_freshness(&mut self, board: &Blackboard, now_ns: MonoNs) {
        let status = &board.counters.status;
        let until_ns = match self.version() {
            Some(version) if !self.has_digest_mismatch() => self.freshness.fresh_until(
                &board.host,
                &board.hosts.read().value,
                version,
                &self.pause,
                now_ns,
            ),
            _ => MonoNs(0),
        };
        status.set_fresh_until(until_ns);
        status.record_store_contact(self.freshness.confirmed_ns());
    }
}

impl Controller for BundleController {
    type Event = BundleEvent;
    type Effect = BundleEffect;

    fn step(&mut self, board: &Blackboard, event: BundleEvent, now: Now) -> Vec<BundleEffect> {
        let now_ns = now.mono_ns;
        if self.pause.step(now_ns) {
            self.freshness.reset_after_pause();
            self.read_started_ns = None;
            self.next_read_ns = now_ns;
            self.fetch = None;
        }
        let mut effects = Vec::new();
        match event {
            BundleEvent::StoreRead { requested_ns, row } => self.apply_row(requested_ns, row),
            BundleEvent::StoreUnreachable => self.read_started_ns = None,
            BundleEvent::Fetched { bundle, digest } => {
                effects.extend(self.apply_body(bundle, digest, now_ns));
            }
            BundleEvent::FetchFailed => self.fail_fetch(now_ns),
            BundleEvent::PeerResponded(contact) => self.record_contact(contact),
            BundleEvent::Listed(listed) => self.freshness.set_listed(listed),
            BundleEvent::Tick => {}
        }
        effects.extend(self.read(now_ns));
        effects.extend(self.fetch(board, now_ns));
        self.publish_freshness(board, now_ns);
        effects
    }
}
