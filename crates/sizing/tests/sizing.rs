//! Tests that the figures depend only on the size, and that the fitted lines are right.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_sizing::{Fit, Fleet, Size};
use yare::parameterized;

/// Guards against a fit that confuses slope and intercept, or that fits a line where none exists.
#[parameterized(
    rising = { &[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)], Some((2.0, 3.0)) },
    level = { &[(1.0, 4.0), (9.0, 4.0)], Some((0.0, 4.0)) },
    one_point = { &[(1.0, 4.0)], None },
    same_place = { &[(1.0, 4.0), (1.0, 5.0)], None },
)]
fn fits_a_line(points: &[(f64, f64)], expected: Option<(f64, f64)>) {
    let fit = Fit::of(points).map(|fit| (fit.slope, fit.intercept));
    match (fit, expected) {
        (Some(fit), Some(expected)) => {
            assert!((fit.0 - expected.0).abs() < 1e-9 && (fit.1 - expected.1).abs() < 1e-9);
        }
        (fit, expected) => assert_eq!(fit, expected),
    }
}

/// Guards against figures of a fleet that did not reach its steady state, and against figures that
/// differ between runs.
#[test]
fn small_fleet_settles_and_repeats() {
    let size = Size {
        hosts: 5,
        targets: 20,
        services: 4,
    };
    let run = || {
        let mut fleet = Fleet::new(size).unwrap();
        fleet.run(30).unwrap();
        fleet.warm_up();
        fleet.run(5).unwrap();
        assert_eq!((fleet.live_hosts(), fleet.owned_partitions()), (5, 256));
        assert_eq!(fleet.usable_targets(), 20);
        fleet.clear();
        fleet.run(10).unwrap();
        fleet.traffic()
    };
    let first = run();
    assert!(first.peer_bytes_in > 0 && first.owner_reads > 0);
    assert_eq!(first, run());
}
