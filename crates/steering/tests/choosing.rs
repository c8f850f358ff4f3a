//! Load reports, ranking and sampling of targets, cold targets, and the step after an attempt.

use heatherhinge_orders::{Destination, TargetEntry, TargetPhase};
use heatherhinge_steering::{
    AttemptContext, AttemptOutcome, Fit, NextStep, ProbeRoundSize, RateLimit, Target, TargetCell,
    TargetGroup, TargetLoad, WeightedSplit, after_attempt, cost, fit, sample,
};
use heatherhinge_types::{MonoNs, Name};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use yare::parameterized;

fn load(running: u32, waiting: u32, slowness_percent: u32) -> TargetLoad {
    TargetLoad {
        running,
        waiting,
        slots: 4,
        slowness_percent,
    }
}

fn target(number: u16) -> Arc<Target> {
    Arc::new(Target {
        entry: Arc::new(TargetEntry {
            id: Name::from(format!("i-{number}")),
            service: Name::new("orders"),
            addr: ([127, 0, 0, 1], number).into(),
            zone: Name::new("a"),
            version: Name::new("v1"),
            slots: 4,
            phase: TargetPhase::Ready,
            cold_ms: 0,
            start_wall_ms: 1,
        }),
        health_path: Name::new("/health"),
        cold_interval_ns: 1_000_000,
        feeder_rank: None,
        ranked_hosts: 1,
        cell: Arc::new(TargetCell::default()),
    })
}

// Guards against a malformed report that is parsed as an idle target.
#[parameterized(
    full = { "3,1,8,700", Some((3, 1, 8, 700)) },
    three = { "3,0,8", Some((3, 0, 8, 100)) },
    spaces = { " 3, 0, 8, 120", Some((3, 0, 8, 120)) },
    empty = { "", None },
    two = { "3,0", None },
    word = { "a,b,c", None },
    negative = { "-1,0,8", None },
    no_slots = { "0,0,0", None },
    too_large = { "4294967295,0,8", Some((1_000_000, 0, 8, 100)) },
    too_slow = { "3,0,8,4294967295", Some((3, 0, 8, 1_000_000)) },
)]
fn parses_load_reports(text: &str, expected: Option<(u32, u32, u32, u32)>) {
    let read = text.parse::<TargetLoad>().ok();
    let read = read.map(|load| {
        (
            load.running,
            load.waiting,
            load.slots,
            load.slowness_percent,
        )
    });
    assert_eq!(read, expected);
}

// Guards against a malformed rate limit that is taken for none, or for an endless one.
#[parameterized(
    whole = { "3", Some(3_000) },
    decimal = { " 0.75 ", Some(750) },
    zero = { "0", Some(0) },
    negative = { "-1", None },
    infinite = { "inf", None },
    not_a_number = { "NaN", None },
    too_large = { "1e300", None },
    word = { "many", None },
    empty = { "", None },
)]
fn parses_rate_limits(text: &str, expected: Option<u64>) {
    let read = text.parse::<RateLimit>().ok();
    assert_eq!(read.map(|limit| limit.milli_per_s), expected);
}

// Guards against sending to a slow or full target while a fast one has a free slot.
#[parameterized(
    idle = { load(0, 0, 100), 0, Fit::Good },
    slow = { load(0, 0, 700), 0, Fit::Slow },
    full = { load(4, 0, 100), 0, Fit::Queues },
    queue = { load(3, 1, 100), 0, Fit::Queues },
    recent_failure = { load(0, 0, 100), 150, Fit::Slow },
)]
fn targets_fit_by_their_load(load: TargetLoad, failure_penalty_percent: u32, expected: Fit) {
    assert_eq!(fit(&load, failure_penalty_percent), expected);
}

// Guards against a cost that ranks a loaded or slow target before an idle one.
#[test]
fn costs_rise_with_load_and_slowness() {
    let idle = cost(&load(0, 0, 100), 0);
    let near_full = cost(&load(3, 0, 100), 0);
    let full = cost(&load(4, 0, 100), 0);
    let long_queue = cost(&load(4, 4, 100), 0);
    let slow = cost(&load(0, 0, 700), 0);
    assert!(idle < near_full && near_full < full && full < long_queue);
    assert!(idle < slow);
}

// Guards against probing a target that was probed already, that is avoided, or that is cold and
// assigned to another host.
#[test]
fn samples_exclude_ineligible_targets() {
    let now = MonoNs::from_ms(5_000);
    let targets: Vec<Arc<Target>> = (1..=5).map(target).collect();
    targets[1].cell.avoid_until(now.plus_ms(100));
    targets[2].cell.set_cold(now, 1_000);
    let group = TargetGroup {
        near: targets.clone(),
        far: Vec::new(),
    };
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let size = ProbeRoundSize { near: 5, far: 0 };
    let picked = sample(&group, &targets[..1], size, now, &mut rng);
    let mut ids: Vec<&str> = picked.iter().map(|target| target.id().as_str()).collect();
    ids.sort_unstable();
    assert_eq!(ids, ["i-4", "i-5"]);
}

