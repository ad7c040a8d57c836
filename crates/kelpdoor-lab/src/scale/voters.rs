//! Real voters under hollow directors: the resources of a voter by the number of directors, in the steady state and when
//! all directors reconnect after its restart, and the bytes of a director on the wire.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use kelpdoor_agreement::{ClientRequest, Value, VoterResponse};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::time::{sleep, timeout};

use super::Scale;
use super::follower;
use super::hollow::{HollowSpec, HollowStats, VoterStats, latency_histogram, merge_stats};
use super::points::{Point, Points};
use super::process::{ProcessUsage, load_average, max_descriptors, usage};
use crate::daemon::Daemon;

/// Fleet name of the measured voters.
pub const FLEET: &str = "scale";
/// Most directors of a process; one thread of a shared machine keeps up with twice as many at 20 requests a second each.
const MAX_DIRECTORS_PER_PROCESS: usize = 750;
/// Descriptors of a process reserved for its own files and the connections of other voters.
const RESERVED_DESCRIPTORS: usize = 500;
/// Connections per second that the directors of a process open at their start.
const CONNECTIONS_PER_SECOND: f64 = 4000.0;
/// Seconds within which all directors have to obtain a lease; otherwise the size counts as over a limit.
const START_TIMEOUT: f64 = 15.0;
/// Seconds between the start and the measurement.
const SETTLE_SECONDS: f64 = 2.0;
/// Seconds to wait for all directors to be answered after a voter's restart.
const RECONNECT_TIMEOUT: f64 = 15.0;
/// Timeout for a response of a process or a voter.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Attempts to find free addresses; one that was free may be taken before the voter binds it.
const MAX_START_ATTEMPTS: u32 = 5;
/// What hollow directors leave out; stored with the points.
pub const HOLLOW: &str =
    "hollow directors: the real follower and words, no desk, a document's first line read";

#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of voters.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 5])]
    pub voters: Vec<usize>,
    /// Longest contradictions that the document states, in seconds; all but the first only with the largest number of voters.
    #[arg(long, value_delimiter = ',', default_values_t = [2.0, 10.0])]
    pub contradictions: Vec<f64>,
    /// Measured time in seconds, split into one window for each seed to show the variation.
    #[arg(long, default_value_t = 12.0)]
    pub span: f64,
    /// Approximate size of the document in bytes.
    #[arg(long, default_value_t = 2000)]
    pub document: usize,
    /// Time limit of this measurement in seconds, in addition to that of all measurements.
    #[arg(long, default_value_t = 330.0)]
    pub most: f64,
    /// File to write the points to, as JSON.
    #[arg(long)]
    pub points: Option<PathBuf>,
    /// Program to run as voters and as hollow directors; this program by default.
    #[arg(long, hide = true)]
    pub program: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            voters: vec![3, 5],
            contradictions: vec![2.0, 10.0],
            span: 12.0,
            document: 2000,
            most: 330.0,
            points: None,
            program: None,
        }
    }
}

/// Measures voters at each fleet size.
///
/// # Errors
/// An option is out of range, a process fails, or the points cannot be written.
pub async fn measure(all: &Scale, options: &Options) -> Result<Points> {
    ensure!(options.voters.iter().all(|v| matches!(v, 3 | 5)), "--voters: 3 or 5");
    ensure!(options.contradictions.iter().all(|c| (0.5..=60.0).contains(c)), "--contradictions: 0.5 to 60 s");
    ensure!((0.5..=3600.0).contains(&options.span), "--span: 0.5 s to an hour");
    ensure!(options.document <= 250_000, "--document: 250,000 bytes at most");
    let until = Instant::now() + Duration::from_secs_f64(all.within.min(options.most).clamp(0.0, 1e6));
    let program = options.program.clone().map_or_else(std::env::current_exe, Ok)?;
    let most = options.voters.iter().copied().max();
    let mut cells = Vec::new();
    for (k, &contradiction) in options.contradictions.iter().enumerate() {
        for &voters in options.voters.iter().filter(|v| k == 0 || Some(**v) == most) {
            cells.extend(all.sizes.iter().map(|&directors| Cell { voters, directors, contradiction }));
        }
    }
    let bar = progress_bar(cells.len() as u64, "fleets of voters");
    let mut points = Points::default();
    for cell in cells {
        let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
        if left < options.span + 2.0 * SETTLE_SECONDS {
            points.partial.push(format!("voters not measured, no time was left: {cell:?}"));
            continue;
        }
        match timeout(
            Duration::from_secs_f64(left + RESPONSE_TIMEOUT.as_secs_f64()),
            cell.measure(all, options, &program),
        )
        .await
        {
            Ok(done) => points.merge(done.with_context(|| format!("{cell:?}"))?),
            Err(_) => points.partial.push(format!("voters cut short by time: {cell:?}")),
        }
        bar.inc(1);
    }
    bar.finish_and_clear();
    write(options.points.as_deref(), &points)?;
    Ok(points)
}

