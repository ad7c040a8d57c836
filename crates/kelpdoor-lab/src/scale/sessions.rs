//! A real director in its own process, with sessions held by hollow viewers, and with many listed nodes.
//!
//! A hollow viewer is a real connection with a real session that plays nothing. Its messages are responses to pings, as a
//! director sends a viewer unasked only changes of rung, the expiry of a token and the end of the session. So each measured
//! message also includes a read, and its time is that of the round trip: more than a delivery takes.

mod viewer;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use kelpdoor_director::{RosterRequest, RosterTitle};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::Scale;
use super::points::{Point, Points};
use super::process::{ProcessUsage, max_descriptors, usage};
use crate::daemon::Daemon;
use crate::fleet::{StandIns, director_script, settings};
use crate::record::Recorder;
use crate::trouble::DaySettings;
use viewer::{ViewerCounters, viewer};

/// Seconds to wait after the start; for most of it, a director regards all nodes as just started.
const SETTLE_SECONDS: f64 = 6.0;
/// New sessions per second while viewers connect; a director can handle several times that.
const VIEWERS_PER_SECOND: f64 = 700.0;
/// Seconds to wait, beyond the time at that rate, until all sessions play or all links are up.
const SETUP_TIMEOUT: f64 = 30.0;
/// Fraction of the expected messages below which the rate counts as not reached.
const MIN_MESSAGE_FRACTION: f64 = 0.98;
/// Descriptors reserved for the lab besides those of viewers and nodes.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Threads that run viewers, nodes and the roster.
const LAB_THREADS: usize = 4;

#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of sessions held at one director.
    #[arg(long, value_delimiter = ',', default_values_t = [1000, 2500, 5000, 10_000, 19_000])]
    pub held: Vec<usize>,
    /// Messages to all viewers per second, measured at the largest and third-largest number of sessions.
    #[arg(long, value_delimiter = ',', default_values_t = [1000.0, 3300.0, 6500.0, 13_100.0, 20_000.0])]
    pub messages: Vec<f64>,
    /// Sessions of each title.
    #[arg(long, default_value_t = 87)]
    pub listeners: usize,
    /// Number of nodes while sessions are measured.
    #[arg(long, default_value_t = 40)]
    pub nodes: u32,
    /// Numbers of listed nodes, each with a link, measured without sessions.
    #[arg(long, value_delimiter = ',', default_values_t = [40, 300, 1000, 2500, 5000])]
    pub listed: Vec<u32>,
    /// Limit of the number of seeds.
    #[arg(long, default_value_t = 2)]
    pub most_seeds: u64,
    /// Duration of each measurement in seconds.
    #[arg(long, default_value_t = 3.0)]
    pub over: f64,
    /// Time limit of all measurements of this command in seconds.
    #[arg(long, default_value_t = 300.0)]
    pub for_sessions: f64,
    /// Program to run as the director; this program by default.
    #[arg(long, hide = true)]
    pub program: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            held: vec![1000, 2500, 5000, 10_000, 19_000],
            messages: vec![1000.0, 3300.0, 6500.0, 13_100.0, 20_000.0],
            listeners: 87,
            nodes: 40,
            listed: vec![40, 300, 1000, 2500, 5000],
            most_seeds: 2,
            over: 3.0,
            for_sessions: 300.0,
            program: None,
        }
    }
}

/// Measures a director by sessions and by listed nodes. Measurements that fail or run out of time are reported as partial.
///
/// # Errors
/// The lab's own runtime cannot be started.
pub async fn measure(all: &Scale, of: &Options) -> Result<Points> {
    let program = match &of.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?,
    };
    let run = Run {
        of: of.clone(),
        program,
        until: Instant::now() + Duration::from_secs_f64(of.for_sessions.min(all.within)),
    };
    let seeds = all.seeds.min(of.most_seeds);
    let steps = seeds * (of.held.len() + of.listed.len()) as u64;
    let bar = ProgressBar::with_draw_target(Some(steps), ProgressDrawTarget::stderr());
    bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} {elapsed_precise} {msg}")?);
    let mut points = Points::default();
    for seed in 1..=seeds {
        for listed in [false, true] {
            let sizes: Vec<u32> = if listed { of.listed.clone() } else { vec![of.nodes] };
            for nodes in sizes {
                let (run, bar) = (run.clone(), bar.clone());
                let what = if listed { format!("{nodes} listed nodes") } else { "sessions".to_owned() };
                if run.out_of_time() {
                    points.partial.push(format!("{what}, seed {seed}: no time was left"));
                    continue;
                }
                bar.set_message(format!("{what}, seed {seed}"));
                // A separate runtime ends all its tasks when it is shut down.
                let part = tokio::task::spawn_blocking(move || -> Result<Points> {
                    let runtime =
                        Builder::new_multi_thread().worker_threads(LAB_THREADS).enable_all().build()?;
                    let part = runtime.block_on(async {
                        if listed {
                            run.links(nodes, seed, &bar).await
                        } else {
                            run.sessions(seed, &bar).await
                        }
                    });
                    runtime.shutdown_timeout(Duration::from_secs(2));
                    Ok(part)
                });
                points.merge(part.await??);
            }
        }
    }
    bar.finish_and_clear();
    Ok(points)
}

