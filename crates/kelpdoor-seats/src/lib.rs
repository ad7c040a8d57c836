//! Accounting of the seats that schools have bought. Each seat is counted once and freed once even if messages are
//! lost, delayed or duplicated, or processes restart.
//!
//! The crate has two state machines without I/O; the caller passes times in, in seconds. [`Ledger`], the keeper's,
//! knows who holds each seat. [`Holder`], a director's, requests seats within a time limit and uses seats leased in
//! advance when the keeper is slow or unavailable. `docs/seats.md` has the table of what each message does in each
//! state.

mod holder;
mod ledger;

pub use holder::{EndReason, Holder, HolderTimeouts, Output, RefusalReason};
pub use ledger::{Change, LeaseTerms, Ledger, SchoolStatus};

use serde::{Deserialize, Serialize};

/// A customer whose members share one pool of seats.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct School(pub String);

/// A token's own id (RFC 7519, 4.1.7 `jti`). With the school it names a seat.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TokenId(pub String);

/// A director's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DirectorId(pub u32);

/// Number that the keeper assigns to one start of a director; messages of its earlier epochs are rejected (fenced).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// Message from a director to the keeper. `n` numbers a director's messages within its epoch; a response repeats it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperRequest {
    /// A director started and requests an epoch; `nonce` distinguishes its starts.
    Hello { director: DirectorId, nonce: u64 },
    /// Heartbeat; extends the director's lease.
    Beat { director: DirectorId, epoch: Epoch, n: u64 },
    /// Claims a seat for a token until it expires, or renews the one it holds.
    Claim { director: DirectorId, epoch: Epoch, school: School, token: TokenId, expires: f64, n: u64 },
    /// Claims a seat that the director already took from its advance lease, which then has one seat less.
    Spent { director: DirectorId, epoch: Epoch, school: School, token: TokenId, expires: f64, n: u64 },
    /// Gives a token's seat back.
    Release { director: DirectorId, epoch: Epoch, school: School, token: TokenId, n: u64 },
    /// Requests an advance lease of `want` seats altogether; fewer than leased gives the rest back.
    Lend { director: DirectorId, epoch: Epoch, school: School, want: u32, n: u64 },
}

/// Message from the keeper to a director.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperResponse {
    /// Response to a hello: the epoch of that start.
    Welcome { nonce: u64, epoch: Epoch },
    /// Response to a heartbeat.
    Alive { epoch: Epoch, n: u64 },
    /// The director's epoch has ended; it has to send a hello again.
    Fenced { epoch: Epoch },
    /// The token holds its seat.
    Granted { epoch: Epoch, school: School, token: TokenId, n: u64 },
    /// The seat was released, or there was none to release.
    Freed { epoch: Epoch, school: School, token: TokenId, n: u64 },
    /// All seats are taken; one may become free after `come_back` seconds.
    Full { epoch: Epoch, school: School, token: TokenId, n: u64, come_back: f64 },
    /// The token has expired.
    /// The token has expired.
    Expired { epoch: Epoch, school: School, token: TokenId, n: u64 },
    /// The seat that the token held by claim `n` went to another director, where its viewer reconnected. Repeated with
    /// each heartbeat until the director releases it.
    Moved { epoch: Epoch, school: School, token: TokenId, n: u64 },
    /// The director's advance lease now has `count` unused seats and ends at `until`.
    Lent { epoch: Epoch, school: School, count: u32, until: f64, n: u64 },
}
