//! A planned stop.

use heatherhinge_types::MonoNs;

/// Time after the signal for which new requests are still taken, in milliseconds. Callers keep an
/// address answer for a second, some of them three times as long.
const ACCEPT_MS: u64 = 3_000;
/// Time before the end of the grace period at which the process exits, in milliseconds.
const EXIT_MARGIN_MS: u64 = 300;

/// What a stopping host does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainNext {
    /// Takes the requests that still come, and asks callers to close their connections.
    Serve,
    /// Takes no new request and finishes those in flight.
    Finish,
    /// Exits.
    Exit,
}

/// Returns what to do at a time after the signal to stop.
#[must_use]
pub const fn drain_next(
    signalled: MonoNs,
    now: MonoNs,
    grace_ms: u64,
    in_flight: u64,
) -> DrainNext {
    let elapsed_ms = now.ms_since(signalled);
    if elapsed_ms + EXIT_MARGIN_MS >= grace_ms {
        DrainNext::Exit
    } else if elapsed_ms < ACCEPT_MS {
        DrainNext::Serve
    } else if in_flight == 0 {
        DrainNext::Exit
    } else {
        DrainNext::Finish
    }
}
