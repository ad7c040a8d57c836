//! The director's side: which versions it acts on, until when, and the rules in force meanwhile.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::MAX_CLOCK_RATE_ERROR;
use crate::delta::Delta;
use crate::messages::{
    CatchUp, Chosen, ClientRequest, MAX_LOG_VERSIONS, MAX_VERSION, VoterId, VoterResponse,
};

/// Renewals per lease duration. Three in a row may be lost without losing the lease.
pub const RENEWALS_PER_LEASE: f64 = 4.0;
/// Time after which an unanswered request counts as lost and the voter is asked again, as a fraction of the lease.
const REQUEST_TIMEOUT: f64 = 1.0;
/// The lease requested before any version is known, in seconds.
const INITIAL_LEASE: f64 = 1.0;
/// Width of a group of older versions, as a fraction of the time for which a version stays active beside a newer one.
/// Versions learned within it are merged into one group, so that about ten groups are held however fast versions change.
/// Settings without a stricter value switch later by as much.
const GROUP_WIDTH: f64 = 0.125;
/// Maximum number of older groups that a label lists one by one; of more, it names only the first and the last version.
const MAX_LABEL_GROUPS: usize = 4;

/// The rules read from a version. Each version is parsed once, and nothing else of it is acted on.
pub trait Rules: Clone + Debug {
    /// The director's own settings, which are needed to read a version.
    type LocalSettings: Clone + Debug;

    /// Parses a document.
    ///
    /// # Errors
    /// Says why the document is invalid; nothing is acted on by it.
    fn read(settings: &Self::LocalSettings, text: &str) -> Result<Self, String>;
    /// Duration of the lease that the version grants, in seconds.
    fn lease(&self) -> f64;
    /// The voters that decide the next version.
    fn voters(&self) -> Vec<VoterId>;
    /// Addresses of those voters by number, as far as the version states them.
    fn addresses(&self) -> BTreeMap<u8, SocketAddr> {
        BTreeMap::new()
    }
    /// The rules to act on while both versions may be in use: the stricter value of each setting, or the older value if
    /// there is no stricter one. The operation is associative.
    fn merge(older: &Self, newer: &Self) -> Self;
}

/// A voter's last accepted response.
#[derive(Clone, Copy, Debug)]
struct LastResponse {
    /// Time at which the request was sent.
    requested_at: f64,
    newest: u64,
    pending: bool,
}

#[derive(Clone, Debug, Default)]
struct VoterState {
    /// Sequence number and time of the request in flight.
    outstanding: Option<(u64, f64)>,
    last_response: Option<LastResponse>,
    last_requested_at: Option<f64>,
    /// The voter's last chain did not apply, so the next request asks for a whole document.
    bad_chain: bool,
}

/// Number and digest of a version.
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

/// A range of consecutive versions, both ends included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSpan {
    pub first: VersionName,
    pub last: VersionName,
}

/// The versions that a director acts on, and when it may act on them.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveVersions {
    pub version: VersionName,
    /// Versions that other directors may still act on, oldest first and without gaps up to `version`. The strictest value of
    /// all applies; a setting without a stricter value keeps the oldest version's value.
    pub older: Vec<VersionSpan>,
    /// Interval of monotonic time, in seconds, in which the director may begin something new; the end is excluded.
    pub from: f64,
    pub until: f64,
}

impl ActiveVersions {
    /// Number of the oldest active version.
    pub fn oldest(&self) -> u64 {
        self.older.first().map_or(self.version.number, |s| s.first.number)
    }

    /// The active versions by number and digest, newest first, as used in logs and records:
    /// `9/ab.. beside 8/cd.. beside 7/ef..`, or `99/ab.. beside 98/cd.. to 40/ef..` if there are many.
    pub fn label(&self) -> String {
        let mut label = self.version.label();
        let (Some(oldest), Some(newest)) = (self.older.first(), self.older.last()) else { return label };
        if self.older.len() <= MAX_LABEL_GROUPS && self.older.iter().all(|s| s.first == s.last) {
            for s in self.older.iter().rev() {
                label += &format!(" beside {}", s.last.label());
            }
            return label;
        }
        label + &format!(" beside {} to {}", newest.last.label(), oldest.first.label())
    }
}

/// A version with its parsed rules.
#[derive(Clone, Debug)]
struct ParsedVersion<R> {
    chosen: Chosen,
    name: VersionName,
    rules: Arc<R>,
}

/// Consecutive older versions merged into one.
#[derive(Clone, Debug)]
struct VersionGroup<R> {
    span: VersionSpan,
    opened_at: f64,
    /// Time from which no director acts on any of them as its newest version.
    until: f64,
    rules: Arc<R>,
}

