//! Lists the owners of partitions.

use heatherhinge_types::{CLOCK_ERROR_MS, MonoNs, Name, Now, PARTITION_COUNT, Partition, WallMs};
use std::net::SocketAddr;

/// The owner of one partition, as last read from the table service or received from the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Name of the host.
    pub host: Name,
    /// Address of its peer protocol.
    pub peer_addr: SocketAddr,
    /// Epoch of its lease, which rises with each start of the host.
    pub epoch: u64,
    /// Start of its tenure of this partition. Requests with keys issued earlier may have
    /// run before it.
    pub from_wall_ms: WallMs,
    /// End of its lease.
    pub lease_until_wall_ms: WallMs,
    /// Whether the previous owner handed its claims over, so that claims on older keys can be
    /// decided.
    pub has_earlier_claims: bool,
}

/// All owners, and this host's own lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerTable {
    owners: Vec<Option<Owner>>,
    /// End of this host's lease by its monotonic clock, which changes of the wall clock do not
    /// affect; 0 without a lease.
    pub own_lease_until_ns: MonoNs,
    /// End of this host's lease by the wall clock; 0 without a lease.
    pub own_lease_until_wall_ms: WallMs,
}

impl Default for OwnerTable {
    fn default() -> Self {
        Self {
            owners: vec![None; PARTITION_COUNT],
            own_lease_until_ns: MonoNs(0),
            own_lease_until_wall_ms: WallMs(0),
        }
    }
}

impl OwnerTable {
    /// Returns the owner of a partition, whether or not its lease is still valid.
    #[must_use]
    pub fn owner(&self, partition: Partition) -> Option<&Owner> {
        self.owners
            .get(usize::from(partition.0))
            .and_then(Option::as_ref)
    }

    /// Sets the owner of a partition.
    pub fn set(&mut self, partition: Partition, owner: Option<Owner>) {
        if let Some(slot) = self.owners.get_mut(usize::from(partition.0)) {
            *slot = owner;
        }
    }

    /// Returns whether `host`, which must be this host, owns the partition and its lease is valid by
    /// both of its clocks.
    #[must_use]
    pub fn holds(&self, host: &Name, partition: Partition, now: Now) -> bool {
        self.lease_valid(now)
            && self
                .owner(partition)
                .is_some_and(|owner| owner.host == *host)
    }

    /// Returns whether this host's own lease is valid for longer than the clock error.
    #[must_use]
    pub fn lease_valid(&self, now: Now) -> bool {
        now.wall_ms.plus_ms(CLOCK_ERROR_MS) < self.own_lease_until_wall_ms
            && now.mono_ns.plus_ms(CLOCK_ERROR_MS) < self.own_lease_until_ns
    }

    /// Returns the epoch of a host's lease from the partitions that it owns, or 0 if it owns none.
    #[must_use]
    pub fn epoch(&self, host: &Name) -> u64 {
        let own = self
            .owners
            .iter()
            .flatten()
            .filter(|owner| owner.host == *host);
        own.map(|owner| owner.epoch).max().unwrap_or(0)
    }

    /// Returns the number of partitions that a host owns.
    #[must_use]
    pub fn count(&self, host: &Name) -> usize {
        self.owners
            .iter()
            .flatten()
            .filter(|owner| owner.host == *host)
            .count()
    }
}
