//! A voter: acceptor, proposer and learner of one Paxos instance for each next version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::MAX_CLOCK_RATE_ERROR;
use crate::delta::Delta;
use crate::messages::{
    Ballot, CatchUp, Chosen, ClientRequest, DirectorStatus, DocumentReader, MAX_DOCUMENT, MAX_LOG_BYTES,
    MAX_LOG_VERSIONS, Value, VoterId, VoterMessage, VoterResponse,
};

/// Maximum number of whole versions stored, the newest included, so that operators can go back to an earlier one.
const MAX_STORED_VERSIONS: usize = 8;
/// Minimum time that an attempt waits for a majority, in seconds. Messages take milliseconds and a write about ten.
const ATTEMPT_TIMEOUT: f64 = 0.3;
/// Time after which a proposal is reported as undecided, in seconds.
const PROPOSAL_TIMEOUT: f64 = 5.0;
/// Time after which a voter finishes a value that it accepted and that has not been learned, in seconds: its proposer has
/// died or is cut off.
const FINISH_DELAY: f64 = 0.4;
/// Interval between requests for newer versions by a voter that knows that it lacks something, in seconds.
const BEHIND_POLL_INTERVAL: f64 = 0.3;
/// The same interval for any other voter. Voters that are not listed, or that were cut off when a version was announced,
/// learn of it by these requests.
const IDLE_POLL_INTERVAL: f64 = 2.0;
/// Time for which a voter counts as present after its last request, in seconds: three polls of an idle voter.
const PRESENT_TIME: f64 = 6.0;
/// Maximum lease that a director is granted, in seconds.
const MAX_LEASE: f64 = 10.0;
/// Maximum number of other voters whose state is stored; further ones are ignored.
const MAX_PEERS: usize = 64;
/// Maximum number of directors known by name. Further ones are refused by name until others have been silent for their lease.
pub const MAX_DIRECTOR_NAMES: usize = 16_384;
/// Maximum length of a director's name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum length of the label of the versions that a director acts on, in bytes.
const MAX_ACTS_BYTES: usize = 512;
/// Window over which changes are counted for operators, in seconds.
const CHANGE_RATE_WINDOW: f64 = 60.0;
/// Time for which a director is listed after its last request, in seconds.
const DIRECTOR_RETENTION: f64 = 3600.0;

/// The state that has to be on disk before any message that depends on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// Names the fleet and the voter, so that a store moved elsewhere is detected.
    pub fleet: String,
    /// The voters that decide the first version. Each later version is decided by the voters that the one before it names.
    pub founders: Vec<VoterId>,
    /// The newest versions, in ascending order.
    pub chosen: Vec<Chosen>,
    /// The newest versions as deltas, without gaps from the first to the newest.
    #[serde(default)]
    pub log: VecDeque<Delta>,
    /// The ballot promised for the version after the newest.
    pub promised: Ballot,
    /// The value accepted for the version after the newest.
    pub accepted: Option<(Ballot, Value)>,
    /// The first version that this voter may vote for. `None` if its earlier votes are lost and the other voters have not
    /// answered yet.
    pub votes_from: Option<u64>,
}

impl DurableState {
    /// The state of a founder of a new fleet.
    pub fn founded(fleet: &str, founders: &[VoterId]) -> Self {
        let founders = founders.to_vec();
        DurableState { fleet: fleet.to_owned(), founders, votes_from: Some(1), ..DurableState::default() }
    }

    /// The state of a voter that lost its store or is yet to join: it must not vote where it may have voted before.
    pub fn lost(fleet: &str) -> Self {
        DurableState { fleet: fleet.to_owned(), ..DurableState::default() }
    }

    /// Number of the newest chosen version that this voter knows; 0 if none.
    pub fn newest(&self) -> u64 {
        self.chosen.last().map_or(0, |c| c.number)
    }

    /// All versions after `have` as deltas, if there are any and the log reaches back that far.
    pub fn chain(&self, have: u64) -> Option<Vec<Delta>> {
        let lacks = usize::try_from(self.newest().checked_sub(have)?).ok()?;
        let from = self.log.len().checked_sub(lacks)?;
        (lacks > 0).then(|| self.log.range(from..).cloned().collect())
    }

