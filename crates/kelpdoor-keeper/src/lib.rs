//! The keeper's process: a voter of the directors' agreement, the keeper of seats, or both.
//!
//! The keeper of seats is a [`Ledger`](kelpdoor_seats::Ledger) with a log on disk, serving directors over TCP.
//!
//! Changes are on disk before a response that depends on them is sent; changes of one batch are written together. The log
//! holds records of changes, each with its length and checksums. An incomplete record at the end is dropped, because no
//! response was sent for it. Any other corruption is reported, and nothing is loaded.

mod hedged;
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
