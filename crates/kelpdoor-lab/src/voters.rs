//! Runs voters as child processes behind fault-injecting relays, and proposes documents with the daemon's own command.

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
use crate::fleet::{node_configs, titles};
use crate::record::{Event, Recorder};
use crate::trouble::DaySettings;

/// Name of the fleet in the agreement.
pub const FLEET: &str = "lab";
/// Prefixes of the settings lines that stay with each director and are not part of the agreed document.
const LOCAL_SETTINGS: [&str; 2] = ["players(", "node_links("];

/// Paths, addresses and settings from which the settings of all processes are generated.
struct Layout {
    program: PathBuf,
    dir: PathBuf,
    /// Clock rate of each voter, then of each director.
    clock_rates: Vec<f64>,
    /// For each voter, then for each director: the addresses of its relays to all voters.
    relays: Vec<Vec<SocketAddr>>,
    size: DaySettings,
    /// Text of the agreed document, without its lists.
    document: String,
    /// Settings that each director has locally.
    local: String,
}

/// The voter processes of a simulated day.
pub struct VoterProcesses {
    layout: Arc<Layout>,
    proxy: FaultProxy,
    children: Vec<Option<Daemon>>,
    /// Voters that start without `--found`: those that already founded the fleet and those that join it.
    founded: Vec<bool>,
    /// The voter list agreed last.
    listed: Vec<u32>,
    recorder: Recorder,
}

/// Proposes documents, one after the other.
pub struct Proposer {
    layout: Arc<Layout>,
    recorder: Recorder,
    /// The newest version known from responses.
    newest: u64,
    /// The newest voter list known from responses.
    voters: Vec<u32>,
}

/// Voters, proposer and fault proxy of a simulated day. Clones share their state.
#[derive(Clone)]
pub struct AgreementCluster {
    layout: Arc<Layout>,
    pub proxy: FaultProxy,
    pub voters: Arc<Mutex<VoterProcesses>>,
    pub proposer: Arc<Mutex<Proposer>>,
}

/// Splits settings into those of the agreed document and those that stay with each director.
fn split_settings(shared: &str) -> (String, String) {
    let is_local = |line: &&str| LOCAL_SETTINGS.iter().any(|w| line.starts_with(w));
    let (local, document): (Vec<&str>, Vec<&str>) = shared.lines().partition(is_local);
    (document.join("\n"), local.join("\n"))
}

impl AgreementCluster {
    /// Creates all relays and starts the founding voters.
    ///
    /// # Errors
    /// If a relay cannot listen or a voter does not start.
    pub async fn start(
        program: &Path, dir: &Path, size: &DaySettings, shared: &str, recorder: Recorder,
    ) -> Result<Self> {
        let proxy = FaultProxy::default();
        let mut rng = Rng::with_seed(size.seed ^ 0xc10c);
        let (n, d) = (size.voters + size.spare_voters, size.directors);
        let endpoints = (0..n).map(Endpoint::Voter).chain((0..d).map(Endpoint::Director));
        let (mut relays, mut clock_rates) = (Vec::new(), Vec::new());
        for from in endpoints {
            let mut to_voters = Vec::new();
            for to in 0..n {
                to_voters.push(proxy.add_relay(from, Endpoint::Voter(to)).await?);
            }
            relays.push(to_voters);
            clock_rates.push(if size.clocks_apart { 0.995 + 0.01 * rng.f64() } else { 1.0 });
        }
        let (program, dir, (document, local)) = (program.to_owned(), dir.to_owned(), split_settings(shared));
        let layout =
            Arc::new(Layout { program, dir, clock_rates, relays, size: size.clone(), document, local });
        let mut processes = VoterProcesses {
            layout: layout.clone(),
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
        let proposer = Proposer { layout: layout.clone(), recorder, newest: 0, voters };
        Ok(AgreementCluster {
            layout,
            proxy,
            voters: Arc::new(Mutex::new(processes)),
            proposer: Arc::new(Mutex::new(proposer)),
        })
    }

    /// Sets the offset of a director's wall clock, in seconds.
    ///
    /// # Errors
    /// If the offset file cannot be written.
    pub fn step_wall_clock(&self, d: u32, off: f64) -> Result<()> {
        Ok(fs::write(self.layout.clock_offset_file(d), off.to_string())?)
    }

    /// Generates the settings of a director. `cache` is the file of its cached roster.
    pub fn director_script(&self, d: u32, name: &str, roster: SocketAddr, cache: &Path) -> String {
        self.layout.director_script(d, name, roster, cache)
    }
}

impl VoterProcesses {
    fn record_event(&self, v: u32, event: &str) {
        self.recorder.record(Event::Voter { voter: v, event: event.to_owned() });
    }

