//! The keeper's side of seat accounting.
//!
//! A token holds its seat at one epoch of a director until that director releases it, as it does when the token
//! expires, or until its lease lapses. The keeper does not end the seats of a live director at their expiry, since a
//! renewal may be on its way. Seats leased in advance count as taken. At all times held + leased <= bought, except
//! after a pool was shrunk below what is held: then no seat is granted until enough are released.
//!
//! Every state change is a [`Change`] that can be logged and replayed.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{DirectorId, Epoch, KeeperRequest, KeeperResponse, School, TokenId};

/// How long a director's seats outlive its last message.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    /// Seconds that a director's lease lasts after a message; also how long seats are leased in advance.
    pub duration: f64,
    /// Largest difference between the clocks of directors and keeper, in seconds; seats are freed that much later.
    pub clock_error: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Seat {
    director: DirectorId,
    epoch: Epoch,
    expires: f64,
    /// Number of the message that claimed or last renewed it; older messages change nothing.
    n: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Pool {
    bought: u32,
    seats: BTreeMap<TokenId, Seat>,
    /// Advance leases by epoch: number of seats, end, and the number of the last request.
    #[serde(rename = "lent")]
    leases: BTreeMap<Epoch, (u32, f64, u64)>,
    /// Recent releases by epoch: message number, and until when they are remembered. A claim that arrives after its
    /// own release must not take a seat that nobody uses. Not logged: after a restart of the keeper, the
    /// director releases such a seat again.
    #[serde(skip)]
    released: BTreeMap<(Epoch, TokenId), (u64, f64)>,
    /// Seats that moved away from an epoch whose director has not released them yet, with the number of its claim.
    #[serde(skip)]
    moved: BTreeSet<(Epoch, TokenId, u64)>,
}

impl Pool {
    fn leased(&self) -> u32 {
        self.leases.values().map(|l| l.0).sum()
    }

    /// Number of tokens released by the director they moved to but not yet by the one they moved from, which may be
    /// unresponsive while its session plays on.
    fn moving(&self) -> u32 {
        let tokens: BTreeSet<&TokenId> =
            self.moved.iter().map(|m| &m.1).filter(|t| !self.seats.contains_key(t)).collect();
        tokens.len() as u32
    }

    fn taken(&self) -> u32 {
        self.seats.len() as u32 + self.leased() + self.moving()
    }

    fn free(&self) -> u32 {
        self.bought.saturating_sub(self.taken())
    }
}

/// A change of the ledger, as the log stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A school's number of seats was set.
    Bought { school: School, seats: u32 },
    /// A director started an epoch.
    Epoch { director: DirectorId, nonce: u64, epoch: Epoch, at: f64 },
    /// An epoch claimed or renewed a token's seat.
    Held { school: School, token: TokenId, director: DirectorId, epoch: Epoch, expires: f64, n: u64, at: f64 },
    /// A seat was released or expired.
    Freed { school: School, token: TokenId },
    /// An epoch's advance lease now has `count` seats.
    Lent { school: School, epoch: Epoch, count: u32, until: f64, n: u64 },
    /// An epoch ended with all that it held.
    Lapsed { epoch: Epoch },
    /// A seat that an epoch held by message `n` moved to another one. Part of snapshots only.
    Away { school: School, token: TokenId, epoch: Epoch, n: u64 },
}

/// Seat counts of a school.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchoolStatus {
    pub bought: u32,
    pub held: u32,
    pub leased: u32,
    /// Released by the director they moved to, not yet by the one they moved from.
    pub moving: u32,
    pub free: u32,
}

#[derive(Clone, Debug, PartialEq)]
/// A start of a director whose lease runs.
struct EpochState {
    director: DirectorId,
    nonce: u64,
    last_heard: f64,
}

/// Seconds between two sweeps for expired leases and seats; a late sweep only frees them later.
const SWEEP_INTERVAL: f64 = 0.25;
/// Maximum number of epochs whose leases run; further hellos are not answered.
const MAX_EPOCHS: usize = 20_000;
/// Maximum number of remembered releases of a school; the first in key order are dropped.
const MAX_RELEASES: usize = 100_000;
/// Maximum number of `Moved` messages of one school that are repeated with one heartbeat.
const MAX_REPEATED_MOVES: usize = 100;