#[derive(Clone, Copy, Debug)]
struct Cell {
    voters: usize,
    directors: usize,
    contradiction: f64,
}

impl Cell {
    fn point(&self, role: &str, what: &str, unit: &str, y: f64, seed: u64, at: &str) -> Point {
        Point {
            role: role.into(),
            what: what.into(),
            unit: unit.into(),
            by: "directors".into(),
            x: self.directors as f64,
            y,
            seed,
            at: format!("{} voters, {at}, contradiction {} s", self.voters, self.contradiction),
            hollow: if role == "machine" { String::new() } else { HOLLOW.into() },
        }
    }

    async fn measure(&self, all: &Scale, options: &Options, program: &Path) -> Result<Points> {
        let mut points = Points::default();
        let limit = max_descriptors()? as usize;
        if self.directors + RESERVED_DESCRIPTORS > limit {
            let why =
                format!("{self:?} not measured: a voter would hold more than {limit} descriptors, the limit");
            points.partial.push(why);
            return Ok(points);
        }
        let loaded = load_average()?;
        let mut voters = Voters::start(program, self.voters).await?;
        voters.agree_first(options.document, self.contradiction).await?;
        let share = MAX_DIRECTORS_PER_PROCESS.min((limit - RESERVED_DESCRIPTORS) / self.voters);
        let mut hollows = HollowProcesses::start(program, &voters.at, self.directors, share).await?;
        let started = hollows.until(START_TIMEOUT, |s| s.begin == s.directors).await?;
        if started.begin < started.directors {
            points.partial.push(format!(
                "{self:?} not taken into the figures, a limit is met: {}",
                describe_missing(&started)
            ));
            return Ok(points);
        }
        sleep(Duration::from_secs_f64(SETTLE_SECONDS)).await;
        points.points.push(self.point("machine", "load before", "processes", loaded, 0, "steady"));
        self.steady(all, options, &voters, &mut hollows, &mut points).await?;
        self.restart(&mut voters, &mut hollows, &mut points).await?;
        Ok(points)
    }

    async fn steady(
        &self, all: &Scale, options: &Options, voters: &Voters, hollows: &mut HollowProcesses,
        points: &mut Points,
    ) -> Result<()> {
        let windows = all.seeds.max(1);
        for window in 1..=windows {
            hollows.ask("mark").await?;
            let before = voters.usage()?;
            let hollow_before = hollows.usage()?;
            sleep(Duration::from_secs_f64(options.span / windows as f64)).await;
            let (after, hollow_after) = (voters.usage()?, hollows.usage()?);
            let seen = hollows.ask("look").await?;
            let mut put = |role: &str, what: &str, unit: &str, y: f64| {
                points.points.push(self.point(role, what, unit, y, window, "steady"));
            };
            let (n, d, s) = (self.voters as f64, self.directors as f64, seen.seconds);
            let mean =
                |of: &dyn Fn(&VoterStats) -> u64| seen.voters.iter().map(of).sum::<u64>() as f64 / n / s;
            let core = |of: &[ProcessUsage]| of.iter().map(|u| u.core).sum::<f64>();
            let memory = |of: &[ProcessUsage]| of.iter().map(|u| u.memory).sum::<f64>();
            put("voter", "processor time", "core", (core(&after) - core(&before)) / n / s);
            put("voter", "memory", "B", memory(&after) / n);
            put("voter", "descriptors", "descriptors", after.iter().map(|u| u.descriptors).sum::<f64>() / n);
            put("voter", "questions", "1/s", mean(&|v| v.asked));
            put("voter", "bytes in", "B/s", mean(&|v| v.bytes.0));
            put("voter", "bytes out", "B/s", mean(&|v| v.bytes.1));
            let answers = merge_histograms(seen.voters.iter().flat_map(|v| &v.answers));
            for (name, q) in [("p50", 0.5), ("p99", 0.99), ("most", 1.0)] {
                put("voter", &format!("answer, {name}"), "s", answers.value_at_quantile(q) as f64 / 1e6);
            }
            put("director", "control bytes", "B/s", mean(&|v| v.bytes.0 + v.bytes.1) * n / d);
            put("director", "control messages", "1/s", mean(&|v| v.messages.0 + v.messages.1) * n / d);
            let spent = core(&hollow_after) - core(&hollow_before);
            // Sums over all directors, so that the slope is the cost of each one without that of the process.
            put("directors", "processor time of followers and lines", "core", spent / s);
            put("directors", "memory of followers and lines", "B", memory(&hollow_after));
            put("fleet", "directors that may begin", "of 1", seen.begin as f64 / d);
            let refused: u64 = seen.voters.iter().map(|v| v.refused).sum();
            if refused > 0 {
                points.partial.push(format!("{self:?}: {refused} questions refused: {:?}", seen.refused));
            }
        }
        Ok(())
    }

