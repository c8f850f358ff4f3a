//! Tests the phases that the zone controller publishes.

mod support;

use heatherhinge_blackboard::{Blackboard, ZonePhase};
use heatherhinge_bundle::ZoneState;
use heatherhinge_controllers::{Controller, ZoneController, ZoneEvent};
use heatherhinge_types::Name;
use support::{at, bundle, host};
use yare::parameterized;

/// Guards against a zone that gets requests after it was taken out, a return that is not detected,
/// and a host that missed versions and treats its own announcements as newer than they are. Each
/// step is a version, `i` in, `o` out or `s` 60 s pass, and the expected phase and `since`.
#[parameterized(
    stays_in = { &[(1, 'i', "in 1"), (2, 'i', "in 1")] },
    first_seen_out = { &[(4, 'o', "out 4"), (5, 'i', "returning 5")] },
    out_and_back = { &[(1, 'i', "in 1"), (2, 'o', "out 2"), (3, 'i', "returning 3")] },
    out_again_while_returning = { &[(1, 'o', "out 1"), (2, 'i', "returning 2"), (3, 'o', "out 3")] },
    settles = { &[(1, 'o', "out 1"), (2, 'i', "returning 2"), (2, 's', "in 2")] },
    out_does_not_settle = { &[(1, 'o', "out 1"), (1, 's', "out 1")] },
    missed_versions = { &[(1, 'i', "in 1"), (3, 'i', "in 3")] },
    older_bundle_is_ignored = { &[(3, 'o', "out 3"), (2, 'i', "out 3")] },
)]
fn phases(steps: &[(u64, char, &str)]) {
    let (board, mut writers) = Blackboard::new(host(0), Name::from("north"));
    let mut zones = ZoneController::new(writers.zones);
    let mut ms = 0;
    for (version, wanted, expected) in steps {
        ms += 1_000;
        let state = match wanted {
            'o' => ZoneState::Out,
            _ => ZoneState::In,
        };
        if *wanted == 's' {
            ms += 60_000;
        } else {
            let new = bundle(*version, state, None);
            writers.bundle.publish(Some(new));
        }
        zones.step(&board, ZoneEvent::Tick, at(ms));
        let table = board.zones.read();
        let entry = table.value.zones["north"];
        let phase = match entry.phase {
            ZonePhase::In => "in",
            ZonePhase::Out => "out",
            ZonePhase::Returning => "returning",
        };
        assert_eq!(format!("{phase} {}", entry.since.0), *expected);
        assert_eq!(
            table.value.accepts_requests(&Name::from("north")),
            phase != "out"
        );
    }
}
