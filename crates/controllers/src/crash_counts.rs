//! Counts the target runs that crashed while they ran a request.

use heatherhinge_types::{Digest, MonoNs, Name, StartId};
use std::collections::BTreeMap;

/// Number of crashed target runs at which a request is quarantined.
const CRASH_LIMIT: usize = 2;
/// Time after which a crash no longer counts; the same as the duration of a quarantine.
const CRASH_RETENTION_MS: u64 = 600_000;
/// Most digests that are counted: about 1 MB. The one with the oldest crash is evicted first.
const MAX_DIGESTS: usize = 4_096;

/// Crashes of one digest since its last success.
#[derive(Clone, Debug)]
struct Crashes {
    runs: Vec<(Name, Option<StartId>)>,
    last_ns: MonoNs,
}

/// Crashes by digest.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashCounts {
    digests: BTreeMap<Digest, Crashes>,
}

impl CrashCounts {
    /// Counts a crash. Returns the crashed targets when the digest reaches the limit; its count is
    /// then reset.
    pub(crate) fn count(
        &mut self,
        digest: Digest,
        target: Name,
        run: Option<StartId>,
        now_ns: MonoNs,
    ) -> Option<Vec<Name>> {
        self.make_room(digest);
        let crashes = self.digests.entry(digest).or_insert(Crashes {
            runs: Vec::new(),
            last_ns: now_ns,
        });
        crashes.last_ns = now_ns;
        // Copies of a request that ran on the same run of a target crashed it only once.
        let is_counted = crashes.runs.iter().any(|(known, known_run)| {
            *known == target && (known_run.is_none() || run.is_none() || *known_run == run)
        });
        if !is_counted {
            crashes.runs.push((target, run));
        }
        if crashes.runs.len() < CRASH_LIMIT {
            return None;
        }
        let crashes = self.digests.remove(&digest)?;
        Some(crashes.runs.into_iter().map(|(target, _)| target).collect())
    }

    /// Clears the count after a success. Returns whether there was one.
    pub(crate) fn clear(&mut self, digest: Digest) -> bool {
        self.digests.remove(&digest).is_some()
    }

    /// Removes the counts of digests whose last crash is too old.
    pub(crate) fn expire(&mut self, now_ns: MonoNs) {
        self.digests
            .retain(|_, crashes| now_ns.ms_since(crashes.last_ns) < CRASH_RETENTION_MS);
    }

    pub(crate) fn len(&self) -> usize {
        self.digests.len()
    }

    fn make_room(&mut self, digest: Digest) {
        if self.digests.len() < MAX_DIGESTS || self.digests.contains_key(&digest) {
            return;
        }
        let oldest = self
            .digests
            .iter()
            .min_by_key(|(_, crashes)| crashes.last_ns);
        if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
            self.digests.remove(&oldest);
        }
    }
}
