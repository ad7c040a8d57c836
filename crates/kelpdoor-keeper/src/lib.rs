//! The keeper's process: a voter of what directors agree on, the keeper of seats, or both.
//!
//! The keeper of seats: [`Ledger`](kelpdoor_seats::Ledger) with a log on disk and directors on sockets.
//!
//! What changed is on disk before any answer that tells of it goes out; changes that wait together are written
//! together. The log holds records of changes, each with its length and checksums: one cut short at the end was never
//! answered for and is dropped, anything else that is not as it was written is named and nothing is loaded.

mod line;
mod log;
mod serve;
mod sockets;
mod voter;
mod wire;

pub use line::{Heard, Lines};
pub use log::{Log, LogFault, Opened};
pub use serve::{Agreed, DIRECTORS, KeeperOptions, RunningKeeper, Sold, start};
pub use sockets::CONNS;
pub use voter::{READING, RunningVoter, VoterOptions, addresses, read, start as start_voter};
pub use wire::{Ask, MAX_LINE, SchoolStanding, Tell};
