//! A bad day: players come, troubles happen, and everything that crosses a socket is recorded.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use fastrand::Rng;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::fault_proxy::{Endpoint, FaultProxy, PathConditions};
use crate::fleet::{Fold, World, settings};
use crate::player::{Ticket, Wish, play};
use crate::record::{Recorder, What};
use crate::tickets;
use crate::trouble::{Kind, Script, Trouble};
use crate::voters::{AgreementCluster, VoterProcesses};

/// s; a lease, a clock error and a sweep of the keeper's, after its restart.
const LAST_LEASE: f64 = 16.0;
/// The default bad day.
pub const DEFAULT: &str = include_str!("../scripts/bad-day.star");
/// A short one.
pub const SHORT: &str = include_str!("../scripts/short-day.star");

fn draw_wish(script: &Script, rng: &mut Rng, player: u32, title: Option<&str>) -> Wish {
    let size = &script.size;
    let draw = rng.f64();
    let (group, scale, timeout) = match draw {
        d if d < 0.25 => ("lecture", 1.0, 3.0),
        d if d < 0.65 => ("story", 0.8, 3.0),
        d if d < 0.9 => ("reading", 1.2, 4.0),
        _ => ("paid", 1.0, 3.0),
    };
    let group = if title.is_some() { "lecture" } else { group };
    // Some titles are wanted far more than others.
    let any = format!("title-{:02}", (40.0 * rng.f64().powi(2)) as u32);
    Wish {
        player,
        zone: size.zones[rng.usize(..size.zones.len())].clone(),
        group: group.to_owned(),
        title: title.map_or(any, str::to_owned),
        best_rung: if rng.f64() < 0.2 { 2 } else { 4 },
        seconds: size.watch * scale * (0.6 + 0.8 * rng.f64()),
        setup_timeout: timeout,
        retries: rng.f64() < 0.25,
        second_socket: rng.f64() < 0.4,
        ticket: None,
    }
}

/// Who comes when, by the script's seed.
fn arrivals(script: &Script) -> Vec<(f64, Wish)> {
    let size = &script.size;
    let mut rng = Rng::with_seed(size.seed ^ 0x5eed);
    let mut all = Vec::new();
    let span = (size.seconds - size.watch * 0.5).max(1.0);
    for player in 0..size.players {
        all.push((rng.f64() * span, draw_wish(script, &mut rng, player, None)));
    }
    let mut next = size.players;
    let mut crowd = |at: f64, n: u32, title: &str, rng: &mut Rng, within: f64| {
        for _ in 0..n {
            all.push((at + within * rng.f64(), draw_wish(script, rng, next, Some(title))));
            next += 1;
        }
    };
    crowd(size.class_at, size.class_of, "title-07", &mut rng, 1.0);
    for (_, t) in script.troubles.iter().filter(|(k, _)| *k == Kind::HotKey) {
        let title = if t.title.is_empty() { "title-11" } else { &t.title };
        crowd(t.at, t.players, title, &mut rng, t.lasts.max(0.1));
    }
    // Of their own chance, so that they change nothing of the others.
    let mut rng = Rng::with_seed(size.seed ^ 0x71c8);
    for k in 0..size.tickets {
        let mut wish = draw_wish(script, &mut rng, next + k, None);
        wish.group = "ticket".into();
        wish.seconds = size.token_lasts * (0.5 + 2.0 * rng.f64());
        wish.setup_timeout = 3.0;
        wish.ticket = Some(Ticket {
            school: tickets::school(k % size.schools.max(1)),
            lasts: size.token_lasts * (0.7 + 0.6 * rng.f64()),
            renews: rng.f64() < 0.8,
            elsewhere: rng.f64() < 0.5,
        });
        all.push((rng.f64() * span, wish));
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

/// Where troubles are acted out.
#[derive(Clone)]
pub struct Stage {
    pub world: Arc<World>,
    pub fold: Arc<Mutex<Fold>>,
    pub script: Arc<Script>,
    pub agreeing: Option<AgreementCluster>,
}

async fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds)).await;
}

impl Stage {
    async fn each_back(&self, nodes: &[u32], wait: f64) {
        pause(wait).await;
        for &id in nodes {
            if let Err(e) = self.world.nodes.restart(id).await {
                tracing::error!(id, %e, "a node could not be started again");
            }
        }
    }

