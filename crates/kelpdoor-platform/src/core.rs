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

mod links;
mod node_list;
mod node_loss;
mod repeats;
mod viewers;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use kelpdoor::ids::{NodeId, SessId};
use kelpdoor::round::{Ended, ListedNode, LoadReport, Measurement, Phase, Playing, SetupOutcome};
use kelpdoor::terms::Repeat;
use kelpdoor::{Director, Orders, Round};
use kelpdoor_parts::{TimerId, Timers};
use kelpdoor_rtsp::Message;
use kelpdoor_terms::{ReportFields, SettingsNames};

use crate::changes::FleetChange;
use crate::incarnations::{Epoch, Incarnations};
use crate::liveness::Liveness;
use crate::media::{self, NodeNotification};
use crate::startup::StartupConfig;
use crate::viewer::{self, MessageError, Reply, RequestDigest, SetupRequest, cause};

use repeats::{Outcome, RecentOutcomes, RecordedAnswer};

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
/// The descriptions of open set-ups and recent answers may use the memory limit divided by this. The shell allows as much for
/// unsent output.
pub const MEMORY_DIVISOR: usize = 8;
/// Active sessions may use the memory limit divided by this.
const SESSIONS_MEMORY_DIVISOR: usize = 4;
/// Bytes that one active session uses, with its state in the session logic.
const SESSION_BYTES: usize = 640;
/// Maximum links per node; further SETUPs share them.
const MAX_LINKS_PER_NODE: usize = 6;
/// File descriptors for the process itself, attempts to read the change log, and connections that are about to close.
pub const RESERVED_SOCKETS: usize = 44;
/// s; a spare link that is idle for this long is closed.
const SPARE_LINK_IDLE: f64 = 2.0;
/// s; the same for a link that carried no SETUP, once there is a newer one or the process behind it is known to be
/// that of a kept link.
/// Nodes send pending messages as soon as a new link opens.
const UNUSED_LINK_IDLE: f64 = 0.5;
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
/// s; a session end that no viewer is known to be connected for waits this long for one. Then it is sent on a
/// connection that has been silent so far, as it has to be sent within 1 s.
const SILENT_VIEWER_END_DELAY: f64 = 0.5;
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
    /// A connection ended before it accepted the reports of these ends; they are still to be delivered.
    EndsUndelivered {
        ends: Vec<SessionEnd>,
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

/// The end of a session, as it is reported to viewers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionEnd {
    pub sess: SessId,
    pub cause: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    SendViewer {
        conn: u64,
        bytes: Vec<u8>,
    },
    /// Sends the report of a session's end. If the connection does not accept all of its bytes, the end is returned
    /// with [`Input::EndsUndelivered`].
    ReportEnd {
        conn: u64,
        bytes: Vec<u8>,
        end: SessionEnd,
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
    /// Total size of the descriptions of open set-ups and of the recent answers.
    pub description_bytes: usize,
    /// Set-ups received since the start.
    pub setups_received: u64,
    /// Recorded outcomes of recent requests.
    pub recorded_outcomes: usize,
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

/// Whether the viewer of a set-up still expects an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ViewerPresence {
    Connected,
    /// Its connection was lost while a SETUP was out. Until the timer fires the request may be repeated on another
    /// connection, which then gets the outcome. Nothing new begins meanwhile.
    MayReturn(TimerId),
    /// It gave up or did not return.
    Gone,
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
    viewer: ViewerPresence,
    /// An earlier SETUP of it may have run.
    may_have_run: bool,
    digest: RequestDigest,
    /// Once active, for as long as its request may be repeated.
    answer: Option<RecordedAnswer>,
    answer_timer: Option<TimerId>,
    setup_timer: Option<TimerId>,
    /// `None` once the session is active.
    request: Option<Box<SetupRequest>>,
}

/// What the messages on a connection show about its peer. Session ends are reported on the connection with the
/// strongest evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PeerEvidence {
    /// No valid message so far.
    Silent,
    /// It sent a valid message of a viewer.
    Viewer,
    /// It handed an active session over.
    HandedOver,
    /// A session was set up for it.
    Served,
}

/// A session end that no connection was open for.
struct UndeliveredEnd {
    end: SessionEnd,
    since: f64,
}

