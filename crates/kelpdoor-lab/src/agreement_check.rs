//! Judges agreement from a record alone, by what stands on the SETUPs that nodes read and what proposers were told. It
//! shares no code with voters or directors.
//!
//! A SETUP names the version that it was decided on, and those beside it that were heeded too: `5/ab.. beside 4/cd..`. It
//! acts on 5 alone where nothing is beside; what has no stricter side goes by the last named. `9/ab.. beside 8/cd.. to 3/ef..`
//! names all from 8 down to 3: those between are known by their numbers, and by the digests that others name them with.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{Line, What};

/// s; two sockets may be seen so far out of order. An older version alone beside a newer one alone is never meant to be.
const SKEW: f64 = 0.25;
/// s; after the last trouble all act on one version within this.
const ONE_WITHIN: f64 = 5.0;
/// Requests that a director answers after that, of which at least one has to be set up if it is back at all.
const ENOUGH: usize = 12;

#[derive(Clone, Debug, Default)]
pub struct AgreementVerdict {
    /// Line of the record and what is wrong.
    pub violations: Vec<(usize, String)>,
    pub versions: usize,
    pub acknowledged: usize,
    pub setups: usize,
    /// Of them, with an older version beside.
    pub merged_setups: usize,
    /// s; how long an older version was acted on alone after a newer one was, and how long keys without a stricter side
    /// were mixed.
    pub max_older_alone: f64,
    pub max_mixed: f64,
    /// s from a proposal to the last SETUP decided without it, of those acknowledged.
    pub adoption_delays: Vec<f64>,
    /// After the last trouble.
    pub calm_setups: usize,
}

struct Setup {
    n: usize,
    t: f64,
    /// Newest first.
    versions: Vec<(u64, String)>,
    group: String,
    rung: u64,
    director: Option<u64>,
    node: u32,
}

fn header<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
}

/// Versions that one label stands for at most.
const SPAN: u64 = 100_000;

/// Versions of a label, the newest first; those between two that it names have no digest.
fn versions(label: &str) -> Option<Vec<(u64, String)>> {
    let one = |v: &str| {
        let (number, digest) = v.split_once('/')?;
        Some((number.parse::<u64>().ok()?, digest.to_owned()))
    };
    let mut all = Vec::new();
    for part in label.split(" beside ") {
        let Some((newest, oldest)) = part.split_once(" to ") else {
            all.push(one(part)?);
            continue;
        };
        let (newest, oldest) = (one(newest)?, one(oldest)?);
        let lacks = newest.0.checked_sub(oldest.0).filter(|n| (1..SPAN).contains(n))?;
        all.push(newest.clone());
        all.extend((1..lacks).map(|k| (newest.0 - k, String::new())));
        all.push(oldest);
    }
    Some(all)
}