/// Who holds each seat; a state machine without I/O. Times are seconds on the caller's clock.
pub struct Ledger {
    terms: LeaseTerms,
    pools: BTreeMap<School, Pool>,
    epochs: BTreeMap<Epoch, EpochState>,
    current: BTreeMap<DirectorId, Epoch>,
    last_epoch: Epoch,
    swept_at: f64,
    /// When the keeper started.
    started_at: f64,
    changes: Vec<Change>,
}

impl Ledger {
    pub fn new(terms: LeaseTerms) -> Self {
        Ledger {
            terms,
            pools: BTreeMap::new(),
            epochs: BTreeMap::new(),
            current: BTreeMap::new(),
            last_epoch: Epoch(0),
            swept_at: f64::NEG_INFINITY,
            started_at: f64::NEG_INFINITY,
            changes: Vec::new(),
        }
    }

    /// Takes the changes since the last call. They have to be stored before the responses are sent.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Sets the number of seats of a school. Held seats stay even if there are more of them; no further one is granted.
    pub fn set_seats(&mut self, school: &School, seats: u32) {
        self.record(Change::Bought { school: school.clone(), seats });
    }

    /// The seat counts of a school; all zero if it is unknown.
    pub fn status(&self, school: &School) -> SchoolStatus {
        let Some(pool) = self.pools.get(school) else { return SchoolStatus::default() };
        let (held, leased, moving) = (pool.seats.len() as u32, pool.leased(), pool.moving());
        SchoolStatus { bought: pool.bought, held, leased, moving, free: pool.free() }
    }

    pub fn schools(&self) -> impl Iterator<Item = &School> {
        self.pools.keys()
    }

    /// Number of directors whose leases run.
    pub fn directors(&self) -> usize {
        self.current.len()
    }

    /// Number of a school's seats whose tokens expire before that time.
    pub fn expiring(&self, school: &School, before: f64) -> u32 {
        let pool = self.pools.get(school);
        pool.map_or(0, |p| p.seats.values().filter(|s| s.expires < before).count() as u32)
    }

    /// The director and epoch that hold a token's seat.
    pub fn holder(&self, school: &School, token: &TokenId) -> Option<(DirectorId, Epoch)> {
        self.pools.get(school)?.seats.get(token).map(|s| (s.director, s.epoch))
    }

    fn record(&mut self, change: Change) {
        self.apply(&change);
        self.changes.push(change);
    }

