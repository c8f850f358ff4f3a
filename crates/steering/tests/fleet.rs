//! Membership, duties, addresses, crashes and planned stops.

mod common;

use common::{fleet, host};
use heatherhinge_steering::{
    CrashTally, CrashWatch, Demand, DrainNext, GossipDigest, Heartbeat, HeartbeatId, HostStage,
    Membership, addresses, drain_next, duty_holders, duty_rank,
};
use heatherhinge_types::{MonoNs, Name};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use yare::parameterized;

fn live_names(membership: &Membership, now: MonoNs) -> Vec<String> {
    let view = membership.view(now);
    view.live.iter().map(|host| host.host.to_string()).collect()
}

// Guards against a dead host that stays in address answers, and against a live one that leaves
// them because only its beats arrive.
#[test]
fn hosts_live_as_long_as_their_beats_arrive() {
    let start = MonoNs::from_ms(1_000);
    let mut here = Membership::new(host(1, "a"), start);
    here.apply_state(host(2, "a"), start);
    here.apply_state(host(3, "a"), start);
    let mut there = Membership::new(host(2, "a"), start);
    let mut marker = there.marker();
    for beat in 2..=12 {
        let now = start.plus_ms(u64::from(beat) * 300);
        let mut state = host(2, "a");
        state.id.beat = beat;
        there.set_own(state, now);
        let (states, beats) = there.delta_for(&GossipDigest::Since(marker), now);
        assert!(states.is_empty(), "an unchanged state is told as a beat");
        assert_eq!(beats.len(), 1);
        for beat in beats {
            assert!(here.apply_heartbeat(beat, now));
        }
        marker = there.marker();
    }
    let end = start.plus_ms(3_700);
    assert_eq!(live_names(&here, end), ["host-1", "host-2"]);
}

// Guards against exchanges that carry everything each time, and against changes that a host is
// never told because the other one counts anew after a restart.
#[test]
fn exchanges_carry_what_has_changed() {
    let start = MonoNs::from_ms(1_000);
    let mut there = Membership::new(host(2, "a"), start);
    there.apply_state(host(3, "a"), start);
    let (states, beats) = there.delta_for(&GossipDigest::States(Vec::new()), start);
    assert_eq!((states.len(), beats.len()), (2, 0));
    let listed = GossipDigest::States(there.known_states(start));
    let (states, beats) = there.delta_for(&listed, start);
    assert_eq!(
        (states.len(), beats.len()),
        (0, 2),
        "listed states come as beats"
    );
    let marker = there.marker();
    let (states, beats) = there.delta_for(&GossipDigest::Since(marker), start);
    assert_eq!((states.len(), beats.len()), (0, 0));

    let mut changed = host(3, "a");
    changed.id.beat = 2;
    changed.revision = 1;
    there.apply_state(changed, start);
    let (states, beats) = there.delta_for(&GossipDigest::Since(marker), start);
    assert_eq!((states.len(), beats.len()), (1, 0));

    let mut successor = host(2, "a");
    successor.id.incarnation = 2_000;
    let restarted = Membership::new(successor, start);
    let (states, _) = restarted.delta_for(&GossipDigest::Since(marker), start);
    assert_eq!(states.len(), 1, "a mark of its predecessor means nothing");
}

// Guards against a host that takes a dead one for live because another host still knows it, and
// against one whose beats arrive where its state was forgotten.
#[test]
fn silent_hosts_are_not_told_and_unknown_beats_are_noticed() {
    let start = MonoNs::from_ms(1_000);
    let mut there = Membership::new(host(2, "a"), start);
    there.apply_state(host(3, "a"), start);
    let (states, _) = there.delta_for(&GossipDigest::States(Vec::new()), start.plus_ms(5_000));
    assert_eq!(states.len(), 1, "only the host itself");
    let mut here = Membership::new(host(1, "a"), start);
    let unknown = Heartbeat {
        key: 77,
        beat: 4,
        revision: 0,
        requests_per_s: 9,
    };
    assert!(!here.apply_heartbeat(unknown, start));
    here.apply_state(host(3, "a"), start);
    let newer = Heartbeat {
        key: host(3, "a").key(),
        beat: 9,
        revision: 2,
        requests_per_s: 9,
    };
    assert!(
        !here.apply_heartbeat(newer, start),
        "its content was missed"
    );
}

