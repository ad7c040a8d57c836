//! What is spoken with viewers: one JSON object a line, with a type, an id, fields, and, where they belong, a cause and a
//! description. Reading checks every figure, so that nothing past it needs to.

use std::hash::{DefaultHasher, Hash, Hasher};

use kelpdoor::ids::{SessId, TitleId};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Bytes of a line at most, its line feed included.
pub const MAX_LINE: usize = 16 << 10;
/// Bytes of a description at most: with its headers it has to fit a node's message.
pub const MAX_BLOB: usize = 15 << 10;
/// ms; no viewer waits longer.
const MAX_LEFT: f64 = 600_000.0;
/// Characters of a title or a node's name at most.
const MAX_NAME: usize = 64;

/// Causes (ITU-T Q.850, table 1).
pub mod cause {
    /// Normal clearing: a set-up given up, a session at its end.
    pub const NORMAL_CLEARING: u32 = 16;
    /// A session was moved, or ended by its viewer, who is owed no word of it.
    pub const NORMAL_UNSPECIFIED: u32 = 31;
    /// The session was cut, or a set-up failed.
    pub const TEMPORARY_FAILURE: u32 = 41;
    /// Refused: trying again is harmless.
    pub const CONGESTION: u32 = 42;
    /// What the message holds cannot be used.
    pub const INVALID_CONTENTS: u32 = 100;
    /// The message cannot be read.
    pub const PROTOCOL_ERROR: u32 = 111;
}

/// A set-up as a viewer sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct SetupRequest {
    pub class: String,
    /// s; how long the viewer waits, from when it sent the set-up.
    pub time_left: f64,
    /// The title as it was sent, and as the decisions know it.
    pub key: String,
    pub title: TitleId,
    pub first_cell: u16,
    pub cells: u16,
    pub best_rung: u8,
    /// The media node at which it plays already.
    pub at: Option<String>,
    pub blob: String,
}

