//! Bytes to messages. A message is looked at only when its head is whole; nothing is allocated before lengths
//! have been checked.

use winnow::ascii::{Caseless, dec_uint, space0, space1};
use winnow::combinator::{alt, delimited, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::token::{literal, take_till, take_while};

use crate::message::{Headers, Message, Method, Request, Response};
use crate::names;

/// Bytes of a start line and headers at most.
pub const MAX_HEAD: usize = 4096;
/// Bytes of a body at most.
pub const MAX_BODY: usize = 4096;
/// Header fields at most.
pub const MAX_HEADERS: usize = 32;

/// Why the bytes are no message. The connection is of no use after one: where the next message starts is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("no end of the headers within {MAX_HEAD} bytes")]
    HeadTooLong,
    #[error("a body of {0} bytes, {MAX_BODY} at most")]
    BodyTooLong(u64),
    #[error("more than {MAX_HEADERS} header fields")]
    TooManyHeaders,
    #[error("start line is neither a request nor a response of RTSP/2.0: {0:?}")]
    StartLine(String),
    #[error("method {0:?} is not of the subset")]
    Method(String),
    #[error("header line {0} is malformed: {1:?}")]
    Header(usize, String),
    #[error("no CSeq, or none that is a number")]
    CSeq,
    #[error("status {0} is out of 100 to 599")]
    Status(u32),
    #[error("Content-Length is not a number: {0:?}")]
    ContentLength(String),
}

enum Start<'a> {
    Request(&'a [u8], &'a [u8]),
    Response(u32),
}

type Res<T> = Result<T, ErrMode<ContextError>>;

fn token<'a>(input: &mut &'a [u8]) -> Res<&'a [u8]> {
    take_while(1.., |b: u8| b.is_ascii_alphanumeric() || b"-_.!%*+`'~^|$&#".contains(&b)).parse_next(input)
}

fn start_line<'a>(input: &mut &'a [u8]) -> Res<Start<'a>> {
    let version = || literal(Caseless("RTSP/2.0"));
    let response = delimited(
        (version(), space1),
        dec_uint::<_, u32, _>,
        opt(preceded(space1, take_while(0.., |b: u8| b != b'\r' && b != b'\n'))),
    )
    .map(Start::Response);
    let uri = take_while(1.., |b: u8| b.is_ascii_graphic());
    let request = terminated((terminated(token, space1), terminated(uri, space1)), version())
        .map(|(method, uri)| Start::Request(method, uri));
    alt((response, request)).parse_next(input)
}

fn header<'a>(input: &mut &'a [u8]) -> Res<(&'a [u8], &'a [u8])> {
    let value = take_till(0.., |b: u8| b.is_ascii_control() && b != b'\t');
    (terminated(token, (space0, b':', space0)), value).parse_next(input)
}

/// Lines as they end at CRLF; a bare LF or CR is left in and fails its line.
fn lines<'a>(input: &mut &'a [u8]) -> Res<Vec<&'a [u8]>> {
    let line = |input: &mut &'a [u8]| -> Res<&'a [u8]> {
        let text = take_till(0.., b'\r').parse_next(input)?;
        literal("\r\n").parse_next(input)?;
        Ok(text)
    };
    repeat(0.., line).parse_next(input)
}

fn show(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(80)]).into_owned()
}

/// Takes the first message off `buf`: it and its length in bytes, or `None` while it is not whole.
/// CRLFs before a message are skipped (section 5).
///
/// # Errors
/// A [`Fault`] names what is wrong; the caller closes the connection.
pub fn parse(buf: &[u8]) -> Result<Option<(Message, usize)>, Fault> {
    let skipped = buf.chunks(2).take_while(|c| *c == b"\r\n").count() * 2;
    let rest = &buf[skipped..];
    let window = &rest[..rest.len().min(MAX_HEAD)];
    let Some(head_len) = window.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 2) else {
        return if rest.len() >= MAX_HEAD { Err(Fault::HeadTooLong) } else { Ok(None) };
    };
    let head = &rest[..head_len];
    let all = lines.parse(head).map_err(|_| Fault::StartLine(show(head)))?;
    let (first, fields) = all.split_first().ok_or_else(|| Fault::StartLine(String::new()))?;
    let start = start_line.parse(first).map_err(|_| Fault::StartLine(show(first)))?;
    if fields.len() > MAX_HEADERS {
        return Err(Fault::TooManyHeaders);
    }
    let (mut headers, mut cseq, mut body_len) = (Headers::default(), None, 0u64);
    for (k, line) in fields.iter().enumerate() {
        let bad = || Fault::Header(k + 1, show(line));
        let (name, value) = header.parse(line).map_err(|_| bad())?;
        let name = std::str::from_utf8(name).map_err(|_| bad())?;
        let value = std::str::from_utf8(value).map_err(|_| bad())?.trim_end();
        if name.eq_ignore_ascii_case(names::CSEQ) {
            cseq = Some(value.parse().map_err(|_| Fault::CSeq)?);
        } else if name.eq_ignore_ascii_case(names::CONTENT_LENGTH) {
            body_len = value.parse().map_err(|_| Fault::ContentLength(value.to_owned()))?;
        } else {
            headers.0.push((name.to_owned(), value.to_owned()));
        }
    }
    let cseq = cseq.ok_or(Fault::CSeq)?;
    if body_len > MAX_BODY as u64 {
        return Err(Fault::BodyTooLong(body_len));
    }
    let from = head_len + 2;
    let Some(body) = rest.get(from..from + body_len as usize).map(<[u8]>::to_vec) else { return Ok(None) };
    let message = match start {
        Start::Response(status @ 100..=599) => Response { status: status as u16, cseq, headers, body }.into(),
        Start::Response(status) => return Err(Fault::Status(status)),
        Start::Request(method, uri) => {
            let known = Method::ALL.into_iter().find(|m| m.name().as_bytes() == method);
            let method = known.ok_or_else(|| Fault::Method(show(method)))?;
            Request { method, uri: show_all(uri), cseq, headers, body }.into()
        }
    };
    Ok(Some((message, skipped + from + body_len as usize)))
}

fn show_all(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
