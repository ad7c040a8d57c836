//! The director's side of seat accounting.
//!
//! A request with a token waits for the keeper at most [`HolderTimeouts::claim_timeout`]. After that it takes a seat
//! leased in advance; without one it is refused while its client still waits. A seat is held by the keeper's grant or
//! by an advance lease, in both cases only until the director's own lease runs out. That lease counts from when the
//! last answered heartbeat was *sent*, so it ends here before it ends at the keeper.
//!
//! At most one message is outstanding for each token and one for each school's advance lease. It is resent unchanged
//! after a delay that grows and is randomized.

use std::collections::BTreeMap;

use crate::{DirectorId, Epoch, KeeperRequest, KeeperResponse, LeaseTerms, School, TokenId};

/// Fraction of a request's remaining time that it waits for its seat at most; the rest is left for the SETUP.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// First delay before a message is resent, as a fraction of the claim timeout or of the heartbeat interval, whichever
/// is shorter.
const MIN_RESEND_FRACTION: f64 = 0.5;
/// Longest delay before a message is resent, in heartbeat intervals.
const MAX_RESEND_INTERVALS: f64 = 2.0;

/// Timeouts of a director, and how many seats it leases in advance.
#[derive(Clone, Copy, Debug)]
pub struct HolderTimeouts {
    /// Seconds that a request waits for the keeper before it uses an advance lease.
    pub claim_timeout: f64,
    /// Seconds between heartbeats, on average.
    pub heartbeat_interval: f64,
    /// Seconds before an unanswered message is resent for the first time; doubled for each further one.
    pub resend_min: f64,
    /// Seconds between two resends of a message at most.
    pub resend_max: f64,
    /// Seats to lease in advance for each school that is in use.
    pub seats_ahead: u32,
}

impl HolderTimeouts {
    /// Derives the resend delays from the settings. Both times are in seconds.
    pub fn new(claim_timeout: f64, heartbeat_interval: f64, seats_ahead: u32) -> Self {
        let resend_min = claim_timeout.min(heartbeat_interval) * MIN_RESEND_FRACTION;
        let resend_max = heartbeat_interval * MAX_RESEND_INTERVALS;
        HolderTimeouts { claim_timeout, heartbeat_interval, resend_min, resend_max, seats_ahead }
    }
}

/// Why a request gets no seat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RefusalReason {
    /// All seats are taken; the client may retry after `come_back` seconds.
    Full { come_back: f64 },
    /// The token has expired.
    Expired,
    /// The keeper did not answer in time, and no seat was leased in advance.
    NoKeeper,
}

/// Why a granted seat ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The token expired.
    Expired,
    /// The viewer reconnected at another director.
    Moved,
    /// The director's lease ran out, or the keeper fenced its epoch.
    Lapsed,
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this message to the keeper.
    Send(KeeperRequest),
    /// The token holds its seat; also given to each repeated request.
    Granted { school: School, token: TokenId },
    /// The request gets no seat.
    Refused { school: School, token: TokenId, why: RefusalReason },
    /// A granted seat has ended.
    Ended { school: School, token: TokenId, why: EndReason },
}

/// An unanswered message, and when it is resent.
#[derive(Clone, Copy, Debug)]
struct PendingMessage {
    n: u64,
    resend_at: f64,
    backoff: f64,
}

#[derive(Clone, Debug)]
struct HeldSeat {
    expires: f64,
    /// Number of the latest claim of this seat.
    n: u64,
    /// A claim that the keeper has not confirmed yet.
    pending: Option<PendingMessage>,
    /// Taken from an advance lease; the keeper has not confirmed it as a seat of its own yet.
    spent: bool,
}

#[derive(Clone, Debug)]
struct WaitingClaim {
    expires: f64,
    deadline: f64,
    pending: PendingMessage,
}

#[derive(Default)]
struct SchoolState {
    held: BTreeMap<TokenId, HeldSeat>,
    waiting: BTreeMap<TokenId, WaitingClaim>,
    releasing: BTreeMap<TokenId, PendingMessage>,
    /// Seats leased in advance and not used yet.
    leased: u32,
    leased_until: f64,
    pending_lease: Option<PendingMessage>,
    /// When a lease request was last answered, or its answer became useless because a leased seat was used meanwhile.
    lease_answered_at: f64,
    /// When a seat was last requested.
    last_request_at: f64,
}

