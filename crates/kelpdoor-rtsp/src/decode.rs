//! Splits a stream of bytes into messages. What was searched or parsed is not looked at again, so that the work is linear in
//! the bytes received, however they are split.

use crate::message::{Message, Version};
use crate::parse::{Head, ParseError, check_empty_lines, find_head_end, leading_empty_lines};

/// Decodes the messages on one connection. It buffers at most one incomplete message and the bytes pushed after it.
pub struct MessageDecoder {
    version: Version,
    buffer: Vec<u8>,
    /// Bytes at the start of `buffer` that are decoded already.
    decoded: usize,
    /// Bytes after them in which the end of the head does not begin.
    searched: usize,
    /// Bytes of empty lines since the last message.
    empty_lines: usize,
    /// The head of the message whose body is incomplete.
    head: Option<Head>,
}

impl MessageDecoder {
    pub fn new(version: Version) -> Self {
        MessageDecoder { version, buffer: Vec::new(), decoded: 0, searched: 0, empty_lines: 0, head: None }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes that are buffered.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Decodes the next message; `None` if it is incomplete. Empty lines before a message are skipped (section 5), up to the
    /// limit on its head.
    ///
    /// # Errors
    /// A [`ParseError`] if the bytes are not a message; the caller closes the connection.
    pub fn next_message(&mut self) -> Result<Option<Message>, ParseError> {
        if self.head.is_none() && !self.decode_head()? {
            self.discard_decoded();
            return Ok(None);
        }
        let end = self.head.as_ref().map_or(0, |head| self.decoded + head.body_len);
        let Some(body) = self.buffer.get(self.decoded..end).map(<[u8]>::to_vec) else {
            self.discard_decoded();
            return Ok(None);
        };
        self.decoded = end;
        Ok(self.head.take().map(|head| head.into_message(body)))
    }

    /// Decodes the head of the next message; returns whether it is complete.
    fn decode_head(&mut self) -> Result<bool, ParseError> {
        if self.searched == 0 {
            let skipped = leading_empty_lines(&self.buffer[self.decoded..]);
            self.decoded += skipped;
            self.empty_lines += skipped;
            check_empty_lines(self.version, self.empty_lines)?;
        }
        let rest = &self.buffer[self.decoded..];
        let Some(len) = find_head_end(self.version, rest, self.searched)? else {
            // The end may begin with the last three bytes.
            self.searched = rest.len().saturating_sub(3);
            return Ok(false);
        };
        self.head = Some(Head::parse(self.version, &rest[..len])?);
        self.decoded += len;
        (self.searched, self.empty_lines) = (0, 0);
        Ok(true)
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
