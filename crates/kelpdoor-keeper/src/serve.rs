//! The keeper's sockets and its one loop.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use kelpdoor_clock::{BootClock, SlewedClock};
use kelpdoor_seats::{DirectorId, KeeperRequest, LeaseTerms, Ledger, School};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::log::{Log, OpenedLog};
use crate::sockets::{SocketEvent, accept};
use crate::wire::{KeeperClientMessage, KeeperServerMessage, MAX_LINE, SchoolSeatCounts};

/// Directors with a connection at most; words of more are not answered.
pub const MAX_CONNECTED_DIRECTORS: usize = 20_000;
/// Lines waiting for the loop at most; readers wait beyond it.
const ASKS: usize = 4096;
/// Lines written down together at most.
const BATCH: usize = 1024;
/// Bytes of log before it is written anew, and how many times its size when last written anew.
const REWRITE: (u64, u64) = (4 << 20, 4);
/// s; tokens that run out so soon are shown as expiring.
const EXPIRING: f64 = 300.0;
/// Runs out are looked for so often though nobody asks.
const IDLE: Duration = Duration::from_secs(1);

pub struct KeeperOptions {
    pub listen: SocketAddr,
    /// Without one a restart forgets who holds what; leases then end what was held.
    pub ledger: Option<PathBuf>,
    pub lease: LeaseTerms,
    pub schools: Vec<(School, u32)>,
    /// Where schools are agreed: what to go by instead.
    pub agreed: Option<AgreedSchools>,
}

/// Schools under a lease, as of its last change.
#[derive(Clone, Debug)]
pub struct SchoolSeats {
    pub schools: Vec<(School, u32)>,
    /// Of the versions, for the log.
    pub label: String,
    /// Steady time: no seat is given out before, and none from then on.
    pub from: f64,
    pub until: f64,
}

impl SchoolSeats {
    /// Before any version is known.
    pub fn unknown() -> Self {
        let (from, until) = (f64::INFINITY, f64::NEG_INFINITY);
        SchoolSeats { schools: Vec::new(), label: String::new(), from, until }
    }
}

/// Who tells what is agreed, and what leases are counted by.
pub struct AgreedSchools {
    pub seats: watch::Receiver<SchoolSeats>,
    pub clock: BootClock,
}

enum Come {
    Socket(SocketEvent<KeeperClientMessage, KeeperServerMessage>),
    Bought(Vec<(School, u32)>),
    End,
}

impl From<SocketEvent<KeeperClientMessage, KeeperServerMessage>> for Come {
    fn from(came: SocketEvent<KeeperClientMessage, KeeperServerMessage>) -> Self {
        Come::Socket(came)
    }
}

/// A keeper at work.
pub struct RunningKeeper {
    pub address: SocketAddr,
    to: mpsc::Sender<Come>,
    task: JoinHandle<Result<(), String>>,
}

impl RunningKeeper {
    /// Schools and their seats from now on; a school that is not named any more has none.
    pub async fn set_schools(&self, schools: Vec<(School, u32)>) {
        let _ = self.to.send(Come::Bought(schools)).await;
    }

    /// Ends when what was asked so far is written down.
    pub async fn shut_down(&self) {
        let _ = self.to.send(Come::End).await;
    }

    /// # Errors
    /// Why the keeper ended, if not by [`shut_down`](Self::shut_down): its log could not be written.
    pub async fn ended(&mut self) -> Result<(), String> {
        (&mut self.task).await.unwrap_or_else(|e| Err(e.to_string()))
    }

    /// Ends at once, as a kill would.
    pub fn abort(&self) {
        self.task.abort();
    }
}

