//! The shell: sockets, timers and files round a [`DirectorCore`]. It decides nothing: it stamps what comes in, calls the
//! desk once a batch, and carries out what the desk says.

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

use crate::core::{Counts, DirectorCore};
use crate::effect::{Effect, Input, NodeEvent};
use crate::following::{Following, Ruling};
use crate::journal;
use crate::keeping;
use crate::rate_limiter::{RateDecision, RateLimiter};
use crate::roster::{MAX_LINE, RosterList, RosterMessage, RosterRequest};
use crate::store::{load_list, save_list};
use crate::verify::Verifier;

/// Inputs waiting for the desk at most; readers wait beyond it, and so do their peers.
const INPUTS: usize = 8192;
/// Inputs taken into one round at most.
const BATCH: usize = 4096;
/// Of a round's own time; the next one waits so long, so that a desk under load takes more in at once.
const REST: u32 = 3;
/// A shorter rest is not worth a timer; a longer one would be felt by players.
const REST_RANGE: (Duration, Duration) = (Duration::from_micros(700), Duration::from_millis(5));
/// How often what is held is counted for whoever asks.
const TOLD: Duration = Duration::from_millis(200);
/// A handshake takes no longer.
const HANDSHAKE: Duration = Duration::from_secs(5);
/// Sockets get so long to take their last words at the end.
const LAST_WORDS: Duration = Duration::from_secs(1);
/// Connections over the limit that are told so at a time; more are cut without a word.
const REFUSALS: usize = 64;
/// Messages read and dropped after a close frame at most.
const MOST_DRAINED: usize = 10_000;
/// Words to the keeper of seats waiting at most; more are dropped, and said again by the desk.
const WORDS: usize = 8192;
/// Wait before the roster is connected again, at first and at most.
const ROSTER_WAIT: (f64, f64) = (0.1, 5.0);

/// How a director is started.
pub struct ServeOptions {
    pub deployment: Deployment,
    /// Where rules are agreed: the deployment is what [`Following::start`] gave with it.
    pub agreed: Option<Following>,
    /// Where all inputs and effects are written, for a replay.
    pub journal: Option<PathBuf>,
}

/// What came in, and when it was read whole.
type Came = (Instant, Input);

/// A director at work.
pub struct Running {
    pub address: SocketAddr,
    inputs: mpsc::Sender<Came>,
    counts: watch::Receiver<Counts>,
    task: JoinHandle<()>,
}

impl Running {
    /// Takes no new sessions from now on; [`ended`](Self::ended) comes when all taken ones are answered.
    pub async fn shut_down(&self) {
        let _ = self.inputs.send((Instant::now(), Input::ShutDown)).await;
    }

    pub fn counts(&self) -> Counts {
        *self.counts.borrow()
    }

    /// Waits for the end.
    ///
    /// # Errors
    /// Where the director did not end by itself: a panic in it, or [`abort`](Self::abort).
    pub async fn ended(&mut self) -> Result<(), String> {
        (&mut self.task).await.map_err(|e| e.to_string())
    }

    /// Ends at once; what is owed stays owed.
    pub fn abort(&self) {
        self.task.abort();
    }
}

/// Bytes for a node; what may leave only under a lease has its end, and its name.
struct ToNode {
    bytes: Vec<u8>,
    leased: Option<(f64, u64)>,
}

/// A queue to a socket with a bound in bytes.
struct Outbox<T> {
    to: mpsc::UnboundedSender<T>,
    queued: Arc<AtomicUsize>,
    /// Dropped, it ends the socket's task at once.
    hold: Option<oneshot::Sender<()>>,
}

impl<T> Outbox<T> {
    /// Whether it fits.
    fn put(&self, item: T, bytes: usize, most: usize) -> bool {
        let before = self.queued.fetch_add(bytes, Ordering::Relaxed);
        before + bytes <= most && self.to.send(item).is_ok()
    }
}

