//! Tests the request path over loopback sockets, against targets that send raw bytes.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed unwrap fails the test"
)]

use heatherhinge_blackboard::{
    Blackboard, Warmth, WarmthTable, Writers, ZoneEntry, ZonePhase, ZoneTable,
};
use heatherhinge_bundle::{Budget, Bundle, BundleVersion, Route, RouteClass, Service};
use heatherhinge_bundle::{Zone, ZoneState};
use heatherhinge_controllers::{Controller, ListedTarget, TargetController, TargetEvent};
use heatherhinge_policy::Weighted;
use heatherhinge_proxy::{
    Clock, Limits, NullObserver, NullPartitionOwners, Proxy, ProxyParts, Server, ServerHandle,
};
use heatherhinge_records::NullSink;
use heatherhinge_types::{MonoNs, Name, StartId, Urgency};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

fn bundle() -> Bundle {
    let north = Name::from("north");
    let route = Route {
        name: Name::from("all"),
        prefix: "/".to_owned(),
        methods: BTreeSet::new(),
        idempotent: None,
        class: RouteClass::Interactive,
        urgency: Urgency::DEFAULT,
        body_limit_bytes: 100_000,
        deadline_ms: 5_000,
    };
    let service = Service {
        name: Name::from("orders"),
        zones: BTreeSet::from([north.clone()]),
        version: Name::from("v1"),
        slots: 5,
        connections: 200,
        warm_ms: 0,
        queue_ms: 100,
        queue_len: 10,
        routes: vec![Arc::new(route)],
        version_move: None,
    };
    Bundle {
        version: BundleVersion(1),
        zones: BTreeMap::from([(
            north,
            Zone {
                state: ZoneState::In,
            },
        )]),
        services: BTreeMap::from([(Name::from("orders"), Arc::new(service))]),
        budget: Budget {
            probes_per_s: 1,
            retry_permille: 100,
            lease_ms: 120_000,
        },
        revoked_keys: BTreeSet::new(),
    }
}

fn publish(board: &Blackboard, writers: Writers, target: SocketAddr) {
    let Writers {
        mut bundle,
        mut zones,
        mut warmth,
        routing,
        ..
    } = writers;
    let entry = ZoneEntry {
        phase: ZonePhase::In,
        since: BundleVersion(1),
    };
    bundle.publish(Some(Arc::new(self::bundle())));
    zones.publish(ZoneTable {
        zones: BTreeMap::from([(Name::from("north"), entry)]),
    });
    let warm = Warmth::Warm {
        start_id: StartId(1),
    };
    warmth.publish(WarmthTable {
        targets: [(Name::from(target.to_string()), warm)].into(),
    });
    let listed = ListedTarget {
        service: Name::from("orders"),
        addr: target,
        zone: Name::from("north"),
        version: Name::from("v1"),
        is_leaving: false,
    };
    let now = Clock::start().now();
    TargetController::new(routing).step(board, TargetEvent::Listed(vec![listed]), now);
    board
        .counters
        .status
        .set_phase(heatherhinge_blackboard::HostPhase::Serving);
    board.counters.status.set_fresh_until(MonoNs(u64::MAX));
}

async fn entry_host(target: SocketAddr) -> ServerHandle {
    let (board, writers) = Blackboard::new(Name::from("entry-1"), Name::from("north"));
    publish(&board, writers, target);
    let proxy = Proxy::new(ProxyParts {
        board,
        picker: Weighted,
        partition_owners: Arc::new(NullPartitionOwners),
        records: NullSink,
        observer: NullObserver,
        clock: Clock::start(),
        limits: Limits {
            idle_ms: 1_000,
            ..Limits::default()
        },
        seed: 1,
        incarnation: 1,
    });
    let any_port = "127.0.0.1:0".parse().unwrap();
    Server::bind(any_port, Arc::new(proxy), axum::Router::new())
        .await
        .unwrap()
}

/// Starts a target that sends fixed bytes on each connection and then closes it.
async fn raw_target(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0_u8; 65_536];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(response).await;
        }
    });
    addr
}

async fn round_trip(addr: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(request).await.unwrap();
    let mut response = Vec::new();
    // A truncated response has to end in a reset, so the error is not a failure here.
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(head).unwrap()
}

