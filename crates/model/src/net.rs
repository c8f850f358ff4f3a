//! Virtual time, the queue of events, and a network with faults.

use crate::Faults;
use crate::event::Event;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Longest delay of a message that is not slow, and of one that is.
const DELAY_MS: u64 = 10;
const SLOW_MS: u64 = 3_000;

/// Time, chance and messages.
#[derive(Debug)]
pub(crate) struct Net {
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now_ms: u64,
    pub(crate) faults: Faults,
    /// The session in sentences, if it is told.
    pub(crate) transcript: Option<Vec<String>>,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
}

impl Net {
    pub(crate) fn new(seed: u64, faults: Faults, tells: bool) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_ms: 0,
            faults,
            transcript: tells.then(Vec::new),
            queue: BTreeMap::new(),
            next_event: 0,
        }
    }

    /// Takes the next event and moves time on to it.
    pub(crate) fn next(&mut self) -> Option<(u64, Event)> {
        let ((at_ms, order), event) = self.queue.pop_first()?;
        self.now_ms = at_ms;
        Some((order, event))
    }

    /// Puts an event off, in its order among the others that are put off.
    pub(crate) fn put_off(&mut self, until_ms: u64, order: u64, event: Event) {
        self.queue.insert((until_ms, order), event);
    }

    pub(crate) fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    pub(crate) fn after(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        self.queue
            .insert((self.now_ms + delay_ms, self.next_event), event);
    }

    /// Sends a message that may be lost or slow.
    pub(crate) fn send(&mut self, event: Event) {
        if self.chance(self.faults.lost_permille) {
            return;
        }
        let is_slow = self.chance(self.faults.slow_permille);
        let longest_ms = if is_slow { SLOW_MS } else { DELAY_MS };
        let delay_ms = self.rng.random_range(1..=longest_ms);
        self.after(delay_ms, event);
    }

    /// Adds a line to the session if it is told.
    pub(crate) fn trace(&mut self, line: impl FnOnce() -> String) {
        let now_ms = self.now_ms;
        if let Some(transcript) = &mut self.transcript {
            transcript.push(format!("{now_ms:>6} ms  {}", line()));
        }
    }
}
