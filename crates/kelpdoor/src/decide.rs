//! Decides on which media node a session is set up, at what rung, and when its rung goes down or up.
//!
//! [`Director::round`] runs once a round; see `round.rs` for its input, `orders.rs` for its output and
//! `terms.rs` for the settings. The design is a reduced form of LTS (Zhang et al.), described in
//! docs/design.md, with these additional mechanisms:
//!
//! 1. Health: a node is ejected while it is silent for unusually long, and after failures for a doubling
//!    time.
//! 2. Cold nodes: SETUPs to a node that may have just started are paced by time slots that all directors
//!    share.
//! 3. Squeeze: a new session may take room from rungs of other sessions that have less utility per kB. With
//!    many directors, each of which has few sessions on a link, such rungs go down at random before the link
//!    is full.
//! 4. Further SETUPs: time-outs leave time for another SETUP, within a number per session, a budget and the
//!    remaining time.
//! 5. Choice among equal nodes: the own zone comes first if sessions across zones have a price. Viewers of a
//!    live title that share a stream are placed by a hash of title and node ids instead of at random.
//! 6. Decay: estimates of link loads move towards the mean load as they age, and a link without measurements
//!    counts as loaded like the mean. After a pause of this director, all input counts as older by the pause.

mod cold_nodes;
mod loads;
mod node_health;
mod placement;
mod rung_steps;
mod shares;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fastrand::Rng;

use crate::derived_terms::DerivedTerms;
use crate::ids::{NodeId, SessId, TitleId};
use crate::orders::Orders;
use crate::round::{Ended, ListChange, ListedNode, NewSession, Phase, Playing, Round, SetupOutcome};
use crate::state::{Actor, LinkLoads, Nodes, Session, Stage, blend, track};
use crate::terms::{Repeat, Terms};
use loads::{DRIFT_TIME, MAX_CAPACITY_RATIO};
use node_health::{FIRST_EJECTION, backoff};
use placement::INITIAL_SETUP_TIME;
use rung_steps::MIN_RISE_WAIT;
use shares::SHARE_STEP_INTERVAL;

/// s; longest time between rounds, a tenth of the shortest wait used here.
const ROUND_INTERVAL: f64 = 0.1;

/// Weight of a new value in a running mean, which so covers about ten values.
const MEAN_WEIGHT: f64 = 0.1;

/// Part of a link; assumed mean fullness before any measurement.
const INITIAL_MEAN_FILL: f64 = 0.6;

/// s; initial estimate of the remaining duration of a session.
const INITIAL_SESSION_LIFE: f64 = 20.0;

/// s; first backoff after a busy reply, about the time between two ends of sessions at a node.
const BUSY_BACKOFF: f64 = 0.7;

/// s; a director that just started presumes that all nodes just started, because node lists lag.
const PRESUMED_COLD_TIME: f64 = 5.0;

/// One director: the state of all its sessions and its view of the media nodes.
pub struct Director {
    pub(crate) terms: DerivedTerms,
    rng: Rng,
    pub(crate) nodes: Nodes,
    pub(crate) links: LinkLoads,
    pub(crate) sessions: BTreeMap<SessId, Session>,
    actor: Actor,
    next_share_step_at: f64,
    next_tick_at: f64,
    next_timer_at: f64,
    started_at: f64,
    last_round_at: f64,
    /// Time beyond `ROUND_INTERVAL` in which this director did not run before this round.
    pause: f64,
    /// When the last notification of any node arrived.
    fleet_notified_at: f64,
    setup_time_mean: f64,
    setup_time_dev: f64,
    /// Estimated remaining duration of a session.
    session_life: f64,
    /// Mean measured fullness of links and of uplinks.
    pub(crate) mean_fill: [f64; 2],
    /// When sessions were accepted.
    accepted_at: VecDeque<f64>,
    /// When SETUPs after the first one of a session were sent.
    further_sent_at: VecDeque<f64>,
    /// SETUPs sent to nodes presumed cold since this director started.
    presumed_cold_setups: f64,
    pub(crate) seats: BTreeMap<(TitleId, u8), u32>,
    /// Viewers of each shared stream of this director: by node, title, group and rung.
    pub(crate) shared_streams: BTreeMap<(usize, TitleId, u8, u8), u32>,
    /// When the node list is requested next.
    next_request_at: f64,
}

