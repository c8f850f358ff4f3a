//! Tracks one version move on one host: its state, share, evidence, row and reports.

use crate::canary_analysis::{CanaryAnalysis, Judgement};
use crate::decision_record::decision_record;
use crate::move_event::{MoveEffect, MoveReport, MoveRow, StoreUnavailable, WriteOutcome};
use crate::move_evidence::{OwnReading, Readings};
use crate::move_machine::{MoveInput, MoveMachine};
use heatherhinge_blackboard::{Blackboard, MoveCounters, MoveEntry, MoveState, MoveVerdict};
use heatherhinge_bundle::VersionMove;
use heatherhinge_records::{RecordEvent, Subject};
use heatherhinge_types::{MonoNs, Name, Now, Partition};
use statig::blocking::{IntoStateMachineExt, StateMachine};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Shares after the cap, in thousandths. The last step leaves 2% with the old version, so that
/// both are compared within the same second until the end; a move that passes it is done.
const SHARES_PERMILLE: [u32; 4] = [100, 250, 500, 980];
/// Longest time that a step must last. While time is left, steps take longer, so that a version
/// that turns bad later does so at a small share.
const STEP_MAX_MS: u64 = 60_000;
/// Time between two readings of the evidence; the windows of the analysis are this long.
const EVALUATE_MS: u64 = 1_000;
/// Time between two attempts to reach the store or the leader, or to write a report.
const RETRY_MS: u64 = 2_000;
/// Time after which a response of the store counts as lost.
const STORE_TIMEOUT_MS: u64 = 10_000;
/// Number of local analyses that share the probability of a false alarm: one for each host.
const LOCAL_TESTS: u32 = 32;

/// What this host knows about the row in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Store {
    Unknown { retry_ns: MonoNs },
    Reading { since_ns: MonoNs },
    Known(Option<MoveRow>),
    Writing { row: MoveRow, since_ns: MonoNs },
}

/// State of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Report {
    /// To be written at this time, or written again.
    Due(MonoNs),
    Exists,
}

/// One move, as this host knows it.
pub(crate) struct ServiceMove {
    pub(crate) service: Name,
    pub(crate) params: VersionMove,
    machine: StateMachine<MoveMachine>,
    share_permille: u32,
    step: u64,
    step_until_ns: MonoNs,
    is_halted: bool,
    leader_notified_ns: Option<MonoNs>,
    is_leader: bool,
    reason: Name,
    fleet: CanaryAnalysis,
    readings: Readings,
    own: CanaryAnalysis,
    own_reading: OwnReading,
    evaluated_ns: MonoNs,
    store: Store,
    reports: BTreeMap<MoveState, Report>,
}

impl ServiceMove {
    pub(crate) fn new(service: Name, params: VersionMove) -> Self {
        Self {
            service,
            params,
            machine: MoveMachine.state_machine(),
            share_permille: 0,
            step: 0,
            step_until_ns: MonoNs(0),
            is_halted: false,
            leader_notified_ns: None,
            is_leader: false,
            reason: Name::from("heard from another host"),
            fleet: CanaryAnalysis::new(1),
            readings: Readings::default(),
            own: CanaryAnalysis::new(LOCAL_TESTS),
            own_reading: OwnReading::default(),
            evaluated_ns: MonoNs(0),
            store: Store::Unknown {
                retry_ns: MonoNs(0),
            },
            reports: BTreeMap::new(),
        }
    }

    pub(crate) fn state(&self) -> MoveState {
        self.machine.state().name()
    }

    /// Returns the entry for the blackboard. An unproven version never gets more than the cap of
    /// the bundle in force, and nothing on a host that halted the move.
    pub(crate) fn entry(&self) -> MoveEntry {
        let state = self.state();
        let share_permille = match state {
            MoveState::Done => 1_000,
            MoveState::Waiting | MoveState::TakenBack => 0,
            _ if self.is_halted => 0,
            MoveState::Canary => self.share_permille.min(self.params.cap_permille),
            MoveState::Raising | MoveState::Late => self.share_permille,
        };
        MoveEntry {
            id: self.params.id.clone(),
            from: self.params.from.clone(),
            to: self.params.to.clone(),
            state,
            share_permille,
            step: self.step,
        }
    }

