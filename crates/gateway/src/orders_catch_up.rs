//! Tracks newer orders that other hosts have until this host has them too.

use heatherhinge_types::MonoNs;
use std::net::SocketAddr;

/// Which host has newer orders, and whether they are being requested. Only one exchange at a time
/// may request orders, because they can be large and several hosts may send the same ones.
#[derive(Debug, Default)]
pub(crate) struct OrdersCatchUp {
    is_asking: bool,
    newer_host: Option<SocketAddr>,
    behind_since: Option<MonoNs>,
}

impl OrdersCatchUp {
    /// Records that a host has newer orders.
    pub(crate) fn note_newer(&mut self, addr: SocketAddr, now: MonoNs) {
        self.behind_since = self.behind_since.or(Some(now));
        self.newer_host = Some(addr);
    }

    /// Records that newer orders have arrived.
    pub(crate) fn caught_up(&mut self) {
        self.behind_since = None;
        self.newer_host = None;
    }

    /// Returns the host to request orders from now; `None` while a request is under way.
    pub(crate) fn next(&mut self) -> Option<SocketAddr> {
        if self.is_asking {
            return None;
        }
        self.newer_host.take()
    }

    /// Records the start of an exchange and returns whether it may request orders.
    pub(crate) fn begin(&mut self, has_orders: bool) -> bool {
        let may_bring = !self.is_asking || !has_orders;
        self.is_asking = true;
        may_bring
    }

    /// Records the end of an exchange that requested orders.
    pub(crate) fn record_end(&mut self) {
        self.is_asking = false;
    }

    /// Returns for how long another host has had newer orders, in milliseconds; 0 if none has.
    pub(crate) fn behind_ms(&self, now: MonoNs) -> u64 {
        self.behind_since.map_or(0, |since| now.ms_since(since))
    }
}