impl Director {
    /// Creates a director at time `now`; `seed` determines its random choices.
    pub fn new(terms: &Terms, seed: u64, now: f64) -> Self {
        let terms = DerivedTerms::new(terms);
        let mut links = LinkLoads { history_time: DRIFT_TIME, ..LinkLoads::default() };
        for r in 0..=terms.racks {
            links.reset(r, if terms.rack_uplink > 0.0 { terms.rack_uplink } else { f64::MAX / 4.0 });
        }
        if !terms.uplinks_told {
            // Without reports about uplinks, each counts as wide until delivery falls short.
            links.capacity.iter_mut().for_each(|capacity| *capacity *= MAX_CAPACITY_RATIO);
        }
        let nodes = Nodes { by_rack: vec![Vec::new(); terms.racks], ..Nodes::default() };
        Director {
            terms,
            rng: Rng::with_seed(seed),
            nodes,
            links,
            sessions: BTreeMap::new(),
            actor: Actor { mean_advantage: 1.0, ..Actor::default() },
            next_share_step_at: now + SHARE_STEP_INTERVAL,
            next_tick_at: now,
            next_timer_at: f64::NEG_INFINITY,
            started_at: now,
            last_round_at: now,
            pause: 0.0,
            fleet_notified_at: f64::NEG_INFINITY,
            setup_time_mean: INITIAL_SETUP_TIME,
            setup_time_dev: INITIAL_SETUP_TIME / 4.0,
            session_life: INITIAL_SESSION_LIFE,
            mean_fill: [INITIAL_MEAN_FILL; 2],
            accepted_at: VecDeque::new(),
            further_sent_at: VecDeque::new(),
            presumed_cold_setups: 0.0,
            seats: BTreeMap::new(),
            shared_streams: BTreeMap::new(),
            next_request_at: now,
        }
    }

    /// Replaces the terms. Groups, rungs, racks and spans must be those of the old terms, because the
    /// existing sessions are counted by them.
    pub fn update_terms(&mut self, terms: &Terms) {
        self.terms = DerivedTerms::new(terms);
    }

    /// Handles the input since the last round and writes the decisions to `orders`.
    pub fn round(&mut self, now: f64, round: &Round, orders: &mut impl Orders) {
        // Rounds are requested at every interval, so a longer gap is a pause of this director, and its input
        // is older by the pause.
        self.pause = (now - self.last_round_at - ROUND_INTERVAL).max(0.0);
        self.last_round_at = now;
        round.list_changes.iter().for_each(|change| self.apply_list_change(now, change));
        round.handed_over.iter().for_each(|(request, node)| self.add_handed_over(now, request, *node));
        round.playing.iter().for_each(|playing| self.handle_playing(now, playing));
        round.measurements.iter().for_each(|measurement| self.apply_measurement(now, measurement));
        round.probed.iter().for_each(|(node, outcome, load)| self.handle_probe(now, *node, *outcome, load));
        let pending: Vec<SessId> =
            round.ended.iter().filter_map(|e| self.handle_end(now, e, orders)).collect();
        round.departures.iter().for_each(|&sess| self.handle_departure(sess, orders));
        pending.into_iter().for_each(|sess| self.place(now, sess, orders));
        let stayed = round.new_sessions.iter().filter(|request| !round.departures.contains(&request.sess));
        stayed.for_each(|request| self.accept(now, request, orders));
        if now >= self.next_tick_at {
            self.next_tick_at = now + ROUND_INTERVAL;
            self.tick(now, orders);
        }
        if now >= self.next_timer_at {
            self.next_timer_at = now + ROUND_INTERVAL;
            orders.wake_after(ROUND_INTERVAL);
        }
    }

    fn apply_list_change(&mut self, now: f64, change: &ListChange) {
        let (entries, complete, cached) = match change {
            ListChange::Changed(entries) => (entries, false, false),
            ListChange::Whole(entries) => (entries, true, false),
            ListChange::Cached(entries) => (entries, true, true),
            ListChange::Unanswered => return self.next_request_at = now + ROUND_INTERVAL + self.rng.f64(),
        };
        if complete {
            let named: BTreeSet<NodeId> = entries.iter().map(|l| l.node).collect();
            for (id, phase) in self.nodes.id.iter().zip(&mut self.nodes.phase) {
                *phase = if named.contains(id) { *phase } else { Phase::Gone };
            }
        }
        entries.iter().for_each(|listing| self.apply_listed_node(now, listing, cached));
        self.refresh_listed();
        self.normalize_shares();
    }

