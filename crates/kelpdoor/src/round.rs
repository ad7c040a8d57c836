//! What one round brings in: one list for each matter. Times are seconds.

use crate::ids::{GroupId, NodeId, SessId, TitleId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

/// A line of the list of media nodes.
#[derive(Clone, Copy, Debug)]
pub struct ListedNode {
    pub node: NodeId,
    pub zone: u16,
    pub kind: u8,
    pub cell: u16,
    pub phase: Phase,
    pub size: f64,
    /// When its process last started; 0: long ago.
    pub up_since: f64,
}

#[derive(Clone, Debug)]
pub enum ListChange {
    /// Only what changed.
    Changed(Vec<ListedNode>),
    /// All of it, now.
    Whole(Vec<ListedNode>),
    /// All of it as this director last had it.
    Cached(Vec<ListedNode>),
    /// Asking failed; the old list holds.
    Unanswered,
}

/// A viewer's wish for a session.
#[derive(Clone, Copy, Debug)]
pub struct NewSession {
    pub sess: SessId,
    pub group: GroupId,
    pub title: TitleId,
    /// Time until the viewer gives up.
    pub setup_timeout: f64,
    /// Cells that hold the title: so many in a row from the first.
    pub first_cell: u16,
    pub cells: u16,
    /// Highest rung that the viewer can use.
    pub best_rung: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetupOutcome {
    Served,
    Failed,
    BusyReplied,
    TimedOut,
    Unreachable,
    ConnectionLost,
    Withdrawn,
    /// Never sent.
    NeverSent,
}

/// A node's load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub streams: Option<f64>,
    pub link: Option<f64>,
    pub uplink: Option<f64>,
}

/// How a SETUP, or the session it began, ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub sess: SessId,
    pub node: NodeId,
    pub outcome: SetupOutcome,
    /// Nothing more is owed to the viewer.
    pub closed: bool,
    pub load: LoadReport,
}

/// A session began to play.
#[derive(Clone, Copy, Debug)]
pub struct Playing {
    pub sess: SessId,
    pub node: NodeId,
    /// Time since its SETUP was sent.
    pub took: f64,
}

#[derive(Clone, Copy, Debug)]
pub enum Measurement {
    /// Share of their rates that sessions at this node got a while ago.
    Delivered { node: NodeId, share: f64 },
    /// What is asked of the node's link over what it gives.
    Link { sess: SessId, node: NodeId, asked: f64 },
    /// The same of its rack's uplink.
    Uplink { sess: SessId, node: NodeId, asked: f64 },
    /// The rung in force.
    Rung { sess: SessId, rung: u8 },
}

/// All that came in since the last round. The director handles the lists in the order they have here.
#[derive(Clone, Debug, Default)]
pub struct Round {
    pub list_changes: Vec<ListChange>,
    /// Sessions under way at the director's start, each on its node.
    pub handed_over: Vec<(NewSession, NodeId)>,
    pub playing: Vec<Playing>,
    pub measurements: Vec<Measurement>,
    /// Nodes that answered a probe, or did not.
    pub probed: Vec<(NodeId, SetupOutcome, LoadReport)>,
    pub ended: Vec<Ended>,
    /// Viewers who left; nothing more is owed to them.
    pub departures: Vec<SessId>,
    pub new_sessions: Vec<NewSession>,
}