/// `contradiction`: s, as the documents state it.
pub fn check_agreement(lines: &[Line], contradiction: f64) -> AgreementVerdict {
    let mut verdict = AgreementVerdict::default();
    let mut setups: Vec<Setup> = Vec::new();
    let mut floors: BTreeMap<String, u8> = BTreeMap::new();
    let mut without: BTreeMap<String, Vec<u32>> = BTreeMap::new();
    let mut proposed: BTreeMap<String, f64> = BTreeMap::new();
    let mut contents: BTreeMap<u64, String> = BTreeMap::new();
    let mut acknowledged: Vec<(u64, f64)> = Vec::new();
    let mut calm = f64::INFINITY;
    let mut agents: BTreeMap<(u32, u64), u64> = BTreeMap::new();
    let mut calm_answers: BTreeMap<u32, (usize, usize)> = BTreeMap::new();
    let mut content = |verdict: &mut AgreementVerdict, n: usize, number: u64, digest: &str| {
        let known = contents.entry(number).or_insert_with(|| digest.to_owned());
        if known != digest {
            verdict.violations.push((n, format!("version {number} has two contents, {known} and {digest}")));
        }
    };
    for (k, line) in lines.iter().enumerate() {
        let (n, t) = (k + 1, line.t);
        match &line.what {
            What::Proposed { digest, story_floor, without: off, .. } => {
                without.insert(digest.clone(), off.clone());
                floors.insert(digest.clone(), *story_floor);
                proposed.insert(digest.clone(), t);
            }
            What::Outcome { said, .. } => {
                if let Some(v) = said.strip_prefix("agreed ").and_then(versions) {
                    let (number, digest) = &v[0];
                    content(&mut verdict, n, *number, digest);
                    acknowledged.push((*number, t));
                }
            }
            What::Calm => calm = t,
            What::Node { node, conn, got: true, text } if text.starts_with("OPTIONS ") => {
                let of = header(text, "User-Agent").and_then(|a| a.split("(director ").nth(1));
                if let Some(d) = of.and_then(|d| d.trim_end_matches(')').parse().ok()) {
                    agents.insert((*node, *conn), d);
                }
            }
            What::Node { node, conn, got: true, text } if text.starts_with("SETUP ") => {
                let Some(of) = header(text, "Rules-Version").and_then(versions) else {
                    verdict.violations.push((n, "a SETUP that names no version".into()));
                    continue;
                };
                for (number, digest) in of.iter().filter(|v| !v.1.is_empty()) {
                    content(&mut verdict, n, *number, digest);
                }
                setups.push(Setup {
                    n,
                    t,
                    versions: of,
                    group: header(text, "Service-Group").unwrap_or("").to_owned(),
                    rung: header(text, "Rung").and_then(|r| r.parse().ok()).unwrap_or(0),
                    director: agents.get(&(*node, *conn)).copied(),
                    node: *node,
                });
            }
            What::Player { director, got: true, text, .. } if t > calm + ONE_WITHIN => {
                let of = calm_answers.entry(*director).or_default();
                of.0 += usize::from(text.contains("\"playing\"") || text.contains("\"busy\""));
                of.1 += usize::from(text.contains("\"playing\""));
            }
            _ => {}
        }
    }
    // When each version was first acted on with nothing older, and first for what is not merged.
    let (mut alone, mut mixed): (BTreeMap<u64, f64>, BTreeMap<u64, f64>) = Default::default();
    let since = |of: &BTreeMap<u64, f64>, number: u64, t: f64| {
        of.range(number + 1..)
            .map(|(v, first)| (t - first, *v))
            .fold((0.0, 0), |a, b| if b.0 > a.0 { b } else { a })
    };
    let newest =
        setups.iter().flat_map(|s| s.versions.iter().map(|v| v.0)).chain(acknowledged.iter().map(|a| a.0));
    let newest = newest.max().unwrap_or(0);
    let mut worst_taken: BTreeMap<u64, f64> = BTreeMap::new();
    for s in &mut setups {
        for (number, digest) in s.versions.iter_mut().filter(|v| v.1.is_empty()) {
            *digest = contents.get(number).cloned().unwrap_or_default();
        }
    }
    for s in &setups {
        let (first, last) = (s.versions[0].0, s.versions[s.versions.len() - 1].0);
        verdict.setups += 1;
        // Nothing older than the last named is heeded: nobody may go by such a one as the newest from then on.
        alone.entry(last).or_insert(s.t);
        verdict.merged_setups += usize::from(s.versions.len() > 1);
        mixed.entry(last).or_insert(s.t);
        for ((late, newer), most, worst, what) in [
            (since(&alone, first, s.t), SKEW, &mut verdict.max_older_alone, "alone"),
            (since(&mixed, last, s.t), contradiction, &mut verdict.max_mixed, "for what is not merged"),
        ] {
            *worst = worst.max(late);
            if late > most {
                let who = s.director.map_or("a director".into(), |d| format!("director {d}"));
                let number = if what == "alone" { first } else { last };
                let why = format!(
                    "{who} acted on version {number} {what} {late:.2} s after another acted on {newer}, {most} s may be"
                );
                verdict.violations.push((s.n, why));
            }
        }
        // An acknowledged version, told to its proposer, is acted on by all that act a while later.
        for &(number, at) in &acknowledged {
            if first < number {
                let taken = worst_taken.entry(number).or_insert(0.0);
                *taken = taken.max(s.t - at);
                if s.t - at > contradiction {
                    let why = format!(
                        "version {number} was acknowledged {:.2} s ago, and {first} is acted on",
                        s.t - at
                    );
                    verdict.violations.push((s.n, why));
                }
            }
        }
        let floor =
            s.versions.iter().filter_map(|(_, digest)| floors.get(digest)).max().copied().unwrap_or(0);
        if s.group == "story" && s.rung < u64::from(floor) {
            verdict
                .violations
                .push((s.n, format!("rung {} under the floor {floor} of the versions it names", s.rung)));
        }
        for (number, _) in
            s.versions.iter().filter(|v| without.get(&v.1).is_some_and(|w| w.contains(&s.node)))
        {
            verdict.violations.push((
                s.n,
                format!("a SETUP at node {}, which version {number} drains or does not list", s.node),
            ));
        }
        if s.t > calm + ONE_WITHIN {
            verdict.calm_setups += 1;
            if s.versions.len() > 1 || first != newest {
                let why = format!(
                    "{:.1} s after the last trouble {first} is acted on, the newest is {newest}",
                    s.t - calm
                );
                verdict.violations.push((s.n, why));
            }
        }
    }
    for (director, (answers, playing)) in calm_answers {
        if answers >= ENOUGH && playing == 0 {
            let what =
                format!("director {director} sets nothing up after the last trouble, of {answers} requests");
            verdict.violations.push((lines.len(), what));
        }
    }
    if calm == f64::INFINITY {
        verdict
            .violations
            .push((lines.len(), "the troubles never ended: nothing is known of what comes after".into()));
    }
    for (number, at) in &acknowledged {
        if let Some(p) = contents.get(number).and_then(|d| proposed.get(d)) {
            verdict.adoption_delays.push(at - p + worst_taken.get(number).copied().unwrap_or(0.0).max(0.0));
        }
    }
    verdict.versions = contents.len();
    verdict.acknowledged = acknowledged.iter().map(|a| a.0).collect::<BTreeSet<_>>().len();
    verdict
}