const GET: &[u8] = b"GET /orders/stock HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";

/// Guards against a response that is changed or truncated, and hop-by-hop headers being forwarded.
#[tokio::test]
async fn response_is_forwarded_completely() {
    let response =
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-kept: 1\r\nkeep-alive: timeout=9\r\n\r\nbells";
    let host = entry_host(raw_target(response).await).await;
    let got = round_trip(host.addr(), GET).await;
    assert!(got.starts_with("HTTP/1.1 200"), "{got}");
    assert!(
        got.contains("x-kept: 1") && got.ends_with("\r\n\r\nbells"),
        "{got}"
    );
    assert!(
        got.contains("heatherhinge-request-id: ") && !got.contains("keep-alive"),
        "{got}"
    );
    host.stop().await;
}

/// Guards against truncated or malformed responses being forwarded as complete ones.
#[parameterized(
    cut = { b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nbells", "200 OK", None },
    cut_chunk = { b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n20\r\nbells", "200 OK", None },
    no_head = { b"", "502", Some("1304") },
    malformed_head = { b"bells and drums\r\n\r\n", "502", Some("1306") },
    two_lengths = { b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nbells!", "502", Some("1306") },
    status_zero = { b"HTTP/1.1 000 OK\r\ncontent-length: 5\r\n\r\nbells", "502", Some("1306") },
    status_beyond_599 = { b"HTTP/1.1 600 Beyond\r\ncontent-length: 5\r\n\r\nbells", "502", Some("1306") },
    unasked_protocol = { b"HTTP/1.1 101 Switching Protocols\r\nupgrade: bells\r\n\r\nbells", "502", Some("1306") },
)]
#[test_macro(tokio::test)]
async fn broken_response_is_not_complete(
    response: &'static [u8],
    status: &str,
    code: Option<&str>,
) {
    let host = entry_host(raw_target(response).await).await;
    let got = round_trip(host.addr(), GET).await;
    assert!(got.lines().next().unwrap_or("").contains(status), "{got}");
    match code {
        Some(code) => assert!(got.contains(&format!("heatherhinge-code: {code}")), "{got}"),
        // Without the announced length or the last chunk, no client takes the response for
        // complete.
        None => assert!(
            !got.contains("\r\n0\r\n") && !got.contains("heatherhinge-code"),
            "{got}"
        ),
    }
    host.stop().await;
}

/// Guards against a promise of the host that a target copied from the response to a call of its own:
/// the caller would send a request again that has run.
#[tokio::test]
async fn promises_of_a_target_are_not_forwarded() {
    let response = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nheatherhinge-ran: no\r\n\
        heatherhinge-code: 1301\r\nx-kept: 1\r\n\r\n";
    let host = entry_host(raw_target(response).await).await;
    let got = round_trip(host.addr(), GET).await;
    assert!(
        got.starts_with("HTTP/1.1 503") && got.contains("x-kept: 1"),
        "{got}"
    );
    assert!(
        !got.contains("heatherhinge-ran") && !got.contains("heatherhinge-code"),
        "{got}"
    );
    host.stop().await;
}

/// Guards against a response that arrives without end, or too slowly, and holds its caller beyond the
/// deadline, whether its size is known or not.
#[parameterized(
    chunks = { "transfer-encoding: chunked\r\n", "1\r\nx\r\n" },
    length = { "content-length: 1000\r\n", "x" },
)]
#[test_macro(tokio::test)]
async fn endless_response_ends_at_the_deadline(framing: &'static str, piece: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let host = entry_host(listener.local_addr().unwrap()).await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        // Ends with an error when the host closes the connection.
        while stream.write_all(piece.as_bytes()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let request = b"GET /orders/stock HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
        heatherhinge-deadline-ms: 500\r\n\r\n";
    let caller = round_trip(host.addr(), request);
    let got = tokio::time::timeout(Duration::from_secs(5), caller).await;
    let got = got.expect("the response must end");
    assert!(
        got.contains("200 OK") && !got.ends_with("0\r\n\r\n"),
        "{got}"
    );
    host.stop().await;
}

/// Guards against a head without end that is read on for nobody, or holds its caller.
#[parameterized(
    status_line = { "HTTP/1.1 200 ", "x", "502" },
    field = { "HTTP/1.1 200 OK\r\nx-pad: ", "x", "502" },
    interim_responses = { "", "HTTP/1.1 103 Early Hints\r\n\r\n", "504" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn endless_head_is_cut_off(start: &'static str, piece: &'static str, status: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let host = entry_host(listener.local_addr().unwrap()).await;
    let target = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(start.as_bytes()).await.unwrap();
        let pieces = piece.repeat(1_000);
        while stream.write_all(pieces.as_bytes()).await.is_ok() {}
    });
    let request = b"GET /orders/stock HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
        heatherhinge-deadline-ms: 500\r\n\r\n";
    let got = round_trip(host.addr(), request).await;
    assert!(got.lines().next().unwrap_or("").contains(status), "{got}");
    let closed = tokio::time::timeout(Duration::from_secs(10), target).await;
    assert!(closed.is_ok(), "the connection to the target must close");
    host.stop().await;
}

