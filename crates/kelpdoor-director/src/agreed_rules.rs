//! The way to the voters: a line to each, what they say, and what this director may act on by it. Beside the desk, and on no
//! session's path: a voter that is slow or gone delays nothing here.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use kelpdoor_agreement::keys::MergedRules;
use kelpdoor_agreement::{Chosen, Follower, Rules, VoterId};
use kelpdoor_clock::BootClock;
use kelpdoor_keeper::{ConnectionEvent, VoterConnections, voter_addresses};
use kelpdoor_script::{Agreement, Deployment, LocalSettings};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

const FORMAT: &str = "kelpdoor-agreed 1";
/// Words of voters waiting at most; their lines wait beyond it.
const WORDS: usize = 256;
/// s; the longest wait between two looks at what is due.
const LOOK: f64 = 0.25;

/// What is kept of a version, for a start without any voter: knowledge, no permission.
#[derive(Serialize, Deserialize)]
struct Copy {
    fleet: String,
    chosen: Chosen,
}

/// The newest version that a director of these settings knew, if it kept one.
///
/// # Errors
/// Where the copy is another fleet's.
pub fn load_cached_version(of: &Agreement) -> anyhow::Result<Option<Chosen>> {
    let Some(path) = &of.copy else { return Ok(None) };
    // Knowledge alone, which any voter has: a damaged one is done without.
    let copy = kelpdoor_kept::load::<Copy>(path, FORMAT).unwrap_or_else(|e| {
        tracing::warn!(%e, "the kept rules are not used");
        None
    });
    if let Some(copy) = copy.as_ref().filter(|c| c.fleet != of.fleet) {
        let (path, fleet) = (path.display(), &of.fleet);
        anyhow::bail!("{path}: it is a copy of fleet {:?}, not of {fleet:?}", copy.fleet);
    }
    Ok(copy.map(|c| c.chosen))
}

/// What may be acted on, as of its last change.
#[derive(Clone, Debug)]
pub struct RulesInForce<B = Deployment> {
    /// What is read of the versions acted on.
    pub settings: Arc<B>,
    /// Versions, the newest first.
    pub label: String,
    /// The newest version's list names this director; else it begins nothing.
    pub listed: bool,
    /// Steady time, between which something new may be begun.
    pub from: f64,
    pub until: f64,
}

impl<B> RulesInForce<B> {
    /// Until when something new may be begun, as of now; past, if it may not.
    pub fn lease(&self, now: f64) -> f64 {
        if self.listed && now >= self.from { self.until } else { f64::NEG_INFINITY }
    }
}

/// The part in an agreement of a director, or of whoever goes by what `B` reads of it, at work.
pub struct RulesFollower<B = Deployment> {
    pub(crate) ruling: watch::Receiver<RulesInForce<B>>,
    pub(crate) steady: BootClock,
    pub(crate) wall_off: Option<PathBuf>,
    pub(crate) tasks: JoinSet<()>,
}

impl<B: Clone + Send + Sync + 'static> RulesFollower<B> {
    /// What may be acted on, as of now.
    pub fn rules(&self) -> RulesInForce<B> {
        self.ruling.borrow().clone()
    }

    /// Comes when that has changed.
    pub async fn changed(&mut self) {
        if self.ruling.changed().await.is_err() {
            std::future::pending().await
        }
    }

    /// Starts to follow, and waits until a version is known: from an earlier start, or from a voter. `R` is what is read of
    /// each version with `own`; `book` takes what is gone by out of those acted on, and whether the newest lets us go by it.
    ///
    /// # Errors
    /// Where a kept copy is another fleet's, or no version reads.
    pub async fn start_with<R>(
        of: Agreement, own: R::LocalSettings, book: impl Fn(&R) -> (B, bool) + Send + 'static,
    ) -> anyhow::Result<Self>
    where
        R: Rules<LocalSettings: Send + Sync> + Send + Sync + 'static,
    {
        let steady = BootClock::new(of.clock_rate);
        let kept = load_cached_version(&of)?;
        let (first, mut waits) = mpsc::channel(1);
        let mut tasks = JoinSet::new();
        let wall_off = of.wall_off.clone();
        let follower = Follower::<R>::new(&of.name, fastrand::u64(..), kept, own);
        tasks.spawn(follow(of, follower, steady, book, first));
        let Some(ruling) = waits.recv().await else { anyhow::bail!("no version of the rules reads") };
        Ok(RulesFollower { ruling, steady, wall_off, tasks })
    }
}

impl RulesFollower {
    /// As [`start_with`](Self::start_with), all settings of a director.
    ///
    /// # Errors
    /// As there.
    pub async fn start(own: LocalSettings) -> anyhow::Result<(RulesFollower, Deployment)> {
        let book = |a: &MergedRules| (a.deployment(), a.listed);
        let following = RulesFollower::start_with(own.agreement.clone(), own, book).await?;
        let book = Deployment::clone(&following.rules().settings);
        Ok((following, book))
    }
}

