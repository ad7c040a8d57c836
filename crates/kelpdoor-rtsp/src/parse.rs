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

const LINE_END: &[u8] = b"\r\n";
/// The end of the last line of a head, and the empty line after it.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why bytes are not a message. The connection cannot be used afterwards, because the start of the next message is
/// unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    #[error("headers do not end within {0} bytes")]
    HeadTooLong(usize),
    #[error("more than {0} bytes of empty lines before a message")]
    EmptyLines(usize),
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
/// incomplete. CRLFs before a message are skipped (section 5), up to the limit on its head.
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
    let skipped = leading_empty_lines(buf);
    check_empty_lines(version, skipped)?;
    let rest = &buf[skipped..];
    let Some(head_len) = find_head_end(version, rest, 0)? else { return Ok(None) };
    let head = Head::parse(version, &rest[..head_len])?;
    let len = head_len + head.body_len;
    let Some(body) = rest.get(head_len..len).map(<[u8]>::to_vec) else { return Ok(None) };
    Ok(Some((head.into_message(body), skipped + len)))
}

/// Bytes of the empty lines at the start of `buf`.
pub(crate) fn leading_empty_lines(buf: &[u8]) -> usize {
    buf.chunks(2).take_while(|c| *c == b"\r\n").count() * 2
}

/// Checks the bytes of empty lines before a message against the limit on its head.
pub(crate) fn check_empty_lines(version: Version, bytes: usize) -> Result<(), ParseError> {
    let (max_head, _) = version.limits();
    if bytes > max_head { Err(ParseError::EmptyLines(max_head)) } else { Ok(()) }
}

/// Length of the head at the start of `buf`, with the empty line that ends it; `None` if it is incomplete. The end is known not
/// to begin within the first `searched` bytes.
pub(crate) fn find_head_end(
    version: Version, buf: &[u8], searched: usize,
) -> Result<Option<usize>, ParseError> {
    let (max_head, _) = version.limits();
    let window = &buf[searched..buf.len().min(max_head).max(searched)];
    match window.windows(HEAD_END.len()).position(|w| w == HEAD_END) {
        Some(at) => Ok(Some(searched + at + HEAD_END.len())),
        None if buf.len() >= max_head => Err(ParseError::HeadTooLong(max_head)),
        None => Ok(None),
    }
}

/// A parsed start line with its headers, which waits for its body.
pub(crate) struct Head {
    start: ParsedStart,
    headers: Headers,
    cseq: u32,
    pub(crate) body_len: usize,
}

enum ParsedStart {
    Request(Method, String),
    Response(u16),
}

impl Head {
    /// Parses a head, with the empty line that ends it.
    pub(crate) fn parse(version: Version, head: &[u8]) -> Result<Head, ParseError> {
        let (_, max_body) = version.limits();
        let head = &head[..head.len() - LINE_END.len()];
        if head.windows(LINE_END.len()).filter(|w| *w == LINE_END).count() > MAX_HEADERS + 1 {
            return Err(ParseError::TooManyHeaders);
        }
        let all = lines.parse(head).map_err(|_| ParseError::StartLine(excerpt(head)))?;
        let (first, fields) = all.split_first().ok_or_else(|| ParseError::StartLine(String::new()))?;
        let start = (|input: &mut _| start_line(version, input))
            .parse(first)
            .map_err(|_| ParseError::StartLine(excerpt(first)))?;
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
        let too_long = ParseError::BodyTooLong(body_len, max_body);
        let body_len = usize::try_from(body_len).ok().filter(|len| *len <= max_body).ok_or(too_long)?;
        let start = match start {
            StartLine::Response(status @ 100..=599) => ParsedStart::Response(status as u16),
            StartLine::Response(status) => return Err(ParseError::Status(status)),
            StartLine::Request(method, uri) => {
                ParsedStart::Request(find_method(version, method)?, to_lossy_string(uri))
            }
        };
        Ok(Head { start, headers, cseq, body_len })
    }

    pub(crate) fn into_message(self, body: Vec<u8>) -> Message {
        let Head { start, headers, cseq, .. } = self;
        match start {
            ParsedStart::Response(status) => Response { status, cseq, headers, body }.into(),
            ParsedStart::Request(method, uri) => Request { method, uri, cseq, headers, body }.into(),
        }
    }
}

fn find_method(version: Version, name: &[u8]) -> Result<Method, ParseError> {
    let only_v1 = |m: &Method| matches!(m, Method::Announce | Method::Redirect);
    let mut supported = Method::ALL.into_iter().filter(|m| version == Version::V1 || !only_v1(m));
    supported.find(|m| m.name().as_bytes() == name).ok_or_else(|| ParseError::Method(excerpt(name)))
}

fn to_lossy_string(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
