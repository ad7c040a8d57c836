//! Hollow directors: many in one process, each with the real follower, its own connection to each voter and the real
//! messages. They have no sessions and no copy on disk, and read only the first line of a document.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use kelpdoor_agreement::{ClientRequest, MAX_LINE, VoterId, VoterResponse};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use super::follower::{self, Follower, VersionTracker};

// Timeouts as in the voter connections of a real director.
/// Initial delay before reconnecting to a voter, in seconds.
const MIN_RECONNECT_DELAY: f64 = 0.05;
/// Longest delay before reconnecting to a voter, in seconds.
const MAX_RECONNECT_DELAY: f64 = 1.0;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const PING_INTERVAL: Duration = Duration::from_millis(500);
const DEAD_AFTER: Duration = Duration::from_millis(2000);
/// Longest time between two checks for due requests, in seconds.
const MAX_POLL_INTERVAL: f64 = 0.25;

/// Size in bytes of the read buffer that all directors of a process share.
const READ_BUFFER_BYTES: usize = 1 << 16;
/// Most distinct refusal reasons that are counted.
const MAX_REFUSAL_REASONS: usize = 8;
/// Longest response time that is recorded, in seconds.
const MAX_RESPONSE_SECONDS: u64 = 60;

/// Configuration of the hollow directors of a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowSpec {
    pub fleet: String,
    pub voters: Vec<SocketAddr>,
    /// Number of the first director, and count.
    pub first: usize,
    pub directors: usize,
    /// Seconds over which their starts are spread.
    pub within: f64,
}

/// Counters of one voter since the last reset, taken at the sockets of its directors.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VoterStats {
    pub asked: u64,
    pub granted: u64,
    pub refused: u64,
    /// Connections that ended, and connections that are up now.
    pub ended: u64,
    pub connected: u64,
    /// Bytes and messages to the voter and from it.
    pub bytes: (u64, u64),
    #[serde(rename = "words")]
    pub messages: (u64, u64),
    /// Histogram of response times in µs, as pairs of value and count.
    pub answers: Vec<(u64, u64)>,
    /// Histogram of times in µs from the reset to a director's first response.
    pub firsts: Vec<(u64, u64)>,
}

/// Counters of all voters since the last reset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HollowStats {
    pub seconds: f64,
    pub directors: usize,
    /// Directors that may begin sessions now.
    pub begin: usize,
    pub voters: Vec<VoterStats>,
    pub refused: BTreeMap<String, u64>,
}

/// Sums the counters of several processes.
pub fn merge_stats(all: &[HollowStats]) -> HollowStats {
    let mut sum = HollowStats::default();
    for s in all {
        sum.seconds = sum.seconds.max(s.seconds);
        sum.directors += s.directors;
        sum.begin += s.begin;
        sum.voters.resize(sum.voters.len().max(s.voters.len()), VoterStats::default());
        for (to, v) in sum.voters.iter_mut().zip(&s.voters) {
            to.asked += v.asked;
            to.granted += v.granted;
            to.refused += v.refused;
            to.ended += v.ended;
            to.connected += v.connected;
            to.bytes = (to.bytes.0 + v.bytes.0, to.bytes.1 + v.bytes.1);
            to.messages = (to.messages.0 + v.messages.0, to.messages.1 + v.messages.1);
            to.answers.extend(&v.answers);
            to.firsts.extend(&v.firsts);
        }
        for (why, n) in &s.refused {
            *sum.refused.entry(why.clone()).or_default() += n;
        }
    }
    sum
}

/// An empty histogram of times in µs.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RESPONSE_SECONDS * 1_000_000, 3).expect("sound bounds")
}

#[derive(Default)]
struct VoterCounters {
    seen: VoterStats,
    answers: Option<Histogram<u64>>,
    firsts: Option<Histogram<u64>>,
}

/// State that all directors of a process share.
struct Group {
    spec: HollowSpec,
    began: Instant,
    reset_at: Cell<Instant>,
    resets: Cell<u64>,
    counters: RefCell<Vec<VoterCounters>>,
    refused: RefCell<BTreeMap<String, u64>>,
    tracker: RefCell<VersionTracker>,
    buffer: RefCell<Vec<u8>>,
}

