//! Attempts to read the change log: when a further one begins, and which ones are closed.
//!
//! A slow service is not down. An attempt whose state lasts longer than its limit is therefore kept, and a further one begins
//! beside it (a hedged request). The first attempt that delivers something new, or whose stream stays alive for
//! [`STEADY_TIME`], closes the others.
//!
//! An attempt that exceeds a limit is numbered, from 0 after each useful answer, and takes the place that belongs to its
//! number; an earlier attempt in that place is closed. Number 0 keeps its place until there is a useful answer: in a service
//! that works off a queue it is the first to be answered. A number divisible by 2^n takes rotating place n, where it stays for
//! 2^(n+1) further attempts. Powers of two above the rotating places take the patient place, where they stay until the number
//! has doubled. So the attempts in flight are bounded, an attempt that stays silent for good blocks no more than its own place,
//! and the time for which an attempt is kept grows until it exceeds any answer time.
//!
//! The limits grow with the time without a useful answer, so that all directors together ask a crowded service ever less often.
//!
//! This module does no I/O. Times are seconds, passed in.

use std::collections::BTreeMap;

/// s; limit of connecting.
const CONNECT_LIMIT: f64 = 0.7;
/// s; limit of waiting for the answer to the request.
const ANSWER_LIMIT: f64 = 1.6;
/// s; limit of silence on an open stream, on which the change log sends something every second.
pub const SILENCE_LIMIT: f64 = 1.6;
/// s; limit of an incomplete event or comment on an open stream that is not silent.
const EVENT_LIMIT: f64 = 4.0;
/// s; the limits double with each attempt that exceeds one up to here at first. A silent stream and an attempt that is silent
/// too fit into the 4 s after which the change log's events count as told.
const FIRST_MAX_LIMIT: f64 = 2.0;
/// s; the same after a long time without a useful answer.
const LAST_MAX_LIMIT: f64 = 8.0;
/// Between the two, the maximum is this part of the time without a useful answer.
const MAX_LIMIT_FRACTION: f64 = 1.0 / 16.0;
/// A limit is drawn between this part and the whole of its value, as all directors lose the change log at the same moment.
const MIN_LIMIT_FRACTION: f64 = 0.75;
/// s; a stream that stays alive for this long closes the other attempts although it delivers no event.
pub const STEADY_TIME: f64 = 4.0;
/// s; initial backoff after an attempt failed.
const MIN_BACKOFF: f64 = 0.02;
/// s; maximum backoff after an attempt failed.
const MAX_BACKOFF: f64 = 0.5;
/// Places in which attempts replace each other after a fixed number of attempts.
const ROTATING_PLACES: u32 = 4;
/// Place of the attempts that are kept for a time that doubles.
const PATIENT_PLACE: u32 = ROTATING_PLACES;
/// Place of the attempt that is kept until there is a useful answer.
const FIRST_PLACE: u32 = ROTATING_PLACES + 1;
/// Maximum attempts in flight: one in each place, the newest, and two at earlier addresses.
pub const MAX_IN_FLIGHT: usize = ROTATING_PLACES as usize + 5;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    Connecting,
    AwaitingAnswer,
    Open,
}

/// What the shell has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to the current address and request what follows the last event.
    Begin(AttemptId),
    /// Close the connection of the attempt.
    Close(AttemptId),
}

/// Where the next byte of a stream of events belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LinePosition {
    #[default]
    Start,
    /// At the start of a line, or at the second byte of the end of one.
    AfterCarriageReturn,
    Comment,
    Field,
}

/// What an attempt has received. The shell records the bytes as they arrive.
#[derive(Clone, Copy, Debug, Default)]
pub struct Activity {
    /// When the last byte arrived, and the first one after the last silence.
    bytes: Option<(f64, f64)>,
    position: LinePosition,
    /// A field of an event has arrived, but not the empty line that ends the event.
    is_in_event: bool,
    /// When the first byte of an incomplete comment or event arrived.
    incomplete_since: Option<f64>,
}

impl Activity {
    /// Records bytes of any kind.
    pub fn record_bytes(&mut self, now: f64) {
        let unbroken = self.bytes.filter(|(last, _)| now - last < SILENCE_LIMIT);
        self.bytes = Some((now, unbroken.map_or(now, |(_, since)| since)));
    }

