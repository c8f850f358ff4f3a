//! Decides which rows of orders are new orders when the store returns from an older copy.
//!
//! The copy may show an order that was replaced or removed since, and lack a newer one. The operator
//! writes the lost rows again, so until then the orders in force stay; `docs/store-returns.md`.

use crate::{AppliedChange, AppliedUpdate};
use heatherhinge_types::{Digest, MonoNs, Name};
use std::collections::{BTreeMap, VecDeque};

/// Time after the first update of an epoch for which an order that it lacks stays in force, in
/// milliseconds. The operator writes lost rows again within about two seconds.
const MISSING_ORDER_RETENTION_MS: u64 = 3_000;
/// Contents that are remembered for each row.
const MAX_PAST_CONTENTS: usize = 16;
/// Rows without an order in force whose contents are remembered.
const MAX_PAST_ROWS: usize = 1_024;

/// A content that a row has had: the number of its version, and its digest.
type Content = (u64, u64);

/// What a host knows of one row.
#[derive(Clone, Debug, Default)]
struct OrderRow {
    /// The content in force, `None` if the order is not in force.
    in_force: Option<Content>,
    /// Contents that are in force no more.
    past: VecDeque<Content>,
    /// Until when the order stays in force although the store lacks it.
    missing_until: Option<MonoNs>,
    /// Whether the store shows a past content, which is not in force.
    is_outdated: bool,
}

/// The orders in force by the key of their rows, with contents that the rows have had before.
#[derive(Clone, Debug, Default)]
pub struct OrderRows(BTreeMap<Name, OrderRow>);

impl OrderRows {
    /// Returns the changes of an update that are to be put in force. Those of the first update of an
    /// epoch are left out if they show what the host has seen replaced or removed.
    pub fn accept(&mut self, update: &AppliedUpdate, now: MonoNs) -> Vec<AppliedChange> {
        let mut accepted = Vec::new();
        for change in update.changes.iter().chain(&update.rewritten) {
            let row = self.0.entry(change.key.clone()).or_default();
            if row.accept(change, update.begins_epoch, now) {
                accepted.push(change.clone());
            }
        }
        self.forget_past_rows();
        accepted
    }

    /// Returns the removals of orders that were not written again in time.
    pub fn expire(&mut self, now: MonoNs) -> Vec<AppliedChange> {
        let mut expired = Vec::new();
        for (key, row) in &mut self.0 {
            if row.missing_until.is_some_and(|until| now >= until) {
                row.replace(None);
                expired.push(AppliedChange {
                    key: key.clone(),
                    row: None,
                });
            }
        }
        expired
    }

    /// Returns the number of orders that the store lacks and of those for which it shows an older
    /// one.
    #[must_use]
    pub fn kept(&self) -> (usize, usize) {
        let missing = self.0.values().filter(|row| row.missing_until.is_some());
        let outdated = self.0.values().filter(|row| row.is_outdated);
        (missing.count(), outdated.count())
    }

    fn forget_past_rows(&mut self) {
        let is_past = |row: &OrderRow| row.in_force.is_none() && !row.is_outdated;
        let past = self.0.values().filter(|row| is_past(row)).count();
        if past > MAX_PAST_ROWS {
            self.0.retain(|_, row| !is_past(row));
        }
    }
}

impl OrderRow {
    /// Records a change and returns whether it is to be put in force.
    fn accept(&mut self, change: &AppliedChange, begins_epoch: bool, now: MonoNs) -> bool {
        let content = change.row.as_ref().map(|row| {
            let digest = Digest::of(&row.content).0 as u64;
            (row.version.number(), digest)
        });
        if begins_epoch {
            match content {
                None => {
                    self.is_outdated = false;
                    let until = now.plus_ms(MISSING_ORDER_RETENTION_MS);
                    self.missing_until = self.in_force.map(|_| until);
                    return false;
                }
                Some(content) if self.is_past(content) => {
                    self.is_outdated = true;
                    self.missing_until = None;
                    return false;
                }
                Some(_) => {}
            }
        }
        self.replace(content);
        true
    }

    /// Returns whether the row had this content before the one in force.
    fn is_past(&self, content: Content) -> bool {
        let is_in_force = self.in_force.is_some_and(|known| known.1 == content.1);
        !is_in_force && self.past.contains(&content)
    }

    fn replace(&mut self, content: Option<Content>) {
        self.missing_until = None;
        self.is_outdated = false;
        if let Some(past) = self.in_force.filter(|known| content != Some(*known)) {
            self.past.push_back(past);
        }
        if self.past.len() > MAX_PAST_CONTENTS {
            self.past.pop_front();
        }
        self.in_force = content;
    }
}
