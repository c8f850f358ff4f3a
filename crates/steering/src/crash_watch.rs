//! Quarantines requests that crash the targets which run them.

use crate::{CrashTally, FleetView};
use heatherhinge_types::{MonoNs, Name};
use std::collections::{BTreeMap, BTreeSet};

/// Crashes over all hosts after which a request is quarantined. The requirements allow three.
const QUARANTINE_CRASHES: u32 = 2;
/// Time that a request stays quarantined after its last crash, in milliseconds.
const QUARANTINE_MS: u64 = 60_000;
/// Most requests for which crashes are counted; the oldest is dropped first.
const MAX_DIGESTS: usize = 64;

/// Recent crashes that this host has counted, by digest of the request.
#[derive(Debug, Default)]
pub struct CrashWatch {
    crashes: BTreeMap<u64, (u32, MonoNs)>,
}

impl CrashWatch {
    /// Counts a target that crashed while it ran the request with this digest.
    pub fn count(&mut self, digest: u64, now: MonoNs) {
        let entry = self.crashes.entry(digest).or_insert((0, now));
        *entry = (entry.0 + 1, now);
        self.crashes
            .retain(|_, (_, last)| now.ms_since(*last) < QUARANTINE_MS);
        while self.crashes.len() > MAX_DIGESTS {
            let oldest = self.crashes.iter().min_by_key(|(_, (_, last))| *last);
            let Some(digest) = oldest.map(|(digest, _)| *digest) else {
                return;
            };
            self.crashes.remove(&digest);
        }
    }

    /// Returns the counts of this host for gossip.
    #[must_use]
    pub fn tallies(&self) -> Vec<CrashTally> {
        let tally = |(digest, (crashes, _)): (&u64, &(u32, MonoNs))| CrashTally {
            digest: *digest,
            crashes: *crashes,
        };
        self.crashes.iter().map(tally).collect()
    }

    /// Returns the digests of requests to quarantine, by the counts of this host and of the live
    /// hosts of `fleet`.
    #[must_use]
    pub fn quarantined(&self, own: &Name, fleet: &FleetView) -> BTreeSet<u64> {
        let mut sums: BTreeMap<u64, u32> = BTreeMap::new();
        let others = fleet
            .live
            .iter()
            .filter(|host| host.host != *own)
            .flat_map(|host| host.crashes.iter().copied());
        for tally in self.tallies().into_iter().chain(others) {
            *sums.entry(tally.digest).or_default() += tally.crashes;
        }
        sums.into_iter()
            .filter(|(_, crashes)| *crashes >= QUARANTINE_CRASHES)
            .map(|(digest, _)| digest)
            .collect()
    }
}