    /// Kills one voter and restarts it at once, so that all directors reconnect together.
    async fn restart(
        &self, voters: &mut Voters, hollows: &mut HollowProcesses, points: &mut Points,
    ) -> Result<()> {
        voters.kill(0).await?;
        // Responses from before the kill are read by then.
        sleep(Duration::from_millis(100)).await;
        hollows.ask("mark").await?;
        let began = Instant::now();
        voters.restart(0).await?;
        let listens = began.elapsed().as_secs_f64();
        let mut least = self.directors;
        let answered =
            |s: &HollowStats| s.voters.first().map_or(0, |v| v.firsts.iter().map(|f| f.1).sum::<u64>());
        let seen = hollows
            .until(RECONNECT_TIMEOUT, |s| {
                least = least.min(s.begin);
                answered(s) >= s.directors as u64
            })
            .await?;
        let spent = voters.usage()?[0].core;
        let back = answered(&seen);
        if back < self.directors as u64 {
            points.partial.push(format!(
                "{self:?}: after a voter's restart {back} directors were answered within {RECONNECT_TIMEOUT} s: {}",
                describe_missing(&seen)
            ));
        }
        let firsts = merge_histograms(seen.voters.first().iter().flat_map(|v| &v.firsts));
        let mut put = |role: &str, what: &str, unit: &str, y: f64| {
            points.points.push(self.point(role, what, unit, y, 1, "a voter restarted"));
        };
        for (name, q) in [("half", 0.5), ("99 in 100", 0.99), ("all", 1.0)] {
            // Counted from the time the voter listens; directors retry with a delay.
            let after = (firsts.value_at_quantile(q) as f64 / 1e6 - listens).max(0.0);
            if q < 1.0 || back == self.directors as u64 {
                put("voter", &format!("answered again, {name}"), "s", after);
            }
        }
        put("voter", "processor time until then", "core s", spent);
        put("fleet", "directors that may begin, least", "of 1", least as f64 / self.directors as f64);
        Ok(())
    }
}

fn merge_histograms<'a>(all: impl Iterator<Item = &'a (u64, u64)>) -> hdrhistogram::Histogram<u64> {
    let mut sum = latency_histogram();
    all.for_each(|(value, count)| sum.saturating_record_n(*value, *count));
    sum
}

/// Describes why not all directors may begin sessions.
fn describe_missing(of: &HollowStats) -> String {
    let lines: Vec<String> = of.voters.iter().map(|v| v.connected.to_string()).collect();
    let ended: u64 = of.voters.iter().map(|v| v.ended).sum();
    format!(
        "{} of {} directors may begin; connections to each voter: {}; {ended} ended in {:.0} s; refused: {:?}",
        of.begin,
        of.directors,
        lines.join(", "),
        of.seconds,
        of.refused
    )
}

/// Voters, each in its own process.
pub struct Voters {
    program: PathBuf,
    dir: TempDir,
    pub at: Vec<SocketAddr>,
    running: Vec<Option<Daemon>>,
}

impl Voters {
    /// Starts voters that found a fleet.
    ///
    /// # Errors
    /// They do not start.
    pub async fn start(program: &Path, n: usize) -> Result<Voters> {
        let mut last = None;
        for _ in 0..MAX_START_ATTEMPTS {
            match Voters::found(program, n).await {
                Ok(voters) => return Ok(voters),
                Err(e) => last = Some(e),
            }
        }
        Err(last.context("no try")?)
    }