    /// Does one trouble, from its begin to its end.
    pub async fn act(&self, kind: Kind, t: &Trouble) {
        let nodes = &self.world.nodes;
        let text = format!("{kind:?} {}", serde_json::to_string(t).unwrap_or_default());
        self.world.recorder.put(What::Trouble { text });
        match kind {
            Kind::Crash => {
                t.nodes.iter().for_each(|&id| nodes.kill(id, "crash"));
                self.each_back(&t.nodes, t.lasts).await;
            }
            Kind::Vanish => {
                t.nodes.iter().for_each(|&id| nodes.silence(id));
                pause(t.lasts).await;
                t.nodes.iter().for_each(|&id| nodes.kill(id, "restart after silence"));
                self.each_back(&t.nodes, 0.2).await;
            }
            Kind::Slow => {
                self.links(&t.nodes, t.factor);
                pause(t.lasts).await;
                self.links(&t.nodes, 1.0);
            }
            Kind::Neighbour => {
                let end = Instant::now() + Duration::from_secs_f64(t.lasts);
                while Instant::now() < end {
                    self.links(&t.nodes, t.factor);
                    pause(1.5).await;
                    self.links(&t.nodes, 1.0);
                    pause(1.0).await;
                }
            }
            Kind::RackSag => {
                self.uplinks(&t.racks, t.factor);
                pause(t.lasts).await;
                self.uplinks(&t.racks, 1.0);
            }
            Kind::Ageing => {
                for step in 1..=8 {
                    nodes.with_fleet(|f| {
                        for id in &t.nodes {
                            if let Some(n) = f.nodes.get_mut(id) {
                                n.setup_factor = f64::from(1 << step);
                            }
                        }
                    });
                    pause(t.lasts / 8.0).await;
                }
                t.nodes.iter().for_each(|&id| nodes.kill(id, "died of age"));
                self.each_back(&t.nodes, 3.0).await;
            }
            Kind::Deploy => {
                for &id in &t.nodes {
                    nodes.drain(id, true);
                    pause(t.notice).await;
                    nodes.kill(id, "deploy");
                    pause(0.3).await;
                    self.each_back(&[id], 0.0).await;
                    pause((t.lasts / t.nodes.len() as f64 - t.notice - 0.3).max(0.0)).await;
                }
            }
            Kind::DiscoveryStale => {
                let usual = self.script.size.roster_lag;
                self.world.roster.lag(usual + t.factor);
                pause(t.lasts).await;
                self.world.roster.lag(usual);
            }
            Kind::ReportLate => {
                nodes.telling(|x| x.extra += t.factor);
                pause(t.lasts).await;
                nodes.telling(|x| x.extra -= t.factor);
            }
            Kind::BalancerRoll => {
                for &d in &t.directors {
                    self.fold.lock().await.kill(d as usize).await;
                    pause(t.notice).await;
                    if let Err(e) = self.fold.lock().await.start(d as usize).await {
                        tracing::error!(d, %e, "a director could not be started again");
                    }
                }
            }
            Kind::BalancerStall => {
                for &d in &t.directors {
                    self.fold.lock().await.stall(d as usize, true);
                }
                pause(t.lasts).await;
                for &d in &t.directors {
                    self.fold.lock().await.stall(d as usize, false);
                }
            }
            Kind::ZoneLoss => {
                let size = &self.script.size;
                let zones = size.zones.len() as u32;
                let here = |id: &u32| size.zones[(id * zones / size.nodes) as usize] == t.zone;
                let ids: Vec<u32> = (0..size.nodes).filter(here).collect();
                ids.iter().for_each(|&id| nodes.kill(id, "its room was lost"));
                self.each_back(&ids, t.lasts).await;
            }
            Kind::KeeperRoll => {
                if let Some(keeper) = self.fold.lock().await.keeper.as_mut() {
                    keeper.kill().await;
                }
                self.fold.lock().await.note_keeper("killed");
                pause(t.notice).await;
                let mut fold = self.fold.lock().await;
                if let Some(keeper) = fold.keeper.as_mut() {
                    if let Err(e) = keeper.again().await {
                        tracing::error!(%e, "the keeper could not be started again");
                    }
                    fold.note_keeper("started");
                }
            }
            Kind::KeeperStall => {
                self.stall_keeper(true).await;
                pause(t.lasts).await;
                self.stall_keeper(false).await;
            }
            Kind::NewKey => {
                let issuing = self.fold.lock().await.issuing.clone();
                let Some(issuing) = issuing else { return };
                let changed = issuing.next_key();
                pause(t.lasts).await;
                if let Err(e) = changed.and_then(|()| issuing.drop_old()) {
                    tracing::error!(%e, "the key could not be changed");
                }
            }
            Kind::HotKey => {}
            Kind::Cut | Kind::Late | Kind::Trickle => {
                let set = |on: bool| {
                    let act = move |path: &mut PathConditions| match kind {
                        Kind::Cut => path.cut = on,
                        Kind::Late => path.delay_seconds = if on { t.factor } else { 0.0 },
                        _ => path.bytes_per_second = if on { t.factor } else { 0.0 },
                    };
                    move |proxy: &FaultProxy, from, to| proxy.update_path(from, to, act)
                };
                self.lines(t, set(true)).await;
                pause(t.lasts).await;
                self.lines(t, set(false)).await;
            }
            Kind::LineReset => self.lines(t, |proxy, from, to| proxy.reset_connections(from, to)).await,
            Kind::VoterRoll | Kind::VoterDisk => {
                for &v in &t.voters {
                    self.voter(async |voters| {
                        voters.kill(v).await;
                        if kind == Kind::VoterDisk { voters.erase_disk(v) } else { Ok(()) }
                    })
                    .await;
                    pause(t.notice).await;
                    self.voter(async |voters| voters.start_voter(v).await).await;
                }
            }
            Kind::VoterStall => {
                for on in [true, false] {
                    self.voter(async |voters| {
                        t.voters.iter().for_each(|&v| voters.set_stalled(v, on));
                        Ok(())
                    })
                    .await;
                    pause(if on { t.lasts } else { 0.0 }).await;
                }
            }
            Kind::VoterFull => {
                for &v in &t.voters {
                    self.voter(async |voters| voters.set_disk_full(v, true)).await;
                    pause(t.lasts).await;
                    self.voter(async |voters| {
                        // It ended at its first write, if any came.
                        voters.set_disk_full(v, false)?;
                        voters.kill(v).await;
                        voters.start_voter(v).await
                    })
                    .await;
                }
            }
            Kind::Propose => {
                let through = t.directors.first().copied().unwrap_or(0);
                let Some(agreeing) = &self.agreeing else { return };
                if let Err(e) = agreeing.proposer.lock().await.propose(t.change, through).await {
                    tracing::error!(%e, "a proposal");
                }
            }
            Kind::WallStep => {
                let Some(agreeing) = &self.agreeing else { return };
                let far = if t.way == "back" { -t.factor } else { t.factor };
                for off in [far, 0.0] {
                    for &d in &t.directors {
                        if let Err(e) = agreeing.step_wall_clock(d, off) {
                            tracing::error!(%e, "a wall clock");
                        }
                    }
                    pause(if off == far { t.lasts } else { 0.0 }).await;
                }
            }
            Kind::VoterList => {
                let through = t.directors.first().copied().unwrap_or(0);
                let Some(agreeing) = &self.agreeing else { return };
                self.voter(async |voters| voters.start_stopped(&t.voters).await).await;
                // Who joins has to be heard of first: an operator looks and tries again.
                let mut off = Ok(None);
                for _ in 0..8 {
                    pause(0.3).await;
                    off = agreeing.proposer.lock().await.propose_voters(t.change, through, &t.voters).await;
                    if !matches!(off, Ok(None)) {
                        break;
                    }
                }
                match off {
                    Err(e) => tracing::error!(%e, "a list of voters"),
                    Ok(None) => {}
                    Ok(Some(off)) => {
                        self.voter(async |voters| voters.set_listed(&t.voters).await).await;
                        pause(t.notice).await;
                        self.voter(async |voters| {
                            voters.stop_unlisted(&off).await;
                            Ok(())
                        })
                        .await;
                    }
                }
            }
            Kind::Preempt => {
                t.nodes.iter().for_each(|&id| nodes.drain(id, true));
                pause(t.notice).await;
                t.nodes.iter().for_each(|&id| nodes.kill(id, "taken away"));
                self.each_back(&t.nodes, t.lasts).await;
            }
            Kind::Drain => {
                t.nodes.iter().for_each(|&id| nodes.drain(id, true));
                pause(t.lasts).await;
                t.nodes.iter().for_each(|&id| nodes.drain(id, false));
            }
        }
    }

