//! Keeps the list of live and leaving hosts, with the past changes that a lagging view needs.

use crate::{ListEntry, TargetGroup};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest lag that the list can serve; older changes are dropped.
const MAX_LAG: Duration = Duration::from_secs(600);

/// An entry as it was from one time on.
#[derive(Clone, Debug)]
struct Change {
    at: Instant,
    entry: ListEntry,
}

/// The list of hosts: the changes of each address, oldest first.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    changes: BTreeMap<SocketAddr, Vec<Change>>,
}

impl HostList {
    /// Records a new or changed entry. An entry that is equal to the last one is ignored.
    pub fn register(&mut self, entry: ListEntry, now: Instant) {
        let changes = self.changes.entry(entry.addr).or_default();
        if changes.last().is_some_and(|last| last.entry == entry) {
            return;
        }
        changes.push(Change { at: now, entry });
        // Keeps one change that is older than the limit, because a lagging view returns it.
        while changes
            .get(1)
            .is_some_and(|next| now.saturating_duration_since(next.at) > MAX_LAG)
        {
            changes.remove(0);
        }
    }

    /// Returns the list as it was `lag` before `now`, with one group per address.
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
