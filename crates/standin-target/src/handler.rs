//! Routes of a target.

use crate::answer::{add_load_report, json_answer, not_run};
use crate::body;
use crate::worker::{Job, Permit, Refusal, Worker, wall_ms};
use crate::{CounterSnapshot, Counters, Execution, Faults, Restart, RunOutcome};
use axum::Json;
use axum::Router;
use axum::body::to_bytes;
use axum::extract::{Request, State};
use axum::response::Response;
use axum::routing::{get, post};
use bytes::Bytes;
use heatherhinge_types::header;
use http::{HeaderMap, Method, StatusCode};
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest request body that is read.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Returns the routes of a target.
pub(crate) fn router(worker: Arc<Worker>) -> Router {
    Router::new()
        .route("/health", get(health))
        .route("/admin/executions", get(executions))
        .route("/admin/counters", get(counters))
        .route("/admin/faults", post(set_faults).get(get_faults))
        .fallback(serve)
        .with_state(worker)
}

async fn health(State(worker): State<Arc<Worker>>) -> Response {
    Counters::add(&worker.counters.probes);
    let status = if worker.health() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let state = if worker.faults().leaving {
        "leaving"
    } else if worker.uptime_ms() < worker.config.warm_ms {
        "cold"
    } else {
        "serving"
    };
    json_answer(&worker, status, &json!({ "state": state }))
}

async fn executions(State(worker): State<Arc<Worker>>) -> Json<Vec<Execution>> {
    Json(worker.log.all())
}

async fn counters(State(worker): State<Arc<Worker>>) -> Json<CounterSnapshot> {
    Json(worker.counters.snapshot())
}

async fn get_faults(State(worker): State<Arc<Worker>>) -> Json<Faults> {
    Json((*worker.faults()).clone())
}

async fn set_faults(State(worker): State<Arc<Worker>>, Json(faults): Json<Faults>) -> Json<Faults> {
    worker.set_faults(faults);
    Json((*worker.faults()).clone())
}

async fn serve(State(worker): State<Arc<Worker>>, request: Request) -> Response {
    let arrived = Instant::now();
    Counters::add(&worker.counters.received);
    let (parts, body) = request.into_parts();
    let Ok(body) = to_bytes(body, BODY_LIMIT_BYTES).await else {
        return json_answer(
            &worker,
            StatusCode::BAD_REQUEST,
            &json!({ "error": "the body cannot be read" }),
        );
    };
    let job = job(&worker, &parts, &body, arrived);
    // The execution goes on when the caller goes away, as in a real worker process.
    let task = tokio::spawn(run(Arc::clone(&worker), job, body.len()));
    match task.await {
        Ok(Some(response)) => response,
        // The target crashed: the connection is about to be closed without an answer.
        Ok(None) | Err(_) => std::future::pending().await,
    }
}

fn job(worker: &Worker, parts: &http::request::Parts, body: &Bytes, arrived: Instant) -> Job {
    let text = |name: &str| text_header(&parts.headers, name);
    let number = |name: &str| text(name).and_then(|value| value.parse::<u64>().ok());
    let faults = worker.faults();
    let is_poison = faults
        .poison
        .as_ref()
        .is_some_and(|poison| String::from_utf8_lossy(body).contains(poison.as_str()));
    Job {
        execution: Execution {
            key: text(header::IDEMPOTENCY_KEY),
            request_id: text(header::REQUEST_ID),
            attempt: text(header::ATTEMPT),
            method: parts.method.to_string(),
            path: parts.uri.path().to_owned(),
            start_id: 0,
            start_wall_ms: 0,
            end_wall_ms: 0,
            outcome: RunOutcome::Running,
        },
        start_by: number(header::DEADLINE_MS)
            .and_then(|ms| arrived.checked_add(Duration::from_millis(ms))),
        not_after_wall_ms: number(header::NOT_AFTER_MS),
        is_poison,
    }
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

/// Runs one request. Returns `None` if the target crashed meanwhile.
async fn run(worker: Arc<Worker>, job: Job, body_bytes: usize) -> Option<Response> {
    let faults = worker.faults();
    let is_poison = job.is_poison;
    let details = job.execution.clone();
    if faults.fail_fast {
        return Some(fail_fast(&worker, details));
    }
    let permit = match worker.start(job).await {
        Ok(permit) => permit,
        Err(Refusal::Gone) => return None,
        Err(refusal) => return Some(not_run(&worker, refusal)),
    };
    if is_poison {
        worker.restart(Restart {
            down_ms: faults.crash_down_ms,
            keep_connections: false,
        });
        return None;
    }
    let plan = worker.plan(&details.path);
    tokio::time::sleep(plan.duration).await;
    if !permit.is_alive() {
        return None;
    }
    if plan.fails {
        permit.finish(RunOutcome::Failed);
        return Some(failure(&worker));
    }
    let response = good_answer(&worker, &details, body_bytes, permit);
    let late_ms = worker.faults().late_answer_ms;
    if late_ms > 0 {
        // A sleep of 0 ms would still wait for the runtime's next timer tick.
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
    }
    Some(response)
}

/// Answers 500 at once. It is logged as an execution, because the caller cannot tell the difference.
fn fail_fast(worker: &Arc<Worker>, mut execution: Execution) -> Response {
    Counters::add(&worker.counters.ran);
    Counters::add(&worker.counters.failed);
    execution.start_wall_ms = wall_ms();
    let place = worker.log.start(execution);
    worker.log.end(place, RunOutcome::Failed, wall_ms());
    failure(worker)
}

fn failure(worker: &Worker) -> Response {
    let value = json!({ "error": "the request failed" });
    json_answer(worker, StatusCode::INTERNAL_SERVER_ERROR, &value)
}

fn good_answer(
    worker: &Arc<Worker>,
    details: &Execution,
    body_bytes: usize,
    permit: Permit,
) -> Response {
    let is_cut = worker.faults().truncate_answer;
    if let Some(total_bytes) = bulk_bytes(details) {
        let mut response = Response::new(body::bulk(total_bytes, is_cut, permit));
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, total_bytes.into());
        add_load_report(worker, &mut response);
        return response;
    }
    permit.finish(RunOutcome::Ok);
    // The answer repeats what it belongs to, so that a test notices a mixed-up answer.
    let value = json!({
        "service": worker.config.service,
        "zone": worker.config.zone,
        "version": worker.config.version,
        "method": details.method,
        "path": details.path,
        "key": details.key,
        "request_id": details.request_id,
        "body_bytes": body_bytes,
    });
    let mut response = json_answer(worker, StatusCode::OK, &value);
    if is_cut {
        let whole = value.to_string();
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, whole.len().into());
        *response.body_mut() = body::truncated(whole.as_bytes());
    }
    response
}

/// Returns the size of the download that a `GET .../bulk/<bytes>` asks for.
fn bulk_bytes(details: &Execution) -> Option<u64> {
    if details.method != Method::GET.as_str() {
        return None;
    }
    let (front, bytes) = details.path.rsplit_once('/')?;
    front.ends_with("/bulk").then(|| bytes.parse().ok())?
}