/// The seats that one director holds; a state machine without I/O. Times are seconds on the caller's clock.
pub struct Holder {
    director: DirectorId,
    nonce: u64,
    terms: LeaseTerms,
    timeouts: HolderTimeouts,
    epoch: Option<Epoch>,
    /// Number of the last message of this director.
    last_n: u64,
    schools: BTreeMap<School, SchoolState>,
    pending_hello: Option<PendingMessage>,
    /// The unanswered heartbeat: its number and when it was sent.
    pending_heartbeat: Option<(u64, f64)>,
    next_heartbeat_at: f64,
    /// End of the director's lease, and so of everything it holds.
    lease_until: f64,
    /// A heartbeat of this epoch was answered. No seat is requested before, as there is no lease yet to hold it by.
    lease_started: bool,
    /// No timer is due before. Cached so that a message or a request does not scan all seats.
    next_timer_at: f64,
    rng: fastrand::Rng,
}

impl Holder {
    /// `nonce` has to differ between starts of the director.
    pub fn new(director: DirectorId, nonce: u64, terms: LeaseTerms, timeouts: HolderTimeouts) -> Self {
        Holder {
            director,
            nonce,
            terms,
            timeouts,
            epoch: None,
            last_n: 0,
            schools: BTreeMap::new(),
            pending_hello: None,
            pending_heartbeat: None,
            next_heartbeat_at: f64::NEG_INFINITY,
            lease_until: f64::NEG_INFINITY,
            lease_started: false,
            next_timer_at: f64::NEG_INFINITY,
            rng: fastrand::Rng::with_seed(nonce),
        }
    }

    /// Whether this director holds the token's seat.
    pub fn holds(&self, school: &School, token: &TokenId) -> bool {
        self.schools.get(school).is_some_and(|s| s.held.contains_key(token))
    }

    /// Number of seats held by requests or sessions of this director.
    pub fn held(&self) -> usize {
        self.schools.values().map(|s| s.held.len()).sum()
    }

    /// Seats of a school leased in advance that may still be used.
    pub fn leased(&self, now: f64, school: &School) -> u32 {
        let valid = self.epoch.is_some() && now < self.lease_until;
        self.schools.get(school).filter(|s| valid && now < s.leased_until).map_or(0, |s| s.leased)
    }

    /// A random factor from 0.5 to 1.5.
    fn jitter(&mut self) -> f64 {
        0.5 + self.rng.f64()
    }

    /// Numbers a new message and sets its first resend.
    fn new_pending(&mut self, now: f64) -> PendingMessage {
        self.last_n += 1;
        let backoff = self.timeouts.resend_min;
        let resend_at = now + backoff * self.jitter();
        self.next_timer_at = self.next_timer_at.min(resend_at);
        PendingMessage { n: self.last_n, resend_at, backoff }
    }

    /// Returns the same message with the next, longer resend delay.
    fn back_off(&mut self, now: f64, p: PendingMessage) -> PendingMessage {
        let backoff = (p.backoff * 2.0).min(self.timeouts.resend_max);
        PendingMessage { n: p.n, resend_at: now + backoff * self.jitter(), backoff }
    }

    /// Requests the seat of a token for a request or a session, or extends it after a renewal. A request with
    /// `remaining` seconds left waits for the keeper for a fraction of them at most.
    pub fn request_seat(
        &mut self, now: f64, school: &School, token: &TokenId, expires: f64, remaining: f64,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        let (school, token) = (school.clone(), token.clone());
        if now >= expires {
            let why = RefusalReason::Expired;
            return vec![Output::Refused { school, token, why }];
        }
        let pending = self.new_pending(now);
        let deadline = now + self.timeouts.claim_timeout.min(remaining * MAX_WAIT_FRACTION);
        self.next_timer_at = self.next_timer_at.min(deadline).min(expires);
        let epoch = self.epoch;
        let state = self.schools.entry(school.clone()).or_default();
        state.last_request_at = now;
        state.releasing.remove(&token);
        if let Some(held) = state.held.get_mut(&token) {
            if expires > held.expires {
                (held.expires, held.n) = (expires, pending.n);
                held.pending = Some(pending);
                let spent = held.spent;
                out.extend(self.claim_message(&school, &token, expires, pending.n, spent));
            }
            out.push(Output::Granted { school, token });
            return out;
        }
        if let Some(claim) = state.waiting.get_mut(&token) {
            // A retry joins the outstanding claim; one with a later expiry is claimed anew so that the keeper learns it.
            if expires > claim.expires {
                (claim.expires, claim.pending) = (expires, pending);
                out.extend(self.claim_message(&school, &token, expires, pending.n, false));
            }
            return out;
        }
        state.waiting.insert(token.clone(), WaitingClaim { expires, deadline, pending });
        if epoch.is_some() {
            out.extend(self.claim_message(&school, &token, expires, pending.n, false));
        }
        out.extend(self.tick(now));
        out
    }

