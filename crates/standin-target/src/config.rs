//! Settings of one target.

use crate::ServiceTime;
use heatherhinge_types::Name;
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of one target.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    /// Address to listen on; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Name of the service.
    pub service: Name,
    /// Availability zone.
    pub zone: Name,
    /// Version that the target claims to run.
    pub version: Name,
    /// Requests that run at once when the target is warm.
    pub slots: u32,
    /// Requests that wait for a slot; more are shed.
    pub queue_len: u32,
    /// Time from a start until the target is warm, in milliseconds. With 0 it starts warm.
    pub warm_ms: u64,
    /// Seed of the service times.
    pub seed: u64,
    /// Service time of routes that have none of their own.
    pub service_time: ServiceTime,
    /// Service times by path prefix; the first match is taken.
    pub routes: Vec<RouteTime>,
}

/// Service time of the paths with a prefix.
#[derive(Clone, Debug)]
pub struct RouteTime {
    /// Prefix of the path.
    pub prefix: String,
    /// Service time.
    pub service_time: ServiceTime,
}

impl TargetConfig {
    /// Makes the settings of a warm target of `service` on a free loopback port.
    #[must_use]
    pub fn new(service: &str) -> Self {
        Self {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            service: Name::new(service),
            zone: Name::new("zone-1"),
            version: Name::new("v1"),
            slots: 5,
            queue_len: 5,
            warm_ms: 0,
            seed: 1,
            service_time: ServiceTime::default(),
            routes: Vec::new(),
        }
    }

    /// Returns the service time of a path.
    #[must_use]
    pub fn service_time_of(&self, path: &str) -> ServiceTime {
        self.routes
            .iter()
            .find(|route| path.starts_with(&route.prefix))
            .map_or(self.service_time, |route| route.service_time)
    }

    /// Returns how many requests the target can run at once without failing, at this uptime.
    ///
    /// The capacity grows evenly from 1 to `slots` over `warm_ms`.
    #[must_use]
    pub fn capacity(&self, uptime_ms: u64) -> u32 {
        if uptime_ms >= self.warm_ms {
            return self.slots;
        }
        let grown = u64::from(self.slots.saturating_sub(1)) * uptime_ms / self.warm_ms;
        1 + u32::try_from(grown).unwrap_or(0)
    }
}
