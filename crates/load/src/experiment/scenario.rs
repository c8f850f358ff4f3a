//! Defines the load and the fault of a case.

/// A fault of the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Each target is three times slower for 200 ms on average, with 800 ms in between on average.
    NoisyNeighbours,
    /// Every fifth target is ten times slower in the middle half of the run.
    SlowDown,
    /// Every twelfth target responds with 500 at once in the middle half of the run.
    FailFast,
    /// Every fifth target always reports that it is idle.
    LyingReports,
    /// All targets report the load of 500 ms ago.
    LaggingReports,
    /// Every second target runs requests and then fails them, in the middle third of the run.
    Outage,
}

/// One scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Name used in reports.
    pub name: &'static str,
    /// Arrival rate as a share of the capacity of all slots, in thousandths.
    pub load_permille: u64,
    /// Fault of the targets.
    pub fault: Fault,
    /// Virtual time in nanoseconds during which requests arrive.
    pub duration_ns: u64,
}

impl Scenario {
    /// Makes a scenario.
    #[must_use]
    pub const fn new(
        name: &'static str,
        load_permille: u64,
        fault: Fault,
        duration_s: u64,
    ) -> Self {
        Self {
            name,
            load_permille,
            fault,
            duration_ns: duration_s * 1_000_000_000,
        }
    }

    /// Returns the scenarios of the policy experiment.
    #[must_use]
    pub const fn for_policies(duration_s: u64) -> [Self; 8] {
        [
            Self::new("steady 50%", 500, Fault::None, duration_s),
            Self::new("steady 70%", 700, Fault::None, duration_s),
            Self::new("steady 85%", 850, Fault::None, duration_s),
            Self::new("noisy 70%", 700, Fault::NoisyNeighbours, duration_s),
            Self::new("slow-down 50%", 500, Fault::SlowDown, duration_s),
            Self::new("fail-fast 70%", 700, Fault::FailFast, duration_s),
            Self::new("lying 70%", 700, Fault::LyingReports, duration_s),
            Self::new("lagging 70%", 700, Fault::LaggingReports, duration_s),
        ]
    }

    /// Returns the times at which the fault begins and ends, in nanoseconds.
    #[must_use]
    pub const fn fault_span_ns(&self) -> (u64, u64) {
        match self.fault {
            Fault::SlowDown | Fault::FailFast => (self.duration_ns / 4, self.duration_ns / 4 * 3),
            Fault::Outage => (self.duration_ns / 3, self.duration_ns / 3 * 2),
            _ => (0, self.duration_ns),
        }
    }

    /// Returns whether the fault applies to a target.
    #[must_use]
    pub const fn affects(&self, target: usize) -> bool {
        match self.fault {
            Fault::None => false,
            Fault::NoisyNeighbours | Fault::LaggingReports => true,
            Fault::SlowDown | Fault::LyingReports => target.is_multiple_of(5),
            Fault::FailFast => target.is_multiple_of(12),
            Fault::Outage => target.is_multiple_of(2),
        }
    }
}
