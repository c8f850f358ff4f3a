//! The phases of a planned stop as a state machine.

use statig::prelude::*;

/// What a stop waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainInput {
    /// The host was told to stop.
    Stop,
    /// Callers can no longer hold an address answer that names the host.
    AddressesExpired,
    /// Nothing is in flight, or the limit of the settings has passed.
    Empty,
    /// The partitions are released, or the store cannot be reached.
    Released,
}

/// The machine has no data beside its state.
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