    /// Records a chosen version. Its delta is logged if the preceding version is known; otherwise the log starts anew.
    fn record_chosen(&mut self, newer: Chosen) {
        match self.chosen.last().filter(|last| last.number + 1 == newer.number) {
            Some(last) => self.log.push_back(Delta::between(last, &newer)),
            None => self.log.clear(),
        }
        let mut bytes: usize = self.log.iter().map(Delta::bytes).sum();
        while self.log.len() > MAX_LOG_VERSIONS || bytes > MAX_LOG_BYTES {
            bytes -= self.log.pop_front().map_or(bytes, |d| d.bytes());
        }
        self.chosen.push(newer);
        let excess = self.chosen.len().saturating_sub(MAX_STORED_VERSIONS);
        self.chosen.drain(..excess);
    }

    /// Whether the voter may promise, accept and grant leases.
    pub fn may_vote(&self) -> bool {
        self.votes_from.is_some_and(|from| self.newest() + 1 >= from)
    }
}

/// What the caller has to send.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A message to one voter.
    Message(VoterId, VoterMessage),
    /// A message to all other known voters, listed or not.
    Broadcast(VoterMessage),
    /// A response to the client with this number.
    Response(u64, VoterResponse),
}

/// A proposal that a client waits for.
#[derive(Clone, Debug)]
struct PendingProposal {
    client: u64,
    value: Value,
    until: f64,
}

/// An attempt to have a version chosen, under one ballot.
#[derive(Clone, Debug)]
struct Attempt {
    number: u64,
    ballot: Ballot,
    promises: BTreeMap<VoterId, Option<(Ballot, Value)>>,
    /// The value sent for acceptance, set once a majority has promised.
    value: Option<Value>,
    accepted: BTreeSet<VoterId>,
    until: f64,
}

/// What is known of a director.
#[derive(Clone, Debug)]
struct DirectorRecord {
    boot: u64,
    /// Time from which another run may use the name.
    until: f64,
    have: u64,
    acts: String,
    heard_at: f64,
    left: f64,
}

/// What another voter reported when it last asked for newer versions.
#[derive(Clone, Copy, Debug)]
struct Peer {
    asked_at: f64,
    /// It knows from which version on it may vote.
    ready: bool,
}

/// The state machine of a voter.
#[derive(Clone, Debug)]
pub struct Voter {
    me: VoterId,
    /// The voters that decide the version after the newest.
    deciding: BTreeSet<VoterId>,
    /// Duration of the lease that the newest version grants, in seconds.
    lease: f64,
    durable: DurableState,
    /// `durable` has changed since it was last taken for writing.
    dirty: bool,
    /// The highest round known to be in use.
    round: u64,
    proposal: Option<PendingProposal>,
    attempt: Option<Attempt>,
    /// Time at which this voter finishes an accepted value.
    finish_at: f64,
    started_at: f64,
    polled_at: f64,
    /// Random number drawn at the start; marks answers to this run's polls.
    start: u64,
    /// Another voter or a director knows a newer version.
    is_behind: bool,
    /// For each voter, the newest version that it reported since this voter's start, and whether it has accepted a value
    /// after it.
    reported: BTreeMap<VoterId, (u64, bool)>,
    peers: BTreeMap<VoterId, Peer>,
    directors: BTreeMap<String, DirectorRecord>,
    /// Times at which the last versions were learned since the start; at most as many as the log holds.
    learned_at: VecDeque<f64>,
    reader: DocumentReader,
    rng: Rng,
    output: Vec<Output>,
}

impl Voter {
    /// Creates a voter from its state on disk. `seed` drives its timeouts.
    pub fn new(me: VoterId, durable: DurableState, reader: DocumentReader, seed: u64, now: f64) -> Self {
        let mut rng = Rng::with_seed(seed ^ u64::from(me.0));
        let mut voter = Voter {
            me,
            deciding: BTreeSet::new(),
            lease: 0.0,
            start: rng.u64(..),
            round: durable.promised.round,
            durable,
            dirty: false,
            proposal: None,
            attempt: None,
            finish_at: now + FINISH_DELAY,
            started_at: now,
            polled_at: f64::NEG_INFINITY,
            is_behind: false,
            reported: BTreeMap::new(),
            peers: BTreeMap::new(),
            directors: BTreeMap::new(),
            learned_at: VecDeque::new(),
            reader,
            rng,
            output: Vec::new(),
        };
        voter.read_newest();
        voter
    }

