//! Tests faults of the platform, of hosts and of targets with real daemons, stand-ins and sockets.

#![allow(
    clippy::unwrap_used,
    missing_docs,
    reason = "a failed unwrap fails the test"
)]

mod fleet;

use fleet::{Fleet, new_key, wall_now};
use heatherhinge_blackboard::MoveState;
use heatherhinge_bundle::format_wall_time;
use heatherhinge_records::admin::{ReportResponse, StatusResponse};
use heatherhinge_standin_platform::ServiceFaults;
use heatherhinge_standin_target::{BadEffect, BadVersion, BadWhen, Faults, TargetConfig};
use heatherhinge_types::{CLOCK_ERROR_MS, IdempotencyKey, Name};
use http::{Request, StatusCode};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

const BUNDLE: &str = "\
[bundle]
version = 1
[zone zone-1]
[service orders]
zones = zone-1
version = v1
slots = 5
warm_ms = 0
[route orders booking]
prefix = /booking
methods = POST
[route orders all]
prefix = /
[budget]
probes_per_s = 10
lease_ms = 120000
";
const HOSTS: [&str; 3] = ["entry-a", "entry-b", "entry-c"];
const OUTAGE: ServiceFaults = ServiceFaults {
    outage: true,
    delay_ms: 0,
    lost_before_effect_next: 0,
    lost_after_effect_next: 0,
    lost_after_effect_permille: 0,
    malformed_next: 0,
    seed: 0,
};

fn bundle(version: u64) -> String {
    BUNDLE.replace("version = 1\n", &format!("version = {version}\n"))
}

async fn serving(text: &str) -> Fleet {
    let targets = (0..4).map(|_| TargetConfig::new("orders")).collect();
    let mut fleet = Fleet::start(targets).await;
    for host in HOSTS {
        fleet.add_host(host, "zone-1").await;
    }
    let accepted = fleet.submit("entry-a", text).await;
    assert_eq!(accepted.status, StatusCode::OK, "{accepted:?}");
    until_version(&fleet, 1).await;
    fleet.until_owned().await;
    fleet.until_warm("/orders/stock").await;
    fleet.until_status("/orders/stock", StatusCode::OK).await;
    // Keys that are issued within twice the clock error of a change of owner are rejected.
    sleep(Duration::from_millis(2 * CLOCK_ERROR_MS)).await;
    fleet
}

async fn until_version(fleet: &Fleet, version: u64) {
    fleet
        .until_all("the version", |status| {
            status.bundle_version == version && status.is_fresh
        })
        .await;
}

fn set_target_faults(fleet: &Fleet, faults: &Faults) {
    for target in &fleet.targets {
        target.set_faults(faults.clone());
    }
}

fn runs_of(fleet: &Fleet, key: IdempotencyKey) -> usize {
    let key = key.to_string();
    let runs = fleet.targets.iter().flat_map(|target| target.executions());
    runs.filter(|run| run.key.as_ref() == Some(&key)).count()
}

/// Guards against a store outage stopping traffic, against a submission being wrongly
/// reported as accepted or as not run, and against hosts that stay cut off afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_does_not_stop_traffic() {
    let fleet = serving(BUNDLE).await;
    fleet.set_table_faults(OUTAGE);
    // Longer than a host stays fresh after its last read of the store alone.
    sleep(Duration::from_secs(4)).await;
    for number in 0..20 {
        for host in HOSTS {
            let response = fleet.get(host, "/orders/stock").await;
            assert_eq!(response.status, StatusCode::OK, "{host}: {response:?}");
        }
        let key = new_key(number);
        let booked = fleet.post("entry-b", "/orders/booking", key, "bell").await;
        assert_eq!(booked.status, StatusCode::OK, "{booked:?}");
        assert_eq!(runs_of(&fleet, key), 1);
    }
    let rejected = fleet.submit("entry-a", &bundle(2)).await;
    assert_eq!(rejected.header("heatherhinge-code"), "2301", "{rejected:?}");
    fleet.set_table_faults(ServiceFaults::default());
    until_version(&fleet, 1).await;
    let accepted = fleet.submit("entry-a", &bundle(2)).await;
    assert_eq!(accepted.status, StatusCode::OK, "{accepted:?}");
    until_version(&fleet, 2).await;
}

/// Guards against an accepted bundle being reported as rejected because the response to its write
/// was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_write_response_is_not_a_rejection() {
    let fleet = serving(BUNDLE).await;
    // The responses to all writes are lost, so that writes of leases cannot use up the fault.
    fleet.set_table_faults(ServiceFaults {
        lost_after_effect_permille: 1_000,
        ..ServiceFaults::default()
    });
    let response = fleet.submit("entry-a", &bundle(2)).await;
    let is_unknown = response.header("heatherhinge-code") == "2107";
    assert!(
        response.status == StatusCode::OK || is_unknown,
        "{response:?}"
    );
    until_version(&fleet, 2).await;
}

