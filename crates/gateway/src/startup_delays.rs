//! How long a host that has started learns from others before it turns to the store.

use rand::{Rng, RngExt};

/// Time after its start for which a host learns from others before it takes up its part in
/// reading the store, in milliseconds. A fleet that starts at once would else make four calls for
/// each host.
const LEARN_MS: u64 = 1_000;
/// Longest further time, drawn at random, in milliseconds.
const LEARN_SPREAD_MS: u64 = 1_000;
/// Time after a restart within which another host that is up has answered, in milliseconds. A
/// host that has learned nothing by then reads the store: all may have lost power at once, and
/// the few that would read for them cannot send everything to everyone over small links.
const RESTART_LEARN_MS: u64 = 80;

/// For how long after its start a host leaves the store to others, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartupDelays {
    /// Time until it reads what it has no copy of.
    pub(crate) initial_read_delay_ms: u64,
    /// Time until it reads for other hosts, keeps its copies fresh and registers.
    pub(crate) regular_calls_delay_ms: u64,
}

impl StartupDelays {
    /// Draws the times. Hosts that the settings of all name turn to the store at once, and at the
    /// very first start the others wait for them, because no callers do.
    pub(crate) fn new<R: Rng>(is_seed: bool, is_first_start: bool, rng: &mut R) -> Self {
        let regular_calls_delay_ms = LEARN_MS + rng.random_range(0..LEARN_SPREAD_MS);
        match (is_seed, is_first_start) {
            (true, _) => Self::default(),
            (false, true) => Self {
                initial_read_delay_ms: regular_calls_delay_ms,
                regular_calls_delay_ms,
            },
            (false, false) => Self {
                initial_read_delay_ms: RESTART_LEARN_MS,
                regular_calls_delay_ms,
            },
        }
    }
}
