//! A voter's process: its sockets, its store and its event loop. Promised, accepted and learned values are on disk before
//! a message that depends on them is sent.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kelpdoor_agreement::keys::check_transition;
use kelpdoor_agreement::{
    ClientRequest, DocumentReader, DurableState, MAX_DOCUMENT, MAX_LINE, Output, Voter, VoterId,
    VoterMessage, VoterResponse, lease_duration,
};
use kelpdoor_clock::BootClock;
use kelpdoor_script::{AgreedSettings, SettingsError};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::sockets::{SocketEvent, accept};
use crate::voter_connections::{ConnectionEvent, VoterConnections};

/// Format line of the store.
const FORMAT: &str = "kelpdoor-voter 2";
/// Maximum number of events queued for the loop; beyond it, connections are not read.
const MAX_QUEUED_EVENTS: usize = 4096;
/// Maximum number of voters whose incoming connections are remembered.
const MAX_PEER_CONNECTIONS: usize = 64;
/// Maximum number of responses of other voters queued for the loop; beyond it, their connections are not read.
const MAX_QUEUED_RESPONSES: usize = 256;
/// Maximum number of queued events handled before the store is written.
const MAX_BATCH: usize = 256;
/// Longest interval between two checks of timers.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Lease in seconds under a document that cannot be parsed: none. Voters reject such documents.
const UNPARSED_LEASE: f64 = 0.0;

/// How a voter is started.
pub struct VoterOptions {
    /// This voter's number.
    pub me: VoterId,
    /// Addresses of the voters that found the fleet, or where the agreed list is first requested.
    pub voters: BTreeMap<u8, SocketAddr>,
    /// Addresses by which this process reaches voters, where they differ from the agreed list.
    pub reach: BTreeMap<u8, SocketAddr>,
    pub listen: SocketAddr,
    /// Name of the fleet.
    pub fleet: String,
    /// Path of the store.
    pub store: PathBuf,
    /// Whether the fleet is founded now. Without it, a voter that finds no store assumes that its store was lost.
    pub found: bool,
    /// Rate of the clock for leases relative to the boot clock; not 1 only in tests.
    pub clock_rate: f64,
}

/// Reads the lease duration and the voters from agreed documents. A document that cannot be parsed, which voters reject,
/// grants no lease and names no voters.
pub const DOCUMENT_READER: DocumentReader = DocumentReader {
    lease: |text| parse_document(text).map_or(UNPARSED_LEASE, |s| lease_duration(s.directors.contradiction)),
    voters: |text| {
        parse_document(text)
            .map_or_else(|_| Vec::new(), |s| s.voters.at.keys().copied().map(VoterId).collect())
    },
};

/// Maximum number of cached parsed documents: the newest, the proposed one, and those of voters that share a process in
/// tests.
const MAX_CACHED_DOCUMENTS: usize = 4;
/// Recently parsed documents, the last used first. A voter needs a document several times until it is agreed, and parsing
/// one of 200 KB takes tens of milliseconds.
static PARSED_DOCUMENTS: Mutex<Vec<(String, Arc<AgreedSettings>)>> = Mutex::new(Vec::new());

/// Parses an agreed document, or returns it from the cache of recent ones.
///
/// # Errors
/// All errors in the document.
pub fn parse_document(text: &str) -> Result<Arc<AgreedSettings>, Vec<SettingsError>> {
    let find = |cache: &mut Vec<(String, Arc<AgreedSettings>)>| {
        let index = cache.iter().position(|(cached, _)| cached == text)?;
        let found = cache.remove(index);
        cache.insert(0, found);
        Some(cache[0].1.clone())
    };
    if let Some(cached) = PARSED_DOCUMENTS.lock().ok().and_then(|mut cache| find(&mut cache)) {
        return Ok(cached);
    }
    let settings = Arc::new(AgreedSettings::parse("the document", text)?);
    if let Ok(mut cache) = PARSED_DOCUMENTS.lock() {
        cache.insert(0, (text.to_owned(), settings.clone()));
        cache.truncate(MAX_CACHED_DOCUMENTS);
    }
    Ok(settings)
}

/// The address of each voter in `first`, the settings' voters, and in `agreed`, the agreed document's. An address in
/// `reach`, the local overrides, takes precedence over one in `agreed`, and that over one in `first`.
pub fn voter_addresses(
    first: &BTreeMap<u8, SocketAddr>, agreed: Option<BTreeMap<u8, SocketAddr>>,
    reach: &BTreeMap<u8, SocketAddr>,
) -> BTreeMap<VoterId, SocketAddr> {
    let mut all = first.clone();
    all.extend(agreed.unwrap_or_default());
    for (number, address) in reach {
        if let Some(listed) = all.get_mut(number) {
            *listed = *address;
        }
    }
    all.into_iter().map(|(number, address)| (VoterId(number), address)).collect()
}

