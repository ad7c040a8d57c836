//! What is spoken with media nodes, RTSP/1.0 (RFC 2326) as the platform's pages cut it down: the table of what each
//! message proves stands here and nowhere else.

use kelpdoor::ids::SessId;
use kelpdoor::round::{Ending, LoadReport};
use kelpdoor_rtsp::{Headers, Message, Method, Request, Response, Version};
use kelpdoor_terms::ReportFields;

use crate::viewer::{cause, format_session_id, parse_session_id};

/// A note on a session that stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeNotification {
    Delivered(f64),
    Rung(u8),
    Link(f64),
    Uplink(f64),
}

/// What a media node says.
#[derive(Clone, Debug)]
pub enum NodeMessage {
    /// 200 to SETUP: the session stands. Its description, if it can be passed on.
    SetupAccepted {
        sess: SessId,
        blob: Option<String>,
        load: LoadReport,
    },
    /// A refusal of a SETUP, by what it proves.
    SetupRefused {
        sess: SessId,
        outcome: Ending,
        load: LoadReport,
    },
    /// The node released a session; `cseq` for the answer.
    SessionEnded {
        sess: SessId,
        cause: u32,
        cseq: u32,
        load: LoadReport,
    },
    Notification {
        sess: SessId,
        notification: NodeNotification,
    },
    /// Wants nothing.
    Ignored,
}

/// What a status to SETUP proves; `None` for 1xx and 200.
///
/// 504 says that the SETUP broke on its way, and it may have run. It comes from a process that lives, on a connection that
/// stands, so it is no sign of a death: it counts as a SETUP of which nothing more will be heard.
pub fn refusal_outcome(status: u16) -> Option<Ending> {
    match status {
        0..300 => None,
        453 => Some(Ending::BusyReplied),
        454 => Some(Ending::Moot),
        504 => Some(Ending::Withdrawn),
        // 500 and whatever else is a refusal: an error, after which it may have run.
        _ => Some(Ending::Erred),
    }
}

/// How a session that stood ended, by the cause of its node's release. One that was cut tells of the node's death only where
/// the process may have changed since the session was set up (`anew`): a process that lives can cut one session.
pub fn teardown_outcome(why: u32, anew: bool) -> Ending {
    match why {
        cause::NORMAL_CLEARING => Ending::Served,
        cause::NORMAL_UNSPECIFIED => Ending::Withdrawn,
        _ if anew => Ending::Broken,
        _ => Ending::Withdrawn,
    }
}

fn load(headers: &Headers, fields: &ReportFields) -> LoadReport {
    let Some(text) = headers.get("X-Gauges") else { return LoadReport::default() };
    fields.by_name(|name| {
        let value = text.split(';').filter_map(|p| p.split_once(':')).find(|(n, _)| n.trim() == name)?.1;
        value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)
    })
}

fn note(headers: &Headers) -> Option<NodeNotification> {
    let value: f64 = headers.read("X-Reading").filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
    Some(match headers.get("X-Outcome")? {
        "fill" => NodeNotification::Delivered(value),
        "grade" => NodeNotification::Rung(value as u8),
        "local" => NodeNotification::Link(value),
        "upstream" => NodeNotification::Uplink(value),
        _ => return None,
    })
}

/// Reads a message for what it says; one that names no session says nothing.
pub fn interpret(message: Message, fields: &ReportFields) -> NodeMessage {
    let (Message::Request(Request { headers, .. }) | Message::Response(Response { headers, .. })) = &message;
    let Some(sess) = headers.get("Session").and_then(|s| parse_session_id(s.trim())) else {
        return NodeMessage::Ignored;
    };
    let load = load(headers, fields);
    match message {
        Message::Response(r) if r.cseq == 1 => match refusal_outcome(r.status) {
            Some(outcome) => NodeMessage::SetupRefused { sess, outcome, load },
            None if r.status < 200 => NodeMessage::Ignored,
            None => NodeMessage::SetupAccepted { sess, blob: String::from_utf8(r.body).ok(), load },
        },
        Message::Response(_) => NodeMessage::Ignored,
        Message::Request(r) => match r.method {
            Method::Teardown => {
                let given = r
                    .headers
                    .get("Reason")
                    .and_then(|v| v.trim().strip_prefix("cause=")?.trim().parse().ok());
                NodeMessage::SessionEnded {
                    sess,
                    cause: given.unwrap_or(cause::TEMPORARY_FAILURE),
                    cseq: r.cseq,
                    load,
                }
            }
            Method::Announce => note(&r.headers).map_or(NodeMessage::Ignored, |notification| {
                NodeMessage::Notification { sess, notification }
            }),
            _ => NodeMessage::Ignored,
        },
    }
}

fn bytes(message: impl Into<Message>) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    message.into().write_as(Version::V1, &mut out);
    out
}

fn request(method: Method, sess: SessId, cseq: u32) -> Request {
    Request::new(method, format!("rtsp://media/{}", format_session_id(sess)), cseq)
        .with("Session", format_session_id(sess))
}

/// `wait` in seconds is how long the director waits for the answer.
pub fn setup(sess: SessId, key: &str, class: &str, wait: f64, rung: u8, blob: &str) -> Vec<u8> {
    let mut setup = Request::new(Method::Setup, format!("rtsp://media/{key}"), 1)
        .with("Session", format_session_id(sess))
        .with("X-Tier", class)
        .with("X-Deadline", (wait * 1000.0).floor().max(1.0) as u64)
        .with("X-Quality", rung);
    setup.body = blob.as_bytes().to_vec();
    bytes(setup)
}

pub fn cancel_setup(sess: SessId) -> Vec<u8> {
    bytes(request(Method::Teardown, sess, 2))
}

/// Cuts a session that stands.
pub fn teardown(sess: SessId, why: u32) -> Vec<u8> {
    bytes(request(Method::Teardown, sess, 2).with("Reason", format!("cause={why}")))
}

pub fn set_rung(sess: SessId, rung: u8) -> Vec<u8> {
    bytes(request(Method::SetParameter, sess, 4).with("X-Quality", rung))
}

pub fn redirect(sess: SessId) -> Vec<u8> {
    bytes(request(Method::Redirect, sess, 5))
}

/// That a release was heard.
pub fn acknowledge(sess: SessId, cseq: u32) -> Vec<u8> {
    bytes(Response::new(200, cseq).with("Session", format_session_id(sess)))
}
