//! The session core: turns messages of viewers, media nodes and the change log into rounds of the session
//! logic in [`kelpdoor::Director`], and its orders into messages and connections. It does no I/O and reads no
//! clock: times are passed in, in seconds since 1970, and the same inputs at the same times have the same
//! effects.
//!
//! A session is requested, then has a SETUP (waiting for a connection, sent, or in doubt after its connection
//! was lost), then is active, then ends. The function that handles a step documents what its peers
//! receive. A set-up that the session logic leaves unanswered, whatever the fault, fails at its deadline. A
//! link is one connection to a media node.
//!
//! Every resource is bounded. Set-ups get a busy reply beyond the limits on open set-ups (in total and per
//! viewer connection), on the memory of their descriptions, on active sessions and on recently cancelled
//! SETUPs. Beyond the limit on viewer connections, the most idle one is closed. Beyond the limit on links,
//! SETUPs share them. Of the messages that wait for a link, and of the session ends that no viewer connection
//! could take, the oldest are dropped.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use kelpdoor::ids::{GroupId, NodeId, SessId};
use kelpdoor::round::{
    Ended, ListChange, ListedNode, LoadReport, Measurement, NewSession, Phase, Playing, SetupOutcome,
};
use kelpdoor::{Director, Orders, Round};
use kelpdoor_parts::{TimerId, Timers};
use kelpdoor_rtsp::Message;
use kelpdoor_terms::{ReportFields, SettingsNames};

use crate::changes::{FleetChange, Host};
use crate::incarnations::{Epoch, Incarnations};
use crate::liveness::Liveness;
use crate::media::{self, NodeNotification};
use crate::startup::StartupConfig;
use crate::viewer::{self, MessageError, Reply, SetupRequest, cause};

/// s; an answer is sent this long before its viewer gives up, to cover the network delay and a late round of
/// this process.
const ANSWER_MARGIN: f64 = 0.03;
/// s; a viewer connection without open set-ups that has sent nothing useful is closed when idle for this
/// long: such a viewer must get some reaction within 3 s. A connection with active sessions stays open to
/// report their ends.
const UNPROVEN_VIEWER_IDLE: f64 = 2.0;
/// s; the same for a connection that handed sessions over or had one set up, once no session is active on it.
const SERVED_VIEWER_IDLE: f64 = 5.0;
/// Maximum open set-ups per viewer connection: a few seconds of the busiest front end, but not a flood.
const MAX_SETUPS_PER_VIEWER: usize = 160;
/// Maximum open set-ups in total.
const MAX_SETUPS: usize = 1024;
/// The descriptions of open set-ups may use the memory limit divided by this. The shell allows as much for
/// unsent output.
pub const MEMORY_DIVISOR: usize = 8;
/// Active sessions may use the memory limit divided by this.
const SESSIONS_MEMORY_DIVISOR: usize = 4;
/// Bytes that one active session uses, with its state in the session logic.
const SESSION_BYTES: usize = 640;
/// Maximum links per node; further SETUPs share them.
const MAX_LINKS_PER_NODE: usize = 6;
/// File descriptors for the process itself, the change log and connections that are about to close.
const RESERVED_SOCKETS: usize = 36;
/// s; a spare link that is idle for this long is closed. Nodes send pending messages as soon as a new link
/// opens.
const SPARE_LINK_IDLE: f64 = 2.0;
/// Fraction of the nodes' idle timeout after which an idle link takes no SETUP, as the SETUP could cross the
/// node's close.
const LINK_STALE_FRACTION: f64 = 0.8;
/// Maximum links that are closed by this side but still read, for a session end that was just sent; further
/// ones close at once.
const MAX_CLOSING_LINKS: usize = 8;
/// Maximum recently cancelled SETUPs whose answers may still arrive. Set-ups are refused beyond it, as the
/// session of an unrecognized late answer would stay active on its node.
const MAX_CANCELLED_SETUPS: usize = 4096;
/// s; a cancelled SETUP is forgotten this long after its node should have given up.
const CANCELLED_SETUP_TTL: f64 = 5.0;
/// Maximum releases and rung changes that wait for a link to one node.
const MAX_PENDING_PER_NODE: usize = 1024;
/// s; messages that wait for an unreachable node are dropped after this time.
const PENDING_TTL: f64 = 60.0;
/// s; interval between checks for idle connections and silent nodes.
const SWEEP_INTERVAL: f64 = 0.1;
/// Maximum rounds of the session logic per call, as its own orders can end SETUPs at once.
const MAX_DECISION_ROUNDS: usize = 8;

/// Why a connection to a node failed to open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    Refused,
    /// The connection timed out, or the network has no route.
    Unreachable,
    /// This process lacks a resource, such as a file descriptor, which proves nothing about the node.
    LocalResources,
}

#[derive(Clone, Debug)]
pub enum Input {
    ViewerConnected {
        conn: u64,
    },
    ViewerMessage {
        conn: u64,
        message: Result<viewer::ViewerMessage, MessageError>,
    },
    /// A line exceeds the size limit; nothing after it can be read.
    ViewerLineTooLong {
        conn: u64,
    },
    ViewerDisconnected {
        conn: u64,
    },
    LinkConnected {
        link: u64,
    },
    LinkFailed {
        link: u64,
        failure: ConnectFailure,
        /// Description for the log.
        why: String,
    },
    NodeMessage {
        link: u64,
        message: Message,
    },
    /// The input cannot be parsed, so the rest of the stream is unusable.
    LinkCorrupted {
        link: u64,
        why: String,
    },
    LinkDisconnected {
        link: u64,
    },
    Change(FleetChange),
    /// The change log is being followed from now on, or no longer.
    ChangeLogFollowed(bool),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    SendViewer {
        conn: u64,
        bytes: Vec<u8>,
    },
    /// Closes a viewer connection once pending output is sent.
    CloseViewer {
        conn: u64,
    },
    ConnectLink {
        link: u64,
        address: SocketAddr,
    },
    SendNode {
        link: u64,
        bytes: Vec<u8>,
    },
    /// Closes a link. If `immediate`, unsent output is discarded, as it must not arrive late. Otherwise the
    /// link is read until the node closes it too, for messages that the node sent before it saw the close.
    CloseLink {
        link: u64,
        immediate: bool,
    },
    Log(String),
    InternalError(String),
}

/// Current sizes, for the log and for tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub open_setups: usize,
    pub active_sessions: usize,
    pub viewers: usize,
    pub links: usize,
    pub nodes: usize,
    pub pending: usize,
    pub timers: usize,
    /// Known node addresses.
    pub addresses: usize,
    /// Total size of the descriptions of open set-ups.
    pub description_bytes: usize,
    /// Set-ups received since the start.
    pub setups_received: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No SETUP is pending.
    Requested,
    /// Its SETUP waits for the link to open.
    WaitingForLink,
    SetupSent,
    /// The link was lost while its SETUP was pending: either the node died or only the connection was lost.
    InDoubt,
    Active,
}

struct Session {
    /// The viewer connection that it arrived on.
    conn: u64,
    stage: Stage,
    node: NodeId,
    /// Once active: the epoch in which the node's process is known to have run it.
    epoch: Epoch,
    link: u64,
    rung: u8,
    answer_deadline: f64,
    /// When the pending SETUP times out.
    setup_deadline: f64,
    /// Of the pending SETUP, or of the one that made it active; when it arrived, if it was handed over.
    setup_sent_at: f64,
    /// The viewer gave up or disconnected.
    viewer_gone: bool,
    answer_timer: Option<TimerId>,
    setup_timer: Option<TimerId>,
    /// `None` once the session is active.
    request: Option<Box<SetupRequest>>,
}

