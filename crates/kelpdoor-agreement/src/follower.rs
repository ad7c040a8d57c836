//! A director's side: which version it acts on, until when, and what it goes by meanwhile.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::MAX_CLOCK_RATE_ERROR;
use crate::delta::Delta;
use crate::messages::{
    CatchUp, Chosen, ClientRequest, MAX_LOG_VERSIONS, MAX_VERSION, VoterId, VoterResponse,
};

/// Renewals within a lease: three may be lost.
pub const RENEWALS_PER_LEASE: f64 = 4.0;
/// Of a lease; a question without an answer counts as lost, and the voter is asked again.
const LOST: f64 = 1.0;
/// s; the lease asked for before any version is known.
const FIRST_LEASE: f64 = 1.0;
/// Of the time for which a version stands beside a newer one; versions learned within it stand together, so that however
/// fast they come some ten folds are held. What has no stricter side changes later by as much.
const FOLD: f64 = 0.125;
/// Versions beside the newest that a label names one by one; more are named by the first and the last.
const NAMED: usize = 4;

/// What is read of a version, once. Nothing that is acted on is read anywhere else.
pub trait Rules: Clone + Debug {
    /// What it is read with: a director's own settings.
    type LocalSettings: Clone + Debug;

    /// # Errors
    /// Why the document is none; nothing is begun by it.
    fn read(own: &Self::LocalSettings, text: &str) -> Result<Self, String>;
    /// s; the lease that it grants.
    fn lease(&self) -> f64;
    /// Who decides the version after it.
    fn voters(&self) -> Vec<VoterId>;
    /// Where those are reached, by number, as far as it says so.
    fn addresses(&self) -> BTreeMap<u8, SocketAddr> {
        BTreeMap::new()
    }
    /// What is acted on while both may be: the stricter of both, and the older where there is no stricter. Of three it is
    /// the same whichever two are taken first.
    fn merge(older: &Self, newer: &Self) -> Self;
}

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
    /// A chain of this voter's did not join: it is asked for the document.
    misled: bool,
}

/// A version by number and digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionName {
    pub number: u64,
    pub digest: String,
}

impl VersionName {
    fn label(&self) -> String {
        format!("{}/{}", self.number, self.digest)
    }
}

/// Versions that follow each other, from the first to the last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSpan {
    pub first: VersionName,
    pub last: VersionName,
}

/// What a director may do now.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveVersions {
    pub version: VersionName,
    /// Versions that others may still act on, oldest first and none left out up to `version`: the stricter of all holds,
    /// and what has no stricter side is the oldest's.
    pub older: Vec<VersionSpan>,
    /// Steady time; nothing is begun before, and nothing from then on.
    pub from: f64,
    pub until: f64,
}

impl ActiveVersions {
    /// The oldest version that is acted on.
    pub fn oldest(&self) -> u64 {
        self.older.first().map_or(self.version.number, |s| s.first.number)
    }

    /// Versions by number and digest, the newest first, as records name them: `9/ab.. beside 8/cd.. beside 7/ef..`, or with
    /// more than a few beside `99/ab.. beside 98/cd.. to 40/ef..`.
    pub fn label(&self) -> String {
        let mut all = self.version.label();
        let (Some(oldest), Some(newest)) = (self.older.first(), self.older.last()) else { return all };
        if self.older.len() <= NAMED && self.older.iter().all(|s| s.first == s.last) {
            for s in self.older.iter().rev() {
                all += &format!(" beside {}", s.last.label());
            }
            return all;
        }
        all + &format!(" beside {} to {}", newest.last.label(), oldest.first.label())
    }
}

/// A version, read.
#[derive(Clone, Debug)]
struct Read<R> {
    chosen: Chosen,
    named: VersionName,
    rules: Arc<R>,
}

/// Versions that stand beside newer ones, folded into one.
#[derive(Clone, Debug)]
struct Fold<R> {
    span: VersionSpan,
    opened: f64,
    /// Nobody acts on any of them as the newest from then on.
    until: f64,
    rules: Arc<R>,
}

