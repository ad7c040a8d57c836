//! Runs a bad day: starts stand-ins and directors, schedules players and troubles as a script says, and records every
//! message.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use fastrand::Rng;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::fault_proxy::{Endpoint, FaultProxy, PathConditions};
use crate::fleet::{Processes, StandIns, settings};
use crate::player::{DesiredSession, TokenPlan, run_player};
use crate::record::{Event, Recorder};
use crate::schools;
use crate::trouble::{Trouble, TroubleKind, TroubleScript};
use crate::voters::{AgreementCluster, VoterProcesses};

/// Seconds after which the keeper has freed the seats of killed directors, counted from its restart: a lease, the clock
/// error and one run of its expiry check.
const SEAT_EXPIRY_TIME: f64 = 16.0;
/// The script of the default day.
pub const DEFAULT_SCRIPT: &str = include_str!("../scripts/bad-day.star");
/// The script of the short day.
pub const SHORT_SCRIPT: &str = include_str!("../scripts/short-day.star");

/// Draws the session that a player wants; a given title is always one of the group `lecture`.
fn draw_session(script: &TroubleScript, rng: &mut Rng, player: u32, title: Option<&str>) -> DesiredSession {
    let size = &script.size;
    let draw = rng.f64();
    let (group, scale, timeout) = match draw {
        d if d < 0.25 => ("lecture", 1.0, 3.0),
        d if d < 0.65 => ("story", 0.8, 3.0),
        d if d < 0.9 => ("reading", 1.2, 4.0),
        _ => ("paid", 1.0, 3.0),
    };
    let group = if title.is_some() { "lecture" } else { group };
    // Titles with low numbers are drawn far more often than others.
    let any = format!("title-{:02}", (40.0 * rng.f64().powi(2)) as u32);
    DesiredSession {
        player,
        zone: size.zones[rng.usize(..size.zones.len())].clone(),
        group: group.to_owned(),
        title: title.map_or(any, str::to_owned),
        best_rung: if rng.f64() < 0.2 { 2 } else { 4 },
        seconds: size.watch * scale * (0.6 + 0.8 * rng.f64()),
        setup_timeout: timeout,
        retries: rng.f64() < 0.25,
        second_socket: rng.f64() < 0.4,
        token_plan: None,
    }
}

/// Draws when each player arrives, in seconds from the start, and what it wants, by the script's seed.
fn draw_arrivals(script: &TroubleScript) -> Vec<(f64, DesiredSession)> {
    let size = &script.size;
    let mut rng = Rng::with_seed(size.seed ^ 0x5eed);
    let mut all = Vec::new();
    let span = (size.seconds - size.watch * 0.5).max(1.0);
    for player in 0..size.players {
        all.push((rng.f64() * span, draw_session(script, &mut rng, player, None)));
    }
    let mut next = size.players;
    let mut crowd = |at: f64, n: u32, title: &str, rng: &mut Rng, within: f64| {
        for _ in 0..n {
            all.push((at + within * rng.f64(), draw_session(script, rng, next, Some(title))));
            next += 1;
        }
    };
    crowd(size.class_at, size.class_of, "title-07", &mut rng, 1.0);
    for (_, t) in script.troubles.iter().filter(|(k, _)| *k == TroubleKind::HotKey) {
        let title = if t.title.is_empty() { "title-11" } else { &t.title };
        crowd(t.at, t.players, title, &mut rng, t.lasts.max(0.1));
    }
    // A separate random generator, so that viewers with tokens do not change the draws of the others.
    let mut rng = Rng::with_seed(size.seed ^ 0x71c8);
    for k in 0..size.tickets {
        let mut wanted = draw_session(script, &mut rng, next + k, None);
        wanted.group = "ticket".into();
        wanted.seconds = size.token_lasts * (0.5 + 2.0 * rng.f64());
        wanted.setup_timeout = 3.0;
        wanted.token_plan = Some(TokenPlan {
            school: schools::school_name(k % size.schools.max(1)),
            lasts: size.token_lasts * (0.7 + 0.6 * rng.f64()),
            renews: rng.f64() < 0.8,
            elsewhere: rng.f64() < 0.5,
        });
        all.push((rng.f64() * span, wanted));
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

/// Applies troubles to the stand-ins and processes of a day.
#[derive(Clone)]
pub struct TroubleRunner {
    pub stand_ins: Arc<StandIns>,
    pub processes: Arc<Mutex<Processes>>,
    pub script: Arc<TroubleScript>,
    pub agreeing: Option<AgreementCluster>,
}

async fn sleep_seconds(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds)).await;
}

