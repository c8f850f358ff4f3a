//! Notices that the process was paused.

use heatherhinge_types::MonoNs;

/// Longest time between two steps that does not count as a pause; `docs/design.md`, section 22.
const PAUSE_MS: u64 = 1_000;

/// Compares the times of steps. A controller must be stepped at least every 500 ms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PauseDetector {
    last_step_ns: Option<MonoNs>,
    resumed_ns: MonoNs,
}

impl PauseDetector {
    /// Takes in the time of a step and returns whether the process was paused before it.
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

    /// Returns whether something that was asked or heard at this time still counts.
    pub(crate) fn counts(&self, at_ns: MonoNs) -> bool {
        at_ns >= self.resumed_ns
    }
}
