//! What a host is told at its start.

use heatherhinge_steering::BudgetLimits;
use heatherhinge_types::Name;
use std::net::SocketAddr;

/// Settings of an entry host on a platform.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for readiness checks.
    pub readiness_addr: SocketAddr,
    /// Address for callers that ask which addresses to use.
    pub directory_addr: SocketAddr,
    /// Address for other hosts.
    pub peer_addr: SocketAddr,
    /// Address for metrics.
    pub metrics_addr: SocketAddr,
    /// Addresses of some other hosts; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Whether all hosts start for the first time, so that no callers wait.
    pub is_first_start: bool,
    /// Budget for sending requests once more.
    pub budget: BudgetLimits,
    /// Load probes that one target may get each second from all hosts together.
    pub probes_per_s: u64,
    /// Processor share of the host in thousandths of a core.
    pub capacity_milli: u32,
    /// Bandwidth of the host's link in megabits a second.
    pub link_mbps: u32,
    /// Time after which a target that is known to leave gets no new request, in milliseconds.
    pub leave_ms: u64,
    /// Time between the signal to stop and the kill, in milliseconds.
    pub grace_ms: u64,
}
