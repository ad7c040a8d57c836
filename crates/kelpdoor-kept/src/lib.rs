//! Stores a value in a file: a header line with the format's name and a CRC-32 checksum, then the value as JSON. The
//! file is replaced atomically: the value is written to a temporary file, synced and renamed.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Why a value cannot be saved or loaded. Each variant has the file's path.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    #[error("{0}: the header is not \"{1} CHECKSUM\"")]
    Header(PathBuf, &'static str),
    #[error("{0}: the checksum says {1:08x}, but the content has {2:08x}")]
    Checksum(PathBuf, u32, u32),
    #[error("{0}: {1}")]
    Content(PathBuf, serde_json::Error),
}

/// Replaces the file at `path` by the value atomically. The value is durable when this returns.
///
/// # Errors
/// If the file cannot be written. The old file stays then, unless only the sync of the directory failed.
pub fn save<T: Serialize>(path: &Path, format: &str, value: &T) -> Result<(), StoreError> {
    let io_error = |e| StoreError::Io(path.to_owned(), e);
    let body = serde_json::to_vec(value).map_err(|e| StoreError::Content(path.to_owned(), e))?;
    let directory = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(directory).map_err(io_error)?;
    writeln!(file, "{format} {:08x}", crc32fast::hash(&body)).map_err(io_error)?;
    file.write_all(&body).map_err(io_error)?;
    file.as_file().sync_all().map_err(io_error)?;
    file.persist(path).map_err(|e| io_error(e.error))?;
    File::open(directory).and_then(|f| f.sync_all()).map_err(io_error)
}

/// Loads the value of a file; `None` if the file does not exist.
///
/// # Errors
/// If the file cannot be read, or its header, checksum or content is wrong.
pub fn load<T: DeserializeOwned>(path: &Path, format: &'static str) -> Result<Option<T>, StoreError> {
    let bytes = match std::fs::read(path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        other => other.map_err(|e| StoreError::Io(path.to_owned(), e))?,
    };
    let header_error = || StoreError::Header(path.to_owned(), format);
    let header_end = bytes.iter().position(|&b| b == b'\n').ok_or_else(header_error)?;
    let header = std::str::from_utf8(&bytes[..header_end]).map_err(|_| header_error())?;
    let digits = header.strip_prefix(format).and_then(|s| s.strip_prefix(' ')).ok_or_else(header_error)?;
    let valid = digits.len() == 8 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let expected = valid.then(|| u32::from_str_radix(digits, 16).ok()).flatten().ok_or_else(header_error)?;
    let body = &bytes[header_end + 1..];
    let actual = crc32fast::hash(body);
    if actual != expected {
        return Err(StoreError::Checksum(path.to_owned(), expected, actual));
    }
    serde_json::from_slice(body).map(Some).map_err(|e| StoreError::Content(path.to_owned(), e))
}

#[cfg(test)]
mod tests;
