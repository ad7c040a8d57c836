//! The director on the users' platform: JSON lines with viewers, RTSP/1.0 with media nodes, server-sent events from the
//! change log, round the same [`kelpdoor::Director`] that every other route drives.
//!
//! [`Exchange`] is the core without I/O; [`run`] owns sockets, timers and signals round it and has no rule of its own.
//! `docs/platform.md` tells operators how it behaves.

pub mod changes;
pub mod exchange;
pub mod media;
pub mod pulse;
mod shell;
pub mod start;
pub mod viewer;

pub use exchange::Exchange;
pub use shell::run;
pub use start::{Start, StartFault};
