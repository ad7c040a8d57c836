//! Rules on which directors agree: one content for each version, decided by a majority of voters, and the lease under
//! which a director acts on it. No I/O: calls in, words and one write out, steady time passed in.
//!
//! - [`Voter`]: for each next version one decree of Paxos (Lamport 2001). The version before has to be chosen and known
//!   first, so a voter holds a promise and an accepted value for one version alone, and a proposal is a compare-and-set.
//!   Who decides a version stands in the one before it: voters come and go by a version, and no version has two majorities.
//! - [`Follower`]: a director's side. It acts on a version as long as a majority of voters, *asked* less than a lease ago,
//!   had accepted nothing newer (Gray and Cheriton 1989). Voters hold no lease that anybody waits for: who acts on the old
//!   alone ends a lease after the new one was chosen, by its own clock.
//! - [`keys`]: what may differ while a change goes round, what is acted on at its stricter side, what waits.

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

/// Of time; how far apart two steady clocks may run, the slewing of a director's time included. Clocks of machines keep
/// to 0.0002 of their rate when undisturbed; fifty times that.
pub const MAX_CLOCK_RATE_ERROR: f64 = 0.01;

/// Of the stated longest contradiction; a lease. The rest is for what was decided in time and has still to reach a
/// node, and for directors that hear of a change at different times.
pub const LEASE_FRACTION: f64 = 0.5;

/// A lease on a version that states this longest contradiction, s.
pub fn lease_duration(contradiction: f64) -> f64 {
    contradiction * LEASE_FRACTION
}
