//! Measures a director under load, and in the same run a plain relay for comparison. Each runs in a separate process.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use comfy_table::Table;
use hdrhistogram::Histogram;
use kelpdoor_api::{FromPlayer, RequestKey, ToPlayer};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep_until};

use crate::fleet::{StandIns, director_script, settings};
use crate::player::PlayerSocket;
use crate::record::Recorder;
use crate::trouble::DaySettings;

/// The load to apply. Times are in seconds.
#[derive(Clone, Debug)]
pub struct Load {
    /// New sessions a second.
    pub rate: f64,
    /// How long each session is held.
    pub hold: f64,
    /// How long the load is measured.
    pub seconds: f64,
    pub sockets: u32,
    pub nodes: u32,
    /// How often relay and director are measured, alternately.
    pub turns: u32,
}

/// Result of one measurement, of the director or of the relay.
#[derive(Clone, Debug)]
struct LoadResult {
    started: u64,
    playing: u64,
    not_playing: u64,
    held: u64,
    p50_ms: f64,
    p99_ms: f64,
    max_ms: f64,
    /// CPU time for each new session, in microseconds.
    cpu_us: f64,
    /// Share of one core that was used.
    core_share: f64,
    /// Memory for each held session, in bytes.
    session_bytes: f64,
}

/// Counts over all sockets.
struct Tally {
    /// Microseconds from `start` to `playing`.
    times: Histogram<u64>,
    started: u64,
    playing: u64,
    not_playing: u64,
    /// Whether the measurement has begun; nothing is counted before.
    counting: bool,
}

/// CPU seconds used so far and resident bytes of a process, from `/proc` (proc(5)).
fn process_usage(pid: u32) -> Result<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after = stat.rsplit_once(')').context("malformed /proc/PID/stat")?.1;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let per_second = nix::unistd::sysconf(nix::unistd::SysconfVar::CLK_TCK)?.unwrap_or(100) as f64;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let rss =
        status.lines().find_map(|l| l.strip_prefix("VmRSS:")).context("no VmRSS in /proc/PID/status")?;
    let kb: f64 = rss.trim().trim_end_matches(" kB").parse()?;
    Ok((ticks / per_second, kb * 1024.0))
}

/// Starts a process and returns it with the address that its first line of output ends with.
async fn spawn(program: &Path, arguments: &[&std::ffi::OsStr]) -> Result<(Child, SocketAddr)> {
    let mut child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()?;
    let mut lines =
        BufReader::new(child.stdout.take().context("the process has no standard output")?).lines();
    let line = lines.next_line().await?.context("the process ended before it listened")?;
    let address = line.rsplit(' ').next().unwrap_or("").parse().with_context(|| line.clone())?;
    Ok((child, address))
}

/// Applies one socket's part of the load until the task is dropped.
///
/// # Errors
/// If the socket cannot be opened or is closed.
async fn run_socket(me: u32, address: SocketAddr, load: Load, tally: Arc<Mutex<Tally>>) -> Result<()> {
    let mut socket = PlayerSocket::open(&Recorder::disabled(), me, (0, address, 1)).await?;
    let mut every = interval(Duration::from_secs_f64(f64::from(load.sockets) / load.rate));
    let mut unanswered: std::collections::HashMap<RequestKey, Instant> = Default::default();
    let mut held: VecDeque<(Instant, RequestKey)> = VecDeque::new();
    let mut count = 0u64;
    let with = |act: &dyn Fn(&mut Tally)| {
        let mut t = tally.lock().unwrap_or_else(|e| e.into_inner());
        if t.counting {
            act(&mut t);
        }
    };
    loop {
        let stop_at = held.front().map(|h| h.0);
        tokio::select! {
            _ = every.tick() => {
                count += 1;
                let key = RequestKey(format!("load-{me:05}-{count:07}"));
                let start = FromPlayer::Start {
                    key: key.clone(),
                    group: "story".into(),
                    title: format!("title-{:02}", (count + u64::from(me) * 7) % 40),
                    best_rung: 2,
                    setup_timeout: 3.0, token: None };
                unanswered.insert(key, Instant::now());
                with(&|t| t.started += 1);
                socket.send(&start).await?;
            }
            () = sleep_until(stop_at.unwrap_or_else(Instant::now)), if stop_at.is_some() => {
                if let Some((_, key)) = held.pop_front() {
                    socket.send(&FromPlayer::Stop { key }).await?;
                }
            }
            message = socket.receive() => {
                let message = message.context("the socket was closed under load")?;
                let Some(began) = message.key().filter(|_| message.is_final()).and_then(|k| unanswered.remove(k)) else {
                    continue;
                };
                match message {
                    ToPlayer::Playing { key, .. } => {
                        let us = began.elapsed().as_micros() as u64;
                        with(&|t| {
                            t.playing += 1;
                            let _ = t.times.record(us.max(1));
                        });
                        held.push_back((Instant::now() + Duration::from_secs_f64(load.hold), key));
                    }
                    _ => with(&|t| t.not_playing += 1),
                }
            }
        }
    }
}

