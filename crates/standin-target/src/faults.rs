//! Defines the faults of a target, which can be changed while it runs.

use serde::{Deserialize, Serialize};

/// The current faults. `POST /admin/faults` replaces all of them; absent fields mean no fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor on service times, in thousandths; 1,000 is normal speed.
    pub slow_permille: u64,
    /// Every request returns 500 at once.
    pub fail_fast: bool,
    /// A request whose body contains this text crashes the target when it starts.
    pub poison: Option<String>,
    /// Time after a crash until the target listens again, in milliseconds.
    pub crash_down_ms: u64,
    /// Restarts the target cold, once, as soon as the faults are set.
    pub restart: Option<Restart>,
    /// Load reports and `/health` state that the target is leaving.
    pub leaving: bool,
    /// Fault of load reports.
    pub load_report: LoadReportFault,
    /// Fault of the response to `/health`.
    pub health: HealthFault,
    /// Fault of the version that the target runs.
    pub bad_version: Option<BadVersion>,
    /// Closes the connection after half of the response body.
    pub truncate_answer: bool,
    /// Time between the end of the execution and its response, in milliseconds.
    pub late_answer_ms: u64,
    /// Closes each connection after a response, without announcing it.
    pub close_after_answer: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_permille: 1_000,
            fail_fast: false,
            poison: None,
            crash_down_ms: 200,
            restart: None,
            leaving: false,
            load_report: LoadReportFault::None,
            health: HealthFault::None,
            bad_version: None,
            truncate_answer: false,
            late_answer_ms: 0,
            close_after_answer: false,
        }
    }
}

/// A restart of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restart {
    /// Time until the target listens again, in milliseconds.
    pub down_ms: u64,
    /// Keeps the connections open, so that only the start id, the uptime and the speed change.
    pub keep_connections: bool,
}

/// Fault of load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadReportFault {
    /// Reports are correct.
    None,
    /// Reports are absent.
    Absent,
    /// Reports state this number of requests in flight.
    Lie {
        /// Requests in flight that the report states.
        in_flight: u32,
    },
    /// Reports state an earlier value.
    Lag {
        /// Age of the value in milliseconds.
        lag_ms: u64,
    },
}

/// Fault of the response to `/health`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthFault {
    /// The response is correct: 503 while the target fails fast, 200 otherwise.
    None,
    /// The response is fixed.
    Lie {
        /// Whether the status is 200 rather than 503.
        ok: bool,
    },
    /// The response is an earlier one.
    Lag {
        /// Age of the response in milliseconds.
        lag_ms: u64,
    },
}

/// A fault of the version that the target runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BadVersion {
    /// Effect on the affected requests.
    pub effect: BadEffect,
    /// Which requests are affected.
    pub when: BadWhen,
}

/// The effect of a bad version on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BadEffect {
    /// The request runs and ends with 500.
    Fail,
    /// The service time is multiplied by a factor.
    Slow {
        /// Factor in thousandths.
        permille: u64,
    },
}

/// Which requests a bad version affects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BadWhen {
    /// All requests.
    AtOnce,
    /// Requests that start some time after the fault was set.
    After {
        /// Time in milliseconds.
        after_ms: u64,
    },
    /// Requests at whose start more requests than this run, themselves included.
    AboveLoad {
        /// Number of running requests.
        in_flight: u32,
    },
    /// Requests on paths that begin with this prefix.
    OnRoute {
        /// Prefix of the path.
        prefix: String,
    },
}

impl BadVersion {
    /// Returns the effect on a request, or `None` if the request is not affected.
    #[must_use]
    pub fn effect_on(&self, path: &str, in_flight: u32, set_for_ms: u64) -> Option<BadEffect> {
        let applies = match &self.when {
            BadWhen::AtOnce => true,
            BadWhen::After { after_ms } => set_for_ms >= *after_ms,
            BadWhen::AboveLoad { in_flight: limit } => in_flight > *limit,
            BadWhen::OnRoute { prefix } => path.starts_with(prefix),
        };
        applies.then_some(self.effect)
    }
}
