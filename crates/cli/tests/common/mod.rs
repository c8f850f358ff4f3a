//! A fake entry host, and helpers that run commands against it.

#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "each test file uses a part of this module; a failed unwrap fails the test"
)]

use axum::extract::{Path as UrlPath, State};
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use ed25519_dalek::SigningKey;
use heatherhinge_blackboard::{MoveState, OverheadCounts};
use heatherhinge_bundle::Envelope;
use heatherhinge_cli::{Context, Limits, Output, options, run};
use heatherhinge_records::admin::{
    ErrorBody, ExplainResponse, HostSummary, MoveSummary, ReportResponse, StatusResponse,
    ZoneSummary,
};
use heatherhinge_types::{Code, Name, WallMs};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

pub(crate) const BUNDLE: &str = include_str!("../data/bundle.ini");

/// What a fake host does with a submitted envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OnSubmit {
    /// Accepts it and has it in force at once.
    Accept,
    /// Responds that it is accepted but never brings it into force.
    AcceptOnly,
    /// Refuses it and leaves the bundle in force as it is.
    Refuse(Code),
    /// Has it in force, but sends an unreadable response.
    AcceptThenUnreadable,
    /// Has it in force, but refuses it with this code.
    AcceptThenRefuse(Code),
    /// Sends an unreadable response and leaves the bundle in force as it is.
    Unreadable,
    /// Never responds and leaves the bundle in force as it is.
    Hang,
}

#[derive(Debug)]
pub(crate) struct HostState {
    pub(crate) status: StatusResponse,
    pub(crate) on_submit: OnSubmit,
    pub(crate) submissions: u32,
    pub(crate) in_force: Option<Envelope>,
    pub(crate) report: ReportResponse,
    pub(crate) explain: Result<ExplainResponse, Code>,
    pub(crate) explain_paths: Vec<String>,
}

/// A fake entry host on a loopback port; it stops with the runtime of its test.
#[derive(Clone, Debug)]
pub(crate) struct FakeHost {
    pub(crate) addr: SocketAddr,
    pub(crate) state: Arc<Mutex<HostState>>,
}

type Shared = State<Arc<Mutex<HostState>>>;
type Response<T> = Result<Json<T>, (StatusCode, Json<serde_json::Value>)>;

impl FakeHost {
    pub(crate) async fn open(name: &str, zone: &str, on_submit: OnSubmit) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(HostState {
            status: status(name, zone, addr),
            on_submit,
            submissions: 0,
            in_force: None,
            report: ReportResponse::default(),
            explain: Err(Code::RecordNotFound),
            explain_paths: Vec::new(),
        }));
        let router = Router::new()
            .route("/heatherhinge/v1/bundle", get(bundle).post(submit))
            .route("/heatherhinge/v1/status", get(get_status))
            .route("/heatherhinge/v1/report", get(report))
            .route("/heatherhinge/v1/explain/{kind}/{id}", get(explain))
            .with_state(Arc::clone(&state));
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self { addr, state }
    }

    pub(crate) fn edit(&self, edit: impl FnOnce(&mut HostState)) {
        edit(&mut self.state.lock().unwrap());
    }

    /// Adds another host to the status of this one, as the exchange of `HostRecord`s does.
    pub(crate) fn add_peer(&self, other: &Self) {
        let line = other.state.lock().unwrap().status.hosts[0].clone();
        self.edit(|state| state.status.hosts.push(line));
    }
}

fn status(name: &str, zone: &str, addr: SocketAddr) -> StatusResponse {
    StatusResponse {
        host: name.into(),
        zone: zone.into(),
        phase: "serving".into(),
        is_fresh: true,
        bundle_version: 6,
        bundle_digest: "00112233445566778899aabbccddeeff".into(),
        hosts: vec![HostSummary {
            host: name.into(),
            zone: zone.into(),
            caller_addr: Some(addr),
            live: true,
            bundle_version: 6,
            takes_callers: true,
        }],
        moves: vec![MoveSummary {
            service: "orders".into(),
            id: "orders-7".into(),
            state: MoveState::Canary,
            share_permille: 25,
        }],
        zones: vec![ZoneSummary {
            zone: "south".into(),
            phase: "out".into(),
        }],
        partitions_owned: 128,
        spend: OverheadCounts {
            probes: 10,
            retries: 2,
            refusals: 3,
        },
    }
}

