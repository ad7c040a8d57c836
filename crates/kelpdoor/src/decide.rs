//! The decisions: which media node a session is set up on, at what rung, and when it steps down or up.
//!
//! Called once a round by `Director::round(now, &Round, &mut impl Orders)`. What comes in is in `round.rs`,
//! where decisions go in `orders.rs`, what a director is given at its start in `terms.rs`. The design is LTS
//! (Zhang et al.) as docs/design.md trims it. Beside it stand these mechanisms:
//!   1. health: a node is barred while its silence is unusual, and after failures for a growing while
//!   2. cold pace: slots for SETUPs to a node that may have started lately, shared out over all directors
//!   3. squeeze: a new session may take room from steps that earn less for each kB; with many directors, who
//!      hold little of a link each, such steps yield by chance before it is over
//!   4. further SETUPs: time-outs that leave time for another, within cap, budget and time left
//!   5. among equals: own zone first where crossing zones has a price; where a live title's viewers share a
//!      stream, one draw for all of them by ids in place of chance
//!   6. fading: what was last heard drifts to the common load as it ages, and a link never read stands at it;
//!      after a pause of our own all news is that much older

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fastrand::Rng;

use crate::derived_terms::DerivedTerms;
use crate::ids::{NodeId, SessId, TitleId};
use crate::orders::Orders;
use crate::round::{
    Ended, ListChange, ListedNode, LoadReport, Measurement, NewSession, Phase, Playing, Round, SetupOutcome,
};
use crate::state::{Actor, FEATURES, Ledger, Nodes, Sess, Stage, blend, track};
use crate::terms::{Reach, Repeat, Terms};

const BEAT: f64 = 0.1; // s; rounds at least this often: a tenth of the shortest wait used here
const STEP: f64 = 2.0; // s; a step of the shares, the design's own start value
const PAST: usize = 20; // steps; loads and quality figures kept for each node, the paper's k
const RAISES: [f64; 3] = [1.0, 5.0, 10.0]; // thousandths for three nodes; the paper's, scaled by 3/m
const FEW: f64 = 16.0; // nodes; with more, raises shrink no further, or shares would not move in a day
const SHARES: (f64, f64) = (0.2, 2.0); // of a link-size share; floor, to forget no node, and the design's cap
const LEARN_RATE: f64 = 0.05; // weight for each payoff above the mean; slow, as payoffs are noisy
const MEMORY: f64 = 0.1; // part of a running mean that a new figure replaces; about ten figures' memory
const SETTLED: f64 = 0.5; // payoff; mean surprise under this after PAST steps: the actor has settled
const FILL: f64 = 0.90; // of a link, by set-ups; the rest is for what comes unseen
const RISE_FILL: (f64, f64) = (0.80, 0.88); // of a link, an uplink; under FILL, so that arrivals find room
const SHORT: f64 = 0.98; // of a rate; under this share viewers see stalls
const RELIEF: (f64, f64) = (1.03, 0.97); // of a link; fuller, sessions step down, to where none is short
const YIELD: f64 = 0.78; // of a link; with many directors, steps that earn little yield from here on
const PAIR: f64 = 2.0; // directors; so few or fewer squeeze instead, and do not yield before a link is over
const FADES: i32 = 3; // power; yielding hardly acts with three or four directors and nearly whole with sixty
const DRAWN: f64 = 3.0; // times the need; a larger step-down is drawn for, so most of a real shortage goes
const UNREAD: f64 = 0.6; // of a link; how full one counts before anything was read, a common load
const CROWD: f64 = 0.5; // of what others would add by our own adding; a part of it ends unseen
const RATE_SPREAD: f64 = 0.2; // of a rate; true rates lie off the ladder by up to a quarter, by title
const STALE: (f64, f64) = (0.01, 0.06); // of a link a second, and at most; an old reading loses value
const TRUST_REPORT: f64 = 0.4; // weight of a report against the account; reports are noisy and old
const TRUST_READING: f64 = 0.8; // weight of a reading; readings carry little noise
const TRUST_SIZE: f64 = 0.1; // weight of a view of a link's size; one view errs by a third
const SIZE_RANGE: (f64, f64) = (0.2, 1.6); // of the listed size; beyond this a view is in error
const SIZE_FROM: f64 = 0.2; // of a link; emptier ones tell too little of their size
const UPLINK_REGROW: f64 = 0.05; // a second; an uplink that sagged is tried again over some 20 s
const REPORT_AGE: f64 = 0.4; // s; age of a load report on arrival, by typical refresh and way
const FRESH_READING: f64 = 0.15; // s; so soon after a session began a reading is of now, later ones are old
const SETTLE: f64 = 0.8; // s; notes are smoothed: for so long after step-downs they show the old shortage
const ALONE: f64 = 0.4; // of the room read at a set-up of ours; the rest is for who sets up next
const RISE_WAIT: (f64, f64) = (0.5, 2.0); // s; the random quiet wait before a rise, about a note's time
const RISE_GAP: f64 = 6.0; // s; a session keeps its rung for so long at least, to be worth its change
const RISE_READING: f64 = 6.0; // s; an older reading is no ground to rise or blame: two notes were missed
const LIFE: f64 = 20.0; // s; first guess of a session's remaining length, then learned
const SQUEEZE_GAIN: f64 = 1.3; // times; a step earns so much more than those it displaces, as accounts err
const DRIFT: f64 = 8.0; // s; an old reading drifts to a common load, own changes are remembered as long
const ALIKE: f64 = 3.0; // directors; with more, a reading drifts the sooner, for all who hear it act on it
const FASTER: f64 = 2.0; // times the pace of DRIFT at most, reached at six directors; three times was even
const SHORT_HOLDS: f64 = 3.0; // s; notes of a shortage come each second, so after three missed it is over
const FULLEST: f64 = 10.0; // times; a link that gives nothing reads as this full, so that it can recover
const UNUSUAL: f64 = 4.0; // deviations of a node's note gaps; a longer silence is unusual
const GAP_SPREAD: f64 = 0.15; // s; least deviation of note gaps that is believed, for rounds and ways
const BEAT_SPREAD: f64 = 1.0; // s; notes of one beat come in within this of each other
const BAR: (f64, f64) = (3.0, 10.0); // s; bar after a failure, doubled at each further one up to the longest
const BAR_FULL: f64 = 0.7; // s; bar after a busy reply: a session ends there about as often
const SETUP_TIME: f64 = 0.3; // s; first guess of set-up time, and the shortest time-out
const SETUP_LATE: f64 = 6.0; // deviations; a SETUP that takes so much longer than usual is lost
const SETUP_WAIT_PART: f64 = 0.45; // of the time to the start target; then another still starts in time
const COLD_USE: f64 = 0.8; // of the cold budget that all directors use; SETUPs differ in weight
const COLD_OPEN: f64 = 0.35; // of a slot of two windows, used where a window bears few: one SETUP in each
const COLD_FRESH: f64 = 5.0; // s; a director just started takes all nodes for just started: lists lag