struct ViewerConnection {
    open_setups: BTreeSet<SessId>,
    last_active: f64,
    evidence: PeerEvidence,
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
    /// A SETUP was placed on it; otherwise it only shows that the node can be reached.
    carried_setup: bool,
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

/// What is due when a timer fires: the end of a SETUP, an answer, or the return of a viewer.
enum Timer {
    Setup { sess: SessId },
    Answer { sess: SessId },
    Return { sess: SessId },
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
    /// When a request may be repeated, by group.
    group_repeats: Vec<Repeat>,
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
    undelivered_ends: VecDeque<UndeliveredEnd>,
    recent_outcomes: RecentOutcomes,
    /// Active sessions whose answers are kept, with the time until which they are.
    recent_answers: VecDeque<(f64, SessId)>,
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
            group_repeats: config.terms.groups.iter().map(|group| group.repeat).collect(),
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
            recent_outcomes: RecentOutcomes::default(),
            recent_answers: VecDeque::new(),
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
                state.close_viewer(conn);
            }
            Input::ViewerDisconnected { conn } => state.viewer_disconnected(conn),
            Input::EndsUndelivered { ends } => {
                ends.into_iter().for_each(|end| state.report_end(end, None));
            }
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
                Timer::Setup { sess } => state.cancel_setup(sess, SetupOutcome::TimedOut),
                Timer::Answer { sess } => state.answer_deadline_passed(sess),
                Timer::Return { sess } => state.return_deadline_passed(sess),
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
        idle.into_iter().for_each(|conn| self.state.close_viewer(conn));
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
            recorded_outcomes: state.recent_outcomes.len(),
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
        let (node, link, abandoned) = (s.node, s.link, s.viewer != ViewerPresence::Connected);
        s.stage = Stage::Requested;
        s.may_have_run |= !matches!(
            outcome,
            SetupOutcome::BusyReplied | SetupOutcome::Unreachable | SetupOutcome::NeverSent
        );
        let may_have_run = s.may_have_run;
        if let Some(timer) = s.setup_timer.take() {
            self.timers.cancel(timer);
        }
        if let Some(l) = self.links.get_mut(&link) {
            l.pending_setups.remove(&sess);
        }
        if let Some(n) = self.nodes.get_mut(&node) {
            n.in_doubt.remove(&sess);
        }
        if abandoned {
            if may_have_run {
                self.record_outcome(sess, Outcome::Withdrawn);
            }
            self.remove_session(sess);
        }
        self.round.ended.push(Ended { sess, node, outcome, closed: abandoned, load });
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
                    self.record_end(sess);
                    self.end_session(sess, node, media::teardown_outcome(cause, restarted), load);
                    self.report_end(SessionEnd { sess, cause }, Some(conn));
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
        if s.viewer == ViewerPresence::Gone {
            self.effects
                .push(Effect::SendNode { link, bytes: media::teardown(sess, cause::NORMAL_CLEARING) });
            return self.finish_setup(sess, SetupOutcome::Withdrawn, LoadReport::default());
        }
        s.stage = Stage::Active;
        let is_connected = s.viewer == ViewerPresence::Connected;
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
        if is_connected {
            let bytes = viewer::encode(Some(sess), Reply::Started(&blob));
            self.effects.push(Effect::SendViewer { conn, bytes });
        }
        self.record_answer(sess, blob);
        self.raise_evidence(conn, PeerEvidence::Served);
        self.remove_open_setup(conn, sess);
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

    // Periodic checks.

    fn check_connections(&mut self) {
        let now = self.now;
        self.cancelled_setups.retain(|_, until| *until > now);
        self.forget_old_outcomes();
        let idle = |v: &ViewerConnection| {
            let proven = v.evidence >= PeerEvidence::HandedOver;
            let after = if proven { SERVED_VIEWER_IDLE } else { UNPROVEN_VIEWER_IDLE };
            v.open_setups.is_empty() && v.active_sessions == 0 && now - v.last_active >= after
        };
        let idle: Vec<u64> = self.viewers.iter().filter(|(_, v)| idle(v)).map(|(&c, _)| c).collect();
        idle.into_iter().for_each(|conn| self.close_viewer(conn));
        self.send_undelivered_ends();
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
        s.setup_timer = Some(self.timers.set(s.setup_deadline, Timer::Setup { sess }));
        let Some(link) = link else {
            // No file descriptor is free, so it is never sent.
            return self.finish_setup(sess, SetupOutcome::NeverSent, LoadReport::default());
        };
        (s.link, s.stage) = (link, Stage::WaitingForLink);
        let Some(l) = self.links.get_mut(&link) else { return };
        l.pending_setups.insert(sess);
        (l.carried_setup, l.last_used) = (true, now);
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
    }

    fn reply_failed(&mut self, sess: SessId) {
        self.answer_counts[2] += 1;
        self.send_final_answer(sess, cause::TEMPORARY_FAILURE, None);
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

#[cfg(test)]
mod tests;