    /// Returns the verdict for this host's record, or `None` before the first decision.
    pub(crate) fn verdict(&self) -> Option<MoveVerdict> {
        (self.step > 0).then(|| MoveVerdict {
            service: self.service.clone(),
            move_id: self.params.id.clone(),
            state: self.state(),
            share_permille: self.share_permille,
            step: self.step,
        })
    }

    /// Merges the state of a peer or of the store. The state never goes back, and a share is taken
    /// only from a later step.
    pub(crate) fn merge_state(
        &mut self,
        state: MoveState,
        share_permille: u32,
        step: u64,
        now: Now,
    ) {
        let before = self.state();
        if before.merge(state) != before {
            self.machine.handle(&MoveInput::RemoteState(state));
        }
        if step > self.step {
            self.step = step;
            if !self.state().is_final() && share_permille != self.share_permille {
                self.share_permille = share_permille;
                self.begin_step(now);
            }
        }
    }

    fn begin_step(&mut self, now: Now) {
        self.fleet.begin_step();
        let left = SHARES_PERMILLE
            .iter()
            .filter(|share| **share >= self.share_permille);
        let left = left.count() as u64 + 1;
        let planned_ms = self.params.end_wall_ms.ms_since(now.wall_ms) / left;
        self.step_until_ns = now.mono_ns.plus_ms(planned_ms.min(STEP_MAX_MS));
    }

    /// Merges peers' verdicts and evaluates the evidence. The leader also decides, writes the row
    /// and reports.
    pub(crate) fn tick(
        &mut self,
        board: &Blackboard,
        now: Now,
        nonce: u64,
        out: &mut Vec<MoveEffect>,
    ) {
        let hosts = board.hosts.read_owned();
        for verdict in hosts
            .value
            .hosts
            .values()
            .flat_map(|host| &host.record.verdicts)
        {
            if verdict.move_id == self.params.id {
                self.merge_state(verdict.state, verdict.share_permille, verdict.step, now);
            }
        }
        let owners = board.owners.read_owned();
        let partition = Partition::of_name(&self.service);
        let is_leader = owners.value.holds(&board.host, partition, now);
        if is_leader && !self.is_leader && !matches!(self.store, Store::Writing { .. }) {
            // Another leader may have written the row since this host read it.
            self.store = Store::Unknown {
                retry_ns: now.mono_ns,
            };
        }
        self.is_leader = is_leader;
        let is_due = now.mono_ns >= self.evaluated_ns.plus_ms(EVALUATE_MS);
        if is_due && !self.state().is_final() {
            self.evaluated_ns = now.mono_ns;
            let window = self.readings.window(&hosts.value, &self.params.id);
            self.fleet.observe(&window);
            self.evaluate_own(board, now, out);
        }
        if self.is_leader {
            self.decide_as_leader(board, now, out);
        }
        self.sync_row(board, now, nonce, out);
        if self.is_leader {
            self.write_report(board, now, out);
        }
    }

    fn evaluate_own(&mut self, board: &Blackboard, now: Now, out: &mut Vec<MoveEffect>) {
        let Some(counters) = counters(board, &self.service, &self.params.id) else {
            return;
        };
        self.own
            .observe(&self.own_reading.window(&counters, &board.zone));
        if let Some(Judgement::Worse { route, measure }) = self.own.worse()
            && !std::mem::replace(&mut self.is_halted, true)
        {
            self.reason = reason_of("strong evidence on this host", route.as_ref(), measure);
            self.record(board, now, out);
        }
        let is_notified = self
            .leader_notified_ns
            .is_some_and(|notified_ns| now.mono_ns < notified_ns.plus_ms(RETRY_MS));
        if !self.is_halted || is_notified {
            return;
        }
        self.leader_notified_ns = Some(now.mono_ns);
        let owners = board.owners.read();
        let leader = owners.value.owner(Partition::of_name(&self.service));
        match leader {
            Some(leader) if leader.host != board.host => out.push(MoveEffect::NotifyLeader {
                leader: leader.host.clone(),
                peer_addr: leader.peer_addr,
                move_id: self.params.id.clone(),
            }),
            _ if self.is_leader => self.roll_back(board, self.reason.clone(), now, out),
            _ => {}
        }
    }

