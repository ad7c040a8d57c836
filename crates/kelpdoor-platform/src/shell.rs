//! The shell: sockets, timers and signals round an [`Exchange`], on one thread. It stamps what comes in, calls the exchange
//! once a batch, and carries out what that says, in its order: what is written to a socket that takes it is written at once.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures_util::{FutureExt, StreamExt, stream};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use kelpdoor_clock::SlewedClock;
use kelpdoor_parts::{CATCH_UP_TIME, was_paused};
use kelpdoor_rtsp::{Message, Version, parse_as};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

use crate::changes::parse_event;
use crate::core::{ConnectFailure, Effect, Input, MEMORY_DIVISOR, SessionCore};
use crate::startup::StartupConfig;
use crate::viewer::{self, MAX_LINE};

/// Inputs waiting for the exchange at most, of 16 KiB each; readers wait beyond it, and so do their peers.
const INPUTS: usize = 256;
/// Inputs taken into one round at most, and of the memory for what they hold: who sends hundreds of set-ups and takes them
/// back at once has none of them sent on.
const BATCH: usize = 1024;
const BATCH_PART: usize = 16;
/// Read from one socket at a time, so that a peer at full speed leaves room for others.
const READ: usize = 8 << 10;
/// Bytes that wait for a peer that does not read; beyond it, it is cut off.
const PENDING: usize = 128 << 10;
/// An answer before a close gets so long to be read, or the close would reset the connection and lose it.
const LINGER: Duration = Duration::from_millis(1000);
/// Connections that linger at a time; more are cut at once.
const LINGERING: usize = 12;
/// Connections accepted beyond those that are held, so that a newcomer can take another's place.
const NEWCOMERS: usize = 4;
/// How long a newcomer beyond that waits before it is looked at again.
const CROWDED: Duration = Duration::from_millis(2);
/// A wait after the system refused a new connection, as for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);
/// The change log sends something each second: one that is silent for longer is asked anew.
const FEED_SILENCE: Duration = Duration::from_millis(1600);
const FEED_CONNECT: Duration = Duration::from_millis(700);
/// Wait before the change log is asked again, at first and at most.
const FEED_WAIT: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// Bytes of the change log without an event in them at most.
const FEED_EVENT: usize = 8 << 20;
/// After the signal to end, set-ups are served for so long yet: what comes later has to be answered before the process is
/// killed, so it is refused at once. Once none came for a while and none is open or in line, viewers' connections are closed,
/// and what crosses that and is sent again, which takes a viewer 50 ms at most, is refused; then the process ends. After a
/// longer while it does so even if set-ups keep coming. Ends that no connection is open for are not waited for: viewers open
/// none any more by then, while sessions go on ending.
const LAST_SETUPS: Duration = Duration::from_millis(700);
const LAST_QUIET: Duration = Duration::from_millis(150);
const LAST_WORDS: Duration = Duration::from_millis(3000);
/// Turns that readers get before a round, at least and at most: in the first what came is seen, in the second it is read;
/// further ones while something comes.
const LOOKS: (u32, u32) = (2, 16);
/// Lines of the log a second at most.
const LINES: u32 = 40;

type Came = (Instant, Input);

/// What waits for all peers together, and its bound.
#[derive(Clone)]
struct Backlog {
    bytes: Rc<Cell<usize>>,
    most: usize,
}

/// Bytes on their way to a peer, and how its connection is to end.
struct Pipe {
    stream: RefCell<Option<Rc<TcpStream>>>,
    pending: RefCell<Vec<u8>>,
    backlog: Backlog,
    closing: Cell<bool>,
    cut: Cell<bool>,
    notify: Notify,
}

impl Pipe {
    fn new(stream: Option<Rc<TcpStream>>, backlog: Backlog) -> Rc<Self> {
        Rc::new(Pipe {
            stream: RefCell::new(stream),
            pending: RefCell::default(),
            backlog,
            closing: Cell::new(false),
            cut: Cell::new(false),
            notify: Notify::new(),
        })
    }

