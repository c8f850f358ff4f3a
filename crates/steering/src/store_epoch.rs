//! Tracks the epoch of the platform's store.

use heatherhinge_types::StoreVersion;

/// What a version shows of the store's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochStep {
    /// It is the first version that the host has seen, which shows no return.
    First,
    /// The version is of the epoch that is known.
    Current,
    /// The store has returned from an older copy.
    Later {
        /// Epoch known before.
        from: u64,
    },
    /// The version was given out before the store's return.
    Earlier,
}

/// The latest epoch that a host has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreEpoch(Option<u64>);

impl StoreEpoch {
    /// Returns the latest epoch, 0 before the first version.
    #[must_use]
    pub const fn current(&self) -> u64 {
        match self.0 {
            Some(epoch) => epoch,
            None => 0,
        }
    }

    /// Records the epoch of a version and returns how it differs from the known one.
    pub const fn observe(&mut self, version: StoreVersion) -> EpochStep {
        let epoch = version.epoch();
        match self.0 {
            None => {
                self.0 = Some(epoch);
                EpochStep::First
            }
            Some(known) if epoch > known => {
                self.0 = Some(epoch);
                EpochStep::Later { from: known }
            }
            Some(known) if epoch < known => EpochStep::Earlier,
            Some(_) => EpochStep::Current,
        }
    }
}
