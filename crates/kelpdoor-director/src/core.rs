//! The desk: what came in becomes a round of the decisions, their orders become effects. No I/O and no clock:
//! times are passed in, in seconds; the same inputs at the same times give the same effects.
//!
//! A session belongs to the desk from the moment its request is read whole to its one final answer. Limits, each
//! with its answer when reached: sessions held (`busy`), requests out to a node (its link is closed), remembered
//! answers (the oldest are forgotten).

mod seats;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use kelpdoor::ids::{GroupId, NodeId, SessId, TitleId};
use kelpdoor::round::{
    Ended, ListChange, ListedNode, LoadReport, Measurement, NewSession, Phase as ListPhase, Playing,
    SetupOutcome,
};
use kelpdoor::{Director, Orders, Round};
use kelpdoor_api::{EndReason, ErrorCode, FailureReason, FromPlayer, RequestKey, ToPlayer};
use kelpdoor_rtsp::{
    LinkDemandHeader, LoadReportHeader, Message, Method, Request, Response, header_names, notify_reasons,
};
use kelpdoor_script::Deployment;
use kelpdoor_seats::Holder;
use kelpdoor_tokens::Entitlement;

use crate::effect::{Effect, Input, NodeEvent, TokenCheck};
use crate::link::{Asked, Line, Link};
use crate::roster::{Phase, RosterList, RosterMessage, RosterNode, RosterRequest, RosterTitle};
use crate::session::{Attempt, Session, Stage};
use crate::timers::{Timer, Timers};

/// Requests out to one node at most; over it the peer is taken for dead.
const MAX_OUT: usize = 50_000;
/// Times the sessions limit; answers remembered for retries at most.
const REMEMBERED: usize = 2;
/// s; a TEARDOWN without an answer counts as done after this.
const TEARDOWN_WAIT: f64 = 2.0;
/// s; with less left to its player a request is not begun any more.
const LEAST_LEFT: f64 = 0.001;
/// s; the list is saved at most so often.
const SAVE_EVERY: f64 = 1.0;
/// Rounds of the decisions within one call, for endings that their own orders bring at once.
const TURNS: usize = 8;
/// s; a gap between rounds longer than this is a pause of our own.
const PAUSE: f64 = 0.5;

/// What is held at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sessions whose final answer is pending.
    pub pending: usize,
    pub playing: usize,
    /// Sessions known, remembered answers included.
    pub known: usize,
    pub timers: usize,
    pub requests_out: usize,
    pub links_up: usize,
}

/// Everything but the decisions.
struct Hands {
    book: Deployment,
    now: f64,
    wake: Option<f64>,
    round: Round,
    effects: Vec<Effect>,
    sess: BTreeMap<u64, Session>,
    keys: BTreeMap<RequestKey, u64>,
    socks: BTreeMap<u64, BTreeSet<u64>>,
    links: BTreeMap<u32, Link>,
    list: RosterList,
    titles: BTreeMap<String, TitleId>,
    over: VecDeque<u64>,
    /// Seats of schools, if a group needs them, and the session that has or waits for each.
    holder: Option<Holder>,
    seat_of: BTreeMap<seats::SeatName, u64>,
    /// Sessions whose answer is owed, and these together with those that play.
    owed: usize,
    held: usize,
    timers: Timers,
    next_sess: u64,
    next_pipe: u64,
    next_link: u64,
    next_title: u64,
    rng: fastrand::Rng,
    /// Until when something new may be begun, where rules are agreed, and the versions that are acted on.
    lease: Option<f64>,
    label: String,
    /// Changes of rules so far.
    rules: u64,
    saving: bool,
    closing: bool,
    done: bool,
}

pub struct DirectorCore {
    director: Director,
    hands: Hands,
    last_round: f64,
}

fn load_of(headers: &kelpdoor_rtsp::Headers) -> LoadReport {
    let load = headers.get(header_names::LOAD_REPORT).map(LoadReportHeader::parse).unwrap_or_default();
    LoadReport { streams: load.streams, link: load.link, uplink: load.uplink }
}

impl DirectorCore {
    /// `seed` starts all chance; `now` in seconds since 1970.
    pub fn new(book: &Deployment, seed: u64, now: f64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let director = Director::new(&book.terms(), rng.u64(..), now);
        // Of its own chance, so that seats change no other draw.
        let nonce = fastrand::Rng::with_seed(seed ^ now.to_bits()).u64(..);
        let hands = Hands {
            book: book.clone(),
            now,
            wake: Some(now),
            round: Round::default(),
            effects: Vec::new(),
            sess: BTreeMap::new(),
            keys: BTreeMap::new(),
            socks: BTreeMap::new(),
            links: BTreeMap::new(),
            list: RosterList::default(),
            titles: BTreeMap::new(),
            over: VecDeque::new(),
            holder: seats::holder(book, || nonce),
            seat_of: BTreeMap::new(),
            owed: 0,
            held: 0,
            timers: Timers::default(),
            next_sess: 1,
            next_pipe: rng.u64(..) >> 16,
            next_link: 1,
            next_title: 1,
            rng,
            lease: None,
            label: String::new(),
            rules: 0,
            saving: false,
            closing: false,
            done: false,
        };
        DirectorCore { director, hands, last_round: now }
    }

    /// Takes something in; it acts with the next [`round`](Self::round).
    pub fn handle_input(&mut self, now: f64, input: Input) {
        self.handle_delayed_input(now, 0.0, input);
    }

    /// As [`handle_input`](Self::handle_input), of something that came so many seconds ago: a player's time runs from there.
    pub fn handle_delayed_input(&mut self, now: f64, waited: f64, input: Input) {
        let h = &mut self.hands;
        h.now = h.now.max(now);
        match input {
            Input::Player { sock, message } => h.player(sock, message, waited.max(0.0), TokenCheck::Missing),
            Input::PlayerWithToken { sock, message, check } => {
                h.player_with_token(sock, message, waited.max(0.0), check);
            }
            Input::Keeper(word) => {
                let out =
                    h.holder.as_mut().map(|holder| holder.handle_response(h.now, &word)).unwrap_or_default();
                h.seats_out(out);
            }
            Input::SocketLost { sock } => h.socket_lost(sock),
            Input::Node { node, link, event } => h.handle_node_event(node, link, event),
            Input::Roster(message) => h.roster(message),
            Input::Cached(list) => h.cached(list),
            Input::Rules { deployment, label } => {
                h.rules(*deployment, label);
                self.director.update_terms(&h.book.terms());
            }
            Input::Lease { until } => h.lease = Some(until),
            Input::Unsent { node, link, batch } => h.unsent(node, link, batch),
            Input::ShutDown => h.closing = true,
        }
    }

