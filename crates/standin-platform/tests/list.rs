//! Tests of the host list: registrations and lag.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_standin_platform::{HostList, ListEntry, TargetGroup};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use yare::parameterized;

fn group(labels: Value) -> TargetGroup {
    serde_json::from_value(json!({ "targets": ["127.0.0.1:9"], "labels": labels })).unwrap()
}

fn target(state: &str) -> ListEntry {
    let labels =
        json!({"role": "target", "zone": "z", "service": "s", "version": "v", "state": state});
    ListEntry::parse_group(&group(labels)).unwrap().remove(0)
}

fn states(list: &HostList, lag_s: u64, now: Instant) -> Vec<String> {
    list.view(Duration::from_secs(lag_s), now)
        .iter()
        .map(|group| group.labels["state"].clone())
        .collect()
}

/// Guards against a lagging list that shows a change too early or loses the state before it.
#[test]
fn lagging_view_shows_the_past_state() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut list = HostList::default();
    list.register(target("live"), at(10));
    list.register(target("leaving"), at(20));
    list.register(target("gone"), at(30));
    assert!(states(&list, 0, at(30)).is_empty());
    assert_eq!(states(&list, 10, at(30)), ["leaving"]);
    assert_eq!(states(&list, 20, at(30)), ["live"]);
    assert!(states(&list, 21, at(30)).is_empty());
}

/// Guards against listing an entry that heatherhinge cannot use.
#[parameterized(
    no_role = { json!({"zone": "z", "state": "live"}), "role" },
    no_state = { json!({"role": "entry", "zone": "z", "host": "h", "peer_addr": "127.0.0.1:1"}), "state" },
    other_state = { json!({"role": "entry", "zone": "z", "state": "up"}), "state" },
    no_version = { json!({"role": "target", "zone": "z", "service": "s", "state": "live"}), "version" },
    no_peer = { json!({"role": "entry", "zone": "z", "host": "h", "state": "live"}), "peer_addr" },
    bad_peer = { json!({"role": "entry", "zone": "z", "host": "h", "peer_addr": "h:1", "state": "live"}), "h:1" },
)]
fn invalid_registration_error_names_the_label(labels: Value, word: &str) {
    let message = ListEntry::parse_group(&group(labels)).unwrap_err();
    assert!(message.contains(word), "{message}");
}
