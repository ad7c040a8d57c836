//! Follows the agreed rules: keeps a connection to each voter, handles their responses, and publishes the rules that this
//! director may act on. Runs in its own task, so that a slow or unreachable voter delays no session.

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

/// Format line of the cached version.
const FORMAT: &str = "kelpdoor-agreed 1";
/// Maximum number of queued events from voters; beyond it, their connections are not read.
const MAX_QUEUED_EVENTS: usize = 256;
/// Longest interval between two checks of timers, in seconds.
const MAX_TICK_INTERVAL: f64 = 0.25;

/// A version on disk, for a start while no voter can be reached. It gives the rules but no lease.
#[derive(Serialize, Deserialize)]
struct CachedVersion {
    fleet: String,
    chosen: Chosen,
}

/// Loads the newest version that was cached on disk with these settings, if there is one.
///
/// # Errors
/// If the cached version belongs to another fleet.
pub fn load_cached_version(settings: &Agreement) -> anyhow::Result<Option<Chosen>> {
    let Some(path) = &settings.copy else { return Ok(None) };
    // Any voter has the same version, so a damaged file is ignored.
    let cached = kelpdoor_kept::load::<CachedVersion>(path, FORMAT).unwrap_or_else(|e| {
        tracing::warn!(%e, "ignoring the cached rules");
        None
    });
    if let Some(cached) = cached.as_ref().filter(|c| c.fleet != settings.fleet) {
        let (path, fleet) = (path.display(), &settings.fleet);
        anyhow::bail!("{path}: the cached rules are of fleet {:?}, not of {fleet:?}", cached.fleet);
    }
    Ok(cached.map(|c| c.chosen))
}

/// The rules that may be acted on, and the lease under which they may.
#[derive(Clone, Debug)]
pub struct RulesInForce<B = Deployment> {
    /// The settings of the active versions.
    pub settings: Arc<B>,
    /// Label of the active versions, the newest first.
    pub label: String,
    /// Whether the newest version lists this director. If not, it starts no sessions.
    pub listed: bool,
    /// Start of the lease by the boot clock, in seconds.
    pub from: f64,
    /// End of the lease by the boot clock, in seconds.
    pub until: f64,
}

impl<B> RulesInForce<B> {
    /// Time until which new sessions may be started, as of `now`; negative infinity if none may be.
    pub fn lease(&self, now: f64) -> f64 {
        if self.listed && now >= self.from { self.until } else { f64::NEG_INFINITY }
    }
}

/// A running follower of the agreed rules, for a director or another process that acts on the part `B` of them. Dropping
/// it stops the follower.
pub struct RulesFollower<B = Deployment> {
    pub(crate) rules: watch::Receiver<RulesInForce<B>>,
    pub(crate) clock: BootClock,
    pub(crate) wall_off: Option<PathBuf>,
    pub(crate) tasks: JoinSet<()>,
}

impl<B: Clone + Send + Sync + 'static> RulesFollower<B> {
    /// The rules that may be acted on now.
    pub fn rules(&self) -> RulesInForce<B> {
        self.rules.borrow().clone()
    }

    /// Waits until the rules or their lease change.
    pub async fn changed(&mut self) {
        if self.rules.changed().await.is_err() {
            std::future::pending().await
        }
    }

    /// Starts to follow and waits until a version is known, from the cache on disk or from a voter. `R` is read from each
    /// version and `local`. `read` returns the settings from the rules of the active versions, and whether the newest one
    /// lists this process.
    ///
    /// # Errors
    /// If the cached version belongs to another fleet, or no version can be read.
    pub async fn start_with<R>(
        agreement: Agreement, local: R::LocalSettings, read: impl Fn(&R) -> (B, bool) + Send + 'static,
    ) -> anyhow::Result<Self>
    where
        R: Rules<LocalSettings: Send + Sync> + Send + Sync + 'static,
    {
        let clock = BootClock::new(agreement.clock_rate);
        let cached = load_cached_version(&agreement)?;
        let (first, mut first_rules) = mpsc::channel(1);
        let mut tasks = JoinSet::new();
        let wall_off = agreement.wall_off.clone();
        let follower = Follower::<R>::new(&agreement.name, fastrand::u64(..), cached, local);
        tasks.spawn(follow(agreement, follower, clock, read, first));
        let Some(rules) = first_rules.recv().await else {
            anyhow::bail!("no version of the rules can be read")
        };
        Ok(RulesFollower { rules, clock, wall_off, tasks })
    }
}

impl RulesFollower {
    /// Starts to follow the complete settings of a director and returns the current ones; see
    /// [`start_with`](Self::start_with).
    ///
    /// # Errors
    /// If the cached version belongs to another fleet, or no version can be read.
    pub async fn start(local: LocalSettings) -> anyhow::Result<(RulesFollower, Deployment)> {
        let read = |a: &MergedRules| (a.deployment(), a.listed);
        let follower = RulesFollower::start_with(local.agreement.clone(), local, read).await?;
        let deployment = Deployment::clone(&follower.rules().settings);
        Ok((follower, deployment))
    }
}

