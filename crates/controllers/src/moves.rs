//! Runs version moves and publishes the traffic share of each new version.
//!
//! The controller is the only writer of the `moves` entry. See `docs/design.md`, sections 12 and
//! 22, and `docs/controllers/moves.md`.

use crate::move_evidence::own_evidence;
use crate::service_move::{ServiceMove, counters};
use crate::{Controller, MoveEffect, MoveEvent};
use heatherhinge_blackboard::{Blackboard, Evidence, MoveTable, MoveVerdict, Writer};
use heatherhinge_bundle::BundleVersion;
use heatherhinge_types::{MonoNs, Name, Now};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Shortest time between two publications of evidence; hosts exchange records as often.
const PUBLISH_MS: u64 = 500;
/// Most final verdicts that are kept for moves that are no longer in the bundle.
const MAX_FINISHED: usize = 256;

/// Publishes the move table and proposes writes of the moves' rows.
pub struct MoveController {
    writer: Writer<MoveTable>,
    moves: BTreeMap<Name, ServiceMove>,
    /// Final verdicts of withdrawn moves. They apply again if a move of the same name returns.
    finished: BTreeMap<Name, MoveVerdict>,
    bundle: BundleVersion,
    random: Pcg64Mcg,
    published: (Vec<Evidence>, Vec<MoveVerdict>),
    published_ns: MonoNs,
}

impl MoveController {
    /// Creates the controller with the only writer of the `moves` entry. The seed must differ
    /// between hosts and runs, so that the nonces of writes do too.
    #[must_use]
    pub fn new(writer: Writer<MoveTable>, seed: u64) -> Self {
        Self {
            writer,
            moves: BTreeMap::new(),
            finished: BTreeMap::new(),
            bundle: BundleVersion::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            published: (Vec::new(), Vec::new()),
            published_ns: MonoNs(0),
        }
    }

    /// Adds the moves that are new in the bundle and removes those that were withdrawn.
    fn apply_bundle(&mut self, board: &Blackboard, now: Now) {
        let bundle = board.bundle.read_owned();
        let Some(bundle) = bundle.value.as_ref().filter(|b| b.version > self.bundle) else {
            return;
        };
        self.bundle = bundle.version;
        let wanted = |name: &Name| bundle.services.get(name)?.version_move.as_ref();
        let is_withdrawn = |name: &Name, known: &mut ServiceMove| {
            wanted(name).is_none_or(|params| params.id != known.params.id)
        };
        for (_, withdrawn) in self.moves.extract_if(.., is_withdrawn) {
            let verdict = withdrawn
                .verdict()
                .filter(|verdict| verdict.state.is_final());
            if let Some(verdict) = verdict {
                self.finished.insert(verdict.move_id.clone(), verdict);
            }
        }
        while self.finished.len() > MAX_FINISHED {
            self.finished.pop_first();
        }
        for (name, service) in &bundle.services {
            let Some(params) = &service.version_move else {
                continue;
            };
            let known = self
                .moves
                .entry(name.clone())
                .or_insert_with(|| ServiceMove::new(name.clone(), params.clone()));
            known.params = params.clone();
            if let Some(verdict) = self.finished.get(&params.id) {
                known.merge_state(verdict.state, verdict.share_permille, verdict.step, now);
            }
        }
    }

    fn move_mut(&mut self, move_id: &Name) -> Option<&mut ServiceMove> {
        self.moves.values_mut().find(|m| m.params.id == *move_id)
    }

    fn tick(&mut self, board: &Blackboard, now: Now, out: &mut Vec<MoveEffect>) {
        self.apply_bundle(board, now);
        for service_move in self.moves.values_mut() {
            service_move.tick(board, now, self.random.random(), out);
        }
    }

    fn publish(&mut self, board: &Blackboard, now: Now, out: &mut Vec<MoveEffect>) {
        let entries = self.moves.iter().map(|(name, m)| (name.clone(), m.entry()));
        self.writer.publish_if_changed(MoveTable {
            services: entries.collect(),
        });
        let verdicts: Vec<_> = self
            .moves
            .values()
            .filter_map(ServiceMove::verdict)
            .collect();
        let is_due = now.mono_ns >= self.published_ns.plus_ms(PUBLISH_MS);
        if verdicts == self.published.1 && !is_due {
            return;
        }
        let open = self.moves.values().filter(|m| !m.state().is_final());
        let counters = open.filter_map(|m| counters(board, &m.service, &m.params.id));
        let evidence = counters
            .flat_map(|counters| own_evidence(&counters))
            .collect();
        let update = (evidence, verdicts);
        if update != self.published {
            self.published.clone_from(&update);
            self.published_ns = now.mono_ns;
            let (evidence, verdicts) = update;
            out.push(MoveEffect::Publish { evidence, verdicts });
        }
    }
}

impl Controller for MoveController {
    type Event = MoveEvent;
    type Effect = MoveEffect;

    fn step(&mut self, board: &Blackboard, event: MoveEvent, now: Now) -> Vec<MoveEffect> {
        let mut out = Vec::new();
        match event {
            MoveEvent::Tick => self.tick(board, now, &mut out),
            MoveEvent::RowRead { move_id, row } => {
                if let Some(known) = self.move_mut(&move_id) {
                    known.row_read(row, now);
                }
            }
            MoveEvent::RowWritten {
                move_id,
                nonce,
                outcome,
            } => {
                if let Some(known) = self.move_mut(&move_id) {
                    known.row_written(board, nonce, outcome, now, &mut out);
                }
            }
            MoveEvent::ReportWritten {
                move_id,
                state,
                outcome,
            } => {
                if let Some(known) = self.move_mut(&move_id) {
                    known.report_written(state, outcome);
                }
            }
            MoveEvent::HaltReported { move_id, from } => {
                if let Some(known) = self.move_mut(&move_id) {
                    known.halt_reported(board, &from, now, &mut out);
                }
            }
        }
        self.publish(board, now, &mut out);
        out
    }
}
