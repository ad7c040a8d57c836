//! The input of one round, sorted by kind. Times are in seconds.

use crate::ids::{GroupId, NodeId, SessId, TitleId};

/// What the list of media nodes says about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes new sessions.
    Ready,
    /// Keeps its sessions and takes no new ones.
    Draining,
    /// Is not listed.
    Gone,
}

/// One entry of the list of media nodes.
#[derive(Clone, Copy, Debug)]
pub struct ListedNode {
    pub node: NodeId,
    pub zone: u16,
    /// Index into [`Terms::places_by_kind`](crate::Terms::places_by_kind).
    pub kind: u8,
    pub cell: u16,
    pub phase: Phase,
    /// Link capacity in units of [`Terms::link_unit`](crate::Terms::link_unit).
    pub size: f64,
    /// When the process of the node last started; 0 means long ago.
    pub up_since: f64,
}

/// A change of the list of media nodes.
#[derive(Clone, Debug)]
pub enum ListChange {
    /// The entries that changed.
    Changed(Vec<ListedNode>),
    /// The complete current list.
    Whole(Vec<ListedNode>),
    /// The complete list as this director last stored it; it may be out of date.
    Cached(Vec<ListedNode>),
    /// The request for the list failed; the previous list stays in force.
    Unanswered,
}

/// A viewer that asks for a session.
#[derive(Clone, Copy, Debug)]
pub struct NewSession {
    pub sess: SessId,
    pub group: GroupId,
    pub title: TitleId,
    /// Time until the viewer gives up.
    pub setup_timeout: f64,
    /// First of the cells that hold the title.
    pub first_cell: u16,
    /// Number of consecutive cells that hold the title.
    pub cells: u16,
    /// Highest rung that the viewer can play.
    pub best_rung: u8,
}

/// The outcome of a SETUP, of a session or of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetupOutcome {
    /// The session played to its end, or the probe was answered.
    Served,
    /// The node answered with an error; the SETUP may have run.
    Failed,
    /// The node answered that it is busy; the SETUP did not run.
    BusyReplied,
    /// No answer came in time; the SETUP may have run.
    TimedOut,
    /// The node could not be reached; the SETUP did not run.
    Unreachable,
    /// The connection broke because the process of the node died.
    ConnectionLost,
    /// The director cancelled the SETUP; it may have run.
    Withdrawn,
    /// The SETUP was not sent.
    NeverSent,
}

/// The load report of a node; a figure that the node does not report is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Number of streams.
    pub streams: Option<f64>,
    /// Demand on the link of the node over its capacity.
    pub link: Option<f64>,
    /// Demand on the uplink of the rack over its capacity.
    pub uplink: Option<f64>,
}

/// The end of a SETUP or of the session that it began.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub sess: SessId,
    pub node: NodeId,
    pub outcome: SetupOutcome,
    /// The viewer needs no further answer.
    pub closed: bool,
    pub load: LoadReport,
}

/// A session that began to play.
#[derive(Clone, Copy, Debug)]
pub struct Playing {
    pub sess: SessId,
    pub node: NodeId,
    /// Time since the SETUP was sent.
    pub took: f64,
}

/// A measurement that a node reported about its sessions and links.
#[derive(Clone, Copy, Debug)]
pub enum Measurement {
    /// Share of their rates that the sessions at this node received some time ago.
    Delivered { node: NodeId, share: f64 },
    /// Demand on the link of the node over its capacity.
    Link { sess: SessId, node: NodeId, asked: f64 },
    /// Demand on the uplink of the rack over its capacity.
    Uplink { sess: SessId, node: NodeId, asked: f64 },
    /// The rung in force.
    Rung { sess: SessId, rung: u8 },
}

/// All input since the last round. The director handles the lists in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Round {
    pub list_changes: Vec<ListChange>,
    /// Sessions that played before the director started, each with its node.
    pub handed_over: Vec<(NewSession, NodeId)>,
    pub playing: Vec<Playing>,
    pub measurements: Vec<Measurement>,
    /// Results of probes: [`SetupOutcome::Served`] if the node answered.
    pub probed: Vec<(NodeId, SetupOutcome, LoadReport)>,
    pub ended: Vec<Ended>,
    /// Sessions whose viewer left; they need no further answer.
    pub departures: Vec<SessId>,
    pub new_sessions: Vec<NewSession>,
}
