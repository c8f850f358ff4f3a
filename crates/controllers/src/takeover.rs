//! Which partitions a host takes, and with what conditions.

use crate::rendezvous::rank;
use crate::{HostCondition, HostRow, OwnershipRows, PartitionCondition, PartitionRow, RowWrite};
use heatherhinge_types::{CLOCK_ERROR_MS, MonoNs, Name, Now, Partition};
use std::collections::BTreeMap;

/// Most parts of one transaction, of which two are checks of host rows.
const MAX_PARTS: usize = 25;

/// A partition that its preferred host leaves free this long is taken by the next in rank, so
/// that a host without a store does not hold it back.
const RANK_WAIT_MS: u64 = 10_000;

/// Partitions of others are left alone this long after the start, so that the other hosts are
/// heard first and the first host to start does not take every partition. The same holds after
/// the store could not be reached, so that the others can renew the leases that lapsed meanwhile.
const STEADY_MS: u64 = 3_000;

/// Who owns a partition, as far as the rows tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing<'a> {
    /// Nobody ever owned it.
    Free,
    /// The epoch of its owner is over.
    Ended(&'a PartitionRow),
    /// The lease of its owner has lapsed; the owner's epoch has to be ended with the takeover.
    Lapsed(&'a PartitionRow, &'a HostRow),
    /// It is owned.
    Owned,
}

impl Standing<'_> {
    fn owner(&self) -> Option<&Name> {
        match self {
            Self::Free | Self::Owned => None,
            Self::Ended(row) | Self::Lapsed(row, _) => Some(&row.owner),
        }
    }
}

/// Plans takeovers, one transaction at a time.
#[derive(Debug)]
pub(crate) struct Takeover {
    /// Start of the process, or the last time that the store could not be reached.
    steady_since_ns: MonoNs,
    /// Since when each partition has been seen free to take.
    free_since_ns: BTreeMap<Partition, MonoNs>,
}

impl Takeover {
    pub(crate) const fn new(started: Now) -> Self {
        Self {
            steady_since_ns: started.mono_ns,
            free_since_ns: BTreeMap::new(),
        }
    }

    /// Takes in that the store could not be reached.
    pub(crate) const fn note_outage(&mut self, now: Now) {
        self.steady_since_ns = now.mono_ns;
    }

    /// Returns the next transaction, or an empty one if there is nothing to take.
    ///
    /// The partitions of one transaction have the same owner before, so that at most two host
    /// rows are checked: the own lease, and the end of the owner's epoch.
    pub(crate) fn plan(
        &mut self,
        rows: &OwnershipRows,
        me: &HostRow,
        live: &[Name],
        now: Now,
    ) -> Vec<RowWrite> {
        let mut chosen: Vec<(Partition, Standing<'_>)> = Vec::new();
        for partition in Partition::all() {
            let standing = standing(rows, partition, now);
            if !self.is_due(partition, &standing, &me.host, live, now) {
                continue;
            }
            let is_same = chosen
                .first()
                .is_none_or(|(_, first)| first.owner() == standing.owner());
            if is_same && chosen.len() < MAX_PARTS - 2 {
                chosen.push((partition, standing));
            }
        }
        let Some((_, first)) = chosen.first() else {
            return Vec::new();
        };
        let mut parts = checks(first, me);
        parts.extend(
            chosen
                .iter()
                .map(|(partition, standing)| take(*partition, standing, me, now)),
        );
        parts
    }

    fn is_due(
        &mut self,
        partition: Partition,
        standing: &Standing<'_>,
        me: &Name,
        live: &[Name],
        now: Now,
    ) -> bool {
        if *standing == Standing::Owned {
            self.free_since_ns.remove(&partition);
            return false;
        }
        // A restarted host takes what its own earlier epoch owned at once.
        if standing.owner() == Some(me) {
            return true;
        }
        let since_ns = *self.free_since_ns.entry(partition).or_insert(now.mono_ns);
        let rank = rank(partition, me, live.iter());
        now.mono_ns.ms_since(self.steady_since_ns) >= STEADY_MS
            && now.mono_ns.ms_since(since_ns) >= rank * RANK_WAIT_MS
    }
}

fn standing(rows: &OwnershipRows, partition: Partition, now: Now) -> Standing<'_> {
    let Some(row) = rows.partitions.get(&partition) else {
        return Standing::Free;
    };
    match rows.hosts.get(&row.owner) {
        Some(host) if host.epoch != row.owner_epoch || host.is_ended => Standing::Ended(row),
        Some(host) if host.lease_until_wall_ms.plus_ms(CLOCK_ERROR_MS) < now.wall_ms => {
            Standing::Lapsed(row, host)
        }
        // Host rows are never deleted; without one there is no knowing when the lease ends.
        Some(_) | None => Standing::Owned,
    }
}

/// The transaction takes effect only if this host's lease was not ended meanwhile and the epoch
/// of the owner before is over. Ending a lapsed epoch in the same transaction makes a late
/// renewal by its owner fail.
fn checks(first: &Standing<'_>, me: &HostRow) -> Vec<RowWrite> {
    let mut parts = vec![RowWrite::CheckHost {
        host: me.host.clone(),
        condition: HostCondition::Running { epoch: me.epoch },
    }];
    match first {
        Standing::Ended(row) if row.owner != me.host => parts.push(RowWrite::CheckHost {
            host: row.owner.clone(),
            condition: HostCondition::Ended {
                epoch: row.owner_epoch,
            },
        }),
        Standing::Lapsed(_, host) => parts.push(RowWrite::Host {
            row: HostRow {
                is_ended: true,
                ..(*host).clone()
            },
            condition: HostCondition::unchanged(Some(host)),
        }),
        Standing::Ended(_) | Standing::Free | Standing::Owned => {}
    }
    parts
}

fn take(partition: Partition, standing: &Standing<'_>, me: &HostRow, now: Now) -> RowWrite {
    let condition = match standing {
        Standing::Ended(row) | Standing::Lapsed(row, _) => {
            PartitionCondition::Unchanged((*row).clone())
        }
        Standing::Free | Standing::Owned => PartitionCondition::Absent,
    };
    let row = PartitionRow {
        partition,
        owner: me.host.clone(),
        owner_epoch: me.epoch,
        // By now the owner before has stopped granting: its lease lapsed, or it closed its claims
        // before it ended its epoch.
        from_wall_ms: now.wall_ms,
    };
    RowWrite::Partition { row, condition }
}
