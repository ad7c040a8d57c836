//! Splits a stream of bytes into lines. What was searched is not looked at again, so that the work is linear in the bytes
//! received, however they are split.

/// A line exceeds the size limit; nothing after it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineTooLong;

/// Decodes the lines on one connection. It buffers at most one incomplete line and the bytes pushed after it.
pub struct LineDecoder {
    /// Maximum size of a line in bytes, including its line feed.
    max_line: usize,
    buffer: Vec<u8>,
    /// Bytes at the start of `buffer` that are decoded already.
    decoded: usize,
    /// Bytes after them that have no line feed.
    searched: usize,
}

impl LineDecoder {
    pub fn new(max_line: usize) -> Self {
        LineDecoder { max_line, buffer: Vec::new(), decoded: 0, searched: 0 }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next line without its line feed; `None` if it is incomplete.
    ///
    /// # Errors
    /// If the line is too long, complete or not; the buffer is empty then.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, LineTooLong> {
        let start = self.decoded;
        let rest = &self.buffer[start..];
        let end = rest[self.searched..].iter().position(|&b| b == b'\n').map(|at| self.searched + at);
        if end.unwrap_or(rest.len()) >= self.max_line {
            *self = LineDecoder::new(self.max_line);
            return Err(LineTooLong);
        }
        let Some(len) = end else {
            self.searched = rest.len();
            self.discard_decoded();
            return Ok(None);
        };
        (self.decoded, self.searched) = (start + len + 1, 0);
        Ok(Some(&self.buffer[start..start + len]))
    }

    /// Removes the decoded bytes, and frees the memory once nothing is left.
    fn discard_decoded(&mut self) {
        if self.decoded == self.buffer.len() {
            self.buffer = Vec::new();
        } else {
            self.buffer.drain(..self.decoded);
        }
        self.decoded = 0;
    }
}

#[cfg(test)]
mod tests;