impl TroubleRunner {
    /// Restarts the nodes after `wait` seconds.
    async fn restart_after(&self, nodes: &[u32], wait: f64) {
        sleep_seconds(wait).await;
        for &id in nodes {
            if let Err(e) = self.stand_ins.nodes.restart(id).await {
                tracing::error!(id, %e, "failed to restart a node");
            }
        }
    }

    /// Applies one trouble and returns when it has ended.
    pub async fn apply(&self, kind: TroubleKind, t: &Trouble) {
        let nodes = &self.stand_ins.nodes;
        let text = format!("{kind:?} {}", serde_json::to_string(t).unwrap_or_default());
        self.stand_ins.recorder.record(Event::Trouble { text });
        match kind {
            TroubleKind::Crash => {
                t.nodes.iter().for_each(|&id| nodes.kill(id, "crash"));
                self.restart_after(&t.nodes, t.lasts).await;
            }
            TroubleKind::Vanish => {
                t.nodes.iter().for_each(|&id| nodes.silence(id));
                sleep_seconds(t.lasts).await;
                t.nodes.iter().for_each(|&id| nodes.kill(id, "restart after silence"));
                self.restart_after(&t.nodes, 0.2).await;
            }
            TroubleKind::Slow => {
                self.set_link_factor(&t.nodes, t.factor);
                sleep_seconds(t.lasts).await;
                self.set_link_factor(&t.nodes, 1.0);
            }
            TroubleKind::Neighbour => {
                let end = Instant::now() + Duration::from_secs_f64(t.lasts);
                while Instant::now() < end {
                    self.set_link_factor(&t.nodes, t.factor);
                    sleep_seconds(1.5).await;
                    self.set_link_factor(&t.nodes, 1.0);
                    sleep_seconds(1.0).await;
                }
            }
            TroubleKind::RackSag => {
                self.set_uplink_factor(&t.racks, t.factor);
                sleep_seconds(t.lasts).await;
                self.set_uplink_factor(&t.racks, 1.0);
            }
            TroubleKind::Ageing => {
                for step in 1..=8 {
                    nodes.with_fleet(|f| {
                        for id in &t.nodes {
                            if let Some(n) = f.nodes.get_mut(id) {
                                n.setup_factor = f64::from(1 << step);
                            }
                        }
                    });
                    sleep_seconds(t.lasts / 8.0).await;
                }
                t.nodes.iter().for_each(|&id| nodes.kill(id, "died of age"));
                self.restart_after(&t.nodes, 3.0).await;
            }
            TroubleKind::Deploy => {
                for &id in &t.nodes {
                    nodes.drain(id, true);
                    sleep_seconds(t.notice).await;
                    nodes.kill(id, "deploy");
                    sleep_seconds(0.3).await;
                    self.restart_after(&[id], 0.0).await;
                    sleep_seconds((t.lasts / t.nodes.len() as f64 - t.notice - 0.3).max(0.0)).await;
                }
            }
            TroubleKind::DiscoveryStale => {
                let normal_lag = self.script.size.roster_lag;
                self.stand_ins.roster.set_lag(normal_lag + t.factor);
                sleep_seconds(t.lasts).await;
                self.stand_ins.roster.set_lag(normal_lag);
            }
            TroubleKind::ReportLate => {
                nodes.notification_delays(|x| x.extra += t.factor);
                sleep_seconds(t.lasts).await;
                nodes.notification_delays(|x| x.extra -= t.factor);
            }
            TroubleKind::BalancerRoll => {
                for &d in &t.directors {
                    self.processes.lock().await.kill(d as usize).await;
                    sleep_seconds(t.notice).await;
                    if let Err(e) = self.processes.lock().await.start(d as usize).await {
                        tracing::error!(d, %e, "failed to restart a director");
                    }
                }
            }
            TroubleKind::BalancerStall => {
                for &d in &t.directors {
                    self.processes.lock().await.stall(d as usize, true);
                }
                sleep_seconds(t.lasts).await;
                for &d in &t.directors {
                    self.processes.lock().await.stall(d as usize, false);
                }
            }
            TroubleKind::ZoneLoss => {
                let size = &self.script.size;
                let zones = size.zones.len() as u32;
                let here = |id: &u32| size.zones[(id * zones / size.nodes) as usize] == t.zone;
                let ids: Vec<u32> = (0..size.nodes).filter(here).collect();
                ids.iter().for_each(|&id| nodes.kill(id, "its room was lost"));
                self.restart_after(&ids, t.lasts).await;
            }
            TroubleKind::KeeperRoll => {
                if let Some(keeper) = self.processes.lock().await.keeper.as_mut() {
                    keeper.kill().await;
                }
                self.processes.lock().await.record_keeper_event("killed");
                sleep_seconds(t.notice).await;
                let mut processes = self.processes.lock().await;
                if let Some(keeper) = processes.keeper.as_mut() {
                    if let Err(e) = keeper.restart().await {
                        tracing::error!(%e, "failed to restart the keeper");
                    }
                    processes.record_keeper_event("started");
                }
            }
            TroubleKind::KeeperStall => {
                self.stall_keeper(true).await;
                sleep_seconds(t.lasts).await;
                self.stall_keeper(false).await;
            }
            TroubleKind::NewKey => {
                let token_issuer = self.processes.lock().await.token_issuer.clone();
                let Some(token_issuer) = token_issuer else { return };
                let changed = token_issuer.next_key();
                sleep_seconds(t.lasts).await;
                if let Err(e) = changed.and_then(|()| token_issuer.retire_old_keys()) {
                    tracing::error!(%e, "failed to change the signing key");
                }
            }
            TroubleKind::HotKey => {}
            TroubleKind::Cut | TroubleKind::Late | TroubleKind::Trickle => {
                let set_fault = |on: bool| {
                    let act = move |path: &mut PathConditions| match kind {
                        TroubleKind::Cut => path.cut = on,
                        TroubleKind::Late => path.delay_seconds = if on { t.factor } else { 0.0 },
                        _ => path.bytes_per_second = if on { t.factor } else { 0.0 },
                    };
                    move |proxy: &FaultProxy, from, to| proxy.update_path(from, to, act)
                };
                self.for_each_path(t, set_fault(true)).await;
                sleep_seconds(t.lasts).await;
                self.for_each_path(t, set_fault(false)).await;
            }
            TroubleKind::LineReset => {
                self.for_each_path(t, |proxy, from, to| proxy.reset_connections(from, to)).await
            }
            TroubleKind::VoterRoll | TroubleKind::VoterDisk => {
                for &v in &t.voters {
                    self.with_voting(async |voters| {
                        voters.kill(v).await;
                        if kind == TroubleKind::VoterDisk { voters.erase_disk(v) } else { Ok(()) }
                    })
                    .await;
                    sleep_seconds(t.notice).await;
                    self.with_voting(async |voters| voters.start_voter(v).await).await;
                }
            }
            TroubleKind::VoterStall => {
                for on in [true, false] {
                    self.with_voting(async |voters| {
                        t.voters.iter().for_each(|&v| voters.set_stalled(v, on));
                        Ok(())
                    })
                    .await;
                    sleep_seconds(if on { t.lasts } else { 0.0 }).await;
                }
            }
            TroubleKind::VoterFull => {
                for &v in &t.voters {
                    self.with_voting(async |voters| voters.set_disk_full(v, true)).await;
                    sleep_seconds(t.lasts).await;
                    self.with_voting(async |voters| {
                        // The voter has ended by itself if it tried to write.
                        voters.set_disk_full(v, false)?;
                        voters.kill(v).await;
                        voters.start_voter(v).await
                    })
                    .await;
                }
            }
            TroubleKind::Propose => {
                let through = t.directors.first().copied().unwrap_or(0);
                let Some(agreeing) = &self.agreeing else { return };
                if let Err(e) = agreeing.proposer.lock().await.propose(t.change, through).await {
                    tracing::error!(%e, "failed to propose a document");
                }
            }
            TroubleKind::WallStep => {
                let Some(agreeing) = &self.agreeing else { return };
                let far = if t.way == "back" { -t.factor } else { t.factor };
                for off in [far, 0.0] {
                    for &d in &t.directors {
                        if let Err(e) = agreeing.step_wall_clock(d, off) {
                            tracing::error!(%e, "failed to step a director's wall clock");
                        }
                    }
                    sleep_seconds(if off == far { t.lasts } else { 0.0 }).await;
                }
            }
            TroubleKind::VoterList => {
                let through = t.directors.first().copied().unwrap_or(0);
                let Some(agreeing) = &self.agreeing else { return };
                self.with_voting(async |voters| voters.start_stopped(&t.voters).await).await;
                // The proposal is refused until the joining voters are known, so it is tried again as an operator would.
                let mut off = Ok(None);
                for _ in 0..8 {
                    sleep_seconds(0.3).await;
                    off = agreeing.proposer.lock().await.propose_voters(t.change, through, &t.voters).await;
                    if !matches!(off, Ok(None)) {
                        break;
                    }
                }
                match off {
                    Err(e) => tracing::error!(%e, "failed to propose a list of voters"),
                    Ok(None) => {}
                    Ok(Some(off)) => {
                        self.with_voting(async |voters| voters.set_listed(&t.voters).await).await;
                        sleep_seconds(t.notice).await;
                        self.with_voting(async |voters| {
                            voters.stop_unlisted(&off).await;
                            Ok(())
                        })
                        .await;
                    }
                }
            }
            TroubleKind::Preempt => {
                t.nodes.iter().for_each(|&id| nodes.drain(id, true));
                sleep_seconds(t.notice).await;
                t.nodes.iter().for_each(|&id| nodes.kill(id, "taken away"));
                self.restart_after(&t.nodes, t.lasts).await;
            }
            TroubleKind::Drain => {
                t.nodes.iter().for_each(|&id| nodes.drain(id, true));
                sleep_seconds(t.lasts).await;
                t.nodes.iter().for_each(|&id| nodes.drain(id, false));
            }
        }
    }