#[derive(Clone, Debug)]
pub struct Follower<R: Rules> {
    name: String,
    boot: u64,
    own: R::LocalSettings,
    /// Of each voter asked lately, whether it is on the list or not.
    lines: BTreeMap<VoterId, Line>,
    /// Who decides the version after the known one: a majority of them alone gives a lease.
    deciding: BTreeSet<VoterId>,
    known: Option<Read<R>>,
    lease: f64,
    /// Oldest first.
    older: VecDeque<Fold<R>>,
    /// All of `beside` but the last, as merged: from which version to which.
    merged: Option<(u64, u64, Arc<R>)>,
    /// A version that does not read here, by number and digest, and why.
    unread: Option<(VersionName, String)>,
    from: f64,
    until: f64,
    /// A voter has answered since our start.
    begun: bool,
    seq: u64,
}

impl<R: Rules> Follower<R> {
    /// `kept` is what an earlier start knew: knowledge, no permission. One that does not read here is done without.
    pub fn new(name: &str, boot: u64, kept: Option<Chosen>, own: R::LocalSettings) -> Self {
        let mut f = Follower {
            name: name.to_owned(),
            boot,
            own,
            lines: BTreeMap::new(),
            deciding: BTreeSet::new(),
            known: None,
            lease: FIRST_LEASE,
            older: VecDeque::new(),
            merged: None,
            unread: None,
            from: f64::INFINITY,
            until: f64::NEG_INFINITY,
            begun: false,
            seq: 0,
        };
        if let Some(Ok(read)) = kept.map(|c| f.read(c)) {
            f.know(read);
        }
        f
    }

    /// Reads a version, once.
    fn read(&mut self, chosen: Chosen) -> Result<Read<R>, String> {
        let named = VersionName { number: chosen.number, digest: chosen.digest() };
        if let Some((of, why)) = &self.unread
            && *of == named
        {
            return Err(why.clone());
        }
        match R::read(&self.own, &chosen.value.text) {
            Ok(rules) => Ok(Read { chosen, named, rules: Arc::new(rules) }),
            Err(why) => {
                let why = format!("version {} does not read here: {why}", named.label());
                self.unread = Some((named, why.clone()));
                Err(why)
            }
        }
    }

    /// Goes by what that version says of voters and leases.
    fn know(&mut self, read: Read<R>) {
        self.lease = read.rules.lease();
        self.deciding = read.rules.voters().into_iter().collect();
        self.known = Some(read);
    }

    pub fn known_version(&self) -> Option<&Chosen> {
        self.known.as_ref().map(|k| &k.chosen)
    }

    /// What is read of the newest version known.
    pub fn newest_rules(&self) -> Option<&Arc<R>> {
        self.known.as_ref().map(|k| &k.rules)
    }

    /// What may be acted on, if any version is known.
    pub fn active_versions(&self, now: f64) -> Option<ActiveVersions> {
        let version = self.known.as_ref()?.named.clone();
        let older = self.older.iter().filter(|f| f.until > now).map(|f| f.span.clone()).collect();
        Some(ActiveVersions { version, older, from: self.from, until: self.until })
    }

    /// All versions that may be acted on, merged. What was merged before is not merged again.
    pub fn rules(&mut self, now: f64) -> Option<Arc<R>> {
        self.drop_old(now);
        let newest = self.known.as_ref()?.rules.clone();
        let Some(last) = self.older.back() else { return Some(newest) };
        let mut all = last.rules.clone();
        let older = self.older.len() - 1;
        if older > 0 {
            let between = (self.older[0].span.first.number, self.older[older - 1].span.last.number);
            let known = self.merged.take().filter(|(a, b, _)| (*a, *b) == between).map(|(.., r)| r);
            let merged = known.unwrap_or_else(|| {
                let rest = self.older.range(1..older).map(|f| &f.rules);
                rest.fold(self.older[0].rules.clone(), |a, b| Arc::new(R::merge(&a, b)))
            });
            all = Arc::new(R::merge(&merged, &all));
            self.merged = Some((between.0, between.1, merged));
        }
        Some(Arc::new(R::merge(&all, &newest)))
    }

    fn drop_old(&mut self, now: f64) {
        while self.older.front().is_some_and(|f| f.until <= now) {
            self.older.pop_front();
        }
    }

