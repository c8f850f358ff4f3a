//! Size of a fleet.

use serde::Serialize;

/// How large the fleet is that a measurement is taken for.
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
    /// The design size, with the number of entry hosts that `docs/design.md` works with.
    pub const DESIGN: Self = Self {
        hosts: 190,
        targets: 5_000,
        services: 290,
    };

    /// Hosts of the sweeps over targets and services. What these cost a host depends little on the
    /// number of hosts, and a fleet of 190 takes minutes.
    const FEW_HOSTS: usize = 19;

    /// Returns the sizes of one sweep over each dimension; the other two stay at `base`, but for
    /// the hosts, of which there are few where they are not varied.
    #[must_use]
    pub fn sweeps(base: Self) -> Vec<(&'static str, Vec<Self>)> {
        let hosts = [5, 19, 50, 100, 190].map(|hosts| Self { hosts, ..base });
        let few = Self {
            hosts: Self::FEW_HOSTS,
            ..base
        };
        let targets = [300, 1_000, 2_500, 5_000].map(|targets| Self { targets, ..few });
        let services = [4, 40, 145, 290].map(|services| Self { services, ..few });
        vec![
            ("host", hosts.to_vec()),
            ("target", targets.to_vec()),
            ("service", services.to_vec()),
        ]
    }
}
