//! The core of a director: inputs become rounds of the placement logic, whose orders become effects. The core does no
//! I/O and reads no clock. The caller passes times in, in seconds; the same inputs at the same times give the same
//! effects.
//!
//! The core is responsible for a request from the moment it is read completely until its one final answer. Limits, and
//! what happens when each is reached: active sessions (a new request is answered `busy`), outstanding requests to a
//! node (its link is closed), remembered answers (the oldest are forgotten).

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
use crate::link::{ConnectionState, Link, RequestPurpose};
use crate::roster::{Phase, RosterList, RosterMessage, RosterNode, RosterRequest, RosterTitle};
use crate::session::{Attempt, Session, Stage};
use crate::timers::{Timer, Timers};

/// Maximum number of outstanding requests to one node. A node that reaches it counts as dead and its link is closed.
const MAX_OUTSTANDING_REQUESTS: usize = 50_000;
/// Maximum number of answers remembered for retries, as a multiple of the session limit.
const REMEMBERED_PER_SESSION: usize = 2;
/// A TEARDOWN without a response counts as done after this time, in seconds.
const TEARDOWN_TIMEOUT: f64 = 2.0;
/// A request with less time left than this is not begun, in seconds.
const MIN_TIME_LEFT: f64 = 0.001;
/// Minimum time between two saves of the node list, in seconds.
const MIN_SAVE_INTERVAL: f64 = 1.0;
/// Maximum number of placement rounds within one call. A round needs another one if its own orders end sessions.
const MAX_PLACEMENT_ROUNDS: usize = 8;
/// A longer gap between rounds means that this process was paused, in seconds.
const PAUSE_THRESHOLD: f64 = 0.5;

/// Current numbers of sessions, timers, requests and links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sessions whose final answer is pending.
    pub pending: usize,
    pub playing: usize,
    /// Known sessions, including finished ones whose answers are remembered.
    pub known: usize,
    pub timers: usize,
    /// Requests to nodes without a response.
    pub outstanding_requests: usize,
    pub connected_links: usize,
}

/// The state of the core except for the placement logic.
struct CoreState {
    deployment: Deployment,
    now: f64,
    wake_at: Option<f64>,
    round: Round,
    effects: Vec<Effect>,
    sessions: BTreeMap<u64, Session>,
    sess_by_key: BTreeMap<RequestKey, u64>,
    sess_by_sock: BTreeMap<u64, BTreeSet<u64>>,
    links: BTreeMap<u32, Link>,
    roster: RosterList,
    title_ids: BTreeMap<String, TitleId>,
    finished: VecDeque<u64>,
    /// Manages the seats of schools, if a group needs them.
    holder: Option<Holder>,
    /// The session that has or waits for each seat.
    sess_by_seat: BTreeMap<seats::SeatId, u64>,
    /// Sessions whose final answer is pending.
    pending: usize,
    /// Sessions that are not finished, pending ones included.
    active: usize,
    timers: Timers,
    next_sess: u64,
    next_batch: u64,
    next_link: u64,
    next_title: u64,
    rng: fastrand::Rng,
    /// Expiry of the lease on the agreed rules; `None` without agreed rules.
    lease_until: Option<f64>,
    /// Names the versions of the rules in force.
    rules_label: String,
    /// Number of rule changes so far.
    rule_changes: u64,
    save_scheduled: bool,
    shutting_down: bool,
    done: bool,
}

/// A director without its I/O: sessions, links to media nodes, the node list and the placement logic.
pub struct DirectorCore {
    director: Director,
    state: CoreState,
    last_round: f64,
}

fn load_report(headers: &kelpdoor_rtsp::Headers) -> LoadReport {
    let load = headers.get(header_names::LOAD_REPORT).map(LoadReportHeader::parse).unwrap_or_default();
    LoadReport { streams: load.streams, link: load.link, uplink: load.uplink }
}

/// The label of an outcome in log effects. Journals contain these effects and a replay compares them, so a label stays as it
/// is when its variant is renamed.
fn outcome_label(outcome: SetupOutcome) -> &'static str {
    match outcome {
        SetupOutcome::Served => "Served",
        SetupOutcome::Failed => "Erred",
        SetupOutcome::BusyReplied => "BusyReplied",
        SetupOutcome::TimedOut => "TimedOut",
        SetupOutcome::Unreachable => "Unreachable",
        SetupOutcome::ConnectionLost => "Broken",
        SetupOutcome::Withdrawn => "Withdrawn",
        SetupOutcome::NeverSent => "Moot",
    }
}

impl DirectorCore {
    /// Creates a core. `seed` seeds all random draws; `now` is in seconds since 1970.
    pub fn new(deployment: &Deployment, seed: u64, now: f64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let director = Director::new(&deployment.terms(), rng.u64(..), now);
        // A separate generator, so that seats do not change any other draw.
        let nonce = fastrand::Rng::with_seed(seed ^ now.to_bits()).u64(..);
        let state = CoreState {
            deployment: deployment.clone(),
            now,
            wake_at: Some(now),
            round: Round::default(),
            effects: Vec::new(),
            sessions: BTreeMap::new(),
            sess_by_key: BTreeMap::new(),
            sess_by_sock: BTreeMap::new(),
            links: BTreeMap::new(),
            roster: RosterList::default(),
            title_ids: BTreeMap::new(),
            finished: VecDeque::new(),
            holder: seats::holder(deployment, || nonce),
            sess_by_seat: BTreeMap::new(),
            pending: 0,
            active: 0,
            timers: Timers::default(),
            next_sess: 1,
            next_batch: rng.u64(..) >> 16,
            next_link: 1,
            next_title: 1,
            rng,
            lease_until: None,
            rules_label: String::new(),
            rule_changes: 0,
            save_scheduled: false,
            shutting_down: false,
            done: false,
        };
        DirectorCore { director, state, last_round: now }
    }

    /// Handles an input. Its effects appear with the next [`round`](Self::round).
    pub fn handle_input(&mut self, now: f64, input: Input) {
        self.handle_delayed_input(now, 0.0, input);
    }

    /// Like [`handle_input`](Self::handle_input), for an input that arrived `delay` seconds ago: a player's setup
    /// timeout counts from its arrival.
    pub fn handle_delayed_input(&mut self, now: f64, delay: f64, input: Input) {
        let state = &mut self.state;
        state.now = state.now.max(now);
        match input {
            Input::Player { sock, message } => {
                state.handle_player(sock, message, delay.max(0.0), TokenCheck::Missing)
            }
            Input::PlayerWithToken { sock, message, check } => {
                state.handle_player_with_token(sock, message, delay.max(0.0), check);
            }
            Input::Keeper(response) => {
                let outputs = state
                    .holder
                    .as_mut()
                    .map(|holder| holder.handle_response(state.now, &response))
                    .unwrap_or_default();
                state.apply_holder_outputs(outputs);
            }
            Input::SocketLost { sock } => state.handle_socket_lost(sock),
            Input::Node { node, link, event } => state.handle_node_event(node, link, event),
            Input::Roster(message) => state.handle_roster(message),
            Input::Cached(list) => state.handle_cached_roster(list),
            Input::Rules { deployment, label } => {
                state.apply_rules(*deployment, label);
                self.director.update_terms(&state.deployment.terms());
            }
            Input::Lease { until } => state.lease_until = Some(until),
            Input::Unsent { node, link, batch } => state.handle_unsent(node, link, batch),
            Input::ShutDown => state.shutting_down = true,
        }
    }