impl SetupRequest {
    /// Whether another is the same set-up once more: it has less time left by then, and may carry other marks.
    pub fn is_same_setup(&self, other: &SetupRequest) -> bool {
        (&self.class, &self.key, &self.blob) == (&other.class, &other.key, &other.blob)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum ViewerMessage {
    Start(SessId, Box<SetupRequest>),
    /// Gives up a set-up, or releases a session that stands.
    Finish(SessId),
    Echo(SessId),
    /// Wants nothing: progress, notes, or the like.
    Ignored,
}

/// A line that is no message, and the id it names, if that can be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageError {
    pub sess: Option<SessId>,
    pub cause: u32,
    pub why: String,
}

#[derive(Deserialize)]
struct Line {
    verb: String,
    tag: String,
    #[serde(default)]
    opts: Map<String, Value>,
    #[serde(default)]
    rc: Option<Value>,
    #[serde(default)]
    blob: Option<String>,
}

/// The id in 16 lower-case hexadecimal digits; any other form is no id, as it could not be sent back unchanged.
pub fn parse_session_id(tag: &str) -> Option<SessId> {
    let digits = tag.len() == 16 && tag.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    digits.then(|| u64::from_str_radix(tag, 16).ok().map(SessId)).flatten()
}

pub fn format_session_id(sess: SessId) -> String {
    format!("{:016x}", sess.0)
}

fn number(value: &Value) -> Option<f64> {
    let n = match value {
        Value::Number(n) => n.as_f64(),
        Value::String(s) => s.parse().ok(),
        _ => None,
    };
    n.filter(|n| n.is_finite())
}

fn whole(text: &str, most: u16) -> Option<u16> {
    text.parse().ok().filter(|&n| n <= most)
}

/// A title's number for the decisions: of its text, so that no table of titles is kept.
fn number_of(title: &str) -> TitleId {
    let mut hasher = DefaultHasher::new();
    title.hash(&mut hasher);
    TitleId(hasher.finish())
}

fn name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

fn ask(opts: &Map<String, Value>, blob: Option<String>) -> Result<SetupRequest, String> {
    let text = |key: &str| opts.get(key).and_then(Value::as_str);
    let class = text("class").ok_or("no class")?.to_owned();
    let left = opts.get("left").and_then(number).ok_or("left is no number")?;
    let key = text("key").filter(|k| name(k)).ok_or("key is no title")?.to_owned();
    let (mut first_cell, mut cells, mut best_rung, mut at) = (None, None, None, None);
    for pair in text("extras").unwrap_or("").split(';').filter(|p| !p.is_empty()) {
        let (key, value) = pair.split_once(':').ok_or_else(|| format!("extras: {pair:?} is no pair"))?;
        match key {
            "home" => first_cell = Some(whole(value, u16::MAX).ok_or("extras: home is out of range")?),
            "copies" => cells = Some(whole(value, u16::MAX).ok_or("extras: copies is out of range")?),
            "top" => best_rung = Some(whole(value, 255).ok_or("extras: top is out of range")? as u8),
            "at" => at = Some(value).filter(|v| name(v)).map(str::to_owned),
            _ => {}
        }
    }
    // A session that plays already waits for nothing.
    if at.is_none() && (left <= 0.0 || left > MAX_LEFT) {
        return Err(format!("left is {left:e}, above 0 and at most {MAX_LEFT} are possible"));
    }
    let blob = blob.ok_or("no description")?;
    if blob.len() > MAX_BLOB {
        return Err(format!("a description of {} bytes, {MAX_BLOB} at most", blob.len()));
    }
    Ok(SetupRequest {
        class,
        time_left: left / 1000.0,
        title: number_of(&key),
        key,
        first_cell: first_cell.ok_or("extras: no home")?,
        cells: cells.ok_or("extras: no copies")?,
        best_rung: best_rung.ok_or("extras: no top")?,
        at,
        blob,
    })
}

/// Reads one line without its line feed.
///
/// # Errors
/// What is wrong with it, and whose it is.
pub fn parse(line: &[u8]) -> Result<ViewerMessage, MessageError> {
    let unreadable = |why: String| MessageError { sess: None, cause: cause::PROTOCOL_ERROR, why };
    let line: Line = serde_json::from_slice(line).map_err(|e| unreadable(e.to_string()))?;
    let sess =
        parse_session_id(&line.tag).ok_or_else(|| unreadable(format!("{:.20?} is no id", line.tag)))?;
    let bad = |why: String| MessageError { sess: Some(sess), cause: cause::INVALID_CONTENTS, why };
    match line.verb.as_str() {
        "START" => ask(&line.opts, line.blob).map(|a| ViewerMessage::Start(sess, Box::new(a))).map_err(bad),
        "FINISH" => match line.rc.as_ref().and_then(number) {
            Some(_) => Ok(ViewerMessage::Finish(sess)),
            None => Err(bad("no cause".into())),
        },
        "ECHO" => Ok(ViewerMessage::Echo(sess)),
        "PENDING" | "FINISHED" | "ECHOED" | "NOTICE" => Ok(ViewerMessage::Ignored),
        other => Err(bad(format!("{other:.20?} is nothing that a viewer sends"))),
    }
}

/// What a director sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply<'a> {
    /// The session stands; the description as the node gave it.
    Started(&'a str),
    /// Refused, failed or over, by its cause; `wait` in seconds where the viewer may come back.
    Finish {
        cause: u32,
        wait: Option<f64>,
    },
    Echoed,
    Move,
}

#[derive(Serialize)]
struct Written<'a> {
    verb: &'static str,
    tag: String,
    opts: Opts,
    #[serde(skip_serializing_if = "Option::is_none")]
    rc: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    blob: Option<&'a str>,
}

#[derive(Serialize)]
struct Opts {
    #[serde(skip_serializing_if = "Option::is_none")]
    wait: Option<u64>,
}

/// One line, its line feed included.
pub fn encode(sess: Option<SessId>, reply: Reply) -> Vec<u8> {
    let (verb, rc, blob, wait) = match reply {
        Reply::Started(blob) => ("STARTED", None, Some(blob), None),
        Reply::Finish { cause, wait } => ("FINISH", Some(cause), None, wait),
        Reply::Echoed => ("ECHOED", Some(1), None, None),
        Reply::Move => ("MOVE", None, None, None),
    };
    let wait = wait.map(|s| (s * 1000.0).round().max(0.0) as u64);
    let tag = sess.map_or_else(|| "0".repeat(16), format_session_id);
    let line = Written { verb, tag, opts: Opts { wait }, rc, blob };
    let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
