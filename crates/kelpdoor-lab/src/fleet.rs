//! Sets up a fleet: stand-in nodes and a roster in this process, and directors, keeper and voters as processes.

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
use crate::fluid::{FluidFleet, FluidSettings};
use crate::node::{NodeConfig, Nodes, NotificationDelays};
use crate::player::DirectorAddresses;
use crate::record::{Event, Recorder};
use crate::roster::Roster;
use crate::schools::{self, KeeperProcess, TokenIssuer};
use crate::trouble::DaySettings;
use crate::voters::AgreementCluster;

/// Rate of a node's link for each unit of its size, kB/s.
const LINK_UNIT: f64 = 2600.0;

/// Unusual settings that put the rules under stress: few seats, a high floor, every kind of repeat, a small budget, and
/// cold nodes that start low and fail soon.
pub const ODD_SETTINGS: &str = r#"
ladder(rates = [90, 300, 500], utility = [0.3, 0.7, 1.0])
group("lecture", utility = 2, start_target = 0.5, scale = 1.4, top = 2, seats = 3, repeat = "cell", repeat_window = 1)
group("story", utility = 1, start_target = 0.3, top = 2, repeat = "anywhere", repeat_window = 0.5)
group("reading", utility = 5, start_target = 2, scale = 0.7, floor = 2, repeat = "zone", repeat_window = 3)
group("paid", utility = 1, start_target = 0.4, top = 1, floor = 1, seats = 2, repeat = "never")
further(free = 1, per_taken = 0.05, span = 5)
players(resume_for = 1, remember = 3, answer_ahead = 0.05)
node_links(connect_timeout = 0.2, quiet = 1, dead_after = 3)
"#;

/// The settings of a day that asks for no other ones.
const DEFAULT_SETTINGS: &str = r#"
ladder(rates = [120, 221, 405, 744, 1365], utility = [0.2, 0.42, 0.62, 0.82, 1.0], switch_cost = 0.8)
group("lecture", utility = 2, start_target = 1.5, scale = 1.4, top = 4, seats = 20)
group("story", utility = 1, start_target = 1.0, top = 3)
group("reading", utility = 1, start_target = 1.5, scale = 0.7, top = 3, floor = 1, repeat = "zone", repeat_window = 5)
group("paid", utility = 2, start_target = 1.5, top = 3, repeat = "never")
further(free = 4, per_taken = 0.25, span = 10)
players(resume_for = 5, remember = 20)
"#;

/// The settings that all directors of a lab share. `custom` replaces the default settings unless it is empty.
pub fn settings(size: &DaySettings, custom: &str) -> String {
    let ticket = if custom.is_empty() {
        "utility = 1, start_target = 1.5, top = 3"
    } else {
        "utility = 1, start_target = 0.4, top = 1, repeat = \"never\""
    };
    let tickets = schools::settings(size, ticket);
    let (custom, cold) = if custom.is_empty() {
        (
            DEFAULT_SETTINGS,
            "cold_from = 0.4, warm_within = 8, tip_multiple = 4, fall_window = 2, drain_grace = 1",
        )
    } else {
        (custom, "cold_from = 0.1, warm_within = 10, tip_multiple = 2, fall_window = 1, drain_grace = 0.3")
    };
    let cells = size.nodes;
    let zones = size.zones.iter().map(|z| format!("{z:?}")).collect::<Vec<_>>().join(", ");
    format!(
        r#"{custom}{tickets}fleet(zones = [{zones}], kinds = {{"box-2c": 26, "box-3c": 39}}, cells = {cells}, racks = {racks},
      link_unit = {LINK_UNIT}, rack_uplink = {uplink}, seen_after = 0.6, told_every = 2.0, {cold},
      cross_zone_price = 0.02)
"#,
        racks = size.racks,
        uplink = LINK_UNIT * f64::from(size.nodes) / f64::from(size.racks) * 0.9,
    )
}

/// The complete settings of one director, with the number `me`.
pub fn director_script(
    shared: &str, size: &DaySettings, me: u32, roster: SocketAddr, cache: &Path,
) -> String {
    let zone = &size.zones[me as usize % size.zones.len()];
    format!(
        "{shared}director(me = {me}, of = {of}, zone = {zone:?}, listen = \"127.0.0.1:0\", max_setups = 3, \
         come_back = 1.5)\nroster(address = \"{roster}\", cache = {cache:?})\n",
        of = size.directors,
        cache = cache.display().to_string(),
    )
}

/// The titles of a day and the cells that hold them.
pub fn titles(size: &DaySettings) -> Vec<RosterTitle> {
    let cells = size.nodes as u16;
    let span = 5.min(cells);
    (0..40u16)
        .map(|k| RosterTitle { name: format!("title-{k:02}"), first_cell: k * 3 % cells, cells: span })
        .collect()
}

