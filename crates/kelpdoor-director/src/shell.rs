//! The I/O of a director: sockets, timers and files around a [`DirectorCore`]. It makes no decisions: it timestamps inputs, calls
//! the core once per batch, and carries out the effects that the core returns.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_util::{SinkExt, StreamExt};
use kelpdoor_api::{ErrorCode, FromPlayer, MAX_MESSAGE_BYTES, SUBPROTOCOL, ToPlayer};
use kelpdoor_clock::{BootClock, SlewedClock};
use kelpdoor_keeper::RunningKeeper;
use kelpdoor_parts::{CATCH_UP_TIME, was_paused};
use kelpdoor_rtsp::{MessageDecoder, Version};
use kelpdoor_script::Deployment;
use kelpdoor_seats::KeeperRequest;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, sleep_until, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::{HeaderValue, StatusCode, header};
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::protocol::{CloseFrame, Message, WebSocketConfig};
use tokio_tungstenite::tungstenite::{Error as WsError, error::CapacityError};

use crate::agreed_rules::{RulesFollower, RulesInForce};
use crate::core::{Counts, DirectorCore};
use crate::effect::{Effect, Input, NodeEvent};
use crate::journal;
use crate::keeper_client;
use crate::rate_limiter::{RateDecision, RateLimiter};
use crate::roster::{MAX_LINE, RosterList, RosterMessage, RosterRequest};
use crate::store::{load_list, save_list};
use crate::token_verifier::TokenVerifier;

/// Maximum number of inputs queued for the core; beyond it, sockets are not read, which slows down the peers.
const MAX_QUEUED_INPUTS: usize = 8192;
/// Maximum number of queued inputs handled in one round.
const MAX_BATCH: usize = 4096;
/// Pause between rounds, as a multiple of the duration of the last round: a core under load handles larger batches.
const ROUND_PAUSE_FACTOR: u32 = 3;
/// Shortest pause between rounds; a shorter one is not worth a timer.
const MIN_ROUND_PAUSE: Duration = Duration::from_micros(700);
/// Longest pause between rounds; a longer one would be a noticeable delay for players.
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(5);
/// Shortest interval between two updates of the published counts.
const COUNTS_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes read at a time from a connection to a node.
const NODE_READ_SIZE: usize = 4096;
/// Time limit for the WebSocket handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for each step of closing connections and of shutting down.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of connections over the limit that get a refusal at the same time; further ones are closed without a
/// response.
const MAX_REFUSALS: usize = 64;
/// Maximum number of messages read and dropped after a close frame.
const MAX_DRAINED_MESSAGES: usize = 10_000;
/// Maximum number of requests queued for the keeper of seats; further ones are dropped, and the core repeats them.
const MAX_QUEUED_KEEPER_REQUESTS: usize = 8192;
/// First delay before the roster is connected again, in seconds; doubled with each attempt.
const MIN_ROSTER_RECONNECT_DELAY: f64 = 0.1;
/// Longest delay before the roster is connected again, in seconds.
const MAX_ROSTER_RECONNECT_DELAY: f64 = 5.0;

/// How a director is started.
pub struct ServeOptions {
    pub deployment: Deployment,
    /// If the rules are agreed: their follower. `deployment` is then the one that [`RulesFollower::start`] returned.
    pub agreed: Option<RulesFollower>,
    /// File to which all inputs and effects are written, for a replay.
    pub journal: Option<PathBuf>,
}

/// An input, and when it was received completely.
type TimedInput = (Instant, Input);

/// A running director.
pub struct Running {
    pub address: SocketAddr,
    inputs: mpsc::Sender<TimedInput>,
    counts: watch::Receiver<Counts>,
    task: JoinHandle<()>,
}

impl Running {
    /// Accepts no new sessions from now on; [`ended`](Self::ended) returns when all accepted ones are answered.
    pub async fn shut_down(&self) {
        let _ = self.inputs.send((Instant::now(), Input::ShutDown)).await;
    }

    /// The latest published counts.
    pub fn counts(&self) -> Counts {
        *self.counts.borrow()
    }

    /// Waits until the director ends.
    ///
    /// # Errors
    /// If the director did not end by itself: after a panic or [`abort`](Self::abort).
    pub async fn ended(&mut self) -> Result<(), String> {
        (&mut self.task).await.map_err(|e| e.to_string())
    }

    /// Ends at once; pending requests and TEARDOWNs are not completed.
    pub fn abort(&self) {
        self.task.abort();
    }
}

/// Bytes to send to a node.
struct ToNode {
    bytes: Vec<u8>,
    /// For bytes that may be sent only under a lease: the end of the lease, and the name of the request.
    leased: Option<(f64, u64)>,
}

