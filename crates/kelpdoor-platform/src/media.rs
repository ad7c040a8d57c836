//! What is spoken with media nodes, RTSP/1.0 (RFC 2326) as the platform's pages cut it down: the table of what each
//! message proves stands here and nowhere else.

use kelpdoor::ids::SessId;
use kelpdoor::round::{LoadReport, SetupOutcome};
use kelpdoor_rtsp::{Headers, Message, Method, Request, Response, Version};
use kelpdoor_terms::ReportFields;

use crate::viewer::{cause, id, tag};

/// A note on a session that stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    Delivered(f64),
    Rung(u8),
    Link(f64),
    Uplink(f64),
}

/// What a media node says.
#[derive(Clone, Debug)]
pub enum Word {
    /// 200 to SETUP: the session stands. Its description, if it can be passed on.
    Stands {
        sess: SessId,
        blob: Option<String>,
        load: LoadReport,
    },
    /// A refusal of a SETUP, by what it proves.
    Refused {
        sess: SessId,
        how: SetupOutcome,
        load: LoadReport,
    },
    /// The node released a session; `cseq` for the answer.
    Released {
        sess: SessId,
        cause: u32,
        cseq: u32,
        load: LoadReport,
    },
    Note {
        sess: SessId,
        note: Note,
    },
    /// Wants nothing.
    Free,
}

/// What a status to SETUP proves; `None` for 1xx and 200.
///
/// 504 says that the SETUP broke on its way, and it may have run. It comes from a process that lives, on a connection that
/// stands, so it is no sign of a death: it counts as a SETUP of which nothing more will be heard.
pub fn ending(status: u16) -> Option<SetupOutcome> {
    match status {
        0..300 => None,
        453 => Some(SetupOutcome::BusyReplied),
        454 => Some(SetupOutcome::NeverSent),
        504 => Some(SetupOutcome::Withdrawn),
        // 500 and whatever else is a refusal: an error, after which it may have run.
        _ => Some(SetupOutcome::Failed),
    }
}

/// How a session that stood ended, by the cause of its node's release. One that was cut tells of the node's death only where
/// the process may have changed since the session was set up (`anew`): a process that lives can cut one session.
pub fn ended(why: u32, anew: bool) -> SetupOutcome {
    match why {
        cause::CLEARED => SetupOutcome::Served,
        cause::CANCELLED => SetupOutcome::Withdrawn,
        _ if anew => SetupOutcome::ConnectionLost,
        _ => SetupOutcome::Withdrawn,
    }
}

fn load(headers: &Headers, fields: &ReportFields) -> LoadReport {
    let Some(text) = headers.get("X-Gauges") else { return LoadReport::default() };
    fields.by_name(|name| {
        let value = text.split(';').filter_map(|p| p.split_once(':')).find(|(n, _)| n.trim() == name)?.1;
        value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)
    })
}

fn note(headers: &Headers) -> Option<Note> {
    let value: f64 = headers.read("X-Reading").filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
    Some(match headers.get("X-Outcome")? {
        "fill" => Note::Delivered(value),
        "grade" => Note::Rung(value as u8),
        "local" => Note::Link(value),
        "upstream" => Note::Uplink(value),
        _ => return None,
    })
}

/// Reads a message for what it says; one that names no session says nothing.
pub fn read(message: Message, fields: &ReportFields) -> Word {
    let (Message::Request(Request { headers, .. }) | Message::Response(Response { headers, .. })) = &message;
    let Some(sess) = headers.get("Session").and_then(|s| id(s.trim())) else { return Word::Free };
    let load = load(headers, fields);
    match message {
        Message::Response(r) if r.cseq == 1 => match ending(r.status) {
            Some(how) => Word::Refused { sess, how, load },
            None if r.status < 200 => Word::Free,
            None => Word::Stands { sess, blob: String::from_utf8(r.body).ok(), load },
        },
        Message::Response(_) => Word::Free,
        Message::Request(r) => match r.method {
            Method::Teardown => {
                let given = r
                    .headers
                    .get("Reason")
                    .and_then(|v| v.trim().strip_prefix("cause=")?.trim().parse().ok());
                Word::Released { sess, cause: given.unwrap_or(cause::FAILED), cseq: r.cseq, load }
            }
            Method::Announce => note(&r.headers).map_or(Word::Free, |note| Word::Note { sess, note }),
            _ => Word::Free,
        },
    }
}

fn bytes(message: impl Into<Message>) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    message.into().write_as(Version::V1, &mut out);
    out
}

fn request(method: Method, sess: SessId, cseq: u32) -> Request {
    Request::new(method, format!("rtsp://media/{}", tag(sess)), cseq).with("Session", tag(sess))
}

/// `wait` in seconds is how long the director waits for the answer.
pub fn setup(sess: SessId, key: &str, class: &str, wait: f64, rung: u8, blob: &str) -> Vec<u8> {
    let mut setup = Request::new(Method::Setup, format!("rtsp://media/{key}"), 1)
        .with("Session", tag(sess))
        .with("X-Tier", class)
        .with("X-Deadline", (wait * 1000.0).floor().max(1.0) as u64)
        .with("X-Quality", rung);
    setup.body = blob.as_bytes().to_vec();
    bytes(setup)
}

pub fn give_up(sess: SessId) -> Vec<u8> {
    bytes(request(Method::Teardown, sess, 2))
}

/// Cuts a session that stands.
pub fn release(sess: SessId, why: u32) -> Vec<u8> {
    bytes(request(Method::Teardown, sess, 2).with("Reason", format!("cause={why}")))
}

pub fn rung(sess: SessId, rung: u8) -> Vec<u8> {
    bytes(request(Method::SetParameter, sess, 4).with("X-Quality", rung))
}

pub fn shift(sess: SessId) -> Vec<u8> {
    bytes(request(Method::Redirect, sess, 5))
}

/// That a release was heard.
pub fn heard(sess: SessId, cseq: u32) -> Vec<u8> {
    bytes(Response::new(200, cseq).with("Session", tag(sess)))
}
