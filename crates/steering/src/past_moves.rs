//! Remembers what became of versions whose moves are over.
//!
//! An order names only the version that its own move goes to. Without this memory, a version that
//! an earlier move has rolled back would count as one of the old versions of the next move.

use heatherhinge_types::{Name, StoreVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Most past moves that are kept; the oldest is dropped first.
const MAX_PAST_MOVES: usize = 64;

/// What a host knows of a version once the order of its move is no longer in force. A later one of
/// these goes before an earlier one when hosts differ about the same order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VersionFate {
    /// The order was replaced or removed before the version had proven itself.
    Unproven,
    /// The version had proven itself.
    Accepted,
    /// The store holds the final report that the version was rolled back.
    RolledBack,
}

/// A move whose order is no longer in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastMove {
    /// Service that moved.
    pub service: Name,
    /// Version that the move went to.
    pub version: Name,
    /// Version of the store at which the order was written.
    pub order_version: StoreVersion,
    /// What became of the version.
    pub fate: VersionFate,
}

/// The last move to each version of each service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PastMoves(BTreeMap<(Name, Name), PastMove>);

impl PastMoves {
    /// Stores a move unless a newer one to the same version is known; returns whether anything has
    /// changed.
    pub fn record(&mut self, past: PastMove) -> bool {
        let key = (past.service.clone(), past.version.clone());
        let rank = |past: &PastMove| (past.order_version, past.fate);
        if self
            .0
            .get(&key)
            .is_some_and(|known| rank(known) >= rank(&past))
        {
            return false;
        }
        // A move older than all that are kept would be dropped again at once.
        let oldest = self.0.values().map(|past| past.order_version).min();
        let is_full = self.0.len() >= MAX_PAST_MOVES && !self.0.contains_key(&key);
        if is_full && oldest.is_some_and(|oldest| past.order_version <= oldest) {
            return false;
        }
        self.0.insert(key, past);
        if self.0.len() > MAX_PAST_MOVES {
            self.0.retain(|_, past| Some(past.order_version) != oldest);
        }
        true
    }

    /// Returns what became of a version, `None` if it was never the aim of a move.
    #[must_use]
    pub fn fate(&self, service: &Name, version: &Name) -> Option<VersionFate> {
        let key = (service.clone(), version.clone());
        self.0.get(&key).map(|past| past.fate)
    }

    /// Lists what became of the versions of a service whose moves ended with a final report.
    pub fn verdicts(&self, service: &Name) -> impl Iterator<Item = &PastMove> {
        let is_final = |past: &&PastMove| past.fate != VersionFate::Unproven;
        let moves = self.0.values().filter(is_final);
        moves.filter(move |past| past.service == *service)
    }

    /// Lists the services with past moves.
    #[must_use]
    pub fn services(&self) -> BTreeSet<Name> {
        self.0.keys().map(|(service, _)| service.clone()).collect()
    }

    /// Lists all past moves for gossip.
    #[must_use]
    pub fn list(&self) -> Vec<PastMove> {
        self.0.values().cloned().collect()
    }
}
