//! The director on the users' platform: JSON lines with viewers, RTSP/1.0 with media nodes, server-sent events from the
//! change log, round the same [`kelpdoor::Director`] that every other route drives.
//!
//! [`SessionCore`] is the core without I/O; [`run`] owns sockets, timers and signals round it and has no rule of its own.
//! `docs/platform.md` tells operators how it behaves.

pub mod changes;
pub mod core;
pub mod liveness;
pub mod media;
mod shell;
pub mod startup;
pub mod viewer;

pub use self::core::SessionCore;
pub use shell::run;
pub use startup::{StartupConfig, StartupError};
