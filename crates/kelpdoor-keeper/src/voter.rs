//! A voter's sockets, its store, and its one loop. What it promised, accepted or learned is on disk before any word that
//! rests on it leaves.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use kelpdoor_agreement::keys::may_follow;
use kelpdoor_agreement::{Ask, Durable, MAX_DOCUMENT, MAX_LINE, Out, Tell, Voter, VoterId, lease_of};
use kelpdoor_clock::Steady;
use kelpdoor_script::Shared;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::line::{MOST_OUT, line};
use crate::sockets::{Came, accept};

const FORMAT: &str = "kelpdoor-voter 1";
/// Lines waiting for the loop at most; readers wait beyond it.
const ASKS: usize = 4096;
/// Lines that one write may stand for at most.
const BATCH: usize = 256;
/// Times are looked at so often though nobody asks.
const IDLE: Duration = Duration::from_millis(500);
/// s; the lease that is granted under a document that does not read, which no voter lets pass: none.
const UNREAD: f64 = 0.0;

pub struct VoterOptions {
    pub me: VoterId,
    /// Of each voter, this one included.
    pub voters: Vec<SocketAddr>,
    pub listen: SocketAddr,
    pub fleet: String,
    pub store: PathBuf,
    /// The fleet is founded now: without a store that is said, or a voter without one takes its own for lost.
    pub found: bool,
    pub clock_rate: f64,
}

/// Names a fleet and how many vote in it.
pub fn fleet_id(fleet: &str, voters: usize) -> String {
    format!("{fleet}/{voters}")
}

/// The lease, s, under a document; none under one that is not read.
pub fn document_lease(text: &str) -> f64 {
    Shared::run("document", text).map_or(UNREAD, |s| lease_of(s.directors.contradiction))
}

enum Come {
    Socket(Came<Ask, Tell>),
    End,
}

impl From<Came<Ask, Tell>> for Come {
    fn from(came: Came<Ask, Tell>) -> Self {
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
    let fleet = fleet_id(&options.fleet, options.voters.len());
    let named = format!("{fleet} voter {}", options.me.0);
    let path = options.store.clone();
    let kept = tokio::task::spawn_blocking(move || kelpdoor_kept::load::<Durable>(&path, FORMAT)).await?;
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
        (None, true) => Durable::founded(&named),
        (None, false) => {
            tracing::warn!("{shown}: no store; not voting before the others are heard and have gone on");
            Durable::lost(&named)
        }
    };
    save(&options.store, durable.clone()).await.map_err(io::Error::other)?;
    let listener = TcpListener::bind(options.listen).await?;
    let address = listener.local_addr()?;
    let steady = Steady::new(options.clock_rate);
    let voter = Voter::new(
        options.me,
        options.voters.len() as u8,
        durable,
        document_lease,
        fastrand::u64(..),
        steady.now(),
    );
    tracing::info!(newest = voter.durable().newest(), votes = voter.durable().votes(), "voting");
    let (to, from) = mpsc::channel(ASKS);
    let mut tasks = JoinSet::new();
    let mut peers = HashMap::new();
    for (k, at) in options.voters.iter().enumerate().filter(|(k, _)| *k != usize::from(options.me.0)) {
        let (ask, asks) = mpsc::channel(MOST_OUT);
        let place = VoterId(k as u8);
        tasks.spawn(line(*at, fleet.clone(), place, asks, None));
        peers.insert(place, ask);
    }
    tasks.spawn(accept::<Ask, Tell, Come>(listener, to.clone(), MAX_LINE, Tell::Fault));
    let shell = Shell {
        me: options.me,
        fleet,
        voter,
        steady,
        store: options.store,
        peers,
        conns: HashMap::new(),
        welcome: HashSet::new(),
        told: 0,
        _tasks: tasks,
    };
    let task = tokio::spawn(shell.run(from));
    Ok(RunningVoter { address, to, task })
}

/// On disk when this returns.
async fn save(path: &std::path::Path, durable: Durable) -> Result<(), String> {
    let path = path.to_owned();
    let saved = tokio::task::spawn_blocking(move || kelpdoor_kept::save(&path, FORMAT, &durable)).await;
    saved.map_err(|e| e.to_string())?.map_err(|e| e.to_string())
}

struct Shell {
    me: VoterId,
    fleet: String,
    voter: Voter,
    steady: Steady,
    store: PathBuf,
    peers: HashMap<VoterId, mpsc::Sender<Ask>>,
    conns: HashMap<u64, mpsc::Sender<Tell>>,
    /// Connections that named our fleet.
    welcome: HashSet<u64>,
    /// The newest version that was logged.
    told: u64,
    /// Ended with the shell.
    _tasks: JoinSet<()>,
}

