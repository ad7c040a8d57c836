//! The core: what viewers, media nodes and the change log say becomes rounds of the decisions, and their orders become what
//! is sent. No I/O and no clock: times are passed in, in seconds since 1970; the same inputs at the same times have the same
//! effects.
//!
//! A session is asked, then has a SETUP (waiting for a connection, out, or in doubt after its connection was lost), then
//! stands, then is gone. What is owed at each step stands at the function that takes it; what the decisions leave
//! unanswered, by whatever fault, is answered when it is due. Limits, each with its answer when reached: set-ups open, in all
//! and on a connection, their descriptions together, sessions that stand (refused, with when to come back), connections of
//! viewers (the most idle one is closed), connections to nodes (SETUPs share one), what waits for a node without a
//! connection, releases that no viewer could be told, and ids given up lately (the oldest are dropped).

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
use crate::liveness::{Liveness, RELEASE_RETRY_INTERVAL};
use crate::media::{self, NodeNotification};
use crate::startup::StartupConfig;
use crate::viewer::{self, MessageError, Reply, SetupRequest, cause};

/// s; an answer is written so long before its viewer gives up, for the way and a late turn of ours.
const ANSWER_AHEAD: f64 = 0.03;
/// s; a viewers' connection with no set-up open is closed after so long: one that said nothing of use, which is owed
/// something within 3 s, and one with nothing that stands. Where something stands it is kept, to tell its end on.
const VIEWER_IDLE: (f64, f64) = (2.0, 5.0);
/// Set-ups open on one connection at most: some seconds of the busiest front, and no flood.
const OPEN_EACH: usize = 160;
/// Set-ups open in all.
const OPEN: usize = 1024;
/// Of the memory, for the descriptions of open set-ups; the same for what waits for peers, in the shell.
pub const MEMORY_DIVISOR: usize = 8;
/// Of the memory, for sessions that stand; and bytes that one takes, with what the decisions keep of it.
const STANDING: (usize, usize) = (4, 640);
/// Connections to one node at most; SETUPs beyond share them.
const LINKS_EACH: usize = 6;
/// Descriptors that are neither viewers' nor nodes': the process's own, change log, connections about to close.
const OTHER_SOCKETS: usize = 36;
/// s; a second connection to a node that is idle for so long is closed: nodes say at once what they owe on a new one.
const LINK_IDLE: f64 = 2.0;
/// Of the time after which nodes close an idle connection: one idle for so long takes no SETUP, which would cross the close.
const LINK_STALE: f64 = 0.8;
/// Connections to nodes that we closed and still read, for an end told just then; more are cut at once.
const CLOSING: usize = 8;
/// SETUPs given up of late, for whose answers we wait: beyond it, set-ups are refused, as an answer that is not known for a
/// late one would leave its session standing.
const GIVEN_UP: usize = 4096;
/// s; an answer that comes so long after its node was to give up is not waited for.
const GIVEN_UP_FOR: f64 = 5.0;
/// Releases and rungs that wait for a connection to one node.
const OWED: usize = 1024;
/// s; what is owed to a node that cannot be reached is dropped after so long.
const OWED_FOR: f64 = 60.0;
/// s; how often idle connections and quiet nodes are looked for.
const SWEEP: f64 = 0.1;
/// Rounds of the decisions within one call, for endings that their own orders bring at once.
const TURNS: usize = 8;

/// Why a connection to a node did not come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    Refused,
    /// Not in time, or the network has no way there.
    Unreachable,
    /// For want of something of our own, as of descriptors: it says nothing of the node.
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
    /// A line that never ends: nothing after it can be read.
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
        /// In words, for the log.
        why: String,
    },
    NodeMessage {
        link: u64,
        message: Message,
    },
    /// What came cannot be read; the connection is of no further use.
    LinkCorrupted {
        link: u64,
        why: String,
    },
    LinkDisconnected {
        link: u64,
    },
    Change(FleetChange),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    SendViewer {
        conn: u64,
        bytes: Vec<u8>,
    },
    /// Close when what was sent is out.
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
    /// Closes a connection; `at_once` without waiting for what is on its way, which must not come late; else what the node
    /// said before it saw the close is still taken in, until it closes too.
    CloseLink {
        link: u64,
        immediate: bool,
    },
    Log(String),
    InternalError(String),
}

/// What is held at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub open_setups: usize,
    pub active_sessions: usize,
    pub viewers: usize,
    pub links: usize,
    pub nodes: usize,
    pub pending: usize,
    pub timers: usize,
    /// Addresses of nodes that are kept.
    pub addresses: usize,
    /// Bytes of descriptions of open set-ups.
    pub description_bytes: usize,
    /// Set-ups that came, since the start.
    pub setups_received: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No SETUP is out.
    Asked,
    /// Its SETUP waits for a connection.
    Waiting,
    Out,
    /// The connection was lost under its SETUP: a death of the node, or of the connection alone.
    Doubt,
    Stands,
}

struct Session {
    /// The viewers' connection it came on.
    conn: u64,
    stage: Stage,
    node: NodeId,
    link: u64,
    rung: u8,
    due: f64,
    /// When the SETUP that is out is given up.
    until: f64,
    sent: f64,
    /// Its viewer gave up.
    left: bool,
    answer_due: Option<TimerId>,
    setup_due: Option<TimerId>,
    /// Until it stands.
    ask: Option<Box<SetupRequest>>,
}

struct Viewer {
    open: BTreeSet<SessId>,
    last: f64,
    /// 1: it handed sessions over, 2: it was served. Releases may be told on it.
    trusted: u8,
    /// Sessions that stand and came on it.
    stand: usize,
    /// It sent what cannot be used: closed once nothing is open on it.
    shunned: bool,
}

