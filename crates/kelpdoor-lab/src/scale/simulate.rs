//! The very cores of voters and directors' sides in virtual time, at any size: words late, clocks that run apart, a disk
//! behind each voter, operators that propose; a region cut off, if so planned. No faults else.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Instant;

use fastrand::Rng;
use kelpdoor_agreement::{
    ClientRequest, DurableState, Output, Value, Voter, VoterId, VoterMessage, VoterResponse,
};

use super::follower::{self, FIRST_LINE, Follower, VersionTracker};

/// s; a word between two sites takes from the first to the second, drawn for each.
const LATE: (f64, f64) = (0.002, 0.022);
/// s; a voter's write takes from the first to the second: a file synced and renamed on a disk of a server.
const WRITE: (f64, f64) = (0.002, 0.008);
/// Of a clock's rate; two run apart by this at most.
const APART: f64 = 0.005;
/// Directors whose bytes are counted, by writing each word as on the wire.
const COUNTED: usize = 16;
/// Times that an operator proposes one change; then it is given up.
const TRIES: u32 = 60;
/// s; an operator whom no voter takes a proposal from waits so long, and up to twice that.
const OPERATOR: f64 = 0.05;
/// Leases after its start when the measuring begins: all have a first version, and act on it.
const SETTLE: f64 = 6.0;
/// s; between two looks at a director at least.
const SOON: f64 = 1e-5;
/// Answers that refuse are told apart by their words, so many kinds at most.
const KINDS: usize = 8;
/// Numbers of operators among those who ask voters.
const OPERATORS: u64 = 1 << 32;
/// Events between two looks at the time that is left.
const LOOK: u64 = 1 << 14;
/// What waits at most; a run of 5,800 directors has some 20,000.
const WAITING: usize = 4_000_000;

/// What is simulated.
#[derive(Clone, Debug, Default)]
pub struct SimulationPlan {
    pub seed: u64,
    pub directors: usize,
    pub voters: usize,
    /// s
    pub contradiction: f64,
    /// Changes a second, at random times.
    pub rate: f64,
    /// s measured.
    pub span: f64,
    /// Bytes of a document, about.
    pub document: usize,
    /// Instead of changes at a rate: so many as fast as one operator has them decided.
    pub burst: u32,
    /// Each voter and each director is in one of as many regions as there are voters; the first is cut off for the span.
    pub cut: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Part of the span in which each director might begin sessions.
    pub begin_fractions: Vec<f64>,
    /// And each of the region that was cut off.
    pub cut_begin_fractions: Vec<f64>,
    /// s from a proposal until all know it, and until it is in force everywhere, sorted.
    pub known_delays: Vec<f64>,
    pub in_force_delays: Vec<f64>,
    /// Proposed in the span and decided, and not in force everywhere by the end.
    pub not_in_force: usize,
    /// Proposals, those that another came before, those that no voter took at that moment, and changes given up.
    pub proposals: u64,
    pub proposals_lost: u64,
    pub proposals_not_taken: u64,
    pub given_up: u64,
    /// The last answer to one that was given up, on processes.
    pub why_given_up: String,
    /// s from a first proposal until its operator was told of the end, sorted.
    pub decision_times: Vec<f64>,
    /// B and words a second and director, both ways, in the span.
    pub bytes: f64,
    pub messages: f64,
    /// Of that, B a second and director from voters that carried more than a plain answer.
    pub documents: f64,
    /// Questions a second at a voter, in the span.
    pub questions: f64,
    /// Questions refused in the span, by why.
    pub refused: BTreeMap<String, u64>,
    /// s; see [`Board`].
    pub older_alone: f64,
    pub mixed: f64,
    /// After the region is healed: s until each of its directors may begin, sorted, and B each until 10 s after.
    pub recovery_times: Vec<f64>,
    pub healing_bytes: f64,
    /// And B in 10 s of a director that was never cut off.
    pub uncut_bytes: f64,
    /// s of virtual time measured; less than planned if cut short.
    pub measured: f64,
    pub cut_short: bool,
    pub events: u64,
}