    /// The claim of a seat, as `Spent` if it comes from an advance lease; `None` while the director has no lease.
    fn claim_message(
        &self, school: &School, token: &TokenId, expires: f64, n: u64, spent: bool,
    ) -> Option<Output> {
        let (director, epoch) = (self.director, self.epoch.filter(|_| self.lease_started)?);
        let (school, token) = (school.clone(), token.clone());
        Some(Output::Send(if spent {
            KeeperRequest::Spent { director, epoch, school, token, expires, n }
        } else {
            KeeperRequest::Claim { director, epoch, school, token, expires, n }
        }))
    }

    /// Gives a seat back after its session ended or its request was not served.
    pub fn release(&mut self, now: f64, school: &School, token: &TokenId) -> Vec<Output> {
        let pending = self.new_pending(now);
        let (director, epoch) = (self.director, self.epoch);
        let Some(state) = self.schools.get_mut(school) else { return Vec::new() };
        let existed = state.held.remove(token).is_some() | state.waiting.remove(token).is_some();
        let Some(epoch) = epoch.filter(|_| existed) else { return Vec::new() };
        state.releasing.insert(token.clone(), pending);
        let (school, token) = (school.clone(), token.clone());
        vec![Output::Send(KeeperRequest::Release { director, epoch, school, token, n: pending.n })]
    }

    /// Handles a message of the keeper's. Messages of earlier epochs are ignored.
    pub fn handle_response(&mut self, now: f64, response: &KeeperResponse) -> Vec<Output> {
        let mut out = Vec::new();
        match response {
            KeeperResponse::Welcome { nonce, epoch } if *nonce == self.nonce && self.epoch.is_none() => {
                self.epoch = Some(*epoch);
                self.pending_hello = None;
                self.lease_until = now;
                self.next_heartbeat_at = now;
                self.next_timer_at = now;
            }
            KeeperResponse::Fenced { epoch } if Some(*epoch) == self.epoch => out.extend(self.end_epoch(now)),
            KeeperResponse::Alive { epoch, n } if Some(*epoch) == self.epoch => {
                if let Some((_, sent)) = self.pending_heartbeat.filter(|(number, _)| number == n) {
                    self.pending_heartbeat = None;
                    self.lease_until = self.lease_until.max(sent + self.terms.duration);
                    if !std::mem::replace(&mut self.lease_started, true) {
                        let claims = self.schools.values_mut().flat_map(|s| s.waiting.values_mut());
                        claims.for_each(|w| w.pending.resend_at = now);
                        self.next_timer_at = now;
                    }
                }
            }
            KeeperResponse::Granted { epoch, school, token, n } if Some(*epoch) == self.epoch => {
                out.extend(self.handle_granted(now, school, token, *n));
            }
            KeeperResponse::Full { epoch, school, token, n, come_back } if Some(*epoch) == self.epoch => {
                let why = RefusalReason::Full { come_back: *come_back };
                out.extend(self.handle_refused(school, token, *n, why, EndReason::Lapsed));
            }
            KeeperResponse::Expired { epoch, school, token, n } if Some(*epoch) == self.epoch => {
                out.extend(self.handle_refused(
                    school,
                    token,
                    *n,
                    RefusalReason::Expired,
                    EndReason::Expired,
                ));
            }
            KeeperResponse::Moved { epoch, school, token, n } if Some(*epoch) == self.epoch => {
                out.extend(self.handle_moved(now, school, token, *n));
            }
            KeeperResponse::Freed { epoch, school, token, n } if Some(*epoch) == self.epoch => {
                if let Some(state) = self.schools.get_mut(school)
                    && state.releasing.get(token).is_some_and(|p| p.n <= *n)
                {
                    state.releasing.remove(token);
                }
            }
            KeeperResponse::Lent { epoch, school, count, until, n } if Some(*epoch) == self.epoch => {
                if let Some(state) = self.schools.get_mut(school)
                    && state.pending_lease.is_some_and(|p| p.n <= *n)
                {
                    state.pending_lease = None;
                    state.lease_answered_at = now;
                    // The keeper counts seats used since then as leased until it gets their `Spent` messages.
                    let spent = state.held.values().filter(|h| h.spent).count() as u32;
                    state.leased = count.saturating_sub(spent);
                    state.leased_until = until - self.terms.clock_error;
                }
            }
            // From an earlier epoch.
            _ => {}
        }
        out.extend(self.tick(now));
        out
    }

