//! The shell: sockets, timers and signals around a [`SessionCore`], on one thread. It timestamps inputs, runs
//! the core once per batch, and carries out the effects in order. Output is written at once as far as the
//! socket takes it.

mod change_log;
mod change_stream;
mod connection;
mod output;

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kelpdoor_clock::SlewedClock;
use kelpdoor_parts::{CATCH_UP_TIME, was_paused};
use kelpdoor_rtsp::{Message, MessageDecoder, Version};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

use crate::core::{ConnectFailure, Effect, Input, MEMORY_DIVISOR, SessionCore, SessionEnd};
use crate::lines::{LineDecoder, LineTooLong};
use crate::startup::StartupConfig;
use crate::viewer::{self, MAX_LINE};
use change_log::ChangeLogStatus;
use connection::{LINGER_TIMEOUT, catch_panic, linger, serve_connection};
use output::{ConnectionOutput, SocketTotals};

/// Maximum inputs queued for the core, of up to 16 KiB each. Beyond it the readers wait, which slows their
/// peers down.
const INPUT_QUEUE_LENGTH: usize = 256;
/// Maximum inputs in one round. A viewer that sends hundreds of set-ups and cancels them at once has none of
/// them forwarded.
const MAX_BATCH: usize = 1024;
/// The inputs of one round may use the memory limit divided by this.
const BATCH_MEMORY_DIVISOR: usize = 16;
/// Maximum lingering connections; further ones close at once.
const MAX_LINGERING: usize = 12;
/// Connections accepted beyond the limit on viewers, so that a new one can replace an idle one.
const ACCEPT_HEADROOM: usize = 4;
/// Interval at which the accept loop checks for room beyond that.
const ACCEPT_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// After a termination signal, set-ups are served for this long. Later ones are refused, as they have to be
/// answered before the process is killed.
const SHUTDOWN_SERVE_TIME: Duration = Duration::from_millis(700);
/// Viewer connections are closed once no set-up arrived for this long and none is open or queued. What
/// crosses the close is sent again, within 50 ms at most, and refused; after the same time again the process
/// exits. Session ends that no viewer connection is open for are not waited for: viewers open none any more
/// by then, while sessions go on ending.
const SHUTDOWN_QUIET_TIME: Duration = Duration::from_millis(150);
/// After this long, viewer connections are closed even if set-ups keep arriving.
const SHUTDOWN_MAX_TIME: Duration = Duration::from_millis(3000);
/// Turns of the readers without any input before a round: the first detects input, the second reads it.
const MIN_READ_TURNS: u32 = 2;
/// Maximum time of the readers before a round, taken while bytes keep arriving.
const MAX_READ_TIME: Duration = Duration::from_millis(10);
/// Maximum log lines of the core per second.
const MAX_LOG_LINES: u32 = 40;

type TimedInput = (Instant, Input);

async fn run_viewer(
    conn: u64, stream: Rc<TcpStream>, output: Rc<ConnectionOutput>, input_tx: mpsc::Sender<TimedInput>,
    lingering: Rc<Semaphore>,
) {
    let _ = input_tx.send((Instant::now(), Input::ViewerConnected { conn })).await;
    let mut decoder = LineDecoder::new(MAX_LINE);
    let mut left = false;
    let peer_ended = serve_connection(&stream, &output, false, async |buf: &mut Vec<u8>, peer_closed| {
        let arrived_at = Instant::now();
        if peer_closed && !left {
            // The core has to know before it gets the requests that are still unread.
            left = true;
            let _ = input_tx.send((arrived_at, Input::ViewerDisconnected { conn })).await;
        }
        decoder.push(&std::mem::take(buf));
        loop {
            let message = match decoder.next_line() {
                Ok(Some(line)) => viewer::parse(line),
                Ok(None) => return true,
                Err(LineTooLong) => {
                    let _ = input_tx.send((arrived_at, Input::ViewerLineTooLong { conn })).await;
                    return false;
                }
            };
            if input_tx.send((arrived_at, Input::ViewerMessage { conn, message })).await.is_err() {
                return false;
            }
        }
    })
    .await;
    if !peer_ended {
        linger(stream, lingering).await;
    }
}