/// A queue to a socket, bounded in bytes.
struct Outbox<T> {
    to: mpsc::UnboundedSender<T>,
    queued: Arc<AtomicUsize>,
    /// Dropping it ends the socket's task at once.
    close_on_drop: Option<oneshot::Sender<()>>,
}

impl<T> Outbox<T> {
    /// Queues an item of `bytes` bytes; returns false if the queue would exceed `max_bytes` or is closed.
    fn put(&self, item: T, bytes: usize, max_bytes: usize) -> bool {
        let before = self.queued.fetch_add(bytes, Ordering::Relaxed);
        before + bytes <= max_bytes && self.to.send(item).is_ok()
    }
}

enum Out {
    Text(String),
    Close(CloseCode, &'static str),
}

enum SocketEvent {
    Opened(u64, Outbox<Out>),
    Closed(u64),
}

/// Binds the address and starts all tasks of a director.
///
/// # Errors
/// If the address cannot be bound, the journal cannot be created, the key set cannot be read, or the keeper of seats cannot
/// be started.
pub async fn serve(options: ServeOptions) -> io::Result<Running> {
    let deployment = Arc::new(options.deployment);
    let agreed = options.agreed;
    let verifier = TokenVerifier::new(&deployment)?;
    let listener = TcpListener::bind(deployment.director.listen).await?;
    let address = listener.local_addr()?;
    let seed = deployment.director.seed.unwrap_or_else(|| fastrand::u64(..));
    let journal = options.journal.map(File::create).transpose()?.map(BufWriter::new);
    let (inputs, input_queue) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (socket_events, socket_queue) = mpsc::unbounded_channel();
    let (roster_requests, roster_queue) = mpsc::unbounded_channel();
    let (publish_counts, counts) = watch::channel(Counts::default());
    let mut tasks = JoinSet::new();
    let (save_list, latest_list) = watch::channel(None);
    let save_task = tokio::spawn(save_lists(deployment.roster.cache.clone(), latest_list));
    let mut keeper = None;
    let mut keeper_requests = None;
    let mut keeper_client_task = JoinSet::new();
    if let (Some(settings), Some(verifier)) = (&deployment.keeper, &verifier) {
        let (address, running) = keeper_client::resolve_or_start(settings, &deployment.schools).await?;
        let (requests, queue) = mpsc::channel(MAX_QUEUED_KEEPER_REQUESTS);
        keeper_client_task.spawn(keeper_client::run_client(address, inputs.clone(), queue));
        (keeper, keeper_requests) = (running, Some(requests));
        tasks.spawn(verifier.clone().follow_keys());
    }
    tasks.spawn(accept(listener, deployment.clone(), inputs.clone(), socket_events, verifier));
    tasks.spawn(follow_roster(deployment.clone(), inputs.clone(), roster_queue));
    let shell = Shell {
        deployment: deployment.clone(),
        clock: agreed
            .as_ref()
            .and_then(|a| a.wall_off.clone())
            .map_or_else(SlewedClock::default, SlewedClock::with_offset_file),
        inputs: inputs.clone(),
        roster_requests,
        sockets: HashMap::new(),
        links: HashMap::new(),
        agreed: agreed.map(|RulesFollower { rules, clock, tasks: follower_tasks, .. }| {
            // Moved into a task of the shell, so that they are aborted with it.
            tasks.spawn(async move {
                let mut follower_tasks = follower_tasks;
                while follower_tasks.join_next().await.is_some() {}
            });
            AgreedRules { rules, clock, label: String::new(), lease: f64::NEG_INFINITY, core_lease: f64::NAN }
        }),
        journal,
        publish_counts,
        save_list,
        save_task,
        keeper,
        keeper_requests,
        keeper_client_task,
        tasks,
    };
    let task = tokio::spawn(shell.run(input_queue, socket_queue, seed));
    Ok(Running { address, inputs, counts, task })
}

/// The agreed rules that may be acted on, and the state that was passed to the core.
struct AgreedRules {
    rules: watch::Receiver<RulesInForce>,
    clock: BootClock,
    /// Label of the rules that the core has.
    label: String,
    /// Boot clock time until which new requests may be sent, in seconds.
    lease: f64,
    /// The end of the lease that the core has, on the core's clock; NaN before the first.
    core_lease: f64,
}

struct Shell {
    deployment: Arc<Deployment>,
    clock: SlewedClock,
    inputs: mpsc::Sender<TimedInput>,
    roster_requests: mpsc::UnboundedSender<RosterRequest>,
    /// Queues to players' sockets, by socket.
    sockets: HashMap<u64, Outbox<Out>>,
    /// Queues to nodes, by node and connection.
    links: HashMap<(u32, u64), Outbox<ToNode>>,
    agreed: Option<AgreedRules>,
    journal: Option<BufWriter<File>>,
    publish_counts: watch::Sender<Counts>,
    /// The list to save. Only the latest is saved if several arrive during one write.
    save_list: watch::Sender<Option<Box<RosterList>>>,
    save_task: JoinHandle<()>,
    /// The keeper of seats, if it runs in this process.
    keeper: Option<RunningKeeper>,
    keeper_requests: Option<mpsc::Sender<KeeperRequest>>,
    keeper_client_task: JoinSet<()>,
    /// Aborted when the shell is dropped.
    tasks: JoinSet<()>,
}

impl Shell {
    fn now(&mut self) -> f64 {
        let (now, stepped) = self.clock.now();
        if let Some(by) = stepped {
            tracing::warn!(by, "the wall clock was stepped; internal time is slewed towards it");
        }
        now
    }

