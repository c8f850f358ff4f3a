//! Progress of a version move, as hosts exchange it.

use heatherhinge_types::{Name, StoreVersion};
use serde::{Deserialize, Serialize};
use std::ops::AddAssign;

/// A side of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The versions before the move; without a move, all versions.
    Current,
    /// The version that the move goes to.
    Moving,
}

/// Stage of a move, in the order of its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MoveStage {
    /// The new version receives a small, even share.
    Canary,
    /// The new version receives the rest of the share that an unproven version may have.
    Ramp,
    /// The new version receives all requests, and those at the old one finish.
    Shift,
    /// The move is reported as completed.
    Completed,
    /// The new version receives no more requests.
    RolledBack,
}

impl MoveStage {
    /// Returns the stage as a number for an atomic.
    #[must_use]
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns the stage with this [`MoveStage::code`]; unknown numbers give the first stage.
    #[must_use]
    pub const fn from_code(code: u8) -> Self {
        match code {
            1 => Self::Ramp,
            2 => Self::Shift,
            3 => Self::Completed,
            4 => Self::RolledBack,
            _ => Self::Canary,
        }
    }
}

/// Counts of the responses of one side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All responses.
    pub answers: u32,
    /// Failed responses.
    pub bad: u32,
    /// Responses that took much longer than is usual for the current version, or than the route's
    /// objective, and requests that were given up after such a time.
    pub slow: u32,
}

impl Tally {
    /// Returns the number of responses that were bad or slow.
    #[must_use]
    pub const fn faults(&self) -> u32 {
        self.bad.saturating_add(self.slow)
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// Counts of the responses of both sides on one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// Name of the route; empty for all routes that were added after the order.
    pub route: Name,
    /// The versions before the move.
    pub current: Tally,
    /// The version that the move goes to.
    pub moving: Tally,
}

/// One host's view of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveProgress {
    /// Service that moves.
    pub service: Name,
    /// Version of the store at which the order was written.
    pub order_version: StoreVersion,
    /// Stage at this host.
    pub stage: MoveStage,
    /// Time since this host or another one first applied the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Whether the store is known to hold the report for this stage.
    pub is_reported: bool,
    /// In-flight requests of this host at the old versions.
    pub current_in_flight: u32,
    /// Counts by route; routes without responses are left out.
    pub routes: Vec<RouteTally>,
}
