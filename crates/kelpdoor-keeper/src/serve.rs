//! The keeper of seats: its sockets and its event loop, which writes the changes of a batch to the log before it sends
//! the responses.

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

/// Maximum number of connected directors; requests of further ones get no response.
pub const MAX_CONNECTED_DIRECTORS: usize = 20_000;
/// Maximum number of events queued for the loop; beyond it, connections are not read.
const MAX_QUEUED_EVENTS: usize = 4096;
/// Maximum number of queued events handled before the log is written.
const MAX_BATCH: usize = 1024;
/// Size in bytes below which the log is not rewritten.
const MIN_REWRITE_BYTES: u64 = 4 << 20;
/// The log is rewritten when it has grown by this factor since the last time.
const REWRITE_GROWTH: u64 = 4;
/// Time to expiry below which tokens are reported as expiring, in seconds.
const EXPIRING_WITHIN: f64 = 300.0;
/// Interval at which expired claims are removed while no request arrives.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How a keeper is started.
pub struct KeeperOptions {
    pub listen: SocketAddr,
    /// Path of the log. Without one a restart loses all claims; held seats then end with the directors' leases.
    pub ledger: Option<PathBuf>,
    pub lease: LeaseTerms,
    /// Seats of each school.
    pub schools: Vec<(School, u32)>,
    /// If the schools are agreed: replaces `schools`.
    pub agreed: Option<AgreedSchools>,
}

/// The seats of schools by the agreed rules, and the lease under which they are granted.
#[derive(Clone, Debug)]
pub struct SchoolSeats {
    pub schools: Vec<(School, u32)>,
    /// Names the agreed versions in log messages.
    pub label: String,
    /// Boot clock time from which seats are granted, in seconds.
    pub from: f64,
    /// Boot clock time from which no seats are granted any more, in seconds.
    pub until: f64,
}

impl SchoolSeats {
    /// The value before any version is known: no seats are granted.
    pub fn unknown() -> Self {
        let (from, until) = (f64::INFINITY, f64::NEG_INFINITY);
        SchoolSeats { schools: Vec::new(), label: String::new(), from, until }
    }
}

/// Source of the agreed schools, and the clock that measures their lease.
pub struct AgreedSchools {
    pub seats: watch::Receiver<SchoolSeats>,
    pub clock: BootClock,
}

enum Event {
    Socket(SocketEvent<KeeperClientMessage, KeeperServerMessage>),
    SchoolsChanged(Vec<(School, u32)>),
    ShutDown,
}

impl From<SocketEvent<KeeperClientMessage, KeeperServerMessage>> for Event {
    fn from(event: SocketEvent<KeeperClientMessage, KeeperServerMessage>) -> Self {
        Event::Socket(event)
    }
}

/// A running keeper. Dropping it aborts the keeper.
pub struct RunningKeeper {
    pub address: SocketAddr,
    events: mpsc::Sender<Event>,
    task: JoinHandle<Result<(), String>>,
}

impl RunningKeeper {
    /// Replaces the seats of all schools. A school that is not listed has none from now on.
    pub async fn set_schools(&self, schools: Vec<(School, u32)>) {
        let _ = self.events.send(Event::SchoolsChanged(schools)).await;
    }

    /// Ends the keeper after the changes of the requests received so far are written.
    pub async fn shut_down(&self) {
        let _ = self.events.send(Event::ShutDown).await;
    }

    /// Waits until the keeper ends.
    ///
    /// # Errors
    /// If the keeper ended other than by [`shut_down`](Self::shut_down): its log could not be written, or its task panicked
    /// or was aborted.
    pub async fn ended(&mut self) -> Result<(), String> {
        (&mut self.task).await.unwrap_or_else(|e| Err(e.to_string()))
    }

    /// Ends the keeper at once, without writing pending changes.
    pub fn abort(&self) {
        self.task.abort();
    }
}

/// Reads the ledger's log, binds the address and starts the keeper.
///
/// # Errors
/// If the log cannot be read or is corrupted, or the address cannot be bound.
pub async fn start(options: KeeperOptions) -> io::Result<RunningKeeper> {
    let mut clock = SlewedClock::default();
    let now = clock.now().0;
    let mut ledger = Ledger::new(options.lease);
    let mut log = None;
    if let Some(path) = options.ledger {
        let opened = tokio::task::spawn_blocking(move || Log::open(&path)).await?;
        let OpenedLog { log: opened_log, changes, truncated_bytes } = opened.map_err(io::Error::other)?;
        if truncated_bytes > 0 {
            tracing::warn!(
                torn = truncated_bytes,
                "dropped the incomplete last record of the ledger's log; no response was sent for it"
            );
        }
        changes.iter().for_each(|c| ledger.apply(c));
        ledger.resume(now);
        log = Some(opened_log);
    }
    let listener = TcpListener::bind(options.listen).await?;
    let address = listener.local_addr()?;
    let (events, queue) = mpsc::channel(MAX_QUEUED_EVENTS);
    let mut keeper = Keeper {
        clock,
        ledger,
        rewrite_at: MIN_REWRITE_BYTES,
        log,
        connections: HashMap::new(),
        director_connections: HashMap::new(),
        responses: Vec::new(),
        agreed: options.agreed,
        active_label: None,
    };
    keeper.set_schools(options.schools);
    keeper.write_changes().await.map_err(io::Error::other)?;
    let task = tokio::spawn(keeper.run(queue, listener, events.clone()));
    Ok(RunningKeeper { address, events, task })
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
    /// Size of the log in bytes from which it is rewritten.
    rewrite_at: u64,
    connections: HashMap<u64, mpsc::Sender<KeeperServerMessage>>,
    /// By director, the connection of its last request.
    director_connections: HashMap<DirectorId, u64>,
    /// Responses to send when the changes are in the log, with their connection.
    responses: Vec<(u64, KeeperServerMessage)>,
    agreed: Option<AgreedSchools>,
    /// Label of the agreed versions under whose lease seats are granted; `None` without a lease.
    active_label: Option<String>,
}

