//! Messages exchanged with viewers: one JSON object per line, with a type, a session id, fields, and, where
//! they apply, a cause and a session description. Parsing validates every number, so that the rest of the
//! program relies on it.

use std::hash::{DefaultHasher, Hash, Hasher};

use kelpdoor::ids::{SessId, TitleId};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum size of a line in bytes, including its line feed.
pub const MAX_LINE: usize = 16 << 10;
/// Maximum size of a description in bytes: with its headers it has to fit into a message to a node.
pub const MAX_DESCRIPTION: usize = 15 << 10;
/// Maximum time in ms that a viewer waits.
const MAX_WAIT_MS: f64 = 600_000.0;
/// Maximum length of a title or a node's name in characters.
const MAX_NAME_LENGTH: usize = 64;

/// Cause values (ITU-T Q.850, table 1).
pub mod cause {
    /// A set-up was cancelled, or a session ended normally.
    pub const NORMAL_CLEARING: u32 = 16;
    /// A session was moved, or ended by its viewer, who gets no report of it.
    pub const NORMAL_UNSPECIFIED: u32 = 31;
    /// A session was cut, or a set-up failed.
    pub const TEMPORARY_FAILURE: u32 = 41;
    /// A set-up was refused without effect; it is safe to retry.
    pub const CONGESTION: u32 = 42;
    /// The message has invalid contents.
    pub const INVALID_CONTENTS: u32 = 100;
    /// The message cannot be parsed.
    pub const PROTOCOL_ERROR: u32 = 111;
}

/// A set-up request of a viewer.
#[derive(Clone, Debug, PartialEq)]
pub struct SetupRequest {
    pub class: String,
    /// s; how long the viewer waits, from when it sent the request.
    pub time_left: f64,
    /// The title as it was sent, and the id that the session logic uses for it.
    pub key: String,
    pub title: TitleId,
    pub first_cell: u16,
    pub cells: u16,
    pub best_rung: u8,
    /// The media node on which the session is already active, for a session that is handed over.
    pub at: Option<String>,
    pub blob: String,
}

impl SetupRequest {
    /// Equal for a request and its repetition, which has less time left and may carry other marks.
    pub fn digest(&self) -> RequestDigest {
        let mut hasher = DefaultHasher::new();
        (&self.class, &self.key, &self.blob).hash(&mut hasher);
        RequestDigest(hasher.finish())
    }
}

/// Identifies a request by its contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestDigest(u64);

#[derive(Clone, Debug, PartialEq)]
pub enum ViewerMessage {
    Start(SessId, Box<SetupRequest>),
    /// Cancels a set-up, or ends an active session.
    Finish(SessId),
    /// Asks for a [`Reply::Echoed`].
    Echo(SessId),
    /// Needs no action: progress, notices and the like.
    Ignored,
}

/// An invalid line, and the session id that it names, if that can be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageError {
    pub sess: Option<SessId>,
    pub cause: u32,
    pub why: String,
}

/// The fields in use. Others are skipped without being stored, however many there are.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Options {
    class: Option<Value>,
    left: Option<Value>,
    key: Option<Value>,
    extras: Option<Value>,
}

#[derive(Deserialize)]
struct RawMessage {
    verb: String,
    tag: String,
    #[serde(default)]
    opts: Options,
    #[serde(default)]
    rc: Option<Value>,
    #[serde(default)]
    blob: Option<String>,
}

/// Parses a session id of 16 lower-case hexadecimal digits. Other forms are rejected, as they could not be
/// sent back unchanged.
pub fn parse_session_id(tag: &str) -> Option<SessId> {
    let digits = tag.len() == 16 && tag.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    digits.then(|| u64::from_str_radix(tag, 16).ok().map(SessId)).flatten()
}

/// Formats a session id as [`parse_session_id`] expects it.
pub fn format_session_id(sess: SessId) -> String {
    format!("{:016x}", sess.0)
}

fn parse_number(value: &Value) -> Option<f64> {
    let n = match value {
        Value::Number(n) => n.as_f64(),
        Value::String(s) => s.parse().ok(),
        _ => None,
    };
    n.filter(|n| n.is_finite())
}

fn parse_bounded(text: &str, max: u16) -> Option<u16> {
    text.parse().ok().filter(|&n| n <= max)
}

/// Hash of a title, so that no table of titles is needed.
fn hash_title(title: &str) -> TitleId {
    let mut hasher = DefaultHasher::new();
    title.hash(&mut hasher);
    TitleId(hasher.finish())
}

fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_LENGTH
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

