//! A fleet's page, worked out from what was measured.

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

/// Before what a page has from here, with its name, and after it.
const BEGINS: &str = "<!-- worked out by kelpdoor-lab scale plan: ";
const ENDS: &str = "<!-- end -->";

#[derive(Args, Clone, Debug)]
pub struct Options {
    /// The fleet as it is to be, as a target file.
    #[arg(long)]
    pub target: PathBuf,
    /// What was measured.
    #[arg(long, default_value = "docs/capacity.json")]
    pub measured: PathBuf,
    /// A page whose worked-out parts are made anew; without one they are printed.
    #[arg(long)]
    pub page: Option<PathBuf>,
}

/// # Errors
/// Where the target, what was measured, or the page does not read.
pub fn run(of: &Options) -> Result<()> {
    let target = FleetTarget::read(&of.target)
        .map_err(|f| anyhow!(f.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))?;
    let parts = sections(&target, &CapacityData::read(&of.measured)?);
    let Some(page) = &of.page else {
        for (name, text) in parts {
            println!("## {name}\n\n{text}");
        }
        return Ok(());
    };
    let see = || page.display().to_string();
    let text = std::fs::read_to_string(page).with_context(see)?;
    let text = replace_sections(&text, &parts).with_context(see)?;
    std::fs::write(page, text).with_context(see)
}

/// The page's worked-out parts, by name.
pub fn sections(target: &FleetTarget, book: &CapacityData) -> Vec<(&'static str, String)> {
    vec![
        ("words", terms::table(target)),
        ("roles", roles::table(target, book)),
        ("events", events::table(target)),
        ("order", limits::table(target, book)),
        ("missing", roles::missing(target, book)),
    ]
}

/// Puts the parts where the page has its markers, and leaves all else as it is.
///
/// # Errors
/// Where a marker is not ended, or a part has no place or none has its name.
pub fn replace_sections(page: &str, parts: &[(&str, String)]) -> Result<String> {
    let (mut out, mut rest, mut seen) = (String::new(), page, Vec::new());
    while let Some((before, after)) = rest.split_once(BEGINS) {
        let line = page[..page.len() - after.len()].lines().count();
        let (name, after) = after.split_once(" -->").with_context(|| format!("line {line}: no -->"))?;
        let (_, after) = after.split_once(ENDS).with_context(|| format!("line {line}: no {ENDS}"))?;
        let part = parts.iter().find(|p| p.0 == name);
        let (name, text) = part.with_context(|| format!("line {line}: no part {name:?}"))?;
        if seen.contains(name) {
            bail!("line {line}: {name} stands twice");
        }
        seen.push(*name);
        out += &format!("{before}{BEGINS}{name} -->\n\n{}\n\n{ENDS}", text.trim());
        rest = after;
    }
    if let Some((name, _)) = parts.iter().find(|p| !seen.contains(&p.0)) {
        bail!("it has no place for {name}: {BEGINS}{name} --> .. {ENDS}");
    }
    Ok(out + rest)
}

/// A series at a size.
struct Worked {
    y: f64,
    within: Option<(f64, f64)>,
    how: String,
}

/// The upper half of the sizes, where the whole is no line.
fn upper(of: &Series) -> Option<LinearFit> {
    let sizes = of.medians();
    let from = sizes.get(sizes.len() / 2)?.0;
    LinearFit::fit(&of.points.iter().copied().filter(|p| p.0 >= from).collect::<Vec<_>>())
}

/// Between the medians of two sizes that were measured.
fn between(sizes: &[(f64, f64)], x: f64) -> Option<f64> {
    let pair = sizes.windows(2).find(|p| p[0].0 <= x && x <= p[1].0)?;
    let part = (x - pair[0].0) / (pair[1].0 - pair[0].0);
    Some(pair[0].1 + part * (pair[1].1 - pair[0].1))
}

fn worked(of: &Series, x: f64) -> Option<Worked> {
    let sizes = of.medians();
    let last = sizes.last()?.0;
    if let Some((at, y)) = sizes.iter().find(|s| (s.0 - x).abs() <= 0.005 * x) {
        let (low, high) = of.range(*at);
        let seeds = of.points.iter().filter(|p| p.0 == *at).count();
        let within = (low < high).then_some((low, high));
        let how = if seeds > 1 {
            format!("measured, median and range of {seeds} seeds")
        } else {
            "measured".into()
        };
        return Some(Worked { y: *y, within, how });
    }
    let line = of.line.as_ref()?;
    let is_line = line.bends.is_none() && !line.too_few;
    if !is_line && let Some(y) = between(&sizes, x) {
        return Some(Worked { y, within: None, how: "between two sizes".into() });
    }
    // Figures of one seed at two sizes have no residual to tell an interval by.
    let (line, mut how) = match upper(of).filter(|_| line.bends.is_some()) {
        Some(upper) => (upper, "worked out from the upper half of the sizes, as the line bends".to_owned()),
        None => (line.clone(), "worked out".to_owned()),
    };
    if x > last {
        how += &format!(", at {} times the largest size", formatting::number(x / last));
    }
    if line.too_few && of.line.as_ref().is_some_and(|l| l.too_few) {
        how += ", too few sizes to see a bend";
    }
    let of_1 = of.unit == "of 1";
    let y = if of_1 { line.value_at(x).clamp(0.0, 1.0) } else { line.value_at(x) };
    Some(Worked { y, within: line.interval_at(x).filter(|_| !of_1), how })
}
