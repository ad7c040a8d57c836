//! A simulation of the users' platform, written from its documentation: media nodes on RTSP/1.0, a change log of server-sent
//! events, viewers on JSON lines, and scripted faults.
//!
//! Traffic is recorded in the format of the common checker, which checks the six rules. Properties outside these rules (ends
//! of sessions reported in time, misbehaving viewers rejected, exit of processes) are checked here; their violations are
//! collected as text.

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

/// Tolerance for connection resets and for scheduling delays of this process, in seconds.
const RECORD_TOLERANCE: f64 = 0.25;
/// Number of sessions that a node can serve.
const NODE_CAPACITY: f64 = 39.0;

/// Rates of faults: probabilities, or events per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Probabilities that a node's response is noise, truncated, endless, missing, sent twice, or preceded by one with an
    /// unknown session id.
    pub noise: f64,
    pub cut: f64,
    pub endless: f64,
    pub never: f64,
    pub doubled: f64,
    pub foreign: f64,
    /// Probability that a SETUP is refused with 453, 500 or 504.
    pub refused: f64,
    /// Resets of connections to nodes, per second.
    pub resets: f64,
    /// Misbehaving viewers, per second.
    pub rude: f64,
    /// Probability that a viewer cancels its set-up or closes its connection within 0.3 s.
    pub leaving: f64,
}

/// A scripted event.
#[derive(Clone, Copy, Debug)]
pub enum ScriptedEvent {
    /// Sets the rates of faults.
    Faults(Faults),
    /// A node's process dies or restarts, its machine disappears, or the node drains or is removed from the roster.
    Kill(u32),
    Restart(u32),
    Vanish(u32),
    Drain(u32),
    Remove(u32),
    /// Every stream of the change log ends in the middle of an event, or stays open without sending.
    BreakFeed,
    SilenceFeed,
    /// The change log moves to a new address; directors get a new configuration and SIGHUP.
    MoveFeed,
    /// Kills a director with SIGKILL, starts one without state, or ends one with SIGTERM.
    KillDirector(u32),
    StartDirector(u32),
    EndDirector(u32),
}

/// Size, load and script of a simulated day.
#[derive(Clone, Debug)]
pub struct Day {
    pub directors: u32,
    pub nodes: u32,
    /// Time during which viewers start sessions.
    pub seconds: f64,
    /// Set-ups per second at each director.
    pub rate: f64,
    /// Mean duration of a session, in seconds.
    pub life: f64,
    pub seed: u64,
    /// Limit of sockets in each director's configuration.
    pub sockets: u64,
    /// Events by time since the start, in seconds.
    pub script: Vec<(f64, ScriptedEvent)>,
}

impl Default for Day {
    /// A short day with every fault, some of them at the same time.
    fn default() -> Self {
        let faults = Faults {
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
                (2.0, ScriptedEvent::Faults(faults)),
                (4.0, ScriptedEvent::BreakFeed),
                (4.5, ScriptedEvent::Kill(1)),
                (5.0, ScriptedEvent::Drain(2)),
                (6.0, ScriptedEvent::MoveFeed),
                (7.0, ScriptedEvent::Restart(1)),
                (7.5, ScriptedEvent::Remove(2)),
                (8.0, ScriptedEvent::Vanish(3)),
                (9.0, ScriptedEvent::KillDirector(1)),
                (10.0, ScriptedEvent::StartDirector(1)),
                (11.0, ScriptedEvent::SilenceFeed),
                (11.1, ScriptedEvent::Drain(4)),
                (13.5, ScriptedEvent::Kill(3)),
                (15.0, ScriptedEvent::Restart(3)),
                (17.0, ScriptedEvent::Faults(Faults::default())),
            ],
        }
    }
}

/// Result of a day, besides its record.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Violations of properties that the checker has no rule for.
    pub violations: Vec<String>,
    pub started: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Ends of sessions reported to viewers.
    pub ends: usize,
    pub misbehaving_viewers: usize,
    /// Corrupt or missing responses of nodes.
    pub corrupt_responses: usize,
}

struct NodeSession {
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
    conns: BTreeMap<u64, (u32, UnboundedSender<node::ConnectionCommand>)>,
    sessions: BTreeMap<String, NodeSession>,
    /// Releases to send on the next connection, by director and session.
    pending_releases: Vec<(u32, String)>,
}

/// A session or set-up of a viewer.
struct ViewerSession {
    director: u32,
    boot: u32,
    answered: bool,
    over: bool,
    /// The viewer closed its connection or cancelled.
    left: bool,
}

struct DirectorState {
    boot: u32,
    child: Option<Child>,
    port: u16,
    /// Not ready yet, or ending: viewers send nothing to it.
    ending: bool,
}

