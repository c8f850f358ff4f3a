//! Lists which targets are warm, and the allowances of the others.

use heatherhinge_types::{Name, StartId};
use std::collections::BTreeMap;

/// How many requests this host may send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// The owner of the target announced this run as warm.
    Warm {
        /// The run.
        start_id: StartId,
    },
    /// The target is not warm and this host is the owner of its partition.
    Owned {
        /// Most requests in flight at once.
        allowance: u32,
    },
    /// The target is not warm and another host is its owner: this host sends it no requests.
    NotOwned,
}

/// Warmth by target. A target that is absent counts as [`Warmth::NotOwned`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WarmthTable {
    /// Warmth by the name of the target.
    pub targets: BTreeMap<Name, Warmth>,
}

impl WarmthTable {
    /// Returns the warmth of a target.
    #[must_use]
    pub fn get(&self, target: &Name) -> Warmth {
        self.targets
            .get(target)
            .copied()
            .unwrap_or(Warmth::NotOwned)
    }
}