// Guards against rounds that probe too few targets because the host's own zone has too few.
#[test]
fn far_targets_replace_missing_near_ones() {
    let group = TargetGroup {
        near: vec![target(1)],
        far: (2..=6).map(target).collect(),
    };
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let size = ProbeRoundSize { near: 3, far: 0 };
    let picked = sample(&group, &[], size, MonoNs::from_ms(1), &mut rng);
    assert_eq!(picked.len(), 3);
}

// Guards against exceeding what a cold or rate-limited target bears: the requests in any second stay
// within the rate and one more.
#[test]
fn tokens_bound_every_second() {
    let cell = TargetCell::default();
    let interval_ns = 200_000_000;
    let mut taken = Vec::new();
    for ms in 0..4_000 {
        let now = MonoNs::from_ms(10_000 + ms);
        if cell.take_token(now, interval_ns) {
            taken.push(ms);
        }
    }
    for start in 0..3_000 {
        let count = taken
            .iter()
            .filter(|ms| (start..start + 1_000).contains(*ms))
            .count();
        assert!(count <= 6, "{count} in the second from {start} ms");
    }
}

// Guards against a target that is never chosen again after one failure.
#[test]
fn failure_penalty_decays() {
    let cell = TargetCell::default();
    let now = MonoNs::from_ms(1_000);
    cell.record_failure(now);
    let fresh = cell.failure_penalty_percent(now);
    assert!(fresh > 0);
    assert!(cell.failure_penalty_percent(now.plus_ms(2_500)) < fresh / 2);
    assert_eq!(cell.failure_penalty_percent(now.plus_ms(60_000)), 0);
}

// Guards against shares that deviate from the weights over a few hundred requests.
#[test]
fn splits_follow_weights() {
    let part = |service: &str, weight| Destination {
        service: Name::new(service),
        weight,
    };
    let parts = [part("a", 90), part("b", 10)];
    for seed in [0, 1, 99, u64::MAX - 50] {
        let split = WeightedSplit::new(seed);
        let of_b = (0..300)
            .filter(|_| split.next(&parts).is_some_and(|part| *part.service == *"b"))
            .count();
        assert!((24..=36).contains(&of_b), "{of_b} of 300 with seed {seed}");
    }
    assert!(
        WeightedSplit::new(0)
            .next(&[part("a", 0), part("b", 0)])
            .is_none()
    );
}

fn context(end: AttemptOutcome, is_idempotent: bool, sends: u32, pending: usize) -> AttemptContext {
    AttemptContext {
        end,
        is_idempotent,
        sends,
        unsent_attempts: 1,
        max_sends: 2,
        pending,
    }
}

const BUDGETED_RETRY: NextStep = NextStep::Retry {
    draws_on_budget: true,
};

// Guards against a second run of an at-most-once request, and against more attempts than the route
// allows.
#[parameterized(
    answered = { context(AttemptOutcome::Answered, false, 1, 0), NextStep::Deliver },
    broke_idempotent = { context(AttemptOutcome::Broke, true, 1, 0), BUDGETED_RETRY },
    broke_once = { context(AttemptOutcome::Broke, false, 1, 0), NextStep::End },
    failed_idempotent = { context(AttemptOutcome::Failed, true, 1, 0), BUDGETED_RETRY },
    failed_once = { context(AttemptOutcome::Failed, false, 1, 0), NextStep::End },
    unconfirmed_idempotent = { context(AttemptOutcome::Unconfirmed, true, 1, 0), BUDGETED_RETRY },
    unconfirmed_once = { context(AttemptOutcome::Unconfirmed, false, 1, 0), NextStep::End },
    not_run_once = { context(AttemptOutcome::NotRun, false, 1, 0), BUDGETED_RETRY },
    last_send = { context(AttemptOutcome::Broke, true, 2, 0), NextStep::End },
    last_not_run = { context(AttemptOutcome::NotRun, false, 2, 0), NextStep::End },
    other_in_flight = { context(AttemptOutcome::Failed, true, 1, 1), NextStep::Await },
    never_sent = { context(AttemptOutcome::NeverSent, false, 0, 0), NextStep::Retry { draws_on_budget: false } },
    unplaced = { context(AttemptOutcome::NoTarget, true, 0, 0), NextStep::End },
)]
fn next_step_after_an_attempt(context: AttemptContext, expected: NextStep) {
    assert_eq!(after_attempt(&context), expected);
}
