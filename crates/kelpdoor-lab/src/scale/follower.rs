//! The one place that knows what a follower is: how it is made, what it may do, and what a fleet of them comes to.

use std::collections::BTreeMap;

use kelpdoor_agreement::{ClientRequest, DocumentReader, Rules, VoterId, VoterResponse, lease_duration};

/// Versions that a board counts at most; a run has some thousands.
const VERSIONS: u64 = 100_000;

/// Of a document its first line alone is read, as [`head`] writes it.
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

/// The first line of a document: what is read of it here.
pub fn document_header(contradiction: f64, voters: usize) -> String {
    let by: Vec<String> = (0..voters).map(|v| v.to_string()).collect();
    format!("# contradiction {contradiction} by {}\n", by.join(" "))
}

/// What a hollow director reads of a document, and all that it merges.
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

/// The real follower, of documents of which the first line alone is read.
pub type Follower = kelpdoor_agreement::Follower<FirstLine>;

/// A follower that knows nothing yet.
pub fn follower(name: &str, boot: u64) -> Follower {
    Follower::new(name, boot, None, ())
}

/// The newest version that it knows; 0: none.
pub fn newest(of: &Follower) -> u64 {
    of.known_version().map_or(0, |c| c.number)
}

/// What a follower acts on, in its own time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActiveSpan {
    pub newest: u64,
    /// Of those that stand beside it, or itself.
    pub oldest: u64,
    pub from: f64,
    pub until: f64,
}

/// What it acts on, if it knows a version.
pub fn active_span(of: &Follower, now: f64) -> Option<ActiveSpan> {
    let a = of.active_versions(now)?;
    let newest = a.version.number;
    let oldest = a.oldest();
    Some(ActiveSpan { newest, oldest, from: a.from, until: a.until })
}

/// Whether it may begin sessions now.
pub fn may_begin(of: &Follower, now: f64) -> bool {
    active_span(of, now).is_some_and(|a| a.from <= now && now < a.until)
}

/// Whether it may begin sessions now, with nothing older beside the newest version that it knows.
pub fn alone(of: &Follower, now: f64) -> bool {
    active_span(of, now).is_some_and(|a| a.from <= now && now < a.until && a.oldest == a.newest)
}

/// A director, as a board sees it. Times are those of the board.
#[derive(Clone, Copy, Debug, Default)]
struct DirectorState {
    known: u64,
    /// Newest and oldest acted on, from when until when; nothing known: until 0.
    newest: u64,
    oldest: u64,
    from: f64,
    until: f64,
    looked: f64,
    /// s, within the board's span, in which it might begin sessions.
    begun: f64,
    /// Everything up to that version is in force there.
    force: u64,
    /// It may begin again, the first time since the mark.
    again: Option<f64>,
}

/// A version, as a board sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Version {
    /// When it was proposed first, if the proposer heard of its end.
    pub proposed: Option<f64>,
    pub agreed: Option<f64>,
    known: usize,
    force: usize,
    /// Known by all, it or a later one.
    pub known_at: Option<f64>,
    /// All may begin sessions by it or a later one, with nothing older beside.
    pub force_at: Option<f64>,
}

/// Who knew and acted on what, and when: of all directors of a run.
pub struct VersionTracker {
    seats: Vec<DirectorState>,
    versions: Vec<Version>,
    /// Where the part of the time is counted.
    span: (f64, f64),
    mark: f64,
    /// Those who have to know and act on a version for it to be so everywhere, and how many they are.
    counts: Vec<bool>,
    everywhere: usize,
    /// By version, when first somebody acted on it with nothing older beside, and on nothing older as what is switched.
    first_alone: BTreeMap<u64, f64>,
    first_oldest: BTreeMap<u64, f64>,
    /// s; an older version was acted on alone for so long after a newer one was: 0, or the agreement is broken.
    pub older_alone: f64,
    /// s; two versions' switched keys were acted on for so long at most.
    pub mixed: f64,
}

