//! Least-squares fits with confidence intervals, and the file that stores them.

use std::path::Path;

use anyhow::{Context, Result};
use jiff::Timestamp;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

use super::points::{Point, Points};

/// Quantile of a two-sided 95% interval.
const INTERVAL_QUANTILE: f64 = 0.975;
/// Fewer sizes leave too few degrees of freedom to detect a bend.
const MIN_SIZES_FOR_BEND: usize = 4;
/// A bend below this fraction of the rise over all sizes changes no conclusion and is not reported.
const MIN_BEND_FRACTION: f64 = 0.05;

/// A least-squares line `a + b·x`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinearFit {
    #[serde(rename = "a")]
    pub intercept: f64,
    #[serde(rename = "b")]
    pub slope: f64,
    /// 95% intervals; `None` with fewer than three points.
    #[serde(rename = "a_within")]
    pub intercept_interval: Option<(f64, f64)>,
    #[serde(rename = "b_within")]
    pub slope_interval: Option<(f64, f64)>,
    pub sizes: usize,
    pub seeds: usize,
    /// Residual standard deviation, in the unit of `y`.
    pub residual: f64,
    /// How the points deviate from a straight line; `None` if no bend is detected.
    pub bends: Option<String>,
    /// There are too few sizes to detect a bend.
    pub too_few: bool,
    /// Mean of the sizes, and the sum of squared deviations from it.
    mean: f64,
    spread: f64,
    points: usize,
}

fn student_quantile(degrees_of_freedom: usize) -> Option<f64> {
    let t = StudentsT::new(0.0, 1.0, degrees_of_freedom as f64).ok().filter(|_| degrees_of_freedom > 0)?;
    Some(t.inverse_cdf(INTERVAL_QUANTILE))
}

fn mean(of: impl Iterator<Item = f64> + Clone) -> f64 {
    of.clone().sum::<f64>() / of.count().max(1) as f64
}

/// Slope and its 95% interval; `None` if all sizes are equal.
fn fit_slope(of: &[(f64, f64)]) -> Option<(f64, Option<(f64, f64)>)> {
    let (mx, my) = (mean(of.iter().map(|p| p.0)), mean(of.iter().map(|p| p.1)));
    let spread: f64 = of.iter().map(|p| (p.0 - mx).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let b = of.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum::<f64>() / spread;
    let squared_residuals: f64 = of.iter().map(|p| (p.1 - my - b * (p.0 - mx)).powi(2)).sum();
    let margin = (squared_residuals / of.len().saturating_sub(2).max(1) as f64 / spread).sqrt();
    Some((b, student_quantile(of.len().saturating_sub(2)).map(|t| (b - t * margin, b + t * margin))))
}

impl LinearFit {
    /// Fits a line to the points of one series; `None` with fewer than two sizes.
    pub fn fit(points: &[(f64, f64, u64)]) -> Option<LinearFit> {
        let xy: Vec<(f64, f64)> = points.iter().map(|p| (p.0, p.1)).collect();
        let (slope, slope_interval) = fit_slope(&xy)?;
        let n = xy.len();
        let (mx, my) = (mean(xy.iter().map(|p| p.0)), mean(xy.iter().map(|p| p.1)));
        let spread: f64 = xy.iter().map(|p| (p.0 - mx).powi(2)).sum();
        let intercept = my - slope * mx;
        let squared_residuals: f64 = xy.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
        let residual = (squared_residuals / n.saturating_sub(2).max(1) as f64).sqrt();
        let mut sizes: Vec<f64> = xy.iter().map(|p| p.0).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        let mut seeds: Vec<u64> = points.iter().map(|p| p.2).collect();
        seeds.sort_unstable();
        seeds.dedup();
        let mut line = LinearFit {
            intercept,
            slope,
            intercept_interval: None,
            slope_interval,
            sizes: sizes.len(),
            seeds: seeds.len(),
            residual,
            bends: None,
            too_few: sizes.len() < MIN_SIZES_FOR_BEND,
            mean: mx,
            spread,
            points: n,
        };
        line.intercept_interval = line.interval_at(0.0);
        if !line.too_few {
            line.bends = detect_curvature(&xy, &line).or_else(|| detect_slope_change(&xy, &sizes));
        }
        Some(line)
    }

    /// Value of the line at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// 95% interval of the line at `x`.
    pub fn interval_at(&self, x: f64) -> Option<(f64, f64)> {
        let t = student_quantile(self.points.saturating_sub(2))?;
        let leverage = 1.0 / self.points as f64 + (x - self.mean).powi(2) / self.spread;
        let margin = t * self.residual * leverage.sqrt();
        Some((self.value_at(x) - margin, self.value_at(x) + margin))
    }
}

/// Detects a quadratic term whose interval excludes 0 and which is large enough to matter.
fn detect_curvature(xy: &[(f64, f64)], line: &LinearFit) -> Option<String> {
    let scale = xy.iter().map(|p| (p.0 - line.mean).abs()).fold(0.0, f64::max);
    // The quadratic term, orthogonal to the line.
    let us: Vec<f64> = xy.iter().map(|p| (p.0 - line.mean) / scale).collect();
    let squares: Vec<(f64, f64)> = us.iter().map(|u| (*u, u * u)).collect();
    let (along, _) = fit_slope(&squares)?;
    let level = mean(squares.iter().map(|s| s.1));
    let rest: Vec<f64> = us.iter().map(|u| u * u - level - along * u).collect();
    let spread: f64 = rest.iter().map(|q| q * q).sum();
    if spread <= 1e-12 {
        return None;
    }
    let residuals: Vec<f64> = xy.iter().map(|p| p.1 - line.value_at(p.0)).collect();
    let term = rest.iter().zip(&residuals).map(|(q, e)| q * e).sum::<f64>() / spread;
    let sum: f64 = rest.iter().zip(&residuals).map(|(q, e)| (e - term * q).powi(2)).sum();
    let degrees_of_freedom = xy.len().saturating_sub(3);
    let margin = student_quantile(degrees_of_freedom)? * (sum / degrees_of_freedom as f64 / spread).sqrt();
    let highest = xy.iter().map(|p| p.1).fold(f64::NEG_INFINITY, f64::max);
    let lowest = xy.iter().map(|p| p.1).fold(f64::INFINITY, f64::min);
    let matters = term.abs() > MIN_BEND_FRACTION * (highest - lowest);
    (matters && term.abs() > margin)
        .then(|| format!("{} with size", if term > 0.0 { "upwards" } else { "downwards" }))
}

/// Detects a slope of the upper half of the sizes that lies outside the interval of the lower half.
fn detect_slope_change(xy: &[(f64, f64)], sizes: &[f64]) -> Option<String> {
    let middle = sizes[sizes.len() / 2];
    let (lower, upper): (Vec<_>, Vec<_>) = xy.iter().partition(|p| p.0 < middle);
    let (below, within) = fit_slope(&lower)?;
    let (above, _) = fit_slope(&upper)?;
    let (low, high) = within?;
    let apart = (above - below).abs() > MIN_BEND_FRACTION * below.abs().max(above.abs());
    (apart && !(low..=high).contains(&above))
        .then(|| format!("slope {below:.3e} in the lower half of the sizes, {above:.3e} in the upper"))
}

/// Points that differ only in size and seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    pub role: String,
    pub what: String,
    pub unit: String,
    pub by: String,
    pub at: String,
    pub hollow: String,
    /// Date, version and note of the measurement.
    pub date: String,
    pub version: String,
    #[serde(default)]
    pub note: String,
    pub line: Option<LinearFit>,
    /// Size, value and seed of each point.
    pub points: Vec<(f64, f64, u64)>,
}

