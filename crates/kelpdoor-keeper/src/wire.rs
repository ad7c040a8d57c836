//! What crosses the socket between directors, operators and the keeper: a JSON line for each message.

use kelpdoor_seats::{KeeperRequest, KeeperResponse};
use serde::{Deserialize, Serialize};

/// Bytes of a line to the keeper at most; names within it are bounded by the token's size.
pub const MAX_LINE: usize = 4096;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    Word(KeeperRequest),
    /// How all schools stand, for operators.
    Standing,
}

/// A school's seats as operators see them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchoolStanding {
    pub school: String,
    pub bought: u32,
    pub held: u32,
    pub lent: u32,
    pub free: u32,
    /// Held by tokens that run out within five minutes.
    pub expiring: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tell {
    Word(KeeperResponse),
    Standing {
        directors: usize,
        schools: Vec<SchoolStanding>,
    },
    /// That line was none; the connection ends.
    Fault(String),
}
