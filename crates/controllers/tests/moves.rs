//! Tests the move controller on one host under store, leader and peer faults.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod support;

use heatherhinge_blackboard::{Blackboard, MoveState, MoveVerdict, Writers};
use heatherhinge_bundle::{VersionMove, ZoneState};
use heatherhinge_controllers::{
    Controller, MoveController, MoveEffect, MoveEvent, MoveRow, StoreUnavailable, TargetController,
    TargetEvent, WriteOutcome,
};
use heatherhinge_types::Name;
use support::{at, bundle, host, host_table, owned_by, record};
use yare::parameterized;

fn version_move() -> VersionMove {
    VersionMove {
        id: Name::from("m1"),
        from: Name::from("v1"),
        to: Name::from("v2"),
        end_wall_ms: at(100_000).wall_ms,
        cap_permille: 20,
        min_samples: 300,
    }
}

fn verdict(state: MoveState, share_permille: u32, step: u64) -> MoveVerdict {
    MoveVerdict {
        service: Name::from("orders"),
        move_id: Name::from("m1"),
        state,
        share_permille,
        step,
    }
}

fn row_of(verdict: &MoveVerdict) -> MoveRow {
    MoveRow {
        move_id: verdict.move_id.clone(),
        service: verdict.service.clone(),
        state: verdict.state,
        share_permille: verdict.share_permille,
        step: verdict.step,
        writer: host(1),
        nonce: 77,
    }
}

/// Guards against a share that is raised without the store, a lost response that is treated as a
/// failure or a success, a leader that decides without a lease, and a verdict that is undone.
///
/// The first argument is the leader; the controller runs on host 0. Each step takes 3 s:
/// - `n`, `x`: the store has no row, or does not respond to a read
/// - `o`, `O`: it has the row of another leader (raising, 250, step 3), or a row that is taken back
/// - `w`, `c`, `u`: the last write took effect, met a conflict, or got no response
/// - `f`: a read returns the last write
/// - `a`, `s`, `B`: a peer's verdict is raising 100 at step 2, canary at step 1, or taken back
/// - `K`: a peer halted the move
/// - `L`: the lease has expired
/// - `e`: the end time passes
/// - `W`: the move is withdrawn
/// - `t`: time passes
///
/// Expected are the state, the share, and the number of attempted writes and reports.
#[parameterized(
    begins = { 0, "tnw", "Canary 20, 1 writes, 0 reports" },
    not_before_the_row_is_read = { 0, "tttx", "Waiting 0, 0 writes, 0 reports" },
    not_before_the_write_is_known = { 0, "tnt", "Waiting 0, 1 writes, 0 reports" },
    lost_response_of_a_written_row = { 0, "tnutf", "Canary 20, 1 writes, 0 reports" },
    lost_response_of_an_unwritten_row = { 0, "tnutnw", "Canary 20, 2 writes, 0 reports" },
    conflict_reads_again = { 0, "tncto", "Raising 250, 1 writes, 0 reports" },
    row_of_another_leader = { 0, "to", "Raising 250, 0 writes, 0 reports" },
    taken_back_in_the_store = { 0, "tOt", "TakenBack 0, 0 writes, 1 reports" },
    follower_never_writes = { 1, "tnttt", "Waiting 0, 0 writes, 0 reports" },
    follower_applies_peer_verdict = { 1, "tna", "Raising 100, 0 writes, 0 reports" },
    follower_ignores_older_verdict = { 1, "tnas", "Raising 100, 0 writes, 0 reports" },
    follower_learns_from_the_store = { 1, "tO", "TakenBack 0, 0 writes, 0 reports" },
    verdict_is_not_undone = { 1, "tnBas", "TakenBack 0, 0 writes, 0 reports" },
    leader_applies_taken_back = { 0, "tnwBt", "TakenBack 0, 2 writes, 1 reports" },
    peer_halts = { 0, "tnwKt", "TakenBack 0, 2 writes, 1 reports" },
    peer_halts_while_the_store_is_down = { 0, "tnuxK", "TakenBack 0, 1 writes, 1 reports" },
    halt_reported_to_a_follower = { 1, "tnaK", "Raising 100, 0 writes, 0 reports" },
    raise_that_ends_after_taken_back = { 0, "tnKw", "TakenBack 0, 2 writes, 1 reports" },
    late_without_the_store = { 0, "tnwet", "Late 20, 2 writes, 1 reports" },
    late_may_be_taken_back = { 0, "tnweKt", "TakenBack 0, 2 writes, 2 reports" },
    no_lease = { 0, "Ltnttt", "Waiting 0, 0 writes, 0 reports" },
    lease_ends = { 0, "tnwLe", "Canary 20, 1 writes, 0 reports" },
    withdrawn = { 0, "tnwW", "none, 1 writes, 0 reports" },
    response_after_withdrawal = { 0, "tnWw", "none, 1 writes, 0 reports" },
)]
fn move_faults(leader: usize, steps: &str, expected: &str) {
    let (board, writers) = Blackboard::new(host(0), Name::from("north"));
    let Writers {
        bundle: mut bundles,
        mut owners,
        mut hosts,
        moves,
        ..
    } = writers;
    bundles.publish(Some(bundle(1, ZoneState::In, Some(version_move()))));
    owners.publish(owned_by(&host(leader), at(1_000_000)));
    let mut controller = MoveController::new(moves, 1);
    let (mut ms, mut written, mut reports, mut sequence) = (0, Vec::new(), 0, 0);
    let id = Name::from("m1");
    for step in steps.chars() {
        ms += 3_000;
        let read = |row| MoveEvent::RowRead {
            move_id: id.clone(),
            row,
        };
        let last: Option<&MoveRow> = written.last();
        let outcome = |outcome| MoveEvent::RowWritten {
            move_id: id.clone(),
            nonce: last.map_or(0, |row| row.nonce),
            outcome,
        };
        let other = verdict(MoveState::Raising, 250, 3);
        let bad = verdict(MoveState::TakenBack, 0, 9);
        let peer_verdict = match step {
            'a' => Some(verdict(MoveState::Raising, 100, 2)),
            's' => Some(verdict(MoveState::Canary, 20, 1)),
            'B' => Some(bad.clone()),
            _ => None,
        };
        if let Some(verdict) = peer_verdict {
            sequence += 1;
            let mut peer = record(&host(1), sequence);
            peer.verdicts = vec![verdict];
            hosts.publish(host_table([(peer, true)]));
        }
        let event = match step {
            'n' => read(Ok(None)),
            'x' => read(Err(StoreUnavailable)),
            'o' => read(Ok(Some(row_of(&other)))),
            'O' => read(Ok(Some(row_of(&bad)))),
            'f' => read(Ok(last.cloned())),
            'w' => outcome(WriteOutcome::Written),
            'c' => outcome(WriteOutcome::Conflict),
            'u' => outcome(WriteOutcome::Unknown),
            'K' => MoveEvent::HaltReported {
                move_id: id.clone(),
                from: host(2),
            },
            _ => MoveEvent::Tick,
        };
        match step {
            'L' => owners.publish(owned_by(&host(leader), at(0))),
            'e' => ms += 100_000,
            'W' => bundles.publish(Some(bundle(2, ZoneState::In, None))),
            _ => {}
        }
        // The daemon sends a tick between the responses.
        for event in [event, MoveEvent::Tick] {
            for effect in controller.step(&board, event, at(ms)) {
                match effect {
                    MoveEffect::WriteRow { row, .. } => written.push(row),
                    MoveEffect::WriteReport(report) => {
                        reports += 1;
                        let event = MoveEvent::ReportWritten {
                            move_id: report.move_id,
                            state: report.state,
                            outcome: WriteOutcome::Written,
                        };
                        controller.step(&board, event, at(ms));
                    }
                    _ => {}
                }
            }
        }
    }
    let table = board.moves.read();
    let entry = table.value.services.get("orders");
    let shown = entry.map_or("none".to_owned(), |e| {
        format!("{:?} {}", e.state, e.share_permille)
    });
    assert_eq!(
        format!("{shown}, {} writes, {reports} reports", written.len()),
        expected
    );
}