    fn write_journal(&mut self, entry: &journal::JournalEntry) {
        if let Some(to) = &mut self.journal
            && let Err(e) = journal::write_entry(to, entry)
        {
            tracing::error!(%e, "cannot write the journal; journaling stops");
            self.journal = None;
        }
    }

    fn handle_input(&mut self, core: &mut DirectorCore, now: f64, (received_at, input): TimedInput) {
        let waited = received_at.elapsed().as_secs_f64();
        if self.journal.is_some() {
            self.write_journal(&journal::JournalEntry::Input { now, delay: waited, input: input.clone() });
        }
        if let Input::Node { node, link, event: NodeEvent::ConnectionLost | NodeEvent::ConnectFailed } =
            &input
        {
            self.links.remove(&(*node, *link));
        }
        core.handle_delayed_input(now, waited, input);
    }

    async fn run(
        mut self, mut input_queue: mpsc::Receiver<TimedInput>,
        mut socket_queue: mpsc::UnboundedReceiver<SocketEvent>, seed: u64,
    ) {
        let now = self.now();
        let mut core = DirectorCore::new(&self.deployment, seed, now);
        let deployment = self.agreed.is_some().then(|| Box::new(Deployment::clone(&self.deployment)));
        self.write_journal(&journal::JournalEntry::Start { seed, now, deployment });
        if let Some(path) = &self.deployment.roster.cache {
            match load_list(path) {
                Ok(Some(list)) => {
                    tracing::info!(nodes = list.nodes.len(), "starting from the saved list");
                    self.handle_input(&mut core, now, (Instant::now(), Input::Cached(list)));
                }
                Ok(None) => {}
                Err(e) => tracing::warn!(%e, "ignoring the saved list"),
            }
        }
        let mut last_round_at = Instant::now();
        let mut round_duration = Duration::ZERO;
        let mut last_counts_at = Instant::now();
        loop {
            let wait = (core.next_timer_at() - self.now()).clamp(0.0, 3600.0);
            let next_timer_at = tokio::time::Instant::now() + Duration::from_secs_f64(wait);
            let first = tokio::select! {
                biased;
                Some(event) = socket_queue.recv() => {
                    self.handle_socket_event(event);
                    continue;
                }
                Some(first) = input_queue.recv() => Some(first),
                () = rules_changed(&mut self.agreed) => None,
                () = sleep_until(next_timer_at) => None,
            };
            let gap = last_round_at.elapsed();
            if was_paused(gap, Duration::from_secs_f64(wait)) {
                tracing::warn!(
                    seconds = gap.as_secs_f64(),
                    "the process was paused; reading pending input first"
                );
                sleep(CATCH_UP_TIME).await;
            } else if first.is_some() {
                let pause = (round_duration * ROUND_PAUSE_FACTOR).min(MAX_ROUND_PAUSE).saturating_sub(gap);
                if pause > MIN_ROUND_PAUSE {
                    sleep(pause).await;
                }
            }
            while let Ok(event) = socket_queue.try_recv() {
                self.handle_socket_event(event);
            }
            let started = Instant::now();
            let now = self.now();
            self.update_rules(&mut core, now);
            if let Some(first) = first {
                self.handle_input(&mut core, now, first);
            }
            for _ in 0..MAX_BATCH {
                let Ok(next) = input_queue.try_recv() else { break };
                self.handle_input(&mut core, now, next);
            }
            let mut effects = Vec::new();
            core.round(now, &mut |e| effects.push(e));
            last_round_at = Instant::now();
            if self.journal.is_some() {
                self.write_journal(&journal::JournalEntry::Round { now, effects: effects.clone() });
            }
            if self.carry_out(effects) {
                // Inputs that were received before the shutdown are answered too.
                let now = self.now();
                self.update_rules(&mut core, now);
                while let Ok(next) = input_queue.try_recv() {
                    self.handle_input(&mut core, now, next);
                }
                let mut effects = Vec::new();
                core.round(now, &mut |e| effects.push(e));
                self.carry_out(effects);
                break;
            }
            round_duration = started.elapsed();
            if last_counts_at.elapsed() > COUNTS_INTERVAL {
                last_counts_at = last_round_at;
                let _ = self.publish_counts.send(core.counts());
            }
        }
        if let Some(mut to) = self.journal.take() {
            let _ = to.flush();
        }
        self.close_connections(input_queue, socket_queue).await;
    }

