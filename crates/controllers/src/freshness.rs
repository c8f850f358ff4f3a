//! Computes until when the bundle in force can be trusted to be the newest accepted one.
//!
//! `docs/design.md`, sections 8, 13 and 22. A contact with the store shows that at some time the
//! newest accepted version was not above a certain one. It counts once that version is in force on
//! this host, so while a newer bundle is being fetched, the freshness from earlier contacts runs
//! out.

use crate::pause::PauseDetector;
use heatherhinge_blackboard::HostTable;
use heatherhinge_bundle::BundleVersion;
use heatherhinge_types::{MonoNs, Name};
use std::collections::{BTreeMap, BTreeSet};

/// Duration of freshness after a contact.
const FRESHNESS_MS: u64 = 3_000;

/// Contacts that the freshness of this host is based on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    /// The latest time at which no version above the one in force was accepted; 0 if unknown.
    confirmed_ns: MonoNs,
    /// Contacts that showed a version above the one in force.
    pending: BTreeMap<BundleVersion, MonoNs>,
    /// End of the freshness that contact with a majority of the hosts gives.
    majority_until_ns: MonoNs,
    listed: Option<BTreeSet<Name>>,
}

impl Freshness {
    /// Replaces the names of the hosts in the platform's list.
    pub(crate) fn set_listed(&mut self, listed: Vec<Name>) {
        self.listed = Some(listed.into_iter().collect());
    }

    /// Records that at `at_ns` the newest accepted version was `version` or lower.
    pub(crate) fn record_contact(
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

    /// Counts the pending contacts up to the version that came into force.
    pub(crate) fn activate_bundle(&mut self, in_force: BundleVersion) {
        while let Some(first) = self.pending.first_entry() {
            if *first.key() > in_force {
                break;
            }
            self.confirmed_ns = self.confirmed_ns.max(first.remove());
        }
    }

    /// Drops the times of contacts before a pause. Versions seen in them are kept.
    pub(crate) fn reset_after_pause(&mut self) {
        self.confirmed_ns = MonoNs(0);
        self.majority_until_ns = MonoNs(0);
        self.pending.values_mut().for_each(|at| *at = MonoNs(0));
    }

    /// Returns the highest version above the one in force that a contact showed.
    pub(crate) fn highest_pending(&self) -> Option<BundleVersion> {
        self.pending.keys().next_back().copied()
    }

    /// Returns the time of the last contact that counts; 0 if there is none.
    pub(crate) const fn confirmed_ns(&self) -> MonoNs {
        self.confirmed_ns
    }

    /// Returns the end of freshness; 0 if no contact counts.
    pub(crate) fn fresh_until(
        &mut self,
        own: &Name,
        hosts: &HostTable,
        in_force: BundleVersion,
        pause: &PauseDetector,
        now_ns: MonoNs,
    ) -> MonoNs {
        let is_newer_known = !self.pending.is_empty()
            || hosts
                .hosts
                .values()
                .any(|entry| entry.record.bundle_version > in_force);
        // While a higher version is known, heartbeats of the majority no longer extend freshness.
        if !is_newer_known {
            self.majority_until_ns = self.majority_fresh_until(own, hosts, pause, now_ns);
        }
        let store_until = match self.confirmed_ns {
            MonoNs(0) => MonoNs(0),
            confirmed => confirmed.plus_ms(FRESHNESS_MS),
        };
        store_until.max(self.majority_until_ns)
    }

    /// Returns the end of the freshness that contact with more than half of the known hosts,
    /// including this one, gives; 0 if there are too few contacts.
    fn majority_fresh_until(
        &self,
        own: &Name,
        hosts: &HostTable,
        pause: &PauseDetector,
        now_ns: MonoNs,
    ) -> MonoNs {
        let Some(known) = self.known_others(own, hosts) else {
            return MonoNs(0);
        };
        // This host counts as one, so half of the others, rounded up, makes more than half of all.
        let needed = known.div_ceil(2);
        let Some(last_needed) = needed.checked_sub(1) else {
            return now_ns.plus_ms(FRESHNESS_MS);
        };
        let mut heard: Vec<MonoNs> = hosts
            .hosts
            .iter()
            .filter(|(host, entry)| *host != own && entry.last_heard_ns > MonoNs(0))
            .map(|(_, entry)| entry.last_heard_ns)
            .filter(|last_heard_ns| pause.is_since_resume(*last_heard_ns))
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.get(last_needed).map_or(MonoNs(0), |last_heard_ns| {
            last_heard_ns.plus_ms(FRESHNESS_MS)
        })
    }

    /// Counts the known hosts without this one; `None` until the platform's list is read. The peers
    /// in the settings can't replace the list: a restarted host on the minority side would reach
    /// more than half of so few.
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