/// Sessions and the rungs that they are to have.
type Steps = Vec<(SessId, u8)>;

pub struct Director {
    pub(crate) terms: DerivedTerms,
    rng: Rng,
    pub(crate) nodes: Nodes,
    pub(crate) ledger: Ledger,
    pub(crate) sess: BTreeMap<SessId, Sess>,
    actor: Actor,
    next_step: f64,
    next_beat: f64,
    woken_for: f64,
    started: f64,
    last_round: f64,
    pause: f64,
    fleet_noted: f64,
    setup_mean: f64,
    setup_dev: f64,
    life: f64,
    pub(crate) common: [f64; 2],
    taken: VecDeque<f64>,
    further: VecDeque<f64>,
    /// SETUPs to nodes in doubt since our start.
    doubt_sent: f64,
    pub(crate) seats: BTreeMap<(TitleId, u8), u32>,
    /// Viewers on a shared stream of ours: by node, title, group and rung.
    pub(crate) shared: BTreeMap<(usize, TitleId, u8, u8), u32>,
    ask_at: f64,
}

/// A wait that doubles with each time before, up to the longest bar.
fn backoff(first: f64, times: i32) -> f64 {
    BAR.1.min(first * f64::from(1 << times.min(8)))
}

impl Director {
    pub fn new(terms: &Terms, seed: u64, now: f64) -> Self {
        let terms = DerivedTerms::new(terms);
        let mut ledger = Ledger { keep: DRIFT, ..Ledger::default() };
        for r in 0..=terms.racks {
            ledger.clear(r, if terms.rack_uplink > 0.0 { terms.rack_uplink } else { f64::MAX / 4.0 });
        }
        if !terms.uplinks_told {
            // Nothing is told of uplinks: each counts as wide until delivery falls short.
            ledger.size.iter_mut().for_each(|size| *size *= SIZE_RANGE.1);
        }
        let nodes = Nodes { by_rack: vec![Vec::new(); terms.racks], ..Nodes::default() };
        Director {
            terms,
            rng: Rng::with_seed(seed),
            nodes,
            ledger,
            sess: BTreeMap::new(),
            actor: Actor { surprise: 1.0, ..Actor::default() },
            next_step: now + STEP,
            next_beat: now,
            woken_for: f64::NEG_INFINITY,
            started: now,
            last_round: now,
            pause: 0.0,
            fleet_noted: f64::NEG_INFINITY,
            setup_mean: SETUP_TIME,
            setup_dev: SETUP_TIME / 4.0,
            life: LIFE,
            common: [UNREAD; 2],
            taken: VecDeque::new(),
            further: VecDeque::new(),
            doubt_sent: 0.0,
            seats: BTreeMap::new(),
            shared: BTreeMap::new(),
            ask_at: now,
        }
    }

    /// Goes by other terms from now on. Groups, rungs, racks and spans are those of before: what stands is
    /// counted by them.
    pub fn update_terms(&mut self, terms: &Terms) {
        self.terms = DerivedTerms::new(terms);
    }

    pub fn round(&mut self, now: f64, round: &Round, orders: &mut impl Orders) {
        // We ask for a round each beat: a longer gap is a pause of our own, and all that came in older by it.
        self.pause = (now - self.last_round - BEAT).max(0.0);
        self.last_round = now;
        round.list_changes.iter().for_each(|change| self.list(now, change));
        round.handed_over.iter().for_each(|(ask, node)| self.adopt(now, ask, *node));
        round.playing.iter().for_each(|playing| self.plays(now, playing));
        round.measurements.iter().for_each(|reading| self.reading(now, reading));
        round.probed.iter().for_each(|(node, outcome, load)| self.probed(now, *node, *outcome, load));
        let owed: Vec<SessId> = round.ended.iter().filter_map(|e| self.ended(now, e, orders)).collect();
        round.departures.iter().for_each(|&sess| self.departs(sess, orders));
        owed.into_iter().for_each(|sess| self.place(now, sess, orders));
        let stayed = round.new_sessions.iter().filter(|ask| !round.departures.contains(&ask.sess));
        stayed.for_each(|ask| self.take(now, ask, orders));
        if now >= self.next_beat {
            self.next_beat = now + BEAT;
            self.beat(now, orders);
        }
        if now >= self.woken_for {
            self.woken_for = now + BEAT;
            orders.wake_after(BEAT);
        }
    }

    fn list(&mut self, now: f64, change: &ListChange) {
        let (lines, whole, cached) = match change {
            ListChange::Changed(lines) => (lines, false, false),
            ListChange::Whole(lines) => (lines, true, false),
            ListChange::Cached(lines) => (lines, true, true),
            ListChange::Unanswered => return self.ask_at = now + BEAT + self.rng.f64(),
        };
        if whole {
            let named: BTreeSet<NodeId> = lines.iter().map(|l| l.node).collect();
            for (id, phase) in self.nodes.id.iter().zip(&mut self.nodes.phase) {
                *phase = if named.contains(id) { *phase } else { Phase::Gone };
            }
        }
        lines.iter().for_each(|line| self.line(now, line, cached));
        self.relist();
        self.reshare();
    }

    fn line(&mut self, now: f64, line: &ListedNode, cached: bool) {
        let known = self.nodes.index.get(&line.node).copied();
        if known.is_none() && line.phase == Phase::Gone {
            return;
        }
        let i = known.unwrap_or_else(|| self.new_node(line.node));
        self.copy_line(i, line, known.is_none());
        let (n, f) = (&mut self.nodes, &self.terms);
        // Listed again with the old start, it never stopped: only the list had lost it.
        let back = n.phase[i] == Phase::Gone && line.phase == Phase::Ready && line.up_since == 0.0;
        n.phase[i] = line.phase;
        if line.up_since > n.up_since[i] || (known.is_none() && !cached) || back {
            // A start we are told of: cold from then on, whatever we held against it before.
            n.up_since[i] = line.up_since.max(n.up_since[i]);
            let long_ago = if known.is_none() { f64::NEG_INFINITY } else { now };
            let since = if line.up_since > 0.0 { line.up_since } else { long_ago };
            n.cold_since[i] = since;
            n.cold_until[i] = since + f.warm_within;
            n.barred_until[i] = f64::NEG_INFINITY;
            n.strikes[i] = 0;
            n.noted_at[i] = f64::INFINITY;
            if n.cold_until[i] > now {
                // Just started, so it carries nothing of the others' yet.
                self.emptied(now, i);
            }
        }
        let n = &mut self.nodes;
        if cached && self.started + COLD_FRESH > n.cold_until[i] {
            // A cached list may miss a restart; take the node for just started until lists have caught up.
            // One that is listed as cold stays just that, or directors that restart together would rush it.
            if now >= n.cold_until[i] {
                n.cold_since[i] = f64::INFINITY;
            }
            n.cold_until[i] = self.started + COLD_FRESH;
        }
    }

