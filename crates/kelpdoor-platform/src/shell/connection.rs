//! One connection: reads in turns of a limited size, passes on what it reads, writes what waits, and closes in order.

use std::cell::RefCell;
use std::io;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout, timeout_at};

use super::output::ConnectionOutput;

/// Bytes read from a socket at a time.
pub(super) const READ_SIZE: usize = 8 << 10;
/// Bytes that a connection's task reads in one turn; then all others get theirs.
pub(super) const TURN_BYTES: usize = READ_SIZE;
/// Bytes that are discarded before [`DISCARD_PAUSE`], so that peers that are turned away use little of the processor.
pub(super) const DISCARD_BURST: usize = 64 << 10;
/// Pause after [`DISCARD_BURST`], during which the peer is slowed down.
const DISCARD_PAUSE: Duration = Duration::from_millis(1);
/// Time that a peer gets to read its last answer before the connection is closed, as a close with unread
/// input resets the connection and the answer is lost.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(1000);

pub(super) enum ReadResult {
    Data(usize),
    Closed,
    WouldBlock,
}

pub(super) fn read(stream: &TcpStream, buf: &mut Vec<u8>) -> ReadResult {
    thread_local! {
        static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_SIZE]);
    }
    SCRATCH.with_borrow_mut(|scratch| match stream.try_read(scratch) {
        Ok(0) => ReadResult::Closed,
        Ok(n) => {
            buf.extend_from_slice(&scratch[..n]);
            ReadResult::Data(n)
        }
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => ReadResult::WouldBlock,
        Err(_) => ReadResult::Closed,
    })
}

/// What a connection's task may read before the others get a turn. `readable().await` followed by `try_read` takes no
/// part in Tokio's cooperative scheduling: while the peer keeps sending, a loop of the two never gives way, and no timer
/// around it fires.
struct TurnBudget {
    left: usize,
}

impl TurnBudget {
    fn new() -> Self {
        TurnBudget { left: TURN_BYTES }
    }

    /// Counts bytes that were read, and gives way to the other tasks once the budget is used up.
    async fn spend(&mut self, bytes: usize) {
        self.left = self.left.saturating_sub(bytes);
        if self.left == 0 {
            tokio::task::yield_now().await;
            self.left = TURN_BYTES;
        }
    }
}

/// Waits until the stream can be read; returns false at the deadline, whether or not it can be read.
async fn readable_before(stream: &TcpStream, deadline: Instant) -> bool {
    Instant::now() < deadline && matches!(timeout_at(deadline.into(), stream.readable()).await, Ok(Ok(())))
}

/// Reads and discards what the peer still sends, until it ends the connection or the deadline passes.
pub(super) async fn discard_input(stream: &TcpStream, deadline: Instant) {
    let mut buf = Vec::new();
    let mut burst = 0;
    while readable_before(stream, deadline).await {
        buf.clear();
        match read(stream, &mut buf) {
            ReadResult::Data(n) => burst += n,
            ReadResult::Closed => return,
            ReadResult::WouldBlock => {}
        }
        if burst >= DISCARD_BURST {
            sleep(DISCARD_PAUSE).await;
            burst = 0;
        }
    }
}

/// The event that woke a connection's task.
enum WakeReason {
    /// The stream can be read. The end of the peer's output may be known before the bytes ahead of it are read.
    Readable {
        peer_closed: bool,
    },
    Writable,
    Notified,
}

async fn wait_for_event(stream: &TcpStream, output: &ConnectionOutput) -> WakeReason {
    tokio::select! {
        biased;
        () = output.notify.notified() => WakeReason::Notified,
        _ = stream.writable(), if output.has_unsent() => WakeReason::Writable,
        ready = stream.ready(Interest::READABLE) => {
            WakeReason::Readable { peer_closed: ready.is_ok_and(|ready| ready.is_read_closed()) }
        }
    }
}

/// Serves one connection. `parse` removes complete messages from the buffer, passes them on, and returns
/// whether to continue; its second argument tells whether the peer has ended its output by now. With `read_to_end`, a connection that this side closes is read until the peer closes
/// it too, for up to LINGER_TIMEOUT. Returns whether the peer ended the connection.
pub(super) async fn serve_connection<F>(
    stream: &TcpStream, output: &ConnectionOutput, read_to_end: bool, mut parse: F,
) -> bool
where
    F: AsyncFnMut(&mut Vec<u8>, bool) -> bool,
{
    let mut buf = Vec::new();
    let mut input_closed = false;
    let mut turn = TurnBudget::new();
    loop {
        if output.aborted.get() {
            return true;
        }
        if output.closing.get() {
            // Limits the time that a peer that does not read can hold its connection.
            let flushed = async {
                while output.has_unsent() && stream.writable().await.is_ok() && output.flush(stream) {}
            };
            let _ = timeout(LINGER_TIMEOUT, flushed).await;
            if read_to_end && !input_closed && !output.has_unsent() {
                let _ = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write);
                let deadline = Instant::now() + LINGER_TIMEOUT;
                while readable_before(stream, deadline).await && !output.aborted.get() {
                    match read(stream, &mut buf) {
                        ReadResult::Data(n) => {
                            output.record_received(n);
                            if !parse(&mut buf, false).await {
                                break;
                            }
                            turn.spend(n).await;
                        }
                        ReadResult::Closed => break,
                        ReadResult::WouldBlock => {}
                    }
                }
            }
            return false;
        }
        let reason = if input_closed {
            tokio::select! {
                () = output.notify.notified() => WakeReason::Notified,
                _ = stream.writable(), if output.has_unsent() => WakeReason::Writable,
            }
        } else {
            wait_for_event(stream, output).await
        };
        match reason {
            WakeReason::Notified => {}
            WakeReason::Writable => {
                if !output.flush(stream) {
                    return true;
                }
            }
            WakeReason::Readable { peer_closed } => match read(stream, &mut buf) {
                ReadResult::Data(n) => {
                    output.record_received(n);
                    input_closed = !parse(&mut buf, peer_closed).await;
                    turn.spend(n).await;
                }
                ReadResult::Closed => return true,
                ReadResult::WouldBlock => {}
            },
        }
    }
}

/// Runs a connection's task; a panic in it closes that connection only.
pub(super) async fn catch_panic(task: impl Future<Output = ()>) {
    if AssertUnwindSafe(task).catch_unwind().await.is_err() {
        tracing::error!("connection task panicked; closing the connection");
    }
}

/// Lets the peer read its last answer, and discards what it still sends.
pub(super) async fn linger(stream: Rc<TcpStream>, lingering: Rc<Semaphore>) {
    let Ok(_held) = lingering.try_acquire() else { return };
    let socket = socket2::SockRef::from(&*stream);
    let _ = socket.shutdown(std::net::Shutdown::Write);
    discard_input(&stream, Instant::now() + LINGER_TIMEOUT).await;
}
