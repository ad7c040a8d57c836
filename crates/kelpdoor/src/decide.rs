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

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fastrand::Rng;

use crate::derived_terms::DerivedTerms;
use crate::ids::{NodeId, SessId, TitleId};
use crate::orders::Orders;
use crate::round::{
    Ended, ListChange, ListedNode, LoadReport, Measurement, NewSession, Phase, Playing, Round, SetupOutcome,
};
use crate::state::{Actor, FEATURES, LinkLoads, Nodes, Session, Stage, blend, track};
use crate::terms::{Reach, Repeat, Terms};

/// s; longest time between rounds, a tenth of the shortest wait used here.
const ROUND_INTERVAL: f64 = 0.1;

/// s; interval between steps of the shares.
const SHARE_STEP_INTERVAL: f64 = 2.0;
/// Steps for which loads and penalties are kept for each node; k in the LTS paper.
const STEP_HISTORY: usize = 20;
/// Raises of a share, in thousandths for a fleet of three nodes; scaled by 3/m for m nodes as in the LTS
/// paper.
const SHARE_RAISES: [f64; 3] = [1.0, 5.0, 10.0];
/// Nodes; raises shrink no further in a larger fleet, or shares would not move within a day.
const MAX_RAISE_SCALE_NODES: f64 = 16.0;
/// Lowest share over the share by size; above 0 so that no node is forgotten.
const MIN_SHARE: f64 = 0.2;
/// Highest share over the share by size.
const MAX_SHARE: f64 = 2.0;
/// Change of a weight for each unit of advantage; low, because payoffs are noisy.
const LEARNING_RATE: f64 = 0.05;
/// Weight of a new value in a running mean, which so covers about ten values.
const MEAN_WEIGHT: f64 = 0.1;
/// Payoff; the policy has settled when its mean advantage is below this after `STEP_HISTORY` steps.
const SETTLED_ADVANTAGE: f64 = 0.5;

/// Part of a link or uplink that set-ups may fill; the rest covers load that is not visible yet.
const SETUP_FILL: f64 = 0.90;
/// Part of a link that rises may fill; below `SETUP_FILL` so that new sessions find room.
const RISE_LINK_FILL: f64 = 0.80;
/// The same for an uplink.
const RISE_UPLINK_FILL: f64 = 0.88;
/// Part of a rate; viewers see stalls when they receive less.
const SHORT_DELIVERY: f64 = 0.98;
/// Part of a link; sessions step down when the demand is higher.
const RELIEF_START: f64 = 1.03;
/// Part of a link down to which they step, where no session is short.
const RELIEF_TARGET: f64 = 0.97;
/// Part of a link from which rungs with low utility step down if there are many directors.
const EARLY_RELIEF_START: f64 = 0.78;
/// Up to this many directors, sessions do not step down before a link is full: they are squeezed instead.
const MAX_DIRECTORS_WITHOUT_EARLY_RELIEF: f64 = 2.0;
/// Exponent of the effect of early relief, which is small with three or four directors and nearly full with
/// sixty.
const EARLY_RELIEF_EXPONENT: i32 = 3;
/// Times the need; a larger first step down is taken at random with this weight. Above 1, so that most of a
/// shortage ends.
const RELIEF_DRAW_WEIGHT: f64 = 3.0;
/// Part of a link; assumed mean fullness before any measurement.
const INITIAL_MEAN_FILL: f64 = 0.6;
/// Part of the load that other directors would add if they added as much as this one; the rest has ended
/// unseen.
const UNSEEN_LOAD_WEIGHT: f64 = 0.5;
/// Part of a rate; actual rates differ from the ladder by up to a quarter, depending on the title.
const RATE_MARGIN: f64 = 0.2;
/// Part of a link per second that is reserved because a measurement ages.
const STALENESS_PER_SECOND: f64 = 0.01;
/// Largest such part.
const MAX_STALENESS: f64 = 0.06;
/// Weight of a load report against the estimate; reports are noisy and old.
const REPORT_WEIGHT: f64 = 0.4;
/// Weight of a measurement against the estimate; measurements have little noise.
const MEASUREMENT_WEIGHT: f64 = 0.8;
/// Weight of one estimate of a link's capacity, which is off by up to a third.
const CAPACITY_WEIGHT: f64 = 0.1;
/// Range of the estimated over the listed capacity; an estimate outside of it is wrong.
const MIN_CAPACITY_RATIO: f64 = 0.2;
const MAX_CAPACITY_RATIO: f64 = 1.6;
/// Part of a link; a lower load does not allow an estimate of the capacity.
const MIN_FILL_FOR_CAPACITY: f64 = 0.2;
/// Part per second by which the capacity of a reduced uplink grows back, which takes some 20 s.
const UPLINK_REGROWTH_PER_SECOND: f64 = 0.05;
/// s; age of a load report on arrival, from its usual refresh interval and the network delay.
const REPORT_AGE: f64 = 0.4;
/// s; a measurement this soon after the start of a session is current, a later one is old.
const FRESH_MEASUREMENT_TIME: f64 = 0.15;
/// s; measurements are smoothed, and for this long after step-downs they still show the old shortage.
const RELIEF_SETTLE_TIME: f64 = 0.8;
/// Least part of the room measured at an own set-up that this director uses; the rest is for the next set-up.
const MIN_EXCLUSIVE_PART: f64 = 0.4;
/// s; bounds of the random wait before a rise, about the interval between measurements.
const MIN_RISE_WAIT: f64 = 0.5;
const MAX_RISE_WAIT: f64 = 2.0;
/// s; a session keeps its rung at least for this time, so that the change is worth its cost.
const MIN_RUNG_TIME: f64 = 6.0;
/// s; an older measurement justifies no rise and no blame, as two notifications are missing by then.
const MAX_MEASUREMENT_AGE: f64 = 6.0;
/// s; initial estimate of the remaining duration of a session.
const INITIAL_SESSION_LIFE: f64 = 20.0;
/// Utility per kB of a step over that of the steps it displaces; above 1 because the estimates have errors.
const SQUEEZE_GAIN: f64 = 1.3;
/// s; time in which an old measurement moves to the mean load, and for which own changes are remembered.
const DRIFT_TIME: f64 = 8.0;
/// Directors; with more, measurements drift sooner, because all that receive one act on it.
const MAX_DIRECTORS_AT_BASE_DRIFT: f64 = 3.0;
/// Largest factor on the pace of the drift, reached with six directors.
const MAX_DRIFT_SPEEDUP: f64 = 2.0;
/// s; notifications of a shortage come each second, so it is over when three are missing.
const SHORTAGE_TIMEOUT: f64 = 3.0;
/// Highest fullness; a link that delivers nothing counts as this full, so that its estimate can recover.
const MAX_FULLNESS: f64 = 10.0;

