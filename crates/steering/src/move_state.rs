//! The state of a version move, as hosts tell it each other.

use heatherhinge_types::Name;
use serde::{Deserialize, Serialize};
use std::ops::AddAssign;

/// A side of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The versions that served before the move, or all without a move.
    Current,
    /// The version that the move goes to.
    Moving,
}

/// How far a move has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MoveStage {
    /// The new version gets a small, even share.
    Canary,
    /// The new version gets the rest of what an unproven version may get.
    Ramp,
    /// The new version gets all requests, and those at the old one end.
    Shift,
    /// The move is reported as completed.
    Completed,
    /// The new version gets nothing more.
    RolledBack,
}

impl MoveStage {
    /// Returns a number for an atomic.
    #[must_use]
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Reads the number back; unknown numbers are the first stage.
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

/// Answers of one side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All answers.
    pub answers: u32,
    /// Failures.
    pub bad: u32,
    /// Good answers that took much longer than is usual for the current version.
    pub slow: u32,
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// Answers of both sides on one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// Route; empty for requests of routes that came after the order.
    pub route: Name,
    /// The versions before the move.
    pub current: Tally,
    /// The version that the move goes to.
    pub moving: Tally,
}

/// What a host knows of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveProgress {
    /// Service that moves.
    pub service: Name,
    /// Version of the store at which the order was written.
    pub order_version: u64,
    /// Stage at this host.
    pub stage: MoveStage,
    /// Time since the order, as this host knows it, in milliseconds.
    pub elapsed_ms: u64,
    /// Whether the store is known to hold the report that this stage asks for.
    pub is_reported: bool,
    /// Requests of this host at the old versions.
    pub current_in_flight: u32,
    /// Answers by route.
    pub routes: Vec<RouteTally>,
}
