//! Logs executions, so that tests can prove that a request ran at most once.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The request is still running.
    Running,
    /// The request ended with status 200.
    Ok,
    /// The request ended with status 500.
    Failed,
    /// The target crashed or restarted while the request ran.
    Crashed,
    /// The streamed response was truncated, or the client disconnected before its end.
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
    /// Start id of the target when the request started.
    pub start_id: u64,
    /// Wall time of the start, in Unix milliseconds.
    pub start_wall_ms: u64,
    /// Wall time of the end, in Unix milliseconds; 0 while the request runs.
    pub end_wall_ms: u64,
    /// How the execution ended.
    pub outcome: RunOutcome,
}

/// All executions of one target in the order of their starts, kept over crashes of the target.
#[derive(Debug, Default)]
pub struct ExecutionLog(Mutex<Vec<Execution>>);

impl ExecutionLog {
    /// Adds an execution and returns its index in the log.
    pub fn start(&self, execution: Execution) -> usize {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        log.push(execution);
        log.len() - 1
    }

    /// Records the end of an execution, unless one is recorded already.
    pub fn end(&self, log_index: usize, outcome: RunOutcome, end_wall_ms: u64) {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(execution) = log.get_mut(log_index)
            && execution.outcome == RunOutcome::Running
        {
            execution.outcome = outcome;
            execution.end_wall_ms = end_wall_ms;
        }
    }

    /// Marks all running executions as crashed.
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
