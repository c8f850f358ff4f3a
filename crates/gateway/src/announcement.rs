//! Builds the state that this host announces to the other hosts.

use crate::GatewaySettings;
use heatherhinge_steering::{
    CrashTally, HeartbeatId, HostStage, HostState, MoveProgress, PastMove,
};
use heatherhinge_types::MonoNs;

/// Shortest period over which the request rate is measured, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 250;
/// Shortest time between two announced changes of the counts of a move, in milliseconds.
const TALLY_INTERVAL_MS: u64 = 550;
/// Time between heartbeats of a host whose state stays the same, in milliseconds. A host counts as
/// dead after three of these intervals, less the time that a heartbeat takes to arrive.
const BEAT_INTERVAL_MS: u64 = 700;

/// What the host contributes to its next state.
#[derive(Debug)]
pub(crate) struct LocalStatus {
    pub(crate) stage: HostStage,
    pub(crate) is_settled: bool,
    pub(crate) moves: Vec<MoveProgress>,
    pub(crate) past_moves: Vec<PastMove>,
    pub(crate) crashes: Vec<CrashTally>,
    pub(crate) served: Vec<u64>,
    /// Requests received from callers since the start.
    pub(crate) requests: u64,
}

/// The state announced last, and the measured request rate.
#[derive(Debug)]
pub(crate) struct Announcement {
    incarnation: u64,
    beat: u32,
    last_announced: Option<HostState>,
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
            last_announced: None,
            requests_per_s: 0,
            requests_before: 0,
            counted_at: now,
            beat_at: now,
            tallied_at: now,
        }
    }

    /// Returns the state announced last; `None` before the first one.
    pub(crate) const fn last_announced(&self) -> Option<&HostState> {
        self.last_announced.as_ref()
    }

    /// Returns the next state. Changed content gets a new revision and a new heartbeat; unchanged
    /// content gets a new heartbeat only when one is due.
    pub(crate) fn next(
        &mut self,
        settings: &GatewaySettings,
        status: LocalStatus,
        now: MonoNs,
    ) -> HostState {
        self.count_requests(status.requests, now);
        let id = HeartbeatId {
            incarnation: self.incarnation,
            beat: self.beat,
        };
        let mut state = HostState {
            stage: status.stage,
            is_settled: status.is_settled,
            requests_per_s: self.requests_per_s,
            moves: status.moves,
            past_moves: status.past_moves,
            crashes: status.crashes,
            served: status.served,
            ..settings.host_state(id)
        };
        let may_send_tallies = now.ms_since(self.tallied_at) >= TALLY_INTERVAL_MS;
        let mut is_due = now.ms_since(self.beat_at) >= BEAT_INTERVAL_MS;
        match &self.last_announced {
            Some(last) if !has_changed(last, &state, may_send_tallies) => {
                state.revision = last.revision;
                state.moves.clone_from(&last.moves);
            }
            last => {
                state.revision = last.as_ref().map_or(0, |last| last.revision + 1);
                self.tallied_at = now;
                is_due = true;
            }
        }
        if is_due {
            self.beat += 1;
            self.beat_at = now;
            state.id.beat = self.beat;
        }
        self.last_announced = Some(state.clone());
        state
    }

    /// Updates the rate of requests per second, smoothed over about two seconds.
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

/// Returns whether a state differs from the one announced last. A new request rate alone is no
/// change: it is sent with the heartbeats.
fn has_changed(last: &HostState, state: &HostState, may_send_tallies: bool) -> bool {
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
    last.stage != state.stage
        || size(last) != size(state)
        || last.is_settled != state.is_settled
        || last.past_moves != state.past_moves
        || last.crashes != state.crashes
        || last.served != state.served
        || stages(last) != stages(state)
        || (may_send_tallies && tallies(last) != tallies(state))
}