struct ViewerConnection {
    open_setups: BTreeSet<SessId>,
    last_active: f64,
    /// 0: nothing useful yet, 1: handed sessions over, 2: had a session set up. Session ends may be reported
    /// on it from 1 on.
    trust: u8,
    /// Number of active sessions that arrived on it.
    active_sessions: usize,
    /// It sent unusable input and is closed once no set-up is open on it.
    misbehaved: bool,
}

struct Link {
    node: NodeId,
    connected: bool,
    connected_at: f64,
    epoch: Epoch,
    pending_setups: BTreeSet<SessId>,
    last_used: f64,
    /// Takes no further SETUP and is closed once none is pending on it.
    draining: bool,
    /// The node has sent nothing since a SETUP on this link timed out.
    unresponsive: bool,
    /// Closed by this side and no longer in the node's `links`, but still read for messages in flight.
    closing: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingMessage {
    Release(SessId, u32),
    Rung(SessId),
}

struct Node {
    name: String,
    address: SocketAddr,
    phase: Phase,
    listed: ListedNode,
    links: BTreeSet<u64>,
    active_sessions: BTreeSet<SessId>,
    in_doubt: BTreeSet<SessId>,
    /// With the time at which each was queued.
    pending: VecDeque<(f64, PendingMessage)>,
    liveness: Liveness,
    incarnations: Incarnations,
    /// When it last sent a notification, or its first active session began, whichever is later.
    last_notification: f64,
    /// Description of the last failed connection attempt.
    last_connect_error: String,
    /// Load of its network link as it last reported it.
    reported_link_load: f64,
}

enum Timer {
    SetupDeadline { sess: SessId },
    AnswerDeadline { sess: SessId },
}

struct CoreState {
    now: f64,
    /// Whatever arrives now was sent after this time, or it would have arrived before.
    last_round_at: f64,
    /// The change log, which reports restarts of nodes, is being followed.
    change_log_followed: bool,
    /// s; interval of a node's notifications while it runs sessions of this director; 0 means that it sends none.
    notification_interval: f64,
    /// s; delay of these notifications.
    notification_delay: f64,
    director_wake_at: Option<f64>,
    names: SettingsNames,
    report_fields: ReportFields,
    cells: u16,
    racks: u32,
    rungs: u8,
    come_back: Option<f64>,
    round: Round,
    effects: Vec<Effect>,
    sessions: BTreeMap<SessId, Session>,
    viewers: BTreeMap<u64, ViewerConnection>,
    links: BTreeMap<u64, Link>,
    /// Number of `links` that are closing.
    closing_links: usize,
    nodes: BTreeMap<NodeId, Node>,
    node_ids: HashMap<String, NodeId>,
    /// Current owner of each address.
    node_by_address: HashMap<SocketAddr, NodeId>,
    /// Cancelled SETUPs, and the time after which no answer to them can arrive.
    cancelled_setups: BTreeMap<(SessId, NodeId), f64>,
    undelivered_ends: VecDeque<(SessId, u32)>,
    open_setups: usize,
    active_sessions: usize,
    description_bytes: usize,
    setups_received: u64,
    refusing_setups: bool,
    timers: Timers<Timer>,
    next_sweep_at: f64,
    next_link_id: u64,
    /// s; a link that is idle for this long takes no SETUP.
    max_link_idle: f64,
    max_viewers: usize,
    max_links: usize,
    max_sessions: usize,
    max_description_bytes: usize,
    answer_counts: [u64; 3],
}

pub struct SessionCore {
    director: Director,
    state: CoreState,
}

impl SessionCore {
    pub fn new(config: &StartupConfig, now: f64) -> Self {
        let room = config.max_sockets.saturating_sub(RESERVED_SOCKETS);
        let state = CoreState {
            now,
            last_round_at: now,
            change_log_followed: false,
            notification_interval: config.terms.told_every,
            notification_delay: config.terms.seen_after,
            director_wake_at: Some(now),
            names: config.names.clone(),
            report_fields: config.report_fields.clone(),
            cells: config.terms.cells,
            racks: u32::from(config.terms.racks.max(1)),
            rungs: u8::try_from(config.terms.ladder.len()).unwrap_or(u8::MAX),
            come_back: config.terms.come_back,
            round: Round::default(),
            effects: Vec::new(),
            sessions: BTreeMap::new(),
            viewers: BTreeMap::new(),
            links: BTreeMap::new(),
            closing_links: 0,
            nodes: BTreeMap::new(),
            node_ids: HashMap::new(),
            node_by_address: HashMap::new(),
            cancelled_setups: BTreeMap::new(),
            undelivered_ends: VecDeque::new(),
            open_setups: 0,
            active_sessions: 0,
            description_bytes: 0,
            setups_received: 0,
            refusing_setups: false,
            timers: Timers::default(),
            next_sweep_at: now,
            next_link_id: 0,
            max_link_idle: if config.names.idle_timeout > 0.0 {
                LINK_STALE_FRACTION * config.names.idle_timeout
            } else {
                f64::INFINITY
            },
            max_viewers: room / 2,
            max_links: room - room / 2,
            max_sessions: config.max_memory / SESSIONS_MEMORY_DIVISOR / SESSION_BYTES,
            max_description_bytes: config.max_memory / MEMORY_DIVISOR,
            answer_counts: [0; 3],
        };
        let mut core = SessionCore { director: Director::new(&config.terms, config.seed, now), state };
        core.state.load_known_changes(&config.known_changes);
        core
    }

    /// Handles an input that arrived `waited` seconds ago; it takes effect with the next
    /// [`run_round`](Self::run_round).
    pub fn handle_input(&mut self, now: f64, waited: f64, input: Input) {
        let state = &mut self.state;
        state.now = state.now.max(now);
        match input {
            Input::ViewerConnected { conn } => state.viewer_connected(conn),
            Input::ViewerMessage { conn, message } => state.handle_viewer_message(conn, waited, message),
            Input::ViewerLineTooLong { conn } => {
                state.send_finish(conn, None, cause::PROTOCOL_ERROR, None);
                state.remove_viewer(conn, true);
            }
            Input::ViewerDisconnected { conn } => state.remove_viewer(conn, false),
            Input::LinkConnected { link } => state.link_connected(link),
            Input::LinkFailed { link, failure, why } => state.link_failed(link, failure, why),
            Input::NodeMessage { link, message } => state.handle_node_message(link, message),
            Input::LinkCorrupted { link, why } => state.link_corrupted(link, &why),
            Input::LinkDisconnected { link } => state.link_disconnected(link),
            Input::Change(change) => state.handle_change(&change),
            Input::ChangeLogFollowed(followed) => state.change_log_followed = followed,
        }
    }

    /// Fires due timers, runs the session logic, and emits the effects.
    pub fn run_round(&mut self, now: f64, emit: &mut impl FnMut(Effect)) {
        let state = &mut self.state;
        state.now = state.now.max(now);
        while let Some(timer) = state.timers.pop(state.now) {
            match timer {
                Timer::SetupDeadline { sess } => state.cancel_setup(sess, SetupOutcome::TimedOut),
                Timer::AnswerDeadline { sess } => state.answer_deadline_passed(sess),
            }
        }
        if state.now >= state.next_sweep_at {
            state.next_sweep_at = state.now + SWEEP_INTERVAL;
            state.check_connections();
        }
        for _ in 0..MAX_DECISION_ROUNDS {
            let round = std::mem::take(&mut self.state.round);
            self.state.director_wake_at = self.state.director_wake_at.filter(|at| *at > self.state.now);
            self.director.round(self.state.now, &round, &mut self.state);
            if self.state.round.ended.is_empty() && self.state.round.departures.is_empty() {
                break;
            }
        }
        self.state.last_round_at = self.state.now;
        self.state.effects.drain(..).for_each(emit);
    }

