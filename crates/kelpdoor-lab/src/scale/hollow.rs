//! Hollow directors.

use anyhow::Result;

/// # Errors
/// x
pub async fn work() -> Result<()> {
    Ok(())
}
