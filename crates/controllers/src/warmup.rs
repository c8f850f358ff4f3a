//! Limits the requests that all hosts together send to cold targets.
//!
//! The controller is the only writer of the `warmth` entry. See `docs/design.md`, sections 10 and
//! 22, and `docs/controllers/warmup.md`.

use crate::decision_record::decision_record;
use crate::target_warmup::{RejectedRuns, TargetWarmup, WarmupChange, WarmupPhase};
use crate::warm_announcements::{announcements, apply_announcement, record_of_host};
use crate::{
    ColdReport, Controller, ListedTarget, ResponseKind, Tenures, WarmupEffect, WarmupEvent,
};
use heatherhinge_blackboard::{
    Blackboard, HostRecord, HostTable, WarmTarget, Warmth, WarmthTable, Writer, ZonePhase,
};
use heatherhinge_bundle::BundleVersion;
use heatherhinge_records::{RecordEvent, Subject};
use heatherhinge_types::{MonoNs, Name, Now, Partition, StartId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time for a report of a cold target to reach the owner and for the owner's next record to reach
/// this host: one message and up to three exchanges of records at 500 ms.
pub(crate) const REPORT_ROUND_MS: u64 = 2_000;
/// Shortest time between two refreshes of all targets while only peers' records change. Records
/// are exchanged every 500 ms, and one refresh of 5,000 targets takes milliseconds.
const REFRESH_MS: u64 = 400;

/// Publishes the warmth table.
#[derive(Debug)]
pub struct WarmupController {
    writer: Writer<WarmthTable>,
    table: WarmthTable,
    is_dirty: bool,
    targets: BTreeMap<Name, TargetWarmup>,
    tenures: Tenures,
    bundle: BundleVersion,
    zone_since: BTreeMap<Name, BundleVersion>,
    last_return: BTreeMap<Name, BundleVersion>,
    announced: Vec<WarmTarget>,
    is_isolated: bool,
    refreshed_ns: MonoNs,
    read: Option<ReadState>,
    /// Peers' records at the last refresh.
    last_records: BTreeMap<Name, Arc<HostRecord>>,
    /// Whether a target may change by the passing of time alone.
    is_waiting: bool,
}

/// Versions of the entries that a refresh was made from, except peers' records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReadState {
    bundle: u64,
    owners: u64,
    zones: u64,
    is_lease_valid: bool,
}

impl ReadState {
    fn of(board: &Blackboard, now: Now) -> Self {
        let owners = board.owners.read();
        Self {
            bundle: board.bundle.read().version,
            owners: owners.version,
            zones: board.zones.read().version,
            is_lease_valid: owners.value.lease_valid(now),
        }
    }
}

impl WarmupController {
    /// Creates the controller with the only writer of the `warmth` entry.
    #[must_use]
    pub fn new(writer: Writer<WarmthTable>) -> Self {
        Self {
            writer,
            table: WarmthTable::default(),
            is_dirty: false,
            targets: BTreeMap::new(),
            tenures: Tenures::default(),
            bundle: BundleVersion::default(),
            zone_since: BTreeMap::new(),
            last_return: BTreeMap::new(),
            announced: Vec::new(),
            is_isolated: false,
            refreshed_ns: MonoNs(0),
            read: None,
            last_records: BTreeMap::new(),
            is_waiting: true,
        }
    }

    fn apply_list(&mut self, listed: Vec<ListedTarget>) {
        let mut targets = BTreeMap::new();
        for listed in listed {
            let name = Name::from(listed.addr.to_string());
            let known = self.targets.remove(&name);
            let known = known.filter(|t| t.service == listed.service && t.zone == listed.zone);
            let partition = Partition::of_name(&name);
            let target =
                known.unwrap_or_else(|| TargetWarmup::new(listed.service, listed.zone, partition));
            targets.insert(name, target);
        }
        self.targets = targets;
        self.bundle = BundleVersion::default(); // Sets the limits of new targets.
        let kept = &self.targets;
        let before = self.table.targets.len();
        self.table.targets.retain(|name, _| kept.contains_key(name));
        self.is_dirty |= before != self.table.targets.len();
    }