    /// Refuses set-ups from now on with a busy reply that states when to retry.
    pub fn refuse_setups(&mut self) {
        self.state.refusing_setups = true;
    }

    /// Closes viewer connections without open set-ups, so that viewers repeat crossing requests at another
    /// director.
    pub fn close_idle_viewers(&mut self) {
        let idle: Vec<u64> = self
            .state
            .viewers
            .iter()
            .filter(|(_, v)| v.open_setups.is_empty())
            .map(|(&conn, _)| conn)
            .collect();
        idle.into_iter().for_each(|conn| self.state.remove_viewer(conn, true));
    }

    /// Maximum viewer connections.
    pub fn max_viewers(&self) -> usize {
        self.state.max_viewers
    }

    /// When the next round is due without input.
    pub fn next_timer_at(&self) -> f64 {
        let state = &self.state;
        let more = !state.round.ended.is_empty() || !state.round.departures.is_empty();
        let due = [
            state.director_wake_at,
            state.timers.next_timer_at(),
            Some(state.next_sweep_at),
            more.then_some(state.now),
        ];
        due.into_iter().flatten().fold(f64::INFINITY, f64::min)
    }

    /// Whether a round at `now` may send something without new input: a timer is due, or a sweep while
    /// set-ups are open, which may declare a node lost and its SETUPs with it. Other rounds have only
    /// housekeeping to do.
    pub fn may_send(&self, now: f64) -> bool {
        let state = &self.state;
        state.timers.next_timer_at().is_some_and(|due| due <= now)
            || state.open_setups > 0 && state.next_sweep_at <= now
    }

    pub fn counts(&self) -> Counts {
        let state = &self.state;
        Counts {
            open_setups: state.open_setups,
            active_sessions: state.active_sessions,
            viewers: state.viewers.len(),
            links: state.links.len() - state.closing_links,
            nodes: state.nodes.values().filter(|n| n.phase != Phase::Gone).count(),
            pending: state.undelivered_ends.len()
                + state.nodes.values().map(|n| n.pending.len()).sum::<usize>(),
            timers: state.timers.len(),
            addresses: state.node_by_address.len(),
            description_bytes: state.description_bytes,
            setups_received: state.setups_received,
        }
    }

    /// Status line: sizes and answer counts, then for each node the first letter of its phase, `!` if
    /// connection attempts fail, its active sessions (after `?`, those that no message has confirmed for longer
    /// than the interval of notifications), pending SETUPs and links, its share, the estimated and the last
    /// reported load of its network link, and the estimated load of its rack's uplink.
    pub fn status_line(&self) -> String {
        let (state, c) = (&self.state, self.counts());
        let [served, busy, failed] = state.answer_counts;
        let mut line = format!(
            "open {} standing {} viewers {} links {} owed {} served {served} busy {busy} failed {failed};",
            c.open_setups, c.active_sessions, c.viewers, c.links, c.pending
        );
        let confirmed_since = state.now - state.notification_window();
        for (&id, n) in &state.nodes {
            let pending_setups: usize =
                n.links.iter().filter_map(|l| state.links.get(l)).map(|l| l.pending_setups.len()).sum();
            let phase = match n.phase {
                Phase::Ready => 'u',
                Phase::Draining => 'd',
                Phase::Gone => 'g',
            };
            let failing = if n.liveness.is_failing() { "!" } else { "" };
            let unconfirmed = match n.incarnations.sessions_unconfirmed_since(confirmed_since) {
                0 => String::new(),
                count => format!("?{count}"),
            };
            let (active, links, share) = (n.active_sessions.len(), n.links.len(), self.director.share(id));
            let (link, uplink) = self.director.fullness(id).unwrap_or_default();
            let reported_link_load = n.reported_link_load;
            line.push_str(&format!(
                " {}{phase}{failing} {active}{unconfirmed}+{pending_setups}/{links} {share:.0} {link:.2}({reported_link_load:.2}) r{} {uplink:.2};",
                n.name,
                u32::from(n.listed.cell) % self.state.racks
            ));
        }
        line
    }
}

impl CoreState {
    fn push_log(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    // Viewer connections and set-ups.

    fn viewer_connected(&mut self, conn: u64) {
        if self.viewers.len() >= self.max_viewers {
            // Evicts the connection that has been without useful input for the longest; never one with open
            // set-ups.
            let idle = self.viewers.iter().filter(|(_, v)| v.open_setups.is_empty());
            let Some((&oldest, _)) = idle.min_by(|a, b| {
                (a.1.trust, a.1.active_sessions > 0, a.1.last_active)
                    .partial_cmp(&(b.1.trust, b.1.active_sessions > 0, b.1.last_active))
                    .unwrap_or(std::cmp::Ordering::Equal)
            }) else {
                return self.effects.push(Effect::CloseViewer { conn });
            };
            self.remove_viewer(oldest, true);
        }
        let viewer = ViewerConnection {
            open_setups: BTreeSet::new(),
            last_active: self.now,
            trust: 0,
            active_sessions: 0,
            misbehaved: false,
        };
        self.viewers.insert(conn, viewer);
    }

    fn handle_viewer_message(
        &mut self, conn: u64, waited: f64, message: Result<viewer::ViewerMessage, MessageError>,
    ) {
        if !self.viewers.contains_key(&conn) {
            // Read before the connection was evicted: a set-up is still answered if the connection can take
            // it.
            if let Ok(viewer::ViewerMessage::Start(sess, request)) = message
                && request.at.is_none()
            {
                self.refuse_busy(conn, sess);
            }
            return;
        }
        match message {
            Ok(viewer::ViewerMessage::Start(sess, request)) => {
                self.start_session(conn, waited, sess, request)
            }
            Ok(viewer::ViewerMessage::Finish(sess)) => self.handle_finish(conn, sess),
            Ok(viewer::ViewerMessage::Echo(sess)) => {
                self.mark_active(conn);
                let bytes = viewer::encode(Some(sess), Reply::Echoed);
                self.effects.push(Effect::SendViewer { conn, bytes });
            }
            Ok(viewer::ViewerMessage::Ignored) => {}
            Err(error) => self.reject_message(conn, &error),
        }
    }

    fn mark_active(&mut self, conn: u64) {
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.last_active = self.now;
        }
    }

    /// Rejects a malformed message, and closes its connection once no set-up is open on it.
    fn reject_message(&mut self, conn: u64, error: &MessageError) {
        self.push_log(format!("viewer connection {conn}: {}", error.why));
        match error.sess {
            Some(sess) if self.sessions.contains_key(&sess) => self.reject_duplicate_id(conn, sess),
            sess => self.send_finish(conn, sess, error.cause, None),
        }
        self.close_when_idle(conn);
    }

    /// A held session id arrives again in a different request. On the same connection the two cannot be
    /// distinguished, so the set-up fails. A session that arrived on another connection is not affected; only the
    /// connection of the second request is closed.
    fn reject_duplicate_id(&mut self, conn: u64, sess: SessId) {
        let Some(s) = self.sessions.get(&sess) else { return };
        if s.conn == conn && s.stage != Stage::Active && !s.viewer_gone {
            self.send_finish(conn, Some(sess), cause::INVALID_CONTENTS, None);
            self.viewer_departed(sess);
            self.remove_open_setup(conn, sess);
        }
    }

    fn close_when_idle(&mut self, conn: u64) {
        let Some(v) = self.viewers.get_mut(&conn) else { return };
        v.misbehaved = true;
        if v.open_setups.is_empty() {
            self.remove_viewer(conn, true);
        }
    }

