//! Implements an entry of the blackboard, with one writer and many readers.

use arc_swap::{ArcSwap, Guard};
use std::ops::Deref;
use std::sync::Arc;

/// A value with the number of times that it was replaced.
///
/// Decision records contain this version, so that a review can find what a decision was based on.
#[derive(Debug)]
pub struct Versioned<T> {
    /// Number of replacements; 0 for the initial value.
    pub version: u64,
    /// The immutable value.
    pub value: T,
}

/// A borrowed snapshot; cheap to take, and to be held only during one decision.
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
    /// Returns the current snapshot.
    #[must_use]
    pub fn read(&self) -> Snapshot<T> {
        Snapshot(self.0.load())
    }

    /// Returns the current snapshot in a form that may be held across waits.
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

    /// Replaces the value only if it differs, so that versions count changes. Returns whether it
    /// differed.
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

    /// Returns the current snapshot.
    #[must_use]
    pub fn read(&self) -> Snapshot<T> {
        Snapshot(self.0.load())
    }
}

/// Creates an entry with its initial value.
pub fn entry<T>(initial: T) -> (Reader<T>, Writer<T>) {
    let cell = Arc::new(ArcSwap::from_pointee(Versioned {
        version: 0,
        value: initial,
    }));
    (Reader(Arc::clone(&cell)), Writer(cell))
}