    /// Passes the rules and the lease in force to the core. Called before each round, because the process may have been
    /// paused.
    fn update_rules(&mut self, core: &mut DirectorCore, now: f64) {
        /// Smallest change of a lease's end that is passed to the core, in seconds.
        const MIN_LEASE_CHANGE: f64 = 1e-3;
        let Some(agreed) = &mut self.agreed else { return };
        let rules = agreed.rules.borrow_and_update().clone();
        let boot_time = agreed.clock.now();
        agreed.lease = rules.lease(boot_time);
        let until = now + (agreed.lease - boot_time);
        let label = (agreed.label != rules.label).then(|| rules.label.clone());
        let lease_changed = agreed.core_lease.is_nan()
            || (until != agreed.core_lease && (until - agreed.core_lease).abs() > MIN_LEASE_CHANGE);
        if let Some(label) = &label {
            agreed.label.clone_from(label);
        }
        if lease_changed {
            agreed.core_lease = until;
        }
        if let Some(label) = label {
            let book = Box::new(Deployment::clone(&rules.settings));
            self.handle_input(core, now, (Instant::now(), Input::Rules { deployment: book, label }));
        }
        if lease_changed {
            // Without a lease: a time in the past of the core, because the journal cannot represent infinity.
            let until = if until.is_finite() { until } else { 0.0 };
            self.handle_input(core, now, (Instant::now(), Input::Lease { until }));
        }
    }

    fn handle_socket_event(&mut self, event: SocketEvent) {
        match event {
            SocketEvent::Opened(sock, outbox) => {
                self.sockets.insert(sock, outbox);
            }
            SocketEvent::Closed(sock) => {
                self.sockets.remove(&sock);
            }
        }
    }

    /// Carries out effects; returns whether the core has finished shutting down.
    fn carry_out(&mut self, effects: Vec<Effect>) -> bool {
        let mut done = false;
        for effect in effects {
            match effect {
                Effect::Player { sock, sess, message } => self.send_to_player(sock, sess, &message),
                Effect::Dial { node, link, address } => self.dial(node, link, address),
                Effect::Node { node, link, bytes } => {
                    self.send_to_node(node, link, ToNode { bytes, leased: None });
                }
                Effect::Leased { node, link, batch: name, bytes } => {
                    let until = self.agreed.as_ref().map_or(f64::INFINITY, |a| a.lease);
                    self.send_to_node(node, link, ToNode { bytes, leased: Some((until, name)) });
                }
                Effect::Disconnect { node, link } => self.hang_up(node, link),
                Effect::RequestRoster(request) => {
                    let _ = self.roster_requests.send(request);
                }
                Effect::Keeper(request) => {
                    if let Some(to) = &self.keeper_requests {
                        let _ = to.try_send(request);
                    }
                }
                Effect::SaveList(list) => {
                    self.save_list.send_replace(Some(list));
                }
                Effect::Log { sess: Some(sess), text } => tracing::debug!(sess, "{text}"),
                Effect::Log { sess: None, text } => tracing::info!("{text}"),
                Effect::Fault(why) => tracing::error!(%why, "the core reports an error"),
                Effect::Done => done = true,
            }
        }
        while self.tasks.try_join_next().is_some() {}
        done
    }

    fn send_to_node(&mut self, node: u32, link: u64, message: ToNode) {
        let max_bytes = self.deployment.node_links.queued_bytes;
        let len = message.bytes.len();
        if self.links.get(&(node, link)).is_some_and(|l| !l.put(message, len, max_bytes)) {
            tracing::warn!(node, "the node does not read; closing its link");
            self.hang_up(node, link);
            self.queue_link_lost(node, link);
        }
    }

