//! Puts stand-ins and directors together: nodes, roster, directors as processes of their own.

use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};
use fastrand::Rng;
use kelpdoor_director::RosterTitle;
use kelpdoor_script::Deployment;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::daemon::Daemon;
use crate::fluid::{Fleet, FleetTerms};
use crate::node::{Build, Nodes, Telling};
use crate::player::Directors;
use crate::record::{Recorder, What};
use crate::roster::Roster;
use crate::tickets::{self, Issuing, KeeperProcess};
use crate::trouble::Size;
use crate::voters::AgreementCluster;

/// kB a second for each unit of a node's size.
const LINK_UNIT: f64 = 2600.0;

/// Settings that hardly any deployment has, to try the rules under: few seats, a high floor, every kind of repeat, a
/// small budget, a low cold start that tips soon.
pub const ODD: &str = r#"
ladder(rates = [90, 300, 500], utility = [0.3, 0.7, 1.0])
group("lecture", utility = 2, start_target = 0.5, scale = 1.4, top = 2, seats = 3, repeat = "cell", repeat_window = 1)
group("story", utility = 1, start_target = 0.3, top = 2, repeat = "anywhere", repeat_window = 0.5)
group("reading", utility = 5, start_target = 2, scale = 0.7, floor = 2, repeat = "zone", repeat_window = 3)
group("paid", utility = 1, start_target = 0.4, top = 1, floor = 1, seats = 2, repeat = "never")
further(free = 1, per_taken = 0.05, span = 5)
players(resume_for = 1, remember = 3, answer_ahead = 0.05)
node_links(connect_timeout = 0.2, quiet = 1, dead_after = 3)
"#;

const USUAL: &str = r#"
ladder(rates = [120, 221, 405, 744, 1365], utility = [0.2, 0.42, 0.62, 0.82, 1.0], switch_cost = 0.8)
group("lecture", utility = 2, start_target = 1.5, scale = 1.4, top = 4, seats = 20)
group("story", utility = 1, start_target = 1.0, top = 3)
group("reading", utility = 1, start_target = 1.5, scale = 0.7, top = 3, floor = 1, repeat = "zone", repeat_window = 5)
group("paid", utility = 2, start_target = 1.5, top = 3, repeat = "never")
further(free = 4, per_taken = 0.25, span = 10)
players(resume_for = 5, remember = 20)
"#;

/// The settings that all directors of a lab share, but for their own lines; `other` replaces the usual ones.
pub fn settings(size: &Size, other: &str) -> String {
    let ticket = if other.is_empty() {
        "utility = 1, start_target = 1.5, top = 3"
    } else {
        "utility = 1, start_target = 0.4, top = 1, repeat = \"never\""
    };
    let tickets = tickets::settings(size, ticket);
    let (other, cold) = if other.is_empty() {
        (USUAL, "cold_from = 0.4, warm_within = 8, tip_multiple = 4, fall_window = 2, drain_grace = 1")
    } else {
        (other, "cold_from = 0.1, warm_within = 10, tip_multiple = 2, fall_window = 1, drain_grace = 0.3")
    };
    let cells = size.nodes;
    let zones = size.zones.iter().map(|z| format!("{z:?}")).collect::<Vec<_>>().join(", ");
    format!(
        r#"{other}{tickets}fleet(zones = [{zones}], kinds = {{"box-2c": 26, "box-3c": 39}}, cells = {cells}, racks = {racks},
      link_unit = {LINK_UNIT}, rack_uplink = {uplink}, seen_after = 0.6, told_every = 2.0, {cold},
      cross_zone_price = 0.02)
"#,
        racks = size.racks,
        uplink = LINK_UNIT * f64::from(size.nodes) / f64::from(size.racks) * 0.9,
    )
}

/// A whole script for one director.
pub fn director_script(shared: &str, size: &Size, me: u32, roster: SocketAddr, cache: &Path) -> String {
    let zone = &size.zones[me as usize % size.zones.len()];
    format!(
        "{shared}director(me = {me}, of = {of}, zone = {zone:?}, listen = \"127.0.0.1:0\", max_setups = 3, \
         come_back = 1.5)\nroster(address = \"{roster}\", cache = {cache:?})\n",
        of = size.directors,
        cache = cache.display().to_string(),
    )
}

/// Titles and where they lie.
pub fn titles(size: &Size) -> Vec<RosterTitle> {
    let cells = size.nodes as u16;
    let span = 5.min(cells);
    (0..40u16)
        .map(|k| RosterTitle { name: format!("title-{k:02}"), first_cell: k * 3 % cells, cells: span })
        .collect()
}

