//! Discrete-event simulation of a fleet of any size: the real voter and follower cores in virtual time, with message
//! delays, clocks of different rates, a disk for each voter and operators that propose. A region can be cut off; there
//! are no other faults.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Instant;

use fastrand::Rng;
use kelpdoor_agreement::{
    ClientRequest, DurableState, Output, Value, Voter, VoterId, VoterMessage, VoterResponse,
};

use super::follower::{self, FIRST_LINE, Follower, VersionTracker};

/// Shortest and longest delay of a message between two sites, in seconds; drawn for each message.
const MIN_MESSAGE_DELAY: f64 = 0.002;
const MAX_MESSAGE_DELAY: f64 = 0.022;
/// Shortest and longest write of a voter, in seconds: a file synced and renamed on a server's disk.
const MIN_WRITE_TIME: f64 = 0.002;
const MAX_WRITE_TIME: f64 = 0.008;
/// Largest difference between the rates of two clocks.
const MAX_CLOCK_RATE_DIFFERENCE: f64 = 0.005;
/// Directors whose bytes are counted, by serializing each message as on the wire.
const COUNTED_DIRECTORS: usize = 16;
/// Proposals of one change before its operator gives up.
const MAX_PROPOSALS: u32 = 60;
/// Shortest delay of an operator after all voters declined a proposal, in seconds; the longest is twice that.
const OPERATOR_RETRY_DELAY: f64 = 0.05;
/// Leases before the measurement begins; by then all directors act on a first version.
const SETTLE_LEASES: f64 = 6.0;
/// Shortest time between two polls of a director, in seconds.
const MIN_POLL_INTERVAL: f64 = 1e-5;
/// Most distinct refusal reasons that are counted.
const MAX_REFUSAL_REASONS: usize = 8;
/// First client number of operators; directors have lower ones.
const FIRST_OPERATOR: u64 = 1 << 32;
/// Events between two checks of the time limit.
const EVENTS_PER_TIME_CHECK: u64 = 1 << 14;
/// Most queued events; a run of 5,800 directors has some 20,000.
const MAX_QUEUED_EVENTS: usize = 4_000_000;

/// Parameters of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationPlan {
    pub seed: u64,
    pub directors: usize,
    pub voters: usize,
    /// s
    pub contradiction: f64,
    /// Changes per second, at random times.
    pub rate: f64,
    /// Measured seconds of virtual time.
    pub span: f64,
    /// Approximate size of a document in bytes.
    pub document: usize,
    /// If above 0, this many changes back to back by one operator, instead of changes at a rate.
    pub burst: u32,
    /// Cuts off the first region for the span; there are as many regions as voters, each with a share of the directors.
    pub cut: bool,
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Fraction of the span in which each director might begin sessions.
    pub begin_fractions: Vec<f64>,
    /// The same for each director of the region that was cut off.
    pub cut_begin_fractions: Vec<f64>,
    /// Seconds from a proposal until all directors know it, and until it is in force everywhere, sorted.
    pub known_delays: Vec<f64>,
    pub in_force_delays: Vec<f64>,
    /// Versions proposed in the span and decided, but not in force everywhere by the end.
    pub not_in_force: usize,
    /// Proposals, those that lost to another, those that a voter did not take, and changes given up.
    pub proposals: u64,
    pub proposals_lost: u64,
    pub proposals_not_taken: u64,
    pub given_up: u64,
    /// Last response to a change that was given up; only set on processes.
    pub why_given_up: String,
    /// Seconds from the first proposal of a change until its operator learned of the decision, sorted.
    pub decision_times: Vec<f64>,
    /// Bytes and messages per second and director, in both directions, in the span.
    pub bytes: f64,
    pub messages: f64,
    /// Bytes per second and director in responses that carry a document or edits.
    pub documents: f64,
    /// Requests per second at a voter, in the span.
    pub questions: f64,
    /// Requests refused in the span, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Seconds; see [`VersionTracker`].
    pub older_alone: f64,
    pub mixed: f64,
    /// Seconds from the end of the partition until each director of the region may begin sessions, sorted, and the mean
    /// bytes of such a director in the 10 s after the partition.
    pub recovery_times: Vec<f64>,
    pub healing_bytes: f64,
    /// Mean bytes in the same 10 s of a director that was not cut off.
    pub uncut_bytes: f64,
    /// Measured seconds of virtual time; less than planned if cut short.
    pub measured: f64,
    pub cut_short: bool,
    pub events: u64,
}