    /// Fires what is due, asks the decisions, and writes what is to be done.
    pub fn round(&mut self, now: f64, out: &mut impl FnMut(Effect)) {
        let h = &mut self.hands;
        h.now = h.now.max(now);
        let gap = h.now - self.last_round;
        self.last_round = h.now;
        if gap > PAUSE {
            // We stood still, so the links' silence is ours.
            h.links.values_mut().for_each(|l| l.heard += gap);
        }
        h.seats_tick();
        while let Some(timer) = h.timers.pop(h.now) {
            h.fire(timer);
        }
        for _ in 0..TURNS {
            let round = std::mem::take(&mut self.hands.round);
            self.hands.wake = self.hands.wake.filter(|w| *w > self.hands.now);
            self.director.round(self.hands.now, &round, &mut self.hands);
            if self.hands.round.ended.is_empty() && self.hands.round.departures.is_empty() {
                break;
            }
        }
        self.hands.close_down();
        self.hands.effects.drain(..).for_each(out);
    }

    /// When a round is due though nothing comes in.
    pub fn next_timer_at(&self) -> f64 {
        let h = &self.hands;
        let more = !h.round.ended.is_empty() || !h.round.departures.is_empty();
        let seats = h.holder.as_ref().map(Holder::next_timer_at);
        let due = [h.wake, h.timers.next_timer_at(), more.then_some(h.now), seats];
        due.into_iter().flatten().fold(f64::INFINITY, f64::min)
    }

    pub fn counts(&self) -> Counts {
        let h = &self.hands;
        Counts {
            pending: h.owed,
            playing: h.held - h.owed,
            known: h.sess.len(),
            timers: h.timers.len(),
            requests_out: h.links.values().map(|l| l.out.len()).sum(),
            links_up: h.links.values().filter(|l| l.line == Line::Up).count(),
        }
    }
}

impl Hands {
    fn note(&mut self, sess: Option<u64>, text: impl Into<String>) {
        self.effects.push(Effect::Log { sess, text: text.into() });
    }

    fn say(&mut self, sock: Option<u64>, message: ToPlayer) {
        if let Some(sock) = sock {
            let sess = message.key().and_then(|key| self.keys.get(key).copied());
            self.effects.push(Effect::Player { sock, sess, message });
        }
    }

    fn error(&mut self, sock: u64, key: &RequestKey, code: ErrorCode, message: impl Into<String>) {
        let key = Some(key.clone());
        self.say(Some(sock), ToPlayer::Error { key, code, message: message.into() });
    }

    // Players.

    fn player(&mut self, sock: u64, message: FromPlayer, waited: f64, shown: TokenCheck) {
        match message {
            FromPlayer::Ping { n } => self.say(Some(sock), ToPlayer::Pong { n }),
            FromPlayer::Stop { key } => match self.keys.get(&key).copied() {
                Some(id) => self.stop(id),
                None => self.error(sock, &key, ErrorCode::UnknownKey, "no session has this key"),
            },
            FromPlayer::Renew { key, .. } => {
                self.error(sock, &key, ErrorCode::TokenMissing, "no token is asked for here");
            }
            FromPlayer::Start { key, group, title, best_rung, setup_timeout, token: _ } => {
                let g = self.book.groups.iter().position(|g| g.name == group);
                let Some(g) = g else {
                    return self.error(sock, &key, ErrorCode::UnknownGroup, format!("no group {group:?}"));
                };
                if let Some(&id) = self.keys.get(&key) {
                    return self.again(sock, id, g, &title);
                }
                let e = match self.entitled(g, shown) {
                    Ok(e) => e,
                    Err((code, what)) => return self.error(sock, &key, code, what),
                };
                self.start(sock, key, g, title, best_rung, setup_timeout, waited, e);
            }
        }
    }

    /// A key that is known: the same answer once more, or the same one to come.
    fn again(&mut self, sock: u64, id: u64, group: usize, title: &str) {
        let s = &self.sess[&id];
        if usize::from(s.group) != group || s.title_name != title {
            let key = s.key.clone();
            return self.error(sock, &key, ErrorCode::KeyConflict, "the key stands for another request");
        }
        let (answer, ended) = (s.answer.clone(), s.ended.clone());
        self.bind(id, sock);
        for message in answer.into_iter().chain(ended) {
            self.say(Some(sock), message);
        }
    }

