//! The list of live and leaving hosts, with the changes that a lagging view needs.

use crate::{ListEntry, TargetGroup};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest lag that the list can serve; older changes are forgotten.
const LAG_LIMIT: Duration = Duration::from_secs(600);

/// One change of one entry.
#[derive(Clone, Debug)]
struct Change {
    at: Instant,
    entry: ListEntry,
}

/// Changes of the list by address, oldest first.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    changes: BTreeMap<SocketAddr, Vec<Change>>,
}

impl HostList {
    /// Takes in a registration or a change.
    pub fn register(&mut self, entry: ListEntry, now: Instant) {
        let changes = self.changes.entry(entry.addr).or_default();
        if changes.last().is_some_and(|last| last.entry == entry) {
            return;
        }
        changes.push(Change { at: now, entry });
        // One change older than the limit stays, because it is what a lagging view shows.
        while changes
            .get(1)
            .is_some_and(|next| now.saturating_duration_since(next.at) > LAG_LIMIT)
        {
            changes.remove(0);
        }
    }

    /// Returns the list as it was `lag` ago, with one group for each address.
    #[must_use]
    pub fn view(&self, lag: Duration, now: Instant) -> Vec<TargetGroup> {
        self.changes
            .values()
            .filter_map(|changes| {
                changes
                    .iter()
                    .rfind(|change| now.saturating_duration_since(change.at) >= lag)
            })
            .filter(|change| !change.entry.is_gone)
            .map(|change| change.entry.to_group())
            .collect()
    }
}
