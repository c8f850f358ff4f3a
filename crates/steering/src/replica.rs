//! Replica of one table of the platform's store; every host keeps one.

use heatherhinge_types::{MonoNs, Name, StoreVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Tombstones that are kept, so that a host that is slightly behind gets a short update.
const TOMBSTONE_COUNT: usize = 256;

/// One row, with its content as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Version of the store at which the row was written.
    pub version: StoreVersion,
    /// Content in the encoding of the store.
    pub content: Arc<[u8]>,
}

/// A written or removed row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Key of the row.
    pub key: Name,
    /// Version of the store at the change.
    pub version: StoreVersion,
    /// New content, or `None` if the row was removed.
    pub content: Option<Arc<[u8]>>,
}

/// Changes of a table, or its whole content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Whether rows that are not listed do not exist.
    pub is_whole: bool,
    /// Version of the store after the update.
    pub version: StoreVersion,
    /// Age of that version in milliseconds when the update was made.
    pub age_ms: u64,
    /// Changed rows, or all rows if `is_whole`.
    pub rows: Vec<RowChange>,
}

/// A row whose content differs after an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedChange {
    /// Key of the row.
    pub key: Name,
    /// The new row, or `None` if it was removed.
    pub row: Option<ReplicaRow>,
}

/// What an update has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedUpdate {
    /// Rows whose content differs.
    pub changes: Vec<AppliedChange>,
    /// Rows that were written again with the same content, if the replica follows their versions.
    pub rewritten: Vec<AppliedChange>,
    /// Whether the update is the first of a new epoch, so that rows may be older than before or
    /// missing.
    pub begins_epoch: bool,
}

/// The replica of a table with its version and age.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    version: StoreVersion,
    changed_version: StoreVersion,
    as_of: MonoNs,
    rows: BTreeMap<Name, ReplicaRow>,
    tombstones: BTreeMap<Name, StoreVersion>,
    /// Tombstones up to this version may have been dropped.
    tombstone_floor: StoreVersion,
    /// Whether a row that is written again with the same content takes the new version.
    follows_rewrites: bool,
}

impl Replica {
    /// Creates an empty replica in which a row that is written again with the same content takes the
    /// new version. Otherwise it keeps the old one, and is not sent to other hosts again.
    #[must_use]
    pub fn following_rewrites() -> Self {
        Self {
            follows_rewrites: true,
            ..Self::default()
        }
    }

    /// Returns the version of the store that the replica shows.
    #[must_use]
    pub const fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns the version of the newest change that was applied.
    #[must_use]
    pub const fn changed_version(&self) -> StoreVersion {
        self.changed_version
    }

    /// Returns the last time at which the replica was known to be current.
    #[must_use]
    pub const fn as_of(&self) -> MonoNs {
        self.as_of
    }

    /// Returns the age of the replica in milliseconds; `u64::MAX` before the first update.
    #[must_use]
    pub const fn age_ms(&self, now: MonoNs) -> u64 {
        if self.version.is_none() {
            u64::MAX
        } else {
            now.ms_since(self.as_of)
        }
    }

    /// Iterates over the rows, sorted by key.
    pub fn rows(&self) -> impl Iterator<Item = (&Name, &ReplicaRow)> {
        self.rows.iter()
    }

    /// Applies an update and returns the rows that differ. An update that is older than the replica
    /// is ignored, so the replica never goes back to an earlier version; so are changes since a
    /// version of an earlier epoch, because the store may show other rows below it by now.
    ///
    /// A row whose new content is the same by `is_same` keeps its old content.
    pub fn apply(
        &mut self,
        update: &TableUpdate,
        received: MonoNs,
        is_same: impl Fn(&[u8], &[u8]) -> bool,
    ) -> AppliedUpdate {
        let is_later_epoch = !self.version.is_none() && !self.version.is_same_epoch(update.version);
        if update.version < self.version || (is_later_epoch && !update.is_whole) {
            return AppliedUpdate::default();
        }
        let as_of = received.minus_ms(update.age_ms);
        self.as_of = self.as_of.max(as_of);
        let mut applied = AppliedUpdate {
            begins_epoch: is_later_epoch,
            ..AppliedUpdate::default()
        };
        if update.is_whole {
            self.remove_unlisted(update, &mut applied);
        }
        for change in &update.rows {
            self.apply_row(change, &is_same, &mut applied);
        }
        self.version = update.version;
        if is_later_epoch {
            // Other hosts get the whole table, so that all of them begin the epoch at about the same
            // time.
            self.changed_version = update.version;
            self.tombstone_floor = update.version;
            self.tombstones.clear();
        }
        self.trim_tombstones();
        applied
    }