    /// When [`active_versions`](Self::active_versions) changes by itself.
    pub fn next_change_at(&self, now: f64) -> f64 {
        let ends = self.older.iter().map(|f| f.until).chain([self.from]);
        ends.filter(|at| *at > now).fold(f64::INFINITY, f64::min)
    }

    /// The question to that voter, if one is due.
    pub fn next_request(&mut self, now: f64, voter: VoterId) -> Option<ClientRequest> {
        let (lease, left) = (self.lease, (self.until - now).max(0.0));
        let acts = self.active_versions(now).map(|a| a.label()).unwrap_or_default();
        let line = self.lines.entry(voter).or_default();
        let lost = line.out.is_none_or(|(_, asked)| now >= asked + LOST * lease);
        let due = line.asked.is_none_or(|asked| now >= asked + lease / RENEWALS_PER_LEASE);
        if !(lost && due) {
            return None;
        }
        self.seq += 1;
        let seq = self.seq;
        line.out = Some((seq, now));
        line.asked = Some(now);
        let wants = match (line.misled, left > 0.0) {
            (true, _) => CatchUp::Document,
            (false, true) => CatchUp::Chain,
            (false, false) => CatchUp::Either,
        };
        let have = self.number();
        Some(ClientRequest::Renew {
            name: self.name.clone(),
            boot: self.boot,
            seq,
            have,
            lease,
            left,
            acts,
            wants,
        })
    }

    /// When a question is due.
    pub fn next_request_at(&self) -> f64 {
        let of = |l: &Line| match (l.out, l.asked) {
            (Some((_, asked)), _) => asked + LOST * self.lease,
            (None, Some(asked)) => asked + self.lease / RENEWALS_PER_LEASE,
            (None, None) => f64::NEG_INFINITY,
        };
        self.lines.values().map(of).fold(f64::INFINITY, f64::min)
    }

    /// The connection to that voter is new: what was out on an earlier one is not answered any more.
    pub fn connected(&mut self, voter: VoterId) {
        self.lines.entry(voter).or_default().out = None;
    }

    /// That voter is not asked any more.
    pub fn remove_voter(&mut self, voter: VoterId) {
        self.lines.remove(&voter);
    }

    /// A voter's answer. Why a word of it is not taken, if so.
    ///
    /// # Errors
    /// A plain sentence; nothing of the answer counts then.
    pub fn handle_response(&mut self, now: f64, from: VoterId, tell: VoterResponse) -> Result<(), String> {
        let voter = from.0;
        let Some(line) = self.lines.get_mut(&from) else { return Ok(()) };
        let (seq, newest, pending, document, chain) = match tell {
            VoterResponse::Granted { seq, newest, pending, document, chain } => {
                (seq, newest, pending, document, chain)
            }
            VoterResponse::Refused { seq, why } => {
                if line.out.is_some_and(|(out, _)| out == seq) {
                    line.out = None;
                }
                return Err(format!("voter {voter} refuses: {why}"));
            }
            other => return Err(format!("voter {voter} says what nobody asked: {other:?}")),
        };
        let Some((_, asked)) = line.out.filter(|(out, _)| *out == seq) else { return Ok(()) };
        line.out = None;
        line.misled = false;
        if newest.max(document.as_ref().map_or(0, |c| c.number)) > MAX_VERSION {
            return Err(format!("voter {voter} tells of version {newest}, which none comes to"));
        }
        match self.made(chain) {
            Ok(newer) => self.learn(now, newer),
            Err(why) => {
                self.line(from).misled = true;
                return Err(format!("voter {voter}: {why}"));
            }
        }
        if let Some(c) = document.filter(|c| c.number > self.number()) {
            let skips = c.number > self.number() + 1;
            if skips && self.known.is_some() && now < self.until {
                let (to, known) = (c.number, self.number());
                return Err(format!(
                    "voter {voter} shows version {to} and not those after {known}: not taken under a lease"
                ));
            }
            let read = self.read(c).map_err(|why| format!("voter {voter}: {why}"))?;
            match skips {
                true => self.start_over(now, read),
                false => self.learn(now, vec![read]),
            }
        }
        if newest > self.number() {
            return Err(format!("voter {voter} knows version {newest} and does not show it"));
        }
        if !std::mem::replace(&mut self.begun, true) {
            // What was kept may have been new when we ended: others may act on the one before.
            self.from = now + self.hold();
        }
        self.line(from).said = Some(Said { asked, newest, pending });
        self.renew();
        Ok(())
    }

