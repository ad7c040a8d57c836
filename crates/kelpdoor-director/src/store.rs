//! The last good list on disk.

use std::path::Path;

pub use kelpdoor_kept::StoreError;

use crate::roster::RosterList;

const FORMAT: &str = "kelpdoor-roster 1";

/// Writes the list whole or not at all.
///
/// # Errors
/// Where the folder cannot be written; the old file stands then.
pub fn save_list(path: &Path, list: &RosterList) -> Result<(), StoreError> {
    kelpdoor_kept::save(path, FORMAT, list)
}

/// Reads the list back; `None` where there is no file.
///
/// # Errors
/// A file that is not as it was written is named and never loaded.
pub fn load_list(path: &Path) -> Result<Option<RosterList>, StoreError> {
    kelpdoor_kept::load(path, FORMAT)
}
