//! Tests the rules by which the claim table grants, settles, expires and hands over claims.

use heatherhinge_claims::{
    AttemptId, ClaimLimits, ClaimRequest, ClaimResponse, ClaimTable, Outcome, RETENTION_MS,
    SettleResponse, Settlement, StoredResponse, Tenure, TenureId,
};
use heatherhinge_types::{CLOCK_ERROR_MS, Code, Digest, IdempotencyKey, MonoNs, Name, Now, WallMs};
use yare::parameterized;

const START_MS: u64 = 1_000_000;

fn at(ms: u64) -> Now {
    Now {
        mono_ns: MonoNs::from_ms(ms),
        wall_ms: WallMs(START_MS + ms),
    }
}

/// Returns a tenure that began at 0 and whose lease ends at `until_ms`.
fn tenure(until_ms: u64) -> Tenure {
    Tenure {
        lease_until_wall_ms: at(until_ms).wall_ms,
        lease_until_ns: at(until_ms).mono_ns,
        from_wall_ms: at(0).wall_ms,
        has_earlier_claims: false,
    }
}

fn key(issued_ms: u64, number: u8) -> IdempotencyKey {
    IdempotencyKey::new(at(issued_ms).wall_ms, [number, 0, 0, 0, 0, 0, 0, 0, 0, 9])
}

fn request(key: IdempotencyKey, sequence: u64) -> ClaimRequest {
    ClaimRequest {
        key,
        digest: Digest(1),
        sender: Name::from("sender"),
        attempt: AttemptId {
            incarnation: 1,
            sequence,
        },
    }
}

fn settlement(request: &ClaimRequest, outcome: Outcome) -> Settlement {
    Settlement {
        key: request.key,
        digest: request.digest,
        sender: request.sender.clone(),
        attempt: request.attempt,
        outcome,
    }
}

fn response(body_bytes: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; body_bytes],
    }
}

fn table() -> ClaimTable {
    ClaimTable::new(ClaimLimits {
        max_claims: 3,
        max_stored_bytes: 8_192,
    })
}

fn refused(code: Code) -> ClaimResponse {
    ClaimResponse::Refused {
        code: code.number(),
    }
}

fn granted_until(until_ms: u64) -> ClaimResponse {
    ClaimResponse::Granted {
        not_after_wall_ms: at(until_ms - CLOCK_ERROR_MS).wall_ms,
    }
}

fn is_granted(response: &ClaimResponse) -> bool {
    matches!(response, ClaimResponse::Granted { .. })
}

/// Guards against a rule on lease or issue time that is wrong at its boundary.
#[parameterized(
    lease_ends_by_the_clock_error = { 20_000, 19_500, 19_000, ClaimResponse::NotOwner },
    lease_still_valid = { 20_000, 19_499, 19_000, granted_until(20_000) },
    future_by_the_clock_error = { 600_000, 10_000, 10_000 + CLOCK_ERROR_MS, granted_until(600_000) },
    future_by_more = { 600_000, 10_000, 10_001 + CLOCK_ERROR_MS, refused(Code::KeyFromFuture) },
    as_old_as_the_retention = { 600_000, 400_000, 400_000 - RETENTION_MS, granted_until(600_000) },
    older_than_the_retention = { 600_000, 400_000, 399_999 - RETENTION_MS, refused(Code::KeyTooOld) },
    within_twice_the_clock_error_of_the_tenure = { 600_000, 5_000, 2 * CLOCK_ERROR_MS, refused(Code::KeyBeforeTenure) },
    after_twice_the_clock_error = { 600_000, 5_000, 2 * CLOCK_ERROR_MS + 1, granted_until(600_000) },
)]
fn lease_and_issue_time(until_ms: u64, now_ms: u64, issued_ms: u64, expected: ClaimResponse) {
    let got = table().claim(
        &request(key(issued_ms, 0), 1),
        &tenure(until_ms),
        at(now_ms),
    );
    assert_eq!(got, expected);
}