    fn answer(&mut self, board: &Blackboard, answer: Answer<'_>, now: Now, out: &mut Effects) {
        let Some(target) = self.targets.get_mut(answer.target) else {
            return;
        };
        let lost_run = target.run();
        if let Some((run, uptime_ms)) = answer.report {
            match target.observe_run(run, uptime_ms) {
                None => return,
                Some(true) => {
                    let report = ColdReport {
                        target: answer.target.clone(),
                        lost_run,
                        new_run: Some(run).filter(|_| lost_run != Some(run)),
                    };
                    self.handle_cold(board, &report, "new run", now, out);
                }
                Some(false) => {}
            }
        }
        let Some(target) = self.targets.get_mut(answer.target) else {
            return;
        };
        if target.is_warm() || !self.tenures.holds(board, target.partition, now) {
            return;
        }
        let kind = classify_latency(board, &target.service, answer.kind, answer.latency_ns);
        match target.count(kind) {
            WarmupChange::None => {}
            WarmupChange::Allowance(allowance) => {
                self.update_row(board, answer.target, now);
                out.record(
                    board,
                    now,
                    answer.target,
                    RecordEvent::AllowanceSet { allowance },
                );
            }
            WarmupChange::Warm(start_id) => {
                self.update_row(board, answer.target, now);
                out.record(
                    board,
                    now,
                    answer.target,
                    RecordEvent::WarmAnnounced { start_id },
                );
                self.announce(board, now, out);
            }
        }
    }

    fn connection_lost(
        &mut self,
        board: &Blackboard,
        name: Name,
        run: Option<StartId>,
        now: Now,
        out: &mut Effects,
    ) {
        let Some(target) = self.targets.get(&name) else {
            return;
        };
        // The end of a retired run is already known; the loss of any other run is evidence.
        if run.is_some_and(|run| target.is_retired(run)) {
            return;
        }
        let report = ColdReport {
            lost_run: run.or(target.run()),
            target: name,
            new_run: None,
        };
        self.handle_cold(board, &report, "connection lost", now, out);
    }

    fn reported(&mut self, board: &Blackboard, report: &ColdReport, now: Now, out: &mut Effects) {
        let Some(target) = self.targets.get_mut(&report.target) else {
            return;
        };
        let known = target.run();
        let may_change_warmth = match (report.new_run, report.lost_run) {
            (Some(new), _) => known != Some(new) && target.observe_run(new, 0).is_some(),
            (None, Some(lost)) => !target.is_retired(lost),
            (None, None) => true,
        };
        if may_change_warmth {
            self.handle_cold(board, report, "reported by a peer", now, out);
        }
    }

    /// Marks a target as cold, and notifies its owner if that is another host.
    fn handle_cold(
        &mut self,
        board: &Blackboard,
        report: &ColdReport,
        reason: &str,
        now: Now,
        out: &mut Effects,
    ) {
        let Some(target) = self.targets.get_mut(&report.target) else {
            return;
        };
        let owners = board.owners.read();
        let owner = owners.value.owner(target.partition);
        self.is_waiting = true;
        let known = target.run().filter(|_| report.new_run.is_none());
        let was_warm = target.mark_cold();
        let owner_record = owner.and_then(|owner| record_of_host(board, &owner.host));
        target.rejected_runs = Some(RejectedRuns {
            runs: [report.lost_run, known],
            until_ns: now.mono_ns.plus_ms(REPORT_ROUND_MS),
            record: owner_record.map(|record| (record.host.clone(), record.version)),
        });
        let start_id = report.new_run.or(report.lost_run).unwrap_or_default();
        self.update_row(board, &report.target, now);
        if !was_warm {
            return;
        }
        let reason = Name::from(reason);
        out.record(
            board,
            now,
            &report.target,
            RecordEvent::ColdSeen { start_id, reason },
        );
        if let Some(owner) = owner.filter(|owner| owner.host != board.host) {
            out.0.push(WarmupEffect::NotifyOwner {
                owner: owner.host.clone(),
                peer_addr: owner.peer_addr,
                report: report.clone(),
            });
        } else {
            self.announce(board, now, out);
        }
    }

