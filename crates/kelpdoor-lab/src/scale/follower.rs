//! Followers of the agreed rules as the measurements use them, and the tracking of versions over a fleet of them.

use std::collections::BTreeMap;

use kelpdoor_agreement::{ClientRequest, DocumentReader, Rules, VoterId, VoterResponse, lease_duration};

/// Most versions that a tracker counts; a run has some thousands.
const MAX_VERSIONS: u64 = 100_000;

/// Reads only the first line of a document, as [`document_header`] writes it.
pub const FIRST_LINE: DocumentReader = DocumentReader {
    lease: |text| first_line(text).map_or(0.0, |(contradiction, _)| lease_duration(contradiction)),
    voters: |text| first_line(text).map(|(_, voters)| voters).unwrap_or_default(),
};

fn first_line(text: &str) -> Option<(f64, Vec<VoterId>)> {
    let line = text.lines().next()?.strip_prefix("# contradiction ")?;
    let (contradiction, by) = line.split_once(" by ")?;
    let voters = by.split(' ').map(|v| v.parse().ok().map(VoterId)).collect::<Option<_>>()?;
    Some((contradiction.parse().ok()?, voters))
}

/// The first line of a document, which holds all that [`FIRST_LINE`] reads.
pub fn document_header(contradiction: f64, voters: usize) -> String {
    let by: Vec<String> = (0..voters).map(|v| v.to_string()).collect();
    format!("# contradiction {contradiction} by {}\n", by.join(" "))
}

/// The rules that a hollow director reads from a document; merging keeps the newer ones.
#[derive(Clone, Debug)]
pub struct FirstLine {
    contradiction: f64,
    voters: Vec<VoterId>,
}

impl Rules for FirstLine {
    type LocalSettings = ();

    fn read((): &(), text: &str) -> Result<Self, String> {
        let (contradiction, voters) = first_line(text).ok_or("its first line names no voters")?;
        Ok(FirstLine { contradiction, voters })
    }

    fn lease(&self) -> f64 {
        lease_duration(self.contradiction)
    }

    fn voters(&self) -> Vec<VoterId> {
        self.voters.clone()
    }

    fn merge(_: &Self, newer: &Self) -> Self {
        newer.clone()
    }
}

/// The real follower, with documents reduced to their first line.
pub type Follower = kelpdoor_agreement::Follower<FirstLine>;

/// A follower that knows no version yet.
pub fn follower(name: &str, boot: u64) -> Follower {
    Follower::new(name, boot, None, ())
}

/// The newest version that a follower knows; 0 if none.
pub fn newest(follower: &Follower) -> u64 {
    follower.known_version().map_or(0, |c| c.number)
}

/// The versions that a follower acts on and when, in its local time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActiveSpan {
    pub newest: u64,
    /// Oldest version that is merged into it; equal to `newest` if there is none.
    pub oldest: u64,
    pub from: f64,
    pub until: f64,
}

/// The versions that a follower acts on; `None` if it knows none.
pub fn active_span(follower: &Follower, now: f64) -> Option<ActiveSpan> {
    let a = follower.active_versions(now)?;
    let newest = a.version.number;
    let oldest = a.oldest();
    Some(ActiveSpan { newest, oldest, from: a.from, until: a.until })
}

/// Whether a follower may begin sessions now.
pub fn may_begin(follower: &Follower, now: f64) -> bool {
    active_span(follower, now).is_some_and(|a| a.from <= now && now < a.until)
}

/// Whether a follower may begin sessions now by its newest version alone.
pub fn alone(follower: &Follower, now: f64) -> bool {
    active_span(follower, now).is_some_and(|a| a.from <= now && now < a.until && a.oldest == a.newest)
}

/// Tracked state of a director, in the tracker's time.
#[derive(Clone, Copy, Debug, Default)]
struct DirectorState {
    known: u64,
    /// Newest and oldest version acted on, and the interval; `until` is negative infinity while no version is known.
    newest: u64,
    oldest: u64,
    from: f64,
    until: f64,
    observed_at: f64,
    /// Seconds of the tracker's span in which it might begin sessions.
    begin_seconds: f64,
    /// All versions up to this one are in force at this director.
    in_force: u64,
    /// First time since the mark at which it may begin sessions.
    recovered_at: Option<f64>,
}