/// Guards against a wall clock that was set back and extends the lease.
#[test]
fn lease_ends_by_monotonic_clock_too() {
    let now = Now {
        mono_ns: at(60_000).mono_ns,
        wall_ms: at(5_000).wall_ms,
    };
    let got = table().claim(&request(key(4_000, 0), 1), &tenure(60_000), now);
    assert_eq!(got, ClaimResponse::NotOwner);
}

/// Guards against a settlement that wrongly releases a key or sets its response. Attempt 1 holds
/// the claim; each case lists settlements as (attempt, outcome); then attempt 9 claims the key.
#[parameterized(
    never_settled = { &[], refused(Code::KeyRunning) },
    unknown = { &[(1, Outcome::Unknown)], refused(Code::KeyRunning) },
    not_run_of_another_attempt = { &[(2, Outcome::NotRun)], refused(Code::KeyRunning) },
    completed_of_another_attempt = { &[(2, Outcome::Completed(None))], refused(Code::KeyRunning) },
    not_run_after_unknown = { &[(1, Outcome::Unknown), (1, Outcome::NotRun)], refused(Code::KeyRunning) },
    not_run_after_completed = { &[(1, Outcome::Completed(None)), (1, Outcome::NotRun)], refused(Code::KeyCompleted) },
    unknown_after_completed = { &[(1, Outcome::Completed(Some(response(5)))), (1, Outcome::Unknown)], ClaimResponse::Completed(response(5)) },
    completed_after_unknown = { &[(1, Outcome::Unknown), (1, Outcome::Completed(Some(response(5))))], ClaimResponse::Completed(response(5)) },
    another_answer_after_completed = { &[(1, Outcome::Completed(Some(response(5)))), (1, Outcome::Completed(Some(response(6))))], ClaimResponse::Completed(response(5)) },
    large_answer = { &[(1, Outcome::Completed(Some(response(4_097))))], refused(Code::KeyCompleted) },
)]
fn settlement_decides_the_next_claim(steps: &[(u64, Outcome)], expected: ClaimResponse) {
    let (mut table, tenure, key) = (table(), tenure(600_000), key(5_000, 0));
    assert!(is_granted(&table.claim(
        &request(key, 1),
        &tenure,
        at(5_000)
    )));
    for (attempt, outcome) in steps {
        table.settle(
            settlement(&request(key, *attempt), outcome.clone()),
            at(6_000),
        );
    }
    assert_eq!(table.claim(&request(key, 9), &tenure, at(7_000)), expected);
}

/// Guards against a late, repeated settlement that releases the claim of a newer attempt.
#[test]
fn stale_settlement_leaves_a_newer_claim() {
    let (mut table, tenure, key) = (table(), tenure(600_000), key(5_000, 0));
    let (first, second) = (request(key, 1), request(key, 2));
    table.claim(&first, &tenure, at(5_000));
    let not_run = settlement(&first, Outcome::NotRun);
    assert_eq!(
        table.settle(not_run.clone(), at(5_001)),
        SettleResponse::Settled
    );
    assert!(is_granted(&table.claim(&second, &tenure, at(5_002))));
    assert_eq!(table.settle(not_run, at(5_003)), SettleResponse::Stale);
    assert_eq!(
        table.claim(&request(key, 3), &tenure, at(5_004)),
        refused(Code::KeyRunning)
    );
}

/// Guards against a repeated claim message that is refused, so that the request is never sent, and
/// against a key that is reused for another request.
#[test]
fn repeated_and_reused_keys() {
    let (mut table, tenure, key) = (table(), tenure(600_000), key(5_000, 0));
    let first = request(key, 1);
    let granted = table.claim(&first, &tenure, at(5_000));
    assert_eq!(table.claim(&first, &tenure, at(5_001)), granted);
    table.settle(settlement(&first, Outcome::Completed(None)), at(5_002));
    let other = ClaimRequest {
        digest: Digest(2),
        ..request(key, 2)
    };
    assert_eq!(
        table.claim(&other, &tenure, at(5_003)),
        refused(Code::KeyReused)
    );
}

