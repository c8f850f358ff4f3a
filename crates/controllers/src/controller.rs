//! Defines the interface of a controller.

use heatherhinge_blackboard::Blackboard;
use heatherhinge_types::Now;

/// A state machine driven by events and the time, which publishes one blackboard entry and returns
/// effects.
pub trait Controller {
    /// Input of a step.
    type Event;
    /// Work for the daemon to carry out.
    type Effect;

    /// Handles one event. The controller may publish its entry; it returns the effects in the order
    /// in which they must be carried out.
    fn step(&mut self, board: &Blackboard, event: Self::Event, now: Now) -> Vec<Self::Effect>;
}
