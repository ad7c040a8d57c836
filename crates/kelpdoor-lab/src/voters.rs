//! Voters as processes of their own, relays before each of them, and proposals by the daemon's own command.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use fastrand::Rng;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use ring::digest::{SHA256, digest};
use tokio::process::Command;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::daemon::Daemon;
use crate::fault_proxy::{Endpoint, FaultProxy};
use crate::fleet::{builds, titles};
use crate::record::{Recorder, What};
use crate::trouble::Size;

pub const FLEET: &str = "lab";
/// Words of the shared settings that a director keeps to itself.
const OWN: [&str; 2] = ["players(", "node_links("];

/// Who lies where: what the scripts of all processes are made of.
struct Plan {
    program: PathBuf,
    dir: PathBuf,
    /// Of each voter, then of each director: how its clock runs, and where it reaches each voter.
    rates: Vec<f64>,
    lines: Vec<Vec<SocketAddr>>,
    size: Size,
    /// The document's text, and what each director has besides.
    shared: (String, String),
}

/// The voters of a day.
pub struct VoterProcesses {
    plan: Arc<Plan>,
    proxy: FaultProxy,
    children: Vec<Option<Daemon>>,
    /// Who is not asked to found the fleet at its start: who did, and who joins.
    founded: Vec<bool>,
    /// On the list that was agreed last.
    listed: Vec<u32>,
    recorder: Recorder,
}

/// Who proposes.
pub struct Proposer {
    plan: Arc<Plan>,
    recorder: Recorder,
    /// The newest version that it was told of.
    newest: u64,
    /// The voters of the list that was agreed last, as far as it was told.
    voters: Vec<u32>,
}

/// All that a day has of voters.
#[derive(Clone)]
pub struct AgreementCluster {
    plan: Arc<Plan>,
    pub proxy: FaultProxy,
    pub voters: Arc<Mutex<VoterProcesses>>,
    pub proposer: Arc<Mutex<Proposer>>,
}

/// The documents of a day: what is agreed, and what stays with each director.
fn split(shared: &str) -> (String, String) {
    let own = |line: &&str| OWN.iter().any(|w| line.starts_with(w));
    let (own, doc): (Vec<&str>, Vec<&str>) = shared.lines().partition(own);
    (doc.join("\n"), own.join("\n"))
}

impl AgreementCluster {
    pub async fn start(
        program: &Path, dir: &Path, size: &Size, shared: &str, recorder: Recorder,
    ) -> Result<Self> {
        let proxy = FaultProxy::default();
        let mut rng = Rng::with_seed(size.seed ^ 0xc10c);
        let (n, d) = (size.voters + size.spare_voters, size.directors);
        let sites = (0..n).map(Endpoint::Voter).chain((0..d).map(Endpoint::Director));
        let (mut lines, mut rates) = (Vec::new(), Vec::new());
        for from in sites {
            let mut line = Vec::new();
            for to in 0..n {
                line.push(proxy.add_relay(from, Endpoint::Voter(to)).await?);
            }
            lines.push(line);
            rates.push(if size.clocks_apart { 0.995 + 0.01 * rng.f64() } else { 1.0 });
        }
        let (program, dir, shared) = (program.to_owned(), dir.to_owned(), split(shared));
        let plan = Arc::new(Plan { program, dir, rates, lines, size: size.clone(), shared });
        let mut processes = VoterProcesses {
            plan: plan.clone(),
            proxy: proxy.clone(),
            children: (0..n).map(|_| None).collect(),
            founded: (0..n).map(|v| v >= size.voters).collect(),
            listed: (0..size.voters).collect(),
            recorder: recorder.clone(),
        };
        for v in 0..size.voters {
            processes.start_voter(v).await?;
        }
        let voters = (0..size.voters).collect();
        let proposer = Proposer { plan: plan.clone(), recorder, newest: 0, voters };
        Ok(AgreementCluster {
            plan,
            proxy,
            voters: Arc::new(Mutex::new(processes)),
            proposer: Arc::new(Mutex::new(proposer)),
        })
    }

    /// Steps a director's wall clock to that many seconds off.
    pub fn step_wall_clock(&self, d: u32, off: f64) -> Result<()> {
        Ok(fs::write(self.plan.wall(d), off.to_string())?)
    }

    /// The whole script of a director; `cache` is its kept list.
    pub fn director_script(&self, d: u32, name: &str, roster: SocketAddr, cache: &Path) -> String {
        self.plan.director_script(d, name, roster, cache)
    }
}

impl VoterProcesses {
    fn note(&self, v: u32, event: &str) {
        self.recorder.put(What::Voter { voter: v, event: event.to_owned() });
    }

    fn folder(&self, v: u32) -> PathBuf {
        self.plan.dir.join(format!("voter-{v}"))
    }