    /// Removes a viewer connection; nobody is left to answer for its open set-ups.
    fn remove_viewer(&mut self, conn: u64, close: bool) {
        let Some(v) = self.viewers.remove(&conn) else { return };
        self.open_setups -= v.open_setups.len();
        v.open_setups.into_iter().for_each(|sess| self.viewer_departed(sess));
        if close {
            self.effects.push(Effect::CloseViewer { conn });
        }
    }

    fn start_session(&mut self, conn: u64, waited: f64, sess: SessId, request: Box<SetupRequest>) {
        let invalid = |why: &str| MessageError {
            sess: Some(sess),
            cause: cause::INVALID_CONTENTS,
            why: why.to_owned(),
        };
        let Some(group) = self.names.groups.iter().position(|g| *g == request.class) else {
            return self.reject_message(conn, &invalid("unknown class"));
        };
        if request.first_cell >= self.cells
            || !(1..=self.cells).contains(&request.cells)
            || request.best_rung >= self.rungs
        {
            return self.reject_message(conn, &invalid("home, copies or top out of range"));
        }
        if let Some(held) = self.sessions.get_mut(&sess) {
            if request.at.is_some() {
                return self.mark_active(conn);
            }
            if held.viewer_gone {
                // Repeated while its first SETUP is being cancelled; nobody else expects an answer under this
                // id.
                return self.refuse_busy(conn, sess);
            }
            if held.conn != conn && held.request.as_ref().is_some_and(|a| a.is_same_setup(&request)) {
                // Repeated on a new connection after the old one closed; the answer goes to the new one.
                let old = std::mem::replace(&mut held.conn, conn);
                if self.viewers.get_mut(&old).is_some_and(|v| v.open_setups.remove(&sess)) {
                    self.open_setups -= 1;
                }
                return self.add_open_setup(conn, sess);
            }
            return self.reject_message(conn, &invalid("session id is already in use"));
        }
        let wanted = NewSession {
            sess,
            group: GroupId(group as u8),
            title: request.title,
            setup_timeout: request.time_left - waited - ANSWER_MARGIN,
            first_cell: request.first_cell,
            cells: request.cells,
            best_rung: request.best_rung,
        };
        let mut session = Session {
            conn,
            stage: Stage::Requested,
            node: NodeId(0),
            epoch: Epoch::default(),
            link: 0,
            rung: 0,
            answer_deadline: self.now + wanted.setup_timeout,
            setup_deadline: self.now,
            setup_sent_at: self.now,
            viewer_gone: false,
            answer_timer: None,
            setup_timer: None,
            request: None,
        };
        if let Some(at) = &request.at {
            self.mark_active(conn);
            let Some(&node) = self.node_ids.get(at).filter(|_| self.active_sessions < self.max_sessions)
            else {
                return self.push_log(format!(
                    "ignored a session handed over at {at}: unknown node or too many sessions"
                ));
            };
            if let Some(v) = self.viewers.get_mut(&conn) {
                v.trust = v.trust.max(1);
            }
            // It was set up by a previous process of the director, and is active at its node now.
            (session.stage, session.node) = (Stage::Active, node);
            let now = self.now;
            let epoch = self
                .nodes
                .get_mut(&node)
                .map(|n| n.incarnations.session_handed_over(now))
                .unwrap_or_default();
            self.sessions.insert(sess, session);
            self.activate_session(sess, node, epoch);
            self.round.handed_over.push((wanted, node));
            return self.send_undelivered_ends();
        }
        self.setups_received += 1;
        let full = self.open_setups >= MAX_SETUPS
            || self.cancelled_setups.len() >= MAX_CANCELLED_SETUPS
            || self.active_sessions >= self.max_sessions
            || self.description_bytes + request.blob.len() > self.max_description_bytes
            || self.viewers.get(&conn).is_some_and(|v| v.open_setups.len() >= MAX_SETUPS_PER_VIEWER);
        // The session logic ignores an id that departs in the same round.
        let departed = self.round.departures.contains(&sess);
        if full || departed || self.refusing_setups || wanted.setup_timeout <= 0.0 {
            return self.refuse_busy(conn, sess);
        }
        self.description_bytes += request.blob.len();
        session.request = Some(request);
        let latest = session.answer_deadline + ANSWER_MARGIN / 2.0;
        session.answer_timer = Some(self.timers.set(latest, Timer::AnswerDeadline { sess }));
        self.sessions.insert(sess, session);
        self.add_open_setup(conn, sess);
        self.round.new_sessions.push(wanted);
    }

    fn refuse_busy(&mut self, conn: u64, sess: SessId) {
        self.mark_active(conn);
        self.answer_counts[1] += 1;
        self.send_finish(conn, Some(sess), cause::CONGESTION, self.come_back);
    }

    /// The session logic never answered this set-up, which is a fault in it; the set-up fails at its
    /// deadline.
    fn answer_deadline_passed(&mut self, sess: SessId) {
        let Some(s) = self.sessions.get(&sess).filter(|s| s.stage != Stage::Active && !s.viewer_gone) else {
            return;
        };
        let conn = s.conn;
        self.push_log(format!("session {} had no answer by its deadline", viewer::format_session_id(sess)));
        self.answer_counts[2] += 1;
        self.send_finish(conn, Some(sess), cause::TEMPORARY_FAILURE, None);
        self.viewer_departed(sess);
        self.remove_open_setup(conn, sess);
    }

    /// Removes a session with its timers.
    fn remove_session(&mut self, sess: SessId) -> Option<Session> {
        let s = self.sessions.remove(&sess)?;
        self.description_bytes -= s.request.as_ref().map_or(0, |a| a.blob.len());
        [s.answer_timer, s.setup_timer].into_iter().flatten().for_each(|timer| self.timers.cancel(timer));
        Some(s)
    }

    fn add_open_setup(&mut self, conn: u64, sess: SessId) {
        let now = self.now;
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.last_active = now;
            self.open_setups += usize::from(v.open_setups.insert(sess));
        }
    }

    /// A viewer cancels a set-up or ends an active session.
    fn handle_finish(&mut self, conn: u64, sess: SessId) {
        let Some(s) = self.sessions.get(&sess) else { return };
        if s.stage == Stage::Active {
            let node = s.node;
            self.mark_active(conn);
            self.end_session(sess, node, SetupOutcome::Withdrawn, LoadReport::default());
            self.send_or_queue(node, PendingMessage::Release(sess, cause::NORMAL_CLEARING));
        } else if s.conn == conn && !s.viewer_gone {
            self.viewer_departed(sess);
            self.remove_open_setup(conn, sess);
        }
    }

