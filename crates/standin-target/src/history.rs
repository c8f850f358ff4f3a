//! What the target would have reported some time ago, for lagging reports.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Shortest time between two samples; more samples would not change a lagging report visibly.
const MIN_GAP: Duration = Duration::from_millis(5);
/// Longest lag that can be reported.
const MAX_AGE: Duration = Duration::from_secs(60);

/// What is reported of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct State {
    /// Requests running or queued.
    pub(crate) in_flight: u32,
    /// Whether requests are served.
    pub(crate) is_ok: bool,
}

/// Samples of the state in the order of time.
#[derive(Debug, Default)]
pub(crate) struct History(VecDeque<(Instant, State)>);

impl History {
    /// Adds a sample.
    pub(crate) fn push(&mut self, now: Instant, state: State) {
        if let Some((at, last)) = self.0.back()
            && now.duration_since(*at) < MIN_GAP
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

    /// Returns the state that held at `then`; before the first sample the target was idle and well.
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