    fn bind(&mut self, id: u64, sock: u64) {
        let Some(s) = self.sess.get_mut(&id) else { return };
        if let Some(of) = s.sock.replace(sock).and_then(|old| self.socks.get_mut(&old)) {
            of.remove(&id);
        }
        s.losses += 1;
        if s.stage != Stage::Over {
            self.socks.entry(sock).or_default().insert(id);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn start(
        &mut self, sock: u64, key: RequestKey, g: usize, title: String, best: u8, timeout: f64, waited: f64,
        entitled: Option<Entitlement>,
    ) {
        let Some(lies) = self.lies(&title) else {
            return self.error(sock, &key, ErrorCode::UnknownTitle, format!("no title {title:?}"));
        };
        let group = &self.book.groups[g];
        if best < group.floor {
            let what = format!("the group plays at rung {} at least", group.floor);
            return self.error(sock, &key, ErrorCode::RungTooLow, what);
        }
        let come_back = self.book.director.come_back;
        let left = timeout - self.book.players.answer_ahead.min(timeout / 2.0) - waited;
        // No room, or it lay so long before we came to it that its viewer has given up.
        let full = self.held >= self.book.players.sessions;
        let refused = self.closing || full || left < LEAST_LEFT || !self.may_begin();
        let id = self.next_sess;
        self.next_sess += 1;
        let names = &mut self.titles;
        let title_id = *names.entry(title.clone()).or_insert_with(|| {
            self.next_title += 1;
            TitleId(self.next_title)
        });
        let wanted = NewSession {
            sess: SessId(id),
            group: GroupId(g as u8),
            title: title_id,
            setup_timeout: left,
            first_cell: lies.first_cell,
            cells: lies.cells,
            best_rung: best.min(self.book.ladder.rates.len() as u8 - 1),
        };
        let session = Session {
            key: key.clone(),
            sock: None,
            losses: 0,
            group: g as u8,
            title_name: title,
            due: self.now + left,
            deadline: self.now - waited + timeout,
            stage: Stage::Asked,
            rung: group.floor,
            seat: None,
            wanted: Some(wanted),
            attempt: None,
            setups: 0,
            answer: None,
            ended: None,
        };
        self.sess.insert(id, session);
        self.keys.insert(key, id);
        self.held += 1;
        self.owed += 1;
        self.bind(id, sock);
        if refused {
            // Kept like any other answer: a retry hears the same.
            self.answer(id, |key| ToPlayer::Busy { key, come_back });
            return self.over(id);
        }
        self.timers.set(self.now + left, Timer::AnswerDue { sess: id });
        match entitled {
            None => self.admit(id),
            Some(e) => self.ask_seat(id, left, e),
        }
    }

    /// Hands a request to the decisions, with what is left of its time.
    fn admit(&mut self, id: u64) {
        let Some(s) = self.sess.get_mut(&id).filter(|s| s.stage == Stage::Asked) else { return };
        let Some(mut wanted) = s.wanted.take() else { return };
        wanted.setup_timeout = s.due - self.now;
        if wanted.setup_timeout < LEAST_LEFT {
            // Its seat came too late, as after a pause of ours: nothing ran.
            let come_back = self.book.director.come_back;
            self.answer(id, |key| ToPlayer::Busy { key, come_back });
            return self.over(id);
        }
        self.round.new_sessions.push(wanted);
    }

    /// Whether something new may be begun, or a session's rung changed: always where nothing is agreed, else under a lease.
    fn may_begin(&self) -> bool {
        self.lease.is_none_or(|until| self.now < until)
    }

    /// A session that has a SETUP which must not leave is given up at once: nothing ran.
    fn barred(&mut self, id: u64) {
        let come_back = self.book.director.come_back;
        self.note(Some(id), "no lease on the rules: not set up");
        self.give_up(id, SetupOutcome::NeverSent, true);
        self.answer(id, |key| ToPlayer::Busy { key, come_back });
        self.over(id);
    }

    /// The lease was over when the turn of a SETUP came: neither it nor its PLAY is answered, whatever became of the session.
    /// Or that of a change of rung: the session stays at the rung that its node knows.
    fn unsent(&mut self, node: u32, number: u64, of: u64) {
        let Some(link) = self.links.get_mut(&node).filter(|l| l.number == number) else { return };
        let (mut id, mut kept) = (None, None);
        link.out.retain(|_, asked| match asked {
            Asked::Rung { sess, rung, was, name } if *name == of => {
                kept = Some((*sess, *rung, *was));
                false
            }
            Asked::Setup { pipe, sess } | Asked::Play { pipe, sess } if *pipe == of => {
                id = Some(*sess);
                false
            }
            _ => true,
        });
        if let Some((sess, rung, was)) = kept {
            return self.rung_refused(node, sess, rung, was);
        }
        let Some(id) = id.filter(|id| self.current(*id, of).is_some()) else { return };
        if let Some(a) = self.sess.get_mut(&id).and_then(|s| s.attempt.as_mut()) {
            a.sent = false;
        }
        self.barred(id);
    }

    /// The viewer is done or gone.
    fn stop(&mut self, id: u64) {
        let Some(s) = self.sess.get(&id) else { return };
        match s.stage {
            Stage::Over | Stage::Ending => {}
            Stage::Asked => {
                if s.attempt.is_some() {
                    self.give_up(id, SetupOutcome::Withdrawn, true);
                } else if s.wanted.is_none() {
                    self.round.departures.push(SessId(id));
                }
                self.answer(id, |key| ToPlayer::Failed { key, why: FailureReason::Stopped });
                self.over(id);
            }
            Stage::Playing => self.end_playing(id, EndReason::Stopped),
        }
    }

    /// Takes a session off its node; it is over when that is done.
    fn end_playing(&mut self, id: u64, why: EndReason) {
        self.tear_down(id);
        self.tell_ended(id, why);
        if let Some(s) = self.sess.get_mut(&id) {
            s.stage = Stage::Ending;
        }
        self.timers.set(self.now + TEARDOWN_WAIT, Timer::TornDown { sess: id });
    }

    fn socket_lost(&mut self, sock: u64) {
        for id in self.socks.remove(&sock).unwrap_or_default() {
            let Some(s) = self.sess.get_mut(&id).filter(|s| s.sock == Some(sock)) else { continue };
            s.sock = None;
            s.losses += 1;
            let timer = Timer::Resume { sess: id, losses: s.losses };
            self.timers.set(self.now + self.book.players.resume_for, timer);
        }
    }

    /// The one final answer.
    fn answer(&mut self, id: u64, of: impl FnOnce(RequestKey) -> ToPlayer) {
        let Some(s) = self.sess.get_mut(&id) else { return };
        if s.answer.is_some() {
            return;
        }
        let (message, sock) = (of(s.key.clone()), s.sock);
        s.answer = Some(message.clone());
        self.say(sock, message);
    }

    fn tell_ended(&mut self, id: u64, why: EndReason) {
        let Some(s) = self.sess.get_mut(&id) else { return };
        if s.ended.is_some() {
            return;
        }
        let (message, sock) = (ToPlayer::Ended { key: s.key.clone(), why }, s.sock);
        s.ended = Some(message.clone());
        self.say(sock, message);
    }

    /// Nothing is held for the session any more but its answer.
    fn over(&mut self, id: u64) {
        let Some(s) = self.sess.get_mut(&id).filter(|s| s.stage != Stage::Over) else { return };
        self.owed -= usize::from(s.stage == Stage::Asked);
        s.stage = Stage::Over;
        s.attempt = None;
        s.wanted = None;
        if let Some(of) = s.sock.take().and_then(|sock| self.socks.get_mut(&sock)) {
            of.remove(&id);
        }
        self.held -= 1;
        self.over.push_back(id);
        self.timers.set(self.now + self.book.players.remember, Timer::Forget { sess: id });
        self.give_back(id);
        while self.over.len() > REMEMBERED * self.book.players.sessions {
            if let Some(oldest) = self.over.pop_front() {
                self.forget(oldest);
            }
        }
    }

    fn forget(&mut self, id: u64) {
        if let Some(s) = self.sess.remove(&id) {
            self.keys.remove(&s.key);
        }
    }

    // Nodes.

    fn request(&mut self, node: u32, asked: Asked, method: Method, uri: &str, with: &[(&str, String)]) {
        let Some(link) = self.links.get_mut(&node).filter(|l| l.line == Line::Up) else { return };
        if link.out.len() >= MAX_OUT {
            let timer = Timer::Choked { node, link: link.number };
            self.timers.set(self.now, timer);
            return;
        }
        link.cseq = link.cseq.wrapping_add(1);
        link.out.insert(link.cseq, asked);
        let mut request = Request::new(method, uri, link.cseq);
        for (name, value) in with {
            request.headers.append(name, value);
        }
        let mut bytes = Vec::with_capacity(192);
        Message::Request(request).write(&mut bytes);
        let link = link.number;
        // One write for what goes out together, but that what may leave only under a lease stands apart: a SETUP with its PLAY,
        // a change of rung.
        let leased = asked.under_lease().filter(|_| self.lease.is_some());
        match (self.effects.last_mut(), leased) {
            (Some(Effect::Node { node: n, link: l, bytes: before }), None) if (*n, *l) == (node, link) => {
                before.append(&mut bytes);
            }
            (Some(Effect::Leased { node: n, link: l, batch: b, bytes: before }), Some(batch))
                if (*n, *l, *b) == (node, link, batch) =>
            {
                before.append(&mut bytes);
            }
            (_, None) => self.effects.push(Effect::Node { node, link, bytes }),
            (_, Some(batch)) => self.effects.push(Effect::Leased { node, link, batch, bytes }),
        }
    }

    fn dial(&mut self, node: u32) {
        let Some(link) = self.links.get_mut(&node).filter(|l| l.line == Line::Down) else { return };
        link.line = Line::Dialling;
        link.number = self.next_link;
        self.next_link += 1;
        let (number, address) = (link.number, link.address);
        self.effects.push(Effect::Dial { node, link: number, address });
        let due = self.now + self.book.node_links.connect_timeout;
        self.timers.set(due, Timer::ConnectDue { node, link: number });
    }

    fn handle_node_event(&mut self, node: u32, number: u64, event: NodeEvent) {
        let Some(link) = self.links.get_mut(&node).filter(|l| l.number == number && l.line != Line::Down)
        else {
            return;
        };
        link.heard = self.now;
        match event {
            NodeEvent::Connected => {
                if link.line != Line::Dialling {
                    return;
                }
                link.line = Line::Up;
                link.failures = 0;
                let waiting = std::mem::take(&mut link.waiting);
                let uri = format!("rtsp://{}/", link.address);
                let me = self.book.director.me;
                let agent = format!("kelpdoor/{} (director {me})", env!("CARGO_PKG_VERSION"));
                self.request(
                    node,
                    Asked::Options,
                    Method::Options,
                    &uri,
                    &[(header_names::USER_AGENT, agent)],
                );
                waiting.into_iter().for_each(|id| self.send(id));
                let look = self.now + self.book.node_links.quiet / 2.0;
                self.timers.set(look, Timer::Look { node, link: number });
            }
            NodeEvent::ConnectFailed => self.unreached(node),
            NodeEvent::ConnectionLost => self.lose(node, number, false),
            NodeEvent::Received(Message::Response(r)) => self.answered(node, r),
            NodeEvent::Received(Message::Request(r)) => self.noticed(node, r),
        }
    }

    /// A connection could not be made: nothing of what waited for it was sent.
    fn unreached(&mut self, node: u32) {
        let Some(link) = self.links.get_mut(&node) else { return };
        let waiting = std::mem::take(&mut link.waiting);
        self.down(node);
        waiting.into_iter().for_each(|id| self.give_up(id, SetupOutcome::Unreachable, false));
    }

    /// Sets the line down, to be dialled again after a growing wait.
    fn down(&mut self, node: u32) {
        let (first, most) = self.book.node_links.back_off;
        let spread = 0.5 + self.rng.f64();
        let Some(link) = self.links.get_mut(&node) else { return };
        link.line = Line::Down;
        link.out.clear();
        link.by_rtsp.clear();
        let wait = (first * f64::from(1 << link.failures.min(16))).min(most) * spread;
        link.failures += 1;
        let number = link.number;
        self.timers.set(self.now + wait, Timer::Redial { node, link: number });
    }

    /// A connection is gone, with all it held.
    fn lose(&mut self, node: u32, number: u64, hang_up: bool) {
        let Some(link) = self.links.get_mut(&node).filter(|l| l.number == number && l.line != Line::Down)
        else {
            return;
        };
        let held = std::mem::take(&mut link.sessions);
        link.waiting.clear();
        if hang_up {
            self.effects.push(Effect::Disconnect { node, link: number });
        }
        self.down(node);
        for id in held {
            let Some(s) = self.sess.get_mut(&id) else { continue };
            let (stage, sent) = (s.stage, s.attempt.as_ref().is_some_and(|a| a.sent));
            s.attempt = None;
            let outcome = if sent { SetupOutcome::ConnectionLost } else { SetupOutcome::Unreachable };
            self.ended(id, node, outcome, stage != Stage::Asked, LoadReport::default());
            if stage != Stage::Asked {
                self.tell_ended(id, EndReason::NodeLost);
                self.over(id);
            }
        }
    }

    fn ended(&mut self, id: u64, node: u32, outcome: SetupOutcome, closed: bool, load: LoadReport) {
        self.note(Some(id), format!("at node {node}: {outcome:?}"));
        self.round.ended.push(Ended { sess: SessId(id), node: NodeId(node), outcome, closed, load });
    }

    fn uri(&self, node: u32, title: &str) -> String {
        self.links.get(&node).map_or(String::new(), |l| format!("rtsp://{}/{title}", l.address))
    }

    /// Puts a session's SETUP on the wire, its PLAY right behind it.
    fn send(&mut self, id: u64) {
        let (may, label, rules) = (self.may_begin(), self.label.clone(), self.rules);
        let Some(s) = self.sess.get_mut(&id) else { return };
        let Some(a) = s.attempt.as_mut().filter(|a| !a.sent) else { return };
        let (node, pipe) = (a.node, a.pipe);
        let Some(link) = self.links.get(&node).filter(|l| l.line == Line::Up) else { return };
        if !may {
            return self.barred(id);
        }
        if a.rules != rules {
            // Decided on rules that changed while it waited for its connection: decided anew.
            return self.give_up(id, SetupOutcome::NeverSent, false);
        }
        (a.sent, a.link) = (true, link.number);
        let mut setup = vec![
            (header_names::PIPELINED, pipe.to_string()),
            (header_names::TRANSPORT, "RTP/AVP/TCP;unicast".to_owned()),
            (header_names::RUNG, s.rung.to_string()),
            (header_names::SERVICE_GROUP, self.book.groups[usize::from(s.group)].name.clone()),
            (header_names::REQUEST_KEY, s.key.0.clone()),
        ];
        let uri = format!("rtsp://{}/{}", link.address, s.title_name);
        if self.lease.is_some() {
            setup.push((header_names::RULES_VERSION, label));
        }
        self.request(node, Asked::Setup { sess: id, pipe }, Method::Setup, &uri, &setup);
        self.request(node, Asked::Play { sess: id, pipe }, Method::Play, &uri, &setup[..1]);
    }

    /// Takes back whatever of the session is at its node, by the node's own id or, before that is known, by the
    /// name that its SETUP went out under.
    fn tear_down(&mut self, id: u64) {
        let Some(s) = self.sess.get_mut(&id) else { return };
        let Some(a) = &s.attempt else { return };
        let name = match &a.rtsp {
            Some(rtsp) => (header_names::SESSION, rtsp.clone()),
            None => (header_names::PIPELINED, a.pipe.to_string()),
        };
        let (node, sent, title) = (a.node, a.sent, s.title_name.clone());
        if sent {
            let uri = self.uri(node, &title);
            self.request(node, Asked::Teardown { sess: id }, Method::Teardown, &uri, &[name]);
        }
    }

    /// Ends a SETUP that is out: it is taken back at once, so that a late success plays nowhere.
    fn give_up(&mut self, id: u64, outcome: SetupOutcome, closed: bool) {
        let Some(a) = self.sess.get(&id).and_then(|s| s.attempt.clone()) else { return };
        self.tear_down(id);
        self.leave(id, &a);
        let outcome = match outcome {
            // What never went out never ran.
            SetupOutcome::TimedOut if !a.sent => SetupOutcome::Unreachable,
            SetupOutcome::Withdrawn if !a.sent => SetupOutcome::NeverSent,
            outcome => outcome,
        };
        self.ended(id, a.node, outcome, closed, LoadReport::default());
    }

    /// The link holds the session no more.
    fn leave(&mut self, id: u64, a: &Attempt) {
        if let Some(s) = self.sess.get_mut(&id) {
            s.attempt = None;
        }
        if let Some(link) = self.links.get_mut(&a.node) {
            link.sessions.remove(&id);
            link.waiting.retain(|w| *w != id);
            if let Some(rtsp) = &a.rtsp {
                link.by_rtsp.remove(rtsp);
            }
        }
    }

    fn current(&self, id: u64, pipe: u64) -> Option<&Session> {
        self.sess.get(&id).filter(|s| s.attempt.as_ref().is_some_and(|a| a.pipe == pipe && a.sent))
    }

    fn answered(&mut self, node: u32, r: Response) {
        let Some(asked) = self.links.get_mut(&node).and_then(|l| l.out.remove(&r.cseq)) else {
            return self.note(None, format!("node {node}: an answer to nothing, CSeq {}", r.cseq));
        };
        let load = load_of(&r.headers);
        match asked {
            Asked::Options => {}
            Asked::Probe { told } => {
                let outcome = if r.ok() { SetupOutcome::Served } else { SetupOutcome::Failed };
                if told {
                    self.round.probed.push((NodeId(node), outcome, load));
                }
            }
            Asked::Setup { sess, pipe } => {
                let rtsp =
                    r.headers.get(header_names::SESSION).map(|s| s.split(';').next().unwrap_or(s).trim());
                let rtsp = rtsp.filter(|s| !s.is_empty() && s.len() <= 128).map(str::to_owned);
                if self.current(sess, pipe).is_none() {
                    // A late success: taken back by the name that the node now gives it.
                    if let Some(rtsp) = rtsp.filter(|_| r.ok()) {
                        let uri = self.uri(node, "");
                        let name = [(header_names::SESSION, rtsp)];
                        self.request(node, Asked::Teardown { sess: 0 }, Method::Teardown, &uri, &name);
                    }
                    return;
                }
                match rtsp.filter(|_| r.ok()) {
                    Some(rtsp) => {
                        if let Some(link) = self.links.get_mut(&node) {
                            link.by_rtsp.insert(rtsp.clone(), sess);
                        }
                        if let Some(a) = self.sess.get_mut(&sess).and_then(|s| s.attempt.as_mut()) {
                            a.rtsp = Some(rtsp);
                        }
                        self.plays(sess, None);
                    }
                    // Refused, or a 200 that names no session.
                    None => self.refused(sess, r.is_refusal(), load),
                }
            }
            Asked::Play { sess, pipe } => {
                if self.current(sess, pipe).is_none() {
                    return;
                }
                if !r.ok() {
                    // No proof, whatever it says: the SETUP before it may stand, or may not be answered yet.
                    if self.sess[&sess].stage == Stage::Asked {
                        self.refused(sess, false, load);
                    }
                    return;
                }
                if let Some(a) = self.sess.get_mut(&sess).and_then(|s| s.attempt.as_mut()) {
                    a.play_ok = true;
                }
                self.plays(sess, r.headers.get(header_names::ASKED).map(LinkDemandHeader::parse));
            }
            Asked::Rung { sess, rung, was, .. } => {
                if !r.ok() {
                    self.rung_refused(node, sess, rung, was);
                }
            }
            Asked::Teardown { sess } => self.torn_down(sess, node, load),
        }
    }

    /// The node keeps a session at the rung it had; only the last change counts, and one that is out goes from there.
    fn rung_refused(&mut self, node: u32, id: u64, rung: u8, was: u8) {
        for asked in self.links.get_mut(&node).into_iter().flat_map(|l| l.out.values_mut()) {
            if let Asked::Rung { sess, was: from, .. } = asked
                && *sess == id
                && *from == rung
            {
                *from = was;
            }
        }
        let Some(s) = self.sess.get_mut(&id).filter(|s| s.stage == Stage::Playing && s.rung == rung) else {
            return;
        };
        s.rung = was;
        if let Some(ToPlayer::Playing { rung: answered, .. }) = &mut s.answer {
            *answered = was;
        }
        let (key, sock) = (s.key.clone(), s.sock);
        self.round.measurements.push(Measurement::Rung { sess: SessId(id), rung: was });
        self.say(sock, ToPlayer::Rung { key, rung: was });
    }

    /// The node refused a SETUP, or its PLAY. Unless the SETUP was turned away without a look it may have run, so that it is
    /// taken back before any other goes out.
    fn refused(&mut self, id: u64, turned_away: bool, load: LoadReport) {
        let Some(a) = self.sess.get(&id).and_then(|s| s.attempt.clone()) else { return };
        let outcome = if turned_away { SetupOutcome::BusyReplied } else { SetupOutcome::Failed };
        if !turned_away {
            self.tear_down(id);
        }
        self.leave(id, &a);
        self.ended(id, a.node, outcome, false, load);
    }

    /// The session plays once SETUP and PLAY are both answered.
    fn plays(&mut self, id: u64, asked: Option<LinkDemandHeader>) {
        let Some(s) = self.sess.get(&id) else { return };
        let Some(a) = s.attempt.as_ref().filter(|a| a.play_ok && a.rtsp.is_some()) else { return };
        if s.stage != Stage::Asked {
            return;
        }
        if self.now > s.deadline {
            // We stood still while the answer lay there; the viewer has given up.
            return self.give_up(id, SetupOutcome::TimedOut, false);
        }
        let (node, took, rung, title) = (a.node, self.now - a.sent_at, s.rung, s.title_name.clone());
        let (uri, resume_for) = (self.uri(node, &title), self.book.players.resume_for);
        if let Some(s) = self.sess.get_mut(&id) {
            s.stage = Stage::Playing;
            self.owed -= 1;
        }
        self.round.playing.push(Playing { sess: SessId(id), node: NodeId(node), took });
        if let Some(asked) = asked {
            self.reading(id, node, asked);
        }
        self.answer(id, |key| ToPlayer::Playing { key, uri, rung, resume_for });
        self.watch_seat(id);
    }

    fn reading(&mut self, id: u64, node: u32, asked: LinkDemandHeader) {
        let (sess, node) = (SessId(id), NodeId(node));
        if let Some(asked) = asked.link {
            self.round.measurements.push(Measurement::Link { sess, node, asked });
        }
        if let Some(asked) = asked.uplink {
            self.round.measurements.push(Measurement::Uplink { sess, node, asked });
        }
    }

    fn torn_down(&mut self, id: u64, node: u32, load: LoadReport) {
        let Some(s) = self.sess.get(&id).filter(|s| s.stage == Stage::Ending) else { return };
        let Some(a) = s.attempt.clone() else { return };
        self.leave(id, &a);
        self.ended(id, node, SetupOutcome::Served, true, load);
        self.over(id);
    }

    /// A request of the node's own.
    fn noticed(&mut self, node: u32, r: Request) {
        let reply = |status| Message::Response(Response::new(status, r.cseq)).to_bytes();
        let Some(link) = self.links.get(&node) else { return };
        let number = link.number;
        let sess = r.headers.get(header_names::SESSION).and_then(|s| link.by_rtsp.get(s.trim()).copied());
        let status = match (r.method, sess) {
            (Method::Options, _) => 200,
            (Method::PlayNotify, Some(_)) => 200,
            (Method::PlayNotify, None) => 454,
            _ => 501,
        };
        self.effects.push(Effect::Node { node, link: number, bytes: reply(status) });
        let (Method::PlayNotify, Some(id)) = (r.method, sess) else { return };
        if !self.sess.get(&id).is_some_and(|s| s.stage == Stage::Playing) {
            return;
        }
        match r.headers.get(header_names::NOTIFY_REASON).unwrap_or("") {
            notify_reasons::DELIVERY_SHARE => {
                let share = r.headers.parse_value::<f64>(header_names::DELIVERED);
                if let Some(share) = share.filter(|s| s.is_finite() && (0.0..=1.0).contains(s)) {
                    self.round.measurements.push(Measurement::Delivered { node: NodeId(node), share });
                }
            }
            notify_reasons::LINK_LOAD => {
                let asked =
                    r.headers.get(header_names::ASKED).map(LinkDemandHeader::parse).unwrap_or_default();
                self.reading(id, node, asked);
            }
            notify_reasons::END_OF_STREAM => {
                self.tear_down(id);
                if let Some(a) = self.sess.get(&id).and_then(|s| s.attempt.clone()) {
                    self.leave(id, &a);
                }
                self.ended(id, node, SetupOutcome::Served, true, load_of(&r.headers));
                self.tell_ended(id, EndReason::Finished);
                self.over(id);
            }
            other => {
                let text = format!("node {node}: notice {other:?} is not known");
                self.note(Some(id), text);
            }
        }
    }

    // The roster.

    /// A node's phase, as far as the agreed list lets it be used: nothing new goes to one that it lacks, drains or has
    /// otherwise than the feed.
    fn phase(&self, n: &RosterNode) -> Phase {
        let Some(list) = &self.book.lists.nodes else { return n.phase };
        let as_agreed = list
            .get(&n.id)
            .is_some_and(|a| !a.drain && (&a.zone, &a.kind, a.cell) == (&n.zone, &n.kind, n.cell));
        if n.phase == Phase::Ready && !as_agreed { Phase::Draining } else { n.phase }
    }

    /// Where a title lies: as agreed, where titles are, else as the feed has it.
    fn lies(&self, title: &str) -> Option<RosterTitle> {
        match &self.book.lists.titles {
            None => self.list.titles.get(title).cloned(),
            Some(all) => all.get(title).map(|t| RosterTitle {
                name: t.name.clone(),
                first_cell: t.first_cell,
                cells: t.cells,
            }),
        }
    }

    /// Other rules: what they change of nodes is told as the feed's changes are.
    fn rules(&mut self, book: Deployment, label: String) {
        let nodes: Vec<RosterNode> = self.list.nodes.values().cloned().collect();
        let before: Vec<Phase> = nodes.iter().map(|n| self.phase(n)).collect();
        (self.book, self.label) = (book, label);
        self.rules += 1;
        let other = nodes.iter().zip(before).filter(|(n, was)| self.phase(n) != *was);
        let other: Vec<ListedNode> = other.map(|(n, _)| self.listed(n)).collect();
        if !other.is_empty() {
            let named: Vec<String> = other.iter().map(|l| format!("{} {:?}", l.node.0, l.phase)).collect();
            self.note(None, format!("the agreed list: {}", named.join(", ")));
            self.round.list_changes.push(ListChange::Changed(other));
            self.relink();
        }
    }

    fn listed(&self, n: &RosterNode) -> ListedNode {
        let f = &self.book.fleet;
        ListedNode {
            node: NodeId(n.id),
            zone: f.zones.iter().position(|z| *z == n.zone).unwrap_or(0) as u16,
            kind: f.kinds.keys().position(|k| *k == n.kind).unwrap_or(0) as u8,
            cell: n.cell,
            phase: match self.phase(n) {
                Phase::Ready => ListPhase::Ready,
                Phase::Draining => ListPhase::Draining,
                Phase::Gone => ListPhase::Gone,
            },
            size: n.size,
            up_since: n.up_since,
        }
    }

    fn cached(&mut self, list: RosterList) {
        let (nodes, titles): (Vec<_>, Vec<_>) =
            (list.nodes.values().cloned().collect(), list.titles.values().cloned().collect());
        if let Err(e) = crate::roster::check(&nodes, &titles, &self.book.fleet) {
            return self.note(None, format!("the kept list is not used: {e}"));
        }
        let lines = nodes.iter().map(|n| self.listed(n)).collect();
        self.list = list;
        self.round.list_changes.push(ListChange::Cached(lines));
        self.relink();
    }

    fn roster(&mut self, message: RosterMessage) {
        let fleet = self.book.fleet.clone();
        if let Err(e) = self.list.apply(&message, &fleet) {
            self.note(None, format!("roster: {e}; the last good list stands"));
            if matches!(message, RosterMessage::Change { .. }) {
                // What it changed is missing from now on, so all of it is asked for.
                self.effects.push(Effect::RequestRoster(RosterRequest::Whole));
            }
            return;
        }
        let change = match &message {
            RosterMessage::Failed => ListChange::Unanswered,
            RosterMessage::Whole { nodes, .. } => {
                ListChange::Whole(nodes.iter().map(|n| self.listed(n)).collect())
            }
            RosterMessage::Change { nodes, .. } => {
                ListChange::Changed(nodes.iter().map(|n| self.listed(n)).collect())
            }
        };
        self.round.list_changes.push(change);
        let (RosterMessage::Whole { nodes, .. } | RosterMessage::Change { nodes, .. }) = &message else {
            return;
        };
        let kept_off = nodes.iter().filter(|n| self.phase(n) != n.phase).map(|n| n.id.to_string());
        let kept_off = kept_off.collect::<Vec<_>>().join(", ");
        if !kept_off.is_empty() {
            self.note(None, format!("not as the agreed list has them, nothing new goes there: {kept_off}"));
        }
        self.relink();
        if !self.saving {
            self.saving = true;
            self.timers.set(self.now + SAVE_EVERY, Timer::SaveList);
        }
    }

    /// Brings links into line with the list.
    fn relink(&mut self) {
        let gone: Vec<u32> =
            self.links.keys().copied().filter(|id| !self.list.nodes.contains_key(id)).collect();
        for node in gone {
            self.drop_link(node);
        }
        let nodes: Vec<RosterNode> = self.list.nodes.values().cloned().collect();
        for n in nodes {
            if self.links.get(&n.id).is_some_and(|l| l.address != n.address) {
                self.drop_link(n.id);
            }
            if self.phase(&n) == Phase::Ready {
                self.links.entry(n.id).or_insert_with(|| Link::new(n.address));
                self.dial_if_new(n.id);
            } else if let Some(link) = self.links.get_mut(&n.id) {
                // What has not gone out to it yet must not go out any more.
                let waiting = std::mem::take(&mut link.waiting);
                waiting.into_iter().for_each(|id| self.give_up(id, SetupOutcome::NeverSent, false));
            }
        }
    }

    fn dial_if_new(&mut self, node: u32) {
        if self.links.get(&node).is_some_and(|l| l.number == 0) {
            self.dial(node);
        }
    }

    fn drop_link(&mut self, node: u32) {
        if let Some(link) = self.links.get(&node) {
            let number = link.number;
            self.lose(node, number, true);
            self.links.remove(&node);
        }
    }

    // Time.

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::SetupDue { sess, number } => {
                let out = self.sess.get(&sess).filter(|s| s.stage == Stage::Asked);
                if out.and_then(|s| s.attempt.as_ref()).is_some_and(|a| a.number == number) {
                    self.give_up(sess, SetupOutcome::TimedOut, false);
                }
            }
            Timer::AnswerDue { sess } => {
                let owed = self.sess.get(&sess).filter(|s| s.stage == Stage::Asked);
                if owed.is_some_and(|s| s.wanted.is_some()) {
                    // Still waiting for its seat: nothing ran.
                    let come_back = self.book.director.come_back;
                    self.answer(sess, |key| ToPlayer::Busy { key, come_back });
                    return self.over(sess);
                }
                match owed.map(|s| s.attempt.is_some()) {
                    None => {}
                    Some(true) => self.give_up(sess, SetupOutcome::TimedOut, false),
                    // Its ending is on the way to the decisions: they answer in this round.
                    Some(false) if self.round.ended.iter().any(|e| e.sess == SessId(sess)) => {
                        self.timers.set(self.now + LEAST_LEFT, Timer::AnswerDue { sess });
                    }
                    Some(false) => {
                        // The decisions left it with nothing out: they never should, and it is answered all
                        // the same.
                        self.effects
                            .push(Effect::Fault(format!("session {sess} was left without an answer")));
                        self.round.departures.push(SessId(sess));
                        self.answer(sess, |key| ToPlayer::Failed { key, why: FailureReason::NoAnswer });
                        self.over(sess);
                    }
                }
            }
            Timer::SeatEnds { sess } => self.warn_expiring(sess),
            Timer::Resume { sess, losses } => {
                if self.sess.get(&sess).is_some_and(|s| s.sock.is_none() && s.losses == losses) {
                    self.stop(sess);
                }
            }
            Timer::TornDown { sess } => {
                if let Some(node) = self.sess.get(&sess).and_then(|s| s.attempt.as_ref().map(|a| a.node)) {
                    self.torn_down(sess, node, LoadReport::default());
                }
            }
            Timer::Forget { sess } => {
                if self.sess.get(&sess).is_some_and(|s| s.stage == Stage::Over) {
                    // The oldest, for all are kept equally long, unless the bound came first.
                    if self.over.front() == Some(&sess) {
                        self.over.pop_front();
                    }
                    self.forget(sess);
                }
            }
            Timer::ConnectDue { node, link } => {
                if self.links.get(&node).is_some_and(|l| l.number == link && l.line == Line::Dialling) {
                    self.effects.push(Effect::Disconnect { node, link });
                    self.unreached(node);
                }
            }
            Timer::Redial { node, link } => {
                let ready = self.list.nodes.get(&node).is_some_and(|n| self.phase(n) == Phase::Ready);
                if ready && !self.closing && self.links.get(&node).is_some_and(|l| l.number == link) {
                    self.dial(node);
                }
            }
            Timer::Look { node, link } => self.look(node, link),
            Timer::Choked { node, link } => {
                self.note(
                    None,
                    format!("node {node}: {MAX_OUT} requests without an answer, closing its link"),
                );
                self.lose(node, link, true);
            }
            Timer::SaveList => self.save(),
        }
    }