fn sender(request: &KeeperRequest) -> DirectorId {
    match request {
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
            tracing::warn!(by, "the wall clock was stepped; leases follow internal time");
        }
        now
    }

    async fn run(
        mut self, mut queue: mpsc::Receiver<Event>, listener: TcpListener, events: mpsc::Sender<Event>,
    ) -> Result<(), String> {
        // Dropping the set aborts the listener when this task ends for any reason.
        let mut listener_task = JoinSet::new();
        listener_task.spawn(accept::<KeeperClientMessage, KeeperServerMessage, Event>(
            listener,
            events,
            MAX_LINE,
            KeeperServerMessage::Error,
        ));
        let result = self.run_loop(&mut queue).await;
        if let Err(why) = &result {
            tracing::error!(%why, "the keeper of seats ends after an error");
        }
        result
    }

    async fn run_loop(&mut self, queue: &mut mpsc::Receiver<Event>) -> Result<(), String> {
        loop {
            let first = tokio::select! {
                first = queue.recv() => first,
                () = sleep(SWEEP_INTERVAL) => None,
            };
            let now = self.now();
            let mut shut_down = false;
            self.ledger.sweep(now);
            self.apply_agreed_schools();
            if let Some(first) = first {
                shut_down |= self.handle_event(now, first);
            }
            for _ in 0..MAX_BATCH {
                let Ok(next) = queue.try_recv() else { break };
                shut_down |= self.handle_event(now, next);
            }
            self.write_changes().await?;
            for (connection, response) in std::mem::take(&mut self.responses) {
                if self.connections.get(&connection).is_some_and(|to| to.try_send(response).is_err()) {
                    // The client does not read. The connection is closed; the client repeats its requests on a new one.
                    self.connections.remove(&connection);
                }
            }
            if shut_down {
                return Ok(());
            }
        }
    }

    /// Handles an event; returns whether the keeper shuts down.
    fn handle_event(&mut self, now: f64, event: Event) -> bool {
        match event {
            Event::Socket(SocketEvent::Opened(connection, responses)) => {
                self.connections.insert(connection, responses);
            }
            Event::Socket(SocketEvent::Closed(connection)) => {
                self.connections.remove(&connection);
                self.director_connections.retain(|_, c| *c != connection);
            }
            Event::Socket(SocketEvent::Received(connection, KeeperClientMessage::Request(request))) => {
                // Checked with each request, because the process may have been paused since the last one.
                self.apply_agreed_schools();
                let director = sender(&request);
                if self.director_connections.len() >= MAX_CONNECTED_DIRECTORS
                    && !self.director_connections.contains_key(&director)
                {
                    return false;
                }
                self.director_connections.insert(director, connection);
                for (to, response) in self.ledger.handle_request(now, &request) {
                    if let Some(connection) = self.director_connections.get(&to) {
                        self.responses.push((*connection, KeeperServerMessage::Response(response)));
                    }
                }
            }
            Event::Socket(SocketEvent::Received(connection, KeeperClientMessage::Status)) => {
                let response = self.status(now);
                self.responses.push((connection, response));
            }
            Event::SchoolsChanged(schools) => self.set_schools(schools),
            Event::ShutDown => return true,
        }
        false
    }

    fn status(&self, now: f64) -> KeeperServerMessage {
        let seat_counts = |school: &School| {
            let s = self.ledger.status(school);
            let expiring = self.ledger.expiring(school, now + EXPIRING_WITHIN);
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
            schools: self.ledger.schools().map(seat_counts).collect(),
        }
    }

    /// If schools are agreed: sets the seats that the lease allows now, or none without a lease.
    fn apply_agreed_schools(&mut self) {
        let Some(agreed) = &mut self.agreed else { return };
        let now = agreed.clock.now();
        let seats = agreed.seats.borrow_and_update();
        let active_label = (seats.from <= now && now < seats.until).then(|| seats.label.clone());
        if self.active_label == active_label {
            return;
        }
        let schools = if active_label.is_some() { seats.schools.clone() } else { Vec::new() };
        drop(seats);
        match &active_label {
            Some(label) => {
                tracing::info!(label, schools = schools.len(), "granting seats of the agreed schools")
            }
            None => {
                tracing::warn!("no lease on the agreed schools; held seats stay held, no seat is granted")
            }
        }
        self.active_label = active_label;
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

    /// Writes the ledger's changes to the log, with one write and one sync.
    async fn write_changes(&mut self) -> Result<(), String> {
        let changes = self.ledger.take_changes();
        if changes.is_empty() {
            return Ok(());
        }
        let Some(mut log) = self.log.take() else { return Ok(()) };
        let snapshot = (log.bytes() > self.rewrite_at).then(|| self.ledger.snapshot());
        let written = tokio::task::spawn_blocking(move || {
            // The snapshot includes these changes. If the log cannot be replaced, they are appended to it.
            let rewritten = snapshot.is_some_and(|snapshot| log.rewrite(&snapshot).is_ok());
            if !rewritten {
                log.append(&changes)?;
            }
            io::Result::Ok((log, rewritten))
        });
        let (log, rewritten) =
            written.await.map_err(|e| e.to_string())?.map_err(|e| format!("the ledger's log: {e}"))?;
        if rewritten {
            self.rewrite_at = (log.bytes() * REWRITE_GROWTH).max(MIN_REWRITE_BYTES);
        }
        self.log = Some(log);
        Ok(())
    }
}
