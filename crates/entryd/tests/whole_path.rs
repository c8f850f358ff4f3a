//! Tests the complete request path with real daemons, stand-ins and sockets.

#![allow(
    clippy::unwrap_used,
    missing_docs,
    reason = "a failed unwrap fails the test"
)]

mod fleet;

use fleet::{Fleet, new_key};
use heatherhinge_standin_target::{Faults, TargetConfig};
use heatherhinge_types::{CLOCK_ERROR_MS, Name};
use http::StatusCode;

const BUNDLE: &str = "\
[bundle]
version = 1
[zone north]
[zone south]
[service orders]
zones = north, south
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
lease_ms = 10000
";

fn targets() -> Vec<TargetConfig> {
    let zone = |zone: &str| TargetConfig {
        zone: Name::from(zone),
        ..TargetConfig::new("orders")
    };
    vec![zone("north"), zone("south"), zone("north"), zone("south")]
}

async fn fleet() -> Fleet {
    let mut fleet = Fleet::start(targets()).await;
    for (host, zone) in [
        ("entry-a", "north"),
        ("entry-b", "south"),
        ("entry-c", "north"),
    ] {
        fleet.add_host(host, zone).await;
    }
    fleet
}

async fn serving() -> Fleet {
    let fleet = fleet().await;
    let accepted = fleet.submit("entry-a", BUNDLE).await;
    assert_eq!(accepted.status, StatusCode::OK, "{accepted:?}");
    fleet
        .until_all("version 1", |status| {
            status.bundle_version == 1 && status.is_fresh
        })
        .await;
    fleet.until_owned().await;
    fleet.until_warm("/orders/stock").await;
    fleet.until_status("/orders/stock", StatusCode::OK).await;
    // Keys that are issued within twice the clock error of a change of owner are rejected.
    tokio::time::sleep(std::time::Duration::from_millis(2 * CLOCK_ERROR_MS)).await;
    fleet
}

/// Guards against a failure between any two processes: submitting a bundle, looking up addresses
/// and forwarding a request. Before the first bundle, a response must not claim that a keyed
/// request did not run.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_end_to_end() {
    let fleet = fleet().await;
    let early = fleet.get("entry-a", "/orders/stock").await;
    assert_eq!(early.header("heatherhinge-ran"), "no", "{early:?}");
    let early = fleet
        .post("entry-a", "/orders/booking", new_key(0), "one bell")
        .await;
    // An earlier attempt with the key may have run through another host.
    assert_eq!(early.header("heatherhinge-ran"), "unknown", "{early:?}");
    drop(fleet);

    let fleet = serving().await;
    let addresses = fleet
        .get("entry-b", "/heatherhinge/v1/addresses?zone=south")
        .await;
    let addresses: serde_json::Value = serde_json::from_slice(&addresses.body).unwrap();
    assert_eq!(addresses["keep_ms"], 2_000);
    assert_eq!(addresses["hosts"].as_array().unwrap().len(), 3);
    assert_eq!(addresses["hosts"][0]["zone"], "south");

    let download = fleet.get("entry-c", "/orders/bulk/300000").await;
    assert_eq!(
        (download.status, download.body.len()),
        (StatusCode::OK, 300_000)
    );
}

/// Guards against a retry through any host running a booking again, or getting another response.
#[tokio::test(flavor = "multi_thread")]
async fn retried_booking_runs_once() {
    let fleet = serving().await;
    for number in 0..20 {
        let key = new_key(number);
        let first = fleet
            .post("entry-a", "/orders/booking", key, "one bell")
            .await;
        assert_eq!(first.status, StatusCode::OK, "{first:?}");
        for host in ["entry-b", "entry-c", "entry-a"] {
            let again = fleet.post(host, "/orders/booking", key, "one bell").await;
            assert_eq!(again.header("heatherhinge-replayed"), "1", "{again:?}");
            assert_eq!(again.body, first.body);
        }
        let other = fleet
            .post("entry-b", "/orders/booking", key, "two bells")
            .await;
        assert_eq!(other.header("heatherhinge-code"), "1106");
    }
    let runs: usize = fleet
        .targets
        .iter()
        .map(|target| target.executions().len())
        .sum();
    let bookings = fleet.targets.iter().flat_map(|target| target.executions());
    let keyed = bookings.filter(|run| run.key.is_some()).count();
    assert_eq!(keyed, 20, "of {runs} executions");
}

