//! Which faults occur, and which rules apply.

/// Rates of faults. Rates are in thousandths, of messages or of seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Messages that are lost.
    pub lost_permille: u32,
    /// Messages between hosts that arrive twice.
    pub duplicated_permille: u32,
    /// Messages that take up to 3 s and so overtake others.
    pub slow_permille: u32,
    /// Requests that the target sheds.
    pub shed_permille: u32,
    /// Seconds in which a host is killed and started again after 50 ms, 2 s or 30 s.
    pub kill_permille: u32,
    /// Seconds in which a host stops as planned and starts again.
    pub stop_permille: u32,
    /// Seconds in which a host pauses for 30 s.
    pub pause_permille: u32,
    /// Requests whose host pauses for 30 s between the check of the claim and the sending.
    pub pause_before_send_permille: u32,
    /// First requests that are sent 30 s after the check of the claim, while the host goes on.
    pub late_send_permille: u32,
    /// Seconds in which the hosts are cut into two groups for up to 20 s.
    pub network_partition_permille: u32,
    /// Seconds in which the store goes down for up to 30 s.
    pub outage_permille: u32,
    /// Writes to the store whose answer is lost; half of them take effect late.
    pub lost_write_permille: u32,
    /// Largest difference of a wall clock from the true time. Two clocks differ by twice as much.
    pub clock_error_ms: u64,
}

impl Faults {
    /// The fault profiles that are measured, by name.
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

    /// Only the clocks differ, as they always may.
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

    /// Every first request is sent late, and hosts are killed. Callers send once more at most, so
    /// that only the not-after time stands between a late send and a second run once the rule on
    /// the tenure is off.
    pub const LATE_SENDS: Self = Self {
        late_send_permille: 1_000,
        kill_permille: 100,
        ..Self::CLOCK_ERROR_ONLY
    };

    /// Hosts are often killed and answers lost, so that keys reach the next tenure within the
    /// difference of the clocks.
    pub const HASTY_RESTARTS: Self = Self {
        kill_permille: 700,
        lost_permille: 200,
        ..Self::CLOCK_ERROR_ONLY
    };

    /// All faults at once.
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

/// The safety rules. Each can be switched off to show that the model notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Keys issued before the tenure are refused.
    pub tenure: bool,
    /// Twice the clock error is added to the start of the tenure.
    pub clock_margin: bool,
    /// Senders and targets honour the not-after time.
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
