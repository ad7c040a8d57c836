//! RTSP messages: a parser with limits on every length, a writer, and the values of the extension headers.
//!
//! kelpdoor speaks version 2.0 (RFC 7826) with its media nodes and version 1.0 (RFC 2326) with those of the users' platform.
//! The director and the simulated nodes of `kelpdoor-lab` share this crate, which keeps no state and does no I/O.
//! `docs/node-protocol.md` describes the supported subset.

mod decode;
mod message;
mod parse;
mod values;

pub use decode::MessageDecoder;
pub use message::{Headers, Message, Method, Request, Response, Version};
pub use parse::{MAX_HEADERS, ParseError, parse, parse_as};
pub use values::{LinkDemandHeader, LoadReportHeader};

/// Names of the header fields in use. RFC 7826, section 4.1, lets a peer ignore the extension headers among them.
pub mod header_names {
    pub const CSEQ: &str = "CSeq";
    pub const SESSION: &str = "Session";
    /// Relates a PLAY or TEARDOWN to a SETUP whose response is outstanding (section 18.33).
    pub const PIPELINED: &str = "Pipelined-Requests";
    pub const RETRY_AFTER: &str = "Retry-After";
    pub const NOTIFY_REASON: &str = "Notify-Reason";
    pub const USER_AGENT: &str = "User-Agent";
    pub const CONTENT_LENGTH: &str = "Content-Length";
    pub const TRANSPORT: &str = "Transport";
    // Extension headers.
    pub const RUNG: &str = "Rung";
    pub const SERVICE_GROUP: &str = "Service-Group";
    pub const REQUEST_KEY: &str = "Request-Key";
    /// Versions of the agreed rules by which a SETUP was decided; absent where directors do not agree on rules.
    pub const RULES_VERSION: &str = "Rules-Version";
    pub const LOAD_REPORT: &str = "Load-Report";
    pub const ASKED: &str = "Asked";
    pub const DELIVERED: &str = "Delivered";
}

/// Values of `Notify-Reason` (section 13.5.1). `delivery-share` and `link-load` are extensions.
pub mod notify_reasons {
    pub const END_OF_STREAM: &str = "end-of-stream";
    pub const DELIVERY_SHARE: &str = "delivery-share";
    pub const LINK_LOAD: &str = "link-load";
}
