//! Decides until when the bundle in force can be trusted to be the newest.
//!
//! `docs/design.md`, sections 8, 13 and 22. A contact with the store shows that at some time the
//! newest accepted version was not above a certain one. It counts as soon as that version is in
//! force here, so while a newer bundle is being fetched the earlier contacts run out.

use crate::pause::PauseDetector;
use heatherhinge_blackboard::HostTable;
use heatherhinge_bundle::BundleVersion;
use heatherhinge_types::{MonoNs, Name};
use std::collections::{BTreeMap, BTreeSet};

/// A host is fresh for this time after a contact.
const FRESH_MS: u64 = 3_000;

/// What the freshness of one host is judged by.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    /// The latest time at which no version above the one in force was accepted; 0 if unknown.
    confirmed_ns: MonoNs,
    /// Contacts that showed a version above the one in force.
    pending: BTreeMap<BundleVersion, MonoNs>,
    /// End of the freshness by the majority rule.
    majority_until_ns: MonoNs,
    listed: Option<BTreeSet<Name>>,
}

impl Freshness {
    /// Takes in the names of the platform's list.
    pub(crate) fn take_list(&mut self, listed: Vec<Name>) {
        self.listed = Some(listed.into_iter().collect());
    }

    /// Takes in that at `at_ns` the newest accepted version was `version` or lower.
    pub(crate) fn take_contact(
        &mut self,
        version: BundleVersion,
        at_ns: MonoNs,
        in_force: Option<BundleVersion>,
    ) {
        if Some(version) <= in_force {
            self.confirmed_ns = self.confirmed_ns.max(at_ns);
        } else {
            let pending = self.pending.entry(version).or_default();
            *pending = at_ns.max(*pending);
        }
    }

    /// Takes in that a bundle came into force.
    pub(crate) fn take_bundle(&mut self, in_force: BundleVersion) {
        while let Some(first) = self.pending.first_entry() {
            if *first.key() > in_force {
                break;
            }
            self.confirmed_ns = self.confirmed_ns.max(first.remove());
        }
    }

    /// Forgets what was heard before a pause. Versions that were seen stay known.
    pub(crate) fn reset_after_pause(&mut self) {
        self.confirmed_ns = MonoNs(0);
        self.majority_until_ns = MonoNs(0);
        self.pending.values_mut().for_each(|at| *at = MonoNs(0));
    }

    /// Returns the highest version that a contact showed above the one in force.
    pub(crate) fn highest_pending(&self) -> Option<BundleVersion> {
        self.pending.keys().next_back().copied()
    }

    /// Returns the time of the last contact that counts; 0 if there is none.
    pub(crate) const fn confirmed_ns(&self) -> MonoNs {
        self.confirmed_ns
    }

    /// Returns the end of freshness.
    pub(crate) fn until(
        &mut self,
        own: &Name,
        hosts: &HostTable,
        in_force: BundleVersion,
        pause: &PauseDetector,
        now_ns: MonoNs,
    ) -> MonoNs {
        let knows_higher = !self.pending.is_empty()
            || hosts
                .hosts
                .values()
                .any(|entry| entry.record.bundle_version > in_force);
        // While a higher version is known, the majority confirms only what it confirmed before.
        if !knows_higher {
            self.majority_until_ns = self.majority(own, hosts, pause, now_ns);
        }
        let store_until = match self.confirmed_ns {
            MonoNs(0) => MonoNs(0),
            confirmed => confirmed.plus_ms(FRESH_MS),
        };
        store_until.max(self.majority_until_ns)
    }

    /// Returns until when more than half of the known hosts, this one included, are heard.
    fn majority(
        &self,
        own: &Name,
        hosts: &HostTable,
        pause: &PauseDetector,
        now_ns: MonoNs,
    ) -> MonoNs {
        let Some(known) = self.known_others(own, hosts) else {
            return MonoNs(0);
        };
        // This host hears itself, so half of the others, rounded up, makes more than half of all.
        let needed = known.div_ceil(2);
        let Some(last_needed) = needed.checked_sub(1) else {
            return now_ns.plus_ms(FRESH_MS);
        };
        let mut heard: Vec<MonoNs> = hosts
            .hosts
            .iter()
            .filter(|(host, entry)| *host != own && entry.heard_ns > MonoNs(0))
            .map(|(_, entry)| entry.heard_ns)
            .filter(|heard_ns| pause.counts(*heard_ns))
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard
            .get(last_needed)
            .map_or(MonoNs(0), |heard_ns| heard_ns.plus_ms(FRESH_MS))
    }

    /// Counts the known hosts without this one; `None` before the platform's list was read. Peers in
    /// the settings cannot stand in for it: a restarted host of a minority would find more than half
    /// of so few.
    fn known_others(&self, own: &Name, hosts: &HostTable) -> Option<usize> {
        let names: BTreeSet<&Name> = self
            .listed
            .as_ref()?
            .iter()
            .chain(hosts.hosts.keys())
            .filter(|host| *host != own)
            .collect();
        Some(names.len())
    }
}
