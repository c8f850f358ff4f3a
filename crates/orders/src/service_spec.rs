//! Settings of a service in a configuration.

use heatherhinge_types::Name;

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Name,
    /// Path of the health check.
    pub health_path: Name,
    /// Connection limit of one target, for all entry hosts together.
    pub max_connections: u32,
    /// Time that a target stays cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// Rate limit of a cold target, in thousandths of a request per second.
    pub cold_milli_per_s: u64,
}