#[derive(Default)]
struct State {
    faults: Faults,
    nodes: BTreeMap<u32, NodeState>,
    /// Events of the change log as JSON.
    events: Vec<String>,
    /// Open change log streams.
    feeds: BTreeMap<u64, UnboundedSender<feed::StreamAction>>,
    feed_ports: Vec<u16>,
    /// Tasks that accept change log streams, by director.
    feed_tasks: Vec<JoinHandle<()>>,
    viewer_sessions: BTreeMap<String, ViewerSession>,
    /// Ended sessions and the time by which their viewers must be informed.
    pending_ends: BTreeMap<String, f64>,
    directors: Vec<DirectorState>,
    summary: Summary,
    /// Last number given to a stream, connection or request.
    last_number: u64,
}

/// The running platform. Clones share their state.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    recorder: Recorder,
    day: Arc<Day>,
    program: PathBuf,
    dir: PathBuf,
}

/// Settings in the format of the directors' configuration.
fn director_settings(day: &Day, me: u32) -> serde_json::Value {
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
            "linkUnitKb": 19080.0, "lowestRung": [0, 0, 1], "licenceCap": [12, 0, 0], "placesByKind": [NODE_CAPACITY],
            "rackKb": 200_000.0, "racks": 1, "ratesKb": [120.0, 221.0, 405.0, 744.0, 1365.0],
            "scaleByClass": [1.0, 1.0, 1.0], "seenAfterMs": 300.0, "switchCostS": 0.8, "toldEveryMs": 1000.0},
    })
}

/// The same settings in the format of the checker.
fn checker_settings() -> serde_json::Value {
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

    fn add_violation(&self, what: String) {
        self.lock().summary.violations.push(what);
    }

    fn config_path(&self, d: u32) -> PathBuf {
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
            "settings": director_settings(&self.day, d),
        });
        std::fs::write(self.config_path(d), config.to_string())
            .with_context(|| self.config_path(d).display().to_string())
    }

    async fn start_director(&self, d: u32) -> Result<()> {
        self.write_config(d)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("platform-{d}.log")))?;
        let child = Command::new(&self.program)
            .args(["director", "platform", "--log-filter", "info"])
            .env("PROXY_CONFIG", self.config_path(d))
            .env("PROXY_NAME", format!("n{d}"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()
            .context("starting a director")?;
        let (boot, port) = {
            let mut s = self.lock();
            let director = &mut s.directors[d as usize];
            director.boot += 1;
            director.child = Some(child);
            // Viewers connect once it has answered a health check.
            director.ending = true;
            (director.boot, director.port)
        };
        viewers::wait_until_ready(port).await.with_context(|| format!("director {d} is not ready"))?;
        self.lock().directors[d as usize].ending = false;
        self.recorder.record(Event::Director { director: d, boot, event: "started".into() });
        // The configuration contains the whole roster.
        let nodes = self.lock().nodes.iter().map(|(&id, n)| feed::checker_entry(id, n)).collect::<Vec<_>>();
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
            let director = &mut s.directors[d as usize];
            director.ending = true;
            (director.child.take(), director.boot)
        };
        if let Some(mut child) = child {
            self.recorder.record(Event::Director { director: d, boot, event: "killed".into() });
            let _ = child.kill().await;
        }
        self.drop_sessions(d);
    }

    /// Drops the sessions of a director that ended.
    fn drop_sessions(&self, d: u32) {
        let mut s = self.lock();
        for n in s.nodes.values_mut() {
            n.sessions.retain(|_, session| session.director != d);
            n.pending_releases.retain(|(of, _)| *of != d);
        }
        let gone: Vec<String> =
            s.viewer_sessions.iter().filter(|(_, w)| w.director == d).map(|(t, _)| t.clone()).collect();
        for tag in gone {
            s.viewer_sessions.remove(&tag);
            s.pending_ends.remove(&tag);
        }
    }

    /// Ends a director with SIGTERM. It must answer all set-ups that it accepted and exit with status 0.
    async fn end_director(&self, d: u32) {
        let (child, boot) = {
            let mut s = self.lock();
            let director = &mut s.directors[d as usize];
            (director.child.take(), director.boot)
        };
        let Some(mut child) = child else { return };
        self.recorder.record(Event::Director { director: d, boot, event: "ending".into() });
        if let Some(id) = child.id().and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), Signal::SIGTERM);
        }
        // Viewers keep sending set-ups for a short time.
        sleep(Duration::from_millis(500)).await;
        self.lock().directors[d as usize].ending = true;
        match tokio::time::timeout(Duration::from_secs(5), child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            other => self.add_violation(format!("director {d} did not exit cleanly: {other:?}")),
        }
        let open = self
            .lock()
            .viewer_sessions
            .values()
            .filter(|w| w.director == d && !w.answered && !w.left)
            .count();
        if open > 0 {
            self.add_violation(format!("director {d} ended with {open} set-ups unanswered"));
        }
        self.drop_sessions(d);
    }

    async fn apply_event(&self, what: ScriptedEvent) -> Result<()> {
        self.recorder.record(Event::Trouble { text: format!("{what:?}") });
        match what {
            ScriptedEvent::Faults(faults) => self.lock().faults = faults,
            ScriptedEvent::Kill(id) => self.node_down(id, "killed"),
            ScriptedEvent::Restart(id) => self.node_back(id).await?,
            ScriptedEvent::Vanish(id) => self.vanish(id).await?,
            ScriptedEvent::Drain(id) => self.announce_node(id, "draining"),
            ScriptedEvent::Remove(id) => {
                self.node_down(id, "removed");
                self.announce_node(id, "removed");
            }
            ScriptedEvent::BreakFeed => self.send_to_feeds(feed::StreamAction::Break),
            ScriptedEvent::SilenceFeed => self.send_to_feeds(feed::StreamAction::Silence),
            ScriptedEvent::MoveFeed => {
                for d in 0..self.day.directors {
                    let listener = TcpListener::bind("127.0.0.1:0").await?;
                    let port = listener.local_addr()?.port();
                    let task = tokio::spawn(self.clone().serve_feed(d, listener));
                    {
                        let mut s = self.lock();
                        s.feed_ports[d as usize] = port;
                        // The old address accepts no more connections.
                        std::mem::replace(&mut s.feed_tasks[d as usize], task).abort();
                    }
                    self.write_config(d)?;
                    self.signal(d, Signal::SIGHUP);
                }
                self.send_to_feeds(feed::StreamAction::Break);
            }
            ScriptedEvent::KillDirector(d) => self.kill_director(d).await,
            ScriptedEvent::StartDirector(d) => self.start_director(d).await?,
            ScriptedEvent::EndDirector(d) => self.end_director(d).await,
        }
        Ok(())
    }

    /// Records a violation for each ended session whose viewer was not informed in time.
    fn check_pending_ends(&self) {
        let mut s = self.lock();
        let now = now();
        let late: Vec<String> =
            s.pending_ends.iter().filter(|(_, by)| **by < now).map(|(t, _)| t.clone()).collect();
        for tag in late {
            s.pending_ends.remove(&tag);
            let waiting = s.viewer_sessions.get(&tag).filter(|w| !w.left).map(|w| (w.director, w.boot));
            if waiting.is_none() && s.viewer_sessions.contains_key(&tag) {
                // The viewer left first.
                continue;
            }
            s.summary
                .violations
                .push(format!("session {tag} ended and its viewer was not informed in time ({waiting:?})"));
        }
    }
}

