//! Injects faults, which can be changed while the stand-in runs.

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Faults of one service. All are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Every call returns status 503 and has no effect.
    pub outage: bool,
    /// Delay of each call before it takes effect, in milliseconds. A write takes effect even if
    /// its caller has given up by then.
    pub delay_ms: u64,
    /// Number of upcoming writes whose connection is closed and that take no effect.
    pub lost_before_effect_next: u32,
    /// Number of upcoming writes whose connection is closed after they took effect.
    pub lost_after_effect_next: u32,
    /// Share of writes, in thousandths, whose connection is closed after they took effect.
    pub lost_after_effect_permille: u32,
    /// Number of upcoming calls that take effect and return an unparsable body.
    pub malformed_next: u32,
    /// Seed of the random choice by `lost_after_effect_permille`.
    pub seed: u64,
}

/// Body of `POST /admin/faults`, which replaces the faults of the services that are present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Faults of the table service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub table: Option<ServiceFaults>,
    /// Faults of the object store.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objects: Option<ServiceFaults>,
    /// Faults of the host list; the `lost_` faults apply to its reads.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list: Option<ServiceFaults>,
    /// Age of the host list that is served, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_lag_ms: Option<u64>,
}

/// Marks a response that must not be sent; its connection is closed instead.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DropConnection;

/// The fault that applies to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Outage,
    LostBeforeEffect,
    LostAfterEffect,
    Malformed,
}

/// Applies the current faults of one service to its calls.
#[derive(Debug)]
pub(crate) struct FaultInjector(Mutex<InjectorState>);

#[derive(Debug)]
struct InjectorState {
    faults: ServiceFaults,
    rng: Pcg64Mcg,
}

impl Default for FaultInjector {
    fn default() -> Self {
        Self(Mutex::new(InjectorState {
            faults: ServiceFaults::default(),
            rng: Pcg64Mcg::seed_from_u64(0),
        }))
    }
}

impl FaultInjector {
    /// Replaces the faults and resets the random generator to their seed.
    pub(crate) fn set(&self, faults: ServiceFaults) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.rng = Pcg64Mcg::seed_from_u64(faults.seed);
        state.faults = faults;
    }

    /// Returns the current faults; the `_next` fields hold the remaining numbers.
    pub(crate) fn get(&self) -> ServiceFaults {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.faults
    }

    /// Carries out a call with the current faults. `can_drop_connection` enables the `lost_` faults.
    pub(crate) async fn run(
        &self,
        can_drop_connection: bool,
        call: impl FnOnce() -> Response,
    ) -> Response {
        let (fault, delay_ms) = self.next(can_drop_connection);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        match fault {
            Fault::None => call(),
            Fault::Outage => (
                StatusCode::SERVICE_UNAVAILABLE,
                "Service unavailable because of the fault outage.",
            )
                .into_response(),
            Fault::LostBeforeEffect => dropped_connection(),
            Fault::LostAfterEffect => {
                drop(call());
                dropped_connection()
            }
            Fault::Malformed => {
                drop(call());
                (StatusCode::OK, "<not { readable").into_response()
            }
        }
    }

    fn next(&self, can_drop_connection: bool) -> (Fault, u64) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let delay_ms = state.faults.delay_ms;
        (state.next_fault(can_drop_connection), delay_ms)
    }
}

impl InjectorState {
    fn next_fault(&mut self, can_drop_connection: bool) -> Fault {
        let faults = &mut self.faults;
        if faults.outage {
            return Fault::Outage;
        }
        if take_one(&mut faults.malformed_next) {
            return Fault::Malformed;
        }
        if !can_drop_connection {
            return Fault::None;
        }
        if take_one(&mut faults.lost_before_effect_next) {
            return Fault::LostBeforeEffect;
        }
        let permille = faults.lost_after_effect_permille;
        let is_chosen = permille > 0 && self.rng.random_range(0..1_000) < permille;
        if take_one(&mut faults.lost_after_effect_next) || is_chosen {
            return Fault::LostAfterEffect;
        }
        Fault::None
    }
}

fn take_one(next: &mut u32) -> bool {
    let was_left = *next > 0;
    *next = next.saturating_sub(1);
    was_left
}

fn dropped_connection() -> Response {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(DropConnection);
    response
}
