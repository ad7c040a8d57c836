//! RTSP 2.0 (RFC 7826) as kelpdoor speaks it with media nodes, and 1.0 (RFC 2326) as the users' platform does: a parser with limits on every length, a writer,
//! and the few header values of ours. No state beyond the bytes at hand, no I/O.
//!
//! Two sides use it: the director, and the stand-in nodes of the lab. `docs/node-protocol.md` has the subset.

mod message;
mod parse;
mod values;

pub use message::{Headers, Message, Method, Request, Response, Version};
pub use parse::{MAX_HEADERS, ParseError, parse, parse_as};
pub use values::{LinkDemandHeader, LoadReportHeader};

/// Header names of the subset. Those under "ours" are extensions, which RFC 7826, section 4.1 lets a peer skip.
pub mod header_names {
    pub const CSEQ: &str = "CSeq";
    pub const SESSION: &str = "Session";
    /// Ties a PLAY or TEARDOWN to a SETUP that is not answered yet (section 18.33).
    pub const PIPELINED: &str = "Pipelined-Requests";
    pub const RETRY_AFTER: &str = "Retry-After";
    pub const NOTIFY_REASON: &str = "Notify-Reason";
    pub const USER_AGENT: &str = "User-Agent";
    pub const CONTENT_LENGTH: &str = "Content-Length";
    pub const TRANSPORT: &str = "Transport";
    // Ours.
    pub const RUNG: &str = "Rung";
    pub const SERVICE_GROUP: &str = "Service-Group";
    pub const REQUEST_KEY: &str = "Request-Key";
    /// The versions of the rules that a SETUP was decided on, where directors agree on them.
    pub const RULES_VERSION: &str = "Rules-Version";
    pub const LOAD_REPORT: &str = "Load-Report";
    pub const ASKED: &str = "Asked";
    pub const DELIVERED: &str = "Delivered";
}

/// Values of Notify-Reason (section 13.5.1); the last two are ours.
pub mod notify_reasons {
    pub const END_OF_STREAM: &str = "end-of-stream";
    pub const DELIVERY_SHARE: &str = "delivery-share";
    pub const LINK_LOAD: &str = "link-load";
}