    /// Rolls the move back if this host leads it, because a peer halted it.
    pub(crate) fn halt_reported(
        &mut self,
        board: &Blackboard,
        from: &Name,
        now: Now,
        out: &mut Vec<MoveEffect>,
    ) {
        if self.is_leader && !self.state().is_final() {
            let reason = Name::from(format!("strong evidence on {from}"));
            self.roll_back(board, reason, now, out);
        }
    }

    /// Rolls the move back. This needs no store: it takes effect here at once and spreads with the
    /// verdicts.
    fn roll_back(&mut self, board: &Blackboard, reason: Name, now: Now, out: &mut Vec<MoveEffect>) {
        if self.state().is_final() {
            return;
        }
        self.machine.handle(&MoveInput::Worse);
        self.share_permille = 0;
        self.step += 1;
        self.reason = reason;
        self.record(board, now, out);
    }

    fn decide_as_leader(&mut self, board: &Blackboard, now: Now, out: &mut Vec<MoveEffect>) {
        if self.state().is_final() {
            return;
        }
        if let Some(Judgement::Worse { route, measure }) = self.fleet.worse() {
            let reason = reason_of("judged worse", route.as_ref(), measure);
            return self.roll_back(board, reason, now, out);
        }
        if now.wall_ms >= self.params.end_wall_ms && self.state() != MoveState::Late {
            self.machine.handle(&MoveInput::EndPassed);
            self.step += 1;
            self.reason = Name::from("not judged before the end time");
            self.record(board, now, out);
        }
    }

    /// Returns the next state and share if the leader may raise the share now.
    fn next_step(&self, now: Now) -> Option<(MoveState, u32)> {
        let state = self.state();
        if !self.is_leader || state.is_final() || self.is_halted {
            return None;
        }
        if state == MoveState::Waiting {
            return Some((MoveState::Canary, self.params.cap_permille));
        }
        let is_soaked = now.mono_ns >= self.step_until_ns;
        if !is_soaked || self.fleet.judge(self.params.min_samples) != Judgement::NotWorse {
            return None;
        }
        let mut shares = SHARES_PERMILLE.iter().copied();
        match shares.find(|share| *share > self.share_permille) {
            None => Some((MoveState::Done, 1_000)),
            Some(_) if state == MoveState::Late => None, // The share stays as it is.
            Some(share) => Some((MoveState::Raising, share)),
        }
    }

    /// Reads or writes the row when due. A raised share takes effect only after it is written.
    fn sync_row(&mut self, board: &Blackboard, now: Now, nonce: u64, out: &mut Vec<MoveEffect>) {
        let is_timed_out = |since: MonoNs| now.mono_ns >= since.plus_ms(STORE_TIMEOUT_MS);
        match &self.store {
            Store::Unknown { retry_ns } if now.mono_ns >= *retry_ns => self.read_row(now, out),
            Store::Reading { since_ns } | Store::Writing { since_ns, .. }
                if is_timed_out(*since_ns) =>
            {
                self.read_row(now, out);
            }
            Store::Known(stored) if self.is_leader => {
                let stored = stored.clone();
                let proposal = self
                    .next_step(now)
                    .or_else(|| self.unwritten_state(stored.as_ref()));
                let Some((state, share_permille)) = proposal else {
                    return;
                };
                let expected_step = stored.map(|row| row.step);
                let row = MoveRow {
                    move_id: self.params.id.clone(),
                    service: self.service.clone(),
                    state,
                    share_permille,
                    step: self.step.max(expected_step.unwrap_or(0)) + 1,
                    writer: board.host.clone(),
                    nonce,
                };
                out.push(MoveEffect::WriteRow {
                    row: row.clone(),
                    expected_step,
                });
                self.store = Store::Writing {
                    row,
                    since_ns: now.mono_ns,
                };
            }
            _ => {}
        }
    }

    /// Returns the state and share that were decided without the store, if the row lacks them.
    fn unwritten_state(&self, stored: Option<&MoveRow>) -> Option<(MoveState, u32)> {
        let state = self.state();
        let is_persistent = matches!(
            state,
            MoveState::TakenBack | MoveState::Late | MoveState::Done
        );
        let is_written = stored.is_some_and(|row| row.state >= state);
        (is_persistent && !is_written).then_some((state, self.share_permille))
    }

    fn read_row(&mut self, now: Now, out: &mut Vec<MoveEffect>) {
        self.store = Store::Reading {
            since_ns: now.mono_ns,
        };
        out.push(MoveEffect::ReadRow {
            move_id: self.params.id.clone(),
        });
    }

