//! Tests the time limit for a bundle to be in force under random faults, by seed.

mod common;

use common::Fleet;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

/// Cuts off a minority from the others and the store, pauses or restarts a host, or accepts a
/// bundle, and returns for how many milliseconds to run afterwards.
fn next_fault(fleet: &mut Fleet, count: usize, rng: &mut Pcg64Mcg) -> u64 {
    match rng.random_range(0..6) {
        0 | 1 => {
            let size = rng.random_range(0..=(count - 1) / 2);
            fleet.far_side.clear();
            while fleet.far_side.len() < size {
                fleet.far_side.insert(rng.random_range(1..=count));
            }
            fleet.store_down = fleet.far_side.clone();
            fleet.log_note(&format!("cut off: {:?}", fleet.far_side));
        }
        2 => {
            let host = rng.random_range(1..=count);
            fleet.pause(host, rng.random_range(500..8_000));
            fleet.log_note(&format!("h{host} is paused"));
        }
        3 => {
            let host = rng.random_range(1..=count);
            fleet.log_note(&format!("h{host} restarts"));
            fleet.restart(host);
        }
        _ => {
            fleet.accepted += 1;
            fleet.log_note(&format!("bundle {} is accepted", fleet.accepted));
        }
    }
    rng.random_range(1..60) * 100
}

/// Guards against a host that takes new work under a bundle that was replaced more than 4 s ago.
/// With 5 hosts and seed 9, a restarted host of a minority did so before it had read the platform's
/// list. With 19 hosts and seed 0, heartbeats counted although the records that came with them had
/// not arrived.
#[parameterized(
    five_hosts = { 5, 0, 40 },
    nineteen_hosts = { 19, 0, 4 },
)]
fn no_host_is_fresh_with_an_old_bundle(count: usize, first_seed: u64, seeds: u64) {
    for seed in first_seed..first_seed + seeds {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = Fleet::new(count, 1);
        let (mut accepted, mut accepted_ms) = (1, 0);
        fleet.run_ms(3_000);
        for _ in 0..30 {
            let run_ms = next_fault(&mut fleet, count, &mut rng);
            if fleet.accepted > accepted {
                (accepted, accepted_ms) = (fleet.accepted, fleet.now_ms);
            }
            fleet.run_checked(run_ms, |fleet| {
                for host in 1..=count {
                    let is_old = fleet.version(host) < accepted;
                    let is_late = fleet.now_ms > accepted_ms + 4_000;
                    let breaks = is_old && is_late && fleet.is_fresh(host);
                    assert!(!breaks, "seed {seed}, h{host}:\n{}", fleet.log);
                }
            });
        }
    }
}