    fn send_to_player(&mut self, sock: u64, sess: Option<u64>, message: &ToPlayer) {
        tracing::debug!(sock, sess, key = message.key().map(|k| k.0.as_str()), ?message, "to the player");
        let text = message.text();
        let len = text.len();
        let max_bytes = self.deployment.players.queued_bytes;
        if self.sockets.get(&sock).is_some_and(|s| !s.put(Out::Text(text), len, max_bytes)) {
            tracing::info!(sock, "the player does not read; closing its socket");
            self.sockets.remove(&sock);
            self.queue_input(Input::SocketLost { sock });
        }
    }

    /// Queues an input that the shell itself creates, even if the queue is full.
    fn queue_input(&mut self, input: Input) {
        if let Err(mpsc::error::TrySendError::Full(input)) = self.inputs.try_send((Instant::now(), input)) {
            let to = self.inputs.clone();
            self.tasks.spawn(async move {
                let _ = to.send(input).await;
            });
        }
    }

    fn queue_link_lost(&mut self, node: u32, link: u64) {
        self.queue_input(Input::Node { node, link, event: NodeEvent::ConnectionLost });
    }

    fn dial(&mut self, node: u32, link: u64, address: SocketAddr) {
        let (to, from) = mpsc::unbounded_channel();
        let queued = Arc::new(AtomicUsize::new(0));
        let (close_on_drop, closed) = oneshot::channel();
        let clock = self.agreed.as_ref().map(|a| a.clock);
        let connection =
            serve_node_link(node, link, address, from, queued.clone(), self.inputs.clone(), clock);
        self.tasks.spawn(async move {
            tokio::select! {
                () = connection => {}
                _ = closed => {}
            }
        });
        self.links.insert((node, link), Outbox { to, queued, close_on_drop: Some(close_on_drop) });
    }

    fn hang_up(&mut self, node: u32, link: u64) {
        self.links.remove(&(node, link));
    }

    /// Sends queued messages and a close frame to the players, and queued messages to the nodes; then ends the other tasks.
    async fn close_connections(
        mut self, mut input_queue: mpsc::Receiver<TimedInput>,
        mut socket_queue: mpsc::UnboundedReceiver<SocketEvent>,
    ) {
        // The save task ends when it has written the latest list.
        drop(self.save_list);
        drop(self.keeper_requests);
        let mut open = self.sockets.len() + self.links.len();
        for socket in self.sockets.values() {
            let _ = socket.to.send(Out::Close(CloseCode::Away, "shutting down"));
        }
        // A link's writer ends when its queue is empty and closed. Keeping these senders lets it write the queue first.
        let _close_senders: Vec<_> = self.links.drain().map(|(_, link)| link.close_on_drop).collect();
        let all_closed = async {
            while open > 0 {
                tokio::select! {
                    Some(event) = socket_queue.recv() => {
                        open -= usize::from(matches!(event, SocketEvent::Closed(_)))
                    }
                    Some((_, input)) = input_queue.recv() => {
                        open -= usize::from(matches!(input, Input::Node { event: NodeEvent::ConnectionLost, .. }));
                    }
                    else => return,
                }
            }
        };
        let _ = timeout(CLOSE_TIMEOUT, all_closed).await;
        let _ = timeout(CLOSE_TIMEOUT, self.save_task).await;
        // Releases of seats are sent before the end.
        let _ = timeout(CLOSE_TIMEOUT, self.keeper_client_task.join_next()).await;
        if let Some(mut keeper) = self.keeper {
            keeper.shut_down().await;
            let _ = timeout(CLOSE_TIMEOUT, keeper.ended()).await;
        }
    }
}

/// Waits until the agreed rules change; forever if no rules are agreed.
async fn rules_changed(agreed: &mut Option<AgreedRules>) {
    if let Some(a) = agreed
        && a.rules.changed().await.is_ok()
    {
        return;
    }
    std::future::pending().await
}

/// Saves the latest list on disk, one write at a time.
async fn save_lists(path: Option<PathBuf>, mut list: watch::Receiver<Option<Box<RosterList>>>) {
    while list.changed().await.is_ok() {
        let latest = list.borrow_and_update().clone();
        let (Some(path), Some(latest)) = (path.clone(), latest) else { continue };
        let saved = tokio::task::spawn_blocking(move || save_list(&path, &latest)).await;
        match saved {
            Ok(Ok(())) => {}
            Ok(Err(e)) => tracing::error!(%e, "cannot save the list"),
            Err(e) => tracing::error!(%e, "cannot save the list"),
        }
    }
}

/// Connects to a node and serves the connection until it ends.
async fn serve_node_link(
    node: u32, link: u64, address: SocketAddr, mut from: mpsc::UnboundedReceiver<ToNode>,
    queued: Arc<AtomicUsize>, inputs: mpsc::Sender<TimedInput>, clock: Option<BootClock>,
) {
    let send_event = |event| inputs.send((Instant::now(), Input::Node { node, link, event }));
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(e) => {
            tracing::info!(node, %e, "cannot connect to the node");
            let _ = send_event(NodeEvent::ConnectFailed).await;
            return;
        }
    };
    let _ = stream.set_nodelay(true);
    let (mut read, mut write) = stream.into_split();
    if send_event(NodeEvent::Connected).await.is_err() {
        return;
    }
    let reader = async {
        let mut decoder = MessageDecoder::new(Version::V2);
        let mut buf = vec![0; NODE_READ_SIZE];
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => {
                    if send_event(NodeEvent::Received(message)).await.is_err() {
                        return "the director ends".to_owned();
                    }
                    continue;
                }
                Ok(None) => {}
                Err(e) => return e.to_string(),
            }
            match read.read(&mut buf).await {
                Ok(0) => return "closed by the node".to_owned(),
                Ok(n) => decoder.push(&buf[..n]),
                Err(e) => return e.to_string(),
            }
        }
    };
    let writer = async {
        while let Some(ToNode { bytes, leased }) = from.recv().await {
            let expired = |until: f64| clock.is_some_and(|c| c.now() >= until);
            if let Some((_, name)) = leased.filter(|l| expired(l.0)) {
                // The process was paused, or the node read the preceding bytes too slowly.
                queued.fetch_sub(bytes.len(), Ordering::Relaxed);
                let _ = inputs.send((Instant::now(), Input::Unsent { node, link, batch: name })).await;
                continue;
            }
            if let Err(e) = write.write_all(&bytes).await {
                return e.to_string();
            }
            queued.fetch_sub(bytes.len(), Ordering::Relaxed);
        }
        let _ = write.shutdown().await;
        "closed by the director".to_owned()
    };
    let why = tokio::select! {
        why = reader => why,
        why = writer => why,
    };
    tracing::info!(node, %why, "connection to the node ended");
    let _ = send_event(NodeEvent::ConnectionLost).await;
}