/// A director's view of the agreement: the versions it knows and its lease to act on them.
#[derive(Clone, Debug)]
pub struct Follower<R: Rules> {
    name: String,
    boot: u64,
    settings: R::LocalSettings,
    /// State of each voter asked recently, listed or not.
    voters: BTreeMap<VoterId, VoterState>,
    /// The voters that decide the version after the known one. Only a majority of them grants a lease.
    deciding: BTreeSet<VoterId>,
    known: Option<ParsedVersion<R>>,
    lease: f64,
    /// Oldest first.
    older: VecDeque<VersionGroup<R>>,
    /// The merged rules of all groups in `older` but the last, with their first and last version number.
    merged_older: Option<(u64, u64, Arc<R>)>,
    /// The last version that could not be parsed, and why.
    unreadable: Option<(VersionName, String)>,
    from: f64,
    until: f64,
    /// A voter has answered since the start.
    answered: bool,
    seq: u64,
}

impl<R: Rules> Follower<R> {
    /// Creates a follower. `stored` is the newest version known to an earlier run: it grants no lease, and is ignored if it
    /// cannot be parsed. `boot` is a random number that identifies this run.
    pub fn new(name: &str, boot: u64, stored: Option<Chosen>, settings: R::LocalSettings) -> Self {
        let mut f = Follower {
            name: name.to_owned(),
            boot,
            settings,
            voters: BTreeMap::new(),
            deciding: BTreeSet::new(),
            known: None,
            lease: INITIAL_LEASE,
            older: VecDeque::new(),
            merged_older: None,
            unreadable: None,
            from: f64::INFINITY,
            until: f64::NEG_INFINITY,
            answered: false,
            seq: 0,
        };
        if let Some(Ok(parsed)) = stored.map(|c| f.parse(c)) {
            f.set_known(parsed);
        }
        f
    }

    /// Parses a version. Remembers the last failure, so that the same version is not parsed again.
    fn parse(&mut self, chosen: Chosen) -> Result<ParsedVersion<R>, String> {
        let name = VersionName { number: chosen.number, digest: chosen.digest() };
        if let Some((failed, why)) = &self.unreadable
            && *failed == name
        {
            return Err(why.clone());
        }
        match R::read(&self.settings, &chosen.value.text) {
            Ok(rules) => Ok(ParsedVersion { chosen, name, rules: Arc::new(rules) }),
            Err(why) => {
                let why = format!("version {} does not read here: {why}", name.label());
                self.unreadable = Some((name, why.clone()));
                Err(why)
            }
        }
    }

    /// Makes this the known version and adopts its voters and lease.
    fn set_known(&mut self, parsed: ParsedVersion<R>) {
        self.lease = parsed.rules.lease();
        self.deciding = parsed.rules.voters().into_iter().collect();
        self.known = Some(parsed);
    }

    /// The newest known version.
    pub fn known_version(&self) -> Option<&Chosen> {
        self.known.as_ref().map(|k| &k.chosen)
    }

    /// The rules of the newest known version.
    pub fn newest_rules(&self) -> Option<&Arc<R>> {
        self.known.as_ref().map(|k| &k.rules)
    }

    /// The versions to act on; `None` if no version is known.
    pub fn active_versions(&self, now: f64) -> Option<ActiveVersions> {
        let version = self.known.as_ref()?.name.clone();
        let older = self.older.iter().filter(|g| g.until > now).map(|g| g.span.clone()).collect();
        Some(ActiveVersions { version, older, from: self.from, until: self.until })
    }

    /// The merged rules of all active versions. Reuses earlier merges.
    pub fn rules(&mut self, now: f64) -> Option<Arc<R>> {
        self.drop_expired(now);
        let newest = self.known.as_ref()?.rules.clone();
        let Some(last) = self.older.back() else { return Some(newest) };
        let mut merged_all = last.rules.clone();
        let rest_len = self.older.len() - 1;
        if rest_len > 0 {
            let range = (self.older[0].span.first.number, self.older[rest_len - 1].span.last.number);
            let cached = self.merged_older.take().filter(|(a, b, _)| (*a, *b) == range).map(|(.., r)| r);
            let merged = cached.unwrap_or_else(|| {
                let rest = self.older.range(1..rest_len).map(|g| &g.rules);
                rest.fold(self.older[0].rules.clone(), |a, b| Arc::new(R::merge(&a, b)))
            });
            merged_all = Arc::new(R::merge(&merged, &merged_all));
            self.merged_older = Some((range.0, range.1, merged));
        }
        Some(Arc::new(R::merge(&merged_all, &newest)))
    }