/// Guards against a host that keeps sending to a version that fails on it while it cannot reach
/// the leader, and against one that halts a good version.
#[parameterized(bad = { 8, 0, true }, good = { 0, 100, false })]
fn host_halts_on_its_own_evidence(failed: u64, expected_permille: u32, is_notified: bool) {
    let (board, writers) = Blackboard::new(host(0), Name::from("north"));
    let Writers {
        mut bundle,
        mut owners,
        mut hosts,
        moves,
        routing,
        ..
    } = writers;
    bundle.publish(Some(support::bundle(
        1,
        ZoneState::In,
        Some(version_move()),
    )));
    owners.publish(owned_by(&host(1), at(1_000_000)));
    let mut peer = record(&host(1), 1);
    peer.verdicts = vec![verdict(MoveState::Raising, 100, 2)];
    hosts.publish(host_table([(peer, true)]));
    let mut controller = MoveController::new(moves, 1);
    let mut targets = TargetController::new(routing);
    let mut notifications = 0;
    for second in 0..30 {
        let effects = controller.step(&board, MoveEvent::Tick, at(second * 1_000));
        let is_notification =
            |effect: &&MoveEffect| matches!(effect, MoveEffect::NotifyLeader { .. });
        notifications += effects.iter().filter(is_notification).count();
        targets.step(&board, TargetEvent::Tick, at(second * 1_000));
        let snapshot = board.routing.read();
        let counters = snapshot.value.services["orders"]
            .move_counters
            .as_ref()
            .unwrap();
        let route = &counters.routes["read"];
        (0..90).for_each(|_| route.count_good(false, 1_000, false));
        (0..10 - failed).for_each(|_| route.count_good(true, 1_000, false));
        (0..failed).for_each(|_| route.count_failed(true));
    }
    let table = board.moves.read();
    assert_eq!(
        table.value.services["orders"].share_permille,
        expected_permille
    );
    assert_eq!(table.value.services["orders"].state, MoveState::Raising);
    assert_eq!(
        notifications > 1,
        is_notified,
        "the leader must be notified until it responds"
    );
}
