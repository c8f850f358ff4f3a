//! One run of the model.

use crate::simulation::Simulation;
use crate::{Faults, Rules, RunSummary};

/// One step of a scripted session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A caller makes a booking through a host.
    Book {
        /// Index of the host.
        via: usize,
        /// Partition of the key.
        partition: u8,
    },
    /// The caller of a booking sends it again through a host.
    Resend {
        /// Number of the booking.
        booking: usize,
        /// Index of the host.
        via: usize,
    },
    /// A host is killed and stays down.
    Kill {
        /// Index of the host.
        host: usize,
    },
    /// Nothing happens but that the session goes on until then.
    Wait,
}

/// What is run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Experiment {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of bookings, one each 50 ms after a start of 15 s.
    pub bookings: usize,
    /// Most times that a caller sends a booking again.
    pub resends: usize,
    /// Length of the lease in milliseconds.
    pub lease_ms: u64,
    /// Faults.
    pub faults: Faults,
    /// Rules.
    pub rules: Rules,
    /// Steps at true times in milliseconds. With a script there are no other bookings and no
    /// random faults of hosts, and the session is told in sentences.
    pub script: Vec<(u64, Step)>,
}

impl Experiment {
    /// Makes an experiment of 5 hosts with 10 s leases, in which callers send up to 6 times again.
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

    /// Runs the experiment.
    #[must_use]
    pub fn run(self) -> RunSummary {
        Simulation::new(self).run()
    }
}