/// What a failed connection attempt proves about the node.
fn classify_connect_error(e: Option<&io::Error>) -> ConnectFailure {
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

async fn run_link(
    link: u64, address: SocketAddr, wait: Duration, output: Rc<ConnectionOutput>,
    input_tx: mpsc::Sender<TimedInput>,
) {
    let connected = tokio::select! {
        connected = timeout(wait, TcpStream::connect(address)) => connected,
        () = output.closed() => return,
    };
    let stream = match connected {
        Ok(Ok(stream)) => Rc::new(stream),
        other => {
            let e = other.ok().and_then(Result::err);
            let timed_out = || format!("no connection within {} ms", wait.as_millis());
            let why = e.as_ref().map_or_else(timed_out, io::Error::to_string);
            let failed = Input::LinkFailed { link, failure: classify_connect_error(e.as_ref()), why };
            let _ = input_tx.send((Instant::now(), failed)).await;
            return;
        }
    };
    let _ = stream.set_nodelay(true);
    *output.stream.borrow_mut() = Some(stream.clone());
    let _ = input_tx.send((Instant::now(), Input::LinkConnected { link })).await;
    let mut decoder = MessageDecoder::new(Version::V1);
    serve_connection(&stream, &output, true, async |buf: &mut Vec<u8>, _| {
        let arrived_at = Instant::now();
        decoder.push(&std::mem::take(buf));
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => {
                    if input_tx.send((arrived_at, Input::NodeMessage { link, message })).await.is_err() {
                        return false;
                    }
                }
                Ok(None) => return true,
                Err(e) => {
                    let corrupted = Input::LinkCorrupted { link, why: e.to_string() };
                    let _ = input_tx.send((arrived_at, corrupted)).await;
                    return false;
                }
            }
        }
    })
    .await;
}