    /// Returns whether the announcements of any host differ from those at the last refresh. In most
    /// exchanges only other parts of the records change, and comparing the lists is much cheaper
    /// than a refresh of all targets.
    fn announcements_changed(&mut self, board: &Blackboard) -> bool {
        let hosts = board.hosts.read();
        let mut announcements_changed = self.is_isolated != is_isolated(&hosts.value);
        for (name, entry) in &hosts.value.hosts {
            let is_same = self.last_records.get(name).is_some_and(|last_record| {
                let same_run = last_record.version.incarnation == entry.record.version.incarnation;
                Arc::ptr_eq(last_record, &entry.record)
                    || (same_run && last_record.warm == entry.record.warm)
            });
            announcements_changed |= !is_same;
        }
        announcements_changed
    }

    /// Updates all targets from the entries of other controllers.
    fn refresh(&mut self, board: &Blackboard, now: Now, out: &mut Effects) {
        self.refreshed_ns = now.mono_ns;
        self.read = Some(ReadState::of(board, now));
        self.refresh_limits(board);
        self.refresh_zones(board);
        let hosts = board.hosts.read_owned();
        self.is_isolated = is_isolated(&hosts.value);
        let records = hosts.value.hosts.iter();
        self.last_records = records
            .map(|(name, entry)| (name.clone(), Arc::clone(&entry.record)))
            .collect();
        self.is_waiting = false;
        let changed = self.tenures.refresh(board, now);
        let index = announcements(board);
        for (name, target) in &mut self.targets {
            let holds = self.tenures.holds(board, target.partition, now);
            if changed.contains(&target.partition) && !target.is_warm() {
                target.mark_cold(); // A new owner starts at an allowance of 1.
            }
            if holds {
                target.rejected_runs = None; // This host decides now.
            } else {
                let since = self.last_return.get(&target.zone).copied();
                apply_announcement(
                    board,
                    target,
                    index.get(name),
                    since.unwrap_or_default(),
                    now,
                );
            }
            self.is_waiting |= target.rejected_runs.is_some()
                || target.unannounced_since_ns.is_some()
                || (holds
                    && self
                        .tenures
                        .waits(target.partition, target.max_deadline_ms, now));
        }
        let names: Vec<Name> = self.targets.keys().cloned().collect();
        for name in &names {
            self.update_row(board, name, now);
        }
        self.announce(board, now, out);
    }

    fn refresh_limits(&mut self, board: &Blackboard) {
        let bundle = board.bundle.read();
        let Some(bundle) = bundle.value.as_ref().filter(|b| b.version != self.bundle) else {
            return;
        };
        self.bundle = bundle.version;
        for target in self.targets.values_mut() {
            if let Some(service) = bundle.services.get(&target.service) {
                target.set_limits(service);
            }
        }
    }

    /// Marks the targets of a returning zone as cold, whatever was announced before. After a change
    /// without a return, this host may have missed one: it marks only the targets cold that it
    /// announces itself.
    fn refresh_zones(&mut self, board: &Blackboard) {
        let zones = board.zones.read();
        for (zone, entry) in &zones.value.zones {
            let before = self.zone_since.insert(zone.clone(), entry.since);
            let is_return = entry.phase == ZonePhase::Returning;
            let is_new = before.map_or(is_return, |before| entry.since > before);
            if !is_new || entry.phase == ZonePhase::Out {
                continue;
            }
            if is_return {
                self.last_return.insert(zone.clone(), entry.since);
            }
            for target in self.targets.values_mut().filter(|t| t.zone == *zone) {
                if is_return || self.tenures.is_own(target.partition) {
                    target.mark_cold();
                }
            }
        }
    }

