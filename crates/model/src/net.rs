//! Keeps virtual time, the event queue, and a network that loses and delays messages.

use crate::Faults;
use crate::event::Event;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Longest delay of a message that is not slow.
const MAX_DELAY_MS: u64 = 10;
/// Longest delay of a slow message.
const MAX_SLOW_DELAY_MS: u64 = 3_000;

/// Virtual time, random numbers and scheduled events.
#[derive(Debug)]
pub(crate) struct Net {
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now_ms: u64,
    pub(crate) faults: Faults,
    /// Lines of text about the events, if they are recorded.
    pub(crate) transcript: Option<Vec<String>>,
    /// Events by time and sequence number.
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
}

impl Net {
    pub(crate) fn new(seed: u64, faults: Faults, has_transcript: bool) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_ms: 0,
            faults,
            transcript: has_transcript.then(Vec::new),
            queue: BTreeMap::new(),
            next_event: 0,
        }
    }

    /// Removes the next event and advances time to it. Also returns its sequence number.
    pub(crate) fn next(&mut self) -> Option<(u64, Event)> {
        let ((at_ms, sequence), event) = self.queue.pop_first()?;
        self.now_ms = at_ms;
        Some((sequence, event))
    }

    /// Schedules an event for later under its old sequence number, which keeps the order of postponed
    /// events.
    pub(crate) fn postpone(&mut self, until_ms: u64, sequence: u64, event: Event) {
        self.queue.insert((until_ms, sequence), event);
    }

    pub(crate) fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    pub(crate) fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        self.queue
            .insert((self.now_ms + delay_ms, self.next_event), event);
    }

    /// Sends a message, which may be lost or slow.
    pub(crate) fn send(&mut self, event: Event) {
        if self.chance(self.faults.lost_permille) {
            return;
        }
        let is_slow = self.chance(self.faults.slow_permille);
        let max_ms = if is_slow {
            MAX_SLOW_DELAY_MS
        } else {
            MAX_DELAY_MS
        };
        let delay_ms = self.rng.random_range(1..=max_ms);
        self.schedule(delay_ms, event);
    }

    /// Adds a line to the transcript if there is one.
    pub(crate) fn trace(&mut self, line: impl FnOnce() -> String) {
        let now_ms = self.now_ms;
        if let Some(transcript) = &mut self.transcript {
            transcript.push(format!("{now_ms:>6} ms  {}", line()));
        }
    }
}
