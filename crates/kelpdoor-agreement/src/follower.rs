//! A director's side: which version it acts on, until when, and what it goes by meanwhile.

use std::collections::{BTreeMap, BTreeSet};

use crate::RATE_ERROR;
use crate::words::{Ask, Chosen, MOST, Reading, Tell, VoterId};

/// Renewals within a lease: three may be lost.
pub const RENEWALS: f64 = 4.0;
/// Of a lease; a question without an answer counts as lost, and the voter is asked again.
const LOST: f64 = 1.0;
/// s; the lease asked for before any version is known.
const FIRST_LEASE: f64 = 1.0;
/// Versions stood beside a newer one at most, when they follow each other fast. Over it the director waits as if it had
/// missed one.
pub const TOGETHER: usize = 4;

/// What one voter said last.
#[derive(Clone, Copy, Debug)]
struct Said {
    /// When it was asked.
    asked: f64,
    newest: u64,
    pending: bool,
}

#[derive(Clone, Debug, Default)]
struct Line {
    /// Number and time of the question out.
    out: Option<(u64, f64)>,
    said: Option<Said>,
    asked: Option<f64>,
}

/// What a director may do now.
#[derive(Clone, Debug, PartialEq)]
pub struct Acting {
    pub version: Chosen,
    /// Versions that others may still act on, oldest first: the stricter of all holds, and what has no stricter side is
    /// the oldest's.
    pub beside: Vec<Chosen>,
    /// Steady time; nothing is begun before, and nothing from then on.
    pub from: f64,
    pub until: f64,
}

impl Acting {
    /// Versions by number and digest, the newest first, as records name them.
    pub fn label(&self) -> String {
        let mut all = self.version.label();
        for b in self.beside.iter().rev() {
            all += " beside ";
            all += &b.label();
        }
        all
    }
}

#[derive(Clone, Debug)]
pub struct Follower {
    name: String,
    boot: u64,
    /// Of each voter asked lately, whether it is on the list or not.
    lines: BTreeMap<VoterId, Line>,
    /// Who decides the version after the known one: a majority of them alone gives a lease.
    deciding: BTreeSet<VoterId>,
    known: Option<Chosen>,
    lease: f64,
    beside: Vec<(Chosen, f64)>,
    from: f64,
    until: f64,
    /// A voter has answered since our start.
    begun: bool,
    seq: u64,
    reading: Reading,
}

impl Follower {
    /// `kept` is what an earlier start knew: knowledge, no permission.
    pub fn new(name: &str, boot: u64, kept: Option<Chosen>, reading: Reading) -> Self {
        let mut f = Follower {
            name: name.to_owned(),
            boot,
            lines: BTreeMap::new(),
            deciding: BTreeSet::new(),
            known: kept,
            lease: FIRST_LEASE,
            beside: Vec::new(),
            from: f64::INFINITY,
            until: f64::NEG_INFINITY,
            begun: false,
            seq: 0,
            reading,
        };
        f.read();
        f
    }

    /// Reads what the known version says of voters and leases.
    fn read(&mut self) {
        if let Some(c) = &self.known {
            self.lease = (self.reading.lease)(&c.value.text);
            self.deciding = (self.reading.voters)(&c.value.text).into_iter().collect();
        }
    }

    pub fn known(&self) -> Option<&Chosen> {
        self.known.as_ref()
    }

    /// What may be acted on, if any version is known.
    pub fn acting(&self, now: f64) -> Option<Acting> {
        let version = self.known.clone()?;
        let beside = self.beside.iter().filter(|(_, until)| *until > now).map(|(c, _)| c.clone()).collect();
        Some(Acting { version, beside, from: self.from, until: self.until })
    }

    /// When [`acting`](Self::acting) changes by itself.
    pub fn changes_at(&self, now: f64) -> f64 {
        let ends = self.beside.iter().map(|(_, until)| *until).chain([self.from]);
        ends.filter(|at| *at > now).fold(f64::INFINITY, f64::min)
    }

    /// The question to that voter, if one is due.
    pub fn ask(&mut self, now: f64, voter: VoterId) -> Option<Ask> {
        let (lease, left) = (self.lease, (self.until - now).max(0.0));
        let acts = self.acting(now).map(|a| a.label()).unwrap_or_default();
        let line = self.lines.entry(voter).or_default();
        let lost = line.out.is_none_or(|(_, asked)| now >= asked + LOST * lease);
        let due = line.asked.is_none_or(|asked| now >= asked + lease / RENEWALS);
        if !(lost && due) {
            return None;
        }
        self.seq += 1;
        let seq = self.seq;
        line.out = Some((seq, now));
        line.asked = Some(now);
        let have = self.known.as_ref().map_or(0, |c| c.number);
        Some(Ask::Renew { name: self.name.clone(), boot: self.boot, seq, have, lease, left, acts })
    }

