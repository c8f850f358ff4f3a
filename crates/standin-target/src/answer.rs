//! Heads and bodies of answers.

use crate::worker::{Refusal, Worker};
use axum::body::Body;
use axum::response::Response;
use heatherhinge_types::header;
use http::{HeaderValue, StatusCode};
use serde_json::{Value, json};

/// Makes a JSON answer with the load report.
pub(crate) fn json_answer(worker: &Worker, status: StatusCode, value: &Value) -> Response {
    let mut response = Response::new(Body::from(value.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    add_load_report(worker, &mut response);
    response
}

/// Makes the answer to a request that did not start.
pub(crate) fn not_run(worker: &Worker, refusal: Refusal) -> Response {
    let reason = match refusal {
        Refusal::Shed => "the queue is full",
        Refusal::Expired | Refusal::Gone => "the request expired before it started",
    };
    let value = json!({ "error": reason, "ran": "no" });
    let mut response = json_answer(worker, StatusCode::SERVICE_UNAVAILABLE, &value);
    response
        .headers_mut()
        .insert(header::NOT_RUN, HeaderValue::from_static("1"));
    response
}

/// Puts the load report on an answer. A leaving target adds `leaving=1`.
pub(crate) fn add_load_report(worker: &Worker, response: &mut Response) {
    let Some(report) = worker.load_report() else {
        return;
    };
    if let Ok(value) = HeaderValue::from_str(&report.to_string()) {
        response.headers_mut().insert(header::LOAD, value);
    }
}