async fn follow<B: Clone + Send + Sync + 'static, R: Rules>(
    agreement: Agreement, mut follower: Follower<R>, clock: BootClock, read: impl Fn(&R) -> (B, bool),
    first: mpsc::Sender<watch::Receiver<RulesInForce<B>>>,
) {
    let (events, mut queue) = mpsc::channel(MAX_QUEUED_EVENTS);
    let mut connections = VoterConnections::new(&agreement.fleet, events);
    dial(&mut connections, &agreement, &mut follower);
    let (save, latest) = watch::channel(None);
    let mut save_task = JoinSet::new();
    save_task.spawn(save_versions(agreement.copy.clone(), agreement.fleet.clone(), latest));
    let mut published: Option<watch::Sender<RulesInForce<B>>> = None;
    let mut logged = LogState::default();
    loop {
        let now = clock.now();
        for voter in connections.voters() {
            if let Some(request) = follower.next_request(now, voter) {
                connections.send(voter, request);
            }
        }
        if let Some(active) = follower.active_versions(now) {
            let label = active.label();
            let (from, until) = (active.from, active.until);
            let previous = published.as_ref().map(|t| t.borrow().clone()).filter(|r| r.label == label);
            let rules = match previous {
                Some(r) => Some(RulesInForce { from, until, ..r }),
                None => follower.rules(now).map(|rules| {
                    let (settings, listed) = read(&rules);
                    if !listed {
                        tracing::error!(name = agreement.name, %label, "the agreed list does not name this director");
                    }
                    tracing::info!(%label, "acting on agreed rules");
                    RulesInForce { settings: Arc::new(settings), label, listed, from, until }
                }),
            };
            if let Some(rules) = rules {
                logged.log_lease(now, &rules);
                match &published {
                    // Receivers are woken only if something changed.
                    Some(to) => {
                        to.send_if_modified(|old| {
                            let changed =
                                (&old.label, old.from, old.until) != (&rules.label, rules.from, rules.until);
                            *old = rules;
                            changed
                        });
                    }
                    None => {
                        let (sender, receiver) = watch::channel(rules);
                        published = Some(sender);
                        if first.send(receiver).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
        if published.as_ref().is_some_and(|t| t.is_closed()) {
            return;
        }
        let next_timer_at =
            follower.next_request_at().min(follower.next_change_at(now)).min(now + MAX_TICK_INTERVAL);
        let event = tokio::select! {
            event = queue.recv() => event,
            () = sleep(Duration::from_secs_f64((next_timer_at - now).max(0.001))) => None,
        };
        let Some((voter, event)) = event.filter(|(voter, _)| connections.has(*voter)) else { continue };
        match event {
            ConnectionEvent::Connected => follower.connected(voter),
            ConnectionEvent::Response(response) => {
                let previous = follower.known_version().map_or(0, |c| c.number);
                if let Err(why) = follower.handle_response(clock.now(), voter, response) {
                    logged.log_rejection(voter, why);
                }
                if let Some(c) = follower.known_version().filter(|c| c.number > previous) {
                    save.send_replace(Some(c.clone()));
                    dial(&mut connections, &agreement, &mut follower);
                }
            }
        }
    }
}

/// Keeps connections to the voters that the newest known version names, and to those of the settings, which may know a
/// newer version.
fn dial<R: Rules>(connections: &mut VoterConnections, agreement: &Agreement, follower: &mut Follower<R>) {
    let known = follower.newest_rules().map(|r| r.addresses());
    for closed in connections.dial(voter_addresses(&agreement.voters, known, &agreement.reach)) {
        follower.remove_voter(closed);
    }
}

/// What was logged last, so that only changes are logged.
#[derive(Default)]
struct LogState {
    has_lease: Option<bool>,
    rejections: Vec<(VoterId, String)>,
}

impl LogState {
    fn log_lease<B>(&mut self, now: f64, rules: &RulesInForce<B>) {
        let has_lease = now < rules.lease(now);
        if self.has_lease.replace(has_lease) == Some(has_lease) {
            return;
        }
        match has_lease {
            true => tracing::info!(label = rules.label, "lease acquired; starting sessions"),
            false => tracing::warn!(
                label = rules.label,
                "no lease; sessions in progress continue, none is started"
            ),
        }
        if has_lease {
            self.rejections.clear();
        }
    }

    fn log_rejection(&mut self, voter: VoterId, why: String) {
        if self.rejections.contains(&(voter, why.clone())) {
            return;
        }
        tracing::warn!(voter = voter.0, %why, "rejected a voter's response");
        if self.rejections.len() < 64 {
            self.rejections.push((voter, why));
        }
    }
}

/// Saves the newest version on disk, one write at a time.
async fn save_versions(path: Option<PathBuf>, fleet: String, mut known: watch::Receiver<Option<Chosen>>) {
    while known.changed().await.is_ok() {
        let latest = known.borrow_and_update().clone();
        let (Some(path), Some(chosen)) = (path.clone(), latest) else { continue };
        let cached = CachedVersion { fleet: fleet.clone(), chosen };
        match tokio::task::spawn_blocking(move || kelpdoor_kept::save(&path, FORMAT, &cached)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => tracing::error!(%e, "cannot save the agreed rules"),
            Err(e) => tracing::error!(%e, "cannot save the agreed rules"),
        }
    }
}
