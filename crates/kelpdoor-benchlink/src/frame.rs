//! Framing of the input: batches of a header, fixed-size event records, and a tail of variable-length data. All numbers are
//! little-endian.

use std::io::Read;

use anyhow::{Context, Result, bail, ensure};

/// Size of a batch header, in bytes.
pub const HEADER_SIZE: usize = 20;
/// Size of an event record, in bytes.
pub const RECORD_SIZE: usize = 64;

/// The header of a batch.
pub struct BatchHeader {
    pub number: u32,
    pub clock_ms: f64,
    /// Number of event records; they fit in the body.
    pub records: usize,
}

/// Reads a batch. Its body goes into `buf`, which grows only as bytes arrive, whatever length the header claims. Returns
/// `None` at the end of the input.
///
/// # Errors
///
/// If the input ends inside the batch or the header is invalid.
pub fn read_batch(input: &mut impl Read, buf: &mut Vec<u8>) -> Result<Option<BatchHeader>> {
    buf.clear();
    input.take(HEADER_SIZE as u64).read_to_end(buf).context("reading a header")?;
    if buf.is_empty() {
        return Ok(None);
    }
    ensure!(buf.len() == HEADER_SIZE, "the input ends inside a header, after {} bytes", buf.len());
    let header = FieldReader(buf);
    let (number, len) = (header.u32(0)?, header.u32(4)? as usize);
    let (clock_ms, records) = (header.f64(8)?, header.u32(16)? as usize);
    ensure!(len >= HEADER_SIZE, "batch {number}: a length of {len} bytes is shorter than a header");
    ensure!(clock_ms.is_finite(), "batch {number}: the clock is not a number");
    let body = len - HEADER_SIZE;
    buf.clear();
    input.take(body as u64).read_to_end(buf).with_context(|| format!("reading batch {number}"))?;
    ensure!(buf.len() == body, "batch {number}: the input ends after {} of {body} bytes", buf.len());
    let max_records = body / RECORD_SIZE;
    if records > max_records {
        bail!("batch {number}: {records} records do not fit in {body} bytes");
    }
    Ok(Some(BatchHeader { number, clock_ms, records }))
}

/// Reads little-endian fields at byte offsets of a slice. Reads outside the slice are errors.
pub struct FieldReader<'a>(pub &'a [u8]);

impl<'a> FieldReader<'a> {
    /// Returns `len` bytes from offset `at`.
    pub fn slice(&self, at: usize, len: usize) -> Result<&'a [u8]> {
        at.checked_add(len)
            .and_then(|end| self.0.get(at..end))
            .with_context(|| format!("bytes {at} + {len} lie outside {} bytes", self.0.len()))
    }

    fn fixed<const N: usize>(&self, at: usize) -> Result<[u8; N]> {
        Ok(self.slice(at, N)?.try_into()?)
    }

    pub fn u8(&self, at: usize) -> Result<u8> {
        Ok(self.fixed::<1>(at)?[0])
    }

    pub fn u16(&self, at: usize) -> Result<u16> {
        Ok(u16::from_le_bytes(self.fixed(at)?))
    }

    pub fn u32(&self, at: usize) -> Result<u32> {
        Ok(u32::from_le_bytes(self.fixed(at)?))
    }

    pub fn u64(&self, at: usize) -> Result<u64> {
        Ok(u64::from_le_bytes(self.fixed(at)?))
    }

    pub fn f32(&self, at: usize) -> Result<f64> {
        Ok(f32::from_le_bytes(self.fixed(at)?).into())
    }

    pub fn f64(&self, at: usize) -> Result<f64> {
        Ok(f64::from_le_bytes(self.fixed(at)?))
    }
}