/// Tracked state of a version.
#[derive(Clone, Copy, Debug, Default)]
pub struct Version {
    /// Time of the first proposal, if the proposer learned the result.
    pub proposed: Option<f64>,
    pub agreed: Option<f64>,
    known: usize,
    in_force: usize,
    /// Time when all directors know this version or a later one.
    pub known_at: Option<f64>,
    /// Time when all directors may begin sessions by this version or later ones only.
    pub force_at: Option<f64>,
}

/// Tracks which versions each director of a run knows and acts on, and when.
pub struct VersionTracker {
    directors: Vec<DirectorState>,
    versions: Vec<Version>,
    /// Interval in which the time to begin sessions is counted.
    span: (f64, f64),
    mark: f64,
    /// Directors that count for "everywhere", and their number.
    counts: Vec<bool>,
    everywhere: usize,
    /// By version: when a director first acted on it alone, and first acted on it as the oldest merged version.
    first_alone: BTreeMap<u64, f64>,
    first_oldest: BTreeMap<u64, f64>,
    /// Longest time in seconds that an older version was acted on alone after a newer one was. Above 0, the agreement is
    /// violated.
    pub older_alone: f64,
    /// Longest time in seconds that switched keys of two versions were acted on at once.
    pub mixed: f64,
}

impl VersionTracker {
    /// Tracks `directors` directors; a version is in force everywhere once it is at all for which `counts` holds.
    pub fn new(directors: usize, counts: impl Fn(usize) -> bool) -> Self {
        let counts: Vec<bool> = (0..directors).map(counts).collect();
        VersionTracker {
            directors: vec![
                DirectorState {
                    from: f64::INFINITY,
                    until: f64::NEG_INFINITY,
                    ..DirectorState::default()
                };
                directors
            ],
            versions: Vec::new(),
            span: (f64::INFINITY, f64::INFINITY),
            mark: f64::INFINITY,
            everywhere: counts.iter().filter(|c| **c).count(),
            counts,
            first_alone: BTreeMap::new(),
            first_oldest: BTreeMap::new(),
            older_alone: 0.0,
            mixed: 0.0,
        }
    }

    /// Sets the interval in which the time to begin sessions is counted.
    pub fn set_span(&mut self, from: f64, to: f64) {
        self.span = (from, to);
        self.directors.iter_mut().for_each(|s| s.begin_seconds = 0.0);
    }

    /// Sets the time from which recoveries are recorded.
    pub fn set_mark(&mut self, at: f64) {
        self.mark = at;
        self.directors.iter_mut().for_each(|s| s.recovered_at = None);
    }

    fn version(&mut self, number: u64) -> Option<&mut Version> {
        if !(1..=MAX_VERSIONS).contains(&number) {
            return None;
        }
        if self.versions.len() < number as usize {
            self.versions.resize(number as usize, Version::default());
        }
        self.versions.get_mut(number as usize - 1)
    }

    /// Records that a proposal made at `proposed` was agreed as version `number`.
    pub fn record_agreed(&mut self, number: u64, proposed: f64, at: f64) {
        if let Some(v) = self.version(number) {
            v.proposed = Some(proposed);
            v.agreed = Some(at);
        }
    }