/// Deviations of a node's notification interval; a longer silence is unusual.
const SILENCE_DEVIATIONS: f64 = 4.0;
/// s; lowest deviation of notification intervals, due to rounds and network delay.
const MIN_GAP_DEVIATION: f64 = 0.15;
/// s; the notifications of all nodes for one interval arrive within this time.
const NOTIFICATION_SPREAD: f64 = 1.0;
/// s; first time of an ejection after a failure, which doubles with each further failure.
const FIRST_EJECTION: f64 = 3.0;
/// s; longest ejection or backoff.
const MAX_EJECTION: f64 = 10.0;
/// s; first backoff after a busy reply, about the time between two ends of sessions at a node.
const BUSY_BACKOFF: f64 = 0.7;

/// s; initial estimate of the set-up time, and the shortest time-out.
const INITIAL_SETUP_TIME: f64 = 0.3;
/// Deviations; a SETUP that takes this much longer than the mean is lost.
const SETUP_TIMEOUT_DEVIATIONS: f64 = 6.0;
/// Part of the time to the start target that one SETUP may take, so that another can still start in time.
const SETUP_TIMEOUT_PART: f64 = 0.45;

/// Part of the cold budget that all directors together use, because SETUPs differ in weight.
const COLD_BUDGET_USE: f64 = 0.8;
/// Part of a slot in which it is open, for slots of two windows: a window that bears few SETUPs then gets
/// one.
const WIDE_SLOT_OPEN_PART: f64 = 0.35;
/// s; a director that just started presumes that all nodes just started, because node lists lag.
const PRESUMED_COLD_TIME: f64 = 5.0;

/// Sessions and their new rungs.
type RungChanges = Vec<(SessId, u8)>;

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