/// The nodes, as they would be with that seed.
pub fn builds(size: &Size, rng: &mut Rng) -> Vec<Build> {
    let kinds = [("box-2c", 2.0, 26.0), ("box-3c", 3.0, 39.0)];
    (0..size.nodes)
        .map(|id| {
            let (kind, units, places) = kinds[usize::from(id % 3 != 0)];
            let link_kb = LINK_UNIT * units / 2.5 * (0.9 + 0.2 * rng.f64());
            Build {
                id,
                zone: size.zones[(id * size.zones.len() as u32 / size.nodes) as usize].clone(),
                kind: kind.to_owned(),
                cell: id as u16,
                size: units / 2.5,
                places,
                link_kb,
            }
        })
        .collect()
}

/// Nodes and roster at work.
pub struct World {
    pub nodes: Nodes,
    pub roster: Roster,
    pub roster_at: SocketAddr,
    pub recorder: Recorder,
}

impl World {
    pub async fn start(size: &Size, shared: &str, recorder: Recorder) -> Result<World> {
        World::with_titles(size, shared, recorder, titles(size)).await
    }

    /// With other titles than the usual forty.
    pub async fn with_titles(
        size: &Size, shared: &str, recorder: Recorder, titles: Vec<RosterTitle>,
    ) -> Result<World> {
        let mut rng = Rng::with_seed(size.seed);
        let (listener, roster_at) = Roster::bind().await?;
        let roster = Roster::new(titles, size.roster_lag, recorder.clone());
        // The settings as the checker reads them; the director's own lines do not matter there.
        let any = director_script(shared, size, 0, roster_at, Path::new("list"));
        let book = Deployment::parse("settings", &any)
            .map_err(|f| anyhow::anyhow!(f.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))?;
        recorder.put(What::Settings { text: serde_json::to_string(&book)? });
        let f = &book.fleet;
        let terms = FleetTerms {
            ladder: book.ladder.rates.clone(),
            scales: book.groups.iter().map(|g| (g.name.clone(), g.scale)).collect(),
            cold_from: f.cold_from,
            warm_within: f.warm_within,
            tip_multiple: f.tip_multiple,
            fall_window: f.fall_window,
            uplinks_told: f.uplinks_told,
        };
        let uplinks = (0..size.racks).map(|_| f.rack_uplink * (0.85 + 0.3 * rng.f64())).collect();
        let fleet = Fleet::new(terms, uplinks, crate::record::now());
        let telling = Telling { seen_after: f.seen_after, told_every: f.told_every, extra: 0.0 };
        let nodes = Nodes::new(fleet, telling, recorder.clone(), roster.clone());
        for build in builds(size, &mut rng) {
            nodes.start(&build, true).await?;
        }
        tokio::spawn(roster.clone().serve(listener));
        tokio::spawn(nodes.clone().flow());
        Ok(World { nodes, roster, roster_at, recorder })
    }
}

/// Directors of a day: started, killed, stalled and started again.
pub struct Fold {
    /// What is run as the daemon, by `director` and the daemon's own arguments.
    pub program: PathBuf,
    pub directors: Directors,
    children: Vec<Option<Daemon>>,
    boots: Vec<u32>,
    stalled: Vec<bool>,
    size: Size,
    shared: String,
    roster_at: SocketAddr,
    dir: PathBuf,
    recorder: Recorder,
    journal: bool,
    /// Where the day has schools.
    pub keeper: Option<KeeperProcess>,
    pub issuing: Option<std::sync::Arc<Issuing>>,
    /// Where the day has voters.
    pub agreeing: Option<AgreementCluster>,
}

impl Fold {
    pub fn new(
        size: &Size, shared: &str, program: PathBuf, roster_at: SocketAddr, recorder: Recorder, dir: &Path,
        journal: bool,
    ) -> Self {
        let n = size.directors as usize;
        Fold {
            program,
            directors: Directors::default(),
            children: (0..n).map(|_| None).collect(),
            boots: vec![0; n],
            stalled: vec![false; n],
            size: size.clone(),
            shared: shared.to_owned(),
            roster_at,
            dir: dir.to_owned(),
            recorder,
            journal,
            keeper: None,
            issuing: None,
            agreeing: None,
        }
    }

    fn note(&self, d: usize, event: &str) {
        let (director, boot) = (d as u32, self.boots[d]);
        self.recorder.put(What::Director { director, boot, event: event.to_owned() });
    }

