//! Voters and directors' sides in virtual time: words lost, doubled and late, cuts both ways and one way, pauses, restarts,
//! a lost disk, clocks that run apart, proposals all the while. Judged by what each knew and acted on, in true time.

mod texts;

use std::collections::{BTreeMap, BinaryHeap};

use fastrand::Rng;
use kelpdoor_agreement::{
    Chosen, ClientRequest, DurableState, Follower, Output, Value, Voter, VoterId, VoterMessage,
    VoterResponse, lease_duration,
};
use texts::{READING, Texts};

/// s; what documents here state where nothing else is said.
const CONTRADICTION: f64 = 2.0;
/// s of trouble, then of calm, in longest contradictions: a lease that ends, a wait for those of the others, and what stands
/// beside until it may be dropped.
const TROUBLE: f64 = 20.0;
const CALM: f64 = 4.0;

fn text(id: u64, by: &[u8], contradiction: f64) -> String {
    format!("text {id} by {} for {contradiction}", by.iter().map(u8::to_string).collect::<Vec<_>>().join(" "))
}

#[derive(Clone, Debug)]
enum Event {
    Voter(usize, u64, VoterId, VoterMessage),
    Asked(usize, u64, usize, ClientRequest),
    Told(usize, u64, usize, VoterResponse),
    Proposed(usize, ClientRequest),
    Outcome(Value, VoterResponse),
    /// At that voter, or at any.
    Propose(Option<usize>),
    Trouble,
    Look,
}

/// By true time, then by number.
struct Due(f64, u64, Event);

