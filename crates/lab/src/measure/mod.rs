//! Measurements; each returns a table of rows.

mod cost;
mod failover;
mod overload;
mod placement_policies;
mod slopes;

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

pub use cost::measure_cost;
pub use failover::{Association, measure_failover};
pub use overload::measure_overload;
pub use placement_policies::measure_placement;
pub use slopes::measure_slopes;

/// The rows of one measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rows {
    /// What the table shows.
    pub title: String,
    /// The rows, in the order of the measurement.
    pub rows: Vec<Row>,
}

/// One case of a measurement with its figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// The case that was measured.
    pub name: String,
    /// The figures by name; the name ends in the unit if there is one.
    pub figures: BTreeMap<String, f64>,
}

impl Rows {
    /// Creates an empty table.
    #[must_use]
    pub fn new(title: impl Into<String>) -> Self {
        Self { title: title.into(), rows: Vec::new() }
    }

    /// Adds a row.
    pub fn push(&mut self, name: impl Into<String>, figures: &[(&str, f64)]) {
        let figures = figures.iter().map(|(name, value)| ((*name).to_owned(), *value)).collect();
        self.rows.push(Row { name: name.into(), figures });
    }
}

impl fmt::Display for Rows {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        for row in &self.rows {
            write!(f, "  {:<44}", row.name)?;
            for (name, value) in &row.figures {
                write!(f, " {name} {}", Figure(*value))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Prints a number with fewer decimal places the larger it is.
struct Figure(f64);

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.abs() {
            size if size >= 1_000.0 || self.0.fract() == 0.0 => write!(f, "{:.0}", self.0),
            size if size >= 10.0 => write!(f, "{:.1}", self.0),
            _ => write!(f, "{:.3}", self.0),
        }
    }
}