enum Event {
    Socket(SocketEvent<ClientRequest, VoterResponse>),
    ShutDown,
}

impl From<SocketEvent<ClientRequest, VoterResponse>> for Event {
    fn from(event: SocketEvent<ClientRequest, VoterResponse>) -> Self {
        Event::Socket(event)
    }
}

/// A running voter. Dropping it aborts the voter.
pub struct RunningVoter {
    pub address: SocketAddr,
    events: mpsc::Sender<Event>,
    task: JoinHandle<Result<(), String>>,
}

impl RunningVoter {
    /// Ends the voter after the requests received so far are handled.
    pub async fn shut_down(&self) {
        let _ = self.events.send(Event::ShutDown).await;
    }

    /// Waits until the voter ends.
    ///
    /// # Errors
    /// If the voter ended other than by [`shut_down`](Self::shut_down): its store could not be written, or its task panicked.
    pub async fn ended(&mut self) -> Result<(), String> {
        (&mut self.task).await.unwrap_or_else(|e| Err(e.to_string()))
    }
}

impl Drop for RunningVoter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads the store, binds the address and starts the voter.
///
/// # Errors
/// If the store is corrupted or belongs to another fleet or voter, or the address cannot be bound.
pub async fn start(options: VoterOptions) -> io::Result<RunningVoter> {
    let fleet = options.fleet.clone();
    let store_name = format!("{fleet} voter {}", options.me.0);
    let founders: Vec<VoterId> = options.voters.keys().copied().map(VoterId).collect();
    if options.found && !(matches!(founders.len(), 3 | 5) && founders.contains(&options.me)) {
        return Err(io::Error::other("a fleet is founded by three or five voters that include this one"));
    }
    let path = options.store.clone();
    let loaded =
        tokio::task::spawn_blocking(move || kelpdoor_kept::load::<DurableState>(&path, FORMAT)).await?;
    let path = options.store.display();
    let durable = match (loaded.map_err(io::Error::other)?, options.found) {
        (Some(_), true) => {
            return Err(io::Error::other(format!("{path}: a store is there, the fleet was founded before")));
        }
        (Some(d), false) if d.fleet != store_name => {
            let why = format!("{path}: it is the store of {:?}, not of {store_name:?}", d.fleet);
            return Err(io::Error::other(why));
        }
        (Some(d), false) => d,
        (None, true) => DurableState::founded(&store_name, &founders),
        (None, false) => {
            tracing::warn!(
                "{path}: no store found; not voting until the other voters have responded and agreed on a newer version"
            );
            DurableState::lost(&store_name)
        }
    };
    save(&options.store, durable.clone()).await.map_err(io::Error::other)?;
    let listener = TcpListener::bind(options.listen).await?;
    let address = listener.local_addr()?;
    let clock = BootClock::new(options.clock_rate);
    let voter = Voter::new(options.me, durable, DOCUMENT_READER, fastrand::u64(..), clock.now());
    tracing::info!(newest = voter.durable().newest(), votes = voter.durable().may_vote(), "voter started");
    let (events, queue) = mpsc::channel(MAX_QUEUED_EVENTS);
    let mut tasks = JoinSet::new();
    let (peer_events, peer_queue) = mpsc::channel(MAX_QUEUED_RESPONSES);
    tasks.spawn(accept::<ClientRequest, VoterResponse, Event>(
        listener,
        events.clone(),
        MAX_LINE,
        VoterResponse::Fault,
    ));
    let peers = VoterConnections::new(&fleet, peer_events);
    let mut shell = Shell {
        me: options.me,
        fleet,
        voter,
        clock,
        store: options.store,
        initial_voters: options.voters,
        reach: options.reach,
        peers,
        connections: HashMap::new(),
        welcomed: HashSet::new(),
        peer_connections: HashMap::new(),
        logged_version: 0,
        listed: true,
        _tasks: tasks,
    };
    shell.dial();
    let task = tokio::spawn(shell.run(queue, peer_queue));
    Ok(RunningVoter { address, events, task })
}

