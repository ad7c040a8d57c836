//! Bytes to messages. A message is looked at only when its head is whole; nothing is allocated before lengths
//! have been checked.

use winnow::ascii::{Caseless, dec_uint, space0, space1};
use winnow::combinator::{alt, delimited, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::token::{literal, take_till, take_while};

use crate::header_names;
use crate::message::{Headers, Message, Method, Request, Response, Version};

/// Header fields at most.
pub const MAX_HEADERS: usize = 32;

/// Why the bytes are no message. The connection is of no use after one: where the next message starts is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    #[error("no end of the headers within {0} bytes")]
    HeadTooLong(usize),
    #[error("a body of {0} bytes, {1} at most")]
    BodyTooLong(u64, usize),
    #[error("more than {MAX_HEADERS} header fields")]
    TooManyHeaders,
    #[error("start line is neither a request nor a response of the version spoken: {0:?}")]
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

fn start_line<'a>(version: Version, input: &mut &'a [u8]) -> Res<Start<'a>> {
    let version = || literal(Caseless(version.name()));
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

/// Takes the first message of version 2.0 off `buf`: it and its length in bytes, or `None` while it is not whole.
/// CRLFs before a message are skipped (section 5).
///
/// # Errors
/// A [`ParseError`] names what is wrong; the caller closes the connection.
pub fn parse(buf: &[u8]) -> Result<Option<(Message, usize)>, ParseError> {
    parse_as(Version::V2, buf)
}

/// As [`parse`], of that version. In 1.0 a message without CSeq counts as numbered 0.
///
/// # Errors
/// A [`ParseError`] names what is wrong; the caller closes the connection.
pub fn parse_as(version: Version, buf: &[u8]) -> Result<Option<(Message, usize)>, ParseError> {
    let (max_head, max_body) = version.limits();
    let skipped = buf.chunks(2).take_while(|c| *c == b"\r\n").count() * 2;
    let rest = &buf[skipped..];
    let window = &rest[..rest.len().min(max_head)];
    let Some(head_len) = window.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 2) else {
        return if rest.len() >= max_head { Err(ParseError::HeadTooLong(max_head)) } else { Ok(None) };
    };
    let head = &rest[..head_len];
    let all = lines.parse(head).map_err(|_| ParseError::StartLine(show(head)))?;
    let (first, fields) = all.split_first().ok_or_else(|| ParseError::StartLine(String::new()))?;
    let start = (|input: &mut _| start_line(version, input))
        .parse(first)
        .map_err(|_| ParseError::StartLine(show(first)))?;
    if fields.len() > MAX_HEADERS {
        return Err(ParseError::TooManyHeaders);
    }
    let (mut headers, mut cseq, mut body_len) = (Headers::default(), None, 0u64);
    for (k, line) in fields.iter().enumerate() {
        let bad = || ParseError::Header(k + 1, show(line));
        let (name, value) = header.parse(line).map_err(|_| bad())?;
        let name = std::str::from_utf8(name).map_err(|_| bad())?;
        let value = std::str::from_utf8(value).map_err(|_| bad())?.trim_end();
        if name.eq_ignore_ascii_case(header_names::CSEQ) {
            cseq = Some(value.parse().map_err(|_| ParseError::CSeq)?);
        } else if name.eq_ignore_ascii_case(header_names::CONTENT_LENGTH) {
            body_len = value.parse().map_err(|_| ParseError::ContentLength(value.to_owned()))?;
        } else {
            headers.0.push((name.to_owned(), value.to_owned()));
        }
    }
    let cseq = cseq.or((version == Version::V1).then_some(0)).ok_or(ParseError::CSeq)?;
    if body_len > max_body as u64 {
        return Err(ParseError::BodyTooLong(body_len, max_body));
    }
    let from = head_len + 2;
    let Some(body) = rest.get(from..from + body_len as usize).map(<[u8]>::to_vec) else { return Ok(None) };
    let message = match start {
        Start::Response(status @ 100..=599) => Response { status: status as u16, cseq, headers, body }.into(),
        Start::Response(status) => return Err(ParseError::Status(status)),
        Start::Request(method, uri) => {
            let older = |m: &Method| matches!(m, Method::Announce | Method::Redirect);
            let spoken = Method::ALL.into_iter().filter(|m| version == Version::V1 || !older(m));
            let known = spoken.into_iter().find(|m| m.name().as_bytes() == method);
            let method = known.ok_or_else(|| ParseError::Method(show(method)))?;
            Request { method, uri: show_all(uri), cseq, headers, body }.into()
        }
    };
    Ok(Some((message, skipped + from + body_len as usize)))
}

fn show_all(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
