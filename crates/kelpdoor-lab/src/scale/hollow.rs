//! Hollow directors: the real follower with a connection of its own to each voter and the real words on it, many in a
//! process; no desk, no copy on disk, and of a document the first line alone is read.

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

// As the lines of a real director have it.
/// s; wait before a voter is connected again, at first and at most.
const WAIT: (f64, f64) = (0.05, 1.0);
const CONNECT: Duration = Duration::from_millis(500);
const PING: Duration = Duration::from_millis(500);
const DEAD: Duration = Duration::from_millis(2000);
/// s; the longest wait between two looks at what is due.
const LOOK: f64 = 0.25;

/// B read at a time, for all directors of a process.
const CHUNK: usize = 1 << 16;
/// Kinds of refusals told apart.
const KINDS: usize = 8;
/// s; the longest time of an answer that is told apart.
const LONGEST: u64 = 60;

/// What directors of a process are to be.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowSpec {
    pub fleet: String,
    pub voters: Vec<SocketAddr>,
    /// Number of the first, and how many.
    pub first: usize,
    pub directors: usize,
    /// s; they start within this.
    pub within: f64,
}

/// Of one voter, at the sockets of its directors, since the mark.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VoterStats {
    pub asked: u64,
    pub granted: u64,
    pub refused: u64,
    /// Connections that ended, and that are up now.
    pub ended: u64,
    pub connected: u64,
    /// To the voter and from it.
    pub bytes: (u64, u64),
    pub words: (u64, u64),
    /// µs from a question to its answer, and how many took so long.
    pub answers: Vec<(u64, u64)>,
    /// µs from the mark to a director's first answer, and how many took so long.
    pub firsts: Vec<(u64, u64)>,
}

/// What was seen of all since the mark.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HollowStats {
    pub seconds: f64,
    pub directors: usize,
    /// May begin sessions now.
    pub begin: usize,
    pub voters: Vec<VoterStats>,
    pub refused: BTreeMap<String, u64>,
}

/// Adds up what was seen in several processes.
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
            to.words = (to.words.0 + v.words.0, to.words.1 + v.words.1);
            to.answers.extend(&v.answers);
            to.firsts.extend(&v.firsts);
        }
        for (why, n) in &s.refused {
            *sum.refused.entry(why.clone()).or_default() += n;
        }
    }
    sum
}

/// Times in s as a histogram of µs holds them.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST * 1_000_000, 3).expect("sound bounds")
}

#[derive(Default)]
struct Tally {
    seen: VoterStats,
    answers: Option<Histogram<u64>>,
    firsts: Option<Histogram<u64>>,
}

/// All directors of a process.
struct Group {
    spec: HollowSpec,
    began: Instant,
    mark: Cell<Instant>,
    marks: Cell<u64>,
    tally: RefCell<Vec<Tally>>,
    refused: RefCell<BTreeMap<String, u64>>,
    tracker: RefCell<VersionTracker>,
    chunk: RefCell<Vec<u8>>,
}

/// A director's connection to a voter.
struct VoterConnection {
    stream: Option<Rc<TcpStream>>,
    welcome: bool,
    /// The question out.
    sent: Option<(u64, Instant)>,
    asked: Instant,
    /// The mark after which it was answered last.
    answered: u64,
}

struct HollowDirector {
    /// Among those of its process.
    place: usize,
    group: Rc<Group>,
    follower: RefCell<Follower>,
    ways: RefCell<Vec<VoterConnection>>,
}

/// Directors at work, on the thread that started them.
pub struct HollowDirectors {
    group: Rc<Group>,
    all: Vec<Rc<HollowDirector>>,
}

/// Starts them, on a local set.
pub fn start(spec: HollowSpec) -> HollowDirectors {
    let (n, voters, now) = (spec.directors, spec.voters.len(), Instant::now());
    let group = Rc::new(Group {
        began: now,
        mark: Cell::new(now),
        marks: Cell::new(1),
        tally: RefCell::new((0..voters).map(|_| Tally::default()).collect()),
        refused: RefCell::default(),
        tracker: RefCell::new(VersionTracker::new(n, |_| true)),
        chunk: RefCell::new(vec![0; CHUNK]),
        spec,
    });
    let way = || VoterConnection { stream: None, welcome: false, sent: None, asked: now, answered: 0 };
    let all: Vec<Rc<HollowDirector>> = (0..n)
        .map(|place| {
            let name = format!("hollow-{:05}", group.spec.first + place);
            let hollow = Rc::new(HollowDirector {
                place,
                group: group.clone(),
                follower: RefCell::new(follower::follower(&name, fastrand::u64(..))),
                ways: RefCell::new((0..voters).map(|_| way()).collect()),
            });
            let first = group.spec.within * place as f64 / n as f64;
            spawn_local(hollow.clone().live(first));
            for v in 0..voters {
                spawn_local(hollow.clone().line(v, first));
            }
            hollow
        })
        .collect();
    HollowDirectors { group, all }
}