async fn accept(
    listener: TcpListener, deployment: Arc<Deployment>, inputs: mpsc::Sender<TimedInput>,
    socket_events: mpsc::UnboundedSender<SocketEvent>, verifier: Option<Arc<TokenVerifier>>,
) {
    let slots = Arc::new(Semaphore::new(deployment.players.sockets));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    let mut tasks = JoinSet::new();
    let mut next_sock = 1u64;
    loop {
        while tasks.try_join_next().is_some() {}
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Usually the process is out of file descriptors; existing connections continue.
                tracing::warn!(%e, "cannot accept a connection");
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = slots.clone().try_acquire_owned() else {
            if let Ok(permit) = refusals.clone().try_acquire_owned() {
                tasks.spawn(async move {
                    let _ = timeout(CLOSE_TIMEOUT, refuse(stream)).await;
                    drop(permit);
                });
            }
            continue;
        };
        let (sock, deployment, inputs, socket_events) =
            (next_sock, deployment.clone(), inputs.clone(), socket_events.clone());
        let verifier = verifier.clone();
        next_sock += 1;
        tasks.spawn(async move {
            let _ = stream.set_nodelay(true);
            match timeout(HANDSHAKE_TIMEOUT, accept_websocket(stream)).await {
                Ok(Ok(ws)) => {
                    serve_player(sock, ws, &deployment, &inputs, &socket_events, verifier.as_deref()).await
                }
                Ok(Err(e)) => tracing::info!(sock, %e, "handshake refused"),
                Err(_) => tracing::info!(sock, "handshake timed out"),
            }
            drop(permit);
        });
    }
}

/// Responds that the limit is reached, and reads what the peer still sends: closing with unread data would reset the
/// connection.
async fn refuse(mut stream: TcpStream) -> io::Result<()> {
    let response = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(response).await?;
    stream.shutdown().await?;
    let mut rest = [0; 512];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}

/// Performs the WebSocket handshake; a client that does not offer the subprotocol is refused with status 400.
async fn accept_websocket(stream: TcpStream) -> Result<WebSocketStream<TcpStream>, WsError> {
    #[expect(clippy::result_large_err, reason = "the library's own signature")]
    let check = |request: &Request, mut response: Response| -> Result<Response, ErrorResponse> {
        let offered = request.headers().get_all(header::SEC_WEBSOCKET_PROTOCOL);
        let matches = offered
            .iter()
            .filter_map(|v| v.to_str().ok())
            .any(|v| v.split(',').any(|p| p.trim() == SUBPROTOCOL));
        if !matches {
            let mut refusal = ErrorResponse::new(Some(format!("the subprotocol is {SUBPROTOCOL}\n")));
            *refusal.status_mut() = StatusCode::BAD_REQUEST;
            return Err(refusal);
        }
        let name = HeaderValue::from_static(SUBPROTOCOL);
        response.headers_mut().insert(header::SEC_WEBSOCKET_PROTOCOL, name);
        Ok(response)
    };
    let limits = WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
        .read_buffer_size(1024)
        .write_buffer_size(0)
        .max_write_buffer_size(1 << 20);
    tokio_tungstenite::accept_hdr_async_with_config(stream, check, Some(limits)).await
}