    /// Applies a stored change, as in replay after a restart.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Bought { school, seats } => {
                self.pools.entry(school.clone()).or_default().bought = *seats;
            }
            Change::Epoch { director, nonce, epoch, at } => {
                self.last_epoch = self.last_epoch.max(*epoch);
                self.epochs
                    .insert(*epoch, EpochState { director: *director, nonce: *nonce, last_heard: *at });
                let current = self.current.entry(*director).or_insert(*epoch);
                *current = (*current).max(*epoch);
                // The director's earlier epoch is over; it can no longer release what moved away from it.
                let (epochs, current) = (&self.epochs, *current);
                let is_earlier =
                    |e: &Epoch| *e != current && epochs.get(e).is_some_and(|k| k.director == *director);
                self.pools.values_mut().for_each(|p| p.moved.retain(|m| !is_earlier(&m.0)));
            }
            Change::Held { school, token, director, epoch, expires, n, at } => {
                let seat = Seat { director: *director, epoch: *epoch, expires: *expires, n: *n };
                let pool = self.pools.entry(school.clone()).or_default();
                if !pool.moved.is_empty() {
                    pool.moved.retain(|m| (m.0, &m.1) != (*epoch, token));
                }
                let previous = pool.seats.insert(token.clone(), seat);
                let moved_away =
                    |p: &Seat| p.epoch != *epoch && self.current.get(&p.director) == Some(&p.epoch);
                if let Some(previous) = previous.filter(moved_away) {
                    pool.moved.insert((previous.epoch, token.clone(), previous.n));
                }
                if let Some(state) = self.epochs.get_mut(epoch) {
                    state.last_heard = state.last_heard.max(*at);
                }
            }
            Change::Freed { school, token } => {
                if let Some(pool) = self.pools.get_mut(school) {
                    pool.seats.remove(token);
                }
            }
            Change::Lent { school, epoch, count, until, n } => {
                let pool = self.pools.entry(school.clone()).or_default();
                pool.leases.insert(*epoch, (*count, *until, *n));
            }
            Change::Away { school, token, epoch, n } => {
                let pool = self.pools.entry(school.clone()).or_default();
                pool.moved.insert((*epoch, token.clone(), *n));
            }
            Change::Lapsed { epoch } => {
                // Epoch numbers are never reused, also after a snapshot that was taken after the epoch's end.
                self.last_epoch = self.last_epoch.max(*epoch);
                self.epochs.remove(epoch);
                self.current.retain(|_, e| e != epoch);
                for pool in self.pools.values_mut() {
                    pool.seats.retain(|_, s| s.epoch != *epoch);
                    pool.leases.remove(epoch);
                    pool.released.retain(|(e, _), _| e != epoch);
                    pool.moved.retain(|m| m.0 != *epoch);
                }
            }
        }
    }

    /// The whole state as changes, to start a new log with.
    pub fn snapshot(&self) -> Vec<Change> {
        let mut all = vec![Change::Lapsed { epoch: self.last_epoch }];
        for (epoch, k) in &self.epochs {
            let (director, nonce, at) = (k.director, k.nonce, k.last_heard);
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
            all.extend(pool.leases.iter().map(|(epoch, &(count, until, n))| Change::Lent {
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

    /// Has to be called after the replay of a log: restarts all leases, as no message could arrive during the downtime.
    pub fn resume(&mut self, now: f64) {
        self.started_at = now;
        self.epochs.values_mut().for_each(|k| k.last_heard = k.last_heard.max(now));
    }

    /// Frees expired seats, expired advance leases, and all that silent directors held.
    pub fn expire(&mut self, now: f64) {
        self.swept_at = now;
        let LeaseTerms { duration, clock_error } = self.terms;
        let lapsed: Vec<Epoch> = self
            .epochs
            .iter()
            .filter(|(_, k)| now > k.last_heard + duration + clock_error)
            .map(|(epoch, _)| *epoch)
            .collect();
        lapsed.into_iter().for_each(|epoch| self.record(Change::Lapsed { epoch }));
        let mut freed = Vec::new();
        for (school, pool) in &self.pools {
            // A live director releases expired seats itself, or has renewed them while the keeper was down; if it does
            // neither for a whole lease, it never will. An epoch replaced by a new start of its director renews
            // nothing any more, so its seats end with their tokens.
            let is_over = |s: &Seat| {
                let is_current = self.current.get(&s.director) == Some(&s.epoch);
                let end = if is_current { s.expires.max(self.started_at) + duration } else { s.expires };
                now > end + clock_error
            };
            for (token, _) in pool.seats.iter().filter(|(_, s)| is_over(s)) {
                freed.push(Change::Freed { school: school.clone(), token: token.clone() });
            }
            for (epoch, (_, _, n)) in pool.leases.iter().filter(|(_, l)| l.0 > 0 && now > l.1 + clock_error) {
                freed.push(Change::Lent {
                    school: school.clone(),
                    epoch: *epoch,
                    count: 0,
                    until: 0.0,
                    n: *n,
                });
            }
        }
        freed.into_iter().for_each(|change| self.record(change));
        self.pools.values_mut().for_each(|p| p.released.retain(|_, (_, until)| now < *until));
    }

    /// Calls [`expire`](Self::expire) unless it ran within the last quarter of a second.
    pub fn sweep(&mut self, now: f64) {
        if now >= self.swept_at + SWEEP_INTERVAL {
            self.expire(now);
        }
    }

    /// Handles a message; returns the responses and the directors they go to.
    pub fn handle_request(&mut self, now: f64, request: &KeeperRequest) -> Vec<(DirectorId, KeeperResponse)> {
        self.sweep(now);
        let (director, epoch) = match request {
            KeeperRequest::Hello { director, nonce } => {
                return self
                    .handle_hello(now, *director, *nonce)
                    .map(|r| (*director, r))
                    .into_iter()
                    .collect();
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
        if let Some(state) = self.epochs.get_mut(&epoch) {
            state.last_heard = state.last_heard.max(now);
        }
        match request {
            KeeperRequest::Hello { .. } => Vec::new(),
            KeeperRequest::Beat { n, .. } => {
                let mut out = vec![(director, KeeperResponse::Alive { epoch, n: *n })];
                for (school, pool) in &self.pools {
                    let moves = pool.moved.iter().filter(|m| m.0 == epoch).take(MAX_REPEATED_MOVES);
                    out.extend(moves.map(|(_, token, n)| {
                        let (school, token, n) = (school.clone(), token.clone(), *n);
                        (director, KeeperResponse::Moved { epoch, school, token, n })
                    }));
                }
                out
            }
            KeeperRequest::Claim { school, token, expires, n, .. } => {
                self.handle_claim(now, (director, epoch), school, token, *expires, *n, false)
            }
            KeeperRequest::Spent { school, token, expires, n, .. } => {
                self.handle_claim(now, (director, epoch), school, token, *expires, *n, true)
            }
            KeeperRequest::Release { school, token, n, .. } => {
                self.handle_release(now, epoch, school, token, *n);
                let (school, token, n) = (school.clone(), token.clone(), *n);
                vec![(director, KeeperResponse::Freed { epoch, school, token, n })]
            }
            KeeperRequest::Lend { school, want, n, .. } => {
                vec![(director, self.handle_lend(now, epoch, school, *want, *n))]
            }
        }
    }

    /// Starts an epoch for a new start of a director. Seats and advance leases of the old epoch stay until its lease
    /// lapses or the viewers reconnect, as the old process may still run without a connection to the keeper.
    fn handle_hello(&mut self, now: f64, director: DirectorId, nonce: u64) -> Option<KeeperResponse> {
        let same =
            self.current.get(&director).filter(|e| self.epochs.get(e).is_some_and(|k| k.nonce == nonce));
        let epoch = match same {
            // A resent hello: the response to the first one was lost.
            Some(epoch) => {
                let epoch = *epoch;
                if let Some(state) = self.epochs.get_mut(&epoch) {
                    state.last_heard = state.last_heard.max(now);
                }
                epoch
            }
            None if self.epochs.len() >= MAX_EPOCHS => return None,
            None => {
                let epoch = Epoch(self.last_epoch.0 + 1);
                self.record(Change::Epoch { director, nonce, epoch, at: now });
                epoch
            }
        };
        Some(KeeperResponse::Welcome { nonce, epoch })
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn handle_claim(
        &mut self, now: f64, (director, epoch): (DirectorId, Epoch), school: &School, token: &TokenId,
        expires: f64, n: u64, spent: bool,
    ) -> Vec<(DirectorId, KeeperResponse)> {
        let (school, token) = (school.clone(), token.clone());
        let Some(pool) = self.pools.get(&school) else {
            // Unknown school: no state is created for it.
            let come_back = self.terms.duration;
            return vec![(director, KeeperResponse::Full { epoch, school, token, n, come_back })];
        };
        let superseded = pool.released.get(&(epoch, token.clone())).is_some_and(|r| r.0 >= n);
        let held = pool.seats.get(&token).cloned();
        let granted = KeeperResponse::Granted { epoch, school: school.clone(), token: token.clone(), n };
        if now > expires + self.terms.clock_error {
            return vec![(director, KeeperResponse::Expired { epoch, school, token, n })];
        }
        let leased = pool.leases.get(&epoch).map_or(0, |l| l.0);
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
            _ if superseded => {
                // Its own release arrived first, or the seat has moved since. This old message may also be a
                // duplicate, so it must not reduce the advance lease again.
                vec![(director, granted)]
            }
            Some(seat_held) if seat_held.epoch == epoch => {
                // Recorded even if the expiry is the same, so that a delayed, earlier release frees nothing.
                if n > seat_held.n {
                    self.record(seat);
                }
                vec![(director, granted)]
            }
            Some(previous) => {
                // The viewer reconnected at another director: its seat moves, and a leased seat is not needed.
                if spent {
                    self.reduce_lease(&school, epoch, n);
                }
                self.record(seat);
                let until = now + self.terms.duration;
                if let Some(pool) = self.pools.get_mut(&school) {
                    pool.released.insert((previous.epoch, token.clone()), (previous.n, until));
                }
                let moved = KeeperResponse::Moved { epoch: previous.epoch, school, token, n: previous.n };
                vec![(director, granted), (previous.director, moved)]
            }
            None if spent && leased > 0 => {
                self.reduce_lease(&school, epoch, n);
                self.record(seat);
                vec![(director, granted)]
            }
            None if pool.free() > 0 => {
                self.record(seat);
                vec![(director, granted)]
            }
            None => {
                let come_back = self.seconds_to_next_expiry(&school, now);
                vec![(director, KeeperResponse::Full { epoch, school, token, n, come_back })]
            }
        }
    }

    /// Takes one seat out of an advance lease: it became a held seat, or was not needed.
    fn reduce_lease(&mut self, school: &School, epoch: Epoch, n: u64) {
        let Some(&(count, until, last)) = self.pools.get(school).and_then(|p| p.leases.get(&epoch)) else {
            return;
        };
        if count > 0 {
            let change =
                Change::Lent { school: school.clone(), epoch, count: count - 1, until, n: last.max(n) };
            self.record(change);
        }
    }

    /// Seconds until the next seat may become free.
    fn seconds_to_next_expiry(&self, school: &School, now: f64) -> f64 {
        let ends = self.pools.get(school).into_iter().flat_map(|p| p.seats.values()).map(|s| s.expires - now);
        ends.fold(self.terms.duration, f64::min).max(1.0)
    }

    fn handle_release(&mut self, now: f64, epoch: Epoch, school: &School, token: &TokenId, n: u64) {
        let (school, token) = (school.clone(), token.clone());
        let seat = self.pools.get(&school).and_then(|p| p.seats.get(&token)).cloned();
        // Only a message of the holding epoch frees the seat, and only a later one than its claim.
        if seat.is_some_and(|s| s.epoch == epoch && s.n <= n) {
            self.record(Change::Freed { school: school.clone(), token: token.clone() });
        }
        let until = now + self.terms.duration;
        let Some(pool) = self.pools.get_mut(&school) else { return };
        pool.moved.retain(|m| (m.0, &m.1) != (epoch, &token) || m.2 > n);
        if pool.released.len() >= MAX_RELEASES {
            // A claim that arrives after a dropped release takes a seat until its director, which gets an unexpected
            // `Granted`, releases it again.
            pool.released.pop_first();
        }
        let remembered = pool.released.entry((epoch, token)).or_insert((n, until));
        *remembered = (remembered.0.max(n), until);
    }

    fn handle_lend(&mut self, now: f64, epoch: Epoch, school: &School, want: u32, n: u64) -> KeeperResponse {
        let directors = self.current.len().max(1) as u32;
        let Some(pool) = self.pools.get(school) else {
            return KeeperResponse::Lent {
                epoch,
                school: school.clone(),
                count: 0,
                until: now + self.terms.duration,
                n,
            };
        };
        let (current, until, last) = pool.leases.get(&epoch).copied().unwrap_or((0, 0.0, 0));
        if n <= last {
            return KeeperResponse::Lent { epoch, school: school.clone(), count: current, until, n: last };
        }
        // Each director gets at most an even share of the free seats, so that one cannot take them all.
        let max_count = current + (pool.free() / directors).max(u32::from(pool.free() > 0));
        let count = want.min(max_count);
        let until = now + self.terms.duration;
        self.record(Change::Lent { school: school.clone(), epoch, count, until, n });
        KeeperResponse::Lent { epoch, school: school.clone(), count, until, n }
    }

    /// Checks the invariants of the ledger.
    ///
    /// # Errors
    /// A description of the first violation.
    pub fn audit(&self) -> Result<(), String> {
        for (school, pool) in &self.pools {
            let taken = pool.seats.len() as u32 + pool.leased();
            if taken > pool.bought && pool.leased() > 0 {
                return Err(format!(
                    "{}: {taken} of {} seats taken, some by advance leases",
                    school.0, pool.bought
                ));
            }
            let running: BTreeSet<&Epoch> = self.epochs.keys().collect();
            if let Some((token, s)) = pool.seats.iter().find(|(_, s)| !running.contains(&s.epoch)) {
                return Err(format!("{}: {} is held by {:?}, which has ended", school.0, token.0, s.epoch));
            }
        }
        Ok(())
    }
}
