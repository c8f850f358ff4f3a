//! Tests the phases of a planned stop.

mod support;

use heatherhinge_blackboard::{Blackboard, HostPhase};
use heatherhinge_controllers::{Controller, DrainController, DrainEffect, DrainEvent, DrainLimits};
use heatherhinge_types::Name;
use std::sync::atomic::Ordering;
use support::{at, host};
use yare::parameterized;

/// Guards against a stop that aborts a request, that closes the listener while callers still get
/// the host's address, or that waits forever for a store that is down. Each step takes one second:
/// `S` stop, `r` released, `.` tick, and a digit sets the number of in-flight requests.
#[parameterized(
    idle = { "S....", None, "stop_advertising close release" },
    advertised_until_addresses_expire = { "S.", None, "stop_advertising" },
    waits_for_requests = { "1S.........", None, "stop_advertising close" },
    goes_on_when_empty = { "1S....0.r", None, "stop_advertising close release exit" },
    limit_of_the_settings = { "1S........", Some(4_000), "stop_advertising close release" },
    store_down = { "S..........", None, "stop_advertising close release exit" },
    second_signal_changes_nothing = { "1SSSSS", None, "stop_advertising close" },
    released_too_early = { "1S....rr", None, "stop_advertising close" },
    no_stop_signal = { ".....", None, "" },
)]
fn planned_stop(steps: &str, in_flight_ms: Option<u64>, expected: &str) {
    let (board, _writers) = Blackboard::new(host(0), Name::from("north"));
    let mut drain = DrainController::new(DrainLimits {
        keep_ms: 2_000,
        in_flight_ms,
    });
    let mut seen = Vec::new();
    drain.step(&board, DrainEvent::Ready, at(0));
    assert_eq!(board.counters.status.phase(), HostPhase::Serving);
    for (index, step) in steps.chars().enumerate() {
        let event = match step {
            'S' => DrainEvent::Stop,
            'r' => DrainEvent::Released,
            '.' => DrainEvent::Tick,
            digit => {
                let count = u64::from(digit.to_digit(10).unwrap_or(0));
                board.counters.in_flight.store(count, Ordering::Release);
                DrainEvent::Tick
            }
        };
        let effects = drain.step(&board, event, at(1_000 * (index as u64 + 1)));
        seen.extend(effects.into_iter().filter_map(|effect| match effect {
            DrainEffect::StopAdvertising => Some("stop_advertising"),
            DrainEffect::CloseListener => Some("close"),
            DrainEffect::ReleasePartitions => Some("release"),
            DrainEffect::Exit => Some("exit"),
            DrainEffect::Record(_) => None,
        }));
    }
    assert_eq!(seen.join(" "), expected);
}
