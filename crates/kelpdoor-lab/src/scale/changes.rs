//! Not measured yet.

use anyhow::Result;
use clap::Args;

use super::Scale;
use super::points::Points;

#[derive(Args, Clone, Debug, Default)]
pub struct Options {}

/// # Errors
/// What could not be measured.
pub async fn measure(_all: &Scale, _of: &Options) -> Result<Points> {
    Ok(Points { partial: vec!["not measured yet".into()], ..Points::default() })
}