impl Series {
    fn key(&self) -> [&str; 6] {
        [&self.role, &self.what, &self.unit, &self.by, &self.at, &self.hollow]
    }

    /// The median of each size, in ascending order of size.
    pub fn medians(&self) -> Vec<(f64, f64)> {
        let mut all: Vec<(f64, f64)> = self.points.iter().map(|p| (p.0, p.1)).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let middle = |of: &[(f64, f64)]| (of[of.len() / 2].1 + of[(of.len() - 1) / 2].1) / 2.0;
        all.chunk_by(|a, b| a.0 == b.0).map(|of| (of[0].0, middle(of))).collect()
    }

    /// Minimum and maximum over the seeds at size `x`.
    pub fn range(&self, x: f64) -> (f64, f64) {
        let at = self.points.iter().filter(|p| p.0 == x);
        at.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), p| (low.min(p.1), high.max(p.1)))
    }
}

/// The machine that ran the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub cores: usize,
    /// Bytes.
    pub memory: f64,
    pub processor: String,
    /// Limit of open file descriptors of a process.
    pub descriptors: u64,
}

impl Machine {
    /// Describes the machine that runs this process.
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

/// All measurements, as stored in `docs/capacity.json`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityData {
    /// Version, date and note of the latest measurement.
    pub version: String,
    pub date: String,
    pub note: String,
    pub machine: Machine,
    /// Why points are missing, one entry for each cause.
    pub partial: Vec<String>,
    pub series: Vec<Series>,
}

/// Groups points into series, in the order of first appearance, and fits a line to each.
pub fn series(points: &[Point], date: &str, note: &str) -> Vec<Series> {
    let mut all: Vec<Series> = Vec::new();
    for p in points.iter().filter(|p| p.x.is_finite() && p.y.is_finite()) {
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
    /// Measurements of one run on this machine, dated today.
    pub fn new(points: &Points, note: &str) -> CapacityData {
        let date = Timestamp::now().strftime("%Y-%m-%d").to_string();
        CapacityData {
            version: env!("CARGO_PKG_VERSION").to_owned(),
            series: series(&points.points, &date, note),
            date,
            note: note.to_owned(),
            machine: Machine::current(),
            partial: points.partial.clone(),
        }
    }

    /// Merges a later measurement: its series replace those with the same key, other series stay.
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

    /// Reads a measurement file.
    ///
    /// # Errors
    /// The file cannot be read or parsed.
    pub fn read(path: &Path) -> Result<CapacityData> {
        let text = std::fs::read(path).with_context(|| path.display().to_string())?;
        serde_json::from_slice(&text).with_context(|| path.display().to_string())
    }
}

/// Replaces the file with the measurements of this run.
///
/// # Errors
/// The file cannot be written.
pub fn write(path: &Path, points: &Points, note: &str) -> Result<()> {
    write_data(path, &CapacityData::new(points, note))
}

/// Merges the measurements of this run into the file.
///
/// # Errors
/// The file cannot be read or written.
pub fn add(path: &Path, points: &Points, note: &str) -> Result<()> {
    let mut data = if path.exists() { CapacityData::read(path)? } else { CapacityData::default() };
    data.merge(CapacityData::new(points, note));
    write_data(path, &data)
}

fn write_data(path: &Path, data: &CapacityData) -> Result<()> {
    let mut text = serde_json::to_string_pretty(data)?;
    text.push('\n');
    std::fs::write(path, text).with_context(|| path.display().to_string())
}
