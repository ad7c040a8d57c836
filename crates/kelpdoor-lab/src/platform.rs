//! A stand-in of the users' platform, written from its pages: media nodes on RTSP/1.0, a change log of server-sent events,
//! viewers on JSON lines, and faults on a script. What crosses the sockets is recorded in the checker's own terms, so that
//! the six rules are judged by the checker that is there; what it has no rule for (ends told in time, bad viewers turned
//! away, how processes end) is kept as faults in words.

mod feed;
mod node;
mod viewers;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use anyhow::{Context, Result};
use fastrand::Rng;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use crate::record::{Event, Recorder, now};

/// s; a connection that is reset, a late turn of this process.
const SLACK: f64 = 0.25;
const PLACES: f64 = 39.0;

/// How often things go wrong: each a part of answers, or of a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Answers: noise, cut short, endless, never, twice, behind one under an unknown id.
    pub noise: f64,
    pub cut: f64,
    pub endless: f64,
    pub never: f64,
    pub doubled: f64,
    pub foreign: f64,
    /// SETUPs refused: 453, 500, 504.
    pub refused: f64,
    /// Connections to nodes reset, a second.
    pub resets: f64,
    /// Bad viewers, a second.
    pub rude: f64,
    /// Of set-ups, those whose viewer cancels them or closes within 0.3 s.
    pub leaving: f64,
}

#[derive(Clone, Copy, Debug)]
pub enum Happens {
    Faults(Faults),
    /// A node's process dies, is back, its machine vanishes, it drains, it is taken off the list.
    Kill(u32),
    Restart(u32),
    Vanish(u32),
    Drain(u32),
    Remove(u32),
    /// Every stream of the change log breaks off in an event, or falls silent while it stays open.
    BreakFeed,
    SilenceFeed,
    /// The change log moves, and directors are told by a new configuration and SIGHUP.
    MoveFeed,
    /// SIGKILL, a start from nothing, and SIGTERM, of a director.
    KillDirector(u32),
    StartDirector(u32),
    EndDirector(u32),
}

#[derive(Clone, Debug)]
pub struct Day {
    pub directors: u32,
    pub nodes: u32,
    pub seconds: f64,
    /// Set-ups a second at each director, and how long sessions last.
    pub rate: f64,
    pub life: f64,
    pub seed: u64,
    pub sockets: u64,
    pub script: Vec<(f64, Happens)>,
}

impl Default for Day {
    /// Some seconds of everything, one after the other and some of it together.
    fn default() -> Self {
        let bad = Faults {
            noise: 0.04,
            cut: 0.04,
            endless: 0.02,
            never: 0.02,
            doubled: 0.05,
            foreign: 0.05,
            refused: 0.05,
            resets: 3.0,
            rude: 8.0,
            leaving: 0.2,
        };
        Day {
            directors: 2,
            nodes: 6,
            seconds: 20.0,
            rate: 15.0,
            life: 4.0,
            seed: 1,
            sockets: 256,
            script: vec![
                (2.0, Happens::Faults(bad)),
                (4.0, Happens::BreakFeed),
                (4.5, Happens::Kill(1)),
                (5.0, Happens::Drain(2)),
                (6.0, Happens::MoveFeed),
                (7.0, Happens::Restart(1)),
                (7.5, Happens::Remove(2)),
                (8.0, Happens::Vanish(3)),
                (9.0, Happens::KillDirector(1)),
                (10.0, Happens::StartDirector(1)),
                (11.0, Happens::SilenceFeed),
                (11.1, Happens::Drain(4)),
                (13.5, Happens::Kill(3)),
                (15.0, Happens::Restart(3)),
                (17.0, Happens::Faults(Faults::default())),
            ],
        }
    }
}

/// What a day came to, beside its record.
#[derive(Clone, Debug, Default)]
pub struct Told {
    pub wrong: Vec<String>,
    pub started: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Ends that viewers were told, bad viewers turned away, spoilt answers sent.
    pub ends: usize,
    pub rude: usize,
    pub spoilt: usize,
}

struct Stand {
    director: u32,
    conn: u64,
}

struct NodeState {
    cell: u32,
    phase: &'static str,
    born_ms: u64,
    ports: Vec<u16>,
    up: bool,
    vanished: bool,
    tasks: Vec<JoinHandle<()>>,
    conns: BTreeMap<u64, (u32, UnboundedSender<node::Out>)>,
    stands: BTreeMap<String, Stand>,
    /// Releases that no connection was open for.
    owed: Vec<(u32, String)>,
}

