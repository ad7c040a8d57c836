//! Parses messages. A message is parsed only once its start line and headers are complete; nothing is allocated
//! before the lengths have been checked.

use winnow::ascii::{Caseless, dec_uint, space0, space1};
use winnow::combinator::{alt, delimited, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::token::{literal, take_till, take_while};

use crate::header_names;
use crate::message::{Headers, Message, Method, Request, Response, Version};

/// Maximum number of header fields in a message.
pub const MAX_HEADERS: usize = 32;

/// Why bytes are not a message. The connection cannot be used afterwards, because the start of the next message is
/// unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    #[error("headers do not end within {0} bytes")]
    HeadTooLong(usize),
    #[error("body of {0} bytes exceeds the limit of {1}")]
    BodyTooLong(u64, usize),
    #[error("more than {MAX_HEADERS} header fields")]
    TooManyHeaders,
    #[error("start line is neither a request nor a response of the expected version: {0:?}")]
    StartLine(String),
    #[error("unsupported method {0:?}")]
    Method(String),
    #[error("malformed header line {0}: {1:?}")]
    Header(usize, String),
    #[error("CSeq is missing or not a number")]
    CSeq,
    #[error("status {0} is outside 100 to 599")]
    Status(u32),
    #[error("Content-Length is not a number: {0:?}")]
    ContentLength(String),
}

enum StartLine<'a> {
    Request(&'a [u8], &'a [u8]),
    Response(u32),
}

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

fn token<'a>(input: &mut &'a [u8]) -> ParseResult<&'a [u8]> {
    take_while(1.., |b: u8| b.is_ascii_alphanumeric() || b"-_.!%*+`'~^|$&#".contains(&b)).parse_next(input)
}

fn start_line<'a>(version: Version, input: &mut &'a [u8]) -> ParseResult<StartLine<'a>> {
    let version = || literal(Caseless(version.name()));
    let response = delimited(
        (version(), space1),
        dec_uint::<_, u32, _>,
        opt(preceded(space1, take_while(0.., |b: u8| b != b'\r' && b != b'\n'))),
    )
    .map(StartLine::Response);
    let uri = take_while(1.., |b: u8| b.is_ascii_graphic());
    let request = terminated((terminated(token, space1), terminated(uri, space1)), version())
        .map(|(method, uri)| StartLine::Request(method, uri));
    alt((response, request)).parse_next(input)
}

fn header<'a>(input: &mut &'a [u8]) -> ParseResult<(&'a [u8], &'a [u8])> {
    let value = take_till(0.., |b: u8| b.is_ascii_control() && b != b'\t');
    (terminated(token, (space0, b':', space0)), value).parse_next(input)
}

/// Splits the head at CRLF. A bare LF stays in its line, whose parser rejects it; a bare CR fails here.
fn lines<'a>(input: &mut &'a [u8]) -> ParseResult<Vec<&'a [u8]>> {
    let line = |input: &mut &'a [u8]| -> ParseResult<&'a [u8]> {
        let text = take_till(0.., b'\r').parse_next(input)?;
        literal("\r\n").parse_next(input)?;
        Ok(text)
    };
    repeat(0.., line).parse_next(input)
}

/// The first 80 bytes, for error messages.
fn excerpt(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(80)]).into_owned()
}

/// Parses the first version 2.0 message in `buf`. Returns the message and the bytes it occupies, or `None` if it is
/// incomplete. CRLFs before a message are skipped (section 5).
///
/// # Errors
/// A [`ParseError`] if the bytes are not a message; the caller closes the connection.
pub fn parse(buf: &[u8]) -> Result<Option<(Message, usize)>, ParseError> {
    parse_as(Version::V2, buf)
}

/// Like [`parse`], for the given version. In version 1.0 a missing CSeq is read as 0.
///
/// # Errors
/// A [`ParseError`] if the bytes are not a message; the caller closes the connection.
pub fn parse_as(version: Version, buf: &[u8]) -> Result<Option<(Message, usize)>, ParseError> {
    let (max_head, max_body) = version.limits();
    let skipped = buf.chunks(2).take_while(|c| *c == b"\r\n").count() * 2;
    let rest = &buf[skipped..];
    let window = &rest[..rest.len().min(max_head)];
    let Some(head_len) = window.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 2) else {
        return if rest.len() >= max_head { Err(ParseError::HeadTooLong(max_head)) } else { Ok(None) };
    };
    let head = &rest[..head_len];
    let all = lines.parse(head).map_err(|_| ParseError::StartLine(excerpt(head)))?;
    let (first, fields) = all.split_first().ok_or_else(|| ParseError::StartLine(String::new()))?;
    let start = (|input: &mut _| start_line(version, input))
        .parse(first)
        .map_err(|_| ParseError::StartLine(excerpt(first)))?;
    if fields.len() > MAX_HEADERS {
        return Err(ParseError::TooManyHeaders);
    }
    let (mut headers, mut cseq, mut body_len) = (Headers::default(), None, 0u64);
    for (k, line) in fields.iter().enumerate() {
        let malformed = || ParseError::Header(k + 1, excerpt(line));
        let (name, value) = header.parse(line).map_err(|_| malformed())?;
        let name = std::str::from_utf8(name).map_err(|_| malformed())?;
        let value = std::str::from_utf8(value).map_err(|_| malformed())?.trim_end();
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
        StartLine::Response(status @ 100..=599) => {
            Response { status: status as u16, cseq, headers, body }.into()
        }
        StartLine::Response(status) => return Err(ParseError::Status(status)),
        StartLine::Request(method, uri) => {
            let only_v1 = |m: &Method| matches!(m, Method::Announce | Method::Redirect);
            let supported = Method::ALL.into_iter().filter(|m| version == Version::V1 || !only_v1(m));
            let known = supported.into_iter().find(|m| m.name().as_bytes() == method);
            let method = known.ok_or_else(|| ParseError::Method(excerpt(method)))?;
            Request { method, uri: to_lossy_string(uri), cseq, headers, body }.into()
        }
    };
    Ok(Some((message, skipped + from + body_len as usize)))
}

fn to_lossy_string(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