fn parse_setup(opts: &Options, blob: Option<String>) -> Result<SetupRequest, String> {
    let text = |field: &Option<Value>| field.as_ref().and_then(Value::as_str).map(str::to_owned);
    let class = text(&opts.class).ok_or("missing class")?;
    let time_left_ms = opts.left.as_ref().and_then(parse_number).ok_or("left is not a number")?;
    let key = text(&opts.key).filter(|k| is_valid_name(k)).ok_or("key is not a valid title")?;
    let (mut first_cell, mut cells, mut best_rung, mut at) = (None, None, None, None);
    for pair in text(&opts.extras).unwrap_or_default().split(';').filter(|p| !p.is_empty()) {
        let (key, value) =
            pair.split_once(':').ok_or_else(|| format!("extras: {pair:?} is not a key:value pair"))?;
        match key {
            "home" => {
                first_cell = Some(parse_bounded(value, u16::MAX).ok_or("extras: home is out of range")?)
            }
            "copies" => cells = Some(parse_bounded(value, u16::MAX).ok_or("extras: copies is out of range")?),
            "top" => best_rung = Some(parse_bounded(value, 255).ok_or("extras: top is out of range")? as u8),
            "at" => at = Some(value).filter(|v| is_valid_name(v)).map(str::to_owned),
            _ => {}
        }
    }
    // A session that is already active waits for nothing.
    if at.is_none() && (time_left_ms <= 0.0 || time_left_ms > MAX_WAIT_MS) {
        return Err(format!("left is {time_left_ms:e}, must be above 0 and at most {MAX_WAIT_MS}"));
    }
    let blob = blob.ok_or("missing description")?;
    if blob.len() > MAX_DESCRIPTION {
        return Err(format!("description of {} bytes, at most {MAX_DESCRIPTION} allowed", blob.len()));
    }
    Ok(SetupRequest {
        class,
        time_left: time_left_ms / 1000.0,
        title: hash_title(&key),
        key,
        first_cell: first_cell.ok_or("extras: missing home")?,
        cells: cells.ok_or("extras: missing copies")?,
        best_rung: best_rung.ok_or("extras: missing top")?,
        at,
        blob,
    })
}

/// Parses one line without its line feed.
///
/// # Errors
/// What is wrong with the line, and the session that it belongs to.
pub fn parse(line: &[u8]) -> Result<ViewerMessage, MessageError> {
    let protocol_error = |why: String| MessageError { sess: None, cause: cause::PROTOCOL_ERROR, why };
    let line: RawMessage = serde_json::from_slice(line).map_err(|e| protocol_error(e.to_string()))?;
    let sess = parse_session_id(&line.tag)
        .ok_or_else(|| protocol_error(format!("{:.20?} is not a session id", line.tag)))?;
    let invalid_contents =
        |why: String| MessageError { sess: Some(sess), cause: cause::INVALID_CONTENTS, why };
    match line.verb.as_str() {
        "START" => parse_setup(&line.opts, line.blob)
            .map(|a| ViewerMessage::Start(sess, Box::new(a)))
            .map_err(invalid_contents),
        "FINISH" => match line.rc.as_ref().and_then(parse_number) {
            Some(_) => Ok(ViewerMessage::Finish(sess)),
            None => Err(invalid_contents("missing cause".into())),
        },
        "ECHO" => Ok(ViewerMessage::Echo(sess)),
        "PENDING" | "FINISHED" | "ECHOED" | "NOTICE" => Ok(ViewerMessage::Ignored),
        other => Err(invalid_contents(format!("{other:.20?} is not a viewer message"))),
    }
}

/// A message to a viewer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply<'a> {
    /// The session is active, with the description from its node.
    Started(&'a str),
    /// The request was refused or failed, or the session ended, as `cause` states; the viewer may retry
    /// after `wait` seconds.
    Finish { cause: u32, wait: Option<f64> },
    /// Answers an echo request.
    Echoed,
    /// The viewer has to request its session again.
    Move,
}

#[derive(Serialize)]
struct OutgoingMessage<'a> {
    verb: &'static str,
    tag: String,
    opts: OutgoingOptions,
    #[serde(skip_serializing_if = "Option::is_none")]
    rc: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    blob: Option<&'a str>,
}

#[derive(Serialize)]
struct OutgoingOptions {
    #[serde(skip_serializing_if = "Option::is_none")]
    wait: Option<u64>,
}

/// Encodes one line, including its line feed. Without a session the id is all zeros.
pub fn encode(sess: Option<SessId>, reply: Reply) -> Vec<u8> {
    let (verb, rc, blob, wait) = match reply {
        Reply::Started(blob) => ("STARTED", None, Some(blob), None),
        Reply::Finish { cause, wait } => ("FINISH", Some(cause), None, wait),
        Reply::Echoed => ("ECHOED", Some(1), None, None),
        Reply::Move => ("MOVE", None, None, None),
    };
    let wait = wait.map(|s| (s * 1000.0).round().max(0.0) as u64);
    let tag = sess.map_or_else(|| "0".repeat(16), format_session_id);
    let line = OutgoingMessage { verb, tag, opts: OutgoingOptions { wait }, rc, blob };
    let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