    /// Ends a seat that went to another director, unless it was claimed here anew since. Its release is resent until
    /// the keeper answers.
    fn handle_moved(&mut self, now: f64, school: &School, token: &TokenId, n: u64) -> Vec<Output> {
        let pending = self.new_pending(now);
        let (director, Some(epoch)) = (self.director, self.epoch) else { return Vec::new() };
        let state = self.schools.entry(school.clone()).or_default();
        let mut out = Vec::new();
        let (school, token) = (school.clone(), token.clone());
        if state.waiting.contains_key(&token) || state.held.get(&token).is_some_and(|h| h.n > n) {
            return out;
        }
        state.releasing.insert(token.clone(), pending);
        if state.held.remove(&token).is_some() {
            let (school, token) = (school.clone(), token.clone());
            out.push(Output::Ended { school, token, why: EndReason::Moved });
        }
        out.push(Output::Send(KeeperRequest::Release { director, epoch, school, token, n: pending.n }));
        out
    }

    fn handle_granted(&mut self, now: f64, school: &School, token: &TokenId, n: u64) -> Vec<Output> {
        let state = self.schools.entry(school.clone()).or_default();
        if let Some(claim) = state.waiting.get(token).cloned() {
            // An answer to an older, abandoned claim: the keeper holds no seat for it.
            if claim.pending.n != n {
                return Vec::new();
            }
            state.waiting.remove(token);
            let held = HeldSeat { expires: claim.expires, n: claim.pending.n, pending: None, spent: false };
            state.held.insert(token.clone(), held);
            return vec![Output::Granted { school: school.clone(), token: token.clone() }];
        }
        if let Some(held) = state.held.get_mut(token) {
            if held.pending.is_some_and(|p| p.n == n) {
                held.pending = None;
                held.spent = false;
            }
            return Vec::new();
        }
        if state.releasing.contains_key(token) {
            return Vec::new();
        }
        // Granted after the claim was abandoned: give the seat back.
        let pending = self.new_pending(now);
        let (director, Some(epoch)) = (self.director, self.epoch) else { return Vec::new() };
        if let Some(state) = self.schools.get_mut(school) {
            state.releasing.insert(token.clone(), pending);
        }
        let (school, token) = (school.clone(), token.clone());
        vec![Output::Send(KeeperRequest::Release { director, epoch, school, token, n: pending.n })]
    }

    fn handle_refused(
        &mut self, school: &School, token: &TokenId, n: u64, why: RefusalReason, ended: EndReason,
    ) -> Vec<Output> {
        let Some(state) = self.schools.get_mut(school) else { return Vec::new() };
        let (school, owned_token) = (school.clone(), token.clone());
        if let Some(claim) = state.waiting.get_mut(token).filter(|w| w.pending.n == n) {
            if state.leased > 0 && matches!(why, RefusalReason::Full { .. }) {
                // All seats but those leased to this director are taken: use one of these at once.
                claim.deadline = f64::NEG_INFINITY;
                self.next_timer_at = f64::NEG_INFINITY;
                return Vec::new();
            }
            state.waiting.remove(token);
            return vec![Output::Refused { school, token: owned_token, why }];
        }
        // A seat from an advance lease that has ended at the keeper, or a renewal that came too late.
        if state.held.get(token).is_some_and(|h| h.pending.is_some_and(|p| p.n == n)) {
            state.held.remove(token);
            return vec![Output::Ended { school, token: owned_token, why: ended }];
        }
        Vec::new()
    }