async fn follow<B: Clone + Send + Sync + 'static, R: Rules>(
    of: Agreement, mut follower: Follower<R>, steady: BootClock, read: impl Fn(&R) -> (B, bool),
    first: mpsc::Sender<watch::Receiver<RulesInForce<B>>>,
) {
    let (to, mut words) = mpsc::channel(WORDS);
    let mut lines = VoterConnections::new(&of.fleet, to);
    dial(&mut lines, &of, &mut follower);
    let (save, saved) = watch::channel(None);
    let mut keeps = JoinSet::new();
    keeps.spawn(keep(of.copy.clone(), of.fleet.clone(), saved));
    let mut told: Option<watch::Sender<RulesInForce<B>>> = None;
    let mut said = Said::default();
    loop {
        let now = steady.now();
        for voter in lines.voters() {
            if let Some(ask) = follower.next_request(now, voter) {
                lines.send(voter, ask);
            }
        }
        if let Some(acting) = follower.active_versions(now) {
            let label = acting.label();
            let (from, until) = (acting.from, acting.until);
            let before = told.as_ref().map(|t| t.borrow().clone()).filter(|r| r.label == label);
            let ruling = match before {
                Some(r) => Some(RulesInForce { from, until, ..r }),
                None => follower.rules(now).map(|rules| {
                    let (book, listed) = read(&rules);
                    if !listed {
                        tracing::error!(name = of.name, %label, "the agreed list does not name this director");
                    }
                    tracing::info!(%label, "rules");
                    RulesInForce { settings: Arc::new(book), label, listed, from, until }
                }),
            };
            if let Some(ruling) = ruling {
                said.lease(now, &ruling);
                match &told {
                    // The desk is woken for what changed alone.
                    Some(to) => {
                        to.send_if_modified(|old| {
                            let changed = (&old.label, old.from, old.until)
                                != (&ruling.label, ruling.from, ruling.until);
                            *old = ruling;
                            changed
                        });
                    }
                    None => {
                        let (to, from) = watch::channel(ruling);
                        told = Some(to);
                        if first.send(from).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
        if told.as_ref().is_some_and(|t| t.is_closed()) {
            return;
        }
        let due = follower.next_request_at().min(follower.next_change_at(now)).min(now + LOOK);
        let word = tokio::select! {
            word = words.recv() => word,
            () = sleep(Duration::from_secs_f64((due - now).max(0.001))) => None,
        };
        let Some((voter, heard)) = word.filter(|(voter, _)| lines.has(*voter)) else { continue };
        match heard {
            ConnectionEvent::Connected => follower.connected(voter),
            ConnectionEvent::Response(tell) => {
                let before = follower.known_version().map_or(0, |c| c.number);
                if let Err(why) = follower.handle_response(steady.now(), voter, tell) {
                    said.refused(voter, why);
                }
                if let Some(c) = follower.known_version().filter(|c| c.number > before) {
                    save.send_replace(Some(c.clone()));
                    dial(&mut lines, &of, &mut follower);
                }
            }
        }
    }
}

/// Keeps lines to the voters that the known version names, and to those of the settings: they may know a newer one.
fn dial<R: Rules>(lines: &mut VoterConnections, own: &Agreement, follower: &mut Follower<R>) {
    let known = follower.newest_rules().map(|r| r.addresses());
    for gone in lines.dial(voter_addresses(&own.voters, known, &own.reach)) {
        follower.remove_voter(gone);
    }
}

/// What was logged, so that only what changes is.
#[derive(Default)]
struct Said {
    acts: Option<bool>,
    refused: Vec<(VoterId, String)>,
}

impl Said {
    fn lease<B>(&mut self, now: f64, ruling: &RulesInForce<B>) {
        let acts = now < ruling.lease(now);
        if self.acts.replace(acts) == Some(acts) {
            return;
        }
        match acts {
            true => tracing::info!(label = ruling.label, "under a lease: beginning sessions"),
            false => tracing::warn!(label = ruling.label, "no lease: what plays plays on, nothing is begun"),
        }
        if acts {
            self.refused.clear();
        }
    }

    fn refused(&mut self, voter: VoterId, why: String) {
        if self.refused.contains(&(voter, why.clone())) {
            return;
        }
        tracing::warn!(voter = voter.0, %why, "a voter's answer does not count");
        if self.refused.len() < 64 {
            self.refused.push((voter, why));
        }
    }
}

/// Keeps the newest version on disk, one write at a time.
async fn keep(path: Option<PathBuf>, fleet: String, mut known: watch::Receiver<Option<Chosen>>) {
    while known.changed().await.is_ok() {
        let latest = known.borrow_and_update().clone();
        let (Some(path), Some(chosen)) = (path.clone(), latest) else { continue };
        let copy = Copy { fleet: fleet.clone(), chosen };
        match tokio::task::spawn_blocking(move || kelpdoor_kept::save(&path, FORMAT, &copy)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => tracing::error!(%e, "the agreed rules cannot be kept"),
            Err(e) => tracing::error!(%e, "the agreed rules cannot be kept"),
        }
    }
}