    /// Starts those of them that do not run.
    pub async fn start_stopped(&mut self, voters: &[u32]) -> Result<()> {
        for &v in voters {
            if self.children[v as usize].is_none() {
                self.start_voter(v).await?;
            }
        }
        Ok(())
    }

    /// These are on the list now: they run, though an earlier list had ended one meanwhile.
    pub async fn set_listed(&mut self, voters: &[u32]) -> Result<()> {
        self.listed = voters.to_vec();
        self.start_stopped(voters).await
    }

    /// Ends those of them that no later list has put on again.
    pub async fn stop_unlisted(&mut self, off: &[u32]) {
        for v in off.iter().copied().filter(|v| !self.listed.contains(v)).collect::<Vec<_>>() {
            self.kill(v).await;
        }
    }

    /// Starts a voter, wherever it may listen: the relays before it know.
    pub async fn start_voter(&mut self, v: u32) -> Result<()> {
        let k = v as usize;
        fs::create_dir_all(self.folder(v))?;
        let store = self.folder(v).join("store").display().to_string();
        let script = format!(
            "voter(me = {v}, {}, listen = \"127.0.0.1:0\", fleet = \"{FLEET}\", store = {store:?}, clock_rate = {})\n",
            self.plan.list(k),
            self.plan.rates[k],
        );
        let path = self.plan.dir.join(format!("voter-{v}.star"));
        fs::write(&path, script)?;
        let mut arguments = vec!["keeper".to_owned(), "--config".to_owned(), path.display().to_string()];
        if !std::mem::replace(&mut self.founded[k], true) {
            arguments.push("--found".to_owned());
        }
        let log = self.plan.dir.join(format!("voter-{v}.log"));
        let daemon = Daemon::start(&self.plan.program, &arguments, &log)
            .await
            .with_context(|| format!("voter {v}"))?;
        self.proxy.set_target(Endpoint::Voter(v), daemon.address.parse()?);
        self.children[k] = Some(daemon);
        self.note(v, "started");
        Ok(())
    }

    pub async fn kill(&mut self, v: u32) {
        self.note(v, "killed");
        if let Some(mut daemon) = self.children[v as usize].take() {
            let _ = daemon.child.kill().await;
        }
    }

