//! A director on the users' platform: JSON lines with viewers, RTSP/1.0 with media nodes and server-sent
//! events from the change log, around the same [`kelpdoor::Director`] that the other entry points drive.
//!
//! [`SessionCore`] is the core without I/O; [`run`] owns the sockets, timers and signals around it and makes
//! no decisions. `docs/platform.md` describes the operation.

pub mod attempts;
pub mod changes;
pub mod core;
pub mod incarnations;
mod lines;
pub mod liveness;
pub mod media;
mod shell;
pub mod startup;
pub mod viewer;

pub use self::core::SessionCore;
pub use shell::run;
pub use startup::{StartupConfig, StartupError};
