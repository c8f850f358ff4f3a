//! Reloads of the settings and the order of seeds.

use super::*;

fn settings() -> GatewaySettings {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    GatewaySettings {
        host: Name::new("host-1"),
        zone: Name::new("a"),
        caller_addr: addr(1),
        readiness_addr: addr(2),
        directory_addr: addr(3),
        peer_addr: addr(4),
        metrics_addr: addr(5),
        seeds: vec![addr(4), addr(14), addr(24)],
        is_first_start: false,
        budget: BudgetLimits {
            window_ms: 10_000,
            ratio_milli: 200,
            extra: 58,
        },
        probes_per_s: 60,
        capacity_milli: 200,
        link_mbps: 1_000,
        leave_ms: 2_000,
        grace_ms: 6_000,
    }
}

// Guards against a reload that gives a running host a name or address at which others cannot find
// it, and against one that applies nothing.
#[test]
fn a_reload_applies_only_settings_that_may_change() {
    let mut current = settings();
    let mut new = settings();
    new.zone = Name::new("b");
    new.caller_addr.set_port(9);
    new.probes_per_s = 30;
    new.leave_ms = 2_500;
    let reloaded = current.reload(new);
    assert_eq!(reloaded.changed, ["probes_per_s", "leave_ms"]);
    assert_eq!(reloaded.needs_restart, ["zone", "caller_addr"]);
    assert_eq!((current.probes_per_s, current.leave_ms), (30, 2_500));
    assert_eq!(current.zone, Name::new("a"));
    assert_eq!(current.reload(current.clone()), Reloaded::default());
}

// Guards against a host that contacts itself, or always the same seed.
#[test]
fn other_seeds_are_used_in_turn() {
    let settings = settings();
    let ports: Vec<u16> = (0..4)
        .filter_map(|turn| settings.seed_in_turn(turn))
        .map(|addr| addr.port())
        .collect();
    assert!(ports == [14, 24, 14, 24] || ports == [24, 14, 24, 14]);
    let without_seeds = GatewaySettings {
        seeds: Vec::new(),
        ..settings
    };
    assert_eq!(without_seeds.seed_in_turn(3), None);
}
