//! What targets ran and what callers saw, and the promises that both must keep.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub invariant: &'static str,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct Entry {
    is_at_most_once: bool,
    runs: Vec<String>,
    reported_not_run: bool,
}

#[derive(Debug, Default)]
struct Book {
    entries: BTreeMap<String, Entry>,
    violations: Vec<Violation>,
    disturbed_until: Option<Instant>,
    good: u64,
    failed: u64,
}

/// Records of a rehearsal. Targets and callers write to it; checks run at once where they can, and
/// at the end for promises about the future.
#[derive(Debug, Default)]
pub struct InvariantChecker(Mutex<Book>);

impl InvariantChecker {
    fn lock(&self) -> MutexGuard<'_, Book> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a caller sends a request.
    pub fn sent(&self, id: &str, is_at_most_once: bool) {
        let mut book = self.lock();
        let entry = book.entries.entry(id.to_owned()).or_default();
        entry.is_at_most_once = is_at_most_once;
    }

    /// Notes that a target runs a request.
    pub fn ran(&self, id: &str, target: &str) {
        let mut book = self.lock();
        if !book.entries.contains_key(id) {
            book.break_promise("only what callers sent is run", format!("{id} at {target}"));
        }
        let entry = book.entries.entry(id.to_owned()).or_default();
        entry.runs.push(target.to_owned());
    }

    /// Notes that a caller was told that its request has not run and never will.
    pub fn reported_not_run(&self, id: &str) {
        let mut book = self.lock();
        book.failed += 1;
        book.entries
            .entry(id.to_owned())
            .or_default()
            .reported_not_run = true;
    }

    /// Notes a whole and good answer.
    pub fn good(&self) {
        self.lock().good += 1;
    }

    /// Notes a failure that promises nothing.
    pub fn failed(&self) {
        self.lock().failed += 1;
    }

    /// Notes a broken promise.
    pub fn violation(&self, invariant: &'static str, detail: String) {
        self.lock().break_promise(invariant, detail);
    }

    /// Notes a fault after which promises with a time bound are not checked for a while.
    pub fn suspend_timing_checks(&self, lasts: Duration) {
        let mut book = self.lock();
        let until = Instant::now() + lasts;
        book.disturbed_until = Some(book.disturbed_until.map_or(until, |old| old.max(until)));
    }

    /// Returns whether promises with a time bound are in force.
    #[must_use]
    pub fn are_timing_checks_active(&self) -> bool {
        let until = self.lock().disturbed_until;
        until.is_none_or(|until| Instant::now() >= until)
    }

    /// Returns how many answers were good and how many were not.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let book = self.lock();
        (book.good, book.failed)
    }

    /// Checks what can only be known at the end, and returns all broken promises.
    #[must_use]
    pub fn finish(&self) -> Vec<Violation> {
        let mut book = self.lock();
        let mut late = Vec::new();
        for (id, entry) in &book.entries {
            if entry.is_at_most_once && entry.runs.len() > 1 {
                late.push((
                    "an at-most-once request runs once",
                    format!("{id} ran at {:?}", entry.runs),
                ));
            }
            let distinct: BTreeSet<&String> = entry.runs.iter().collect();
            if distinct.len() < entry.runs.len() {
                late.push((
                    "a second send goes to another target",
                    format!("{id} ran at {:?}", entry.runs),
                ));
            }
            if entry.is_at_most_once && entry.reported_not_run && !entry.runs.is_empty() {
                late.push((
                    "a refusal is true",
                    format!("{id} was refused and ran at {:?}", entry.runs),
                ));
            }
        }
        for (invariant, detail) in late {
            book.break_promise(invariant, detail);
        }
        book.violations.clone()
    }
}

impl Book {
    fn break_promise(&mut self, invariant: &'static str, detail: String) {
        self.violations.push(Violation { invariant, detail });
    }
}