enum Out {
    Text(String),
    Close(CloseCode, &'static str),
}

enum ToSocks {
    Opened(u64, Outbox<Out>),
    Lost(u64),
}

/// Binds, starts all tasks, and returns the address.
///
/// # Errors
/// Where the address cannot be bound or the journal not be written.
pub async fn serve(options: ServeOptions) -> io::Result<Running> {
    let book = Arc::new(options.deployment);
    let agreed = options.agreed;
    let verifier = Verifier::new(&book)?;
    let listener = TcpListener::bind(book.director.listen).await?;
    let address = listener.local_addr()?;
    let seed = book.director.seed.unwrap_or_else(|| fastrand::u64(..));
    let journal = options.journal.map(File::create).transpose()?.map(BufWriter::new);
    let (inputs, input) = mpsc::channel(INPUTS);
    let (socks, sock) = mpsc::unbounded_channel();
    let (ask, asked) = mpsc::unbounded_channel();
    let (tell, counts) = watch::channel(Counts::default());
    let mut tasks = JoinSet::new();
    let (save, saved) = watch::channel(None);
    let saver = tokio::spawn(keep_list(book.roster.cache.clone(), saved));
    let mut keeper = None;
    let mut words = None;
    let mut keeping = JoinSet::new();
    if let (Some(of), Some(verifier)) = (&book.keeper, &verifier) {
        let (at, running) = keeping::find(of, &book.schools).await?;
        let (to, from) = mpsc::channel(WORDS);
        keeping.spawn(keeping::follow(at, inputs.clone(), from));
        (keeper, words) = (running, Some(to));
        tasks.spawn(verifier.clone().follow_keys());
    }
    tasks.spawn(accept(listener, book.clone(), inputs.clone(), socks, verifier));
    tasks.spawn(follow(book.clone(), inputs.clone(), asked));
    let shell = Shell {
        book: book.clone(),
        clock: agreed
            .as_ref()
            .and_then(|a| a.wall_off.clone())
            .map_or_else(SlewedClock::default, SlewedClock::with_offset_file),
        inputs: inputs.clone(),
        ask,
        socks: HashMap::new(),
        links: HashMap::new(),
        agreed: agreed.map(|Following { ruling, steady, tasks: following, .. }| {
            // Ended with the shell.
            tasks.spawn(async move {
                let mut following = following;
                while following.join_next().await.is_some() {}
            });
            Agreed { ruling, steady, label: String::new(), lease: f64::NEG_INFINITY, told: f64::NAN }
        }),
        journal,
        tell,
        save,
        saver,
        keeper,
        words,
        keeping,
        tasks,
    };
    let task = tokio::spawn(shell.run(input, sock, seed));
    Ok(Running { address, inputs, counts, task })
}

/// Rules that others have too: what may be acted on, and what the desk was told of it.
struct Agreed {
    ruling: watch::Receiver<Ruling>,
    steady: BootClock,
    label: String,
    /// Steady time, until when something new may leave.
    lease: f64,
    /// The same as the desk was told it, on its own clock.
    told: f64,
}

struct Shell {
    book: Arc<Deployment>,
    clock: SlewedClock,
    inputs: mpsc::Sender<Came>,
    ask: mpsc::UnboundedSender<RosterRequest>,
    socks: HashMap<u64, Outbox<Out>>,
    links: HashMap<(u32, u64), Outbox<ToNode>>,
    agreed: Option<Agreed>,
    journal: Option<BufWriter<File>>,
    tell: watch::Sender<Counts>,
    /// The list to be kept: the latest, if one is being written when another comes.
    save: watch::Sender<Option<Box<RosterList>>>,
    saver: JoinHandle<()>,
    /// The keeper of seats, if it runs here; words to it, and what carries them.
    keeper: Option<RunningKeeper>,
    words: Option<mpsc::Sender<KeeperRequest>>,
    keeping: JoinSet<()>,
    /// Ended with the shell.
    tasks: JoinSet<()>,
}

impl Shell {
    fn now(&mut self) -> f64 {
        let (now, stepped) = self.clock.now();
        if let Some(by) = stepped {
            tracing::warn!(by, "the wall clock was stepped; our time goes on and is slewed towards it");
        }
        now
    }

    fn keep(&mut self, line: &journal::JournalEntry) {
        if let Some(to) = &mut self.journal
            && let Err(e) = journal::write_entry(to, line)
        {
            tracing::error!(%e, "the journal cannot be written and ends here");
            self.journal = None;
        }
    }