struct Link {
    node: NodeId,
    up: bool,
    out: BTreeSet<SessId>,
    used: f64,
    /// No further SETUP goes on it; closed once nothing is out.
    tired: bool,
    /// Nothing came from its node since a SETUP on it that was given up.
    silent: bool,
    /// Closed by us and none of its node's any more, but what was on its way is still read.
    closing: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owed {
    Release(SessId, u32),
    Rung(SessId),
}

struct Node {
    name: String,
    address: SocketAddr,
    phase: Phase,
    line: ListedNode,
    links: BTreeSet<u64>,
    standing: BTreeSet<SessId>,
    doubted: BTreeSet<SessId>,
    /// And since when.
    owed: VecDeque<(f64, Owed)>,
    pulse: Liveness,
    /// Why the last try to reach it failed, in words.
    unreached: String,
    /// Since when a connection to it has been up without a gap: through all that time it was one process.
    linked_since: f64,
    /// How full it last said that its link is.
    told: f64,
}

enum Timer {
    SetupDue { sess: SessId },
    AnswerDue { sess: SessId },
}

struct Hands {
    now: f64,
    wake: Option<f64>,
    named: SettingsNames,
    report: ReportFields,
    cells: u16,
    racks: u32,
    rungs: u8,
    come_back: Option<f64>,
    round: Round,
    effects: Vec<Effect>,
    sess: BTreeMap<SessId, Session>,
    viewers: BTreeMap<u64, Viewer>,
    links: BTreeMap<u64, Link>,
    /// How many of them are closing.
    closing_links: usize,
    nodes: BTreeMap<NodeId, Node>,
    ids: HashMap<String, NodeId>,
    /// Who has an address now.
    by_address: HashMap<SocketAddr, NodeId>,
    /// SETUPs given up, and by when their answers have come or never will.
    given_up: BTreeMap<(SessId, NodeId), f64>,
    untold: VecDeque<(SessId, u32)>,
    open: usize,
    standing: usize,
    bytes: usize,
    came: u64,
    closing: bool,
    timers: Timers<Timer>,
    next_sweep: f64,
    next_link: u64,
    /// s; a connection to a node that is idle for so long takes no SETUP.
    link_stale: f64,
    max_viewers: usize,
    most_links: usize,
    most_standing: usize,
    most_bytes: usize,
    answered: [u64; 3],
}

pub struct SessionCore {
    director: Director,
    hands: Hands,
}

impl SessionCore {
    pub fn new(start: &StartupConfig, now: f64) -> Self {
        let room = start.max_sockets.saturating_sub(OTHER_SOCKETS);
        let hands = Hands {
            now,
            wake: Some(now),
            named: start.names.clone(),
            report: start.report_fields.clone(),
            cells: start.terms.cells,
            racks: u32::from(start.terms.racks.max(1)),
            rungs: u8::try_from(start.terms.ladder.len()).unwrap_or(u8::MAX),
            come_back: start.terms.come_back,
            round: Round::default(),
            effects: Vec::new(),
            sess: BTreeMap::new(),
            viewers: BTreeMap::new(),
            links: BTreeMap::new(),
            closing_links: 0,
            nodes: BTreeMap::new(),
            ids: HashMap::new(),
            by_address: HashMap::new(),
            given_up: BTreeMap::new(),
            untold: VecDeque::new(),
            open: 0,
            standing: 0,
            bytes: 0,
            came: 0,
            closing: false,
            timers: Timers::default(),
            next_sweep: now,
            next_link: 0,
            link_stale: if start.names.idle_timeout > 0.0 {
                LINK_STALE * start.names.idle_timeout
            } else {
                f64::INFINITY
            },
            max_viewers: room / 2,
            most_links: room - room / 2,
            most_standing: start.max_memory / STANDING.0 / STANDING.1,
            most_bytes: start.max_memory / MEMORY_DIVISOR,
            answered: [0; 3],
        };
        let mut exchange = SessionCore { director: Director::new(&start.terms, start.seed, now), hands };
        exchange.hands.known(&start.known_changes);
        exchange
    }

    /// Takes something in that came `waited` seconds ago; it acts with the next [`round`](Self::round).
    pub fn handle_input(&mut self, now: f64, waited: f64, input: Input) {
        let h = &mut self.hands;
        h.now = h.now.max(now);
        match input {
            Input::ViewerConnected { conn } => h.viewer_up(conn),
            Input::ViewerMessage { conn, message } => h.viewer(conn, waited, message),
            Input::ViewerLineTooLong { conn } => {
                h.finish(conn, None, cause::PROTOCOL_ERROR, None);
                h.viewer_off(conn, true);
            }
            Input::ViewerDisconnected { conn } => h.viewer_off(conn, false),
            Input::LinkConnected { link } => h.link_up(link),
            Input::LinkFailed { link, failure, why } => h.link_failed(link, failure, why),
            Input::NodeMessage { link, message } => h.node(link, message),
            Input::LinkCorrupted { link, why } => h.link_spoilt(link, &why),
            Input::LinkDisconnected { link } => h.link_lost(link),
            Input::Change(change) => h.change(&change),
        }
    }

    /// Fires what is due, asks the decisions, and writes what is to be done.
    pub fn run_round(&mut self, now: f64, out: &mut impl FnMut(Effect)) {
        let h = &mut self.hands;
        h.now = h.now.max(now);
        while let Some(timer) = h.timers.pop(h.now) {
            match timer {
                Timer::SetupDue { sess } => h.call_off(sess, SetupOutcome::TimedOut),
                Timer::AnswerDue { sess } => h.answer_due(sess),
            }
        }
        if h.now >= h.next_sweep {
            h.next_sweep = h.now + SWEEP;
            h.sweep();
        }
        for _ in 0..TURNS {
            let round = std::mem::take(&mut self.hands.round);
            self.hands.wake = self.hands.wake.filter(|w| *w > self.hands.now);
            self.director.round(self.hands.now, &round, &mut self.hands);
            if self.hands.round.ended.is_empty() && self.hands.round.departures.is_empty() {
                break;
            }
        }
        self.hands.effects.drain(..).for_each(out);
    }

    /// Refuses set-ups from now on, with when to come back.
    pub fn refuse_setups(&mut self) {
        self.hands.closing = true;
    }

    /// Closes viewers' connections on which nothing is open, so that what crosses that is sent again elsewhere.
    pub fn close_idle_viewers(&mut self) {
        let free: Vec<u64> =
            self.hands.viewers.iter().filter(|(_, v)| v.open.is_empty()).map(|(&conn, _)| conn).collect();
        free.into_iter().for_each(|conn| self.hands.viewer_off(conn, true));
    }

    /// Viewers' connections held at most.
    pub fn max_viewers(&self) -> usize {
        self.hands.max_viewers
    }

    /// When a round is due though nothing comes in.
    pub fn next_timer_at(&self) -> f64 {
        let h = &self.hands;
        let more = !h.round.ended.is_empty() || !h.round.departures.is_empty();
        let due = [h.wake, h.timers.next_timer_at(), Some(h.next_sweep), more.then_some(h.now)];
        due.into_iter().flatten().fold(f64::INFINITY, f64::min)
    }

    /// Whether a round may send something though nothing came in: a time-out is due, or a sweep while set-ups are open, which
    /// may take a node for over and its SETUPs for lost. Else a round only lets time go by.
    pub fn may_send(&self, now: f64) -> bool {
        let h = &self.hands;
        h.timers.next_timer_at().is_some_and(|due| due <= now) || h.open > 0 && h.next_sweep <= now
    }

    pub fn counts(&self) -> Counts {
        let h = &self.hands;
        Counts {
            open_setups: h.open,
            active_sessions: h.standing,
            viewers: h.viewers.len(),
            links: h.links.len() - h.closing_links,
            nodes: h.nodes.values().filter(|n| n.phase != Phase::Gone).count(),
            pending: h.untold.len() + h.nodes.values().map(|n| n.owed.len()).sum::<usize>(),
            timers: h.timers.len(),
            addresses: h.by_address.len(),
            description_bytes: h.bytes,
            setups_received: h.came,
        }
    }