    pub(crate) fn row_read(&mut self, read: Result<Option<MoveRow>, StoreUnavailable>, now: Now) {
        if matches!(self.store, Store::Writing { .. } | Store::Known(_)) {
            return; // The read timed out earlier.
        }
        match read {
            Ok(row) => {
                if let Some(row) = &row {
                    self.merge_state(row.state, row.share_permille, row.step, now);
                }
                self.store = Store::Known(row);
            }
            Err(StoreUnavailable) => self.invalidate_row(now),
        }
    }

    pub(crate) fn row_written(
        &mut self,
        board: &Blackboard,
        nonce: u64,
        outcome: WriteOutcome,
        now: Now,
        out: &mut Vec<MoveEffect>,
    ) {
        let Store::Writing { row, .. } = &self.store else {
            return;
        };
        if row.nonce != nonce {
            return;
        }
        let row = row.clone();
        match outcome {
            WriteOutcome::Written => {
                let before = (self.state(), self.share_permille);
                self.merge_state(row.state, row.share_permille, row.step, now);
                if before != (self.state(), self.share_permille) {
                    self.reason = Name::from(match row.state {
                        MoveState::Canary => "the move begins",
                        _ => "judged not worse",
                    });
                    self.record(board, now, out);
                }
                self.store = Store::Known(Some(row));
            }
            // After a conflict or a lost response, the row must be read again to know what is in
            // force.
            WriteOutcome::Conflict => {
                self.store = Store::Unknown {
                    retry_ns: now.mono_ns,
                };
            }
            WriteOutcome::Unknown => self.invalidate_row(now),
        }
    }

    fn invalidate_row(&mut self, now: Now) {
        self.store = Store::Unknown {
            retry_ns: now.mono_ns.plus_ms(RETRY_MS),
        };
    }

    fn write_report(&mut self, board: &Blackboard, now: Now, out: &mut Vec<MoveEffect>) {
        let state = self.state();
        if !state.is_final() && state != MoveState::Late {
            return;
        }
        let report = self
            .reports
            .entry(state)
            .or_insert(Report::Due(now.mono_ns));
        if !matches!(report, Report::Due(due_ns) if now.mono_ns >= *due_ns) {
            return;
        }
        *report = Report::Due(now.mono_ns.plus_ms(RETRY_MS));
        out.push(MoveEffect::WriteReport(MoveReport {
            move_id: self.params.id.clone(),
            service: self.service.clone(),
            state,
            at_wall_ms: now.wall_ms,
            writer: board.host.clone(),
            reason: self.reason.clone(),
        }));
    }

    pub(crate) fn report_written(&mut self, state: MoveState, outcome: WriteOutcome) {
        if outcome != WriteOutcome::Unknown {
            self.reports.insert(state, Report::Exists);
        }
    }

    fn record(&self, board: &Blackboard, now: Now, out: &mut Vec<MoveEffect>) {
        let whole = self.fleet.whole();
        let event = RecordEvent::MoveStep {
            service: self.service.clone(),
            state: self.state(),
            share_permille: self.entry().share_permille,
            step: self.step,
            reason: self.reason.clone(),
            new_good: whole.new.good,
            new_failed: whole.new.failed,
            old_good: whole.old.good,
            old_failed: whole.old.failed,
        };
        let subject = Subject::Move(self.params.id.clone());
        out.push(MoveEffect::Record(decision_record(
            board, now, subject, event,
        )));
    }
}

/// Returns the counters of a move from the routing snapshot, if it has them.
pub(crate) fn counters(
    board: &Blackboard,
    service: &Name,
    move_id: &Name,
) -> Option<Arc<MoveCounters>> {
    let routing = board.routing.read();
    let targets = routing.value.services.get(service)?;
    let counters = targets.move_counters.as_ref()?;
    (counters.move_id == *move_id).then(|| Arc::clone(counters))
}

fn reason_of(prefix: &str, route: Option<&Name>, measure: crate::Measure) -> Name {
    let what = match measure {
        crate::Measure::Failures => "more failures",
        crate::Measure::Slowness => "slower",
    };
    match route {
        Some(route) => Name::from(format!("{prefix}: {what} on route {route}")),
        None => Name::from(format!("{prefix}: {what}")),
    }
}
