//! From the director's orders to the wire's actions.

use kelpdoor::Orders;
use kelpdoor::ids::{NodeId, SessId};

const RECORD: usize = 24;
const HEADER: usize = 12;
/// The reference that all wake-ups carry: the director tells them apart by the clock.
const WAKE: u32 = 1;

/// A reply in the making.
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
    tail: Vec<u8>,
}

impl Reply {
    pub fn new(number: u32) -> Self {
        let mut bytes = Vec::with_capacity(HEADER + 16 * RECORD);
        bytes.extend_from_slice(&number.to_le_bytes());
        bytes.resize(HEADER, 0);
        Reply { bytes, records: 0, tail: Vec::new() }
    }

    /// What follows is for that instance.
    pub fn open(&mut self, instance: u32) {
        self.record(270, &[&instance.to_le_bytes()]);
    }

    pub fn finish(mut self) -> Vec<u8> {
        self.bytes.append(&mut self.tail);
        let len = self.bytes.len() as u32;
        self.bytes[4..8].copy_from_slice(&len.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&self.records.to_le_bytes());
        self.bytes
    }

    /// Puts bytes into the tail; where they start and how many they are.
    fn in_tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let (start, len) = (self.tail.len() as u32, bytes.len() as u32);
        self.tail.extend_from_slice(bytes);
        let mut field = [0; 8];
        field[..4].copy_from_slice(&start.to_le_bytes());
        field[4..].copy_from_slice(&len.to_le_bytes());
        field
    }

    fn record(&mut self, code: u16, fields: &[&[u8]]) {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(&code.to_le_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
        self.bytes.resize(start + RECORD, 0);
        self.records += 1;
    }
}

fn ms(seconds: f64) -> [u8; 8] {
    (seconds * 1000.0).to_le_bytes()
}

impl Orders for Reply {
    fn set_rung(&mut self, sess: SessId, rung: u8) {
        self.record(268, &[&sess.0.to_le_bytes(), &[rung]]);
    }

    fn send_setup(&mut self, sess: SessId, node: NodeId, wait: Option<f64>) {
        let wait = ms(wait.unwrap_or(0.0));
        self.record(256, &[&sess.0.to_le_bytes(), &node.0.to_le_bytes(), &wait]);
    }

    fn withdraw(&mut self, sess: SessId, setup: u8) {
        self.record(259, &[&sess.0.to_le_bytes(), &[setup]]);
    }

    fn reply_busy(&mut self, sess: SessId, come_back: Option<f64>) {
        self.record(257, &[&sess.0.to_le_bytes(), &ms(come_back.unwrap_or(0.0))]);
    }

    fn reply_failed(&mut self, sess: SessId) {
        self.record(258, &[&sess.0.to_le_bytes()]);
    }

    fn shift(&mut self, sess: SessId) {
        self.record(269, &[&sess.0.to_le_bytes()]);
    }

    fn subscribe(&mut self, on: bool) {
        self.record(266, &[&[on.into()]]);
    }

    fn fetch_list(&mut self) {
        self.record(267, &[]);
    }

    fn probe(&mut self, node: NodeId) {
        self.record(261, &[&node.0.to_le_bytes()]);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.record(262, &[&node.0.to_le_bytes()]);
    }

    fn send_message(&mut self, director: Option<u16>, message: &[u8]) {
        let field = self.in_tail(message);
        self.record(263, &[&director.unwrap_or(u16::MAX).to_le_bytes(), &field]);
    }

    fn log(&mut self, line: &str) {
        let field = self.in_tail(line.as_bytes());
        self.record(264, &[&field]);
    }

    fn report_fault(&mut self, why: &str) {
        let field = self.in_tail(why.as_bytes());
        self.record(265, &[&field]);
    }

    fn wake_after(&mut self, after: f64) {
        self.record(260, &[&ms(after), &WAKE.to_le_bytes()]);
    }
}

#[cfg(test)]
mod tests;
