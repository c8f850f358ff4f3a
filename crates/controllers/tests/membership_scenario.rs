//! Tests membership and the spread of bundles in one scenario, by the log that an operator would
//! see.

mod common;

use common::Fleet;

/// Guards against any change of which hosts are live and fresh and which bundle is in force when
/// five hosts start, take a bundle during a store outage at one of them, are partitioned and
/// reconnect.
#[test]
fn start_outage_partition_and_heal() {
    let mut fleet = Fleet::new(5, 1);
    fleet.run_ms(4_000);
    fleet.log_note("the store is down for h5");
    fleet.store_down.insert(5);
    fleet.run_ms(4_000);
    fleet.log_note("bundle 2 is accepted");
    fleet.accepted = 2;
    fleet.run_ms(4_000);
    fleet.log_note("h4 and h5 are cut off from the others and the store");
    fleet.far_side = [4, 5].into();
    fleet.store_down = [4, 5].into();
    fleet.run_ms(1_000);
    fleet.log_note("bundle 3 is accepted");
    fleet.accepted = 3;
    fleet.run_ms(9_000);
    fleet.log_note("the network heals; the store stays down for h4 and h5");
    fleet.far_side.clear();
    fleet.run_ms(5_000);
    insta::assert_snapshot!(fleet.log);
}