    fn take(&mut self, desk: &mut DirectorCore, now: f64, (came, input): Came) {
        let waited = came.elapsed().as_secs_f64();
        if self.journal.is_some() {
            self.keep(&journal::JournalEntry::Input { now, delay: waited, input: input.clone() });
        }
        if let Input::Node { node, link, event: NodeEvent::ConnectionLost | NodeEvent::ConnectFailed } =
            &input
        {
            self.links.remove(&(*node, *link));
        }
        desk.handle_delayed_input(now, waited, input);
    }

    async fn run(
        mut self, mut input: mpsc::Receiver<Came>, mut sock: mpsc::UnboundedReceiver<ToSocks>, seed: u64,
    ) {
        let now = self.now();
        let mut desk = DirectorCore::new(&self.book, seed, now);
        let whole = self.agreed.is_some().then(|| Box::new(Deployment::clone(&self.book)));
        self.keep(&journal::JournalEntry::Start { seed, now, deployment: whole });
        if let Some(path) = &self.book.roster.cache {
            match load_list(path) {
                Ok(Some(list)) => {
                    tracing::info!(nodes = list.nodes.len(), "starting from the kept list");
                    self.take(&mut desk, now, (Instant::now(), Input::Cached(list)));
                }
                Ok(None) => {}
                Err(e) => tracing::warn!(%e, "the kept list is not used"),
            }
        }
        let mut last = Instant::now();
        let mut cost = Duration::ZERO;
        let mut told = Instant::now();
        loop {
            let wait = (desk.next_timer_at() - self.now()).clamp(0.0, 3600.0);
            let due = tokio::time::Instant::now() + Duration::from_secs_f64(wait);
            let first = tokio::select! {
                biased;
                Some(news) = sock.recv() => {
                    self.socket(news);
                    continue;
                }
                Some(first) = input.recv() => Some(first),
                () = changed(&mut self.agreed) => None,
                () = sleep_until(due) => None,
            };
            let gap = last.elapsed();
            if was_paused(gap, Duration::from_secs_f64(wait)) {
                tracing::warn!(seconds = gap.as_secs_f64(), "stood still; reading what came meanwhile first");
                sleep(CATCH_UP_TIME).await;
            } else if first.is_some() {
                let rest = (cost * REST).min(REST_RANGE.1).saturating_sub(gap);
                if rest > REST_RANGE.0 {
                    sleep(rest).await;
                }
            }
            while let Ok(news) = sock.try_recv() {
                self.socket(news);
            }
            let began = Instant::now();
            let now = self.now();
            self.rules(&mut desk, now);
            if let Some(first) = first {
                self.take(&mut desk, now, first);
            }
            for _ in 0..BATCH {
                let Ok(next) = input.try_recv() else { break };
                self.take(&mut desk, now, next);
            }
            let mut effects = Vec::new();
            desk.round(now, &mut |e| effects.push(e));
            last = Instant::now();
            if self.journal.is_some() {
                self.keep(&journal::JournalEntry::Round { now, effects: effects.clone() });
            }
            if self.carry_out(effects) {
                // What was read before this moment is answered too.
                let now = self.now();
                self.rules(&mut desk, now);
                while let Ok(next) = input.try_recv() {
                    self.take(&mut desk, now, next);
                }
                let mut effects = Vec::new();
                desk.round(now, &mut |e| effects.push(e));
                self.carry_out(effects);
                break;
            }
            cost = began.elapsed();
            if told.elapsed() > TOLD {
                told = last;
                let _ = self.tell.send(desk.counts());
            }
        }
        if let Some(mut to) = self.journal.take() {
            let _ = to.flush();
        }
        self.last_words(input, sock).await;
    }