    /// Updates the row of one target in the warmth table.
    fn update_row(&mut self, board: &Blackboard, name: &Name, now: Now) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let holds = self.tenures.holds(board, target.partition, now);
        let warmth = match target.phase {
            WarmupPhase::Warm(start_id) if holds || !self.is_isolated => Warmth::Warm { start_id },
            WarmupPhase::Cold(progress)
                if holds
                    && !self
                        .tenures
                        .waits(target.partition, target.max_deadline_ms, now) =>
            {
                Warmth::Owned {
                    allowance: progress.allowance,
                }
            }
            _ => Warmth::NotOwned,
        };
        if self.table.get(name) == warmth {
            return;
        }
        self.is_dirty = true;
        if warmth == Warmth::NotOwned {
            self.table.targets.remove(name);
        } else {
            self.table.targets.insert(name.clone(), warmth);
        }
    }

    fn announce(&mut self, board: &Blackboard, now: Now, out: &mut Effects) {
        let mut warm = Vec::new();
        for (name, target) in &mut self.targets {
            let WarmupPhase::Warm(start_id) = target.phase else {
                continue;
            };
            if self.tenures.holds(board, target.partition, now) {
                target.announced_by = Some((board.host.clone(), 0));
                warm.push(WarmTarget {
                    target: name.clone(),
                    start_id,
                    zone_since: self
                        .zone_since
                        .get(&target.zone)
                        .copied()
                        .unwrap_or_default(),
                });
            }
        }
        if warm != self.announced {
            self.announced.clone_from(&warm);
            out.0.push(WarmupEffect::AnnounceWarm(warm));
        }
    }
}

impl Controller for WarmupController {
    type Event = WarmupEvent;
    type Effect = WarmupEffect;

    fn step(&mut self, board: &Blackboard, event: WarmupEvent, now: Now) -> Vec<WarmupEffect> {
        let mut out = Effects(Vec::new());
        match event {
            WarmupEvent::Answer {
                target,
                kind,
                report,
                latency_ns,
            } => {
                let answer = Answer {
                    target: &target,
                    kind,
                    report,
                    latency_ns,
                };
                self.answer(board, answer, now, &mut out);
            }
            WarmupEvent::ConnectionLost { target, run } => {
                self.connection_lost(board, target, run, now, &mut out);
            }
            WarmupEvent::Reported(report) => self.reported(board, &report, now, &mut out),
            WarmupEvent::Listed(listed) => {
                self.apply_list(listed);
                self.refresh(board, now, &mut out);
            }
            WarmupEvent::Tick => {
                let is_due = now.mono_ns >= self.refreshed_ns.plus_ms(REFRESH_MS);
                let is_changed = self.read != Some(ReadState::of(board, now));
                if is_changed || (is_due && (self.announcements_changed(board) || self.is_waiting))
                {
                    self.refresh(board, now, &mut out);
                }
            }
        }
        if std::mem::take(&mut self.is_dirty) {
            self.writer.publish(self.table.clone());
        }
        out.0
    }
}

/// Returns whether at most half of the known hosts are live: this host could then miss the
/// withdrawal of an announcement.
fn is_isolated(hosts: &HostTable) -> bool {
    let (known, live) = (hosts.hosts.len(), hosts.live().count());
    known > 1 && live * 2 <= known
}

/// A response, borrowed from its event.
struct Answer<'a> {
    target: &'a Name,
    kind: ResponseKind,
    report: Option<(StartId, u64)>,
    latency_ns: u64,
}

/// The effects of one step.
struct Effects(Vec<WarmupEffect>);

impl Effects {
    fn record(&mut self, board: &Blackboard, now: Now, target: &Name, event: RecordEvent) {
        let record = decision_record(board, now, Subject::Target(target.clone()), event);
        self.0.push(WarmupEffect::Record(record));
    }
}

/// Returns the kind of a response: a good one that took more than twice the service's usual time
/// is slow.
fn classify_latency(
    board: &Blackboard,
    service: &Name,
    kind: ResponseKind,
    latency_ns: u64,
) -> ResponseKind {
    let routing = board.routing.read();
    let usual_ns = routing.value.services.get(service).map_or(0, |targets| {
        let time_ns = &targets.counters.service_time_ns;
        time_ns.load(std::sync::atomic::Ordering::Relaxed)
    });
    if kind == ResponseKind::Good && usual_ns > 0 && latency_ns > usual_ns.saturating_mul(2) {
        ResponseKind::Slow
    } else {
        kind
    }
}
