//! Checks the agreement properties from a record alone: from the SETUPs that nodes received and the responses that proposers
//! got. It shares no code with voters or directors.
//!
//! A SETUP names the version that it was decided on and the older versions merged with it: `5/ab.. beside 4/cd..`. Without
//! `beside`, the director acted on version 5 alone. Settings that cannot be merged, because neither side is stricter, are
//! taken from the last version named. `9/ab.. beside 8/cd.. to 3/ef..` names all versions from 8 down to 3. Those in between
//! are identified by number; their digests are known from other records that name them.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{Entry, Event};

/// Maximum reordering between the records of two sockets, in seconds. Beyond it, no director may act on an older version alone
/// after another acted on a newer one alone.
const MAX_RECORD_SKEW: f64 = 0.25;
/// Time after the last fault within which all directors act on one version, in seconds.
const CONVERGENCE_TIME: f64 = 5.0;
/// Number of requests answered after that time from which a director must have set up at least one.
const MIN_ANSWERS_TO_JUDGE: usize = 12;

/// Violations and statistics of one record.
#[derive(Clone, Debug, Default)]
pub struct AgreementVerdict {
    /// Line of the record, from 1, and a description.
    pub violations: Vec<(usize, String)>,
    /// Number of versions that were seen.
    pub versions: usize,
    /// Number of versions acknowledged to a proposer.
    pub acknowledged: usize,
    pub setups: usize,
    /// SETUPs that name an older version beside the newest.
    pub merged_setups: usize,
    /// Longest time that an older version was acted on alone after a newer one was, in seconds.
    pub max_older_alone: f64,
    /// Longest time that settings which cannot be merged came from different versions, in seconds.
    pub max_mixed: f64,
    /// Times from the proposal of an acknowledged version to the last SETUP decided without it, in seconds.
    pub adoption_delays: Vec<f64>,
    /// SETUPs after the convergence time that follows the last fault.
    pub calm_setups: usize,
}

struct Setup {
    /// Line of the record, from 1.
    line_number: usize,
    t: f64,
    /// Numbers and digests, the newest first.
    versions: Vec<(u64, String)>,
    group: String,
    rung: u64,
    director: Option<u64>,
    node: u32,
}

fn header<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
}

/// Maximum number of versions that one range of a label may cover.
const MAX_LABEL_SPAN: u64 = 100_000;

/// Parses the versions of a label, the newest first. Those inside a range have an empty digest.
fn parse_versions(label: &str) -> Option<Vec<(u64, String)>> {
    let parse_version = |v: &str| {
        let (number, digest) = v.split_once('/')?;
        Some((number.parse::<u64>().ok()?, digest.to_owned()))
    };
    let mut all = Vec::new();
    for part in label.split(" beside ") {
        let Some((newest, oldest)) = part.split_once(" to ") else {
            all.push(parse_version(part)?);
            continue;
        };
        let (newest, oldest) = (parse_version(newest)?, parse_version(oldest)?);
        let distance = newest.0.checked_sub(oldest.0).filter(|n| (1..MAX_LABEL_SPAN).contains(n))?;
        all.push(newest.clone());
        all.extend((1..distance).map(|k| (newest.0 - k, String::new())));
        all.push(oldest);
    }
    Some(all)
}