fn refusal<T>(code: Code) -> Response<T> {
    let mut body = ErrorBody::new(code, Some(Name::from("r-1")));
    if code == Code::BundleMalformed {
        body.problems = vec!["bundle:9: slots: 0 is not within 1 to 1024".to_owned()];
    }
    Err((code.status(), Json(serde_json::to_value(body).unwrap())))
}

fn unreadable_response<T>() -> Response<T> {
    Err((StatusCode::BAD_GATEWAY, Json("lost".into())))
}

async fn submit(State(state): Shared, body: String) -> Response<serde_json::Value> {
    let on_submit = {
        let mut state = state.lock().unwrap();
        state.submissions += 1;
        let envelope = Envelope::from_json(body.as_bytes()).unwrap();
        if matches!(
            state.on_submit,
            OnSubmit::Accept | OnSubmit::AcceptThenUnreadable | OnSubmit::AcceptThenRefuse(_)
        ) {
            state.status.bundle_version = 7;
            state.status.bundle_digest = Name::from(envelope.digest().to_string());
        }
        state.on_submit
    };
    match on_submit {
        OnSubmit::Accept | OnSubmit::AcceptOnly => {
            // Literal JSON, because command lines of other releases read it.
            Ok(Json(
                serde_json::from_str(r#"{"outcome":"accepted","version":7}"#).unwrap(),
            ))
        }
        OnSubmit::Refuse(code) | OnSubmit::AcceptThenRefuse(code) => refusal(code),
        OnSubmit::AcceptThenUnreadable | OnSubmit::Unreadable => unreadable_response(),
        OnSubmit::Hang => std::future::pending().await,
    }
}

async fn bundle(State(state): Shared) -> Response<Envelope> {
    match &state.lock().unwrap().in_force {
        Some(envelope) => Ok(Json(envelope.clone())),
        None => refusal(Code::NoBundle),
    }
}

async fn get_status(State(state): Shared) -> Json<StatusResponse> {
    Json(state.lock().unwrap().status.clone())
}

async fn report(State(state): Shared) -> Json<ReportResponse> {
    Json(state.lock().unwrap().report.clone())
}

async fn explain(
    State(state): Shared,
    UrlPath((kind, id)): UrlPath<(String, String)>,
) -> Response<ExplainResponse> {
    let mut state = state.lock().unwrap();
    state.explain_paths.push(format!("{kind}/{id}"));
    match &state.explain {
        Ok(response) => Ok(Json(response.clone())),
        Err(code) => refusal(*code),
    }
}

/// Returns a loopback address that refuses connections. The port stays bound, so that no other
/// test gets it.
pub(crate) fn closed_addr() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    std::mem::forget(socket);
    addr
}

pub(crate) fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

pub(crate) fn envelope(text: &str) -> Envelope {
    Envelope::sign(text.to_owned(), Name::from("ops-2"), &key())
}

/// Creates an empty directory below the build directory.
pub(crate) fn fresh_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

pub(crate) fn context() -> Context {
    Context {
        // 2027-01-31T05:00:00Z, an hour before the move in the bundle ends.
        now_wall_ms: WallMs(1_801_371_600_000),
        secret: [7; 32],
        default_entries: Vec::new(),
        limits: Limits {
            connect_ms: 10_000,
            call_ms: 10_000,
            in_force_ms: 200,
            poll_interval_ms: 20,
        },
    }
}

/// Runs a command line and returns its result.
pub(crate) async fn command(args: &[&str], entries: &[SocketAddr]) -> Output {
    command_in(&context(), args, entries).await
}

/// Runs a command line in a context and returns its result.
pub(crate) async fn command_in(context: &Context, args: &[&str], entries: &[SocketAddr]) -> Output {
    let mut args: Vec<String> = args.iter().map(ToString::to_string).collect();
    for addr in entries {
        args.extend(["--entry".to_owned(), addr.to_string()]);
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let invocation = options().run_inner(args.as_slice()).unwrap();
    run(context, &invocation).await
}

/// Replaces values that differ from run to run, such as addresses and paths, by placeholders.
pub(crate) fn redact(text: &str, names: &[(String, &str)]) -> String {
    let mut text = text.to_owned();
    for (from, to) in names {
        text = text.replace(from, to);
    }
    text
}