/// A director process with the nodes and the roster it connects to.
struct TestBed {
    world: StandIns,
    daemon: Daemon,
    pid: u32,
    address: std::net::SocketAddr,
    log: PathBuf,
    _dir: tempfile::TempDir,
}

#[derive(Clone)]
struct Run {
    of: Options,
    program: PathBuf,
    until: Instant,
}

/// Settings with ample capacity for all that is not measured.
fn ample_settings(size: &DaySettings, sessions: usize) -> String {
    let each = (sessions as f64 / f64::from(size.nodes) * 3.0).ceil().max(50.0);
    let shared = settings(size, "")
        .replace("{\"box-2c\": 26, \"box-3c\": 39}", &format!("{{\"box-2c\": {each}, \"box-3c\": {each}}}"))
        .replace("link_unit = 2600", &format!("link_unit = {}", each * 800.0))
        .replace(
            "players(resume_for = 5, remember = 20)",
            "players(remember = 5, messages_a_second = 1000, sessions = 200000, sockets = 200000)",
        );
    let (before, rest) = shared.split_once("rack_uplink = ").unwrap_or((&shared, ""));
    let after = rest.split_once(',').map_or("", |r| r.1);
    format!("{before}rack_uplink = {},{after}", each * 800.0 * f64::from(size.nodes))
}

impl TestBed {
    async fn start(
        program: &Path, nodes: u32, sessions: usize, listeners: usize, seed: u64,
    ) -> Result<TestBed> {
        let racks = (nodes.min(4)) as u16;
        let size =
            DaySettings { nodes, racks, directors: 1, roster_lag: 0.0, seed, ..DaySettings::default() };
        let shared = ample_settings(&size, sessions);
        let cells = nodes as u16;
        let titles = (0..sessions.div_ceil(listeners.max(1)).max(1))
            .map(|k| RosterTitle {
                name: format!("title-{k}"),
                first_cell: (k * 3 % usize::from(cells)) as u16,
                cells: 5.min(cells),
            })
            .collect();
        let world = StandIns::with_titles(&size, &shared, Recorder::disabled(), titles).await?;
        let each = (sessions as f64 / f64::from(nodes) * 3.0).ceil().max(50.0);
        world.nodes.with_fleet(|f| {
            for n in f.nodes.values_mut() {
                (n.setup_factor, n.places, n.link_kb) = (0.0, each, each * 800.0);
            }
        });
        let dir = tempfile::tempdir()?;
        let script = dir.path().join("director.star");
        std::fs::write(
            &script,
            director_script(&shared, &size, 0, world.roster_address, &dir.path().join("list")),
        )?;
        let arguments = ["serve", "--log-filter", "warn", "--config"].map(std::ffi::OsString::from);
        let arguments: Vec<_> = arguments.into_iter().chain([script.into_os_string()]).collect();
        let log = dir.path().join("director.log");
        let daemon = Daemon::start(program, &arguments, &log).await?;
        let pid = daemon.child.id().context("the director ended")?;
        let address = daemon.address.parse().with_context(|| daemon.address.clone())?;
        Ok(TestBed { world, daemon, pid, address, log, _dir: dir })
    }

    /// Measures the idle process: cores used, and resources held at the end.
    async fn measure_idle(&self, over: f64) -> Result<(f64, ProcessUsage)> {
        let (before, at) = (usage(self.pid)?, Instant::now());
        sleep(Duration::from_secs_f64(over)).await;
        let after = usage(self.pid)?;
        Ok(((after.core - before.core) / at.elapsed().as_secs_f64(), after))
    }

    /// The last line of the director's log.
    fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().last().map_or("the director's log says nothing".into(), |l| format!("its log ends: {l}"))
    }

    async fn end(mut self) {
        let _ = self.daemon.child.kill().await;
    }

    /// Size in bytes of the complete list that the roster sends.
    async fn list_bytes(&self) -> Result<f64> {
        let mut stream = TcpStream::connect(self.world.roster_address).await?;
        let mut hello = serde_json::to_string(&RosterRequest::Hello { director: 9999 })?;
        hello.push('\n');
        stream.write_all(hello.as_bytes()).await?;
        let mut line = Vec::new();
        timeout(Duration::from_secs(10), BufReader::new(stream).read_until(b'\n', &mut line)).await??;
        Ok(line.len() as f64)
    }
}

