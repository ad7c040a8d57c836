//! The sending side of a connection: what its socket has not taken yet, within limits, and how it is to be closed.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::core::SessionEnd;

/// Maximum unsent bytes per peer; a peer that does not read is cut off beyond it.
pub(super) const MAX_UNSENT_BYTES: usize = 128 << 10;

/// Sums over the sockets of all peers.
#[derive(Clone)]
pub(super) struct SocketTotals {
    pub(super) unsent: Rc<Cell<usize>>,
    max_unsent: usize,
    /// Bytes received since the start.
    pub(super) received: Rc<Cell<u64>>,
}

impl SocketTotals {
    pub(super) fn new(max_unsent: usize) -> Self {
        SocketTotals { unsent: Rc::default(), max_unsent, received: Rc::default() }
    }
}

/// The sending side of a connection: its unsent bytes, and how it is to be closed.
pub(super) struct ConnectionOutput {
    pub(super) stream: RefCell<Option<Rc<TcpStream>>>,
    unsent: RefCell<Vec<u8>>,
    totals: SocketTotals,
    /// Bytes that the socket accepted so far.
    accepted: Cell<u64>,
    /// Reports of ends that are not accepted yet, with the position of their last byte.
    unaccepted_ends: RefCell<VecDeque<(u64, SessionEnd)>>,
    pub(super) closing: Cell<bool>,
    pub(super) aborted: Cell<bool>,
    pub(super) notify: Notify,
}

impl ConnectionOutput {
    pub(super) fn new(stream: Option<Rc<TcpStream>>, totals: SocketTotals) -> Rc<Self> {
        Rc::new(ConnectionOutput {
            stream: RefCell::new(stream),
            unsent: RefCell::default(),
            totals,
            accepted: Cell::new(0),
            unaccepted_ends: RefCell::default(),
            closing: Cell::new(false),
            aborted: Cell::new(false),
            notify: Notify::new(),
        })
    }

    /// Writes what the socket takes now and keeps the rest, within the limits.
    pub(super) fn write(&self, bytes: &[u8]) {
        let mut unsent = self.unsent.borrow_mut();
        let mut from = 0;
        if unsent.is_empty()
            && let Some(stream) = &*self.stream.borrow()
        {
            from = stream.try_write(bytes).unwrap_or(0);
            self.record_accepted(from);
        }
        if from < bytes.len() {
            let (rest, all) = (&bytes[from..], self.totals.unsent.get());
            if unsent.len() + rest.len() > MAX_UNSENT_BYTES || all + rest.len() > self.totals.max_unsent {
                self.aborted.set(true);
            } else {
                unsent.extend_from_slice(rest);
                self.totals.unsent.set(all + rest.len());
            }
            self.notify.notify_one();
        }
    }

    /// Writes the report of a session's end, and keeps the end until the socket has accepted all of it.
    pub(super) fn write_end(&self, bytes: &[u8], end: SessionEnd) {
        let position = self.accepted.get() + (self.unsent.borrow().len() + bytes.len()) as u64;
        self.write(bytes);
        if self.accepted.get() < position {
            self.unaccepted_ends.borrow_mut().push_back((position, end));
        }
    }

    fn record_accepted(&self, bytes: usize) {
        let accepted = self.accepted.get() + bytes as u64;
        self.accepted.set(accepted);
        let mut ends = self.unaccepted_ends.borrow_mut();
        while ends.front().is_some_and(|(position, _)| *position <= accepted) {
            ends.pop_front();
        }
    }

    /// The ends whose reports the socket has not accepted.
    pub(super) fn take_unaccepted_ends(&self) -> Vec<SessionEnd> {
        self.unaccepted_ends.take().into_iter().map(|(_, end)| end).collect()
    }

    /// Writes pending bytes; returns whether the connection is still usable.
    pub(super) fn flush(&self, stream: &TcpStream) -> bool {
        let mut unsent = self.unsent.borrow_mut();
        match stream.try_write(&unsent) {
            Ok(n) => {
                consume(&mut unsent, n);
                self.record_accepted(n);
                self.totals.unsent.set(self.totals.unsent.get() - n);
                true
            }
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        }
    }

    pub(super) fn record_received(&self, bytes: usize) {
        self.totals.received.set(self.totals.received.get() + bytes as u64);
    }

    pub(super) fn has_unsent(&self) -> bool {
        !self.unsent.borrow().is_empty()
    }

    pub(super) fn close(&self) {
        self.closing.set(true);
        self.notify.notify_one();
    }

    /// Closes the connection and discards unsent bytes.
    pub(super) fn abort(&self) {
        if let Some(stream) = &*self.stream.borrow() {
            let _ = stream.set_zero_linger();
        }
        self.aborted.set(true);
        self.close();
    }

    pub(super) async fn closed(&self) {
        while !self.closing.get() {
            self.notify.notified().await;
        }
    }
}

impl Drop for ConnectionOutput {
    fn drop(&mut self) {
        self.totals.unsent.set(self.totals.unsent.get() - self.unsent.borrow().len());
    }
}

/// Removes the first `n` bytes, and frees the memory once nothing is left.
fn consume(buf: &mut Vec<u8>, n: usize) {
    if n == buf.len() {
        *buf = Vec::new();
    } else {
        buf.drain(..n);
    }
}