    /// Handles timers that are due, runs the placement logic and passes the resulting effects to `out`.
    pub fn round(&mut self, now: f64, out: &mut impl FnMut(Effect)) {
        let state = &mut self.state;
        state.now = state.now.max(now);
        let gap = state.now - self.last_round;
        self.last_round = state.now;
        if gap > PAUSE_THRESHOLD {
            // This process was paused, so the silence of the links does not count.
            state.links.values_mut().for_each(|link| link.last_received_at += gap);
        }
        state.tick_holder();
        while let Some(timer) = state.timers.pop(state.now) {
            state.handle_timer(timer);
        }
        for _ in 0..MAX_PLACEMENT_ROUNDS {
            let round = std::mem::take(&mut self.state.round);
            self.state.wake_at = self.state.wake_at.filter(|w| *w > self.state.now);
            self.director.round(self.state.now, &round, &mut self.state);
            if self.state.round.ended.is_empty() && self.state.round.departures.is_empty() {
                break;
            }
        }
        self.state.continue_shutdown();
        self.state.effects.drain(..).for_each(out);
    }

    /// When the next round is due without an input; infinity if never.
    pub fn next_timer_at(&self) -> f64 {
        let state = &self.state;
        let more = !state.round.ended.is_empty() || !state.round.departures.is_empty();
        let seats = state.holder.as_ref().map(Holder::next_timer_at);
        let due = [state.wake_at, state.timers.next_timer_at(), more.then_some(state.now), seats];
        due.into_iter().flatten().fold(f64::INFINITY, f64::min)
    }

    /// Returns the current numbers of sessions, timers, requests and links.
    pub fn counts(&self) -> Counts {
        let state = &self.state;
        Counts {
            pending: state.pending,
            playing: state.active - state.pending,
            known: state.sessions.len(),
            timers: state.timers.len(),
            outstanding_requests: state.links.values().map(|l| l.outstanding.len()).sum(),
            connected_links: state
                .links
                .values()
                .filter(|l| l.connection == ConnectionState::Connected)
                .count(),
        }
    }
}

impl CoreState {
    fn log_line(&mut self, sess: Option<u64>, text: impl Into<String>) {
        self.effects.push(Effect::Log { sess, text: text.into() });
    }

    fn send(&mut self, sock: Option<u64>, message: ToPlayer) {
        if let Some(sock) = sock {
            let sess = message.key().and_then(|key| self.sess_by_key.get(key).copied());
            self.effects.push(Effect::Player { sock, sess, message });
        }
    }

    fn send_error(&mut self, sock: u64, key: &RequestKey, code: ErrorCode, message: impl Into<String>) {
        let key = Some(key.clone());
        self.send(Some(sock), ToPlayer::Error { key, code, message: message.into() });
    }

    // Players.

    fn handle_player(&mut self, sock: u64, message: FromPlayer, delay: f64, check: TokenCheck) {
        match message {
            FromPlayer::Ping { n } => self.send(Some(sock), ToPlayer::Pong { n }),
            FromPlayer::Stop { key } => match self.sess_by_key.get(&key).copied() {
                Some(id) => self.stop_session(id),
                None => self.send_error(sock, &key, ErrorCode::UnknownKey, "no session has this key"),
            },
            FromPlayer::Renew { key, .. } => {
                self.send_error(sock, &key, ErrorCode::TokenMissing, "no token is asked for here");
            }
            FromPlayer::Start { key, group, title, best_rung, setup_timeout, token: _ } => {
                let group_index = self.deployment.groups.iter().position(|g| g.name == group);
                let Some(group_index) = group_index else {
                    return self.send_error(
                        sock,
                        &key,
                        ErrorCode::UnknownGroup,
                        format!("no group {group:?}"),
                    );
                };
                if let Some(&id) = self.sess_by_key.get(&key) {
                    return self.answer_retry(sock, id, group_index, &title);
                }
                let entitlement = match self.check_entitlement(group_index, check) {
                    Ok(entitlement) => entitlement,
                    Err((code, message)) => return self.send_error(sock, &key, code, message),
                };
                self.start_session(
                    sock,
                    key,
                    group_index,
                    title,
                    best_rung,
                    setup_timeout,
                    delay,
                    entitlement,
                );
            }
        }
    }

    /// Answers a request whose key is known: with the same answer again, or later with the one that is still pending.
    fn answer_retry(&mut self, sock: u64, id: u64, group: usize, title: &str) {
        let session = &self.sessions[&id];
        if usize::from(session.group) != group || session.title != title {
            let key = session.key.clone();
            return self.send_error(sock, &key, ErrorCode::KeyConflict, "the key stands for another request");
        }
        let (answer, ended) = (session.final_answer.clone(), session.ended_message.clone());
        self.attach_socket(id, sock);
        for message in answer.into_iter().chain(ended) {
            self.send(Some(sock), message);
        }
    }

    /// Makes `sock` the socket that receives the messages of the session.
    fn attach_socket(&mut self, id: u64, sock: u64) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if let Some(ids) = session.sock.replace(sock).and_then(|old| self.sess_by_sock.get_mut(&old)) {
            ids.remove(&id);
        }
        session.socket_changes += 1;
        if session.stage != Stage::Finished {
            self.sess_by_sock.entry(sock).or_default().insert(id);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn start_session(
        &mut self, sock: u64, key: RequestKey, group_index: usize, title: String, best_rung: u8,
        setup_timeout: f64, delay: f64, entitlement: Option<Entitlement>,
    ) {
        let Some(location) = self.title_location(&title) else {
            return self.send_error(sock, &key, ErrorCode::UnknownTitle, format!("no title {title:?}"));
        };
        let group = &self.deployment.groups[group_index];
        if best_rung < group.floor {
            let message = format!("the group plays at rung {} at least", group.floor);
            return self.send_error(sock, &key, ErrorCode::RungTooLow, message);
        }
        let come_back = self.deployment.director.come_back;
        let time_left = setup_timeout - self.deployment.players.answer_ahead.min(setup_timeout / 2.0) - delay;
        // There is no room, or the request waited so long that its viewer has given up.
        let full = self.active >= self.deployment.players.sessions;
        let refused = self.shutting_down || full || time_left < MIN_TIME_LEFT || !self.lease_valid();
        let id = self.next_sess;
        self.next_sess += 1;
        let title_ids = &mut self.title_ids;
        let title_id = *title_ids.entry(title.clone()).or_insert_with(|| {
            self.next_title += 1;
            TitleId(self.next_title)
        });
        let request = NewSession {
            sess: SessId(id),
            group: GroupId(group_index as u8),
            title: title_id,
            setup_timeout: time_left,
            first_cell: location.first_cell,
            cells: location.cells,
            best_rung: best_rung.min(self.deployment.ladder.rates.len() as u8 - 1),
        };
        let session = Session {
            key: key.clone(),
            sock: None,
            socket_changes: 0,
            group: group_index as u8,
            title,
            answer_due_at: self.now + time_left,
            player_deadline: self.now - delay + setup_timeout,
            stage: Stage::Pending,
            rung: group.floor,
            seat: None,
            request: Some(request),
            attempt: None,
            setup_count: 0,
            final_answer: None,
            ended_message: None,
        };
        self.sessions.insert(id, session);
        self.sess_by_key.insert(key, id);
        self.active += 1;
        self.pending += 1;
        self.attach_socket(id, sock);
        if refused {
            // The answer is stored like any other, so that a retry receives the same one.
            self.send_final(id, |key| ToPlayer::Busy { key, come_back });
            return self.finish(id);
        }
        self.timers.set(self.now + time_left, Timer::AnswerDeadline { sess: id });
        match entitlement {
            None => self.admit(id),
            Some(entitlement) => self.request_seat(id, time_left, entitlement),
        }
    }

    /// Passes a request to the placement logic with the rest of its time.
    fn admit(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id).filter(|session| session.stage == Stage::Pending)
        else {
            return;
        };
        let Some(mut request) = session.request.take() else { return };
        request.setup_timeout = session.answer_due_at - self.now;
        if request.setup_timeout < MIN_TIME_LEFT {
            // The seat was granted too late, for example after a pause of this process. No SETUP was sent.
            let come_back = self.deployment.director.come_back;
            self.send_final(id, |key| ToPlayer::Busy { key, come_back });
            return self.finish(id);
        }
        self.round.new_sessions.push(request);
    }

