//! Tables with aligned columns.

use std::fmt;

/// A table with a header line.
pub(crate) struct Table {
    titles: &'static [&'static str],
    rows: Vec<Vec<String>>,
}

const GAP: &str = "  ";

impl Table {
    pub(crate) fn new(titles: &'static [&'static str]) -> Self {
        Self {
            titles,
            rows: Vec::new(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Adds a row. Panics unless it has one cell for each title.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        assert_eq!(cells.len(), self.titles.len(), "one cell for each title");
        let mut printable = Vec::new();
        for cell in cells {
            printable.push(printable_only(&cell));
        }
        self.rows.push(printable);
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self.titles.iter().map(|title| title.len()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = cell.chars().count().max(*width);
            }
        }
        widths
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        let titles: Vec<String> = self
            .titles
            .iter()
            .map(|title| (*title).to_owned())
            .collect();
        write_row(f, &titles, &widths)?;
        for row in &self.rows {
            write_row(f, row, &widths)?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, cells: &[String], widths: &[usize]) -> fmt::Result {
    let mut line = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        if !line.is_empty() {
            line.push_str(GAP);
        }
        line.push_str(&format!("{cell:width$}"));
    }
    writeln!(f, "{}", line.trim_end())
}

/// Replaces control characters, so that text sent by a node cannot control the
/// operator's terminal.
pub(crate) fn printable_only(text: &str) -> String {
    text.replace(char::is_control, "?")
}
