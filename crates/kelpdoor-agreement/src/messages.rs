//! Messages between voters, and between a voter and its clients (directors and operators): one JSON object per line.

use ring::digest::{SHA256, digest};
use serde::{Deserialize, Serialize};

use crate::delta::Delta;

/// Maximum size of a document, in bytes.
pub const MAX_DOCUMENT: usize = 1 << 18;
/// Maximum size of a line on the wire, in bytes: a document whose every byte is escaped, twice, and the message around it.
pub const MAX_LINE: usize = 16 * MAX_DOCUMENT;

/// Maximum number of versions in a voter's log of deltas, and in a chain sent to a director. A director under the longest
/// lease lacks 60 versions at 5.8 changes a second; one that lacks more than the log holds waits for its lease to end.
pub const MAX_LOG_VERSIONS: usize = 256;
/// Maximum size of a voter's log of deltas, in bytes. Even fully escaped, such a log fits within [`MAX_LINE`].
pub const MAX_LOG_BYTES: usize = 2 * MAX_DOCUMENT;

/// The number of a voter. It is never reassigned to another voter; the voter's address may change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u8);

/// Functions that extract from a document what the protocol itself needs.
#[derive(Clone, Copy, Debug)]
pub struct DocumentReader {
    /// Duration of the lease that the document grants, in seconds.
    pub lease: fn(&str) -> f64,
    /// The voters that decide the version after this document.
    pub voters: fn(&str) -> Vec<VoterId>,
}

/// A ballot number: a proposer's attempt. The default is lower than every ballot in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub voter: VoterId,
}

/// A proposed document. The id identifies the proposal, so that two proposals of the same text differ.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Value {
    pub id: u64,
    pub text: String,
}

/// A chosen version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Chosen {
    pub number: u64,
    pub value: Value,
}

impl Chosen {
    /// The first 16 hexadecimal digits of the SHA-256 of the text.
    pub fn digest(&self) -> String {
        let sum = digest(&SHA256, self.value.text.as_bytes());
        sum.as_ref()[..8].iter().map(|b| format!("{b:02x}")).collect()
    }

    /// `number/digest`, as used in logs and records.
    pub fn label(&self) -> String {
        format!("{}/{}", self.number, self.digest())
    }
}

/// Maximum version and round number. No fleet reaches it, and sums of such numbers cannot overflow.
pub const MAX_VERSION: u64 = 1 << 53;

impl VoterMessage {
    /// Whether all version and round numbers are at most [`MAX_VERSION`].
    pub(crate) fn has_valid_numbers(&self) -> bool {
        let valid_round = |b: &Ballot| b.round <= MAX_VERSION;
        match self {
            VoterMessage::Prepare { number, ballot }
            | VoterMessage::Accept { number, ballot, .. }
            | VoterMessage::Accepted { number, ballot }
            | VoterMessage::Refuse { number, promised: ballot } => {
                *number <= MAX_VERSION && valid_round(ballot)
            }
            VoterMessage::Promise { number, ballot, accepted } => {
                *number <= MAX_VERSION
                    && valid_round(ballot)
                    && accepted.as_ref().is_none_or(|(b, ..)| valid_round(b))
            }
            VoterMessage::Learn { number, .. } | VoterMessage::Have { number, .. } => *number <= MAX_VERSION,
            VoterMessage::Behind { have } | VoterMessage::Want { have, .. } => *have <= MAX_VERSION,
        }
    }
}

/// A message from one voter to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoterMessage {
    Prepare {
        number: u64,
        ballot: Ballot,
    },
    Promise {
        number: u64,
        ballot: Ballot,
        accepted: Option<(Ballot, u64, String)>,
    },
    Accept {
        number: u64,
        ballot: Ballot,
        id: u64,
        text: String,
    },
    Accepted {
        number: u64,
        ballot: Ballot,
    },
    /// Rejects a ballot lower than the promised one.
    Refuse {
        number: u64,
        promised: Ballot,
    },
    /// The version is chosen.
    Learn {
        number: u64,
        id: u64,
        text: String,
    },
    /// The sender does not know the preceding version.
    Behind {
        have: u64,
    },
    /// Asks for the receiver's newest version. The receiver answers with `Have`, and with `Learn` if it knows a newer version.
    Want {
        /// Random number drawn when the sender started. It lets the sender ignore answers to requests from before a restart,
        /// which say nothing about what it has lost since.
        start: u64,
        have: u64,
        /// The sender knows from which version on it may vote.
        ready: bool,
    },
    Have {
        start: u64,
        number: u64,
        /// The sender has accepted a value for the next version.
        accepted: bool,
    },
}