/// Viewers of one director.
struct Viewers {
    counters: Arc<ViewerCounters>,
    rate: watch::Sender<f64>,
    tasks: JoinSet<()>,
}

impl Viewers {
    fn new() -> Viewers {
        Viewers {
            counters: Arc::new(ViewerCounters::new()),
            rate: watch::channel(0.0).0,
            tasks: JoinSet::new(),
        }
    }

    /// Connects viewers until `to` sessions are held.
    async fn connect(&mut self, test_bed: &TestBed, to: usize, listeners: usize, seed: u64) -> Result<()> {
        let mut every = tokio::time::interval(Duration::from_secs_f64(1.0 / VIEWERS_PER_SECOND));
        let new = to.saturating_sub(self.tasks.len());
        for me in self.tasks.len()..to {
            every.tick().await;
            let (counters, rate) = (self.counters.clone(), self.rate.subscribe());
            let title = format!("title-{}", me / listeners.max(1));
            self.tasks.spawn(viewer(me, test_bed.address, title, counters, rate, seed));
        }
        let until = Instant::now() + Duration::from_secs_f64(SETUP_TIMEOUT + new as f64 / VIEWERS_PER_SECOND);
        while self.counters.held.load(Relaxed) < to as u64 {
            if Instant::now() > until {
                let held = self.counters.held.load(Relaxed);
                bail!(
                    "{held} of {to} sessions came to play; {}; {}",
                    self.counters.failure_reasons(),
                    test_bed.last_log_line()
                );
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }
}

impl Run {
    fn out_of_time(&self) -> bool {
        Instant::now() >= self.until
    }

    /// Measures sessions at one director, in ascending number, and messages at two of the sizes.
    async fn sessions(&self, seed: u64, bar: &ProgressBar) -> Points {
        let mut points = Points::default();
        if let Err(e) = self.sessions_into(seed, bar, &mut points).await {
            points.partial.push(format!("sessions, seed {seed}: {e:#}"));
        }
        points
    }

    async fn sessions_into(&self, seed: u64, bar: &ProgressBar, to: &mut Points) -> Result<()> {
        let of = &self.of;
        let max_count =
            max_descriptors()?.saturating_sub(2 * u64::from(of.nodes) + RESERVED_DESCRIPTORS) as usize;
        let (mut held, over): (Vec<usize>, Vec<usize>) = of.held.iter().partition(|n| **n <= max_count);
        held.sort_unstable();
        for n in over {
            to.partial.push(format!("{n} sessions, seed {seed}: descriptors for {max_count} at most"));
        }
        let Some(&most) = held.last() else { return Ok(()) };
        let test_bed = TestBed::start(&self.program, of.nodes, most, of.listeners, seed).await?;
        sleep(Duration::from_secs_f64(SETTLE_SECONDS)).await;
        let mut viewers = Viewers::new();
        let at = format!("{} nodes, {} sessions a title, one process filled", of.nodes, of.listeners);
        let (mut last, mut before) = (0, usage(test_bed.pid)?);
        for (k, &n) in held.iter().enumerate() {
            if self.out_of_time() {
                to.partial.push(format!("{n} sessions and more, seed {seed}: no time was left"));
                break;
            }
            let mut put = |what: &str, unit: &str, by: &str, at: &str, x: f64, y: f64| {
                to.points.push(point([what, unit, by, at], x, y, seed));
            };
            viewers.connect(&test_bed, n, of.listeners, seed).await?;
            let came = usage(test_bed.pid)?;
            let x = n as f64;
            let begun = (came.core - before.core) / (n - last).max(1) as f64;
            put("time of a core for each session begun", "s", "sessions", &at, x, begun);
            let (core, holds) = test_bed.measure_idle(of.over).await?;
            put("memory", "B", "sessions", &at, x, holds.memory);
            put("descriptors", "descriptors", "sessions", &at, x, holds.descriptors);
            put("processor time, no messages", "core", "sessions", &at, x, core);
            if k + 1 == held.len() || k + 3 == held.len() {
                let at = format!("{n} sessions, {at}");
                for &rate in &of.messages {
                    if self.out_of_time() {
                        to.partial
                            .push(format!("{rate} messages a second at {n}, seed {seed}: no time was left"));
                        continue;
                    }
                    if let Err(e) = self.messages(&test_bed, &viewers, rate, &at, seed, to).await {
                        to.partial.push(format!("{rate} messages a second at {n}, seed {seed}: {e:#}"));
                    }
                }
                viewers.rate.send_replace(0.0);
            }
            (last, before) = (n, usage(test_bed.pid)?);
            bar.inc(1);
        }
        test_bed.end().await;
        Ok(())
    }

    async fn messages(
        &self, test_bed: &TestBed, viewers: &Viewers, rate: f64, at: &str, seed: u64, to: &mut Points,
    ) -> Result<()> {
        let counters = &viewers.counters;
        viewers.rate.send_replace(rate / viewers.tasks.len().max(1) as f64);
        // Lets the previous rate end and the new one settle.
        sleep(Duration::from_secs(1)).await;
        let (core, bytes, began) = (usage(test_bed.pid)?.core, counters.bytes(), Instant::now());
        counters.begin()?;
        sleep(Duration::from_secs_f64(self.of.over)).await;
        let seen = counters.end().context("nothing was counted")?;
        let lasted = began.elapsed().as_secs_f64();
        let (core, all) = (usage(test_bed.pid)?.core - core, counters.bytes());
        let came = seen.times.len() as f64 / lasted;
        to.points.push(point(["messages that came", "1/s", "messages/s", at], rate, came, seed));
        ensure!(
            came >= MIN_MESSAGE_FRACTION * rate,
            "{came:.0} a second came, {} pings were held back behind eight without an answer",
            seen.held_back
        );
        let mut put = |what: &str, unit: &str, y: f64| {
            to.points.push(point([what, unit, "messages/s", at], rate, y, seed));
        };
        put("processor time", "core", core / lasted);
        put("bytes to viewers", "B/s", (all.0 - bytes.0) as f64 / lasted);
        put("bytes from viewers", "B/s", (all.1 - bytes.1) as f64 / lasted);
        let s = |q: f64| seen.times.value_at_quantile(q) as f64 / 1e6;
        put("time of a delivery, p99 of both ways", "s", s(0.99));
        put("time of a delivery, median of both ways", "s", s(0.5));
        put("messages of its own accord", "1/s", seen.unasked as f64 / lasted);
        Ok(())
    }

    /// Measures listed nodes, each with a link, without sessions.
    async fn links(&self, nodes: u32, seed: u64, bar: &ProgressBar) -> Points {
        let mut points = Points::default();
        if let Err(e) = self.links_into(nodes, seed, &mut points).await {
            points.partial.push(format!("{nodes} listed nodes, seed {seed}: {e:#}"));
        }
        bar.inc(1);
        points
    }

    async fn links_into(&self, nodes: u32, seed: u64, to: &mut Points) -> Result<()> {
        let max_count = max_descriptors()?.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        ensure!(u64::from(nodes) <= max_count, "descriptors for {max_count} at most");
        let test_bed = TestBed::start(&self.program, nodes, 1, 1, seed).await?;
        let (at, began) = ("no sessions, a link to each", Instant::now());
        let until = began + Duration::from_secs_f64(SETUP_TIMEOUT);
        while test_bed.world.nodes.connected_nodes() < nodes as usize {
            if Instant::now() > until {
                bail!("{} links after {SETUP_TIMEOUT} s", test_bed.world.nodes.connected_nodes());
            }
            sleep(Duration::from_millis(10)).await;
        }
        let linked = began.elapsed().as_secs_f64();
        let connect_core_time = usage(test_bed.pid)?.core;
        // Lets the work of the start finish.
        sleep(Duration::from_secs_f64(self.of.over.min(SETTLE_SECONDS))).await;
        let (core, holds) = test_bed.measure_idle(self.of.over).await?;
        let list = test_bed.list_bytes().await?;
        let mut put = |what: &str, unit: &str, y: f64| {
            to.points.push(point([what, unit, "nodes", at], f64::from(nodes), y, seed));
        };
        put("memory", "B", holds.memory);
        put("descriptors", "descriptors", holds.descriptors);
        put("processor time, idle links", "core", core);
        put("time of a core from its start until all links stand", "s", connect_core_time);
        put("time until all links stand", "s", linked);
        put("roster's list", "B", list);
        test_bed.end().await;
        Ok(())
    }
}

fn point([what, unit, by, at]: [&str; 4], x: f64, y: f64, seed: u64) -> Point {
    let [what, unit, by, at] = [what, unit, by, at].map(str::to_owned);
    Point { role: "director".into(), what, unit, by, x, y, seed, at, hollow: String::new() }
}