impl Outcome {
    /// Adds the results of the versions proposed in `from..to`.
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
    Message(usize, VoterId, VoterMessage),
    Request(usize, u64, ClientRequest),
    Response(usize, usize, VoterResponse),
    Tick(usize),
    /// A request of a director is due, or its active versions change.
    Due(usize),
    /// The next change.
    Change,
    /// An operator proposes its change to a voter.
    Propose(u64, usize),
    Outcome(u64, VoterResponse),
}

/// Time, sequence number and slot of a queued event; the earliest is the greatest, for the max-heap.
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

struct Simulation {
    plan: SimulationPlan,
    rng: Rng,
    t: f64,
    count: u64,
    keys: BinaryHeap<Key>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    voters: Vec<Voter>,
    /// By voter: the time until which it waits for the disk, and the time of its next tick.
    busy: Vec<f64>,
    tick_at: Vec<f64>,
    followers: Vec<Follower>,
    due_at: Vec<f64>,
    /// Clock rates of voters, then of directors.
    rates: Vec<f64>,
    /// Interval in which the first region is cut off from the others.
    cut: (f64, f64),
    span: (f64, f64),
    operators: BTreeMap<u64, Operator>,
    changes: u64,
    left: u32,
    tracker: VersionTracker,
    out: Outcome,
    /// Bytes, messages, and bytes of messages with a document, of each director counted.
    counted: BTreeMap<usize, (u64, u64, u64)>,
    counting: (f64, f64),
    asked: u64,
    scratch: Vec<u8>,
    pad: String,
}

/// Filler text of about `bytes` bytes, in lines as documents have them.
pub fn pad(bytes: usize) -> String {
    let mut text = String::new();
    let mut k = 0;
    while text.len() < bytes {
        text += &format!("title(\"title-{k:05}\", first_cell = {}, cells = 5)\n", k % 60);
        k += 1;
    }
    text
}

