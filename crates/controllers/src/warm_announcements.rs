//! Applies the owners' announcements of warm targets on a host that is not the owner.

use crate::target_warmup::{RejectedRuns, TargetWarmup};
use crate::warmup::REPORT_ROUND_MS;
use heatherhinge_blackboard::{Blackboard, HostRecord, WarmTarget};
use heatherhinge_bundle::BundleVersion;
use heatherhinge_types::{Name, Now, Partition};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Returns the newest record of a host, if this host has one.
pub(crate) fn record_of_host(board: &Blackboard, host: &Name) -> Option<Arc<HostRecord>> {
    let hosts = board.hosts.read();
    hosts
        .value
        .hosts
        .get(host)
        .map(|entry| Arc::clone(&entry.record))
}

/// Returns the announcements by the current owners of targets, by target.
pub(crate) fn announcements(board: &Blackboard) -> BTreeMap<Name, WarmTarget> {
    let (hosts, owners) = (board.hosts.read(), board.owners.read());
    let mut index = BTreeMap::new();
    for (host, entry) in &hosts.value.hosts {
        for warm in &entry.record.warm {
            let owner = owners.value.owner(Partition::of_name(&warm.target));
            if owner.is_some_and(|owner| owner.host == *host) {
                index.insert(warm.target.clone(), warm.clone());
            }
        }
    }
    index
}

/// Updates a target from the announcement of its owner, or from its absence.
pub(crate) fn apply_announcement(
    board: &Blackboard,
    target: &mut TargetWarmup,
    announcement: Option<&WarmTarget>,
    zone_since: BundleVersion,
    now: Now,
) {
    let owners = board.owners.read();
    let Some(owner) = owners.value.owner(target.partition) else {
        return;
    };
    let Some(record) = record_of_host(board, &owner.host) else {
        return;
    };
    let is_over = |d: &mut RejectedRuns| d.is_over(&owner.host, record.version, now.mono_ns);
    target.rejected_runs.take_if(is_over);
    if let Some(announcement) =
        announcement.filter(|announcement| is_accepted(target, announcement, zone_since))
    {
        target.mark_warm(announcement.start_id);
        target.rejected_runs = None;
        target.announced_by = Some((owner.host.clone(), record.version.incarnation));
        return;
    }
    if !target.is_warm() || announcement.is_some_and(|_| target.rejected_runs.is_some()) {
        return;
    }
    let announcer = Some((owner.host.clone(), record.version.incarnation));
    if target.announced_by == announcer {
        target.mark_cold(); // The owner withdrew its announcement.
        return;
    }
    // A new owner may not have announced yet what the earlier owner did.
    let since_ns = *target.unannounced_since_ns.get_or_insert(now.mono_ns);
    if now.mono_ns >= since_ns.plus_ms(target.max_deadline_ms + 2 * REPORT_ROUND_MS) {
        target.mark_cold();
    }
}

fn is_accepted(
    target: &TargetWarmup,
    announcement: &WarmTarget,
    zone_since: BundleVersion,
) -> bool {
    let run = announcement.start_id;
    let is_rejected = target.rejected_runs.as_ref().is_some_and(|rejected_runs| {
        rejected_runs.runs.contains(&Some(run)) || rejected_runs.runs == [None; 2]
    });
    !is_rejected && !target.is_retired(run) && announcement.zone_since >= zone_since
}