    async fn found(program: &Path, n: usize) -> Result<Voters> {
        let mut listeners = Vec::new();
        for _ in 0..n {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let at = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<Vec<_>>>()?;
        drop(listeners);
        let (program, dir) = (program.to_owned(), tempfile::tempdir()?);
        let mut voters = Voters { program, dir, at, running: (0..n).map(|_| None).collect() };
        for v in 0..n {
            voters.run(v, true).await?;
        }
        Ok(voters)
    }

    fn list(&self) -> String {
        let all: Vec<String> =
            self.at.iter().enumerate().map(|(v, at)| format!("\"{v}\": \"{at}\"")).collect();
        format!("{{{}}}", all.join(", "))
    }

    async fn run(&mut self, v: usize, found: bool) -> Result<()> {
        let folder = self.dir.path().join(v.to_string());
        std::fs::create_dir_all(&folder)?;
        let (store, list, listen) = (folder.join("store").display().to_string(), self.list(), self.at[v]);
        let script = format!(
            "voter(me = {v}, voters = {list}, listen = \"{listen}\", fleet = \"{FLEET}\", store = {store:?})\n"
        );
        let config = folder.join("voter.star");
        std::fs::write(&config, script)?;
        let mut arguments = vec!["keeper".to_owned(), "--config".to_owned(), config.display().to_string()];
        if found {
            arguments.push("--found".to_owned());
        }
        let daemon = Daemon::start(&self.program, &arguments, &folder.join("log")).await;
        self.running[v] = Some(daemon.with_context(|| format!("voter {v}"))?);
        Ok(())
    }

    /// Restarts voter `v`.
    ///
    /// # Errors
    /// The voter does not start.
    pub async fn restart(&mut self, v: usize) -> Result<()> {
        self.run(v, false).await
    }

    /// Kills voter `v`.
    ///
    /// # Errors
    /// The voter does not end.
    pub async fn kill(&mut self, v: usize) -> Result<()> {
        match self.running[v].take() {
            Some(mut daemon) => Ok(daemon.child.kill().await?),
            None => Ok(()),
        }
    }

    /// Resource usage of each running voter.
    ///
    /// # Errors
    /// A voter has exited by itself.
    pub fn usage(&self) -> Result<Vec<ProcessUsage>> {
        let ids = self.running.iter().flatten().map(|d| d.child.id());
        ids.map(|id| usage(id.context("a voter has ended")?)).collect()
    }

    /// A valid document of about `bytes` bytes; changes differ in a key that is not switched.
    pub fn document(&self, bytes: usize, contradiction: f64, change: u64) -> String {
        let head = follower::document_header(contradiction, self.at.len());
        let base = format!(
            "ladder(rates = [120, 221], utility = [0.2, 0.42])\n\
             group(\"story\", utility = 1, start_target = 1, floor = 0, top = 1)\n\
             fleet(zones = [\"east\"], kinds = {{\"box\": 26}}, cells = 60, racks = 2, link_unit = 2600, \
             seen_after = 0.6, told_every = 2, cold_from = 0.4, warm_within = 8, tip_multiple = 4, fall_window = 2, \
             drain_grace = 1)\n\
             further(free = {}, per_taken = 0.25, span = 10)\n\
             directors(names = [\"a\", \"b\", \"c\"], max_setups = 3, contradiction = {contradiction})\n\
             voters(at = {})\n",
            4 + change % 3,
            self.list(),
        );
        let pad = super::simulate::pad(bytes.saturating_sub(head.len() + base.len()));
        format!("{head}{base}{pad}# change {change}\n")
    }

    /// Proposes the first version and waits until it is agreed.
    ///
    /// # Errors
    /// The version is refused, or not agreed in time.
    pub async fn agree_first(&self, bytes: usize, contradiction: f64) -> Result<()> {
        let text = self.document(bytes, contradiction, 0);
        let until = Instant::now() + RESPONSE_TIMEOUT;
        let mut operator = Operator::to(self.at[0]).await?;
        loop {
            match operator.propose(0, fastrand::u64(..), &text).await? {
                VoterResponse::Agreed { .. } => return Ok(()),
                // The voters are not connected to each other yet.
                VoterResponse::NotTaken { .. } | VoterResponse::Unknown { .. } if Instant::now() < until => {
                    sleep(Duration::from_millis(50)).await;
                }
                other => bail!("the first document: {other:?}"),
            }
        }
    }
}

/// Connection of an operator to one voter.
pub struct Operator(BufReader<TcpStream>);

impl Operator {
    /// Connects to a voter.
    ///
    /// # Errors
    /// No voter answers at the address.
    pub async fn to(at: SocketAddr) -> Result<Operator> {
        let mut operator = Operator(BufReader::new(TcpStream::connect(at).await?));
        match operator.ask(&ClientRequest::Hello { fleet: FLEET.to_owned() }).await? {
            VoterResponse::Welcome { .. } => Ok(operator),
            other => bail!("no welcome: {other:?}"),
        }
    }