    /// Reads the voters and the lease that the newest version states.
    fn read_newest(&mut self) {
        let newest = self.durable.chosen.last().map(|c| c.value.text.as_str());
        let founders = || self.durable.founders.clone();
        self.deciding = newest.map_or_else(founders, self.reader.voters).into_iter().collect();
        self.lease = newest.map_or(0.0, self.reader.lease);
    }

    /// All state that determines decisions, except for times and random draws; for the exhaustive tests.
    #[doc(hidden)]
    pub fn decision_state(&self) -> impl std::hash::Hash + use<> {
        let attempt = self
            .attempt
            .as_ref()
            .map(|a| (a.number, a.ballot, a.promises.clone(), a.value.clone(), a.accepted.clone()));
        (self.durable.clone(), self.round, self.proposal.as_ref().map(|p| p.value.clone()), attempt)
    }

    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// The newest chosen version that this voter knows.
    pub fn newest(&self) -> Option<&Chosen> {
        self.durable.chosen.last()
    }

    /// Takes out the state to write, if it has changed, and the messages to send once it is on disk.
    pub fn take_output(&mut self) -> (Option<DurableState>, Vec<Output>) {
        let write = std::mem::take(&mut self.dirty).then(|| self.durable.clone());
        (write, std::mem::take(&mut self.output))
    }

    /// Size of a majority of the voters that decide the version after the newest.
    fn majority(&self) -> usize {
        self.deciding.len() / 2 + 1
    }

    /// The voters that decide the version after the newest.
    pub fn deciding(&self) -> &BTreeSet<VoterId> {
        &self.deciding
    }

    /// Whether this voter is one of those that decide the version after the newest.
    pub fn listed(&self) -> bool {
        self.deciding.contains(&self.me)
    }

    /// Whether the given voter, listed or not, has asked recently and could vote if the next version named it.
    pub fn ready(&self, now: f64, voter: VoterId) -> bool {
        voter == self.me || self.peers.get(&voter).is_some_and(|p| p.ready && now - p.asked_at < PRESENT_TIME)
    }

    fn send_to_deciding(&mut self, message: &VoterMessage) {
        for to in self.deciding.iter().filter(|v| **v != self.me) {
            self.output.push(Output::Message(*to, message.clone()));
        }
    }

    fn respond(&mut self, client: u64, response: VoterResponse) {
        self.output.push(Output::Response(client, response));
    }

    // Proposing.

    /// Begins an attempt for the next version, with a ballot above every known one.
    fn begin_attempt(&mut self, now: f64) {
        if !self.durable.may_vote() || !self.listed() {
            return;
        }
        self.round = self.round.max(self.durable.promised.round) + 1;
        let (number, ballot) = (self.durable.newest() + 1, Ballot { round: self.round, voter: self.me });
        let until = now + ATTEMPT_TIMEOUT * (1.0 + self.rng.f64());
        self.attempt = Some(Attempt {
            number,
            ballot,
            promises: BTreeMap::new(),
            value: None,
            accepted: BTreeSet::new(),
            until,
        });
        self.send_to_deciding(&VoterMessage::Prepare { number, ballot });
        self.handle_message(now, self.me, VoterMessage::Prepare { number, ballot });
    }

    fn handle_promise(
        &mut self, now: f64, from: VoterId, number: u64, ballot: Ballot, accepted: Option<(Ballot, Value)>,
    ) {
        let majority = self.majority();
        // Only the voters listed for this version count.
        let counts = self.deciding.contains(&from);
        let Some(attempt) =
            self.attempt.as_mut().filter(|a| counts && a.number == number && a.ballot == ballot)
        else {
            return;
        };
        if attempt.value.is_some() {
            return;
        }
        attempt.promises.insert(from, accepted);
        if attempt.promises.len() < majority {
            return;
        }
        // A value that may already be chosen takes precedence over this voter's own proposal.
        let highest = attempt.promises.values().flatten().max_by_key(|(ballot, _)| *ballot);
        let value = highest.map(|(_, value)| value).or(self.proposal.as_ref().map(|p| &p.value)).cloned();
        let Some(value) = value else {
            self.attempt = None;
            return;
        };
        attempt.value = Some(value.clone());
        let Value { id, text } = value;
        let message = VoterMessage::Accept { number, ballot, id, text };
        self.send_to_deciding(&message);
        self.handle_message(now, self.me, message);
    }

