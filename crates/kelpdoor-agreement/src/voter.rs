//! A voter: acceptor, proposer and learner of one decree for each next version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::MAX_CLOCK_RATE_ERROR;
use crate::delta::Delta;
use crate::messages::{
    Ballot, CatchUp, Chosen, ClientRequest, DirectorStatus, DocumentReader, MAX_DOCUMENT, MAX_LOG_BYTES,
    MAX_LOG_VERSIONS, Value, VoterId, VoterMessage, VoterResponse,
};

/// Earlier versions kept for `back`.
const KEPT: usize = 8;
/// s; a try of a proposal waits so long for a majority, as words cross in ms and a write takes some ten.
const TRY: f64 = 0.3;
/// s; a proposal is told to be undecided after so long.
const GIVE_UP: f64 = 5.0;
/// s; what was accepted and not learned for so long is finished by whoever holds it: its proposer has died, or is cut off.
const FINISH: f64 = 0.4;
/// s; between questions of a voter that lacks something, and of one that knows of nothing that it lacks: whoever is not
/// on the list, or was cut off when a version was told, hears of it by these.
const WANT_EVERY: (f64, f64) = (0.3, 2.0);
/// s; a voter not on the list that asked within this is there: three questions of an idle one.
const THERE: f64 = 6.0;
/// s; no director is granted more.
const LONGEST_LEASE: f64 = 10.0;
/// Voters known of at most; more are not remembered.
const PEERS: usize = 64;
/// Directors known by name at most; more are refused by name until others have been silent for their lease.
pub const MAX_DIRECTOR_NAMES: usize = 16_384;
/// Bytes of a director's name, and of the versions that it says it acts on, at most.
const LONG: (usize, usize) = (64, 512);
/// s; changes are counted over it, for operators.
const COUNTED: f64 = 60.0;
/// s; a director is listed for so long after its last word.
const LISTED: f64 = 3600.0;

/// What has to be on disk before any word that follows it leaves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// Names fleet and voter, so that a store moved elsewhere is found out.
    pub fleet: String,
    /// Who decides the first version; each later one is decided by those whom the version before it names.
    pub founders: Vec<VoterId>,
    /// The newest versions, rising.
    pub chosen: Vec<Chosen>,
    /// The newest versions again, as what each changes from the one before; none is missing between the first and the newest.
    #[serde(default)]
    pub log: VecDeque<Delta>,
    /// For the version after the newest.
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Value)>,
    /// Votes from that version on; `None`: what it voted before is lost, and the others have not been heard yet.
    pub votes_from: Option<u64>,
}

impl DurableState {
    /// A voter of a fleet that is founded now by these.
    pub fn founded(fleet: &str, founders: &[VoterId]) -> Self {
        let founders = founders.to_vec();
        DurableState { fleet: fleet.to_owned(), founders, votes_from: Some(1), ..DurableState::default() }
    }

    /// A voter whose store is lost, or that is to join: it must not vote where it may have voted before.
    pub fn lost(fleet: &str) -> Self {
        DurableState { fleet: fleet.to_owned(), ..DurableState::default() }
    }

    pub fn newest(&self) -> u64 {
        self.chosen.last().map_or(0, |c| c.number)
    }

    /// Each version after that one, if the log reaches back to it.
    pub fn chain(&self, have: u64) -> Option<Vec<Delta>> {
        let lacks = usize::try_from(self.newest().checked_sub(have)?).ok()?;
        let from = self.log.len().checked_sub(lacks)?;
        (lacks > 0).then(|| self.log.range(from..).cloned().collect())
    }

    /// A version is chosen: what it changes is logged where the one before is known.
    fn learned(&mut self, newer: Chosen) {
        match self.chosen.last().filter(|last| last.number + 1 == newer.number) {
            Some(last) => self.log.push_back(Delta::between(last, &newer)),
            None => self.log.clear(),
        }
        let mut bytes: usize = self.log.iter().map(Delta::bytes).sum();
        while self.log.len() > MAX_LOG_VERSIONS || bytes > MAX_LOG_BYTES {
            bytes -= self.log.pop_front().map_or(bytes, |d| d.bytes());
        }
        self.chosen.push(newer);
        let over = self.chosen.len().saturating_sub(KEPT);
        self.chosen.drain(..over);
    }

