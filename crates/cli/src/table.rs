//! Prints tables for operators; programs use the JSON output instead.

/// Prints rows under headings. Each column is as wide as its widest cell.
pub fn print(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.len());
        cells.chain([headings[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let print_line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let text: Vec<String> = padded.collect();
        println!("{}", text.join("  ").trim_end());
    };
    print_line(headings.to_vec());
    for row in rows {
        print_line(row.iter().map(String::as_str).collect());
    }
    if rows.is_empty() {
        println!("(none)");
    }
}
