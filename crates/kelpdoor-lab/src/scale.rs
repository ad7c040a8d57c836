//! What each role costs as a fleet grows: measured at several sizes, fitted, and worked out for any fleet.

pub mod changes;
pub mod fit;
pub mod follower;
pub mod hollow;
pub mod plan;
pub mod points;
pub mod process;
pub mod sessions;
pub mod simulate;
pub mod target;
pub mod voters;

use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::{Args, Subcommand};

/// `kelpdoor-lab scale`: all that is measured, and what is worked out from it.
#[derive(Args, Clone, Debug)]
pub struct Scale {
    /// Sizes measured at, in directors.
    #[arg(long, value_delimiter = ',', default_values_t = [300, 1000, 3000, 5800])]
    pub sizes: Vec<usize>,
    /// Seeds, from 1 on.
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// What was measured is written there, with slopes and intervals.
    #[arg(long, default_value = "docs/capacity.json")]
    pub json: PathBuf,
    /// Written beside the figures, e.g. the commit and what ran beside them.
    #[arg(long, default_value = "")]
    pub note: String,
    /// What one measurement alone brings is put into that file, too, and stands for what it had of the same name.
    #[arg(long)]
    pub keep: bool,
    /// s; what is not measured by then is left out, and the result is marked partial.
    #[arg(long, default_value_t = 1200.0)]
    pub within: f64,
    #[command(subcommand)]
    pub measurement: Option<Measurement>,
}

#[derive(Subcommand, Clone, Debug)]
pub enum Measurement {
    /// Real voters under hollow directors: processor time, memory, bytes, time of an answer.
    Voters(voters::Options),
    /// Changes of the rules: how much of the time directors may begin sessions, and how fast a change is in force.
    Changes(changes::Options),
    /// A real director with many sessions held.
    Sessions(sessions::Options),
    /// Hollow directors, as `voters` starts them.
    #[command(hide = true)]
    Hollow,
    /// Adds what a run wrote by its `--points` to what is kept, in place of what is there of the same name.
    Add { points: PathBuf },
    /// Works out a fleet's page from what was measured.
    Plan(plan::Options),
}

/// # Errors
/// What could not be measured, or read.
pub async fn run(of: Scale) -> Result<()> {
    let part = match &of.measurement {
        Some(Measurement::Voters(o)) => voters::measure(&of, o).await?,
        Some(Measurement::Changes(o)) => changes::measure(&of, o).await?,
        Some(Measurement::Sessions(o)) => sessions::measure(&of, o).await?,
        Some(Measurement::Hollow) => return hollow::run_process().await,
        Some(Measurement::Add { points }) => {
            let text = std::fs::read(points).with_context(|| points.display().to_string())?;
            let points = serde_json::from_slice(&text).with_context(|| points.display().to_string())?;
            return fit::add(&of.json, &points, &of.note);
        }
        Some(Measurement::Plan(o)) => return plan::run(o),
        None => {
            let mut all = voters::measure(&of, &voters::Options::default()).await?;
            all.merge(changes::measure(&of, &changes::Options::default()).await?);
            all.merge(sessions::measure(&of, &sessions::Options::default()).await?);
            points::print_table(&all);
            return fit::write(&of.json, &all, &of.note);
        }
    };
    points::print_table(&part);
    if of.keep { fit::add(&of.json, &part, &of.note) } else { Ok(()) }
}
