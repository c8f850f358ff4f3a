//! Serves the table service over HTTP.

use crate::state::State;
use crate::{Table, TableError};
use axum::Router;
use axum::extract::State as Shared;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use std::sync::Arc;

/// Prefix of the operation name in the `X-Amz-Target` header.
const TARGET_PREFIX: &str = "DynamoDB_20120810.";
/// Content type of the protocol.
const CONTENT_TYPE: &str = "application/x-amz-json-1.0";

/// Returns the routes of the table service.
pub(crate) fn routes() -> Router<Arc<State>> {
    Router::new().route("/", post(call))
}

async fn call(Shared(state): Shared<Arc<State>>, headers: HeaderMap, body: Bytes) -> Response {
    let operation = headers
        .get("x-amz-target")
        .and_then(|value| value.to_str().ok())
        .and_then(|target| target.strip_prefix(TARGET_PREFIX))
        .unwrap_or_default()
        .to_owned();
    let is_write = Table::is_write(&operation);
    state.table.counts.count(is_write);
    let service = &state.table;
    service
        .faults
        .run(is_write, || {
            to_response(service.data().call(&operation, &body))
        })
        .await
}

fn to_response(result: Result<serde_json::Value, TableError>) -> Response {
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, body),
        Err(error) => (StatusCode::BAD_REQUEST, error.to_json()),
    };
    let headers = [(header::CONTENT_TYPE, CONTENT_TYPE)];
    (status, headers, body.to_string()).into_response()
}
