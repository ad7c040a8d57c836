//! The ledger's log file: a line that names the format, followed by records of changes. Each record has a header of 12
//! bytes, little-endian: the length of the changes, their checksum (CRC-32), and the checksum of these two fields. The
//! separate checksum of the header distinguishes a corrupted length from a truncated record.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use kelpdoor_seats::Change;

const FORMAT: &[u8] = b"kelpdoor-ledger 1\n";
const HEADER_BYTES: usize = 12;
/// Maximum number of changes in one record of a rewritten log.
const MAX_RECORD_CHANGES: usize = 1000;

/// Why a log cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    #[error("{0}: does not begin with \"kelpdoor-ledger 1\"")]
    Format(PathBuf),
    #[error("{0}: the record at byte {1} is corrupted; the ledger was not loaded")]
    Record(PathBuf, usize),
    #[error("{0}: the record at byte {1}: {2}")]
    Content(PathBuf, usize, serde_json::Error),
}

/// An opened log and its content.
#[derive(Debug)]
pub struct OpenedLog {
    pub log: Log,
    pub changes: Vec<Change>,
    /// Bytes of an incomplete last record, which is removed: no response was sent for its changes.
    pub truncated_bytes: usize,
}

/// A log file open for appending.
#[derive(Debug)]
pub struct Log {
    path: PathBuf,
    file: File,
    bytes: u64,
}

fn checksum(bytes: &[u8]) -> [u8; 4] {
    crc32fast::hash(bytes).to_le_bytes()
}

/// Encodes changes as one record.
fn encode_record(changes: &[Change]) -> io::Result<Vec<u8>> {
    let mut record = vec![0; HEADER_BYTES];
    serde_json::to_writer(&mut record, changes)?;
    let len = u32::try_from(record.len() - HEADER_BYTES).map_err(|_| io::Error::other("record too long"))?;
    let changes_checksum = checksum(&record[HEADER_BYTES..]);
    record[..4].copy_from_slice(&len.to_le_bytes());
    record[4..8].copy_from_slice(&changes_checksum);
    let header_checksum = checksum(&record[..8]);
    record[8..HEADER_BYTES].copy_from_slice(&header_checksum);
    Ok(record)
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
}

/// Returns all changes and the offset at which the last complete record ends.
fn read_records(path: &Path, bytes: &[u8]) -> Result<(Vec<Change>, usize), LogError> {
    let mut changes: Vec<Change> = Vec::new();
    let mut offset = FORMAT.len();
    while offset < bytes.len() {
        let rest = &bytes[offset..];
        if rest.len() < HEADER_BYTES {
            break;
        }
        if rest[8..HEADER_BYTES] != checksum(&rest[..8]) {
            // After a crash a file system may leave zeros where a write did not reach the disk.
            if rest.iter().all(|b| *b == 0) {
                break;
            }
            return Err(LogError::Record(path.to_owned(), offset));
        }
        let Some(body) = rest[HEADER_BYTES..].get(..read_u32(rest, 0) as usize) else { break };
        if rest[4..8] != checksum(body) {
            return Err(LogError::Record(path.to_owned(), offset));
        }
        let record: Vec<Change> =
            serde_json::from_slice(body).map_err(|e| LogError::Content(path.to_owned(), offset, e))?;
        changes.extend(record);
        offset += HEADER_BYTES + body.len();
    }
    Ok((changes, offset))
}

impl Log {
    /// Opens a log, or creates one.
    ///
    /// # Errors
    /// If the file cannot be read or is corrupted; it is not changed then.
    pub fn open(path: &Path) -> Result<OpenedLog, LogError> {
        let io = |e| LogError::Io(path.to_owned(), e);
        let mut options = OpenOptions::new();
        let mut file = options.read(true).write(true).create(true).truncate(false).open(path).map_err(io)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(io)?;
        if bytes.len() < FORMAT.len() && FORMAT.starts_with(&bytes) {
            // New, or its first write was incomplete.
            file.set_len(0).map_err(io)?;
            file.rewind().map_err(io)?;
            file.write_all(FORMAT).map_err(io)?;
            file.sync_all().map_err(io)?;
            bytes = FORMAT.to_vec();
        }
        if !bytes.starts_with(FORMAT) {
            return Err(LogError::Format(path.to_owned()));
        }
        let (changes, end) = read_records(path, &bytes)?;
        let truncated_bytes = bytes.len() - end;
        if truncated_bytes > 0 {
            file.set_len(end as u64).map_err(io)?;
            file.sync_all().map_err(io)?;
        }
        file.seek(SeekFrom::Start(end as u64)).map_err(io)?;
        let log = Log { path: path.to_owned(), file, bytes: end as u64 };
        Ok(OpenedLog { log, changes, truncated_bytes })
    }

    /// Appends changes as one record, which a later open returns completely or not at all. The record is on disk when
    /// this returns.
    ///
    /// # Errors
    /// Errors of the file system. The log must not be written after one, because the position of its end is unknown.
    pub fn append(&mut self, changes: &[Change]) -> io::Result<()> {
        let bytes = encode_record(changes)?;
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.bytes += bytes.len() as u64;
        Ok(())
    }

    /// Replaces the log atomically by a new one with these changes.
    ///
    /// # Errors
    /// Errors of the file system. The log, whether old or new, can still be written after one.
    pub fn rewrite(&mut self, changes: &[Change]) -> io::Result<()> {
        let directory = self.path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        let mut new = tempfile::NamedTempFile::new_in(directory)?;
        new.write_all(FORMAT)?;
        let mut bytes = FORMAT.len() as u64;
        for chunk in changes.chunks(MAX_RECORD_CHANGES) {
            let record = encode_record(chunk)?;
            new.write_all(&record)?;
            bytes += record.len() as u64;
        }
        new.as_file().sync_all()?;
        // From here on the new file is the log, even if syncing the directory fails: the old one has no name any more.
        self.file = new.persist(&self.path).map_err(|e| e.error)?;
        self.bytes = bytes;
        File::open(directory)?.sync_all()
    }

    /// Size of the file.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
