//! Compares `docs/bundle.md` with the fields of a bundle.

use heatherhinge_bundle::FIELDS;
use heatherhinge_ini::Field;

/// Guards against a page whose fields, ranges or defaults differ from the code.
#[test]
fn page_lists_every_field() {
    let page = include_str!("../../../docs/bundle.md");
    let listed: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `["))
        .collect();
    let expected: Vec<String> = FIELDS.iter().map(Field::row).collect();
    assert_eq!(listed, expected, "\n{}\n", expected.join("\n"));
}