    async fn stall_keeper(&self, on: bool) {
        let processes = self.processes.lock().await;
        if let Some(keeper) = &processes.keeper {
            processes.record_keeper_event(if on { "stalled" } else { "resumed" });
            keeper.stall(on);
        }
    }

    /// Runs `act` on the voters, if the day has any, and logs its error.
    async fn with_voting(&self, act: impl AsyncFnOnce(&mut VoterProcesses) -> Result<()>) {
        let Some(agreeing) = &self.agreeing else { return };
        if let Err(e) = act(&mut *agreeing.voters.lock().await).await {
            tracing::error!(%e, "failed to control a voter");
        }
    }

    /// Calls `act` for each direction of each path that a trouble names: between its directors and its voters, or, if it
    /// names no director, between its voters and all other voters.
    async fn for_each_path(&self, t: &Trouble, act: impl Fn(&FaultProxy, Endpoint, Endpoint)) {
        let Some(AgreementCluster { proxy, .. }) = &self.agreeing else { return };
        let near: Vec<Endpoint> = if t.directors.is_empty() {
            t.voters.iter().map(|&v| Endpoint::Voter(v)).collect()
        } else {
            t.directors.iter().map(|&d| Endpoint::Director(d)).collect()
        };
        let far: Vec<Endpoint> = if t.directors.is_empty() {
            let size = &self.script.size;
            (0..size.voters + size.spare_voters)
                .filter(|v| !t.voters.contains(v))
                .map(Endpoint::Voter)
                .collect()
        } else {
            t.voters.iter().map(|&v| Endpoint::Voter(v)).collect()
        };
        for &one in &near {
            for &other in &far {
                if t.way != "back" {
                    act(proxy, one, other);
                }
                if t.way != "there" {
                    act(proxy, other, one);
                }
            }
        }
    }

