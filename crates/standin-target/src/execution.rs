//! The log of executions, by which tests prove that a request ran at most once.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// It is still running.
    Running,
    /// It ended with a good answer.
    Ok,
    /// It ended with an error.
    Failed,
    /// The target crashed or restarted while it ran.
    Crashed,
    /// The receiver went away while the answer was being streamed.
    Cut,
}

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Value of the `Idempotency-Key` header.
    pub key: Option<String>,
    /// Value of the `Heatherhinge-Request-Id` header.
    pub request_id: Option<String>,
    /// Value of the `Heatherhinge-Attempt` header.
    pub attempt: Option<String>,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// The run of the target.
    pub start_id: u64,
    /// Start of the execution by the wall clock.
    pub start_wall_ms: u64,
    /// End of the execution by the wall clock; 0 while it runs.
    pub end_wall_ms: u64,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// All executions of one target in the order of their starts. It outlives crashes of the target.
#[derive(Debug, Default)]
pub struct ExecutionLog(Mutex<Vec<Execution>>);

impl ExecutionLog {
    /// Adds an execution and returns its place in the log.
    pub fn start(&self, execution: Execution) -> usize {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        log.push(execution);
        log.len() - 1
    }

    /// Notes the end of an execution. The first end counts.
    pub fn end(&self, place: usize, outcome: RunOutcome, end_wall_ms: u64) {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(execution) = log.get_mut(place)
            && execution.outcome == RunOutcome::Running
        {
            execution.outcome = outcome;
            execution.end_wall_ms = end_wall_ms;
        }
    }

    /// Notes that everything that is still running has crashed.
    pub fn crash_running(&self, end_wall_ms: u64) {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for execution in log.iter_mut() {
            if execution.outcome == RunOutcome::Running {
                execution.outcome = RunOutcome::Crashed;
                execution.end_wall_ms = end_wall_ms;
            }
        }
    }

    /// Returns a copy of the log.
    #[must_use]
    pub fn all(&self) -> Vec<Execution> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
