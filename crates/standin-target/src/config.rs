//! Defines the settings of one target.

use crate::ServiceTime;
use heatherhinge_types::Name;
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of one target.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    /// Address to listen on; port 0 picks a free one.
    pub addr: SocketAddr,
    /// Name of the service that the target reports.
    pub service: Name,
    /// Availability zone that the target reports.
    pub zone: Name,
    /// Version that the target reports.
    pub version: Name,
    /// Requests that run concurrently when the target is warm.
    pub slots: u32,
    /// Requests that can wait for a slot; more are shed.
    pub queue_len: u32,
    /// Time from a start until the target is warm, in milliseconds. With 0 it starts warm.
    pub warm_ms: u64,
    /// Seed of the service times.
    pub seed: u64,
    /// Service time of paths that match none of `routes`.
    pub service_time: ServiceTime,
    /// Service times by path prefix; the first match applies.
    pub routes: Vec<RouteTime>,
}

/// The service time of paths with a given prefix.
#[derive(Clone, Debug)]
pub struct RouteTime {
    /// Prefix that is compared with the path byte by byte.
    pub prefix: String,
    /// Service time of matching paths.
    pub service_time: ServiceTime,
}

impl TargetConfig {
    /// Creates the settings of a warm target of `service` on a free loopback port.
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

    /// Returns the service time of the first matching route, or the default.
    #[must_use]
    pub fn service_time_of(&self, path: &str) -> ServiceTime {
        self.routes
            .iter()
            .find(|route| path.starts_with(&route.prefix))
            .map_or(self.service_time, |route| route.service_time)
    }

    /// Returns how many requests the target can run concurrently without failing at this uptime.
    ///
    /// The capacity grows linearly from 1 to `slots` over `warm_ms`.
    #[must_use]
    pub fn capacity(&self, uptime_ms: u64) -> u32 {
        if uptime_ms >= self.warm_ms {
            return self.slots;
        }
        let ramped_up = u64::from(self.slots.saturating_sub(1)) * uptime_ms / self.warm_ms;
        1 + u32::try_from(ramped_up).unwrap_or(0)
    }
}
