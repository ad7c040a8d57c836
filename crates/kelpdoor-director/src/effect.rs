//! Inputs and effects of the [`DirectorCore`](crate::DirectorCore) as plain data. The shell carries effects out, the
//! journal records both, and tests make up inputs. Attributes keep the names that journals have on disk.

use std::net::SocketAddr;

use kelpdoor_api::{FromPlayer, ToPlayer};
use kelpdoor_rtsp::Message;
use kelpdoor_script::Deployment;
use kelpdoor_seats::{KeeperRequest, KeeperResponse};
use kelpdoor_tokens::Entitlement;
use serde::{Deserialize, Serialize};

use crate::roster::{RosterList, RosterMessage, RosterRequest};

/// An event on the connection to a media node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeEvent {
    #[serde(rename = "Up")]
    Connected,
    /// The connection attempt failed; nothing was sent.
    #[serde(rename = "Unreached")]
    ConnectFailed,
    /// The connection broke, or the peer sent bytes that are not RTSP.
    #[serde(rename = "Lost")]
    ConnectionLost,
    /// The node sent a complete RTSP message.
    #[serde(rename = "Said", with = "wire_text")]
    Received(Message),
}

/// The result of verifying the token of a message. The token itself does not enter the core.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TokenCheck {
    /// The message has no token.
    #[serde(rename = "Nothing")]
    Missing,
    #[serde(rename = "Good")]
    Valid(Box<Entitlement>),
    /// The token is refused; the text tells the player why.
    #[serde(rename = "Bad")]
    Refused(String),
    /// More tokens arrived than are verified per second.
    TooFast,
}

/// An input of the core.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// A message without a token from a player on socket `sock`.
    Player {
        sock: u64,
        message: FromPlayer,
    },
    /// A message that came with a token. The token is removed from the message; `check` is its verification result.
    #[serde(rename = "Shown")]
    PlayerWithToken {
        sock: u64,
        message: FromPlayer,
        #[serde(rename = "shown")]
        check: TokenCheck,
    },
    /// A response of the seat keeper.
    Keeper(KeeperResponse),
    /// A player's socket is closed; its sessions may resume on another one.
    SocketLost {
        sock: u64,
    },
    /// An event on a node's connection. `link` is the number of the connection; events of earlier ones are ignored.
    Node {
        node: u32,
        link: u64,
        #[serde(rename = "word")]
        event: NodeEvent,
    },
    Roster(RosterMessage),
    /// The node list that was saved before this start.
    Cached(RosterList),
    /// Other agreed rules are in force; `label` names their versions.
    Rules {
        #[serde(rename = "book")]
        deployment: Box<Deployment>,
        label: String,
    },
    /// The lease on the rules: new sessions may begin until `until`, in seconds since 1970.
    Lease {
        until: f64,
    },
    /// The bytes of an [`Effect::Leased`] were not sent, because the lease had expired when their turn came.
    Unsent {
        node: u32,
        link: u64,
        #[serde(rename = "name")]
        batch: u64,
    },
    /// Begin no new sessions from now on; pending requests are still answered.
    ShutDown,
}

/// An action that the shell carries out for the core.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to the player on socket `sock`. `sess` is its session, for the log.
    Player {
        sock: u64,
        sess: Option<u64>,
        message: ToPlayer,
    },
    /// Open connection number `link` to a node.
    Dial {
        node: u32,
        link: u64,
        address: SocketAddr,
    },
    /// Send complete messages to a node. The journal holds the bytes as text.
    Node {
        node: u32,
        link: u64,
        #[serde(with = "bytes_text")]
        bytes: Vec<u8>,
    },
    /// Send either a SETUP followed by its PLAY, or a change of rung, while the lease is valid. After that the shell
    /// drops the bytes and reports [`Input::Unsent`].
    Leased {
        node: u32,
        link: u64,
        /// Identifies the requests. A SETUP and its PLAY share the number in the SETUP's Pipelined-Requests header.
        #[serde(rename = "name")]
        batch: u64,
        #[serde(with = "bytes_text")]
        bytes: Vec<u8>,
    },
    /// Close a node's connection.
    #[serde(rename = "HangUp")]
    Disconnect {
        node: u32,
        link: u64,
    },
    /// Send a request to the roster.
    #[serde(rename = "AskRoster")]
    RequestRoster(RosterRequest),
    /// Send a request to the seat keeper. It is dropped if the keeper is unreachable; the core retries it.
    Keeper(KeeperRequest),
    SaveList(Box<RosterList>),
    /// Write a log line. Journals contain its text and a replay compares it, so texts of the core stay as they are.
    #[serde(rename = "Note")]
    Log {
        sess: Option<u64>,
        text: String,
    },
    /// The placement logic reports that its own state is inconsistent.
    Fault(String),
    /// Shutdown is complete: every request is answered and every session is torn down.
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
            Ok(None) => Err(D::Error::custom("incomplete RTSP message")),
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