/// Runs a day with `program` as the daemon. The record goes to `recorder`, configurations and logs to `dir`.
///
/// # Errors
/// If a simulated server cannot listen or a director cannot be started.
pub async fn run(day: Day, program: PathBuf, dir: &Path, recorder: Recorder) -> Result<Summary> {
    recorder.record(Event::Settings { text: checker_settings().to_string() });
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
        // Each director keeps its port over restarts.
        let port = TcpListener::bind("127.0.0.1:0").await?.local_addr()?.port();
        {
            let mut s = platform.lock();
            s.feed_ports.push(feed.local_addr()?.port());
            s.directors.push(DirectorState { boot: 0, child: None, port, ending: false });
        }
        let task = tokio::spawn(platform.clone().serve_feed(d, feed));
        platform.lock().feed_tasks.push(task);
        platform.start_director(d).await?;
    }
    let background = [
        tokio::spawn(platform.clone().send_load_reports()),
        tokio::spawn(platform.clone().reset_connections(rng.fork())),
        tokio::spawn(platform.clone().run_misbehaving_viewers(rng.fork())),
    ];
    let viewer_tasks: Vec<JoinHandle<()>> =
        (0..day.directors).map(|d| tokio::spawn(platform.clone().run_viewers(d, rng.fork()))).collect();
    let began = Instant::now();
    for (at, what) in &day.script {
        sleep_until(began + Duration::from_secs_f64(*at)).await;
        platform.apply_event(*what).await?;
    }
    for task in viewer_tasks {
        task.await?;
    }
    // Accepted set-ups are answered and open sessions end.
    sleep(Duration::from_secs_f64(1.0)).await;
    platform.check_pending_ends();
    for d in 0..day.directors {
        platform.end_director(d).await;
    }
    background.iter().for_each(JoinHandle::abort);
    let summary = platform.lock().summary.clone();
    Ok(summary)
}