    /// Whether promises, acceptances and grants may be given.
    pub fn may_vote(&self) -> bool {
        self.votes_from.is_some_and(|from| self.newest() + 1 >= from)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Message(VoterId, VoterMessage),
    /// To every other voter that is known of, whether it is on the list or not.
    Broadcast(VoterMessage),
    /// To whoever asked under that number.
    Response(u64, VoterResponse),
}

/// A proposal that a client waits for.
#[derive(Clone, Debug)]
struct Own {
    client: u64,
    value: Value,
    until: f64,
}

/// A try to have a version chosen.
#[derive(Clone, Debug)]
struct Try {
    number: u64,
    ballot: Ballot,
    promises: BTreeMap<VoterId, Option<(Ballot, Value)>>,
    /// The value asked to be accepted, once a majority promised.
    value: Option<Value>,
    accepted: BTreeSet<VoterId>,
    until: f64,
}

#[derive(Clone, Debug)]
struct Known {
    boot: u64,
    /// A later start may have the name from then on.
    until: f64,
    have: u64,
    acts: String,
    heard: f64,
    left: f64,
}

/// What a voter said of itself when it last asked.
#[derive(Clone, Copy, Debug)]
struct Peer {
    asked: f64,
    /// It knows from which version on it may vote.
    ready: bool,
}

#[derive(Clone, Debug)]
pub struct Voter {
    me: VoterId,
    /// Who decides the version after the newest.
    deciding: BTreeSet<VoterId>,
    /// s; the lease that the newest version grants.
    lease: f64,
    durable: DurableState,
    dirty: bool,
    round: u64,
    own: Option<Own>,
    tried: Option<Try>,
    /// When what is accepted is to be finished by us.
    finish_at: f64,
    started: f64,
    wanted_at: f64,
    /// Drawn at our start.
    start: u64,
    /// A director knows a later version than we do.
    lacks: bool,
    /// The newest version of each, and whether something was accepted after it, as it said since our start.
    heard: BTreeMap<VoterId, (u64, bool)>,
    peers: BTreeMap<VoterId, Peer>,
    names: BTreeMap<String, Known>,
    /// When the last versions were learned, since our start; as many as the log has.
    learned: VecDeque<f64>,
    reading: DocumentReader,
    rng: Rng,
    out: Vec<Output>,
}

impl Voter {
    pub fn new(me: VoterId, durable: DurableState, reading: DocumentReader, seed: u64, now: f64) -> Self {
        let mut rng = Rng::with_seed(seed ^ u64::from(me.0));
        let mut voter = Voter {
            me,
            deciding: BTreeSet::new(),
            lease: 0.0,
            start: rng.u64(..),
            round: durable.promised.round,
            durable,
            dirty: false,
            own: None,
            tried: None,
            finish_at: now + FINISH,
            started: now,
            wanted_at: f64::NEG_INFINITY,
            lacks: false,
            heard: BTreeMap::new(),
            peers: BTreeMap::new(),
            names: BTreeMap::new(),
            learned: VecDeque::new(),
            reading,
            rng,
            out: Vec::new(),
        };
        voter.read();
        voter
    }

    /// Reads what the newest version says of voters and leases.
    fn read(&mut self) {
        let newest = self.durable.chosen.last().map(|c| c.value.text.as_str());
        let founders = || self.durable.founders.clone();
        self.deciding = newest.map_or_else(founders, self.reading.voters).into_iter().collect();
        self.lease = newest.map_or(0.0, self.reading.lease);
    }

    /// All that decides what it does next but for times and chance, for the exhaustive check.
    #[doc(hidden)]
    pub fn decision_state(&self) -> impl std::hash::Hash + use<> {
        let tried = self
            .tried
            .as_ref()
            .map(|t| (t.number, t.ballot, t.promises.clone(), t.value.clone(), t.accepted.clone()));
        (self.durable.clone(), self.round, self.own.as_ref().map(|o| o.value.clone()), tried)
    }

    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    pub fn newest(&self) -> Option<&Chosen> {
        self.durable.chosen.last()
    }

