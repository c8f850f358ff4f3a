//! What the owners of targets announce, as a host that is not the owner takes it in.

use crate::target_warmup::TargetWarmup;
use crate::warmup::REPORT_ROUND_MS;
use heatherhinge_blackboard::{Blackboard, HostRecord, RecordVersion, WarmTarget};
use heatherhinge_bundle::BundleVersion;
use heatherhinge_types::{Name, Now, Partition};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Returns the newest record of a host.
pub(crate) fn record_of_host(board: &Blackboard, host: &Name) -> Option<Arc<HostRecord>> {
    let hosts = board.hosts.read();
    hosts
        .value
        .hosts
        .get(host)
        .map(|entry| Arc::clone(&entry.record))
}

/// An announcement by the present owner of the target's partition.
pub(crate) struct Announcement {
    warm: WarmTarget,
    record: RecordVersion,
}

pub(crate) fn announcements(board: &Blackboard) -> BTreeMap<Name, Announcement> {
    let (hosts, owners) = (board.hosts.read(), board.owners.read());
    let mut index = BTreeMap::new();
    for (host, entry) in &hosts.value.hosts {
        for warm in &entry.record.warm {
            let owner = owners.value.owner(Partition::of_name(&warm.target));
            if owner.is_some_and(|owner| owner.host == *host) {
                let record = entry.record.version;
                let warm = warm.clone();
                index.insert(warm.target.clone(), Announcement { warm, record });
            }
        }
    }
    index
}

/// Takes in what the owner of a target announces, on a host that is not the owner.
pub(crate) fn hear(
    board: &Blackboard,
    target: &mut TargetWarmup,
    heard: Option<&Announcement>,
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
    if let Some(heard) = heard.filter(|heard| is_accepted(target, heard, zone_since, now)) {
        target.turn_warm(heard.warm.start_id);
        target.distrust = None;
        target.announced_by = Some((owner.host.clone(), record.version.incarnation));
        return;
    }
    if !target.is_warm() || heard.is_some_and(|_| target.distrust.is_some()) {
        return;
    }
    let announcer = Some((owner.host.clone(), record.version.incarnation));
    if target.announced_by == announcer {
        target.turn_cold(); // The owner withdrew its announcement.
        return;
    }
    // A new owner may not have announced yet what the earlier one had announced.
    let since_ns = *target.unannounced_since_ns.get_or_insert(now.mono_ns);
    if now.mono_ns >= since_ns.plus_ms(target.hold_ms + 2 * REPORT_ROUND_MS) {
        target.turn_cold();
    }
}

fn is_accepted(
    target: &TargetWarmup,
    heard: &Announcement,
    zone_since: BundleVersion,
    now: Now,
) -> bool {
    let is_distrusted = target.distrust.is_some_and(|distrust| {
        (distrust.runs.contains(&Some(heard.warm.start_id)) || distrust.runs == [None; 2])
            && (now.mono_ns < distrust.until_ns || heard.record <= distrust.record)
    });
    !is_distrusted && !target.is_retired(heard.warm.start_id) && heard.warm.zone_since >= zone_since
}