    fn directory(&self, v: u32) -> PathBuf {
        self.layout.dir.join(format!("voter-{v}"))
    }

    /// Starts those of `voters` that are not running.
    ///
    /// # Errors
    /// If one does not start.
    pub async fn start_stopped(&mut self, voters: &[u32]) -> Result<()> {
        for &v in voters {
            if self.children[v as usize].is_none() {
                self.start_voter(v).await?;
            }
        }
        Ok(())
    }

    /// Sets the agreed voter list and starts those of its voters that an earlier list had stopped meanwhile.
    ///
    /// # Errors
    /// If one does not start.
    pub async fn set_listed(&mut self, voters: &[u32]) -> Result<()> {
        self.listed = voters.to_vec();
        self.start_stopped(voters).await
    }

    /// Kills those of `removed` that no later list has added again.
    pub async fn stop_unlisted(&mut self, removed: &[u32]) {
        for v in removed.iter().copied().filter(|v| !self.listed.contains(v)).collect::<Vec<_>>() {
            self.kill(v).await;
        }
    }

    /// Starts a voter on any free port and points its relays at it.
    ///
    /// # Errors
    /// If its files cannot be written or it does not start.
    pub async fn start_voter(&mut self, v: u32) -> Result<()> {
        let k = v as usize;
        fs::create_dir_all(self.directory(v))?;
        let store = self.directory(v).join("store").display().to_string();
        let script = format!(
            "voter(me = {v}, {}, listen = \"127.0.0.1:0\", fleet = \"{FLEET}\", store = {store:?}, clock_rate = {})\n",
            self.layout.voter_arguments(k),
            self.layout.clock_rates[k],
        );
        let path = self.layout.dir.join(format!("voter-{v}.star"));
        fs::write(&path, script)?;
        let mut arguments = vec!["keeper".to_owned(), "--config".to_owned(), path.display().to_string()];
        if !std::mem::replace(&mut self.founded[k], true) {
            arguments.push("--found".to_owned());
        }
        let log = self.layout.dir.join(format!("voter-{v}.log"));
        let daemon = Daemon::start(&self.layout.program, &arguments, &log)
            .await
            .with_context(|| format!("voter {v}"))?;
        self.proxy.set_target(Endpoint::Voter(v), daemon.address.parse()?);
        self.children[k] = Some(daemon);
        self.record_event(v, "started");
        Ok(())
    }

    /// Kills a voter with SIGKILL.
    pub async fn kill(&mut self, v: u32) {
        self.record_event(v, "killed");
        if let Some(mut daemon) = self.children[v as usize].take() {
            let _ = daemon.child.kill().await;
        }
    }