    /// Brings the shares back to 1000 within floor and cap, after nodes came or went.
    fn reshare(&mut self) {
        for i in 0..self.nodes.id.len() {
            let (base, gone) = (self.base_share(i), self.nodes.phase[i] == Phase::Gone);
            let kept = if self.nodes.share[i] == 0.0 { base } else { self.nodes.share[i] };
            self.nodes.share[i] = if gone { 0.0 } else { kept };
        }
        let listed = self.nodes.listed.clone();
        for _ in 0..PAST {
            let sum: f64 = listed.iter().map(|&i| self.nodes.share[i]).sum();
            for &i in &listed {
                let base = self.base_share(i);
                let share = self.nodes.share[i] * 1000.0 / sum;
                self.nodes.share[i] = share.clamp(SHARES.0 * base, SHARES.1 * base);
            }
        }
    }

    /// What all others would have on a link, going by ours: one of them as much as we, for titles draw us all
    /// to the same nodes, each of the rest our mean over the fleet, as with many each holds little anywhere.
    pub(crate) fn by_others(&self, l: usize, here: f64, fleet: f64) -> f64 {
        let others = self.terms.directors - 1.0;
        let mean = fleet * self.ledger.size[l] / self.ledger.size[self.fleet()].max(1e-9);
        here * others.min(1.0) + mean * (others - 1.0).max(0.0)
    }

    /// How warm a node is thought to be, as a part of its capacity.
    pub(crate) fn warmth(&self, now: f64, i: usize) -> f64 {
        let f = &self.terms;
        if now >= self.nodes.cold_until[i] {
            return 1.0;
        }
        let part = ((now - self.nodes.cold_since[i]) / f.warm_within.max(1e-3)).clamp(0.0, 1.0);
        (f.cold_from + (1.0 - f.cold_from) * part).min(1.0)
    }

    /// What is asked of a link or uplink by our account.
    pub(crate) fn asked(&self, l: usize) -> f64 {
        let f = &self.terms;
        if l < f.racks && !f.uplinks_told {
            // No figure of its own: its nodes', those never read taken to be as full as the rest.
            let (mut asked, mut read, mut all) = (0.0, 0.0, 0.0);
            for link in self.nodes.by_rack[l].iter().map(|&i| self.link(i)) {
                all += self.ledger.size[link];
                if self.ledger.read_at[link] > f64::NEG_INFINITY {
                    asked += self.asked(link);
                    read += self.ledger.size[link];
                }
            }
            return if read > 0.0 { asked * all / read } else { 0.0 };
        }
        if self.ledger.read_at[l] == f64::NEG_INFINITY {
            // Never read: as full as the rest of the fleet at least.
            let (own, fleet) = (self.ledger.own[l], self.ledger.own[self.fleet()]);
            return (own + self.by_others(l, own, fleet)).max(self.common(l) * self.ledger.size[l]);
        }
        (self.ledger.own[l] + self.ledger.others[l]).max(0.0)
    }

    /// kB a second left under `fill` of a link, less for an old reading, and for what we added since it: in a
    /// crowd the others add as much in the same moment.
    fn left_under(&self, now: f64, l: usize, fill: f64, warmth: f64) -> f64 {
        let (f, then) = (&self.terms, self.ledger.read_at[l]);
        if l < f.racks && !f.uplinks_told {
            return fill * self.ledger.size[l] - self.asked(l);
        }
        let unseen = (f.directors - 1.0) / f.directors;
        let stale = ((now - then) * STALE.0).min(STALE.1) * unseen;
        // For a link never read the account counts all that others may have there.
        let since = |l: usize| (self.ledger.own[l] - self.ledger.own_at(l, then)).max(0.0);
        let crowd = if then > f64::NEG_INFINITY { CROWD } else { 0.0 };
        let added = crowd * self.by_others(l, since(l), since(self.fleet()));
        (fill - stale) * self.ledger.size[l] * warmth - self.asked(l) - added
    }

    fn room(&self, now: f64, i: usize, fill: (f64, f64)) -> (f64, f64) {
        // A node that is taken for just started only for want of news counts as warm here: its link is read.
        let warmth = if self.doubted(i) { 1.0 } else { self.warmth(now, i) };
        let link = self.left_under(now, self.link(i), fill.0, warmth);
        (link, self.left_under(now, self.rack(i), fill.1, 1.0))
    }

    /// Of a link and an uplink, what set-ups fill; a link only to where its node would reply busy.
    fn fill(&self) -> (f64, f64) {
        (FILL.min(self.terms.refuses_from), FILL)
    }

    fn load_read(&mut self, now: f64, i: usize, load: &LoadReport) {
        let (l, r, then) = (self.link(i), self.rack(i), now - REPORT_AGE);
        if let Some(streams) = load.streams {
            let others = (streams - self.nodes.streams[i]).max(0.0);
            blend(&mut self.nodes.other_streams[i], others, TRUST_REPORT);
            // Streams over fullness tell the link's size: others' sessions ask what ours ask on average.
            let (mine, count) = (self.ledger.own[l], self.nodes.streams[i]);
            if let Some(full) = load.link.filter(|&x| x > SIZE_FROM && count >= 2.0) {
                let size = mine / count * (count + others) / full;
                let (old, before) = (self.ledger.size[l], self.asked(l));
                self.ledger.resize(l, old + TRUST_SIZE * (size - old), SIZE_RANGE);
                if self.ledger.read_at[l] > f64::NEG_INFINITY {
                    // Fullness was read, not size: keep it as it was.
                    self.ledger.others[l] = before * self.ledger.size[l] / old - mine;
                }
            }
        }
        if let Some(full) = load.link {
            self.ledger.read(l, full.min(FULLEST), then, TRUST_REPORT);
        }
        if let Some(full) = load.uplink {
            self.ledger.read(r, full.min(FULLEST), then, TRUST_REPORT);
        }
    }

    fn reading(&mut self, now: f64, reading: &Measurement) {
        match *reading {
            Measurement::Rung { sess, rung } => self.recount(now, sess, rung),
            Measurement::Link { sess, node, asked } | Measurement::Uplink { sess, node, asked } => {
                let Some(&i) = self.nodes.index.get(&node) else { return };
                let since = match self.sess.get(&sess).map(|s| s.stage) {
                    Some(Stage::Playing { since }) => since,
                    _ => f64::NEG_INFINITY,
                };
                let asked = asked.min(FULLEST);
                let fresh = now - since + self.pause < FRESH_READING;
                let then = if fresh { now } else { now - self.terms.seen_after - self.pause };
                let uplink = matches!(reading, Measurement::Uplink { .. });
                let l = if uplink { self.rack(i) } else { self.link(i) };
                self.ledger.read(l, asked, then, TRUST_READING);
                if fresh {
                    self.ledger.alone_at[l] = then;
                }
                blend(&mut self.common[usize::from(uplink)], asked, MEMORY);
                if !uplink && !fresh {
                    self.noted(now, i);
                }
            }
            Measurement::Delivered { node, share } => self.delivered(now, node, share),
        }
    }