    /// Whether sessions may begin or change their rung: always without agreed rules, otherwise while the lease lasts.
    fn lease_valid(&self) -> bool {
        self.lease_until.is_none_or(|until| self.now < until)
    }

    /// Answers `busy` to a session whose SETUP must not be sent because the lease has expired.
    fn reject_without_lease(&mut self, id: u64) {
        let come_back = self.deployment.director.come_back;
        self.log_line(Some(id), "no lease on the rules: not set up");
        self.abandon_setup(id, SetupOutcome::NeverSent, true);
        self.send_final(id, |key| ToPlayer::Busy { key, come_back });
        self.finish(id);
    }

    /// Handles requests that the shell did not send because the lease had expired. A SETUP and its PLAY will get no
    /// response, whatever state the session is in by now. After an unsent change of rung the session stays at the rung
    /// that its node knows.
    fn handle_unsent(&mut self, node: u32, number: u64, unsent: u64) {
        let Some(link) = self.links.get_mut(&node).filter(|l| l.number == number) else { return };
        let (mut id, mut unsent_rung) = (None, None);
        link.outstanding.retain(|_, purpose| match purpose {
            RequestPurpose::Rung { sess, rung, was, batch } if *batch == unsent => {
                unsent_rung = Some((*sess, *rung, *was));
                false
            }
            RequestPurpose::Setup { batch, sess } | RequestPurpose::Play { batch, sess }
                if *batch == unsent =>
            {
                id = Some(*sess);
                false
            }
            _ => true,
        });
        if let Some((sess, rung, was)) = unsent_rung {
            return self.revert_rung(node, sess, rung, was);
        }
        let Some(id) = id.filter(|id| self.session_with_setup(*id, unsent).is_some()) else { return };
        if let Some(attempt) = self.sessions.get_mut(&id).and_then(|session| session.attempt.as_mut()) {
            attempt.sent = false;
        }
        self.reject_without_lease(id);
    }

    /// Ends a session because its viewer stopped it or did not reconnect.
    fn stop_session(&mut self, id: u64) {
        let Some(session) = self.sessions.get(&id) else { return };
        match session.stage {
            Stage::Finished | Stage::TearingDown => {}
            Stage::Pending => {
                if session.attempt.is_some() {
                    self.abandon_setup(id, SetupOutcome::Withdrawn, true);
                } else if session.request.is_none() {
                    self.round.departures.push(SessId(id));
                }
                self.send_final(id, |key| ToPlayer::Failed { key, why: FailureReason::Stopped });
                self.finish(id);
            }
            Stage::Playing => self.end_playing(id, EndReason::Stopped),
        }
    }

