//! The session API that players speak: JSON text messages over WebSocket (RFC 6455), subprotocol
//! [`SUBPROTOCOL`]. Types, their reading with plain errors, and the JSON schema. No I/O, no state.
//! `docs/session-api.md` describes it for those who write players.

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// What a player names in `Sec-WebSocket-Protocol`; the version is part of it.
pub const SUBPROTOCOL: &str = "kelpdoor.session.v1";
/// Bytes of a message from a player at most.
pub const MAX_MESSAGE_BYTES: usize = 4096;
/// Bytes of an entitlement token at most.
pub const MAX_TOKEN_BYTES: usize = 2048;
/// Minimum length of a request key in bytes: long enough that nobody guesses another's key.
pub const MIN_KEY_BYTES: usize = 8;
/// Maximum length of a request key in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Bytes of a group's or title's name at most.
pub const MAX_NAME_BYTES: usize = 128;
/// Seconds; the longest setup timeout taken.
pub const MAX_SETUP_TIMEOUT: f64 = 60.0;

/// A player's own name for one request; a retry carries the same one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
pub struct RequestKey(pub String);

/// From the player.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
#[schemars(tag = "type")]
pub enum FromPlayer {
    /// Asks for a session, or, with a key already used, for the answer to that request once more.
    Start {
        key: RequestKey,
        group: String,
        title: String,
        /// Highest rung that the viewer can use, from 0.
        best_rung: u8,
        /// Seconds until the viewer gives up.
        setup_timeout: f64,
        /// An entitlement (JWT), for groups that need one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        token: Option<String>,
    },
    /// Shows a token with the same school and id and a later expiry, for a session that runs.
    Renew { key: RequestKey, token: String },
    /// The viewer is done, or no longer wants the answer.
    Stop { key: RequestKey },
    /// Asks for a `pong` with the same number.
    Ping { n: u64 },
}

/// To the player. `playing`, `busy` and `failed` are final answers: one for each request key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(tag = "type")]
pub enum ToPlayer {
    /// The session plays from that address at that rung; a lost socket leaves it for `resume_for` seconds.
    Playing {
        key: RequestKey,
        uri: String,
        rung: u8,
        resume_for: f64,
    },
    /// Not now; asking again, with a new key and after `come_back` seconds where given, does no harm.
    Busy {
        key: RequestKey,
        come_back: Option<f64>,
    },
    /// It failed, and may have run.
    Failed {
        key: RequestKey,
        why: FailureReason,
    },
    /// The session's rung is another from now on.
    Rung {
        key: RequestKey,
        rung: u8,
    },
    /// The session's token runs out; unless it is renewed, the session ends `after` seconds from now.
    Expiring {
        key: RequestKey,
        after: f64,
    },
    /// The session's token is good for so many seconds from now.
    Renewed {
        key: RequestKey,
        lasts: f64,
    },
    /// A session that played is over.
    Ended {
        key: RequestKey,
        why: EndReason,
    },
    /// That message was not taken; nothing else is touched.
    Error {
        key: Option<RequestKey>,
        code: ErrorCode,
        message: String,
    },
    Pong {
        n: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "FailedWhy")]
pub enum FailureReason {
    /// No SETUP came to an answer in time, and it cannot be shown that none ran.
    NoAnswer,
    /// The player stopped it before an answer.
    Stopped,
    /// Its token expired before an answer.
    Expired,
    /// Its token's seat went to a later request.
    SeatMoved,
    /// Its seat could not be kept: the keeper of seats was away for too long.
    SeatLost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "EndedWhy")]
pub enum EndReason {
    /// The player asked.
    Stopped,
    /// The title is over.
    Finished,
    /// Its node was lost; the viewer may start anew with a new key.
    NodeLost,
    /// The director took it off its node; the viewer may start anew with a new key.
    Shifted,
    /// The director shuts down.
    Closing,
    /// Its token expired without a renewal.
    Expired,
    /// Its token's seat went to a later request, here or at another director.
    SeatMoved,
    /// Its seat could not be kept: the keeper of seats was away for too long.
    SeatLost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// Not JSON, an unknown type, or a field that is missing, unknown or out of range.
    BadMessage,
    UnknownGroup,
    UnknownTitle,
    /// The viewer's best rung is under the group's floor.
    RungTooLow,
    /// The key stands for another request.
    KeyConflict,
    /// No session has that key.
    UnknownKey,
    /// More messages or tokens a second than a socket may send, or more tokens than the director verifies.
    TooFast,
    /// The group needs a token, and none came.
    TokenMissing,
    /// The token is not taken; the message says why, and what helps.
    TokenRefused,
}

