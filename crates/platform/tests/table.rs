//! Tests the table client against the stand-in, with faults.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_platform::{
    Attribute, Condition, Item, PlatformError, Table, TableClient, Write, idempotent_write,
};
use heatherhinge_standin_platform::{
    FaultSettings, Options, RunningPlatform, ServiceFaults, spawn,
};
use tokio::net::TcpSocket;
use yare::parameterized;

/// Timeout of a call that is expected to get a response.
const TIMEOUT_MS: u64 = 10_000;
/// Delay that is longer than any call's timeout.
const FOREVER_MS: u64 = 600_000;

const NO_FAULT: ServiceFaults = faults(false, 0, 0, 0, 0);
const OUTAGE: ServiceFaults = faults(true, 0, 0, 0, 0);
const SLOW: ServiceFaults = faults(false, FOREVER_MS, 0, 0, 0);
const LOST_BEFORE: ServiceFaults = faults(false, 0, 1, 0, 0);
const LOST_AFTER: ServiceFaults = faults(false, 0, 0, 1, 0);
const ALWAYS_LOST: ServiceFaults = ServiceFaults {
    lost_after_effect_permille: 1_000,
    ..NO_FAULT
};
const MALFORMED: ServiceFaults = faults(false, 0, 0, 0, 1);

const fn faults(
    outage: bool,
    delay_ms: u64,
    lost_before: u32,
    lost_after: u32,
    malformed: u32,
) -> ServiceFaults {
    ServiceFaults {
        outage,
        delay_ms,
        lost_before_effect_next: lost_before,
        lost_after_effect_next: lost_after,
        lost_after_effect_permille: 0,
        malformed_next: malformed,
        seed: 0,
    }
}

fn set_table_faults(platform: &RunningPlatform, faults: ServiceFaults) {
    platform.set_faults(FaultSettings {
        table: Some(faults),
        ..FaultSettings::default()
    });
}

/// Starts a stand-in that contains the row `a` in version 1.
async fn start() -> (RunningPlatform, TableClient) {
    let platform = spawn(&Options::default()).await.unwrap();
    let client = TableClient::new(platform.table_addr, "heatherhinge", TIMEOUT_MS);
    client
        .put(&row("a", 1), Condition::NotExists)
        .await
        .unwrap();
    (platform, client)
}

/// Returns a client with a short timeout if the fault delays every response.
fn client_for(platform: &RunningPlatform, faults: ServiceFaults) -> TableClient {
    let timeout_ms = if faults == SLOW { 100 } else { TIMEOUT_MS };
    TableClient::new(platform.table_addr, "heatherhinge", timeout_ms)
}

fn row(pk: &str, version: u64) -> Item {
    Item {
        pk: pk.to_owned(),
        version,
        nonce: format!("writer-1/{version}"),
        body: vec![0, 255, 7].into(),
        attributes: [("owner".to_owned(), Attribute::Text("host-1".to_owned()))].into(),
    }
}

fn put(item: Item, condition: Condition) -> Write {
    Write::Put { item, condition }
}

fn without_detail(result: Result<(), PlatformError>) -> Result<(), PlatformError> {
    result.map_err(|error| match error {
        PlatformError::Malformed(_) => PlatformError::Malformed(String::new()),
        error => error,
    })
}

/// Guards against a row that is read differently from how it was written.
#[tokio::test]
async fn rows_are_read_as_written() {
    let (_platform, client) = start().await;
    assert_eq!(client.get("a").await, Ok(Some(row("a", 1))));
    assert_eq!(client.get("b").await, Ok(None));
    client.put(&row("ab", 3), Condition::Always).await.unwrap();
    client.put(&row("b", 4), Condition::Always).await.unwrap();
    let scanned = client.scan("a").await;
    assert_eq!(scanned, Ok(vec![row("a", 1), row("ab", 3)]));
    client.delete("ab", Condition::Version(3)).await.unwrap();
    assert_eq!(client.get("ab").await, Ok(None));
}

/// Guards against a write whose outcome is reported wrongly under a fault.
#[parameterized(
    none = { NO_FAULT, Ok(()), Some(2) },
    outage = { OUTAGE, Err(PlatformError::Unavailable), Some(1) },
    slow = { SLOW, Err(PlatformError::OutcomeUnknown), None },
    lost_before_effect = { LOST_BEFORE, Err(PlatformError::OutcomeUnknown), Some(1) },
    lost_after_effect = { LOST_AFTER, Err(PlatformError::OutcomeUnknown), Some(2) },
    malformed_answer = { MALFORMED, Err(PlatformError::OutcomeUnknown), Some(2) },
)]
#[test_macro(tokio::test)]
async fn write_under_fault(
    faults: ServiceFaults,
    expected: Result<(), PlatformError>,
    stored: Option<u64>,
) {
    let (platform, client) = start().await;
    set_table_faults(&platform, faults);
    let writer = client_for(&platform, faults);
    let result = writer.put(&row("a", 2), Condition::Version(1)).await;
    assert_eq!(result, expected);
    set_table_faults(&platform, NO_FAULT);
    if let Some(version) = stored {
        assert_eq!(client.get("a").await, Ok(Some(row("a", version))));
    }
}

