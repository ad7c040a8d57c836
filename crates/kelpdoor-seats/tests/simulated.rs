//! Directors, keeper and viewers under random loss, delay, doubling, restarts and clock error, by seed, in virtual
//! time. At no moment are more seats in use than were bought; in the end every seat is free again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use fastrand::Rng;
use kelpdoor_seats::*;

const LEASE: LeaseTerms = LeaseTerms { duration: 20.0, clock_error: 2.5 };
const PATIENCE: HolderTimeouts = HolderTimeouts {
    claim_timeout: 0.3,
    heartbeat_interval: 3.0,
    resend_min: 0.4,
    resend_max: 4.0,
    seats_ahead: 2,
};
const DIRECTORS: u32 = 3;

#[derive(Clone, Debug)]
enum Event {
    KeeperRequest(KeeperRequest),
    ToDirector(DirectorId, KeeperResponse),
    Tick(u32, u64),
    Arrive,
    /// The viewer of that token is done, or comes again elsewhere.
    Leave(TokenId),
    Again(TokenId),
    /// Shows a later token where it plays.
    Renew(TokenId),
    KeeperDown,
    KeeperUp,
    DirectorRestart,
}

struct World {
    rng: Rng,
    now: f64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    ledger: Option<Ledger>,
    kept: Vec<Change>,
    holders: Vec<Holder>,
    /// Clock error of each director, s.
    off: Vec<f64>,
    ticks: Vec<u64>,
    school: School,
    bought: u32,
    /// Tokens that are out: director and expiry.
    tokens: BTreeMap<TokenId, (u32, f64)>,
    granted: u64,
    refused: BTreeMap<&'static str, u64>,
    ended: u64,
    lifetimes: u64,
    loss: f64,
    trouble: bool,
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = Rng::with_seed(seed);
        let bought = rng.u32(3..12);
        let mut world = World {
            now: 1000.0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            ledger: Some(Ledger::new(LEASE)),
            kept: Vec::new(),
            holders: (0..DIRECTORS)
                .map(|d| Holder::new(DirectorId(d), rng.u64(..), LEASE, PATIENCE))
                .collect(),
            off: (0..DIRECTORS).map(|_| rng.f64() * 4.0 - 2.0).collect(),
            ticks: vec![0; DIRECTORS as usize],
            school: School("school".into()),
            bought,
            tokens: BTreeMap::new(),
            granted: 0,
            refused: BTreeMap::new(),
            ended: 0,
            lifetimes: 0,
            loss: 0.1,
            trouble: true,
            rng,
        };
        let school = world.school.clone();
        let ledger = world.ledger.as_mut().unwrap();
        ledger.set_seats(&school, bought);
        world.kept.extend(ledger.take_changes());
        (0..DIRECTORS).for_each(|d| world.tick(d));
        world
    }

    fn at(&mut self, after: f64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((((self.now + after) * 1e6) as u64, self.count)));
        self.events.insert(self.count, event);
    }

    /// A word on its way: lost, late, or doubled.
    fn send(&mut self, event: Event) {
        let copies = match self.rng.f64() {
            x if x < self.loss => 0,
            x if x < self.loss + 0.05 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = if self.rng.f64() < 0.1 { 2.0 } else { 0.05 };
            let after = late * self.rng.f64();
            self.at(after, event.clone());
        }
    }

    fn clock(&self, d: u32) -> f64 {
        self.now + self.off[d as usize]
    }

    fn done(&mut self, d: u32, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Send(word) => self.send(Event::KeeperRequest(word)),
                Output::Granted { .. } => self.granted += 1,
                Output::Refused { token, why, .. } => {
                    let name = match why {
                        RefusalReason::Full { .. } => "full",
                        RefusalReason::Expired => "expired",
                        RefusalReason::NoKeeper => "no keeper",
                    };
                    *self.refused.entry(name).or_default() += 1;
                    if self.tokens.get(&token).is_some_and(|t| t.0 == d) {
                        self.tokens.remove(&token);
                    }
                }
                Output::Ended { token, .. } => {
                    self.ended += 1;
                    if self.tokens.get(&token).is_some_and(|t| t.0 == d) {
                        self.tokens.remove(&token);
                    }
                }
            }
        }
        self.tick(d);
    }

    fn tick(&mut self, d: u32) {
        self.ticks[d as usize] += 1;
        let n = self.ticks[d as usize];
        let wait = (self.holders[d as usize].next_timer_at() - self.clock(d)).clamp(0.02, 5.0);
        self.at(wait, Event::Tick(d, n));
    }

    fn ask(&mut self, d: u32, token: &TokenId, expires: f64) {
        let (now, school) = (self.clock(d), self.school.clone());
        let out = self.holders[d as usize].request_seat(now, &school, token, expires, 1.0);
        self.done(d, out);
    }

    fn act(&mut self, event: Event) {
        match event {
            Event::KeeperRequest(word) => {
                let now = self.now;
                let Some(ledger) = &mut self.ledger else { return };
                let answers = ledger.handle_request(now, &word);
                self.kept.extend(ledger.take_changes());
                // Now and then it dies between writing down and answering.
                if self.trouble && self.rng.f64() < 0.0005 {
                    return self.act(Event::KeeperDown);
                }
                answers.into_iter().for_each(|(to, word)| self.send(Event::ToDirector(to, word)));
            }
            Event::ToDirector(d, word) => {
                let now = self.clock(d.0);
                let out = self.holders[d.0 as usize].handle_response(now, &word);
                self.done(d.0, out);
            }
            Event::Tick(d, n) => {
                if self.ticks[d as usize] == n {
                    let now = self.clock(d);
                    let out = self.holders[d as usize].tick(now);
                    self.done(d, out);
                }
            }
            Event::Arrive => {
                self.lifetimes += 1;
                let token = TokenId(format!("t{}", self.lifetimes));
                let (d, lasts) = (self.rng.u32(..DIRECTORS), 3.0 + 15.0 * self.rng.f64());
                let expires = self.now + lasts;
                self.tokens.insert(token.clone(), (d, expires));
                self.ask(d, &token, expires);
                if self.rng.f64() < 0.3 {
                    // A retry with the same token.
                    self.ask(d, &token, expires);
                }
                if self.rng.f64() < 0.5 {
                    let after = lasts * self.rng.f64();
                    self.at(after, Event::Renew(token.clone()));
                }
                let after = lasts * 1.3 * self.rng.f64();
                let next = if self.rng.f64() < 0.3 { Event::Again(token) } else { Event::Leave(token) };
                self.at(after, next);
            }
            Event::Leave(token) => {
                if let Some((d, _)) = self.tokens.remove(&token) {
                    let (now, school) = (self.clock(d), self.school.clone());
                    let out = self.holders[d as usize].release(now, &school, &token);
                    self.done(d, out);
                }
            }
            Event::Again(token) => {
                if let Some((_, expires)) = self.tokens.get(&token).copied() {
                    // At another director, without a word to the first, and renewed.
                    let (d, expires) = (self.rng.u32(..DIRECTORS), expires + 5.0);
                    self.tokens.insert(token.clone(), (d, expires));
                    self.ask(d, &token, expires);
                    let after = 10.0 * self.rng.f64();
                    self.at(after, Event::Leave(token));
                }
            }
            Event::Renew(token) => {
                if let Some((d, expires)) = self.tokens.get(&token).copied() {
                    let expires = expires + 8.0;
                    self.tokens.insert(token.clone(), (d, expires));
                    self.ask(d, &token, expires);
                }
            }
            Event::KeeperDown => {
                self.ledger = None;
                let after = 0.5 + 12.0 * self.rng.f64();
                self.at(after, Event::KeeperUp);
            }
            Event::KeeperUp => {
                if self.ledger.is_none() {
                    let mut ledger = Ledger::new(LEASE);
                    self.kept.iter().for_each(|c| ledger.apply(c));
                    ledger.resume(self.now);
                    self.ledger = Some(ledger);
                }
            }
            Event::DirectorRestart => {
                let d = self.rng.u32(..DIRECTORS);
                self.holders[d as usize] = Holder::new(DirectorId(d), self.rng.u64(..), LEASE, PATIENCE);
                self.tokens.retain(|_, t| t.0 != d);
                self.tick(d);
            }
        }
    }

    /// Tokens that hold a seat at any director.
    fn in_use(&self) -> usize {
        let mut all = BTreeSet::new();
        for token in self.tokens.keys() {
            if self.holders.iter().any(|h| h.holds(&self.school, token)) {
                all.insert(token);
            }
        }
        all.len()
    }

    fn run(&mut self, until: f64) -> Result<(), String> {
        while let Some(Reverse((at, n))) = self.queue.peek().copied() {
            if at as f64 / 1e6 > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at as f64 / 1e6);
            if let Some(event) = self.events.remove(&n) {
                self.act(event);
            }
            if let Some(ledger) = &self.ledger {
                ledger.audit()?;
            }
            let lent = |d: usize| self.holders[d].leased(self.clock(d as u32), &self.school) as usize;
            let used = self.in_use() + (0..self.holders.len()).map(lent).sum::<usize>();
            if used > self.bought as usize {
                return Err(format!("{used} seats in use or lent of {} at {:.3}", self.bought, self.now));
            }
        }
        self.now = until;
        Ok(())
    }
}

