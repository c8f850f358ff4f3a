//! Look-up of routes by host name and path.

use heatherhinge_orders::{CallerLimits, Destination, RequestKind, Route, RouteTable};
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use yare::parameterized;

fn route(prefix: &str) -> Route {
    Route {
        name: Name::new(prefix),
        prefix: Name::new(prefix),
        kind: RequestKind::Idempotent,
        timeout_ms: None,
        objective_ms: None,
        priority: 0,
        max_attempts: 2,
        destinations: vec![Destination {
            service: Name::new("orders"),
            weight: 1,
        }],
    }
}

fn table() -> RouteTable {
    let routes = ["/", "/a/", "/a/b/", "/a/b/c/d/"].map(route).to_vec();
    let hosts = BTreeMap::from([
        (Name::new("one.example"), routes),
        (Name::new("two.example"), vec![route("/x/")]),
    ]);
    RouteTable::new(7, hosts, BTreeMap::new(), CallerLimits::default())
}

// Guards against a shorter prefix winning over a longer one, and against a prefix that matches in
// the middle of a path segment.
#[parameterized(
    root = { "one.example", "/z", Some("/") },
    exact = { "one.example", "/a/", Some("/a/") },
    below = { "one.example", "/a/x", Some("/a/") },
    longest = { "one.example", "/a/b/x/y", Some("/a/b/") },
    deep = { "one.example", "/a/b/c/d/e", Some("/a/b/c/d/") },
    segment = { "one.example", "/ab/c", Some("/") },
    other_host = { "two.example", "/x/1", Some("/x/") },
    other_host_none = { "two.example", "/a/b/", None },
    unknown_host = { "three.example", "/a/", None },
    no_slash = { "one.example", "*", None },
)]
fn finds_the_longest_prefix(host: &str, path: &str, expected: Option<&str>) {
    let table = table();
    let found = table.find(host, path).map(|route| route.prefix.as_str());
    assert_eq!(found, expected);
}

// Guards against a host that responds 404 to every request before its first configuration.
#[test]
fn an_empty_table_is_not_known() {
    assert!(!RouteTable::default().is_known());
    assert!(table().is_known());
}