/// Reads the ledger, binds, and starts.
///
/// # Errors
/// Where the ledger is not as it was written or the address cannot be bound.
pub async fn start(options: KeeperOptions) -> io::Result<RunningKeeper> {
    let mut clock = SlewedClock::default();
    let now = clock.now().0;
    let mut ledger = Ledger::new(options.lease);
    let mut log = None;
    if let Some(path) = options.ledger {
        let opened = tokio::task::spawn_blocking(move || Log::open(&path)).await?;
        let OpenedLog { log: of, changes, truncated_bytes: torn } = opened.map_err(io::Error::other)?;
        if torn > 0 {
            tracing::warn!(
                torn,
                "the ledger's last record was cut short and is dropped; it was never answered"
            );
        }
        changes.iter().for_each(|c| ledger.apply(c));
        ledger.resume(now);
        log = Some(of);
    }
    let listener = TcpListener::bind(options.listen).await?;
    let address = listener.local_addr()?;
    let (to, from) = mpsc::channel(ASKS);
    let mut keeper = Keeper {
        clock,
        ledger,
        rewrite_at: REWRITE.0,
        log,
        conns: HashMap::new(),
        at: HashMap::new(),
        out: Vec::new(),
        agreed: options.agreed,
        sells: None,
    };
    keeper.set_schools(options.schools);
    keeper.keep().await.map_err(io::Error::other)?;
    let task = tokio::spawn(keeper.run(from, listener, to.clone()));
    Ok(RunningKeeper { address, to, task })
}

impl Drop for RunningKeeper {
    fn drop(&mut self) {
        self.abort();
    }
}

struct Keeper {
    clock: SlewedClock,
    ledger: Ledger,
    log: Option<Log>,
    rewrite_at: u64,
    conns: HashMap<u64, mpsc::Sender<KeeperServerMessage>>,
    /// Where each director was last heard.
    at: HashMap<DirectorId, u64>,
    /// Answers that wait for the log.
    out: Vec<(u64, KeeperServerMessage)>,
    agreed: Option<AgreedSchools>,
    /// The versions by which seats are given out now, if they may be; empty before it was looked at.
    sells: Option<String>,
}

fn director(word: &KeeperRequest) -> DirectorId {
    match word {
        KeeperRequest::Hello { director, .. }
        | KeeperRequest::Beat { director, .. }
        | KeeperRequest::Claim { director, .. }
        | KeeperRequest::Spent { director, .. }
        | KeeperRequest::Release { director, .. }
        | KeeperRequest::Lend { director, .. } => *director,
    }
}

impl Keeper {
    fn now(&mut self) -> f64 {
        let (now, stepped) = self.clock.now();
        if let Some(by) = stepped {
            tracing::warn!(by, "the wall clock was stepped; leases go on by our own time");
        }
        now
    }

    async fn run(
        mut self, mut from: mpsc::Receiver<Come>, listener: TcpListener, to: mpsc::Sender<Come>,
    ) -> Result<(), String> {
        // Ended with this task, however that ends.
        let mut listen = JoinSet::new();
        listen.spawn(accept::<KeeperClientMessage, KeeperServerMessage, Come>(
            listener,
            to,
            MAX_LINE,
            KeeperServerMessage::Error,
        ));
        let done = self.work(&mut from).await;
        if let Err(why) = &done {
            tracing::error!(%why, "the keeper of seats ends");
        }
        done
    }

