//! Ranks hosts as owners of a partition by rendezvous hashing.

use heatherhinge_types::{Digest, Name, Partition};
use std::cmp::Reverse;

/// Returns the host that rendezvous hashing ranks first for a partition.
///
/// Every host computes the same order from the same set, and the loss of a host moves only the
/// partitions of that host.
pub(crate) fn preferred<'a>(
    partition: Partition,
    hosts: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    hosts.max_by_key(|host| weight(partition, host))
}

/// Returns how many of the hosts rank before `host`.
pub(crate) fn rank<'a>(
    partition: Partition,
    host: &Name,
    hosts: impl Iterator<Item = &'a Name>,
) -> u64 {
    let own = weight(partition, host);
    hosts
        .map(|other| u64::from(weight(partition, other) > own))
        .sum()
}

fn weight(partition: Partition, host: &Name) -> (Digest, Reverse<&Name>) {
    let digest = Digest::of_parts(&[&[partition.0], host.as_bytes()]);
    (digest, Reverse(host))
}
