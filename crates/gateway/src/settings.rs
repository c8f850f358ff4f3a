//! Holds the settings of an entry host and applies reloads.

use heatherhinge_steering::{BudgetLimits, HeartbeatId, HostStage, HostState};
use heatherhinge_types::{Digest, Name};
use std::net::SocketAddr;

/// Settings of an entry host on a platform.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host, unique in the fleet.
    pub host: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for readiness checks.
    pub readiness_addr: SocketAddr,
    /// Address of the directory, where callers look up the addresses of entry hosts.
    pub directory_addr: SocketAddr,
    /// Address for exchanges with other hosts.
    pub peer_addr: SocketAddr,
    /// Address that serves the metrics.
    pub metrics_addr: SocketAddr,
    /// Addresses of some other hosts; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that no callers are waiting yet.
    pub is_first_start: bool,
    /// Limits of the retry budget of each service.
    pub budget: BudgetLimits,
    /// Load probes per second that one target may get from all hosts together.
    pub probes_per_s: u64,
    /// CPU share of the host in thousandths of a core.
    pub capacity_milli: u32,
    /// Bandwidth of the host's link in megabits per second.
    pub link_mbps: u32,
    /// Time within which all hosts must stop sending requests to a leaving target, in milliseconds.
    pub leave_ms: u64,
    /// Time between SIGTERM and the kill of the process, in milliseconds.
    pub grace_ms: u64,
}

/// Which settings a reload has changed, by the names of their fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Reloaded {
    /// Settings that changed and are in force now.
    pub(crate) changed: Vec<&'static str>,
    /// Settings that changed and need a restart.
    pub(crate) needs_restart: Vec<&'static str>,
}

impl GatewaySettings {
    /// Returns the initial state of this host.
    pub(crate) fn host_state(&self, id: HeartbeatId) -> HostState {
        HostState {
            host: self.host.clone(),
            id,
            revision: 0,
            caller_addr: self.caller_addr,
            peer_addr: self.peer_addr,
            zone: self.zone.clone(),
            stage: HostStage::Starting,
            is_settled: false,
            requests_per_s: 0,
            capacity_milli: self.capacity_milli,
            link_mbps: self.link_mbps,
            moves: Vec::new(),
            past_moves: Vec::new(),
            crashes: Vec::new(),
            served: Vec::new(),
        }
    }

    /// Returns the address of another seed, a different one each turn; `None` without other seeds.
    /// Seeds read the store first. Each host asks one seed at a time, because a hundred hosts that
    /// start at once would otherwise use up the CPU time of the seeds.
    pub(crate) fn seed_in_turn(&self, turn: u64) -> Option<SocketAddr> {
        let others = || self.seeds.iter().filter(|seed| **seed != self.peer_addr);
        let count = others().count() as u64;
        // The offset lets hosts begin with different seeds.
        let offset = Digest::of(self.host.as_bytes()).0 as u64;
        let place = turn.wrapping_add(offset).checked_rem(count)?;
        others().nth(usize::try_from(place).ok()?).copied()
    }

    /// Applies the settings that may change while the host runs. Names and addresses may not: other
    /// hosts use them, and listeners are bound to them.
    pub(crate) fn reload(&mut self, new: Self) -> Reloaded {
        let mut reloaded = Reloaded::default();
        macro_rules! fixed {
            ($($field:ident),*) => {$(
                if self.$field != new.$field {
                    reloaded.needs_restart.push(stringify!($field));
                }
            )*};
        }
        macro_rules! adopted {
            ($($field:ident),*) => {$(
                if self.$field != new.$field {
                    self.$field = new.$field;
                    reloaded.changed.push(stringify!($field));
                }
            )*};
        }
        fixed!(
            host,
            zone,
            caller_addr,
            readiness_addr,
            directory_addr,
            peer_addr,
            metrics_addr
        );
        adopted!(
            seeds,
            is_first_start,
            budget,
            probes_per_s,
            capacity_milli,
            link_mbps,
            leave_ms,
            grace_ms
        );
        reloaded
    }
}

#[cfg(test)]
#[path = "../tests/unit/settings.rs"]
mod tests;