async fn accept_viewers(
    listener: TcpListener, limit: usize, totals: SocketTotals, outputs: ViewerOutputs,
    input_tx: mpsc::Sender<TimedInput>, lingering: Rc<Semaphore>,
) {
    let mut conn = 0;
    loop {
        while outputs.borrow().len() >= limit + MAX_LINGERING + ACCEPT_HEADROOM {
            sleep(ACCEPT_CHECK_INTERVAL).await;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => Rc::new(stream),
            Err(_) => {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        conn += 1;
        let output = ConnectionOutput::new(Some(stream.clone()), totals.clone());
        outputs.borrow_mut().insert(conn, output.clone());
        let (outputs, input_tx, lingering) = (outputs.clone(), input_tx.clone(), lingering.clone());
        spawn_local(async move {
            catch_panic(run_viewer(conn, stream, output.clone(), input_tx.clone(), lingering)).await;
            outputs.borrow_mut().remove(&conn);
            let _ = input_tx.send((Instant::now(), Input::ViewerDisconnected { conn })).await;
            let ends = output.take_unaccepted_ends();
            if !ends.is_empty() {
                let _ = input_tx.send((Instant::now(), Input::EndsUndelivered { ends })).await;
            }
        });
    }
}

type ViewerOutputs = Rc<RefCell<HashMap<u64, Rc<ConnectionOutput>>>>;

struct Shell {
    core: SessionCore,
    clock: SlewedClock,
    viewers: ViewerOutputs,
    links: HashMap<u64, Rc<ConnectionOutput>>,
    connect_timeout: Duration,
    totals: SocketTotals,
    input_tx: mpsc::Sender<TimedInput>,
    change_log_address_tx: watch::Sender<SocketAddr>,
    change_log_status: watch::Receiver<ChangeLogStatus>,
    config_path: PathBuf,
    /// Start of the current second of log output, and its lines so far.
    log_lines: (Instant, u32),
    /// Set-ups received so far, and when that number last changed.
    last_setup: (u64, Instant),
    /// Maximum size of the inputs of one round in bytes.
    max_batch_bytes: usize,
    /// Permits for lingering viewer connections.
    lingering: Rc<Semaphore>,
    /// When viewer connections were closed for the shutdown.
    viewers_closed_at: Option<Instant>,
}

impl Shell {
    fn now(&mut self) -> f64 {
        let (now, stepped) = self.clock.now();
        if let Some(by) = stepped {
            tracing::warn!(by, "the wall clock was stepped; internal time is slewed towards it");
        }
        now
    }

    fn handle_input(&mut self, now: f64, (arrived_at, input): TimedInput) {
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
        self.core.handle_input(now, arrived_at.elapsed().as_secs_f64(), input);
    }

    fn log_line(&mut self, line: &str) {
        let (since, lines) = &mut self.log_lines;
        if since.elapsed() > Duration::from_secs(1) {
            if *lines > MAX_LOG_LINES {
                tracing::info!("{} log lines suppressed", *lines - MAX_LOG_LINES);
            }
            (*since, *lines) = (Instant::now(), 0);
        }
        *lines += 1;
        if *lines <= MAX_LOG_LINES {
            tracing::info!("{line}");
        }
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendViewer { conn, bytes } => {
                    tracing::trace!(conn, "{}", String::from_utf8_lossy(&bytes));
                    if let Some(output) = self.viewers.borrow().get(&conn) {
                        output.write(&bytes);
                    }
                }
                Effect::ReportEnd { conn, bytes, end } => self.report_end(conn, &bytes, end),
                Effect::CloseViewer { conn } => {
                    if let Some(output) = self.viewers.borrow().get(&conn) {
                        output.close();
                    }
                }
                Effect::ConnectLink { link: number, address } => {
                    tracing::debug!(number, %address, "connecting to node");
                    let output = ConnectionOutput::new(None, self.totals.clone());
                    self.links.insert(number, output.clone());
                    let (input_tx, connect_timeout) = (self.input_tx.clone(), self.connect_timeout);
                    spawn_local(async move {
                        catch_panic(run_link(number, address, connect_timeout, output, input_tx.clone()))
                            .await;
                        let _ =
                            input_tx.send((Instant::now(), Input::LinkDisconnected { link: number })).await;
                    });
                }
                Effect::SendNode { link, bytes } => {
                    tracing::trace!(link, "{}", String::from_utf8_lossy(&bytes));
                    if let Some(output) = self.links.get(&link) {
                        output.write(&bytes);
                    }
                }
                Effect::CloseLink { link, immediate } => {
                    if let Some(output) = self.links.remove(&link) {
                        if immediate { output.abort() } else { output.close() }
                    }
                }
                Effect::Log(line) => self.log_line(&line),
                Effect::InternalError(why) => {
                    tracing::error!(%why, "the session logic reported an internal error")
                }
            }
        }
    }

    /// Sends the report of a session's end. If its connection has ended, tells the core so at once.
    fn report_end(&mut self, conn: u64, bytes: &[u8], end: SessionEnd) {
        tracing::trace!(conn, "{}", String::from_utf8_lossy(bytes));
        let output = self.viewers.borrow().get(&conn).cloned();
        if let Some(output) = output {
            return output.write_end(bytes, end);
        }
        let now = self.now();
        self.core.handle_input(now, 0.0, Input::ViewerDisconnected { conn });
        self.core.handle_input(now, 0.0, Input::EndsUndelivered { ends: vec![end] });
    }

    fn run_round(&mut self) {
        let now = self.now();
        let mut effects = Vec::new();
        self.core.run_round(now, &mut |e| effects.push(e));
        self.apply_effects(effects);
    }

    fn reload_config(&mut self) {
        match StartupConfig::reread_changelog(&self.config_path) {
            Ok(address) => {
                tracing::info!(%address, "configuration reloaded");
                self.change_log_address_tx
                    .send_if_modified(|current| std::mem::replace(current, address) != address);
            }
            Err(e) => tracing::error!("{e}; keeping the current configuration"),
        }
    }

    /// Whether the process may exit `since` the termination signal: no set-up is open, and no further one
    /// is expected. Closes viewer connections once that holds, and allows the exit after a further quiet time.
    fn may_exit(&mut self, since: Duration, input_rx: &mpsc::Receiver<TimedInput>) -> bool {
        let counts = self.core.counts();
        if counts.setups_received != self.last_setup.0 {
            self.last_setup = (counts.setups_received, Instant::now());
        }
        if since < SHUTDOWN_SERVE_TIME {
            return false;
        }
        self.core.refuse_setups();
        let quiet = self.last_setup.1.elapsed() >= SHUTDOWN_QUIET_TIME && input_rx.is_empty();
        if counts.open_setups > 0 || !(quiet || since >= SHUTDOWN_MAX_TIME) {
            return false;
        }
        let closed_at = *self.viewers_closed_at.get_or_insert_with(|| {
            // All connections close at once, and their file descriptors are held already.
            self.lingering.add_permits(self.core.max_viewers());
            Instant::now()
        });
        // Also closes connections that arrived since, once the set-ups on them are answered.
        self.core.close_idle_viewers();
        closed_at.elapsed() >= SHUTDOWN_QUIET_TIME
    }

    /// Lets readers pass on all input available in the sockets, before a round that may send something or end the
    /// process. Thus the core knows whether a viewer is still connected before it acts for it, and no input
    /// that was read is lost at the exit.
    async fn read_available(
        &mut self, input_rx: &mut mpsc::Receiver<TimedInput>, batch: &mut Vec<TimedInput>,
    ) {
        let held = |(_, input): &TimedInput| match input {
            Input::ViewerMessage { message: Ok(viewer::ViewerMessage::Start(_, ask)), .. } => ask.blob.len(),
            Input::NodeMessage { message: Message::Response(r), .. } => r.body.len(),
            Input::NodeMessage { message: Message::Request(r), .. } => r.body.len(),
            _ => 0,
        };
        let mut bytes: usize = batch.iter().map(held).sum();
        let deadline = Instant::now() + MAX_READ_TIME;
        let (mut idle_turns, mut progress) = (0, None);
        loop {
            while batch.len() < MAX_BATCH
                && bytes < self.max_batch_bytes
                && let Ok(next) = input_rx.try_recv()
            {
                bytes += held(&next);
                batch.push(next);
            }
            let is_full = batch.len() >= MAX_BATCH || bytes >= self.max_batch_bytes;
            let last_progress = progress.replace((batch.len(), self.totals.received.get()));
            idle_turns = if progress == last_progress { idle_turns + 1 } else { 0 };
            if is_full || idle_turns >= MIN_READ_TURNS || Instant::now() >= deadline {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Handles one batch: first the change log, then viewers, then nodes, each in order of arrival, so that
    /// nothing is sent for a viewer or to a node that has left by then.
    fn handle_batch(&mut self, now: f64, mut batch: Vec<TimedInput>) {
        batch.sort_by_key(|(_, input)| match input {
            Input::Change(_) | Input::ChangeLogFollowed(_) => 0,
            Input::ViewerConnected { .. }
            | Input::ViewerMessage { .. }
            | Input::ViewerLineTooLong { .. }
            | Input::ViewerDisconnected { .. }
            | Input::EndsUndelivered { .. } => 1,
            _ => 2,
        });
        batch.into_iter().for_each(|input| self.handle_input(now, input));
    }

    async fn run(
        mut self, mut input_rx: mpsc::Receiver<TimedInput>,
        [mut terminate, mut interrupt, mut hangup]: [Signal; 3], mut tasks: JoinSet<()>,
    ) -> io::Result<()> {
        let mut terminated_at: Option<Instant> = None;
        let (mut last_status, mut last_round) = (Instant::now(), Instant::now());
        loop {
            self.run_round();
            if last_status.elapsed() >= Duration::from_secs(1) {
                last_status = Instant::now();
                if tracing::enabled!(tracing::Level::DEBUG) {
                    tracing::debug!("status: {}", self.core.status_line());
                    tracing::debug!("change log: {}", *self.change_log_status.borrow());
                }
            }
            if let Some(since) = terminated_at
                && self.may_exit(since.elapsed(), &input_rx)
            {
                break;
            }
            let wait = (self.core.next_timer_at() - self.now()).clamp(0.0, 1.0);
            let deadline = tokio::time::Instant::now() + Duration::from_secs_f64(wait);
            let first = tokio::select! {
                biased;
                _ = terminate.recv() => { terminated_at.get_or_insert_with(Instant::now); None }
                _ = interrupt.recv() => { terminated_at.get_or_insert_with(Instant::now); None }
                _ = hangup.recv() => { self.reload_config(); None }
                Some(outcome) = tasks.join_next() => {
                    return Err(io::Error::other(format!("a background task ended unexpectedly: {outcome:?}")));
                }
                first = input_rx.recv() => first,
                () = sleep_until(deadline) => None,
            };
            let mut batch: Vec<TimedInput> = first.into_iter().collect();
            let gap = last_round.elapsed();
            if was_paused(gap, Duration::from_secs_f64(wait)) {
                tracing::warn!(
                    seconds = gap.as_secs_f64(),
                    "the process was paused; reading pending input before timers fire"
                );
                self.read_after_pause(&mut input_rx, std::mem::take(&mut batch)).await;
            }
            let now = self.now();
            if !batch.is_empty() || terminated_at.is_some() || self.core.may_send(now) {
                self.read_available(&mut input_rx, &mut batch).await;
            }
            let now = self.now();
            self.handle_batch(now, batch);
            last_round = Instant::now();
        }
        let outputs: Vec<Rc<ConnectionOutput>> =
            self.viewers.borrow().values().chain(self.links.values()).cloned().collect();
        outputs.iter().for_each(|o| o.close());
        let flushed = async {
            while outputs.iter().any(|o| o.has_unsent()) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let _ = timeout(LINGER_TIMEOUT, flushed).await;
        tracing::info!("all is answered");
        Ok(())
    }

    /// Reads the input available in the sockets after a pause of the process, before any timer fires.
    async fn read_after_pause(
        &mut self, input_rx: &mut mpsc::Receiver<TimedInput>, mut first: Vec<TimedInput>,
    ) {
        let until = Instant::now() + CATCH_UP_TIME;
        loop {
            self.read_available(input_rx, &mut first).await;
            let now = self.now();
            self.handle_batch(now, std::mem::take(&mut first));
            if Instant::now() >= until {
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn run_platform(config: StartupConfig) -> io::Result<()> {
    let listener = TcpListener::bind(config.listen).await?;
    let signals =
        [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?, signal(SignalKind::hangup())?];
    let mut clock = SlewedClock::default();
    let (now, _) = clock.now();
    let core = SessionCore::new(&config, now);
    let (input_tx, input_rx) = mpsc::channel(INPUT_QUEUE_LENGTH);
    let (change_log_address_tx, change_log_address) = watch::channel(config.changelog);
    let (change_log_status_tx, change_log_status) = watch::channel(ChangeLogStatus::default());
    let viewers = ViewerOutputs::default();
    let totals = SocketTotals::new(config.max_memory / MEMORY_DIVISOR);
    // These tasks never end; without them the director would get no input.
    let mut tasks = JoinSet::new();
    tasks.spawn_local(change_log::follow_change_log(
        change_log_address,
        config.last_known_change,
        input_tx.clone(),
        fastrand::Rng::with_seed(config.seed),
        change_log_status_tx,
    ));
    let (limit, lingering) = (core.max_viewers(), Rc::new(Semaphore::new(MAX_LINGERING)));
    let accepting =
        accept_viewers(listener, limit, totals.clone(), viewers.clone(), input_tx.clone(), lingering.clone());
    tasks.spawn_local(accepting);
    tracing::info!(name = config.name, listen = %config.listen, sockets = config.max_sockets, "started");
    let shell = Shell {
        core,
        clock,
        viewers,
        links: HashMap::new(),
        connect_timeout: Duration::from_secs_f64(config.names.connect_timeout.max(0.05)),
        input_tx,
        change_log_address_tx,
        change_log_status,
        config_path: config.config_path,
        log_lines: (Instant::now(), 0),
        last_setup: (0, Instant::now()),
        max_batch_bytes: config.max_memory / BATCH_MEMORY_DIVISOR,
        lingering,
        viewers_closed_at: None,
        totals,
    };
    shell.run(input_rx, signals, tasks).await
}

/// Runs a director on the platform until a signal ends it.
///
/// # Errors
/// If its address cannot be bound or the runtime cannot be built.
pub fn run(config: StartupConfig) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_platform(config))
}

#[cfg(test)]
mod tests;
