//! State machine of one zone.

use heatherhinge_blackboard::ZonePhase;
use heatherhinge_bundle::ZoneState;
use statig::prelude::*;

/// Inputs of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneInput {
    /// State of the zone in the bundle in force.
    Wanted(ZoneState),
    /// The zone has been returning for long enough.
    Settled,
}

/// The machine holds no data besides its state.
#[derive(Debug, Default)]
pub(crate) struct ZoneMachine;

#[state_machine(
    initial = "State::taking_work()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl ZoneMachine {
    #[state]
    fn taking_work(event: &ZoneInput) -> Outcome<State> {
        match event {
            ZoneInput::Wanted(ZoneState::Out) => Transition(State::out()),
            _ => Handled,
        }
    }

    #[state]
    fn out(event: &ZoneInput) -> Outcome<State> {
        match event {
            ZoneInput::Wanted(ZoneState::In) => Transition(State::returning()),
            _ => Handled,
        }
    }

    #[state]
    fn returning(event: &ZoneInput) -> Outcome<State> {
        match event {
            ZoneInput::Wanted(ZoneState::Out) => Transition(State::out()),
            ZoneInput::Settled => Transition(State::taking_work()),
            ZoneInput::Wanted(ZoneState::In) => Handled,
        }
    }
}

impl State {
    /// Returns the phase as the blackboard publishes it.
    pub(crate) const fn phase(&self) -> ZonePhase {
        match self {
            Self::TakingWork {} => ZonePhase::In,
            Self::Out {} => ZonePhase::Out,
            Self::Returning {} => ZonePhase::Returning,
        }
    }
}
