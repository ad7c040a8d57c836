//! A voter's sockets, its store, and its one loop. What it promised, accepted or learned is on disk before any word that
//! rests on it leaves.

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

const FORMAT: &str = "kelpdoor-voter 2";
/// Lines waiting for the loop at most; readers wait beyond it.
const ASKS: usize = 4096;
/// Voters whose connections are remembered at most.
const ASKED_ON: usize = 64;
/// Answers of other voters waiting for the loop at most; their lines wait beyond it.
const WORDS: usize = 256;
/// Lines that one write may stand for at most.
const BATCH: usize = 256;
/// Times are looked at so often though nobody asks.
const IDLE: Duration = Duration::from_millis(500);
/// s; the lease that is granted under a document that does not read, which no voter lets pass: none.
const UNREAD: f64 = 0.0;

pub struct VoterOptions {
    pub me: VoterId,
    /// Who founds the fleet, or where the agreed list is asked for first.
    pub voters: BTreeMap<u8, SocketAddr>,
    /// Where voters are reached otherwise than the agreed list says.
    pub reach: BTreeMap<u8, SocketAddr>,
    pub listen: SocketAddr,
    pub fleet: String,
    pub store: PathBuf,
    /// The fleet is founded now: without a store that is said, or a voter without one takes its own for lost.
    pub found: bool,
    pub clock_rate: f64,
}

/// How agreed documents are read. One that does not read, which no voter lets pass, grants no lease and names nobody.
pub const DOCUMENT_READER: DocumentReader = DocumentReader {
    lease: |text| parse_document(text).map_or(UNREAD, |s| lease_duration(s.directors.contradiction)),
    voters: |text| {
        parse_document(text)
            .map_or_else(|_| Vec::new(), |s| s.voters.at.keys().copied().map(VoterId).collect())
    },
};

/// Documents kept read at most: the newest, the one proposed, and those of the voters that share a process in tests.
const READ: usize = 4;
/// What was read last, the newest first: a voter looks at one document several times on its way to be agreed, and reading
/// one of 200 KB takes tens of ms.
static LAST_READ: Mutex<Vec<(String, Arc<AgreedSettings>)>> = Mutex::new(Vec::new());

/// What a document says, read once while it is among the last.
///
/// # Errors
/// Every fault found.
pub fn parse_document(text: &str) -> Result<Arc<AgreedSettings>, Vec<SettingsError>> {
    let find = |of: &mut Vec<(String, Arc<AgreedSettings>)>| {
        let at = of.iter().position(|(known, _)| known == text)?;
        let found = of.remove(at);
        of.insert(0, found);
        Some(of[0].1.clone())
    };
    if let Some(known) = LAST_READ.lock().ok().and_then(|mut of| find(&mut of)) {
        return Ok(known);
    }
    let read = Arc::new(AgreedSettings::parse("the document", text)?);
    if let Ok(mut of) = LAST_READ.lock() {
        of.insert(0, (text.to_owned(), read.clone()));
        of.truncate(READ);
    }
    Ok(read)
}

/// Where each voter is reached: as this process was told, else as the agreed document says, else as the settings name it
/// to begin with.
pub fn voter_addresses(
    first: &BTreeMap<u8, SocketAddr>, agreed: Option<BTreeMap<u8, SocketAddr>>,
    reach: &BTreeMap<u8, SocketAddr>,
) -> BTreeMap<VoterId, SocketAddr> {
    let mut all = first.clone();
    all.extend(agreed.unwrap_or_default());
    for (number, at) in reach {
        if let Some(known) = all.get_mut(number) {
            *known = *at;
        }
    }
    all.into_iter().map(|(k, at)| (VoterId(k), at)).collect()
}

enum Come {
    Socket(SocketEvent<ClientRequest, VoterResponse>),
    End,
}

impl From<SocketEvent<ClientRequest, VoterResponse>> for Come {
    fn from(came: SocketEvent<ClientRequest, VoterResponse>) -> Self {
        Come::Socket(came)
    }
}