    /// Tells the desk what it may act on now: looked at before each round, for we may have stood still.
    fn rules(&mut self, desk: &mut DirectorCore, now: f64) {
        /// s; a lease's end is told again when it moved by more.
        const FINE: f64 = 1e-3;
        let Some(agreed) = &mut self.agreed else { return };
        let ruling = agreed.ruling.borrow_and_update().clone();
        let steady = agreed.steady.now();
        agreed.lease = ruling.lease(steady);
        let until = now + (agreed.lease - steady);
        let label = (agreed.label != ruling.label).then(|| ruling.label.clone());
        let moved = agreed.told.is_nan() || (until != agreed.told && (until - agreed.told).abs() > FINE);
        if let Some(label) = &label {
            agreed.label.clone_from(label);
        }
        if moved {
            agreed.told = until;
        }
        if let Some(label) = label {
            let book = Box::new(Deployment::clone(&ruling.book));
            self.take(desk, now, (Instant::now(), Input::Rules { deployment: book, label }));
        }
        if moved {
            // Where nothing may be begun, in the desk's own past: its journal knows no endless numbers.
            let until = if until.is_finite() { until } else { 0.0 };
            self.take(desk, now, (Instant::now(), Input::Lease { until }));
        }
    }

    fn socket(&mut self, news: ToSocks) {
        match news {
            ToSocks::Opened(sock, outbox) => {
                self.socks.insert(sock, outbox);
            }
            ToSocks::Lost(sock) => {
                self.socks.remove(&sock);
            }
        }
    }

    /// Whether the desk is done.
    fn carry_out(&mut self, effects: Vec<Effect>) -> bool {
        let mut done = false;
        for effect in effects {
            match effect {
                Effect::Player { sock, sess, message } => self.tell_player(sock, sess, &message),
                Effect::Dial { node, link, address } => self.dial(node, link, address),
                Effect::Node { node, link, bytes } => {
                    self.tell_node(node, link, ToNode { bytes, leased: None });
                }
                Effect::Leased { node, link, batch: name, bytes } => {
                    let until = self.agreed.as_ref().map_or(f64::INFINITY, |a| a.lease);
                    self.tell_node(node, link, ToNode { bytes, leased: Some((until, name)) });
                }
                Effect::Disconnect { node, link } => self.hang_up(node, link),
                Effect::RequestRoster(ask) => {
                    let _ = self.ask.send(ask);
                }
                Effect::Keeper(word) => {
                    if let Some(to) = &self.words {
                        let _ = to.try_send(word);
                    }
                }
                Effect::SaveList(list) => {
                    self.save.send_replace(Some(list));
                }
                Effect::Log { sess: Some(sess), text } => tracing::debug!(sess, "{text}"),
                Effect::Log { sess: None, text } => tracing::info!("{text}"),
                Effect::Fault(why) => tracing::error!(%why, "the decisions report a fault"),
                Effect::Done => done = true,
            }
        }
        while self.tasks.try_join_next().is_some() {}
        done
    }

    fn tell_node(&mut self, node: u32, link: u64, what: ToNode) {
        let most = self.book.node_links.queued_bytes;
        let len = what.bytes.len();
        if self.links.get(&(node, link)).is_some_and(|l| !l.put(what, len, most)) {
            tracing::warn!(node, "the node does not read; closing its link");
            self.hang_up(node, link);
            self.say_lost(node, link);
        }
    }

    fn tell_player(&mut self, sock: u64, sess: Option<u64>, message: &ToPlayer) {
        tracing::debug!(sock, sess, key = message.key().map(|k| k.0.as_str()), ?message, "to the player");
        let text = message.text();
        let len = text.len();
        let most = self.book.players.queued_bytes;
        if self.socks.get(&sock).is_some_and(|s| !s.put(Out::Text(text), len, most)) {
            tracing::info!(sock, "the player does not read; closing its socket");
            self.socks.remove(&sock);
            self.say(Input::SocketLost { sock });
        }
    }

    /// Puts an input of our own in line, whatever the bound.
    fn say(&mut self, input: Input) {
        if let Err(mpsc::error::TrySendError::Full(input)) = self.inputs.try_send((Instant::now(), input)) {
            let to = self.inputs.clone();
            self.tasks.spawn(async move {
                let _ = to.send(input).await;
            });
        }
    }

    fn say_lost(&mut self, node: u32, link: u64) {
        self.say(Input::Node { node, link, event: NodeEvent::ConnectionLost });
    }