    pub fn set_stalled(&self, v: u32, on: bool) {
        self.note(v, if on { "stalled" } else { "resumed" });
        let signal = if on { Signal::SIGSTOP } else { Signal::SIGCONT };
        if let Some(pid) = self.children[v as usize].as_ref().and_then(|c| c.child.id()) {
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Its disk is gone, with all that was on it.
    pub fn erase_disk(&self, v: u32) -> Result<()> {
        self.note(v, "lost its disk");
        Ok(fs::remove_dir_all(self.folder(v))?)
    }

    /// Its disk takes nothing any more, or does again.
    pub fn set_disk_full(&self, v: u32, on: bool) -> Result<()> {
        self.note(v, if on { "cannot write" } else { "can write" });
        let (here, away) = (self.folder(v), self.plan.dir.join(format!("voter-{v}-away")));
        let moved = if on { fs::rename(here, away) } else { fs::rename(away, here) };
        Ok(moved?)
    }
}

impl Plan {
    /// Founders, and how this site reaches each voter there will ever be: by its own relays.
    fn list(&self, site: usize) -> String {
        let lines = &self.lines[site];
        let named = |n: usize| {
            let all = lines.iter().enumerate().take(n).map(|(k, a)| format!("\"{k}\": \"{a}\""));
            all.collect::<Vec<_>>().join(", ")
        };
        format!("voters = {{{}}}, reach = {{{}}}", named(self.size.voters as usize), named(lines.len()))
    }

    fn wall(&self, d: u32) -> PathBuf {
        self.dir.join(format!("director-{d}.wall"))
    }

    fn director_script(&self, d: u32, name: &str, roster: SocketAddr, cache: &Path) -> String {
        let zone = &self.size.zones[d as usize % self.size.zones.len()];
        let site = (self.size.voters + self.size.spare_voters + d) as usize;
        let copy = self.dir.join(format!("director-{d}.rules")).display().to_string();
        let wall = self.wall(d).display().to_string();
        format!(
            "{own}\ndirector(zone = {zone:?}, listen = \"127.0.0.1:0\")\nroster(address = \"{roster}\", cache = {cache:?})\n\
             agreement({list}, fleet = \"{FLEET}\", name = \"{name}\", copy = {copy:?}, clock_rate = {rate}, \
             wall_off = {wall:?})\n",
            own = self.shared.1,
            cache = cache.display().to_string(),
            list = self.list(site),
            rate = self.rates[site],
        )
    }

    /// Documents of a day differ in floors, seats, the cold pace, SETUPs a session, the list of directors and that of nodes, of
    /// which one is off or drained at times; none laxer
    /// than the settings that the other rules are judged by.
    fn document(&self, change: u32, voters: &[u32]) -> (String, u8, Vec<u32>) {
        let floor = (change % 2) as u8;
        let mut text = self.shared.0.clone();
        text = text.replace(
            "start_target = 1.0, top = 3)",
            &format!("start_target = 1.0, top = 3, floor = {floor})"),
        );
        text = text.replace("seats = 20)", &format!("seats = {})", 20 - change % 4));
        text = text
            .replace("tip_multiple = 4", &format!("tip_multiple = {}", 4.0 - f64::from(change % 3) * 0.5));
        let mut names: Vec<String> = (0..self.size.directors).map(|d| format!("\"d{d}\"")).collect();
        if change % 5 == 4 {
            names.push("\"spare\"".to_owned());
        }
        let (without, listed) = match change % 4 {
            2 => (vec![change % self.size.nodes], false),
            3 => (vec![change % self.size.nodes], true),
            _ => (Vec::new(), true),
        };
        for b in builds(&self.size, &mut Rng::with_seed(0)) {
            let drain = match (without.contains(&b.id), listed) {
                (true, false) => continue,
                (true, true) => ", drain = True",
                (false, _) => "",
            };
            let (id, zone, kind, cell) = (b.id, b.zone, b.kind, b.cell);
            text += &format!("\nnode({id}, zone = {zone:?}, kind = {kind:?}, cell = {cell}{drain})");
        }
        for t in titles(&self.size) {
            let (name, first, cells) = (t.name, t.first_cell, t.cells);
            text += &format!("\ntitle({name:?}, first_cell = {first}, cells = {cells})");
        }
        // Each process is told otherwise: it goes by its relays.
        let at: Vec<String> = voters.iter().map(|v| format!("\"{v}\": \"127.0.0.1:{}\"", 1 + v)).collect();
        text += &format!("\nvoters(at = {{{}}})", at.join(", "));
        let setups = 3 - u32::from(change % 7 == 6);
        text += &format!(
            "\ndirectors(names = [{}], max_setups = {setups}, come_back = 1.5, contradiction = {})\n# change {change}\n",
            names.join(", "),
            self.size.contradiction,
        );
        (text, floor, without)
    }
}

impl Proposer {
    /// Proposes the document of that number by the daemon's own command, through a director's lines; what came of it.
    pub async fn propose(&mut self, change: u32, through: u32) -> Result<String> {
        let voters = self.voters.clone();
        self.propose_list(change, through, &voters).await
    }

    /// And with that list of voters; if it was agreed, those of the one before it that are off it.
    pub async fn propose_voters(
        &mut self, change: u32, through: u32, voters: &[u32],
    ) -> Result<Option<Vec<u32>>> {
        let before = self.voters.clone();
        let said = self.propose_list(change, through, voters).await?;
        if !said.starts_with("agreed ") {
            return Ok(None);
        }
        self.voters = voters.to_vec();
        Ok(Some(before.into_iter().filter(|v| !voters.contains(v)).collect()))
    }

    async fn propose_list(&mut self, change: u32, through: u32, voters: &[u32]) -> Result<String> {
        let (text, floor, without) = self.plan.document(change, voters);
        let sum = digest(&SHA256, text.as_bytes());
        let digest: String = sum.as_ref()[..8].iter().map(|b| format!("{b:02x}")).collect();
        let file = self.plan.dir.join(format!("document-{change}.star"));
        fs::write(&file, text)?;
        // The settings of an operator who sits where that director does.
        let any = "127.0.0.1:1".parse()?;
        let config = self.plan.dir.join(format!("operator-{through}.star"));
        fs::write(&config, self.plan.director_script(through, "operator", any, Path::new("unused")))?;
        let mut command = Command::new(&self.plan.program);
        command.args(["director", "propose"]).arg(&file).args([
            "--after",
            &self.newest.to_string(),
            "--config",
        ]);
        command.arg(&config).kill_on_drop(true);
        let after = self.newest;
        let digest_of = digest.clone();
        self.recorder.put(What::Proposed { change, digest: digest_of, after, story_floor: floor, without });
        let out = match timeout(Duration::from_secs(30), command.output()).await {
            Err(_) => return Ok("no answer".to_owned()),
            Ok(out) => out?,
        };
        let said = String::from_utf8_lossy(if out.status.success() { &out.stdout } else { &out.stderr });
        let said = said.trim().to_owned();
        let number = |of: &str| of.split('/').next().and_then(|n| n.parse::<u64>().ok());
        if let Some(n) = said.strip_prefix("agreed ").and_then(number) {
            self.newest = self.newest.max(n);
        }
        // Told by what it lost: the next one is made from that.
        if let Some(n) = said.rsplit("version is ").next().filter(|_| !out.status.success()).and_then(number)
        {
            self.newest = self.newest.max(n);
        }
        self.recorder.put(What::Outcome { change, digest, said: said.clone() });
        Ok(said)
    }
}