/// What a viewer waits for.
struct Wait {
    director: u32,
    boot: u32,
    answered: bool,
    over: bool,
    /// Its viewer closed or cancelled.
    left: bool,
}

struct DirectorState {
    boot: u32,
    child: Option<Child>,
    port: u16,
    /// Not there yet, or told to end: nothing is sent to it.
    ending: bool,
}

#[derive(Default)]
struct State {
    faults: Faults,
    nodes: BTreeMap<u32, NodeState>,
    /// Events of the change log as JSON; and which streams are cut or mute, by their number.
    events: Vec<String>,
    feeds: BTreeMap<u64, UnboundedSender<feed::Turn>>,
    feed_ports: Vec<u16>,
    /// What accepts the change log's streams, by director.
    feed_tasks: Vec<JoinHandle<()>>,
    waits: BTreeMap<String, Wait>,
    /// Sessions that are over, by when their viewers have to have been told.
    owed: BTreeMap<String, f64>,
    directors: Vec<DirectorState>,
    told: Told,
    next: u64,
}

/// The platform at work.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    recorder: Recorder,
    day: Arc<Day>,
    program: PathBuf,
    dir: PathBuf,
}

/// The settings as directors read them.
fn settings(day: &Day, me: u32) -> serde_json::Value {
    let class = |name: &str, credit: f64, repeat: &str| {
        json!({"credit": credit, "name": name, "promiseMs": 1500.0, "deadlineMs": 3000.0, "repeat": repeat, "keyScope": "cell",
            "repeatWindowMs": 2000.0})
    };
    json!({
        "allowed": {"connIdleMs": 30000.0, "connectTimeoutMs": 250.0, "maxRetryAfterMs": 1000.0, "mayCancel": true,
            "retryAfter": true, "sendCap": 4},
        "feedback": {"fields": ["inflight", "x0"], "how": "piggyback"},
        "kinds": ["box"], "me": me, "siblings": day.directors, "zone": 0, "zones": ["one"],
        "profiles": [class("lecture", 2.0, "safe"), class("paid", 1.0, "unsafe"), class("clip", 1.0, "keyed")],
        "rules": {"coldFrom": 0.4, "drainGraceMs": 1000.0, "fallMs": 3000.0, "tipMultiple": 4.0, "warmWithinMs": 8000.0,
            "ratioSpanMs": 10000.0, "extraFree": 6, "repeatRatio": 0.3},
        "specifics": {"cells": day.nodes, "highestRung": [4, 3, 3], "levelWorth": [0.2, 0.42, 0.62, 0.82, 1.0],
            "linkUnitKb": 19080.0, "lowestRung": [0, 0, 1], "licenceCap": [12, 0, 0], "placesByKind": [PLACES],
            "rackKb": 200_000.0, "racks": 1, "ratesKb": [120.0, 221.0, 405.0, 744.0, 1365.0],
            "scaleByClass": [1.0, 1.0, 1.0], "seenAfterMs": 300.0, "switchCostS": 0.8, "toldEveryMs": 1000.0},
    })
}

