//! A director's side.
//!
//! A request with a token waits for the keeper no longer than [`HolderTimeouts::claim`]; then a seat lent ahead is used, and
//! without one the request is refused in time. What is held is held by the keeper's word or by a loan, both until the
//! director's lease runs out: counted from when the last beat that was heard was *sent*, so it ends here before it
//! ends at the keeper. One word is out for each token, and one for a school's loan, sent again as it was after a
//! growing, random wait.

use std::collections::BTreeMap;

use crate::{DirectorId, Epoch, KeeperRequest, KeeperResponse, LeaseTerms, School, TokenId};

/// Of the time that a request has left; it waits so long for its seat at most, so that a SETUP still fits.
const SEAT_PART: f64 = 0.5;
/// Of the wait for the keeper, and of a beat's time: before a word is sent again, at first and at most.
const RESEND: (f64, f64) = (0.5, 2.0);

/// Waits of a director, s.
#[derive(Clone, Copy, Debug)]
pub struct HolderTimeouts {
    /// A request waits for the keeper so long before a loan is used.
    pub claim_timeout: f64,
    pub heartbeat_interval: f64,
    /// Before a word without an answer is sent again, at first and at most.
    pub resend: (f64, f64),
    /// Seats to have lent ahead for each school that is asked for.
    pub seats_ahead: u32,
}

