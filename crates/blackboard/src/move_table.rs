//! Lists the shares and states of version moves.

use heatherhinge_types::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of a move. Later states win when two are merged; see [`MoveState::merge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MoveState {
    /// The new version gets no traffic yet.
    Waiting,
    /// The share of the new version is at most the cap.
    Canary,
    /// The new version was judged good at the cap and its share rises.
    Raising,
    /// The move could not be judged by its end time; the share is held.
    Late,
    /// The new version has all traffic.
    Done,
    /// The new version was judged bad and gets no traffic.
    TakenBack,
}

impl MoveState {
    /// Returns whether the state can no longer change.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }

    /// Merges two states of the same move: the later one wins, and [`Self::TakenBack`] is the last.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        self.max(other)
    }
}

/// One move as this host applies it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveEntry {
    /// Name of the move.
    pub id: Name,
    /// The version that traffic leaves.
    pub from: Name,
    /// The version that traffic goes to.
    pub to: Name,
    /// State of the move.
    pub state: MoveState,
    /// Share of the new version on each route, in thousandths.
    pub share_permille: u32,
    /// Number that rises with each decision of the leader.
    pub step: u64,
}

/// Moves by service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MoveTable {
    /// The move of each service that has one.
    pub services: BTreeMap<Name, MoveEntry>,
}
