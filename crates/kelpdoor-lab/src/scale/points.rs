//! What was measured: points, each one figure at one size.

use comfy_table::Table;
use serde::{Deserialize, Serialize};

/// One figure of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// `voter`, `director`, `fleet`, ..
    pub role: String,
    /// What is measured, e.g. `processor time`.
    pub what: String,
    /// Of `y`, e.g. `core`, `B`, `B/s`, `s`.
    pub unit: String,
    /// What `x` counts, e.g. `directors`, `sessions`, `changes/s`.
    pub by: String,
    pub x: f64,
    pub y: f64,
    pub seed: u64,
    /// All else that it was measured at, e.g. `3 voters, steady, contradiction 2 s`. Points of one series have the same.
    pub at: String,
    /// Of hollow processes or in virtual time, and what was left out; empty for the real thing.
    pub hollow: String,
}

/// What a run brought.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Points {
    pub points: Vec<Point>,
    /// Why something is missing, if it is.
    pub partial: Vec<String>,
}

impl Points {
    pub fn merge(&mut self, other: Points) {
        self.points.extend(other.points);
        self.partial.extend(other.partial);
    }
}

/// Prints the points as a table, series by series, and what is missing.
pub fn print_table(of: &Points) {
    let mut table = Table::new();
    table.set_header(["role", "what", "at", "by", "size", "seed", "value", "unit", "hollow"]);
    for p in &of.points {
        let (x, y) = (format!("{}", p.x), format!("{:.4}", p.y));
        table.add_row([&p.role, &p.what, &p.at, &p.by, &x, &p.seed.to_string(), &y, &p.unit, &p.hollow]);
    }
    println!("{table}");
    for why in &of.partial {
        println!("partial: {why}");
    }
}