// Guards against a restarted host that the others do not name for half a minute because its time of
// day has gone back.
#[test]
fn a_restart_with_an_earlier_time_of_day_is_noticed() {
    let start = MonoNs::from_ms(20_000);
    let mut here = Membership::new(host(1, "a"), start);
    here.apply_state(host(2, "a"), start);
    let mut successor = host(2, "a");
    successor.id.incarnation = 400;
    assert!(!here.apply_state(successor.clone(), start.plus_ms(500)));
    assert!(here.apply_state(successor, start.plus_ms(2_600)));
    assert_eq!(
        live_names(&here, start.plus_ms(2_700)),
        ["host-1", "host-2"]
    );
}

// Guards against exchanges with ever other hosts, each of which carries the states of all the
// first time: with 120 hosts that was 24 KB and half of the bytes between zones.
#[test]
fn neighbours_stay_few_and_the_same() {
    let start = MonoNs::from_ms(1_000);
    let mut here = Membership::new(host(1, "a"), start);
    for number in 2..=60 {
        here.apply_state(host(number, if number % 2 == 0 { "a" } else { "b" }), start);
    }
    let [near, far] = here.neighbours(start);
    assert_eq!((near.len(), far.len()), (4, 2));
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    for _ in 0..50 {
        let asked = here.neighbour(start, &mut rng).unwrap();
        assert!(near.contains(&asked) || far.contains(&asked));
    }
}

// Guards against the state of a process that has ended being taken for that of its successor.
#[test]
fn a_restart_replaces_the_state() {
    let start = MonoNs::from_ms(1_000);
    let mut here = Membership::new(host(1, "a"), start);
    let mut old = host(2, "a");
    old.id.beat = 900;
    here.apply_state(old.clone(), start);
    let mut new = host(2, "a");
    new.id = HeartbeatId {
        incarnation: 2_000,
        beat: 1,
    };
    assert!(here.apply_state(new, start));
    assert!(!here.apply_state(old, start));
}

// Guards against hosts that restart at once and each take every duty and the whole retry budget,
// because they know no other host yet.
#[test]
fn a_host_that_has_just_started_has_no_duties() {
    let start = MonoNs::from_ms(1_000);
    let own = Name::new("host-1");
    let mut here = Membership::new(host(1, "a"), start);
    here.add_seed(host(2, "a").peer_addr);
    let view = here.view(start.plus_ms(100));
    assert_eq!(duty_rank("a duty", &own, &view), None);
    assert_eq!(view.budget_sharers(), None);
    assert!(!here.is_settled(start.plus_ms(60_000)), "it hears nobody");

    let mut young = host(2, "a");
    young.is_settled = false;
    here.apply_state(young, start.plus_ms(200));
    assert!(!here.is_settled(start.plus_ms(300)));
    assert!(here.is_settled(start.plus_ms(2_100)));

    here.apply_state(host(3, "a"), start.plus_ms(400));
    let view = here.view(start.plus_ms(400));
    assert!(view.is_settled, "a host that knows the others was heard");
    assert_eq!(view.budget_sharers(), Some(3));
}

// Guards against hosts that are cut off from the fleet and each feed every cold target, beside the
// host that the others have chosen.
#[test]
fn a_host_that_hears_few_others_is_told_apart() {
    let start = MonoNs::from_ms(1_000);
    let mut here = Membership::new(host(1, "a"), start);
    for number in 2..=6 {
        here.apply_state(host(number, "a"), start);
    }
    assert!(here.view(start.plus_ms(2_200)).hears_most());
    assert!(!here.view(start.plus_ms(5_000)).hears_most());
}

// Guards against hosts that never find each other again after a network partition.
#[test]
fn silent_hosts_are_asked_again() {
    let start = MonoNs::from_ms(1_000);
    let mut here = Membership::new(host(1, "a"), start);
    here.apply_state(host(2, "a"), start);
    let later = start.plus_ms(10_000);
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    assert_eq!(here.neighbour(later, &mut rng), None);
    assert_eq!(
        here.reconnect_addr(later, &mut rng),
        Some(host(2, "a").peer_addr)
    );
}

