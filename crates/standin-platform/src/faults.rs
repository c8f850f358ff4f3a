//! Faults that can be switched while the stand-in runs.

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Faults of one service. Everything is off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Every call is answered with status 503 and has no effect.
    pub outage: bool,
    /// Delay of each call before it takes effect, in milliseconds. A write takes effect even if
    /// its caller has given up by then.
    pub delay_ms: u64,
    /// For this many writes the connection is closed before the write takes effect.
    pub lost_before_effect_next: u32,
    /// For this many writes the connection is closed after the write took effect.
    pub lost_after_effect_next: u32,
    /// Share of writes, in thousandths, whose connection is closed after they took effect.
    pub lost_after_effect_permille: u32,
    /// For this many calls the answer is not readable; the call takes effect.
    pub malformed_next: u32,
    /// Seed of the choice by `lost_after_effect_permille`.
    pub seed: u64,
}

/// Body of `POST /admin/faults`: replaces the faults of the services that it names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Faults of the table service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub table: Option<ServiceFaults>,
    /// Faults of the object store.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objects: Option<ServiceFaults>,
    /// Faults of the host list; its answers to reads can be lost too.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list: Option<ServiceFaults>,
    /// Age of the host list that is served, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_lag_ms: Option<u64>,
}

/// Marks an answer whose connection must be closed instead of sending it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerLost;

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Outage,
    LostBeforeEffect,
    LostAfterEffect,
    Malformed,
}

/// The faults of one running service.
#[derive(Debug)]
pub(crate) struct FaultSwitch(Mutex<Switch>);

#[derive(Debug)]
struct Switch {
    faults: ServiceFaults,
    rng: Pcg64Mcg,
}

impl Default for FaultSwitch {
    fn default() -> Self {
        Self(Mutex::new(Switch {
            faults: ServiceFaults::default(),
            rng: Pcg64Mcg::seed_from_u64(0),
        }))
    }
}

impl FaultSwitch {
    /// Replaces the faults and starts the random choice again from the seed.
    pub(crate) fn set(&self, faults: ServiceFaults) {
        let mut switch = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        switch.rng = Pcg64Mcg::seed_from_u64(faults.seed);
        switch.faults = faults;
    }

    /// Returns the faults in force, with what is left of the counted ones.
    pub(crate) fn get(&self) -> ServiceFaults {
        let switch = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        switch.faults
    }

    /// Carries out a call under the faults in force.
    pub(crate) async fn run(&self, can_be_lost: bool, call: impl FnOnce() -> Response) -> Response {
        let (fault, delay_ms) = self.next(can_be_lost);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        match fault {
            Fault::None => call(),
            Fault::Outage => {
                (StatusCode::SERVICE_UNAVAILABLE, "The service is down.").into_response()
            }
            Fault::LostBeforeEffect => lost(),
            Fault::LostAfterEffect => {
                drop(call());
                lost()
            }
            Fault::Malformed => {
                drop(call());
                (StatusCode::OK, "<not { readable").into_response()
            }
        }
    }

    fn next(&self, can_be_lost: bool) -> (Fault, u64) {
        let mut switch = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let delay_ms = switch.faults.delay_ms;
        (switch.next_fault(can_be_lost), delay_ms)
    }
}

impl Switch {
    fn next_fault(&mut self, can_be_lost: bool) -> Fault {
        let faults = &mut self.faults;
        if faults.outage {
            return Fault::Outage;
        }
        if take(&mut faults.malformed_next) {
            return Fault::Malformed;
        }
        if !can_be_lost {
            return Fault::None;
        }
        if take(&mut faults.lost_before_effect_next) {
            return Fault::LostBeforeEffect;
        }
        let permille = faults.lost_after_effect_permille;
        let is_chosen = permille > 0 && self.rng.random_range(0..1_000) < permille;
        if take(&mut faults.lost_after_effect_next) || is_chosen {
            return Fault::LostAfterEffect;
        }
        Fault::None
    }
}

fn take(next: &mut u32) -> bool {
    let is_left = *next > 0;
    *next = next.saturating_sub(1);
    is_left
}

fn lost() -> Response {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(AnswerLost);
    response
}