    async fn ask(&mut self, request: &ClientRequest) -> Result<VoterResponse> {
        let mut text = serde_json::to_vec(request)?;
        text.push(b'\n');
        let mut line = String::new();
        let said = async {
            self.0.get_mut().write_all(&text).await?;
            self.0.read_line(&mut line).await
        };
        timeout(RESPONSE_TIMEOUT, said).await.context("a voter does not answer")??;
        Ok(serde_json::from_str(&line)?)
    }

    /// Proposes a document as the successor of version `after`.
    ///
    /// # Errors
    /// The voter does not answer.
    pub async fn propose(&mut self, after: u64, id: u64, text: &str) -> Result<VoterResponse> {
        let value = Value { id, text: text.to_owned() };
        self.ask(&ClientRequest::Propose { after, value, sure: false }).await
    }
}

/// Processes of hollow directors.
struct HollowProcesses(Vec<(Child, ChildStdin, Lines<BufReader<ChildStdout>>)>);

impl HollowProcesses {
    async fn start(
        program: &Path, voters: &[SocketAddr], directors: usize, share: usize,
    ) -> Result<HollowProcesses> {
        let mut all = Vec::new();
        for first in (0..directors).step_by(share) {
            let n = share.min(directors - first);
            let within = (n * voters.len()) as f64 / CONNECTIONS_PER_SECOND;
            let spec = HollowSpec {
                fleet: FLEET.to_owned(),
                voters: voters.to_vec(),
                first,
                directors: n,
                within: within.max(1.0),
            };
            let mut child = Command::new(program)
                .args(["scale", "hollow"])
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .kill_on_drop(true)
                .spawn()
                .context("starting hollow directors")?;
            let mut input = child.stdin.take().context("its input")?;
            let output = BufReader::new(child.stdout.take().context("its output")?).lines();
            input.write_all(format!("{}\n", serde_json::to_string(&spec)?).as_bytes()).await?;
            all.push((child, input, output));
        }
        Ok(HollowProcesses(all))
    }

    /// Sends a command to all processes: `look`, or `mark` to reset the counters after reading them.
    async fn ask(&mut self, command: &str) -> Result<HollowStats> {
        for (_, input, _) in &mut self.0 {
            input.write_all(format!("{command}\n").as_bytes()).await?;
        }
        let mut all = Vec::new();
        for (_, _, output) in &mut self.0 {
            let line = timeout(RESPONSE_TIMEOUT, output.next_line())
                .await
                .context("hollow directors do not answer")??;
            all.push(serde_json::from_str(&line.context("hollow directors have ended")?)?);
        }
        Ok(merge_stats(&all))
    }

    /// Polls the counters until a condition holds or `most` seconds have passed; returns the last counters.
    async fn until(&mut self, most: f64, mut done: impl FnMut(&HollowStats) -> bool) -> Result<HollowStats> {
        let until = Instant::now() + Duration::from_secs_f64(most);
        loop {
            let seen = self.ask("look").await?;
            if done(&seen) || Instant::now() >= until {
                return Ok(seen);
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn usage(&self) -> Result<Vec<ProcessUsage>> {
        self.0.iter().map(|(child, ..)| usage(child.id().context("hollow directors have ended")?)).collect()
    }
}

/// A progress bar, hidden if standard error is no terminal.
pub fn progress_bar(of: u64, what: &'static str) -> ProgressBar {
    let bar = if std::io::stderr().is_terminal() { ProgressBar::new(of) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{elapsed} {bar:40} {pos} of {len} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.with_message(what)
}

/// Writes the points to a file as JSON, if a path is given.
///
/// # Errors
/// The file cannot be written.
pub fn write(to: Option<&Path>, of: &Points) -> Result<()> {
    match to {
        Some(path) => {
            std::fs::write(path, serde_json::to_vec_pretty(of)?).context(path.display().to_string())
        }
        None => Ok(()),
    }
}
