//! Messages exchanged with media nodes: RTSP/1.0 (RFC 2326), reduced to the subset that the platform defines.
//! This module alone decides what each message of a node proves.

use kelpdoor::ids::SessId;
use kelpdoor::round::{LoadReport, SetupOutcome};
use kelpdoor_rtsp::{Headers, Message, Method, Request, Response, Version};
use kelpdoor_terms::ReportFields;

use crate::viewer::{cause, format_session_id, parse_session_id};

/// A notification about an active session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeNotification {
    Delivered(f64),
    Rung(u8),
    Link(f64),
    Uplink(f64),
}

/// A message from a media node.
#[derive(Clone, Debug)]
pub enum NodeMessage {
    /// 200 to SETUP: the session is active. `blob` is its description, or `None` if that is not UTF-8.
    SetupAccepted {
        sess: SessId,
        blob: Option<String>,
        load: LoadReport,
    },
    /// A refusal of a SETUP, with the outcome that its status proves.
    SetupRefused {
        sess: SessId,
        outcome: SetupOutcome,
        load: LoadReport,
    },
    /// The node ended a session; `cseq` is for the response.
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
    /// Needs no action.
    Ignored,
}

/// Outcome that a status to SETUP proves; `None` for 1xx and 200.
///
/// 504 means that the SETUP was lost on its way, and it may have run. It comes from a live process on an open
/// connection, so it is no sign that the node died: it counts as a withdrawn SETUP, which gets no further
/// answer.
pub fn refusal_outcome(status: u16) -> Option<SetupOutcome> {
    match status {
        0..300 => None,
        453 => Some(SetupOutcome::BusyReplied),
        454 => Some(SetupOutcome::NeverSent),
        504 => Some(SetupOutcome::Withdrawn),
        // 500 and any other refusal is an error, after which the SETUP may have run.
        _ => Some(SetupOutcome::Failed),
    }
}

/// Outcome of an active session, from the cause in its node's TEARDOWN. A cut session is a sign of the node's
/// death only if the process may have changed since the session was set up (`restarted`): a live process can
/// cut a single session.
pub fn teardown_outcome(cause: u32, restarted: bool) -> SetupOutcome {
    match cause {
        cause::NORMAL_CLEARING => SetupOutcome::Served,
        cause::NORMAL_UNSPECIFIED => SetupOutcome::Withdrawn,
        _ if restarted => SetupOutcome::ConnectionLost,
        _ => SetupOutcome::Withdrawn,
    }
}

fn parse_load(headers: &Headers, fields: &ReportFields) -> LoadReport {
    let Some(text) = headers.get("X-Gauges") else { return LoadReport::default() };
    fields.load_report_by_name(|name| {
        let value = text.split(';').filter_map(|p| p.split_once(':')).find(|(n, _)| n.trim() == name)?.1;
        value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)
    })
}

fn parse_notification(headers: &Headers) -> Option<NodeNotification> {
    let value: f64 = headers.parse_value("X-Reading").filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
    Some(match headers.get("X-Outcome")? {
        "fill" => NodeNotification::Delivered(value),
        "grade" => NodeNotification::Rung(value as u8),
        "local" => NodeNotification::Link(value),
        "upstream" => NodeNotification::Uplink(value),
        _ => return None,
    })
}

/// Interprets a message; one without a valid session id is ignored.
pub fn interpret(message: Message, fields: &ReportFields) -> NodeMessage {
    let (Message::Request(Request { headers, .. }) | Message::Response(Response { headers, .. })) = &message;
    let Some(sess) = headers.get("Session").and_then(|s| parse_session_id(s.trim())) else {
        return NodeMessage::Ignored;
    };
    let load = parse_load(headers, fields);
    match message {
        Message::Response(r) if r.cseq == 1 => match refusal_outcome(r.status) {
            Some(outcome) => NodeMessage::SetupRefused { sess, outcome, load },
            None if r.status < 200 => NodeMessage::Ignored,
            None => NodeMessage::SetupAccepted { sess, blob: String::from_utf8(r.body).ok(), load },
        },
        Message::Response(_) => NodeMessage::Ignored,
        Message::Request(r) => match r.method {
            Method::Teardown => {
                let reason_cause = r
                    .headers
                    .get("Reason")
                    .and_then(|v| v.trim().strip_prefix("cause=")?.trim().parse().ok());
                NodeMessage::SessionEnded {
                    sess,
                    cause: reason_cause.unwrap_or(cause::TEMPORARY_FAILURE),
                    cseq: r.cseq,
                    load,
                }
            }
            Method::Announce => parse_notification(&r.headers).map_or(NodeMessage::Ignored, |notification| {
                NodeMessage::Notification { sess, notification }
            }),
            _ => NodeMessage::Ignored,
        },
    }
}

fn encode(message: impl Into<Message>) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    message.into().write_as(Version::V1, &mut out);
    out
}

fn request(method: Method, sess: SessId, cseq: u32) -> Request {
    Request::new(method, format!("rtsp://media/{}", format_session_id(sess)), cseq)
        .with("Session", format_session_id(sess))
}

/// A SETUP; `wait` is the time in seconds that the director waits for the answer.
pub fn setup(sess: SessId, key: &str, class: &str, wait: f64, rung: u8, blob: &str) -> Vec<u8> {
    let mut setup = Request::new(Method::Setup, format!("rtsp://media/{key}"), 1)
        .with("Session", format_session_id(sess))
        .with("X-Tier", class)
        .with("X-Deadline", (wait * 1000.0).floor().max(1.0) as u64)
        .with("X-Quality", rung);
    setup.body = blob.as_bytes().to_vec();
    encode(setup)
}

/// Cancels a SETUP that has not been answered.
pub fn cancel_setup(sess: SessId) -> Vec<u8> {
    encode(request(Method::Teardown, sess, 2))
}

/// Ends an active session, with a cause.
pub fn teardown(sess: SessId, cause: u32) -> Vec<u8> {
    encode(request(Method::Teardown, sess, 2).with("Reason", format!("cause={cause}")))
}

/// Sets the rung of an active session.
pub fn set_rung(sess: SessId, rung: u8) -> Vec<u8> {
    encode(request(Method::SetParameter, sess, 4).with("X-Quality", rung))
}

/// Asks the node to end a session whose viewer is asked to start a new one.
pub fn redirect(sess: SessId) -> Vec<u8> {
    encode(request(Method::Redirect, sess, 5))
}

/// Acknowledges a TEARDOWN.
pub fn acknowledge(sess: SessId, cseq: u32) -> Vec<u8> {
    encode(Response::new(200, cseq).with("Session", format_session_id(sess)))
}