/// `first` doubled `times` times, up to the longest ejection.
fn backoff(first: f64, times: i32) -> f64 {
    MAX_EJECTION.min(first * f64::from(1 << times.min(8)))
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

    /// Scales the shares to a sum of 1000 within their bounds, after nodes were added or removed.
    fn normalize_shares(&mut self) {
        for i in 0..self.nodes.id.len() {
            let (base, gone) = (self.base_share(i), self.nodes.phase[i] == Phase::Gone);
            let share = if self.nodes.share[i] == 0.0 { base } else { self.nodes.share[i] };
            self.nodes.share[i] = if gone { 0.0 } else { share };
        }
        let listed = self.nodes.listed.clone();
        for _ in 0..STEP_HISTORY {
            let sum: f64 = listed.iter().map(|&i| self.nodes.share[i]).sum();
            for &i in &listed {
                let base = self.base_share(i);
                let share = self.nodes.share[i] * 1000.0 / sum;
                self.nodes.share[i] = share.clamp(MIN_SHARE * base, MAX_SHARE * base);
            }
        }
    }

    /// Estimates the load of all other directors on a link from the own load: one of them has as much there,
    /// because titles lead all directors to the same nodes; each of the rest has the own mean over the fleet,
    /// because with many directors each has little anywhere.
    pub(crate) fn estimate_others(&self, l: usize, here: f64, fleet: f64) -> f64 {
        let others = self.terms.directors - 1.0;
        let mean = fleet * self.links.capacity[l] / self.links.capacity[self.fleet()].max(1e-9);
        here * others.min(1.0) + mean * (others - 1.0).max(0.0)
    }

    /// The part of its capacity that a node is estimated to have during its warm-up.
    pub(crate) fn warmth(&self, now: f64, i: usize) -> f64 {
        let terms = &self.terms;
        if now >= self.nodes.cold_until[i] {
            return 1.0;
        }
        let part = ((now - self.nodes.cold_since[i]) / terms.warm_within.max(1e-3)).clamp(0.0, 1.0);
        (terms.cold_from + (1.0 - terms.cold_from) * part).min(1.0)
    }

    /// The estimated demand on a link or uplink.
    pub(crate) fn demand(&self, l: usize) -> f64 {
        let terms = &self.terms;
        if l < terms.racks && !terms.uplinks_told {
            // Uplinks have no measurements of their own: use the links of the rack's nodes, and assume that
            // those without a measurement are as full as the rest.
            let (mut asked, mut measured, mut all) = (0.0, 0.0, 0.0);
            for link in self.nodes.by_rack[l].iter().map(|&i| self.link(i)) {
                all += self.links.capacity[link];
                if self.links.measured_at[link] > f64::NEG_INFINITY {
                    asked += self.demand(link);
                    measured += self.links.capacity[link];
                }
            }
            return if measured > 0.0 { asked * all / measured } else { 0.0 };
        }
        if self.links.measured_at[l] == f64::NEG_INFINITY {
            // A link without a measurement is at least as full as the rest of the fleet.
            let (own, fleet) = (self.links.own[l], self.links.own[self.fleet()]);
            return (own + self.estimate_others(l, own, fleet))
                .max(self.mean_fill(l) * self.links.capacity[l]);
        }
        (self.links.own[l] + self.links.others[l]).max(0.0)
    }

    /// kB/s left below the part `fill` of a link. Less remains for an old measurement, and for what was added
    /// since then: the other directors may have added as much at the same time.
    fn headroom(&self, now: f64, l: usize, fill: f64, warmth: f64) -> f64 {
        let (terms, then) = (&self.terms, self.links.measured_at[l]);
        if l < terms.racks && !terms.uplinks_told {
            return fill * self.links.capacity[l] - self.demand(l);
        }
        let unseen = (terms.directors - 1.0) / terms.directors;
        let stale = ((now - then) * STALENESS_PER_SECOND).min(MAX_STALENESS) * unseen;
        // Without a measurement, `demand` already includes all that others may have there.
        let since = |l: usize| (self.links.own[l] - self.links.own_at(l, then)).max(0.0);
        let weight = if then > f64::NEG_INFINITY { UNSEEN_LOAD_WEIGHT } else { 0.0 };
        let added = weight * self.estimate_others(l, since(l), since(self.fleet()));
        (fill - stale) * self.links.capacity[l] * warmth - self.demand(l) - added
    }

    /// The headroom of a node's link and of its rack's uplink, each below its part in `fill`.
    fn node_headroom(&self, now: f64, i: usize, fill: (f64, f64)) -> (f64, f64) {
        // A node that is only presumed cold counts as warm here, because its link is measured.
        let warmth = if self.is_presumed_cold(i) { 1.0 } else { self.warmth(now, i) };
        let link = self.headroom(now, self.link(i), fill.0, warmth);
        (link, self.headroom(now, self.rack(i), fill.1, 1.0))
    }

    /// The parts of a link and of an uplink that set-ups fill; a link only to where its node would reply
    /// busy.
    fn setup_fill(&self) -> (f64, f64) {
        (SETUP_FILL.min(self.terms.refuses_from), SETUP_FILL)
    }

    fn apply_load_report(&mut self, now: f64, i: usize, load: &LoadReport) {
        let (l, r, then) = (self.link(i), self.rack(i), now - REPORT_AGE);
        if let Some(streams) = load.streams {
            let others = (streams - self.nodes.streams[i]).max(0.0);
            blend(&mut self.nodes.other_streams[i], others, REPORT_WEIGHT);
            // Streams over fullness give the capacity, if the sessions of others have the same mean rate.
            let (own, count) = (self.links.own[l], self.nodes.streams[i]);
            if let Some(full) = load.link.filter(|&x| x > MIN_FILL_FOR_CAPACITY && count >= 2.0) {
                let capacity = own / count * (count + others) / full;
                let (old, before) = (self.links.capacity[l], self.demand(l));
                self.links.set_capacity(
                    l,
                    old + CAPACITY_WEIGHT * (capacity - old),
                    (MIN_CAPACITY_RATIO, MAX_CAPACITY_RATIO),
                );
                if self.links.measured_at[l] > f64::NEG_INFINITY {
                    // The measurement was of the fullness, so the fullness stays the same.
                    self.links.others[l] = before * self.links.capacity[l] / old - own;
                }
            }
        }
        if let Some(full) = load.link {
            self.links.measure(l, full.min(MAX_FULLNESS), then, REPORT_WEIGHT);
        }
        if let Some(full) = load.uplink {
            self.links.measure(r, full.min(MAX_FULLNESS), then, REPORT_WEIGHT);
        }
    }

    fn apply_measurement(&mut self, now: f64, measurement: &Measurement) {
        match *measurement {
            Measurement::Rung { sess, rung } => self.recount(now, sess, rung),
            Measurement::Link { sess, node, asked } | Measurement::Uplink { sess, node, asked } => {
                let Some(&i) = self.nodes.index.get(&node) else { return };
                let since = match self.sessions.get(&sess).map(|s| s.stage) {
                    Some(Stage::Playing { since }) => since,
                    _ => f64::NEG_INFINITY,
                };
                let asked = asked.min(MAX_FULLNESS);
                let fresh = now - since + self.pause < FRESH_MEASUREMENT_TIME;
                let then = if fresh { now } else { now - self.terms.seen_after - self.pause };
                let uplink = matches!(measurement, Measurement::Uplink { .. });
                let l = if uplink { self.rack(i) } else { self.link(i) };
                self.links.measure(l, asked, then, MEASUREMENT_WEIGHT);
                if fresh {
                    self.links.exclusive_at[l] = then;
                }
                blend(&mut self.mean_fill[usize::from(uplink)], asked, MEAN_WEIGHT);
                if !uplink && !fresh {
                    self.handle_notification(now, i);
                }
            }
            Measurement::Delivered { node, share } => self.apply_delivery(now, node, share),
        }
    }

    fn handle_probe(&mut self, now: f64, node: NodeId, outcome: SetupOutcome, load: &LoadReport) {
        let Some(&i) = self.nodes.index.get(&node) else { return };
        let mark = if outcome == SetupOutcome::Served { Self::mark_alive } else { Self::mark_failed };
        mark(self, now, i);
        self.apply_load_report(now, i, load);
    }

    /// Attributes a short delivery to the node's link if the load of the link explains it, else to the
    /// uplink.
    fn apply_delivery(&mut self, now: f64, node: NodeId, share: f64) {
        let share = share.max(1.0 / MAX_FULLNESS);
        let Some(&i) = self.nodes.index.get(&node) else { return };
        let (l, r, then) = (self.link(i), self.rack(i), now - self.terms.seen_after - self.pause);
        let short = share < SHORT_DELIVERY;
        if short && self.nodes.delivered[i] >= SHORT_DELIVERY {
            self.nodes.shortages[i] += 1.0;
        }
        (self.nodes.delivered[i], self.nodes.delivered_at[i]) = (share, now);
        self.nodes.shortfall[i] += (1.0 - share).max(0.0);
        if !short {
            return;
        }
        let wait = self.rise_wait();
        self.nodes.next_rise_at[i] = now + wait;
        let full = self.demand(l) / self.links.capacity[l];
        if then < self.links.relieved_at[l].max(self.links.relieved_at[r]) + RELIEF_SETTLE_TIME {
            return;
        }
        if self.terms.uplinks_told {
            let uplink = self.demand(r) / self.links.capacity[r];
            let worst = if uplink > full { r } else { l };
            if full.max(uplink) * share < 1.0 {
                self.links.measure(worst, 1.0 / share, then, REPORT_WEIGHT);
            }
        } else if !self.rack_is_short(now, r) {
            self.links.measure(l, 1.0 / share, then, REPORT_WEIGHT);
        } else {
            // The uplink delivers this share of its demand.
            let capacity = self.demand(r) * share;
            if capacity < self.links.capacity[r] {
                self.links.set_capacity(r, capacity, (MIN_CAPACITY_RATIO, MAX_CAPACITY_RATIO));
                self.links.measured_at[r] = then;
            }
        }
    }

    /// Whether most nodes of a rack with own sessions are short at once although their links were measured
    /// recently and are not full. A single node, or one whose link may explain it, says nothing about the
    /// uplink.
    fn rack_is_short(&self, now: f64, r: usize) -> bool {
        let ours = self.nodes.by_rack[r].iter().copied().filter(|&i| self.has_sessions(i));
        let (short, all) = ours.fold((0, 0), |(short, all), i| {
            let (l, share) = (self.link(i), self.nodes.delivered[i]);
            let recent = now - self.links.measured_at[l] < MAX_MEASUREMENT_AGE;
            let unexplained = self.demand(l) / self.links.capacity[l] * share < SETUP_FILL;
            (short + i32::from(share < SHORT_DELIVERY && recent && unexplained), all + 1)
        });
        short >= 2 && short * 2 > all
    }

    /// Records a periodic notification of a node.
    fn handle_notification(&mut self, now: f64, i: usize) {
        let n = &mut self.nodes;
        let gap = now - n.notified_at[i];
        if gap > MIN_GAP_DEVIATION && self.pause < ROUND_INTERVAL {
            track(&mut n.gap_mean[i], &mut n.gap_dev[i], gap, MEAN_WEIGHT);
        }
        n.notified_at[i] = now;
        self.fleet_notified_at = self.fleet_notified_at.max(now);
        self.mark_alive(now, i);
    }

    /// Records a sign of life of a node and ends its ejection.
    fn mark_alive(&mut self, now: f64, i: usize) {
        let warm_within = self.terms.warm_within;
        let n = &mut self.nodes;
        n.failures[i] = 0;
        n.last_heard_at[i] = now;
        n.ejected_until[i] = n.ejected_until[i].min(now);
        n.notified_at[i] = n.notified_at[i].max(now);
        if n.cold_since[i] == f64::INFINITY && n.cold_until[i] == f64::INFINITY {
            // After a failure, the node may have started just before its first sign of life.
            n.cold_since[i] = now;
            n.cold_until[i] = now + warm_within;
        }
    }

    /// Ejects a node for a time that doubles with each failure. Once it is back it may be cold, even if the
    /// node list does not report a start.
    fn mark_failed(&mut self, now: f64, i: usize) {
        let n = &mut self.nodes;
        if now >= n.ejected_until[i] {
            n.ejected_until[i] = now + backoff(FIRST_EJECTION, n.failures[i]);
            n.failures[i] += 1;
        }
        n.cold_since[i] = f64::INFINITY;
        n.cold_until[i] = f64::INFINITY;
    }

    /// Whether a node with own sessions is silent for unusually long, compared with its usual notification
    /// interval. Time in which the whole fleet is silent does not count: then notifications are late.
    fn is_silent(&self, now: f64, i: usize) -> bool {
        let n = &self.nodes;
        if self.terms.told_every == 0.0 {
            return false;
        }
        let silence = now.min(self.fleet_notified_at + NOTIFICATION_SPREAD) - n.notified_at[i];
        silence > n.gap_mean[i] + SILENCE_DEVIATIONS * n.gap_dev[i].max(MIN_GAP_DEVIATION)
    }

    /// Ejects silent nodes; after each ejection a trial SETUP can clear a node by its answer. If more than
    /// half of the nodes are silent, notifications are missing and no node is ejected.
    fn eject_silent(&mut self, now: f64, held: &[usize]) {
        let silent: Vec<usize> = held.iter().copied().filter(|&i| self.is_silent(now, i)).collect();
        let unusual = silent.len() * 2 <= held.len();
        for i in silent {
            if unusual && self.nodes.cold_until[i] < f64::INFINITY {
                self.mark_failed(now, i);
            }
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

    /// Whether another SETUP after the first one of a session fits the budget; a round interval of
    /// uncertainty counts against it.
    fn further_setup_fits(&self, now: f64) -> bool {
        let Some(budget) = self.terms.further else { return true };
        let accepted =
            self.accepted_at.iter().filter(|&&t| t > now - budget.span + ROUND_INTERVAL).count() as f64;
        let further =
            self.further_sent_at.iter().filter(|&&t| t >= now - budget.span - ROUND_INTERVAL).count() as f64;
        further + 1.0 <= budget.free + budget.per_taken * accepted
    }

    /// Whether a node that may be cold takes a SETUP of this director now.
    ///
    /// All directors share a clock and know their number, so each has time slots of its own and no window can
    /// exceed its budget. For a node that is only presumed cold, as after the start of this director, a
    /// minimum gap that grows with the number of directors is enough: one SETUP of each when many restart
    /// together, as few of their sessions meet at one node that also just started.
    fn cold_slot_open(&self, now: f64, i: usize) -> bool {
        let (terms, last) = (&self.terms, self.nodes.last_setup_at[i]);
        let budget = COLD_BUDGET_USE * terms.cold_budget * self.nodes.places[i] * self.warmth(now, i);
        if self.is_presumed_cold(i) {
            return now - last >= (terms.directors - 1.0).max(2.0) * terms.fall_window / budget.max(1e-3);
        }
        // Slots become shorter while the node warms up. If a window holds few SETUPs, one more at such a
        // change could exceed the budget. So slots only halve, and the number of slots follows the budget of
        // one window ago, so that a window spans at most one change. The budget covers one SETUP per slot,
        // one for the edge of the window and one for the change.
        let before = budget * self.warmth(now - terms.fall_window, i) / self.warmth(now, i).max(1e-9);
        let slots = (before - 1.0).min(before / COLD_BUDGET_USE - 2.0).max(0.5).log2().floor().exp2();
        let few = slots < 1.0;
        let slot = (terms.fall_window / slots).max(1e-3);
        let turn = (now / slot).floor();
        let own = turn.rem_euclid(terms.directors) == terms.me as f64
            && (!few || now / slot - turn < WIDE_SLOT_OPEN_PART);
        own && (last / slot).floor() != turn
    }

    /// Whether this director's part of what all presumed cold nodes bear allows another SETUP to any of them.
    ///
    /// This protects a fleet that restarts together with its directors into a crowd of viewers: each director
    /// assumes that the others are as loaded as itself. A part of a window is available at once, the rest
    /// comes with time, and fractions of a SETUP are distributed by the index of the director. The cost: when
    /// sessions return in a crowd after only this director restarted, some are refused for a second or two.
    fn presumed_cold_budget_allows(&self, now: f64) -> bool {
        let (n, terms) = (&self.nodes, &self.terms);
        let budget = |&i: &usize| terms.cold_budget * n.places[i] * self.warmth(now, i);
        let all: f64 = n.listed.iter().filter(|&&i| self.is_presumed_cold(i)).map(budget).sum();
        let windows =
            1.0 - COLD_BUDGET_USE + COLD_BUDGET_USE * (now - self.started_at) / terms.fall_window.max(1e-3);
        let phase = (terms.me as f64 + 0.5) / terms.directors;
        // Without a configured pace there is no budget to divide.
        terms.cold_budget == 0.0 || all / terms.directors * windows >= self.presumed_cold_setups + phase
    }

    /// The nodes that may take this session now.
    fn eligible_nodes(&self, now: f64, s: &Session) -> Vec<usize> {
        let (n, terms) = (&self.nodes, &self.terms);
        let group = &terms.groups[s.request.group.0 as usize];
        let presumed_cold_allowed = self.presumed_cold_budget_allows(now);
        let fits = |&i: &usize| {
            let off =
                (n.cell[i] % terms.cells + terms.cells - s.request.first_cell % terms.cells) % terms.cells;
            let reach = match (s.maybe_ran, group.repeat) {
                (Some((zone, cell, _)), Repeat::Within(reach)) => {
                    reach.joins((zone, cell), (n.zone[i], n.cell[i]))
                }
                _ => true,
            };
            off < s.request.cells
                && n.phase[i] == Phase::Ready
                && now >= n.ejected_until[i].max(n.backed_off_until[i])
                && !s.tried.contains(&n.id[i])
                && n.streams[i] + n.other_streams[i] + 1.0 <= n.places[i]
                && (now >= n.cold_until[i]
                    || self.cold_slot_open(now, i) && (presumed_cold_allowed || !self.is_presumed_cold(i)))
                && reach
        };
        self.nodes.listed.iter().copied().filter(fits).collect()
    }

    /// Sends a SETUP for a pending session, or gives it up at once.
    fn place(&mut self, now: f64, sess: SessId, orders: &mut impl Orders) {
        let Some(s) = self.sessions.get(&sess).filter(|s| s.stage == Stage::Pending) else { return };
        let (setups, left) = (s.setups, s.deadline - now);
        let (title, g) = (s.request.title, s.request.group.0);
        let group = &self.terms.groups[g as usize];
        let repeat_ok = match (s.maybe_ran, group.repeat) {
            (None, _) | (_, Repeat::Freely) => true,
            (_, Repeat::Never) => false,
            (Some((_, _, sent)), Repeat::Within(_)) => now - sent < group.repeat_window - ROUND_INTERVAL,
        };
        let seats_ok = group.seats == 0 || self.seats.get(&(title, g)).copied().unwrap_or(0) < group.seats;
        let time_ok = setups == 0 || left > ROUND_INTERVAL;
        let may = repeat_ok && seats_ok && time_ok && setups < self.terms.max_setups;
        let found = if may && (setups == 0 || self.further_setup_fits(now)) {
            self.choose_node(now, sess)
        } else {
            None
        };
        let Some((i, rung, changes)) = found else { return self.give_up(sess, orders) };
        for (other, lower) in changes {
            self.set_rung(now, other, lower, orders);
        }
        self.nodes.last_setup_at[i] = now;
        if now < self.nodes.cold_until[i] && self.is_presumed_cold(i) {
            self.presumed_cold_setups += 1.0;
        }
        if setups > 0 {
            self.further_sent_at.push_back(now);
        }
        let more = setups + 1 < self.terms.max_setups;
        let late = self.setup_time_mean + SETUP_TIMEOUT_DEVIATIONS * self.setup_time_dev;
        let s = self.sessions.get_mut(&sess).expect("the session existed at the start of this call");
        // Before the start target, a part of the time left to it; later, half of the time left to the viewer.
        let part = if now < s.start_by { SETUP_TIMEOUT_PART * (s.start_by - now) } else { left / 2.0 };
        let wait = late.min(part).max(INITIAL_SETUP_TIME);
        s.node = i;
        s.rung = rung;
        s.stage = Stage::SetupSent;
        s.setups += 1;
        s.changed_at = now;
        let id = self.nodes.id[i];
        self.acquire(now, sess);
        orders.set_rung(sess, rung);
        orders.send_setup(sess, id, (more && wait < left).then_some(wait));
    }

    /// Sends the final answer when no SETUP can be sent: busy where allowed, so that the viewer may return.
    fn give_up(&mut self, sess: SessId, orders: &mut impl Orders) {
        let Some(s) = self.sessions.remove(&sess) else { return };
        let repeat = self.terms.groups[s.request.group.0 as usize].repeat;
        if s.maybe_ran.is_none() || matches!(repeat, Repeat::Freely | Repeat::Within(Reach::Anywhere)) {
            orders.reply_busy(sess, self.terms.come_back);
        } else {
            orders.reply_failed(sess);
        }
    }

    /// Chooses the node and rung for a session, and the rung changes that make room for it: a random draw,
    /// weighted by shares, among the nodes with room for the highest rung that any of them has room for.
    fn choose_node(&mut self, now: f64, sess: SessId) -> Option<(usize, u8, RungChanges)> {
        let s = &self.sessions[&sess];
        let group = &self.terms.groups[s.request.group.0 as usize];
        let best = s.request.best_rung.min(group.top);
        if best < group.floor {
            return None;
        }
        let fits = |i: usize| {
            let (link, uplink) = self.node_headroom(now, i, self.setup_fill());
            let room = link.min(uplink);
            let adds = |r: u8| {
                // A viewer that joins a stream of the same title adds only a part of the rate.
                let part = if self.joins_stream(i, &s.request, r) { group.join } else { 1.0 };
                part * group.rates[r as usize] * (1.0 + RATE_MARGIN)
            };
            let rung = (group.floor..=best).rev().find(|&r| adds(r) <= room);
            // An estimate without a recent measurement does not justify a busy reply.
            let blind = self.links.measured_at[self.link(i)] < now - MAX_MEASUREMENT_AGE;
            rung.map_or(if blind { group.floor.into() } else { -1 }, i16::from)
        };
        let eligible = self.eligible_nodes(now, s);
        let mut offers: Vec<_> = eligible.iter().map(|&i| (i, fits(i), Vec::new())).collect();
        if offers.iter().all(|o| o.1 < best.into()) {
            // No node has room for the best rung: look for room in steps with less utility.
            for offer in &mut offers {
                let (rung, changes) = self.squeeze(now, offer.0, s, offer.1, best);
                (offer.1, offer.2) = (rung, changes);
            }
        }
        let wanted = offers.iter().map(|o| o.1).max().filter(|&r| r >= 0)?;
        offers.retain(|o| o.1 == wanted);
        if self.terms.prefer_own_zone && offers.iter().any(|o| self.nodes.zone[o.0] == self.terms.zone) {
            offers.retain(|o| self.nodes.zone[o.0] == self.terms.zone);
        }
        if group.join < 1.0 {
            // Viewers of a live title share a stream if they meet at a node. So all directors choose by a
            // hash of title and node ids, weighted by shares, and mostly choose the same node. The cost: all
            // viewers of the title are interrupted when that node dies.
            let title = s.request.title.0;
            let distance = |i: usize| {
                let id = u64::from(self.nodes.id[i].0);
                -Rng::with_seed(title ^ id.rotate_left(32)).f64().ln() / self.nodes.share[i].max(1e-9)
            };
            return offers
                .into_iter()
                .min_by(|a, b| distance(a.0).total_cmp(&distance(b.0)))
                .map(|(i, rung, changes)| (i, rung as u8, changes));
        }
        let sum: f64 = offers.iter().map(|o| self.nodes.share[o.0]).sum();
        let mut draw = self.rng.f64() * sum;
        let last = offers.len() - 1;
        for (k, (i, rung, changes)) in offers.into_iter().enumerate() {
            draw -= self.nodes.share[i];
            if draw < 0.0 || k == last {
                return Some((i, rung as u8, changes));
            }
        }
        None
    }

    /// The rung that a new session could have at node `i` if steps of own sessions with clearly less utility
    /// per kB made room for it.
    fn squeeze(&self, now: f64, i: usize, s: &Session, from: i16, best: u8) -> (i16, RungChanges) {
        let group = &self.terms.groups[s.request.group.0 as usize];
        let (link, uplink) = self.node_headroom(now, i, self.setup_fill());
        let (mut reached, mut changes) = (from, Vec::new());
        for next in (from + 1).max(group.floor.into())..=best.into() {
            let next = next as usize;
            let below =
                if reached < 0 { (0.0, 0.0) } else { (group.utility[next - 1], group.rates[next - 1]) };
            let density = (group.utility[next] - below.0) / (group.rates[next] - below.1).max(1e-9);
            let kb = group.rates[next] * (1.0 + RATE_MARGIN);
            let on_link = kb > link;
            let need = kb - link.min(uplink);
            let at = |o: usize| if on_link { o == i } else { self.rack(o) == self.rack(i) };
            let max_loss = density / SQUEEZE_GAIN;
            let (steps, freed) =
                self.step_rungs(|s| at(s.node), false, |freed, _, loss| freed < need && loss <= max_loss);
            if freed < need {
                break;
            }
            (reached, changes) = (next as i16, steps);
        }
        (reached, changes)
    }

    /// Moves the rungs of own playing sessions that `selects` matches: up where the utility per kB is
    /// highest, or down where it is lowest, while `allows` accepts a step by the kB moved so far, its own kB
    /// and its utility per kB. Returns the changes and the kB moved.
    fn step_rungs(
        &self, selects: impl Fn(&Session) -> bool, up: bool, allows: impl Fn(f64, f64, f64) -> bool,
    ) -> (RungChanges, f64) {
        let mut rungs: Vec<(&Session, u8)> =
            self.sessions.values().filter(|s| s.is_playing() && selects(s)).map(|s| (s, s.rung)).collect();
        let mut moved = 0.0;
        loop {
            let step = rungs.iter().enumerate().filter_map(|(k, &(s, rung))| {
                let group = &self.terms.groups[s.request.group.0 as usize];
                let low = if up { rung } else { rung.checked_sub(1)? };
                if low + 1 > s.request.best_rung.min(group.top) || low < group.floor {
                    return None;
                }
                // A session that already moves has the cost of a change only once.
                let switch = if rung == s.rung { group.switch_cost / self.session_life } else { 0.0 };
                let (kb, density) = group.step(low, if up { -switch } else { switch });
                allows(moved, kb, density).then_some((k, if up { -density } else { density }, kb))
            });
            let Some((k, _, kb)) = step.min_by(|a, b| a.1.total_cmp(&b.1)) else { break };
            rungs[k].1 = if up { rungs[k].1 + 1 } else { rungs[k].1 - 1 };
            moved += kb;
        }
        (rungs.into_iter().filter(|(s, r)| *r != s.rung).map(|(s, r)| (s.request.sess, r)).collect(), moved)
    }

    fn set_rung(&mut self, now: f64, sess: SessId, rung: u8, orders: &mut impl Orders) {
        self.recount(now, sess, rung);
        if let Some(s) = self.sessions.get_mut(&sess) {
            s.changed_at = now;
            orders.set_rung(sess, rung);
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

    /// Moves estimates without new measurements towards the mean. A bad measurement must not last: without
    /// sessions there, no other comes, and the node would be excluded for good. A good one must not keep
    /// attracting sessions either.
    fn decay_estimates(&mut self, now: f64) {
        let racks = self.terms.racks;
        let listed = self.nodes.listed.clone();
        // All directors that receive a measurement act on it: the more there are, the sooner and, up to a
        // limit, the faster it drifts.
        let many = (self.terms.directors / MAX_DIRECTORS_AT_BASE_DRIFT).max(1.0);
        // Each uplink, then each listed link, and whether its node just started.
        let nodes = listed.iter().map(|&i| (self.link(i), now < self.nodes.cold_until[i]));
        let links: Vec<(usize, bool)> = (0..racks).map(|r| (r, false)).chain(nodes).collect();
        for (l, started) in links {
            let (capacity, age) = (self.links.capacity[l], now - self.links.measured_at[l]);
            if l < racks && !self.terms.uplinks_told {
                // Not while any of its nodes is short: the uplink would be loaded again during the shortage.
                if self.nodes.by_rack[l].iter().any(|&i| self.nodes.delivered[i] < SHORT_DELIVERY) {
                    continue;
                }
                let max_capacity = self.links.listed_capacity[l] * MAX_CAPACITY_RATIO;
                self.links.capacity[l] =
                    (capacity * (1.0 + UPLINK_REGROWTH_PER_SECOND * ROUND_INTERVAL)).min(max_capacity);
            } else if age > MAX_MEASUREMENT_AGE / many && age < f64::INFINITY || started {
                // At once if a node just started, because all directors learn of it and fill it.
                let mean = (self.mean_fill(l) * capacity - self.links.own[l]).max(0.0);
                blend(
                    &mut self.links.others[l],
                    mean,
                    many.min(MAX_DRIFT_SPEEDUP) * ROUND_INTERVAL / DRIFT_TIME,
                );
            }
        }
        for i in listed {
            if now - self.nodes.delivered_at[i] > SHORTAGE_TIMEOUT {
                self.nodes.delivered[i] = 1.0;
            }
            // Reports come only with ends of own sessions; the sessions of others end unseen.
            blend(&mut self.nodes.other_streams[i], 0.0, ROUND_INTERVAL / (2.0 * DRIFT_TIME));
        }
    }

    /// Steps down this director's part of the excess demand on a link. All directors receive the same
    /// measurement, so each reduces its own part.
    fn relieve(&mut self, now: f64, l: usize, orders: &mut impl Orders) {
        let asked = self.demand(l);
        let racks = self.terms.racks;
        // With few directors, sessions are squeezed instead.
        let full = asked / self.links.capacity[l];
        let from = RELIEF_START
            - (RELIEF_START - EARLY_RELIEF_START)
                * (1.0 - MAX_DIRECTORS_WITHOUT_EARLY_RELIEF / self.terms.directors)
                    .max(0.0)
                    .powi(EARLY_RELIEF_EXPONENT);
        if full <= from || self.links.own[l] <= 0.0 {
            return;
        }
        // Only on a new measurement; for an uplink, which all directors share, on one that shows the reaction
        // of the others.
        let delay = if l < racks { self.terms.seen_after } else { 0.0 };
        if self.links.measured_at[l] <= self.links.relieved_at[l] + delay {
            return;
        }
        let chance = self.rng.f64();
        let (target, max_loss, weight) = if full > RELIEF_START {
            (RELIEF_TARGET, f64::INFINITY, RELIEF_DRAW_WEIGHT)
        } else {
            (from, (full - from) / (RELIEF_START - from) * self.terms.lowest_rung_density, 1.0)
        };
        let need = self.links.own[l] * (full - target) / full;
        let at = |i: usize| {
            if l < racks { self.rack(i) == l } else { self.link(i) == l }
        };
        // A first step that is far larger than the need is taken at random: with many directors that each
        // have little there, rounding up would empty the link. The draw is for more than the need, because a
        // shortage costs more than unused capacity.
        let (changes, _) = self.step_rungs(
            |s| at(s.node),
            false,
            |freed, kb, loss| {
                loss <= max_loss && if freed == 0.0 { chance * kb < weight * need } else { freed < need }
            },
        );
        self.links.relieved_at[l] = now;
        for (sess, rung) in changes {
            let i = self.sessions[&sess].node;
            let wait = self.rise_wait();
            self.nodes.next_rise_at[i] = now + wait;
            self.set_rung(now, sess, rung, orders);
        }
    }

    fn rise_wait(&mut self) -> f64 {
        let (least, most) = (MIN_RISE_WAIT, MAX_RISE_WAIT);
        least + self.rng.f64() * (most - least)
    }

    /// The part of the room on a link that this director may use until a measurement shows what the others
    /// did: all directors with sessions there know the same room, and each uses its part of the total load.
    fn own_part(&self, l: usize, room: f64) -> f64 {
        // A measurement at a set-up, however, reaches only this director.
        let exclusive = self.links.exclusive_at[l] == self.links.measured_at[l];
        let part = (self.links.own[l] / self.demand(l).max(1e-9))
            .clamp(if exclusive { MIN_EXCLUSIVE_PART } else { 0.0 }, 1.0);
        (room + self.links.rise_used[l]) * part - self.links.rise_used[l]
    }

    /// Raises rungs of own sessions at a node after a random wait, highest utility first, within this
    /// director's part of the room. A step larger than that part is taken with the probability of the part,
    /// so that all directors together use the room. An old measurement is enough only if nodes send no
    /// measurements.
    fn rise(&mut self, now: f64, i: usize, orders: &mut impl Orders) {
        let (l, r) = (self.link(i), self.rack(i));
        let stale = now - self.links.measured_at[l] > MAX_MEASUREMENT_AGE && self.terms.told_every > 0.0;
        if now < self.nodes.next_rise_at[i] || self.nodes.delivered[i] < SHORT_DELIVERY || stale {
            return;
        }
        self.nodes.next_rise_at[i] = now + self.rise_wait();
        let (link, uplink) = self.node_headroom(now, i, (RISE_LINK_FILL, RISE_UPLINK_FILL));
        let (whole, own) = (link.min(uplink), self.own_part(l, link).min(self.own_part(r, uplink)));
        if own <= 0.0 {
            return;
        }
        let (chance, drawn) = (self.rng.f64(), Cell::new(false));
        let selects = |s: &Session| s.node == i && now - s.changed_at > MIN_RUNG_TIME;
        let (rises, kb) = self.step_rungs(selects, true, |used, kb, gain| {
            drawn.set(drawn.get() || gain > 0.0);
            let fits = |kb: f64, room: f64| (used + kb) * (1.0 + RATE_MARGIN) <= room;
            gain > 0.0 && fits(kb, whole) && fits(chance * kb, own)
        });
        for (sess, rung) in rises {
            self.set_rung(now, sess, rung, orders);
        }
        // The part counts as used even if the random draw was lost.
        let used = if kb > 0.0 { kb * (1.0 + RATE_MARGIN) } else { whole };
        if drawn.get() {
            for l in [l, r] {
                (self.links.rise_used[l], self.links.last_rise_at[l]) = (self.links.rise_used[l] + used, now);
            }
        }
    }

    /// One step of the shares: learns from the last one, then keeps the shares or raises that of one node at
    /// the cost of the worst one.
    fn update_shares(&mut self) {
        let listed = self.nodes.listed.clone();
        let mut payoff = 0.0;
        for &i in &listed {
            let l = self.link(i);
            let load = self.demand(l) / self.links.capacity[l].max(1e-9);
            let n = &mut self.nodes;
            let (sum, count) = n.setup_times[i];
            let watched = (n.streams[i] * SHARE_STEP_INTERVAL).max(SHARE_STEP_INTERVAL);
            // Start-up time, stall ratio and stalls per 100 s, each with weight 1.
            let penalty = sum / count.max(1.0)
                + n.shortfall[i] / SHARE_STEP_INTERVAL
                + n.shortages[i] * 100.0 / watched;
            payoff -= penalty / listed.len() as f64;
            n.record_step(i, load, penalty, STEP_HISTORY);
        }
        self.actor.learn(payoff);
        let penalty = |i: usize| self.nodes.past_penalty[i].back().copied().unwrap_or(0.0);
        let above_min = |me: &Self, i: usize| me.nodes.share[i] - MIN_SHARE * me.base_share(i);
        let mut ranked = listed.clone();
        ranked.sort_by(|&a, &b| {
            penalty(b).total_cmp(&penalty(a)).then(self.nodes.id[a].cmp(&self.nodes.id[b]))
        });
        let worst = ranked.into_iter().find(|&i| above_min(self, i) > 1e-9);
        let raises = if self.actor.has_settled() { &SHARE_RAISES[..] } else { &SHARE_RAISES[..1] };
        let choices: Vec<(usize, f64)> =
            listed.iter().flat_map(|&i| raises.iter().map(move |&a| (i, a))).collect();
        let mean = |past: &VecDeque<f64>| past.iter().sum::<f64>() / past.len().max(1) as f64;
        let features = |&(i, by): &(usize, f64)| {
            let (loads, penalties) = (&self.nodes.past_load[i], &self.nodes.past_penalty[i]);
            let last = |past: &VecDeque<f64>| past.back().copied().unwrap_or(0.0);
            [last(loads), mean(loads), last(penalties), mean(penalties)]
                .map(|v| v.min(2.0) * by / SHARE_RAISES[2])
        };
        let rows: Vec<_> = choices.iter().map(features).collect();
        let picked = self.actor.pick(&rows, &mut self.rng);
        let (Some(&(to, by)), Some(from)) = (picked.and_then(|k| choices.get(k)), worst) else { return };
        if to == from {
            return;
        }
        let cap = MAX_SHARE * self.base_share(to) - self.nodes.share[to];
        let by = (by * 3.0 / MAX_RAISE_SCALE_NODES.min(listed.len() as f64))
            .min(above_min(self, from))
            .min(cap)
            .max(0.0);
        self.nodes.share[to] += by;
        self.nodes.share[from] -= by;
    }
}

impl Actor {
    fn has_settled(&self) -> bool {
        self.steps >= STEP_HISTORY && self.mean_advantage < SETTLED_ADVANTAGE
    }

    /// Moves the weights along the gradient of the last choice by its advantage over the mean payoff.
    fn learn(&mut self, payoff: f64) {
        if self.steps == 0 {
            self.payoff_mean = payoff;
        }
        let advantage = (payoff - self.payoff_mean).clamp(-1.0, 1.0);
        for (w, n) in self.weights.iter_mut().zip(self.gradient) {
            *w += LEARNING_RATE * advantage * n;
        }
        blend(&mut self.payoff_mean, payoff, MEAN_WEIGHT);
        blend(&mut self.mean_advantage, advantage.abs(), MEAN_WEIGHT);
        self.steps += 1;
    }

    /// Draws a raise by softmax; `None` keeps the shares, a choice whose features are all 0.
    fn pick(&mut self, rows: &[[f64; FEATURES]], rng: &mut Rng) -> Option<usize> {
        let score =
            |row: &[f64; FEATURES]| row.iter().zip(self.weights).map(|(f, w)| f * w).sum::<f64>().exp();
        let odds: Vec<f64> = rows.iter().map(score).collect();
        let sum = 1.0 + odds.iter().sum::<f64>();
        let mut draw = rng.f64() * sum;
        let picked = odds.iter().position(|o| {
            draw -= o;
            draw < 0.0
        });
        for k in 0..FEATURES {
            let expected = rows.iter().zip(&odds).map(|(row, o)| row[k] * o).sum::<f64>() / sum;
            self.gradient[k] = picked.map_or(0.0, |p| rows[p][k]) - expected;
        }
        picked
    }
}
