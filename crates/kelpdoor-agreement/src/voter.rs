//! A voter: acceptor, proposer and learner of one decree for each next version.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::RATE_ERROR;
use crate::words::{Ask, Ballot, Chosen, DirectorStanding, MAX_DOCUMENT, Tell, Value, VoterId, Word};

/// Earlier versions kept for `back`.
const KEPT: usize = 8;
/// s; a try of a proposal waits so long for a majority, as words cross in ms and a write takes some ten.
const TRY: f64 = 0.3;
/// s; a proposal is told to be undecided after so long.
const GIVE_UP: f64 = 5.0;
/// s; what was accepted and not learned for so long is finished by whoever holds it: its proposer has died, or is cut off.
const FINISH: f64 = 0.4;
/// s; between questions of a voter that lacks something.
const WANT_EVERY: f64 = 0.3;
/// s; no director is granted more.
const LONGEST_LEASE: f64 = 5.0;
/// Directors known by name at most; more are refused by name until others have been silent for their lease.
const NAMES: usize = 2048;
/// Bytes of a director's name, and of the versions that it says it acts on, at most.
const LONG: (usize, usize) = (64, 512);
/// s; a director is listed for so long after its last word.
const LISTED: f64 = 3600.0;

/// What has to be on disk before any word that follows it leaves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Durable {
    /// Names fleet and voters, so that a store moved elsewhere is found out.
    pub fleet: String,
    /// The newest versions, rising.
    pub chosen: Vec<Chosen>,
    /// For the version after the newest.
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Value)>,
    /// Votes from that version on; `None`: what it voted before is lost, and the others have not been heard yet.
    pub votes_from: Option<u64>,
}

impl Durable {
    /// A voter of a fleet that is founded now.
    pub fn founded(fleet: &str) -> Self {
        Durable { fleet: fleet.to_owned(), votes_from: Some(1), ..Durable::default() }
    }

    /// A voter whose store is lost: it must not vote where it may have voted before.
    pub fn lost(fleet: &str) -> Self {
        Durable { fleet: fleet.to_owned(), ..Durable::default() }
    }

    pub fn newest(&self) -> u64 {
        self.chosen.last().map_or(0, |c| c.number)
    }