    /// One line of what is believed: what is held and answered, and for each node its phase's first letter, whether tries to
    /// reach it fail, what stands and is out there, its connections, its share, and how full its link is taken to be, was
    /// last said to be, and how full its rack's uplink is taken to be.
    pub fn status_line(&self) -> String {
        let (h, c) = (&self.hands, self.counts());
        let [served, busy, failed] = h.answered;
        let mut line = format!(
            "open {} standing {} viewers {} links {} owed {} served {served} busy {busy} failed {failed};",
            c.open_setups, c.active_sessions, c.viewers, c.links, c.pending
        );
        for (&id, n) in &h.nodes {
            let out: usize = n.links.iter().filter_map(|l| h.links.get(l)).map(|l| l.out.len()).sum();
            let phase = match n.phase {
                Phase::Ready => 'u',
                Phase::Draining => 'd',
                Phase::Gone => 'g',
            };
            let failing = if n.pulse.failing() { "!" } else { "" };
            let (stands, links, share) = (n.standing.len(), n.links.len(), self.director.share(id));
            let (link, uplink) = self.director.fullness(id).unwrap_or_default();
            let told = n.told;
            line.push_str(&format!(
                " {}{phase}{failing} {stands}+{out}/{links} {share:.0} {link:.2}({told:.2}) r{} {uplink:.2};",
                n.name,
                u32::from(n.line.cell) % self.hands.racks
            ));
        }
        line
    }
}

impl Hands {
    fn log(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    // Viewers.

    fn viewer_up(&mut self, conn: u64) {
        if self.viewers.len() >= self.max_viewers {
            // The one that has said nothing useful for the longest gives way; those with open set-ups never do.
            let idle = self.viewers.iter().filter(|(_, v)| v.open.is_empty());
            let Some((&oldest, _)) = idle.min_by(|a, b| {
                (a.1.trusted, a.1.stand > 0, a.1.last)
                    .partial_cmp(&(b.1.trusted, b.1.stand > 0, b.1.last))
                    .unwrap_or(std::cmp::Ordering::Equal)
            }) else {
                return self.effects.push(Effect::CloseViewer { conn });
            };
            self.viewer_off(oldest, true);
        }
        let viewer = Viewer { open: BTreeSet::new(), last: self.now, trusted: 0, stand: 0, shunned: false };
        self.viewers.insert(conn, viewer);
    }

    fn viewer(&mut self, conn: u64, waited: f64, word: Result<viewer::ViewerMessage, MessageError>) {
        if !self.viewers.contains_key(&conn) {
            // Read before its connection was closed for another's place: what was taken is answered, if it still can be.
            if let Ok(viewer::ViewerMessage::Start(sess, ask)) = word
                && ask.at.is_none()
            {
                self.refuse(conn, sess);
            }
            return;
        }
        match word {
            Ok(viewer::ViewerMessage::Start(sess, ask)) => self.start(conn, waited, sess, ask),
            Ok(viewer::ViewerMessage::Finish(sess)) => self.finished(conn, sess),
            Ok(viewer::ViewerMessage::Echo(sess)) => {
                self.touch(conn);
                let bytes = viewer::encode(Some(sess), Reply::Echoed);
                self.effects.push(Effect::SendViewer { conn, bytes });
            }
            Ok(viewer::ViewerMessage::Ignored) => {}
            Err(bad) => self.bad(conn, &bad),
        }
    }

    fn touch(&mut self, conn: u64) {
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.last = self.now;
        }
    }

    /// What cannot be used costs its line, and the connection once nothing is open on it.
    fn bad(&mut self, conn: u64, bad: &MessageError) {
        self.log(format!("viewers' connection {conn}: {}", bad.why));
        match bad.sess {
            Some(sess) if self.sess.contains_key(&sess) => self.doubled(conn, sess),
            sess => self.finish(conn, sess, bad.cause, None),
        }
        self.shun(conn);
    }

    /// An id that is held came again with something else. On the connection it came on neither of the two can be told
    /// from the other, so it fails; one that came elsewhere is not touched, and the newcomer loses its connection.
    fn doubled(&mut self, conn: u64, sess: SessId) {
        let Some(s) = self.sess.get(&sess) else { return };
        if s.conn == conn && s.stage != Stage::Stands && !s.left {
            self.finish(conn, Some(sess), cause::INVALID_CONTENTS, None);
            self.depart(sess);
            self.unopen(conn, sess);
        }
    }

    fn shun(&mut self, conn: u64) {
        let Some(v) = self.viewers.get_mut(&conn) else { return };
        v.shunned = true;
        if v.open.is_empty() {
            self.viewer_off(conn, true);
        }
    }

    /// A connection from viewers is over; what was open on it has nobody left to answer.
    fn viewer_off(&mut self, conn: u64, ours: bool) {
        let Some(v) = self.viewers.remove(&conn) else { return };
        self.open -= v.open.len();
        v.open.into_iter().for_each(|sess| self.depart(sess));
        if ours {
            self.effects.push(Effect::CloseViewer { conn });
        }
    }

    fn start(&mut self, conn: u64, waited: f64, sess: SessId, ask: Box<SetupRequest>) {
        let unusable = |why: &str| MessageError {
            sess: Some(sess),
            cause: cause::INVALID_CONTENTS,
            why: why.to_owned(),
        };
        let Some(group) = self.named.groups.iter().position(|g| *g == ask.class) else {
            return self.bad(conn, &unusable("no such class"));
        };
        if ask.first_cell >= self.cells
            || !(1..=self.cells).contains(&ask.cells)
            || ask.best_rung >= self.rungs
        {
            return self.bad(conn, &unusable("home, copies or top out of range"));
        }
        if let Some(held) = self.sess.get_mut(&sess) {
            if ask.at.is_some() {
                return self.touch(conn);
            }
            if held.left {
                // Sent again while its first SETUP is being taken back; nobody else is owed a word under this id.
                return self.refuse(conn, sess);
            }
            if held.conn != conn && held.ask.as_ref().is_some_and(|a| a.is_same_setup(&ask)) {
                // Sent again on a new connection, the old one having closed under it: answered there.
                let old = std::mem::replace(&mut held.conn, conn);
                if self.viewers.get_mut(&old).is_some_and(|v| v.open.remove(&sess)) {
                    self.open -= 1;
                }
                return self.opened(conn, sess);
            }
            return self.bad(conn, &unusable("its id is held"));
        }
        let wanted = NewSession {
            sess,
            group: GroupId(group as u8),
            title: ask.title,
            setup_timeout: ask.time_left - waited - ANSWER_AHEAD,
            first_cell: ask.first_cell,
            cells: ask.cells,
            best_rung: ask.best_rung,
        };
        let mut session = Session {
            conn,
            stage: Stage::Asked,
            node: NodeId(0),
            link: 0,
            rung: 0,
            due: self.now + wanted.setup_timeout,
            until: self.now,
            sent: self.now,
            left: false,
            answer_due: None,
            setup_due: None,
            ask: None,
        };
        if let Some(at) = &ask.at {
            self.touch(conn);
            let Some(&node) = self.ids.get(at).filter(|_| self.standing < self.most_standing) else {
                return self
                    .log(format!("a session is handed over at {at}: no such node, or too many are held"));
            };
            if let Some(v) = self.viewers.get_mut(&conn) {
                v.trusted = v.trusted.max(1);
            }
            // Set up by whoever ran before us: nothing is known of its node's process then.
            (session.stage, session.node, session.sent) = (Stage::Stands, node, f64::INFINITY);
            self.sess.insert(sess, session);
            self.stands(sess, node);
            self.round.handed_over.push((wanted, node));
            return self.tell_untold();
        }
        self.came += 1;
        let full = self.open >= OPEN
            || self.given_up.len() >= GIVEN_UP
            || self.standing >= self.most_standing
            || self.bytes + ask.blob.len() > self.most_bytes
            || self.viewers.get(&conn).is_some_and(|v| v.open.len() >= OPEN_EACH);
        // An id given up in this very round is passed over by the decisions until the next.
        let again = self.round.departures.contains(&sess);
        if full || again || self.closing || wanted.setup_timeout <= 0.0 {
            return self.refuse(conn, sess);
        }
        self.bytes += ask.blob.len();
        session.ask = Some(ask);
        let last = session.due + ANSWER_AHEAD / 2.0;
        session.answer_due = Some(self.timers.set(last, Timer::AnswerDue { sess }));
        self.sess.insert(sess, session);
        self.opened(conn, sess);
        self.round.new_sessions.push(wanted);
    }