    async fn work(&mut self, from: &mut mpsc::Receiver<Come>) -> Result<(), String> {
        loop {
            let first = tokio::select! {
                first = from.recv() => first,
                () = sleep(IDLE) => None,
            };
            let now = self.now();
            let mut end = false;
            self.ledger.sweep(now);
            self.look();
            if let Some(first) = first {
                end |= self.come(now, first);
            }
            for _ in 0..BATCH {
                let Ok(next) = from.try_recv() else { break };
                end |= self.come(now, next);
            }
            self.keep().await?;
            for (conn, tell) in std::mem::take(&mut self.out) {
                if self.conns.get(&conn).is_some_and(|to| to.try_send(tell).is_err()) {
                    // It does not read: closed, and words are said again on a new connection.
                    self.conns.remove(&conn);
                }
            }
            if end {
                return Ok(());
            }
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
                self.at.retain(|_, at| *at != conn);
            }
            Come::Socket(SocketEvent::Received(conn, KeeperClientMessage::Request(word))) => {
                // At each claim: we may have stood still since the last.
                self.look();
                let from = director(&word);
                if self.at.len() >= MAX_CONNECTED_DIRECTORS && !self.at.contains_key(&from) {
                    return false;
                }
                self.at.insert(from, conn);
                for (to, word) in self.ledger.handle_request(now, &word) {
                    if let Some(conn) = self.at.get(&to) {
                        self.out.push((*conn, KeeperServerMessage::Response(word)));
                    }
                }
            }
            Come::Socket(SocketEvent::Received(conn, KeeperClientMessage::Status)) => {
                let tell = self.standing(now);
                self.out.push((conn, tell));
            }
            Come::Bought(schools) => self.set_schools(schools),
            Come::End => return true,
        }
        false
    }

    fn standing(&self, now: f64) -> KeeperServerMessage {
        let of = |school: &School| {
            let s = self.ledger.status(school);
            let expiring = self.ledger.expiring(school, now + EXPIRING);
            let school = school.0.clone();
            SchoolSeatCounts {
                school,
                bought: s.bought,
                held: s.held,
                leased: s.leased,
                free: s.free,
                expiring,
            }
        };
        KeeperServerMessage::Status {
            directors: self.ledger.directors(),
            schools: self.ledger.schools().map(of).collect(),
        }
    }

    /// Where schools are agreed: those of the lease, or none.
    fn look(&mut self) {
        let Some(agreed) = &mut self.agreed else { return };
        let now = agreed.clock.now();
        let sold = agreed.seats.borrow_and_update();
        let sells = (sold.from <= now && now < sold.until).then(|| sold.label.clone());
        if self.sells == sells {
            return;
        }
        let schools = if sells.is_some() { sold.schools.clone() } else { Vec::new() };
        drop(sold);
        match &sells {
            Some(label) => tracing::info!(label, schools = schools.len(), "the agreed schools"),
            None => {
                tracing::warn!("no lease on the agreed schools: what is held is held, no seat is given out")
            }
        }
        self.sells = sells;
        self.set_schools(schools);
    }

    fn set_schools(&mut self, schools: Vec<(School, u32)>) {
        let mut all: HashMap<School, u32> = self.ledger.schools().map(|s| (s.clone(), 0)).collect();
        all.extend(schools);
        let mut all: Vec<_> = all.into_iter().collect();
        all.sort();
        for (school, seats) in all {
            if self.ledger.status(&school).bought != seats || !self.ledger.schools().any(|s| *s == school) {
                self.ledger.set_seats(&school, seats);
            }
        }
    }

    /// What changed goes to disk, in one write with one sync.
    async fn keep(&mut self) -> Result<(), String> {
        let changes = self.ledger.take_changes();
        if changes.is_empty() {
            return Ok(());
        }
        let Some(mut log) = self.log.take() else { return Ok(()) };
        let whole = (log.bytes() > self.rewrite_at).then(|| self.ledger.snapshot());
        let kept = tokio::task::spawn_blocking(move || {
            // All that stands has these changes in it. A log that cannot be replaced is written on.
            let rewritten = whole.is_some_and(|whole| log.rewrite(&whole).is_ok());
            if !rewritten {
                log.append(&changes)?;
            }
            io::Result::Ok((log, rewritten))
        });
        let (log, rewritten) =
            kept.await.map_err(|e| e.to_string())?.map_err(|e| format!("the ledger's log: {e}"))?;
        if rewritten {
            self.rewrite_at = (log.bytes() * REWRITE.1).max(REWRITE.0);
        }
        self.log = Some(log);
        Ok(())
    }
}