/// The nodes of a day, with links drawn from `rng`.
pub fn node_configs(size: &DaySettings, rng: &mut Rng) -> Vec<NodeConfig> {
    let kinds = [("box-2c", 2.0, 26.0), ("box-3c", 3.0, 39.0)];
    (0..size.nodes)
        .map(|id| {
            let (kind, units, places) = kinds[usize::from(id % 3 != 0)];
            let link_kb = LINK_UNIT * units / 2.5 * (0.9 + 0.2 * rng.f64());
            NodeConfig {
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

/// The stand-in nodes and roster of a day, running.
pub struct StandIns {
    pub nodes: Nodes,
    pub roster: Roster,
    pub roster_address: SocketAddr,
    pub recorder: Recorder,
}

impl StandIns {
    /// Starts nodes and roster, and records the settings.
    ///
    /// # Errors
    /// If the settings are invalid or a port cannot be bound.
    pub async fn start(size: &DaySettings, shared: &str, recorder: Recorder) -> Result<StandIns> {
        StandIns::with_titles(size, shared, recorder, titles(size)).await
    }

    /// As [`StandIns::start`], with other titles than the default forty.
    ///
    /// # Errors
    /// If the settings are invalid or a port cannot be bound.
    pub async fn with_titles(
        size: &DaySettings, shared: &str, recorder: Recorder, titles: Vec<RosterTitle>,
    ) -> Result<StandIns> {
        let mut rng = Rng::with_seed(size.seed);
        let (listener, roster_address) = Roster::bind().await?;
        let roster = Roster::new(titles, size.roster_lag, recorder.clone());
        // The checker reads only shared settings, so any director's script serves.
        let any = director_script(shared, size, 0, roster_address, Path::new("list"));
        let deployment = Deployment::parse("settings", &any)
            .map_err(|f| anyhow::anyhow!(f.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))?;
        recorder.record(Event::Settings { text: serde_json::to_string(&deployment)? });
        let f = &deployment.fleet;
        let terms = FluidSettings {
            ladder: deployment.ladder.rates.clone(),
            scales: deployment.groups.iter().map(|g| (g.name.clone(), g.scale)).collect(),
            cold_from: f.cold_from,
            warm_within: f.warm_within,
            tip_multiple: f.tip_multiple,
            fall_window: f.fall_window,
            uplinks_told: f.uplinks_told,
        };
        let uplinks = (0..size.racks).map(|_| f.rack_uplink * (0.85 + 0.3 * rng.f64())).collect();
        let fleet = FluidFleet::new(terms, uplinks, crate::record::now());
        let notification_delays =
            NotificationDelays { seen_after: f.seen_after, told_every: f.told_every, extra: 0.0 };
        let nodes = Nodes::new(fleet, notification_delays, recorder.clone(), roster.clone());
        for config in node_configs(size, &mut rng) {
            nodes.start(&config, true).await?;
        }
        tokio::spawn(roster.clone().serve(listener));
        tokio::spawn(nodes.clone().run());
        Ok(StandIns { nodes, roster, roster_address, recorder })
    }
}

/// The processes of a day: directors, keeper and voters. A director can be started, killed, stalled and restarted.
pub struct Processes {
    /// The executable that runs as the daemon when its first argument is `director`.
    pub program: PathBuf,
    pub directors: DirectorAddresses,
    daemons: Vec<Option<Daemon>>,
    boots: Vec<u32>,
    stalled: Vec<bool>,
    size: DaySettings,
    shared: String,
    roster_address: SocketAddr,
    dir: PathBuf,
    recorder: Recorder,
    journal: bool,
    /// Present if the day has schools.
    pub keeper: Option<KeeperProcess>,
    pub token_issuer: Option<std::sync::Arc<TokenIssuer>>,
    /// Present if the day has voters.
    pub agreeing: Option<AgreementCluster>,
}

impl Processes {
    /// Creates the set of processes without starting any. Settings, logs and journals go to `dir`.
    pub fn new(
        size: &DaySettings, shared: &str, program: PathBuf, roster_address: SocketAddr, recorder: Recorder,
        dir: &Path, journal: bool,
    ) -> Self {
        let n = size.directors as usize;
        Processes {
            program,
            directors: DirectorAddresses::default(),
            daemons: (0..n).map(|_| None).collect(),
            boots: vec![0; n],
            stalled: vec![false; n],
            size: size.clone(),
            shared: shared.to_owned(),
            roster_address,
            dir: dir.to_owned(),
            recorder,
            journal,
            keeper: None,
            token_issuer: None,
            agreeing: None,
        }
    }

    fn record_event(&self, d: usize, event: &str) {
        let (director, boot) = (d as u32, self.boots[d]);
        self.recorder.record(Event::Director { director, boot, event: event.to_owned() });
    }

    /// Starts the keeper and creates the token issuer, if the day has schools. Call it before starting any director.
    ///
    /// # Errors
    /// If the keeper cannot be started or the key set cannot be written.
    pub async fn start_keeper(&mut self) -> Result<()> {
        if self.size.schools > 0 {
            self.token_issuer = Some(TokenIssuer::new(&self.dir)?);
            self.keeper = Some(KeeperProcess::start(&self.program, &self.dir, &self.size).await?);
            self.recorder.record(Event::Schools { seats: self.size.seats });
        }
        Ok(())
    }

    /// Starts the voters, if the day has any, and has them agree on a first document. Call it before starting any
    /// director.
    ///
    /// # Errors
    /// If a voter cannot be started or the document is not agreed on.
    pub async fn start_voters(&mut self) -> Result<()> {
        if self.size.voters == 0 {
            return Ok(());
        }
        let shared = self.fill_placeholders(self.shared.clone());
        let recorder = self.recorder.clone();
        let agreeing =
            AgreementCluster::start(&self.program, &self.dir, &self.size, &shared, recorder).await?;
        let said = agreeing.proposer.lock().await.propose(0, 0).await?;
        if !said.starts_with("agreed 1/") {
            bail!("the first document was not agreed on: {said}");
        }
        self.agreeing = Some(agreeing);
        Ok(())
    }

    /// Puts key set and keeper into a script, if the day has schools.
    fn fill_placeholders(&self, script: String) -> String {
        let (Some(keeper), Some(token_issuer)) = (&self.keeper, &self.token_issuer) else { return script };
        script
            .replace(schools::KEYS_PLACEHOLDER, &token_issuer.key_set_path().display().to_string())
            .replace(schools::KEEPER_PLACEHOLDER, &keeper.address)
    }

    /// Records an event of the keeper's process.
    pub fn record_keeper_event(&self, event: &str) {
        self.recorder.record(Event::Keeper { event: event.to_owned() });
    }

    /// Path of a director's settings.
    pub fn script_path(&self, d: usize) -> PathBuf {
        self.dir.join(format!("director-{d}.star"))
    }

    /// Path of a director's journal.
    pub fn journal_path(&self, d: usize) -> PathBuf {
        self.dir.join(format!("director-{d}.journal"))
    }

    /// Starts a director and returns the address on which it listens.
    ///
    /// # Errors
    /// If it cannot be started or ends at once.
    pub async fn start(&mut self, d: usize) -> Result<SocketAddr> {
        let cache = self.dir.join(format!("director-{d}.list"));
        let script = match &self.agreeing {
            Some(agreeing) => {
                agreeing.director_script(d as u32, &format!("d{d}"), self.roster_address, &cache)
            }
            None => director_script(&self.shared, &self.size, d as u32, self.roster_address, &cache),
        };
        let script = self.fill_placeholders(script);
        let path = self.script_path(d);
        std::fs::File::create(&path)?.write_all(script.as_bytes())?;
        self.boots[d] += 1;
        let display = |path: PathBuf| path.display().to_string();
        let mut arguments = vec!["serve".to_owned(), "--config".to_owned(), display(path)];
        if self.journal {
            arguments.extend(["--journal".to_owned(), display(self.journal_path(d))]);
        }
        let log = self.dir.join(format!("director-{d}.log"));
        let daemon =
            Daemon::start(&self.program, &arguments, &log).await.with_context(|| format!("director {d}"))?;
        let address = daemon.address.parse().with_context(|| daemon.address.clone())?;
        self.record_event(d, "started");
        let zone = self.size.zones[d % self.size.zones.len()].clone();
        self.directors.set(d, Some((address, self.boots[d], zone)));
        self.daemons[d] = Some(daemon);
        Ok(address)
    }

    /// Sends a signal to a director, if it runs.
    pub fn signal(&self, d: usize, signal: Signal) {
        if let Some(pid) = self.daemons[d].as_ref().and_then(|c| c.child.id()) {
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Kills a director.
    pub async fn kill(&mut self, d: usize) {
        self.directors.set(d, None);
        self.record_event(d, "killed");
        self.stalled[d] = false;
        if let Some(mut process) = self.daemons[d].take() {
            let _ = process.child.kill().await;
        }
    }

    /// Stops (`on`) or continues a director's process. Does nothing if it is in that state already.
    pub fn stall(&mut self, d: usize, on: bool) {
        if self.daemons[d].is_none() || std::mem::replace(&mut self.stalled[d], on) == on {
            return;
        }
        self.record_event(d, if on { "stalled" } else { "resumed" });
        self.signal(d, if on { Signal::SIGSTOP } else { Signal::SIGCONT });
    }

    /// Asks a director to end and waits up to 10 s for it. Returns whether it exited with success.
    pub async fn end(&mut self, d: usize) -> Result<bool> {
        self.directors.set(d, None);
        self.record_event(d, "ending");
        self.signal(d, Signal::SIGTERM);
        match self.daemons[d].take() {
            None => Ok(true),
            Some(mut process) => {
                let wait = tokio::time::timeout(std::time::Duration::from_secs(10), process.child.wait());
                Ok(wait.await.is_ok_and(|status| status.is_ok_and(|s| s.success())))
            }
        }
    }
}