    fn refuse(&mut self, conn: u64, sess: SessId) {
        self.touch(conn);
        self.answered[1] += 1;
        self.finish(conn, Some(sess), cause::CONGESTION, self.come_back);
    }

    /// What was not answered by now never will be: the decisions gave up on it in some way that we do not know.
    fn answer_due(&mut self, sess: SessId) {
        let Some(s) = self.sess.get(&sess).filter(|s| s.stage != Stage::Stands && !s.left) else { return };
        let conn = s.conn;
        self.log(format!("session {} was left without an answer", viewer::format_session_id(sess)));
        self.answered[2] += 1;
        self.finish(conn, Some(sess), cause::TEMPORARY_FAILURE, None);
        self.depart(sess);
        self.unopen(conn, sess);
    }

    /// Drops a session and all that waits for it.
    fn forget(&mut self, sess: SessId) -> Option<Session> {
        let s = self.sess.remove(&sess)?;
        self.bytes -= s.ask.as_ref().map_or(0, |a| a.blob.len());
        [s.answer_due, s.setup_due].into_iter().flatten().for_each(|due| self.timers.cancel(due));
        Some(s)
    }

    fn opened(&mut self, conn: u64, sess: SessId) {
        let now = self.now;
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.last = now;
            self.open += usize::from(v.open.insert(sess));
        }
    }

    /// A viewer gives up a set-up, or releases a session that stands.
    fn finished(&mut self, conn: u64, sess: SessId) {
        let Some(s) = self.sess.get(&sess) else { return };
        if s.stage == Stage::Stands {
            let node = s.node;
            self.touch(conn);
            self.end(sess, node, SetupOutcome::Withdrawn, LoadReport::default());
            self.send_or_owe(node, Owed::Release(sess, cause::NORMAL_CLEARING));
        } else if s.conn == conn && !s.left {
            self.depart(sess);
            self.unopen(conn, sess);
        }
    }

    /// The viewer of a set-up is gone; nothing more is owed to it.
    fn depart(&mut self, sess: SessId) {
        let Some(s) = self.sess.get_mut(&sess) else { return };
        s.left = true;
        self.round.departures.push(sess);
        match s.stage {
            // Nothing is out, so nothing will say of it again.
            Stage::Asked => drop(self.forget(sess)),
            // Its connection may come up before the decisions hear of it, and may not cancel what is out.
            Stage::Waiting => self.setup_over(sess, SetupOutcome::NeverSent, LoadReport::default()),
            Stage::Out | Stage::Doubt | Stage::Stands => {}
        }
    }

    fn unopen(&mut self, conn: u64, sess: SessId) {
        let now = self.now;
        let Some(v) = self.viewers.get_mut(&conn) else { return };
        v.last = now;
        if v.open.remove(&sess) {
            self.open -= 1;
        }
        if v.shunned && v.open.is_empty() {
            self.viewer_off(conn, true);
        }
    }

    /// The one final answer that is not a session.
    fn answer(&mut self, sess: SessId, why: u32, wait: Option<f64>) {
        let Some(s) = self.sess.get(&sess) else { return };
        let conn = s.conn;
        self.finish(conn, Some(sess), why, wait);
        self.unopen(conn, sess);
    }

    fn finish(&mut self, conn: u64, sess: Option<SessId>, cause: u32, wait: Option<f64>) {
        let bytes = viewer::encode(sess, Reply::Finish { cause, wait });
        self.effects.push(Effect::SendViewer { conn, bytes });
    }

    /// Tells a viewer that its session is over: on its connection, on any that was served, or on the next such.
    fn tell_over(&mut self, sess: SessId, conn: u64, why: u32) {
        let trusted = |v: &Viewer| v.trusted > 0 && !v.shunned;
        let at = match self.viewers.get(&conn) {
            Some(v) if trusted(v) => Some(conn),
            _ => {
                let all = self.viewers.iter().filter(|(_, v)| trusted(v));
                all.max_by_key(|(c, v)| (v.trusted, **c)).map(|(&c, _)| c)
            }
        };
        if let Some(conn) = at {
            return self.finish(conn, Some(sess), why, None);
        }
        // Nothing stands anew before they are told, but for what is served to those who misbehave.
        if self.untold.len() >= self.most_standing {
            self.untold.pop_front();
        }
        self.untold.push_back((sess, why));
    }

    fn tell_untold(&mut self) {
        for (sess, why) in std::mem::take(&mut self.untold) {
            self.tell_over(sess, u64::MAX, why);
        }
    }

    // Sessions at nodes.

    fn stands(&mut self, sess: SessId, node: NodeId) {
        self.standing += 1;
        if let Some(v) = self.sess.get(&sess).and_then(|s| self.viewers.get_mut(&s.conn)) {
            v.stand += 1;
        }
        if let Some(n) = self.nodes.get_mut(&node) {
            n.standing.insert(sess);
        }
    }

    /// A session that stood is over.
    fn end(&mut self, sess: SessId, node: NodeId, outcome: SetupOutcome, load: LoadReport) {
        let Some(s) = self.forget(sess) else { return };
        debug_assert!(s.stage == Stage::Stands, "only what stands ends so");
        self.standing -= 1;
        if let Some(v) = self.viewers.get_mut(&s.conn) {
            (v.stand, v.last) = (v.stand - 1, self.now);
        }
        if let Some(n) = self.nodes.get_mut(&node) {
            n.standing.remove(&sess);
        }
        self.round.ended.push(Ended { sess, node, outcome, closed: true, load });
    }

    /// A SETUP is over without a session; the decisions hear how, and say what becomes of it.
    fn setup_over(&mut self, sess: SessId, outcome: SetupOutcome, load: LoadReport) {
        let Some(s) = self.sess.get_mut(&sess) else { return };
        let (node, link, left) = (s.node, s.link, s.left);
        s.stage = Stage::Asked;
        if let Some(due) = s.setup_due.take() {
            self.timers.cancel(due);
        }
        if let Some(l) = self.links.get_mut(&link) {
            l.out.remove(&sess);
        }
        if let Some(n) = self.nodes.get_mut(&node) {
            n.doubted.remove(&sess);
        }
        if left {
            self.forget(sess);
        }
        self.round.ended.push(Ended { sess, node, outcome, closed: left, load });
        self.rest(link);
    }