    fn probed(&mut self, now: f64, node: NodeId, outcome: SetupOutcome, load: &LoadReport) {
        let Some(&i) = self.nodes.index.get(&node) else { return };
        let tells = if outcome == SetupOutcome::Served { Self::heard } else { Self::failed };
        tells(self, now, i);
        self.load_read(now, i, load);
    }

    /// Short delivery: of the link where the link's own figure explains it, else of the rack's uplink.
    fn delivered(&mut self, now: f64, node: NodeId, share: f64) {
        let share = share.max(1.0 / FULLEST);
        let Some(&i) = self.nodes.index.get(&node) else { return };
        let (l, r, then) = (self.link(i), self.rack(i), now - self.terms.seen_after - self.pause);
        let short = share < SHORT;
        if short && self.nodes.delivered[i] >= SHORT {
            self.nodes.shortages[i] += 1.0;
        }
        (self.nodes.delivered[i], self.nodes.delivered_at[i]) = (share, now);
        self.nodes.missing[i] += (1.0 - share).max(0.0);
        if !short {
            return;
        }
        let wait = self.rise_wait();
        self.nodes.rise_at[i] = now + wait;
        let full = self.asked(l) / self.ledger.size[l];
        if then < self.ledger.eased_at[l].max(self.ledger.eased_at[r]) + SETTLE {
            return;
        }
        if self.terms.uplinks_told {
            let uplink = self.asked(r) / self.ledger.size[r];
            let worst = if uplink > full { r } else { l };
            if full.max(uplink) * share < 1.0 {
                self.ledger.read(worst, 1.0 / share, then, TRUST_REPORT);
            }
        } else if !self.rack_short(now, r) {
            self.ledger.read(l, 1.0 / share, then, TRUST_REPORT);
        } else {
            // The uplink gives this share of what its nodes ask.
            let size = self.asked(r) * share;
            if size < self.ledger.size[r] {
                self.ledger.resize(r, size, SIZE_RANGE);
                self.ledger.read_at[r] = then;
            }
        }
    }

    /// Whether a rack's nodes fall short together, as far as we see them and though their links were read of
    /// late and are not full: one alone, or one whose link may explain it, is no sign of its uplink.
    fn rack_short(&self, now: f64, r: usize) -> bool {
        let ours = self.nodes.by_rack[r].iter().copied().filter(|&i| self.holds(i));
        let (short, all) = ours.fold((0, 0), |(short, all), i| {
            let (l, share) = (self.link(i), self.nodes.delivered[i]);
            let recent = now - self.ledger.read_at[l] < RISE_READING;
            let unexplained = self.asked(l) / self.ledger.size[l] * share < FILL;
            (short + i32::from(share < SHORT && recent && unexplained), all + 1)
        });
        short >= 2 && short * 2 > all
    }

    /// A periodic note of a node came in.
    fn noted(&mut self, now: f64, i: usize) {
        let n = &mut self.nodes;
        let gap = now - n.noted_at[i];
        if gap > GAP_SPREAD && self.pause < BEAT {
            track(&mut n.gap_mean[i], &mut n.gap_dev[i], gap, MEMORY);
        }
        n.noted_at[i] = now;
        self.fleet_noted = self.fleet_noted.max(now);
        self.heard(now, i);
    }

    fn heard(&mut self, now: f64, i: usize) {
        let warm_within = self.terms.warm_within;
        let n = &mut self.nodes;
        n.strikes[i] = 0;
        n.heard_at[i] = now;
        n.barred_until[i] = n.barred_until[i].min(now);
        n.noted_at[i] = n.noted_at[i].max(now);
        if n.cold_since[i] == f64::INFINITY && n.cold_until[i] == f64::INFINITY {
            // First word after a failure: it may have started just now.
            n.cold_since[i] = now;
            n.cold_until[i] = now + warm_within;
        }
    }

    /// A node failed us: bar it for a growing while; once back it may be cold without a word from the list.
    fn failed(&mut self, now: f64, i: usize) {
        let n = &mut self.nodes;
        if now >= n.barred_until[i] {
            n.barred_until[i] = now + backoff(BAR.0, n.strikes[i]);
            n.strikes[i] += 1;
        }
        n.cold_since[i] = f64::INFINITY;
        n.cold_until[i] = f64::INFINITY;
    }

    /// Whether a node with sessions of ours is silent for unusually long, judged by its own note gaps. Time
    /// in which the whole fleet is silent does not count: then the notes are late, not the nodes.
    fn silent(&self, now: f64, i: usize) -> bool {
        let n = &self.nodes;
        if self.terms.told_every == 0.0 {
            return false;
        }
        let silence = now.min(self.fleet_noted + BEAT_SPREAD) - n.noted_at[i];
        silence > n.gap_mean[i] + UNUSUAL * n.gap_dev[i].max(GAP_SPREAD)
    }

    /// Bars each silent node but for a trial SETUP now and then, whose answer clears it. Where more than half
    /// of the nodes fall silent the notes stay out, so none is barred: never blind for want of notes.
    fn watch(&mut self, now: f64, held: &[usize]) {
        let silent: Vec<usize> = held.iter().copied().filter(|&i| self.silent(now, i)).collect();
        let unusual = silent.len() * 2 <= held.len();
        for i in silent {
            if unusual && self.nodes.cold_until[i] < f64::INFINITY {
                self.failed(now, i);
            }
        }
    }

    fn take(&mut self, now: f64, ask: &NewSession, orders: &mut impl Orders) {
        self.taken.push_back(now);
        let group = &self.terms.groups[ask.group.0 as usize];
        let sess = Sess::new(ask, now, group.floor, group.start_target);
        self.sess.insert(ask.sess, sess);
        self.place(now, ask.sess, orders);
    }

    fn plays(&mut self, now: f64, p: &Playing) {
        let Some(s) = self.sess.get_mut(&p.sess).filter(|s| s.stage == Stage::Out) else { return };
        s.stage = Stage::Playing { since: now };
        s.changed_at = f64::NEG_INFINITY;
        let i = s.node;
        if self.pause < BEAT {
            track(&mut self.setup_mean, &mut self.setup_dev, p.took, MEMORY);
        }
        let starts = &mut self.nodes.starts[i];
        *starts = (starts.0 + p.took, starts.1 + 1.0);
        if self.nodes.streams[i] <= 1.0 || self.nodes.noted_at[i] == f64::INFINITY {
            self.nodes.noted_at[i] = now + self.terms.seen_after;
            // Nobody else acts on what we read at a set-up, so the first wait is short.
            self.nodes.rise_at[i] = now + self.rng.f64() * RISE_WAIT.0;
        }
        self.nodes.turned_away[i] = 0;
        self.heard(now, i);
    }

