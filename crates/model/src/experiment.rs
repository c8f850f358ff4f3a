//! Configures and runs a simulation.

use crate::simulation::Simulation;
use crate::{Faults, Rules, RunSummary};

/// One step of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A caller sends a new booking through a host.
    Book {
        /// Index of the host.
        via: usize,
        /// Partition of its idempotency key.
        partition: u8,
    },
    /// The caller of a booking resends it through a host.
    Resend {
        /// Number of the booking, from 0.
        booking: usize,
        /// Index of the host.
        via: usize,
    },
    /// A host is killed and does not restart.
    Kill {
        /// Index of the host.
        host: usize,
    },
    /// Nothing happens; the simulation goes on until then.
    Wait,
}

/// Configuration of a simulation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Experiment {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of bookings, one each 50 ms after a start of 15 s.
    pub bookings: usize,
    /// Most times that a caller resends a booking.
    pub resends: usize,
    /// Duration of the lease of a host, in milliseconds.
    pub lease_ms: u64,
    /// Rates of the random faults.
    pub faults: Faults,
    /// Safety rules that are in effect.
    pub rules: Rules,
    /// Steps at true times in milliseconds. With a script there are no other bookings and no
    /// random faults of hosts, and [`RunSummary::transcript`] describes the run.
    pub script: Vec<(u64, Step)>,
}

impl Experiment {
    /// Returns an experiment of 5 hosts with leases of 10 s, in which callers resend a booking up to 6
    /// times.
    #[must_use]
    pub const fn new(seed: u64, bookings: usize, faults: Faults, rules: Rules) -> Self {
        Self {
            seed,
            hosts: 5,
            bookings,
            resends: 6,
            lease_ms: 10_000,
            faults,
            rules,
            script: Vec::new(),
        }
    }

    /// Runs the simulation to its end in virtual time.
    #[must_use]
    pub fn run(self) -> RunSummary {
        Simulation::new(self).run()
    }
}