    /// Writes what the socket takes now; the rest waits, within its bound.
    fn write(&self, bytes: &[u8]) {
        let mut pending = self.pending.borrow_mut();
        let mut from = 0;
        if pending.is_empty()
            && let Some(stream) = &*self.stream.borrow()
        {
            from = stream.try_write(bytes).unwrap_or(0);
        }
        if from < bytes.len() {
            let (rest, all) = (&bytes[from..], self.backlog.bytes.get());
            if pending.len() + rest.len() > PENDING || all + rest.len() > self.backlog.most {
                self.cut.set(true);
            } else {
                pending.extend_from_slice(rest);
                self.backlog.bytes.set(all + rest.len());
            }
            self.notify.notify_one();
        }
    }

    /// Whether the connection still takes bytes.
    fn flush(&self, stream: &TcpStream) -> bool {
        let mut pending = self.pending.borrow_mut();
        match stream.try_write(&pending) {
            Ok(n) => {
                used(&mut pending, n);
                self.backlog.bytes.set(self.backlog.bytes.get() - n);
                true
            }
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        }
    }

    fn waits(&self) -> bool {
        !self.pending.borrow().is_empty()
    }

    fn close(&self) {
        self.closing.set(true);
        self.notify.notify_one();
    }

    /// Ends the connection without what is still on its way.
    fn abort(&self) {
        if let Some(stream) = &*self.stream.borrow() {
            let _ = stream.set_zero_linger();
        }
        self.cut.set(true);
        self.close();
    }

    async fn closed(&self) {
        while !self.closing.get() {
            self.notify.notified().await;
        }
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        self.backlog.bytes.set(self.backlog.bytes.get() - self.pending.borrow().len());
    }
}

enum Read {
    Some,
    Over,
    Nothing,
}

fn read(stream: &TcpStream, buf: &mut Vec<u8>) -> Read {
    thread_local! {
        static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ]);
    }
    SCRATCH.with_borrow_mut(|scratch| match stream.try_read(scratch) {
        Ok(0) => Read::Over,
        Ok(n) => {
            buf.extend_from_slice(&scratch[..n]);
            Read::Some
        }
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Read::Nothing,
        Err(_) => Read::Over,
    })
}

/// Drops what was used, and the memory with it once nothing is left.
fn used(buf: &mut Vec<u8>, n: usize) {
    if n == buf.len() {
        *buf = Vec::new();
    } else {
        buf.drain(..n);
    }
}

/// What a connection's task waited for.
enum Woken {
    Readable,
    Writable,
    Told,
}

async fn woken(stream: &TcpStream, pipe: &Pipe) -> Woken {
    tokio::select! {
        biased;
        () = pipe.notify.notified() => Woken::Told,
        _ = stream.writable(), if pipe.waits() => Woken::Writable,
        _ = stream.readable() => Woken::Readable,
    }
}

/// Serves one connection: `take` reads what is whole off the buffer and passes it on, and says whether to go on. With
/// `to_its_end`, one that we close is read until the peer closes it too, for a while. Returns whether the end is the peer's.
async fn serve<F>(stream: &TcpStream, pipe: &Pipe, to_its_end: bool, mut take: F) -> bool
where
    F: AsyncFnMut(&mut Vec<u8>) -> bool,
{
    let mut buf = Vec::new();
    let mut deaf = false;
    loop {
        if pipe.cut.get() {
            return true;
        }
        if pipe.closing.get() {
            // A peer that does not read holds its connection for no longer.
            let flushed =
                async { while pipe.waits() && stream.writable().await.is_ok() && pipe.flush(stream) {} };
            let _ = timeout(LINGER, flushed).await;
            if to_its_end && !deaf && !pipe.waits() {
                let _ = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write);
                let rest = async {
                    while stream.readable().await.is_ok() && !pipe.cut.get() {
                        match read(stream, &mut buf) {
                            Read::Some if !take(&mut buf).await => break,
                            Read::Over => break,
                            Read::Some | Read::Nothing => {}
                        }
                    }
                };
                let _ = timeout(LINGER, rest).await;
            }
            return false;
        }
        let woken = if deaf {
            tokio::select! {
                () = pipe.notify.notified() => Woken::Told,
                _ = stream.writable(), if pipe.waits() => Woken::Writable,
            }
        } else {
            woken(stream, pipe).await
        };
        match woken {
            Woken::Told => {}
            Woken::Writable => {
                if !pipe.flush(stream) {
                    return true;
                }
            }
            Woken::Readable => match read(stream, &mut buf) {
                Read::Some => deaf = !take(&mut buf).await,
                Read::Over => return true,
                Read::Nothing => {}
            },
        }
    }
}