    fn handle_accepted(&mut self, now: f64, from: VoterId, number: u64, ballot: Ballot) {
        let majority = self.majority();
        let counts = self.deciding.contains(&from);
        let Some(attempt) =
            self.attempt.as_mut().filter(|a| counts && a.number == number && a.ballot == ballot)
        else {
            return;
        };
        attempt.accepted.insert(from);
        if attempt.accepted.len() < majority {
            return;
        }
        let Some(Value { id, text }) = attempt.value.clone() else { return };
        let message = VoterMessage::Learn { number, id, text };
        self.output.push(Output::Broadcast(message.clone()));
        self.handle_message(now, self.me, message);
    }

    fn learn(&mut self, now: f64, number: u64, value: Value) {
        if number <= self.durable.newest() {
            return;
        }
        self.learned_at.push_back(now);
        let excess = self.learned_at.len().saturating_sub(MAX_LOG_VERSIONS);
        self.learned_at.drain(..excess);
        let d = &mut self.durable;
        d.record_chosen(Chosen { number, value });
        (d.promised, d.accepted) = (Ballot::default(), None);
        self.dirty = true;
        self.is_behind = false;
        self.attempt = None;
        self.read_newest();
        self.restore_vote();
        // The pending proposal was for a version that is now decided or skipped.
        if let Some(proposal) = self.proposal.take() {
            let response = self.proposal_outcome(&proposal.value);
            self.respond(proposal.client, response);
        }
    }

    /// After the loss of the store, decides whether enough voters have answered to know from which version on this voter may
    /// vote. It may have voted at most for the version after the newest, provided that a majority of those that decide that
    /// version had accepted nothing for it when they answered: had it been chosen before the store was lost, one of them
    /// would know. This voter leaves that version to the others.
    fn restore_vote(&mut self) {
        let newest = self.durable.newest();
        if self.durable.votes_from.is_some() || newest == 0 {
            return;
        }
        let has_accepted_nothing = |v: &&VoterId| {
            let report = self.reported.get(v);
            report.is_some_and(|(number, accepted)| *number < newest || (*number == newest && !accepted))
        };
        if self.deciding.iter().filter(has_accepted_nothing).count() >= self.majority() {
            self.durable.votes_from = Some(newest + 2);
            self.dirty = true;
            // Poll at once, which tells the others that this voter is ready.
            self.polled_at = f64::NEG_INFINITY;
        }
    }

    fn proposal_outcome(&self, value: &Value) -> VoterResponse {
        if let Some(c) = self.durable.chosen.iter().find(|c| c.value == *value) {
            return VoterResponse::Agreed { number: c.number };
        }
        let digest = self.newest().map(Chosen::digest).unwrap_or_default();
        VoterResponse::Lost { newest: self.durable.newest(), digest }
    }

    // Messages of other voters.

