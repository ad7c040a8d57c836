//! Load on a director, and on a plain relay beside it in the same run, both in processes of their own.

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

#[derive(Clone, Debug)]
pub struct Load {
    pub rate: f64,
    pub hold: f64,
    pub seconds: f64,
    pub sockets: u32,
    pub nodes: u32,
    pub turns: u32,
}

/// What one side came to.
#[derive(Clone, Debug)]
struct Measured {
    started: u64,
    playing: u64,
    not_playing: u64,
    held: u64,
    p50: f64,
    p99: f64,
    most: f64,
    /// us of CPU for each new session.
    cpu: f64,
    /// Of one core.
    core: f64,
    /// Bytes of memory for each held session.
    memory: f64,
}

struct Tally {
    times: Histogram<u64>,
    started: u64,
    playing: u64,
    not_playing: u64,
    /// Counts only while set.
    on: bool,
}

/// CPU seconds so far and resident bytes of a process, from /proc (proc(5)).
fn usage(pid: u32) -> Result<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after = stat.rsplit_once(')').context("stat")?.1;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let per_second = nix::unistd::sysconf(nix::unistd::SysconfVar::CLK_TCK)?.unwrap_or(100) as f64;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).context("VmRSS")?;
    let kb: f64 = rss.trim().trim_end_matches(" kB").parse()?;
    Ok((ticks / per_second, kb * 1024.0))
}

async fn spawn(program: &Path, arguments: &[&std::ffi::OsStr]) -> Result<(Child, SocketAddr)> {
    let mut child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()?;
    let mut lines = BufReader::new(child.stdout.take().context("output")?).lines();
    let line = lines.next_line().await?.context("it ended at once")?;
    let address = line.rsplit(' ').next().unwrap_or("").parse().with_context(|| line.clone())?;
    Ok((child, address))
}

