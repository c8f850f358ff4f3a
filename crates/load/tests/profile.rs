//! Tests of profiles and their schedules.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_load::profile::Profile;
use heatherhinge_load::run::Schedule;
use heatherhinge_types::Name;
use yare::parameterized;

const VATUWAQA: &str = include_str!("../../../profiles/vatuwaqa.ini");
const KOZHIKODE: &str = include_str!("../../../profiles/kozhikode.ini");

/// Guards against shipped profiles that the tool cannot read.
#[parameterized(
    vatuwaqa = { VATUWAQA, "vatuwaqa", 3, 430.0 },
    kozhikode = { KOZHIKODE, "kozhikode", 4, 398.0 },
)]
fn shipped_profile_is_read(text: &str, name: &str, routes: usize, rate_per_s: f64) {
    let profile = Profile::parse(&Name::new(name), text).unwrap();
    assert_eq!((&*profile.name, profile.routes.len()), (name, routes));
    assert!((profile.rate_per_s() - rate_per_s).abs() < 1e-9);
}

/// Guards against a problem in a profile that is ignored or reported with the wrong line.
#[parameterized(
    unknown_key = { "[profile]\nname = a\n[route b]\npath = /b\nrate_per_s = 1\nrate = 3\n", "p.ini:6: rate: [route b] has no such field" },
    unknown_section = { "[profile]\nname = a\n[service b]\n", "p.ini:3: [service b]: only [profile] and [route NAME] are known" },
    bad_number = { "[route b]\npath = /b\nrate_per_s = many\n", "p.ini:3: rate_per_s: 'many' is not a number above 0 and at most 1000000" },
    infinite = { "[route b]\npath = /b\nrate_per_s = inf\n", "p.ini:3: rate_per_s: 'inf' is not a number above 0 and at most 1000000" },
    bad_urgency = { "; calls\n[route b]\npath = /b\nrate_per_s = 1\nurgency = 8\n", "p.ini:5: urgency: 8 is not within 0 to 7" },
    bad_path = { "[route b]\nrate_per_s = 1\npath = b\n", "p.ini:3: path: 'b' does not start with a slash" },
    no_rate = { "[profile]\nname = a\n[route b]\npath = /b\n", "p.ini:3: rate_per_s: the field is missing in [route b]" },
    no_path = { "[profile]\nname = a\n[route b]\nrate_per_s = 1\n", "p.ini:3: path: the field is missing in [route b]" },
    open_bracket = { "[profile]\nname = a\n[route b\n", "p.ini:3: '[route b' is neither a section in brackets, a 'field = value' nor a comment that starts with ';'" },
    no_route = { "[profile]\nname = a\n", "p.ini:0: a profile needs [profile] and at least one [route NAME]" },
)]
fn problem_is_reported_with_its_line(text: &str, problem: &str) {
    let problems = Profile::parse(&Name::new("p.ini"), text).unwrap_err();
    let texts: Vec<_> = problems.iter().map(ToString::to_string).collect();
    assert_eq!(texts, [problem]);
}

/// Guards against arrivals that differ between runs of one seed, or that miss the stated rates.
#[test]
fn schedule_follows_seed_and_rates() {
    let profile = Profile::parse(&Name::new("p.ini"), KOZHIKODE).unwrap();
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