/// Runs a connection's task; a fault in it costs that connection alone.
async fn guarded(task: impl Future<Output = ()>) {
    if AssertUnwindSafe(task).catch_unwind().await.is_err() {
        tracing::error!("a connection's task failed; the connection is closed");
    }
}

/// Lets the peer read the last words, passing over what it still sends.
async fn linger(stream: Rc<TcpStream>, lingering: Rc<Semaphore>) {
    let Ok(_held) = lingering.try_acquire() else { return };
    let socket = socket2::SockRef::from(&*stream);
    let _ = socket.shutdown(std::net::Shutdown::Write);
    let drain = async {
        let mut buf = Vec::new();
        while stream.readable().await.is_ok() {
            buf.clear();
            if matches!(read(&stream, &mut buf), Read::Over) {
                break;
            }
        }
    };
    let _ = timeout(LINGER, drain).await;
}

async fn viewer(
    conn: u64, stream: Rc<TcpStream>, pipe: Rc<Pipe>, to: mpsc::Sender<Came>, lingering: Rc<Semaphore>,
) {
    let _ = to.send((Instant::now(), Input::ViewerConnected { conn })).await;
    let lost = serve(&stream, &pipe, false, async |buf: &mut Vec<u8>| {
        let came = Instant::now();
        let mut from = 0;
        while let Some(end) = buf[from..].iter().position(|&b| b == b'\n') {
            let line = &buf[from..from + end];
            from += end + 1;
            if end >= MAX_LINE {
                let _ = to.send((came, Input::ViewerLineTooLong { conn })).await;
                return false;
            }
            let message = viewer::parse(line);
            if to.send((came, Input::ViewerMessage { conn, message })).await.is_err() {
                return false;
            }
        }
        used(buf, from);
        if buf.len() >= MAX_LINE {
            *buf = Vec::new();
            let _ = to.send((came, Input::ViewerLineTooLong { conn })).await;
            return false;
        }
        true
    })
    .await;
    if !lost {
        linger(stream, lingering).await;
    }
}

/// What a connection that did not come up tells of its node.
fn failed(e: Option<&io::Error>) -> ConnectFailure {
    match e {
        Some(e) if e.kind() == io::ErrorKind::ConnectionRefused => ConnectFailure::Refused,
        Some(e)
            if matches!(
                e.raw_os_error(),
                Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL)
            ) =>
        {
            ConnectFailure::LocalResources
        }
        _ => ConnectFailure::Unreachable,
    }
}

async fn link(link: u64, address: SocketAddr, wait: Duration, pipe: Rc<Pipe>, to: mpsc::Sender<Came>) {
    let connected = tokio::select! {
        connected = timeout(wait, TcpStream::connect(address)) => connected,
        () = pipe.closed() => return,
    };
    let stream = match connected {
        Ok(Ok(stream)) => Rc::new(stream),
        other => {
            let e = other.ok().and_then(Result::err);
            let silent = || format!("no connection within {} ms", wait.as_millis());
            let why = e.as_ref().map_or_else(silent, io::Error::to_string);
            let failed = Input::LinkFailed { link, failure: failed(e.as_ref()), why };
            let _ = to.send((Instant::now(), failed)).await;
            return;
        }
    };
    let _ = stream.set_nodelay(true);
    *pipe.stream.borrow_mut() = Some(stream.clone());
    let _ = to.send((Instant::now(), Input::LinkConnected { link })).await;
    serve(&stream, &pipe, true, async |buf: &mut Vec<u8>| {
        let came = Instant::now();
        let mut from = 0;
        loop {
            match parse_as(Version::V1, &buf[from..]) {
                Ok(Some((message, len))) => {
                    from += len;
                    if to.send((came, Input::NodeMessage { link, message })).await.is_err() {
                        return false;
                    }
                }
                Ok(None) => break,
                Err(e) => {
                    *buf = Vec::new();
                    let _ = to.send((came, Input::LinkCorrupted { link, why: e.to_string() })).await;
                    return false;
                }
            }
        }
        used(buf, from);
        true
    })
    .await;
}

