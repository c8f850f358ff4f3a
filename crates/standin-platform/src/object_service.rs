//! Serves the object store over HTTP.

use crate::state::State;
use axum::Router;
use axum::extract::{DefaultBodyLimit, Path, Query, State as Shared};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bytes::Bytes;
use http::{StatusCode, header};
use serde::Deserialize;
use std::sync::Arc;

/// Largest object; fits all decision records that a host holds in memory.
const OBJECT_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Query of a list call; other parameters are rejected.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct ListQuery {
    list_type: u8,
    #[serde(default)]
    prefix: String,
    continuation_token: Option<String>,
    max_keys: Option<usize>,
}

/// Returns the routes of the object store for a bucket.
pub(crate) fn routes(bucket: &str) -> Router<Arc<State>> {
    Router::new()
        .route(&format!("/{bucket}"), get(list))
        .route(&format!("/{bucket}/{{*key}}"), get(read).put(write))
        .layer(DefaultBodyLimit::max(OBJECT_LIMIT_BYTES))
}

async fn list(Shared(state): Shared<Arc<State>>, Query(query): Query<ListQuery>) -> Response {
    let service = &state.objects;
    service.counts.count(false);
    if query.list_type != 2 {
        return error(
            StatusCode::BAD_REQUEST,
            "InvalidArgument",
            "list-type must be 2",
        );
    }
    service
        .faults
        .run(false, || {
            let after = query.continuation_token.as_deref();
            let xml = service
                .data()
                .list_xml(&state.bucket, &query.prefix, after, query.max_keys);
            ([(header::CONTENT_TYPE, "application/xml")], xml).into_response()
        })
        .await
}

async fn read(Shared(state): Shared<Arc<State>>, Path(key): Path<String>) -> Response {
    let service = &state.objects;
    service.counts.count(false);
    service
        .faults
        .run(false, || match service.data().get(&key) {
            Some(body) => body.into_response(),
            None => error(
                StatusCode::NOT_FOUND,
                "NoSuchKey",
                "The specified key does not exist.",
            ),
        })
        .await
}

async fn write(
    Shared(state): Shared<Arc<State>>,
    Path(key): Path<String>,
    body: Bytes,
) -> Response {
    let service = &state.objects;
    service.counts.count(true);
    service
        .faults
        .run(true, || {
            service.data().put(&key, body);
            StatusCode::OK.into_response()
        })
        .await
}

fn error(status: StatusCode, code: &str, message: &str) -> Response {
    let xml = format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n\
         <Error><Code>{code}</Code><Message>{message}</Message></Error>"
    );
    (status, [(header::CONTENT_TYPE, "application/xml")], xml).into_response()
}