    fn save(&mut self) {
        if std::mem::take(&mut self.saving) {
            self.effects.push(Effect::SaveList(Box::new(self.list.clone())));
        }
    }

    /// Whether a link with something on it still lives.
    fn look(&mut self, node: u32, number: u64) {
        let (quiet, dead) = (self.book.node_links.quiet, self.book.node_links.dead_after);
        let now = self.now;
        let Some(l) = self.links.get_mut(&node).filter(|l| l.number == number && l.line == Line::Up) else {
            return;
        };
        let silence = now - l.heard;
        if (!l.sessions.is_empty() || !l.out.is_empty()) && silence > dead {
            self.note(None, format!("node {node}: nothing heard for {silence:.1} s, closing its link"));
            return self.lose(node, number, true);
        }
        if silence > quiet && now - l.asked_at > quiet {
            l.asked_at = now;
            let uri = self.uri(node, "");
            self.request(node, Asked::Probe { told: false }, Method::GetParameter, &uri, &[]);
        }
        self.timers.set(now + quiet / 2.0, Timer::Look { node, link: number });
    }

    /// On the way out: when no answer is owed any more, what plays is ended, and then all is done.
    fn close_down(&mut self) {
        if !self.closing || self.done || self.owed > 0 {
            return;
        }
        self.save();
        let playing: Vec<u64> =
            self.sess.iter().filter(|(_, s)| s.stage == Stage::Playing).map(|(id, _)| *id).collect();
        for id in playing {
            self.tear_down(id);
            self.tell_ended(id, EndReason::Closing);
            self.over(id);
        }
        self.done = true;
        self.effects.push(Effect::Done);
    }
}

