//! A copy of one table of the platform's store, kept by every host.

use heatherhinge_types::{MonoNs, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Removed rows that are remembered, so that a host that is a little behind gets a short answer.
const TOMBSTONE_COUNT: usize = 256;

/// One row, with its content as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Version of the store at which the row was written.
    pub version: u64,
    /// Content.
    pub content: Arc<[u8]>,
}

/// A change of a row; a removed row has no content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Key of the row.
    pub key: Name,
    /// Version of the store at the change.
    pub version: u64,
    /// New content, or `None` if the row was removed.
    pub content: Option<Arc<[u8]>>,
}

/// What changed in a table, or all of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Whether rows that are not listed do not exist.
    pub is_whole: bool,
    /// Version of the store that the update leads to.
    pub version: u64,
    /// Age of that version in milliseconds when the update was made.
    pub age_ms: u64,
    /// Changed rows.
    pub rows: Vec<RowChange>,
}

/// A row whose content differs after an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedChange {
    /// Key of the row.
    pub key: Name,
    /// The row now, or `None` if it is gone.
    pub row: Option<ReplicaRow>,
}

/// The copy of a table and how old it is.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    version: u64,
    changed_version: u64,
    as_of: MonoNs,
    rows: BTreeMap<Name, ReplicaRow>,
    tombstones: BTreeMap<Name, u64>,
    /// Removals up to this version may be forgotten.
    floor: u64,
}

impl Replica {
    /// Returns the version of the store that the copy shows; 0 before the first update.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the version of the newest change that the copy holds.
    #[must_use]
    pub const fn changed_version(&self) -> u64 {
        self.changed_version
    }

    /// Returns the time at which the copy was known to be current.
    #[must_use]
    pub const fn as_of(&self) -> MonoNs {
        self.as_of
    }

    /// Returns the age of the copy in milliseconds; a copy without an update is infinitely old.
    #[must_use]
    pub const fn age_ms(&self, now: MonoNs) -> u64 {
        if self.version == 0 {
            u64::MAX
        } else {
            now.ms_since(self.as_of)
        }
    }

    /// Lists the rows.
    pub fn rows(&self) -> impl Iterator<Item = (&Name, &ReplicaRow)> {
        self.rows.iter()
    }

    /// Takes an update in and returns the rows that differ. An update that is older than the copy
    /// changes nothing, so the copy never goes back.
    ///
    /// A row whose new content is the same by `is_same` keeps its old content and version, so that
    /// it is not told to other hosts again.
    pub fn apply(
        &mut self,
        update: &TableUpdate,
        received: MonoNs,
        is_same: impl Fn(&[u8], &[u8]) -> bool,
    ) -> Vec<AppliedChange> {
        if update.version < self.version {
            return Vec::new();
        }
        let as_of = MonoNs(received.0.saturating_sub(MonoNs::from_ms(update.age_ms).0));
        self.as_of = self.as_of.max(as_of);
        let mut applied = Vec::new();
        if update.is_whole {
            self.remove_unlisted(update, &mut applied);
        }
        for change in &update.rows {
            self.apply_row(change, &is_same, &mut applied);
        }
        self.version = update.version;
        self.forget_tombstones();
        applied
    }

    fn remove_unlisted(&mut self, update: &TableUpdate, applied: &mut Vec<AppliedChange>) {
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
            applied.push(AppliedChange { key, row: None });
        }
        if self.version == 0 {
            self.floor = update.version;
        }
    }

    fn apply_row(
        &mut self,
        change: &RowChange,
        is_same: &impl Fn(&[u8], &[u8]) -> bool,
        applied: &mut Vec<AppliedChange>,
    ) {
        if let Some(known) = self.rows.get(&change.key) {
            let is_repeat = change
                .content
                .as_ref()
                .is_some_and(|content| is_same(&known.content, content));
            if known.version >= change.version || is_repeat {
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
        applied.push(AppliedChange {
            key: change.key.clone(),
            row,
        });
    }

    fn forget_tombstones(&mut self) {
        while self.tombstones.len() > TOMBSTONE_COUNT {
            let oldest = self.tombstones.iter().min_by_key(|(_, version)| **version);
            let Some((key, version)) = oldest.map(|(key, version)| (key.clone(), *version)) else {
                return;
            };
            self.tombstones.remove(&key);
            self.floor = self.floor.max(version);
        }
    }

    /// Returns what a host that has the version `after` lacks.
    #[must_use]
    pub fn update_since(&self, after: u64, now: MonoNs) -> TableUpdate {
        let is_whole = after < self.floor || after == 0;
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