    /// Handles a message from another voter.
    pub fn handle_message(&mut self, now: f64, from: VoterId, message: VoterMessage) {
        let (newest, may_vote) = (self.durable.newest(), self.durable.may_vote() && self.listed());
        if !message.has_valid_numbers() {
            // Such a number would exhaust the version or round counter. Correct voters never send one.
            return;
        }
        if let VoterMessage::Accept { text, .. }
        | VoterMessage::Learn { text, .. }
        | VoterMessage::Promise { accepted: Some((.., text)), .. } = &message
            && text.len() > MAX_DOCUMENT
        {
            // Correct voters never propose such a document.
            return;
        }
        let mut answer = |message| {
            if from != self.me {
                self.output.push(Output::Message(from, message));
            }
        };
        match message {
            VoterMessage::Prepare { number, .. } | VoterMessage::Accept { number, .. }
                if number <= newest =>
            {
                // Only the newest version is sent: a voter that lacks several skips those in between.
                if let Some(Chosen { number, value }) = self.durable.chosen.last().cloned() {
                    answer(VoterMessage::Learn { number, id: value.id, text: value.text });
                }
            }
            VoterMessage::Prepare { number, .. } | VoterMessage::Accept { number, .. }
                if number > newest + 1 =>
            {
                answer(VoterMessage::Behind { have: newest });
            }
            VoterMessage::Prepare { .. } | VoterMessage::Accept { .. } if !may_vote => {}
            VoterMessage::Prepare { number, ballot } | VoterMessage::Accept { number, ballot, .. }
                if ballot < self.durable.promised =>
            {
                answer(VoterMessage::Refuse { number, promised: self.durable.promised });
            }
            VoterMessage::Prepare { number, ballot } => {
                self.dirty |= self.durable.promised != ballot;
                self.durable.promised = ballot;
                let accepted = self.durable.accepted.clone();
                if from == self.me {
                    return self.handle_promise(now, from, number, ballot, accepted);
                }
                let accepted = accepted.map(|(b, v)| (b, v.id, v.text));
                answer(VoterMessage::Promise { number, ballot, accepted });
            }
            VoterMessage::Accept { number, ballot, id, text } => {
                self.durable.promised = ballot;
                self.durable.accepted = Some((ballot, Value { id, text }));
                self.dirty = true;
                self.finish_at = now + FINISH_DELAY * (1.0 + self.rng.f64());
                if from == self.me {
                    return self.handle_accepted(now, from, number, ballot);
                }
                answer(VoterMessage::Accepted { number, ballot });
            }
            VoterMessage::Promise { number, ballot, accepted } => {
                let accepted = accepted.map(|(b, id, text)| (b, Value { id, text }));
                self.handle_promise(now, from, number, ballot, accepted);
            }
            VoterMessage::Accepted { number, ballot } => self.handle_accepted(now, from, number, ballot),
            VoterMessage::Refuse { number, promised } => {
                // The next attempt uses a higher round, but only after the current attempt's own timeout, so that two
                // proposers do not outbid each other forever.
                if self.attempt.as_ref().is_some_and(|a| a.number == number) {
                    self.round = self.round.max(promised.round);
                }
            }
            VoterMessage::Learn { number, id, text } => self.learn(now, number, Value { id, text }),
            VoterMessage::Behind { have } => {
                let Some(Chosen { number, value }) = self.durable.chosen.last().cloned() else { return };
                if have < number {
                    answer(VoterMessage::Learn { number, id: value.id, text: value.text });
                    // Repeats the attempt's message, which the voter could not handle before.
                    if let Some(a) = self.attempt.as_ref().filter(|a| a.number == number + 1) {
                        let (number, ballot) = (a.number, a.ballot);
                        answer(match a.value.clone() {
                            None => VoterMessage::Prepare { number, ballot },
                            Some(Value { id, text }) => VoterMessage::Accept { number, ballot, id, text },
                        });
                    }
                }
            }
            VoterMessage::Want { start, have, ready } => {
                if let Some(Chosen { number, value }) =
                    self.durable.chosen.last().filter(|c| c.number > have).cloned()
                {
                    answer(VoterMessage::Learn { number, id: value.id, text: value.text });
                }
                // A voter that lost its own store has no knowledge that others could rely on.
                if self.durable.votes_from.is_some() {
                    answer(VoterMessage::Have {
                        start,
                        number: newest,
                        accepted: self.durable.accepted.is_some(),
                    });
                }
                self.is_behind |= have > newest;
                if from != self.me && (self.peers.contains_key(&from) || self.peers.len() < MAX_PEERS) {
                    self.peers.insert(from, Peer { asked_at: now, ready });
                }
            }
            VoterMessage::Have { start, .. } if start != self.start => {}
            VoterMessage::Have { number, accepted, .. } => {
                self.is_behind |= number > newest;
                if self.durable.votes_from.is_none()
                    && (self.reported.contains_key(&from) || self.reported.len() < MAX_PEERS)
                {
                    self.reported.insert(from, (number, accepted));
                    self.restore_vote();
                }
            }
        }
    }