impl Outcome {
    /// What became of the versions that were proposed from here to there.
    pub fn versions(&mut self, tracker: &VersionTracker, from: f64, to: f64) {
        for v in tracker.proposed_between(from, to) {
            let Some(proposed) = v.proposed else { continue };
            self.known_delays.extend(v.known_at.map(|at| at - proposed));
            self.in_force_delays.extend(v.force_at.map(|at| at - proposed));
            self.not_in_force += usize::from(v.force_at.is_none());
        }
        (self.older_alone, self.mixed) = (tracker.older_alone, tracker.mixed);
        for all in [&mut self.known_delays, &mut self.in_force_delays, &mut self.decision_times] {
            all.sort_by(f64::total_cmp);
        }
    }
}

#[derive(Debug)]
enum Event {
    Word(usize, VoterId, VoterMessage),
    Asked(usize, u64, ClientRequest),
    Told(usize, usize, VoterResponse),
    Tick(usize),
    /// A director's question is due, or what it may do changes by itself.
    Due(usize),
    /// The next change.
    Change,
    /// An operator proposes, to that voter.
    Propose(u64, usize),
    Outcome(u64, VoterResponse),
}

/// By time, then by number.
#[derive(PartialEq)]
struct Key(f64, u64, usize);

impl Eq for Key {}
impl PartialOrd for Key {
    fn partial_cmp(&self, o: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Key {
    fn cmp(&self, o: &Self) -> std::cmp::Ordering {
        o.0.total_cmp(&self.0).then(o.1.cmp(&self.1))
    }
}

/// An operator with one change.
struct Operator {
    first: f64,
    value: Value,
    after: u64,
    tries: u32,
}

struct Sim {
    plan: SimulationPlan,
    rng: Rng,
    t: f64,
    count: u64,
    keys: BinaryHeap<Key>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    voters: Vec<Voter>,
    /// Until then its loop waits for the disk; and when it looks at its times next.
    busy: Vec<f64>,
    tick_at: Vec<f64>,
    followers: Vec<Follower>,
    due_at: Vec<f64>,
    /// Of voters, then of directors.
    rates: Vec<f64>,
    /// From when until when, the first region from the others.
    cut: (f64, f64),
    span: (f64, f64),
    operators: BTreeMap<u64, Operator>,
    changes: u64,
    left: u32,
    tracker: VersionTracker,
    out: Outcome,
    /// B, words, and B of words with a document, of each director counted.
    counted: BTreeMap<usize, (u64, u64, u64)>,
    counting: (f64, f64),
    asked: u64,
    scratch: Vec<u8>,
    pad: String,
}

/// A text of that size in lines such as documents have; `change` sets what is said in one line of it.
pub fn pad(bytes: usize) -> String {
    let mut text = String::new();
    let mut k = 0;
    while text.len() < bytes {
        text += &format!("title(\"title-{k:05}\", first_cell = {}, cells = 5)\n", k % 60);
        k += 1;
    }
    text
}

impl Sim {
    fn new(plan: &SimulationPlan) -> Self {
        let (v, d) = (plan.voters, plan.directors);
        let mut rng = Rng::with_seed(plan.seed);
        let rates = (0..v + d).map(|_| 1.0 + APART * (rng.f64() - 0.5)).collect();
        let ids: Vec<VoterId> = (0..v as u8).map(VoterId).collect();
        let voter = |k: usize| {
            let durable = DurableState::founded("scale", &ids);
            Voter::new(VoterId(k as u8), durable, FIRST_LINE, plan.seed ^ k as u64, 0.0)
        };
        let lease = kelpdoor_agreement::lease_duration(plan.contradiction);
        let begin = SETTLE * lease.max(1.0);
        let span = (begin, begin + plan.span);
        // Spread evenly, so that each region has its part of them.
        let step = (d / COUNTED.min(d.max(1))).max(1);
        let mut counted: BTreeMap<usize, _> =
            (0..d).step_by(step).take(COUNTED).map(|f| (f, (0, 0, 0))).collect();
        if plan.cut {
            counted = (0..d).map(|f| (f, (0, 0, 0))).collect();
        }
        Sim {
            t: 0.0,
            count: 0,
            keys: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            voters: (0..v).map(voter).collect(),
            busy: vec![0.0; v],
            tick_at: vec![f64::INFINITY; v],
            followers: (0..d)
                .map(|k| follower::follower(&format!("director-{k:04}"), plan.seed + k as u64))
                .collect(),
            due_at: vec![f64::INFINITY; d],
            rates,
            cut: if plan.cut { span } else { (f64::INFINITY, f64::INFINITY) },
            span,
            operators: BTreeMap::new(),
            changes: 0,
            left: plan.burst,
            tracker: VersionTracker::new(d, |f| !plan.cut || f % v != 0),
            out: Outcome::default(),
            counted,
            counting: span,
            asked: 0,
            scratch: Vec::new(),
            pad: pad(plan.document),
            plan: plan.clone(),
            rng,
        }
    }

    fn at(&mut self, t: f64, event: Event) {
        if self.keys.len() >= WAITING {
            // More than any plan of ours comes to: told as cut short.
            self.out.cut_short = true;
            return;
        }
        self.count += 1;
        let place = match self.free.pop() {
            Some(place) => {
                self.events[place] = Some(event);
                place
            }
            None => {
                self.events.push(Some(event));
                self.events.len() - 1
            }
        };
        self.keys.push(Key(t, self.count, place));
    }

    fn local(&self, site: usize) -> f64 {
        self.t * self.rates[site]
    }

    /// Where a site is: voters first, then directors.
    fn region(&self, site: usize) -> usize {
        if site < self.plan.voters { site } else { (site - self.plan.voters) % self.plan.voters }
    }

    fn carry(&mut self, sent: f64, from: usize, to: usize, event: Event) {
        let apart = (self.region(from) == 0) != (self.region(to) == 0);
        let late = LATE.0 + (LATE.1 - LATE.0) * self.rng.f64();
        if !(apart && self.cut.0 <= sent && sent < self.cut.1) {
            self.at(sent + late, event);
        }
    }

    fn text(&self) -> String {
        let head = follower::document_header(self.plan.contradiction, self.plan.voters);
        // The line that changes stands in the middle.
        let half = self.pad[..self.pad.len() / 2].rfind('\n').map_or(0, |n| n + 1);
        let (before, after) = self.pad.split_at(half);
        format!("{head}{before}further(free = 4, per_taken = 0.25, span = {})\n{after}", self.changes)
    }

    /// A word between a director and a voter: its bytes, if they are counted.
    fn count(&mut self, f: usize, word: &impl serde::Serialize, document: bool) {
        if !(self.counting.0 <= self.t && self.t < self.counting.1) {
            return;
        }
        if let Some((bytes, words, documents)) = self.counted.get_mut(&f) {
            self.scratch.clear();
            if serde_json::to_writer(&mut self.scratch, word).is_ok() {
                let n = self.scratch.len() as u64 + 1;
                *bytes += n;
                *words += 1;
                *documents += if document { n } else { 0 };
            }
        }
    }

    fn flush(&mut self, k: usize) {
        let (write, out) = self.voters[k].take_output();
        if write.is_some() {
            self.busy[k] = self.t + WRITE.0 + (WRITE.1 - WRITE.0) * self.rng.f64();
        }
        let sent = self.busy[k].max(self.t);
        for o in out {
            match o {
                Output::Message(to, word) => {
                    let to = usize::from(to.0);
                    self.carry(sent, k, to, Event::Word(to, VoterId(k as u8), word));
                }
                Output::Broadcast(word) => {
                    for to in (0..self.voters.len()).filter(|to| *to != k) {
                        self.carry(sent, k, to, Event::Word(to, VoterId(k as u8), word.clone()));
                    }
                }
                Output::Response(client, tell) if client < OPERATORS => {
                    let f = client as usize;
                    self.carry(sent, k, self.plan.voters + f, Event::Told(f, k, tell));
                }
                Output::Response(client, tell) => {
                    let late = LATE.0 + (LATE.1 - LATE.0) * self.rng.f64();
                    self.at(sent + late, Event::Outcome(client - OPERATORS, tell));
                }
            }
        }
        let next = (self.voters[k].next_timer_at() / self.rates[k]).max(self.t + 0.001);
        if next < self.tick_at[k] || self.tick_at[k] <= self.t {
            self.tick_at[k] = next;
            self.at(next, Event::Tick(k));
        }
    }

    /// Asks what is due, looks, and sees to it that it is looked at again.
    fn work(&mut self, f: usize) {
        let site = self.plan.voters + f;
        let (now, rate) = (self.local(site), self.rates[site]);
        for (voter, ask) in follower::due_requests(&mut self.followers[f], now, self.plan.voters) {
            let k = usize::from(voter.0);
            self.count(f, &ask, false);
            self.asked += u64::from(self.span.0 <= self.t && self.t < self.span.1);
            self.carry(self.t, site, k, Event::Asked(k, f as u64, ask));
        }
        self.tracker.observe(self.t, f, &self.followers[f], now, |local| local / rate);
        let due = self.followers[f].next_request_at().min(self.followers[f].next_change_at(now)) / rate;
        // A moment after it is due, or a sum of times may fall short of it.
        let due = (due + SOON).max(self.t + SOON);
        if due < self.due_at[f] || self.due_at[f] <= self.t {
            self.due_at[f] = due;
            self.at(due, Event::Due(f));
        }
    }

    /// A new change, by an operator of its own.
    fn change(&mut self) {
        self.changes += 1;
        let n = self.changes;
        let value = Value { id: self.rng.u64(..), text: self.text() };
        let k = self.home();
        let after = self.voters[k].durable().newest();
        self.operators.insert(n, Operator { first: self.t, value, after, tries: 0 });
        self.at(self.t, Event::Propose(n, k));
    }

    /// Where operators ask first: of the voters that are not cut off the first on the list.
    fn home(&self) -> usize {
        usize::from(self.plan.cut)
    }

    fn propose(&mut self, n: u64, k: usize) {
        let Some(o) = self.operators.get_mut(&n) else { return };
        o.tries += 1;
        if o.tries > TRIES {
            self.operators.remove(&n);
            self.out.given_up += 1;
            return;
        }
        let ask = ClientRequest::Propose { after: o.after, value: o.value.clone(), sure: false };
        let late = LATE.0 + (LATE.1 - LATE.0) * self.rng.f64();
        self.out.proposals += u64::from(self.t >= self.span.0);
        self.at(self.t + late, Event::Asked(k, OPERATORS + n, ask));
    }

    fn outcome(&mut self, n: u64, tell: VoterResponse) {
        let home = self.home();
        let Some(o) = self.operators.get_mut(&n) else { return };
        match tell {
            VoterResponse::Agreed { number } => {
                let first = o.first;
                self.operators.remove(&n);
                self.tracker.record_agreed(number, first, self.t);
                if first >= self.span.0 {
                    self.out.decision_times.push(self.t - first);
                }
                if self.left > 0 && first >= self.span.0 {
                    self.left -= 1;
                    if self.left > 0 {
                        self.change();
                    }
                }
            }
            VoterResponse::Lost { newest, .. } => {
                // Made anew from what came first, and proposed at once.
                o.after = newest;
                o.value.id = self.rng.u64(..);
                self.out.proposals_lost += u64::from(self.t >= self.span.0);
                self.at(self.t, Event::Propose(n, home));
            }
            VoterResponse::NotTaken { .. } | VoterResponse::Unknown { .. } => {
                // The same at the next voter, as the daemon's own command does; after the last one, after a while.
                let next = (home + o.tries as usize) % self.plan.voters;
                let next = if self.plan.cut && next == 0 { home } else { next };
                self.out.proposals_not_taken += u64::from(self.t >= self.span.0);
                let wait = if next == home { OPERATOR * (1.0 + self.rng.f64()) } else { 0.0 };
                self.at(self.t + wait, Event::Propose(n, next));
            }
            _ => {}
        }
    }

    fn step(&mut self, event: Event) {
        let voter = match &event {
            Event::Word(k, ..) | Event::Asked(k, ..) | Event::Tick(k) => Some(*k),
            _ => None,
        };
        if let Some(k) = voter.filter(|k| self.busy[*k] > self.t) {
            return self.at(self.busy[k], event);
        }
        match event {
            Event::Word(k, from, word) => {
                let now = self.local(k);
                self.voters[k].handle_message(now, from, word);
                self.flush(k);
            }
            Event::Asked(k, client, ask) => {
                let now = self.local(k);
                self.voters[k].handle_request(now, client, ask);
                self.flush(k);
            }
            Event::Tick(k) => {
                let now = self.local(k);
                self.voters[k].tick(now);
                self.tick_at[k] = f64::INFINITY;
                self.flush(k);
            }
            Event::Told(f, k, tell) => {
                let plain = self.counted.contains_key(&f).then(|| follower::is_plain_grant(&tell));
                if let Some(plain) = plain {
                    self.count(f, &tell, !plain);
                }
                let now = self.local(self.plan.voters + f);
                if let VoterResponse::Refused { why, .. } = &tell
                    && (self.span.0..self.span.1).contains(&self.t)
                    && (self.out.refused.len() < KINDS || self.out.refused.contains_key(why))
                {
                    *self.out.refused.entry(why.clone()).or_default() += 1;
                }
                // What is wrong with an answer is the follower's to say in a log.
                let _ = self.followers[f].handle_response(now, VoterId(k as u8), tell);
                self.work(f);
            }
            Event::Due(f) => {
                if self.t >= self.due_at[f] {
                    self.due_at[f] = f64::INFINITY;
                    self.work(f);
                }
            }
            Event::Change => {
                if self.t < self.span.1 {
                    self.change();
                }
                if self.t < self.span.1 && self.plan.burst == 0 {
                    let wait = -(1.0 - self.rng.f64()).ln() / self.plan.rate;
                    self.at(self.t + wait, Event::Change);
                }
            }
            Event::Propose(n, k) => self.propose(n, k),
            Event::Outcome(n, tell) => self.outcome(n, tell),
        }
    }

    fn run(mut self, until: Instant) -> Outcome {
        for k in 0..self.plan.voters {
            self.at(0.0, Event::Tick(k));
        }
        let lease = kelpdoor_agreement::lease_duration(self.plan.contradiction);
        for f in 0..self.plan.directors {
            // They start within a lease, and so ask at different times.
            let first = lease * self.rng.f64() / 4.0;
            self.due_at[f] = first;
            self.at(first, Event::Due(f));
        }
        self.change();
        let begin = self.span.0;
        match self.plan.burst {
            0 if self.plan.rate > 0.0 => {
                let wait = -(1.0 - self.rng.f64()).ln() / self.plan.rate;
                self.at(begin + wait, Event::Change);
            }
            0 => {}
            _ => self.at(begin, Event::Change),
        }
        self.tracker.set_span(self.span.0, self.span.1);
        // Then time for the last change to be in force.
        let calm = 3.0 * self.plan.contradiction + 10.0;
        let end = self.span.1 + calm;
        let mut healing = VecDeque::from([self.span.1]);
        while let Some(key) = self.keys.pop() {
            if key.0 > end || self.out.cut_short {
                break;
            }
            self.out.events += 1;
            if self.out.events.is_multiple_of(LOOK) && Instant::now() >= until {
                self.out.cut_short = true;
                break;
            }
            self.t = key.0;
            if healing.front().is_some_and(|at| self.t >= *at) {
                healing.pop_front();
                self.steady();
            }
            let event = self.events.get_mut(key.2).and_then(Option::take);
            self.free.push(key.2);
            if let Some(event) = event {
                self.step(event);
            }
        }
        self.over()
    }

    /// The span is over: what was counted in it.
    fn steady(&mut self) {
        let n = self.counted.len().max(1) as f64;
        let length = (self.t.min(self.span.1) - self.span.0).max(f64::MIN_POSITIVE);
        let sum = |of: fn(&(u64, u64, u64)) -> u64, all: &BTreeMap<usize, (u64, u64, u64)>| {
            all.values().map(of).sum::<u64>() as f64
        };
        self.out.bytes = sum(|c| c.0, &self.counted) / n / length;
        self.out.messages = sum(|c| c.1, &self.counted) / n / length;
        self.out.documents = sum(|c| c.2, &self.counted) / n / length;
        self.out.questions = self.asked as f64 / self.plan.voters as f64 / length;
        self.out.measured = length;
        let t = self.t;
        self.out.begin_fractions = self.tracker.begin_fractions(t, |_| true);
        if self.plan.cut {
            let regions = self.plan.voters;
            self.out.cut_begin_fractions = self.tracker.begin_fractions(t, |d| d % regions == 0);
            self.out.begin_fractions = self.tracker.begin_fractions(t, |d| d % regions != 0);
            self.tracker.set_mark(t);
            self.counted.values_mut().for_each(|c| *c = (0, 0, 0));
            self.counting = (t, t + 10.0);
        }
    }

    fn over(mut self) -> Outcome {
        if self.t < self.span.1 {
            self.steady();
        }
        let (from, to) = self.span;
        let mut of = std::mem::take(&mut self.out);
        of.versions(&self.tracker, from, to);
        let regions = self.plan.voters;
        if self.plan.cut {
            of.recovery_times = self.tracker.recovery_times(|d| d % regions == 0);
            let mean = |in_cut: bool| {
                let all: Vec<u64> = self
                    .counted
                    .iter()
                    .filter(|(f, _)| (**f % regions == 0) == in_cut)
                    .map(|(_, c)| c.0)
                    .collect();
                all.iter().sum::<u64>() as f64 / all.len().max(1) as f64
            };
            (of.healing_bytes, of.uncut_bytes) = (mean(true), mean(false));
        }
        of.recovery_times.sort_by(f64::total_cmp);
        of
    }
}

/// s of a core that a director's loop spends a second on following, steady, as a real one does: a look at all voters for
/// each answer, with documents of that size; without reading, connections and JSON. Over so many seconds of virtual time.
pub fn director_loop_cost(voters: usize, contradiction: f64, document: usize, seconds: f64) -> f64 {
    let plan = SimulationPlan { voters, contradiction, document, ..SimulationPlan::default() };
    let mut sim = Sim::new(&plan);
    let ids: Vec<VoterId> = (0..voters as u8).map(VoterId).collect();
    let text = sim.text();
    let mut follower = follower::follower("director", 1);
    let lease = kelpdoor_agreement::lease_duration(contradiction);
    let (mut spent, mut now) = (0.0, 0.0);
    for v in &mut sim.voters {
        let word = VoterMessage::Learn { number: 1, id: 1, text: text.clone() };
        v.handle_message(0.0, ids[0], word);
        v.take_output();
    }
    while now < 2.0 * lease + seconds {
        let began = Instant::now();
        let asks = follower::poll_like_director(&mut follower, now, voters);
        let mut took = began.elapsed();
        for (id, ask) in asks {
            let voter = &mut sim.voters[usize::from(id.0)];
            voter.handle_request(now, 1, ask);
            for out in voter.take_output().1 {
                if let Output::Response(_, tell) = out {
                    let began = Instant::now();
                    // An answer that does not count costs the same.
                    let _ = follower.handle_response(now, id, tell);
                    follower::poll_like_director(&mut follower, now, voters);
                    took += began.elapsed();
                }
            }
        }
        if now >= 2.0 * lease {
            spent += took.as_secs_f64();
        }
        now = follower.next_request_at().max(now + 1e-3);
    }
    spent / seconds
}

/// Plays a plan; cut short at `until`.
pub fn simulate(plan: &SimulationPlan, until: Instant) -> Outcome {
    Sim::new(plan).run(until)
}