    fn drop_expired(&mut self, now: f64) {
        while self.older.front().is_some_and(|g| g.until <= now) {
            self.older.pop_front();
        }
    }

    /// Time of the next change of [`active_versions`](Self::active_versions) that needs no response; infinity if none.
    pub fn next_change_at(&self, now: f64) -> f64 {
        let changes = self.older.iter().map(|g| g.until).chain([self.from]);
        changes.filter(|at| *at > now).fold(f64::INFINITY, f64::min)
    }

    /// The request to send to this voter, if one is due.
    pub fn next_request(&mut self, now: f64, voter: VoterId) -> Option<ClientRequest> {
        let (lease, left) = (self.lease, (self.until - now).max(0.0));
        let acts = self.active_versions(now).map(|a| a.label()).unwrap_or_default();
        let state = self.voters.entry(voter).or_default();
        let none_outstanding =
            state.outstanding.is_none_or(|(_, sent_at)| now >= sent_at + REQUEST_TIMEOUT * lease);
        let due = state.last_requested_at.is_none_or(|sent_at| now >= sent_at + lease / RENEWALS_PER_LEASE);
        if !(none_outstanding && due) {
            return None;
        }
        self.seq += 1;
        let seq = self.seq;
        state.outstanding = Some((seq, now));
        state.last_requested_at = Some(now);
        let wants = match (state.bad_chain, left > 0.0) {
            (true, _) => CatchUp::Document,
            (false, true) => CatchUp::Chain,
            (false, false) => CatchUp::Either,
        };
        let have = self.known_number();
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

    /// Time at which the next request is due; infinity if no voter has been asked.
    pub fn next_request_at(&self) -> f64 {
        let due_at = |v: &VoterState| match (v.outstanding, v.last_requested_at) {
            (Some((_, sent_at)), _) => sent_at + REQUEST_TIMEOUT * self.lease,
            (None, Some(sent_at)) => sent_at + self.lease / RENEWALS_PER_LEASE,
            (None, None) => f64::NEG_INFINITY,
        };
        self.voters.values().map(due_at).fold(f64::INFINITY, f64::min)
    }

    /// Records a new connection to the voter: a request sent on an earlier connection gets no response.
    pub fn connected(&mut self, voter: VoterId) {
        self.voters.entry(voter).or_default().outstanding = None;
    }

    /// Forgets a voter that is no longer asked.
    pub fn remove_voter(&mut self, voter: VoterId) {
        self.voters.remove(&voter);
    }

    /// Handles a voter's response. Ignores responses to requests that are not in flight.
    ///
    /// # Errors
    /// Says why the response is rejected; it does not count towards the lease then.
    pub fn handle_response(
        &mut self, now: f64, from: VoterId, response: VoterResponse,
    ) -> Result<(), String> {
        let voter = from.0;
        let Some(state) = self.voters.get_mut(&from) else { return Ok(()) };
        let (seq, newest, pending, document, chain) = match response {
            VoterResponse::Granted { seq, newest, pending, document, chain } => {
                (seq, newest, pending, document, chain)
            }
            VoterResponse::Refused { seq, why } => {
                if state.outstanding.is_some_and(|(out, _)| out == seq) {
                    state.outstanding = None;
                }
                return Err(format!("voter {voter} refused the renewal: {why}"));
            }
            other => return Err(format!("unexpected response from voter {voter}: {other:?}")),
        };
        let Some((_, requested_at)) = state.outstanding.filter(|(out, _)| *out == seq) else {
            return Ok(());
        };
        state.outstanding = None;
        state.bad_chain = false;
        if newest.max(document.as_ref().map_or(0, |c| c.number)) > MAX_VERSION {
            return Err(format!(
                "voter {voter} reports version {newest}, or a document, above {MAX_VERSION}"
            ));
        }
        match self.apply_chain(chain) {
            Ok(newer) => self.learn(now, newer),
            Err(why) => {
                self.voter_mut(from).bad_chain = true;
                return Err(format!("voter {voter}: {why}"));
            }
        }
        if let Some(c) = document.filter(|c| c.number > self.known_number()) {
            let skips = c.number > self.known_number() + 1;
            if skips && self.known.is_some() && now < self.until {
                let (to, known) = (c.number, self.known_number());
                return Err(format!(
                    "voter {voter} shows version {to} and not those after {known}: not taken under a lease"
                ));
            }
            let parsed = self.parse(c).map_err(|why| format!("voter {voter}: {why}"))?;
            match skips {
                true => self.start_over(now, parsed),
                false => self.learn(now, vec![parsed]),
            }
        }
        if newest > self.known_number() {
            return Err(format!("voter {voter} reports version {newest} but did not send it"));
        }
        if !std::mem::replace(&mut self.answered, true) {
            // The stored version may have been new when the earlier run ended: other directors may act on the one before.
            self.from = now + self.hold_time();
        }
        self.voter_mut(from).last_response = Some(LastResponse { requested_at, newest, pending });
        self.extend_lease();
        Ok(())
    }

    fn voter_mut(&mut self, voter: VoterId) -> &mut VoterState {
        self.voters.entry(voter).or_default()
    }

    /// Number of the newest known version; 0 if none.
    fn known_number(&self) -> u64 {
        self.known.as_ref().map_or(0, |k| k.name.number)
    }

    /// How long other directors may act on the version before one that is learned now, in seconds: a lease, extended by the
    /// difference between the two clocks' rates.
    fn hold_time(&self) -> f64 {
        self.lease * (1.0 + 2.0 * MAX_CLOCK_RATE_ERROR)
    }

    /// Reconstructs the versions of a chain after the known one, each from the one before it.
    ///
    /// # Errors
    /// Says why the first delta that fails does not apply; the whole chain is rejected then.
    fn apply_chain(&mut self, chain: Vec<Delta>) -> Result<Vec<ParsedVersion<R>>, String> {
        if chain.len() > MAX_LOG_VERSIONS {
            return Err(format!("a chain of {} versions, {} at most", chain.len(), MAX_LOG_VERSIONS));
        }
        let mut versions: Vec<ParsedVersion<R>> = Vec::new();
        let known = self.known_number();
        for delta in chain.into_iter().filter(|d| d.number > known) {
            let chosen = match versions.last().or(self.known.as_ref()) {
                Some(last) => delta.apply(&last.chosen, &last.name.digest)?,
                None => return Err("a chain was received, but no base version is known".to_owned()),
            };
            versions.push(self.parse(chosen)?);
        }
        Ok(versions)
    }

    /// Learns consecutive versions that follow the known one. The known version and all new ones but the last stay active
    /// beside the last until no director can act on any of them as its newest: they are replaced by now, so every lease on
    /// them ends within the hold time. Other directors may act on any of them, so none may be left out of the merge.
    ///
    /// Without a lease, other directors may have stopped acting on the known version long ago: values without a stricter
    /// side would differ for longer than the stated maximum. Nothing new may begin until that is over.
    fn learn(&mut self, now: f64, newer: Vec<ParsedVersion<R>>) {
        let mut newer = newer;
        let Some(newest) = newer.pop() else { return };
        let Some(old) = self.known.take() else { return self.start_over(now, newest) };
        if now >= self.until {
            return self.start_over(now, newest);
        }
        self.drop_expired(now);
        let (until, width) = (now + self.hold_time(), GROUP_WIDTH * self.hold_time());
        for parsed in std::iter::once(old).chain(newer) {
            match self.older.back_mut().filter(|last| now < last.opened_at + width) {
                Some(last) => {
                    last.span.last = parsed.name;
                    last.until = until;
                    last.rules = Arc::new(R::merge(&last.rules, &parsed.rules));
                }
                None => {
                    let span = VersionSpan { first: parsed.name.clone(), last: parsed.name };
                    self.older.push_back(VersionGroup { span, opened_at: now, until, rules: parsed.rules });
                }
            }
        }
        self.set_known(newest);
    }

    /// Adopts a version when it is unknown what other directors may still act on. Nothing new may begin until the hold time
    /// is over.
    fn start_over(&mut self, now: f64, newest: ParsedVersion<R>) {
        self.older.clear();
        self.set_known(newest);
        self.from = now + self.hold_time();
    }

    /// Extends the lease. It runs from the earliest request of the majority, on this director's clock, which may run slow.
    fn extend_lease(&mut self) {
        let known = self.known_number();
        if known == 0 {
            return;
        }
        // A value pending at a voter that reported an older version is the known version or one before it.
        let has_nothing_newer = |r: &LastResponse| r.newest < known || (r.newest == known && !r.pending);
        let responses = self.deciding.iter().filter_map(|v| self.voters.get(v)?.last_response);
        let mut request_times: Vec<f64> =
            responses.filter(has_nothing_newer).map(|r| r.requested_at).collect();
        request_times.sort_by(|a, b| b.total_cmp(a));
        if let Some(from) = request_times.get(self.deciding.len() / 2) {
            self.until = self.until.max(from + self.lease * (1.0 - MAX_CLOCK_RATE_ERROR));
        }
    }
}