    /// Ends the epoch and all seats held in it. Waiting claims stay and are sent again in the next epoch.
    fn end_epoch(&mut self, now: f64) -> Vec<Output> {
        let mut out = Vec::new();
        self.epoch = None;
        self.lease_started = false;
        self.pending_heartbeat = None;
        self.pending_hello = None;
        self.next_timer_at = now;
        // The keeper has to see this as a new start of the director.
        self.nonce = self.nonce.wrapping_add(1 << 32);
        for (school, state) in &mut self.schools {
            for token in std::mem::take(&mut state.held).into_keys() {
                out.push(Output::Ended { school: school.clone(), token, why: EndReason::Lapsed });
            }
            state.releasing.clear();
            state.leased = 0;
            state.pending_lease = None;
            state.waiting.values_mut().for_each(|w| w.pending.resend_at = now);
        }
        out
    }

    /// When [`tick`](Self::tick) has to be called next.
    pub fn next_timer_at(&self) -> f64 {
        self.next_timer_at
    }

    fn earliest_timer(&self) -> f64 {
        if self.epoch.is_none() {
            // Without an epoch only the hello is resent.
            let at = self.pending_hello.map_or(f64::NEG_INFINITY, |p| p.resend_at);
            let claims = self.schools.values().flat_map(|s| s.waiting.values());
            return claims.fold(at, |at, w| at.min(w.deadline));
        }
        let mut at = self.next_heartbeat_at.min(self.epoch_end());
        for state in self.schools.values() {
            at = state.waiting.values().fold(at, |at, w| at.min(w.deadline).min(w.pending.resend_at));
            at = state
                .held
                .values()
                .fold(at, |at, h| at.min(h.expires).min(h.pending.map_or(at, |p| p.resend_at)));
            at = state.releasing.values().fold(at, |at, p| at.min(p.resend_at));
            at = state.pending_lease.map_or(at, |p| at.min(p.resend_at));
        }
        at
    }

    /// Runs the timers that are due: claim timeouts, the lease, expiries, heartbeats and resends.
    pub fn tick(&mut self, now: f64) -> Vec<Output> {
        if now < self.next_timer_at {
            return Vec::new();
        }
        let out = self.run_timers(now);
        self.next_timer_at = self.earliest_timer();
        out
    }

    fn run_timers(&mut self, now: f64) -> Vec<Output> {
        let mut out = Vec::new();
        let director = self.director;
        if self.epoch.is_some() && now >= self.epoch_end() {
            out.extend(self.end_epoch(now));
        }
        let Some(epoch) = self.epoch else {
            if self.pending_hello.is_none_or(|p| now >= p.resend_at) {
                let p = match self.pending_hello {
                    Some(p) => self.back_off(now, p),
                    None => self.new_pending(now),
                };
                self.pending_hello = Some(p);
                out.push(Output::Send(KeeperRequest::Hello { director, nonce: self.nonce }));
            }
            self.end_overdue(now, &mut out);
            return out;
        };
        if now >= self.next_heartbeat_at {
            self.last_n += 1;
            // An unanswered heartbeat is dropped: a later answer to it would extend the lease from an older time.
            self.pending_heartbeat = Some((self.last_n, now));
            self.next_heartbeat_at = now + self.timeouts.heartbeat_interval * self.jitter();
            out.push(Output::Send(KeeperRequest::Beat { director, epoch, n: self.last_n }));
        }
        self.end_overdue(now, &mut out);
        self.resend_due(now, epoch, &mut out);
        out
    }

    /// When the epoch ends unless a heartbeat is answered: with its lease, or one lease duration later if no seat is held.
    fn epoch_end(&self) -> f64 {
        self.lease_until + if self.held() == 0 { self.terms.duration } else { 0.0 }
    }

