//! Replicas of the store's tables.

use heatherhinge_steering::{Replica, RowChange, TableUpdate};
use heatherhinge_types::{MonoNs, Name, StoreVersion};

fn at(number: u64) -> StoreVersion {
    StoreVersion::without_epoch(number)
}

fn row(key: &str, version: u64, content: Option<&str>) -> RowChange {
    RowChange {
        key: Name::new(key),
        version: at(version),
        content: content.map(|text| text.as_bytes().into()),
    }
}

fn update(is_whole: bool, version: u64, rows: Vec<RowChange>) -> TableUpdate {
    TableUpdate {
        is_whole,
        version: at(version),
        age_ms: 0,
        rows,
    }
}

fn apply(replica: &mut Replica, update: &TableUpdate, at_ms: u64) -> Vec<String> {
    let applied = replica.apply(update, MonoNs::from_ms(at_ms), |before, after| {
        before == after
    });
    let mut keys: Vec<String> = applied
        .changes
        .iter()
        .map(|change| {
            let sign = if change.row.is_some() { '+' } else { '-' };
            format!("{sign}{}", change.key)
        })
        .collect();
    keys.sort();
    keys
}

fn keys(replica: &Replica) -> Vec<&str> {
    replica.rows().map(|(key, _)| key.as_str()).collect()
}

// Guards against a replica that goes back to older rows when an older update arrives late.
#[test]
fn older_updates_change_nothing() {
    let mut replica = Replica::default();
    apply(
        &mut replica,
        &update(true, 10, vec![row("a", 9, Some("new"))]),
        1_000,
    );
    let late = update(
        false,
        8,
        vec![row("a", 8, Some("old")), row("b", 7, Some("x"))],
    );
    assert!(apply(&mut replica, &late, 2_000).is_empty());
    assert_eq!(keys(&replica), ["a"]);
    assert_eq!(replica.version(), at(10));
}

// Guards against a removed row that stays because its tombstone was lost.
#[test]
fn whole_updates_remove_what_they_do_not_list() {
    let mut replica = Replica::default();
    let rows = vec![row("a", 1, Some("1")), row("b", 2, Some("2"))];
    apply(&mut replica, &update(true, 2, rows), 1_000);
    let changed = apply(
        &mut replica,
        &update(true, 9, vec![row("b", 2, Some("2"))]),
        2_000,
    );
    assert_eq!(changed, ["-a"]);
}

// Guards against a host that updates from another one and keeps removed rows.
#[test]
fn removals_are_passed_on() {
    let mut first = Replica::default();
    let rows = vec![row("a", 1, Some("1")), row("b", 2, Some("2"))];
    apply(&mut first, &update(true, 2, rows), 1_000);
    let mut second = Replica::default();
    apply(
        &mut second,
        &first.update_since(at(0), MonoNs::from_ms(1_000)),
        1_000,
    );
    apply(
        &mut first,
        &update(false, 5, vec![row("a", 5, None)]),
        2_000,
    );
    let forwarded = first.update_since(second.version(), MonoNs::from_ms(2_000));
    assert!(!forwarded.is_whole);
    assert_eq!(apply(&mut second, &forwarded, 2_000), ["-a"]);
    assert_eq!(keys(&second), ["b"]);
}

// Guards against traffic between hosts for every renewal of a registration.
#[test]
fn unchanged_rows_keep_their_version() {
    let mut replica = Replica::default();
    apply(
        &mut replica,
        &update(true, 2, vec![row("a", 1, Some("1"))]),
        1_000,
    );
    let changed = replica.changed_version();
    assert!(
        apply(
            &mut replica,
            &update(false, 7, vec![row("a", 7, Some("1"))]),
            2_000
        )
        .is_empty()
    );
    assert_eq!(replica.changed_version(), changed);
    assert!(
        replica
            .update_since(at(2), MonoNs::from_ms(2_000))
            .rows
            .is_empty()
    );
    assert_eq!(replica.version(), at(7));
}

// Guards against a replica that seems current because the age of a forwarded update was lost.
#[test]
fn ages_add_up_over_hops() {
    let mut first = Replica::default();
    assert_eq!(first.age_ms(MonoNs::from_ms(1)), u64::MAX);
    apply(&mut first, &update(true, 2, Vec::new()), 1_000);
    let mut second = Replica::default();
    let forwarded = first.update_since(at(0), MonoNs::from_ms(1_700));
    apply(&mut second, &forwarded, 1_800);
    assert_eq!(second.age_ms(MonoNs::from_ms(2_000)), 900);
}

// Guards against partial updates that lack removals whose tombstones were dropped.
#[test]
fn expired_tombstones_force_a_whole_update() {
    let mut replica = Replica::default();
    let rows = (0..400)
        .map(|n| row(&format!("r{n}"), n + 1, Some("x")))
        .collect();
    apply(&mut replica, &update(true, 400, rows), 1_000);
    let removed = (0..400)
        .map(|n| row(&format!("r{n}"), 500 + n, None))
        .collect();
    apply(&mut replica, &update(false, 1_000, removed), 2_000);
    assert!(
        replica
            .update_since(at(450), MonoNs::from_ms(2_000))
            .is_whole
    );
    assert!(
        !replica
            .update_since(at(890), MonoNs::from_ms(2_000))
            .is_whole
    );
}