/// A director's connection to a voter.
struct VoterConnection {
    stream: Option<Rc<TcpStream>>,
    welcome: bool,
    /// Sequence number and time of the pending request.
    sent: Option<(u64, Instant)>,
    asked: Instant,
    /// Number of the reset after which it was last answered.
    answered: u64,
}

struct HollowDirector {
    /// Index within its process.
    index: usize,
    group: Rc<Group>,
    follower: RefCell<Follower>,
    connections: RefCell<Vec<VoterConnection>>,
}

/// Running hollow directors, on the thread that started them.
pub struct HollowDirectors {
    group: Rc<Group>,
    all: Vec<Rc<HollowDirector>>,
}

/// Starts hollow directors; must run within a `LocalSet`.
pub fn start(spec: HollowSpec) -> HollowDirectors {
    let (n, voters, now) = (spec.directors, spec.voters.len(), Instant::now());
    let group = Rc::new(Group {
        began: now,
        reset_at: Cell::new(now),
        resets: Cell::new(1),
        counters: RefCell::new((0..voters).map(|_| VoterCounters::default()).collect()),
        refused: RefCell::default(),
        tracker: RefCell::new(VersionTracker::new(n, |_| true)),
        buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
        spec,
    });
    let connection = || VoterConnection { stream: None, welcome: false, sent: None, asked: now, answered: 0 };
    let all: Vec<Rc<HollowDirector>> = (0..n)
        .map(|index| {
            let name = format!("hollow-{:05}", group.spec.first + index);
            let hollow = Rc::new(HollowDirector {
                index,
                group: group.clone(),
                follower: RefCell::new(follower::follower(&name, fastrand::u64(..))),
                connections: RefCell::new((0..voters).map(|_| connection()).collect()),
            });
            let first = group.spec.within * index as f64 / n as f64;
            spawn_local(hollow.clone().run(first));
            for v in 0..voters {
                spawn_local(hollow.clone().run_connection(v, first));
            }
            hollow
        })
        .collect();
    HollowDirectors { group, all }
}

impl HollowDirectors {
    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.group.now()
    }

    /// Accesses the version tracker; its times are seconds since the start.
    pub fn with_tracker<T>(&self, with: impl FnOnce(&mut VersionTracker) -> T) -> T {
        with(&mut self.group.tracker.borrow_mut())
    }

    /// Counters since the last reset.
    pub fn stats(&self) -> HollowStats {
        let now = self.group.now();
        let begin = self.all.iter().filter(|h| follower::may_begin(&h.follower.borrow(), now)).count();
        let flat = |h: &Option<Histogram<u64>>| -> Vec<(u64, u64)> {
            let all = h.iter().flat_map(|h| h.iter_recorded());
            all.map(|i| (i.value_iterated_to(), i.count_since_last_iteration())).collect()
        };
        let of = |(v, t): (usize, &VoterCounters)| VoterStats {
            answers: flat(&t.answers),
            firsts: flat(&t.firsts),
            connected: self.all.iter().filter(|h| h.connections.borrow()[v].welcome).count() as u64,
            ..t.seen.clone()
        };
        HollowStats {
            seconds: self.group.reset_at.get().elapsed().as_secs_f64(),
            directors: self.all.len(),
            begin,
            voters: self.group.counters.borrow().iter().enumerate().map(of).collect(),
            refused: self.group.refused.borrow().clone(),
        }
    }

    /// Resets the counters.
    pub fn reset_stats(&self) {
        self.group.reset_at.set(Instant::now());
        self.group.resets.set(self.group.resets.get() + 1);
        self.group.counters.borrow_mut().iter_mut().for_each(|t| *t = VoterCounters::default());
        self.group.refused.borrow_mut().clear();
    }
}

impl Group {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn count(&self, v: usize, with: impl FnOnce(&mut VoterCounters)) {
        if let Some(t) = self.counters.borrow_mut().get_mut(v) {
            with(t);
        }
    }
}