    /// Ends claims past their deadline and seats of expired tokens.
    fn end_overdue(&mut self, now: f64, out: &mut Vec<Output>) {
        let lease_valid = self.epoch.is_some() && now <= self.lease_until;
        let (mut from_lease, mut to_release) = (Vec::new(), Vec::new());
        for (school, state) in &mut self.schools {
            let due: Vec<TokenId> =
                state.waiting.iter().filter(|(_, w)| now >= w.deadline).map(|(t, _)| t.clone()).collect();
            for token in due {
                let Some(claim) = state.waiting.remove(&token) else { continue };
                if lease_valid && state.leased > 0 && now < state.leased_until {
                    state.leased -= 1;
                    // An answer on its way may or may not include this seat, so it is ignored.
                    if state.pending_lease.take().is_some() {
                        state.lease_answered_at = now;
                    }
                    from_lease.push((school.clone(), token, claim.expires));
                } else {
                    let why = RefusalReason::NoKeeper;
                    // The keeper may have got the claim: give back what it granted.
                    to_release.push((school.clone(), token.clone()));
                    out.push(Output::Refused { school: school.clone(), token, why });
                }
            }
            let ended: Vec<TokenId> =
                state.held.iter().filter(|(_, h)| now >= h.expires).map(|(t, _)| t.clone()).collect();
            for token in ended {
                state.held.remove(&token);
                to_release.push((school.clone(), token.clone()));
                out.push(Output::Ended { school: school.clone(), token, why: EndReason::Expired });
            }
        }
        for (school, token) in to_release {
            let (director, pending) = (self.director, self.new_pending(now));
            let (Some(epoch), Some(state)) = (self.epoch, self.schools.get_mut(&school)) else { continue };
            state.releasing.insert(token.clone(), pending);
            out.push(Output::Send(KeeperRequest::Release { director, epoch, school, token, n: pending.n }));
        }
        for (school, token, expires) in from_lease {
            let pending = self.new_pending(now);
            let held = HeldSeat { expires, n: pending.n, pending: Some(pending), spent: true };
            self.schools.entry(school.clone()).or_default().held.insert(token.clone(), held);
            out.extend(self.claim_message(&school, &token, expires, pending.n, true));
            out.push(Output::Granted { school, token });
        }
    }

    /// Resends unanswered messages unchanged; requests and renews advance leases.
    fn resend_due(&mut self, now: f64, epoch: Epoch, out: &mut Vec<Output>) {
        let director = self.director;
        let schools: Vec<School> = self.schools.keys().cloned().collect();
        for school in schools {
            let Some(mut state) = self.schools.remove(&school) else { continue };
            let idle = state.held.is_empty() && state.waiting.is_empty() && state.releasing.is_empty();
            if idle && now > state.last_request_at + self.terms.duration {
                // Drop the idle school; its advance lease expires at the keeper.
                continue;
            }
            for (token, w) in state.waiting.iter_mut().filter(|(_, w)| now >= w.pending.resend_at) {
                w.pending = self.back_off(now, w.pending);
                out.extend(self.claim_message(&school, token, w.expires, w.pending.n, false));
            }
            for (token, h) in &mut state.held {
                if let Some(p) = h.pending.filter(|p| now >= p.resend_at) {
                    h.pending = Some(self.back_off(now, p));
                    out.extend(self.claim_message(&school, token, h.expires, p.n, h.spent));
                }
            }
            for (token, p) in state.releasing.iter_mut().filter(|(_, p)| now >= p.resend_at) {
                *p = self.back_off(now, *p);
                let (school, token) = (school.clone(), token.clone());
                out.push(Output::Send(KeeperRequest::Release { director, epoch, school, token, n: p.n }));
            }
            let want = self.timeouts.seats_ahead;
            let lease_request =
                |n| Output::Send(KeeperRequest::Lend { director, epoch, school: school.clone(), want, n });
            match state.pending_lease {
                Some(p) if now >= p.resend_at => {
                    out.push(lease_request(p.n));
                    state.pending_lease = Some(self.back_off(now, p));
                }
                Some(_) => {}
                None => {
                    // Not while a used seat is unconfirmed: the keeper's count and this one would differ.
                    let confirmed = state.held.values().all(|h| !h.spent);
                    let due = state.leased < self.timeouts.seats_ahead
                        && now >= state.lease_answered_at + self.timeouts.heartbeat_interval
                        || now >= state.leased_until - self.terms.duration / 2.0;
                    if confirmed && due && self.timeouts.seats_ahead > 0 {
                        let p = self.new_pending(now);
                        out.push(lease_request(p.n));
                        state.pending_lease = Some(p);
                    }
                }
            }
            self.schools.insert(school, state);
        }
    }
}
