//! Slopes with their intervals, and the file that keeps them.

use std::path::Path;

use anyhow::Result;

use super::points::Points;

/// # Errors
/// Where the file cannot be written.
pub fn write(to: &Path, of: &Points) -> Result<()> {
    Ok(std::fs::write(to, serde_json::to_vec_pretty(of)?)?)
}