/// Checks the agreement properties of a record.
///
/// `contradiction` is the time that different directors may act on different versions, in seconds, as the documents state it.
pub fn check_agreement(lines: &[Entry], contradiction: f64) -> AgreementVerdict {
    let mut verdict = AgreementVerdict::default();
    let mut setups: Vec<Setup> = Vec::new();
    let mut floors: BTreeMap<String, u8> = BTreeMap::new();
    let mut without: BTreeMap<String, Vec<u32>> = BTreeMap::new();
    let mut proposed: BTreeMap<String, f64> = BTreeMap::new();
    let mut contents: BTreeMap<u64, String> = BTreeMap::new();
    let mut acknowledged: Vec<(u64, f64)> = Vec::new();
    let mut calm_at = f64::INFINITY;
    let mut director_of_connection: BTreeMap<(u32, u64), u64> = BTreeMap::new();
    let mut calm_answers: BTreeMap<u32, (usize, usize)> = BTreeMap::new();
    let mut check_content = |verdict: &mut AgreementVerdict, n: usize, number: u64, digest: &str| {
        let known = contents.entry(number).or_insert_with(|| digest.to_owned());
        if known != digest {
            verdict.violations.push((n, format!("version {number} has two contents, {known} and {digest}")));
        }
    };
    for (k, line) in lines.iter().enumerate() {
        let (n, t) = (k + 1, line.t);
        match &line.what {
            Event::Proposed { digest, story_floor, without: unusable, .. } => {
                without.insert(digest.clone(), unusable.clone());
                floors.insert(digest.clone(), *story_floor);
                proposed.insert(digest.clone(), t);
            }
            Event::Outcome { said, .. } => {
                if let Some(v) = said.strip_prefix("agreed ").and_then(parse_versions) {
                    let (number, digest) = &v[0];
                    check_content(&mut verdict, n, *number, digest);
                    acknowledged.push((*number, t));
                }
            }
            Event::Calm => calm_at = t,
            Event::Node { node, conn, got: true, text } if text.starts_with("OPTIONS ") => {
                let director = header(text, "User-Agent").and_then(|a| a.split("(director ").nth(1));
                if let Some(d) = director.and_then(|d| d.trim_end_matches(')').parse().ok()) {
                    director_of_connection.insert((*node, *conn), d);
                }
            }
            Event::Node { node, conn, got: true, text } if text.starts_with("SETUP ") => {
                let Some(versions) = header(text, "Rules-Version").and_then(parse_versions) else {
                    verdict.violations.push((n, "a SETUP that names no version".into()));
                    continue;
                };
                for (number, digest) in versions.iter().filter(|v| !v.1.is_empty()) {
                    check_content(&mut verdict, n, *number, digest);
                }
                setups.push(Setup {
                    line_number: n,
                    t,
                    versions,
                    group: header(text, "Service-Group").unwrap_or("").to_owned(),
                    rung: header(text, "Rung").and_then(|r| r.parse().ok()).unwrap_or(0),
                    director: director_of_connection.get(&(*node, *conn)).copied(),
                    node: *node,
                });
            }
            Event::Player { director, got: true, text, .. } if t > calm_at + CONVERGENCE_TIME => {
                let counts = calm_answers.entry(*director).or_default();
                counts.0 += usize::from(text.contains("\"playing\"") || text.contains("\"busy\""));
                counts.1 += usize::from(text.contains("\"playing\""));
            }
            _ => {}
        }
    }
    // First time that each version was acted on with nothing older, and first time it supplied the settings that cannot be
    // merged.
    let (mut alone, mut mixed): (BTreeMap<u64, f64>, BTreeMap<u64, f64>) = Default::default();
    let since_newer = |first_seen: &BTreeMap<u64, f64>, number: u64, t: f64| {
        first_seen
            .range(number + 1..)
            .map(|(v, first)| (t - first, *v))
            .fold((0.0, 0), |a, b| if b.0 > a.0 { b } else { a })
    };
    let newest =
        setups.iter().flat_map(|s| s.versions.iter().map(|v| v.0)).chain(acknowledged.iter().map(|a| a.0));
    let newest = newest.max().unwrap_or(0);
    let mut adoption_delay: BTreeMap<u64, f64> = BTreeMap::new();
    for s in &mut setups {
        for (number, digest) in s.versions.iter_mut().filter(|v| v.1.is_empty()) {
            *digest = contents.get(number).cloned().unwrap_or_default();
        }
    }
    for s in &setups {
        let (first, last) = (s.versions[0].0, s.versions[s.versions.len() - 1].0);
        verdict.setups += 1;
        // Versions older than the last one named are no longer in force: from now on no director may act on one as its newest.
        alone.entry(last).or_insert(s.t);
        verdict.merged_setups += usize::from(s.versions.len() > 1);
        mixed.entry(last).or_insert(s.t);
        for ((late, newer), max, worst, what) in [
            (since_newer(&alone, first, s.t), MAX_RECORD_SKEW, &mut verdict.max_older_alone, "alone"),
            (since_newer(&mixed, last, s.t), contradiction, &mut verdict.max_mixed, "for what is not merged"),
        ] {
            *worst = worst.max(late);
            if late > max {
                let who = s.director.map_or("a director".into(), |d| format!("director {d}"));
                let number = if what == "alone" { first } else { last };
                let why = format!(
                    "{who} acted on version {number} {what} {late:.2} s after another acted on {newer}, at most {max} s are allowed"
                );
                verdict.violations.push((s.line_number, why));
            }
        }
        // Once a version is acknowledged to its proposer, all directors act on it within the contradiction time.
        for &(number, at) in &acknowledged {
            if first < number {
                let delay = adoption_delay.entry(number).or_insert(0.0);
                *delay = delay.max(s.t - at);
                if s.t - at > contradiction {
                    let why = format!(
                        "version {number} was acknowledged {:.2} s ago, and {first} is acted on",
                        s.t - at
                    );
                    verdict.violations.push((s.line_number, why));
                }
            }
        }
        let floor =
            s.versions.iter().filter_map(|(_, digest)| floors.get(digest)).max().copied().unwrap_or(0);
        if s.group == "story" && s.rung < u64::from(floor) {
            verdict.violations.push((
                s.line_number,
                format!("rung {} under the floor {floor} of the versions it names", s.rung),
            ));
        }
        for (number, _) in
            s.versions.iter().filter(|v| without.get(&v.1).is_some_and(|w| w.contains(&s.node)))
        {
            verdict.violations.push((
                s.line_number,
                format!("a SETUP at node {}, which version {number} drains or does not list", s.node),
            ));
        }
        if s.t > calm_at + CONVERGENCE_TIME {
            verdict.calm_setups += 1;
            if s.versions.len() > 1 || first != newest {
                let why = format!(
                    "{:.1} s after the last trouble {first} is acted on, the newest is {newest}",
                    s.t - calm_at
                );
                verdict.violations.push((s.line_number, why));
            }
        }
    }
    for (director, (answers, playing)) in calm_answers {
        if answers >= MIN_ANSWERS_TO_JUDGE && playing == 0 {
            let what =
                format!("director {director} sets nothing up after the last trouble, of {answers} requests");
            verdict.violations.push((lines.len(), what));
        }
    }
    if calm_at == f64::INFINITY {
        verdict
            .violations
            .push((lines.len(), "the troubles never ended: nothing is known of what comes after".into()));
    }
    for (number, at) in &acknowledged {
        if let Some(p) = contents.get(number).and_then(|d| proposed.get(d)) {
            verdict
                .adoption_delays
                .push(at - p + adoption_delay.get(number).copied().unwrap_or(0.0).max(0.0));
        }
    }
    verdict.versions = contents.len();
    verdict.acknowledged = acknowledged.iter().map(|a| a.0).collect::<BTreeSet<_>>().len();
    verdict
}
