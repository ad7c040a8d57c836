//! Frames: a header, records of a fixed size, a tail. Little-endian throughout.

use std::io::Read;

use anyhow::{Context, Result, bail, ensure};

pub const HEADER: usize = 20;
pub const EVENT: usize = 64;

pub struct Head {
    pub number: u32,
    pub clock_ms: f64,
    pub records: usize,
}

/// Reads a frame's body into `buf`, growing it only as bytes come in; `None` at the end of input.
pub fn next(input: &mut impl Read, buf: &mut Vec<u8>) -> Result<Option<Head>> {
    buf.clear();
    input.take(HEADER as u64).read_to_end(buf).context("reading a header")?;
    if buf.is_empty() {
        return Ok(None);
    }
    ensure!(buf.len() == HEADER, "the input ends inside a header, after {} bytes", buf.len());
    let head = Bytes(buf);
    let (number, len) = (head.u32(0)?, head.u32(4)? as usize);
    let (clock_ms, records) = (head.f64(8)?, head.u32(16)? as usize);
    ensure!(len >= HEADER, "batch {number}: a length of {len} bytes is shorter than a header");
    ensure!(clock_ms.is_finite(), "batch {number}: the clock is not a number");
    let body = len - HEADER;
    buf.clear();
    input.take(body as u64).read_to_end(buf).with_context(|| format!("reading batch {number}"))?;
    ensure!(buf.len() == body, "batch {number}: the input ends after {} of {body} bytes", buf.len());
    let most = body / EVENT;
    if records > most {
        bail!("batch {number}: {records} records do not fit in {body} bytes");
    }
    Ok(Some(Head { number, clock_ms, records }))
}

/// Reads fixed fields out of a slice.
pub struct Bytes<'a>(pub &'a [u8]);

impl<'a> Bytes<'a> {
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