    /// What is to be done: what has to be durable first, if anything changed, and the words that rest on it.
    pub fn take_output(&mut self) -> (Option<DurableState>, Vec<Output>) {
        let write = std::mem::take(&mut self.dirty).then(|| self.durable.clone());
        (write, std::mem::take(&mut self.out))
    }

    /// Of those who decide the version after the newest.
    fn majority(&self) -> usize {
        self.deciding.len() / 2 + 1
    }

    /// Who decides the version after the newest.
    pub fn deciding(&self) -> &BTreeSet<VoterId> {
        &self.deciding
    }

    /// Whether this voter is one of them.
    pub fn listed(&self) -> bool {
        self.deciding.contains(&self.me)
    }

    /// Whether that voter, on the list or not, asked lately and could vote if the next version named it.
    pub fn ready(&self, now: f64, voter: VoterId) -> bool {
        voter == self.me || self.peers.get(&voter).is_some_and(|p| p.ready && now - p.asked < THERE)
    }

    fn say_to_deciding(&mut self, word: &VoterMessage) {
        for to in self.deciding.iter().filter(|v| **v != self.me) {
            self.out.push(Output::Message(*to, word.clone()));
        }
    }

    fn tell(&mut self, client: u64, tell: VoterResponse) {
        self.out.push(Output::Response(client, tell));
    }

    // Proposing.

    /// Begins a try for the next version, above every try that is known of.
    fn begin(&mut self, now: f64) {
        if !self.durable.may_vote() || !self.listed() {
            return;
        }
        self.round = self.round.max(self.durable.promised.round) + 1;
        let (number, ballot) = (self.durable.newest() + 1, Ballot { round: self.round, voter: self.me });
        let until = now + TRY * (1.0 + self.rng.f64());
        self.tried = Some(Try {
            number,
            ballot,
            promises: BTreeMap::new(),
            value: None,
            accepted: BTreeSet::new(),
            until,
        });
        self.say_to_deciding(&VoterMessage::Prepare { number, ballot });
        self.handle_message(now, self.me, VoterMessage::Prepare { number, ballot });
    }

    fn promised(
        &mut self, now: f64, from: VoterId, number: u64, ballot: Ballot, accepted: Option<(Ballot, Value)>,
    ) {
        let majority = self.majority();
        // Whoever is not on the list that decides this version has no say in it.
        let counts = self.deciding.contains(&from);
        let Some(t) = self.tried.as_mut().filter(|t| counts && t.number == number && t.ballot == ballot)
        else {
            return;
        };
        if t.value.is_some() {
            return;
        }
        t.promises.insert(from, accepted);
        if t.promises.len() < majority {
            return;
        }
        // What may be chosen already is proposed again; only then comes one's own.
        let highest = t.promises.values().flatten().max_by_key(|(ballot, _)| *ballot);
        let value = highest.map(|(_, value)| value).or(self.own.as_ref().map(|own| &own.value)).cloned();
        let Some(value) = value else {
            self.tried = None;
            return;
        };
        t.value = Some(value.clone());
        let Value { id, text } = value;
        let word = VoterMessage::Accept { number, ballot, id, text };
        self.say_to_deciding(&word);
        self.handle_message(now, self.me, word);
    }

    fn accepted(&mut self, now: f64, from: VoterId, number: u64, ballot: Ballot) {
        let majority = self.majority();
        let counts = self.deciding.contains(&from);
        let Some(t) = self.tried.as_mut().filter(|t| counts && t.number == number && t.ballot == ballot)
        else {
            return;
        };
        t.accepted.insert(from);
        if t.accepted.len() < majority {
            return;
        }
        let Some(Value { id, text }) = t.value.clone() else { return };
        let word = VoterMessage::Learn { number, id, text };
        self.out.push(Output::Broadcast(word.clone()));
        self.handle_message(now, self.me, word);
    }

    fn learn(&mut self, now: f64, number: u64, value: Value) {
        if number <= self.durable.newest() {
            return;
        }
        self.learned.push_back(now);
        let over = self.learned.len().saturating_sub(MAX_LOG_VERSIONS);
        self.learned.drain(..over);
        let d = &mut self.durable;
        d.learned(Chosen { number, value });
        (d.promised, d.accepted) = (Ballot::default(), None);
        self.dirty = true;
        self.lacks = false;
        self.tried = None;
        self.read();
        self.remember();
        // A proposal was for the version after the one it named: that one is decided now, or passed.
        if let Some(own) = self.own.take() {
            let tell = self.outcome(&own.value);
            self.tell(own.client, tell);
        }
    }

