//! Tests the peer client and server under faults of the other host.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_blackboard::{ExchangeRequest, ExchangeResponse, Quarantine};
use heatherhinge_claims::{
    AttemptId, ClaimRequest, ClaimResponse, HandedPartition, SettleResponse, Settlement, TenureId,
};
use heatherhinge_peer::{
    CrashReportResponse, MAX_FRAME_BYTES, PeerCalls, PeerClient, PeerColdReport, PeerCrashReport,
    PeerError, PeerHandler, PeerServer, PeerServerHandle,
};
use heatherhinge_types::{Digest, IdempotencyKey, Name, Partition, WallMs};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;
use yare::parameterized;

/// Count of panics in any task; the runtime catches them, so they fail no test by themselves.
static PANICS: AtomicU32 = AtomicU32::new(0);

fn count_panics() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        let report = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANICS.fetch_add(1, Ordering::SeqCst);
            report(info);
        }));
    });
}

/// Deadline that no test reaches while it expects a response.
const LONG_MS: u64 = 60_000;

/// Gives each call a response of its own and counts claims and parts; claims wait for a permit.
struct TestHandler {
    claims: AtomicU32,
    parts: AtomicU32,
    permits: Semaphore,
}

impl PeerHandler for TestHandler {
    async fn claim(&self, _: ClaimRequest) -> ClaimResponse {
        self.claims.fetch_add(1, Ordering::SeqCst);
        self.permits.acquire().await.unwrap().forget();
        ClaimResponse::NotOwner
    }
    async fn settle(&self, _: Settlement) -> SettleResponse {
        SettleResponse::Stale
    }
    async fn exchange(&self, _: ExchangeRequest) -> ExchangeResponse {
        ExchangeResponse {
            digest: Vec::new(),
            records: Vec::new(),
        }
    }
    async fn report_crash(&self, _: PeerCrashReport) -> CrashReportResponse {
        CrashReportResponse::Counted
    }
    async fn apply_quarantine(&self, _: Quarantine) {}
    async fn report_success(&self, _: Digest) {}
    async fn hand_over(&self, _: HandedPartition) -> bool {
        self.parts.fetch_add(1, Ordering::SeqCst);
        true
    }
    async fn fetch_bundle(&self, version: u64) -> Option<Vec<u8>> {
        (version > 0).then(|| vec![7; usize::try_from(version).unwrap()])
    }
    async fn report_cold(&self, _: PeerColdReport) {}
    async fn report_halt(&self, _: Name, _: Name) {}
}

fn test_handler(permits: usize) -> Arc<TestHandler> {
    Arc::new(TestHandler {
        claims: AtomicU32::new(0),
        parts: AtomicU32::new(0),
        permits: Semaphore::new(permits),
    })
}

async fn serve(port: u16, handler: &Arc<TestHandler>) -> PeerServerHandle {
    let addr = SocketAddr::from(([127, 0, 0, 1], port));
    PeerServer::bind(addr, Arc::clone(handler)).await.unwrap()
}

fn claim() -> ClaimRequest {
    ClaimRequest {
        key: IdempotencyKey::new(WallMs(1), [0; 10]),
        digest: Digest(1),
        sender: Name::from("a"),
        attempt: AttemptId {
            incarnation: 1,
            sequence: 1,
        },
    }
}

/// Returns the bytes of one encoded call, including its frame length.
async fn recorded_call() -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let call = tokio::spawn(async move { PeerClient::new().fetch_bundle(addr, 1, LONG_MS).await });
    let mut stream = listener.accept().await.unwrap().0;
    let mut frame = stream.read_u32().await.unwrap().to_be_bytes().to_vec();
    let mut body = vec![0; usize::from(frame[3])];
    stream.read_exact(&mut body).await.unwrap();
    frame.append(&mut body);
    call.abort();
    frame
}

/// Replaces the seconds of the deadline, the second byte of the message, with the largest number.
fn with_far_deadline(call: &[u8]) -> Vec<u8> {
    let mut bytes = u32::try_from(call.len() - 4 + 8)
        .unwrap()
        .to_be_bytes()
        .to_vec();
    bytes.extend([call[4], 253]);
    bytes.extend([0xff; 8]);
    bytes.extend(&call[6..]);
    bytes
}

/// Guards against a malformed message that stops the server or makes it panic: only its connection
/// is closed, and other hosts still get responses.
#[parameterized(
    garbage = { |_| vec![0, 0, 0, 4, 0xde, 0xad, 0xbe, 0xef] },
    http = { |_| b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec() },
    empty_frame = { |_| vec![0, 0, 0, 0] },
    oversized_frame = { |_| u32::try_from(MAX_FRAME_BYTES + 1).unwrap().to_be_bytes().to_vec() },
    unknown_call = { |call| { let mut bytes = call.to_vec(); let at = bytes.len() - 2; bytes[at] = 99; bytes } },
    trailing_byte = { |call| { let mut bytes = call.to_vec(); bytes[3] += 1; bytes.push(0); bytes } },
    far_deadline = { |call| with_far_deadline(call) },
)]
fn malformed_message_ends_its_connection_only(make: fn(&[u8]) -> Vec<u8>) {
    count_panics();
    Runtime::new().unwrap().block_on(async {
        let server = serve(0, &test_handler(0)).await;
        let bytes = make(&recorded_call().await);
        let mut stream = TcpStream::connect(server.addr()).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        let mut rest = Vec::new();
        // The server may close with unread bytes, which resets the connection.
        let _ = stream.read_to_end(&mut rest).await;
        assert!(rest.is_empty(), "a malformed message gets no response");
        let response = PeerClient::new()
            .fetch_bundle(server.addr(), 3, LONG_MS)
            .await;
        assert_eq!(response, Ok(Some(vec![7; 3])));
        server.stop().await;
        assert_eq!(PANICS.load(Ordering::SeqCst), 0, "a task panicked");
    });
}