    /// Closes a tired connection once nothing is out on it.
    fn rest(&mut self, link: u64) {
        let Some(node) = self.links.get(&link).filter(|l| l.tired && l.out.is_empty()).map(|l| l.node) else {
            return;
        };
        // What is still on its way to a silent node would reach it late, past its grace or beside another SETUP.
        let silent = self.links.get(&link).is_some_and(|l| l.silent);
        self.hang_up_link(link, silent);
        self.ask_again(node);
    }

    /// A connection to a node went bad, and a release may have gone with it: nodes say what they owe on the next new one.
    fn ask_again(&mut self, node: NodeId) {
        if self.nodes.get(&node).is_some_and(|n| !(n.standing.is_empty() && n.doubted.is_empty())) {
            self.try_node(node);
        }
    }

    fn hang_up_link(&mut self, link: u64, at_once: bool) {
        let Some(l) = self.links.get_mut(&link).filter(|l| !l.closing) else { return };
        if let Some(n) = self.nodes.get_mut(&l.node) {
            n.links.remove(&link);
        }
        let at_once = at_once || self.closing_links >= CLOSING;
        if at_once {
            self.links.remove(&link);
        } else {
            // Its node may be telling an end on it at this moment, and would not tell it again.
            (l.closing, l.up) = (true, false);
            self.closing_links += 1;
        }
        self.effects.push(Effect::CloseLink { link, immediate: at_once });
    }

    /// Gives up a SETUP: its node is told, and a late answer will be released.
    fn call_off(&mut self, sess: SessId, outcome: SetupOutcome) {
        let Some(s) = self.sess.get(&sess) else { return };
        let (stage, node, link, sent) = (s.stage, s.node, s.link, s.sent);
        match stage {
            Stage::Asked | Stage::Stands => {}
            Stage::Doubt => self.setup_lost(sess, outcome),
            // It never left.
            Stage::Waiting => {
                let outcome = if outcome == SetupOutcome::TimedOut {
                    SetupOutcome::Unreachable
                } else {
                    SetupOutcome::NeverSent
                };
                self.setup_over(sess, outcome, LoadReport::default());
            }
            Stage::Out => {
                self.effects.push(Effect::SendNode { link, bytes: media::cancel_setup(sess) });
                self.remember_given_up(sess, node);
                let spoke = self.nodes.get(&node).is_some_and(|n| n.pulse.heard_since(sent));
                if let Some(l) = self.links.get_mut(&link) {
                    // A connection on which an answer stayed out may be of no use for the next one either.
                    l.tired = true;
                    l.silent |= outcome == SetupOutcome::TimedOut && !spoke;
                }
                self.setup_over(sess, outcome, LoadReport::default());
            }
        }
    }

    /// A SETUP whose connection is lost: it may stand at its node, where it is released unless the process is gone.
    fn setup_lost(&mut self, sess: SessId, outcome: SetupOutcome) {
        let Some(s) = self.sess.get(&sess) else { return };
        let (node, stage) = (s.node, s.stage);
        if stage == Stage::Waiting {
            // It never left.
            return self.setup_over(sess, SetupOutcome::Unreachable, LoadReport::default());
        }
        self.remember_given_up(sess, node);
        if self.nodes.get(&node).is_some_and(|n| !n.pulse.refused()) {
            self.send_or_owe(node, Owed::Release(sess, cause::NORMAL_CLEARING));
        }
        self.setup_over(sess, outcome, LoadReport::default());
    }

    // Connections to nodes.

    fn dial(&mut self, node: NodeId) -> Option<u64> {
        let n = self.nodes.get_mut(&node)?;
        if self.by_address.get(&n.address) != Some(&node) {
            return None;
        }
        n.pulse.tried(self.now);
        let (link, address) = (self.next_link, n.address);
        self.next_link += 1;
        n.links.insert(link);
        let (used, out) = (self.now, BTreeSet::new());
        let new = Link { node, up: false, out, used, tired: false, silent: false, closing: false };
        self.links.insert(link, new);
        self.effects.push(Effect::ConnectLink { link, address });
        Some(link)
    }

    /// Whether another connection may be opened, if need be in place of an idle one.
    fn room_for_link(&mut self) -> bool {
        if self.links.len() - self.closing_links < self.most_links {
            return true;
        }
        // Rather a spare one than the only one to a node where something stands.
        let only =
            |l: &Link| self.nodes.get(&l.node).is_some_and(|n| n.links.len() == 1 && !n.standing.is_empty());
        let idle = self.links.iter().filter(|(_, l)| l.up && l.out.is_empty());
        let first = idle.min_by(|(_, a), (_, b)| only(a).cmp(&only(b)).then(a.used.total_cmp(&b.used)));
        let Some((&link, _)) = first else { return false };
        self.hang_up_link(link, false);
        true
    }

    /// The connection for a SETUP: an idle one, else a new one, else the one with the fewest out, so that a connection
    /// that goes bad takes few with it.
    fn link_for(&mut self, node: NodeId) -> Option<u64> {
        let n = self.nodes.get(&node)?;
        let stale = |l: &Link| l.up && l.out.is_empty() && self.now - l.used >= self.link_stale;
        let links = n.links.iter().filter_map(|l| Some((*l, self.links.get(l)?)));
        let usable = links.filter(|(_, l)| !l.tired && !stale(l));
        let best = usable.min_by_key(|(_, l)| (l.out.len(), !l.up)).map(|(l, link)| (l, link.out.len()));
        let held = n.links.iter().filter_map(|l| self.links.get(l)).filter(|l| !stale(l)).count();
        let each = (self.most_links / self.nodes.len().max(1)).clamp(1, LINKS_EACH);
        match best {
            Some((link, 0)) => Some(link),
            Some((link, _)) if held >= each => Some(link),
            best => {
                let new = if self.room_for_link() { self.dial(node) } else { None };
                new.or(best.map(|b| b.0))
            }
        }
    }

    fn up_link(&self, node: NodeId) -> Option<u64> {
        let n = self.nodes.get(&node)?;
        n.links.iter().copied().find(|l| self.links.get(l).is_some_and(|l| l.up && !l.tired))
    }

    fn send_or_owe(&mut self, node: NodeId, owed: Owed) {
        if let Some(link) = self.up_link(node) {
            return self.send_owed(link, owed);
        }
        let now = self.now;
        let Some(n) = self.nodes.get_mut(&node) else { return };
        // A rung that waits goes out as it is by then.
        let again = matches!(owed, Owed::Rung(_)) && n.owed.iter().any(|(_, o)| *o == owed);
        if again {
            return;
        }
        if n.owed.len() >= OWED {
            // What plays at another rung costs less than what plays for nobody.
            let rung = n.owed.iter().position(|(_, o)| matches!(o, Owed::Rung(_)));
            n.owed.remove(rung.unwrap_or(0));
        }
        n.owed.push_back((now, owed));
    }