    fn remove_unlisted(&mut self, update: &TableUpdate, applied: &mut AppliedUpdate) {
        let missing: Vec<Name> = self
            .rows
            .keys()
            .filter(|key| !update.rows.iter().any(|row| row.key == **key))
            .cloned()
            .collect();
        for key in missing {
            self.rows.remove(&key);
            self.tombstones.insert(key.clone(), update.version);
            self.changed_version = self.changed_version.max(update.version);
            applied.changes.push(AppliedChange { key, row: None });
        }
        if self.version.is_none() {
            self.tombstone_floor = update.version;
        }
    }

    fn apply_row(
        &mut self,
        change: &RowChange,
        is_same: &impl Fn(&[u8], &[u8]) -> bool,
        applied: &mut AppliedUpdate,
    ) {
        if let Some(known) = self.rows.get_mut(&change.key) {
            if known.version >= change.version {
                return;
            }
            let is_unchanged = change
                .content
                .as_ref()
                .is_some_and(|content| is_same(&known.content, content));
            if is_unchanged {
                if self.follows_rewrites {
                    known.version = change.version;
                    self.changed_version = self.changed_version.max(change.version);
                    applied.rewritten.push(AppliedChange {
                        key: change.key.clone(),
                        row: Some(known.clone()),
                    });
                }
                return;
            }
        }
        self.changed_version = self.changed_version.max(change.version);
        let row = change.content.clone().map(|content| ReplicaRow {
            version: change.version,
            content,
        });
        match &row {
            Some(row) => {
                self.tombstones.remove(&change.key);
                self.rows.insert(change.key.clone(), row.clone());
            }
            None => {
                self.tombstones.insert(change.key.clone(), change.version);
                if self.rows.remove(&change.key).is_none() {
                    return;
                }
            }
        }
        applied.changes.push(AppliedChange {
            key: change.key.clone(),
            row,
        });
    }

    fn trim_tombstones(&mut self) {
        while self.tombstones.len() > TOMBSTONE_COUNT {
            let oldest = self.tombstones.iter().min_by_key(|(_, version)| **version);
            let Some((key, version)) = oldest.map(|(key, version)| (key.clone(), *version)) else {
                return;
            };
            self.tombstones.remove(&key);
            self.tombstone_floor = self.tombstone_floor.max(version);
        }
    }

    /// Returns the update for a host whose replica has the version `after`. It is whole if that host
    /// has none, or one older than the dropped tombstones or of an earlier epoch.
    #[must_use]
    pub fn update_since(&self, after: StoreVersion, now: MonoNs) -> TableUpdate {
        let is_whole = after < self.tombstone_floor || after.is_none();
        let rows = self
            .rows
            .iter()
            .filter(|(_, row)| is_whole || row.version > after)
            .map(|(key, row)| RowChange {
                key: key.clone(),
                version: row.version,
                content: Some(Arc::clone(&row.content)),
            });
        let removed = self
            .tombstones
            .iter()
            .filter(|(_, version)| !is_whole && **version > after)
            .map(|(key, version)| RowChange {
                key: key.clone(),
                version: *version,
                content: None,
            });
        TableUpdate {
            is_whole,
            version: self.version,
            age_ms: self.age_ms(now),
            rows: rows.chain(removed).collect(),
        }
    }
}