    fn apply_listed_node(&mut self, now: f64, listing: &ListedNode, cached: bool) {
        let known = self.nodes.index.get(&listing.node).copied();
        if known.is_none() && listing.phase == Phase::Gone {
            return;
        }
        let i = known.unwrap_or_else(|| self.add_node(listing.node));
        self.copy_listed(i, listing, known.is_none());
        let (n, terms) = (&mut self.nodes, &self.terms);
        // A node that is listed again with its old start time did not stop; only the list had lost it.
        let back = n.phase[i] == Phase::Gone && listing.phase == Phase::Ready && listing.up_since == 0.0;
        n.phase[i] = listing.phase;
        if listing.up_since > n.up_since[i] || (known.is_none() && !cached) || back {
            // The list reports a start: the node is cold from then on, and earlier failures do not count.
            n.up_since[i] = listing.up_since.max(n.up_since[i]);
            let long_ago = if known.is_none() { f64::NEG_INFINITY } else { now };
            let since = if listing.up_since > 0.0 { listing.up_since } else { long_ago };
            n.cold_since[i] = since;
            n.cold_until[i] = since + terms.warm_within;
            n.ejected_until[i] = f64::NEG_INFINITY;
            n.failures[i] = 0;
            n.notified_at[i] = f64::INFINITY;
            if n.cold_until[i] > now {
                // A node that just started has no sessions of other directors yet.
                self.clear_others(now, i);
            }
        }
        let n = &mut self.nodes;
        if cached && self.started_at + PRESUMED_COLD_TIME > n.cold_until[i] {
            // A cached list may miss a restart: presume that the node just started until lists have caught
            // up. One that is listed as cold stays cold with its own start time, or directors that restart
            // together would overload it.
            if now >= n.cold_until[i] {
                n.cold_since[i] = f64::INFINITY;
            }
            n.cold_until[i] = self.started_at + PRESUMED_COLD_TIME;
        }
    }

    fn accept(&mut self, now: f64, request: &NewSession, orders: &mut impl Orders) {
        self.accepted_at.push_back(now);
        let group = &self.terms.groups[request.group.0 as usize];
        let session = Session::new(request, now, group.floor, group.start_target);
        self.sessions.insert(request.sess, session);
        self.place(now, request.sess, orders);
    }

    fn handle_playing(&mut self, now: f64, p: &Playing) {
        let Some(s) = self.sessions.get_mut(&p.sess).filter(|s| s.stage == Stage::SetupSent) else { return };
        s.stage = Stage::Playing { since: now };
        s.changed_at = f64::NEG_INFINITY;
        let i = s.node;
        if self.pause < ROUND_INTERVAL {
            track(&mut self.setup_time_mean, &mut self.setup_time_dev, p.took, MEAN_WEIGHT);
        }
        let setup_times = &mut self.nodes.setup_times[i];
        *setup_times = (setup_times.0 + p.took, setup_times.1 + 1.0);
        if self.nodes.streams[i] <= 1.0 || self.nodes.notified_at[i] == f64::INFINITY {
            self.nodes.notified_at[i] = now + self.terms.seen_after;
            // No other director receives a measurement at a set-up, so the first wait is short.
            self.nodes.next_rise_at[i] = now + self.rng.f64() * MIN_RISE_WAIT;
        }
        self.nodes.refusals[i] = 0;
        self.mark_alive(now, i);
    }