    /// Tears down a playing session. It is finished when the TEARDOWN is answered or times out.
    fn end_playing(&mut self, id: u64, why: EndReason) {
        self.send_teardown(id);
        self.send_ended(id, why);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.stage = Stage::TearingDown;
        }
        self.timers.set(self.now + TEARDOWN_TIMEOUT, Timer::TeardownTimeout { sess: id });
    }

    fn handle_socket_lost(&mut self, sock: u64) {
        for id in self.sess_by_sock.remove(&sock).unwrap_or_default() {
            let Some(session) = self.sessions.get_mut(&id).filter(|session| session.sock == Some(sock))
            else {
                continue;
            };
            session.sock = None;
            session.socket_changes += 1;
            let timer = Timer::ResumeTimeout { sess: id, socket_changes: session.socket_changes };
            self.timers.set(self.now + self.deployment.players.resume_for, timer);
        }
    }

    /// Sends and stores the final answer, unless the session already has one.
    fn send_final(&mut self, id: u64, message_for: impl FnOnce(RequestKey) -> ToPlayer) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.final_answer.is_some() {
            return;
        }
        let (message, sock) = (message_for(session.key.clone()), session.sock);
        session.final_answer = Some(message.clone());
        self.send(sock, message);
    }

    fn send_ended(&mut self, id: u64, why: EndReason) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if session.ended_message.is_some() {
            return;
        }
        let (message, sock) = (ToPlayer::Ended { key: session.key.clone(), why }, session.sock);
        session.ended_message = Some(message.clone());
        self.send(sock, message);
    }

    /// Releases everything that the session holds except its answer, which is kept for retries.
    fn finish(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id).filter(|session| session.stage != Stage::Finished)
        else {
            return;
        };
        self.pending -= usize::from(session.stage == Stage::Pending);
        session.stage = Stage::Finished;
        session.attempt = None;
        session.request = None;
        if let Some(ids) = session.sock.take().and_then(|sock| self.sess_by_sock.get_mut(&sock)) {
            ids.remove(&id);
        }
        self.active -= 1;
        self.finished.push_back(id);
        self.timers.set(self.now + self.deployment.players.remember, Timer::Forget { sess: id });
        self.release_seat(id);
        while self.finished.len() > REMEMBERED_PER_SESSION * self.deployment.players.sessions {
            if let Some(oldest) = self.finished.pop_front() {
                self.forget(oldest);
            }
        }
    }

    fn forget(&mut self, id: u64) {
        if let Some(session) = self.sessions.remove(&id) {
            self.sess_by_key.remove(&session.key);
        }
    }

    // Nodes.

    fn send_request(
        &mut self, node: u32, purpose: RequestPurpose, method: Method, uri: &str, headers: &[(&str, String)],
    ) {
        let Some(link) = self.links.get_mut(&node).filter(|l| l.connection == ConnectionState::Connected)
        else {
            return;
        };
        if link.outstanding.len() >= MAX_OUTSTANDING_REQUESTS {
            let timer = Timer::TooManyOutstanding { node, link: link.number };
            self.timers.set(self.now, timer);
            return;
        }
        link.cseq = link.cseq.wrapping_add(1);
        link.outstanding.insert(link.cseq, purpose);
        let mut request = Request::new(method, uri, link.cseq);
        for (name, value) in headers {
            request.headers.append(name, value);
        }
        let mut bytes = Vec::with_capacity(192);
        Message::Request(request).write(&mut bytes);
        let link = link.number;
        // Consecutive requests to a node share one write. Requests under a lease (a SETUP with its PLAY, a change of
        // rung) stay separate, so that the shell can drop them alone.
        let lease_batch = purpose.lease_batch().filter(|_| self.lease_until.is_some());
        match (self.effects.last_mut(), lease_batch) {
            (Some(Effect::Node { node: n, link: l, bytes: pending }), None) if (*n, *l) == (node, link) => {
                pending.append(&mut bytes);
            }
            (Some(Effect::Leased { node: n, link: l, batch: b, bytes: pending }), Some(batch))
                if (*n, *l, *b) == (node, link, batch) =>
            {
                pending.append(&mut bytes);
            }
            (_, None) => self.effects.push(Effect::Node { node, link, bytes }),
            (_, Some(batch)) => self.effects.push(Effect::Leased { node, link, batch, bytes }),
        }
    }

    fn dial(&mut self, node: u32) {
        let Some(link) = self.links.get_mut(&node).filter(|l| l.connection == ConnectionState::Disconnected)
        else {
            return;
        };
        link.connection = ConnectionState::Connecting;
        link.number = self.next_link;
        self.next_link += 1;
        let (number, address) = (link.number, link.address);
        self.effects.push(Effect::Dial { node, link: number, address });
        let due = self.now + self.deployment.node_links.connect_timeout;
        self.timers.set(due, Timer::ConnectTimeout { node, link: number });
    }

    fn handle_node_event(&mut self, node: u32, number: u64, event: NodeEvent) {
        let Some(link) = self
            .links
            .get_mut(&node)
            .filter(|l| l.number == number && l.connection != ConnectionState::Disconnected)
        else {
            return;
        };
        link.last_received_at = self.now;
        match event {
            NodeEvent::Connected => {
                if link.connection != ConnectionState::Connecting {
                    return;
                }
                link.connection = ConnectionState::Connected;
                link.failures = 0;
                let setups = std::mem::take(&mut link.waiting_setups);
                let uri = format!("rtsp://{}/", link.address);
                let me = self.deployment.director.me;
                let agent = format!("kelpdoor/{} (director {me})", env!("CARGO_PKG_VERSION"));
                self.send_request(
                    node,
                    RequestPurpose::Options,
                    Method::Options,
                    &uri,
                    &[(header_names::USER_AGENT, agent)],
                );
                setups.into_iter().for_each(|id| self.write_setup(id));
                let check_at = self.now + self.deployment.node_links.quiet / 2.0;
                self.timers.set(check_at, Timer::CheckLiveness { node, link: number });
            }
            NodeEvent::ConnectFailed => self.handle_connect_failure(node),
            NodeEvent::ConnectionLost => self.close_link(node, number, false),
            NodeEvent::Received(Message::Response(response)) => self.handle_response(node, response),
            NodeEvent::Received(Message::Request(request)) => self.handle_node_request(node, request),
        }
    }

    /// A connection attempt failed: no SETUP that waited for it was sent.
    fn handle_connect_failure(&mut self, node: u32) {
        let Some(link) = self.links.get_mut(&node) else { return };
        let setups = std::mem::take(&mut link.waiting_setups);
        self.schedule_redial(node);
        setups.into_iter().for_each(|id| self.abandon_setup(id, SetupOutcome::Unreachable, false));
    }

    /// Marks the link as disconnected and schedules a reconnection with exponential backoff and jitter.
    fn schedule_redial(&mut self, node: u32) {
        let (first, max) = self.deployment.node_links.back_off;
        let jitter = 0.5 + self.rng.f64();
        let Some(link) = self.links.get_mut(&node) else { return };
        link.connection = ConnectionState::Disconnected;
        link.outstanding.clear();
        link.sess_by_rtsp_id.clear();
        let delay = (first * f64::from(1 << link.failures.min(16))).min(max) * jitter;
        link.failures += 1;
        let number = link.number;
        self.timers.set(self.now + delay, Timer::Redial { node, link: number });
    }

    /// Handles the end of a connection and of all sessions on it.
    fn close_link(&mut self, node: u32, number: u64, disconnect: bool) {
        let Some(link) = self
            .links
            .get_mut(&node)
            .filter(|l| l.number == number && l.connection != ConnectionState::Disconnected)
        else {
            return;
        };
        let sessions = std::mem::take(&mut link.sessions);
        link.waiting_setups.clear();
        if disconnect {
            self.effects.push(Effect::Disconnect { node, link: number });
        }
        self.schedule_redial(node);
        for id in sessions {
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            let (stage, sent) = (session.stage, session.attempt.as_ref().is_some_and(|attempt| attempt.sent));
            session.attempt = None;
            let outcome = if sent { SetupOutcome::ConnectionLost } else { SetupOutcome::Unreachable };
            self.report_ended(id, node, outcome, stage != Stage::Pending, LoadReport::default());
            if stage != Stage::Pending {
                self.send_ended(id, EndReason::NodeLost);
                self.finish(id);
            }
        }
    }

    /// Reports the end of a SETUP or session at a node to the placement logic. `closed`: the viewer
    /// needs no further answer.
    fn report_ended(&mut self, id: u64, node: u32, outcome: SetupOutcome, closed: bool, load: LoadReport) {
        self.log_line(Some(id), format!("at node {node}: {}", outcome_label(outcome)));
        self.round.ended.push(Ended { sess: SessId(id), node: NodeId(node), outcome, closed, load });
    }

    fn node_uri(&self, node: u32, title: &str) -> String {
        self.links.get(&node).map_or(String::new(), |l| format!("rtsp://{}/{title}", l.address))
    }

    /// Sends a session's SETUP with its PLAY pipelined behind it.
    fn write_setup(&mut self, id: u64) {
        let (lease_valid, label, rule_changes) =
            (self.lease_valid(), self.rules_label.clone(), self.rule_changes);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(attempt) = session.attempt.as_mut().filter(|attempt| !attempt.sent) else { return };
        let (node, batch) = (attempt.node, attempt.batch);
        let Some(link) = self.links.get(&node).filter(|l| l.connection == ConnectionState::Connected) else {
            return;
        };
        if !lease_valid {
            return self.reject_without_lease(id);
        }
        if attempt.rule_changes != rule_changes {
            // The rules changed while the SETUP waited for its connection: the placement logic decides again.
            return self.abandon_setup(id, SetupOutcome::NeverSent, false);
        }
        (attempt.sent, attempt.link) = (true, link.number);
        let mut setup = vec![
            (header_names::PIPELINED, batch.to_string()),
            (header_names::TRANSPORT, "RTP/AVP/TCP;unicast".to_owned()),
            (header_names::RUNG, session.rung.to_string()),
            (header_names::SERVICE_GROUP, self.deployment.groups[usize::from(session.group)].name.clone()),
            (header_names::REQUEST_KEY, session.key.0.clone()),
        ];
        let uri = format!("rtsp://{}/{}", link.address, session.title);
        if self.lease_until.is_some() {
            setup.push((header_names::RULES_VERSION, label));
        }
        self.send_request(node, RequestPurpose::Setup { sess: id, batch }, Method::Setup, &uri, &setup);
        self.send_request(node, RequestPurpose::Play { sess: id, batch }, Method::Play, &uri, &setup[..1]);
    }

    /// Sends a TEARDOWN for whatever the node has of the session. It names the node's session id or, before that is
    /// known, the pipeline id of the SETUP.
    fn send_teardown(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(attempt) = &session.attempt else { return };
        let name = match &attempt.rtsp_id {
            Some(rtsp_id) => (header_names::SESSION, rtsp_id.clone()),
            None => (header_names::PIPELINED, attempt.batch.to_string()),
        };
        let (node, sent, title) = (attempt.node, attempt.sent, session.title.clone());
        if sent {
            let uri = self.node_uri(node, &title);
            self.send_request(node, RequestPurpose::Teardown { sess: id }, Method::Teardown, &uri, &[name]);
        }
    }

    /// Abandons an outstanding SETUP. The TEARDOWN is sent at once, so that a late success does not leave a stream
    /// playing.
    fn abandon_setup(&mut self, id: u64, outcome: SetupOutcome, closed: bool) {
        let Some(attempt) = self.sessions.get(&id).and_then(|session| session.attempt.clone()) else {
            return;
        };
        self.send_teardown(id);
        self.detach_from_link(id, &attempt);
        let outcome = match outcome {
            // A SETUP that was never sent cannot have run.
            SetupOutcome::TimedOut if !attempt.sent => SetupOutcome::Unreachable,
            SetupOutcome::Withdrawn if !attempt.sent => SetupOutcome::NeverSent,
            outcome => outcome,
        };
        self.report_ended(id, attempt.node, outcome, closed, LoadReport::default());
    }

    /// Removes the session from its link.
    fn detach_from_link(&mut self, id: u64, attempt: &Attempt) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.attempt = None;
        }
        if let Some(link) = self.links.get_mut(&attempt.node) {
            link.sessions.remove(&id);
            link.waiting_setups.retain(|w| *w != id);
            if let Some(rtsp_id) = &attempt.rtsp_id {
                link.sess_by_rtsp_id.remove(rtsp_id);
            }
        }
    }

    /// Returns the session if its current SETUP is `batch` and was sent.
    fn session_with_setup(&self, id: u64, batch: u64) -> Option<&Session> {
        self.sessions.get(&id).filter(|session| {
            session.attempt.as_ref().is_some_and(|attempt| attempt.batch == batch && attempt.sent)
        })
    }

    fn handle_response(&mut self, node: u32, response: Response) {
        let Some(purpose) = self.links.get_mut(&node).and_then(|l| l.outstanding.remove(&response.cseq))
        else {
            return self.log_line(None, format!("node {node}: an answer to nothing, CSeq {}", response.cseq));
        };
        let load = load_report(&response.headers);
        match purpose {
            RequestPurpose::Options => {}
            RequestPurpose::Probe { requested } => {
                let outcome = if response.ok() { SetupOutcome::Served } else { SetupOutcome::Failed };
                if requested {
                    self.round.probed.push((NodeId(node), outcome, load));
                }
            }
            RequestPurpose::Setup { sess, batch } => {
                let rtsp_id = response
                    .headers
                    .get(header_names::SESSION)
                    .map(|header| header.split(';').next().unwrap_or(header).trim());
                let rtsp_id = rtsp_id.filter(|id| !id.is_empty() && id.len() <= 128).map(str::to_owned);
                if self.session_with_setup(sess, batch).is_none() {
                    // A late success is torn down by the session id in the response.
                    if let Some(rtsp_id) = rtsp_id.filter(|_| response.ok()) {
                        let uri = self.node_uri(node, "");
                        let name = [(header_names::SESSION, rtsp_id)];
                        self.send_request(
                            node,
                            RequestPurpose::Teardown { sess: 0 },
                            Method::Teardown,
                            &uri,
                            &name,
                        );
                    }
                    return;
                }
                match rtsp_id.filter(|_| response.ok()) {
                    Some(rtsp_id) => {
                        if let Some(link) = self.links.get_mut(&node) {
                            link.sess_by_rtsp_id.insert(rtsp_id.clone(), sess);
                        }
                        if let Some(attempt) =
                            self.sessions.get_mut(&sess).and_then(|session| session.attempt.as_mut())
                        {
                            attempt.rtsp_id = Some(rtsp_id);
                        }
                        self.start_playing(sess, None);
                    }
                    // A refusal, or a 200 without a session id.
                    None => self.handle_refusal(sess, response.is_refusal(), load),
                }
            }
            RequestPurpose::Play { sess, batch } => {
                if self.session_with_setup(sess, batch).is_none() {
                    return;
                }
                if !response.ok() {
                    // Whatever the status, this does not prove that the SETUP failed: the SETUP may have succeeded,
                    // or its response may still be outstanding.
                    if self.sessions[&sess].stage == Stage::Pending {
                        self.handle_refusal(sess, false, load);
                    }
                    return;
                }
                if let Some(attempt) =
                    self.sessions.get_mut(&sess).and_then(|session| session.attempt.as_mut())
                {
                    attempt.play_ok = true;
                }
                self.start_playing(
                    sess,
                    response.headers.get(header_names::ASKED).map(LinkDemandHeader::parse),
                );
            }
            RequestPurpose::Rung { sess, rung, was, .. } => {
                if !response.ok() {
                    self.revert_rung(node, sess, rung, was);
                }
            }
            RequestPurpose::Teardown { sess } => self.complete_teardown(sess, node, load),
        }
    }

    /// Reverts a refused change of rung. Only the latest change sets the rung in force; an outstanding later change falls
    /// back to `was` instead of to the refused rung.
    fn revert_rung(&mut self, node: u32, id: u64, rung: u8, was: u8) {
        for purpose in self.links.get_mut(&node).into_iter().flat_map(|l| l.outstanding.values_mut()) {
            if let RequestPurpose::Rung { sess, was: previous, .. } = purpose
                && *sess == id
                && *previous == rung
            {
                *previous = was;
            }
        }
        let Some(session) = self
            .sessions
            .get_mut(&id)
            .filter(|session| session.stage == Stage::Playing && session.rung == rung)
        else {
            return;
        };
        session.rung = was;
        if let Some(ToPlayer::Playing { rung: answered_rung, .. }) = &mut session.final_answer {
            *answered_rung = was;
        }
        let (key, sock) = (session.key.clone(), session.sock);
        self.round.measurements.push(Measurement::Rung { sess: SessId(id), rung: was });
        self.send(sock, ToPlayer::Rung { key, rung: was });
    }

    /// Handles a refused SETUP or PLAY. If the node refused the SETUP without starting it, a TEARDOWN is not needed.
    /// Otherwise it may have run and is torn down before another SETUP is sent.
    fn handle_refusal(&mut self, id: u64, not_started: bool, load: LoadReport) {
        let Some(attempt) = self.sessions.get(&id).and_then(|session| session.attempt.clone()) else {
            return;
        };
        let outcome = if not_started { SetupOutcome::BusyReplied } else { SetupOutcome::Failed };
        if !not_started {
            self.send_teardown(id);
        }
        self.detach_from_link(id, &attempt);
        self.report_ended(id, attempt.node, outcome, false, load);
    }

    /// Marks the session as playing once both SETUP and PLAY have succeeded.
    fn start_playing(&mut self, id: u64, demand: Option<LinkDemandHeader>) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Some(attempt) =
            session.attempt.as_ref().filter(|attempt| attempt.play_ok && attempt.rtsp_id.is_some())
        else {
            return;
        };
        if session.stage != Stage::Pending {
            return;
        }
        if self.now > session.player_deadline {
            // This process was paused while the response waited; the viewer has given up.
            return self.abandon_setup(id, SetupOutcome::TimedOut, false);
        }
        let (node, took, rung, title) =
            (attempt.node, self.now - attempt.sent_at, session.rung, session.title.clone());
        let (uri, resume_for) = (self.node_uri(node, &title), self.deployment.players.resume_for);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.stage = Stage::Playing;
            self.pending -= 1;
        }
        self.round.playing.push(Playing { sess: SessId(id), node: NodeId(node), took });
        if let Some(demand) = demand {
            self.record_link_demand(id, node, demand);
        }
        self.send_final(id, |key| ToPlayer::Playing { key, uri, rung, resume_for });
        self.set_expiry_timer(id);
    }

    fn record_link_demand(&mut self, id: u64, node: u32, demand: LinkDemandHeader) {
        let (sess, node) = (SessId(id), NodeId(node));
        if let Some(asked) = demand.link {
            self.round.measurements.push(Measurement::Link { sess, node, asked });
        }
        if let Some(asked) = demand.uplink {
            self.round.measurements.push(Measurement::Uplink { sess, node, asked });
        }
    }

    fn complete_teardown(&mut self, id: u64, node: u32, load: LoadReport) {
        let Some(session) = self.sessions.get(&id).filter(|session| session.stage == Stage::TearingDown)
        else {
            return;
        };
        let Some(attempt) = session.attempt.clone() else { return };
        self.detach_from_link(id, &attempt);
        self.report_ended(id, node, SetupOutcome::Served, true, load);
        self.finish(id);
    }

    /// Handles a request that the node sent.
    fn handle_node_request(&mut self, node: u32, request: Request) {
        let reply = |status| Message::Response(Response::new(status, request.cseq)).to_bytes();
        let Some(link) = self.links.get(&node) else { return };
        let number = link.number;
        let sess = request
            .headers
            .get(header_names::SESSION)
            .and_then(|id| link.sess_by_rtsp_id.get(id.trim()).copied());
        let status = match (request.method, sess) {
            (Method::Options, _) => 200,
            (Method::PlayNotify, Some(_)) => 200,
            (Method::PlayNotify, None) => 454,
            _ => 501,
        };
        self.effects.push(Effect::Node { node, link: number, bytes: reply(status) });
        let (Method::PlayNotify, Some(id)) = (request.method, sess) else { return };
        if !self.sessions.get(&id).is_some_and(|session| session.stage == Stage::Playing) {
            return;
        }
        match request.headers.get(header_names::NOTIFY_REASON).unwrap_or("") {
            notify_reasons::DELIVERY_SHARE => {
                let share = request.headers.parse_value::<f64>(header_names::DELIVERED);
                if let Some(share) = share.filter(|share| share.is_finite() && (0.0..=1.0).contains(share)) {
                    self.round.measurements.push(Measurement::Delivered { node: NodeId(node), share });
                }
            }
            notify_reasons::LINK_LOAD => {
                let demand =
                    request.headers.get(header_names::ASKED).map(LinkDemandHeader::parse).unwrap_or_default();
                self.record_link_demand(id, node, demand);
            }
            notify_reasons::END_OF_STREAM => {
                self.send_teardown(id);
                if let Some(attempt) = self.sessions.get(&id).and_then(|session| session.attempt.clone()) {
                    self.detach_from_link(id, &attempt);
                }
                self.report_ended(id, node, SetupOutcome::Served, true, load_report(&request.headers));
                self.send_ended(id, EndReason::Finished);
                self.finish(id);
            }
            other => {
                let text = format!("node {node}: notice {other:?} is not known");
                self.log_line(Some(id), text);
            }
        }
    }

    // The roster.

    /// The phase of a node, limited by the agreed list: a ready node counts as draining if the list lacks it, drains it
    /// or differs from the roster in its zone, kind or cell.
    fn effective_phase(&self, node: &RosterNode) -> Phase {
        let Some(list) = &self.deployment.lists.nodes else { return node.phase };
        let matches_list = list.get(&node.id).is_some_and(|agreed| {
            !agreed.drain && (&agreed.zone, &agreed.kind, agreed.cell) == (&node.zone, &node.kind, node.cell)
        });
        if node.phase == Phase::Ready && !matches_list { Phase::Draining } else { node.phase }
    }

    /// Returns the cells of a title, from the agreed titles if there are any, otherwise from the roster.
    fn title_location(&self, title: &str) -> Option<RosterTitle> {
        match &self.deployment.lists.titles {
            None => self.roster.titles.get(title).cloned(),
            Some(titles) => titles.get(title).map(|title| RosterTitle {
                name: title.name.clone(),
                first_cell: title.first_cell,
                cells: title.cells,
            }),
        }
    }

    /// Applies new rules. The placement logic learns changed node phases the same way as changes of the roster.
    fn apply_rules(&mut self, deployment: Deployment, label: String) {
        let nodes: Vec<RosterNode> = self.roster.nodes.values().cloned().collect();
        let phases: Vec<Phase> = nodes.iter().map(|n| self.effective_phase(n)).collect();
        (self.deployment, self.rules_label) = (deployment, label);
        self.rule_changes += 1;
        let changed = nodes.iter().zip(phases).filter(|(n, previous)| self.effective_phase(n) != *previous);
        let changed: Vec<ListedNode> = changed.map(|(n, _)| self.listed_node(n)).collect();
        if !changed.is_empty() {
            let names: Vec<String> =
                changed.iter().map(|node| format!("{} {:?}", node.node.0, node.phase)).collect();
            self.log_line(None, format!("the agreed list: {}", names.join(", ")));
            self.round.list_changes.push(ListChange::Changed(changed));
            self.update_links();
        }
    }

    fn listed_node(&self, node: &RosterNode) -> ListedNode {
        let fleet = &self.deployment.fleet;
        ListedNode {
            node: NodeId(node.id),
            zone: fleet.zones.iter().position(|z| *z == node.zone).unwrap_or(0) as u16,
            kind: fleet.kinds.keys().position(|k| *k == node.kind).unwrap_or(0) as u8,
            cell: node.cell,
            phase: match self.effective_phase(node) {
                Phase::Ready => ListPhase::Ready,
                Phase::Draining => ListPhase::Draining,
                Phase::Gone => ListPhase::Gone,
            },
            size: node.size,
            up_since: node.up_since,
        }
    }

    fn handle_cached_roster(&mut self, list: RosterList) {
        let (nodes, titles): (Vec<_>, Vec<_>) =
            (list.nodes.values().cloned().collect(), list.titles.values().cloned().collect());
        if let Err(e) = crate::roster::check(&nodes, &titles, &self.deployment.fleet) {
            return self.log_line(None, format!("the kept list is not used: {e}"));
        }
        let listed = nodes.iter().map(|n| self.listed_node(n)).collect();
        self.roster = list;
        self.round.list_changes.push(ListChange::Cached(listed));
        self.update_links();
    }

    fn handle_roster(&mut self, message: RosterMessage) {
        let fleet = self.deployment.fleet.clone();
        if let Err(e) = self.roster.apply(&message, &fleet) {
            self.log_line(None, format!("roster: {e}; the last good list stands"));
            if matches!(message, RosterMessage::Change { .. }) {
                // The list now lacks this change, so the core requests a complete list.
                self.effects.push(Effect::RequestRoster(RosterRequest::Whole));
            }
            return;
        }
        let change = match &message {
            RosterMessage::Failed => ListChange::Unanswered,
            RosterMessage::Whole { nodes, .. } => {
                ListChange::Whole(nodes.iter().map(|n| self.listed_node(n)).collect())
            }
            RosterMessage::Change { nodes, .. } => {
                ListChange::Changed(nodes.iter().map(|n| self.listed_node(n)).collect())
            }
        };
        self.round.list_changes.push(change);
        let (RosterMessage::Whole { nodes, .. } | RosterMessage::Change { nodes, .. }) = &message else {
            return;
        };
        let differing = nodes.iter().filter(|n| self.effective_phase(n) != n.phase).map(|n| n.id.to_string());
        let differing = differing.collect::<Vec<_>>().join(", ");
        if !differing.is_empty() {
            self.log_line(
                None,
                format!("not as the agreed list has them, nothing new goes there: {differing}"),
            );
        }
        self.update_links();
        if !self.save_scheduled {
            self.save_scheduled = true;
            self.timers.set(self.now + MIN_SAVE_INTERVAL, Timer::SaveList);
        }
    }

    /// Opens and closes links so that they match the node list.
    fn update_links(&mut self) {
        let removed: Vec<u32> =
            self.links.keys().copied().filter(|id| !self.roster.nodes.contains_key(id)).collect();
        for node in removed {
            self.drop_link(node);
        }
        let nodes: Vec<RosterNode> = self.roster.nodes.values().cloned().collect();
        for node in nodes {
            if self.links.get(&node.id).is_some_and(|l| l.address != node.address) {
                self.drop_link(node.id);
            }
            if self.effective_phase(&node) == Phase::Ready {
                self.links.entry(node.id).or_insert_with(|| Link::new(node.address));
                self.dial_if_new(node.id);
            } else if let Some(link) = self.links.get_mut(&node.id) {
                // SETUPs that still wait for the connection must not be sent to a node that is not ready.
                let setups = std::mem::take(&mut link.waiting_setups);
                setups.into_iter().for_each(|id| self.abandon_setup(id, SetupOutcome::NeverSent, false));
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
            self.close_link(node, number, true);
            self.links.remove(&node);
        }
    }

    // Time.

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::SetupTimeout { sess, number } => {
                let pending = self.sessions.get(&sess).filter(|session| session.stage == Stage::Pending);
                if pending
                    .and_then(|session| session.attempt.as_ref())
                    .is_some_and(|attempt| attempt.number == number)
                {
                    self.abandon_setup(sess, SetupOutcome::TimedOut, false);
                }
            }
            Timer::AnswerDeadline { sess } => {
                let pending = self.sessions.get(&sess).filter(|session| session.stage == Stage::Pending);
                if pending.is_some_and(|session| session.request.is_some()) {
                    // The request still waits for its seat; no SETUP was sent.
                    let come_back = self.deployment.director.come_back;
                    self.send_final(sess, |key| ToPlayer::Busy { key, come_back });
                    return self.finish(sess);
                }
                match pending.map(|session| session.attempt.is_some()) {
                    None => {}
                    Some(true) => self.abandon_setup(sess, SetupOutcome::TimedOut, false),
                    // The end of its last SETUP is queued for the placement logic, which answers in this round.
                    Some(false) if self.round.ended.iter().any(|e| e.sess == SessId(sess)) => {
                        self.timers.set(self.now + MIN_TIME_LEFT, Timer::AnswerDeadline { sess });
                    }
                    Some(false) => {
                        // The placement logic left it without an outstanding SETUP. That is a fault, but the
                        // request must be answered all the same.
                        self.effects
                            .push(Effect::Fault(format!("session {sess} was left without an answer")));
                        self.round.departures.push(SessId(sess));
                        self.send_final(sess, |key| ToPlayer::Failed { key, why: FailureReason::NoAnswer });
                        self.finish(sess);
                    }
                }
            }
            Timer::TokenExpiring { sess } => self.warn_expiring(sess),
            Timer::ResumeTimeout { sess, socket_changes } => {
                if self
                    .sessions
                    .get(&sess)
                    .is_some_and(|session| session.sock.is_none() && session.socket_changes == socket_changes)
                {
                    self.stop_session(sess);
                }
            }
            Timer::TeardownTimeout { sess } => {
                if let Some(node) = self
                    .sessions
                    .get(&sess)
                    .and_then(|session| session.attempt.as_ref().map(|attempt| attempt.node))
                {
                    self.complete_teardown(sess, node, LoadReport::default());
                }
            }
            Timer::Forget { sess } => {
                if self.sessions.get(&sess).is_some_and(|session| session.stage == Stage::Finished) {
                    // This is the oldest one, since all are kept equally long, unless the limit removed it earlier.
                    if self.finished.front() == Some(&sess) {
                        self.finished.pop_front();
                    }
                    self.forget(sess);
                }
            }
            Timer::ConnectTimeout { node, link } => {
                if self
                    .links
                    .get(&node)
                    .is_some_and(|l| l.number == link && l.connection == ConnectionState::Connecting)
                {
                    self.effects.push(Effect::Disconnect { node, link });
                    self.handle_connect_failure(node);
                }
            }
            Timer::Redial { node, link } => {
                let ready =
                    self.roster.nodes.get(&node).is_some_and(|n| self.effective_phase(n) == Phase::Ready);
                if ready && !self.shutting_down && self.links.get(&node).is_some_and(|l| l.number == link) {
                    self.dial(node);
                }
            }
            Timer::CheckLiveness { node, link } => self.check_liveness(node, link),
            Timer::TooManyOutstanding { node, link } => {
                self.log_line(
                    None,
                    format!(
                        "node {node}: {MAX_OUTSTANDING_REQUESTS} requests without an answer, closing its link"
                    ),
                );
                self.close_link(node, link, true);
            }
            Timer::SaveList => self.save_list(),
        }
    }

    fn save_list(&mut self) {
        if std::mem::take(&mut self.save_scheduled) {
            self.effects.push(Effect::SaveList(Box::new(self.roster.clone())));
        }
    }

    /// Checks the liveness of a link: closes it if it has work and is silent for too long, probes it if it is quiet.
    fn check_liveness(&mut self, node: u32, number: u64) {
        let (quiet, dead_after) = (self.deployment.node_links.quiet, self.deployment.node_links.dead_after);
        let now = self.now;
        let Some(link) = self
            .links
            .get_mut(&node)
            .filter(|link| link.number == number && link.connection == ConnectionState::Connected)
        else {
            return;
        };
        let silence = now - link.last_received_at;
        if (!link.sessions.is_empty() || !link.outstanding.is_empty()) && silence > dead_after {
            self.log_line(None, format!("node {node}: nothing heard for {silence:.1} s, closing its link"));
            return self.close_link(node, number, true);
        }
        if silence > quiet && now - link.last_probe_at > quiet {
            link.last_probe_at = now;
            let uri = self.node_uri(node, "");
            self.send_request(
                node,
                RequestPurpose::Probe { requested: false },
                Method::GetParameter,
                &uri,
                &[],
            );
        }
        self.timers.set(now + quiet / 2.0, Timer::CheckLiveness { node, link: number });
    }

    /// Continues a shutdown: once no answer is pending, tears down playing sessions and reports completion.
    fn continue_shutdown(&mut self) {
        if !self.shutting_down || self.done || self.pending > 0 {
            return;
        }
        self.save_list();
        let playing: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.stage == Stage::Playing)
            .map(|(id, _)| *id)
            .collect();
        for id in playing {
            self.send_teardown(id);
            self.send_ended(id, EndReason::Closing);
            self.finish(id);
        }
        self.done = true;
        self.effects.push(Effect::Done);
    }
}

