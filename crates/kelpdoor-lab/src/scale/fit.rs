//! Slopes with their intervals, and the file that keeps them.

use std::path::Path;

use anyhow::{Context, Result};
use jiff::Timestamp;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

use super::points::{Point, Points};

/// Of a two-sided 95% interval.
const QUANTILE: f64 = 0.975;
/// Sizes; with fewer a line shows no bend, as too little is left to see it by.
const FEW: usize = 4;
/// Of the rise over all sizes; a bow under this is there, but changes no conclusion.
const BOW: f64 = 0.05;

/// A least-squares line `a + b·x`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinearFit {
    pub a: f64,
    pub b: f64,
    /// 95% intervals; none with under three points.
    pub a_within: Option<(f64, f64)>,
    pub b_within: Option<(f64, f64)>,
    pub sizes: usize,
    pub seeds: usize,
    /// Standard deviation of what the line leaves, in the unit of `y`.
    pub residual: f64,
    /// How the sizes show that it is no line.
    pub bends: Option<String>,
    /// Why no bend could show.
    pub too_few: bool,
    /// Mean of the sizes, and the sum of the squares about it.
    mean: f64,
    spread: f64,
    points: usize,
}

fn student(freedom: usize) -> Option<f64> {
    let t = StudentsT::new(0.0, 1.0, freedom as f64).ok().filter(|_| freedom > 0)?;
    Some(t.inverse_cdf(QUANTILE))
}

fn mean(of: impl Iterator<Item = f64> + Clone) -> f64 {
    of.clone().sum::<f64>() / of.count().max(1) as f64
}