impl Orders for Hands {
    fn set_rung(&mut self, sess: SessId, rung: u8) {
        let may = self.may_begin();
        let Some(s) = self.sess.get_mut(&sess.0) else { return };
        if s.stage == Stage::Playing && !may {
            // Floors may have changed meanwhile: what plays stays as it is.
            let rung = s.rung;
            return self.round.measurements.push(Measurement::Rung { sess, rung });
        }
        let was = std::mem::replace(&mut s.rung, rung);
        if s.stage != Stage::Playing || was == rung {
            return;
        }
        let (key, sock) = (s.key.clone(), s.sock);
        if let Some(ToPlayer::Playing { rung: answered, .. }) = &mut s.answer {
            // A retry hears the rung in force.
            *answered = rung;
        }
        let Some(a) = s.attempt.clone() else { return };
        let Some(rtsp) = a.rtsp else { return };
        let uri = self.uri(a.node, "");
        let with = [(header_names::SESSION, rtsp), (header_names::RUNG, rung.to_string())];
        self.next_pipe += 1;
        let name = self.next_pipe;
        let asked = Asked::Rung { sess: sess.0, rung, was, name };
        self.request(a.node, asked, Method::SetParameter, &uri, &with);
        self.say(sock, ToPlayer::Rung { key, rung });
    }

