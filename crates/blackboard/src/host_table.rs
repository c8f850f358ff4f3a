//! Lists the entry hosts known to this host.

use crate::HostRecord;
use heatherhinge_types::{MonoNs, Name};
use std::collections::BTreeMap;
use std::sync::Arc;

/// One entry host as seen from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// The newest record of the host.
    pub record: Arc<HostRecord>,
    /// Time up to which the host is known to have been alive, from its responses and heartbeats,
    /// direct or relayed; 0 if unknown since the start or the last pause of this host.
    pub last_heard_ns: MonoNs,
    /// Whether a response or heartbeat arrived recently enough for the host to be used.
    pub is_live: bool,
}

/// Entry hosts by name, this host included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostTable {
    /// Hosts by name.
    pub hosts: BTreeMap<Name, HostEntry>,
}

impl HostTable {
    /// Returns the live hosts in the order of their names.
    pub fn live(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values().filter(|host| host.is_live)
    }
}
