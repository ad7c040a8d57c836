//! A fleet's page, worked out from what was measured.

use std::path::PathBuf;

use anyhow::Result;
use clap::Args;

#[derive(Args, Clone, Debug)]
pub struct Options {
    /// The fleet as it is to be, as a target file.
    #[arg(long)]
    pub target: PathBuf,
}

/// # Errors
/// Where the target does not read.
pub fn run(_of: &Options) -> Result<()> {
    anyhow::bail!("not measured yet")
}
