//! Tests parsing of INI text: line numbers, typed values and several problems at once.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heatherhinge_ini::{Document, Section};
use heatherhinge_types::Name;
use yare::parameterized;

fn parse(text: &str) -> (Vec<Section>, Vec<String>) {
    let (sections, problems) = Document::parse(&Name::from("t.ini"), text).into_parts();
    (sections, problems.iter().map(ToString::to_string).collect())
}

/// Guards against wrong line numbers after comments, blank lines and different line endings.
#[parameterized(
    unix = { "; a\n\n[s]\n; b\nx = 1\ny\n" },
    windows = { "; a\r\n\r\n[s]\r\n; b\r\nx = 1\r\ny\r\n" },
    no_final_newline = { "; a\n\n[s]\n; b\nx = 1\ny" },
)]
fn lines_are_counted(text: &str) {
    let (mut sections, problems) = parse(text);
    assert_eq!(sections[0].line(), 3);
    assert!(problems[0].starts_with("t.ini:6: 'y' is neither"));
    sections[0].report("x", "here".to_owned());
    assert_eq!(sections.remove(0).finish()[0].line, 5);
}

/// Guards against a malformed line being ignored without a problem.
#[parameterized(
    before_section = { "x = 1\n[s]\n", "t.ini:1: x: the field is before any section" },
    no_field = { "[s]\n= 1\n", "t.ini:2: the line has a value but no field" },
    no_name = { "[ ]\nx = 1\n", "t.ini:1: []: the section has no name" },
    section_twice = { "[s a]\n[s  a]\n", "t.ini:2: [s a]: the section was already given at line 1" },
)]
fn line_problem_is_reported(text: &str, expected: &str) {
    assert_eq!(parse(text).1, [expected]);
}

/// Guards against an invalid value that is accepted, or reported without its line, its field or
/// what is allowed.
#[parameterized(
    number = { "x = -1", |s: &mut Section| s.take_u64("x", 0..=9).is_none(), "'-1' is not a whole number" },
    range = { "x = 10", |s: &mut Section| s.take_u64("x", 0..=9).is_none(), "10 is not within 0 to 9" },
    too_big = { "x = 99999999999999999999", |s: &mut Section| s.take_u64("x", 0..=9).is_none(), "'99999999999999999999' is not a whole number" },
    name = { "x = a b", |s: &mut Section| s.take_name("x").is_none(), "'a b' is not a name of letters, digits, '-', '_' and '.' that starts with a letter or digit" },
    name_of_dots = { "x = ..", |s: &mut Section| s.take_name("x").is_none(), "'..' is not a name of letters, digits, '-', '_' and '.' that starts with a letter or digit" },
    list = { "x = a, ,b", |s: &mut Section| s.take_list("x").is_none(), "a name is empty" },
    list_twice = { "x = a,b,a", |s: &mut Section| s.take_list("x").is_none(), "'a' is listed twice" },
    choice = { "x = c", |s: &mut Section| s.take_enum("x", &[("a", 1), ("b", 2)]).is_none(), "'c' is not one of: a, b" },
    flag = { "x = true", |s: &mut Section| s.take_bool("x").is_none(), "'true' is not one of: yes, no" },
    addr = { "x = localhost:80", |s: &mut Section| s.take_addr("x").is_none(), "'localhost:80' is not an IP address with a port" },
    missing = { "", |s: &mut Section| s.take_name("x").is_none(), "the field is missing in [s]" },
)]
fn bad_value_is_reported(line: &str, take: fn(&mut Section) -> bool, expected: &str) {
    let (mut sections, _) = parse(&format!("[s]\n{line}\n"));
    assert!(take(&mut sections[0]));
    let problem = sections.remove(0).finish().remove(0);
    assert_eq!(problem.message, expected);
    assert_eq!(&*problem.field, "x");
    assert_eq!(problem.line, if line.is_empty() { 1 } else { 2 });
}

/// Guards against valid values being rejected or trimmed incorrectly.
#[test]
fn good_values_are_read() {
    let text = "[ s  a ]\n n = 7 \nl= a , b\ne=\nb=yes\np=[::1]:80\nt = a = b\n";
    let (mut sections, problems) = parse(text);
    let section = &mut sections[0];
    assert_eq!(section.title(), "[s a]");
    assert_eq!(section.take_u64("n", 7..=7), Some(7));
    assert_eq!(section.take_list("l").unwrap(), ["a".into(), "b".into()]);
    assert_eq!(section.take_list("e").unwrap(), []);
    assert_eq!(section.take_bool("b"), Some(true));
    assert!(section.take_addr("p").unwrap().is_ipv6());
    assert_eq!(&*section.take_text("t").unwrap(), "a = b");
    assert_eq!(section.take_or("absent", 3, |s, f| s.take_u64(f, 0..=9)), 3);
    assert!(problems.is_empty() && sections.remove(0).finish().is_empty());
}

/// Guards against one problem hiding the next, and against unknown fields being accepted.
#[test]
fn all_problems_are_collected() {
    let (mut sections, problems) = parse("[s]\nx = a\nx = b\ny = 1\nz = 2\n");
    assert!(problems.is_empty());
    assert_eq!(sections[0].take_u64("x", 0..=9), None);
    let mut found: Vec<_> = sections.remove(0).finish();
    found.sort();
    let lines: Vec<_> = found
        .iter()
        .map(|p| (p.line, p.field.to_string()))
        .collect();
    let expected = [(2, "x"), (3, "x"), (4, "y"), (5, "z")];
    assert_eq!(
        lines,
        expected.map(|(line, field)| (line, field.to_owned()))
    );
}