/// Saves the state; it is on disk when this returns.
async fn save(path: &std::path::Path, durable: DurableState) -> Result<(), String> {
    let path = path.to_owned();
    let saved = tokio::task::spawn_blocking(move || kelpdoor_kept::save(&path, FORMAT, &durable)).await;
    saved.map_err(|e| e.to_string())?.map_err(|e| e.to_string())
}

/// The voter's state machine with its sockets, store and clock.
struct Shell {
    me: VoterId,
    fleet: String,
    voter: Voter,
    clock: BootClock,
    store: PathBuf,
    initial_voters: BTreeMap<u8, SocketAddr>,
    reach: BTreeMap<u8, SocketAddr>,
    peers: VoterConnections,
    connections: HashMap<u64, mpsc::Sender<VoterResponse>>,
    /// Connections whose hello named this fleet.
    welcomed: HashSet<u64>,
    /// By voter, the connection of its last message. Responses to a voter that this one does not dial go there.
    peer_connections: HashMap<VoterId, u64>,
    /// The newest version that was logged.
    logged_version: u64,
    /// Whether the newest version names this voter, as last logged.
    listed: bool,
    /// Aborted when the shell is dropped.
    _tasks: JoinSet<()>,
}

impl Shell {
    async fn run(
        mut self, mut queue: mpsc::Receiver<Event>,
        mut peer_queue: mpsc::Receiver<(VoterId, ConnectionEvent)>,
    ) -> Result<(), String> {
        let result = self.run_loop(&mut queue, &mut peer_queue).await;
        if let Err(why) = &result {
            // A voter whose state is not on disk must not send messages that depend on it, so it ends.
            tracing::error!(%why, "the voter ends after an error");
        }
        result
    }

    async fn run_loop(
        &mut self, queue: &mut mpsc::Receiver<Event>,
        peer_queue: &mut mpsc::Receiver<(VoterId, ConnectionEvent)>,
    ) -> Result<(), String> {
        loop {
            let mut peer_event = None;
            let wait =
                (self.voter.next_timer_at() - self.clock.now()).clamp(0.001, MAX_TICK_INTERVAL.as_secs_f64());
            let first = tokio::select! {
                first = queue.recv() => first,
                event = peer_queue.recv() => {
                    peer_event = event;
                    None
                }
                () = sleep(Duration::from_secs_f64(wait)) => None,
            };
            let now = self.clock.now();
            let mut shut_down = false;
            self.voter.tick(now);
            if let Some((from, ConnectionEvent::Response(VoterResponse::Voter { word }))) = peer_event {
                self.handle_message(now, from, word);
            }
            if let Some(first) = first {
                shut_down |= self.handle_event(now, first);
            }
            for _ in 0..MAX_BATCH {
                let Ok(next) = queue.try_recv() else { break };
                shut_down |= self.handle_event(now, next);
            }
            let (state, output) = self.voter.take_output();
            if let Some(durable) = state {
                save(&self.store, durable).await?;
            }
            self.send_output(output);
            if shut_down {
                return Ok(());
            }
        }
    }

    /// Keeps a connection to each other voter that the newest version names, and to those of the settings, which may know a
    /// newer version.
    fn dial(&mut self) {
        let newest = self.voter.newest().and_then(|c| parse_document(&c.value.text).ok());
        let mut all = voter_addresses(&self.initial_voters, newest.map(|s| s.voters.at.clone()), &self.reach);
        all.remove(&self.me);
        self.peers.dial(all);
    }

    /// Logs a newly agreed version and sends the voter's output.
    fn send_output(&mut self, output: Vec<Output>) {
        if let Some((number, digest)) =
            self.voter.newest().filter(|c| c.number > self.logged_version).map(|c| (c.number, c.digest()))
        {
            tracing::info!(version = number, digest, "agreed on a version");
            self.logged_version = number;
            self.dial();
            let listed = self.voter.listed();
            if std::mem::replace(&mut self.listed, listed) != listed {
                match listed {
                    true => tracing::info!("the agreed list names this voter"),
                    false => tracing::warn!(
                        "the agreed list does not name this voter; it takes no part in decisions"
                    ),
                }
            }
        }
        let from = self.me;
        for item in output {
            match item {
                Output::Message(to, word) if self.peers.has(to) => {
                    self.peers.send(to, ClientRequest::Voter { from, word })
                }
                Output::Message(to, word) => {
                    if let Some(connection) = self.peer_connections.get(&to).copied() {
                        self.respond(connection, VoterResponse::Voter { word });
                    }
                }
                Output::Broadcast(word) => {
                    let all = self.peers.voters();
                    all.for_each(|to| self.peers.send(to, ClientRequest::Voter { from, word: word.clone() }));
                }
                Output::Response(connection, response) => self.respond(connection, response),
            }
        }
    }

