//! Shuts a host down without aborting requests. See `docs/design.md`, section 13, and
//! `docs/controllers/drain.md`.

use crate::Controller;
use crate::decision_record::decision_record;
use crate::drain_machine::{DrainInput, DrainMachine, State};
use heatherhinge_blackboard::{Blackboard, HostPhase};
use heatherhinge_records::{Record, RecordEvent, Subject};
use heatherhinge_types::{MonoNs, Name, Now};
use statig::blocking::{IntoStateMachineExt, StateMachine};
use std::sync::atomic::Ordering;

/// Time for the host's record to reach its peers, added to the time that callers keep addresses.
const PROPAGATION_MS: u64 = 1_000;
/// Longest wait for the release of the partitions; after it the host exits and its lease expires.
const RELEASE_TIMEOUT_MS: u64 = 5_000;

/// Events of the drain controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    /// The host has a bundle and can serve requests.
    Ready,
    /// The process received SIGTERM.
    Stop,
    /// The partitions are released and their claims are handed over.
    Released,
    /// Time passed.
    Tick,
}

/// Actions that the daemon carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum DrainEffect {
    /// Publish a record that asks peers not to send callers to this host.
    StopAdvertising,
    /// Close the listener and send `Connection: close` in each response from now on.
    CloseListener,
    /// Release the partitions and hand over their claims, then send [`DrainEvent::Released`].
    ReleasePartitions,
    /// Exit with status 0.
    Exit,
    /// Store a decision record.
    Record(Box<Record>),
}

/// Time limits of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainLimits {
    /// Time for which callers keep an address response, in milliseconds.
    pub keep_ms: u64,
    /// Longest wait for in-flight requests, in milliseconds; `None` waits without limit.
    pub in_flight_ms: Option<u64>,
}

/// Runs a planned stop through its phases.
pub struct DrainController {
    machine: StateMachine<DrainMachine>,
    limits: DrainLimits,
    since_ns: MonoNs,
}

impl DrainController {
    /// Creates the controller in the serving state.
    #[must_use]
    pub fn new(limits: DrainLimits) -> Self {
        Self {
            machine: DrainMachine.state_machine(),
            limits,
            since_ns: MonoNs(0),
        }
    }

    fn input(&self, board: &Blackboard, event: DrainEvent, now: Now) -> Option<DrainInput> {
        let waited_ms = now.mono_ns.ms_since(self.since_ns);
        match (self.machine.state(), event) {
            (State::Serving {}, DrainEvent::Stop) => Some(DrainInput::Stop),
            (State::Releasing {}, DrainEvent::Released) => Some(DrainInput::Released),
            (State::Leaving {}, _) => (waited_ms >= self.limits.keep_ms + PROPAGATION_MS)
                .then_some(DrainInput::AddressesExpired),
            (State::Draining {}, _) => {
                let is_empty = board.counters.in_flight.load(Ordering::Acquire) == 0;
                let is_timed_out = self
                    .limits
                    .in_flight_ms
                    .is_some_and(|limit| waited_ms >= limit);
                (is_empty || is_timed_out).then_some(DrainInput::Empty)
            }
            (State::Releasing {}, _) => {
                (waited_ms >= RELEASE_TIMEOUT_MS).then_some(DrainInput::Released)
            }
            _ => None,
        }
    }

    /// Publishes the phase of the state just entered and returns its effects.
    fn entry_effects(&self, board: &Blackboard, now: Now) -> Vec<DrainEffect> {
        let status = &board.counters.status;
        let (phase, effect, name) = match self.machine.state() {
            State::Serving {} => return Vec::new(),
            State::Leaving {} => (HostPhase::Leaving, DrainEffect::StopAdvertising, "leaving"),
            State::Draining {} => (HostPhase::Draining, DrainEffect::CloseListener, "draining"),
            State::Releasing {} => (
                HostPhase::Draining,
                DrainEffect::ReleasePartitions,
                "releasing",
            ),
            State::Stopped {} => (HostPhase::Draining, DrainEffect::Exit, "stopped"),
        };
        status.set_phase(phase);
        let event = RecordEvent::HostPhase {
            phase: Name::from(name),
        };
        // The record comes first, so that it is stored before the process exits.
        let record = decision_record(board, now, Subject::Host, event);
        vec![DrainEffect::Record(record), effect]
    }
}

impl Controller for DrainController {
    type Event = DrainEvent;
    type Effect = DrainEffect;

    fn step(&mut self, board: &Blackboard, event: DrainEvent, now: Now) -> Vec<DrainEffect> {
        let status = &board.counters.status;
        if event == DrainEvent::Ready && status.phase() == HostPhase::Starting {
            status.set_phase(HostPhase::Serving);
        }
        let Some(input) = self.input(board, event, now) else {
            return Vec::new();
        };
        let before = self.machine.state().clone();
        self.machine.handle(&input);
        if *self.machine.state() == before {
            return Vec::new();
        }
        self.since_ns = now.mono_ns;
        self.entry_effects(board, now)
    }
}
