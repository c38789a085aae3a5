//! Tests that the page of result codes and the table in the code agree.

use gaplock_types::codes::{self, Code};

#[test]
fn the_page_has_every_row_of_the_table() {
    let page = include_str!("../../../docs/RESULT-CODES.md");
    for row in codes::TABLE {
        let repeat = if row.repeat { "yes" } else { "no" };
        let line = format!(
            "| {} | {} | {} | {} | {repeat} | {} |",
            row.number, row.name, row.status, row.ran, row.remedy
        );
        assert!(page.contains(&line), "docs/RESULT-CODES.md lacks: {line}");
    }
    let lines = page.lines().filter(|l| l.starts_with("| ") && !l.contains("---")).count();
    assert_eq!(lines, codes::TABLE.len() + 1, "the page has rows that the table lacks");
}

#[test]
fn numbers_are_distinct_and_found_again() {
    for pair in codes::TABLE.windows(2) {
        assert!(pair[0].number < pair[1].number);
    }
    for row in codes::TABLE {
        assert_eq!(Code::from_number(row.number), Some(row.code));
    }
}