/// Slope and its interval, of points that stand apart.
fn slope(of: &[(f64, f64)]) -> Option<(f64, Option<(f64, f64)>)> {
    let (mx, my) = (mean(of.iter().map(|p| p.0)), mean(of.iter().map(|p| p.1)));
    let spread: f64 = of.iter().map(|p| (p.0 - mx).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let b = of.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum::<f64>() / spread;
    let left: f64 = of.iter().map(|p| (p.1 - my - b * (p.0 - mx)).powi(2)).sum();
    let error = (left / of.len().saturating_sub(2).max(1) as f64 / spread).sqrt();
    Some((b, student(of.len().saturating_sub(2)).map(|t| (b - t * error, b + t * error))))
}

impl LinearFit {
    /// Through the points of one series; `None` where there are not two sizes.
    pub fn fit(points: &[(f64, f64, u64)]) -> Option<LinearFit> {
        let xy: Vec<(f64, f64)> = points.iter().map(|p| (p.0, p.1)).collect();
        let (b, b_within) = slope(&xy)?;
        let n = xy.len();
        let (mx, my) = (mean(xy.iter().map(|p| p.0)), mean(xy.iter().map(|p| p.1)));
        let spread: f64 = xy.iter().map(|p| (p.0 - mx).powi(2)).sum();
        let a = my - b * mx;
        let left: f64 = xy.iter().map(|p| (p.1 - a - b * p.0).powi(2)).sum();
        let residual = (left / n.saturating_sub(2).max(1) as f64).sqrt();
        let mut sizes: Vec<f64> = xy.iter().map(|p| p.0).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        let mut seeds: Vec<u64> = points.iter().map(|p| p.2).collect();
        seeds.sort_unstable();
        seeds.dedup();
        let mut line = LinearFit {
            a,
            b,
            a_within: None,
            b_within,
            sizes: sizes.len(),
            seeds: seeds.len(),
            residual,
            bends: None,
            too_few: sizes.len() < FEW,
            mean: mx,
            spread,
            points: n,
        };
        line.a_within = line.interval_at(0.0);
        if !line.too_few {
            line.bends = bow(&xy, &line).or_else(|| halves(&xy, &sizes));
        }
        Some(line)
    }

    pub fn value_at(&self, x: f64) -> f64 {
        self.a + self.b * x
    }

    /// 95% interval of the line there.
    pub fn interval_at(&self, x: f64) -> Option<(f64, f64)> {
        let t = student(self.points.saturating_sub(2))?;
        let away = 1.0 / self.points as f64 + (x - self.mean).powi(2) / self.spread;
        let error = t * self.residual * away.sqrt();
        Some((self.value_at(x) - error, self.value_at(x) + error))
    }
}

/// A square term whose interval leaves out 0, and which is not too small to matter.
fn bow(xy: &[(f64, f64)], line: &LinearFit) -> Option<String> {
    let scale = xy.iter().map(|p| (p.0 - line.mean).abs()).fold(0.0, f64::max);
    // The square, less what a line can say of it.
    let us: Vec<f64> = xy.iter().map(|p| (p.0 - line.mean) / scale).collect();
    let squares: Vec<(f64, f64)> = us.iter().map(|u| (*u, u * u)).collect();
    let (along, _) = slope(&squares)?;
    let level = mean(squares.iter().map(|s| s.1));
    let rest: Vec<f64> = us.iter().map(|u| u * u - level - along * u).collect();
    let spread: f64 = rest.iter().map(|q| q * q).sum();
    if spread <= 1e-12 {
        return None;
    }
    let left: Vec<f64> = xy.iter().map(|p| p.1 - line.value_at(p.0)).collect();
    let term = rest.iter().zip(&left).map(|(q, e)| q * e).sum::<f64>() / spread;
    let sum: f64 = rest.iter().zip(&left).map(|(q, e)| (e - term * q).powi(2)).sum();
    let freedom = xy.len().saturating_sub(3);
    let error = student(freedom)? * (sum / freedom as f64 / spread).sqrt();
    let highest = xy.iter().map(|p| p.1).fold(f64::NEG_INFINITY, f64::max);
    let lowest = xy.iter().map(|p| p.1).fold(f64::INFINITY, f64::min);
    let matters = term.abs() > BOW * (highest - lowest);
    (matters && term.abs() > error)
        .then(|| format!("{} with size", if term > 0.0 { "upwards" } else { "downwards" }))
}

/// The slope of the upper half of the sizes lies outside the lower half's interval.
fn halves(xy: &[(f64, f64)], sizes: &[f64]) -> Option<String> {
    let middle = sizes[sizes.len() / 2];
    let (lower, upper): (Vec<_>, Vec<_>) = xy.iter().partition(|p| p.0 < middle);
    let (below, within) = slope(&lower)?;
    let (above, _) = slope(&upper)?;
    let (low, high) = within?;
    let apart = (above - below).abs() > BOW * below.abs().max(above.abs());
    (apart && !(low..=high).contains(&above))
        .then(|| format!("slope {below:.3e} in the lower half of the sizes, {above:.3e} in the upper"))
}

/// Points that differ in size and seed alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    pub role: String,
    pub what: String,
    pub unit: String,
    pub by: String,
    pub at: String,
    pub hollow: String,
    /// Of the measurement: day, version and a note.
    pub date: String,
    pub version: String,
    #[serde(default)]
    pub note: String,
    pub line: Option<LinearFit>,
    /// Size, figure, seed.
    pub points: Vec<(f64, f64, u64)>,
}

impl Series {
    fn key(&self) -> [&str; 6] {
        [&self.role, &self.what, &self.unit, &self.by, &self.at, &self.hollow]
    }

    /// The median of each size, from the least up.
    pub fn medians(&self) -> Vec<(f64, f64)> {
        let mut all: Vec<(f64, f64)> = self.points.iter().map(|p| (p.0, p.1)).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let middle = |of: &[(f64, f64)]| (of[of.len() / 2].1 + of[(of.len() - 1) / 2].1) / 2.0;
        all.chunk_by(|a, b| a.0 == b.0).map(|of| (of[0].0, middle(of))).collect()
    }

    /// The least and the most of the seeds at a size.
    pub fn range(&self, x: f64) -> (f64, f64) {
        let at = self.points.iter().filter(|p| p.0 == x);
        at.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), p| (low.min(p.1), high.max(p.1)))
    }
}

/// Where it was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub cores: usize,
    /// B
    pub memory: f64,
    pub processor: String,
    /// That a process may hold.
    pub descriptors: u64,
}