    async fn stall_keeper(&self, on: bool) {
        let fold = self.fold.lock().await;
        if let Some(keeper) = &fold.keeper {
            fold.note_keeper(if on { "stalled" } else { "resumed" });
            keeper.stall(on);
        }
    }

    /// Does something to the voters, where the day has any.
    async fn voter(&self, act: impl AsyncFnOnce(&mut VoterProcesses) -> Result<()>) {
        let Some(agreeing) = &self.agreeing else { return };
        if let Err(e) = act(&mut *agreeing.voters.lock().await).await {
            tracing::error!(%e, "a voter");
        }
    }

    /// Does something to each way that a trouble names: between directors and voters, or, where it names no director,
    /// between the voters named and the others.
    async fn lines(&self, t: &Trouble, act: impl Fn(&FaultProxy, Endpoint, Endpoint)) {
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

    fn links(&self, nodes: &[u32], factor: f64) {
        self.world.nodes.with_fleet(|f| {
            for id in nodes {
                if let Some(n) = f.nodes.get_mut(id) {
                    n.link_factor = factor;
                }
            }
        });
    }

    fn uplinks(&self, racks: &[u16], factor: f64) {
        self.world.nodes.with_fleet(|f| {
            for &r in racks {
                f.uplink_factor[usize::from(r)] = factor;
            }
        });
    }
}

/// What a day left behind.
pub struct DayOver {
    pub record: PathBuf,
    /// Whether each director ended well when asked to.
    pub ended_well: bool,
    pub journals: Vec<(PathBuf, PathBuf)>,
}

/// What the keeper counts as held when nobody holds anything any more: nothing, as soon as the leases of directors that
/// were killed are over.
async fn seats_left(fold: &mut Fold, recorder: &Recorder) -> Result<()> {
    let Some(keeper) = &mut fold.keeper else { return Ok(()) };
    // It may have been under trouble at the end of the day.
    keeper.stall(false);
    if keeper.standing().await.is_err() {
        keeper.kill().await;
        keeper.again().await?;
    }
    let end = Instant::now() + Duration::from_secs_f64(LAST_LEASE);
    let held = loop {
        let (held, _) = keeper.standing().await?;
        if held == 0 || Instant::now() > end {
            break held;
        }
        sleep(Duration::from_millis(200)).await;
    };
    recorder.put(What::SeatsLeft { held });
    keeper.kill().await;
    Ok(())
}

/// Plays a script to its end. `tick` is told how far the day is, in seconds.
///
/// # Errors
/// Where stand-ins or directors cannot be started, or the record not be written.
pub async fn run(
    script: &Script, other: &str, program: &Path, dir: &Path, journal: bool, mut tick: impl FnMut(f64),
) -> Result<DayOver> {
    let record = dir.join("record.zst");
    let (recorder, file) = Recorder::to_file(&record)?;
    let size = &script.size;
    let shared = settings(size, other);
    let world = Arc::new(World::start(size, &shared, recorder.clone()).await?);
    let mut fold = Fold::new(size, &shared, program.into(), world.roster_at, recorder.clone(), dir, journal);
    fold.start_keeper().await?;
    fold.start_voters().await?;
    let agreeing = fold.agreeing.clone();
    for d in 0..size.directors as usize {
        fold.start(d).await?;
    }
    let issuing = fold.issuing.clone();
    let directors = fold.directors.clone();
    let fold = Arc::new(Mutex::new(fold));
    let script = Arc::new(script.clone());
    let started = Instant::now();
    let mut troubles = JoinSet::new();
    for (kind, t) in script.troubles.clone() {
        let stage = Stage {
            world: world.clone(),
            fold: fold.clone(),
            script: script.clone(),
            agreeing: agreeing.clone(),
        };
        troubles.spawn(async move {
            sleep_until(started + Duration::from_secs_f64(t.at)).await;
            stage.act(kind, &t).await;
        });
    }
    let mut players = JoinSet::new();
    for (at, wish) in arrivals(&script) {
        let (directors, recorder, issuing) = (directors.clone(), recorder.clone(), issuing.clone());
        let seed = script.size.seed ^ (u64::from(wish.player) << 20);
        players.spawn(async move {
            sleep_until(started + Duration::from_secs_f64(at)).await;
            play(wish, directors, recorder, issuing, seed).await;
        });
    }
    let end = started + Duration::from_secs_f64(script.size.seconds);
    let mut calm = false;
    while Instant::now() < end {
        sleep(Duration::from_millis(200)).await;
        while troubles.try_join_next().is_some() {}
        if troubles.is_empty() && script.size.voters > 0 && !std::mem::replace(&mut calm, true) {
            recorder.put(What::Calm);
        }
        tick(started.elapsed().as_secs_f64());
    }
    let mut ended_well = true;
    {
        // What is still under trouble ends with the day.
        troubles.shutdown().await;
        let mut fold = fold.lock().await;
        for d in 0..script.size.directors as usize {
            fold.stall(d, false);
            ended_well &= fold.end(d).await?;
        }
    }
    players.shutdown().await;
    seats_left(&mut *fold.lock().await, &recorder).await?;
    let journals = {
        let fold = fold.lock().await;
        (0..script.size.directors as usize).map(|d| (fold.script_path(d), fold.journal_path(d))).collect()
    };
    // Stand-ins run on in tasks of this runtime; what they still put is of no interest.
    file.finish()?;
    Ok(DayOver { record, ended_well, journals })
}
