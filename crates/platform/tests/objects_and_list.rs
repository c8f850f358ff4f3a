//! Tests the clients of the object store and the host list against the stand-in, with faults.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bytes::Bytes;
use heatherhinge_platform::{HostList, HostListClient, ObjectClient, ObjectStore, PlatformError};
use heatherhinge_standin_platform::{
    FaultSettings, Options, RunningPlatform, ServiceFaults, TargetGroup, spawn,
};
use serde_json::json;
use yare::parameterized;

fn objects(platform: &RunningPlatform, timeout_ms: u64) -> ObjectClient {
    ObjectClient::new(platform.objects_addr, "heatherhinge", timeout_ms)
}

fn faults(outage: bool, delay_ms: u64, lost_after: u32, malformed: u32) -> ServiceFaults {
    ServiceFaults {
        outage,
        delay_ms,
        lost_after_effect_next: lost_after,
        malformed_next: malformed,
        ..ServiceFaults::default()
    }
}

fn without_detail(error: PlatformError) -> PlatformError {
    match error {
        PlatformError::Malformed(_) => PlatformError::Malformed(String::new()),
        error => error,
    }
}

/// Guards against pages of a list that skip or repeat keys.
#[tokio::test]
async fn list_covers_all_pages() {
    let platform = spawn(&Options::default()).await.unwrap();
    let client = objects(&platform, 10_000);
    let keys: Vec<String> = (0..1_005)
        .map(|n| format!("records/h-1/{n:04}.jsonl"))
        .collect();
    for key in &keys {
        client.put(key, Bytes::from(key.clone())).await.unwrap();
    }
    client.put("other", Bytes::new()).await.unwrap();
    assert_eq!(client.list("records/").await, Ok(keys.clone()));
    assert_eq!(client.get(&keys[7]).await, Ok(Some(keys[7].clone().into())));
    assert_eq!(client.get("records/none").await, Ok(None));
    let invalid_key = client.put("a b", Bytes::new()).await;
    assert_eq!(
        invalid_key.map_err(without_detail),
        Err(PlatformError::Malformed(String::new()))
    );
}

/// Guards against an object that is reported as stored or absent when the outcome is unknown.
#[parameterized(
    outage = { faults(true, 0, 0, 0), PlatformError::Unavailable, Some(PlatformError::Unavailable) },
    slow = { faults(false, 600_000, 0, 0), PlatformError::OutcomeUnknown, Some(PlatformError::Unavailable) },
    lost_after_effect = { faults(false, 0, 1, 0), PlatformError::OutcomeUnknown, None },
    malformed_answer = { faults(false, 0, 0, 1), PlatformError::OutcomeUnknown, Some(PlatformError::Malformed(String::new())) },
)]
#[test_macro(tokio::test)]
async fn objects_under_fault(
    faults: ServiceFaults,
    put_error: PlatformError,
    list_error: Option<PlatformError>,
) {
    let platform = spawn(&Options::default()).await.unwrap();
    let client = objects(&platform, if faults.delay_ms > 0 { 100 } else { 10_000 });
    let settings = FaultSettings {
        objects: Some(faults),
        ..FaultSettings::default()
    };
    platform.set_faults(settings);
    assert_eq!(client.put("k", Bytes::new()).await, Err(put_error));
    platform.set_faults(settings);
    let listed = client.list("").await.map(drop).map_err(without_detail);
    assert_eq!(listed, list_error.map_or(Ok(()), Err));
}

fn groups() -> Vec<TargetGroup> {
    serde_json::from_value(json!([
        {"targets": ["127.0.0.1:1"], "labels": {"role": "entry", "host": "h-1", "zone": "z", "peer_addr": "127.0.0.1:2", "state": "leaving"}},
        {"targets": ["127.0.0.1:3", "127.0.0.1:4"], "labels": {"role": "target", "service": "s", "version": "v", "zone": "z", "state": "live"}},
    ]))
    .unwrap()
}

/// Guards against list entries that are decoded with the wrong role or state.
#[tokio::test]
async fn list_is_decoded_and_lags() {
    let platform = spawn(&Options::default()).await.unwrap();
    let client = HostListClient::new(platform.list_addr, 10_000);
    platform.register(&groups()).unwrap();
    let listing = client.read().await.unwrap();
    assert_eq!(listing.entries.len(), 1);
    assert!(listing.entries[0].is_leaving);
    assert_eq!(listing.entries[0].peer_addr, "127.0.0.1:2".parse().unwrap());
    assert_eq!(listing.targets.len(), 2);
    assert!(!listing.targets[1].is_leaving);
    platform.set_faults(FaultSettings {
        list_lag_ms: Some(600_000),
        ..FaultSettings::default()
    });
    assert_eq!(
        client.read().await,
        Ok(heatherhinge_platform::Listing::default())
    );
}

/// Guards against a list that counts as empty when it cannot be read.
#[parameterized(
    outage = { faults(true, 0, 0, 0), PlatformError::Unavailable },
    slow = { faults(false, 600_000, 0, 0), PlatformError::Unavailable },
    lost = { faults(false, 0, 1, 0), PlatformError::Unavailable },
    malformed_answer = { faults(false, 0, 0, 1), PlatformError::Malformed(String::new()) },
)]
#[test_macro(tokio::test)]
async fn list_under_fault(faults: ServiceFaults, expected: PlatformError) {
    let platform = spawn(&Options::default()).await.unwrap();
    platform.register(&groups()).unwrap();
    let timeout_ms = if faults.delay_ms > 0 { 100 } else { 10_000 };
    let client = HostListClient::new(platform.list_addr, timeout_ms);
    platform.set_faults(FaultSettings {
        list: Some(faults),
        ..FaultSettings::default()
    });
    assert_eq!(client.read().await.map_err(without_detail), Err(expected));
    platform.set_faults(FaultSettings {
        list: Some(ServiceFaults::default()),
        ..FaultSettings::default()
    });
    assert_eq!(
        client.read().await.map(|listing| listing.entries.len()),
        Ok(1)
    );
}