impl Machine {
    fn current() -> Machine {
        let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
        let line = |text: &str, name: &str| {
            let value = text.lines().find(|l| l.starts_with(name)).and_then(|l| l.split_once(':'));
            value.map(|v| v.1.trim().to_owned()).unwrap_or_default()
        };
        let kb = line(&read("/proc/meminfo"), "MemTotal");
        Machine {
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            memory: kb.trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) * 1024.0,
            processor: line(&read("/proc/cpuinfo"), "model name"),
            descriptors: super::process::max_descriptors().unwrap_or(0),
        }
    }
}

/// All that was measured, as `docs/capacity.json` keeps it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityData {
    /// Of the last measurement in it.
    pub version: String,
    pub date: String,
    pub note: String,
    pub machine: Machine,
    /// What is missing, and why.
    pub partial: Vec<String>,
    pub series: Vec<Series>,
}

/// Series by series, in the order in which they came, each with its line.
pub fn series(of: &[Point], date: &str, note: &str) -> Vec<Series> {
    let mut all: Vec<Series> = Vec::new();
    for p in of.iter().filter(|p| p.x.is_finite() && p.y.is_finite()) {
        let key: [&str; 6] = [&p.role, &p.what, &p.unit, &p.by, &p.at, &p.hollow];
        let at = all.iter().position(|s| s.key() == key).unwrap_or_else(|| {
            let [role, what, unit, by, at, hollow] = key.map(str::to_owned);
            let version = env!("CARGO_PKG_VERSION").to_owned();
            let (date, note) = (date.to_owned(), note.to_owned());
            let (line, points) = (None, Vec::new());
            all.push(Series { role, what, unit, by, at, hollow, date, version, note, line, points });
            all.len() - 1
        });
        all[at].points.push((p.x, p.y, p.seed));
    }
    for s in &mut all {
        s.points.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(&b.2)));
        s.line = LinearFit::fit(&s.points);
    }
    all
}

impl CapacityData {
    pub fn new(of: &Points, note: &str) -> CapacityData {
        let date = Timestamp::now().strftime("%Y-%m-%d").to_string();
        CapacityData {
            version: env!("CARGO_PKG_VERSION").to_owned(),
            series: series(&of.points, &date, note),
            date,
            note: note.to_owned(),
            machine: Machine::current(),
            partial: of.partial.clone(),
        }
    }

    /// Takes in a later measurement: its series stand for those of the same name, the others stay.
    pub fn merge(&mut self, later: CapacityData) {
        let CapacityData { version, date, note, machine, partial, series } = later;
        (self.version, self.date, self.note, self.machine) = (version, date, note, machine);
        for new in series {
            match self.series.iter_mut().find(|old| old.key() == new.key()) {
                Some(old) => *old = new,
                None => self.series.push(new),
            }
        }
        self.partial.extend(partial);
        self.partial.sort();
        self.partial.dedup();
    }

    /// # Errors
    /// Where the file cannot be read, or is no such file.
    pub fn read(from: &Path) -> Result<CapacityData> {
        let text = std::fs::read(from).with_context(|| from.display().to_string())?;
        serde_json::from_slice(&text).with_context(|| from.display().to_string())
    }
}

/// Writes all anew: series, lines, and what is missing.
///
/// # Errors
/// Where the file cannot be written.
pub fn write(to: &Path, of: &Points, note: &str) -> Result<()> {
    put(to, &CapacityData::new(of, note))
}

/// Adds to what the file has.
///
/// # Errors
/// Where the file cannot be read or written.
pub fn add(to: &Path, of: &Points, note: &str) -> Result<()> {
    let mut book = if to.exists() { CapacityData::read(to)? } else { CapacityData::default() };
    book.merge(CapacityData::new(of, note));
    put(to, &book)
}

fn put(to: &Path, book: &CapacityData) -> Result<()> {
    let mut text = serde_json::to_string_pretty(book)?;
    text.push('\n');
    std::fs::write(to, text).with_context(|| to.display().to_string())
}
