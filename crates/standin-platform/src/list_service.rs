//! Serves the host list over HTTP.

use crate::state::State;
use axum::extract::State as Shared;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Returns the routes of the host list.
pub(crate) fn routes() -> Router<Arc<State>> {
    Router::new().route("/hosts", get(read))
}

async fn read(Shared(state): Shared<Arc<State>>) -> Response {
    let service = &state.list;
    service.counts.count(false);
    let lag = Duration::from_millis(state.list_lag_ms.load(Ordering::Relaxed));
    service
        .faults
        .run(true, || {
            Json(service.data().view(lag, Instant::now())).into_response()
        })
        .await
}