/// One seed's day of about so many lifetimes; what it came to.
fn day(seed: u64, lifetimes: u64) -> Result<World, String> {
    let mut world = World::new(seed);
    // From one viewer a second to a crowd that fills whatever comes free.
    let pace = [1.0, 0.3, 0.1][seed as usize % 3];
    let end = world.now + lifetimes as f64 * pace;
    for _ in 0..lifetimes {
        let after = (end - world.now) * world.rng.f64();
        world.at(after, Event::Arrive);
    }
    for _ in 0..lifetimes / 60 {
        let after = (end - world.now) * world.rng.f64();
        let event = if world.rng.bool() { Event::KeeperDown } else { Event::DirectorRestart };
        world.at(after, event);
    }
    world.run(end)?;
    // All viewers are gone, nothing is lost any more; then every lease is over.
    (world.loss, world.trouble) = (0.0, false);
    world.run(end + 60.0)?;
    let school = world.school.clone();
    let held: usize = world.holders.iter().map(Holder::held).sum();
    let now = world.now;
    let ledger = world.ledger.as_mut().ok_or("the keeper is down")?;
    ledger.expire(now);
    let s = ledger.status(&school);
    if held > 0 || s.held > 0 || s.free + s.leased != s.bought {
        return Err(format!("stranded: {held} at directors, {s:?}"));
    }
    Ok(world)
}

#[test]
fn seats_are_counted_once_and_freed_once() {
    let (mut lifetimes, mut granted, mut ended) = (0, 0, 0);
    let mut refused: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..40 {
        let world = day(seed, 300).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        lifetimes += world.lifetimes;
        granted += world.granted;
        ended += world.ended;
        for (why, n) in world.refused {
            *refused.entry(why).or_default() += n;
        }
    }
    assert_eq!(lifetimes, 40 * 300);
    // Every way out was gone.
    assert!(granted > 4000 && ended > 100, "{granted} granted, {ended} ended");
    assert!(["full", "no keeper"].iter().all(|w| refused.get(w).is_some_and(|n| *n > 50)), "{refused:?}");
}

/// Some seconds in the release profile.
#[test]
fn a_hundred_thousand_lifetimes() {
    for seed in 1000..1100 {
        day(seed, 1000).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}