/// Guards against smuggled, oversized, slow and malformed requests reaching a target.
#[parameterized(
    two_lengths = { b"POST /orders/x HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd", "400" },
    length_and_chunked = { b"POST /orders/x HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n", "400" },
    bad_chunk = { b"PUT /orders/x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\nzz\r\n", "1008" },
    short_body = { b"PUT /orders/x HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\nconnection: close\r\n\r\nabc", "1005" },
    body_too_large = { b"PUT /orders/x HTTP/1.1\r\nhost: h\r\ncontent-length: 100001\r\nconnection: close\r\n\r\n", "1004" },
    not_http = { b"ring the bells\r\n\r\n", "400" },
    unknown_service = { b"GET /drums/x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n", "1001" },
)]
#[test_macro(tokio::test)]
async fn bad_request_is_rejected(request: &'static [u8], expected: &str) {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let host = entry_host(target.local_addr().unwrap()).await;
    let got = round_trip(host.addr(), request).await;
    assert!(got.contains(expected), "{got}");
    assert!(futures_util::FutureExt::now_or_never(target.accept()).is_none());
    host.stop().await;
}

/// Guards against request smuggling: of a length and chunked framing, only one reaches the target.
#[tokio::test]
async fn conflicting_body_framing_is_not_forwarded() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let host = entry_host(listener.local_addr().unwrap()).await;
    let mut caller = TcpStream::connect(host.addr()).await.unwrap();
    let request = b"PUT /orders/x HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\
        transfer-encoding: chunked\r\nconnection: close\r\n\r\n2\r\nab\r\n0\r\n\r\n";
    caller.write_all(request).await.unwrap();
    let (mut target, _) = listener.accept().await.unwrap();
    let head = read_head(&mut target).await;
    let has = |name: &str| head.lines().any(|line| line.starts_with(name));
    assert!(
        has("content-length: 2") != has("transfer-encoding: chunked"),
        "{head}"
    );
    assert!(!has("content-length: 3"), "{head}");
}

/// Guards against reading a request head beyond the limit.
#[tokio::test]
async fn oversized_head_is_rejected() {
    let host = entry_host(raw_target(b"").await).await;
    let mut request = b"GET /orders/x HTTP/1.1\r\nhost: h\r\n".to_vec();
    for n in 0..2_000 {
        request.extend_from_slice(format!("x-filler-{n}: {}\r\n", "y".repeat(40)).as_bytes());
    }
    let got = round_trip(host.addr(), &request).await;
    assert!(got.is_empty() || got.contains("431"), "{got}");
    host.stop().await;
}

/// Guards against a planned stop that aborts a request in flight.
#[tokio::test]
async fn stop_finishes_requests_in_flight() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let host = entry_host(listener.local_addr().unwrap()).await;
    let addr = host.addr();
    let caller = tokio::spawn(async move { round_trip(addr, GET).await });
    let (mut stream, _) = listener.accept().await.unwrap();
    read_head(&mut stream).await;
    let stopping = tokio::spawn(host.stop());
    tokio::task::yield_now().await;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nbells")
        .await
        .unwrap();
    stopping.await.unwrap();
    assert!(caller.await.unwrap().ends_with("bells"));
    assert!(TcpStream::connect(addr).await.is_err());
}
