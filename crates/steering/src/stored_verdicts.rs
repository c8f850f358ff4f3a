//! Tracks which verdicts on versions the store holds.

use crate::PastMove;
use heatherhinge_types::{MonoNs, Name};
use std::collections::BTreeMap;

/// Pause between writes of verdicts, in milliseconds.
const WRITE_PAUSE_MS: u64 = 400;

/// Verdicts that this host knows the store to hold, by service.
#[derive(Debug, Default)]
pub(crate) struct StoredVerdicts {
    by_service: BTreeMap<Name, Vec<PastMove>>,
    next_write: MonoNs,
}

impl StoredVerdicts {
    /// Records everything that the store holds.
    pub(crate) fn set(&mut self, verdicts: &[PastMove]) {
        self.forget_all();
        for past in verdicts {
            let stored = self.by_service.entry(past.service.clone());
            stored.or_default().push(past.clone());
        }
        for stored in self.by_service.values_mut() {
            stored.sort_by(|one, other| one.version.cmp(&other.version));
        }
    }

    /// Records that the store may have lost all of them.
    pub(crate) fn forget_all(&mut self) {
        self.by_service.clear();
    }

    /// Records that those of a service may not be stored.
    pub(crate) fn forget(&mut self, service: &Name) {
        self.by_service.remove(service);
    }

    /// Returns which of the known verdicts are to be written, and takes them for stored.
    pub(crate) fn writes(
        &mut self,
        known: Vec<(Name, Vec<PastMove>)>,
        now: MonoNs,
    ) -> Vec<(Name, Vec<PastMove>)> {
        if now < self.next_write {
            return Vec::new();
        }
        let is_new = |(service, verdicts): &(Name, Vec<PastMove>)| {
            !verdicts.is_empty() && self.by_service.get(service) != Some(verdicts)
        };
        let writes: Vec<_> = known.into_iter().filter(is_new).collect();
        if !writes.is_empty() {
            self.next_write = now.plus_ms(WRITE_PAUSE_MS);
        }
        self.by_service.extend(writes.iter().cloned());
        writes
    }
}
