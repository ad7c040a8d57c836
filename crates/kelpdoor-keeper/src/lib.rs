//! The keeper's process: a voter of what directors agree on, the keeper of seats, or both.
//!
//! The keeper of seats: [`Ledger`](kelpdoor_seats::Ledger) with a log on disk and directors on sockets.
//!
//! What changed is on disk before any answer that tells of it goes out; changes that wait together are written
//! together. The log holds records of changes, each with its length and checksums: one cut short at the end was never
//! answered for and is dropped, anything else that is not as it was written is named and nothing is loaded.

mod log;
mod serve;
mod sockets;
mod voter;
mod voter_connections;
mod wire;

pub use log::{Log, LogError, OpenedLog};
pub use serve::{AgreedSchools, KeeperOptions, MAX_CONNECTED_DIRECTORS, RunningKeeper, SchoolSeats, start};
pub use sockets::MAX_CONNECTIONS;
pub use voter::{
    DOCUMENT_READER, RunningVoter, VoterOptions, parse_document, start as start_voter, voter_addresses,
};
pub use voter_connections::{ConnectionEvent, VoterConnections};
pub use wire::{KeeperClientMessage, KeeperServerMessage, MAX_LINE, SchoolSeatCounts};
