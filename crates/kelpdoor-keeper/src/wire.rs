//! What crosses the socket between directors, operators and the keeper: a JSON line for each message.

use kelpdoor_seats::{KeeperRequest, KeeperResponse};
use serde::{Deserialize, Serialize};

/// Bytes of a line to the keeper at most; names within it are bounded by the token's size.
pub const MAX_LINE: usize = 4096;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeeperClientMessage {
    #[serde(rename = "word")]
    Request(KeeperRequest),
    /// Requests the seat counts of all schools, for operators.
    #[serde(rename = "standing")]
    Status,
}

/// A school's seats as operators see them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchoolSeatCounts {
    pub school: String,
    pub bought: u32,
    pub held: u32,
    #[serde(rename = "lent")]
    pub leased: u32,
    pub free: u32,
    /// Held by tokens that run out within five minutes.
    pub expiring: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeeperServerMessage {
    #[serde(rename = "word")]
    Response(KeeperResponse),
    #[serde(rename = "standing")]
    Status { directors: usize, schools: Vec<SchoolSeatCounts> },
    /// That line was none; the connection ends.
    #[serde(rename = "fault")]
    Error(String),
}