/// A voter at work.
pub struct RunningVoter {
    pub address: SocketAddr,
    to: mpsc::Sender<Come>,
    task: JoinHandle<Result<(), String>>,
}

impl RunningVoter {
    pub async fn shut_down(&self) {
        let _ = self.to.send(Come::End).await;
    }

    /// # Errors
    /// Why the voter ended, if not by [`shut_down`](Self::shut_down): its store could not be written.
    pub async fn ended(&mut self) -> Result<(), String> {
        (&mut self.task).await.unwrap_or_else(|e| Err(e.to_string()))
    }
}

impl Drop for RunningVoter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads the store, binds, and starts.
///
/// # Errors
/// Where the store is not as it was written or is another fleet's, or the address cannot be bound.
pub async fn start(options: VoterOptions) -> io::Result<RunningVoter> {
    let fleet = options.fleet.clone();
    let named = format!("{fleet} voter {}", options.me.0);
    let founders: Vec<VoterId> = options.voters.keys().copied().map(VoterId).collect();
    if options.found && !(matches!(founders.len(), 3 | 5) && founders.contains(&options.me)) {
        return Err(io::Error::other("a fleet is founded by three or five voters, this one among them"));
    }
    let path = options.store.clone();
    let kept =
        tokio::task::spawn_blocking(move || kelpdoor_kept::load::<DurableState>(&path, FORMAT)).await?;
    let shown = options.store.display();
    let durable = match (kept.map_err(io::Error::other)?, options.found) {
        (Some(_), true) => {
            return Err(io::Error::other(format!("{shown}: a store is there, the fleet was founded before")));
        }
        (Some(d), false) if d.fleet != named => {
            let why = format!("{shown}: it is the store of {:?}, not of {named:?}", d.fleet);
            return Err(io::Error::other(why));
        }
        (Some(d), false) => d,
        (None, true) => DurableState::founded(&named, &founders),
        (None, false) => {
            tracing::warn!("{shown}: no store; not voting before the others are heard and have gone on");
            DurableState::lost(&named)
        }
    };
    save(&options.store, durable.clone()).await.map_err(io::Error::other)?;
    let listener = TcpListener::bind(options.listen).await?;
    let address = listener.local_addr()?;
    let steady = BootClock::new(options.clock_rate);
    let voter = Voter::new(options.me, durable, DOCUMENT_READER, fastrand::u64(..), steady.now());
    tracing::info!(newest = voter.durable().newest(), votes = voter.durable().may_vote(), "voting");
    let (to, from) = mpsc::channel(ASKS);
    let mut tasks = JoinSet::new();
    let (heard, said) = mpsc::channel(WORDS);
    tasks.spawn(accept::<ClientRequest, VoterResponse, Come>(
        listener,
        to.clone(),
        MAX_LINE,
        VoterResponse::Fault,
    ));
    let peers = VoterConnections::new(&fleet, heard);
    let mut shell = Shell {
        me: options.me,
        fleet,
        voter,
        steady,
        store: options.store,
        first: options.voters,
        reach: options.reach,
        peers,
        conns: HashMap::new(),
        welcome: HashSet::new(),
        asked_on: HashMap::new(),
        told: 0,
        listed: true,
        _tasks: tasks,
    };
    shell.dial();
    let task = tokio::spawn(shell.run(from, said));
    Ok(RunningVoter { address, to, task })
}

/// On disk when this returns.
async fn save(path: &std::path::Path, durable: DurableState) -> Result<(), String> {
    let path = path.to_owned();
    let saved = tokio::task::spawn_blocking(move || kelpdoor_kept::save(&path, FORMAT, &durable)).await;
    saved.map_err(|e| e.to_string())?.map_err(|e| e.to_string())
}

