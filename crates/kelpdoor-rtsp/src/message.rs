//! Requests and responses, and their serialization.

use crate::header_names;

/// Methods in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    Options,
    Setup,
    Play,
    SetParameter,
    GetParameter,
    Teardown,
    PlayNotify,
    /// Only in RTSP/1.0 (RFC 2326, section 10.3).
    Announce,
    /// Defined in RTSP/1.0 (RFC 2326, section 10.10) and 2.0, accepted here only in RTSP/1.0.
    Redirect,
}

impl Method {
    pub const ALL: [Method; 9] = [
        Method::Options,
        Method::Setup,
        Method::Play,
        Method::SetParameter,
        Method::GetParameter,
        Method::Teardown,
        Method::PlayNotify,
        Method::Announce,
        Method::Redirect,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Method::Options => "OPTIONS",
            Method::Setup => "SETUP",
            Method::Play => "PLAY",
            Method::SetParameter => "SET_PARAMETER",
            Method::GetParameter => "GET_PARAMETER",
            Method::Teardown => "TEARDOWN",
            Method::PlayNotify => "PLAY_NOTIFY",
            Method::Announce => "ANNOUNCE",
            Method::Redirect => "REDIRECT",
        }
    }
}

/// Protocol version: 2.0 for the director's own nodes, 1.0 (RFC 2326) for the users' platform. The versions differ in the
/// start line, the limits on lengths, and the header fields that may be omitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    V1,
    V2,
}

impl Version {
    /// The version as it appears in start lines.
    pub fn name(self) -> &'static str {
        match self {
            Version::V1 => "RTSP/1.0",
            Version::V2 => "RTSP/2.0",
        }
    }

    /// Maximum bytes of the start line with the headers, and of the body.
    pub fn limits(self) -> (usize, usize) {
        match self {
            Version::V1 => (16 << 10, 16 << 10),
            Version::V2 => (4096, 4096),
        }
    }
}

/// Header fields in order. Names are compared without regard to case (section 5.2).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// Value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Value of a field parsed as `T`; `None` if the field is absent or does not parse.
    pub fn parse_value<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.get(name)?.trim().parse().ok()
    }

    /// Appends a field. Control characters are dropped from the value, so that it cannot end the line and forge a header.
    pub fn append(&mut self, name: &str, value: impl std::fmt::Display) {
        let clean: String = value.to_string().chars().filter(|c| !c.is_control()).collect();
        self.0.push((name.to_owned(), clean));
    }
}

/// An RTSP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: Method,
    pub uri: String,
    pub cseq: u32,
    /// All fields except CSeq and Content-Length.
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    /// A request without headers and body.
    pub fn new(method: Method, uri: impl Into<String>, cseq: u32) -> Self {
        Request { method, uri: uri.into(), cseq, headers: Headers::default(), body: Vec::new() }
    }

    /// Appends a header field.
    pub fn with(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        self.headers.append(name, value);
        self
    }
}

/// An RTSP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// 100 to 599 (section 17).
    pub status: u16,
    pub cseq: u32,
    /// All fields except CSeq and Content-Length.
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Response {
    /// A response without headers and body.
    pub fn new(status: u16, cseq: u32) -> Self {
        Response { status, cseq, headers: Headers::default(), body: Vec::new() }
    }

    /// Appends a header field.
    pub fn with(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        self.headers.append(name, value);
        self
    }

    /// Whether the status is 2xx.
    pub fn ok(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the node refused the request without processing it, so that nothing ran: 453 Not Enough Bandwidth
    /// (section 17.4.20) or 503 Service Unavailable (section 17.5.4).
    pub fn is_refusal(&self) -> bool {
        matches!(self.status, 453 | 503)
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        451 => "Parameter Not Understood",
        453 => "Not Enough Bandwidth",
        454 => "Session Not Found",
        455 => "Method Not Valid in This State",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// A request or a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    Request(Request),
    Response(Response),
}

impl Message {
    pub fn cseq(&self) -> u32 {
        match self {
            Message::Request(r) => r.cseq,
            Message::Response(r) => r.cseq,
        }
    }

    /// Appends the serialized message in version 2.0.
    pub fn write(&self, out: &mut Vec<u8>) {
        self.write_as(Version::V2, out);
    }

    /// Appends the serialized message in the given version. Version 1.0 always states the length of the body.
    pub fn write_as(&self, version: Version, out: &mut Vec<u8>) {
        let v = version.name();
        let (first, cseq, headers, body) = match self {
            Message::Request(r) => {
                (format!("{} {} {v}", r.method.name(), r.uri), r.cseq, &r.headers, &r.body)
            }
            Message::Response(r) => {
                (format!("{v} {} {}", r.status, reason_phrase(r.status)), r.cseq, &r.headers, &r.body)
            }
        };
        out.extend_from_slice(first.as_bytes());
        out.extend_from_slice(format!("\r\n{}: {cseq}\r\n", header_names::CSEQ).as_bytes());
        for (name, value) in &headers.0 {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value.as_bytes());
            out.extend_from_slice(b"\r\n");
        }
        if !body.is_empty() || version == Version::V1 {
            out.extend_from_slice(format!("{}: {}\r\n", header_names::CONTENT_LENGTH, body.len()).as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
    }

    /// The serialized message in version 2.0.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(256);
        self.write(&mut out);
        out
    }
}

impl From<Request> for Message {
    fn from(r: Request) -> Self {
        Message::Request(r)
    }
}

impl From<Response> for Message {
    fn from(r: Response) -> Self {
        Message::Response(r)
    }
}