/// Guards against a claim that is deleted within its retention because the table is full by count
/// or by bytes.
#[test]
fn full_table_refuses_new_keys_and_keeps_the_old() {
    let (mut table, tenure) = (table(), tenure(900_000));
    let requests = [0, 1, 2].map(|number| request(key(5_000, number), 1));
    for request in &requests {
        assert!(is_granted(&table.claim(request, &tenure, at(5_000))));
    }
    for request in &requests {
        let outcome = Outcome::Completed(Some(response(4_096)));
        table.settle(settlement(request, outcome), at(5_000));
    }
    assert_eq!(
        table.stored_bytes(),
        8_192,
        "the third response does not fit and is not stored"
    );
    let extra = request(key(5_000, 7), 1);
    assert_eq!(
        table.claim(&extra, &tenure, at(5_000)),
        refused(Code::ClaimsFull)
    );
    let late_ms = 5_000 + RETENTION_MS + 2 * CLOCK_ERROR_MS;
    assert_eq!(table.expire(at(late_ms)), 0);
    assert_eq!(table.expire(at(late_ms + 1)), 3);
    assert_eq!((table.len(), table.stored_bytes()), (0, 0));
}

/// Guards against a tenure that grants a key after its claims were handed over, and against
/// adopting the claims of a tenure other than the previous one.
#[test]
fn hand_over_closes_the_tenure_and_only_its_successor_adopts() {
    let (mut old, mut new, held) = (table(), table(), tenure(600_000));
    let settled = request(key(5_000, 0), 1);
    old.claim(&settled, &held, at(5_000));
    old.settle(
        settlement(&settled, Outcome::Completed(Some(response(5)))),
        at(5_001),
    );
    let running = request(key(5_500, 1), 2);
    old.claim(&running, &held, at(5_500));
    let giver = TenureId {
        host: Name::from("old"),
        epoch: 1,
        from_wall_ms: held.from_wall_ms,
    };
    let partition = settled.key.partition();
    let handed = old.hand_over(partition, giver.clone(), false);
    assert_eq!(
        old.claim(&request(key(6_000, 2), 3), &held, at(6_000)),
        ClaimResponse::NotOwner
    );
    let late = settlement(&running, Outcome::Completed(None));
    assert_eq!(old.settle(late.clone(), at(6_000)), SettleResponse::NotHeld);

    let next = Tenure {
        from_wall_ms: at(6_000).wall_ms,
        has_earlier_claims: true,
        ..held
    };
    let parts = handed.split(100);
    assert_eq!(parts.len(), 2);
    assert!(new.take_over(parts[0].clone()));
    assert!(
        !new.adopt(partition, &giver, next.from_wall_ms, at(6_000)),
        "a part is missing"
    );
    assert!(new.take_over(parts[1].clone()) && new.take_over(parts[1].clone()));
    let other_tenure = TenureId {
        epoch: 2,
        ..giver.clone()
    };
    assert!(!new.adopt(partition, &other_tenure, next.from_wall_ms, at(6_000)));
    let resend = ClaimRequest {
        attempt: AttemptId {
            incarnation: 2,
            sequence: 9,
        },
        ..settled
    };
    assert_eq!(
        new.claim(&resend, &next, at(6_100)),
        refused(Code::KeyBeforeTenure)
    );
    assert!(new.adopt(partition, &giver, next.from_wall_ms, at(6_100)));
    assert_eq!(
        new.claim(&resend, &next, at(6_100)),
        ClaimResponse::Completed(response(5))
    );
    assert_eq!(new.settle(late, at(6_200)), SettleResponse::Settled);
    let unclaimed = request(key(6_001, 3), 4);
    assert!(
        is_granted(&new.claim(&unclaimed, &next, at(6_200))),
        "the giver could have granted this key but did not"
    );
    let earlier = request(key(2 * CLOCK_ERROR_MS, 4), 5);
    let got = new.claim(&earlier, &next, at(6_200));
    assert_eq!(
        got,
        refused(Code::KeyBeforeTenure),
        "the giver had no earlier claims itself"
    );
}
