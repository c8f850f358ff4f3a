//! Handles admin calls: faults, counters and registrations.

use crate::state::State;
use crate::{Counts, FaultSettings, ListEntry, TargetGroup};
use axum::extract::State as Shared;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use http::StatusCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Returns the admin routes.
pub(crate) fn routes() -> Router<Arc<State>> {
    Router::new()
        .route("/admin/faults", get(get_faults).post(set_faults))
        .route("/admin/counters", get(counters))
        .route("/admin/hosts", post(register))
}

async fn set_faults(
    Shared(state): Shared<Arc<State>>,
    Json(settings): Json<FaultSettings>,
) -> Json<FaultSettings> {
    apply_faults(&state, settings);
    get_faults(Shared(state)).await
}

/// Replaces the faults of the services that the settings name.
pub(crate) fn apply_faults(state: &State, settings: FaultSettings) {
    if let Some(faults) = settings.table {
        state.table.faults.set(faults);
    }
    if let Some(faults) = settings.objects {
        state.objects.faults.set(faults);
    }
    if let Some(faults) = settings.list {
        state.list.faults.set(faults);
    }
    if let Some(lag_ms) = settings.list_lag_ms {
        state.list_lag_ms.store(lag_ms, Ordering::Relaxed);
    }
}

async fn get_faults(Shared(state): Shared<Arc<State>>) -> Json<FaultSettings> {
    Json(FaultSettings {
        table: Some(state.table.faults.get()),
        objects: Some(state.objects.faults.get()),
        list: Some(state.list.faults.get()),
        list_lag_ms: Some(state.list_lag_ms.load(Ordering::Relaxed)),
    })
}

async fn counters(Shared(state): Shared<Arc<State>>) -> Json<Counts> {
    Json(state.counts())
}

async fn register(
    Shared(state): Shared<Arc<State>>,
    Json(groups): Json<Vec<TargetGroup>>,
) -> Response {
    state.list.counts.count(true);
    match register_groups(&state, &groups) {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(message) => (StatusCode::BAD_REQUEST, message).into_response(),
    }
}

/// Registers all groups, or none if one of them is invalid.
pub(crate) fn register_groups(state: &State, groups: &[TargetGroup]) -> Result<(), String> {
    let mut entries = Vec::new();
    for group in groups {
        entries.extend(ListEntry::parse_group(group)?);
    }
    let now = Instant::now();
    let mut list = state.list.data();
    for entry in entries {
        list.register(entry, now);
    }
    Ok(())
}
