//! Decides what a host does during a graceful shutdown.

use heatherhinge_types::MonoNs;

/// Time after the signal for which new requests are still accepted, in milliseconds. Callers cache
/// an address response for a second, some of them three times as long.
const ACCEPT_MS: u64 = 3_000;
/// Time after the signal until which requests are sent to targets, in milliseconds. One that is sent
/// later may be cut off when the process exits. The signal takes some time to be handled, and
/// requests count from when it was sent.
pub const LAST_SEND_MS: u64 = 2_700;
/// Time before the end of the grace period at which the process exits, in milliseconds.
const EXIT_MARGIN_MS: u64 = 300;

/// What a draining host does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Accepts new requests and asks callers to close their connections.
    Serve,
    /// Accepts no new request and finishes those in flight.
    Finish,
    /// Exits the process.
    Exit,
}

/// Returns what to do at `now`, for a stop signal at `signalled`.
#[must_use]
pub const fn drain_step(
    signalled: MonoNs,
    now: MonoNs,
    grace_ms: u64,
    in_flight: u64,
) -> DrainStep {
    let elapsed_ms = now.ms_since(signalled);
    if elapsed_ms + EXIT_MARGIN_MS >= grace_ms {
        DrainStep::Exit
    } else if elapsed_ms < ACCEPT_MS {
        DrainStep::Serve
    } else if in_flight == 0 {
        DrainStep::Exit
    } else {
        DrainStep::Finish
    }
}
