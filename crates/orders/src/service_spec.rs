//! What a configuration says of a service.

use heatherhinge_types::Name;

/// A service as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Name,
    /// Path of the health check.
    pub health_path: Name,
    /// Most connections to one target from all entry hosts together.
    pub max_connections: u32,
    /// Time that a target stays cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// Requests for each second that a cold target bears, in thousandths.
    pub cold_milli_per_s: u64,
}
