//! One entry of the blackboard: one writer, many readers.

use arc_swap::{ArcSwap, Guard};
use std::ops::Deref;
use std::sync::Arc;

/// A value with the number of times that it was replaced.
///
/// Decision records name this version, so that a review can tell what a decision was based on.
#[derive(Debug)]
pub struct Versioned<T> {
    /// Counts replacements, from 0 for the initial value.
    pub version: u64,
    /// The immutable value.
    pub value: T,
}

/// A borrowed snapshot; cheap to take, and to be held only for the length of one decision.
pub struct Snapshot<T>(Guard<Arc<Versioned<T>>>);

impl<T> Deref for Snapshot<T> {
    type Target = Versioned<T>;

    fn deref(&self) -> &Versioned<T> {
        &self.0
    }
}

/// Reads an entry.
#[derive(Debug)]
pub struct Reader<T>(Arc<ArcSwap<Versioned<T>>>);

impl<T> Clone for Reader<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Reader<T> {
    /// Takes the snapshot in force.
    #[must_use]
    pub fn read(&self) -> Snapshot<T> {
        Snapshot(self.0.load())
    }

    /// Takes the snapshot in force for keeping across waits.
    #[must_use]
    pub fn read_owned(&self) -> Arc<Versioned<T>> {
        self.0.load_full()
    }
}

/// Writes an entry. There is one writer for each entry and it cannot be cloned.
#[derive(Debug)]
pub struct Writer<T>(Arc<ArcSwap<Versioned<T>>>);

impl<T> Writer<T> {
    /// Replaces the value; readers see either the old value or the new one.
    pub fn publish(&mut self, value: T) {
        let version = self.0.load().version + 1;
        self.0.store(Arc::new(Versioned { version, value }));
    }

    /// Replaces the value only if it differs, so that versions count real changes.
    pub fn publish_if_changed(&mut self, value: T) -> bool
    where
        T: PartialEq,
    {
        let changed = self.0.load().value != value;
        if changed {
            self.publish(value);
        }
        changed
    }

    /// Reads the value in force.
    #[must_use]
    pub fn read(&self) -> Snapshot<T> {
        Snapshot(self.0.load())
    }
}

/// Makes an entry with its initial value.
pub fn entry<T>(initial: T) -> (Reader<T>, Writer<T>) {
    let cell = Arc::new(ArcSwap::from_pointee(Versioned {
        version: 0,
        value: initial,
    }));
    (Reader(Arc::clone(&cell)), Writer(cell))
}