impl Orders for CoreState {
    fn set_rung(&mut self, sess: SessId, rung: u8) {
        let lease_valid = self.lease_valid();
        let Some(session) = self.sessions.get_mut(&sess.0) else { return };
        if session.stage == Stage::Playing && !lease_valid {
            // Without a lease the floors may have changed meanwhile, so a playing session keeps its rung.
            let rung = session.rung;
            return self.round.measurements.push(Measurement::Rung { sess, rung });
        }
        let was = std::mem::replace(&mut session.rung, rung);
        if session.stage != Stage::Playing || was == rung {
            return;
        }
        let (key, sock) = (session.key.clone(), session.sock);
        if let Some(ToPlayer::Playing { rung: answered_rung, .. }) = &mut session.final_answer {
            // A retry receives the rung in force.
            *answered_rung = rung;
        }
        let Some(attempt) = session.attempt.clone() else { return };
        let Some(rtsp_id) = attempt.rtsp_id else { return };
        let uri = self.node_uri(attempt.node, "");
        let headers = [(header_names::SESSION, rtsp_id), (header_names::RUNG, rung.to_string())];
        self.next_batch += 1;
        let batch = self.next_batch;
        let purpose = RequestPurpose::Rung { sess: sess.0, rung, was, batch };
        self.send_request(attempt.node, purpose, Method::SetParameter, &uri, &headers);
        self.send(sock, ToPlayer::Rung { key, rung });
    }