/// Guards against a read that reports a fault as an absent row.
#[parameterized(
    outage = { OUTAGE, PlatformError::Unavailable },
    slow = { SLOW, PlatformError::Unavailable },
    malformed_answer = { MALFORMED, PlatformError::Malformed(String::new()) },
)]
#[test_macro(tokio::test)]
async fn read_under_fault(faults: ServiceFaults, expected: PlatformError) {
    let (platform, _) = start().await;
    let reader = client_for(&platform, faults);
    set_table_faults(&platform, faults);
    let result = reader.get("a").await.map(drop);
    assert_eq!(without_detail(result), Err(expected.clone()));
    set_table_faults(&platform, faults);
    let result = reader.scan("a").await.map(drop);
    assert_eq!(without_detail(result), Err(expected));
}

/// Guards against a rejected write that is treated as an outage and retried forever.
#[parameterized(
    exists = { row("a", 2), Condition::NotExists, PlatformError::Conflict },
    other_version = { row("a", 3), Condition::Version(2), PlatformError::Conflict },
    absent = { row("b", 3), Condition::Version(2), PlatformError::Conflict },
    oversized = { Item { body: vec![0; 400 * 1024].into(), ..row("a", 2) }, Condition::Version(1), PlatformError::Malformed(String::new()) },
    no_key = { row("", 2), Condition::Always, PlatformError::Malformed(String::new()) },
)]
#[test_macro(tokio::test)]
async fn rejected_write_changes_nothing(item: Item, condition: Condition, expected: PlatformError) {
    let (_platform, client) = start().await;
    let alone = client.put(&item, condition).await;
    assert_eq!(without_detail(alone), Err(expected.clone()));
    let writes = [put(row("c", 1), Condition::NotExists), put(item, condition)];
    let together = client.transact(&writes).await;
    assert_eq!(without_detail(together), Err(expected));
    assert_eq!(client.scan("").await, Ok(vec![row("a", 1)]));
}

/// Guards against a lost response after which the writer assumes the wrong stored state.
#[parameterized(
    none = { NO_FAULT, Ok(()) },
    lost_before_effect = { LOST_BEFORE, Ok(()) },
    lost_after_effect = { LOST_AFTER, Ok(()) },
    malformed_answer = { MALFORMED, Ok(()) },
    every_answer_lost = { ALWAYS_LOST, Ok(()) },
    outage = { OUTAGE, Err(PlatformError::Unavailable) },
    slow = { SLOW, Err(PlatformError::OutcomeUnknown) },
)]
#[test_macro(tokio::test)]
async fn lost_response_is_resolved(faults: ServiceFaults, expected: Result<(), PlatformError>) {
    let one = vec![put(row("a", 2), Condition::Version(1))];
    let two = vec![
        put(row("a", 2), Condition::Version(1)),
        put(row("a#2", 1), Condition::NotExists),
    ];
    for writes in [one, two] {
        let (platform, client) = start().await;
        set_table_faults(&platform, faults);
        let writer = client_for(&platform, faults);
        assert_eq!(idempotent_write(&writer, &writes).await, expected);
        set_table_faults(&platform, NO_FAULT);
        // A second call completes the write whether or not the first copy took effect.
        assert_eq!(idempotent_write(&client, &writes).await, Ok(()));
        let stored = client.scan("a").await.map(|rows| rows.len());
        assert_eq!(stored, Ok(writes.len()));
    }
}

/// Guards against two writers that both assume that they wrote the same version.
#[tokio::test]
async fn one_of_two_writers_wins() {
    let (platform, client) = start().await;
    set_table_faults(&platform, ALWAYS_LOST);
    let first = put(row("a", 2), Condition::Version(1));
    let second = Item {
        nonce: "writer-2/2".to_owned(),
        ..row("a", 2)
    };
    let second = put(second, Condition::Version(1));
    assert_eq!(idempotent_write(&client, &[first]).await, Ok(()));
    let lost = idempotent_write(&client, &[second]).await;
    assert_eq!(lost, Err(PlatformError::Conflict));
}

/// Guards against an unreachable service that is treated as one that may have written.
#[tokio::test]
async fn refused_connection_is_unavailable() {
    let (platform, client) = start().await;
    drop(platform);
    assert_eq!(client.get("a").await, Err(PlatformError::Unavailable));
    // The socket reserves the port without listening, so that no other test gets it.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    let client = TableClient::new(addr, "heatherhinge", TIMEOUT_MS);
    let result = client.put(&row("a", 2), Condition::Always).await;
    assert_eq!(result, Err(PlatformError::Unavailable));
}