    fn set_link_factor(&self, nodes: &[u32], factor: f64) {
        self.stand_ins.nodes.with_fleet(|f| {
            for id in nodes {
                if let Some(n) = f.nodes.get_mut(id) {
                    n.link_factor = factor;
                }
            }
        });
    }

    fn set_uplink_factor(&self, racks: &[u16], factor: f64) {
        self.stand_ins.nodes.with_fleet(|f| {
            for &r in racks {
                f.uplink_factor[usize::from(r)] = factor;
            }
        });
    }
}

/// Files and outcome of a day.
pub struct DayResult {
    pub record: PathBuf,
    /// Whether each director exited with success when asked to.
    pub exited_cleanly: bool,
    /// Settings and journal of each director; the journal exists if it was asked for.
    pub journals: Vec<(PathBuf, PathBuf)>,
}

/// Records the seats that the keeper counts as held after all sessions have ended. That is none as soon as the leases of
/// killed directors have expired, so it waits up to [`SEAT_EXPIRY_TIME`] for it.
async fn record_seats_left(processes: &mut Processes, recorder: &Recorder) -> Result<()> {
    let Some(keeper) = &mut processes.keeper else { return Ok(()) };
    // A trouble may have stalled or stopped the keeper at the end of the day.
    keeper.stall(false);
    if keeper.seat_counts().await.is_err() {
        keeper.kill().await;
        keeper.restart().await?;
    }
    let end = Instant::now() + Duration::from_secs_f64(SEAT_EXPIRY_TIME);
    let held = loop {
        let (held, _) = keeper.seat_counts().await?;
        if held == 0 || Instant::now() > end {
            break held;
        }
        sleep(Duration::from_millis(200)).await;
    };
    recorder.record(Event::SeatsLeft { held });
    keeper.kill().await;
    Ok(())
}

