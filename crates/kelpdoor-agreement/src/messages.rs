//! What crosses between voters, and between a voter and directors or operators: a JSON line for each.

use ring::digest::{SHA256, digest};
use serde::{Deserialize, Serialize};

use crate::delta::Delta;

/// Bytes of a document at most.
pub const MAX_DOCUMENT: usize = 1 << 18;
/// Bytes of a line at most: a document with every byte escaped, twice, and what stands round it.
pub const MAX_LINE: usize = 16 * MAX_DOCUMENT;

/// Versions, and bytes of what they change, that a voter keeps to tell directors of at most: a director under the longest
/// lease lacks 60 at 5.8 a second; over it one waits a lease. Escaped it still is within a line.
pub const MAX_LOG_VERSIONS: usize = 256;
/// Bytes of the edits that a voter stores in its log at most.
pub const MAX_LOG_BYTES: usize = 2 * MAX_DOCUMENT;

/// A voter's number. No other voter gets it, ever; its address may change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u8);

/// How a document is read, as far as voters and leases go.
#[derive(Clone, Copy, Debug)]
pub struct DocumentReader {
    /// s; the lease that it grants.
    pub lease: fn(&str) -> f64,
    /// Who decides the version after it.
    pub voters: fn(&str) -> Vec<VoterId>,
}

/// A proposer's try; the default is under every try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub voter: VoterId,
}

/// A content, under the number that names its proposal: two proposals of the same text are told apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Value {
    pub id: u64,
    pub text: String,
}

/// A version as it was agreed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Chosen {
    pub number: u64,
    pub value: Value,
}

impl Chosen {
    /// SHA-256 of the text, the first 16 hexadecimal digits.
    pub fn digest(&self) -> String {
        let sum = digest(&SHA256, self.value.text.as_bytes());
        sum.as_ref()[..8].iter().map(|b| format!("{b:02x}")).collect()
    }

    /// Number and digest, as logs and records name it.
    pub fn label(&self) -> String {
        format!("{}/{}", self.number, self.digest())
    }
}

/// Versions and rounds are counted up to here: more than any fleet comes to, and far from where a sum would not hold.
pub const MAX_VERSION: u64 = 1 << 53;

impl VoterMessage {
    /// Whether its numbers are such as a voter may come to.
    pub(crate) fn plausible(&self) -> bool {
        let round = |b: &Ballot| b.round <= MAX_VERSION;
        match self {
            VoterMessage::Prepare { number, ballot }
            | VoterMessage::Accept { number, ballot, .. }
            | VoterMessage::Accepted { number, ballot }
            | VoterMessage::Refuse { number, promised: ballot } => *number <= MAX_VERSION && round(ballot),
            VoterMessage::Promise { number, ballot, accepted } => {
                *number <= MAX_VERSION && round(ballot) && accepted.as_ref().is_none_or(|(b, ..)| round(b))
            }
            VoterMessage::Learn { number, .. } | VoterMessage::Have { number, .. } => *number <= MAX_VERSION,
            VoterMessage::Behind { have } | VoterMessage::Want { have, .. } => *have <= MAX_VERSION,
        }
    }
}

/// Between voters.
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
    /// A higher try was promised.
    Refuse {
        number: u64,
        promised: Ballot,
    },
    /// That version is chosen.
    Learn {
        number: u64,
        id: u64,
        text: String,
    },
    /// The sender lacks the version before.
    Behind {
        have: u64,
    },
    /// How far are you? Answered with `Have`, and with `Learn` where something newer is chosen. `start` is drawn at the asker's
    /// start: an answer to an earlier one says nothing of what it has lost since.
    Want {
        start: u64,
        have: u64,
        /// The asker knows from which version on it may vote.
        ready: bool,
    },
    Have {
        start: u64,
        number: u64,
        /// Something was accepted for the version after.
        accepted: bool,
    },
}

/// From a director or an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientRequest {
    /// First on each connection; answered with `Welcome`.
    Hello {
        fleet: String,
    },
    /// Whether the connection lives; answered with `Pong`.
    Ping,
    /// A director asks to go on.
    Renew {
        name: String,
        /// Drawn at its start.
        boot: u64,
        seq: u64,
        /// The version it knows; 0: none.
        have: u64,
        /// s; the lease that it takes.
        lease: f64,
        /// s left of the lease it has.
        left: f64,
        /// What it acts on, for operators.
        acts: String,
        /// How it takes what it lacks; directors before version chains take documents alone.
        #[serde(default, skip_serializing_if = "CatchUp::is_document")]
        wants: CatchUp,
    },
    Propose {
        after: u64,
        value: Value,
        /// Said by an operator: half of what was listed may go at once.
        sure: bool,
    },
    #[serde(rename = "standing")]
    Status,
    /// An earlier version's content.
    Content {
        number: u64,
    },
    Voter {
        from: VoterId,
        word: VoterMessage,
    },
}

/// How a director takes versions that it lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CatchUp {
    /// The newest, whole.
    #[default]
    Document,
    /// Each since the one that it knows, as a chain, or nothing: under a lease it does not pass over any.
    Chain,
    /// A chain, or the newest whole where there is none.
    Either,
}

impl CatchUp {
    fn is_document(&self) -> bool {
        *self == CatchUp::Document
    }
}

/// How a director stands with a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectorStatus {
    pub name: String,
    pub have: u64,
    pub acts: String,
    /// s since it last asked.
    pub heard: f64,
    /// s left of its lease when it asked.
    pub left: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoterResponse {
    Welcome {
        me: VoterId,
    },
    Pong,
    /// At that moment nothing newer than `newest` was accepted, unless `pending`.
    Granted {
        seq: u64,
        newest: u64,
        pending: bool,
        /// The newest version, where the director lacks it.
        document: Option<Chosen>,
        /// Each version since the one that the director knows, where it wants them so.
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
    /// Another proposal came first.
    Lost {
        newest: u64,
        digest: String,
    },
    /// Nothing was decided in time; it may still be.
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
        /// It is one of those who decide the version after the newest, and who they are.
        listed: bool,
        deciding: Vec<VoterId>,
        /// Versions a second that it has learned over the last minute.
        #[serde(default)]
        changes: f64,
        directors: Vec<DirectorStatus>,
    },
    Content {
        found: Option<Chosen>,
    },
    /// To a voter that asked, where there is no line to it yet.
    Voter {
        word: VoterMessage,
    },
    /// That line was none; the connection ends.
    Fault(String),
}
