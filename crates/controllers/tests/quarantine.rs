//! Tests the quarantine controller on one host.

mod support;

use heatherhinge_blackboard::{Blackboard, Quarantine, Writers};
use heatherhinge_controllers::{
    Controller, CrashReport, CrashReportId, CrashReportOutcome, QuarantineController,
    QuarantineEffect, QuarantineEvent,
};
use heatherhinge_types::{Digest, Name, StartId, WallMs};
use support::{addr, at, host, host_table, owned_by, record};
use yare::parameterized;

fn crash(digest: u128, target: u16, run: u64) -> CrashReport {
    CrashReport {
        digest: Digest(digest),
        target: Name::from(addr(target).to_string()),
        start_id: Some(StartId(run)),
    }
}

/// Guards against a poison request that crashes more than 2 targets, and against a quarantine of
/// harmless requests. The first argument is the owner; the controller runs on host 0. Steps:
/// - `a`, `b`: a crash on target 1, 2
/// - `A`: a crash on a later run of target 1
/// - `s`: a success
/// - `P`, `S`: a peer reports a crash on target 2, a success
/// - `w`, `W`: one second, ten minutes pass
/// - `o`, `q`, `u`: the owner counts the crash, quarantines the digest, is unreachable
/// - `m`: a peer's record contains the quarantine
#[parameterized(
    owner_one_crash = { 0, "a", false },
    owner_two_targets = { 0, "ab", true },
    owner_same_run_twice = { 0, "aaa", false },
    owner_same_target_two_runs = { 0, "aA", true },
    owner_success_between = { 0, "asb", false },
    owner_peer_success_between = { 0, "aSb", false },
    owner_counts_peers = { 0, "aP", true },
    owner_ends_after_ten_minutes = { 0, "abW", false },
    owner_old_crash_does_not_count = { 0, "aWb", false },
    owner_holds_for_long = { 0, "abwwwww", true },
    other_owner_counts = { 1, "aobo", false },
    other_owner_quarantines = { 1, "aobq", true },
    unreachable_counts_alone = { 1, "aubu", true },
    unreachable_success_between = { 1, "ausbu", false },
    learned_from_a_record = { 0, "m", true },
    learned_end_passes = { 0, "mW", false },
)]
fn is_quarantined(owner: usize, steps: &str, expected: bool) {
    let (board, writers) = Blackboard::new(host(0), Name::from("north"));
    let Writers {
        mut owners,
        mut hosts,
        quarantine,
        ..
    } = writers;
    owners.publish(owned_by(&host(owner), at(u64::from(u32::MAX))));
    let mut controller = QuarantineController::new(quarantine);
    let (mut ms, mut next) = (0, 0);
    for step in steps.chars() {
        let id = CrashReportId(next);
        let until_wall_ms = WallMs(at(ms).wall_ms.0 + 500_000);
        let own = |report| QuarantineEvent::Crashed { id, report };
        let event = match step {
            'a' => own(crash(5, 1, 1)),
            'b' => own(crash(5, 2, 1)),
            'A' => own(crash(5, 1, 2)),
            's' => QuarantineEvent::Succeeded { digest: Digest(5) },
            'S' => QuarantineEvent::PeerSucceeded { digest: Digest(5) },
            'P' => QuarantineEvent::PeerCrashed {
                from: host(1),
                id,
                report: crash(5, 2, 1),
            },
            'o' | 'q' => QuarantineEvent::OwnerResponded {
                id: CrashReportId(next - 1),
                outcome: match step {
                    'o' => CrashReportOutcome::Counted,
                    _ => CrashReportOutcome::Quarantined { until_wall_ms },
                },
            },
            'u' => QuarantineEvent::OwnerUnreachable {
                id: CrashReportId(next - 1),
            },
            'm' => {
                let mut peer = record(&host(1), 1);
                peer.quarantine = vec![Quarantine {
                    digest: Digest(5),
                    until_wall_ms,
                }];
                hosts.publish(host_table([(peer, true)]));
                QuarantineEvent::Tick
            }
            _ => QuarantineEvent::Tick,
        };
        ms += if step == 'W' { 600_000 } else { 1_000 };
        next += u64::from("abAP".contains(step));
        controller.step(&board, event, at(ms));
    }
    let table = board.quarantine.read();
    assert_eq!(
        table.value.is_quarantined(Digest(5), at(ms).wall_ms),
        expected
    );
}

/// Guards against a response to the caller before the other hosts have the quarantine: the caller
/// would send the request again through one of them.
#[test]
fn report_is_settled_after_peers_confirm() {
    let (board, writers) = Blackboard::new(host(0), Name::from("north"));
    let Writers {
        mut owners,
        mut hosts,
        quarantine,
        ..
    } = writers;
    owners.publish(owned_by(&host(0), at(60_000)));
    hosts.publish(host_table(
        (0..3).map(|index| (record(&host(index), 1), true)),
    ));
    let mut controller = QuarantineController::new(quarantine);
    let mut seen = Vec::new();
    let confirmed = |index| QuarantineEvent::BroadcastConfirmed {
        digest: Digest(5),
        host: host(index),
    };
    let events = [
        (
            0,
            QuarantineEvent::Crashed {
                id: CrashReportId(1),
                report: crash(5, 1, 1),
            },
        ),
        (
            10,
            QuarantineEvent::Crashed {
                id: CrashReportId(2),
                report: crash(5, 2, 1),
            },
        ),
        (20, confirmed(1)),
        (30, confirmed(2)),
        (
            40,
            QuarantineEvent::Crashed {
                id: CrashReportId(3),
                report: crash(6, 1, 1),
            },
        ),
        (
            50,
            QuarantineEvent::Crashed {
                id: CrashReportId(4),
                report: crash(6, 2, 1),
            },
        ),
        (900, QuarantineEvent::Tick),
        (1_060, QuarantineEvent::Tick),
    ];
    for (ms, event) in events {
        for effect in controller.step(&board, event, at(ms)) {
            match effect {
                QuarantineEffect::Settled { id, outcome } => {
                    seen.push((ms, id.0, outcome != CrashReportOutcome::Counted));
                }
                QuarantineEffect::Broadcast { peers, .. } => assert_eq!(peers.len(), 2),
                _ => {}
            }
        }
    }
    assert_eq!(
        seen,
        [
            (0, 1, false),
            (30, 2, true),
            (40, 3, false),
            (1_060, 4, true)
        ]
    );
}

/// Guards against unbounded memory use when every request has another digest.
#[test]
fn memory_is_bounded() {
    let (board, writers) = Blackboard::new(host(0), Name::from("north"));
    let Writers {
        mut owners,
        quarantine,
        ..
    } = writers;
    owners.publish(owned_by(&host(0), at(u64::from(u32::MAX))));
    let mut controller = QuarantineController::new(quarantine);
    for index in 0..5_000_u64 {
        let report = crash(u128::from(index), 1, index);
        controller.step(
            &board,
            QuarantineEvent::Crashed {
                id: CrashReportId(index),
                report,
            },
            at(index),
        );
    }
    assert_eq!(controller.sizes(), (4_096, 0));
    assert_eq!(board.quarantine.read().value.suspects.len(), 4_096);
}