    fn dial(&mut self, node: u32, link: u64, address: SocketAddr) {
        let (to, from) = mpsc::unbounded_channel();
        let queued = Arc::new(AtomicUsize::new(0));
        let (hold, held) = oneshot::channel();
        let steady = self.agreed.as_ref().map(|a| a.steady);
        let talk = talk(node, link, address, from, queued.clone(), self.inputs.clone(), steady);
        self.tasks.spawn(async move {
            tokio::select! {
                () = talk => {}
                _ = held => {}
            }
        });
        self.links.insert((node, link), Outbox { to, queued, hold: Some(hold) });
    }

    fn hang_up(&mut self, node: u32, link: u64) {
        self.links.remove(&(node, link));
    }

    /// Lets sockets take what is queued, a close frame behind it, and links likewise.
    async fn last_words(
        mut self, mut input: mpsc::Receiver<Came>, mut sock: mpsc::UnboundedReceiver<ToSocks>,
    ) {
        // The saver ends when it has written the latest.
        drop(self.save);
        drop(self.words);
        let mut open = self.socks.len() + self.links.len();
        for sock in self.socks.values() {
            let _ = sock.to.send(Out::Close(CloseCode::Away, "shutting down"));
        }
        // A link's writer ends when nothing can be queued any more.
        let _holds: Vec<_> = self.links.drain().map(|(_, link)| link.hold).collect();
        let ends = async {
            while open > 0 {
                tokio::select! {
                    Some(news) = sock.recv() => open -= usize::from(matches!(news, ToSocks::Lost(_))),
                    Some((_, news)) = input.recv() => {
                        open -= usize::from(matches!(news, Input::Node { event: NodeEvent::ConnectionLost, .. }));
                    }
                    else => return,
                }
            }
        };
        let _ = timeout(LAST_WORDS, ends).await;
        let _ = timeout(LAST_WORDS, self.saver).await;
        // Seats that went back are said so before the end.
        let _ = timeout(LAST_WORDS, self.keeping.join_next()).await;
        if let Some(mut keeper) = self.keeper {
            keeper.shut_down().await;
            let _ = timeout(LAST_WORDS, keeper.ended()).await;
        }
    }
}

/// Comes when what may be acted on has changed; never where nothing is agreed.
async fn changed(agreed: &mut Option<Agreed>) {
    if let Some(a) = agreed
        && a.ruling.changed().await.is_ok()
    {
        return;
    }
    std::future::pending().await
}

/// Keeps the latest list on disk, one write at a time.
async fn keep_list(path: Option<PathBuf>, mut list: watch::Receiver<Option<Box<RosterList>>>) {
    while list.changed().await.is_ok() {
        let latest = list.borrow_and_update().clone();
        let (Some(path), Some(latest)) = (path.clone(), latest) else { continue };
        let saved = tokio::task::spawn_blocking(move || save_list(&path, &latest)).await;
        match saved {
            Ok(Ok(())) => {}
            Ok(Err(e)) => tracing::error!(%e, "the list cannot be kept"),
            Err(e) => tracing::error!(%e, "the list cannot be kept"),
        }
    }
}

/// One connection to a node, from connecting to its end.
async fn talk(
    node: u32, link: u64, address: SocketAddr, mut from: mpsc::UnboundedReceiver<ToNode>,
    queued: Arc<AtomicUsize>, to: mpsc::Sender<Came>, steady: Option<BootClock>,
) {
    let say = |word| to.send((Instant::now(), Input::Node { node, link, event: word }));
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(e) => {
            tracing::info!(node, %e, "not connected");
            let _ = say(NodeEvent::ConnectFailed).await;
            return;
        }
    };
    let _ = stream.set_nodelay(true);
    let (mut read, mut write) = stream.into_split();
    if say(NodeEvent::Connected).await.is_err() {
        return;
    }
    let reader = async {
        let mut buf = Vec::with_capacity(4096);
        loop {
            match kelpdoor_rtsp::parse(&buf) {
                Ok(Some((message, len))) => {
                    buf.drain(..len);
                    if say(NodeEvent::Received(message)).await.is_err() {
                        return "the director ends".to_owned();
                    }
                    continue;
                }
                Ok(None) => {}
                Err(e) => return e.to_string(),
            }
            match read.read_buf(&mut buf).await {
                Ok(0) => return "closed by the node".to_owned(),
                Ok(_) => {}
                Err(e) => return e.to_string(),
            }
        }
    };
    let writer = async {
        while let Some(ToNode { bytes, leased }) = from.recv().await {
            let over = |until: f64| steady.is_some_and(|s| s.now() >= until);
            if let Some((_, name)) = leased.filter(|l| over(l.0)) {
                // We stood still, or it lay behind what the node did not read.
                queued.fetch_sub(bytes.len(), Ordering::Relaxed);
                let _ = to.send((Instant::now(), Input::Unsent { node, link, batch: name })).await;
                continue;
            }
            if let Err(e) = write.write_all(&bytes).await {
                return e.to_string();
            }
            queued.fetch_sub(bytes.len(), Ordering::Relaxed);
        }
        let _ = write.shutdown().await;
        "hung up".to_owned()
    };
    let why = tokio::select! {
        why = reader => why,
        why = writer => why,
    };
    tracing::info!(node, %why, "link lost");
    let _ = say(NodeEvent::ConnectionLost).await;
}