/// Creates the input for a message. If the message has a token that is needed, removes and verifies it.
fn player_input(
    sock: u64, mut message: FromPlayer, verifier: Option<(&TokenVerifier, &mut RateLimiter)>,
) -> Input {
    let token = match &mut message {
        FromPlayer::Start { group, token, .. } => {
            let token = token.take();
            token.filter(|_| verifier.as_ref().is_some_and(|(verifier, _)| verifier.needs_token(group)))
        }
        FromPlayer::Renew { token, .. } => Some(std::mem::take(token)),
        _ => None,
    };
    match (token, verifier) {
        (Some(token), Some((verifier, rate_limiter))) => {
            let check = verifier.verify(&token, rate_limiter);
            Input::PlayerWithToken { sock, message, check }
        }
        _ => Input::Player { sock, message },
    }
}

/// Serves a player's socket until it is closed.
async fn serve_player(
    sock: u64, ws: WebSocketStream<TcpStream>, deployment: &Deployment, inputs: &mpsc::Sender<TimedInput>,
    socket_events: &mpsc::UnboundedSender<SocketEvent>, verifier: Option<&TokenVerifier>,
) {
    let (mut sink, mut stream) = ws.split();
    let (to, mut from) = mpsc::unbounded_channel();
    let queued = Arc::new(AtomicUsize::new(0));
    let own = Outbox { to: to.clone(), queued: queued.clone(), close_on_drop: None };
    let limit = deployment.players.queued_bytes;
    let idle = Duration::from_secs_f64(deployment.players.idle);
    let (close_on_drop, mut closed) = oneshot::channel();
    if socket_events
        .send(SocketEvent::Opened(
            sock,
            Outbox { to, queued: queued.clone(), close_on_drop: Some(close_on_drop) },
        ))
        .is_err()
    {
        return;
    }
    let started = Instant::now();
    let reader = async {
        let mut rate_limiter = RateLimiter::new(deployment.players.messages_a_second, 0.0);
        let mut token_rate_limiter = verifier.map(TokenVerifier::socket_rate_limiter);
        loop {
            let message = match timeout(idle, stream.next()).await {
                Err(_) => return Some((CloseCode::Policy, "nothing came for too long")),
                Ok(None | Some(Ok(Message::Close(_)))) => return None,
                Ok(Some(Err(WsError::Capacity(CapacityError::MessageTooLong { .. })))) => {
                    return Some((CloseCode::Size, "message too long"));
                }
                Ok(Some(Err(WsError::Protocol(_)))) => return Some((CloseCode::Protocol, "protocol error")),
                Ok(Some(Err(WsError::Utf8(_)))) => return Some((CloseCode::Invalid, "not UTF-8")),
                Ok(Some(Err(_))) => return None,
                Ok(Some(Ok(message))) => message,
            };
            let error = |code, what: String| {
                let text = ToPlayer::Error { key: None, code, message: what }.text();
                let len = text.len();
                own.put(Out::Text(text), len, limit)
            };
            match rate_limiter.check(started.elapsed().as_secs_f64()) {
                RateDecision::Accepted => {}
                RateDecision::Close => return Some((CloseCode::Policy, "too many messages")),
                RateDecision::Refused => {
                    if !error(ErrorCode::TooFast, "too many messages a second".to_owned()) {
                        return Some((CloseCode::Policy, "too many messages"));
                    }
                    continue;
                }
            }
            match message {
                Message::Text(text) => match FromPlayer::parse(text.as_str()) {
                    Ok(message) => {
                        let received_at = Instant::now();
                        let input = player_input(sock, message, verifier.zip(token_rate_limiter.as_mut()));
                        if inputs.send((received_at, input)).await.is_err() {
                            return None;
                        }
                    }
                    Err(e) => {
                        if !error(ErrorCode::BadMessage, e.to_string()) {
                            return Some((CloseCode::Again, "the player does not read"));
                        }
                    }
                },
                Message::Binary(_) => return Some((CloseCode::Unsupported, "text messages only")),
                _ => {}
            }
        }
    };
    let writer = async {
        let mut ping = tokio::time::interval(idle / 3);
        ping.tick().await;
        loop {
            let sent = tokio::select! {
                out = from.recv() => match out {
                    None => return,
                    Some(Out::Text(text)) => {
                        let len = text.len();
                        let sent = sink.send(Message::text(text)).await;
                        queued.fetch_sub(len, Ordering::Relaxed);
                        sent
                    }
                    Some(Out::Close(code, why)) => {
                        let frame = CloseFrame { code, reason: why.into() };
                        let _ = sink.send(Message::Close(Some(frame))).await;
                        return;
                    }
                },
                _ = ping.tick() => sink.send(Message::Ping(Default::default())).await,
            };
            if sent.is_err() {
                return;
            }
        }
    };
    let why = tokio::select! {
        why = reader => why,
        () = writer => None,
        _ = &mut closed => Some((CloseCode::Again, "the player does not read")),
    };
    let _ = socket_events.send(SocketEvent::Closed(sock));
    let _ = inputs.send((Instant::now(), Input::SocketLost { sock })).await;
    if let Some((code, why)) = why {
        tracing::info!(sock, why, "closing the socket");
        let frame = CloseFrame { code, reason: why.into() };
        // Queued messages are sent first, then the reason.
        let send_rest = async {
            while let Ok(Out::Text(text)) = from.try_recv() {
                sink.feed(Message::text(text)).await?;
            }
            sink.send(Message::Close(Some(frame))).await
        };
        let _ = timeout(CLOSE_TIMEOUT, send_rest).await;
        // Closing with unread bytes would reset the connection, and the peer would lose the last messages.
        let drain = async {
            for _ in 0..MAX_DRAINED_MESSAGES {
                if !matches!(stream.next().await, Some(Ok(_))) {
                    break;
                }
            }
        };
        let _ = timeout(CLOSE_TIMEOUT, drain).await;
    }
}

