//! Remembers which requests targets have answered recently.

use heatherhinge_types::MonoNs;
use std::sync::atomic::{AtomicU64, Ordering};

/// Time for which an answer shows that a request is sound, in milliseconds.
const SERVED_MS: u64 = 10_000;
/// Slots of the table. A request that maps to the slot of another one replaces it, so a busy host
/// remembers rare requests for a shorter time.
const SLOTS: usize = 4_096;
/// Unit of the stored times, in milliseconds.
const TICK_MS: u64 = 100;
/// Low bits of a slot that hold the time in ticks; the others hold the high bits of the digest.
const TICK_BITS: u32 = 24;
const TICK_MASK: u64 = (1 << TICK_BITS) - 1;

/// Digests of requests with the time of their last answer. The request path writes them without
/// waiting, and a digest and its time share one word, so readers see them together.
#[derive(Debug)]
pub struct ServedRequests(Box<[AtomicU64]>);

impl Default for ServedRequests {
    fn default() -> Self {
        Self((0..SLOTS).map(|_| AtomicU64::new(0)).collect())
    }
}

impl ServedRequests {
    /// Records that a target has answered the request with this digest.
    pub fn record(&self, digest: u64, now: MonoNs) {
        if let Some(slot) = self.slot(digest) {
            let ticks = now.0 / 1_000_000 / TICK_MS;
            slot.store(tag(digest) | (ticks & TICK_MASK), Ordering::Relaxed);
        }
    }

    /// Returns whether a target has answered the request within the last 10 s.
    #[must_use]
    pub fn has_recent(&self, digest: u64, now: MonoNs) -> bool {
        let Some(value) = self.slot(digest).map(|slot| slot.load(Ordering::Relaxed)) else {
            return false;
        };
        let ticks = now.0 / 1_000_000 / TICK_MS;
        // The stored time wraps around after 19 days.
        let age_ticks = ticks.wrapping_sub(value) & TICK_MASK;
        value != 0 && value & !TICK_MASK == tag(digest) && age_ticks * TICK_MS < SERVED_MS
    }

    fn slot(&self, digest: u64) -> Option<&AtomicU64> {
        // The remainder fits into any pointer width.
        self.0.get((digest % SLOTS as u64) as usize)
    }
}

const fn tag(digest: u64) -> u64 {
    digest & !TICK_MASK
}
