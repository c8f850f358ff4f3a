//! Quarantines requests that crash the targets which run them.
//!
//! A target that crashes breaks all requests that it runs, and most of them are sound. Only a
//! request that broke at several targets, and that no target has answered, is taken for the cause.
//! `docs/platform.md` explains the rule.

use crate::{CrashTally, FleetView, ServedRequests};
use heatherhinge_types::{MonoNs, Name};
use std::collections::{BTreeMap, BTreeSet};

/// Targets that must have crashed, over all hosts, before a request is quarantined. The
/// requirements allow three.
const QUARANTINE_TARGETS: usize = 2;
/// Time that a request stays quarantined after its last crash, in milliseconds.
const QUARANTINE_MS: u64 = 60_000;
/// Time after which a crash is forgotten, in milliseconds. Until then one more crash quarantines the
/// request again.
const RETENTION_MS: u64 = 600_000;
/// Most requests for which crashes are kept; the oldest is dropped first.
const MAX_DIGESTS: usize = 64;

/// A request whose quarantine has begun or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Digest of the request.
    pub digest: u64,
    /// Whether the request is quarantined now.
    pub is_quarantined: bool,
    /// Targets that crashed while they ran it, as counted by all live hosts.
    pub targets: usize,
    /// Whether a target has answered it recently.
    pub is_served: bool,
}

/// Crashes that this host has seen, by digest of the request, and the conclusions of all hosts.
#[derive(Debug, Default)]
pub struct CrashWatch {
    /// Time of the crash of each target start, by digest.
    crashes: BTreeMap<u64, BTreeMap<u32, MonoNs>>,
    /// Digests counted by any host that a target has answered for this one.
    served: Vec<u64>,
    quarantined: BTreeSet<u64>,
}

impl CrashWatch {
    /// Counts a target that crashed while it ran the request with this digest. Several requests
    /// with the same digest that broke at one target count once.
    pub fn count(&mut self, digest: u64, target_key: u32, now: MonoNs) {
        let targets = self.crashes.entry(digest).or_default();
        targets.insert(target_key, now);
        while self.crashes.len() > MAX_DIGESTS {
            let newest = |targets: &BTreeMap<u32, MonoNs>| targets.values().max().copied();
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, targets)| newest(targets));
            let Some(digest) = oldest.map(|(digest, _)| *digest) else {
                return;
            };
            self.crashes.remove(&digest);
        }
    }

    /// Returns the counts of this host for gossip.
    #[must_use]
    pub fn tallies(&self, now: MonoNs) -> Vec<CrashTally> {
        let of = |(digest, targets): (&u64, &BTreeMap<u32, MonoNs>)| -> Vec<CrashTally> {
            let tally = |(target_key, at): (&u32, &MonoNs)| CrashTally {
                digest: *digest,
                target_key: *target_key,
                is_recent: now.ms_since(*at) < QUARANTINE_MS,
            };
            targets.iter().map(tally).collect()
        };
        self.crashes.iter().flat_map(of).collect()
    }

    /// Returns the digests with counts that a target has answered for this host, for gossip.
    #[must_use]
    pub fn served(&self) -> Vec<u64> {
        self.served.clone()
    }

    /// Returns the digests of requests to quarantine.
    #[must_use]
    pub const fn quarantined(&self) -> &BTreeSet<u64> {
        &self.quarantined
    }

    /// Judges all counted requests by the counts of this host and of the live hosts of `fleet`, and
    /// returns what has changed. An answer at any host clears a request.
    pub fn review(
        &mut self,
        own: &Name,
        fleet: &FleetView,
        served: &ServedRequests,
        now: MonoNs,
    ) -> Vec<QuarantineChange> {
        self.remove_expired(now);
        let others = || fleet.live.iter().filter(|host| host.host != *own);
        let foreign = others().flat_map(|host| host.crashes.iter().copied());
        let tallies: Vec<CrashTally> = self.tallies(now).into_iter().chain(foreign).collect();
        let digests: BTreeSet<u64> = tallies.iter().map(|tally| tally.digest).collect();
        let is_served = |digest: &&u64| served.has_recent(**digest, now);
        self.served = digests.iter().filter(is_served).copied().collect();
        let cleared: BTreeSet<u64> = others()
            .flat_map(|host| host.served.iter().copied())
            .chain(self.served.iter().copied())
            .collect();
        self.crashes.retain(|digest, _| !cleared.contains(digest));
        let targets_of = |digest: u64| -> usize {
            let of_digest = tallies.iter().filter(|tally| tally.digest == digest);
            let keys: BTreeSet<u32> = of_digest.map(|tally| tally.target_key).collect();
            keys.len()
        };
        let is_recent = |digest: u64| {
            let mut of_digest = tallies.iter().filter(|tally| tally.digest == digest);
            of_digest.any(|tally| tally.is_recent)
        };
        let before = std::mem::take(&mut self.quarantined);
        self.quarantined = digests
            .into_iter()
            .filter(|digest| !cleared.contains(digest))
            .filter(|digest| targets_of(*digest) >= QUARANTINE_TARGETS && is_recent(*digest))
            .collect();
        let changed = before.symmetric_difference(&self.quarantined);
        changed
            .map(|digest| QuarantineChange {
                digest: *digest,
                is_quarantined: self.quarantined.contains(digest),
                targets: targets_of(*digest),
                is_served: cleared.contains(digest),
            })
            .collect()
    }

    fn remove_expired(&mut self, now: MonoNs) {
        self.crashes.retain(|_, targets| {
            targets.retain(|_, at| now.ms_since(*at) < RETENTION_MS);
            !targets.is_empty()
        });
    }
}
