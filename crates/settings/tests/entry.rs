//! Tests the settings of an entry host: values, problems and the page that lists the fields.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_ini::Field;
use heatherhinge_settings::{EntrySettings, FIELDS, LogFormat, LogLevel};
use heatherhinge_types::{Code, Name};
use std::path::Path;
use yare::parameterized;

const GOOD: &str = include_str!("data/good.ini");

fn parse(text: &str) -> Result<EntrySettings, String> {
    EntrySettings::parse(&Name::from("s.ini"), text).map_err(|error| error.to_string())
}

/// Guards against values assigned to the wrong field.
#[test]
fn good_settings_are_read() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/good.ini");
    let settings = EntrySettings::open(&path).unwrap();
    assert_eq!((&*settings.host, &*settings.zone), ("entry-a", "north"));
    let addrs = [
        settings.caller_addr,
        settings.peer_addr,
        settings.table_addr,
        settings.object_addr,
        settings.host_list_addr,
        settings.metrics_addr.unwrap(),
    ];
    assert_eq!(
        addrs.map(|addr| addr.port()),
        [8080, 8081, 9000, 9001, 9002, 8125]
    );
    assert_eq!(settings.seed_peers.len(), 2);
    assert!(settings.trusted_keys.get(&Name::from("ops-1")).is_some());
    assert_eq!(settings.log_format, LogFormat::Json);
    assert_eq!(settings.log_level, LogLevel::Debug);
    assert_eq!((settings.threads, settings.record_limit), (2, 2048));
    assert_eq!(settings.drain_limit_ms, Some(60_000));
}

/// Guards against defaults that differ from the table of fields.
#[test]
fn optional_sections_may_be_left_out() {
    let start = GOOD.find("[log]").unwrap();
    let settings =
        parse(&GOOD[..start].replace("[peers]\nseeds = 127.0.0.1:8081, [::1]:8081", "")).unwrap();
    assert_eq!(settings.log_format, LogFormat::Text);
    assert_eq!(settings.log_level, LogLevel::Info);
    assert_eq!((settings.threads, settings.record_limit), (4, 32_768));
    assert_eq!(
        (settings.drain_limit_ms, settings.metrics_addr),
        (None, None)
    );
    assert!(settings.seed_peers.is_empty());
}

/// Guards against a problem being lost or reported without file, line and field.
#[test]
fn broken_settings_report_everything() {
    insta::assert_snapshot!(parse(include_str!("data/broken.ini")).unwrap_err());
}

/// Guards against a host that others cannot reach, or that can accept no bundle.
#[parameterized(
    same_address = { "peer_addr = 127.0.0.1:8081", "peer_addr = 127.0.0.1:8080", "s.ini:6: peer_addr: the address must differ from caller_addr" },
    unspecified = { "caller_addr = 127.0.0.1", "caller_addr = 0.0.0.0", "s.ini:5: caller_addr: 0.0.0.0:8080 is unspecified; give the address at which others reach the host" },
    no_key = { "[key ops-1]\npublic = 6kpsY+KcUgq+9VB7Ey7F+ZVHdq68dntN8NlX8SIxGtU=\n", "", "s.ini:0: [key ID]: the section is missing; without a key, no bundle can be accepted" },
    key_truncated = { "8SIxGtU=", "8SIx", "s.ini:17: public: the key is not base64 of 32 bytes" },
)]
fn single_mistake_is_reported(from: &str, to: &str, expected: &str) {
    let error = parse(&GOOD.replacen(from, to, 1)).unwrap_err();
    assert_eq!(error, format!("{}\n{expected}", Code::SettingsMalformed));
}

/// Guards against a missing file being reported without its name and code.
#[test]
fn missing_file_is_reported() {
    let error = EntrySettings::open(Path::new("no/such.ini")).unwrap_err();
    assert_eq!(error.code(), Code::SettingsMalformed);
    assert!(
        error.problems[0]
            .to_string()
            .starts_with("no/such.ini:0: the file cannot be read")
    );
}

/// Guards against a page whose fields, ranges or defaults differ from the code.
#[test]
fn page_lists_every_field() {
    let page = include_str!("../../../docs/settings.md");
    let listed: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `["))
        .collect();
    let expected: Vec<String> = FIELDS.iter().map(Field::row).collect();
    assert_eq!(listed, expected, "\n{}\n", expected.join("\n"));
}
