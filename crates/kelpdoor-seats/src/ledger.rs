//! The keeper's side.
//!
//! A seat is held by a token at one director's epoch, until that gives it back, as it does when the token expires, or its
//! lease lapses. The keeper does not end seats by their expiry alone: a renewal may be under way to it. Seats
//! lent ahead are counted as taken. At all times held + lent <= bought, but for a pool that was shrunk under what is
//! held: then nothing is given out until enough came back.
//!
//! Every change is a [`Change`] that can be written down and applied again to the same end.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{DirectorId, Epoch, KeeperRequest, KeeperResponse, School, TokenId};

/// How long what a director holds outlives its last word.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    /// s; also how long seats are lent.
    pub duration: f64,
    /// s; clocks of directors and keeper may differ by so much, so a seat is freed that much later.
    pub clock_error: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Seat {
    director: DirectorId,
    epoch: Epoch,
    expires: f64,
    /// The director's word that it came or was last renewed by: older ones change nothing.
    n: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Pool {
    bought: u32,
    seats: BTreeMap<TokenId, Seat>,
    /// Lent ahead, by epoch: count, until, and the word that asked last.
    lent: BTreeMap<Epoch, (u32, f64, u64)>,
    /// Releases seen of late, by epoch, and until when they are remembered: a claim that was overtaken by its own
    /// release must not take a seat for nobody. Not kept over a restart: the director then releases again.
    #[serde(skip)]
    released: BTreeMap<(Epoch, TokenId), (u64, f64)>,
    /// Seats that moved away from an epoch that has not said so yet, and the word it held them by.
    #[serde(skip)]
    moved: BTreeSet<(Epoch, TokenId, u64)>,
}

impl Pool {
    fn lent(&self) -> u32 {
        self.lent.values().map(|l| l.0).sum()
    }

    /// Tokens given back by the director that they moved to, before the one they moved from has said that it let go:
    /// it may stand still, with the session playing on.
    fn moving(&self) -> u32 {
        let left: BTreeSet<&TokenId> =
            self.moved.iter().map(|m| &m.1).filter(|t| !self.seats.contains_key(t)).collect();
        left.len() as u32
    }

    fn taken(&self) -> u32 {
        self.seats.len() as u32 + self.lent() + self.moving()
    }

    fn free(&self) -> u32 {
        self.bought.saturating_sub(self.taken())
    }
}

/// A change as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    Bought {
        school: School,
        seats: u32,
    },
    Epoch {
        director: DirectorId,
        nonce: u64,
        epoch: Epoch,
        at: f64,
    },
    Held {
        school: School,
        token: TokenId,
        director: DirectorId,
        epoch: Epoch,
        expires: f64,
        n: u64,
        at: f64,
    },
    Freed {
        school: School,
        token: TokenId,
    },
    Lent {
        school: School,
        epoch: Epoch,
        count: u32,
        until: f64,
        n: u64,
    },
    Lapsed {
        epoch: Epoch,
    },
    /// The seat that an epoch held by that word moved away; kept where a whole ledger is written down.
    Away {
        school: School,
        token: TokenId,
        epoch: Epoch,
        n: u64,
    },
}

/// A school's seats at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchoolStatus {
    pub bought: u32,
    pub held: u32,
    pub leased: u32,
    /// Given back where they moved to, not yet where they moved from.
    pub moving: u32,
    pub free: u32,
}

#[derive(Clone, Debug, PartialEq)]
struct Known {
    director: DirectorId,
    nonce: u64,
    heard: f64,
}

/// s; what has run out is looked for so often. Later frees nothing too early.
const SWEEP_EVERY: f64 = 0.25;
/// Starts of directors whose leases run, at most; more hellos are not answered.
const MAX_EPOCHS: usize = 20_000;
/// Releases of one school remembered at most; the first are forgotten.
const MAX_RELEASED: usize = 100_000;
/// Moves told again with one beat, of one school, at most.
const MOVED_AGAIN: usize = 100;

/// See the module.
pub struct Ledger {
    lease: LeaseTerms,
    pools: BTreeMap<School, Pool>,
    epochs: BTreeMap<Epoch, Known>,
    current: BTreeMap<DirectorId, Epoch>,
    last: Epoch,
    swept_at: f64,
    /// When this start of the keeper's began.
    began: f64,
    changes: Vec<Change>,
}

