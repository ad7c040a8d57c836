//! The roster protocol: JSON lines with the media nodes and the titles that they hold, as complete lists and as changes.
//! A message that is inconsistent is refused completely, and the last valid list stays in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kelpdoor_script::Fleet;
use serde::{Deserialize, Serialize};

/// Maximum length of a line, in bytes.
pub const MAX_LINE: usize = 16 << 20;
/// Maximum number of nodes in a list.
pub const MAX_NODES: usize = 10_000;
/// Maximum number of titles in a list.
pub const MAX_TITLES: usize = 200_000;

/// The phase of a node in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

/// A media node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RosterNode {
    pub id: u32,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    /// The rack of the node is `cell` modulo the number of racks.
    pub cell: u16,
    pub phase: Phase,
    pub size: f64,
    /// When the node's process last started, in seconds since 1970; 0 if that is long ago.
    pub up_since: f64,
}

/// A title, held by the nodes of `cells` consecutive cells from `first_cell`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RosterTitle {
    pub name: String,
    pub first_cell: u16,
    pub cells: u16,
}

/// A message from the roster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RosterMessage {
    /// The complete list.
    Whole { version: u64, nodes: Vec<RosterNode>, titles: Vec<RosterTitle> },
    /// Changed nodes in their new state, including removed ones, and titles that are new or moved to other cells.
    Change { version: u64, nodes: Vec<RosterNode>, titles: Vec<RosterTitle> },
    /// The roster could not answer a request. The shell also reports this when the connection breaks.
    Failed,
}

/// A message to the roster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RosterRequest {
    /// The first message on each connection.
    Hello { director: u32 },
    /// Turns the feed of changes on or off.
    Subscribe { on: bool },
    /// Requests the complete list.
    Whole,
}

/// The reason why a list or a change is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RosterError {
    #[error("{0} nodes or titles are more than are taken")]
    TooMany(usize),
    #[error("node {0}: zone {1:?} is not in the settings")]
    UnknownZone(u32, String),
    #[error("node {0}: kind {1:?} is not in the settings")]
    UnknownKind(u32, String),
    #[error("node {0}: cell {1} of {2}")]
    CellOutOfRange(u32, u16, u16),
    #[error("node {0}: size and up_since have to be numbers of at least 0")]
    InvalidNumber(u32),
    #[error("node {0} is named twice")]
    DuplicateNode(u32),
    #[error("title {0:?}: letters, digits and . _ ~ - are asked for, 1 to 128")]
    InvalidTitleName(String),
    #[error("title {0:?}: cells {1} from {2} of {3}")]
    TitleCellsOutOfRange(String, u16, u16, u16),
    #[error("version {0} after {1}")]
    StaleVersion(u64, u64),
}

/// The list in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterList {
    pub version: u64,
    pub nodes: BTreeMap<u32, RosterNode>,
    pub titles: BTreeMap<String, RosterTitle>,
}

/// Checks nodes and titles against the limits and the settings of the fleet.
///
/// # Errors
/// The first violation found.
pub fn check(nodes: &[RosterNode], titles: &[RosterTitle], fleet: &Fleet) -> Result<(), RosterError> {
    if nodes.len() > MAX_NODES || titles.len() > MAX_TITLES {
        return Err(RosterError::TooMany(nodes.len().max(titles.len())));
    }
    let mut seen = std::collections::BTreeSet::new();
    for node in nodes {
        if !seen.insert(node.id) {
            return Err(RosterError::DuplicateNode(node.id));
        }
        if !fleet.zones.contains(&node.zone) {
            return Err(RosterError::UnknownZone(node.id, node.zone.clone()));
        }
        if !fleet.kinds.contains_key(&node.kind) {
            return Err(RosterError::UnknownKind(node.id, node.kind.clone()));
        }
        if node.cell >= fleet.cells {
            return Err(RosterError::CellOutOfRange(node.id, node.cell, fleet.cells));
        }
        let numbers = [node.size, node.up_since];
        if !numbers.iter().all(|v| v.is_finite() && *v >= 0.0) {
            return Err(RosterError::InvalidNumber(node.id));
        }
    }
    for title in titles {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._~-".contains(&b);
        if title.name.is_empty() || title.name.len() > 128 || !title.name.bytes().all(allowed) {
            return Err(RosterError::InvalidTitleName(title.name.clone()));
        }
        if title.first_cell >= fleet.cells || title.cells == 0 || title.cells > fleet.cells {
            return Err(RosterError::TitleCellsOutOfRange(
                title.name.clone(),
                title.cells,
                title.first_cell,
                fleet.cells,
            ));
        }
    }
    Ok(())
}

impl RosterList {
    /// Applies a message completely or not at all.
    ///
    /// # Errors
    /// The message violates a limit or the settings, or its version is not newer than the list.
    pub fn apply(&mut self, message: &RosterMessage, fleet: &Fleet) -> Result<(), RosterError> {
        match message {
            RosterMessage::Failed => {}
            RosterMessage::Whole { version, nodes, titles } => {
                check(nodes, titles, fleet)?;
                *self = RosterList {
                    version: *version,
                    nodes: nodes.iter().map(|node| (node.id, node.clone())).collect(),
                    titles: titles.iter().map(|title| (title.name.clone(), title.clone())).collect(),
                };
            }
            RosterMessage::Change { version, nodes, titles } => {
                check(nodes, titles, fleet)?;
                if *version <= self.version {
                    return Err(RosterError::StaleVersion(*version, self.version));
                }
                if self.titles.len() + titles.len() > MAX_TITLES || self.nodes.len() + nodes.len() > MAX_NODES
                {
                    return Err(RosterError::TooMany(self.titles.len() + titles.len()));
                }
                self.version = *version;
                for node in nodes {
                    if node.phase == Phase::Gone {
                        self.nodes.remove(&node.id);
                    } else {
                        self.nodes.insert(node.id, node.clone());
                    }
                }
                self.titles.extend(titles.iter().map(|title| (title.name.clone(), title.clone())));
            }
        }
        Ok(())
    }
}
