//! Plans which partitions a host takes, and under which conditions.

use crate::rendezvous::rank;
use crate::{HostCondition, HostRow, OwnershipRows, PartitionCondition, PartitionRow, RowWrite};
use heatherhinge_types::{CLOCK_ERROR_MS, MonoNs, Name, Now, Partition};
use std::collections::BTreeMap;

/// Maximum number of parts of one transaction, of which two are checks of host rows.
const MAX_PARTS: usize = 25;

/// A partition that its preferred host leaves unowned for this time is taken by the next host in
/// rank, so that a host that cannot reach the store does not block it.
const RANK_WAIT_MS: u64 = 10_000;

/// Partitions of other hosts are not taken for this time after the start, so that heartbeats of the
/// other hosts arrive first and the first host to start does not take every partition. The same
/// holds after the store could not be reached, so that the others can renew the leases that lapsed
/// meanwhile.
const SETTLE_MS: u64 = 3_000;

/// Ownership of a partition according to the rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerState<'a> {
    /// It never had an owner.
    Free,
    /// The epoch of its owner is over.
    Ended(&'a PartitionRow),
    /// The lease of its owner has lapsed; the owner's epoch has to be ended with the takeover.
    Lapsed(&'a PartitionRow, &'a HostRow),
    /// Its owner's lease is valid, or its end is unknown.
    Owned,
}

impl OwnerState<'_> {
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
    last_disturbance_ns: MonoNs,
    /// Time at which each partition was first seen without a valid owner.
    free_since_ns: BTreeMap<Partition, MonoNs>,
}

impl Takeover {
    pub(crate) const fn new(started: Now) -> Self {
        Self {
            last_disturbance_ns: started.mono_ns,
            free_since_ns: BTreeMap::new(),
        }
    }

    /// Records that the store could not be reached.
    pub(crate) const fn record_outage(&mut self, now: Now) {
        self.last_disturbance_ns = now.mono_ns;
    }

    /// Returns the next transaction, or an empty one if there is nothing to take.
    ///
    /// All partitions of one transaction have the same previous owner, so that at most two host
    /// rows are checked: this host's lease, and the end of the previous owner's epoch.
    pub(crate) fn plan(
        &mut self,
        rows: &OwnershipRows,
        me: &HostRow,
        live: &[Name],
        now: Now,
    ) -> Vec<RowWrite> {
        let mut chosen: Vec<(Partition, OwnerState<'_>)> = Vec::new();
        for partition in Partition::all() {
            let owner_state = owner_state(rows, partition, now);
            if !self.is_due(partition, &owner_state, &me.host, live, now) {
                continue;
            }
            let is_same = chosen
                .first()
                .is_none_or(|(_, first)| first.owner() == owner_state.owner());
            if is_same && chosen.len() < MAX_PARTS - 2 {
                chosen.push((partition, owner_state));
            }
        }
        let Some((_, first)) = chosen.first() else {
            return Vec::new();
        };
        let mut parts = host_checks(first, me);
        parts.extend(
            chosen
                .iter()
                .map(|(partition, owner_state)| partition_write(*partition, owner_state, me, now)),
        );
        parts
    }

    fn is_due(
        &mut self,
        partition: Partition,
        owner_state: &OwnerState<'_>,
        me: &Name,
        live: &[Name],
        now: Now,
    ) -> bool {
        if *owner_state == OwnerState::Owned {
            self.free_since_ns.remove(&partition);
            return false;
        }
        // A restarted host takes the partitions of its own earlier epoch at once.
        if owner_state.owner() == Some(me) {
            return true;
        }
        let since_ns = *self.free_since_ns.entry(partition).or_insert(now.mono_ns);
        let rank = rank(partition, me, live.iter());
        now.mono_ns.ms_since(self.last_disturbance_ns) >= SETTLE_MS
            && now.mono_ns.ms_since(since_ns) >= rank * RANK_WAIT_MS
    }
}

fn owner_state(rows: &OwnershipRows, partition: Partition, now: Now) -> OwnerState<'_> {
    let Some(row) = rows.partitions.get(&partition) else {
        return OwnerState::Free;
    };
    match rows.hosts.get(&row.owner) {
        Some(host) if host.epoch != row.owner_epoch || host.is_ended => OwnerState::Ended(row),
        Some(host) if host.lease_until_wall_ms.plus_ms(CLOCK_ERROR_MS) < now.wall_ms => {
            OwnerState::Lapsed(row, host)
        }
        // Host rows are never deleted; without one the end of the lease is unknown.
        Some(_) | None => OwnerState::Owned,
    }
}

/// Returns the checks of host rows. The transaction takes effect only if this host's lease was not
/// ended meanwhile and the epoch of the previous owner is over. Ending a lapsed epoch in the same
/// transaction makes a late renewal by its owner fail.
fn host_checks(first: &OwnerState<'_>, me: &HostRow) -> Vec<RowWrite> {
    let mut parts = vec![RowWrite::CheckHost {
        host: me.host.clone(),
        condition: HostCondition::Running { epoch: me.epoch },
    }];
    match first {
        OwnerState::Ended(row) if row.owner != me.host => parts.push(RowWrite::CheckHost {
            host: row.owner.clone(),
            condition: HostCondition::Ended {
                epoch: row.owner_epoch,
            },
        }),
        OwnerState::Lapsed(_, host) => parts.push(RowWrite::Host {
            row: HostRow {
                is_ended: true,
                ..(*host).clone()
            },
            condition: HostCondition::unchanged(Some(host)),
        }),
        OwnerState::Ended(_) | OwnerState::Free | OwnerState::Owned => {}
    }
    parts
}

fn partition_write(
    partition: Partition,
    owner_state: &OwnerState<'_>,
    me: &HostRow,
    now: Now,
) -> RowWrite {
    let condition = match owner_state {
        OwnerState::Ended(row) | OwnerState::Lapsed(row, _) => {
            PartitionCondition::Unchanged((*row).clone())
        }
        OwnerState::Free | OwnerState::Owned => PartitionCondition::Absent,
    };
    let row = PartitionRow {
        partition,
        owner: me.host.clone(),
        owner_epoch: me.epoch,
        // The previous owner has stopped granting by now: its lease lapsed, or it closed its claims
        // before it ended its epoch.
        from_wall_ms: now.wall_ms,
    };
    RowWrite::Partition { row, condition }
}