impl Ledger {
    pub fn new(lease: LeaseTerms) -> Self {
        Ledger {
            lease,
            pools: BTreeMap::new(),
            epochs: BTreeMap::new(),
            current: BTreeMap::new(),
            last: Epoch(0),
            swept_at: f64::NEG_INFINITY,
            began: f64::NEG_INFINITY,
            changes: Vec::new(),
        }
    }

    /// What changed since the last call, to be kept before the answers go out.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Sets how many seats a school has; fewer than held takes none away, but gives none out either.
    pub fn set_seats(&mut self, school: &School, seats: u32) {
        self.change(Change::Bought { school: school.clone(), seats });
    }

    pub fn status(&self, school: &School) -> SchoolStatus {
        let Some(pool) = self.pools.get(school) else { return SchoolStatus::default() };
        let (held, leased, moving) = (pool.seats.len() as u32, pool.lent(), pool.moving());
        SchoolStatus { bought: pool.bought, held, leased, moving, free: pool.free() }
    }

    pub fn schools(&self) -> impl Iterator<Item = &School> {
        self.pools.keys()
    }

    /// Directors whose leases run.
    pub fn directors(&self) -> usize {
        self.current.len()
    }

    /// Seats of a school whose tokens run out before that time.
    pub fn expiring(&self, school: &School, before: f64) -> u32 {
        let pool = self.pools.get(school);
        pool.map_or(0, |p| p.seats.values().filter(|s| s.expires < before).count() as u32)
    }

    /// The director and epoch that hold a token's seat.
    pub fn holder(&self, school: &School, token: &TokenId) -> Option<(DirectorId, Epoch)> {
        self.pools.get(school)?.seats.get(token).map(|s| (s.director, s.epoch))
    }

    fn change(&mut self, change: Change) {
        self.apply(&change);
        self.changes.push(change);
    }

