//! Tracks the tenures of partitions and whether each had a previous owner.

use heatherhinge_blackboard::Blackboard;
use heatherhinge_types::{Now, Partition, WallMs};
use std::collections::{BTreeMap, BTreeSet};

/// One tenure of this or another host.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Tenure {
    is_own: bool,
    epoch: u64,
    from_wall_ms: WallMs,
    has_previous_owner: bool,
    is_valid: bool,
}

/// The tenures of all partitions.
#[derive(Debug, Default)]
pub struct Tenures {
    tenures: BTreeMap<Partition, Tenure>,
}

impl Tenures {
    /// Reads the owners entry and returns the partitions that this host gained or lost.
    pub fn refresh(&mut self, board: &Blackboard, now: Now) -> BTreeSet<Partition> {
        let owners = board.owners.read();
        let mut changed = BTreeSet::new();
        for partition in Partition::all() {
            let Some(owner) = owners.value.owner(partition) else {
                continue;
            };
            let before = self.tenures.get(&partition);
            let is_same = before
                .is_some_and(|b| b.epoch == owner.epoch && b.from_wall_ms == owner.from_wall_ms);
            let tenure = Tenure {
                is_own: owner.host == board.host,
                epoch: owner.epoch,
                from_wall_ms: owner.from_wall_ms,
                has_previous_owner: owner.has_earlier_claims
                    || before.is_some_and(|b| !is_same || b.has_previous_owner),
                is_valid: owners.value.holds(&board.host, partition, now),
            };
            if before != Some(&tenure) {
                if tenure.is_own || before.is_some_and(|b| b.is_own) {
                    changed.insert(partition);
                }
                self.tenures.insert(partition, tenure);
            }
        }
        changed
    }

    /// Returns whether the row last read names this host, whether or not its lease is valid.
    #[must_use]
    pub fn is_own(&self, partition: Partition) -> bool {
        self.tenures.get(&partition).is_some_and(|t| t.is_own)
    }

    /// Returns whether this host owns the partition under a valid lease, in the tenure that was
    /// last read. A tenure that is not yet read counts as not held.
    #[must_use]
    pub fn holds(&self, board: &Blackboard, partition: Partition, now: Now) -> bool {
        self.is_own(partition) && board.owners.read().value.holds(&board.host, partition, now)
    }

    /// Returns whether requests of the previous owner may still be in flight, given the longest
    /// duration of a request in milliseconds. Always false for a partition without a known previous
    /// owner.
    #[must_use]
    pub fn waits(&self, partition: Partition, longest_ms: u64, now: Now) -> bool {
        self.tenures.get(&partition).is_some_and(|t| {
            t.has_previous_owner && now.wall_ms < t.from_wall_ms.plus_ms(longest_ms)
        })
    }
}
