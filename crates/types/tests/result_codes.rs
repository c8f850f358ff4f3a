//! Tests that the page on result codes matches the code, and the order of the numbers.

use heatherhinge_types::Code;

/// Guards against a page whose numbers, names, HTTP statuses, texts or statements of whether the
/// request ran differ from the code.
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

/// Guards against a number that is assigned twice, out of order or not mapped back to its code.
#[test]
fn code_numbers_ascend() {
    assert!(Code::ALL.is_sorted_by(|a, b| a.number() < b.number()));
    assert!(
        Code::ALL
            .iter()
            .all(|code| Code::from_number(code.number()) == Some(*code))
    );
}
