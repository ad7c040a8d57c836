//! What comes into the desk and what it wants done, as plain data: the shell carries effects out, the journal
//! keeps both, tests and models make inputs up.

use std::net::SocketAddr;

use kelpdoor_api::{FromPlayer, ToPlayer};
use kelpdoor_rtsp::Message;
use kelpdoor_script::Deployment;
use kelpdoor_seats::{KeeperRequest, KeeperResponse};
use kelpdoor_tokens::Entitlement;
use serde::{Deserialize, Serialize};

use crate::roster::{FromRoster, RosterList, ToRoster};

/// What a node's link brings. `link` numbers the connection: words of an earlier one are passed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeWord {
    Up,
    /// It could not be connected; nothing was sent.
    Unreached,
    /// It broke, or the peer sent what is no RTSP.
    Lost,
    #[serde(with = "wire_text")]
    Said(Message),
}

/// What a token that came with a message turned out to be. The token itself stays with its socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Shown {
    Nothing,
    Good(Box<Entitlement>),
    /// Why it is refused, in words for the player.
    Bad(String),
    /// More tokens than are verified in a second.
    TooFast,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// A message from a player on that socket.
    Player {
        sock: u64,
        message: FromPlayer,
    },
    /// A message that came with a token, which is taken out.
    Shown {
        sock: u64,
        message: FromPlayer,
        shown: Shown,
    },
    /// A word of the keeper's of seats.
    Keeper(KeeperResponse),
    /// A socket is gone; its sessions may be taken up on another one.
    SocketLost {
        sock: u64,
    },
    Node {
        node: u32,
        link: u64,
        word: NodeWord,
    },
    Roster(FromRoster),
    /// The list kept from before this start.
    Cached(RosterList),
    /// Other rules are in force, as agreed; `label` names their versions.
    Rules {
        book: Box<Deployment>,
        label: String,
    },
    /// Something new may be begun until then, s; nothing where it is past.
    Lease {
        until: f64,
    },
    /// A SETUP or a change of rung did not leave: the lease was over when its turn came.
    Unsent {
        node: u32,
        link: u64,
        name: u64,
    },
    /// No new sessions from now on; what is owed is answered.
    ShutDown,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// `sess`: the session that it is about, for the log.
    Player {
        sock: u64,
        sess: Option<u64>,
        message: ToPlayer,
    },
    Dial {
        node: u32,
        link: u64,
        address: SocketAddr,
    },
    /// Bytes for a node, whole messages; in the journal as text.
    Node {
        node: u32,
        link: u64,
        #[serde(with = "bytes_text")]
        bytes: Vec<u8>,
    },
    /// A SETUP with its PLAY behind it, or a change of rung, of a director that acts under a lease: it leaves while that
    /// lasts, or not at all.
    Leased {
        node: u32,
        link: u64,
        /// Of a SETUP the one on the wire.
        name: u64,
        #[serde(with = "bytes_text")]
        bytes: Vec<u8>,
    },
    HangUp {
        node: u32,
        link: u64,
    },
    AskRoster(ToRoster),
    /// For the keeper of seats; lost where it cannot be reached, and said again by the desk.
    Keeper(KeeperRequest),
    SaveList(Box<RosterList>),
    /// For the log.
    Note {
        sess: Option<u64>,
        text: String,
    },
    /// The decisions say that they cannot be trusted any more.
    Fault(String),
    /// All is answered and torn down: the shell may end.
    Done,
}

mod wire_text {
    use kelpdoor_rtsp::{Message, parse};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(message: &Message, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&String::from_utf8_lossy(&message.to_bytes()))
    }

    pub fn deserialize<'d, D: Deserializer<'d>>(from: D) -> Result<Message, D::Error> {
        let text = String::deserialize(from)?;
        match parse(text.as_bytes()) {
            Ok(Some((message, _))) => Ok(message),
            Ok(None) => Err(D::Error::custom("half a message")),
            Err(e) => Err(D::Error::custom(e)),
        }
    }
}

mod bytes_text {
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&String::from_utf8_lossy(bytes))
    }

    pub fn deserialize<'d, D: Deserializer<'d>>(from: D) -> Result<Vec<u8>, D::Error> {
        Ok(String::deserialize(from)?.into_bytes())
    }
}