/// Runs a script to its end and leaves the record in `dir`. `custom` replaces the default settings unless it is empty;
/// with `journal` each director writes a journal. `on_progress` gets the seconds since the start.
///
/// # Errors
/// If stand-ins or directors cannot be started, or the record cannot be written.
pub async fn run(
    script: &TroubleScript, custom: &str, program: &Path, dir: &Path, journal: bool,
    mut on_progress: impl FnMut(f64),
) -> Result<DayResult> {
    let record = dir.join("record.zst");
    let (recorder, file) = Recorder::to_file(&record)?;
    let size = &script.size;
    let shared = settings(size, custom);
    let stand_ins = Arc::new(StandIns::start(size, &shared, recorder.clone()).await?);
    let mut processes = Processes::new(
        size,
        &shared,
        program.into(),
        stand_ins.roster_address,
        recorder.clone(),
        dir,
        journal,
    );
    processes.start_keeper().await?;
    processes.start_voters().await?;
    let agreeing = processes.agreeing.clone();
    for d in 0..size.directors as usize {
        processes.start(d).await?;
    }
    let token_issuer = processes.token_issuer.clone();
    let directors = processes.directors.clone();
    let processes = Arc::new(Mutex::new(processes));
    let script = Arc::new(script.clone());
    let started = Instant::now();
    let mut troubles = JoinSet::new();
    for (kind, t) in script.troubles.clone() {
        let runner = TroubleRunner {
            stand_ins: stand_ins.clone(),
            processes: processes.clone(),
            script: script.clone(),
            agreeing: agreeing.clone(),
        };
        troubles.spawn(async move {
            sleep_until(started + Duration::from_secs_f64(t.at)).await;
            runner.apply(kind, &t).await;
        });
    }
    let mut players = JoinSet::new();
    for (at, wanted) in draw_arrivals(&script) {
        let (directors, recorder, token_issuer) = (directors.clone(), recorder.clone(), token_issuer.clone());
        let seed = script.size.seed ^ (u64::from(wanted.player) << 20);
        players.spawn(async move {
            sleep_until(started + Duration::from_secs_f64(at)).await;
            run_player(wanted, directors, recorder, token_issuer, seed).await;
        });
    }
    let end = started + Duration::from_secs_f64(script.size.seconds);
    let mut calm_recorded = false;
    while Instant::now() < end {
        sleep(Duration::from_millis(200)).await;
        while troubles.try_join_next().is_some() {}
        if troubles.is_empty() && script.size.voters > 0 && !std::mem::replace(&mut calm_recorded, true) {
            recorder.record(Event::Calm);
        }
        on_progress(started.elapsed().as_secs_f64());
    }
    let mut exited_cleanly = true;
    {
        // Troubles that have not ended yet end with the day.
        troubles.shutdown().await;
        let mut processes = processes.lock().await;
        for d in 0..script.size.directors as usize {
            processes.stall(d, false);
            exited_cleanly &= processes.end(d).await?;
        }
    }
    players.shutdown().await;
    record_seats_left(&mut *processes.lock().await, &recorder).await?;
    let journals = {
        let processes = processes.lock().await;
        (0..script.size.directors as usize)
            .map(|d| (processes.script_path(d), processes.journal_path(d)))
            .collect()
    };
    // Stand-ins continue as tasks of this runtime; what they record from here on is dropped.
    file.finish()?;
    Ok(DayResult { record, exited_cleanly, journals })
}