    fn send_owed(&mut self, link: u64, owed: Owed) {
        let bytes = match owed {
            Owed::Release(sess, why) => media::teardown(sess, why),
            Owed::Rung(sess) => match self.sess.get(&sess) {
                Some(s) if s.stage == Stage::Stands => media::set_rung(sess, s.rung),
                _ => return,
            },
        };
        self.effects.push(Effect::SendNode { link, bytes });
    }

    fn link_up(&mut self, link: u64) {
        let Some(l) = self.links.get(&link).filter(|l| !l.closing) else { return };
        let (node, waiting) = (l.node, l.out.clone());
        if self.nodes.get(&node).is_some_and(|n| self.by_address.get(&n.address) != Some(&node)) {
            // While it was dialled its address became another node's, which is not the one that was meant.
            for sess in waiting {
                self.setup_over(sess, SetupOutcome::NeverSent, LoadReport::default());
            }
            return self.hang_up_link(link, true);
        }
        let alone = self.up_link(node).is_none();
        if let Some(l) = self.links.get_mut(&link) {
            (l.up, l.used) = (true, self.now);
        }
        let Some(n) = self.nodes.get_mut(&node) else { return };
        if alone {
            n.linked_since = self.now;
        }
        n.pulse.heard(self.now);
        let (owed, doubted) = (std::mem::take(&mut n.owed), std::mem::take(&mut n.doubted));
        waiting.into_iter().for_each(|sess| self.send_setup(sess));
        owed.into_iter().for_each(|(_, owed)| self.send_owed(link, owed));
        // The node lives, so only the connection was lost: whether its SETUPs ran is not known.
        doubted.into_iter().for_each(|sess| self.setup_lost(sess, SetupOutcome::Withdrawn));
    }

    fn remember_given_up(&mut self, sess: SessId, node: NodeId) {
        let until = self.sess.get(&sess).map_or(self.now, |s| s.until.max(self.now)) + GIVEN_UP_FOR;
        self.given_up.insert((sess, node), until);
    }

    fn link_failed(&mut self, link: u64, how: ConnectFailure, why: String) {
        let Some(l) = self.links.remove(&link) else { return };
        if l.closing {
            self.closing_links -= 1;
            return;
        }
        if let Some(n) = self.nodes.get_mut(&l.node) {
            n.links.remove(&link);
        }
        let ending = if how == ConnectFailure::LocalResources { SetupOutcome::NeverSent } else { SetupOutcome::Unreachable };
        l.out.into_iter().for_each(|sess| self.setup_over(sess, ending, LoadReport::default()));
        if how != ConnectFailure::LocalResources {
            self.unreached(l.node, how == ConnectFailure::Refused, why);
        }
    }

    /// A try to reach a node failed.
    fn unreached(&mut self, node: NodeId, refused: bool, why: String) {
        let linked = self.up_link(node).is_some();
        let Some(n) = self.nodes.get_mut(&node) else { return };
        // What is off the list and refuses is gone, whatever is still open.
        n.pulse.failed(self.now, refused, linked && n.phase != Phase::Gone);
        n.unreached = why;
        // Their connection was lost and no other comes up: the node went down under them.
        let (doubted, over) = (std::mem::take(&mut n.doubted), n.pulse.over());
        if n.pulse.refused() {
            // Whatever stood there went with its process.
            n.owed.clear();
        }
        doubted.into_iter().for_each(|sess| self.setup_lost(sess, SetupOutcome::ConnectionLost));
        if over {
            self.node_over(node);
        }
    }

    /// What stood at a node is over without a word from it.
    fn node_over(&mut self, node: NodeId) {
        let Some(n) = self.nodes.get_mut(&node) else { return };
        if n.standing.is_empty() {
            return;
        }
        let (links, standing) = (std::mem::take(&mut n.links), std::mem::take(&mut n.standing));
        let gone = n.pulse.refused();
        // What is owed there is tried for by itself, and nothing else but a SETUP calls for it.
        let again = if gone {
            "tried again with the next SETUP to it".to_owned()
        } else {
            format!("tried again every {RELEASE_RETRY_INTERVAL} s to release them")
        };
        let text = format!(
            "{} cannot be reached ({}): {} sessions there are over; {again}",
            n.name,
            n.unreached,
            standing.len()
        );
        self.log(text);
        for link in links {
            let Some(l) = self.links.remove(&link) else { continue };
            self.effects.push(Effect::CloseLink { link, immediate: true });
            l.out.into_iter().for_each(|sess| self.setup_lost(sess, SetupOutcome::ConnectionLost));
        }
        for sess in standing {
            let Some(conn) = self.sess.get(&sess).map(|s| s.conn) else { continue };
            self.end(sess, node, SetupOutcome::ConnectionLost, LoadReport::default());
            self.tell_over(sess, conn, cause::TEMPORARY_FAILURE);
            if !gone {
                // It may have been cut off only, and then they stand there yet.
                self.send_or_owe(node, Owed::Release(sess, cause::TEMPORARY_FAILURE));
            }
        }
    }

    /// A connection ended. What stood lives on; its SETUPs hang on whether the node does.
    fn link_lost(&mut self, link: u64) {
        let Some(l) = self.links.remove(&link) else { return };
        if l.closing {
            self.closing_links -= 1;
            return;
        }
        let Some(n) = self.nodes.get_mut(&l.node) else { return };
        n.links.remove(&link);
        for sess in l.out {
            if let Some(s) = self.sess.get_mut(&sess) {
                s.stage = Stage::Doubt;
                n.doubted.insert(sess);
            }
        }
        self.ask_again(l.node);
    }

    fn link_spoilt(&mut self, link: u64, why: &str) {
        let Some(l) = self.links.get_mut(&link) else { return };
        // The node spoke, so it lives; what it said of the SETUPs out there is lost, and they may have run.
        let (node, out) = (l.node, std::mem::take(&mut l.out));
        let name = self.nodes.get(&node).map_or("", |n| &n.name);
        let text = format!("{name}: a connection is spoilt under {} SETUPs: {why}", out.len());
        self.log(text);
        self.hang_up_link(link, false);
        self.ask_again(node);
        out.into_iter().for_each(|sess| self.setup_lost(sess, SetupOutcome::Withdrawn));
    }

    /// Tries a connection to a node of which there is doubt.
    fn try_node(&mut self, node: NodeId) {
        if self
            .nodes
            .get(&node)
            .is_some_and(|n| n.links.iter().any(|l| self.links.get(l).is_some_and(|l| !l.up)))
        {
            return;
        }
        if self.room_for_link() && self.dial(node).is_none() {
            // Its address is another's now.
            if let Some(n) = self.nodes.get_mut(&node) {
                n.pulse.tried(self.now);
            }
            self.unreached(node, true, "its address is another node's now".to_owned());
        }
    }

    // What nodes say.