    /// The viewer of a set-up gave up or disconnected and expects no answer.
    fn viewer_departed(&mut self, sess: SessId) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        s.viewer_gone = true;
        self.round.departures.push(sess);
        match s.stage {
            // No SETUP is pending, so no later event would remove the session.
            Stage::Requested => drop(self.remove_session(sess)),
            // Its link may open before the session logic runs, and a cancellation must not affect SETUPs that
            // were sent.
            Stage::WaitingForLink => self.finish_setup(sess, SetupOutcome::NeverSent, LoadReport::default()),
            Stage::SetupSent | Stage::InDoubt | Stage::Active => {}
        }
    }

    fn remove_open_setup(&mut self, conn: u64, sess: SessId) {
        let now = self.now;
        let Some(v) = self.viewers.get_mut(&conn) else { return };
        v.last_active = now;
        if v.open_setups.remove(&sess) {
            self.open_setups -= 1;
        }
        if v.misbehaved && v.open_setups.is_empty() {
            self.remove_viewer(conn, true);
        }
    }

    /// Sends the final answer to a set-up that does not become a session.
    fn send_final_answer(&mut self, sess: SessId, why: u32, wait: Option<f64>) {
        let Some(s) = self.sessions.get(&sess) else { return };
        let conn = s.conn;
        self.send_finish(conn, Some(sess), why, wait);
        self.remove_open_setup(conn, sess);
    }

    fn send_finish(&mut self, conn: u64, sess: Option<SessId>, cause: u32, wait: Option<f64>) {
        let bytes = viewer::encode(sess, Reply::Finish { cause, wait });
        self.effects.push(Effect::SendViewer { conn, bytes });
    }

    /// Reports the end of a session: on its own connection, else on the most trusted one that is open, else
    /// on the next one that becomes trusted.
    fn notify_end(&mut self, sess: SessId, conn: u64, why: u32) {
        let trusted = |v: &ViewerConnection| v.trust > 0 && !v.misbehaved;
        let at = match self.viewers.get(&conn) {
            Some(v) if trusted(v) => Some(conn),
            _ => {
                let candidates = self.viewers.iter().filter(|(_, v)| trusted(v));
                candidates.max_by_key(|(c, v)| (v.trust, **c)).map(|(&c, _)| c)
            }
        };
        if let Some(conn) = at {
            return self.send_finish(conn, Some(sess), why, None);
        }
        // The queue only grows this long if sessions keep starting on connections that misbehave.
        if self.undelivered_ends.len() >= self.max_sessions {
            self.undelivered_ends.pop_front();
        }
        self.undelivered_ends.push_back((sess, why));
    }

    fn send_undelivered_ends(&mut self) {
        for (sess, why) in std::mem::take(&mut self.undelivered_ends) {
            self.notify_end(sess, u64::MAX, why);
        }
    }

    // Active sessions and SETUPs.

    fn activate_session(&mut self, sess: SessId, node: NodeId, epoch: Epoch) {
        self.active_sessions += 1;
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        s.epoch = epoch;
        if let Some(v) = self.viewers.get_mut(&s.conn) {
            v.active_sessions += 1;
        }
        if let Some(n) = self.nodes.get_mut(&node) {
            if n.active_sessions.is_empty() {
                n.last_notification = self.now;
            }
            n.active_sessions.insert(sess);
            n.incarnations.session_began(epoch);
        }
    }

    /// Ends an active session.
    fn end_session(&mut self, sess: SessId, node: NodeId, outcome: SetupOutcome, load: LoadReport) {
        let Some(s) = self.remove_session(sess) else { return };
        debug_assert!(s.stage == Stage::Active, "only an active session ends this way");
        self.active_sessions -= 1;
        if let Some(v) = self.viewers.get_mut(&s.conn) {
            (v.active_sessions, v.last_active) = (v.active_sessions - 1, self.now);
        }
        if let Some(n) = self.nodes.get_mut(&node) {
            n.active_sessions.remove(&sess);
            n.incarnations.session_ended(s.epoch);
        }
        self.round.ended.push(Ended { sess, node, outcome, closed: true, load });
    }

    /// Ends a SETUP that did not become a session; the session logic receives the outcome and decides what
    /// follows.
    fn finish_setup(&mut self, sess: SessId, outcome: SetupOutcome, load: LoadReport) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        let (node, link, viewer_gone) = (s.node, s.link, s.viewer_gone);
        s.stage = Stage::Requested;
        if let Some(timer) = s.setup_timer.take() {
            self.timers.cancel(timer);
        }
        if let Some(l) = self.links.get_mut(&link) {
            l.pending_setups.remove(&sess);
        }
        if let Some(n) = self.nodes.get_mut(&node) {
            n.in_doubt.remove(&sess);
        }
        if viewer_gone {
            self.remove_session(sess);
        }
        self.round.ended.push(Ended { sess, node, outcome, closed: viewer_gone, load });
        self.close_drained_link(link);
    }

    /// Closes a draining link once no SETUP is pending on it.
    fn close_drained_link(&mut self, link: u64) {
        let Some(node) =
            self.links.get(&link).filter(|l| l.draining && l.pending_setups.is_empty()).map(|l| l.node)
        else {
            return;
        };
        // Unsent output would reach an unresponsive node late: past its grace time, or next to another SETUP.
        let unresponsive = self.links.get(&link).is_some_and(|l| l.unresponsive);
        self.close_link(link, unresponsive);
        self.reconnect_node(node);
    }

    fn close_link(&mut self, link: u64, immediate: bool) {
        let Some(l) = self.links.get_mut(&link).filter(|l| !l.closing) else { return };
        if let Some(n) = self.nodes.get_mut(&l.node) {
            n.links.remove(&link);
        }
        let immediate = immediate || self.closing_links >= MAX_CLOSING_LINKS;
        if immediate {
            self.links.remove(&link);
        } else {
            // The node may be reporting a session end on it right now and would not repeat it.
            (l.closing, l.connected) = (true, false);
            self.closing_links += 1;
        }
        self.effects.push(Effect::CloseLink { link, immediate });
    }

    /// Cancels a SETUP: notifies the node; a session that a late answer reports will be released.
    fn cancel_setup(&mut self, sess: SessId, outcome: SetupOutcome) {
        let Some(s) = self.sessions.get(&sess) else { return };
        let (stage, node, link, sent) = (s.stage, s.node, s.link, s.setup_sent_at);
        match stage {
            Stage::Requested | Stage::Active => {}
            Stage::InDoubt => self.abandon_setup(sess, outcome),
            // It was never sent.
            Stage::WaitingForLink => {
                let outcome = if outcome == SetupOutcome::TimedOut {
                    SetupOutcome::Unreachable
                } else {
                    SetupOutcome::NeverSent
                };
                self.finish_setup(sess, outcome, LoadReport::default());
            }
            Stage::SetupSent => {
                self.effects.push(Effect::SendNode { link, bytes: media::cancel_setup(sess) });
                self.record_cancelled_setup(sess, node);
                let heard = self.nodes.get(&node).is_some_and(|n| n.liveness.heard_since(sent));
                if let Some(l) = self.links.get_mut(&link) {
                    // A link on which an answer is overdue may be broken for the next SETUP too.
                    l.draining = true;
                    l.unresponsive |= outcome == SetupOutcome::TimedOut && !heard;
                }
                self.finish_setup(sess, outcome, LoadReport::default());
            }
        }
    }

    /// Ends a SETUP whose link was lost. The session may be active on its node and is released there unless
    /// the process is gone.
    fn abandon_setup(&mut self, sess: SessId, outcome: SetupOutcome) {
        let Some(s) = self.sessions.get(&sess) else { return };
        let (node, stage) = (s.node, s.stage);
        if stage == Stage::WaitingForLink {
            // It was never sent.
            return self.finish_setup(sess, SetupOutcome::Unreachable, LoadReport::default());
        }
        self.record_cancelled_setup(sess, node);
        if self.nodes.get(&node).is_some_and(|n| !n.liveness.process_is_gone()) {
            self.send_or_queue(node, PendingMessage::Release(sess, cause::NORMAL_CLEARING));
        }
        self.finish_setup(sess, outcome, LoadReport::default());
    }

    // Links.

    fn open_link(&mut self, node: NodeId) -> Option<u64> {
        let n = self.nodes.get_mut(&node)?;
        if self.node_by_address.get(&n.address) != Some(&node) {
            return None;
        }
        n.liveness.record_attempt(self.now);
        let (link, address) = (self.next_link_id, n.address);
        self.next_link_id += 1;
        n.links.insert(link);
        let (last_used, pending_setups) = (self.now, BTreeSet::new());
        let new_link = Link {
            node,
            connected: false,
            connected_at: self.now,
            epoch: Epoch::default(),
            pending_setups,
            last_used,
            draining: false,
            unresponsive: false,
            closing: false,
        };
        self.links.insert(link, new_link);
        self.effects.push(Effect::ConnectLink { link, address });
        Some(link)
    }

    /// Whether another link may be opened, if necessary by closing an idle one.
    fn make_room_for_link(&mut self) -> bool {
        if self.links.len() - self.closing_links < self.max_links {
            return true;
        }
        // Prefers a spare link over the only one to a node with active sessions.
        let is_only_link = |l: &Link| {
            self.nodes.get(&l.node).is_some_and(|n| n.links.len() == 1 && !n.active_sessions.is_empty())
        };
        let idle = self.links.iter().filter(|(_, l)| l.connected && l.pending_setups.is_empty());
        let first = idle.min_by(|(_, a), (_, b)| {
            is_only_link(a).cmp(&is_only_link(b)).then(a.last_used.total_cmp(&b.last_used))
        });
        let Some((&link, _)) = first else { return false };
        self.close_link(link, false);
        true
    }

    /// Selects the link for a SETUP: an idle one, else a new one, else the one with the fewest pending
    /// SETUPs, so that a failing link affects few of them. Among equal ones, one to the process that was proven
    /// to run last.
    fn select_link(&mut self, node: NodeId) -> Option<u64> {
        let n = self.nodes.get(&node)?;
        let stale = |l: &Link| {
            l.connected && l.pending_setups.is_empty() && self.now - l.last_used >= self.max_link_idle
        };
        let links = n.links.iter().filter_map(|l| Some((*l, self.links.get(l)?)));
        let usable = links.filter(|(_, l)| !l.draining && !stale(l));
        let best = usable
            .min_by(|(_, a), (_, b)| {
                let load = |l: &Link| (l.pending_setups.len(), !l.connected);
                let proven_at = |l: &Link| n.incarnations.proven_at(l.epoch);
                load(a).cmp(&load(b)).then(proven_at(b).total_cmp(&proven_at(a)))
            })
            .map(|(l, link)| (l, link.pending_setups.len()));
        let usable_count = n.links.iter().filter_map(|l| self.links.get(l)).filter(|l| !stale(l)).count();
        let max_per_node = (self.max_links / self.nodes.len().max(1)).clamp(1, MAX_LINKS_PER_NODE);
        match best {
            Some((link, 0)) => Some(link),
            Some((link, _)) if usable_count >= max_per_node => Some(link),
            best => {
                let new = if self.make_room_for_link() { self.open_link(node) } else { None };
                new.or(best.map(|b| b.0))
            }
        }
    }

    /// The link for messages to a node, to the process that was proven to run last.
    fn connected_link(&self, node: NodeId) -> Option<u64> {
        let n = self.nodes.get(&node)?;
        let links = n.links.iter().filter_map(|link| Some((*link, self.links.get(link)?)));
        let usable = links.filter(|(_, l)| l.connected && !l.draining);
        let proven_at = |l: &Link| n.incarnations.proven_at(l.epoch);
        usable.min_by(|(_, a), (_, b)| proven_at(b).total_cmp(&proven_at(a))).map(|(link, _)| link)
    }

    fn send_or_queue(&mut self, node: NodeId, message: PendingMessage) {
        if let Some(link) = self.connected_link(node) {
            return self.send_pending(link, message);
        }
        let now = self.now;
        let Some(n) = self.nodes.get_mut(&node) else { return };
        // A queued rung change is sent with the rung at that time, so one entry is enough.
        let queued =
            matches!(message, PendingMessage::Rung(_)) && n.pending.iter().any(|(_, o)| *o == message);
        if queued {
            return;
        }
        if n.pending.len() >= MAX_PENDING_PER_NODE {
            // A session at an outdated rung costs less than one that plays for nobody, so a rung change is
            // dropped first.
            let rung = n.pending.iter().position(|(_, o)| matches!(o, PendingMessage::Rung(_)));
            n.pending.remove(rung.unwrap_or(0));
        }
        n.pending.push_back((now, message));
    }

    fn send_pending(&mut self, link: u64, message: PendingMessage) {
        let bytes = match message {
            PendingMessage::Release(sess, why) => media::teardown(sess, why),
            PendingMessage::Rung(sess) => match self.sessions.get(&sess) {
                Some(s) if s.stage == Stage::Active => media::set_rung(sess, s.rung),
                _ => return,
            },
        };
        self.effects.push(Effect::SendNode { link, bytes });
    }

    fn link_connected(&mut self, link: u64) {
        let Some(l) = self.links.get(&link).filter(|l| !l.closing) else { return };
        let (node, waiting) = (l.node, l.pending_setups.clone());
        if self.nodes.get(&node).is_some_and(|n| self.node_by_address.get(&n.address) != Some(&node)) {
            // The address was reassigned to another node while the link was opening.
            for sess in waiting {
                self.finish_setup(sess, SetupOutcome::NeverSent, LoadReport::default());
            }
            return self.close_link(link, true);
        }
        let epoch = self.begin_epoch(node);
        if let Some(l) = self.links.get_mut(&link) {
            (l.connected, l.connected_at, l.last_used, l.epoch) = (true, self.now, self.now, epoch);
        }
        let Some(n) = self.nodes.get_mut(&node) else { return };
        n.liveness.record_contact(self.now);
        let (pending, in_doubt) = (std::mem::take(&mut n.pending), std::mem::take(&mut n.in_doubt));
        waiting.into_iter().for_each(|sess| self.send_setup(sess));
        pending.into_iter().for_each(|(_, message)| self.send_pending(link, message));
        // A process runs there, the same or a new one: whether their SETUPs ran is unknown.
        in_doubt.into_iter().for_each(|sess| self.abandon_setup(sess, SetupOutcome::Withdrawn));
    }

    fn record_cancelled_setup(&mut self, sess: SessId, node: NodeId) {
        let until = self.sessions.get(&sess).map_or(self.now, |s| s.setup_deadline.max(self.now))
            + CANCELLED_SETUP_TTL;
        self.cancelled_setups.insert((sess, node), until);
    }

    fn link_failed(&mut self, link: u64, failure: ConnectFailure, why: String) {
        let Some(l) = self.links.remove(&link) else { return };
        if l.closing {
            self.closing_links -= 1;
            return;
        }
        if let Some(n) = self.nodes.get_mut(&l.node) {
            n.links.remove(&link);
        }
        let outcome = if failure == ConnectFailure::LocalResources {
            SetupOutcome::NeverSent
        } else {
            SetupOutcome::Unreachable
        };
        l.pending_setups.into_iter().for_each(|sess| self.finish_setup(sess, outcome, LoadReport::default()));
        if failure != ConnectFailure::LocalResources {
            self.connect_failed(l.node, failure == ConnectFailure::Refused, why);
        }
    }

    /// A link closed. Active sessions continue; the outcome of its pending SETUPs depends on whether the node
    /// is alive.
    fn link_disconnected(&mut self, link: u64) {
        let Some(l) = self.links.remove(&link) else { return };
        if l.closing {
            self.closing_links -= 1;
            return;
        }
        let Some(n) = self.nodes.get_mut(&l.node) else { return };
        n.links.remove(&link);
        n.incarnations.connection_lost();
        for sess in l.pending_setups {
            if let Some(s) = self.sessions.get_mut(&sess) {
                s.stage = Stage::InDoubt;
                n.in_doubt.insert(sess);
            }
        }
        self.reconnect_node(l.node);
    }

    fn link_corrupted(&mut self, link: u64, why: &str) {
        let Some(l) = self.links.get_mut(&link) else { return };
        // The node is alive, but its answers to the pending SETUPs are lost, and they may have run.
        let (node, pending_setups) = (l.node, std::mem::take(&mut l.pending_setups));
        let name = self.nodes.get(&node).map_or("", |n| &n.name);
        let text =
            format!("{name}: corrupted connection with {} pending SETUPs: {why}", pending_setups.len());
        self.push_log(text);
        self.close_link(link, false);
        self.reconnect_node(node);
        pending_setups.into_iter().for_each(|sess| self.abandon_setup(sess, SetupOutcome::Withdrawn));
    }

    // Messages from nodes.

    fn handle_node_message(&mut self, link: u64, message: Message) {
        let Some(l) = self.links.get_mut(&link) else { return };
        l.last_used = self.now;
        let (node, epoch) = (l.node, l.epoch);
        if let Some(n) = self.nodes.get_mut(&node) {
            n.liveness.record_contact(self.now);
            n.incarnations.message_received(epoch, self.last_round_at);
        }
        match media::interpret(message, &self.report_fields) {
            media::NodeMessage::SetupAccepted { sess, blob, load: _ } => {
                self.setup_accepted(link, node, sess, blob)
            }
            media::NodeMessage::SetupRefused { sess, outcome, load } => {
                if self.is_setup_sent(sess, link) {
                    self.finish_setup(sess, outcome, load);
                }
            }
            media::NodeMessage::SessionEnded { sess, cause, cseq, load } => {
                self.send_reply(link, media::acknowledge(sess, cseq));
                let active = self.sessions.get(&sess).filter(|s| s.stage == Stage::Active && s.node == node);
                if let Some((conn, set_up_in)) = active.map(|s| (s.conn, s.epoch)) {
                    let restarted =
                        self.nodes.get(&node).is_some_and(|n| !n.incarnations.is_same(set_up_in, epoch));
                    self.end_session(sess, node, media::teardown_outcome(cause, restarted), load);
                    self.notify_end(sess, conn, cause);
                } else if self.is_setup_sent(sess, link) {
                    self.finish_setup(sess, SetupOutcome::ConnectionLost, load);
                }
            }
            media::NodeMessage::Notification { sess, notification } => {
                let active = self.sessions.get(&sess).filter(|s| s.stage == Stage::Active && s.node == node);
                if let Some(set_up_in) = active.map(|s| s.epoch) {
                    if let Some(n) = self.nodes.get_mut(&node) {
                        n.incarnations.session_confirmed(set_up_in, epoch, self.last_round_at);
                        n.last_notification = self.now;
                    }
                    if let (NodeNotification::Link(load), Some(n)) = (notification, self.nodes.get_mut(&node))
                    {
                        n.reported_link_load = load;
                    }
                    self.round.measurements.push(match notification {
                        NodeNotification::Delivered(share) => Measurement::Delivered { node, share },
                        NodeNotification::Rung(rung) => Measurement::Rung { sess, rung },
                        NodeNotification::Link(load) => Measurement::Link { sess, node, asked: load },
                        NodeNotification::Uplink(load) => Measurement::Uplink { sess, node, asked: load },
                    });
                }
            }
            media::NodeMessage::Ignored => {}
        }
    }

    /// Answers on the link that a message arrived on. A closing link cannot send, and the SETUPs cancelled on
    /// it were released before the close.
    fn send_reply(&mut self, link: u64, bytes: Vec<u8>) {
        if self.links.get(&link).is_some_and(|l| !l.closing) {
            self.effects.push(Effect::SendNode { link, bytes });
        }
    }

    fn is_setup_sent(&self, sess: SessId, link: u64) -> bool {
        self.sessions.get(&sess).is_some_and(|s| s.stage == Stage::SetupSent && s.link == link)
    }

    fn setup_accepted(&mut self, link: u64, node: NodeId, sess: SessId, blob: Option<String>) {
        if !self.is_setup_sent(sess, link) {
            if self.cancelled_setups.contains_key(&(sess, node)) {
                self.send_reply(link, media::teardown(sess, cause::NORMAL_CLEARING));
            }
            return;
        }
        let Some(blob) = blob else {
            return self.link_corrupted(link, "the session description is not UTF-8");
        };
        let now = self.now;
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        if s.viewer_gone {
            // The viewer is gone.
            self.effects
                .push(Effect::SendNode { link, bytes: media::teardown(sess, cause::NORMAL_CLEARING) });
            return self.finish_setup(sess, SetupOutcome::Withdrawn, LoadReport::default());
        }
        s.stage = Stage::Active;
        let (conn, took, request) = (s.conn, now - s.setup_sent_at, s.request.take());
        let timers = [s.answer_timer.take(), s.setup_timer.take()];
        self.description_bytes -= request.map_or(0, |a| a.blob.len());
        timers.into_iter().flatten().for_each(|timer| self.timers.cancel(timer));
        if let Some(l) = self.links.get_mut(&link) {
            l.pending_setups.remove(&sess);
        }
        self.round.playing.push(Playing { sess, node, took });
        self.answer_counts[0] += 1;
        let epoch = self.links.get(&link).map(|l| l.epoch).unwrap_or_default();
        self.activate_session(sess, node, epoch);
        let bytes = viewer::encode(Some(sess), Reply::Started(&blob));
        self.effects.push(Effect::SendViewer { conn, bytes });
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.trust = 2;
        }
        self.remove_open_setup(conn, sess);
        self.send_undelivered_ends();
        self.close_drained_link(link);
    }

    fn send_setup(&mut self, sess: SessId) {
        let now = self.now;
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        let Some(request) = &s.request else { return };
        (s.stage, s.setup_sent_at) = (Stage::SetupSent, now);
        let bytes =
            media::setup(sess, &request.key, &request.class, s.setup_deadline - now, s.rung, &request.blob);
        self.effects.push(Effect::SendNode { link: s.link, bytes });
    }

    // Change log.

    /// Allocates the number of a new node from a hash of its id, so that it is the same at all directors
    /// regardless of the order in which they discover nodes: the session logic may use it in random draws. A collision takes
    /// the next free number. 0 means no node.
    fn allocate_node_id(&self, id: &str) -> NodeId {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let mut n = hasher.finish() as u32;
        while n == 0 || self.nodes.contains_key(&NodeId(n)) {
            n = n.wrapping_add(1);
        }
        NodeId(n)
    }

    fn update_host(&mut self, host: &Host) -> Option<ListedNode> {
        let known = self.node_ids.get(&host.id).copied();
        if known.is_none() && host.phase == Phase::Gone {
            return None;
        }
        let id = known.unwrap_or_else(|| self.allocate_node_id(&host.id));
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let listed = ListedNode {
            node: id,
            zone: position(&self.names.zones, &host.zone).map_or(0, |i| i as u16),
            kind: position(&self.names.kinds, &host.kind).map_or(u8::MAX, |i| i as u8),
            cell: host.cell,
            phase: host.phase,
            size: host.size,
            up_since: host.up_since,
        };
        let now = self.now;
        let n = self.nodes.entry(id).or_insert_with(|| Node {
            name: host.id.clone(),
            address: host.address,
            phase: host.phase,
            listed,
            links: BTreeSet::new(),
            active_sessions: BTreeSet::new(),
            in_doubt: BTreeSet::new(),
            pending: VecDeque::new(),
            liveness: Liveness::new(now),
            incarnations: Incarnations::new(now),
            last_notification: now,
            last_connect_error: String::new(),
            reported_link_load: 0.0,
        });
        (n.phase, n.listed) = (host.phase, listed);
        if host.phase != Phase::Gone {
            let old = std::mem::replace(&mut n.address, host.address);
            if old != host.address {
                n.incarnations.address_changed();
                if self.node_by_address.get(&old) == Some(&id) {
                    self.node_by_address.remove(&old);
                }
            }
            self.node_by_address.insert(host.address, id);
        }
        self.node_ids.insert(host.id.clone(), id);
        Some(listed)
    }

    fn apply_hosts(&mut self, change: &FleetChange) -> Vec<ListedNode> {
        if change.is_snapshot {
            let named: BTreeSet<&str> = change.hosts.iter().map(|h| h.id.as_str()).collect();
            for n in self.nodes.values_mut().filter(|n| !named.contains(n.name.as_str())) {
                (n.phase, n.listed.phase) = (Phase::Gone, Phase::Gone);
            }
        }
        change.hosts.iter().filter_map(|h| self.update_host(h)).collect()
    }

    /// Ends SETUPs, as never sent, that wait for a link to a node that begins to drain, leaves the list or
    /// restarts in this change. They were ordered with the earlier state, and the session logic places them again with
    /// the new one.
    fn take_back_waiting_setups(&mut self, before: &[(NodeId, Phase, f64)]) {
        let stale = |&&(node, phase, up_since): &&(NodeId, Phase, f64)| {
            self.nodes.get(&node).is_some_and(|n| {
                (n.phase != phase && n.phase != Phase::Ready) || n.listed.up_since > up_since
            })
        };
        let stale: Vec<NodeId> = before.iter().filter(stale).map(|b| b.0).collect();
        for node in stale {
            let links = self.nodes.get(&node).map(|n| n.links.clone()).unwrap_or_default();
            for link in links {
                let Some(l) = self.links.get_mut(&link).filter(|l| !l.connected) else { continue };
                let waiting = std::mem::take(&mut l.pending_setups);
                waiting
                    .into_iter()
                    .for_each(|s| self.finish_setup(s, SetupOutcome::NeverSent, LoadReport::default()));
            }
        }
    }

    fn handle_change(&mut self, change: &FleetChange) {
        let before: Vec<_> = self.nodes.iter().map(|(&id, n)| (id, n.phase, n.listed.up_since)).collect();
        let listed = self.apply_hosts(change);
        self.take_back_waiting_setups(&before);
        listed.iter().for_each(|l| self.end_sessions_before_restart(l.node, l.up_since));
        if change.is_snapshot {
            self.round.list_changes.push(ListChange::Whole(listed));
        } else if !listed.is_empty() {
            self.round.list_changes.push(ListChange::Changed(listed));
        }
    }

    /// Loads the list that was known before the start, which may be outdated.
    fn load_known_changes(&mut self, changes: &[FleetChange]) {
        for change in changes {
            self.apply_hosts(change);
        }
        let listed = self.nodes.values().map(|n| n.listed).filter(|l| l.phase != Phase::Gone).collect();
        self.round.list_changes.push(ListChange::Cached(listed));
    }

    // Periodic checks.

    fn check_connections(&mut self) {
        let now = self.now;
        self.cancelled_setups.retain(|_, until| *until > now);
        let idle = |v: &ViewerConnection| {
            let after = if v.trust > 0 { SERVED_VIEWER_IDLE } else { UNPROVEN_VIEWER_IDLE };
            v.open_setups.is_empty() && v.active_sessions == 0 && now - v.last_active >= after
        };
        let idle: Vec<u64> = self.viewers.iter().filter(|(_, v)| idle(v)).map(|(&c, _)| c).collect();
        idle.into_iter().for_each(|conn| self.remove_viewer(conn, true));
        let notifications_arrive = self.notifications_arrive();
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        for id in ids {
            self.check_node(id);
            if notifications_arrive {
                self.end_unconfirmed_sessions(id);
            }
        }
    }
}

