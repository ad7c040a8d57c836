//! The state of a session, from the arrival of its request until its answer is forgotten. Times in seconds.

use kelpdoor::round::NewSession;
use kelpdoor_api::{RequestKey, ToPlayer};
use kelpdoor_seats::{School, TokenId};

/// The outstanding SETUP, or the one that the session plays by.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub number: u8,
    pub node: u32,
    /// Number of the connection on which the SETUP was sent.
    pub link: u64,
    /// Pipeline id that names the session on the wire until the node assigns a session id.
    pub batch: u64,
    /// Number of rule changes before the placement logic ordered this SETUP.
    pub rule_changes: u64,
    /// Whether the SETUP was sent; it is not while the link is connecting.
    pub sent: bool,
    pub sent_at: f64,
    /// The node's session id, known once the SETUP has succeeded.
    pub rtsp_id: Option<String>,
    pub play_ok: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The final answer is pending.
    Pending,
    Playing,
    /// A TEARDOWN is outstanding; the placement logic still counts the session.
    TearingDown,
    Finished,
}

/// The seat that a session has or waits for.
#[derive(Clone, Debug)]
pub struct Seat {
    pub id: (School, TokenId),
    pub expires: f64,
    /// A timer for the expiry of the token is set.
    pub expiry_timer_set: bool,
    /// The seat is not granted yet, and the placement logic does not know the session.
    pub waiting: bool,
}

#[derive(Clone, Debug)]
pub struct Session {
    pub key: RequestKey,
    pub sock: Option<u64>,
    /// Number of times that the session got or lost a socket.
    pub socket_changes: u32,
    pub group: u8,
    pub title: String,
    /// When the final answer is due.
    pub answer_due_at: f64,
    /// When the player gives up.
    pub player_deadline: f64,
    pub stage: Stage,
    pub rung: u8,
    pub seat: Option<Seat>,
    /// The request for the placement logic, until it is passed on.
    pub request: Option<NewSession>,
    pub attempt: Option<Attempt>,
    pub setup_count: u8,
    /// The final answer, repeated to each retry.
    pub final_answer: Option<ToPlayer>,
    /// The message that the session ended, repeated to each retry.
    pub ended_message: Option<ToPlayer>,
}
