//! The interface of a controller.

use heatherhinge_blackboard::Blackboard;
use heatherhinge_types::Now;

/// A controller: events and time in, blackboard entry and effects out.
pub trait Controller {
    /// What the controller is told.
    type Event;
    /// What the daemon has to do next.
    type Effect;

    /// Takes in one event. The controller may publish its entry and returns the effects in the
    /// order in which they must be carried out.
    fn step(&mut self, board: &Blackboard, event: Self::Event, now: Now) -> Vec<Self::Effect>;
}
