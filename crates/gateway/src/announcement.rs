//! What this host tells the others of itself.

use crate::GatewaySettings;
use heatherhinge_steering::{CrashTally, HeartbeatId, HostStage, HostState, MoveProgress};
use heatherhinge_types::MonoNs;

/// Shortest time over which requests are counted for a rate, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 250;
/// Shortest time between two changes of the counts of a move that are told, in milliseconds.
const TALLY_INTERVAL_MS: u64 = 550;
/// Time between beats of a host whose state stays the same, in milliseconds. A host counts as dead
/// after three of them, less the time that a beat takes to arrive.
const BEAT_INTERVAL_MS: u64 = 700;

/// What goes into the next state.
#[derive(Debug)]
pub(crate) struct OwnFacts {
    pub(crate) stage: HostStage,
    pub(crate) is_settled: bool,
    pub(crate) moves: Vec<MoveProgress>,
    pub(crate) crashes: Vec<CrashTally>,
    /// Requests of callers since the start.
    pub(crate) requests: u64,
}

/// The state that was told last, and the rate of requests.
#[derive(Debug)]
pub(crate) struct Announcement {
    incarnation: u64,
    beat: u32,
    told: Option<HostState>,
    requests_per_s: u32,
    requests_before: u64,
    counted_at: MonoNs,
    beat_at: MonoNs,
    tallied_at: MonoNs,
}

impl Announcement {
    pub(crate) const fn new(incarnation: u64, now: MonoNs) -> Self {
        Self {
            incarnation,
            beat: 0,
            told: None,
            requests_per_s: 0,
            requests_before: 0,
            counted_at: now,
            beat_at: now,
            tallied_at: now,
        }
    }

    /// Returns the state that was told last.
    pub(crate) const fn told(&self) -> Option<&HostState> {
        self.told.as_ref()
    }

    /// Makes the next state, with a new revision if its content is new, and a new beat then or when
    /// one is due.
    pub(crate) fn next(
        &mut self,
        settings: &GatewaySettings,
        facts: OwnFacts,
        now: MonoNs,
    ) -> HostState {
        self.count_requests(facts.requests, now);
        let id = HeartbeatId {
            incarnation: self.incarnation,
            beat: self.beat,
        };
        let mut state = HostState {
            stage: facts.stage,
            is_settled: facts.is_settled,
            requests_per_s: self.requests_per_s,
            moves: facts.moves,
            crashes: facts.crashes,
            ..settings.host_state(id)
        };
        let may_tell_tallies = now.ms_since(self.tallied_at) >= TALLY_INTERVAL_MS;
        let mut is_due = now.ms_since(self.beat_at) >= BEAT_INTERVAL_MS;
        match &self.told {
            Some(told) if !is_news(told, &state, may_tell_tallies) => {
                state.revision = told.revision;
                state.moves.clone_from(&told.moves);
            }
            told => {
                state.revision = told.as_ref().map_or(0, |told| told.revision + 1);
                self.tallied_at = now;
                is_due = true;
            }
        }
        if is_due {
            self.beat += 1;
            self.beat_at = now;
            state.id.beat = self.beat;
        }
        self.told = Some(state.clone());
        state
    }

    /// Measures the requests a second, smoothed over about two seconds.
    fn count_requests(&mut self, total: u64, now: MonoNs) {
        let passed_ms = now.ms_since(self.counted_at);
        if passed_ms < COUNT_INTERVAL_MS {
            return;
        }
        let new = total.saturating_sub(self.requests_before);
        self.counted_at = now;
        self.requests_before = total;
        let rate = new * 1_000 / passed_ms;
        let smoothed = (u64::from(self.requests_per_s) * 7 + rate).div_ceil(8);
        self.requests_per_s = u32::try_from(smoothed).unwrap_or(u32::MAX);
    }
}

/// Returns whether a state says more than the one that was told last. The rate of requests goes
/// with the beats.
fn is_news(told: &HostState, state: &HostState, may_tell_tallies: bool) -> bool {
    let stages = |state: &HostState| -> Vec<_> {
        let of = |known: &MoveProgress| {
            let in_flight = known.current_in_flight > 0;
            (
                known.order_version,
                known.stage,
                known.is_reported,
                in_flight,
            )
        };
        state.moves.iter().map(of).collect()
    };
    let tallies = |state: &HostState| -> Vec<_> {
        let of = |known: &MoveProgress| known.routes.clone();
        state.moves.iter().map(of).collect()
    };
    let size = |state: &HostState| (state.capacity_milli, state.link_mbps);
    told.stage != state.stage
        || size(told) != size(state)
        || told.is_settled != state.is_settled
        || told.crashes != state.crashes
        || stages(told) != stages(state)
        || (may_tell_tallies && tallies(told) != tallies(state))
}