    // Directors and operators.

    /// Handles a client's request. The response carries the number `client`.
    pub fn handle_request(&mut self, now: f64, client: u64, request: ClientRequest) {
        match request {
            ClientRequest::Renew { name, boot, seq, have, lease, left, acts, wants } => {
                let result = self.renew_director(
                    now,
                    &name,
                    DirectorRecord { boot, until: lease, have, acts, heard_at: now, left },
                );
                let response = match result {
                    Err(why) => VoterResponse::Refused { seq, why },
                    Ok(()) => {
                        let newest = self.durable.newest();
                        self.is_behind |= have > newest;
                        let chain = match wants {
                            CatchUp::Chain | CatchUp::Either => self.durable.chain(have).unwrap_or_default(),
                            CatchUp::Document => Vec::new(),
                        };
                        let send_document = have < newest && chain.is_empty() && wants != CatchUp::Chain;
                        let document = send_document.then(|| self.newest().cloned()).flatten();
                        let pending = self.durable.accepted.is_some();
                        VoterResponse::Granted { seq, newest, pending, document, chain }
                    }
                };
                self.respond(client, response);
            }
            ClientRequest::Propose { after, value, .. } => {
                let newest = self.durable.newest();
                if self.durable.chosen.iter().any(|c| c.value == value) || after < newest {
                    // Also answers a repeated proposal whose response was lost.
                    let response = self.proposal_outcome(&value);
                    return self.respond(client, response);
                }
                if let Some(proposal) = self.proposal.as_mut().filter(|p| p.value == value) {
                    proposal.client = client;
                    return;
                }
                let why = if after > newest {
                    self.is_behind = true;
                    format!("version {after} is not known here, the newest is {newest}")
                } else if !self.listed() {
                    "this voter is not on the agreed list of voters".to_owned()
                } else if !self.durable.may_vote() {
                    "this voter lost its store and does not vote until the others have gone on".to_owned()
                } else if self.proposal.is_some() {
                    "another proposal is being decided here".to_owned()
                } else {
                    self.proposal = Some(PendingProposal { client, value, until: now + PROPOSAL_TIMEOUT });
                    return self.begin_attempt(now);
                };
                self.respond(client, VoterResponse::NotTaken { why });
            }
            ClientRequest::Status => {
                let digest = self.newest().map(Chosen::digest).unwrap_or_default();
                let status = |(name, d): (&String, &DirectorRecord)| DirectorStatus {
                    name: name.clone(),
                    have: d.have,
                    acts: d.acts.clone(),
                    heard: now - d.heard_at,
                    left: d.left,
                };
                let response = VoterResponse::Status {
                    newest: self.durable.newest(),
                    digest,
                    pending: self.durable.accepted.is_some(),
                    votes: self.durable.may_vote(),
                    listed: self.listed(),
                    deciding: self.deciding.iter().copied().collect(),
                    changes: self.change_rate(now),
                    directors: self.directors.iter().map(status).collect(),
                };
                self.respond(client, response);
            }
            ClientRequest::Content { number } => {
                let found = self.durable.chosen.iter().find(|c| c.number == number).cloned();
                self.respond(client, VoterResponse::Content { found });
            }
            // Messages that claim to come from this voter are ignored; others count only if their sender is listed.
            ClientRequest::Voter { from, word } if from != self.me => self.handle_message(now, from, word),
            // The connection's owner handles these.
            ClientRequest::Voter { .. } | ClientRequest::Hello { .. } | ClientRequest::Ping => {}
        }
    }

    /// Versions learned per second over the last minute, or since counting began if that is shorter.
    fn change_rate(&self, now: f64) -> f64 {
        let counted = self.learned_at.iter().filter(|at| now - **at <= CHANGE_RATE_WINDOW).count();
        let full = self.learned_at.len() == MAX_LOG_VERSIONS && counted == MAX_LOG_VERSIONS;
        let since = if full { self.learned_at[0] } else { self.started_at.max(now - CHANGE_RATE_WINDOW) };
        counted as f64 / (now - since).max(1.0)
    }