impl Simulation {
    fn new(plan: &SimulationPlan) -> Self {
        let (v, d) = (plan.voters, plan.directors);
        let mut rng = Rng::with_seed(plan.seed);
        let rates = (0..v + d).map(|_| 1.0 + MAX_CLOCK_RATE_DIFFERENCE * (rng.f64() - 0.5)).collect();
        let ids: Vec<VoterId> = (0..v as u8).map(VoterId).collect();
        let voter = |k: usize| {
            let durable = DurableState::founded("scale", &ids);
            Voter::new(VoterId(k as u8), durable, FIRST_LINE, plan.seed ^ k as u64, 0.0)
        };
        let lease = kelpdoor_agreement::lease_duration(plan.contradiction);
        let begin = SETTLE_LEASES * lease.max(1.0);
        let span = (begin, begin + plan.span);
        // Evenly spread, so that each region has its share of them.
        let step = (d / COUNTED_DIRECTORS.min(d.max(1))).max(1);
        let mut counted: BTreeMap<usize, _> =
            (0..d).step_by(step).take(COUNTED_DIRECTORS).map(|f| (f, (0, 0, 0))).collect();
        if plan.cut {
            counted = (0..d).map(|f| (f, (0, 0, 0))).collect();
        }
        Simulation {
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

    fn schedule(&mut self, t: f64, event: Event) {
        if self.keys.len() >= MAX_QUEUED_EVENTS {
            // No plan reaches this many events; the run is reported as cut short.
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

    /// Region of a site; voters are numbered first, then directors.
    fn region(&self, site: usize) -> usize {
        if site < self.plan.voters { site } else { (site - self.plan.voters) % self.plan.voters }
    }

    fn deliver(&mut self, sent: f64, from: usize, to: usize, event: Event) {
        let apart = (self.region(from) == 0) != (self.region(to) == 0);
        let delay = MIN_MESSAGE_DELAY + (MAX_MESSAGE_DELAY - MIN_MESSAGE_DELAY) * self.rng.f64();
        if !(apart && self.cut.0 <= sent && sent < self.cut.1) {
            self.schedule(sent + delay, event);
        }
    }

    fn text(&self) -> String {
        let head = follower::document_header(self.plan.contradiction, self.plan.voters);
        // The line that changes is in the middle.
        let half = self.pad[..self.pad.len() / 2].rfind('\n').map_or(0, |n| n + 1);
        let (before, after) = self.pad.split_at(half);
        format!("{head}{before}further(free = 4, per_taken = 0.25, span = {})\n{after}", self.changes)
    }

    /// Counts the bytes of a message between director `f` and a voter, if they are to be counted.
    fn count(&mut self, f: usize, message: &impl serde::Serialize, document: bool) {
        if !(self.counting.0 <= self.t && self.t < self.counting.1) {
            return;
        }
        if let Some((bytes, words, documents)) = self.counted.get_mut(&f) {
            self.scratch.clear();
            if serde_json::to_writer(&mut self.scratch, message).is_ok() {
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
            self.busy[k] = self.t + MIN_WRITE_TIME + (MAX_WRITE_TIME - MIN_WRITE_TIME) * self.rng.f64();
        }
        let sent = self.busy[k].max(self.t);
        for o in out {
            match o {
                Output::Message(to, message) => {
                    let to = usize::from(to.0);
                    self.deliver(sent, k, to, Event::Message(to, VoterId(k as u8), message));
                }
                Output::Broadcast(message) => {
                    for to in (0..self.voters.len()).filter(|to| *to != k) {
                        self.deliver(sent, k, to, Event::Message(to, VoterId(k as u8), message.clone()));
                    }
                }
                Output::Response(client, response) if client < FIRST_OPERATOR => {
                    let f = client as usize;
                    self.deliver(sent, k, self.plan.voters + f, Event::Response(f, k, response));
                }
                Output::Response(client, response) => {
                    let delay = MIN_MESSAGE_DELAY + (MAX_MESSAGE_DELAY - MIN_MESSAGE_DELAY) * self.rng.f64();
                    self.schedule(sent + delay, Event::Outcome(client - FIRST_OPERATOR, response));
                }
            }
        }
        let next = (self.voters[k].next_timer_at() / self.rates[k]).max(self.t + 0.001);
        if next < self.tick_at[k] || self.tick_at[k] <= self.t {
            self.tick_at[k] = next;
            self.schedule(next, Event::Tick(k));
        }
    }

    /// Sends the due requests of director `f`, records its state and schedules its next poll.
    fn poll_director(&mut self, f: usize) {
        let site = self.plan.voters + f;
        let (now, rate) = (self.local(site), self.rates[site]);
        for (voter, request) in follower::due_requests(&mut self.followers[f], now, self.plan.voters) {
            let k = usize::from(voter.0);
            self.count(f, &request, false);
            self.asked += u64::from(self.span.0 <= self.t && self.t < self.span.1);
            self.deliver(self.t, site, k, Event::Request(k, f as u64, request));
        }
        self.tracker.observe(self.t, f, &self.followers[f], now, |local| local / rate);
        let due = self.followers[f].next_request_at().min(self.followers[f].next_change_at(now)) / rate;
        // Slightly late, as rounding of sums of times may fall short of the due time.
        let due = (due + MIN_POLL_INTERVAL).max(self.t + MIN_POLL_INTERVAL);
        if due < self.due_at[f] || self.due_at[f] <= self.t {
            self.due_at[f] = due;
            self.schedule(due, Event::Due(f));
        }
    }

    /// Starts a new change with its own operator.
    fn change(&mut self) {
        self.changes += 1;
        let n = self.changes;
        let value = Value { id: self.rng.u64(..), text: self.text() };
        let k = self.first_voter();
        let after = self.voters[k].durable().newest();
        self.operators.insert(n, Operator { first: self.t, value, after, tries: 0 });
        self.schedule(self.t, Event::Propose(n, k));
    }

    /// The voter that operators ask first: the first that is not cut off.
    fn first_voter(&self) -> usize {
        usize::from(self.plan.cut)
    }

    fn propose(&mut self, n: u64, k: usize) {
        let Some(o) = self.operators.get_mut(&n) else { return };
        o.tries += 1;
        if o.tries > MAX_PROPOSALS {
            self.operators.remove(&n);
            self.out.given_up += 1;
            return;
        }
        let request = ClientRequest::Propose { after: o.after, value: o.value.clone(), sure: false };
        let delay = MIN_MESSAGE_DELAY + (MAX_MESSAGE_DELAY - MIN_MESSAGE_DELAY) * self.rng.f64();
        self.out.proposals += u64::from(self.t >= self.span.0);
        self.schedule(self.t + delay, Event::Request(k, FIRST_OPERATOR + n, request));
    }

    fn outcome(&mut self, n: u64, response: VoterResponse) {
        let first_voter = self.first_voter();
        let Some(o) = self.operators.get_mut(&n) else { return };
        match response {
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
                // Rebased on the newest version and proposed at once.
                o.after = newest;
                o.value.id = self.rng.u64(..);
                self.out.proposals_lost += u64::from(self.t >= self.span.0);
                self.schedule(self.t, Event::Propose(n, first_voter));
            }
            VoterResponse::NotTaken { .. } | VoterResponse::Unknown { .. } => {
                // Tried at the next voter, as the daemon's command does; with a delay after the last voter.
                let next = (first_voter + o.tries as usize) % self.plan.voters;
                let next = if self.plan.cut && next == 0 { first_voter } else { next };
                self.out.proposals_not_taken += u64::from(self.t >= self.span.0);
                let wait =
                    if next == first_voter { OPERATOR_RETRY_DELAY * (1.0 + self.rng.f64()) } else { 0.0 };
                self.schedule(self.t + wait, Event::Propose(n, next));
            }
            _ => {}
        }
    }

    fn step(&mut self, event: Event) {
        let voter = match &event {
            Event::Message(k, ..) | Event::Request(k, ..) | Event::Tick(k) => Some(*k),
            _ => None,
        };
        if let Some(k) = voter.filter(|k| self.busy[*k] > self.t) {
            return self.schedule(self.busy[k], event);
        }
        match event {
            Event::Message(k, from, message) => {
                let now = self.local(k);
                self.voters[k].handle_message(now, from, message);
                self.flush(k);
            }
            Event::Request(k, client, request) => {
                let now = self.local(k);
                self.voters[k].handle_request(now, client, request);
                self.flush(k);
            }
            Event::Tick(k) => {
                let now = self.local(k);
                self.voters[k].tick(now);
                self.tick_at[k] = f64::INFINITY;
                self.flush(k);
            }
            Event::Response(f, k, response) => {
                let plain = self.counted.contains_key(&f).then(|| follower::is_plain_grant(&response));
                if let Some(plain) = plain {
                    self.count(f, &response, !plain);
                }
                let now = self.local(self.plan.voters + f);
                if let VoterResponse::Refused { why, .. } = &response
                    && (self.span.0..self.span.1).contains(&self.t)
                    && (self.out.refused.len() < MAX_REFUSAL_REASONS || self.out.refused.contains_key(why))
                {
                    *self.out.refused.entry(why.clone()).or_default() += 1;
                }
                // A real director logs errors in responses; they do not matter here.
                let _ = self.followers[f].handle_response(now, VoterId(k as u8), response);
                self.poll_director(f);
            }
            Event::Due(f) => {
                if self.t >= self.due_at[f] {
                    self.due_at[f] = f64::INFINITY;
                    self.poll_director(f);
                }
            }
            Event::Change => {
                if self.t < self.span.1 {
                    self.change();
                }
                if self.t < self.span.1 && self.plan.burst == 0 {
                    let wait = -(1.0 - self.rng.f64()).ln() / self.plan.rate;
                    self.schedule(self.t + wait, Event::Change);
                }
            }
            Event::Propose(n, k) => self.propose(n, k),
            Event::Outcome(n, response) => self.outcome(n, response),
        }
    }

    fn run(mut self, until: Instant) -> Outcome {
        for k in 0..self.plan.voters {
            self.schedule(0.0, Event::Tick(k));
        }
        let lease = kelpdoor_agreement::lease_duration(self.plan.contradiction);
        for f in 0..self.plan.directors {
            // Starts are spread over a quarter of a lease, so that directors ask at different times.
            let first = lease * self.rng.f64() / 4.0;
            self.due_at[f] = first;
            self.schedule(first, Event::Due(f));
        }
        self.change();
        let begin = self.span.0;
        match self.plan.burst {
            0 if self.plan.rate > 0.0 => {
                let wait = -(1.0 - self.rng.f64()).ln() / self.plan.rate;
                self.schedule(begin + wait, Event::Change);
            }
            0 => {}
            _ => self.schedule(begin, Event::Change),
        }
        self.tracker.set_span(self.span.0, self.span.1);
        // Leaves time for the last change to be in force.
        let settle_seconds = 3.0 * self.plan.contradiction + 10.0;
        let end = self.span.1 + settle_seconds;
        let mut healing = VecDeque::from([self.span.1]);
        while let Some(key) = self.keys.pop() {
            if key.0 > end || self.out.cut_short {
                break;
            }
            self.out.events += 1;
            if self.out.events.is_multiple_of(EVENTS_PER_TIME_CHECK) && Instant::now() >= until {
                self.out.cut_short = true;
                break;
            }
            self.t = key.0;
            if healing.front().is_some_and(|at| self.t >= *at) {
                healing.pop_front();
                self.record_span();
            }
            let event = self.events.get_mut(key.2).and_then(Option::take);
            self.free.push(key.2);
            if let Some(event) = event {
                self.step(event);
            }
        }
        self.finish()
    }

    /// Records the counters at the end of the span.
    fn record_span(&mut self) {
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

    fn finish(mut self) -> Outcome {
        if self.t < self.span.1 {
            self.record_span();
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

/// Processor time per second that a director's loop spends on following in the steady state: a poll of all voters for each
/// response, with documents of the given size, without reading, connections and JSON. Averaged over `seconds` of virtual
/// time.
pub fn director_loop_cost(voters: usize, contradiction: f64, document: usize, seconds: f64) -> f64 {
    let plan = SimulationPlan { voters, contradiction, document, ..SimulationPlan::default() };
    let mut sim = Simulation::new(&plan);
    let ids: Vec<VoterId> = (0..voters as u8).map(VoterId).collect();
    let text = sim.text();
    let mut follower = follower::follower("director", 1);
    let lease = kelpdoor_agreement::lease_duration(contradiction);
    let (mut spent, mut now) = (0.0, 0.0);
    for v in &mut sim.voters {
        let message = VoterMessage::Learn { number: 1, id: 1, text: text.clone() };
        v.handle_message(0.0, ids[0], message);
        v.take_output();
    }
    while now < 2.0 * lease + seconds {
        let began = Instant::now();
        let requests = follower::poll_like_director(&mut follower, now, voters);
        let mut took = began.elapsed();
        for (id, request) in requests {
            let voter = &mut sim.voters[usize::from(id.0)];
            voter.handle_request(now, 1, request);
            for out in voter.take_output().1 {
                if let Output::Response(_, response) = out {
                    let began = Instant::now();
                    // A response with an error costs the same.
                    let _ = follower.handle_response(now, id, response);
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

/// Runs a simulation; it is cut short at `until`.
pub fn simulate(plan: &SimulationPlan, until: Instant) -> Outcome {
    Simulation::new(plan).run(until)
}