    fn send_setup(&mut self, sess: SessId, node: NodeId, wait: Option<f64>) {
        let (id, now) = (sess.0, self.now);
        self.next_batch += 1;
        let batch = self.next_batch;
        let can_start = |session: &&mut Session| session.stage == Stage::Pending && session.attempt.is_none();
        let Some(session) = self.sessions.get_mut(&id).filter(can_start) else {
            // A session never has two outstanding SETUPs, whatever the placement logic orders.
            return self
                .effects
                .push(Effect::Fault(format!("a SETUP was ordered for session {id} out of turn")));
        };
        let number = session.setup_count;
        session.setup_count = session.setup_count.saturating_add(1);
        let attempt = Attempt {
            number,
            node: node.0,
            link: 0,
            batch,
            rule_changes: self.rule_changes,
            sent: false,
            sent_at: now,
            rtsp_id: None,
            play_ok: false,
        };
        session.attempt = Some(attempt);
        if let Some(wait) = wait {
            self.timers.set(now + wait, Timer::SetupTimeout { sess: id, number });
        }
        if !self.lease_valid() {
            return self.reject_without_lease(id);
        }
        let Some(link) = self.links.get_mut(&node.0) else {
            return self.abandon_setup(id, SetupOutcome::Unreachable, false);
        };
        link.sessions.insert(id);
        let connected = link.connection == ConnectionState::Connected;
        self.log_line(Some(id), format!("SETUP {number} to node {}", node.0));
        let Some(link) = self.links.get_mut(&node.0) else { return };
        if connected {
            self.write_setup(id);
        } else {
            link.waiting_setups.push(id);
            self.dial(node.0);
        }
    }

