//! Configures the faults and the safety rules of a simulation.

/// Rates of faults, in thousandths of messages or of seconds, and the error of the clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Messages that are lost.
    pub lost_permille: u32,
    /// Messages between hosts that arrive twice.
    pub duplicated_permille: u32,
    /// Messages that take up to 3 s, so that others overtake them.
    pub slow_permille: u32,
    /// Requests that the target rejects as overloaded.
    pub shed_permille: u32,
    /// Seconds in which a host is killed and restarted after 50 ms, 2 s or 30 s.
    pub kill_permille: u32,
    /// Seconds in which a host stops as planned and then restarts.
    pub stop_permille: u32,
    /// Seconds in which a host pauses for 30 s.
    pub pause_permille: u32,
    /// Requests whose host pauses for 30 s between the check of the claim and the sending.
    pub pause_before_send_permille: u32,
    /// First requests that are sent 30 s after the check of the claim, while the host runs.
    pub late_send_permille: u32,
    /// Seconds in which a network partition splits the hosts into two groups for up to 20 s.
    pub network_partition_permille: u32,
    /// Seconds in which the store goes down for up to 30 s.
    pub outage_permille: u32,
    /// Writes to the store whose response is lost; half of them take effect late.
    pub lost_write_permille: u32,
    /// Largest difference of a wall clock from the true time. Two clocks differ by up to twice that.
    pub clock_error_ms: u64,
}

impl Faults {
    /// Fault profiles by name, one row of the printed table each.
    pub const PROFILES: &[(&'static str, Self)] = &[
        ("no faults", Self::CLOCK_ERROR_ONLY),
        (
            "messages lost, doubled, reordered",
            Self {
                lost_permille: 30,
                duplicated_permille: 100,
                slow_permille: 50,
                shed_permille: 100,
                ..Self::CLOCK_ERROR_ONLY
            },
        ),
        (
            "hosts killed and restarted",
            Self {
                kill_permille: 150,
                ..Self::CLOCK_ERROR_ONLY
            },
        ),
        (
            "planned stops",
            Self {
                stop_permille: 150,
                ..Self::CLOCK_ERROR_ONLY
            },
        ),
        (
            "pauses of 30 s",
            Self {
                pause_permille: 50,
                pause_before_send_permille: 2,
                ..Self::CLOCK_ERROR_ONLY
            },
        ),
        (
            "network partitions",
            Self {
                network_partition_permille: 80,
                ..Self::CLOCK_ERROR_ONLY
            },
        ),
        (
            "store outages",
            Self {
                outage_permille: 40,
                ..Self::CLOCK_ERROR_ONLY
            },
        ),
        (
            "store answers lost or late",
            Self {
                lost_write_permille: 500,
                ..Self::CLOCK_ERROR_ONLY
            },
        ),
        ("everything", Self::EVERYTHING),
    ];

    /// No faults; only the clocks differ, as they may at any time.
    pub const CLOCK_ERROR_ONLY: Self = Self {
        lost_permille: 0,
        duplicated_permille: 0,
        slow_permille: 0,
        shed_permille: 0,
        kill_permille: 0,
        stop_permille: 0,
        pause_permille: 0,
        pause_before_send_permille: 0,
        late_send_permille: 0,
        network_partition_permille: 0,
        outage_permille: 0,
        lost_write_permille: 0,
        clock_error_ms: 250,
    };

    /// Every first request is sent late, and hosts are killed. With at most one resend and without
    /// [`Rules::tenure`], only the not-after time prevents a second run by a late send.
    pub const LATE_SENDS: Self = Self {
        late_send_permille: 1_000,
        kill_permille: 100,
        ..Self::CLOCK_ERROR_ONLY
    };

    /// Hosts are often killed and messages lost, so that keys reach the next tenure within the
    /// difference of the clocks.
    pub const HASTY_RESTARTS: Self = Self {
        kill_permille: 700,
        lost_permille: 200,
        ..Self::CLOCK_ERROR_ONLY
    };

    /// All faults together.
    pub const EVERYTHING: Self = Self {
        lost_permille: 20,
        duplicated_permille: 50,
        slow_permille: 30,
        shed_permille: 50,
        kill_permille: 60,
        stop_permille: 60,
        pause_permille: 20,
        pause_before_send_permille: 2,
        late_send_permille: 2,
        network_partition_permille: 30,
        outage_permille: 15,
        lost_write_permille: 200,
        clock_error_ms: 250,
    };
}

/// The safety rules. A test switches each off to show that the model then detects violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Owners reject keys that were issued before their tenure.
    pub tenure: bool,
    /// The start of the tenure includes a margin of twice the clock error.
    pub clock_margin: bool,
    /// Senders and targets reject requests after the not-after time.
    pub not_after: bool,
    /// A settlement changes the claim of its own attempt only.
    pub attempt_id: bool,
}

impl Rules {
    /// All rules apply.
    pub const ALL: Self = Self {
        tenure: true,
        clock_margin: true,
        not_after: true,
        attempt_id: true,
    };
}
