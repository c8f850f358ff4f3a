//! One target in the routing snapshot.

use crate::{Pace, TargetCell};
use heatherhinge_orders::TargetEntry;
use heatherhinge_types::{Digest, MonoNs, Name};
use std::sync::Arc;

/// A registered target with the state that this host keeps for it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Registration of the target.
    pub entry: Arc<TargetEntry>,
    /// Path of its health check.
    pub health_path: Name,
    /// Time between requests of one host to the target while it is cold, in nanoseconds.
    pub cold_interval_ns: u64,
    /// Rank of this host among those that may send to the target while it is cold or names a rate
    /// limit; `None` if this host may not.
    pub feeder_rank: Option<usize>,
    /// Hosts that are ranked.
    pub ranked_hosts: usize,
    /// State that requests update.
    pub cell: Arc<TargetCell>,
}

impl Target {
    /// Returns the id of the target.
    #[must_use]
    pub fn id(&self) -> &Name {
        &self.entry.id
    }

    /// Returns a 32-bit hash of the id and the start, which identifies one start of the target.
    #[must_use]
    pub fn start_key(&self) -> u32 {
        let start = self.entry.start_wall_ms.to_le_bytes();
        Digest::of_parts(&[self.id().as_bytes(), &start]).0 as u32
    }

    /// Returns when this host may send to the target.
    #[must_use]
    pub fn pace(&self, now: MonoNs) -> Pace {
        if self.wants_nothing(now) {
            return Pace::Never;
        }
        let cold = if self.cell.is_cold(now) {
            Pace::cold(self.cold_interval_ns, self.feeder_rank)
        } else {
            Pace::Free
        };
        let limited = match self.cell.rate_limit(now) {
            Some(limit) => Pace::limited(limit, self.feeder_rank, self.ranked_hosts),
            None => Pace::Free,
        };
        cold.slower(limited)
    }

    /// Returns whether the target has said that it leaves, or that it is busy until later.
    #[must_use]
    pub fn wants_nothing(&self, now: MonoNs) -> bool {
        self.cell.is_leaving() || self.cell.held_off_ms(now) > 0
    }

    /// Returns whether this host may send to the target now.
    #[must_use]
    pub fn may_send(&self, now: MonoNs) -> bool {
        match self.pace(now) {
            Pace::Free => true,
            Pace::Interval(_) => self.cell.has_token(now),
            Pace::Never => false,
        }
    }

    /// Takes what one request to the target needs, and returns whether this host may send it.
    #[must_use]
    pub fn take_send(&self, now: MonoNs) -> bool {
        match self.pace(now) {
            Pace::Free => true,
            Pace::Interval(interval_ns) => self.cell.take_token(now, interval_ns),
            Pace::Never => false,
        }
    }
}