impl HollowDirector {
    /// Sends due requests and pings, as a real director does.
    async fn run(self: Rc<Self>, first: f64) {
        sleep(Duration::from_secs_f64(first)).await;
        loop {
            self.step();
            self.ping();
            let now = self.group.now();
            // At least 1 ms, so that a request is due when the loop wakes up.
            let due = {
                let f = self.follower.borrow();
                f.next_request_at().min(f.next_change_at(now)).min(now + MAX_POLL_INTERVAL)
            };
            sleep(Duration::from_secs_f64((due - now).max(0.001))).await;
        }
    }

    fn step(&self) {
        let now = self.group.now();
        let mut f = self.follower.borrow_mut();
        for (voter, request) in follower::due_requests(&mut f, now, self.group.spec.voters.len()) {
            self.send(usize::from(voter.0), &request);
        }
        self.group.tracker.borrow_mut().observe(now, self.index, &f, now, |own| own);
    }

    fn ping(&self) {
        let quiet = |w: &VoterConnection| w.welcome && w.asked.elapsed() >= PING_INTERVAL;
        let all: Vec<usize> =
            self.connections.borrow().iter().enumerate().filter(|(_, w)| quiet(w)).map(|(v, _)| v).collect();
        all.into_iter().for_each(|v| self.send(v, &ClientRequest::Ping));
    }

    /// Sends a request, or drops it without a connection: the follower repeats requests.
    fn send(&self, v: usize, request: &ClientRequest) {
        let mut connections = self.connections.borrow_mut();
        let Some(connection) = connections.get_mut(v) else { return };
        let first = matches!(request, ClientRequest::Hello { .. });
        let Some(stream) = connection.stream.clone().filter(|_| connection.welcome || first) else { return };
        let Ok(mut text) = serde_json::to_vec(request) else { return };
        text.push(b'\n');
        // Requests are short: one is written whole, or the voter has not read for long and closes the connection.
        let Ok(n) = stream.try_write(&text) else { return };
        connection.asked = Instant::now();
        if let ClientRequest::Renew { seq, .. } = request {
            connection.sent = Some((*seq, connection.asked));
        }
        self.group.count(v, |t| {
            t.seen.asked += u64::from(matches!(request, ClientRequest::Renew { .. }));
            t.seen.bytes.0 += n as u64;
            t.seen.messages.0 += 1;
        });
    }

    /// Keeps a connection to voter `v` open.
    async fn run_connection(self: Rc<Self>, v: usize, first: f64) {
        sleep(Duration::from_secs_f64(first)).await;
        let at = self.group.spec.voters[v];
        let mut wait = MIN_RECONNECT_DELAY;
        loop {
            let began = Instant::now();
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await {
                let _ = stream.set_nodelay(true);
                let stream = Rc::new(stream);
                if let Some(w) = self.connections.borrow_mut().get_mut(v) {
                    (w.stream, w.welcome, w.sent) = (Some(stream.clone()), false, None);
                }
                self.send(v, &ClientRequest::Hello { fleet: self.group.spec.fleet.clone() });
                self.read(v, &stream).await;
                if let Some(w) = self.connections.borrow_mut().get_mut(v) {
                    (w.stream, w.welcome) = (None, false);
                }
                self.group.count(v, |t| t.seen.ended += 1);
            }
            if began.elapsed().as_secs_f64() > MAX_RECONNECT_DELAY {
                wait = MIN_RECONNECT_DELAY;
            }
            sleep(Duration::from_secs_f64(wait * (0.5 + fastrand::f64()))).await;
            wait = (wait * 2.0).min(MAX_RECONNECT_DELAY);
        }
    }