    fn respond(&mut self, connection: u64, response: VoterResponse) {
        if self.connections.get(&connection).is_some_and(|to| to.try_send(response).is_err()) {
            // The client does not read: removing the sender closes the connection.
            self.connections.remove(&connection);
        }
    }

    /// Handles an event; returns whether the voter shuts down.
    fn handle_event(&mut self, now: f64, event: Event) -> bool {
        match event {
            Event::Socket(SocketEvent::Opened(connection, responses)) => {
                self.connections.insert(connection, responses);
            }
            Event::Socket(SocketEvent::Closed(connection)) => {
                self.connections.remove(&connection);
                self.welcomed.remove(&connection);
                self.peer_connections.retain(|_, c| *c != connection);
            }
            Event::Socket(SocketEvent::Received(connection, request)) => {
                self.handle_request(now, connection, request)
            }
            Event::ShutDown => return true,
        }
        false
    }

    fn handle_request(&mut self, now: f64, connection: u64, request: ClientRequest) {
        match request {
            ClientRequest::Hello { fleet } if fleet == self.fleet => {
                self.welcomed.insert(connection);
                self.respond(connection, VoterResponse::Welcome { me: self.me });
            }
            ClientRequest::Hello { fleet } => {
                tracing::warn!(conn = connection, %fleet, "rejected a client of another fleet");
                let why = format!("this is a voter of fleet {:?}, not of {fleet:?}", self.fleet);
                self.respond(connection, VoterResponse::Fault(why));
                self.connections.remove(&connection);
            }
            _ if !self.welcomed.contains(&connection) => {
                self.respond(connection, VoterResponse::Fault("the first line names the fleet".to_owned()));
                self.connections.remove(&connection);
            }
            ClientRequest::Ping => self.respond(connection, VoterResponse::Pong),
            ClientRequest::Propose { after, value, sure } => {
                match self.check_proposal(now, after, &value.text, sure) {
                    Err(why) => self.respond(connection, VoterResponse::NotTaken { why }),
                    Ok(()) => self.voter.handle_request(
                        now,
                        connection,
                        ClientRequest::Propose { after, value, sure },
                    ),
                }
            }
            ClientRequest::Voter { from, word } => {
                if self.peer_connections.contains_key(&from)
                    || self.peer_connections.len() < MAX_PEER_CONNECTIONS
                {
                    self.peer_connections.insert(from, connection);
                }
                self.handle_message(now, from, word);
            }
            request => self.voter.handle_request(now, connection, request),
        }
    }

    fn handle_message(&mut self, now: f64, from: VoterId, message: VoterMessage) {
        // A version that cannot be parsed names no voters, so that none could decide the next one. Correct voters never send
        // such a version.
        if let VoterMessage::Learn { number, text, .. } = &message
            && *number > self.voter.durable().newest()
            && let Err(errors) = parse_document(text)
        {
            tracing::error!(from = from.0, number, fault = %errors[0], "ignored a version that cannot be parsed");
            return;
        }
        if from != self.me {
            self.voter.handle_message(now, from, message);
        }
    }

    /// Checks that a proposed document can be parsed and may replace the newest one.
    fn check_proposal(&self, now: f64, after: u64, text: &str, sure: bool) -> Result<(), String> {
        if text.len() > MAX_DOCUMENT {
            return Err(format!("the document has {} bytes, {MAX_DOCUMENT} at most", text.len()));
        }
        let join_errors =
            |e: Vec<SettingsError>| e.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
        let new = parse_document(text).map_err(join_errors)?;
        let Some(newest) = self.voter.newest().filter(|c| c.number == after) else { return Ok(()) };
        let old = parse_document(&newest.value.text).map_err(join_errors)?;
        check_transition(&old, &new, sure)?;
        // If too many new voters were down, the voters could not agree on anything, not even on removing them.
        let added = new.voters.at.keys().map(|v| VoterId(*v)).filter(|v| !self.voter.deciding().contains(v));
        let absent: Vec<String> =
            added.filter(|v| !self.voter.ready(now, *v)).map(|v| v.0.to_string()).collect();
        if !absent.is_empty() && !sure {
            return Err(format!(
                "voters.at: not heard of yet as ready to vote: {}; start them first, or say --sure",
                absent.join(", ")
            ));
        }
        Ok(())
    }
}