impl Load {
    /// Measures the director or the relay once.
    async fn measure(&self, program: &Path, relay: bool) -> Result<LoadResult> {
        let dir = tempfile::tempdir()?;
        let size = DaySettings {
            nodes: self.nodes,
            racks: 4,
            directors: 1,
            roster_lag: 0.0,
            ..DaySettings::default()
        };
        // Enough places and bandwidth for all sessions, so that no shortage distorts the measurement.
        let places = (self.rate * self.hold / f64::from(self.nodes) * 2.0).ceil();
        let shared = settings(&size, "")
            .replace(
                "{\"box-2c\": 26, \"box-3c\": 39}",
                &format!("{{\"box-2c\": {places}, \"box-3c\": {places}}}"),
            )
            .replace("link_unit = 2600", &format!("link_unit = {}", places * 800.0))
            .replace(
                "players(resume_for = 5, remember = 20)",
                "players(remember = 5, messages_a_second = 1000, sessions = 200000)",
            );
        let shared = set_uplink(&shared, places * 800.0 * f64::from(self.nodes));
        let stand_ins = StandIns::start(&size, &shared, Recorder::disabled()).await?;
        stand_ins.nodes.with_fleet(|f| {
            for n in f.nodes.values_mut() {
                (n.setup_factor, n.places, n.link_kb) = (0.0, places, places * 800.0);
            }
        });
        let script = dir.path().join("director.star");
        std::fs::write(
            &script,
            director_script(&shared, &size, 0, stand_ins.roster_address, &dir.path().join("list")),
        )?;
        let command: &[&str] =
            if relay { &["relay"] } else { &["director", "serve", "--log-filter", "warn"] };
        let mut arguments: Vec<&std::ffi::OsStr> = command.iter().map(AsRef::as_ref).collect();
        arguments.extend(["--config".as_ref(), script.as_os_str()]);
        let (mut child, address) = spawn(program, &arguments).await?;
        let pid = child.id().context("the process ended")?;
        // The director regards all nodes as doubtful during its first 5 s.
        tokio::time::sleep(Duration::from_secs(6)).await;
        let idle = process_usage(pid)?.1;
        let times = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        let tally = Tally { times, started: 0, playing: 0, not_playing: 0, counting: false };
        let tally = Arc::new(Mutex::new(tally));
        let mut sockets = JoinSet::new();
        for me in 0..self.sockets {
            let (load, tally) = (self.clone(), tally.clone());
            sockets.spawn(async move {
                let apart = f64::from(me) / load.rate;
                tokio::time::sleep(Duration::from_secs_f64(apart)).await;
                run_socket(me, address, load, tally).await
            });
        }
        tokio::time::sleep(Duration::from_secs_f64(self.hold + 2.0)).await;
        let before = process_usage(pid)?;
        tally.lock().unwrap_or_else(|e| e.into_inner()).counting = true;
        tokio::time::sleep(Duration::from_secs_f64(self.seconds)).await;
        let after = process_usage(pid)?;
        let held = stand_ins.nodes.with_fleet(|f| f.streams.values().filter(|s| s.playing).count()) as u64;
        if let Some(Ok(Err(e))) = sockets.try_join_next() {
            return Err(e.context("a socket of the load failed"));
        }
        sockets.shutdown().await;
        child.kill().await?;
        let t = tally.lock().unwrap_or_else(|e| e.into_inner());
        ensure!(t.playing > 0, "no session played");
        let ms = |q: f64| t.times.value_at_quantile(q) as f64 / 1e3;
        Ok(LoadResult {
            started: t.started,
            playing: t.playing,
            not_playing: t.not_playing,
            held,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            max_ms: t.times.max() as f64 / 1e3,
            cpu_us: (after.0 - before.0) / t.started as f64 * 1e6,
            core_share: (after.0 - before.0) / self.seconds,
            session_bytes: (after.1 - idle) / held.max(1) as f64,
        })
    }

    /// Measures relay and director alternately and returns a table of the results and their differences.
    ///
    /// # Errors
    /// If a process cannot be started or ends, or a socket is closed.
    pub async fn run(&self, program: &Path) -> Result<String> {
        let mut table = Table::new();
        table.set_header([
            "",
            "asked",
            "playing",
            "not",
            "held",
            "p50 ms",
            "p99 ms",
            "most ms",
            "CPU us a session",
            "of a core",
            "bytes a held session",
        ]);
        let mut text = String::new();
        for _ in 0..self.turns {
            let relay = self.measure(program, true).await?;
            let director = self.measure(program, false).await?;
            for (name, m) in [("relay", &relay), ("director", &director)] {
                table.add_row([
                    name.to_owned(),
                    m.started.to_string(),
                    m.playing.to_string(),
                    m.not_playing.to_string(),
                    m.held.to_string(),
                    format!("{:.2}", m.p50_ms),
                    format!("{:.2}", m.p99_ms),
                    format!("{:.1}", m.max_ms),
                    format!("{:.0}", m.cpu_us),
                    format!("{:.2}", m.core_share),
                    format!("{:.0}", m.session_bytes),
                ]);
            }
            writeln!(
                text,
                "added: p50 {:+.2} ms, p99 {:+.2} ms; CPU {:.2} times the relay's",
                director.p50_ms - relay.p50_ms,
                director.p99_ms - relay.p99_ms,
                director.cpu_us / relay.cpu_us
            )?;
        }
        Ok(format!("{table}\n{text}"))
    }
}

/// Replaces the rate of the rack uplinks in settings.
fn set_uplink(shared: &str, kb: f64) -> String {
    let (before, rest) = shared.split_once("rack_uplink = ").unwrap_or((shared, ""));
    let after = rest.split_once(',').map_or("", |r| r.1);
    format!("{before}rack_uplink = {kb},{after}")
}
