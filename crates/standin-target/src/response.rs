//! Builds the responses of a target.

use crate::worker::{Rejection, Worker};
use axum::body::Body;
use axum::response::Response;
use heatherhinge_types::header;
use http::{HeaderValue, StatusCode};
use serde_json::{Value, json};

/// Creates a JSON response with the load report.
pub(crate) fn json_response(worker: &Worker, status: StatusCode, value: &Value) -> Response {
    let mut response = Response::new(Body::from(value.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    add_load_report(worker, &mut response);
    response
}

/// Creates the response to a request that did not start.
pub(crate) fn not_run_response(worker: &Worker, rejection: Rejection) -> Response {
    let reason = match rejection {
        Rejection::Shed => "queue is full",
        Rejection::Expired | Rejection::TargetCrashed => "request expired before it started",
    };
    let value = json!({ "error": reason, "ran": "no" });
    let mut response = json_response(worker, StatusCode::SERVICE_UNAVAILABLE, &value);
    response
        .headers_mut()
        .insert(header::NOT_RUN, HeaderValue::from_static("1"));
    response
}

/// Adds the load report to a response. A leaving target adds `leaving=1` to the report.
pub(crate) fn add_load_report(worker: &Worker, response: &mut Response) {
    let Some(report) = worker.load_report() else {
        return;
    };
    if let Ok(value) = HeaderValue::from_str(&report.to_string()) {
        response.headers_mut().insert(header::LOAD, value);
    }
}