struct Shell {
    me: VoterId,
    fleet: String,
    voter: Voter,
    steady: BootClock,
    store: PathBuf,
    first: BTreeMap<u8, SocketAddr>,
    reach: BTreeMap<u8, SocketAddr>,
    peers: VoterConnections,
    conns: HashMap<u64, mpsc::Sender<VoterResponse>>,
    /// Connections that named our fleet.
    welcome: HashSet<u64>,
    /// By voter, the connection on which it last spoke: the way back to one that there is no line to.
    asked_on: HashMap<VoterId, u64>,
    /// The newest version that was logged.
    told: u64,
    /// The newest version names this voter, as logged.
    listed: bool,
    /// Ended with the shell.
    _tasks: JoinSet<()>,
}

impl Shell {
    async fn run(
        mut self, mut from: mpsc::Receiver<Come>, mut said: mpsc::Receiver<(VoterId, ConnectionEvent)>,
    ) -> Result<(), String> {
        let done = self.work(&mut from, &mut said).await;
        if let Err(why) = &done {
            // What follows would rest on what is not on disk: better gone than forgetful.
            tracing::error!(%why, "the voter ends");
        }
        done
    }

    async fn work(
        &mut self, from: &mut mpsc::Receiver<Come>, said: &mut mpsc::Receiver<(VoterId, ConnectionEvent)>,
    ) -> Result<(), String> {
        loop {
            let mut word = None;
            let wait = (self.voter.next_timer_at() - self.steady.now()).clamp(0.001, IDLE.as_secs_f64());
            let first = tokio::select! {
                first = from.recv() => first,
                heard = said.recv() => {
                    word = heard;
                    None
                }
                () = sleep(Duration::from_secs_f64(wait)) => None,
            };
            let now = self.steady.now();
            let mut end = false;
            self.voter.tick(now);
            if let Some((place, ConnectionEvent::Response(VoterResponse::Voter { word }))) = word {
                self.hear(now, place, word);
            }
            if let Some(first) = first {
                end |= self.come(now, first);
            }
            for _ in 0..BATCH {
                let Ok(next) = from.try_recv() else { break };
                end |= self.come(now, next);
            }
            let (write, out) = self.voter.take_output();
            if let Some(durable) = write {
                save(&self.store, durable).await?;
            }
            self.say(out);
            if end {
                return Ok(());
            }
        }
    }

    /// Keeps a line to each other voter that the newest version names, and to those of the settings: they may know more.
    fn dial(&mut self) {
        let newest = self.voter.newest().and_then(|c| parse_document(&c.value.text).ok());
        let mut all = voter_addresses(&self.first, newest.map(|s| s.voters.at.clone()), &self.reach);
        all.remove(&self.me);
        self.peers.dial(all);
    }

    fn say(&mut self, out: Vec<Output>) {
        if let Some((number, digest)) =
            self.voter.newest().filter(|c| c.number > self.told).map(|c| (c.number, c.digest()))
        {
            tracing::info!(version = number, digest, "a version is agreed");
            self.told = number;
            self.dial();
            let listed = self.voter.listed();
            if std::mem::replace(&mut self.listed, listed) != listed {
                match listed {
                    true => tracing::info!("the agreed list names this voter"),
                    false => tracing::warn!("the agreed list does not name this voter: it decides nothing"),
                }
            }
        }
        let from = self.me;
        for o in out {
            match o {
                Output::Message(to, word) if self.peers.has(to) => {
                    self.peers.send(to, ClientRequest::Voter { from, word })
                }
                Output::Message(to, word) => {
                    if let Some(conn) = self.asked_on.get(&to).copied() {
                        self.tell(conn, VoterResponse::Voter { word });
                    }
                }
                Output::Broadcast(word) => {
                    let all = self.peers.voters();
                    all.for_each(|to| self.peers.send(to, ClientRequest::Voter { from, word: word.clone() }));
                }
                Output::Response(conn, tell) => self.tell(conn, tell),
            }
        }
    }

    fn tell(&mut self, conn: u64, tell: VoterResponse) {
        if self.conns.get(&conn).is_some_and(|to| to.try_send(tell).is_err()) {
            // It does not read: closed.
            self.conns.remove(&conn);
        }
    }

