//! Agreement on the rules that directors share: a majority of voters chooses one content for each version, and a director
//! acts on a version under a lease. Performs no I/O: callers pass in messages and monotonic time, and take out messages and
//! the state to write to disk.
//!
//! - [`Voter`]: one instance of single-decree Paxos (Lamport 2001) for each next version. The preceding version has to be
//!   chosen and known first, so a voter holds a promise and an accepted value for one version only, and a proposal is a
//!   compare-and-set. Each version names the voters that decide the next one, so membership changes by versions and no
//!   version has two majorities.
//! - [`Follower`]: the director's side. A director acts on a version while a majority of voters, *asked* less than a lease
//!   ago, had accepted nothing newer (Gray and Cheriton 1989). Voters hold no lease that anyone waits for: a director that
//!   acts only on the old version stops within a lease, by its own clock, after the new version was chosen.
//! - [`keys`]: which keys may differ during a change, which are acted on at their stricter value, and which switch later.

mod delta;
mod follower;
pub mod keys;
mod messages;
mod voter;

pub use delta::{Delta, Edit};
pub use follower::{ActiveVersions, Follower, RENEWALS_PER_LEASE, Rules, VersionSpan};
pub use messages::{
    Ballot, CatchUp, Chosen, ClientRequest, DirectorStatus, DocumentReader, MAX_DOCUMENT, MAX_LINE,
    MAX_LOG_BYTES, MAX_LOG_VERSIONS, Value, VoterId, VoterMessage, VoterResponse,
};
pub use voter::{DurableState, MAX_DIRECTOR_NAMES, Output, Voter};

/// Maximum difference in rate between two monotonic clocks, as a fraction, including the slewing of a director's time.
/// Undisturbed machine clocks keep to 0.0002 of their rate; this is fifty times that.
pub const MAX_CLOCK_RATE_ERROR: f64 = 0.01;

/// Lease duration as a fraction of the stated maximum contradiction time. The rest allows for commands that were decided in
/// time and have yet to reach a node, and for directors that learn of a change at different times.
pub const LEASE_FRACTION: f64 = 0.5;

/// The duration of a lease on a version that states this maximum contradiction time, both in seconds.
pub fn lease_duration(contradiction: f64) -> f64 {
    contradiction * LEASE_FRACTION
}
