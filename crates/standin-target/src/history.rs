//! Keeps recent states of a target, from which lagging reports are made.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Shortest time between two samples; a finer resolution would not visibly change a lagging report.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Longest lag that can be reported.
const MAX_AGE: Duration = Duration::from_secs(60);

/// The part of the target's state that is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct State {
    /// Requests that run or wait.
    pub(crate) in_flight: u32,
    /// False while the target fails fast.
    pub(crate) is_ok: bool,
}

/// Samples of the state, oldest first.
#[derive(Debug, Default)]
pub(crate) struct History(VecDeque<(Instant, State)>);

impl History {
    /// Adds a sample, unless the last one is recent and has the same health; drops expired samples.
    pub(crate) fn push(&mut self, now: Instant, state: State) {
        if let Some((at, last)) = self.0.back()
            && now.duration_since(*at) < MIN_SAMPLE_INTERVAL
            && last.is_ok == state.is_ok
        {
            return;
        }
        while let Some((at, _)) = self.0.front()
            && now.duration_since(*at) > MAX_AGE
        {
            self.0.pop_front();
        }
        self.0.push_back((now, state));
    }

    /// Returns the state at `then`; before the first sample the target counts as idle and healthy.
    pub(crate) fn at(&self, then: Option<Instant>) -> State {
        let idle = State {
            in_flight: 0,
            is_ok: true,
        };
        let Some(then) = then else { return idle };
        self.0
            .iter()
            .rev()
            .find(|(at, _)| *at <= then)
            .map_or(idle, |(_, state)| *state)
    }
}
