//! A session as the desk holds it, from the moment its request is read to when its answer is forgotten.

use kelpdoor::round::NewSession;
use kelpdoor_api::{RequestKey, ToPlayer};
use kelpdoor_seats::{School, TokenId};

/// The SETUP that is out, or that the session plays by.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub number: u8,
    pub node: u32,
    /// The connection it went out on.
    pub link: u64,
    /// Its name on the wire until the node gives it a session id.
    pub pipe: u64,
    /// Counts the changes of rules before it was decided.
    pub rules: u64,
    /// Not yet while the link is being connected.
    pub sent: bool,
    pub sent_at: f64,
    /// The node's id for it, once SETUP is answered.
    pub rtsp: Option<String>,
    pub play_ok: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its one final answer is owed.
    Asked,
    Playing,
    /// A TEARDOWN is out, the decisions still count it.
    Ending,
    Over,
}

/// The seat that a session has, or waits for.
#[derive(Clone, Debug)]
pub struct Seat {
    pub name: (School, TokenId),
    pub expires: f64,
    /// A timer looks at its end.
    pub watched: bool,
    /// The decisions do not know of the session yet.
    pub waiting: bool,
}

#[derive(Clone, Debug)]
pub struct Session {
    pub key: RequestKey,
    pub sock: Option<u64>,
    pub losses: u32,
    pub group: u8,
    pub title_name: String,
    /// When the answer is due, and when the player gives up.
    pub due: f64,
    pub deadline: f64,
    pub stage: Stage,
    pub rung: u8,
    pub seat: Option<Seat>,
    /// What the decisions are given when it has its seat.
    pub wanted: Option<NewSession>,
    pub attempt: Option<Attempt>,
    pub setups: u8,
    /// The final answer, said again to each retry.
    pub answer: Option<ToPlayer>,
    pub ended: Option<ToPlayer>,
}
