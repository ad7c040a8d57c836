//! The file with the last valid node list, for the next start.

use std::path::Path;

pub use kelpdoor_kept::StoreError;

use crate::roster::RosterList;

const FORMAT: &str = "kelpdoor-roster 1";

/// Saves the list atomically.
///
/// # Errors
/// The file cannot be written. The old file stays in place.
pub fn save_list(path: &Path, list: &RosterList) -> Result<(), StoreError> {
    kelpdoor_kept::save(path, FORMAT, list)
}

/// Loads the list; `None` if there is no file.
///
/// # Errors
/// The file cannot be read or is damaged; a damaged file is never loaded.
pub fn load_list(path: &Path) -> Result<Option<RosterList>, StoreError> {
    kelpdoor_kept::load(path, FORMAT)
}
