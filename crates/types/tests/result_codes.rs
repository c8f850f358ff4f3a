//! The page that lists the result codes.

use heatherhinge_types::Code;

/// Guards against the page and the code naming different codes, statuses or ran classes.
#[test]
fn page_lists_every_code() {
    let page = include_str!("../../../docs/result-codes.md");
    let listed: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with('|') && line.contains("` |"))
        .collect();
    let expected: Vec<String> = Code::ALL
        .iter()
        .map(|code| {
            format!(
                "| {} | `{code:?}` | {} | {} | {} |",
                code.number(),
                code.status().as_u16(),
                code.ran().as_str(),
                code.text()
            )
        })
        .collect();
    assert_eq!(listed, expected, "\n{}\n", expected.join("\n"));
}

/// Guards against two codes with one number and against a wrong order in the table.
#[test]
fn numbers_rise() {
    assert!(Code::ALL.is_sorted_by(|a, b| a.number() < b.number()));
    assert!(
        Code::ALL
            .iter()
            .all(|code| Code::from_number(code.number()) == Some(*code))
    );
}