    /// When the last byte arrived.
    pub fn last_byte_at(&self) -> Option<f64> {
        self.bytes.map(|(last, _)| last)
    }

    /// Records bytes of the stream of events (HTML Living Standard, section 9.2.5).
    pub fn record_stream(&mut self, now: f64, bytes: &[u8]) {
        for byte in bytes {
            let is_at_start =
                matches!(self.position, LinePosition::Start | LinePosition::AfterCarriageReturn);
            self.position = match byte {
                b'\n' if self.position == LinePosition::AfterCarriageReturn => LinePosition::Start,
                b'\n' | b'\r' => {
                    self.end_line();
                    if *byte == b'\r' { LinePosition::AfterCarriageReturn } else { LinePosition::Start }
                }
                b':' if is_at_start => LinePosition::Comment,
                _ if is_at_start => LinePosition::Field,
                _ => self.position,
            };
            if matches!(self.position, LinePosition::Comment | LinePosition::Field) {
                self.incomplete_since.get_or_insert(now);
            }
        }
    }

    fn end_line(&mut self) {
        match self.position {
            LinePosition::Start | LinePosition::AfterCarriageReturn => self.is_in_event = false,
            LinePosition::Field => self.is_in_event = true,
            LinePosition::Comment => {}
        }
        if !self.is_in_event {
            self.incomplete_since = None;
        }
    }
}

#[derive(Debug)]
struct Attempt {
    state: AttemptState,
    state_since: f64,
    /// s; the limit of its state, but for an open stream that is useful.
    limit: f64,
    activity: Activity,
    /// Its place, and when it took it, once it has exceeded a limit.
    place: Option<(u32, f64)>,
    /// Reads from an address that is not the current one.
    is_superseded: bool,
}

impl Attempt {
    /// When it exceeds the limit of its state, if nothing arrives until then.
    fn overdue_at(&self) -> f64 {
        match self.state {
            AttemptState::Connecting | AttemptState::AwaitingAnswer => self.state_since + self.limit,
            AttemptState::Open => {
                self.within_limits(SILENCE_LIMIT.max(self.limit), EVENT_LIMIT.max(self.limit))
            }
        }
    }

    /// Until when its stream is neither silent for `silence` nor its event incomplete for `event`, both in s.
    fn within_limits(&self, silence: f64, event: f64) -> f64 {
        let last_byte = self.activity.bytes.map_or(self.state_since, |(last, _)| last.max(self.state_since));
        let event_due_at = self.activity.incomplete_since.map_or(f64::INFINITY, |since| since + event);
        (last_byte + silence).min(event_due_at)
    }

    /// Whether its stream is open and sends what the protocol asks for.
    fn is_alive(&self, now: f64) -> bool {
        self.state == AttemptState::Open && self.within_limits(SILENCE_LIMIT, EVENT_LIMIT) > now
    }

    /// When its stream will have stayed alive for [`STEADY_TIME`], unless it has an incomplete event: then it may be behind
    /// another attempt that has received more of the event.
    fn steady_at(&self) -> Option<f64> {
        let unbroken_since = self.activity.bytes.map_or(self.state_since, |(_, since)| since);
        let is_complete = self.activity.incomplete_since.is_none();
        is_complete.then(|| unbroken_since.max(self.state_since) + STEADY_TIME)
    }

    fn has_received_since(&self, then: f64) -> bool {
        self.activity.bytes.is_some_and(|(last, _)| last > then)
    }
}

/// The place of the attempt that exceeds a limit after `number` others.
fn place_of(number: u64) -> u32 {
    if number == 0 {
        FIRST_PLACE
    } else if number.is_power_of_two() && number >= 1 << (ROTATING_PLACES - 1) {
        PATIENT_PLACE
    } else {
        number.trailing_zeros().min(ROTATING_PLACES - 1)
    }
}