    /// Reads responses until the connection ends.
    async fn read(&self, v: usize, stream: &TcpStream) {
        let mut rest: Vec<u8> = Vec::new();
        let mut last_read_at = Instant::now();
        loop {
            if timeout(DEAD_AFTER.saturating_sub(last_read_at.elapsed()), stream.readable()).await.is_err() {
                return;
            }
            let mut buffer = self.group.buffer.borrow_mut();
            let n = match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(n) => n,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
                Err(_) => return,
            };
            last_read_at = Instant::now();
            self.group.count(v, |t| t.seen.bytes.1 += n as u64);
            let mut responses = Vec::new();
            let mut lines = buffer[..n].split_inclusive(|b| *b == b'\n');
            let mut valid = true;
            for part in &mut lines {
                if !part.ends_with(b"\n") || !rest.is_empty() {
                    rest.extend(part);
                }
                if !part.ends_with(b"\n") {
                    break;
                }
                let line = if rest.is_empty() { part } else { &rest[..] };
                match serde_json::from_slice::<VoterResponse>(line) {
                    Ok(response) => responses.push(response),
                    Err(_) => valid = false,
                }
                rest.clear();
            }
            drop(buffer);
            if !valid || rest.len() > MAX_LINE {
                return;
            }
            for response in responses {
                if !self.handle_voter_response(v, response) {
                    return;
                }
            }
        }
    }

    /// Handles a response; returns whether to keep the connection.
    fn handle_voter_response(&self, v: usize, response: VoterResponse) -> bool {
        self.group.count(v, |t| t.seen.messages.1 += 1);
        let voter = VoterId(v as u8);
        match response {
            VoterResponse::Welcome { me } if me == voter => {
                if let Some(w) = self.connections.borrow_mut().get_mut(v) {
                    w.welcome = true;
                }
                self.follower.borrow_mut().connected(voter);
            }
            VoterResponse::Welcome { .. } | VoterResponse::Fault(_) => return false,
            VoterResponse::Pong => return true,
            response => {
                self.answered(v, &response);
                // A real director logs errors in responses; they do not matter here.
                let _ = self.follower.borrow_mut().handle_response(self.group.now(), voter, response);
            }
        }
        self.step();
        true
    }

    fn answered(&self, v: usize, response: &VoterResponse) {
        let granted = match response {
            VoterResponse::Granted { seq, .. } => Some((*seq, true)),
            VoterResponse::Refused { seq, .. } => Some((*seq, false)),
            _ => None,
        };
        let Some((seq, granted)) = granted else { return };
        let mut connections = self.connections.borrow_mut();
        let Some(connection) = connections.get_mut(v) else { return };
        let took =
            connection.sent.take_if(|(sent, _)| *sent == seq).map(|(_, at)| at.elapsed().as_micros() as u64);
        let resets = self.group.resets.get();
        let first = granted && std::mem::replace(&mut connection.answered, resets) != resets;
        let since = self.group.reset_at.get().elapsed().as_micros() as u64;
        self.group.count(v, |t| {
            *if granted { &mut t.seen.granted } else { &mut t.seen.refused } += 1;
            if let Some(took) = took {
                t.answers.get_or_insert_with(latency_histogram).saturating_record(took);
            }
            if first {
                t.firsts.get_or_insert_with(latency_histogram).saturating_record(since);
            }
        });
        if let VoterResponse::Refused { why, .. } = response {
            let mut refused = self.group.refused.borrow_mut();
            if refused.len() < MAX_REFUSAL_REASONS || refused.contains_key(why) {
                *refused.entry(why.clone()).or_default() += 1;
            }
        }
    }
}

/// Runs a task with hollow directors on a separate thread.
///
/// # Errors
/// The runtime cannot be started, or the task fails.
pub async fn run_on_thread<T: Send + 'static, F: Future<Output = Result<T>>>(
    what: impl FnOnce() -> F + Send + 'static,
) -> Result<T> {
    let run = move || -> Result<T> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, what())
    };
    tokio::task::spawn_blocking(run).await?
}

/// Runs a process of hollow directors. The first line of standard input is a [`HollowSpec`] in JSON; each further line is
/// `look`, or `mark` to reset the counters afterwards, and is answered with [`HollowStats`]. Ends with the input.
///
/// # Errors
/// The input has an invalid line.
pub async fn run_process() -> Result<()> {
    run_on_thread(|| async {
        let mut lines = BufReader::new(tokio::io::stdin()).lines();
        let first = lines.next_line().await?.context("no first line")?;
        let hollows = start(serde_json::from_str(&first).context("the first line")?);
        while let Some(line) = lines.next_line().await? {
            let seen = hollows.stats();
            match line.as_str() {
                "look" => {}
                "mark" => hollows.reset_stats(),
                other => anyhow::bail!("neither look nor mark: {other:?}"),
            }
            println!("{}", serde_json::to_string(&seen)?);
        }
        Ok(())
    })
    .await
}
