//! State machine of a version move.

use heatherhinge_blackboard::MoveState;
use statig::prelude::*;

/// Inputs of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MoveInput {
    /// The new version was judged worse.
    Worse,
    /// The end time has passed.
    EndPassed,
    /// A peer or the store has this state, which is later than the current one.
    RemoteState(MoveState),
}

/// The machine holds no data besides its state.
#[derive(Debug, Default)]
pub(crate) struct MoveMachine;

#[state_machine(
    initial = "State::waiting()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl MoveMachine {
    #[state(superstate = "under_way")]
    fn waiting() -> Outcome<State> {
        Super
    }

    #[state(superstate = "under_way")]
    fn canary() -> Outcome<State> {
        Super
    }

    #[state(superstate = "under_way")]
    fn raising() -> Outcome<State> {
        Super
    }

    #[state(superstate = "open")]
    fn late() -> Outcome<State> {
        Super
    }

    /// A move whose end time has not passed.
    #[superstate(superstate = "open")]
    fn under_way(event: &MoveInput) -> Outcome<State> {
        match event {
            MoveInput::EndPassed => Transition(State::late()),
            _ => Super,
        }
    }

    /// A move without a final verdict.
    #[superstate]
    fn open(event: &MoveInput) -> Outcome<State> {
        match event {
            MoveInput::Worse => Transition(State::taken_back()),
            MoveInput::RemoteState(remote) => Transition(State::of(*remote)),
            MoveInput::EndPassed => Handled,
        }
    }

    /// Left only when another host rolled the move back.
    #[state]
    fn done(event: &MoveInput) -> Outcome<State> {
        match event {
            MoveInput::RemoteState(MoveState::TakenBack) => Transition(State::taken_back()),
            _ => Handled,
        }
    }

    #[state]
    fn taken_back() -> Outcome<State> {
        Handled
    }
}

impl State {
    /// Returns the state as the blackboard publishes it.
    pub(crate) const fn name(&self) -> MoveState {
        match self {
            Self::Waiting {} => MoveState::Waiting,
            Self::Canary {} => MoveState::Canary,
            Self::Raising {} => MoveState::Raising,
            Self::Late {} => MoveState::Late,
            Self::Done {} => MoveState::Done,
            Self::TakenBack {} => MoveState::TakenBack,
        }
    }

    const fn of(name: MoveState) -> Self {
        match name {
            MoveState::Waiting => Self::Waiting {},
            MoveState::Canary => Self::Canary {},
            MoveState::Raising => Self::Raising {},
            MoveState::Late => Self::Late {},
            MoveState::Done => Self::Done {},
            MoveState::TakenBack => Self::TakenBack {},
        }
    }
}