async fn accept(
    listener: TcpListener, book: Arc<Deployment>, inputs: mpsc::Sender<Came>,
    socks: mpsc::UnboundedSender<ToSocks>, verifier: Option<Arc<Verifier>>,
) {
    let room = Arc::new(Semaphore::new(book.players.sockets));
    let refusals = Arc::new(Semaphore::new(REFUSALS));
    let mut tasks = JoinSet::new();
    let mut next = 1u64;
    loop {
        while tasks.try_join_next().is_some() {}
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of descriptors, mostly: those at hand go on.
                tracing::warn!(%e, "a connection was not accepted");
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = room.clone().try_acquire_owned() else {
            if let Ok(permit) = refusals.clone().try_acquire_owned() {
                tasks.spawn(async move {
                    let _ = timeout(LAST_WORDS, refuse(stream)).await;
                    drop(permit);
                });
            }
            continue;
        };
        let (sock, book, inputs, socks) = (next, book.clone(), inputs.clone(), socks.clone());
        let verifier = verifier.clone();
        next += 1;
        tasks.spawn(async move {
            let _ = stream.set_nodelay(true);
            match timeout(HANDSHAKE, greet(stream)).await {
                Ok(Ok(ws)) => attend(sock, ws, &book, &inputs, &socks, verifier.as_deref()).await,
                Ok(Err(e)) => tracing::info!(sock, %e, "handshake refused"),
                Err(_) => tracing::info!(sock, "handshake not finished in time"),
            }
            drop(permit);
        });
    }
}

/// Says that there is no room, and reads what the peer still sends: closing on that would reset the connection.
async fn refuse(mut stream: TcpStream) -> io::Result<()> {
    let full = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(full).await?;
    stream.shutdown().await?;
    let mut rest = [0; 512];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}

