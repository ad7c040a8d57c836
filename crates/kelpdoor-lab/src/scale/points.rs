//! Measured points: one value at one size each.

use comfy_table::Table;
use serde::{Deserialize, Serialize};

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Measured role: `voter`, `director`, `fleet` and so on.
    pub role: String,
    /// Measured quantity, for example `processor time`.
    pub what: String,
    /// Unit of `y`, for example `core`, `B`, `B/s` or `s`.
    pub unit: String,
    /// Unit of `x`, for example `directors`, `sessions` or `changes/s`.
    pub by: String,
    pub x: f64,
    pub y: f64,
    pub seed: u64,
    /// Other conditions, for example `3 voters, steady, contradiction 2 s`; equal for all points of a series.
    pub at: String,
    /// How the run differs from a real deployment (hollow processes, virtual time) and what it omits; empty if it does not.
    pub hollow: String,
}

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Points {
    pub points: Vec<Point>,
    /// Why points are missing, one entry for each cause.
    pub partial: Vec<String>,
}

impl Points {
    /// Appends the points and the reasons for missing points of another run.
    pub fn merge(&mut self, other: Points) {
        self.points.extend(other.points);
        self.partial.extend(other.partial);
    }
}

/// Prints the points as a table, followed by the reasons for missing points.
pub fn print_table(points: &Points) {
    let mut table = Table::new();
    table.set_header(["role", "what", "at", "by", "size", "seed", "value", "unit", "hollow"]);
    for p in &points.points {
        let (x, y) = (format!("{}", p.x), format!("{:.4}", p.y));
        table.add_row([&p.role, &p.what, &p.at, &p.by, &x, &p.seed.to_string(), &y, &p.unit, &p.hollow]);
    }
    println!("{table}");
    for why in &points.partial {
        println!("partial: {why}");
    }
}
