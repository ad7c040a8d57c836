//! Generates the capacity page of a target fleet from the stored measurements.

mod events;
mod formatting;
mod limits;
mod roles;
mod terms;

use std::path::PathBuf;

use anyhow::{Context, Result, anyhow, bail};
use clap::Args;

use super::fit::{CapacityData, LinearFit, Series};
use super::target::FleetTarget;
pub use limits::{crossing, uncertainty};

/// Marker before a generated section of the page; the name of the section follows.
const SECTION_START: &str = "<!-- worked out by kelpdoor-lab scale plan: ";
/// Marker after a generated section.
const SECTION_END: &str = "<!-- end -->";

#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Target file that describes the planned fleet.
    #[arg(long)]
    pub target: PathBuf,
    /// Stored measurements.
    #[arg(long, default_value = "docs/capacity.json")]
    pub measured: PathBuf,
    /// Page whose generated sections are replaced; without it the sections are printed.
    #[arg(long)]
    pub page: Option<PathBuf>,
}

/// Runs `scale plan`.
///
/// # Errors
/// The target, the measurements or the page cannot be read, or the page cannot be written.
pub fn run(options: &Options) -> Result<()> {
    let target = FleetTarget::read(&options.target)
        .map_err(|f| anyhow!(f.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))?;
    let parts = sections(&target, &CapacityData::read(&options.measured)?);
    let Some(page) = &options.page else {
        for (name, text) in parts {
            println!("## {name}\n\n{text}");
        }
        return Ok(());
    };
    let page_path = || page.display().to_string();
    let text = std::fs::read_to_string(page).with_context(page_path)?;
    let text = replace_sections(&text, &parts).with_context(page_path)?;
    std::fs::write(page, text).with_context(page_path)
}

/// The generated sections of the page, by name, as Markdown.
pub fn sections(target: &FleetTarget, data: &CapacityData) -> Vec<(&'static str, String)> {
    vec![
        ("words", terms::table(target)),
        ("roles", roles::table(target, data)),
        ("events", events::table(target)),
        ("order", limits::table(target, data)),
        ("missing", roles::missing(target, data)),
    ]
}

/// Replaces the text between the page's markers with the generated sections and keeps everything else.
///
/// # Errors
/// A marker is not closed, a section has no marker or two, or a marker names no section.
pub fn replace_sections(page: &str, parts: &[(&str, String)]) -> Result<String> {
    let (mut out, mut rest, mut seen) = (String::new(), page, Vec::new());
    while let Some((before, after)) = rest.split_once(SECTION_START) {
        let line = page[..page.len() - after.len()].lines().count();
        let (name, after) = after.split_once(" -->").with_context(|| format!("line {line}: no -->"))?;
        let (_, after) =
            after.split_once(SECTION_END).with_context(|| format!("line {line}: no {SECTION_END}"))?;
        let part = parts.iter().find(|p| p.0 == name);
        let (name, text) = part.with_context(|| format!("line {line}: no part {name:?}"))?;
        if seen.contains(name) {
            bail!("line {line}: {name} stands twice");
        }
        seen.push(*name);
        out += &format!("{before}{SECTION_START}{name} -->\n\n{}\n\n{SECTION_END}", text.trim());
        rest = after;
    }
    if let Some((name, _)) = parts.iter().find(|p| !seen.contains(&p.0)) {
        bail!("it has no place for {name}: {SECTION_START}{name} --> .. {SECTION_END}");
    }
    Ok(out + rest)
}

/// Value of a series at a size.
struct Estimate {
    y: f64,
    /// 95% interval, or the range of the seeds.
    within: Option<(f64, f64)>,
    /// How the value was obtained, as printed on the page.
    how: String,
}

/// Line through the upper half of the sizes, for a series that bends.
fn upper_half_fit(series: &Series) -> Option<LinearFit> {
    let sizes = series.medians();
    let from = sizes.get(sizes.len() / 2)?.0;
    LinearFit::fit(&series.points.iter().copied().filter(|p| p.0 >= from).collect::<Vec<_>>())
}

/// Interpolates linearly between the medians of two measured sizes.
fn interpolate(sizes: &[(f64, f64)], x: f64) -> Option<f64> {
    let pair = sizes.windows(2).find(|p| p[0].0 <= x && x <= p[1].0)?;
    let part = (x - pair[0].0) / (pair[1].0 - pair[0].0);
    Some(pair[0].1 + part * (pair[1].1 - pair[0].1))
}

/// Value of a series at size `x`: measured, interpolated or extrapolated. `None` with a single other size.
fn estimate(series: &Series, x: f64) -> Option<Estimate> {
    let sizes = series.medians();
    let last = sizes.last()?.0;
    if let Some((at, y)) = sizes.iter().find(|s| (s.0 - x).abs() <= 0.005 * x) {
        let (low, high) = series.range(*at);
        let seeds = series.points.iter().filter(|p| p.0 == *at).count();
        let within = (low < high).then_some((low, high));
        let how = if seeds > 1 {
            format!("measured, median and range of {seeds} seeds")
        } else {
            "measured".into()
        };
        return Some(Estimate { y: *y, within, how });
    }
    let line = series.line.as_ref()?;
    let is_straight = line.bends.is_none() && !line.too_few;
    if !is_straight && let Some(y) = interpolate(&sizes, x) {
        return Some(Estimate { y, within: None, how: "between two sizes".into() });
    }
    // Two points, one seed at two sizes, leave no residual for an interval.
    let (line, mut how) = match upper_half_fit(series).filter(|_| line.bends.is_some()) {
        Some(upper) => (upper, "worked out from the upper half of the sizes, as the line bends".to_owned()),
        None => (line.clone(), "worked out".to_owned()),
    };
    if x > last {
        how += &format!(", at {} times the largest size", formatting::number(x / last));
    }
    if line.too_few && series.line.as_ref().is_some_and(|l| l.too_few) {
        how += ", too few sizes to see a bend";
    }
    let is_fraction = series.unit == "of 1";
    let y = if is_fraction { line.value_at(x).clamp(0.0, 1.0) } else { line.value_at(x) };
    Some(Estimate { y, within: line.interval_at(x).filter(|_| !is_fraction), how })
}