/// The WebSocket handshake; a client that does not name our subprotocol is refused with 400.
async fn greet(stream: TcpStream) -> Result<WebSocketStream<TcpStream>, WsError> {
    #[expect(clippy::result_large_err, reason = "the library's own signature")]
    let check = |request: &Request, mut response: Response| -> Result<Response, ErrorResponse> {
        let offered = request.headers().get_all(header::SEC_WEBSOCKET_PROTOCOL);
        let ours = offered
            .iter()
            .filter_map(|v| v.to_str().ok())
            .any(|v| v.split(',').any(|p| p.trim() == SUBPROTOCOL));
        if !ours {
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

/// Takes the token out of a message that came with one and says what it is.
fn show(sock: u64, mut message: FromPlayer, by: Option<(&Verifier, &mut RateLimiter)>) -> Input {
    let token = match &mut message {
        FromPlayer::Start { group, token, .. } => {
            let token = token.take();
            token.filter(|_| by.as_ref().is_some_and(|(verifier, _)| verifier.wanted(group)))
        }
        FromPlayer::Renew { token, .. } => Some(std::mem::take(token)),
        _ => None,
    };
    match (token, by) {
        (Some(token), Some((verifier, gate))) => {
            let shown = verifier.look(&token, gate);
            Input::PlayerWithToken { sock, message, check: shown }
        }
        _ => Input::Player { sock, message },
    }
}

/// A player's socket, to its end.
async fn attend(
    sock: u64, ws: WebSocketStream<TcpStream>, book: &Deployment, inputs: &mpsc::Sender<Came>,
    socks: &mpsc::UnboundedSender<ToSocks>, verifier: Option<&Verifier>,
) {
    let (mut sink, mut stream) = ws.split();
    let (to, mut from) = mpsc::unbounded_channel();
    let queued = Arc::new(AtomicUsize::new(0));
    let own = Outbox { to: to.clone(), queued: queued.clone(), hold: None };
    let limit = book.players.queued_bytes;
    let idle = Duration::from_secs_f64(book.players.idle);
    let (hold, mut held) = oneshot::channel();
    if socks.send(ToSocks::Opened(sock, Outbox { to, queued: queued.clone(), hold: Some(hold) })).is_err() {
        return;
    }
    let started = Instant::now();
    let reader = async {
        let mut gate = RateLimiter::new(book.players.messages_a_second, 0.0);
        let mut tokens = verifier.map(Verifier::socket_gate);
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
            match gate.check(started.elapsed().as_secs_f64()) {
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
                        let came = Instant::now();
                        let input = show(sock, message, verifier.zip(tokens.as_mut()));
                        if inputs.send((came, input)).await.is_err() {
                            return None;
                        }
                    }
                    Err(fault) => {
                        if !error(ErrorCode::BadMessage, fault.to_string()) {
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
        _ = &mut held => Some((CloseCode::Again, "the player does not read")),
    };
    let _ = socks.send(ToSocks::Lost(sock));
    let _ = inputs.send((Instant::now(), Input::SocketLost { sock })).await;
    if let Some((code, why)) = why {
        tracing::info!(sock, why, "closing the socket");
        let frame = CloseFrame { code, reason: why.into() };
        // What was queued goes first, then the reason.
        let words = async {
            while let Ok(Out::Text(text)) = from.try_recv() {
                sink.feed(Message::text(text)).await?;
            }
            sink.send(Message::Close(Some(frame))).await
        };
        let _ = timeout(LAST_WORDS, words).await;
        // Closing on unread bytes would reset the connection and take our last words along.
        let rest = async {
            for _ in 0..MOST_DRAINED {
                if !matches!(stream.next().await, Some(Ok(_))) {
                    break;
                }
            }
        };
        let _ = timeout(LAST_WORDS, rest).await;
    }
}

/// Follows the roster's feed, connecting again whenever it breaks.
async fn follow(
    book: Arc<Deployment>, inputs: mpsc::Sender<Came>, mut asked: mpsc::UnboundedReceiver<RosterRequest>,
) {
    let mut wait = ROSTER_WAIT.0;
    loop {
        let why = match TcpStream::connect(book.roster.address).await {
            Err(e) => e.to_string(),
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                wait = ROSTER_WAIT.0;
                read_roster(stream, &book, &inputs, &mut asked).await
            }
        };
        tracing::warn!(%why, "the roster's feed broke; the last good list stands");
        if inputs.send((Instant::now(), Input::Roster(RosterMessage::Failed))).await.is_err() {
            return;
        }
        sleep(Duration::from_secs_f64(wait * (0.5 + fastrand::f64()))).await;
        wait = (wait * 2.0).min(ROSTER_WAIT.1);
        while asked.try_recv().is_ok() {}
    }
}

async fn read_roster(
    stream: TcpStream, book: &Deployment, inputs: &mpsc::Sender<Came>,
    asked: &mut mpsc::UnboundedReceiver<RosterRequest>,
) -> String {
    let (read, mut write) = stream.into_split();
    let hello = RosterRequest::Hello { director: book.director.me };
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
                Ok(_) if !line.ends_with(b"\n") => return "a line too long or cut short".to_owned(),
                Ok(_) => {}
            }
            match serde_json::from_slice::<RosterMessage>(&line) {
                Err(e) => tracing::warn!(%e, "a line of the roster is passed over"),
                Ok(message) => {
                    if inputs.send((Instant::now(), Input::Roster(message))).await.is_err() {
                        return "the director ends".to_owned();
                    }
                }
            }
        }
    };
    let writer = async {
        while let Some(ask) = asked.recv().await {
            let mut text = serde_json::to_string(&ask).expect("plain data");
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