/// Follows the roster's feed; reconnects whenever the connection ends.
async fn follow_roster(
    deployment: Arc<Deployment>, inputs: mpsc::Sender<TimedInput>,
    mut requests: mpsc::UnboundedReceiver<RosterRequest>,
) {
    let mut delay = MIN_ROSTER_RECONNECT_DELAY;
    loop {
        let why = match TcpStream::connect(deployment.roster.address).await {
            Err(e) => e.to_string(),
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                delay = MIN_ROSTER_RECONNECT_DELAY;
                read_roster(stream, &deployment, &inputs, &mut requests).await
            }
        };
        tracing::warn!(%why, "connection to the roster ended; keeping the last valid list");
        if inputs.send((Instant::now(), Input::Roster(RosterMessage::Failed))).await.is_err() {
            return;
        }
        sleep(Duration::from_secs_f64(delay * (0.5 + fastrand::f64()))).await;
        delay = (delay * 2.0).min(MAX_ROSTER_RECONNECT_DELAY);
        while requests.try_recv().is_ok() {}
    }
}

async fn read_roster(
    stream: TcpStream, deployment: &Deployment, inputs: &mpsc::Sender<TimedInput>,
    requests: &mut mpsc::UnboundedReceiver<RosterRequest>,
) -> String {
    let (read, mut write) = stream.into_split();
    let hello = RosterRequest::Hello { director: deployment.director.me };
    let mut first = serde_json::to_string(&hello).expect("plain data");
    first.push('\n');
    if let Err(e) = write.write_all(first.as_bytes()).await {
        return e.to_string();
    }
    let reader = async {
        let mut lines = BufReader::new(read);
        let mut line = Vec::new();
        loop {
            line.clear();
            match (&mut lines).take(MAX_LINE as u64).read_until(b'\n', &mut line).await {
                Ok(0) => return "closed by the roster".to_owned(),
                Err(e) => return e.to_string(),
                Ok(_) if !line.ends_with(b"\n") => return "line too long or truncated".to_owned(),
                Ok(_) => {}
            }
            match serde_json::from_slice::<RosterMessage>(&line) {
                Err(e) => tracing::warn!(%e, "ignoring an invalid line from the roster"),
                Ok(message) => {
                    if inputs.send((Instant::now(), Input::Roster(message))).await.is_err() {
                        return "the director ends".to_owned();
                    }
                }
            }
        }
    };
    let writer = async {
        while let Some(request) = requests.recv().await {
            let mut text = serde_json::to_string(&request).expect("plain data");
            text.push('\n');
            if let Err(e) = write.write_all(text.as_bytes()).await {
                return e.to_string();
            }
        }
        "the director ends".to_owned()
    };
    tokio::select! {
        why = reader => why,
        why = writer => why,
    }
}