/// Guards against a recorded call that is invalid itself, so that the test above always passes.
#[test]
fn recorded_call_gets_a_response() {
    Runtime::new().unwrap().block_on(async {
        let server = serve(0, &test_handler(0)).await;
        let mut stream = TcpStream::connect(server.addr()).await.unwrap();
        stream.write_all(&recorded_call().await).await.unwrap();
        assert!(stream.read_u32().await.unwrap() > 0);
        server.stop().await;
    });
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    NothingListens,
    ClosesAfterTheCall,
    NeverAnswers,
    AnswersGarbage,
}

/// Guards against a call that is reported as not sent although the other host may have acted.
#[parameterized(
    nothing_listens = { Fault::NothingListens, LONG_MS, PeerError::Unavailable },
    killed_mid_call = { Fault::ClosesAfterTheCall, LONG_MS, PeerError::OutcomeUnknown },
    slow = { Fault::NeverAnswers, 200, PeerError::OutcomeUnknown },
    garbage_answer = { Fault::AnswersGarbage, LONG_MS, PeerError::OutcomeUnknown },
)]
fn failed_calls_do_not_hide_a_possible_effect(fault: Fault, deadline_ms: u64, expected: PeerError) {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let peer = tokio::spawn(async move {
            let mut streams = Vec::new();
            if matches!(fault, Fault::NothingListens) {
                return;
            }
            loop {
                let mut stream = listener.accept().await.unwrap().0;
                let _ = stream.read_u32().await;
                match fault {
                    Fault::AnswersGarbage => stream.write_all(&[0, 0, 0, 1, 0xff]).await.unwrap(),
                    Fault::NeverAnswers => streams.push(stream),
                    Fault::ClosesAfterTheCall | Fault::NothingListens => {}
                }
            }
        });
        if matches!(fault, Fault::NothingListens) {
            peer.await.unwrap();
        }
        let client = PeerClient::new();
        assert_eq!(
            client.claim(addr, claim(), deadline_ms).await,
            Err(expected)
        );
        assert_eq!(
            client.fetch_bundle(addr, 1, deadline_ms).await,
            Err(expected)
        );
    });
}

/// Guards against a message over the frame limit that closes the connection for other calls.
#[test]
fn oversized_message_is_not_sent() {
    Runtime::new().unwrap().block_on(async {
        let server = serve(0, &test_handler(0)).await;
        let client = PeerClient::new();
        let huge = PeerColdReport {
            target: Name::from("x".repeat(MAX_FRAME_BYTES)),
            lost_run: None,
            new_run: None,
        };
        let sent = client.report_cold(server.addr(), huge, LONG_MS).await;
        assert_eq!(sent, Err(PeerError::TooLarge));
        assert_eq!(
            client.fetch_bundle(server.addr(), 0, LONG_MS).await,
            Ok(None)
        );
        server.stop().await;
    });
}

/// Guards against a planned stop that aborts a call, and against a client that does not reconnect
/// to a restarted host. The last claim is sent while the client still holds the old connection.
#[test]
fn stop_answers_calls_and_clients_reconnect() {
    Runtime::new().unwrap().block_on(async {
        let (handler, client) = (test_handler(0), Arc::new(PeerClient::new()));
        let server = serve(0, &handler).await;
        let addr = server.addr();
        let calling = Arc::clone(&client);
        let call = tokio::spawn(async move { calling.claim(addr, claim(), LONG_MS).await });
        while handler.claims.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
        let stop = tokio::spawn(server.stop());
        handler.permits.add_permits(1);
        assert_eq!(call.await.unwrap(), Ok(ClaimResponse::NotOwner));
        stop.await.unwrap();
        let refused = client.fetch_bundle(addr, 1, LONG_MS).await;
        assert!(refused.is_err());
        handler.permits.add_permits(1);
        let server = serve(addr.port(), &handler).await;
        assert_eq!(
            client.claim(addr, claim(), LONG_MS).await,
            Ok(ClaimResponse::NotOwner)
        );
        assert_eq!(handler.claims.load(Ordering::SeqCst), 2);
        server.stop().await;
    });
}

/// Guards against claims of a busy partition that do not fit one frame.
#[test]
fn large_hand_over_goes_in_parts() {
    let mut claims = Vec::new();
    for number in 0..400_u64 {
        let (key, digest) = (IdempotencyKey::new(WallMs(number), [0; 10]), Digest(1));
        let response = heatherhinge_claims::StoredResponse {
            status: 200,
            headers: Vec::new(),
            body: vec![0xff; 4_096],
        };
        claims.push(heatherhinge_claims::HandedClaim {
            key,
            digest,
            sender: Name::from("a"),
            attempt: AttemptId {
                incarnation: 1,
                sequence: number,
            },
            state: heatherhinge_claims::ClaimState::Completed(Some(response)),
        });
    }
    let giver = TenureId {
        host: Name::from("a"),
        epoch: 1,
        from_wall_ms: WallMs(1),
    };
    let handed = HandedPartition {
        partition: Partition(0),
        giver,
        complete_from_wall_ms: WallMs(1),
        part: 0,
        parts: 1,
        claims,
    };
    Runtime::new().unwrap().block_on(async {
        let handler = test_handler(0);
        let server = serve(0, &handler).await;
        let accepted = PeerClient::new()
            .hand_over(server.addr(), handed, LONG_MS)
            .await;
        assert_eq!(accepted, Ok(true));
        assert_eq!(handler.parts.load(Ordering::SeqCst), 4);
        server.stop().await;
    });
}
