//! Profiles and their schedules.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_load::profile::{Profile, ProfileError};
use heatherhinge_load::run::Schedule;
use yare::parameterized;

const VATUWAQA: &str = include_str!("../../../profiles/vatuwaqa.ini");
const KOZHIKODE: &str = include_str!("../../../profiles/kozhikode.ini");

/// Guards against shipped profiles that the tool cannot read.
#[parameterized(
    vatuwaqa = { VATUWAQA, "vatuwaqa", 3, 430.0 },
    kozhikode = { KOZHIKODE, "kozhikode", 4, 398.0 },
)]
fn shipped_profile_is_read(text: &str, name: &str, routes: usize, rate_per_s: f64) {
    let profile: Profile = text.parse().unwrap();
    assert_eq!(
        (profile.name.as_str(), profile.routes.len()),
        (name, routes)
    );
    assert!((profile.rate_per_s() - rate_per_s).abs() < 1e-9);
}

/// Guards against a profile mistake that is passed over or named with the wrong line.
#[parameterized(
    unknown_key = { "[profile]\nname = a\n[route b]\npath = /b\nrate = 3\n", 5, "unknown key \"rate\" in a route" },
    unknown_section = { "[profile]\n\n[service b]\n", 3, "unknown section [service b]" },
    bad_number = { "[route b]\npath = /b\nrate_per_s = many\n", 3, "rate_per_s cannot be \"many\"" },
    bad_urgency = { "; calls\n[route b]\nurgency = 8\n", 3, "urgency must be 0 to 7" },
    bad_path = { "[route b]\npath = b\n", 2, "path must start with a slash" },
    open_bracket = { "[profile]\n[route b\n", 2, "\"[route b\" cannot be read" },
)]
fn mistake_is_named_with_its_line(text: &str, line: usize, message: &str) {
    let error = text.parse::<Profile>().unwrap_err();
    let message = message.to_owned();
    assert_eq!(error, ProfileError { line, message });
}

/// Guards against a profile that would send nothing.
#[parameterized(
    no_route = { "[profile]\nname = a\n" },
    no_path = { "[route b]\nrate_per_s = 1\n" },
    no_rate = { "[route b]\npath = /b\n" },
    infinite = { "[route b]\npath = /b\nrate_per_s = inf\n" },
)]
fn empty_profile_is_refused(text: &str) {
    assert!(text.parse::<Profile>().is_err());
}

/// Guards against arrivals that differ between runs of one seed, or that miss the stated rates.
#[test]
fn schedule_follows_seed_and_rates() {
    let profile: Profile = KOZHIKODE.parse().unwrap();
    let arrivals = |seed| {
        let schedule = Schedule::new(&profile, seed, 1.0);
        schedule.take(40_000).collect::<Vec<_>>()
    };
    let first = arrivals(3);
    assert_eq!(first, arrivals(3));
    assert_ne!(first, arrivals(4));
    assert!(first.is_sorted_by_key(|arrival| arrival.at_ns));
    let seconds = first.last().unwrap().at_ns as f64 / 1e9;
    for (index, route) in profile.routes.iter().enumerate() {
        let count = first
            .iter()
            .filter(|arrival| arrival.route == index)
            .count();
        let expected = route.rate_per_s * seconds;
        // Five standard deviations of a Poisson count.
        let margin = 5.0 * expected.sqrt();
        assert!(
            (count as f64 - expected).abs() < margin,
            "{}: {count}",
            route.name
        );
        let keyed =
            |a: &&heatherhinge_load::run::Arrival| a.route == index && a.key_random.is_some();
        let is_keyed = route.non_idempotent_permille == 1_000;
        assert_eq!(
            first.iter().filter(keyed).count(),
            if is_keyed { count } else { 0 }
        );
    }
}