    /// How a SETUP or session ended; the session, if an answer is still owed.
    fn ended(&mut self, now: f64, e: &Ended, orders: &mut impl Orders) -> Option<SessId> {
        let known = self.nodes.index.get(&e.node).copied();
        if let Some(i) = known {
            match e.outcome {
                SetupOutcome::Served => self.heard(now, i),
                SetupOutcome::Failed | SetupOutcome::BusyReplied => {
                    // It lives but turns SETUPs away: left alone for longer each time until one plays again,
                    // for a node that fails fast looks empty and would draw every session.
                    self.heard(now, i);
                    let (n, error) = (&mut self.nodes, e.outcome == SetupOutcome::Failed);
                    let times = n.turned_away[i] - i32::from(error);
                    // A request that no node can use errs at each and would have all of them shunned: an
                    // error counts against a node from the second in a row, and only at its request's first
                    // SETUP. Harm: a node that fails all costs a SETUP more.
                    let first_error = self.sess.get(&e.sess).is_none_or(|s| s.tried.is_empty());
                    if !error || (first_error && times >= 0) {
                        let first = if error { BAR.0 } else { BAR_FULL };
                        n.shunned_until[i] = now + backoff(first, times);
                    }
                    n.turned_away[i] += i32::from(!error || first_error);
                }
                SetupOutcome::ConnectionLost => {
                    // Its process died, so what the others had there is gone too.
                    self.failed(now, i);
                    self.emptied(now, i);
                }
                SetupOutcome::Unreachable => self.failed(now, i),
                SetupOutcome::TimedOut => {
                    // A node that spoke since the SETUP was sent is not silent: only this answer was lost or
                    // late. Harm: one too slow for its set-ups, but not for its notes, gets more of them.
                    let sent = self.sess.get(&e.sess).map_or(now, |s| s.changed_at);
                    if self.nodes.heard_at[i] <= sent {
                        self.failed(now, i);
                        self.withdraw_all(i, e.sess, orders);
                    }
                }
                SetupOutcome::Withdrawn | SetupOutcome::NeverSent => {}
            }
            self.load_read(now, i, &e.load);
        }
        let s = self.sess.get(&e.sess)?;
        if s.stage == Stage::Owed {
            return None;
        }
        if let (Stage::Playing { since }, SetupOutcome::Served) = (s.stage, e.outcome)
            && since > f64::NEG_INFINITY
        {
            // What has been is the best guess of what a session still has before it.
            blend(&mut self.life, now - since, MEMORY);
        }
        self.release(now, e.sess);
        let s = self.sess.get_mut(&e.sess)?;
        if e.closed || s.left || s.stage != Stage::Out {
            self.sess.remove(&e.sess);
            return None;
        }
        s.stage = Stage::Owed;
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

    /// One SETUP there found no answer, so the others out there are called off to try elsewhere sooner.
    fn withdraw_all(&mut self, i: usize, but: SessId, orders: &mut impl Orders) {
        let f = &self.terms;
        let others = self.sess.iter().filter(|(id, s)| **id != but && s.stage == Stage::Out && s.node == i);
        for (&id, s) in others.filter(|(_, s)| f.may_withdraw && s.setups < f.max_setups) {
            if f.groups[s.ask.group.0 as usize].repeat == Repeat::Freely {
                orders.withdraw(id, s.setups as u8 - 1);
            }
        }
    }

    fn departs(&mut self, sess: SessId, orders: &mut impl Orders) {
        let Some(s) = self.sess.get_mut(&sess) else { return };
        if s.stage == Stage::Owed {
            self.sess.remove(&sess);
        } else {
            s.left = true;
            if s.stage == Stage::Out && self.terms.may_withdraw {
                orders.withdraw(sess, s.setups as u8 - 1);
            }
        }
    }

    /// Whether another SETUP beyond a session's first fits the budget, a beat's doubt on the safe side.
    fn further_fits(&self, now: f64) -> bool {
        let Some(budget) = self.terms.further else { return true };
        let taken = self.taken.iter().filter(|&&t| t > now - budget.span + BEAT).count() as f64;
        let further = self.further.iter().filter(|&&t| t >= now - budget.span - BEAT).count() as f64;
        further + 1.0 <= budget.free + budget.per_taken * taken
    }

    /// Whether a node that may be cold takes a SETUP of ours now. All directors share a clock and know how
    /// many they are, so each has slots of its own and no window can hold more than its budget. Under want of
    /// news alone, as after our own start, a gap that grows with the directors is enough: a SETUP each when
    /// many restart together, as few of their sessions meet at one node that also just started.
    fn cold_takes(&self, now: f64, i: usize) -> bool {
        let (f, last) = (&self.terms, self.nodes.cold_sent[i]);
        let budget = COLD_USE * f.cold_budget * self.nodes.places[i] * self.warmth(now, i);
        if self.doubted(i) {
            return now - last >= (f.directors - 1.0).max(2.0) * f.fall_window / budget.max(1e-3);
        }
        // Slots get shorter while the node warms. Where few SETUPs fit a window, one more at such a change
        // could push it over: so slots only halve, and one at most lies across a change, by the budget of a
        // window ago. One SETUP for each slot, one for the window's edge and one for the change must fit.
        let before = budget * self.warmth(now - f.fall_window, i) / self.warmth(now, i).max(1e-9);
        let slots = (before - 1.0).min(before / COLD_USE - 2.0).max(0.5).log2().floor().exp2();
        let few = slots < 1.0;
        let slot = (f.fall_window / slots).max(1e-3);
        let turn = (now / slot).floor();
        let mine = turn.rem_euclid(f.directors) == f.me as f64 && (!few || now / slot - turn < COLD_OPEN);
        mine && (last / slot).floor() != turn
    }

    /// Whether our part of what nodes in doubt bear allows another SETUP to any of them. Against a fleet that
    /// restarts into a crowd, on nodes that started with it: each takes the others to be as loaded as itself.
    /// A part of a window is ours at once, the rest comes with time, and fractions of a SETUP go round the
    /// fleet by our number. Harm: while sessions come back by the crowd after a restart of ours alone, some
    /// are refused for a second or two.
    fn doubt_allows(&self, now: f64) -> bool {
        let (n, f) = (&self.nodes, &self.terms);
        let bear = |&i: &usize| f.cold_budget * n.places[i] * self.warmth(now, i);
        let all: f64 = n.listed.iter().filter(|&&i| self.doubted(i)).map(bear).sum();
        let windows = 1.0 - COLD_USE + COLD_USE * (now - self.started) / f.fall_window.max(1e-3);
        let phase = (f.me as f64 + 0.5) / f.directors;
        // Where no pace is stated there is none to share.
        f.cold_budget == 0.0 || all / f.directors * windows >= self.doubt_sent + phase
    }

    /// Nodes that may take this session now.
    fn holders(&self, now: f64, s: &Sess) -> Vec<usize> {
        let (n, f) = (&self.nodes, &self.terms);
        let group = &f.groups[s.ask.group.0 as usize];
        let doubts = self.doubt_allows(now);
        let fits = |&i: &usize| {
            let off = (n.cell[i] % f.cells + f.cells - s.ask.first_cell % f.cells) % f.cells;
            let reach = match (s.maybe_ran, group.repeat) {
                (Some((zone, cell, _)), Repeat::Within(reach)) => {
                    reach.joins((zone, cell), (n.zone[i], n.cell[i]))
                }
                _ => true,
            };
            off < s.ask.cells
                && n.phase[i] == Phase::Ready
                && now >= n.barred_until[i].max(n.shunned_until[i])
                && !s.tried.contains(&n.id[i])
                && n.streams[i] + n.other_streams[i] + 1.0 <= n.places[i]
                && (now >= n.cold_until[i] || self.cold_takes(now, i) && (doubts || !self.doubted(i)))
                && reach
        };
        self.nodes.listed.iter().copied().filter(fits).collect()
    }

    /// Places a session that is owed an answer, or gives it up at once.
    fn place(&mut self, now: f64, sess: SessId, orders: &mut impl Orders) {
        let Some(s) = self.sess.get(&sess).filter(|s| s.stage == Stage::Owed) else { return };
        let (setups, left) = (s.setups, s.deadline - now);
        let (title, g) = (s.ask.title, s.ask.group.0);
        let group = &self.terms.groups[g as usize];
        let repeat_ok = match (s.maybe_ran, group.repeat) {
            (None, _) | (_, Repeat::Freely) => true,
            (_, Repeat::Never) => false,
            (Some((_, _, sent)), Repeat::Within(_)) => now - sent < group.repeat_window - BEAT,
        };
        let seats_ok = group.seats == 0 || self.seats.get(&(title, g)).copied().unwrap_or(0) < group.seats;
        let time_ok = setups == 0 || left > BEAT;
        let may = repeat_ok && seats_ok && time_ok && setups < self.terms.max_setups;
        let found =
            if may && (setups == 0 || self.further_fits(now)) { self.choose(now, sess) } else { None };
        let Some((i, rung, plan)) = found else { return self.give_up(sess, orders) };
        for (other, lower) in plan {
            self.set_rung(now, other, lower, orders);
        }
        self.nodes.cold_sent[i] = now;
        if now < self.nodes.cold_until[i] && self.doubted(i) {
            self.doubt_sent += 1.0;
        }
        if setups > 0 {
            self.further.push_back(now);
        }
        let more = setups + 1 < self.terms.max_setups;
        let late = self.setup_mean + SETUP_LATE * self.setup_dev;
        let s = self.sess.get_mut(&sess).expect("held since the start of this call");
        // Before the start target a part of the time left to it, then half of what the viewer still waits.
        let part = if now < s.target { SETUP_WAIT_PART * (s.target - now) } else { left / 2.0 };
        let wait = late.min(part).max(SETUP_TIME);
        s.node = i;
        s.rung = rung;
        s.stage = Stage::Out;
        s.setups += 1;
        s.changed_at = now;
        let id = self.nodes.id[i];
        self.hold(now, sess);
        orders.set_rung(sess, rung);
        orders.send_setup(sess, id, (more && wait < left).then_some(wait));
    }

    /// The final answer when no SETUP can be sent: busy where allowed, so that the viewer may come back.
    fn give_up(&mut self, sess: SessId, orders: &mut impl Orders) {
        let Some(s) = self.sess.remove(&sess) else { return };
        let repeat = self.terms.groups[s.ask.group.0 as usize].repeat;
        if s.maybe_ran.is_none() || matches!(repeat, Repeat::Freely | Repeat::Within(Reach::Anywhere)) {
            orders.reply_busy(sess, self.terms.come_back);
        } else {
            orders.reply_failed(sess);
        }
    }

    /// The node and rung for a session, with the step-downs that make room: drawn by shares among the holders
    /// with room for the highest rung that any of them has room for.
    fn choose(&mut self, now: f64, sess: SessId) -> Option<(usize, u8, Steps)> {
        let s = &self.sess[&sess];
        let group = &self.terms.groups[s.ask.group.0 as usize];
        let best = s.ask.best_rung.min(group.top);
        if best < group.floor {
            return None;
        }
        let fits = |i: usize| {
            let (link, uplink) = self.room(now, i, self.fill());
            let room = link.min(uplink);
            let adds = |r: u8| {
                // Beside a viewer of the same title there only a part of the rate comes on top.
                let part = if self.joins(i, &s.ask, r) { group.join } else { 1.0 };
                part * group.kb[r as usize] * (1.0 + RATE_SPREAD)
            };
            let rung = (group.floor..=best).rev().find(|&r| adds(r) <= room);
            // A guess is no ground for a busy reply.
            let blind = self.ledger.read_at[self.link(i)] < now - RISE_READING;
            rung.map_or(if blind { group.floor.into() } else { -1 }, i16::from)
        };
        let holders = self.holders(now, s);
        let mut offers: Vec<_> = holders.iter().map(|&i| (i, fits(i), Vec::new())).collect();
        if offers.iter().all(|o| o.1 < best.into()) {
            // None has room for the best rung: see what room there is in steps that earn less.
            for offer in &mut offers {
                let (rung, plan) = self.squeeze(now, offer.0, s, offer.1, best);
                (offer.1, offer.2) = (rung, plan);
            }
        }
        let wanted = offers.iter().map(|o| o.1).max().filter(|&r| r >= 0)?;
        offers.retain(|o| o.1 == wanted);
        if self.terms.near_first && offers.iter().any(|o| self.nodes.zone[o.0] == self.terms.zone) {
            offers.retain(|o| self.nodes.zone[o.0] == self.terms.zone);
        }
        if group.join < 1.0 {
            // Viewers of a live title share its stream where they meet: all directors draw by the title's and
            // the nodes' ids in place of chance, each node by its share, and so mostly the same node. Harm: a
            // title's viewers end together where that node dies.
            let title = s.ask.title.0;
            let far = |i: usize| {
                let id = u64::from(self.nodes.id[i].0);
                -Rng::with_seed(title ^ id.rotate_left(32)).f64().ln() / self.nodes.share[i].max(1e-9)
            };
            return offers
                .into_iter()
                .min_by(|a, b| far(a.0).total_cmp(&far(b.0)))
                .map(|(i, rung, plan)| (i, rung as u8, plan));
        }
        let sum: f64 = offers.iter().map(|o| self.nodes.share[o.0]).sum();
        let mut draw = self.rng.f64() * sum;
        let last = offers.len() - 1;
        for (k, (i, rung, plan)) in offers.into_iter().enumerate() {
            draw -= self.nodes.share[i];
            if draw < 0.0 || k == last {
                return Some((i, rung as u8, plan));
            }
        }
        None
    }

    /// The rung that a new session could have at node `i` if steps of our own sessions that earn clearly less
    /// for each kB gave way.
    fn squeeze(&self, now: f64, i: usize, s: &Sess, from: i16, best: u8) -> (i16, Steps) {
        let group = &self.terms.groups[s.ask.group.0 as usize];
        let (link, uplink) = self.room(now, i, self.fill());
        let (mut reached, mut plan) = (from, Vec::new());
        for next in (from + 1).max(group.floor.into())..=best.into() {
            let next = next as usize;
            let below = if reached < 0 { (0.0, 0.0) } else { (group.earns[next - 1], group.kb[next - 1]) };
            let density = (group.earns[next] - below.0) / (group.kb[next] - below.1).max(1e-9);
            let kb = group.kb[next] * (1.0 + RATE_SPREAD);
            let on_link = kb > link;
            let need = kb - link.min(uplink);
            let at = |o: usize| if on_link { o == i } else { self.rack(o) == self.rack(i) };
            let most = density / SQUEEZE_GAIN;
            let (steps, freed) =
                self.walk(|s| at(s.node), false, |freed, _, loss| freed < need && loss <= most);
            if freed < need {
                break;
            }
            (reached, plan) = (next as i16, steps);
        }
        (reached, plan)
    }

    /// Steps our playing sessions that `of` names up, where that earns most for each kB, or down, where it
    /// costs least, while `allows` finds a step good: by the kB moved so far, the step's and its density.
    fn walk(
        &self, of: impl Fn(&Sess) -> bool, up: bool, allows: impl Fn(f64, f64, f64) -> bool,
    ) -> (Steps, f64) {
        let mut rungs: Vec<(&Sess, u8)> =
            self.sess.values().filter(|s| s.plays() && of(s)).map(|s| (s, s.rung)).collect();
        let mut moved = 0.0;
        loop {
            let step = rungs.iter().enumerate().filter_map(|(k, &(s, rung))| {
                let group = &self.terms.groups[s.ask.group.0 as usize];
                let low = if up { rung } else { rung.checked_sub(1)? };
                if low + 1 > s.ask.best_rung.min(group.top) || low < group.floor {
                    return None;
                }
                // A session that moves already pays for its change only once.
                let switch = if rung == s.rung { group.switch / self.life } else { 0.0 };
                let (kb, density) = group.step(low, if up { -switch } else { switch });
                allows(moved, kb, density).then_some((k, if up { -density } else { density }, kb))
            });
            let Some((k, _, kb)) = step.min_by(|a, b| a.1.total_cmp(&b.1)) else { break };
            rungs[k].1 = if up { rungs[k].1 + 1 } else { rungs[k].1 - 1 };
            moved += kb;
        }
        (rungs.into_iter().filter(|(s, r)| *r != s.rung).map(|(s, r)| (s.ask.sess, r)).collect(), moved)
    }

    fn set_rung(&mut self, now: f64, sess: SessId, rung: u8, orders: &mut impl Orders) {
        self.recount(now, sess, rung);
        if let Some(s) = self.sess.get_mut(&sess) {
            s.changed_at = now;
            orders.set_rung(sess, rung);
        }
    }

    fn beat(&mut self, now: f64, orders: &mut impl Orders) {
        if self.terms.ask_list && now >= self.ask_at {
            orders.subscribe(true);
            self.ask_at = f64::INFINITY;
        }
        self.fade(now);
        let held = self.held();
        self.held_links(&held).into_iter().for_each(|l| self.relieve(now, l, orders));
        self.watch(now, &held);
        held.iter().for_each(|&i| self.rise(now, i, orders));
        if now >= self.next_step {
            self.next_step = now + STEP;
            self.step();
        }
        let span = self.terms.further.map_or(0.0, |budget| budget.span) + 2.0 * BEAT;
        self.taken.retain(|&t| t > now - span);
        self.further.retain(|&t| t > now - span);
        self.forget_gone();
    }

    /// Lets what was last heard fade where no news comes. A last bad word must not hold on: without sessions
    /// there no other comes, so it would lock us out for good. A last good one must not invite more either.
    fn fade(&mut self, now: f64) {
        let racks = self.terms.racks;
        let listed = self.nodes.listed.clone();
        // All who hear a reading act on it: the more they are, the sooner and, to a limit, faster it drifts.
        let many = (self.terms.directors / ALIKE).max(1.0);
        // Each uplink, then each listed link, and whether its node just started.
        let nodes = listed.iter().map(|&i| (self.link(i), now < self.nodes.cold_until[i]));
        let links: Vec<(usize, bool)> = (0..racks).map(|r| (r, false)).chain(nodes).collect();
        for (l, started) in links {
            let (size, age) = (self.ledger.size[l], now - self.ledger.read_at[l]);
            if l < racks && !self.terms.uplinks_told {
                // Not while any of its nodes falls short: it would be tried again in the midst of the sag.
                if self.nodes.by_rack[l].iter().any(|&i| self.nodes.delivered[i] < SHORT) {
                    continue;
                }
                let most = self.ledger.listed[l] * SIZE_RANGE.1;
                self.ledger.size[l] = (size * (1.0 + UPLINK_REGROW * BEAT)).min(most);
            } else if age > RISE_READING / many && age < f64::INFINITY || started {
                // At once where a node just started: all directors hear of it and fill it.
                let common = (self.common(l) * size - self.ledger.own[l]).max(0.0);
                blend(&mut self.ledger.others[l], common, many.min(FASTER) * BEAT / DRIFT);
            }
        }
        for i in listed {
            if now - self.nodes.delivered_at[i] > SHORT_HOLDS {
                self.nodes.delivered[i] = 1.0;
            }
            // Reports come with endings of ours only; the others' sessions end unseen all the same.
            blend(&mut self.nodes.other_streams[i], 0.0, BEAT / (2.0 * DRIFT));
        }
    }

    /// Steps down our part of what a link is over. Each director hears the same, so each takes its own share.
    fn relieve(&mut self, now: f64, l: usize, orders: &mut impl Orders) {
        let asked = self.asked(l);
        let racks = self.terms.racks;
        // Few directors can squeeze their own sessions instead.
        let full = asked / self.ledger.size[l];
        let from = RELIEF.0 - (RELIEF.0 - YIELD) * (1.0 - PAIR / self.terms.directors).max(0.0).powi(FADES);
        if full <= from || self.ledger.own[l] <= 0.0 {
            return;
        }
        // Only on news; for an uplink, which all share, on such that shows what the others did about it.
        let heard = if l < racks { self.terms.seen_after } else { 0.0 };
        if self.ledger.read_at[l] <= self.ledger.eased_at[l] + heard {
            return;
        }
        let chance = self.rng.f64();
        let (target, most, drawn) = if full > RELIEF.0 {
            (RELIEF.1, f64::INFINITY, DRAWN)
        } else {
            (from, (full - from) / (RELIEF.0 - from) * self.terms.first_earns, 1.0)
        };
        let need = self.ledger.own[l] * (full - target) / full;
        let at = |i: usize| {
            if l < racks { self.rack(i) == l } else { self.link(i) == l }
        };
        // A first step far larger than the need is drawn: many directors hold little there each, and all that
        // rounding up would clear the link. More than the need is drawn for: shortage costs more than slack.
        let (plan, _) = self.walk(
            |s| at(s.node),
            false,
            |freed, kb, loss| {
                loss <= most && if freed == 0.0 { chance * kb < drawn * need } else { freed < need }
            },
        );
        self.ledger.eased_at[l] = now;
        for (sess, rung) in plan {
            let i = self.sess[&sess].node;
            let wait = self.rise_wait();
            self.nodes.rise_at[i] = now + wait;
            self.set_rung(now, sess, rung, orders);
        }
    }

    fn rise_wait(&mut self) -> f64 {
        let (least, most) = RISE_WAIT;
        least + self.rng.f64() * (most - least)
    }

    /// What of the room left on a link is ours to use until news shows what the others did with theirs: all
    /// who hold sessions there hear of the same room, each uses the part that its load is of all.
    fn our_part(&self, l: usize, room: f64) -> f64 {
        // But a reading at a set-up comes to us alone.
        let alone = self.ledger.alone_at[l] == self.ledger.read_at[l];
        let part = (self.ledger.own[l] / self.asked(l).max(1e-9)).clamp(if alone { ALONE } else { 0.0 }, 1.0);
        (room + self.ledger.spent[l]) * part - self.ledger.spent[l]
    }

    /// After a random quiet wait, our sessions at a node rise where that earns most, into our part of the
    /// room; a step larger than that is drawn, by the part of it that is ours, so that all directors together
    /// use the room. On an old reading only where none are ever told.
    fn rise(&mut self, now: f64, i: usize, orders: &mut impl Orders) {
        let (l, r) = (self.link(i), self.rack(i));
        let stale = now - self.ledger.read_at[l] > RISE_READING && self.terms.told_every > 0.0;
        if now < self.nodes.rise_at[i] || self.nodes.delivered[i] < SHORT || stale {
            return;
        }
        self.nodes.rise_at[i] = now + self.rise_wait();
        let (link, uplink) = self.room(now, i, RISE_FILL);
        let (whole, ours) = (link.min(uplink), self.our_part(l, link).min(self.our_part(r, uplink)));
        if ours <= 0.0 {
            return;
        }
        let (chance, drawn) = (self.rng.f64(), Cell::new(false));
        let of = |s: &Sess| s.node == i && now - s.changed_at > RISE_GAP;
        let (rises, kb) = self.walk(of, true, |used, kb, gain| {
            drawn.set(drawn.get() || gain > 0.0);
            let fits = |kb: f64, room: f64| (used + kb) * (1.0 + RATE_SPREAD) <= room;
            gain > 0.0 && fits(kb, whole) && fits(chance * kb, ours)
        });
        for (sess, rung) in rises {
            self.set_rung(now, sess, rung, orders);
        }
        // A lost draw uses the part up too.
        let used = if kb > 0.0 { kb * (1.0 + RATE_SPREAD) } else { whole };
        if drawn.get() {
            for l in [l, r] {
                (self.ledger.spent[l], self.ledger.rose_at[l]) = (self.ledger.spent[l] + used, now);
            }
        }
    }

    /// A step of the shares: learn from the last, then keep or raise one node at the worst one's cost.
    fn step(&mut self) {
        let listed = self.nodes.listed.clone();
        let mut payoff = 0.0;
        for &i in &listed {
            let l = self.link(i);
            let load = self.asked(l) / self.ledger.size[l].max(1e-9);
            let n = &mut self.nodes;
            let (sum, count) = n.starts[i];
            let watched = (n.streams[i] * STEP).max(STEP);
            // Start-up time, stall ratio and stalls per 100 s, weights 1 each.
            let pain = sum / count.max(1.0) + n.missing[i] / STEP + n.shortages[i] * 100.0 / watched;
            payoff -= pain / listed.len() as f64;
            n.remember(i, load, pain, PAST);
        }
        self.actor.learn(payoff);
        let pain = |i: usize| self.nodes.past_pain[i].back().copied().unwrap_or(0.0);
        let over_floor = |me: &Self, i: usize| me.nodes.share[i] - SHARES.0 * me.base_share(i);
        let mut ranked = listed.clone();
        ranked.sort_by(|&a, &b| pain(b).total_cmp(&pain(a)).then(self.nodes.id[a].cmp(&self.nodes.id[b])));
        let worst = ranked.into_iter().find(|&i| over_floor(self, i) > 1e-9);
        let raises = if self.actor.settled() { &RAISES[..] } else { &RAISES[..1] };
        let choices: Vec<(usize, f64)> =
            listed.iter().flat_map(|&i| raises.iter().map(move |&a| (i, a))).collect();
        let mean = |past: &VecDeque<f64>| past.iter().sum::<f64>() / past.len().max(1) as f64;
        let features = |&(i, by): &(usize, f64)| {
            let (loads, pains) = (&self.nodes.past_load[i], &self.nodes.past_pain[i]);
            let last = |past: &VecDeque<f64>| past.back().copied().unwrap_or(0.0);
            [last(loads), mean(loads), last(pains), mean(pains)].map(|v| v.min(2.0) * by / RAISES[2])
        };
        let rows: Vec<_> = choices.iter().map(features).collect();
        let picked = self.actor.pick(&rows, &mut self.rng);
        let (Some(&(to, by)), Some(from)) = (picked.and_then(|k| choices.get(k)), worst) else { return };
        if to == from {
            return;
        }
        let cap = SHARES.1 * self.base_share(to) - self.nodes.share[to];
        let by = (by * 3.0 / FEW.min(listed.len() as f64)).min(over_floor(self, from)).min(cap).max(0.0);
        self.nodes.share[to] += by;
        self.nodes.share[from] -= by;
    }
}

impl Actor {
    fn settled(&self) -> bool {
        self.steps >= PAST && self.surprise < SETTLED
    }

    /// Nudges the weights along the last choice by how much better than usual it went.
    fn learn(&mut self, payoff: f64) {
        if self.steps == 0 {
            self.payoff_mean = payoff;
        }
        let better = (payoff - self.payoff_mean).clamp(-1.0, 1.0);
        for (w, n) in self.weights.iter_mut().zip(self.nudge) {
            *w += LEARN_RATE * better * n;
        }
        blend(&mut self.payoff_mean, payoff, MEMORY);
        blend(&mut self.surprise, better.abs(), MEMORY);
        self.steps += 1;
    }

    /// Draws a raise by softmax; `None` keeps, whose features are all 0.
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
            self.nudge[k] = picked.map_or(0.0, |p| rows[p][k]) - expected;
        }
        picked
    }
}