    /// Where our store was lost: whether enough is heard to know from which version on we may vote. We may have voted for
    /// the version after the newest at most, if a majority of those who decide it had accepted nothing for it when they
    /// answered: had it been chosen before we lost our store, one of them would know. So it is left to the others.
    fn remember(&mut self) {
        let newest = self.durable.newest();
        if self.durable.votes_from.is_some() || newest == 0 {
            return;
        }
        let clean = |v: &&VoterId| {
            let said = self.heard.get(v);
            said.is_some_and(|(number, accepted)| *number < newest || (*number == newest && !accepted))
        };
        if self.deciding.iter().filter(clean).count() >= self.majority() {
            self.durable.votes_from = Some(newest + 2);
            self.dirty = true;
            // The others are told so.
            self.wanted_at = f64::NEG_INFINITY;
        }
    }

    fn outcome(&self, value: &Value) -> VoterResponse {
        if let Some(c) = self.durable.chosen.iter().find(|c| c.value == *value) {
            return VoterResponse::Agreed { number: c.number };
        }
        let digest = self.newest().map(Chosen::digest).unwrap_or_default();
        VoterResponse::Lost { newest: self.durable.newest(), digest }
    }

    // Voters.

    /// A word of another voter's.
    pub fn handle_message(&mut self, now: f64, from: VoterId, word: VoterMessage) {
        let (newest, may_vote) = (self.durable.newest(), self.durable.may_vote() && self.listed());
        if !word.plausible() {
            // It would end the count; no voter of ours says it.
            return;
        }
        if let VoterMessage::Accept { text, .. }
        | VoterMessage::Learn { text, .. }
        | VoterMessage::Promise { accepted: Some((.., text)), .. } = &word
            && text.len() > MAX_DOCUMENT
        {
            // No voter of ours proposes it.
            return;
        }
        let mut answer = |word| {
            if from != self.me {
                self.out.push(Output::Message(from, word));
            }
        };
        match word {
            VoterMessage::Prepare { number, .. } | VoterMessage::Accept { number, .. }
                if number <= newest =>
            {
                // Of ours the newest alone is sent: whoever lacks more than one passes those between over.
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
                    return self.promised(now, from, number, ballot, accepted);
                }
                let accepted = accepted.map(|(b, v)| (b, v.id, v.text));
                answer(VoterMessage::Promise { number, ballot, accepted });
            }
            VoterMessage::Accept { number, ballot, id, text } => {
                self.durable.promised = ballot;
                self.durable.accepted = Some((ballot, Value { id, text }));
                self.dirty = true;
                self.finish_at = now + FINISH * (1.0 + self.rng.f64());
                if from == self.me {
                    return self.accepted(now, from, number, ballot);
                }
                answer(VoterMessage::Accepted { number, ballot });
            }
            VoterMessage::Promise { number, ballot, accepted } => {
                let accepted = accepted.map(|(b, id, text)| (b, Value { id, text }));
                self.promised(now, from, number, ballot, accepted);
            }
            VoterMessage::Accepted { number, ballot } => self.accepted(now, from, number, ballot),
            VoterMessage::Refuse { number, promised } => {
                // Tried again above it, after the try's own wait, so that two proposers do not chase each other.
                if self.tried.as_ref().is_some_and(|t| t.number == number) {
                    self.round = self.round.max(promised.round);
                }
            }
            VoterMessage::Learn { number, id, text } => self.learn(now, number, Value { id, text }),
            VoterMessage::Behind { have } => {
                let Some(Chosen { number, value }) = self.durable.chosen.last().cloned() else { return };
                if have < number {
                    answer(VoterMessage::Learn { number, id: value.id, text: value.text });
                    // And the try's word again, which it could not take.
                    if let Some(t) = self.tried.as_ref().filter(|t| t.number == number + 1) {
                        let (number, ballot) = (t.number, t.ballot);
                        answer(match t.value.clone() {
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
                // One that lost its own store knows nothing that others could rest on.
                if self.durable.votes_from.is_some() {
                    answer(VoterMessage::Have {
                        start,
                        number: newest,
                        accepted: self.durable.accepted.is_some(),
                    });
                }
                self.lacks |= have > newest;
                if from != self.me && (self.peers.contains_key(&from) || self.peers.len() < PEERS) {
                    self.peers.insert(from, Peer { asked: now, ready });
                }
            }
            VoterMessage::Have { start, .. } if start != self.start => {}
            VoterMessage::Have { number, accepted, .. } => {
                self.lacks |= number > newest;
                if self.durable.votes_from.is_none()
                    && (self.heard.contains_key(&from) || self.heard.len() < PEERS)
                {
                    self.heard.insert(from, (number, accepted));
                    self.remember();
                }
            }
        }
    }

    // Directors and operators.

    /// A question under a number, at which the answer comes.
    pub fn handle_request(&mut self, now: f64, client: u64, ask: ClientRequest) {
        match ask {
            ClientRequest::Renew { name, boot, seq, have, lease, left, acts, wants } => {
                let tell = self.renew(now, &name, Known { boot, until: lease, have, acts, heard: now, left });
                let tell = match tell {
                    Err(why) => VoterResponse::Refused { seq, why },
                    Ok(()) => {
                        let newest = self.durable.newest();
                        self.lacks |= have > newest;
                        let chain = match wants {
                            CatchUp::Chain | CatchUp::Either => self.durable.chain(have).unwrap_or_default(),
                            CatchUp::Document => Vec::new(),
                        };
                        let whole = have < newest && chain.is_empty() && wants != CatchUp::Chain;
                        let document = whole.then(|| self.newest().cloned()).flatten();
                        let pending = self.durable.accepted.is_some();
                        VoterResponse::Granted { seq, newest, pending, document, chain }
                    }
                };
                self.tell(client, tell);
            }
            ClientRequest::Propose { after, value, .. } => {
                let newest = self.durable.newest();
                if self.durable.chosen.iter().any(|c| c.value == value) || after < newest {
                    // Also an answer that was lost, asked for again.
                    let tell = self.outcome(&value);
                    return self.tell(client, tell);
                }
                if let Some(own) = self.own.as_mut().filter(|own| own.value == value) {
                    own.client = client;
                    return;
                }
                let why = if after > newest {
                    self.lacks = true;
                    format!("version {after} is not known here, the newest is {newest}")
                } else if !self.listed() {
                    "this voter is not on the agreed list of voters".to_owned()
                } else if !self.durable.may_vote() {
                    "this voter lost its store and does not vote before the others went on".to_owned()
                } else if self.own.is_some() {
                    "another proposal is being decided here".to_owned()
                } else {
                    self.own = Some(Own { client, value, until: now + GIVE_UP });
                    return self.begin(now);
                };
                self.tell(client, VoterResponse::NotTaken { why });
            }
            ClientRequest::Status => {
                let digest = self.newest().map(Chosen::digest).unwrap_or_default();
                let of = |(name, k): (&String, &Known)| DirectorStatus {
                    name: name.clone(),
                    have: k.have,
                    acts: k.acts.clone(),
                    heard: now - k.heard,
                    left: k.left,
                };
                let tell = VoterResponse::Status {
                    newest: self.durable.newest(),
                    digest,
                    pending: self.durable.accepted.is_some(),
                    votes: self.durable.may_vote(),
                    listed: self.listed(),
                    deciding: self.deciding.iter().copied().collect(),
                    changes: self.changes(now),
                    directors: self.names.iter().map(of).collect(),
                };
                self.tell(client, tell);
            }
            ClientRequest::Content { number } => {
                let found = self.durable.chosen.iter().find(|c| c.number == number).cloned();
                self.tell(client, VoterResponse::Content { found });
            }
            // In another's name than ours; what it says counts only where it is on the list.
            ClientRequest::Voter { from, word } if from != self.me => self.handle_message(now, from, word),
            // Of the connection alone.
            ClientRequest::Voter { .. } | ClientRequest::Hello { .. } | ClientRequest::Ping => {}
        }
    }

    /// Versions learned a second over the last minute, or over as long as it has been counted.
    fn changes(&self, now: f64) -> f64 {
        let counted = self.learned.iter().filter(|at| now - **at <= COUNTED).count();
        let full = self.learned.len() == MAX_LOG_VERSIONS && counted == MAX_LOG_VERSIONS;
        let since = if full { self.learned[0] } else { self.started.max(now - COUNTED) };
        counted as f64 / (now - since).max(1.0)
    }

    /// Whether a director may go on under its name; `known.until` is the lease it takes.
    fn renew(&mut self, now: f64, name: &str, mut known: Known) -> Result<(), String> {
        if !self.durable.may_vote() {
            return Err("this voter lost its store and does not vote before the others went on".to_owned());
        }
        if name.is_empty() || name.len() > LONG.0 || known.acts.len() > LONG.1 {
            return Err(format!(
                "a name of 1 to {} bytes, and {} for what is acted on, are taken",
                LONG.0, LONG.1
            ));
        }
        let lease = known.until;
        if !(lease > 0.0 && lease <= LONGEST_LEASE) {
            return Err(format!("a lease of {lease} s, it has to be above 0 and {LONGEST_LEASE} s at most"));
        }
        known.until = now + lease * (1.0 + 2.0 * MAX_CLOCK_RATE_ERROR);
        match self.names.get(name) {
            Some(k) if k.boot != known.boot && k.until > now => {
                return Err(format!("the name {name:?} is in use by another director"));
            }
            // Another start may hold the name under a lease that we forgot; who still has one goes on.
            None if known.left <= 0.0
                && now < self.started + 2.0 * LONGEST_LEASE
                && now < self.started + self.forgotten() =>
            {
                return Err("this voter has just started and gives no name to who holds none yet".to_owned());
            }
            None if self.names.len() >= MAX_DIRECTOR_NAMES => {
                self.names.retain(|_, k| k.until > now);
                if self.names.len() >= MAX_DIRECTOR_NAMES {
                    return Err(format!("{MAX_DIRECTOR_NAMES} directors are known, no more are taken"));
                }
            }
            _ => {}
        }
        self.names.insert(name.to_owned(), known);
        Ok(())
    }

    /// s; how long a lease may last that was granted before our start.
    fn forgotten(&self) -> f64 {
        self.lease * (1.0 + 2.0 * MAX_CLOCK_RATE_ERROR)
    }

    // Time.

    /// What is due by now.
    pub fn tick(&mut self, now: f64) {
        if self.own.as_ref().is_some_and(|own| now >= own.until)
            && let Some(own) = self.own.take()
        {
            let why = format!("no majority of voters within {GIVE_UP} s; it may still be agreed");
            self.tell(own.client, VoterResponse::Unknown { why });
        }
        let over = self.tried.as_ref().is_some_and(|t| now >= t.until);
        if over {
            self.tried = None;
        }
        if self.tried.is_none() && self.own.is_some() {
            self.begin(now);
        } else if self.tried.is_none() && self.durable.accepted.is_some() && now >= self.finish_at {
            self.finish_at = now + FINISH * (1.0 + 2.0 * self.rng.f64());
            self.begin(now);
        }
        if now >= self.wanted_at + self.want_every() {
            self.wanted_at = now;
            let (have, ready) = (self.durable.newest(), self.durable.votes_from.is_some());
            self.out.push(Output::Broadcast(VoterMessage::Want { start: self.start, have, ready }));
        }
        self.names.retain(|_, k| now - k.heard < LISTED);
    }

    fn want_every(&self) -> f64 {
        let lacks = self.lacks || self.durable.votes_from.is_none();
        if lacks { WANT_EVERY.0 } else { WANT_EVERY.1 }
    }

    /// When something is due though nobody says anything.
    pub fn next_timer_at(&self) -> f64 {
        let tried = self.tried.as_ref().map(|t| t.until);
        let own = self.own.as_ref().map(|own| own.until);
        let finish = (self.tried.is_none() && self.durable.accepted.is_some()).then_some(self.finish_at);
        let want = Some(self.wanted_at + self.want_every());
        [tried, own, finish, want].into_iter().flatten().fold(f64::INFINITY, f64::min)
    }
}
