//! Tests parsing and checking of bundles.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_bundle::{Bundle, BundleVersion, RouteClass, ZoneState, parse_wall_time};
use heatherhinge_types::{Name, Urgency, WallMs};
use yare::parameterized;

const GOOD: &str = include_str!("data/good.ini");

fn wall(text: &str) -> WallMs {
    parse_wall_time(text).unwrap()
}

fn problems(text: &str) -> Vec<String> {
    let now = wall("2027-01-31T05:59:10Z");
    match Bundle::parse(&Name::from("b.ini"), text, now) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

/// Guards against values assigned to the wrong field, and against wrong defaults.
#[test]
fn good_bundle_is_read() {
    let now = wall("2027-01-31T05:00:00Z");
    let bundle = Bundle::parse(&Name::from("b.ini"), GOOD, now).unwrap();
    assert_eq!(bundle.version, BundleVersion(7));
    assert_eq!(bundle.zones["north"].state, ZoneState::In);
    assert_eq!(bundle.zones["south"].state, ZoneState::Out);
    assert_eq!(bundle.budget.probes_per_s, 50);
    assert_eq!(bundle.budget.lease_ms, 120_000);
    assert!(bundle.revoked_keys.contains("ops-1"));
    let orders = &bundle.services["orders"];
    assert_eq!((orders.slots, orders.connections), (5, 200));
    assert_eq!(orders.routes[0].urgency, Urgency::new(0).unwrap());
    assert_eq!(orders.routes[1].idempotent, None);
    let version_move = orders.version_move.as_ref().unwrap();
    assert_eq!(version_move.end_wall_ms, wall("2027-01-31T06:00:00Z"));
    let shares: Vec<u32> = version_move.step_shares_permille().collect();
    assert_eq!(shares, [20, 100, 250, 500, 1000]);
    assert_eq!(
        bundle.services["patterns"].routes[0].class,
        RouteClass::Bulk
    );
}

/// Guards against a problem being lost, duplicated, or reported without file, line and field.
#[test]
fn broken_bundle_reports_everything() {
    insta::assert_snapshot!(problems(include_str!("data/broken.ini")).join("\n"));
}

/// Guards against a mistake that is accepted when it is the only one.
#[parameterized(
    no_bundle_section = { "[bundle]\nversion = 7\n", "", "b.ini:0: [bundle]: the section is missing" },
    no_version = { "version = 7\n", "", "b.ini:2: version: the field is missing in [bundle]" },
    no_route = { "[service patterns]\n", "[service tools]\nzones = north\nversion = v1\nslots = 1\n[service patterns]\n", "b.ini:23: [service tools]: the service has no route" },
    zone_unknown = { "zones = north, south", "zones = north, west", "b.ini:10: zones: the bundle has no [zone west]" },
    no_zone_in = { "zones = north, south", "zones = south", "b.ini:10: zones: none of the service's zones has state = in, so no target could serve it" },
    route_covered = { "prefix = /book\nmethods = POST", "prefix = /", "b.ini:20: prefix: the route never matches: the earlier route book covers it" },
    move_of_unknown_service = { "[move orders]", "[move order]", "b.ini:35: [move order]: the bundle has no [service order]" },
    move_from_other_version = { "from = v1", "from = v0", "b.ini:37: from: the service runs version v1, so the move cannot start from v0" },
    move_to_itself = { "to = v2", "to = v1", "b.ini:38: to: from and to are both v1; a move needs two different versions" },
    move_too_late = { "T06:00:00Z", "T05:59:59Z", "b.ini:39: end: the move cannot finish in time: its 5 steps need 50 s, and 49 s are left at 2027-01-31T05:59:10Z" },
    move_cap_above_first_step = { "cap_permille = 20", "cap_permille = 101", "b.ini:40: cap_permille: 101 is not within 1 to 100" },
    local_time = { "06:00:00Z", "06:00:00+05:30", "b.ini:39: end: '2027-01-31T06:00:00+05:30' is not a time in UTC such as 2027-01-31T06:00:00Z" },
    no_such_day = { "2027-01-31", "2027-02-31", "b.ini:39: end: '2027-02-31T06:00:00Z' is not a time in UTC such as 2027-01-31T06:00:00Z" },
    budget_above_allowed = { "probes_per_s = 50", "probes_per_s = 5001", "b.ini:44: probes_per_s: 5001 is not within 0 to 5000" },
    unknown_key = { "revoked = ops-1", "revoke = ops-1", "b.ini:47: revoke: [signing] has no such field" },
)]
fn single_mistake_is_reported(from: &str, to: &str, expected: &str) {
    assert!(problems(GOOD).is_empty());
    let found = problems(&GOOD.replacen(from, to, 1));
    assert!(
        found.len() == 1 && found[0].starts_with(expected),
        "{found:?}"
    );
}

/// Guards against a host rejecting the bundle in force, or operators being unable to take a zone
/// out, because a move of that bundle has little or no time left.
#[test]
fn running_move_does_not_block_later_bundles() {
    let (file, late) = (Name::from("b.ini"), wall("2027-02-01T00:00:00Z"));
    assert!(Bundle::parse(&file, GOOD, late).is_err());
    let in_force = Bundle::parse_accepted(&file, GOOD).unwrap();
    assert!(Bundle::parse_successor(&file, GOOD, late, &in_force).is_ok());
    let changed = GOOD.replace("to = v2", "to = v3");
    let found = Bundle::parse_successor(&file, &changed, WallMs(0), &in_force).unwrap_err();
    assert_eq!(&*found[0].field, "id");
}

/// Guards against prefixes being compared by bytes rather than by whole segments.
#[parameterized(
    same = { "/book", "/book", true },
    below = { "/book", "/book/7", true },
    longer_segment = { "/book", "/booking", false },
    slash_at_end = { "/book/", "/book", true },
    root = { "/", "/book", true },
    shorter = { "/book/7", "/book", false },
)]
fn prefix_matches_whole_segments(prefix: &str, path: &str, expected: bool) {
    let text = GOOD.replace("prefix = /sheets", &format!("prefix = {prefix}"));
    let bundle = Bundle::parse_accepted(&Name::from("b.ini"), &text).unwrap();
    let route = &bundle.services["patterns"].routes[0];
    assert_eq!(route.matches("GET", path), expected);
    assert!(!route.matches("POST", path));
}
