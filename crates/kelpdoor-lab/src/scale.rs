//! Resource use of each role as a fleet grows: measured at several sizes, fitted, and predicted for a target fleet.

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

/// `kelpdoor-lab scale`: measures resource use by fleet size and predicts it for a target fleet.
#[derive(Args, Clone, Debug)]
pub struct Scale {
    /// Fleet sizes to measure, in directors.
    #[arg(long, value_delimiter = ',', default_values_t = [300, 1000, 3000, 5800])]
    pub sizes: Vec<usize>,
    /// Number of seeds, starting at 1.
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// Output file for the measurements, with slopes and intervals.
    #[arg(long, default_value = "docs/capacity.json")]
    pub json: PathBuf,
    /// Note stored with the figures, for example the commit and the other load on the machine.
    #[arg(long, default_value = "")]
    pub note: String,
    /// Also stores the result of a single measurement in the output file, replacing series of the same name.
    #[arg(long)]
    pub keep: bool,
    /// Time limit in seconds; whatever is not measured by then is left out and the result is marked partial.
    #[arg(long, default_value_t = 1200.0)]
    pub within: f64,
    #[command(subcommand)]
    pub measurement: Option<Measurement>,
}

/// A single measurement, or a command on stored measurements.
#[derive(Subcommand, Clone, Debug)]
pub enum Measurement {
    /// Measures real voters under hollow directors: processor time, memory, bytes and response time.
    Voters(voters::Options),
    /// Measures changes of the rules: the fraction of time directors may begin sessions, and the time until a change is in force.
    Changes(changes::Options),
    /// Measures a real director that holds many sessions.
    Sessions(sessions::Options),
    /// Runs hollow directors; started by `voters`.
    #[command(hide = true)]
    Hollow,
    /// Adds points written by `--points` to the stored measurements, replacing series of the same name.
    Add { points: PathBuf },
    /// Generates the capacity page of a target fleet from the stored measurements.
    Plan(plan::Options),
}

/// Runs one measurement, or all of them if none is named.
///
/// # Errors
/// A measurement fails, or a file cannot be read or written.
pub async fn run(options: Scale) -> Result<()> {
    let points = match &options.measurement {
        Some(Measurement::Voters(o)) => voters::measure(&options, o).await?,
        Some(Measurement::Changes(o)) => changes::measure(&options, o).await?,
        Some(Measurement::Sessions(o)) => sessions::measure(&options, o).await?,
        Some(Measurement::Hollow) => return hollow::run_process().await,
        Some(Measurement::Add { points }) => {
            let text = std::fs::read(points).with_context(|| points.display().to_string())?;
            let points = serde_json::from_slice(&text).with_context(|| points.display().to_string())?;
            return fit::add(&options.json, &points, &options.note);
        }
        Some(Measurement::Plan(o)) => return plan::run(o),
        None => {
            let mut all = voters::measure(&options, &voters::Options::default()).await?;
            all.merge(changes::measure(&options, &changes::Options::default()).await?);
            all.merge(sessions::measure(&options, &sessions::Options::default()).await?);
            points::print_table(&all);
            return fit::write(&options.json, &all, &options.note);
        }
    };
    points::print_table(&points);
    if options.keep { fit::add(&options.json, &points, &options.note) } else { Ok(()) }
}