/// The same as the checker reads it.
fn terms() -> serde_json::Value {
    let group = |name: &str, utility: f64, floor: u8, top: u8, seats: u32, repeat: &str| {
        json!({"name": name, "utility": utility, "start_target": 1.5, "floor": floor, "top": top, "seats": seats,
            "repeat": repeat, "repeat_window": 2.0})
    };
    json!({
        "groups": [group("lecture", 2.0, 0, 4, 12, "freely"), group("paid", 1.0, 0, 3, 0, "never"),
            group("clip", 1.0, 1, 3, 0, "cell")],
        "ladder": {"utility": [0.2, 0.42, 0.62, 0.82, 1.0]},
        "fleet": {"cold_from": 0.4, "warm_within": 8.0, "tip_multiple": 4.0, "fall_window": 3.0, "drain_grace": 1.0},
        "further": {"free": 6.0, "per_taken": 0.3, "span": 10.0},
    })
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn wrong(&self, what: String) {
        self.lock().told.wrong.push(what);
    }

    fn config(&self, d: u32) -> PathBuf {
        self.dir.join(format!("platform-{d}.json"))
    }

    fn write_config(&self, d: u32) -> Result<()> {
        let s = self.lock();
        let known: Vec<serde_json::Value> =
            s.events.iter().map(|e| serde_json::from_str(e).unwrap_or_default()).collect();
        let config = json!({
            "name": format!("n{d}"),
            "listen": format!("127.0.0.1:{}", s.directors[d as usize].port),
            "seed": format!("{:016x}", self.day.seed.wrapping_mul(7919) + u64::from(d)),
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": self.day.sockets},
            "changelog": format!("127.0.0.1:{}", s.feed_ports[d as usize]),
            "known": {"seq": s.events.len(), "results": feed::for_director(&known, &s.nodes, d)},
            "settings": settings(&self.day, d),
        });
        std::fs::write(self.config(d), config.to_string())
            .with_context(|| self.config(d).display().to_string())
    }

    async fn start_director(&self, d: u32) -> Result<()> {
        self.write_config(d)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("platform-{d}.log")))?;
        let child = Command::new(&self.program)
            .args(["director", "platform", "--log-filter", "info"])
            .env("PROXY_CONFIG", self.config(d))
            .env("PROXY_NAME", format!("n{d}"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()
            .context("starting a director")?;
        let (boot, port) = {
            let mut s = self.lock();
            let of = &mut s.directors[d as usize];
            of.boot += 1;
            of.child = Some(child);
            // Viewers come once it has passed a test.
            of.ending = true;
            (of.boot, of.port)
        };
        viewers::ready(port).await.with_context(|| format!("director {d} is not ready"))?;
        self.lock().directors[d as usize].ending = false;
        self.recorder.record(Event::Director { director: d, boot, event: "started".into() });
        // What the configuration told it.
        let nodes =
            self.lock().nodes.iter().map(|(&id, n)| feed::line_for_checker(id, n)).collect::<Vec<_>>();
        let text = json!({"whole": {"nodes": nodes}}).to_string();
        self.recorder.record(Event::Roster { director: d, text });
        Ok(())
    }

    fn pid(&self, d: u32) -> Option<Pid> {
        let id = self.lock().directors[d as usize].child.as_ref()?.id()?;
        Some(Pid::from_raw(i32::try_from(id).ok()?))
    }

    fn signal(&self, d: u32, signal: Signal) {
        if let Some(pid) = self.pid(d) {
            let _ = kill(pid, signal);
        }
    }

    async fn kill_director(&self, d: u32) {
        let (child, boot) = {
            let mut s = self.lock();
            let of = &mut s.directors[d as usize];
            of.ending = true;
            (of.child.take(), of.boot)
        };
        if let Some(mut child) = child {
            self.recorder.record(Event::Director { director: d, boot, event: "killed".into() });
            let _ = child.kill().await;
        }
        self.forget(d);
    }

    /// A director is gone, and its sessions with it.
    fn forget(&self, d: u32) {
        let mut s = self.lock();
        for n in s.nodes.values_mut() {
            n.stands.retain(|_, stand| stand.director != d);
            n.owed.retain(|(of, _)| *of != d);
        }
        let gone: Vec<String> =
            s.waits.iter().filter(|(_, w)| w.director == d).map(|(t, _)| t.clone()).collect();
        for tag in gone {
            s.waits.remove(&tag);
            s.owed.remove(&tag);
        }
    }

    /// SIGTERM: it has to answer all it took, and to exit with 0.
    async fn end_director(&self, d: u32) {
        let (child, boot) = {
            let mut s = self.lock();
            let of = &mut s.directors[d as usize];
            (of.child.take(), of.boot)
        };
        let Some(mut child) = child else { return };
        self.recorder.record(Event::Director { director: d, boot, event: "ending".into() });
        if let Some(id) = child.id().and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), Signal::SIGTERM);
        }
        // Set-ups come for a while yet.
        sleep(Duration::from_millis(500)).await;
        self.lock().directors[d as usize].ending = true;
        match tokio::time::timeout(Duration::from_secs(5), child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            other => self.wrong(format!("director {d} did not end well: {other:?}")),
        }
        let open = self.lock().waits.values().filter(|w| w.director == d && !w.answered && !w.left).count();
        if open > 0 {
            self.wrong(format!("director {d} ended with {open} set-ups unanswered"));
        }
        self.forget(d);
    }

    async fn act(&self, what: Happens) -> Result<()> {
        self.recorder.record(Event::Trouble { text: format!("{what:?}") });
        match what {
            Happens::Faults(faults) => self.lock().faults = faults,
            Happens::Kill(id) => self.node_down(id, "killed"),
            Happens::Restart(id) => self.node_back(id).await?,
            Happens::Vanish(id) => self.vanish(id).await?,
            Happens::Drain(id) => self.tell(id, "draining"),
            Happens::Remove(id) => {
                self.node_down(id, "removed");
                self.tell(id, "removed");
            }
            Happens::BreakFeed => self.turn_feeds(feed::Turn::Break),
            Happens::SilenceFeed => self.turn_feeds(feed::Turn::Mute),
            Happens::MoveFeed => {
                for d in 0..self.day.directors {
                    let listener = TcpListener::bind("127.0.0.1:0").await?;
                    let port = listener.local_addr()?.port();
                    let task = tokio::spawn(self.clone().feed(d, listener));
                    {
                        let mut s = self.lock();
                        s.feed_ports[d as usize] = port;
                        // The old one takes no connection any more.
                        std::mem::replace(&mut s.feed_tasks[d as usize], task).abort();
                    }
                    self.write_config(d)?;
                    self.signal(d, Signal::SIGHUP);
                }
                self.turn_feeds(feed::Turn::Break);
            }
            Happens::KillDirector(d) => self.kill_director(d).await,
            Happens::StartDirector(d) => self.start_director(d).await?,
            Happens::EndDirector(d) => self.end_director(d).await,
        }
        Ok(())
    }

    /// Whether all that is owed has been told by now.
    fn overdue(&self) {
        let mut s = self.lock();
        let now = now();
        let late: Vec<String> = s.owed.iter().filter(|(_, by)| **by < now).map(|(t, _)| t.clone()).collect();
        for tag in late {
            s.owed.remove(&tag);
            let of = s.waits.get(&tag).filter(|w| !w.left).map(|w| (w.director, w.boot));
            if of.is_none() && s.waits.contains_key(&tag) {
                // Its viewer went first.
                continue;
            }
            s.told.wrong.push(format!("{tag} was over, and its viewer not told in time ({of:?})"));
        }
    }
}

