//! How fast one host may send to a target that bears few requests.

use crate::RateLimit;

/// Hosts that feed a rate-limited target at least. With fewer, some hosts of a fleet in which most
/// targets are limited would have no target at all.
pub(crate) const MIN_FEEDERS: usize = 3;
/// Rate that each further feeder must add, in thousandths of a request per second. Each feeder may
/// send one request at once, so many feeders of a small limit would exceed it together.
const MILLI_PER_FURTHER_FEEDER: u64 = 2_000;

/// When a host may send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Whenever the target has room.
    Free,
    /// At most one request in this time, in nanoseconds.
    Interval(u64),
    /// Not at all.
    Never,
}

impl Pace {
    /// Returns the pace of a cold target, which only the first host by rank may send to.
    /// `interval_ns` is `u64::MAX` if it takes no requests.
    pub(crate) fn cold(interval_ns: u64, feeder_rank: Option<usize>) -> Self {
        if feeder_rank == Some(0) && interval_ns < u64::MAX {
            Self::Interval(interval_ns)
        } else {
            Self::Never
        }
    }

    /// Returns the pace of a rate-limited target, whose first hosts by rank share its limit evenly.
    pub(crate) fn limited(limit: RateLimit, feeder_rank: Option<usize>, hosts: usize) -> Self {
        let affordable = limit.milli_per_s / MILLI_PER_FURTHER_FEEDER;
        let feeders = usize::try_from(affordable).unwrap_or(usize::MAX);
        let feeders = feeders.max(MIN_FEEDERS).min(hosts.max(1));
        let share = limit.milli_per_s / u64::try_from(feeders).unwrap_or(u64::MAX);
        match 1_000_000_000_000_u64.checked_div(share) {
            Some(interval_ns) if feeder_rank.is_some_and(|rank| rank < feeders) => {
                Self::Interval(interval_ns)
            }
            _ => Self::Never,
        }
    }

    /// Returns the slower of two paces.
    pub(crate) fn slower(self, other: Self) -> Self {
        match (self, other) {
            (Self::Never, _) | (_, Self::Never) => Self::Never,
            (Self::Free, pace) | (pace, Self::Free) => pace,
            (Self::Interval(own), Self::Interval(other)) => Self::Interval(own.max(other)),
        }
    }
}