    /// Does a change that was kept, as after a restart.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Bought { school, seats } => {
                self.pools.entry(school.clone()).or_default().bought = *seats;
            }
            Change::Epoch { director, nonce, epoch, at } => {
                self.last = self.last.max(*epoch);
                self.epochs.insert(*epoch, Known { director: *director, nonce: *nonce, heard: *at });
                let current = self.current.entry(*director).or_insert(*epoch);
                *current = (*current).max(*epoch);
                // Its start before this one is over, and so is what it had not let go of.
                let (epochs, current) = (&self.epochs, *current);
                let old = |e: &Epoch| *e != current && epochs.get(e).is_some_and(|k| k.director == *director);
                self.pools.values_mut().for_each(|p| p.moved.retain(|m| !old(&m.0)));
            }
            Change::Held { school, token, director, epoch, expires, n, at } => {
                let seat = Seat { director: *director, epoch: *epoch, expires: *expires, n: *n };
                let pool = self.pools.entry(school.clone()).or_default();
                if !pool.moved.is_empty() {
                    pool.moved.retain(|m| (m.0, &m.1) != (*epoch, token));
                }
                let before = pool.seats.insert(token.clone(), seat);
                let stands = |b: &Seat| b.epoch != *epoch && self.current.get(&b.director) == Some(&b.epoch);
                if let Some(before) = before.filter(stands) {
                    pool.moved.insert((before.epoch, token.clone(), before.n));
                }
                if let Some(known) = self.epochs.get_mut(epoch) {
                    known.heard = known.heard.max(*at);
                }
            }
            Change::Freed { school, token } => {
                if let Some(pool) = self.pools.get_mut(school) {
                    pool.seats.remove(token);
                }
            }
            Change::Lent { school, epoch, count, until, n } => {
                let pool = self.pools.entry(school.clone()).or_default();
                pool.lent.insert(*epoch, (*count, *until, *n));
            }
            Change::Away { school, token, epoch, n } => {
                let pool = self.pools.entry(school.clone()).or_default();
                pool.moved.insert((*epoch, token.clone(), *n));
            }
            Change::Lapsed { epoch } => {
                // Its number is never given out again, also when a whole ledger was written down after its end.
                self.last = self.last.max(*epoch);
                self.epochs.remove(epoch);
                self.current.retain(|_, e| e != epoch);
                for pool in self.pools.values_mut() {
                    pool.seats.retain(|_, s| s.epoch != *epoch);
                    pool.lent.remove(epoch);
                    pool.released.retain(|(e, _), _| e != epoch);
                    pool.moved.retain(|m| m.0 != *epoch);
                }
            }
        }
    }

    /// All that stands, as changes: what a new log begins with.
    pub fn snapshot(&self) -> Vec<Change> {
        let mut all = vec![Change::Lapsed { epoch: self.last }];
        for (epoch, k) in &self.epochs {
            let (director, nonce, at) = (k.director, k.nonce, k.heard);
            all.push(Change::Epoch { director, nonce, epoch: *epoch, at });
        }
        for (school, pool) in &self.pools {
            let school = school.clone();
            all.push(Change::Bought { school: school.clone(), seats: pool.bought });
            all.extend(pool.seats.iter().map(|(token, s)| Change::Held {
                school: school.clone(),
                token: token.clone(),
                director: s.director,
                epoch: s.epoch,
                expires: s.expires,
                n: s.n,
                at: 0.0,
            }));
            all.extend(pool.lent.iter().map(|(epoch, &(count, until, n))| Change::Lent {
                school: school.clone(),
                epoch: *epoch,
                count,
                until,
                n,
            }));
            all.extend(pool.moved.iter().map(|(epoch, token, n)| Change::Away {
                school: school.clone(),
                token: token.clone(),
                epoch: *epoch,
                n: *n,
            }));
        }
        all
    }

    /// After a restart from kept changes: nobody could be heard meanwhile, so every lease runs anew from now.
    pub fn resume(&mut self, now: f64) {
        self.began = now;
        self.epochs.values_mut().for_each(|k| k.heard = k.heard.max(now));
    }

    /// Frees what has run out: seats of expired tokens, loans past their time, all of directors not heard.
    pub fn expire(&mut self, now: f64) {
        self.swept_at = now;
        let LeaseTerms { duration, clock_error } = self.lease;
        let lapsed: Vec<Epoch> = self
            .epochs
            .iter()
            .filter(|(_, k)| now > k.heard + duration + clock_error)
            .map(|(epoch, _)| *epoch)
            .collect();
        lapsed.into_iter().for_each(|epoch| self.change(Change::Lapsed { epoch }));
        let mut freed = Vec::new();
        for (school, pool) in &self.pools {
            // A director that lives gives expired seats back itself, or has renewed them while we were away; one that
            // does neither for a whole lease never will.
            // One that has started anew renewed nothing since: its seats end with their tokens.
            let over = |s: &Seat| {
                let stands = self.current.get(&s.director) == Some(&s.epoch);
                let from = if stands { s.expires.max(self.began) + duration } else { s.expires };
                now > from + clock_error
            };
            for (token, _) in pool.seats.iter().filter(|(_, s)| over(s)) {
                freed.push(Change::Freed { school: school.clone(), token: token.clone() });
            }
            for (epoch, (_, _, n)) in pool.lent.iter().filter(|(_, l)| l.0 > 0 && now > l.1 + clock_error) {
                freed.push(Change::Lent {
                    school: school.clone(),
                    epoch: *epoch,
                    count: 0,
                    until: 0.0,
                    n: *n,
                });
            }
        }
        freed.into_iter().for_each(|change| self.change(change));
        self.pools.values_mut().for_each(|p| p.released.retain(|_, (_, until)| now < *until));
    }

    /// As [`expire`](Self::expire), unless that was done a moment ago.
    pub fn sweep(&mut self, now: f64) {
        if now >= self.swept_at + SWEEP_EVERY {
            self.expire(now);
        }
    }

    /// Takes a word in; answers go to the directors named.
    pub fn handle_request(&mut self, now: f64, word: &KeeperRequest) -> Vec<(DirectorId, KeeperResponse)> {
        self.sweep(now);
        let (director, epoch) = match word {
            KeeperRequest::Hello { director, nonce } => {
                return self.hello(now, *director, *nonce).map(|w| (*director, w)).into_iter().collect();
            }
            KeeperRequest::Beat { director, epoch, .. }
            | KeeperRequest::Claim { director, epoch, .. }
            | KeeperRequest::Spent { director, epoch, .. }
            | KeeperRequest::Release { director, epoch, .. }
            | KeeperRequest::Lend { director, epoch, .. } => (*director, *epoch),
        };
        if self.current.get(&director) != Some(&epoch) {
            return vec![(director, KeeperResponse::Fenced { epoch })];
        }
        if let Some(known) = self.epochs.get_mut(&epoch) {
            known.heard = known.heard.max(now);
        }
        match word {
            KeeperRequest::Hello { .. } => Vec::new(),
            KeeperRequest::Beat { n, .. } => {
                let mut out = vec![(director, KeeperResponse::Alive { epoch, n: *n })];
                for (school, pool) in &self.pools {
                    let of = pool.moved.iter().filter(|m| m.0 == epoch).take(MOVED_AGAIN);
                    out.extend(of.map(|(_, token, n)| {
                        let (school, token, n) = (school.clone(), token.clone(), *n);
                        (director, KeeperResponse::Moved { epoch, school, token, n })
                    }));
                }
                out
            }
            KeeperRequest::Claim { school, token, expires, n, .. } => {
                self.claim(now, (director, epoch), school, token, *expires, *n, false)
            }
            KeeperRequest::Spent { school, token, expires, n, .. } => {
                self.claim(now, (director, epoch), school, token, *expires, *n, true)
            }
            KeeperRequest::Release { school, token, n, .. } => {
                self.release(now, epoch, school, token, *n);
                let (school, token, n) = (school.clone(), token.clone(), *n);
                vec![(director, KeeperResponse::Freed { epoch, school, token, n })]
            }
            KeeperRequest::Lend { school, want, n, .. } => {
                vec![(director, self.lend(now, epoch, school, *want, *n))]
            }
        }
    }

    /// A new epoch for a new start. The old one's loans and seats stay until its lease lapses or the viewers come
    /// again: the old process may live on somewhere, cut off from us.
    fn hello(&mut self, now: f64, director: DirectorId, nonce: u64) -> Option<KeeperResponse> {
        let same =
            self.current.get(&director).filter(|e| self.epochs.get(e).is_some_and(|k| k.nonce == nonce));
        let epoch = match same {
            // Its first hello was heard, our answer was not.
            Some(epoch) => {
                let epoch = *epoch;
                if let Some(known) = self.epochs.get_mut(&epoch) {
                    known.heard = known.heard.max(now);
                }
                epoch
            }
            None if self.epochs.len() >= MAX_EPOCHS => return None,
            None => {
                let epoch = Epoch(self.last.0 + 1);
                self.change(Change::Epoch { director, nonce, epoch, at: now });
                epoch
            }
        };
        Some(KeeperResponse::Welcome { nonce, epoch })
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one word")]
    fn claim(
        &mut self, now: f64, (director, epoch): (DirectorId, Epoch), school: &School, token: &TokenId,
        expires: f64, n: u64, spent: bool,
    ) -> Vec<(DirectorId, KeeperResponse)> {
        let (school, token) = (school.clone(), token.clone());
        let Some(pool) = self.pools.get(&school) else {
            // No such school: nothing is kept of it.
            let come_back = self.lease.duration;
            return vec![(director, KeeperResponse::Full { epoch, school, token, n, come_back })];
        };
        let overtaken = pool.released.get(&(epoch, token.clone())).is_some_and(|r| r.0 >= n);
        let held = pool.seats.get(&token).cloned();
        let granted = KeeperResponse::Granted { epoch, school: school.clone(), token: token.clone(), n };
        if now > expires + self.lease.clock_error {
            return vec![(director, KeeperResponse::Expired { epoch, school, token, n })];
        }
        let lent = pool.lent.get(&epoch).map_or(0, |l| l.0);
        let same = held.as_ref().filter(|s| s.epoch == epoch);
        let expires = same.map_or(expires, |s| s.expires.max(expires));
        let seat = Change::Held {
            school: school.clone(),
            token: token.clone(),
            director,
            epoch,
            expires,
            n,
            at: now,
        };
        match held {
            _ if overtaken => {
                // Its own release came first, or the seat has moved on since: an old word, and one that may have
                // been heard before, so that what it says of loans is not counted again.
                vec![(director, granted)]
            }
            Some(seat_now) if seat_now.epoch == epoch => {
                // Also one that asks for no longer: a release said before it, and heard late, must free nothing.
                if n > seat_now.n {
                    self.change(seat);
                }
                vec![(director, granted)]
            }
            Some(before) => {
                // The viewer came again elsewhere: the one seat goes along, and the one lent comes back.
                if spent {
                    self.unlend(&school, epoch, n);
                }
                self.change(seat);
                let until = now + self.lease.duration;
                if let Some(pool) = self.pools.get_mut(&school) {
                    pool.released.insert((before.epoch, token.clone()), (before.n, until));
                }
                let moved = KeeperResponse::Moved { epoch: before.epoch, school, token, n: before.n };
                vec![(director, granted), (before.director, moved)]
            }
            None if spent && lent > 0 => {
                self.unlend(&school, epoch, n);
                self.change(seat);
                vec![(director, granted)]
            }
            None if pool.free() > 0 => {
                self.change(seat);
                vec![(director, granted)]
            }
            None => {
                let come_back = self.next_end(&school, now);
                vec![(director, KeeperResponse::Full { epoch, school, token, n, come_back })]
            }
        }
    }

    /// One fewer is lent: it became a seat, or was not needed.
    fn unlend(&mut self, school: &School, epoch: Epoch, n: u64) {
        let Some(&(count, until, last)) = self.pools.get(school).and_then(|p| p.lent.get(&epoch)) else {
            return;
        };
        if count > 0 {
            let change =
                Change::Lent { school: school.clone(), epoch, count: count - 1, until, n: last.max(n) };
            self.change(change);
        }
    }

    /// When the next seat may come free, from now.
    fn next_end(&self, school: &School, now: f64) -> f64 {
        let ends = self.pools.get(school).into_iter().flat_map(|p| p.seats.values()).map(|s| s.expires - now);
        ends.fold(self.lease.duration, f64::min).max(1.0)
    }

    fn release(&mut self, now: f64, epoch: Epoch, school: &School, token: &TokenId, n: u64) {
        let (school, token) = (school.clone(), token.clone());
        let seat = self.pools.get(&school).and_then(|p| p.seats.get(&token)).cloned();
        // Only the holder's own word frees it, and only a later one than it came by.
        if seat.is_some_and(|s| s.epoch == epoch && s.n <= n) {
            self.change(Change::Freed { school: school.clone(), token: token.clone() });
        }
        let until = now + self.lease.duration;
        let Some(pool) = self.pools.get_mut(&school) else { return };
        pool.moved.retain(|m| (m.0, &m.1) != (epoch, &token) || m.2 > n);
        if pool.released.len() >= MAX_RELEASED {
            // A claim overtaken by it takes a seat then, until its director, which does not want it, releases again.
            pool.released.pop_first();
        }
        let seen = pool.released.entry((epoch, token)).or_insert((n, until));
        *seen = (seen.0.max(n), until);
    }

    fn lend(&mut self, now: f64, epoch: Epoch, school: &School, want: u32, n: u64) -> KeeperResponse {
        let directors = self.current.len().max(1) as u32;
        let Some(pool) = self.pools.get(school) else {
            return KeeperResponse::Lent {
                epoch,
                school: school.clone(),
                count: 0,
                until: now + self.lease.duration,
                n,
            };
        };
        let (have, until, last) = pool.lent.get(&epoch).copied().unwrap_or((0, 0.0, 0));
        if n <= last {
            return KeeperResponse::Lent { epoch, school: school.clone(), count: have, until, n: last };
        }
        // No director gets more of what is free than its even part, so that none is left without.
        let most = have + (pool.free() / directors).max(u32::from(pool.free() > 0));
        let count = want.min(most);
        let until = now + self.lease.duration;
        self.change(Change::Lent { school: school.clone(), epoch, count, until, n });
        KeeperResponse::Lent { epoch, school: school.clone(), count, until, n }
    }

    /// Whether the books are in order; what is wrong, else.
    pub fn audit(&self) -> Result<(), String> {
        for (school, pool) in &self.pools {
            let taken = pool.seats.len() as u32 + pool.lent();
            if taken > pool.bought && pool.lent() > 0 {
                return Err(format!("{}: {taken} taken of {}, some lent", school.0, pool.bought));
            }
            let live: BTreeSet<&Epoch> = self.epochs.keys().collect();
            if let Some((token, s)) = pool.seats.iter().find(|(_, s)| !live.contains(&s.epoch)) {
                return Err(format!("{}: {} is held by {:?}, which is over", school.0, token.0, s.epoch));
            }
        }
        Ok(())
    }
}