/// Why a text is no message of a player.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    #[error("{0} bytes, {MAX_MESSAGE_BYTES} at most")]
    TooLong(usize),
    #[error("not a message: {0}")]
    Malformed(String),
    #[error(
        "key: {len} bytes of letters, digits, - and _ are asked for, {} to {}",
        MIN_KEY_BYTES,
        MAX_KEY_BYTES
    )]
    Key { len: usize },
    #[error("{field}: {len} bytes, 1 to {MAX_NAME_BYTES} are allowed")]
    Name { field: &'static str, len: usize },
    #[error("token: {len} bytes, 1 to {MAX_TOKEN_BYTES} are allowed")]
    Token { len: usize },
    #[error("setup_timeout: {0}, above 0 and up to {MAX_SETUP_TIMEOUT} s are allowed")]
    SetupTimeout(String),
}

/// Reads `{"type": "x", ..}` as the variant `x`. Not by serde's own tagging: that reads numbers into a buffer
/// first, which fails for fractions once any crate of the program asks serde_json for arbitrary precision.
fn untag<T: DeserializeOwned>(text: &str) -> Result<T, serde_json::Error> {
    let mut fields: Map<String, Value> = serde_json::from_str(text)?;
    let Some(Value::String(kind)) = fields.remove("type") else {
        return Err(serde::de::Error::missing_field("type"));
    };
    serde_json::from_value(Value::Object(Map::from_iter([(kind, Value::Object(fields))])))
}

/// Writes the variant `x` as `{"type": "x", ..}`.
fn tag(message: &impl Serialize) -> String {
    let Ok(Value::Object(outer)) = serde_json::to_value(message) else {
        unreachable!("variants with fields")
    };
    let (kind, fields) = outer.into_iter().next().expect("one variant");
    let mut all = Map::from_iter([("type".to_owned(), Value::String(kind))]);
    if let Value::Object(fields) = fields {
        all.extend(fields);
    }
    Value::Object(all).to_string()
}

impl FromPlayer {
    /// Reads and checks a message.
    ///
    /// # Errors
    /// A [`MessageError`] that names the field, for the `error` message to the player.
    pub fn parse(text: &str) -> Result<Self, MessageError> {
        if text.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(text.len()));
        }
        let message: FromPlayer = untag(text).map_err(|e| MessageError::Malformed(e.to_string()))?;
        let token = match &message {
            FromPlayer::Start { token, .. } => token.as_deref(),
            FromPlayer::Renew { token, .. } => Some(token.as_str()),
            _ => None,
        };
        if let Some(len) = token.map(str::len).filter(|len| !(1..=MAX_TOKEN_BYTES).contains(len)) {
            return Err(MessageError::Token { len });
        }
        if let FromPlayer::Start { key, .. } | FromPlayer::Stop { key } | FromPlayer::Renew { key, .. } =
            &message
        {
            let plain = key.0.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
            let len = key.0.len();
            if !plain || !(MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&len) {
                return Err(MessageError::Key { len });
            }
        }
        if let FromPlayer::Start { group, title, setup_timeout, .. } = &message {
            for (field, name) in [("group", group), ("title", title)] {
                if name.is_empty() || name.len() > MAX_NAME_BYTES {
                    return Err(MessageError::Name { field, len: name.len() });
                }
            }
            if !(*setup_timeout > 0.0 && *setup_timeout <= MAX_SETUP_TIMEOUT) {
                return Err(MessageError::SetupTimeout(setup_timeout.to_string()));
            }
        }
        Ok(message)
    }

    pub fn text(&self) -> String {
        tag(self)
    }
}

impl ToPlayer {
    /// Reads a director's message, as a player does.
    ///
    /// # Errors
    /// What is wrong with the text.
    pub fn parse(text: &str) -> Result<Self, MessageError> {
        untag(text).map_err(|e| MessageError::Malformed(e.to_string()))
    }

    pub fn text(&self) -> String {
        tag(self)
    }

    /// The request that it is about.
    pub fn key(&self) -> Option<&RequestKey> {
        match self {
            ToPlayer::Playing { key, .. }
            | ToPlayer::Busy { key, .. }
            | ToPlayer::Failed { key, .. }
            | ToPlayer::Rung { key, .. }
            | ToPlayer::Expiring { key, .. }
            | ToPlayer::Renewed { key, .. }
            | ToPlayer::Ended { key, .. } => Some(key),
            ToPlayer::Error { key, .. } => key.as_ref(),
            ToPlayer::Pong { .. } => None,
        }
    }

    pub fn is_final(&self) -> bool {
        matches!(self, ToPlayer::Playing { .. } | ToPlayer::Busy { .. } | ToPlayer::Failed { .. })
    }
}

/// The JSON schema (2020-12) of both directions.
pub fn schema() -> serde_json::Value {
    serde_json::json!({
        "from_player": schemars::schema_for!(FromPlayer),
        "to_player": schemars::schema_for!(ToPlayer),
    })
}