// Guards against hosts with the same view that disagree on a duty, and against one host that has
// far more duties than the others.
#[test]
fn duties_have_one_first_holder_each() {
    let view = fleet(10);
    let mut held: BTreeMap<String, u32> = BTreeMap::new();
    for duty in 0..500 {
        let duty = format!("i-{duty}");
        let first: Vec<&Name> = view
            .live
            .iter()
            .map(|host| &host.host)
            .filter(|host| duty_rank(&duty, host, &view) == Some(0))
            .collect();
        assert_eq!(first.len(), 1, "{duty}");
        *held.entry(first[0].to_string()).or_default() += 1;
    }
    assert!(
        held.values().all(|count| (20..=90).contains(count)),
        "{held:?}"
    );
}

// Guards against a small or leaving host that reads the store for a large fleet.
#[test]
fn large_hosts_come_first_for_common_duties() {
    let mut view = fleet(10);
    view.live[3].capacity_milli = 500;
    view.live[4].capacity_milli = 500;
    view.live[4].stage = HostStage::Leaving;
    let holders = duty_holders("store", 2, &view);
    assert_eq!(*holders[0].host, *"host-4");
    assert!(holders.iter().all(|host| *host.host != *"host-5"));
}

// Guards against callers that are sent to another zone, or that are given one address only.
#[test]
fn addresses_prefer_the_callers_zone() {
    let mut view = fleet(6);
    for host in &mut view.live[3..] {
        host.zone = Name::new("b");
    }
    view.live[5].stage = HostStage::Starting;
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    let near = addresses(&view, Some("a"), Demand::Light, &mut rng);
    assert_eq!(near.len(), 3);
    assert!(
        near.iter()
            .all(|addr| view.live[..3].iter().any(|h| h.caller_addr == *addr))
    );
    let few = addresses(&view, Some("b"), Demand::Light, &mut rng);
    assert_eq!(few.len(), 3);
    assert!(!few.contains(&view.live[5].caller_addr));
}

// Guards against callers that are spread evenly over hosts of unequal size, and against large
// answers on small links: probes waited behind them, and requests found no target for 180 ms.
#[test]
fn larger_hosts_are_named_more_often() {
    let mut view = fleet(43);
    for host in &mut view.live[2..] {
        host.link_mbps = 10;
        host.capacity_milli = 100;
    }
    for host in &mut view.live[..2] {
        host.capacity_milli = 500;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(6);
    let mut share_of_two = |demand| -> f64 {
        let large: Vec<_> = view.live[..2].iter().map(|host| host.caller_addr).collect();
        let shares = (0..2_000).map(|_| {
            let answer = addresses(&view, Some("a"), demand, &mut rng);
            let named = answer.iter().filter(|addr| large.contains(addr)).count();
            named as f64 / answer.len() as f64
        });
        shares.sum::<f64>() / 2_000.0
    };
    let (light, bulk) = (share_of_two(Demand::Light), share_of_two(Demand::Bulk));
    assert!((0.12..0.22).contains(&light), "{light}");
    assert!(bulk > 0.5, "{bulk}");
}

// Guards against one host that waits for all crashes of a request itself.
#[test]
fn crashes_are_summed_over_hosts() {
    let mut watch = CrashWatch::default();
    let now = MonoNs::from_ms(1_000);
    let own = Name::new("host-1");
    watch.count(7, now);
    let mut view = fleet(2);
    assert!(watch.quarantined(&own, &view).is_empty());
    view.live[1].crashes.push(CrashTally {
        digest: 7,
        crashes: 1,
    });
    assert!(watch.quarantined(&own, &view).contains(&7));
}

// Guards against a host that exits while requests are in flight, and against one that outlives
// its grace period.
#[parameterized(
    fresh = { 0, 5, DrainNext::Serve },
    idle_but_named = { 2_900, 0, DrainNext::Serve },
    idle = { 3_000, 0, DrainNext::Exit },
    busy = { 3_000, 2, DrainNext::Finish },
    late = { 5_700, 2, DrainNext::Exit },
)]
fn planned_stops(elapsed_ms: u64, in_flight: u64, expected: DrainNext) {
    let start = MonoNs::from_ms(1_000);
    let next = drain_next(start, start.plus_ms(elapsed_ms), 6_000, in_flight);
    assert_eq!(next, expected);
}