    /// Admits a director under its name or refuses it. `director.until` is the duration of the requested lease.
    fn renew_director(&mut self, now: f64, name: &str, mut director: DirectorRecord) -> Result<(), String> {
        if !self.durable.may_vote() {
            return Err(
                "this voter lost its store and does not vote until the others have gone on".to_owned()
            );
        }
        if name.is_empty() || name.len() > MAX_NAME_BYTES || director.acts.len() > MAX_ACTS_BYTES {
            return Err(format!(
                "the name has to have 1 to {} bytes, the label of active versions at most {}",
                MAX_NAME_BYTES, MAX_ACTS_BYTES
            ));
        }
        let lease = director.until;
        if !(lease > 0.0 && lease <= MAX_LEASE) {
            return Err(format!("a lease of {lease} s, it has to be above 0 and {MAX_LEASE} s at most"));
        }
        director.until = now + lease * (1.0 + 2.0 * MAX_CLOCK_RATE_ERROR);
        match self.directors.get(name) {
            Some(d) if d.boot != director.boot && d.until > now => {
                return Err(format!("the name {name:?} is in use by another director"));
            }
            // After a restart this voter does not know which run holds the name under an earlier lease. A director that
            // still has a lease may go on.
            None if director.left <= 0.0
                && now < self.started_at + 2.0 * MAX_LEASE
                && now < self.started_at + self.earlier_lease_time() =>
            {
                return Err(
                    "this voter has just started and admits no director that holds no lease yet".to_owned()
                );
            }
            None if self.directors.len() >= MAX_DIRECTOR_NAMES => {
                self.directors.retain(|_, d| d.until > now);
                if self.directors.len() >= MAX_DIRECTOR_NAMES {
                    return Err(format!("{MAX_DIRECTOR_NAMES} directors are known; no more are accepted"));
                }
            }
            _ => {}
        }
        self.directors.insert(name.to_owned(), director);
        Ok(())
    }

    /// How long a lease granted before this voter's start may still last, in seconds.
    fn earlier_lease_time(&self) -> f64 {
        self.lease * (1.0 + 2.0 * MAX_CLOCK_RATE_ERROR)
    }

    // Timers.

    /// Does what is due by now.
    pub fn tick(&mut self, now: f64) {
        if self.proposal.as_ref().is_some_and(|p| now >= p.until)
            && let Some(proposal) = self.proposal.take()
        {
            let why = format!("no majority of voters within {PROPOSAL_TIMEOUT} s; it may still be agreed");
            self.respond(proposal.client, VoterResponse::Unknown { why });
        }
        let timed_out = self.attempt.as_ref().is_some_and(|a| now >= a.until);
        if timed_out {
            self.attempt = None;
        }
        if self.attempt.is_none() && self.proposal.is_some() {
            self.begin_attempt(now);
        } else if self.attempt.is_none() && self.durable.accepted.is_some() && now >= self.finish_at {
            self.finish_at = now + FINISH_DELAY * (1.0 + 2.0 * self.rng.f64());
            self.begin_attempt(now);
        }
        if now >= self.polled_at + self.poll_interval() {
            self.polled_at = now;
            let (have, ready) = (self.durable.newest(), self.durable.votes_from.is_some());
            self.output.push(Output::Broadcast(VoterMessage::Want { start: self.start, have, ready }));
        }
        self.directors.retain(|_, d| now - d.heard_at < DIRECTOR_RETENTION);
    }

    fn poll_interval(&self) -> f64 {
        let is_behind = self.is_behind || self.durable.votes_from.is_none();
        if is_behind { BEHIND_POLL_INTERVAL } else { IDLE_POLL_INTERVAL }
    }

    /// Time at which [`tick`](Self::tick) is due next if no message arrives before.
    pub fn next_timer_at(&self) -> f64 {
        let attempt = self.attempt.as_ref().map(|a| a.until);
        let proposal = self.proposal.as_ref().map(|p| p.until);
        let finish = (self.attempt.is_none() && self.durable.accepted.is_some()).then_some(self.finish_at);
        let poll = Some(self.polled_at + self.poll_interval());
        [attempt, proposal, finish, poll].into_iter().flatten().fold(f64::INFINITY, f64::min)
    }
}