    fn withdraw(&mut self, sess: SessId, setup: u8) {
        let pending = self.sessions.get(&sess.0).filter(|session| session.stage == Stage::Pending);
        if pending.and_then(|session| session.attempt.as_ref()).is_some_and(|attempt| attempt.number == setup)
        {
            self.abandon_setup(sess.0, SetupOutcome::Withdrawn, false);
        }
    }

    fn reply_busy(&mut self, sess: SessId, come_back: Option<f64>) {
        self.send_final(sess.0, |key| ToPlayer::Busy { key, come_back });
        self.finish(sess.0);
    }

    fn reply_failed(&mut self, sess: SessId) {
        self.send_final(sess.0, |key| ToPlayer::Failed { key, why: FailureReason::NoAnswer });
        self.finish(sess.0);
    }

    fn shift(&mut self, sess: SessId) {
        let id = sess.0;
        let Some(session) = self.sessions.get(&id).filter(|session| session.stage == Stage::Playing) else {
            return;
        };
        let Some(attempt) = session.attempt.clone() else { return };
        self.send_teardown(id);
        self.detach_from_link(id, &attempt);
        self.report_ended(id, attempt.node, SetupOutcome::Withdrawn, true, LoadReport::default());
        self.send_ended(id, EndReason::Shifted);
        self.finish(id);
    }

    fn subscribe(&mut self, on: bool) {
        self.effects.push(Effect::RequestRoster(RosterRequest::Subscribe { on }));
    }

    fn fetch_list(&mut self) {
        self.effects.push(Effect::RequestRoster(RosterRequest::Whole));
    }

    fn probe(&mut self, node: NodeId) {
        let uri = self.node_uri(node.0, "");
        self.send_request(node.0, RequestPurpose::Probe { requested: true }, Method::GetParameter, &uri, &[]);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        let idle = self
            .links
            .get(&node.0)
            .filter(|l| l.connection == ConnectionState::Connected && l.sessions.is_empty());
        if let Some(number) = idle.map(|l| l.number) {
            self.close_link(node.0, number, true);
        }
    }

    fn send_message(&mut self, _director: Option<u16>, _message: &[u8]) {
        self.log_line(None, "directors do not talk to each other here");
    }

    fn log(&mut self, line: &str) {
        self.log_line(None, line);
    }

    fn report_fault(&mut self, why: &str) {
        self.effects.push(Effect::Fault(why.to_owned()));
    }

    fn wake_after(&mut self, after: f64) {
        let at = self.now + after;
        self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
    }
}
