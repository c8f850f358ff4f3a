//! Detects pauses of the process.

use heatherhinge_types::MonoNs;

/// Longest time between two steps that is not treated as a pause; `docs/design.md`, section 22.
const PAUSE_MS: u64 = 1_000;

/// Detects pauses from the times of steps. A controller must be stepped at least every 500 ms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PauseDetector {
    last_step_ns: Option<MonoNs>,
    resumed_ns: MonoNs,
}

impl PauseDetector {
    /// Records the time of a step and returns whether the process was paused before it.
    pub(crate) fn step(&mut self, now_ns: MonoNs) -> bool {
        let was_paused = self
            .last_step_ns
            .is_some_and(|last| now_ns > last.plus_ms(PAUSE_MS));
        self.last_step_ns = Some(now_ns);
        if was_paused {
            self.resumed_ns = now_ns;
        }
        was_paused
    }

    /// Returns whether this time is not before the end of the last pause. What was requested or
    /// received before it may be out of date.
    pub(crate) fn is_since_resume(&self, at_ns: MonoNs) -> bool {
        at_ns >= self.resumed_ns
    }
}