/// A request from a client, which is a director, an operator or another voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientRequest {
    /// The first request on each connection; answered with `Welcome`.
    Hello {
        fleet: String,
    },
    /// Checks that the connection is alive; answered with `Pong`.
    Ping,
    /// A director asks to renew its lease.
    Renew {
        name: String,
        /// Random number drawn when the director started.
        boot: u64,
        seq: u64,
        /// The newest version that the director knows; 0 if none.
        have: u64,
        /// Duration of the requested lease, in seconds.
        lease: f64,
        /// Remaining time of the current lease, in seconds.
        left: f64,
        /// Label of the versions that the director acts on, for operators.
        acts: String,
        /// How the director receives versions that it lacks. Directors that predate version chains omit it and receive whole
        /// documents.
        #[serde(default, skip_serializing_if = "CatchUp::is_document")]
        wants: CatchUp,
    },
    Propose {
        after: u64,
        value: Value,
        /// The operator confirms changes that need it, such as the removal of half of a list at once.
        sure: bool,
    },
    /// Asks for the voter's status.
    #[serde(rename = "standing")]
    Status,
    /// Asks for the content of an earlier version.
    Content {
        number: u64,
    },
    Voter {
        from: VoterId,
        word: VoterMessage,
    },
}

/// How a director receives versions that it lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CatchUp {
    /// The newest version as a whole document.
    #[default]
    Document,
    /// A chain of all versions since the known one, or nothing: a director under a lease must not skip versions.
    Chain,
    /// A chain, or the newest version as a whole document if the log does not reach back far enough.
    Either,
}

impl CatchUp {
    fn is_document(&self) -> bool {
        *self == CatchUp::Document
    }
}

/// A director's state as a voter knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectorStatus {
    pub name: String,
    pub have: u64,
    pub acts: String,
    /// Seconds since its last request.
    pub heard: f64,
    /// Remaining time of its lease at that request, in seconds.
    pub left: f64,
}

/// A voter's response to a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoterResponse {
    Welcome {
        me: VoterId,
    },
    Pong,
    /// When the request was handled, the voter had accepted nothing newer than `newest`, unless `pending` is set.
    Granted {
        seq: u64,
        newest: u64,
        pending: bool,
        /// The newest version, if the director lacks it and takes whole documents.
        document: Option<Chosen>,
        /// Every version since the one that the director knows, if it takes chains.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        chain: Vec<Delta>,
    },
    Refused {
        seq: u64,
        why: String,
    },
    Agreed {
        number: u64,
    },
    /// Another proposal was chosen first.
    Lost {
        newest: u64,
        digest: String,
    },
    /// The proposal was not decided in time; it may still be chosen.
    Unknown {
        why: String,
    },
    NotTaken {
        why: String,
    },
    #[serde(rename = "standing")]
    Status {
        newest: u64,
        digest: String,
        pending: bool,
        votes: bool,
        /// The voter is one of those that decide the version after the newest.
        listed: bool,
        /// The voters that decide the version after the newest.
        deciding: Vec<VoterId>,
        /// Versions learned per second over the last minute.
        #[serde(default)]
        changes: f64,
        directors: Vec<DirectorStatus>,
    },
    Content {
        found: Option<Chosen>,
    },
    /// A message to another voter, sent on the connection that it opened when there is no connection to it.
    Voter {
        word: VoterMessage,
    },
    /// The request was malformed; the connection is closed.
    Fault(String),
}
