//! The roster's feed: JSON lines with the media nodes and the titles they hold. Whole lists and changes; a message
//! that does not hold together is refused whole, and the last good list stands.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kelpdoor_script::Fleet;
use serde::{Deserialize, Serialize};

/// Bytes of a line at most.
pub const MAX_LINE: usize = 16 << 20;
pub const MAX_NODES: usize = 10_000;
pub const MAX_TITLES: usize = 200_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RosterNode {
    pub id: u32,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    /// Its rack is the cell modulo the number of racks.
    pub cell: u16,
    pub phase: Phase,
    pub size: f64,
    /// s since 1970; when its process last started, 0: long ago.
    pub up_since: f64,
}

/// A title lies on the nodes of so many cells in a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RosterTitle {
    pub name: String,
    pub first_cell: u16,
    pub cells: u16,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RosterMessage {
    Whole {
        version: u64,
        nodes: Vec<RosterNode>,
        titles: Vec<RosterTitle>,
    },
    /// Nodes as they are now, gone ones included; titles that are new or lie elsewhere.
    Change {
        version: u64,
        nodes: Vec<RosterNode>,
        titles: Vec<RosterTitle>,
    },
    /// The roster could not answer what was asked; also said by the shell when the feed breaks.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RosterRequest {
    /// First on each connection.
    Hello {
        director: u32,
    },
    Subscribe {
        on: bool,
    },
    Whole,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RosterError {
    #[error("{0} nodes or titles are more than are taken")]
    TooMany(usize),
    #[error("node {0}: zone {1:?} is not in the settings")]
    Zone(u32, String),
    #[error("node {0}: kind {1:?} is not in the settings")]
    Kind(u32, String),
    #[error("node {0}: cell {1} of {2}")]
    Cell(u32, u16, u16),
    #[error("node {0}: size and up_since have to be numbers of at least 0")]
    Number(u32),
    #[error("node {0} is named twice")]
    Twice(u32),
    #[error("title {0:?}: letters, digits and . _ ~ - are asked for, 1 to 128")]
    Name(String),
    #[error("title {0:?}: cells {1} from {2} of {3}")]
    Cells(String, u16, u16, u16),
    #[error("version {0} after {1}")]
    Version(u64, u64),
}

/// The list as it stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterList {
    pub version: u64,
    pub nodes: BTreeMap<u32, RosterNode>,
    pub titles: BTreeMap<String, RosterTitle>,
}

/// Checks nodes and titles against the settings.
pub fn check(nodes: &[RosterNode], titles: &[RosterTitle], fleet: &Fleet) -> Result<(), RosterError> {
    if nodes.len() > MAX_NODES || titles.len() > MAX_TITLES {
        return Err(RosterError::TooMany(nodes.len().max(titles.len())));
    }
    let mut seen = std::collections::BTreeSet::new();
    for n in nodes {
        if !seen.insert(n.id) {
            return Err(RosterError::Twice(n.id));
        }
        if !fleet.zones.contains(&n.zone) {
            return Err(RosterError::Zone(n.id, n.zone.clone()));
        }
        if !fleet.kinds.contains_key(&n.kind) {
            return Err(RosterError::Kind(n.id, n.kind.clone()));
        }
        if n.cell >= fleet.cells {
            return Err(RosterError::Cell(n.id, n.cell, fleet.cells));
        }
        let numbers = [n.size, n.up_since];
        if !numbers.iter().all(|v| v.is_finite() && *v >= 0.0) {
            return Err(RosterError::Number(n.id));
        }
    }
    for t in titles {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"._~-".contains(&b);
        if t.name.is_empty() || t.name.len() > 128 || !t.name.bytes().all(plain) {
            return Err(RosterError::Name(t.name.clone()));
        }
        if t.first_cell >= fleet.cells || t.cells == 0 || t.cells > fleet.cells {
            return Err(RosterError::Cells(t.name.clone(), t.cells, t.first_cell, fleet.cells));
        }
    }
    Ok(())
}

impl RosterList {
    /// Takes a message in whole, or not at all.
    pub fn apply(&mut self, message: &RosterMessage, fleet: &Fleet) -> Result<(), RosterError> {
        match message {
            RosterMessage::Failed => {}
            RosterMessage::Whole { version, nodes, titles } => {
                check(nodes, titles, fleet)?;
                *self = RosterList {
                    version: *version,
                    nodes: nodes.iter().map(|n| (n.id, n.clone())).collect(),
                    titles: titles.iter().map(|t| (t.name.clone(), t.clone())).collect(),
                };
            }
            RosterMessage::Change { version, nodes, titles } => {
                check(nodes, titles, fleet)?;
                if *version <= self.version {
                    return Err(RosterError::Version(*version, self.version));
                }
                if self.titles.len() + titles.len() > MAX_TITLES || self.nodes.len() + nodes.len() > MAX_NODES
                {
                    return Err(RosterError::TooMany(self.titles.len() + titles.len()));
                }
                self.version = *version;
                for n in nodes {
                    if n.phase == Phase::Gone {
                        self.nodes.remove(&n.id);
                    } else {
                        self.nodes.insert(n.id, n.clone());
                    }
                }
                self.titles.extend(titles.iter().map(|t| (t.name.clone(), t.clone())));
            }
        }
        Ok(())
    }
}
