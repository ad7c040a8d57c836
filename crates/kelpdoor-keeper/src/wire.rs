//! Messages between the keeper of seats and its clients (directors and operators): one JSON line per message.

use kelpdoor_seats::{KeeperRequest, KeeperResponse};
use serde::{Deserialize, Serialize};

/// Maximum length of a line to the keeper, in bytes. The size of a token bounds the names in it.
pub const MAX_LINE: usize = 4096;

/// A message to the keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeeperClientMessage {
    #[serde(rename = "word")]
    Request(KeeperRequest),
    /// Requests the seat counts of all schools, for operators.
    #[serde(rename = "standing")]
    Status,
}

/// The seat counts of one school, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchoolSeatCounts {
    pub school: String,
    /// Seats that the settings give to the school.
    pub bought: u32,
    pub held: u32,
    #[serde(rename = "lent")]
    pub leased: u32,
    pub free: u32,
    /// Held seats whose tokens expire within five minutes.
    pub expiring: u32,
}

/// A message from the keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeeperServerMessage {
    #[serde(rename = "word")]
    Response(KeeperResponse),
    #[serde(rename = "standing")]
    Status { directors: usize, schools: Vec<SchoolSeatCounts> },
    /// The received line is invalid; the keeper closes the connection.
    #[serde(rename = "fault")]
    Error(String),
}
