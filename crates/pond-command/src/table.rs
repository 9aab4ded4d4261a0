//! Plain-text tables.

/// A table with headings.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with headings.
    pub fn new(headings: &[&str]) -> Table {
        Table { rows: vec![headings.iter().map(|h| (*h).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the lines, with aligned columns.
    pub fn lines(&self) -> Vec<String> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let line = |row: &Vec<String>| {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
        };
        self.rows.iter().map(line).collect()
    }
}
