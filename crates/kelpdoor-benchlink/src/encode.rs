//! Encodes the director's orders as the wire's action records.

use kelpdoor::Orders;
use kelpdoor::ids::{NodeId, SessId};

/// Size of an action record, in bytes.
const RECORD_SIZE: usize = 24;
/// Size of a reply's header, in bytes.
const HEADER_SIZE: usize = 12;
/// Reference that every wake-up carries. One value suffices, as the director tells wake-ups apart by the clock.
const WAKE_REFERENCE: u32 = 1;

/// A reply to a batch, under construction.
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
    tail: Vec<u8>,
}

impl Reply {
    pub fn new(number: u32) -> Self {
        let mut bytes = Vec::with_capacity(HEADER_SIZE + 16 * RECORD_SIZE);
        bytes.extend_from_slice(&number.to_le_bytes());
        bytes.resize(HEADER_SIZE, 0);
        Reply { bytes, records: 0, tail: Vec::new() }
    }

    /// Starts the actions of an instance: those that follow are for it.
    pub fn start_instance(&mut self, instance: u32) {
        self.push_record(270, &[&instance.to_le_bytes()]);
    }

    /// Completes the header and returns the reply's bytes.
    pub fn finish(mut self) -> Vec<u8> {
        self.bytes.append(&mut self.tail);
        let len = self.bytes.len() as u32;
        self.bytes[4..8].copy_from_slice(&len.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&self.records.to_le_bytes());
        self.bytes
    }

    /// Appends bytes to the tail. Returns the field that refers to them: their offset in the tail and their length.
    fn append_to_tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let (start, len) = (self.tail.len() as u32, bytes.len() as u32);
        self.tail.extend_from_slice(bytes);
        let mut field = [0; 8];
        field[..4].copy_from_slice(&start.to_le_bytes());
        field[4..].copy_from_slice(&len.to_le_bytes());
        field
    }

    /// Appends an action record, padded with zeros.
    fn push_record(&mut self, code: u16, fields: &[&[u8]]) {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(&code.to_le_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
        self.bytes.resize(start + RECORD_SIZE, 0);
        self.records += 1;
    }
}

/// Converts seconds to the wire's milliseconds.
fn encode_ms(seconds: f64) -> [u8; 8] {
    (seconds * 1000.0).to_le_bytes()
}

impl Orders for Reply {
    fn set_rung(&mut self, sess: SessId, rung: u8) {
        self.push_record(268, &[&sess.0.to_le_bytes(), &[rung]]);
    }

    fn send_setup(&mut self, sess: SessId, node: NodeId, wait: Option<f64>) {
        let wait = encode_ms(wait.unwrap_or(0.0));
        self.push_record(256, &[&sess.0.to_le_bytes(), &node.0.to_le_bytes(), &wait]);
    }

    fn withdraw(&mut self, sess: SessId, setup: u8) {
        self.push_record(259, &[&sess.0.to_le_bytes(), &[setup]]);
    }

    fn reply_busy(&mut self, sess: SessId, come_back: Option<f64>) {
        self.push_record(257, &[&sess.0.to_le_bytes(), &encode_ms(come_back.unwrap_or(0.0))]);
    }

    fn reply_failed(&mut self, sess: SessId) {
        self.push_record(258, &[&sess.0.to_le_bytes()]);
    }

    fn shift(&mut self, sess: SessId) {
        self.push_record(269, &[&sess.0.to_le_bytes()]);
    }

    fn subscribe(&mut self, on: bool) {
        self.push_record(266, &[&[on.into()]]);
    }

    fn fetch_list(&mut self) {
        self.push_record(267, &[]);
    }

    fn probe(&mut self, node: NodeId) {
        self.push_record(261, &[&node.0.to_le_bytes()]);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.push_record(262, &[&node.0.to_le_bytes()]);
    }

    fn send_message(&mut self, director: Option<u16>, message: &[u8]) {
        let field = self.append_to_tail(message);
        self.push_record(263, &[&director.unwrap_or(u16::MAX).to_le_bytes(), &field]);
    }

    fn log(&mut self, line: &str) {
        let field = self.append_to_tail(line.as_bytes());
        self.push_record(264, &[&field]);
    }

    fn report_fault(&mut self, why: &str) {
        let field = self.append_to_tail(why.as_bytes());
        self.push_record(265, &[&field]);
    }

    fn wake_after(&mut self, after: f64) {
        self.push_record(260, &[&encode_ms(after), &WAKE_REFERENCE.to_le_bytes()]);
    }
}

#[cfg(test)]
mod tests;