impl Orders for CoreState {
    fn set_rung(&mut self, sess: SessId, rung: u8) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        s.rung = rung;
        if s.stage == Stage::Active {
            let node = s.node;
            self.send_or_queue(node, PendingMessage::Rung(sess));
        }
    }

    fn send_setup(&mut self, sess: SessId, node: NodeId, wait: Option<f64>) {
        let now = self.now;
        if !self.sessions.contains_key(&sess) {
            // The viewer is gone, so the session logic stops counting this SETUP.
            let load = LoadReport::default();
            return self.round.ended.push(Ended {
                sess,
                node,
                outcome: SetupOutcome::NeverSent,
                closed: true,
                load,
            });
        }
        let link = self.select_link(node);
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        s.node = node;
        s.setup_deadline = wait.map_or(s.answer_deadline, |w| s.answer_deadline.min(now + w));
        s.setup_timer = Some(self.timers.set(s.setup_deadline, Timer::SetupDeadline { sess }));
        let Some(link) = link else {
            // No file descriptor is free, so it is never sent.
            return self.finish_setup(sess, SetupOutcome::NeverSent, LoadReport::default());
        };
        (s.link, s.stage) = (link, Stage::WaitingForLink);
        let Some(l) = self.links.get_mut(&link) else { return };
        l.pending_setups.insert(sess);
        l.last_used = now;
        if l.connected {
            self.send_setup(sess);
        }
    }

    fn withdraw(&mut self, sess: SessId, _setup: u8) {
        self.cancel_setup(sess, SetupOutcome::Withdrawn);
    }

    fn reply_busy(&mut self, sess: SessId, come_back: Option<f64>) {
        self.answer_counts[1] += 1;
        self.send_final_answer(sess, cause::CONGESTION, come_back);
        self.remove_session(sess);
    }

    fn reply_failed(&mut self, sess: SessId) {
        self.answer_counts[2] += 1;
        self.send_final_answer(sess, cause::TEMPORARY_FAILURE, None);
        self.remove_session(sess);
    }

    /// Asks the viewer to start a new session and the node to end this one; the node reports the end.
    fn shift(&mut self, sess: SessId) {
        let Some(s) = self.sessions.get(&sess).filter(|s| s.stage == Stage::Active) else { return };
        let (node, conn) = (s.node, s.conn);
        let bytes = viewer::encode(Some(sess), Reply::Move);
        self.effects.push(Effect::SendViewer { conn, bytes });
        if let Some(link) = self.connected_link(node) {
            self.effects.push(Effect::SendNode { link, bytes: media::redirect(sess) });
        }
    }

    // The change log sends events without a subscription.
    fn subscribe(&mut self, _on: bool) {}

    fn fetch_list(&mut self) {}

    // On this platform a probe shows only that a connection works, which SETUPs and notifications show too.
    fn probe(&mut self, _node: NodeId) {}

    fn close_idle_connections(&mut self, node: NodeId) {
        let links = self.nodes.get(&node).map(|n| n.links.clone()).unwrap_or_default();
        for link in links {
            if self.links.get(&link).is_some_and(|l| l.connected && l.pending_setups.is_empty()) {
                self.close_link(link, false);
            }
        }
    }

    // Directors have no connection to each other on this platform.
    fn send_message(&mut self, _director: Option<u16>, _message: &[u8]) {}

    fn log(&mut self, line: &str) {
        self.effects.push(Effect::Log(line.to_owned()));
    }

    fn report_fault(&mut self, why: &str) {
        self.effects.push(Effect::InternalError(why.to_owned()));
    }

    fn wake_after(&mut self, after: f64) {
        let at = self.now + after;
        self.director_wake_at = Some(self.director_wake_at.map_or(at, |w| w.min(at)));
    }
}

mod node_loss;
#[cfg(test)]
mod tests;