    /// Handles the end of a SETUP or session; returns the session if its viewer still waits for an answer.
    fn handle_end(&mut self, now: f64, e: &Ended, orders: &mut impl Orders) -> Option<SessId> {
        let known = self.nodes.index.get(&e.node).copied();
        if let Some(i) = known {
            match e.outcome {
                SetupOutcome::Served => self.mark_alive(now, i),
                SetupOutcome::Failed | SetupOutcome::BusyReplied => {
                    // The node lives but refuses SETUPs: back off for longer each time until a session plays
                    // again, because a node that fails fast looks empty and would attract every session.
                    self.mark_alive(now, i);
                    let (n, error) = (&mut self.nodes, e.outcome == SetupOutcome::Failed);
                    let times = n.refusals[i] - i32::from(error);
                    // A request that no node can serve fails at each of them and would cause a backoff of
                    // all. So an error counts against a node only from the second in a row, and only at the
                    // first SETUP of its session. The cost: a node that fails every SETUP receives one more.
                    let first_error = self.sessions.get(&e.sess).is_none_or(|s| s.tried.is_empty());
                    if !error || (first_error && times >= 0) {
                        let first = if error { FIRST_EJECTION } else { BUSY_BACKOFF };
                        n.backed_off_until[i] = now + backoff(first, times);
                    }
                    n.refusals[i] += i32::from(!error || first_error);
                }
                SetupOutcome::ConnectionLost => {
                    // The process died, so the sessions of the other directors there are gone as well.
                    self.mark_failed(now, i);
                    self.clear_others(now, i);
                }
                SetupOutcome::Unreachable => self.mark_failed(now, i),
                SetupOutcome::TimedOut => {
                    // If anything arrived from the node since the SETUP was sent, the node is alive and only
                    // this answer was lost or late. The cost: a node that is too slow for set-ups but not for
                    // its notifications receives more of them.
                    let sent = self.sessions.get(&e.sess).map_or(now, |s| s.changed_at);
                    if self.nodes.last_heard_at[i] <= sent {
                        self.mark_failed(now, i);
                        self.withdraw_others(i, e.sess, orders);
                    }
                }
                SetupOutcome::Withdrawn | SetupOutcome::NeverSent => {}
            }
            self.apply_load_report(now, i, &e.load);
        }
        let s = self.sessions.get(&e.sess)?;
        if s.stage == Stage::Pending {
            return None;
        }
        if let (Stage::Playing { since }, SetupOutcome::Served) = (s.stage, e.outcome)
            && since > f64::NEG_INFINITY
        {
            // The duration of past sessions is the best estimate of the remaining duration of a session.
            blend(&mut self.session_life, now - since, MEAN_WEIGHT);
        }
        self.release(now, e.sess);
        let s = self.sessions.get_mut(&e.sess)?;
        if e.closed || s.viewer_left || s.stage != Stage::SetupSent {
            self.sessions.remove(&e.sess);
            return None;
        }
        s.stage = Stage::Pending;
        s.tried.push(e.node);
        if !matches!(
            e.outcome,
            SetupOutcome::BusyReplied | SetupOutcome::Unreachable | SetupOutcome::NeverSent
        ) && s.maybe_ran.is_none()
        {
            let i = s.node;
            s.maybe_ran = Some((self.nodes.zone[i], self.nodes.cell[i], s.changed_at));
        }
        Some(e.sess)
    }

    /// Cancels the other SETUPs in flight to a node that did not answer one, so that they are sent elsewhere
    /// sooner.
    fn withdraw_others(&mut self, i: usize, except: SessId, orders: &mut impl Orders) {
        let terms = &self.terms;
        let others = self
            .sessions
            .iter()
            .filter(|(id, s)| **id != except && s.stage == Stage::SetupSent && s.node == i);
        for (&id, s) in others.filter(|(_, s)| terms.may_withdraw && s.setups < terms.max_setups) {
            if terms.groups[s.request.group.0 as usize].repeat == Repeat::Freely {
                orders.withdraw(id, s.setups as u8 - 1);
            }
        }
    }

    fn handle_departure(&mut self, sess: SessId, orders: &mut impl Orders) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        if s.stage == Stage::Pending {
            self.sessions.remove(&sess);
        } else {
            s.viewer_left = true;
            if s.stage == Stage::SetupSent && self.terms.may_withdraw {
                orders.withdraw(sess, s.setups as u8 - 1);
            }
        }
    }

    /// The periodic work of a director.
    fn tick(&mut self, now: f64, orders: &mut impl Orders) {
        if self.terms.ask_list && now >= self.next_request_at {
            orders.subscribe(true);
            self.next_request_at = f64::INFINITY;
        }
        self.decay_estimates(now);
        let held = self.nodes_with_sessions();
        self.links_of(&held).into_iter().for_each(|l| self.relieve(now, l, orders));
        self.eject_silent(now, &held);
        held.iter().for_each(|&i| self.rise(now, i, orders));
        if now >= self.next_share_step_at {
            self.next_share_step_at = now + SHARE_STEP_INTERVAL;
            self.update_shares();
        }
        let span = self.terms.further.map_or(0.0, |budget| budget.span) + 2.0 * ROUND_INTERVAL;
        self.accepted_at.retain(|&t| t > now - span);
        self.further_sent_at.retain(|&t| t > now - span);
        self.remove_gone_nodes();
    }
}