    /// Whether promises, acceptances and grants may be given.
    pub fn votes(&self) -> bool {
        self.votes_from.is_some_and(|from| self.newest() + 1 >= from)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    To(VoterId, Word),
    /// To whoever asked under that number.
    Tell(u64, Tell),
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

#[derive(Clone, Debug)]
pub struct Voter {
    me: VoterId,
    voters: u8,
    durable: Durable,
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
    heard: BTreeMap<VoterId, u64>,
    names: BTreeMap<String, Known>,
    /// The lease, s, that a version's text grants; the same for all versions of a fleet.
    lease_of: fn(&str) -> f64,
    rng: Rng,
    out: Vec<Out>,
}

impl Voter {
    /// `voters`: how many there are, this one included; an odd number.
    pub fn new(
        me: VoterId, voters: u8, durable: Durable, lease_of: fn(&str) -> f64, seed: u64, now: f64,
    ) -> Self {
        let mut rng = Rng::with_seed(seed ^ u64::from(me.0));
        Voter {
            me,
            voters,
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
            names: BTreeMap::new(),
            lease_of,
            rng,
            out: Vec::new(),
        }
    }

    /// All that decides what it does next but for times and chance, for the exhaustive check.
    #[doc(hidden)]
    pub fn shape(&self) -> impl std::hash::Hash + use<> {
        let tried = self
            .tried
            .as_ref()
            .map(|t| (t.number, t.ballot, t.promises.clone(), t.value.clone(), t.accepted.clone()));
        (self.durable.clone(), self.round, self.own.as_ref().map(|o| o.value.clone()), tried)
    }

    pub fn durable(&self) -> &Durable {
        &self.durable
    }

    pub fn newest(&self) -> Option<&Chosen> {
        self.durable.chosen.last()
    }

    /// What is to be done: what has to be durable first, if anything changed, and the words that rest on it.
    pub fn take_out(&mut self) -> (Option<Durable>, Vec<Out>) {
        let write = std::mem::take(&mut self.dirty).then(|| self.durable.clone());
        (write, std::mem::take(&mut self.out))
    }

    fn majority(&self) -> usize {
        usize::from(self.voters) / 2 + 1
    }

    fn others(&self) -> impl Iterator<Item = VoterId> + use<> {
        let me = self.me;
        (0..self.voters).map(VoterId).filter(move |v| *v != me)
    }

    fn say_to_others(&mut self, word: &Word) {
        for to in self.others() {
            self.out.push(Out::To(to, word.clone()));
        }
    }

    fn tell(&mut self, client: u64, tell: Tell) {
        self.out.push(Out::Tell(client, tell));
    }

    // Proposing.

    /// Begins a try for the next version, above every try that is known of.
    fn begin(&mut self, now: f64) {
        if !self.durable.votes() {
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
        self.say_to_others(&Word::Prepare { number, ballot });
        self.hear(now, self.me, Word::Prepare { number, ballot });
    }

    fn promised(
        &mut self, now: f64, from: VoterId, number: u64, ballot: Ballot, accepted: Option<(Ballot, Value)>,
    ) {
        let majority = self.majority();
        let Some(t) = self.tried.as_mut().filter(|t| t.number == number && t.ballot == ballot) else {
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
        let word = Word::Accept { number, ballot, id, text };
        self.say_to_others(&word);
        self.hear(now, self.me, word);
    }

    fn accepted(&mut self, now: f64, from: VoterId, number: u64, ballot: Ballot) {
        let majority = self.majority();
        let Some(t) = self.tried.as_mut().filter(|t| t.number == number && t.ballot == ballot) else {
            return;
        };
        t.accepted.insert(from);
        if t.accepted.len() < majority {
            return;
        }
        let Some(Value { id, text }) = t.value.clone() else { return };
        let word = Word::Learn { number, id, text };
        self.say_to_others(&word);
        self.hear(now, self.me, word);
    }

    fn learn(&mut self, number: u64, value: Value) {
        if number <= self.durable.newest() {
            return;
        }
        let d = &mut self.durable;
        d.chosen.push(Chosen { number, value });
        let over = d.chosen.len().saturating_sub(KEPT);
        d.chosen.drain(..over);
        (d.promised, d.accepted) = (Ballot::default(), None);
        self.dirty = true;
        self.lacks = false;
        self.tried = None;
        // A proposal was for the version after the one it named: that one is decided now, or passed.
        if let Some(own) = self.own.take() {
            let tell = self.outcome(&own.value);
            self.tell(own.client, tell);
        }
    }

    fn outcome(&self, value: &Value) -> Tell {
        if let Some(c) = self.durable.chosen.iter().find(|c| c.value == *value) {
            return Tell::Agreed { number: c.number };
        }
        let digest = self.newest().map(Chosen::digest).unwrap_or_default();
        Tell::Lost { newest: self.durable.newest(), digest }
    }

    // Voters.

    /// A word of another voter's.
    pub fn hear(&mut self, now: f64, from: VoterId, word: Word) {
        let newest = self.durable.newest();
        if let Word::Accept { text, .. }
        | Word::Learn { text, .. }
        | Word::Promise { accepted: Some((.., text)), .. } = &word
            && text.len() > MAX_DOCUMENT
        {
            // No voter of ours proposes it.
            return;
        }
        let mut answer = |word| {
            if from != self.me {
                self.out.push(Out::To(from, word));
            }
        };
        match word {
            Word::Prepare { number, .. } | Word::Accept { number, .. } if number <= newest => {
                // Of ours the newest alone is sent: whoever lacks more than one passes those between over.
                if let Some(Chosen { number, value }) = self.durable.chosen.last().cloned() {
                    answer(Word::Learn { number, id: value.id, text: value.text });
                }
            }
            Word::Prepare { number, .. } | Word::Accept { number, .. } if number > newest + 1 => {
                answer(Word::Behind { have: newest });
            }
            Word::Prepare { .. } | Word::Accept { .. } if !self.durable.votes() => {}
            Word::Prepare { number, ballot } | Word::Accept { number, ballot, .. }
                if ballot < self.durable.promised =>
            {
                answer(Word::Refuse { number, promised: self.durable.promised });
            }
            Word::Prepare { number, ballot } => {
                self.dirty |= self.durable.promised != ballot;
                self.durable.promised = ballot;
                let accepted = self.durable.accepted.clone();
                if from == self.me {
                    return self.promised(now, from, number, ballot, accepted);
                }
                let accepted = accepted.map(|(b, v)| (b, v.id, v.text));
                answer(Word::Promise { number, ballot, accepted });
            }
            Word::Accept { number, ballot, id, text } => {
                self.durable.promised = ballot;
                self.durable.accepted = Some((ballot, Value { id, text }));
                self.dirty = true;
                self.finish_at = now + FINISH * (1.0 + self.rng.f64());
                if from == self.me {
                    return self.accepted(now, from, number, ballot);
                }
                answer(Word::Accepted { number, ballot });
            }
            Word::Promise { number, ballot, accepted } => {
                let accepted = accepted.map(|(b, id, text)| (b, Value { id, text }));
                self.promised(now, from, number, ballot, accepted);
            }
            Word::Accepted { number, ballot } => self.accepted(now, from, number, ballot),
            Word::Refuse { number, promised } => {
                // Tried again above it, after the try's own wait, so that two proposers do not chase each other.
                if self.tried.as_ref().is_some_and(|t| t.number == number) {
                    self.round = self.round.max(promised.round);
                }
            }
            Word::Learn { number, id, text } => self.learn(number, Value { id, text }),
            Word::Behind { have } => {
                let Some(Chosen { number, value }) = self.durable.chosen.last().cloned() else { return };
                if have < number {
                    answer(Word::Learn { number, id: value.id, text: value.text });
                    // And the try's word again, which it could not take.
                    if let Some(t) = self.tried.as_ref().filter(|t| t.number == number + 1) {
                        let (number, ballot) = (t.number, t.ballot);
                        answer(match t.value.clone() {
                            None => Word::Prepare { number, ballot },
                            Some(Value { id, text }) => Word::Accept { number, ballot, id, text },
                        });
                    }
                }
            }
            Word::Want { start } => {
                if let Some(Chosen { number, value }) = self.durable.chosen.last().cloned() {
                    answer(Word::Learn { number, id: value.id, text: value.text });
                }
                // One that lost its own store knows nothing that others could rest on.
                if self.durable.votes_from.is_some() {
                    answer(Word::Have { start, number: newest, accepted: self.durable.accepted.is_some() });
                }
            }
            Word::Have { start, .. } if start != self.start => {}
            Word::Have { number, accepted, .. } => {
                self.heard.insert(from, number + u64::from(accepted));
                if self.durable.votes_from.is_none() && self.heard.len() >= self.majority() {
                    // One of a majority of the others knows of any version that we may have voted for.
                    let last = self.heard.values().max().copied().unwrap_or(0);
                    self.durable.votes_from = Some(last + 2);
                    self.dirty = true;
                }
            }
        }
    }

    // Directors and operators.

    /// A question under a number, at which the answer comes.
    pub fn ask(&mut self, now: f64, client: u64, ask: Ask) {
        match ask {
            Ask::Renew { name, boot, seq, have, lease, left, acts } => {
                let tell = self.renew(now, &name, Known { boot, until: lease, have, acts, heard: now, left });
                let tell = match tell {
                    Err(why) => Tell::Refused { seq, why },
                    Ok(()) => {
                        let newest = self.durable.newest();
                        self.lacks |= have > newest;
                        let document = (have < newest).then(|| self.newest().cloned()).flatten();
                        Tell::Granted { seq, newest, pending: self.durable.accepted.is_some(), document }
                    }
                };
                self.tell(client, tell);
            }
            Ask::Propose { after, value, .. } => {
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
                } else if !self.durable.votes() {
                    "this voter lost its store and does not vote before the others went on".to_owned()
                } else if self.own.is_some() {
                    "another proposal is being decided here".to_owned()
                } else {
                    self.own = Some(Own { client, value, until: now + GIVE_UP });
                    return self.begin(now);
                };
                self.tell(client, Tell::NotTaken { why });
            }
            Ask::Standing => {
                let digest = self.newest().map(Chosen::digest).unwrap_or_default();
                let of = |(name, k): (&String, &Known)| DirectorStanding {
                    name: name.clone(),
                    have: k.have,
                    acts: k.acts.clone(),
                    heard: now - k.heard,
                    left: k.left,
                };
                let tell = Tell::Standing {
                    newest: self.durable.newest(),
                    digest,
                    pending: self.durable.accepted.is_some(),
                    votes: self.durable.votes(),
                    directors: self.names.iter().map(of).collect(),
                };
                self.tell(client, tell);
            }
            Ask::Content { number } => {
                let found = self.durable.chosen.iter().find(|c| c.number == number).cloned();
                self.tell(client, Tell::Content { found });
            }
            // Of a place that there is, and not ours: who says otherwise is none of us.
            Ask::Voter { from, word } if from != self.me && from.0 < self.voters => {
                self.hear(now, from, word)
            }
            // Of the connection alone.
            Ask::Voter { .. } | Ask::Hello { .. } | Ask::Ping => {}
        }
    }

    /// Whether a director may go on under its name; `known.until` is the lease it takes.
    fn renew(&mut self, now: f64, name: &str, mut known: Known) -> Result<(), String> {
        if !self.durable.votes() {
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
        known.until = now + lease * (1.0 + 2.0 * RATE_ERROR);
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
            None if self.names.len() >= NAMES => {
                self.names.retain(|_, k| k.until > now);
                if self.names.len() >= NAMES {
                    return Err(format!("{NAMES} directors are known, no more are taken"));
                }
            }
            _ => {}
        }
        self.names.insert(name.to_owned(), known);
        Ok(())
    }

    /// s; how long a lease may last that was granted before our start.
    fn forgotten(&self) -> f64 {
        self.newest().map_or(0.0, |c| (self.lease_of)(&c.value.text) * (1.0 + 2.0 * RATE_ERROR))
    }

    // Time.

    /// What is due by now.
    pub fn tick(&mut self, now: f64) {
        if self.own.as_ref().is_some_and(|own| now >= own.until)
            && let Some(own) = self.own.take()
        {
            let why = format!("no majority of voters within {GIVE_UP} s; it may still be agreed");
            self.tell(own.client, Tell::Unknown { why });
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
        if (self.lacks || self.durable.votes_from.is_none()) && now >= self.wanted_at + WANT_EVERY {
            self.wanted_at = now;
            self.say_to_others(&Word::Want { start: self.start });
        }
        self.names.retain(|_, k| now - k.heard < LISTED);
    }

    /// When something is due though nobody says anything.
    pub fn next(&self) -> f64 {
        let tried = self.tried.as_ref().map(|t| t.until);
        let own = self.own.as_ref().map(|own| own.until);
        let finish = (self.tried.is_none() && self.durable.accepted.is_some()).then_some(self.finish_at);
        let want = (self.lacks || self.durable.votes_from.is_none()).then_some(self.wanted_at + WANT_EVERY);
        [tried, own, finish, want].into_iter().flatten().fold(f64::INFINITY, f64::min)
    }
}