impl PartialEq for Due {
    fn eq(&self, o: &Self) -> bool {
        self.cmp(o).is_eq()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, o: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Due {
    fn cmp(&self, o: &Self) -> std::cmp::Ordering {
        o.0.total_cmp(&self.0).then(o.1.cmp(&self.1))
    }
}

struct Site {
    /// Of true time.
    rate: f64,
    paused_until: f64,
    life: u64,
}

struct Sim {
    rng: Rng,
    t: f64,
    count: u64,
    due: BinaryHeap<Due>,
    voters: Vec<Voter>,
    /// What each voter last wrote: it comes back with that.
    disks: Vec<DurableState>,
    followers: Vec<Follower<Texts>>,
    /// s, as the documents state it.
    contradiction: f64,
    /// s; between two proposals at most, a third of it in the mean.
    propose_every: f64,
    /// Voters first, then directors.
    sites: Vec<Site>,
    /// From and to, until when.
    cuts: BTreeMap<(usize, usize), f64>,
    next_id: u64,
    rough: bool,
    contents: BTreeMap<u64, Value>,
    acknowledged: Vec<(u64, Value)>,
    /// By version, when it was first acted on with nothing older beside it, whatever was newer; so too its keys that have no
    /// stricter side.
    alone: BTreeMap<u64, f64>,
    switched: BTreeMap<u64, f64>,
    worst: (f64, f64),
    /// What each director would act on that polls a file four times a lease where voter 0 is, and when it looks again; when
    /// each version was first acted on so; the longest contradiction of that.
    polled: Vec<(u64, f64)>,
    polled_first: BTreeMap<u64, f64>,
    polled_worst: f64,
    wrong: Vec<String>,
    acted: u64,
    lost_disks: usize,
    /// How many of the voters found the fleet; the others may be put on the list.
    founders: usize,
    /// Whose disk was lost since the list last changed by them.
    changes_of_voters: usize,
}

impl Sim {
    fn new(seed: u64, founders: usize, spare: usize, directors: usize) -> Self {
        let voters = founders + spare;
        let mut rng = Rng::with_seed(seed);
        let sites = (0..voters + directors)
            .map(|_| Site { rate: 0.9975 + 0.005 * rng.f64(), paused_until: 0.0, life: 0 })
            .collect();
        let ids: Vec<VoterId> = (0..founders as u8).map(VoterId).collect();
        let of = |k: usize| {
            let durable =
                if k < founders { DurableState::founded("f", &ids) } else { DurableState::lost("f") };
            Voter::new(VoterId(k as u8), durable, READING, seed ^ k as u64, 0.0)
        };
        let director = |k: usize| Follower::new(&format!("d{k}"), seed + k as u64, None, ());
        Sim {
            disks: (0..voters).map(|k| of(k).durable().clone()).collect(),
            contradiction: CONTRADICTION,
            propose_every: 3.0,
            t: 0.0,
            count: 0,
            due: BinaryHeap::new(),
            voters: (0..voters).map(of).collect(),
            followers: (0..directors).map(director).collect(),
            sites,
            cuts: BTreeMap::new(),
            next_id: 1,
            rough: true,
            contents: BTreeMap::new(),
            acknowledged: Vec::new(),
            alone: BTreeMap::new(),
            switched: BTreeMap::new(),
            worst: (0.0, 0.0),
            polled: vec![(0, 0.0); directors],
            polled_first: BTreeMap::new(),
            polled_worst: 0.0,
            wrong: Vec::new(),
            acted: 0,
            lost_disks: 0,
            founders,
            changes_of_voters: 0,
            rng,
        }
    }

    fn local(&self, site: usize) -> f64 {
        self.t * self.sites[site].rate
    }

    fn at(&mut self, t: f64, event: Event) {
        self.count += 1;
        self.due.push(Due(t, self.count, event));
    }

    /// A word between two sites, with all that can happen to it.
    fn carry(&mut self, from: usize, to: usize, event: Event) {
        let cut = self.cuts.get(&(from, to)).is_some_and(|until| *until > self.t);
        if cut || (self.rough && self.rng.f64() < 0.05) {
            return;
        }
        let copies = if self.rough && self.rng.f64() < 0.05 { 2 } else { 1 };
        for _ in 0..copies {
            let mut late = 0.002 + 0.02 * self.rng.f64();
            if self.rough && self.rng.f64() < 0.1 {
                late += 3.0 * self.rng.f64().powi(2);
            }
            self.at(self.t + late, event.clone());
        }
    }

    fn flush(&mut self, k: usize) {
        let (write, out) = self.voters[k].take_output();
        if let Some(durable) = write {
            self.disks[k] = durable;
        }
        for o in &out {
            // Nothing is told of a version that a restart would not know of.
            if let Output::Response(_, VoterResponse::Granted { chain, .. }) = o
                && let Some(d) = chain.iter().find(|d| !self.disks[k].log.contains(d))
            {
                self.wrong.push(format!(
                    "{:.3}: voter {k} tells of version {} before it is written",
                    self.t, d.number
                ));
            }
        }
        // It may die between its write and its words.
        let lost = self.rough && self.rng.f64() < 0.002;
        if let Some(c) = self.voters[k].newest().cloned() {
            self.content(c);
        }
        for o in out {
            match o {
                _ if lost => {}
                Output::Message(to, word) => self.say(k, usize::from(to.0), word),
                Output::Broadcast(word) => {
                    for to in (0..self.voters.len()).filter(|to| *to != k) {
                        self.say(k, to, word.clone());
                    }
                }
                Output::Response(client, tell) if client < 1000 => {
                    let f = client as usize;
                    let site = self.voters.len() + f;
                    let event = Event::Told(f, self.sites[site].life, k, tell);
                    self.carry(k, site, event);
                }
                Output::Response(id, tell) => {
                    let value = Value { id, text: String::new() };
                    self.at(self.t, Event::Outcome(value, tell));
                }
            }
        }
        if lost {
            self.restart(k, false);
        }
    }

    fn say(&mut self, from: usize, to: usize, word: VoterMessage) {
        let event = Event::Voter(to, self.sites[to].life, VoterId(from as u8), word);
        self.carry(from, to, event);
    }

    fn restart(&mut self, k: usize, disk_lost: bool) {
        if disk_lost {
            self.disks[k] = DurableState::lost("f");
        }
        let durable = self.disks[k].clone();
        self.sites[k].life += 1;
        let now = self.local(k);
        self.voters[k] = Voter::new(VoterId(k as u8), durable, READING, self.rng.u64(..), now);
    }

    fn content(&mut self, c: Chosen) {
        let known = self.contents.entry(c.number).or_insert_with(|| c.value.clone());
        if *known != c.value {
            self.wrong.push(format!("{:.3}: version {} has two contents", self.t, c.number));
        }
    }

    /// Who is to decide after the next version, as whoever proposes it at that voter would have it: as before, one taken
    /// off, one put on, or one in another's place; three or five, and none whom that voter has not heard to be ready.
    fn list(&mut self, at: usize) -> Vec<u8> {
        let now: Vec<u8> = self.voters[at].deciding().iter().map(|v| v.0).collect();
        if now.is_empty() {
            // It knows of no list, and takes no proposal.
            return vec![0, 1, 2];
        }
        let t = self.local(at);
        let off: Vec<u8> = (0..self.voters.len() as u8)
            .filter(|v| !now.contains(v) && self.voters[at].ready(t, VoterId(*v)))
            .collect();
        let mut list = now.clone();
        match self.rng.u8(..4) {
            0 if off.len() >= 2 && now.len() == 3 => list.extend([off[0], off[1]]),
            1 if now.len() == 5 && self.voters.len() > self.founders => {
                list.remove(self.rng.usize(..5));
                list.remove(self.rng.usize(..4));
            }
            2 if !off.is_empty() => {
                let k = self.rng.usize(..list.len());
                list[k] = off[self.rng.usize(..off.len())];
            }
            _ => {}
        }
        list.sort_unstable();
        self.changes_of_voters += usize::from(list != now);
        list
    }

    fn trouble(&mut self) {
        let (v, d) = (self.voters.len(), self.followers.len());
        let any = self.rng.usize(..v + d);
        match self.rng.u8(..8) {
            0 | 1 => {
                // One way or both, with one or with all.
                let lasts = self.t + 4.0 * self.rng.f64();
                let (both, all) = (self.rng.bool(), self.rng.bool());
                let other = self.rng.usize(..v);
                for to in (0..v + d).filter(|to| *to != any && (all || *to == other)) {
                    self.cuts.insert((any, to), lasts);
                    if both {
                        self.cuts.insert((to, any), lasts);
                    }
                }
            }
            2 | 3 => self.sites[any].paused_until = self.t + 3.0 * self.rng.f64(),
            4 => {
                let k = self.rng.usize(..v);
                self.restart(k, false);
            }
            5 if self.lost_disks == 0 => {
                // One at a time: the others have to remember.
                self.lost_disks += 1;
                let k = self.rng.usize(..v);
                self.restart(k, true);
            }
            _ => {
                let f = self.rng.usize(..d);
                let kept = self.followers[f].known_version().cloned();
                self.sites[v + f].life += 1;
                let boot = self.rng.u64(..);
                self.followers[f] = Follower::new(&format!("d{f}"), boot, kept, ());
            }
        }
    }

    fn paused(&self, site: usize) -> bool {
        self.sites[site].paused_until > self.t
    }

    /// The plain baseline: a director that polls a file and goes by what it read last, whatever becomes of the file's server.
    fn poll(&mut self, f: usize) {
        let (site, t) = (self.voters.len() + f, self.t);
        if self.paused(site) {
            return;
        }
        let cut = |from, to| self.cuts.get(&(from, to)).is_some_and(|until| *until > t);
        if t >= self.polled[f].1 && !self.paused(0) && !cut(site, 0) && !cut(0, site) {
            self.polled[f] = (
                self.voters[0].durable().newest().max(self.polled[f].0),
                t + 0.25 * lease_duration(self.contradiction),
            );
        }
        let acts = self.polled[f].0;
        if acts > 0 {
            self.polled_first.entry(acts).or_insert(t);
            let since = self.polled_first.range(acts + 1..).map(|(_, at)| t - at).fold(0.0, f64::max);
            self.polled_worst = self.polled_worst.max(since);
        }
    }

    /// What a director does now, against what all did before.
    fn look(&mut self, f: usize) {
        let site = self.voters.len() + f;
        if self.paused(site) {
            return;
        }
        let now = self.local(site);
        if let Some(c) = self.followers[f].known_version().cloned() {
            self.content(c);
        }
        let Some(a) = self.followers[f].active_versions(now).filter(|a| a.from <= now && now < a.until)
        else {
            return;
        };
        self.acted += 1;
        let (newest, oldest) = (a.version.number, a.oldest());
        let t = self.t;
        // It heeds none older than that: nobody may go by an older one as the newest from then on.
        self.alone.entry(oldest).or_insert(t);
        self.switched.entry(oldest).or_insert(t);
        // The stricter of all of them holds, none left out, and what has no stricter side is the oldest's.
        if let Some(rules) = self.followers[f].rules(now) {
            let all = (oldest..=newest).filter_map(|n| self.contents.get(&n).map(|v| v.text.clone()));
            let oldest = self.contents.get(&oldest).map(|v| &v.text);
            if rules.all != all.collect() || Some(&rules.oldest) != oldest {
                self.wrong.push(format!(
                    "{t:.3}: director {f} acts on {}, held are {:?}",
                    a.label(),
                    rules.all
                ));
            }
        }
        let since =
            |of: &BTreeMap<u64, f64>, n: u64| of.range(n + 1..).map(|(_, at)| t - at).fold(0.0, f64::max);
        self.worst.0 = self.worst.0.max(since(&self.alone, newest));
        self.worst.1 = self.worst.1.max(since(&self.switched, oldest));
    }

    fn ask(&mut self, f: usize) {
        let site = self.voters.len() + f;
        if self.paused(site) {
            return;
        }
        let now = self.local(site);
        for k in 0..self.voters.len() {
            if let Some(ask) = self.followers[f].next_request(now, VoterId(k as u8)) {
                let event = Event::Asked(k, self.sites[k].life, f, ask);
                self.carry(site, k, event);
            }
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Voter(k, life, from, word) => {
                if self.sites[k].life != life {
                    return;
                }
                if self.paused(k) {
                    let at = self.sites[k].paused_until;
                    return self.at(at, Event::Voter(k, life, from, word));
                }
                let now = self.local(k);
                self.voters[k].handle_message(now, from, word);
                self.flush(k);
            }
            Event::Asked(k, life, f, ask) => {
                if self.sites[k].life != life {
                    return;
                }
                if self.paused(k) {
                    let at = self.sites[k].paused_until;
                    return self.at(at, Event::Asked(k, life, f, ask));
                }
                let now = self.local(k);
                self.voters[k].handle_request(now, f as u64, ask);
                self.flush(k);
            }
            Event::Told(f, life, k, tell) => {
                let site = self.voters.len() + f;
                if self.sites[site].life != life {
                    return;
                }
                if self.paused(site) {
                    let at = self.sites[site].paused_until;
                    return self.at(at, Event::Told(f, life, k, tell));
                }
                let now = self.local(site);
                let _ = self.followers[f].handle_response(now, VoterId(k as u8), tell);
                self.look(f);
            }
            Event::Proposed(k, ask) => {
                if self.paused(k) {
                    let at = self.sites[k].paused_until;
                    return self.at(at, Event::Proposed(k, ask));
                }
                let ClientRequest::Propose { value, .. } = &ask else { return };
                let (now, client) = (self.local(k), value.id);
                self.voters[k].handle_request(now, client, ask);
                self.flush(k);
            }
            Event::Outcome(value, tell) => {
                if let VoterResponse::Agreed { number } = tell {
                    self.acknowledged.push((number, value));
                }
            }
            Event::Propose(at) => {
                let any = self.rng.usize(..self.voters.len());
                let k = at.unwrap_or(any);
                let after = self.voters[k].durable().newest();
                self.next_id += 1;
                let id = 1000 + self.next_id;
                let value = Value { id, text: text(id, &self.list(k), self.contradiction) };
                self.at(self.t, Event::Proposed(k, ClientRequest::Propose { after, value, sure: false }));
                if at.is_none() && self.t < TROUBLE {
                    let wait = self.propose_every * self.rng.f64().powi(2);
                    self.at(self.t + wait, Event::Propose(None));
                }
            }
            Event::Trouble => {
                self.trouble();
                let wait = 1.5 * self.rng.f64();
                if self.t + wait < TROUBLE {
                    self.at(self.t + wait, Event::Trouble);
                }
            }
            Event::Look => {
                for k in 0..self.voters.len() {
                    if !self.paused(k) {
                        let now = self.local(k);
                        self.voters[k].tick(now);
                        self.flush(k);
                    }
                }
                for f in 0..self.followers.len() {
                    self.look(f);
                    self.poll(f);
                    self.ask(f);
                }
                if self.t < TROUBLE + CALM * self.contradiction {
                    self.at(self.t + 0.02, Event::Look);
                }
            }
        }
    }

    fn run(mut self) -> Self {
        self.at(0.0, Event::Look);
        self.at(0.1, Event::Propose(None));
        self.at(1.0, Event::Trouble);
        while let Some(Due(t, _, event)) = self.due.pop() {
            self.t = t;
            if self.rough && t > TROUBLE {
                self.rough = false;
                self.cuts.clear();
                self.sites.iter_mut().for_each(|s| s.paused_until = 0.0);
                // So that a voter without a disk has one to come back with.
                for k in 0..self.voters.len() {
                    self.at(t + 1.0 + 0.2 * k as f64, Event::Propose(Some(k)));
                }
            }
            self.step(event);
        }
        for (number, value) in std::mem::take(&mut self.acknowledged) {
            if self.contents.get(&number).map(|v| v.id) != Some(value.id) {
                self.wrong.push(format!("version {number} was acknowledged and has another content"));
            }
        }
        let last = self.contents.keys().max().copied().unwrap_or(0);
        for f in 0..self.followers.len() {
            let now = self.local(self.voters.len() + f);
            let acting = self.followers[f].active_versions(now);
            if !acting.is_some_and(|a| a.version.number == last && a.older.is_empty() && now < a.until) {
                self.wrong.push(format!("director {f} does not act on version {last} in the end"));
            }
        }
        // Slack for what is looked at each 20 ms only.
        if self.worst.0 > 0.0 {
            self.wrong.push(format!("an older version was acted on alone {:.3} s late", self.worst.0));
        }
        if self.worst.1 > self.contradiction {
            self.wrong.push(format!("two versions' switched keys for {:.3} s", self.worst.1));
        }
        self
    }
}

fn sweep(seeds: std::ops::Range<u64>, voters: usize, spare: usize, directors: usize) {
    changing(seeds, voters, spare, directors, CONTRADICTION, 1.0);
}

/// `a_second`: proposals.
fn changing(
    seeds: std::ops::Range<u64>, voters: usize, spare: usize, directors: usize, contradiction: f64,
    a_second: f64,
) {
    let mut lists = 0;
    let mut polled = Vec::new();
    let (mut acted, mut versions, mut worst, mut schedules) = (0, 0, 0.0f64, 0);
    for seed in seeds {
        let mut sim = Sim::new(seed, voters, spare, directors);
        (sim.contradiction, sim.propose_every) = (contradiction, 3.0 / a_second);
        let sim = sim.run();
        lists += sim.changes_of_voters;
        assert!(sim.wrong.is_empty(), "seed {seed}, {voters} voters, {spare} spare: {:#?}", sim.wrong);
        acted += sim.acted;
        versions += sim.contents.len();
        polled.push(sim.polled_worst);
        worst = worst.max(sim.worst.1);
        schedules += 1;
    }
    println!(
        "{schedules} schedules, {voters} voters and {spare} spare, {directors} directors: {versions} versions, {lists} other lists \
         of voters proposed, acted on at {acted} looks, \
         {a_second} proposals a second, two versions' switched keys for {worst:.3} s at most of {contradiction} s"
    );
    polled.sort_by(f64::total_cmp);
    println!(
        "    polling a file instead, an older version was acted on alone for {:.2} s at the median and {:.2} s at most",
        polled[polled.len() / 2],
        polled[polled.len() - 1]
    );
    assert!(versions > schedules * 2 && acted > 100);
    assert!(spare == 0 || lists > schedules);
}

#[test]
fn directors_never_contradict_each_other_for_longer_than_stated() {
    sweep(0..200, 3, 0, 4);
    sweep(0..100, 5, 0, 4);
}

#[test]
fn nor_while_voters_come_and_go() {
    // Before the calm nothing had reached a voter that was on the list: all were asked once more, and now each of them is.
    let sim = Sim::new(504_614, 3, 3, 4).run();
    assert!(sim.wrong.is_empty() && !sim.contents.is_empty(), "{:#?}", sim.wrong);
    sweep(0..200, 3, 3, 4);
}

#[test]
fn nor_however_fast_the_rules_change() {
    // The ordinary day of a large fleet, and ten times that; leases of a second, and of seven.
    for (contradiction, a_second) in [(2.0, 0.58), (2.0, 5.8), (14.0, 0.58), (14.0, 5.8)] {
        changing(0..60, 3, 0, 4, contradiction, a_second);
        changing(0..20, 3, 3, 4, contradiction, a_second);
    }
}

/// `SEEDS=100000 cargo test --release -p kelpdoor-agreement --test simulated -- --ignored --nocapture`
#[test]
#[ignore = "as long as SEEDS says"]
fn many_schedules() {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(1000);
    let from = std::env::var("FROM").ok().and_then(|s| s.parse().ok()).unwrap_or(1000);
    sweep(from..from + seeds, 3, 0, 4);
    sweep(from..from + seeds, 3, 3, 4);
    sweep(from..from + seeds / 10, 5, 2, 12);
    for (contradiction, a_second) in [(2.0, 0.58), (2.0, 5.8), (14.0, 0.58), (14.0, 5.8)] {
        changing(from..from + seeds, 3, 0, 4, contradiction, a_second);
        changing(from..from + seeds / 4, 3, 3, 4, contradiction, a_second);
    }
}

#[test]
#[ignore = "a minute"]
fn three_hundred_directors() {
    sweep(0..3, 5, 2, 300);
}

/// From a proposal until each director acts on it, beside the version before it and alone, without trouble.
fn spreads(directors: usize, voter_gone: bool) -> (f64, f64) {
    let mut worst = (0.0f64, 0.0f64);
    for seed in 0..10 {
        let mut sim = Sim::new(seed, 3, 0, directors);
        sim.rough = false;
        if voter_gone {
            sim.sites[2].paused_until = f64::INFINITY;
        }
        let propose = |sim: &mut Sim, after: u64| {
            let value = Value { id: 2000 + after, text: text(after, &[0, 1, 2], CONTRADICTION) };
            let at = sim.t;
            sim.at(at, Event::Proposed(0, ClientRequest::Propose { after, value, sure: false }));
        };
        sim.at(0.0, Event::Look);
        propose(&mut sim, 0);
        let begin = 5.0 + 0.1 * seed as f64;
        let (mut proposed, mut beside, mut alone) = (false, None, None);
        while let Some(Due(t, _, event)) = sim.due.pop().filter(|due| due.0 < begin + 5.0) {
            sim.t = t;
            if t >= begin && !std::mem::replace(&mut proposed, true) {
                propose(&mut sim, 1);
            }
            let look = matches!(event, Event::Look);
            sim.step(event);
            if look && proposed {
                let of = |f: usize| {
                    let now = sim.local(3 + f);
                    sim.followers[f]
                        .active_versions(now)
                        .filter(|a| a.version.number == 2 && a.from <= now && now < a.until)
                };
                let all: Vec<_> = (0..directors).map_while(of).collect();
                if all.len() == directors {
                    beside.get_or_insert(t - begin);
                    if all.iter().all(|a| a.older.is_empty()) {
                        alone.get_or_insert(t - begin);
                    }
                }
            }
        }
        worst.0 = worst.0.max(beside.expect("all come to act on it"));
        worst.1 = worst.1.max(alone.expect("and on it alone"));
    }
    worst
}

#[test]
fn a_version_reaches_all_within_a_lease_and_holds_alone_after_another() {
    for (directors, gone) in [(5, false), (5, true), (12, false), (12, true)] {
        told(directors, gone);
    }
}

#[test]
#[ignore = "a minute"]
fn and_three_hundred() {
    told(300, false);
    told(300, true);
}

fn told(directors: usize, gone: bool) {
    let (beside, alone) = spreads(directors, gone);
    println!(
        "{directors} directors, a voter gone: {gone}: all heed it after {beside:.2} s, act on it alone after {alone:.2} s, at most"
    );
    let lease = lease_duration(CONTRADICTION);
    assert!(beside < lease && alone < CONTRADICTION + 0.1, "{beside} {alone}");
}