async fn accept(
    listener: TcpListener, most: usize, backlog: Backlog, pipes: Pipes, to: mpsc::Sender<Came>,
    lingering: Rc<Semaphore>,
) {
    let mut conn = 0;
    loop {
        while pipes.borrow().len() >= most + LINGERING + NEWCOMERS {
            sleep(CROWDED).await;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => Rc::new(stream),
            Err(_) => {
                sleep(ACCEPT_AGAIN).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        conn += 1;
        let pipe = Pipe::new(Some(stream.clone()), backlog.clone());
        pipes.borrow_mut().insert(conn, pipe.clone());
        let (pipes, to, lingering) = (pipes.clone(), to.clone(), lingering.clone());
        spawn_local(async move {
            guarded(viewer(conn, stream, pipe, to.clone(), lingering)).await;
            pipes.borrow_mut().remove(&conn);
            let _ = to.send((Instant::now(), Input::ViewerDisconnected { conn })).await;
        });
    }
}

/// Reads one stream of the change log until it ends, falls silent or cannot be read; says why.
async fn listen(at: SocketAddr, last: &mut u64, failed: &mut Option<u64>, to: &mpsc::Sender<Came>) -> String {
    let stream = match timeout(FEED_CONNECT, TcpStream::connect(at)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return e.to_string(),
        Err(_) => return "no connection in time".into(),
    };
    let (mut sender, connection) = match hyper::client::conn::http1::handshake(TokioIo::new(stream)).await {
        Ok(both) => both,
        Err(e) => return e.to_string(),
    };
    let driver = spawn_local(async move {
        let _ = connection.await;
    });
    let why = async {
        let request = Request::get("/changes")
            .header(header::HOST, at.to_string())
            .header(header::ACCEPT, "text/event-stream")
            .header("Last-Event-ID", last.to_string())
            .body(Empty::<Bytes>::new());
        let request = match request {
            Ok(request) => request,
            Err(e) => return e.to_string(),
        };
        let response = match timeout(FEED_SILENCE, sender.send_request(request)).await {
            Ok(Ok(response)) if response.status() == StatusCode::OK => response,
            Ok(Ok(response)) => return format!("status {}", response.status()),
            Ok(Err(e)) => return e.to_string(),
            Err(_) => return "no answer in time".into(),
        };
        events(response.into_body(), last, failed, to).await
    }
    .await;
    driver.abort();
    why
}

async fn events(body: Incoming, last: &mut u64, failed: &mut Option<u64>, to: &mpsc::Sender<Came>) -> String {
    let bytes = Rc::new(Cell::new(0));
    let counted = bytes.clone();
    let data = stream::unfold(body, move |mut body| {
        let counted = counted.clone();
        async move {
            loop {
                let frame = match timeout(FEED_SILENCE, body.frame()).await {
                    Err(_) => return Some((Err("it is silent".to_owned()), body)),
                    Ok(None) => return None,
                    Ok(Some(Err(e))) => return Some((Err(e.to_string()), body)),
                    Ok(Some(Ok(frame))) => frame,
                };
                if let Ok(data) = frame.into_data() {
                    counted.set(counted.get() + data.len());
                    let long = counted.get() > FEED_EVENT;
                    return Some((
                        if long { Err("an event that never ends".to_owned()) } else { Ok(data) },
                        body,
                    ));
                }
            }
        }
    });
    let mut events = std::pin::pin!(data.eventsource());
    loop {
        let event = match events.next().await {
            None => return "it ended".into(),
            Some(Err(e)) => return e.to_string(),
            Some(Ok(event)) => event,
        };
        bytes.set(0);
        match parse_event(&event.data) {
            // Told twice.
            Ok(change) if change.number <= *last => {}
            Ok(change) => {
                *last = change.number;
                let _ = to.send((Instant::now(), Input::Change(change))).await;
            }
            Err(e) => {
                let number = event.id.parse().ok();
                if number.is_some() && *failed == number {
                    // It came so twice: told as it is, it says nothing.
                    *last = (*last).max(number.unwrap_or(0));
                }
                *failed = number;
                return format!("an event that cannot be read: {e}");
            }
        }
    }
}

/// Follows the change log, wherever it is now, from the last number heard. Each wait is drawn from its half up, for all
/// directors lose it at the same moment.
async fn follow(
    mut at: watch::Receiver<SocketAddr>, mut last: u64, to: mpsc::Sender<Came>, mut rng: fastrand::Rng,
) {
    let (mut wait, mut failed) = (FEED_WAIT.0, None);
    loop {
        let address = *at.borrow_and_update();
        let (began, before) = (Instant::now(), last);
        let why = tokio::select! {
            why = listen(address, &mut last, &mut failed, &to) => why,
            _ = at.changed() => continue,
        };
        tracing::warn!(%address, last, "the change log: {why}; asking again");
        wait = if last > before || began.elapsed() > FEED_SILENCE * 2 { FEED_WAIT.0 } else { wait * 2 };
        wait = wait.min(FEED_WAIT.1);
        tokio::select! {
            () = sleep(wait.mul_f64(0.5 + 0.5 * rng.f64())) => {}
            _ = at.changed() => at.mark_changed(),
        }
    }
}

type Pipes = Rc<RefCell<HashMap<u64, Rc<Pipe>>>>;

struct Shell {
    exchange: SessionCore,
    clock: SlewedClock,
    viewers: Pipes,
    links: HashMap<u64, Rc<Pipe>>,
    connect: Duration,
    backlog: Backlog,
    to: mpsc::Sender<Came>,
    feed: watch::Sender<SocketAddr>,
    file: PathBuf,
    lines: (Instant, u32),
    /// Set-ups that came so far, and when that was last seen to change.
    last_setup: (u64, Instant),
    /// Bytes that inputs of one round may hold.
    most_batch: usize,
    /// Viewers' connections that may linger at a time.
    lingering: Rc<Semaphore>,
    /// When viewers' connections were closed for the end.
    shut_at: Option<Instant>,
}

impl Shell {
    fn now(&mut self) -> f64 {
        let (now, stepped) = self.clock.now();
        if let Some(by) = stepped {
            tracing::warn!(by, "the wall clock was stepped; our time goes on and is slewed towards it");
        }
        now
    }

    fn take(&mut self, now: f64, (came, input): Came) {
        match &input {
            Input::LinkFailed { link, .. } | Input::LinkDisconnected { link } => {
                tracing::debug!("{input:?}");
                self.links.remove(link);
            }
            Input::LinkConnected { .. } | Input::ViewerDisconnected { .. } => tracing::debug!("{input:?}"),
            Input::NodeMessage { link, message } => tracing::trace!(link, "{message:?}"),
            Input::ViewerMessage { conn, message } => tracing::trace!(conn, "{message:?}"),
            _ => {}
        }
        self.exchange.handle_input(now, came.elapsed().as_secs_f64(), input);
    }

    fn say(&mut self, line: &str) {
        let (since, lines) = &mut self.lines;
        if since.elapsed() > Duration::from_secs(1) {
            if *lines > LINES {
                tracing::info!("{} lines passed over", *lines - LINES);
            }
            (*since, *lines) = (Instant::now(), 0);
        }
        *lines += 1;
        if *lines <= LINES {
            tracing::info!("{line}");
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendViewer { conn, bytes } => {
                    tracing::trace!(conn, "{}", String::from_utf8_lossy(&bytes));
                    if let Some(pipe) = self.viewers.borrow().get(&conn) {
                        pipe.write(&bytes);
                    }
                }
                Effect::CloseViewer { conn } => {
                    if let Some(pipe) = self.viewers.borrow().get(&conn) {
                        pipe.close();
                    }
                }
                Effect::ConnectLink { link: number, address } => {
                    tracing::debug!(number, %address, "dial");
                    let pipe = Pipe::new(None, self.backlog.clone());
                    self.links.insert(number, pipe.clone());
                    let (to, connect) = (self.to.clone(), self.connect);
                    spawn_local(async move {
                        guarded(link(number, address, connect, pipe, to.clone())).await;
                        let _ = to.send((Instant::now(), Input::LinkDisconnected { link: number })).await;
                    });
                }
                Effect::SendNode { link, bytes } => {
                    tracing::trace!(link, "{}", String::from_utf8_lossy(&bytes));
                    if let Some(pipe) = self.links.get(&link) {
                        pipe.write(&bytes);
                    }
                }
                Effect::CloseLink { link, immediate } => {
                    if let Some(pipe) = self.links.remove(&link) {
                        if immediate { pipe.abort() } else { pipe.close() }
                    }
                }
                Effect::Log(line) => self.say(&line),
                Effect::InternalError(why) => tracing::error!(%why, "the decisions report a fault"),
            }
        }
    }

    fn round(&mut self) {
        let now = self.now();
        let mut effects = Vec::new();
        self.exchange.run_round(now, &mut |e| effects.push(e));
        self.carry_out(effects);
    }

    fn read_again(&mut self) {
        match StartupConfig::reread_changelog(&self.file) {
            Ok(address) => {
                tracing::info!(%address, "configuration read again");
                self.feed.send_replace(address);
            }
            Err(e) => tracing::error!("{e}; the old configuration stays in force"),
        }
    }

    /// Whether the process may end, so long after it was told to: nothing is open, and nothing is to be expected.
    /// Viewers' connections are closed once it might, and it ends after a further quiet while.
    fn may_end(&mut self, since: Duration, line: &mpsc::Receiver<Came>) -> bool {
        let counts = self.exchange.counts();
        if counts.setups_received != self.last_setup.0 {
            self.last_setup = (counts.setups_received, Instant::now());
        }
        if since < LAST_SETUPS {
            return false;
        }
        self.exchange.refuse_setups();
        let quiet = self.last_setup.1.elapsed() >= LAST_QUIET && line.is_empty();
        if counts.open_setups > 0 || !(quiet || since >= LAST_WORDS) {
            return false;
        }
        let shut = *self.shut_at.get_or_insert_with(|| {
            // All at once, and their descriptors are held already.
            self.lingering.add_permits(self.exchange.max_viewers());
            Instant::now()
        });
        // Those that came since are closed too, each with what was taken on it answered.
        self.exchange.close_idle_viewers();
        shut.elapsed() >= LAST_QUIET
    }

    /// Before a round that may send something: lets readers pass on all that lies in the sockets. Whether a viewer is still
    /// there is known before anything is done for it, and what was taken before the process ends.
    async fn look(&mut self, input: &mut mpsc::Receiver<Came>, batch: &mut Vec<Came>) {
        let held = |(_, input): &Came| match input {
            Input::ViewerMessage { message: Ok(viewer::ViewerMessage::Start(_, ask)), .. } => ask.blob.len(),
            Input::NodeMessage { message: Message::Response(r), .. } => r.body.len(),
            Input::NodeMessage { message: Message::Request(r), .. } => r.body.len(),
            _ => 0,
        };
        let mut bytes: usize = batch.iter().map(held).sum();
        for turn in 0..LOOKS.1 {
            let before = batch.len();
            while batch.len() < BATCH
                && bytes < self.most_batch
                && let Ok(next) = input.try_recv()
            {
                bytes += held(&next);
                batch.push(next);
            }
            let full = batch.len() >= BATCH || bytes >= self.most_batch;
            if full || turn >= LOOKS.0 && batch.len() == before {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Takes one batch in: first what the list says, then what viewers say, then nodes, each in the order in which it
    /// came, so that nothing leaves for one who is gone by then, or to a node that is.
    fn take_all(&mut self, now: f64, mut batch: Vec<Came>) {
        batch.sort_by_key(|(_, input)| match input {
            Input::Change(_) => 0,
            Input::ViewerConnected { .. }
            | Input::ViewerMessage { .. }
            | Input::ViewerLineTooLong { .. }
            | Input::ViewerDisconnected { .. } => 1,
            _ => 2,
        });
        batch.into_iter().for_each(|came| self.take(now, came));
    }

    async fn run(
        mut self, mut input: mpsc::Receiver<Came>, [mut ends, mut int, mut again]: [Signal; 3],
        mut tasks: JoinSet<()>,
    ) -> io::Result<()> {
        let mut ending: Option<Instant> = None;
        let (mut told, mut last) = (Instant::now(), Instant::now());
        loop {
            self.round();
            if told.elapsed() >= Duration::from_secs(1) {
                told = Instant::now();
                if tracing::enabled!(tracing::Level::DEBUG) {
                    tracing::debug!("belief: {}", self.exchange.status_line());
                }
            }
            if let Some(at) = ending
                && self.may_end(at.elapsed(), &input)
            {
                break;
            }
            let wait = (self.exchange.next_timer_at() - self.now()).clamp(0.0, 1.0);
            let due = tokio::time::Instant::now() + Duration::from_secs_f64(wait);
            let first = tokio::select! {
                biased;
                _ = ends.recv() => { ending.get_or_insert_with(Instant::now); None }
                _ = int.recv() => { ending.get_or_insert_with(Instant::now); None }
                _ = again.recv() => { self.read_again(); None }
                Some(ended) = tasks.join_next() => {
                    return Err(io::Error::other(format!("a task that never ends did: {ended:?}")));
                }
                first = input.recv() => first,
                () = sleep_until(due) => None,
            };
            let mut batch: Vec<Came> = first.into_iter().collect();
            let gap = last.elapsed();
            if was_paused(gap, Duration::from_secs_f64(wait)) {
                tracing::warn!(seconds = gap.as_secs_f64(), "stood still; reading what came meanwhile first");
                self.catch_up(&mut input, std::mem::take(&mut batch)).await;
            }
            let now = self.now();
            if !batch.is_empty() || ending.is_some() || self.exchange.may_send(now) {
                self.look(&mut input, &mut batch).await;
            }
            let now = self.now();
            self.take_all(now, batch);
            last = Instant::now();
        }
        let pipes: Vec<Rc<Pipe>> =
            self.viewers.borrow().values().chain(self.links.values()).cloned().collect();
        pipes.iter().for_each(|p| p.close());
        let flushed = async {
            while pipes.iter().any(|p| p.waits()) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let _ = timeout(LINGER, flushed).await;
        tracing::info!("all is answered");
        Ok(())
    }

    /// Takes what lies in the sockets after a pause of the process, before any time-out fires on it.
    async fn catch_up(&mut self, input: &mut mpsc::Receiver<Came>, mut first: Vec<Came>) {
        let until = Instant::now() + CATCH_UP_TIME;
        loop {
            self.look(input, &mut first).await;
            let now = self.now();
            self.take_all(now, std::mem::take(&mut first));
            if Instant::now() >= until {
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn platform(start: StartupConfig) -> io::Result<()> {
    let listener = TcpListener::bind(start.listen).await?;
    let signals =
        [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?, signal(SignalKind::hangup())?];
    let mut clock = SlewedClock::default();
    let (now, _) = clock.now();
    let exchange = SessionCore::new(&start, now);
    let (to, input) = mpsc::channel(INPUTS);
    let (feed, at) = watch::channel(start.changelog);
    let viewers = Pipes::default();
    let backlog = Backlog { bytes: Rc::default(), most: start.max_memory / MEMORY_DIVISOR };
    // These never end; the director would be deaf without them.
    let mut tasks = JoinSet::new();
    tasks.spawn_local(follow(at, start.last_known_change, to.clone(), fastrand::Rng::with_seed(start.seed)));
    let (most, lingering) = (exchange.max_viewers(), Rc::new(Semaphore::new(LINGERING)));
    let accepting = accept(listener, most, backlog.clone(), viewers.clone(), to.clone(), lingering.clone());
    tasks.spawn_local(accepting);
    tracing::info!(name = start.name, listen = %start.listen, sockets = start.max_sockets, "started");
    let shell = Shell {
        exchange,
        clock,
        viewers,
        links: HashMap::new(),
        connect: Duration::from_secs_f64(start.names.connect_timeout.max(0.05)),
        to,
        feed,
        file: start.config_path,
        lines: (Instant::now(), 0),
        last_setup: (0, Instant::now()),
        most_batch: start.max_memory / BATCH_PART,
        lingering,
        shut_at: None,
        backlog,
    };
    shell.run(input, signals, tasks).await
}

/// Runs a director of the platform until a signal ends it.
///
/// # Errors
/// Where its address cannot be bound or the system gives no runtime.
pub fn run(start: StartupConfig) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, platform(start))
}

#[cfg(test)]
mod tests;