    /// Starts the keeper and the issuing of tokens, where the day has schools; before any director.
    pub async fn start_keeper(&mut self) -> Result<()> {
        if self.size.schools > 0 {
            self.issuing = Some(Issuing::new(&self.dir)?);
            self.keeper = Some(KeeperProcess::start(&self.program, &self.dir, &self.size).await?);
            self.recorder.put(What::Schools { seats: self.size.seats });
        }
        Ok(())
    }

    /// Starts the voters, where the day has any, and has them agree on a first document; before any director.
    pub async fn start_voters(&mut self) -> Result<()> {
        if self.size.voters == 0 {
            return Ok(());
        }
        let shared = self.with_keeper(self.shared.clone());
        let recorder = self.recorder.clone();
        let agreeing =
            AgreementCluster::start(&self.program, &self.dir, &self.size, &shared, recorder).await?;
        let said = agreeing.proposer.lock().await.propose(0, 0).await?;
        if !said.starts_with("agreed 1/") {
            bail!("the first document: {said}");
        }
        self.agreeing = Some(agreeing);
        Ok(())
    }

    /// Keys and keeper put in, where the day has schools.
    fn with_keeper(&self, script: String) -> String {
        let (Some(keeper), Some(issuing)) = (&self.keeper, &self.issuing) else { return script };
        script
            .replace(tickets::KEYS, &issuing.keys().display().to_string())
            .replace(tickets::KEEPER, &keeper.address)
    }

    pub fn note_keeper(&self, event: &str) {
        self.recorder.put(What::Keeper { event: event.to_owned() });
    }

    pub fn script_path(&self, d: usize) -> PathBuf {
        self.dir.join(format!("director-{d}.star"))
    }

    pub fn journal_path(&self, d: usize) -> PathBuf {
        self.dir.join(format!("director-{d}.journal"))
    }

    pub async fn start(&mut self, d: usize) -> Result<SocketAddr> {
        let cache = self.dir.join(format!("director-{d}.list"));
        let script = match &self.agreeing {
            Some(agreeing) => agreeing.director_script(d as u32, &format!("d{d}"), self.roster_at, &cache),
            None => director_script(&self.shared, &self.size, d as u32, self.roster_at, &cache),
        };
        let script = self.with_keeper(script);
        let path = self.script_path(d);
        std::fs::File::create(&path)?.write_all(script.as_bytes())?;
        self.boots[d] += 1;
        let shown = |path: PathBuf| path.display().to_string();
        let mut arguments = vec!["serve".to_owned(), "--config".to_owned(), shown(path)];
        if self.journal {
            arguments.extend(["--journal".to_owned(), shown(self.journal_path(d))]);
        }
        let log = self.dir.join(format!("director-{d}.log"));
        let daemon =
            Daemon::start(&self.program, &arguments, &log).await.with_context(|| format!("director {d}"))?;
        let address = daemon.address.parse().with_context(|| daemon.address.clone())?;
        self.note(d, "started");
        let zone = self.size.zones[d % self.size.zones.len()].clone();
        self.directors.set(d, Some((address, self.boots[d], zone)));
        self.children[d] = Some(daemon);
        Ok(address)
    }

    pub fn signal(&self, d: usize, signal: Signal) {
        if let Some(pid) = self.children[d].as_ref().and_then(|c| c.child.id()) {
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    pub async fn kill(&mut self, d: usize) {
        self.directors.set(d, None);
        self.note(d, "killed");
        self.stalled[d] = false;
        if let Some(mut process) = self.children[d].take() {
            let _ = process.child.kill().await;
        }
    }

    pub fn stall(&mut self, d: usize, on: bool) {
        if self.children[d].is_none() || std::mem::replace(&mut self.stalled[d], on) == on {
            return;
        }
        self.note(d, if on { "stalled" } else { "resumed" });
        self.signal(d, if on { Signal::SIGSTOP } else { Signal::SIGCONT });
    }

    /// Asks a director to end, and waits for it. Whether it ended well.
    pub async fn end(&mut self, d: usize) -> Result<bool> {
        self.directors.set(d, None);
        self.note(d, "ending");
        self.signal(d, Signal::SIGTERM);
        match self.children[d].take() {
            None => Ok(true),
            Some(mut process) => {
                let wait = tokio::time::timeout(std::time::Duration::from_secs(10), process.child.wait());
                Ok(wait.await.is_ok_and(|status| status.is_ok_and(|s| s.success())))
            }
        }
    }
}