/// Guards against new hosts serving without a bundle, or with an older one, after all hosts were
/// replaced during a store outage.
#[tokio::test(flavor = "multi_thread")]
async fn fresh_hosts_wait_for_the_store() {
    let mut fleet = serving(BUNDLE).await;
    let accepted = fleet.submit("entry-b", &bundle(2)).await;
    assert_eq!(accepted.status, StatusCode::OK, "{accepted:?}");
    until_version(&fleet, 2).await;
    fleet.set_table_faults(OUTAGE);
    for host in HOSTS {
        fleet.kill_host(host);
    }
    let fresh = ["fresh-a", "fresh-b", "fresh-c"];
    for host in fresh {
        fleet.add_host(host, "zone-1").await;
    }
    for _ in 0..20 {
        for host in fresh {
            let response = fleet.get(host, "/orders/stock").await;
            assert_eq!(response.header("heatherhinge-code"), "1503", "{response:?}");
            assert_eq!(response.header("heatherhinge-ran"), "no", "{response:?}");
        }
        sleep(Duration::from_millis(100)).await;
    }
    fleet.set_table_faults(ServiceFaults::default());
    fleet
        .until_all("version 2", |status| {
            assert_ne!(status.bundle_version, 1, "{status:?}");
            status.bundle_version == 2 && status.is_fresh
        })
        .await;
}

/// Guards against a retry running again, or getting the response that it did not run, after the
/// host of the first attempt was killed, and against partitions left without an owner.
#[tokio::test(flavor = "multi_thread")]
async fn retries_after_a_killed_host_run_once() {
    let mut fleet = serving(&BUNDLE.replace("lease_ms = 120000", "lease_ms = 10000")).await;
    let mut keys = Vec::new();
    for number in 0..20 {
        let key = new_key(number);
        let booked = fleet.post("entry-b", "/orders/booking", key, "bell").await;
        assert_eq!(booked.status, StatusCode::OK, "{booked:?}");
        keys.push(key);
    }
    let slow = Faults {
        late_answer_ms: 2_000,
        ..Faults::default()
    };
    set_target_faults(&fleet, &slow);
    let mut callers = Vec::new();
    for number in 20..30 {
        let key = new_key(number);
        let mut caller = TcpStream::connect(fleet.addr("entry-b")).await.unwrap();
        let text = format!(
            "POST /orders/booking HTTP/1.1\r\nhost: h\r\nidempotency-key: {key}\r\n\
             content-length: 4\r\n\r\nbell"
        );
        caller.write_all(text.as_bytes()).await.unwrap();
        while runs_of(&fleet, key) == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        callers.push(caller);
        keys.push(key);
    }
    fleet.kill_host("entry-b");
    set_target_faults(&fleet, &Faults::default());
    retry_all(&fleet, &keys).await;
    // The lease of the killed host ends, and the others take over its partitions.
    fleet.until_owned().await;
    retry_all(&fleet, &keys).await;
    sleep(Duration::from_millis(2 * CLOCK_ERROR_MS)).await;
    for number in 100..140 {
        let key = new_key(number);
        let booked = fleet.post("entry-a", "/orders/booking", key, "bell").await;
        assert_eq!(booked.status, StatusCode::OK, "{booked:?}");
        assert_eq!(runs_of(&fleet, key), 1);
    }
    retry_all(&fleet, &keys).await;
}

async fn retry_all(fleet: &Fleet, keys: &[IdempotencyKey]) {
    for key in keys {
        for host in ["entry-a", "entry-c"] {
            let again = fleet.post(host, "/orders/booking", *key, "bell").await;
            let is_replayed = again.header("heatherhinge-replayed") == "1";
            let ran = again.header("heatherhinge-ran");
            assert!(
                is_replayed || ["unknown", "yes"].contains(&ran),
                "{again:?}"
            );
            assert_eq!(runs_of(fleet, *key), 1, "{again:?}");
        }
    }
}

/// Guards against a response that a target truncated being delivered as complete.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_never_complete() {
    let fleet = serving(BUNDLE).await;
    let truncated = Faults {
        truncate_answer: true,
        ..Faults::default()
    };
    set_target_faults(&fleet, &truncated);
    let received = || -> u64 { fleet.targets.iter().map(|t| t.counters().received).sum() };
    let before = received();
    for number in 0..10 {
        for host in HOSTS {
            for path in [format!("stock/{number}"), format!("{number}/bulk/300000")] {
                let uri = format!("http://{}/orders/{path}", fleet.addr(host));
                let response = fleet.try_send(Request::get(uri), String::new()).await;
                let is_complete = response.as_ref().is_some_and(|a| a.status.is_success());
                assert!(!is_complete, "{path}: {response:?}");
            }
        }
    }
    let truncated_responses = received() - before;
    assert!(
        truncated_responses >= 30,
        "only {truncated_responses} responses were truncated, expected at least 30"
    );
}