/// Plays a day with `program` as the daemon; the record goes to `recorder`, what is kept on disk to `dir`.
///
/// # Errors
/// Where a stand-in cannot listen or a director not be started.
pub async fn play(day: Day, program: PathBuf, dir: &Path, recorder: Recorder) -> Result<Told> {
    recorder.record(Event::Settings { text: terms().to_string() });
    let mut rng = Rng::with_seed(day.seed);
    let platform = Platform {
        state: Arc::default(),
        recorder,
        day: Arc::new(day.clone()),
        program,
        dir: dir.to_owned(),
    };
    for id in 0..day.nodes {
        platform.add_node(id).await?;
    }
    for d in 0..day.directors {
        let feed = TcpListener::bind("127.0.0.1:0").await?;
        // A port of its own that stays its own over restarts.
        let port = TcpListener::bind("127.0.0.1:0").await?.local_addr()?.port();
        {
            let mut s = platform.lock();
            s.feed_ports.push(feed.local_addr()?.port());
            s.directors.push(DirectorState { boot: 0, child: None, port, ending: false });
        }
        let task = tokio::spawn(platform.clone().feed(d, feed));
        platform.lock().feed_tasks.push(task);
        platform.start_director(d).await?;
    }
    let background = [
        tokio::spawn(platform.clone().notes()),
        tokio::spawn(platform.clone().resets(rng.fork())),
        tokio::spawn(platform.clone().rude(rng.fork())),
    ];
    let fronts: Vec<JoinHandle<()>> =
        (0..day.directors).map(|d| tokio::spawn(platform.clone().front(d, rng.fork()))).collect();
    let began = Instant::now();
    for (at, what) in &day.script {
        sleep_until(began + Duration::from_secs_f64(*at)).await;
        platform.act(*what).await?;
    }
    for front in fronts {
        front.await?;
    }
    // What was taken is answered, what stands ends.
    sleep(Duration::from_secs_f64(1.0)).await;
    platform.overdue();
    for d in 0..day.directors {
        platform.end_director(d).await;
    }
    background.iter().for_each(JoinHandle::abort);
    let told = platform.lock().told.clone();
    Ok(told)
}