    /// When a question is due.
    pub fn ask_at(&self) -> f64 {
        let of = |l: &Line| match (l.out, l.asked) {
            (Some((_, asked)), _) => asked + LOST * self.lease,
            (None, Some(asked)) => asked + self.lease / RENEWALS,
            (None, None) => f64::NEG_INFINITY,
        };
        self.lines.values().map(of).fold(f64::INFINITY, f64::min)
    }

    /// The connection to that voter is new: what was out on an earlier one is not answered any more.
    pub fn connected(&mut self, voter: VoterId) {
        self.lines.entry(voter).or_default().out = None;
    }

    /// That voter is not asked any more.
    pub fn forget(&mut self, voter: VoterId) {
        self.lines.remove(&voter);
    }

    /// A voter's answer. Why a word of it is not taken, if so.
    ///
    /// # Errors
    /// A plain sentence; nothing of the answer counts then.
    pub fn heard(&mut self, now: f64, from: VoterId, tell: Tell) -> Result<(), String> {
        let voter = from.0;
        let Some(line) = self.lines.get_mut(&from) else { return Ok(()) };
        let (seq, newest, pending, document) = match tell {
            Tell::Granted { seq, newest, pending, document } => (seq, newest, pending, document),
            Tell::Refused { seq, why } => {
                if line.out.is_some_and(|(out, _)| out == seq) {
                    line.out = None;
                }
                return Err(format!("voter {voter} refuses: {why}"));
            }
            other => return Err(format!("voter {voter} says what nobody asked: {other:?}")),
        };
        let Some((_, asked)) = line.out.filter(|(out, _)| *out == seq) else { return Ok(()) };
        line.out = None;
        if newest.max(document.as_ref().map_or(0, |c| c.number)) > MOST {
            return Err(format!("voter {voter} tells of version {newest}, which none comes to"));
        }
        let have = self.known.as_ref().map_or(0, |c| c.number);
        if let Some(c) = document.filter(|c| c.number > have) {
            self.learn(now, c);
        }
        if newest > self.known.as_ref().map_or(0, |c| c.number) {
            return Err(format!("voter {voter} knows version {newest} and does not show it"));
        }
        if !std::mem::replace(&mut self.begun, true) {
            // What was kept may have been new when we ended: others may act on the one before.
            self.from = now + self.hold();
        }
        if let Some(line) = self.lines.get_mut(&from) {
            line.said = Some(Said { asked, newest, pending });
        }
        self.renew();
        Ok(())
    }

    /// s; how long somebody may act on the version before one that is learned now: a lease, on a clock that runs otherwise.
    fn hold(&self) -> f64 {
        self.lease * (1.0 + 2.0 * RATE_ERROR)
    }

    /// A newer version. What is acted on until now stands beside it until nobody can act on it alone any more. Where our
    /// own lease is over, or a version between was missed, what the others may still act on is not known: nothing is begun
    /// until that is over.
    fn learn(&mut self, now: f64, newer: Chosen) {
        self.beside.retain(|(_, until)| *until > now);
        let old = self.known.replace(newer);
        let next = old.filter(|old| {
            now < self.until
                && now >= self.from
                && Some(old.number + 1) == self.known.as_ref().map(|c| c.number)
        });
        match next {
            Some(old) if self.beside.len() < TOGETHER => self.beside.push((old, now + self.hold())),
            _ => {
                self.beside.clear();
                self.read();
                self.from = now + self.hold();
            }
        }
        self.read();
    }

    /// The lease runs from when the majority's earliest was asked, on our clock, which may run slow.
    fn renew(&mut self) {
        let known = self.known.as_ref().map_or(0, |c| c.number);
        if known == 0 {
            return;
        }
        // What was pending at a voter of an older version is the version that we know, or one before it.
        let clean = |s: &Said| s.newest < known || (s.newest == known && !s.pending);
        let said = self.deciding.iter().filter_map(|v| self.lines.get(v)?.said);
        let mut asked: Vec<f64> = said.filter(clean).map(|s| s.asked).collect();
        asked.sort_by(|a, b| b.total_cmp(a));
        if let Some(from) = asked.get(self.deciding.len() / 2) {
            self.until = self.until.max(from + self.lease * (1.0 - RATE_ERROR));
        }
    }
}