    fn node(&mut self, link: u64, message: Message) {
        let Some(l) = self.links.get_mut(&link) else { return };
        l.used = self.now;
        let node = l.node;
        if let Some(n) = self.nodes.get_mut(&node) {
            n.pulse.heard(self.now);
        }
        match media::interpret(message, &self.report) {
            media::NodeMessage::SetupAccepted { sess, blob, load: _ } => self.set_up(link, node, sess, blob),
            media::NodeMessage::SetupRefused { sess, how, load } => {
                if self.is_out(sess, link) {
                    self.setup_over(sess, how, load);
                }
            }
            media::NodeMessage::SessionEnded { sess, cause, cseq, load } => {
                self.reply(link, media::acknowledge(sess, cseq));
                let stands = self.sess.get(&sess).filter(|s| s.stage == Stage::Stands && s.node == node);
                if let Some((conn, sent)) = stands.map(|s| (s.conn, s.sent)) {
                    let anew = self.nodes.get(&node).is_some_and(|n| n.linked_since > sent);
                    self.end(sess, node, media::teardown_outcome(cause, anew), load);
                    self.tell_over(sess, conn, cause);
                } else if self.is_out(sess, link) {
                    self.setup_over(sess, SetupOutcome::ConnectionLost, load);
                }
            }
            media::NodeMessage::Notification { sess, notification } => {
                if self.sess.get(&sess).is_some_and(|s| s.stage == Stage::Stands && s.node == node) {
                    if let (NodeNotification::Link(asked), Some(n)) =
                        (notification, self.nodes.get_mut(&node))
                    {
                        n.told = asked;
                    }
                    self.round.measurements.push(match notification {
                        NodeNotification::Delivered(share) => Measurement::Delivered { node, share },
                        NodeNotification::Rung(rung) => Measurement::Rung { sess, rung },
                        NodeNotification::Link(asked) => Measurement::Link { sess, node, asked },
                        NodeNotification::Uplink(asked) => Measurement::Uplink { sess, node, asked },
                    });
                }
            }
            media::NodeMessage::Ignored => {}
        }
    }

    /// Answers on the connection that a message came on. On one that we closed nothing can be said any more, and what was
    /// given up there was released before the close.
    fn reply(&mut self, link: u64, bytes: Vec<u8>) {
        if self.links.get(&link).is_some_and(|l| !l.closing) {
            self.effects.push(Effect::SendNode { link, bytes });
        }
    }

    fn is_out(&self, sess: SessId, link: u64) -> bool {
        self.sess.get(&sess).is_some_and(|s| s.stage == Stage::Out && s.link == link)
    }

    fn set_up(&mut self, link: u64, node: NodeId, sess: SessId, blob: Option<String>) {
        if !self.is_out(sess, link) {
            if self.given_up.contains_key(&(sess, node)) {
                self.reply(link, media::teardown(sess, cause::NORMAL_CLEARING));
            }
            return;
        }
        let Some(blob) = blob else { return self.link_spoilt(link, "a description that is no text") };
        let now = self.now;
        let Some(s) = self.sess.get_mut(&sess) else { return };
        if s.left {
            // Nobody waits for it any more.
            self.effects
                .push(Effect::SendNode { link, bytes: media::teardown(sess, cause::NORMAL_CLEARING) });
            return self.setup_over(sess, SetupOutcome::Withdrawn, LoadReport::default());
        }
        s.stage = Stage::Stands;
        let (conn, took, ask) = (s.conn, now - s.sent, s.ask.take());
        let due = [s.answer_due.take(), s.setup_due.take()];
        self.bytes -= ask.map_or(0, |a| a.blob.len());
        due.into_iter().flatten().for_each(|due| self.timers.cancel(due));
        if let Some(l) = self.links.get_mut(&link) {
            l.out.remove(&sess);
        }
        self.round.playing.push(Playing { sess, node, took });
        self.answered[0] += 1;
        self.stands(sess, node);
        let bytes = viewer::encode(Some(sess), Reply::Started(&blob));
        self.effects.push(Effect::SendViewer { conn, bytes });
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.trusted = 2;
        }
        self.unopen(conn, sess);
        self.tell_untold();
        self.rest(link);
    }

    fn send_setup(&mut self, sess: SessId) {
        let now = self.now;
        let Some(s) = self.sess.get_mut(&sess) else { return };
        let Some(ask) = &s.ask else { return };
        (s.stage, s.sent) = (Stage::Out, now);
        let bytes = media::setup(sess, &ask.key, &ask.class, s.until - now, s.rung, &ask.blob);
        self.effects.push(Effect::SendNode { link: s.link, bytes });
    }

    // The change log.

    /// A number for a node not known so far: by its id, so that it is the same at each director whatever it heard first, as
    /// decisions may draw by it; where another has it, the next free one. 0 stands for none.
    fn number(&self, id: &str) -> NodeId {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let mut n = hasher.finish() as u32;
        while n == 0 || self.nodes.contains_key(&NodeId(n)) {
            n = n.wrapping_add(1);
        }
        NodeId(n)
    }

    fn listed(&mut self, host: &Host) -> Option<ListedNode> {
        let known = self.ids.get(&host.id).copied();
        if known.is_none() && host.phase == Phase::Gone {
            return None;
        }
        let id = known.unwrap_or_else(|| self.number(&host.id));
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let line = ListedNode {
            node: id,
            zone: place(&self.named.zones, &host.zone).map_or(0, |i| i as u16),
            kind: place(&self.named.kinds, &host.kind).map_or(u8::MAX, |i| i as u8),
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
            line,
            links: BTreeSet::new(),
            standing: BTreeSet::new(),
            doubted: BTreeSet::new(),
            owed: VecDeque::new(),
            pulse: Liveness::new(now),
            unreached: String::new(),
            linked_since: now,
            told: 0.0,
        });
        (n.phase, n.line) = (host.phase, line);
        if host.phase != Phase::Gone {
            let old = std::mem::replace(&mut n.address, host.address);
            if old != host.address && self.by_address.get(&old) == Some(&id) {
                self.by_address.remove(&old);
            }
            self.by_address.insert(host.address, id);
        }
        self.ids.insert(host.id.clone(), id);
        Some(line)
    }

    fn fold(&mut self, change: &FleetChange) -> Vec<ListedNode> {
        if change.is_snapshot {
            let named: BTreeSet<&str> = change.hosts.iter().map(|h| h.id.as_str()).collect();
            for n in self.nodes.values_mut().filter(|n| !named.contains(n.name.as_str())) {
                (n.phase, n.line.phase) = (Phase::Gone, Phase::Gone);
            }
        }
        change.hosts.iter().filter_map(|h| self.listed(h)).collect()
    }

    /// SETUPs that wait for a connection were ordered by what was known then: where their node begins to drain, is gone or
    /// started anew since, they are taken back, and the decisions place them again by the drain and the pace of now.
    fn take_back(&mut self, before: &[(NodeId, Phase, f64)]) {
        let stale = |&&(node, phase, up_since): &&(NodeId, Phase, f64)| {
            self.nodes
                .get(&node)
                .is_some_and(|n| (n.phase != phase && n.phase != Phase::Ready) || n.line.up_since > up_since)
        };
        let stale: Vec<NodeId> = before.iter().filter(stale).map(|b| b.0).collect();
        for node in stale {
            let links = self.nodes.get(&node).map(|n| n.links.clone()).unwrap_or_default();
            for link in links {
                let Some(l) = self.links.get_mut(&link).filter(|l| !l.up) else { continue };
                let waiting = std::mem::take(&mut l.out);
                waiting
                    .into_iter()
                    .for_each(|s| self.setup_over(s, SetupOutcome::NeverSent, LoadReport::default()));
            }
        }
    }

    fn change(&mut self, change: &FleetChange) {
        let before: Vec<_> = self.nodes.iter().map(|(&id, n)| (id, n.phase, n.line.up_since)).collect();
        let lines = self.fold(change);
        self.take_back(&before);
        if change.is_snapshot {
            self.round.list_changes.push(ListChange::Whole(lines));
        } else if !lines.is_empty() {
            self.round.list_changes.push(ListChange::Changed(lines));
        }
    }

    /// What was told before the start: a list as it was kept, which may be old.
    fn known(&mut self, changes: &[FleetChange]) {
        for change in changes {
            self.fold(change);
        }
        let lines = self.nodes.values().map(|n| n.line).filter(|l| l.phase != Phase::Gone).collect();
        self.round.list_changes.push(ListChange::Cached(lines));
    }

    // From time to time.

    fn sweep(&mut self) {
        let now = self.now;
        self.given_up.retain(|_, until| *until > now);
        let idle = |v: &Viewer| {
            let after = if v.trusted > 0 { VIEWER_IDLE.1 } else { VIEWER_IDLE.0 };
            v.open.is_empty() && v.stand == 0 && now - v.last >= after
        };
        let idle: Vec<u64> = self.viewers.iter().filter(|(_, v)| idle(v)).map(|(&c, _)| c).collect();
        idle.into_iter().for_each(|conn| self.viewer_off(conn, true));
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        ids.into_iter().for_each(|id| self.look_at(id));
    }

    fn look_at(&mut self, id: NodeId) {
        let now = self.now;
        let linked = self.up_link(id).is_some();
        let Some(n) = self.nodes.get_mut(&id) else { return };
        n.owed.retain(|(since, _)| now - since <= OWED_FOR);
        let concerned = !(n.standing.is_empty() && n.doubted.is_empty() && n.owed.is_empty());
        let idle = |l: &&u64| {
            self.links.get(l).is_some_and(|l| l.up && l.out.is_empty() && now - l.used >= LINK_IDLE)
        };
        let idle: Vec<u64> = n.links.iter().filter(idle).copied().collect();
        // One stays open, for what stands there.
        let stale = |l: &&u64| self.links.get(l).is_some_and(|l| now - l.used >= self.link_stale);
        let keep = usize::from(n.phase != Phase::Gone || concerned);
        let up = n.links.iter().filter(|l| self.links.get(l).is_some_and(|l| l.up)).count();
        let (all, over) = (n.links.len(), concerned && n.pulse.over());
        let waited_for = !(n.standing.is_empty() && n.doubted.is_empty());
        let wants = concerned && n.pulse.wants_try(now, linked, waited_for);
        if !concerned && all == 0 && n.phase == Phase::Gone {
            if let Some(n) = self.nodes.remove(&id) {
                self.ids.remove(&n.name);
                if self.by_address.get(&n.address) == Some(&id) {
                    self.by_address.remove(&n.address);
                }
            }
            return;
        }
        let ours = idle.iter().filter(stale).count().max(up.saturating_sub(keep));
        idle.into_iter().take(ours).for_each(|link| self.hang_up_link(link, false));
        if over {
            self.node_over(id);
        }
        if wants {
            self.try_node(id);
        }
    }
}

