//! Faults that are switched while the target runs.

use serde::{Deserialize, Serialize};

/// The faults in force. `POST /admin/faults` replaces all of them; absent fields mean no fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor on service times, in thousandths; 1,000 is normal speed.
    pub slow_permille: u64,
    /// Answers 500 at once.
    pub fail_fast: bool,
    /// A request whose body contains this text crashes the target when it starts.
    pub poison: Option<String>,
    /// Time that the target is gone after a crash, in milliseconds.
    pub crash_down_ms: u64,
    /// Restarts the target cold as soon as the faults are set. It is done once.
    pub restart: Option<Restart>,
    /// Answers say that the target is leaving.
    pub leaving: bool,
    /// What is wrong with load reports.
    pub load_report: LoadReportFault,
    /// What is wrong with the answer on `/health`.
    pub health: HealthFault,
    /// What is wrong with the version.
    pub bad_version: Option<BadVersion>,
    /// Closes the connection in the middle of the answer's body.
    pub truncate_answer: bool,
    /// Time between the end of the execution and its answer, in milliseconds.
    pub late_answer_ms: u64,
    /// Closes each connection after an answer, without announcing it.
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
    /// Time that the target is gone, in milliseconds.
    pub down_ms: u64,
    /// Keeps the connections open, so that only the start id and the speed show the restart.
    pub keep_connections: bool,
}

/// What is wrong with load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadReportFault {
    /// Reports are right.
    None,
    /// Reports are absent.
    Absent,
    /// Reports state this number of requests in flight.
    Lie {
        /// Requests in flight that the report states.
        in_flight: u32,
    },
    /// Reports state what was true some time ago.
    Lag {
        /// Age of the statement in milliseconds.
        lag_ms: u64,
    },
}

/// What is wrong with the answer on `/health`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthFault {
    /// The answer is right: 503 while the target fails fast, 200 otherwise.
    None,
    /// The answer is always this.
    Lie {
        /// Whether the answer is 200.
        ok: bool,
    },
    /// The answer is what was true some time ago.
    Lag {
        /// Age of the answer in milliseconds.
        lag_ms: u64,
    },
}

/// A fault of the version that the target runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BadVersion {
    /// What goes wrong.
    pub effect: BadEffect,
    /// When it goes wrong.
    pub when: BadWhen,
}

/// What goes wrong with a bad version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BadEffect {
    /// Requests run and end with 500.
    Fail,
    /// Requests take longer by this factor.
    Slow {
        /// Factor in thousandths.
        permille: u64,
    },
}

/// When a bad version goes wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BadWhen {
    /// From the start.
    AtOnce,
    /// Some time after the fault was set.
    After {
        /// Time in milliseconds.
        after_ms: u64,
    },
    /// While more requests than this are in flight.
    AboveLoad {
        /// Requests in flight.
        in_flight: u32,
    },
    /// On paths that begin with this prefix.
    OnRoute {
        /// Prefix of the path.
        prefix: String,
    },
}

impl BadVersion {
    /// Returns the effect on a request, or `None` if this request is served well.
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
