//! The session API between players and a director: JSON text messages over WebSocket (RFC 6455) with the subprotocol
//! [`SUBPROTOCOL`].
//!
//! The crate holds the message types, their validation and their JSON schema; it keeps no state and does no I/O.
//! `docs/session-api.md` describes the API for authors of players.

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The subprotocol, with its version, that a player requests in `Sec-WebSocket-Protocol`.
pub const SUBPROTOCOL: &str = "kelpdoor.session.v1";
/// Maximum length of a message from a player in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4096;
/// Maximum length of an entitlement token in bytes.
pub const MAX_TOKEN_BYTES: usize = 2048;
/// Minimum length of a request key in bytes: long enough that nobody guesses another's key.
pub const MIN_KEY_BYTES: usize = 8;
/// Maximum length of a request key in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Maximum length of the name of a group or title in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Longest setup timeout accepted, in seconds.
pub const MAX_SETUP_TIMEOUT: f64 = 60.0;

/// The player's own identifier of one request; a retry carries the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
pub struct RequestKey(pub String);

/// Message from a player to a director.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
#[schemars(tag = "type")]
pub enum FromPlayer {
    /// Requests a session. With a key that was used before, requests the answer to that request again.
    Start {
        key: RequestKey,
        group: String,
        title: String,
        /// Highest rung that the viewer can play, from 0.
        best_rung: u8,
        /// Seconds after which the viewer gives up.
        setup_timeout: f64,
        /// Entitlement token (JWT), for groups that require one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        token: Option<String>,
    },
    /// Presents a token with the same school and id and a later expiry for a running session.
    Renew { key: RequestKey, token: String },
    /// Ends the session, or withdraws the request before its answer.
    Stop { key: RequestKey },
    /// Requests a `pong` with the same number.
    Ping { n: u64 },
}

/// Message from a director to a player. `playing`, `busy` and `failed` are final answers; each request key gets one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(tag = "type")]
pub enum ToPlayer {
    /// The session plays from `uri` at `rung`. It outlives the loss of its socket by `resume_for` seconds.
    Playing {
        key: RequestKey,
        uri: String,
        rung: u8,
        resume_for: f64,
    },
    /// The request cannot be served now. It may safely be repeated with a new key, after `come_back` seconds if given.
    Busy {
        key: RequestKey,
        come_back: Option<f64>,
    },
    /// The request failed, and its set-up may have run.
    Failed {
        key: RequestKey,
        why: FailureReason,
    },
    /// The session continues at this rung.
    Rung {
        key: RequestKey,
        rung: u8,
    },
    /// The session's token expires soon. Unless it is renewed, the session ends in `after` seconds.
    Expiring {
        key: RequestKey,
        after: f64,
    },
    /// The session's token was renewed and is valid for `lasts` seconds from now.
    Renewed {
        key: RequestKey,
        lasts: f64,
    },
    /// A session that played has ended.
    Ended {
        key: RequestKey,
        why: EndReason,
    },
    /// The player's message was rejected. Other requests and sessions are unaffected.
    Error {
        key: Option<RequestKey>,
        code: ErrorCode,
        message: String,
    },
    Pong {
        n: u64,
    },
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "FailedWhy")]
pub enum FailureReason {
    /// No SETUP was answered in time, and it cannot be proved that none ran.
    NoAnswer,
    /// The player stopped the request before an answer.
    Stopped,
    /// The token expired before an answer.
    Expired,
    /// The token's seat went to a later request.
    SeatMoved,
    /// The seat could not be kept, because the keeper of seats was unreachable for too long.
    SeatLost,
}

/// Why a session that played has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "EndedWhy")]
pub enum EndReason {
    /// The player stopped the session.
    Stopped,
    /// The title ended.
    Finished,
    /// The media node was lost; the viewer may start again with a new key.
    NodeLost,
    /// The director removed the session from its media node; the viewer may start again with a new key.
    Shifted,
    /// The director shuts down.
    Closing,
    /// The token expired without a renewal.
    Expired,
    /// The token's seat went to a later request, at this or another director.
    SeatMoved,
    /// The seat could not be kept, because the keeper of seats was unreachable for too long.
    SeatLost,
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// Not JSON, an unknown type, or a field that is missing, unknown or out of range.
    BadMessage,
    UnknownGroup,
    UnknownTitle,
    /// The viewer's best rung is below the group's lowest rung.
    RungTooLow,
    /// The key was used for a different request.
    KeyConflict,
    /// No session has this key.
    UnknownKey,
    /// The socket exceeds its rate of messages or tokens, or the director its rate of token verifications.
    TooFast,
    /// The group requires a token and none was sent.
    TokenMissing,
    /// The token was rejected; `message` gives the reason and the remedy.
    TokenRefused,
}

/// Why a text is not a valid message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES}")]
    TooLong(usize),
    #[error("malformed message: {0}")]
    Malformed(String),
    #[error("key: {len} bytes, must be {} to {} letters, digits, - and _", MIN_KEY_BYTES, MAX_KEY_BYTES)]
    Key { len: usize },
    #[error("{field}: {len} bytes, must be 1 to {MAX_NAME_BYTES}")]
    Name { field: &'static str, len: usize },
    #[error("token: {len} bytes, must be 1 to {MAX_TOKEN_BYTES}")]
    Token { len: usize },
    #[error("setup_timeout: {0} s, must be above 0 and at most {MAX_SETUP_TIMEOUT}")]
    SetupTimeout(String),
}

/// Deserializes `{"type": "x", ..}` as the variant `x`. Serde's internal tagging is not used: it buffers numbers, which
/// fails for fractions as soon as any crate of the program enables serde_json's `arbitrary_precision`.
fn parse_tagged<T: DeserializeOwned>(text: &str) -> Result<T, serde_json::Error> {
    let mut fields: Map<String, Value> = serde_json::from_str(text)?;
    let Some(Value::String(kind)) = fields.remove("type") else {
        return Err(serde::de::Error::missing_field("type"));
    };
    serde_json::from_value(Value::Object(Map::from_iter([(kind, Value::Object(fields))])))
}

/// Serializes the variant `x` as `{"type": "x", ..}`.
fn write_tagged(message: &impl Serialize) -> String {
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
    /// Parses and validates a message.
    ///
    /// # Errors
    /// A [`MessageError`] that names the bad field, for the `error` message to the player.
    pub fn parse(text: &str) -> Result<Self, MessageError> {
        if text.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(text.len()));
        }
        let message: FromPlayer = parse_tagged(text).map_err(|e| MessageError::Malformed(e.to_string()))?;
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

    /// The message as JSON text.
    pub fn text(&self) -> String {
        write_tagged(self)
    }
}

impl ToPlayer {
    /// Parses a message, as a player does.
    ///
    /// # Errors
    /// A [`MessageError`] if the text is malformed.
    pub fn parse(text: &str) -> Result<Self, MessageError> {
        parse_tagged(text).map_err(|e| MessageError::Malformed(e.to_string()))
    }

    /// The message as JSON text.
    pub fn text(&self) -> String {
        write_tagged(self)
    }

    /// Key of the request that the message refers to.
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

    /// Whether the message is the final answer to its request.
    pub fn is_final(&self) -> bool {
        matches!(self, ToPlayer::Playing { .. } | ToPlayer::Busy { .. } | ToPlayer::Failed { .. })
    }
}

/// The JSON schemas (2020-12) of the messages in both directions.
pub fn schema() -> serde_json::Value {
    serde_json::json!({
        "from_player": schemars::schema_for!(FromPlayer),
        "to_player": schemars::schema_for!(ToPlayer),
    })
}