    /// Whether that was the end.
    fn come(&mut self, now: f64, come: Come) -> bool {
        match come {
            Come::Socket(SocketEvent::Opened(conn, to)) => {
                self.conns.insert(conn, to);
            }
            Come::Socket(SocketEvent::Closed(conn)) => {
                self.conns.remove(&conn);
                self.welcome.remove(&conn);
                self.asked_on.retain(|_, on| *on != conn);
            }
            Come::Socket(SocketEvent::Received(conn, ask)) => self.asked(now, conn, ask),
            Come::End => return true,
        }
        false
    }

    fn asked(&mut self, now: f64, conn: u64, ask: ClientRequest) {
        match ask {
            ClientRequest::Hello { fleet } if fleet == self.fleet => {
                self.welcome.insert(conn);
                self.tell(conn, VoterResponse::Welcome { me: self.me });
            }
            ClientRequest::Hello { fleet } => {
                tracing::warn!(conn, %fleet, "of another fleet");
                let why = format!("this is a voter of fleet {:?}, not of {fleet:?}", self.fleet);
                self.tell(conn, VoterResponse::Fault(why));
                self.conns.remove(&conn);
            }
            _ if !self.welcome.contains(&conn) => {
                self.tell(conn, VoterResponse::Fault("the first line names the fleet".to_owned()));
                self.conns.remove(&conn);
            }
            ClientRequest::Ping => self.tell(conn, VoterResponse::Pong),
            ClientRequest::Propose { after, value, sure } => {
                match self.may_follow(now, after, &value.text, sure) {
                    Err(why) => self.tell(conn, VoterResponse::NotTaken { why }),
                    Ok(()) => {
                        self.voter.handle_request(now, conn, ClientRequest::Propose { after, value, sure })
                    }
                }
            }
            ClientRequest::Voter { from, word } => {
                if self.asked_on.contains_key(&from) || self.asked_on.len() < ASKED_ON {
                    self.asked_on.insert(from, conn);
                }
                self.hear(now, from, word);
            }
            ask => self.voter.handle_request(now, conn, ask),
        }
    }

    fn hear(&mut self, now: f64, from: VoterId, word: VoterMessage) {
        // A version that does not read would leave nobody to decide the next one. No voter of ours says such.
        if let VoterMessage::Learn { number, text, .. } = &word
            && *number > self.voter.durable().newest()
            && let Err(faults) = parse_document(text)
        {
            tracing::error!(from = from.0, number, fault = %faults[0], "a version that does not read is not taken");
            return;
        }
        if from != self.me {
            self.voter.handle_message(now, from, word);
        }
    }

    /// Whether a proposed document is one, and may follow the newest.
    fn may_follow(&self, now: f64, after: u64, text: &str, sure: bool) -> Result<(), String> {
        if text.len() > MAX_DOCUMENT {
            return Err(format!("the document has {} bytes, {MAX_DOCUMENT} at most", text.len()));
        }
        let faults = |f: Vec<SettingsError>| f.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
        let new = parse_document(text).map_err(faults)?;
        let Some(newest) = self.voter.newest().filter(|c| c.number == after) else { return Ok(()) };
        let old = parse_document(&newest.value.text).map_err(faults)?;
        check_transition(&old, &new, sure)?;
        // With too many that are not there, nothing could be agreed any more, not even to take them off again.
        let joins = new.voters.at.keys().map(|v| VoterId(*v)).filter(|v| !self.voter.deciding().contains(v));
        let absent: Vec<String> =
            joins.filter(|v| !self.voter.ready(now, *v)).map(|v| v.0.to_string()).collect();
        if !absent.is_empty() && !sure {
            return Err(format!(
                "voters.at: not heard of yet as ready to vote: {}; start them first, or say --sure",
                absent.join(", ")
            ));
        }
        Ok(())
    }
}