    fn send_setup(&mut self, sess: SessId, node: NodeId, wait: Option<f64>) {
        let (id, now) = (sess.0, self.now);
        self.next_pipe += 1;
        let pipe = self.next_pipe;
        let free = |s: &&mut Session| s.stage == Stage::Asked && s.attempt.is_none();
        let Some(s) = self.sess.get_mut(&id).filter(free) else {
            // Never two out, whatever is ordered.
            return self
                .effects
                .push(Effect::Fault(format!("a SETUP was ordered for session {id} out of turn")));
        };
        let number = s.setups;
        s.setups = s.setups.saturating_add(1);
        let attempt = Attempt {
            number,
            node: node.0,
            link: 0,
            pipe,
            rules: self.rules,
            sent: false,
            sent_at: now,
            rtsp: None,
            play_ok: false,
        };
        s.attempt = Some(attempt);
        if let Some(wait) = wait {
            self.timers.set(now + wait, Timer::SetupDue { sess: id, number });
        }
        if !self.may_begin() {
            return self.barred(id);
        }
        let Some(link) = self.links.get_mut(&node.0) else {
            return self.give_up(id, SetupOutcome::Unreachable, false);
        };
        link.sessions.insert(id);
        let up = link.line == Line::Up;
        self.note(Some(id), format!("SETUP {number} to node {}", node.0));
        let Some(link) = self.links.get_mut(&node.0) else { return };
        if up {
            self.send(id);
        } else {
            link.waiting.push(id);
            self.dial(node.0);
        }
    }