impl Orders for Hands {
    fn set_rung(&mut self, sess: SessId, rung: u8) {
        let Some(s) = self.sess.get_mut(&sess) else { return };
        s.rung = rung;
        if s.stage == Stage::Stands {
            let node = s.node;
            self.send_or_owe(node, Owed::Rung(sess));
        }
    }

    fn send_setup(&mut self, sess: SessId, node: NodeId, wait: Option<f64>) {
        let now = self.now;
        if !self.sess.contains_key(&sess) {
            // Nobody waits for it any more: the decisions are to count it out.
            let load = LoadReport::default();
            return self.round.ended.push(Ended {
                sess,
                node,
                outcome: SetupOutcome::NeverSent,
                closed: true,
                load,
            });
        }
        let link = self.link_for(node);
        let Some(s) = self.sess.get_mut(&sess) else { return };
        s.node = node;
        s.until = wait.map_or(s.due, |w| s.due.min(now + w));
        s.setup_due = Some(self.timers.set(s.until, Timer::SetupDue { sess }));
        let Some(link) = link else {
            // No descriptor is free for it: it never left.
            return self.setup_over(sess, SetupOutcome::NeverSent, LoadReport::default());
        };
        (s.link, s.stage) = (link, Stage::Waiting);
        let Some(l) = self.links.get_mut(&link) else { return };
        l.out.insert(sess);
        l.used = now;
        if l.up {
            self.send_setup(sess);
        }
    }

    fn withdraw(&mut self, sess: SessId, _setup: u8) {
        self.call_off(sess, SetupOutcome::Withdrawn);
    }

    fn reply_busy(&mut self, sess: SessId, come_back: Option<f64>) {
        self.answered[1] += 1;
        self.answer(sess, cause::CONGESTION, come_back);
        self.forget(sess);
    }

    fn reply_failed(&mut self, sess: SessId) {
        self.answered[2] += 1;
        self.answer(sess, cause::TEMPORARY_FAILURE, None);
        self.forget(sess);
    }

    /// The viewer is told to come again; its node ends the session and says so.
    fn shift(&mut self, sess: SessId) {
        let Some(s) = self.sess.get(&sess).filter(|s| s.stage == Stage::Stands) else { return };
        let (node, conn) = (s.node, s.conn);
        let bytes = viewer::encode(Some(sess), Reply::Move);
        self.effects.push(Effect::SendViewer { conn, bytes });
        if let Some(link) = self.up_link(node) {
            self.effects.push(Effect::SendNode { link, bytes: media::redirect(sess) });
        }
    }

    // The change log tells without being asked.
    fn subscribe(&mut self, _on: bool) {}

    fn fetch_list(&mut self) {}

    // The platform's tests of nodes show that a connection works, which SETUPs and notes show too.
    fn probe(&mut self, _node: NodeId) {}

    fn close_idle_connections(&mut self, node: NodeId) {
        let links = self.nodes.get(&node).map(|n| n.links.clone()).unwrap_or_default();
        for link in links {
            if self.links.get(&link).is_some_and(|l| l.up && l.out.is_empty()) {
                self.hang_up_link(link, false);
            }
        }
    }

    // Directors have no way to talk to each other here.
    fn send_message(&mut self, _director: Option<u16>, _message: &[u8]) {}

    fn log(&mut self, line: &str) {
        self.effects.push(Effect::Log(line.to_owned()));
    }

    fn report_fault(&mut self, why: &str) {
        self.effects.push(Effect::InternalError(why.to_owned()));
    }

    fn wake_after(&mut self, after: f64) {
        let at = self.now + after;
        self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
    }
}

#[cfg(test)]
mod tests;