impl VersionTracker {
    /// Everywhere is at those whom `counts` names.
    pub fn new(directors: usize, counts: impl Fn(usize) -> bool) -> Self {
        let counts: Vec<bool> = (0..directors).map(counts).collect();
        VersionTracker {
            seats: vec![
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

    /// Counts the part of the time from here to there.
    pub fn set_span(&mut self, from: f64, to: f64) {
        self.span = (from, to);
        self.seats.iter_mut().for_each(|s| s.begun = 0.0);
    }

    /// Counts who may begin again from here on.
    pub fn set_mark(&mut self, at: f64) {
        self.mark = at;
        self.seats.iter_mut().for_each(|s| s.again = None);
    }

    fn version(&mut self, number: u64) -> Option<&mut Version> {
        if !(1..=VERSIONS).contains(&number) {
            return None;
        }
        if self.versions.len() < number as usize {
            self.versions.resize(number as usize, Version::default());
        }
        self.versions.get_mut(number as usize - 1)
    }

    /// A proposal that was made then came to be that version.
    pub fn record_agreed(&mut self, number: u64, proposed: f64, at: f64) {
        if let Some(v) = self.version(number) {
            v.proposed = Some(proposed);
            v.agreed = Some(at);
        }
    }

    /// A director as it is at `t`; `scale` makes its own time the board's. To be called after whatever changes it.
    pub fn observe(&mut self, t: f64, d: usize, of: &Follower, now: f64, scale: impl Fn(f64) -> f64) {
        self.advance(t, d);
        let (all, counts) = (self.everywhere, usize::from(self.counts.get(d) == Some(&true)));
        let (known, acts) = (newest(of), active_span(of, now));
        let Some(seat) = self.seats.get_mut(d) else { return };
        let (knew, forced) = (seat.known, seat.force);
        seat.known = known;
        if let Some(a) = acts {
            (seat.newest, seat.oldest) = (a.newest, a.oldest);
            (seat.from, seat.until) = (scale(a.from), scale(a.until));
        }
        let begins = acts.is_some_and(|a| a.from <= now && now < a.until);
        if begins {
            seat.force = seat.force.max(seat.oldest);
            if t >= self.mark {
                seat.again.get_or_insert(t);
            }
        }
        let seat = *seat;
        for n in knew + 1..=seat.known.min(VERSIONS) {
            let Some(v) = self.version(n) else { break };
            v.known += counts;
            if v.known == all {
                v.known_at.get_or_insert(t);
            }
        }
        for n in forced + 1..=seat.force.min(VERSIONS) {
            let Some(v) = self.version(n) else { break };
            v.force += counts;
            if v.force == all {
                v.force_at.get_or_insert(t);
            }
        }
        if begins {
            if seat.oldest == seat.newest {
                self.first_alone.entry(seat.newest).or_insert(t);
            }
            self.first_oldest.entry(seat.oldest).or_insert(t);
        }
    }

    /// Time passes to `t` for a director that did nothing since it was looked at.
    fn advance(&mut self, t: f64, d: usize) {
        let Some(seat) = self.seats.get_mut(d) else { return };
        let (from, to) = (seat.from.max(seat.looked), seat.until.min(t));
        seat.looked = t;
        if from >= to {
            return;
        }
        seat.begun += (to.min(self.span.1) - from.max(self.span.0)).max(0.0);
        let since =
            |of: &BTreeMap<u64, f64>, n: u64| of.range(n + 1..).map(|(_, at)| to - at).fold(0.0, f64::max);
        self.older_alone = self.older_alone.max(since(&self.first_alone, seat.newest));
        self.mixed = self.mixed.max(since(&self.first_oldest, seat.oldest));
    }

    /// The part of the span, up to `t`, in which each director of these might begin sessions.
    pub fn begin_fractions(&mut self, t: f64, of: impl Fn(usize) -> bool) -> Vec<f64> {
        let length = t.min(self.span.1) - self.span.0;
        let all: Vec<usize> = (0..self.seats.len()).filter(|d| of(*d)).collect();
        all.into_iter()
            .map(|d| {
                self.advance(t, d);
                if length > 0.0 { self.seats[d].begun / length } else { 0.0 }
            })
            .collect()
    }

    /// s from the mark until each of these may begin; of those that may.
    pub fn recovery_times(&self, of: impl Fn(usize) -> bool) -> Vec<f64> {
        let seats = self.seats.iter().enumerate().filter(|(d, _)| of(*d));
        seats.filter_map(|(_, s)| Some(s.again? - self.mark)).collect()
    }

    /// Versions that were proposed from here to there.
    pub fn proposed_between(&self, from: f64, to: f64) -> impl Iterator<Item = &Version> {
        self.versions.iter().filter(move |v| v.proposed.is_some_and(|at| from <= at && at < to))
    }
}

/// Whether an answer brings no more than leave to go on: no document, and nothing of one.
pub fn is_plain_grant(of: &VoterResponse) -> bool {
    matches!(of, VoterResponse::Granted { document: None, chain, .. } if chain.is_empty())
}

/// The questions that are due: asked for only then, as each call names what is acted on, with its sums.
pub fn due_requests(of: &mut Follower, now: f64, voters: usize) -> Vec<(VoterId, ClientRequest)> {
    let at = of.next_request_at();
    if at > now && at < f64::INFINITY {
        return Vec::new();
    }
    (0..voters as u8).map(VoterId).filter_map(|v| Some((v, of.next_request(now, v)?))).collect()
}

/// What a real director's loop does of this each time it looks at its voters.
pub fn poll_like_director(of: &mut Follower, now: f64, voters: usize) -> Vec<(VoterId, ClientRequest)> {
    let all = (0..voters as u8).map(VoterId).filter_map(|v| Some((v, of.next_request(now, v)?))).collect();
    std::hint::black_box(of.active_versions(now).map(|a| a.label()));
    all
}