    fn line(&mut self, voter: VoterId) -> &mut Line {
        self.lines.entry(voter).or_default()
    }

    /// The newest version known; 0: none.
    fn number(&self) -> u64 {
        self.known.as_ref().map_or(0, |k| k.named.number)
    }

    /// s; how long somebody may act on the version before one that is learned now: a lease, on a clock that runs otherwise.
    fn hold(&self) -> f64 {
        self.lease * (1.0 + 2.0 * MAX_CLOCK_RATE_ERROR)
    }

    /// The versions of a chain after the one that is known, each from the one before it.
    ///
    /// # Errors
    /// Why the chain does not join, by the first version that does not; none of it is taken then.
    fn made(&mut self, chain: Vec<Delta>) -> Result<Vec<Read<R>>, String> {
        if chain.len() > MAX_LOG_VERSIONS {
            return Err(format!("a chain of {} versions, {} at most", chain.len(), MAX_LOG_VERSIONS));
        }
        let mut made: Vec<Read<R>> = Vec::new();
        let known = self.number();
        for delta in chain.into_iter().filter(|d| d.number > known) {
            let chosen = match made.last().or(self.known.as_ref()) {
                Some(last) => delta.apply(&last.chosen, &last.named.digest)?,
                None => return Err("a chain, and no version is known here".to_owned()),
            };
            made.push(self.read(chosen)?);
        }
        Ok(made)
    }

    /// Versions after the known one, none left out. What is acted on until now and all but the last stand beside the last
    /// until nobody can act on any of them as the newest: they were replaced by now, and a lease on one so replaced is over
    /// then. Who else acts may do so on any of them, so none may be left out of what is the stricter.
    ///
    /// Without a lease the others may long have done with what we knew: what has no stricter side would be mixed for longer
    /// than is stated. Nothing is begun until that is over.
    fn learn(&mut self, now: f64, newer: Vec<Read<R>>) {
        let mut newer = newer;
        let Some(newest) = newer.pop() else { return };
        let Some(old) = self.known.take() else { return self.start_over(now, newest) };
        if now >= self.until {
            return self.start_over(now, newest);
        }
        self.drop_old(now);
        let (until, width) = (now + self.hold(), FOLD * self.hold());
        for read in std::iter::once(old).chain(newer) {
            match self.older.back_mut().filter(|last| now < last.opened + width) {
                Some(last) => {
                    last.span.last = read.named;
                    last.until = until;
                    last.rules = Arc::new(R::merge(&last.rules, &read.rules));
                }
                None => {
                    let span = VersionSpan { first: read.named.clone(), last: read.named };
                    self.older.push_back(Fold { span, opened: now, until, rules: read.rules });
                }
            }
        }
        self.know(newest);
    }

    /// What the others may still act on is not known: nothing is begun until that is over.
    fn start_over(&mut self, now: f64, newest: Read<R>) {
        self.older.clear();
        self.know(newest);
        self.from = now + self.hold();
    }

    /// The lease runs from when the majority's earliest was asked, on our clock, which may run slow.
    fn renew(&mut self) {
        let known = self.number();
        if known == 0 {
            return;
        }
        // What was pending at a voter of an older version is the version that we know, or one before it.
        let clean = |s: &Said| s.newest < known || (s.newest == known && !s.pending);
        let said = self.deciding.iter().filter_map(|v| self.lines.get(v)?.said);
        let mut asked: Vec<f64> = said.filter(clean).map(|s| s.asked).collect();
        asked.sort_by(|a, b| b.total_cmp(a));
        if let Some(from) = asked.get(self.deciding.len() / 2) {
            self.until = self.until.max(from + self.lease * (1.0 - MAX_CLOCK_RATE_ERROR));
        }
    }
}
