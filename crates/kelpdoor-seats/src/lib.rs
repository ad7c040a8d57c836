//! Seats that schools have bought, each counted once and freed once, whatever is lost, late, doubled or restarted.
//!
//! Two state machines without I/O, times passed in (seconds):
//! [`Ledger`], the keeper's, knows who holds each seat; [`Holder`], a director's, asks for seats, waits no longer
//! than told, and goes on with what it was lent when the keeper is slow or gone. `docs/seats.md` has the table of
//! what each word does in each state.

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

/// One start of a director, given out by the keeper; words of an earlier one are fenced off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// From a director to the keeper. `n` numbers a director's words within its epoch, and answers name it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperRequest {
    /// A director started and has no epoch yet; `nonce` tells one start from another.
    Hello {
        director: DirectorId,
        nonce: u64,
    },
    /// It lives: what it holds is held on.
    Beat {
        director: DirectorId,
        epoch: Epoch,
        n: u64,
    },
    /// A seat for that token, until it expires. Also renews one that is held.
    Claim {
        director: DirectorId,
        epoch: Epoch,
        school: School,
        token: TokenId,
        expires: f64,
        n: u64,
    },
    /// As a claim, for a seat already given out of what was lent: it takes the place of one lent.
    Spent {
        director: DirectorId,
        epoch: Epoch,
        school: School,
        token: TokenId,
        expires: f64,
        n: u64,
    },
    Release {
        director: DirectorId,
        epoch: Epoch,
        school: School,
        token: TokenId,
        n: u64,
    },
    /// Lend up to that many seats altogether for later claims; fewer gives the rest back.
    Lend {
        director: DirectorId,
        epoch: Epoch,
        school: School,
        want: u32,
        n: u64,
    },
}

/// From the keeper to a director.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperResponse {
    Welcome {
        nonce: u64,
        epoch: Epoch,
    },
    /// The beat of that number was heard.
    Alive {
        epoch: Epoch,
        n: u64,
    },
    /// The director's epoch is over; it says hello again.
    Fenced {
        epoch: Epoch,
    },
    Granted {
        epoch: Epoch,
        school: School,
        token: TokenId,
        n: u64,
    },
    /// That release is done, or there was nothing to release.
    Freed {
        epoch: Epoch,
        school: School,
        token: TokenId,
        n: u64,
    },
    /// All seats are taken; one may be free after `come_back` seconds.
    Full {
        epoch: Epoch,
        school: School,
        token: TokenId,
        n: u64,
        come_back: f64,
    },
    /// The token has expired.
    Expired {
        epoch: Epoch,
        school: School,
        token: TokenId,
        n: u64,
    },
    /// The token's seat, held since that word, went to another director, where its viewer came again. Said again at
    /// each beat until the director releases it.
    Moved {
        epoch: Epoch,
        school: School,
        token: TokenId,
        n: u64,
    },
    /// So many are lent now, until then.
    Lent {
        epoch: Epoch,
        school: School,
        count: u32,
        until: f64,
        n: u64,
    },
}
