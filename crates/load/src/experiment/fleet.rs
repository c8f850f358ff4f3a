//! Fleet sizes used in the experiments.

/// Numbers of targets and hosts, and network latencies, of one fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Name of the fleet, used in reports.
    pub name: &'static str,
    /// Targets of the service.
    pub targets: usize,
    /// Requests that one target runs concurrently.
    pub slots: u32,
    /// Entry hosts.
    pub hosts: usize,
    /// Availability zones; hosts and targets are assigned to them in turn.
    pub zones: usize,
    /// One-way latency between two zones, in microseconds.
    pub between_zones_us: u64,
}

/// One-way latency within a zone, in microseconds, with one switch in between.
const WITHIN_ZONE_US: u64 = 100;

impl Fleet {
    /// Vatuwaqa's Orders service.
    pub const VATUWAQA: Self = Self {
        name: "vatuwaqa",
        targets: 25,
        slots: 5,
        hosts: 16,
        zones: 3,
        between_zones_us: 1_000,
    };

    /// Kozhikode's Booking service.
    pub const KOZHIKODE: Self = Self {
        name: "kozhikode",
        targets: 30,
        slots: 4,
        hosts: 16,
        zones: 4,
        between_zones_us: 500,
    };

    /// Returns the one-way latency between a host and a target, in nanoseconds.
    #[must_use]
    pub const fn one_way_ns(&self, host: usize, target: usize) -> u64 {
        if host % self.zones == target % self.zones {
            WITHIN_ZONE_US * 1_000
        } else {
            self.between_zones_us * 1_000
        }
    }
}
