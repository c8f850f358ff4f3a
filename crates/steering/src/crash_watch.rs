//! Holds back requests that crash the targets which run them.

use crate::{CrashTally, FleetView};
use heatherhinge_types::{MonoNs, Name};
use std::collections::{BTreeMap, BTreeSet};

/// Crashes over all hosts after which a request is held back. The users allow three.
const MAX_CRASHES: u32 = 2;
/// Time that a request is held back after its last crash, in milliseconds.
const HOLD_MS: u64 = 60_000;
/// Requests that are remembered at most.
const MAX_DIGESTS: usize = 64;

/// Crashes that this host has counted.
#[derive(Debug, Default)]
pub struct CrashWatch {
    crashes: BTreeMap<u64, (u32, MonoNs)>,
}

impl CrashWatch {
    /// Counts a crash.
    pub fn count(&mut self, digest: u64, now: MonoNs) {
        let entry = self.crashes.entry(digest).or_insert((0, now));
        *entry = (entry.0 + 1, now);
        self.crashes
            .retain(|_, (_, last)| now.ms_since(*last) < HOLD_MS);
        while self.crashes.len() > MAX_DIGESTS {
            let oldest = self.crashes.iter().min_by_key(|(_, (_, last))| *last);
            let Some(digest) = oldest.map(|(digest, _)| *digest) else {
                return;
            };
            self.crashes.remove(&digest);
        }
    }

    /// Returns what the other hosts are told.
    #[must_use]
    pub fn tallies(&self) -> Vec<CrashTally> {
        let tally = |(digest, (crashes, _)): (&u64, &(u32, MonoNs))| CrashTally {
            digest: *digest,
            crashes: *crashes,
        };
        self.crashes.iter().map(tally).collect()
    }

    /// Returns the digests of requests that are to be held back.
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
            .filter(|(_, crashes)| *crashes >= MAX_CRASHES)
            .map(|(digest, _)| digest)
            .collect()
    }
}