impl Shell {
    async fn run(mut self, mut from: mpsc::Receiver<Come>) -> Result<(), String> {
        let done = self.work(&mut from).await;
        if let Err(why) = &done {
            // What follows would rest on what is not on disk: better gone than forgetful.
            tracing::error!(%why, "the voter ends");
        }
        done
    }

    async fn work(&mut self, from: &mut mpsc::Receiver<Come>) -> Result<(), String> {
        loop {
            let wait = (self.voter.next() - self.steady.now()).clamp(0.001, IDLE.as_secs_f64());
            let first = tokio::select! {
                first = from.recv() => first,
                () = sleep(Duration::from_secs_f64(wait)) => None,
            };
            let now = self.steady.now();
            let mut end = false;
            self.voter.tick(now);
            if let Some(first) = first {
                end |= self.come(now, first);
            }
            for _ in 0..BATCH {
                let Ok(next) = from.try_recv() else { break };
                end |= self.come(now, next);
            }
            let (write, out) = self.voter.take_out();
            if let Some(durable) = write {
                save(&self.store, durable).await?;
            }
            self.say(out);
            if end {
                return Ok(());
            }
        }
    }

    fn say(&mut self, out: Vec<Out>) {
        for o in out {
            match o {
                Out::To(to, word) => {
                    if let Some(line) = self.peers.get(&to) {
                        let _ = line.try_send(Ask::Voter { from: self.me, word });
                    }
                }
                Out::Tell(conn, tell) => self.tell(conn, tell),
            }
        }
        if let Some(c) = self.voter.newest().filter(|c| c.number > self.told) {
            tracing::info!(version = c.number, digest = c.digest(), "a version is agreed");
            self.told = c.number;
        }
    }

    fn tell(&mut self, conn: u64, tell: Tell) {
        if self.conns.get(&conn).is_some_and(|to| to.try_send(tell).is_err()) {
            // It does not read: closed.
            self.conns.remove(&conn);
        }
    }

    /// Whether that was the end.
    fn come(&mut self, now: f64, come: Come) -> bool {
        match come {
            Come::Socket(Came::Opened(conn, to)) => {
                self.conns.insert(conn, to);
            }
            Come::Socket(Came::Closed(conn)) => {
                self.conns.remove(&conn);
                self.welcome.remove(&conn);
            }
            Come::Socket(Came::Asked(conn, ask)) => self.asked(now, conn, ask),
            Come::End => return true,
        }
        false
    }

    fn asked(&mut self, now: f64, conn: u64, ask: Ask) {
        match ask {
            Ask::Hello { fleet } if fleet == self.fleet => {
                self.welcome.insert(conn);
                self.tell(conn, Tell::Welcome { me: self.me });
            }
            Ask::Hello { fleet } => {
                tracing::warn!(conn, %fleet, "of another fleet");
                let why = format!("this is a voter of fleet {:?}, not of {fleet:?}", self.fleet);
                self.tell(conn, Tell::Fault(why));
                self.conns.remove(&conn);
            }
            _ if !self.welcome.contains(&conn) => {
                self.tell(conn, Tell::Fault("the first line names the fleet".to_owned()));
                self.conns.remove(&conn);
            }
            Ask::Ping => self.tell(conn, Tell::Pong),
            Ask::Propose { after, value, sure } => match self.may_follow(after, &value.text, sure) {
                Err(why) => self.tell(conn, Tell::NotTaken { why }),
                Ok(()) => self.voter.ask(now, conn, Ask::Propose { after, value, sure }),
            },
            ask => self.voter.ask(now, conn, ask),
        }
    }

    /// Whether a proposed document is one, and may follow the newest.
    fn may_follow(&self, after: u64, text: &str, sure: bool) -> Result<(), String> {
        if text.len() > MAX_DOCUMENT {
            return Err(format!("the document has {} bytes, {MAX_DOCUMENT} at most", text.len()));
        }
        let faults =
            |f: Vec<kelpdoor_script::Fault>| f.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
        let new = Shared::run("the document", text).map_err(faults)?;
        let Some(newest) = self.voter.newest().filter(|c| c.number == after) else { return Ok(()) };
        let old = Shared::run("the version before", &newest.value.text).map_err(faults)?;
        may_follow(&old, &new, sure).map(|_| ())
    }
}