impl HollowDirectors {
    /// s since their start.
    pub fn now(&self) -> f64 {
        self.group.now()
    }

    /// Who knew and acted on what, times since their start.
    pub fn with_tracker<T>(&self, with: impl FnOnce(&mut VersionTracker) -> T) -> T {
        with(&mut self.group.tracker.borrow_mut())
    }

    /// What was seen since the mark.
    pub fn stats(&self) -> HollowStats {
        let now = self.group.now();
        let begin = self.all.iter().filter(|h| follower::may_begin(&h.follower.borrow(), now)).count();
        let flat = |h: &Option<Histogram<u64>>| -> Vec<(u64, u64)> {
            let all = h.iter().flat_map(|h| h.iter_recorded());
            all.map(|i| (i.value_iterated_to(), i.count_since_last_iteration())).collect()
        };
        let of = |(v, t): (usize, &Tally)| VoterStats {
            answers: flat(&t.answers),
            firsts: flat(&t.firsts),
            connected: self.all.iter().filter(|h| h.ways.borrow()[v].welcome).count() as u64,
            ..t.seen.clone()
        };
        HollowStats {
            seconds: self.group.mark.get().elapsed().as_secs_f64(),
            directors: self.all.len(),
            begin,
            voters: self.group.tally.borrow().iter().enumerate().map(of).collect(),
            refused: self.group.refused.borrow().clone(),
        }
    }

    /// Counts anew.
    pub fn reset_stats(&self) {
        self.group.mark.set(Instant::now());
        self.group.marks.set(self.group.marks.get() + 1);
        self.group.tally.borrow_mut().iter_mut().for_each(|t| *t = Tally::default());
        self.group.refused.borrow_mut().clear();
    }
}

impl Group {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn count(&self, v: usize, with: impl FnOnce(&mut Tally)) {
        if let Some(t) = self.tally.borrow_mut().get_mut(v) {
            with(t);
        }
    }
}

impl HollowDirector {
    /// Looks at what is due, as a real director does.
    async fn live(self: Rc<Self>, first: f64) {
        sleep(Duration::from_secs_f64(first)).await;
        loop {
            self.step();
            self.ping();
            let now = self.group.now();
            // A moment after it is due.
            let due = {
                let f = self.follower.borrow();
                f.next_request_at().min(f.next_change_at(now)).min(now + LOOK)
            };
            sleep(Duration::from_secs_f64((due - now).max(0.001))).await;
        }
    }

    fn step(&self) {
        let now = self.group.now();
        let mut f = self.follower.borrow_mut();
        for (voter, ask) in follower::due_requests(&mut f, now, self.group.spec.voters.len()) {
            self.send(usize::from(voter.0), &ask);
        }
        self.group.tracker.borrow_mut().observe(now, self.place, &f, now, |own| own);
    }

    fn ping(&self) {
        let quiet = |w: &VoterConnection| w.welcome && w.asked.elapsed() >= PING;
        let all: Vec<usize> =
            self.ways.borrow().iter().enumerate().filter(|(_, w)| quiet(w)).map(|(v, _)| v).collect();
        all.into_iter().for_each(|v| self.send(v, &ClientRequest::Ping));
    }

    /// Dropped where there is no connection: whoever asks asks again.
    fn send(&self, v: usize, ask: &ClientRequest) {
        let mut ways = self.ways.borrow_mut();
        let Some(way) = ways.get_mut(v) else { return };
        let first = matches!(ask, ClientRequest::Hello { .. });
        let Some(stream) = way.stream.clone().filter(|_| way.welcome || first) else { return };
        let Ok(mut text) = serde_json::to_vec(ask) else { return };
        text.push(b'\n');
        // A question is short: it goes whole, or the voter has not read for long and closes the line.
        let Ok(n) = stream.try_write(&text) else { return };
        way.asked = Instant::now();
        if let ClientRequest::Renew { seq, .. } = ask {
            way.sent = Some((*seq, way.asked));
        }
        self.group.count(v, |t| {
            t.seen.asked += u64::from(matches!(ask, ClientRequest::Renew { .. }));
            t.seen.bytes.0 += n as u64;
            t.seen.words.0 += 1;
        });
    }

