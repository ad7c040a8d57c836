//! A value on disk: one line of a header with a format and a checksum, then JSON. Written to a file beside it, synced and
//! renamed, so that it is there whole or not at all.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    #[error("{0}: the header is not \"{1} CHECKSUM\"")]
    Header(PathBuf, &'static str),
    #[error("{0}: the checksum says {1:08x}, the content {2:08x}")]
    Checksum(PathBuf, u32, u32),
    #[error("{0}: {1}")]
    Content(PathBuf, serde_json::Error),
}

/// Writes a value whole or not at all; on disk, and under its name, when this returns.
///
/// # Errors
/// Where the folder cannot be written; the old file stands then, unless its folder's sync alone failed.
pub fn save<T: Serialize>(path: &Path, format: &str, value: &T) -> Result<(), StoreError> {
    let io = |e| StoreError::Io(path.to_owned(), e);
    let body = serde_json::to_vec(value).map_err(|e| StoreError::Content(path.to_owned(), e))?;
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder).map_err(io)?;
    writeln!(file, "{format} {:08x}", crc32fast::hash(&body)).map_err(io)?;
    file.write_all(&body).map_err(io)?;
    file.as_file().sync_all().map_err(io)?;
    file.persist(path).map_err(|e| io(e.error))?;
    File::open(folder).and_then(|f| f.sync_all()).map_err(io)
}

/// Reads a value back; `None` where there is no file.
///
/// # Errors
/// A file that is not as it was written is named and never loaded.
pub fn load<T: DeserializeOwned>(path: &Path, format: &'static str) -> Result<Option<T>, StoreError> {
    let bytes = match std::fs::read(path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        other => other.map_err(|e| StoreError::Io(path.to_owned(), e))?,
    };
    let header = || StoreError::Header(path.to_owned(), format);
    let end = bytes.iter().position(|&b| b == b'\n').ok_or_else(header)?;
    let first = std::str::from_utf8(&bytes[..end]).map_err(|_| header())?;
    let digits = first.strip_prefix(format).and_then(|s| s.strip_prefix(' ')).ok_or_else(header)?;
    let whole = digits.len() == 8 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let sum = whole.then(|| u32::from_str_radix(digits, 16).ok()).flatten().ok_or_else(header)?;
    let body = &bytes[end + 1..];
    let found = crc32fast::hash(body);
    if found != sum {
        return Err(StoreError::Checksum(path.to_owned(), sum, found));
    }
    serde_json::from_slice(body).map(Some).map_err(|e| StoreError::Content(path.to_owned(), e))
}

#[cfg(test)]
mod tests;