    fn withdraw(&mut self, sess: SessId, setup: u8) {
        let out = self.sess.get(&sess.0).filter(|s| s.stage == Stage::Asked);
        if out.and_then(|s| s.attempt.as_ref()).is_some_and(|a| a.number == setup) {
            self.give_up(sess.0, SetupOutcome::Withdrawn, false);
        }
    }

    fn reply_busy(&mut self, sess: SessId, come_back: Option<f64>) {
        self.answer(sess.0, |key| ToPlayer::Busy { key, come_back });
        self.over(sess.0);
    }

    fn reply_failed(&mut self, sess: SessId) {
        self.answer(sess.0, |key| ToPlayer::Failed { key, why: FailureReason::NoAnswer });
        self.over(sess.0);
    }

    fn shift(&mut self, sess: SessId) {
        let id = sess.0;
        let Some(s) = self.sess.get(&id).filter(|s| s.stage == Stage::Playing) else { return };
        let Some(a) = s.attempt.clone() else { return };
        self.tear_down(id);
        self.leave(id, &a);
        self.ended(id, a.node, SetupOutcome::Withdrawn, true, LoadReport::default());
        self.tell_ended(id, EndReason::Shifted);
        self.over(id);
    }

    fn subscribe(&mut self, on: bool) {
        self.effects.push(Effect::RequestRoster(RosterRequest::Subscribe { on }));
    }

    fn fetch_list(&mut self) {
        self.effects.push(Effect::RequestRoster(RosterRequest::Whole));
    }

    fn probe(&mut self, node: NodeId) {
        let uri = self.uri(node.0, "");
        self.request(node.0, Asked::Probe { told: true }, Method::GetParameter, &uri, &[]);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        let idle = self.links.get(&node.0).filter(|l| l.line == Line::Up && l.sessions.is_empty());
        if let Some(number) = idle.map(|l| l.number) {
            self.lose(node.0, number, true);
        }
    }

    fn send_message(&mut self, _director: Option<u16>, _message: &[u8]) {
        self.note(None, "directors do not talk to each other here");
    }

    fn log(&mut self, line: &str) {
        self.note(None, line);
    }

    fn report_fault(&mut self, why: &str) {
        self.effects.push(Effect::Fault(why.to_owned()));
    }

    fn wake_after(&mut self, after: f64) {
        let at = self.now + after;
        self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
    }
}