    /// Keeps a connection to that voter.
    async fn line(self: Rc<Self>, v: usize, first: f64) {
        sleep(Duration::from_secs_f64(first)).await;
        let at = self.group.spec.voters[v];
        let mut wait = WAIT.0;
        loop {
            let began = Instant::now();
            if let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(at)).await {
                let _ = stream.set_nodelay(true);
                let stream = Rc::new(stream);
                if let Some(w) = self.ways.borrow_mut().get_mut(v) {
                    (w.stream, w.welcome, w.sent) = (Some(stream.clone()), false, None);
                }
                self.send(v, &ClientRequest::Hello { fleet: self.group.spec.fleet.clone() });
                self.read(v, &stream).await;
                if let Some(w) = self.ways.borrow_mut().get_mut(v) {
                    (w.stream, w.welcome) = (None, false);
                }
                self.group.count(v, |t| t.seen.ended += 1);
            }
            if began.elapsed().as_secs_f64() > WAIT.1 {
                wait = WAIT.0;
            }
            sleep(Duration::from_secs_f64(wait * (0.5 + fastrand::f64()))).await;
            wait = (wait * 2.0).min(WAIT.1);
        }
    }

    /// Reads a connection to its end.
    async fn read(&self, v: usize, stream: &TcpStream) {
        let mut rest: Vec<u8> = Vec::new();
        let mut came = Instant::now();
        loop {
            if timeout(DEAD.saturating_sub(came.elapsed()), stream.readable()).await.is_err() {
                return;
            }
            let mut chunk = self.group.chunk.borrow_mut();
            let n = match stream.try_read(&mut chunk) {
                Ok(0) => return,
                Ok(n) => n,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
                Err(_) => return,
            };
            came = Instant::now();
            self.group.count(v, |t| t.seen.bytes.1 += n as u64);
            let mut tells = Vec::new();
            let mut lines = chunk[..n].split_inclusive(|b| *b == b'\n');
            let mut good = true;
            for part in &mut lines {
                if !part.ends_with(b"\n") || !rest.is_empty() {
                    rest.extend(part);
                }
                if !part.ends_with(b"\n") {
                    break;
                }
                let line = if rest.is_empty() { part } else { &rest[..] };
                match serde_json::from_slice::<VoterResponse>(line) {
                    Ok(tell) => tells.push(tell),
                    Err(_) => good = false,
                }
                rest.clear();
            }
            drop(chunk);
            if !good || rest.len() > MAX_LINE {
                return;
            }
            for tell in tells {
                if !self.heard(v, tell) {
                    return;
                }
            }
        }
    }

    /// Whether the connection stays.
    fn heard(&self, v: usize, tell: VoterResponse) -> bool {
        self.group.count(v, |t| t.seen.words.1 += 1);
        let voter = VoterId(v as u8);
        match tell {
            VoterResponse::Welcome { me } if me == voter => {
                if let Some(w) = self.ways.borrow_mut().get_mut(v) {
                    w.welcome = true;
                }
                self.follower.borrow_mut().connected(voter);
            }
            VoterResponse::Welcome { .. } | VoterResponse::Fault(_) => return false,
            VoterResponse::Pong => return true,
            tell => {
                self.answered(v, &tell);
                // What is wrong with an answer is a real director's to log.
                let _ = self.follower.borrow_mut().handle_response(self.group.now(), voter, tell);
            }
        }
        self.step();
        true
    }

    fn answered(&self, v: usize, tell: &VoterResponse) {
        let granted = match tell {
            VoterResponse::Granted { seq, .. } => Some((*seq, true)),
            VoterResponse::Refused { seq, .. } => Some((*seq, false)),
            _ => None,
        };
        let Some((seq, granted)) = granted else { return };
        let mut ways = self.ways.borrow_mut();
        let Some(way) = ways.get_mut(v) else { return };
        let took = way.sent.take_if(|(sent, _)| *sent == seq).map(|(_, at)| at.elapsed().as_micros() as u64);
        let marks = self.group.marks.get();
        let first = granted && std::mem::replace(&mut way.answered, marks) != marks;
        let since = self.group.mark.get().elapsed().as_micros() as u64;
        self.group.count(v, |t| {
            *if granted { &mut t.seen.granted } else { &mut t.seen.refused } += 1;
            if let Some(took) = took {
                t.answers.get_or_insert_with(latency_histogram).saturating_record(took);
            }
            if first {
                t.firsts.get_or_insert_with(latency_histogram).saturating_record(since);
            }
        });
        if let VoterResponse::Refused { why, .. } = tell {
            let mut refused = self.group.refused.borrow_mut();
            if refused.len() < KINDS || refused.contains_key(why) {
                *refused.entry(why.clone()).or_default() += 1;
            }
        }
    }
}

/// Runs something with hollow directors on a thread of its own.
///
/// # Errors
/// Where the thread cannot be started, or what it ran failed.
pub async fn run_on_thread<T: Send + 'static, F: Future<Output = Result<T>>>(
    what: impl FnOnce() -> F + Send + 'static,
) -> Result<T> {
    let run = move || -> Result<T> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, what())
    };
    tokio::task::spawn_blocking(run).await?
}

/// The process of hollow directors: what they are to be on the first line that comes in, then a line for each wish, `look`,
/// or `mark` to count anew after it; answered with what was seen. Ends with its input.
///
/// # Errors
/// Where a line is neither.
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
