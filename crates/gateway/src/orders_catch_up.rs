//! Follows up newer orders that another host has.

use heatherhinge_types::MonoNs;
use std::net::SocketAddr;

/// Which host has newer orders, and whether one is being asked. Only one exchange at a time may
/// bring orders, because they can be large and several hosts may have the same ones.
#[derive(Debug, Default)]
pub(crate) struct OrdersCatchUp {
    is_asking: bool,
    newer_at: Option<SocketAddr>,
    behind_since: Option<MonoNs>,
}

impl OrdersCatchUp {
    /// Takes in that a host has newer orders.
    pub(crate) fn note_newer(&mut self, addr: SocketAddr, now: MonoNs) {
        self.behind_since = self.behind_since.or(Some(now));
        self.newer_at = Some(addr);
    }

    /// Takes in that orders have arrived.
    pub(crate) fn caught_up(&mut self) {
        self.behind_since = None;
        self.newer_at = None;
    }

    /// Returns the host to ask now, if there is one and none is being asked.
    pub(crate) fn next(&mut self) -> Option<SocketAddr> {
        if self.is_asking {
            return None;
        }
        self.newer_at.take()
    }

    /// Begins an exchange and returns whether it may bring orders.
    pub(crate) fn begin(&mut self, has_orders: bool) -> bool {
        let may_bring = !self.is_asking || !has_orders;
        self.is_asking = true;
        may_bring
    }

    /// Takes in that an exchange that could bring orders has ended.
    pub(crate) fn ended(&mut self) {
        self.is_asking = false;
    }

    /// Returns for how long another host is known to have newer orders, in milliseconds.
    pub(crate) fn behind_ms(&self, now: MonoNs) -> u64 {
        self.behind_since.map_or(0, |since| now.ms_since(since))
    }
}