/// Guards against a late response being delivered to a later request.
#[tokio::test(flavor = "multi_thread")]
async fn late_response_reaches_no_other_request() {
    let fleet = serving(BUNDLE).await;
    let late = Faults {
        late_answer_ms: 2_000,
        ..Faults::default()
    };
    set_target_faults(&fleet, &late);
    for number in 0..4 {
        for host in HOSTS {
            let uri = format!("http://{}/orders/late/{number}", fleet.addr(host));
            let request = Request::get(uri).header("heatherhinge-deadline-ms", "300");
            let response = fleet.send(request, String::new()).await;
            assert_eq!(response.header("heatherhinge-code"), "1305", "{response:?}");
        }
    }
    set_target_faults(&fleet, &Faults::default());
    for number in 0..100 {
        let path = format!("/orders/own/{number}");
        let host = HOSTS[number % HOSTS.len()];
        let response = fleet.get(host, &path).await;
        assert_eq!(response.status, StatusCode::OK, "{path}: {response:?}");
        let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
        let own = body["path"].as_str().unwrap();
        assert!(own.ends_with(&format!("/own/{number}")), "{path}: {own}");
        // The late responses arrive while these requests are sent.
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a version that fails on one route staying in use, against its report being
/// written more than once, and against new hosts starting the move again after its rollback.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_stays_rolled_back() {
    let text = BUNDLE
        .replace("lease_ms = 120000", "lease_ms = 10000")
        .replace(
            "[route orders all]",
            "[route orders checks]\nprefix = /checks\n[route orders all]",
        );
    let mut fleet = serving(&text).await;
    for _ in 0..2 {
        let config = TargetConfig {
            version: Name::from("v2"),
            ..TargetConfig::new("orders")
        };
        fleet.add_target(config).await;
    }
    let sample = fleet.get("entry-a", "/orders/checks").await;
    let sample: serde_json::Value = serde_json::from_slice(&sample.body).unwrap();
    let prefix = sample["path"].as_str().unwrap().to_owned();
    let bad = BadVersion {
        effect: BadEffect::Fail,
        when: BadWhen::OnRoute { prefix },
    };
    for target in &fleet.targets[4..] {
        target.set_faults(Faults {
            bad_version: Some(bad.clone()),
            ..Faults::default()
        });
    }
    let end = format_wall_time(wall_now().plus_ms(90_000));
    let moving = format!(
        "{}[move orders]\nid = orders-2\nfrom = v1\nto = v2\nend = {end}\n\
         cap_permille = 100\nmin_samples = 20\n",
        text.replace("version = 1\n", "version = 2\n")
    );
    let accepted = fleet.submit("entry-a", &moving).await;
    assert_eq!(accepted.status, StatusCode::OK, "{accepted:?}");
    until_version(&fleet, 2).await;
    for _ in 0..2_000 {
        if send_checks(&fleet).await {
            break;
        }
    }
    fleet.until_all("the rollback", is_rolled_back).await;
    until_reported(&fleet, "entry-a").await;
    let runs = |fleet: &Fleet| -> usize {
        let new = fleet.targets[4..].iter();
        new.map(|target| target.executions().len()).sum()
    };
    let before = runs(&fleet);
    assert!(before > 0, "the new version never got a request");
    for host in HOSTS {
        fleet.kill_host(host);
    }
    for host in ["fresh-a", "fresh-b", "fresh-c"] {
        fleet.add_host(host, "zone-1").await;
    }
    for _ in 0..200 {
        send_checks(&fleet).await;
    }
    fleet.until_owned().await;
    fleet.until_all("the rollback", is_rolled_back).await;
    fleet.until_status("/orders/checks", StatusCode::OK).await;
    for _ in 0..100 {
        send_checks(&fleet).await;
    }
    until_reported(&fleet, "fresh-b").await;
    assert_eq!(runs(&fleet), before);
}

fn is_rolled_back(status: &StatusResponse) -> bool {
    let state = status.moves.first().map(|line| line.state);
    state == Some(MoveState::TakenBack)
}

/// Sends some requests on both routes through every host. Returns whether all hosts have rolled the
/// move back.
async fn send_checks(fleet: &Fleet) -> bool {
    let mut is_everywhere = true;
    for host in fleet.hosts.keys() {
        for path in ["/orders/checks", "/orders/stock"] {
            for _ in 0..5 {
                fleet.get(host, path).await;
            }
        }
        is_everywhere &= is_rolled_back(&fleet.status(host).await);
    }
    is_everywhere
}

/// Waits for the report on the move and checks that there is only one.
async fn until_reported(fleet: &Fleet, host: &str) {
    for attempt in 0.. {
        assert!(
            attempt < 600,
            "no report on the move after {attempt} checks"
        );
        let response = fleet.get(host, "/heatherhinge/v1/report").await;
        let report: ReportResponse = serde_json::from_slice(&response.body).unwrap();
        if let [only] = report.moves.as_slice() {
            assert_eq!(only.state, MoveState::TakenBack, "{only:?}");
            return;
        }
        assert!(report.moves.is_empty(), "{report:?}");
        sleep(Duration::from_millis(100)).await;
    }
}
