//! State machine of a planned stop.

use statig::prelude::*;

/// Inputs of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainInput {
    /// The process received SIGTERM.
    Stop,
    /// Callers no longer hold an address response that names the host.
    AddressesExpired,
    /// No request is in flight, or the configured limit has passed.
    Empty,
    /// The partitions are released, or the store cannot be reached.
    Released,
}

/// The machine holds no data besides its state.
#[derive(Debug, Default)]
pub(crate) struct DrainMachine;

#[state_machine(
    initial = "State::serving()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl DrainMachine {
    #[state]
    fn serving(event: &DrainInput) -> Outcome<State> {
        match event {
            DrainInput::Stop => Transition(State::leaving()),
            _ => Handled,
        }
    }

    #[state]
    fn leaving(event: &DrainInput) -> Outcome<State> {
        match event {
            DrainInput::AddressesExpired => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn draining(event: &DrainInput) -> Outcome<State> {
        match event {
            DrainInput::Empty => Transition(State::releasing()),
            _ => Handled,
        }
    }

    #[state]
    fn releasing(event: &DrainInput) -> Outcome<State> {
        match event {
            DrainInput::Released => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn stopped() -> Outcome<State> {
        Handled
    }
}