    /// Pauses a voter with SIGSTOP, or resumes it.
    pub fn set_stalled(&self, v: u32, on: bool) {
        self.record_event(v, if on { "stalled" } else { "resumed" });
        let signal = if on { Signal::SIGSTOP } else { Signal::SIGCONT };
        if let Some(pid) = self.children[v as usize].as_ref().and_then(|c| c.child.id()) {
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Removes a voter's directory with its store.
    ///
    /// # Errors
    /// If the directory cannot be removed.
    pub fn erase_disk(&self, v: u32) -> Result<()> {
        self.record_event(v, "lost its disk");
        Ok(fs::remove_dir_all(self.directory(v))?)
    }

    /// Makes all writes of a voter fail by moving its directory away, or moves it back.
    ///
    /// # Errors
    /// If the directory cannot be moved.
    pub fn set_disk_full(&self, v: u32, on: bool) -> Result<()> {
        self.record_event(v, if on { "cannot write" } else { "can write" });
        let (directory, aside) = (self.directory(v), self.layout.dir.join(format!("voter-{v}-away")));
        let moved = if on { fs::rename(directory, aside) } else { fs::rename(aside, directory) };
        Ok(moved?)
    }
}

impl Layout {
    /// Settings of the founding voters and of the addresses at which this endpoint reaches every voter: its own relays.
    fn voter_arguments(&self, endpoint: usize) -> String {
        let relays = &self.relays[endpoint];
        let entries = |n: usize| {
            let arguments = relays.iter().enumerate().take(n).map(|(k, a)| format!("\"{k}\": \"{a}\""));
            arguments.collect::<Vec<_>>().join(", ")
        };
        format!("voters = {{{}}}, reach = {{{}}}", entries(self.size.voters as usize), entries(relays.len()))
    }

    fn clock_offset_file(&self, d: u32) -> PathBuf {
        self.dir.join(format!("director-{d}.wall"))
    }

    fn director_script(&self, d: u32, name: &str, roster: SocketAddr, cache: &Path) -> String {
        let zone = &self.size.zones[d as usize % self.size.zones.len()];
        let endpoint = (self.size.voters + self.size.spare_voters + d) as usize;
        let copy = self.dir.join(format!("director-{d}.rules")).display().to_string();
        let wall = self.clock_offset_file(d).display().to_string();
        format!(
            "{own}\ndirector(zone = {zone:?}, listen = \"127.0.0.1:0\")\nroster(address = \"{roster}\", cache = {cache:?})\n\
             agreement({list}, fleet = \"{FLEET}\", name = \"{name}\", copy = {copy:?}, clock_rate = {rate}, \
             wall_off = {wall:?})\n",
            own = self.local,
            cache = cache.display().to_string(),
            list = self.voter_arguments(endpoint),
            rate = self.clock_rates[endpoint],
        )
    }

    /// Generates a document; returns its text, the floor of group `story` and the nodes that it drains or omits.
    ///
    /// Documents differ in floors, seats, the pace of cold nodes, SETUPs per session, the list of directors and the list of
    /// nodes, of which one is sometimes omitted or drained. None is laxer than the settings that the six rules are checked
    /// against.
    fn document(&self, change: u32, voters: &[u32]) -> (String, u8, Vec<u32>) {
        let floor = (change % 2) as u8;
        let mut text = self.document.clone();
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
        for b in node_configs(&self.size, &mut Rng::with_seed(0)) {
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
        // These addresses are placeholders: the local settings of each process override them with its relays.
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
    /// Proposes the document of number `change` with the daemon's own command, over the relays of director `through`. Returns
    /// the command's output, or `no answer` if it timed out.
    ///
    /// # Errors
    /// If files cannot be written or the command cannot be run.
    pub async fn propose(&mut self, change: u32, through: u32) -> Result<String> {
        let voters = self.voters.clone();
        self.propose_document(change, through, &voters).await
    }

    /// Proposes a document with a new voter list. If it was agreed, returns the voters that it removed.
    ///
    /// # Errors
    /// The same as [`Proposer::propose`].
    pub async fn propose_voters(
        &mut self, change: u32, through: u32, voters: &[u32],
    ) -> Result<Option<Vec<u32>>> {
        let previous = self.voters.clone();
        let response = self.propose_document(change, through, voters).await?;
        if !response.starts_with("agreed ") {
            return Ok(None);
        }
        self.voters = voters.to_vec();
        Ok(Some(previous.into_iter().filter(|v| !voters.contains(v)).collect()))
    }

    async fn propose_document(&mut self, change: u32, through: u32, voters: &[u32]) -> Result<String> {
        let (text, floor, without) = self.layout.document(change, voters);
        let sum = digest(&SHA256, text.as_bytes());
        let digest: String = sum.as_ref()[..8].iter().map(|b| format!("{b:02x}")).collect();
        let file = self.layout.dir.join(format!("document-{change}.star"));
        fs::write(&file, text)?;
        // Settings of an operator that shares the network paths of that director.
        let unused_roster = "127.0.0.1:1".parse()?;
        let config = self.layout.dir.join(format!("operator-{through}.star"));
        fs::write(
            &config,
            self.layout.director_script(through, "operator", unused_roster, Path::new("unused")),
        )?;
        let mut command = Command::new(&self.layout.program);
        command.args(["director", "propose"]).arg(&file).args([
            "--after",
            &self.newest.to_string(),
            "--config",
        ]);
        command.arg(&config).kill_on_drop(true);
        let after = self.newest;
        let proposed_digest = digest.clone();
        self.recorder.record(Event::Proposed {
            change,
            digest: proposed_digest,
            after,
            story_floor: floor,
            without,
        });
        let output = match timeout(Duration::from_secs(30), command.output()).await {
            Err(_) => return Ok("no answer".to_owned()),
            Ok(output) => output?,
        };
        let said =
            String::from_utf8_lossy(if output.status.success() { &output.stdout } else { &output.stderr });
        let said = said.trim().to_owned();
        let parse_number = |version: &str| version.split('/').next().and_then(|n| n.parse::<u64>().ok());
        if let Some(n) = said.strip_prefix("agreed ").and_then(parse_number) {
            self.newest = self.newest.max(n);
        }
        // The error of a rejected proposal states the newest version, on which the next proposal is based.
        if let Some(n) =
            said.rsplit("version is ").next().filter(|_| !output.status.success()).and_then(parse_number)
        {
            self.newest = self.newest.max(n);
        }
        self.recorder.record(Event::Outcome { change, digest, said: said.clone() });
        Ok(said)
    }
}
