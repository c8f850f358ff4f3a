//! Decides how long a starting host relies on other hosts before it calls the store.

use rand::{Rng, RngExt};

/// Time after its start for which a host relies on others before it makes its regular calls to the
/// store, in milliseconds. A fleet whose hosts start together would otherwise make four calls for
/// each host.
const GOSSIP_ONLY_MS: u64 = 1_000;
/// Upper bound of the random time added to it, in milliseconds.
const GOSSIP_ONLY_JITTER_MS: u64 = 1_000;
/// Time after a restart within which another running host has responded, in milliseconds. A host
/// that has received no tables by then reads the store: all hosts may have lost power at once, and
/// the few readers cannot send everything to everyone over slow links.
const RESTART_READ_DELAY_MS: u64 = 80;

/// Delays of the calls to the store after the start of a host, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartupDelays {
    /// Time until it reads the tables that it has no replica of.
    pub(crate) initial_read_delay_ms: u64,
    /// Time until it reads for other hosts, keeps its replicas fresh and registers.
    pub(crate) regular_calls_delay_ms: u64,
}

impl StartupDelays {
    /// Draws the delays. Seeds call the store at once. At the first start of the fleet the other
    /// hosts wait for them, because no callers are waiting.
    pub(crate) fn new<R: Rng>(is_seed: bool, is_first_start: bool, rng: &mut R) -> Self {
        let regular_calls_delay_ms = GOSSIP_ONLY_MS + rng.random_range(0..GOSSIP_ONLY_JITTER_MS);
        match (is_seed, is_first_start) {
            (true, _) => Self::default(),
            (false, true) => Self {
                initial_read_delay_ms: regular_calls_delay_ms,
                regular_calls_delay_ms,
            },
            (false, false) => Self {
                initial_read_delay_ms: RESTART_READ_DELAY_MS,
                regular_calls_delay_ms,
            },
        }
    }
}
