//! Defines versions of the platform's store.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Bits of the number within an epoch.
const NUMBER_BITS: u32 = 44;
/// Largest number within an epoch.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// Largest epoch.
const MAX_EPOCH: u64 = (1 << (u64::BITS - NUMBER_BITS)) - 1;

/// A version of the store: the number of a change, and the epoch in which it was given out.
///
/// The store begins an epoch when it returns from an older copy. Numbers then go back and are given
/// out again for other changes, so the epoch goes first in the order of versions. Hosts send a
/// version as one integer; without epochs it is the number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreVersion(u64);

impl StoreVersion {
    /// The version before all others: that of a replica without an update, or of a row that does not
    /// exist.
    pub const NONE: Self = Self(0);
    /// The version after all others.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a version; `None` if the epoch or the number is too large.
    #[must_use]
    pub const fn new(epoch: u64, number: u64) -> Option<Self> {
        if epoch > MAX_EPOCH || number > MAX_NUMBER {
            return None;
        }
        Some(Self(epoch << NUMBER_BITS | number))
    }

    /// Creates a version of a store without epochs. Larger numbers than the largest are cut off.
    #[must_use]
    pub const fn without_epoch(number: u64) -> Self {
        Self(if number > MAX_NUMBER {
            MAX_NUMBER
        } else {
            number
        })
    }

    /// Returns the epoch, 0 for a store without epochs.
    #[must_use]
    pub const fn epoch(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the number of the change within the epoch.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// Returns whether this is [`Self::NONE`].
    #[must_use]
    pub const fn is_none(self) -> bool {
        self.0 == 0
    }

    /// Returns whether two versions can be compared by their numbers.
    #[must_use]
    pub const fn is_same_epoch(self, other: Self) -> bool {
        self.epoch() == other.epoch()
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.epoch() {
            0 => write!(f, "{}", self.number()),
            epoch => write!(f, "{epoch}/{}", self.number()),
        }
    }
}
