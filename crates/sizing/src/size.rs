//! Defines the size of a fleet and the sizes of the sweeps.

use serde::Serialize;

/// The size of the fleet in a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Entry hosts.
    pub hosts: usize,
    /// Targets of all services together.
    pub targets: usize,
    /// Services.
    pub services: usize,
}

impl Size {
    /// The design size, with the number of entry hosts from `docs/design.md`.
    pub const DESIGN: Self = Self {
        hosts: 190,
        targets: 5_000,
        services: 290,
    };

    /// Hosts in the sweeps over targets and services. Their cost on one host depends little on the
    /// number of hosts, and a measurement with 190 hosts takes minutes.
    const FEW_HOSTS: usize = 19;

    /// Returns the dimensions and their sizes, from small to large. The other two dimensions stay
    /// at `base`, except that the sweeps over targets and services use few hosts.
    #[must_use]
    pub fn sweeps(base: Self) -> Vec<(&'static str, Vec<Self>)> {
        let hosts = [5, 19, 50, 100, 190].map(|hosts| Self { hosts, ..base });
        let few_hosts = Self {
            hosts: Self::FEW_HOSTS,
            ..base
        };
        let targets = [300, 1_000, 2_500, 5_000].map(|targets| Self {
            targets,
            ..few_hosts
        });
        let services = [4, 40, 145, 290].map(|services| Self {
            services,
            ..few_hosts
        });
        vec![
            ("host", hosts.to_vec()),
            ("target", targets.to_vec()),
            ("service", services.to_vec()),
        ]
    }
}