/// One socket's part of the load, until dropped.
async fn drive(me: u32, address: SocketAddr, load: Load, tally: Arc<Mutex<Tally>>) -> Result<()> {
    let mut socket = PlayerSocket::open(&Recorder::disabled(), me, (0, address, 1)).await?;
    let mut every = interval(Duration::from_secs_f64(f64::from(load.sockets) / load.rate));
    let mut out: std::collections::HashMap<RequestKey, Instant> = Default::default();
    let mut held: VecDeque<(Instant, RequestKey)> = VecDeque::new();
    let mut count = 0u64;
    let with = |act: &dyn Fn(&mut Tally)| {
        let mut t = tally.lock().unwrap_or_else(|e| e.into_inner());
        if t.on {
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
                out.insert(key, Instant::now());
                with(&|t| t.started += 1);
                socket.send(&start).await?;
            }
            () = sleep_until(stop_at.unwrap_or_else(Instant::now)), if stop_at.is_some() => {
                if let Some((_, key)) = held.pop_front() {
                    socket.send(&FromPlayer::Stop { key }).await?;
                }
            }
            heard = socket.receive() => {
                let heard = heard.context("the socket was closed")?;
                let Some(began) = heard.key().filter(|_| heard.is_final()).and_then(|k| out.remove(k)) else {
                    continue;
                };
                match heard {
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
    async fn measure(&self, program: &Path, relay: bool) -> Result<Measured> {
        let dir = tempfile::tempdir()?;
        let size = DaySettings {
            nodes: self.nodes,
            racks: 4,
            directors: 1,
            roster_lag: 0.0,
            ..DaySettings::default()
        };
        // Places and links for all that is held, so that what is measured is the way, not a shortage.
        let each = (self.rate * self.hold / f64::from(self.nodes) * 2.0).ceil();
        let shared = settings(&size, "")
            .replace(
                "{\"box-2c\": 26, \"box-3c\": 39}",
                &format!("{{\"box-2c\": {each}, \"box-3c\": {each}}}"),
            )
            .replace("link_unit = 2600", &format!("link_unit = {}", each * 800.0))
            .replace(
                "players(resume_for = 5, remember = 20)",
                "players(remember = 5, messages_a_second = 1000, sessions = 200000)",
            );
        let shared = fix_uplink(&shared, each * 800.0 * f64::from(self.nodes));
        let stand_ins = StandIns::start(&size, &shared, Recorder::disabled()).await?;
        stand_ins.nodes.with_fleet(|f| {
            for n in f.nodes.values_mut() {
                (n.setup_factor, n.places, n.link_kb) = (0.0, each, each * 800.0);
            }
        });
        let script = dir.path().join("director.star");
        std::fs::write(
            &script,
            director_script(&shared, &size, 0, stand_ins.roster_address, &dir.path().join("list")),
        )?;
        let what: &[&str] = if relay { &["relay"] } else { &["director", "serve", "--log-filter", "warn"] };
        let mut arguments: Vec<&std::ffi::OsStr> = what.iter().map(AsRef::as_ref).collect();
        arguments.extend(["--config".as_ref(), script.as_os_str()]);
        let (mut child, address) = spawn(program, &arguments).await?;
        let pid = child.id().context("it ended")?;
        // The director counts all nodes as doubtful for its first 5 s.
        tokio::time::sleep(Duration::from_secs(6)).await;
        let idle = usage(pid)?.1;
        let times = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        let tally = Tally { times, started: 0, playing: 0, not_playing: 0, on: false };
        let tally = Arc::new(Mutex::new(tally));
        let mut sockets = JoinSet::new();
        for me in 0..self.sockets {
            let (load, tally) = (self.clone(), tally.clone());
            sockets.spawn(async move {
                let apart = f64::from(me) / load.rate;
                tokio::time::sleep(Duration::from_secs_f64(apart)).await;
                drive(me, address, load, tally).await
            });
        }
        tokio::time::sleep(Duration::from_secs_f64(self.hold + 2.0)).await;
        let before = usage(pid)?;
        tally.lock().unwrap_or_else(|e| e.into_inner()).on = true;
        tokio::time::sleep(Duration::from_secs_f64(self.seconds)).await;
        let after = usage(pid)?;
        let held = stand_ins.nodes.with_fleet(|f| f.streams.values().filter(|s| s.playing).count()) as u64;
        if let Some(Ok(Err(e))) = sockets.try_join_next() {
            return Err(e.context("a socket of the load"));
        }
        sockets.shutdown().await;
        child.kill().await?;
        let t = tally.lock().unwrap_or_else(|e| e.into_inner());
        ensure!(t.playing > 0, "nothing played");
        let ms = |q: f64| t.times.value_at_quantile(q) as f64 / 1e3;
        Ok(Measured {
            started: t.started,
            playing: t.playing,
            not_playing: t.not_playing,
            held,
            p50: ms(0.5),
            p99: ms(0.99),
            most: t.times.max() as f64 / 1e3,
            cpu: (after.0 - before.0) / t.started as f64 * 1e6,
            core: (after.0 - before.0) / self.seconds,
            memory: (after.1 - idle) / held.max(1) as f64,
        })
    }

    /// Measures the director and the relay in turn, and shows both and their ratios.
    ///
    /// # Errors
    /// Where a process cannot be started or ends, or a socket is closed.
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
                    format!("{:.2}", m.p50),
                    format!("{:.2}", m.p99),
                    format!("{:.1}", m.most),
                    format!("{:.0}", m.cpu),
                    format!("{:.2}", m.core),
                    format!("{:.0}", m.memory),
                ]);
            }
            writeln!(
                text,
                "added: p50 {:+.2} ms, p99 {:+.2} ms; CPU {:.2} times the relay's",
                director.p50 - relay.p50,
                director.p99 - relay.p99,
                director.cpu / relay.cpu
            )?;
        }
        Ok(format!("{table}\n{text}"))
    }
}

fn fix_uplink(shared: &str, kb: f64) -> String {
    let (before, rest) = shared.split_once("rack_uplink = ").unwrap_or((shared, ""));
    let after = rest.split_once(',').map_or("", |r| r.1);
    format!("{before}rack_uplink = {kb},{after}")
}
