//! Not measured yet.

use std::io::IsTerminal;
use std::path::Path;

use anyhow::{Context, Result};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};

use super::Scale;
use super::points::Points;

#[derive(Args, Clone, Debug, Default)]
pub struct Options {}

/// # Errors
/// What could not be measured.
pub async fn measure(_all: &Scale, _of: &Options) -> Result<Points> {
    Ok(Points { partial: vec!["not measured yet".into()], ..Points::default() })
}

/// A bar for whoever watches.
pub fn bar(of: u64, what: &'static str) -> ProgressBar {
    let bar = if std::io::stderr().is_terminal() { ProgressBar::new(of) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{elapsed} {bar:40} {pos} of {len} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.with_message(what)
}

/// Writes points to that file, if any.
///
/// # Errors
/// Where it cannot be written.
pub fn write(to: Option<&Path>, of: &Points) -> Result<()> {
    match to {
        Some(path) => {
            std::fs::write(path, serde_json::to_vec_pretty(of)?).context(path.display().to_string())
        }
        None => Ok(()),
    }
}
