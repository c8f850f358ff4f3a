//! What this host tells the others of itself.

use crate::GatewaySettings;
use heatherhinge_steering::{BeatId, CrashTally, HostStage, HostState, MoveState};
use heatherhinge_types::MonoNs;

/// Shortest time over which requests are counted for a rate, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 250;
/// Beats after which a change of the counts of a move is told, so that they are told at most
/// about every 600 ms.
const BEATS_PER_TALLY: u32 = 2;
/// Change of the request rate that is told, in percent.
const RATE_CHANGE_PERCENT: u32 = 25;

/// What goes into the next state.
#[derive(Debug)]
pub(crate) struct OwnFacts {
    pub(crate) stage: HostStage,
    pub(crate) is_settled: bool,
    pub(crate) moves: Vec<MoveState>,
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
        }
    }

    /// Returns the state that was told last.
    pub(crate) const fn told(&self) -> Option<&HostState> {
        self.told.as_ref()
    }

    /// Makes the next state, with a new revision if its content is new.
    pub(crate) fn next(
        &mut self,
        settings: &GatewaySettings,
        facts: OwnFacts,
        now: MonoNs,
    ) -> HostState {
        self.beat += 1;
        self.count_requests(facts.requests, now);
        let mut state = HostState {
            host: settings.host.clone(),
            id: BeatId {
                incarnation: self.incarnation,
                beat: self.beat,
            },
            revision: 0,
            caller_addr: settings.caller_addr,
            peer_addr: settings.peer_addr,
            zone: settings.zone.clone(),
            stage: facts.stage,
            is_settled: facts.is_settled,
            requests_per_s: self.requests_per_s,
            capacity_milli: settings.capacity_milli,
            link_mbps: settings.link_mbps,
            moves: facts.moves,
            crashes: facts.crashes,
        };
        if let Some(told) = &self.told {
            let may_tell_tallies = self.beat.is_multiple_of(BEATS_PER_TALLY);
            state.revision = told.revision;
            if is_news(told, &state, may_tell_tallies) {
                state.revision += 1;
            } else {
                state.requests_per_s = told.requests_per_s;
                state.moves.clone_from(&told.moves);
            }
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

/// Returns whether a state says more than the one that was told last.
fn is_news(told: &HostState, state: &HostState, may_tell_tallies: bool) -> bool {
    let (old, new) = (told.requests_per_s, state.requests_per_s);
    let rate_changed = old.abs_diff(new) * 100 > old.max(4) * RATE_CHANGE_PERCENT;
    let stages = |state: &HostState| -> Vec<_> {
        let of = |known: &MoveState| {
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
        let of = |known: &MoveState| known.routes.clone();
        state.moves.iter().map(of).collect()
    };
    rate_changed
        || told.stage != state.stage
        || told.is_settled != state.is_settled
        || told.crashes != state.crashes
        || stages(told) != stages(state)
        || (may_tell_tallies && tallies(told) != tallies(state))
}