impl HolderTimeouts {
    /// From what operators set: s, s, and seats.
    pub fn new(claim_timeout: f64, heartbeat_interval: f64, seats_ahead: u32) -> Self {
        let resend = (claim_timeout.min(heartbeat_interval) * RESEND.0, heartbeat_interval * RESEND.1);
        HolderTimeouts { claim_timeout, heartbeat_interval, resend, seats_ahead }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RefusalReason {
    /// All taken; come back after so long.
    Full {
        come_back: f64,
    },
    Expired,
    /// The keeper did not answer in time, and nothing was lent.
    NoKeeper,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    Expired,
    /// The viewer came again at another director.
    Moved,
    /// The director's lease ran out, or the keeper took it for dead.
    Lapsed,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send(KeeperRequest),
    Granted {
        school: School,
        token: TokenId,
    },
    Refused {
        school: School,
        token: TokenId,
        why: RefusalReason,
    },
    /// A seat that was granted is no more.
    Ended {
        school: School,
        token: TokenId,
        why: EndReason,
    },
}

/// A word that is out, and when it is sent again.
#[derive(Clone, Copy, Debug)]
struct Pending {
    n: u64,
    again: f64,
    wait: f64,
}

#[derive(Clone, Debug)]
struct Held {
    expires: f64,
    /// Of the latest claim of it.
    n: u64,
    /// Told or asked of the keeper and not confirmed yet.
    pending: Option<Pending>,
    /// Given out of a loan and not confirmed as a seat of its own.
    spent: bool,
}

#[derive(Clone, Debug)]
struct Wait {
    expires: f64,
    until: f64,
    pending: Pending,
}

#[derive(Default)]
struct Mine {
    held: BTreeMap<TokenId, Held>,
    waiting: BTreeMap<TokenId, Wait>,
    releasing: BTreeMap<TokenId, Pending>,
    lent: u32,
    lent_until: f64,
    lending: Option<Pending>,
    /// When a loan was last asked for or answered.
    lend_at: f64,
    /// When a seat was last asked for.
    used_at: f64,
}

/// See the module.
pub struct Holder {
    director: DirectorId,
    nonce: u64,
    lease: LeaseTerms,
    patience: HolderTimeouts,
    epoch: Option<Epoch>,
    n: u64,
    schools: BTreeMap<School, Mine>,
    hello: Option<Pending>,
    /// Beats out: number and when sent.
    beat: Option<(u64, f64)>,
    next_beat: f64,
    /// Until when what is held is held.
    lease_until: f64,
    /// A beat of this epoch was answered. Nothing is asked for before: there is no lease yet to hold it by.
    begun: bool,
    /// Nothing is due before; kept so that a word or a request costs no walk over all that is held.
    due: f64,
    chance: fastrand::Rng,
}

impl Holder {
    /// `nonce` has to be another at each start of the director.
    pub fn new(director: DirectorId, nonce: u64, lease: LeaseTerms, patience: HolderTimeouts) -> Self {
        Holder {
            director,
            nonce,
            lease,
            patience,
            epoch: None,
            n: 0,
            schools: BTreeMap::new(),
            hello: None,
            beat: None,
            next_beat: f64::NEG_INFINITY,
            lease_until: f64::NEG_INFINITY,
            begun: false,
            due: f64::NEG_INFINITY,
            chance: fastrand::Rng::with_seed(nonce),
        }
    }

    pub fn holds(&self, school: &School, token: &TokenId) -> bool {
        self.schools.get(school).is_some_and(|m| m.held.contains_key(token))
    }

    /// Seats held by requests or sessions of this director.
    pub fn held(&self) -> usize {
        self.schools.values().map(|m| m.held.len()).sum()
    }

    /// Seats lent ahead that may still be given out.
    pub fn leased(&self, now: f64, school: &School) -> u32 {
        let good = self.epoch.is_some() && now < self.lease_until;
        self.schools.get(school).filter(|m| good && now < m.lent_until).map_or(0, |m| m.lent)
    }

    /// From 0.5 to 1.5.
    fn spread(&mut self) -> f64 {
        0.5 + self.chance.f64()
    }

    fn pend(&mut self, now: f64) -> Pending {
        self.n += 1;
        let wait = self.patience.resend.0;
        let again = now + wait * self.spread();
        self.due = self.due.min(again);
        Pending { n: self.n, again, wait }
    }

    fn later(&mut self, now: f64, p: Pending) -> Pending {
        let wait = (p.wait * 2.0).min(self.patience.resend.1);
        Pending { n: p.n, again: now + wait * self.spread(), wait }
    }

    /// A request or session asks for its token's seat, or for a longer one after a renewal. A request that has `left`
    /// seconds waits for the keeper a part of them at most.
    pub fn request_seat(
        &mut self, now: f64, school: &School, token: &TokenId, expires: f64, left: f64,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        let (school, token) = (school.clone(), token.clone());
        if now >= expires {
            let why = RefusalReason::Expired;
            return vec![Output::Refused { school, token, why }];
        }
        let pending = self.pend(now);
        let until = now + self.patience.claim_timeout.min(left * SEAT_PART);
        self.due = self.due.min(until).min(expires);
        let epoch = self.epoch;
        let mine = self.schools.entry(school.clone()).or_default();
        mine.used_at = now;
        mine.releasing.remove(&token);
        if let Some(held) = mine.held.get_mut(&token) {
            if expires > held.expires {
                (held.expires, held.n) = (expires, pending.n);
                held.pending = Some(pending);
                let spent = held.spent;
                out.extend(self.word(&school, &token, expires, pending.n, spent));
            }
            out.push(Output::Granted { school, token });
            return out;
        }
        if let Some(wait) = mine.waiting.get_mut(&token) {
            // A retry joins the one that is out; one that lasts longer is said anew, so that the keeper knows.
            if expires > wait.expires {
                (wait.expires, wait.pending) = (expires, pending);
                out.extend(self.word(&school, &token, expires, pending.n, false));
            }
            return out;
        }
        mine.waiting.insert(token.clone(), Wait { expires, until, pending });
        if epoch.is_some() {
            out.extend(self.word(&school, &token, expires, pending.n, false));
        }
        out.extend(self.tick(now));
        out
    }

    fn word(&self, school: &School, token: &TokenId, expires: f64, n: u64, spent: bool) -> Option<Output> {
        let (director, epoch) = (self.director, self.epoch.filter(|_| self.begun)?);
        let (school, token) = (school.clone(), token.clone());
        Some(Output::Send(if spent {
            KeeperRequest::Spent { director, epoch, school, token, expires, n }
        } else {
            KeeperRequest::Claim { director, epoch, school, token, expires, n }
        }))
    }

    /// The session is over, or its request was not served: the seat goes back.
    pub fn release(&mut self, now: f64, school: &School, token: &TokenId) -> Vec<Output> {
        let pending = self.pend(now);
        let (director, epoch) = (self.director, self.epoch);
        let Some(mine) = self.schools.get_mut(school) else { return Vec::new() };
        let had = mine.held.remove(token).is_some() | mine.waiting.remove(token).is_some();
        let Some(epoch) = epoch.filter(|_| had) else { return Vec::new() };
        mine.releasing.insert(token.clone(), pending);
        let (school, token) = (school.clone(), token.clone());
        vec![Output::Send(KeeperRequest::Release { director, epoch, school, token, n: pending.n })]
    }

    /// A word of the keeper's.
    pub fn handle_response(&mut self, now: f64, word: &KeeperResponse) -> Vec<Output> {
        let mut out = Vec::new();
        match word {
            KeeperResponse::Welcome { nonce, epoch } if *nonce == self.nonce && self.epoch.is_none() => {
                self.epoch = Some(*epoch);
                self.hello = None;
                self.lease_until = now;
                self.next_beat = now;
                self.due = now;
            }
            KeeperResponse::Fenced { epoch } if Some(*epoch) == self.epoch => out.extend(self.lapse(now)),
            KeeperResponse::Alive { epoch, n } if Some(*epoch) == self.epoch => {
                if let Some((_, sent)) = self.beat.filter(|(out, _)| out == n) {
                    self.beat = None;
                    self.lease_until = self.lease_until.max(sent + self.lease.duration);
                    if !std::mem::replace(&mut self.begun, true) {
                        let waits = self.schools.values_mut().flat_map(|m| m.waiting.values_mut());
                        waits.for_each(|w| w.pending.again = now);
                        self.due = now;
                    }
                }
            }
            KeeperResponse::Granted { epoch, school, token, n } if Some(*epoch) == self.epoch => {
                out.extend(self.granted(now, school, token, *n));
            }
            KeeperResponse::Full { epoch, school, token, n, come_back } if Some(*epoch) == self.epoch => {
                let why = RefusalReason::Full { come_back: *come_back };
                out.extend(self.refused(school, token, *n, why, EndReason::Lapsed));
            }
            KeeperResponse::Expired { epoch, school, token, n } if Some(*epoch) == self.epoch => {
                out.extend(self.refused(school, token, *n, RefusalReason::Expired, EndReason::Expired));
            }
            KeeperResponse::Moved { epoch, school, token, n } if Some(*epoch) == self.epoch => {
                out.extend(self.moved(now, school, token, *n));
            }
            KeeperResponse::Freed { epoch, school, token, n } if Some(*epoch) == self.epoch => {
                if let Some(mine) = self.schools.get_mut(school)
                    && mine.releasing.get(token).is_some_and(|p| p.n <= *n)
                {
                    mine.releasing.remove(token);
                }
            }
            KeeperResponse::Lent { epoch, school, count, until, n } if Some(*epoch) == self.epoch => {
                if let Some(mine) = self.schools.get_mut(school)
                    && mine.lending.is_some_and(|p| p.n <= *n)
                {
                    mine.lending = None;
                    mine.lend_at = now;
                    // What was spent since is still counted as lent there, for its word comes behind.
                    let spent = mine.held.values().filter(|h| h.spent).count() as u32;
                    mine.lent = count.saturating_sub(spent);
                    mine.lent_until = until - self.lease.clock_error;
                }
            }
            // Of an epoch that is over.
            _ => {}
        }
        out.extend(self.tick(now));
        out
    }

    /// The seat went elsewhere; unless it was claimed here anew since, it is held here no more. Said so until the
    /// keeper hears that it is.
    fn moved(&mut self, now: f64, school: &School, token: &TokenId, n: u64) -> Vec<Output> {
        let pending = self.pend(now);
        let (director, Some(epoch)) = (self.director, self.epoch) else { return Vec::new() };
        let mine = self.schools.entry(school.clone()).or_default();
        let mut out = Vec::new();
        let (school, token) = (school.clone(), token.clone());
        if mine.waiting.contains_key(&token) || mine.held.get(&token).is_some_and(|h| h.n > n) {
            return out;
        }
        mine.releasing.insert(token.clone(), pending);
        if mine.held.remove(&token).is_some() {
            let (school, token) = (school.clone(), token.clone());
            out.push(Output::Ended { school, token, why: EndReason::Moved });
        }
        out.push(Output::Send(KeeperRequest::Release { director, epoch, school, token, n: pending.n }));
        out
    }

    fn granted(&mut self, now: f64, school: &School, token: &TokenId, n: u64) -> Vec<Output> {
        let mine = self.schools.entry(school.clone()).or_default();
        if let Some(wait) = mine.waiting.get(token).cloned() {
            // An answer to an older claim, given up since, holds nothing at the keeper.
            if wait.pending.n != n {
                return Vec::new();
            }
            mine.waiting.remove(token);
            let held = Held { expires: wait.expires, n: wait.pending.n, pending: None, spent: false };
            mine.held.insert(token.clone(), held);
            return vec![Output::Granted { school: school.clone(), token: token.clone() }];
        }
        if let Some(held) = mine.held.get_mut(token) {
            if held.pending.is_some_and(|p| p.n == n) {
                held.pending = None;
                held.spent = false;
            }
            return Vec::new();
        }
        if mine.releasing.contains_key(token) {
            return Vec::new();
        }
        // Granted after it was given up: nobody here wants it.
        let pending = self.pend(now);
        let (director, Some(epoch)) = (self.director, self.epoch) else { return Vec::new() };
        if let Some(mine) = self.schools.get_mut(school) {
            mine.releasing.insert(token.clone(), pending);
        }
        let (school, token) = (school.clone(), token.clone());
        vec![Output::Send(KeeperRequest::Release { director, epoch, school, token, n: pending.n })]
    }

    fn refused(
        &mut self, school: &School, token: &TokenId, n: u64, why: RefusalReason, ended: EndReason,
    ) -> Vec<Output> {
        let Some(mine) = self.schools.get_mut(school) else { return Vec::new() };
        let (school, named) = (school.clone(), token.clone());
        if let Some(wait) = mine.waiting.get_mut(token).filter(|w| w.pending.n == n) {
            if mine.lent > 0 && matches!(why, RefusalReason::Full { .. }) {
                // Full but for what was lent to us: the wait is over now, and the loan is used.
                wait.until = f64::NEG_INFINITY;
                self.due = f64::NEG_INFINITY;
                return Vec::new();
            }
            mine.waiting.remove(token);
            return vec![Output::Refused { school, token: named, why }];
        }
        // A seat given out of a loan that the keeper no longer knows of, or a renewal that came too late.
        if mine.held.get(token).is_some_and(|h| h.pending.is_some_and(|p| p.n == n)) {
            mine.held.remove(token);
            return vec![Output::Ended { school, token: named, why: ended }];
        }
        Vec::new()
    }

    /// The epoch is over: all that was held by it ends, what waits says hello anew.
    fn lapse(&mut self, now: f64) -> Vec<Output> {
        let mut out = Vec::new();
        self.epoch = None;
        self.begun = false;
        self.beat = None;
        self.hello = None;
        self.due = now;
        // Another start, as far as the keeper is concerned.
        self.nonce = self.nonce.wrapping_add(1 << 32);
        for (school, mine) in &mut self.schools {
            for token in std::mem::take(&mut mine.held).into_keys() {
                out.push(Output::Ended { school: school.clone(), token, why: EndReason::Lapsed });
            }
            mine.releasing.clear();
            mine.lent = 0;
            mine.lending = None;
            mine.waiting.values_mut().for_each(|w| w.pending.again = now);
        }
        out
    }

    /// When [`tick`](Self::tick) has something to do.
    pub fn next_timer_at(&self) -> f64 {
        self.due
    }

    fn next_of_all(&self) -> f64 {
        if self.epoch.is_none() {
            // Without an epoch nothing but hellos is sent again.
            let at = self.hello.map_or(f64::NEG_INFINITY, |p| p.again);
            let waits = self.schools.values().flat_map(|m| m.waiting.values());
            return waits.fold(at, |at, w| at.min(w.until));
        }
        let mut at = self.next_beat.min(self.ends());
        for mine in self.schools.values() {
            at = mine.waiting.values().fold(at, |at, w| at.min(w.until).min(w.pending.again));
            at =
                mine.held.values().fold(at, |at, h| at.min(h.expires).min(h.pending.map_or(at, |p| p.again)));
            at = mine.releasing.values().fold(at, |at, p| at.min(p.again));
            at = mine.lending.map_or(at, |p| at.min(p.again));
        }
        at
    }

    /// What time brings: waits that are over, leases, expiries, words sent again.
    pub fn tick(&mut self, now: f64) -> Vec<Output> {
        if now < self.due {
            return Vec::new();
        }
        let out = self.all(now);
        self.due = self.next_of_all();
        out
    }

    fn all(&mut self, now: f64) -> Vec<Output> {
        let mut out = Vec::new();
        let director = self.director;
        if self.epoch.is_some() && now >= self.ends() {
            out.extend(self.lapse(now));
        }
        let Some(epoch) = self.epoch else {
            if self.hello.is_none_or(|p| now >= p.again) {
                let p = match self.hello {
                    Some(p) => self.later(now, p),
                    None => self.pend(now),
                };
                self.hello = Some(p);
                out.push(Output::Send(KeeperRequest::Hello { director, nonce: self.nonce }));
            }
            self.over(now, &mut out);
            return out;
        };
        if now >= self.next_beat {
            self.n += 1;
            // An unanswered beat is forgotten: a later answer to it would count from an older time.
            self.beat = Some((self.n, now));
            self.next_beat = now + self.patience.heartbeat_interval * self.spread();
            out.push(Output::Send(KeeperRequest::Beat { director, epoch, n: self.n }));
        }
        self.over(now, &mut out);
        self.again(now, epoch, &mut out);
        out
    }

    /// When the epoch is over for want of an answer; one that holds nothing has as long again.
    fn ends(&self) -> f64 {
        self.lease_until + if self.held() == 0 { self.lease.duration } else { 0.0 }
    }

    /// Waits and tokens that are over.
    fn over(&mut self, now: f64, out: &mut Vec<Output>) {
        let lease = self.epoch.is_some() && now <= self.lease_until;
        let (mut spends, mut back) = (Vec::new(), Vec::new());
        for (school, mine) in &mut self.schools {
            let due: Vec<TokenId> =
                mine.waiting.iter().filter(|(_, w)| now >= w.until).map(|(t, _)| t.clone()).collect();
            for token in due {
                let Some(wait) = mine.waiting.remove(&token) else { continue };
                if lease && mine.lent > 0 && now < mine.lent_until {
                    mine.lent -= 1;
                    // An answer under way may or may not count this one: it is not waited for.
                    if mine.lending.take().is_some() {
                        mine.lend_at = now;
                    }
                    spends.push((school.clone(), token, wait.expires));
                } else {
                    let why = RefusalReason::NoKeeper;
                    // The claim may have been heard: what it took goes back.
                    back.push((school.clone(), token.clone()));
                    out.push(Output::Refused { school: school.clone(), token, why });
                }
            }
            let ended: Vec<TokenId> =
                mine.held.iter().filter(|(_, h)| now >= h.expires).map(|(t, _)| t.clone()).collect();
            for token in ended {
                mine.held.remove(&token);
                back.push((school.clone(), token.clone()));
                out.push(Output::Ended { school: school.clone(), token, why: EndReason::Expired });
            }
        }
        for (school, token) in back {
            let (director, pending) = (self.director, self.pend(now));
            let (Some(epoch), Some(mine)) = (self.epoch, self.schools.get_mut(&school)) else { continue };
            mine.releasing.insert(token.clone(), pending);
            out.push(Output::Send(KeeperRequest::Release { director, epoch, school, token, n: pending.n }));
        }
        for (school, token, expires) in spends {
            let pending = self.pend(now);
            let held = Held { expires, n: pending.n, pending: Some(pending), spent: true };
            self.schools.entry(school.clone()).or_default().held.insert(token.clone(), held);
            out.extend(self.word(&school, &token, expires, pending.n, true));
            out.push(Output::Granted { school, token });
        }
    }

    /// Words without an answer are sent again, each as it was; loans are asked for and renewed.
    fn again(&mut self, now: f64, epoch: Epoch, out: &mut Vec<Output>) {
        let director = self.director;
        let schools: Vec<School> = self.schools.keys().cloned().collect();
        for school in schools {
            let Some(mut mine) = self.schools.remove(&school) else { continue };
            let idle = mine.held.is_empty() && mine.waiting.is_empty() && mine.releasing.is_empty();
            if idle && now > mine.used_at + self.lease.duration {
                // Forgotten; what was lent runs out by itself.
                continue;
            }
            for (token, w) in mine.waiting.iter_mut().filter(|(_, w)| now >= w.pending.again) {
                w.pending = self.later(now, w.pending);
                out.extend(self.word(&school, token, w.expires, w.pending.n, false));
            }
            for (token, h) in &mut mine.held {
                if let Some(p) = h.pending.filter(|p| now >= p.again) {
                    h.pending = Some(self.later(now, p));
                    out.extend(self.word(&school, token, h.expires, p.n, h.spent));
                }
            }
            for (token, p) in mine.releasing.iter_mut().filter(|(_, p)| now >= p.again) {
                *p = self.later(now, *p);
                let (school, token) = (school.clone(), token.clone());
                out.push(Output::Send(KeeperRequest::Release { director, epoch, school, token, n: p.n }));
            }
            let want = self.patience.seats_ahead;
            let lend =
                |n| Output::Send(KeeperRequest::Lend { director, epoch, school: school.clone(), want, n });
            match mine.lending {
                Some(p) if now >= p.again => {
                    out.push(lend(p.n));
                    mine.lending = Some(self.later(now, p));
                }
                Some(_) => {}
                None => {
                    // Not while a spent one is unconfirmed: the two counts would cross.
                    let settled = mine.held.values().all(|h| !h.spent);
                    let due = mine.lent < self.patience.seats_ahead
                        && now >= mine.lend_at + self.patience.heartbeat_interval
                        || now >= mine.lent_until - self.lease.duration / 2.0;
                    if settled && due && self.patience.seats_ahead > 0 {
                        let p = self.pend(now);
                        out.push(lend(p.n));
                        mine.lending = Some(p);
                    }
                }
            }
            self.schools.insert(school, mine);
        }
    }
}