/// Plans the attempts of one director.
#[derive(Debug)]
pub struct AttemptPlanner {
    rng: fastrand::Rng,
    attempts: BTreeMap<AttemptId, Attempt>,
    next_id: u64,
    /// Attempts that have exceeded a limit since the last useful answer.
    overdue_count: u64,
    /// When the first of them exceeded its limit.
    overdue_since: f64,
    backoff: f64,
    /// No attempt begins earlier.
    retry_at: f64,
}

impl AttemptPlanner {
    /// Creates a planner without attempts; the first is due at once.
    pub fn new(rng: fastrand::Rng) -> Self {
        AttemptPlanner {
            rng,
            attempts: BTreeMap::new(),
            next_id: 0,
            overdue_count: 0,
            overdue_since: 0.0,
            backoff: MIN_BACKOFF,
            retry_at: f64::NEG_INFINITY,
        }
    }

    fn current(&self) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        self.attempts.iter().filter(|(_, attempt)| !attempt.is_superseded).map(|(&id, attempt)| (id, attempt))
    }

    fn next_attempt_at(&self) -> f64 {
        self.current().map(|(_, attempt)| attempt.overdue_at()).fold(self.retry_at, f64::max)
    }

    /// The stream that is to close the other attempts, and when, if it stays alive until then.
    fn next_steady(&self, now: f64) -> Option<(f64, AttemptId)> {
        let is_settled = self.attempts.len() == 1 && self.overdue_count == 0 && self.backoff <= MIN_BACKOFF;
        let alive = self.current().filter(|(_, attempt)| attempt.is_alive(now));
        let steady = alive.filter_map(|(id, attempt)| Some((attempt.steady_at()?, id)));
        steady.filter(|_| !is_settled).min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Time of the next call of [`poll`](Self::poll), unless something happens before.
    pub fn next_poll_at(&self, now: f64) -> f64 {
        self.next_steady(now).map_or(f64::INFINITY, |(at, _)| at).min(self.next_attempt_at())
    }

    /// Begins and closes attempts whose time has come.
    pub fn poll(&mut self, now: f64) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some((at, id)) = self.next_steady(now)
            && at <= now
        {
            self.prefer(id, &mut actions);
        }
        if self.next_attempt_at() <= now {
            self.place_newest(now, &mut actions);
            actions.push(self.begin(now));
        }
        actions
    }

    fn begin(&mut self, now: f64) -> Action {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        let attempt = Attempt {
            state: AttemptState::Connecting,
            state_since: now,
            limit: self.draw_limit(CONNECT_LIMIT, FIRST_MAX_LIMIT),
            activity: Activity::default(),
            place: None,
            is_superseded: false,
        };
        self.attempts.insert(id, attempt);
        Action::Begin(id)
    }

    fn draw_limit(&mut self, initial: f64, max: f64) -> f64 {
        let doublings = self.overdue_count.min(8) as i32;
        let limit = (initial * 2_f64.powi(doublings)).min(max);
        limit * (MIN_LIMIT_FRACTION + (1.0 - MIN_LIMIT_FRACTION) * self.rng.f64())
    }

    /// Draws the limit of a state in which the attempt costs the service an answer.
    fn draw_answer_limit(&mut self, now: f64) -> f64 {
        let unheard = if self.overdue_count > 0 { now - self.overdue_since } else { 0.0 };
        let max = (unheard * MAX_LIMIT_FRACTION).clamp(FIRST_MAX_LIMIT, LAST_MAX_LIMIT);
        self.draw_limit(ANSWER_LIMIT, max)
    }

    /// Gives the newest attempt, which has exceeded a limit, its place.
    fn place_newest(&mut self, now: f64, actions: &mut Vec<Action>) {
        let newest = self.current().filter(|(_, attempt)| attempt.place.is_none()).map(|(id, _)| id).last();
        let Some(newest) = newest else { return };
        if self.overdue_count == 0 {
            self.overdue_since = now;
        }
        let mut place = place_of(self.overdue_count);
        self.overdue_count += 1;
        let is_receiving =
            |attempt: &Attempt| attempt.place.is_some_and(|(_, at)| attempt.has_received_since(at));
        if place == PATIENT_PLACE && self.occupant(place).is_some_and(|id| is_receiving(&self.attempts[&id]))
        {
            place = ROTATING_PLACES - 1;
        }
        if let Some(earlier) = self.occupant(place) {
            self.close(earlier, actions);
        }
        if let Some(attempt) = self.attempts.get_mut(&newest) {
            attempt.place = Some((place, now));
        }
    }

    fn occupant(&self, place: u32) -> Option<AttemptId> {
        self.current().find(|(_, attempt)| attempt.place.is_some_and(|(p, _)| p == place)).map(|(id, _)| id)
    }

    fn close(&mut self, id: AttemptId, actions: &mut Vec<Action>) {
        self.attempts.remove(&id);
        actions.push(Action::Close(id));
    }

    fn close_where(&mut self, actions: &mut Vec<Action>, is_unwanted: impl Fn(AttemptId) -> bool) {
        let unwanted: Vec<AttemptId> = self.attempts.keys().copied().filter(|id| is_unwanted(*id)).collect();
        unwanted.into_iter().for_each(|id| self.close(id, actions));
    }

    /// Closes all other attempts, as this one proved useful.
    fn prefer(&mut self, id: AttemptId, actions: &mut Vec<Action>) {
        self.close_where(actions, |other| other != id);
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.place = None;
            attempt.limit = 0.0;
        }
        self.overdue_count = 0;
        self.backoff = MIN_BACKOFF;
    }

    fn set_state(&mut self, id: AttemptId, state: AttemptState, now: f64) {
        let limit = self.draw_answer_limit(now);
        if let Some(attempt) = self.attempts.get_mut(&id) {
            (attempt.state, attempt.state_since, attempt.limit) = (state, now, limit);
        }
    }

    /// The connection of an attempt is up, and its request on its way.
    pub fn connected(&mut self, id: AttemptId, now: f64) {
        self.set_state(id, AttemptState::AwaitingAnswer, now);
    }

    /// The request of an attempt is granted, and its stream open.
    pub fn answered(&mut self, id: AttemptId, now: f64) {
        self.set_state(id, AttemptState::Open, now);
    }

    /// Updates what an attempt has received.
    pub fn set_activity(&mut self, id: AttemptId, activity: Activity) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.activity = activity;
        }
    }

    /// An attempt delivered an event that no attempt had delivered before.
    pub fn new_event_delivered(&mut self, id: AttemptId) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.attempts.get(&id).is_some_and(|attempt| !attempt.is_superseded) {
            self.prefer(id, &mut actions);
        }
        actions
    }

    /// An attempt ended by itself: it failed, or its stream did.
    pub fn ended(&mut self, id: AttemptId, now: f64) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        if !attempt.is_superseded {
            self.retry_at = now + self.backoff * (0.5 + 0.5 * self.rng.f64());
            self.backoff = (self.backoff * 2.0).min(MAX_BACKOFF);
        }
    }

    /// The change log moved; the next attempt, at its new address, is due at once. Of the attempts at earlier addresses, two
    /// are kept until one at the new address proves useful: the stream that is alive, and the one that has waited longest.
    pub fn address_changed(&mut self, now: f64) -> Vec<Action> {
        let stream = self.attempts.iter().rfind(|(_, attempt)| attempt.is_alive(now)).map(|(&id, _)| id);
        let waiting = self.attempts.iter().find(|(_, a)| a.state != AttemptState::Open).map(|(&id, _)| id);
        let mut actions = Vec::new();
        self.close_where(&mut actions, |id| Some(id) != stream && Some(id) != waiting);
        self.attempts.values_mut().for_each(|attempt| attempt.is_superseded = true);
        self.overdue_count = 0;
        self.backoff = MIN_BACKOFF;
        self.retry_at = now;
        actions
    }

    /// Whether a stream from the current address is open and alive.
    pub fn is_following(&self, now: f64) -> bool {
        self.current().any(|(_, attempt)| attempt.is_alive(now))
    }

    /// Number of attempts that are neither closed nor ended.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// State of an attempt in flight, and the time since which it lasts.
    pub fn state(&self, id: AttemptId) -> Option<(AttemptState, f64)> {
        self.attempts.get(&id).map(|attempt| (attempt.state, attempt.state_since))
    }
}

#[cfg(test)]
mod tests;
