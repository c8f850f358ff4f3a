//! Handles the requests, health probes and admin calls of a target.

use crate::body;
use crate::response::{add_load_report, json_response, not_run_response};
use crate::worker::{Job, Permit, Rejection, Worker, wall_ms};
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

/// Largest accepted request body.
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
    json_response(&worker, status, &json!({ "state": state }))
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
        return json_response(
            &worker,
            StatusCode::BAD_REQUEST,
            &json!({ "error": "cannot read the request body" }),
        );
    };
    let job = job(&worker, &parts, &body, arrived);
    // The execution continues when the caller disconnects, as in a real worker process.
    let task = tokio::spawn(run(Arc::clone(&worker), job, body.len()));
    match task.await {
        Ok(Some(response)) => response,
        // The target crashed: the connection is about to be closed without a response.
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

/// Runs one request. Returns `None` if the target crashed before it ended.
async fn run(worker: Arc<Worker>, job: Job, body_bytes: usize) -> Option<Response> {
    let faults = worker.faults();
    let is_poison = job.is_poison;
    let details = job.execution.clone();
    if faults.fail_fast {
        return Some(fail_fast(&worker, details));
    }
    let permit = match worker.start(job).await {
        Ok(permit) => permit,
        Err(Rejection::TargetCrashed) => return None,
        Err(rejection) => return Some(not_run_response(&worker, rejection)),
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
        return Some(failure_response(&worker));
    }
    let response = success_response(&worker, &details, body_bytes, permit);
    let late_ms = worker.faults().late_answer_ms;
    if late_ms > 0 {
        // A sleep of 0 ms would still wait for the runtime's next timer tick.
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
    }
    Some(response)
}

/// Returns 500 at once. This is logged as an execution, because the caller cannot tell the
/// difference.
fn fail_fast(worker: &Arc<Worker>, mut execution: Execution) -> Response {
    Counters::add(&worker.counters.ran);
    Counters::add(&worker.counters.failed);
    execution.start_wall_ms = wall_ms();
    let log_index = worker.log.start(execution);
    worker.log.end(log_index, RunOutcome::Failed, wall_ms());
    failure_response(worker)
}

fn failure_response(worker: &Worker) -> Response {
    let value = json!({ "error": "request failed" });
    json_response(worker, StatusCode::INTERNAL_SERVER_ERROR, &value)
}

fn success_response(
    worker: &Arc<Worker>,
    details: &Execution,
    body_bytes: usize,
    permit: Permit,
) -> Response {
    let is_truncated = worker.faults().truncate_answer;
    if let Some(total_bytes) = bulk_bytes(details) {
        let mut response = Response::new(body::bulk(total_bytes, is_truncated, permit));
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, total_bytes.into());
        add_load_report(worker, &mut response);
        return response;
    }
    permit.finish(RunOutcome::Ok);
    // The response repeats the request, so that a test detects a mismatched response.
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
    let mut response = json_response(worker, StatusCode::OK, &value);
    if is_truncated {
        let full_body = value.to_string();
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, full_body.len().into());
        *response.body_mut() = body::truncated(full_body.as_bytes());
    }
    response
}

/// Returns the size that a `GET .../bulk/<bytes>` requests.
fn bulk_bytes(details: &Execution) -> Option<u64> {
    if details.method != Method::GET.as_str() {
        return None;
    }
    let (front, bytes) = details.path.rsplit_once('/')?;
    front.ends_with("/bulk").then(|| bytes.parse().ok())?
}