/// Guards against a request that crashes every target it reaches crashing more than two of them.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_crashes_at_most_two_targets() {
    let fleet = serving().await;
    for target in &fleet.targets {
        target.set_faults(Faults {
            poison: Some("kill".to_owned()),
            ..Faults::default()
        });
    }
    let mut codes = Vec::new();
    for host in ["entry-a", "entry-b", "entry-c"].iter().cycle().take(30) {
        let request = http::Request::put(format!("http://{}/orders/x", fleet.addr(host)));
        let response = fleet.send(request, "kill".to_owned()).await;
        assert!(!response.status.is_success(), "{response:?}");
        codes.push(response.header("heatherhinge-code").to_owned());
    }
    assert_eq!(codes.last().map(String::as_str), Some("1409"), "{codes:?}");
    let crashes: u64 = fleet
        .targets
        .iter()
        .map(|target| target.counters().restarts)
        .sum();
    assert!(crashes <= 2, "{crashes} targets crashed, codes {codes:?}");
}

/// Guards against requests to targets in a zone that was taken out, and against its hosts being
/// advertised to callers.
#[tokio::test(flavor = "multi_thread")]
async fn zone_out_gets_no_new_work() {
    let fleet = serving().await;
    let out = BUNDLE
        .replace("version = 1\n", "version = 2\n")
        .replace("[zone south]\n", "[zone south]\nstate = out\n");
    let accepted = fleet.submit("entry-b", &out).await;
    assert_eq!(accepted.status, StatusCode::OK, "{accepted:?}");
    fleet
        .until_all("version 2", |status| status.bundle_version == 2)
        .await;
    fleet
        .until_all("south out", |status| {
            status
                .zones
                .iter()
                .any(|line| &*line.zone == "south" && &*line.phase == "out")
        })
        .await;
    let south = |fleet: &Fleet| -> u64 {
        let south = fleet
            .targets
            .iter()
            .filter(|target| &*target.config().zone == "south");
        south.map(|target| target.counters().received).sum()
    };
    let before = south(&fleet);
    for _ in 0..50 {
        for host in ["entry-a", "entry-b", "entry-c"] {
            let response = fleet.get(host, "/orders/stock").await;
            assert_eq!(response.status, StatusCode::OK, "{response:?}");
        }
    }
    assert_eq!(south(&fleet), before);
    let addresses = fleet
        .get("entry-b", "/heatherhinge/v1/addresses?zone=south")
        .await;
    let addresses: serde_json::Value = serde_json::from_slice(&addresses.body).unwrap();
    let hosts = addresses["hosts"].as_array().unwrap();
    assert!(
        hosts.iter().all(|host| host["zone"] == "north") && hosts.len() == 2,
        "{hosts:?}"
    );
}

/// Guards against bundles that are malformed, out of order or signed with an unknown key being
/// accepted or replacing the one in force.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_bundles_are_rejected() {
    let fleet = serving().await;
    let skipped = BUNDLE.replace("version = 1\n", "version = 3\n");
    let broken = BUNDLE
        .replace("slots = 5", "slots = many")
        .replace("version = 1\n", "version = 2\n");
    let same = BUNDLE.replace("slots = 5", "slots = 4");
    for (text, code) in [(&skipped, "2108"), (&broken, "2101"), (&same, "2108")] {
        let rejected = fleet.submit("entry-c", text).await;
        assert_eq!(rejected.header("heatherhinge-code"), code, "{rejected:?}");
    }
    let forged = fleet.sign(&skipped).replace("ops-1", "ops-9");
    let uri = format!("http://{}/heatherhinge/v1/bundle", fleet.addr("entry-a"));
    let rejected = fleet.send(http::Request::post(uri), forged).await;
    assert_eq!(rejected.header("heatherhinge-code"), "2104");
    assert_eq!(fleet.status("entry-a").await.bundle_version, 1);
}

/// Guards against a planned stop aborting requests while callers use the host.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_aborts_no_request() {
    let mut fleet = serving().await;
    let addr = fleet.addr("entry-b");
    let leaving = fleet.hosts.remove("entry-b").unwrap();
    let stopping = tokio::spawn(leaving.stop());
    let mut served = 0;
    // Until its listener is closed, a leaving host responds to every request that arrives.
    while let Ok(mut stream) = tokio::net::TcpStream::connect(addr).await {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let request = b"GET /orders/bulk/20000 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let mut response = Vec::new();
        if stream.write_all(request).await.is_err()
            || stream.read_to_end(&mut response).await.is_err()
        {
            break;
        }
        if response.is_empty() {
            break;
        }
        assert!(response.starts_with(b"HTTP/1.1 200") && response.len() > 20_000);
        served += 1;
    }
    stopping.await.unwrap();
    assert!(served > 0);
    fleet.until_owned().await;
    let key = new_key(200);
    let booked = fleet
        .post("entry-a", "/orders/booking", key, "one bell")
        .await;
    assert_eq!(booked.status, StatusCode::OK, "{booked:?}");
}
