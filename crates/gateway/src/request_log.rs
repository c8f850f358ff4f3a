//! Writes the log line that explains the outcome of a request.

use crate::ResponseBody;
use crate::attempt::AttemptResult;
use crate::call::Call;
use crate::sent_log::SentLog;
use heatherhinge_steering::{LineKind, SteeringBoard, TargetLoad};
use heatherhinge_types::{Code, MonoNs, Name};
use http::Response;
use std::fmt::Write;

/// Collects what happened to a request and logs it when it ends.
///
/// It logs every request that was rejected, failed, late or sent more than once, and a sample of
/// the others, both within the limits of the board's log budget.
pub(crate) struct RequestLog<'a> {
    call: &'a Call,
    targets_version: u64,
    attempts: u32,
    steps: String,
}

impl<'a> RequestLog<'a> {
    pub(crate) fn new(call: &'a Call, board: &SteeringBoard) -> Self {
        Self {
            call,
            targets_version: board.targets.read().value.stored_version.number(),
            attempts: 0,
            steps: String::new(),
        }
    }

    pub(crate) fn record_hedge(&mut self) {
        self.steps
            .push_str("no response yet, hedged to a second target; ");
    }

    pub(crate) fn record_attempt(&mut self, attempted: &AttemptResult) {
        self.attempts += 1;
        let target = attempted.target_id().map_or("no target", |id| id.as_str());
        let outcome = format!("{} after {} us", attempted.cause, attempted.took_us);
        self.step(target, attempted.load, &outcome);
    }

    /// Records the targets that have not responded when the time is over.
    pub(crate) fn record_unanswered(&mut self, sent: &SentLog, answered: &[Name]) {
        for sent in sent.read().iter() {
            if !answered.contains(&sent.target) {
                self.attempts += 1;
                self.step(&sent.target, Some(sent.load), "no answer in time");
            }
        }
    }

    fn step(&mut self, target: &str, load: Option<TargetLoad>, outcome: &str) {
        let load = load.map_or_else(
            || "unknown".to_owned(),
            |load| {
                let TargetLoad {
                    running,
                    waiting,
                    slots,
                    slowness_percent,
                } = load;
                format!("{running} running, {waiting} waiting, {slots} slots, {slowness_percent}%")
            },
        );
        // Writing to a string cannot fail.
        write!(self.steps, "{target} (load {load}): {outcome}; ").ok();
    }

    pub(crate) fn finish(
        self,
        board: &SteeringBoard,
        result: &Result<Response<ResponseBody>, Code>,
        now: MonoNs,
    ) {
        let call = self.call;
        let took_ms = now.ms_since(call.arrived);
        board.answer_ms.count(took_ms);
        let status = match result {
            Ok(response) => response.status().as_u16(),
            Err(code) => code.status().as_u16(),
        };
        let code = result.as_ref().err().map_or(0, |code| code.number());
        let is_late = call.route.objective_ms.is_some_and(|ms| took_ms > ms);
        let is_usual = code == 0 && self.attempts == 1 && status < 500 && !is_late;
        let kind = if is_usual {
            LineKind::Normal
        } else {
            LineKind::Abnormal
        };
        if !board.log.take(kind, now) {
            return;
        }
        tracing::info!(
            request_id = call.id_text(),
            route = %call.route.name,
            service = %call.service,
            status,
            code,
            took_ms,
            allowed_ms = call.effective_deadline.ms_since(call.arrived),
            deadline_ms = call.deadline.ms_since(call.arrived),
            attempts = self.attempts,
            routes_version = call.routes_version,
            targets_version = self.targets_version,
            steps = self.steps,
            "{}",
            if is_usual { "request: normal" } else { "request: trouble" }
        );
    }
}
