//! The ledger's log: a line that names the format, then records of changes, each behind a header of 12 bytes: length,
//! checksum of the changes, and checksum of these two, little-endian. The header has a checksum of its own, so that a
//! length that was changed is not taken for a record cut short.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use kelpdoor_seats::Change;

const FORMAT: &[u8] = b"kelpdoor-ledger 1\n";
const HEADER: usize = 12;
/// Changes in one record of a log that is written anew.
const CHUNK: usize = 1000;

#[derive(Debug, thiserror::Error)]
pub enum LogError {
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    #[error("{0}: it does not begin with \"kelpdoor-ledger 1\"")]
    Format(PathBuf),
    #[error("{0}: the record at byte {1} is not as it was written; nothing of the ledger was loaded")]
    Record(PathBuf, usize),
    #[error("{0}: the record at byte {1}: {2}")]
    Content(PathBuf, usize, serde_json::Error),
}

/// What a log held.
#[derive(Debug)]
pub struct OpenedLog {
    pub log: Log,
    pub changes: Vec<Change>,
    /// Bytes of a last record that was cut short; it was never answered for, and is gone.
    pub truncated_bytes: usize,
}

#[derive(Debug)]
pub struct Log {
    path: PathBuf,
    file: File,
    bytes: u64,
}

fn sum(bytes: &[u8]) -> [u8; 4] {
    crc32fast::hash(bytes).to_le_bytes()
}

fn record(changes: &[Change]) -> io::Result<Vec<u8>> {
    let mut all = vec![0; HEADER];
    serde_json::to_writer(&mut all, changes)?;
    let len = u32::try_from(all.len() - HEADER).map_err(|_| io::Error::other("a record too long"))?;
    let body = sum(&all[HEADER..]);
    all[..4].copy_from_slice(&len.to_le_bytes());
    all[4..8].copy_from_slice(&body);
    let head = sum(&all[..8]);
    all[8..HEADER].copy_from_slice(&head);
    Ok(all)
}

fn word(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// All changes, and where the last whole record ends.
fn read(path: &Path, bytes: &[u8]) -> Result<(Vec<Change>, usize), LogError> {
    let mut changes: Vec<Change> = Vec::new();
    let mut at = FORMAT.len();
    while at < bytes.len() {
        let rest = &bytes[at..];
        if rest.len() < HEADER {
            break;
        }
        if rest[8..HEADER] != sum(&rest[..8]) {
            // A file system may leave zeros where a write never came.
            if rest.iter().all(|b| *b == 0) {
                break;
            }
            return Err(LogError::Record(path.to_owned(), at));
        }
        let Some(body) = rest[HEADER..].get(..word(rest, 0) as usize) else { break };
        if rest[4..8] != sum(body) {
            return Err(LogError::Record(path.to_owned(), at));
        }
        let of: Vec<Change> =
            serde_json::from_slice(body).map_err(|e| LogError::Content(path.to_owned(), at, e))?;
        changes.extend(of);
        at += HEADER + body.len();
    }
    Ok((changes, at))
}

impl Log {
    /// Opens a log, or begins one.
    ///
    /// # Errors
    /// Where it cannot be read or is not as it was written; the file stays as it is then.
    pub fn open(path: &Path) -> Result<OpenedLog, LogError> {
        let io = |e| LogError::Io(path.to_owned(), e);
        let mut options = OpenOptions::new();
        let mut file = options.read(true).write(true).create(true).truncate(false).open(path).map_err(io)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(io)?;
        if bytes.len() < FORMAT.len() && FORMAT.starts_with(&bytes) {
            // New, or its very first write was cut short.
            file.set_len(0).map_err(io)?;
            file.rewind().map_err(io)?;
            file.write_all(FORMAT).map_err(io)?;
            file.sync_all().map_err(io)?;
            bytes = FORMAT.to_vec();
        }
        if !bytes.starts_with(FORMAT) {
            return Err(LogError::Format(path.to_owned()));
        }
        let (changes, end) = read(path, &bytes)?;
        let torn = bytes.len() - end;
        if torn > 0 {
            file.set_len(end as u64).map_err(io)?;
            file.sync_all().map_err(io)?;
        }
        file.seek(SeekFrom::Start(end as u64)).map_err(io)?;
        let log = Log { path: path.to_owned(), file, bytes: end as u64 };
        Ok(OpenedLog { log, changes, truncated_bytes: torn })
    }

    /// Writes changes down, as one record that is there whole or not at all; on disk when this returns.
    ///
    /// # Errors
    /// What the file system says. The log is not to be written any more then: its end is not known.
    pub fn append(&mut self, changes: &[Change]) -> io::Result<()> {
        let bytes = record(changes)?;
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.bytes += bytes.len() as u64;
        Ok(())
    }

    /// Puts a new log of these changes in the place of this one, whole or not at all.
    ///
    /// # Errors
    /// What the file system says; the log, old or new, may be written on.
    pub fn rewrite(&mut self, changes: &[Change]) -> io::Result<()> {
        let folder = self.path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        let mut new = tempfile::NamedTempFile::new_in(folder)?;
        new.write_all(FORMAT)?;
        let mut bytes = FORMAT.len() as u64;
        for part in changes.chunks(CHUNK) {
            let part = record(part)?;
            new.write_all(&part)?;
            bytes += part.len() as u64;
        }
        new.as_file().sync_all()?;
        // From here on the new file is the log, whatever becomes of the folder's sync: the old one has no name any more.
        self.file = new.persist(&self.path).map_err(|e| e.error)?;
        self.bytes = bytes;
        File::open(folder)?.sync_all()
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