    /// Records the state of director `d` at `t`; call it after each change. `scale` converts local time to the tracker's.
    pub fn observe(&mut self, t: f64, d: usize, follower: &Follower, now: f64, scale: impl Fn(f64) -> f64) {
        self.advance(t, d);
        let (all, counts) = (self.everywhere, usize::from(self.counts.get(d) == Some(&true)));
        let (known, acts) = (newest(follower), active_span(follower, now));
        let Some(state) = self.directors.get_mut(d) else { return };
        let (knew, forced) = (state.known, state.in_force);
        state.known = known;
        if let Some(a) = acts {
            (state.newest, state.oldest) = (a.newest, a.oldest);
            (state.from, state.until) = (scale(a.from), scale(a.until));
        }
        let begins = acts.is_some_and(|a| a.from <= now && now < a.until);
        if begins {
            state.in_force = state.in_force.max(state.oldest);
            if t >= self.mark {
                state.recovered_at.get_or_insert(t);
            }
        }
        let state = *state;
        for n in knew + 1..=state.known.min(MAX_VERSIONS) {
            let Some(v) = self.version(n) else { break };
            v.known += counts;
            if v.known == all {
                v.known_at.get_or_insert(t);
            }
        }
        for n in forced + 1..=state.in_force.min(MAX_VERSIONS) {
            let Some(v) = self.version(n) else { break };
            v.in_force += counts;
            if v.in_force == all {
                v.force_at.get_or_insert(t);
            }
        }
        if begins {
            if state.oldest == state.newest {
                self.first_alone.entry(state.newest).or_insert(t);
            }
            self.first_oldest.entry(state.oldest).or_insert(t);
        }
    }

    /// Advances an unchanged director to `t`.
    fn advance(&mut self, t: f64, d: usize) {
        let Some(state) = self.directors.get_mut(d) else { return };
        let (from, to) = (state.from.max(state.observed_at), state.until.min(t));
        state.observed_at = t;
        if from >= to {
            return;
        }
        state.begin_seconds += (to.min(self.span.1) - from.max(self.span.0)).max(0.0);
        let since =
            |of: &BTreeMap<u64, f64>, n: u64| of.range(n + 1..).map(|(_, at)| to - at).fold(0.0, f64::max);
        self.older_alone = self.older_alone.max(since(&self.first_alone, state.newest));
        self.mixed = self.mixed.max(since(&self.first_oldest, state.oldest));
    }

    /// For each selected director, the fraction of the span up to `t` in which it might begin sessions.
    pub fn begin_fractions(&mut self, t: f64, of: impl Fn(usize) -> bool) -> Vec<f64> {
        let length = t.min(self.span.1) - self.span.0;
        let all: Vec<usize> = (0..self.directors.len()).filter(|d| of(*d)).collect();
        all.into_iter()
            .map(|d| {
                self.advance(t, d);
                if length > 0.0 { self.directors[d].begin_seconds / length } else { 0.0 }
            })
            .collect()
    }

    /// Seconds from the mark until each selected director may begin sessions, without those that may not yet.
    pub fn recovery_times(&self, of: impl Fn(usize) -> bool) -> Vec<f64> {
        let directors = self.directors.iter().enumerate().filter(|(d, _)| of(*d));
        directors.filter_map(|(_, s)| Some(s.recovered_at? - self.mark)).collect()
    }

    /// Versions proposed in the interval `from..to`.
    pub fn proposed_between(&self, from: f64, to: f64) -> impl Iterator<Item = &Version> {
        self.versions.iter().filter(move |v| v.proposed.is_some_and(|at| from <= at && at < to))
    }
}

/// Whether a response only renews the lease, without a document or edits.
pub fn is_plain_grant(of: &VoterResponse) -> bool {
    matches!(of, VoterResponse::Granted { document: None, chain, .. } if chain.is_empty())
}

/// The requests that are due. Skips the voters before that, as each poll computes digests of the active versions.
pub fn due_requests(follower: &mut Follower, now: f64, voters: usize) -> Vec<(VoterId, ClientRequest)> {
    let at = follower.next_request_at();
    if at > now && at < f64::INFINITY {
        return Vec::new();
    }
    (0..voters as u8).map(VoterId).filter_map(|v| Some((v, follower.next_request(now, v)?))).collect()
}

/// Polls all voters as the loop of a real director does.
pub fn poll_like_director(follower: &mut Follower, now: f64, voters: usize) -> Vec<(VoterId, ClientRequest)> {
    let all =
        (0..voters as u8).map(VoterId).filter_map(|v| Some((v, follower.next_request(now, v)?))).collect();
    std::hint::black_box(follower.active_versions(now).map(|a| a.label()));
    all
}
