//! Judges the six rules, a seventh of schools' seats and an eighth of viewers that have gone, from a record alone. It
//! shares no code with the director: it reads the messages as text
//! and the settings as JSON.
//!
//! Times are those at which stand-ins read or wrote, so two sockets may be seen a little out of order: [`SKEW`].

use std::collections::{BTreeMap, BTreeSet};

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hdrhistogram::Histogram;
use serde_json::Value;

use crate::record::{Entry, Event};

/// s; how far apart two sockets of one director may be seen.
const SKEW: f64 = 0.25;
/// s; a SETUP begun so long after its viewer could be read to have gone is one for nobody; from that case on it is a break.
const GONE: f64 = 0.1;
const GONE_CASES: usize = 3;
/// s; a roster line takes no longer from the stand-in to the director.
const HEARD: f64 = 0.1;

/// s; a seat that moved is said to its first director at once, and at each of its beats from then on.
const TOLD_WITHIN: f64 = 4.0;

#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: u8,
    /// Of the record, from 1.
    pub line: usize,
    pub what: String,
}

#[derive(Clone, Debug)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    pub viewers: usize,
    pub starts: usize,
    pub playing: usize,
    pub busy: usize,
    pub failed: usize,
    pub setups: usize,
    /// Viewers that went before they were answered, and SETUPs begun for one over `GONE` s after that.
    pub left_early: usize,
    pub late_setups: usize,
    pub further: usize,
    pub rung_changes: usize,
    /// Starts whose director was killed or stood still before their timeout, with no answer in time.
    pub excused: usize,
    pub cold_overloads: usize,
    /// Sessions with tokens that played, and most seats of a school in use at once, of how many.
    pub token_sessions: usize,
    pub seats_used: (usize, usize),
    pub tokens: usize,
    /// Most SETUPs that a cold node got in a window, over the limit there.
    pub max_cold_load: f64,
    /// Utility played by sessions answered within the start target, over the utility asked for.
    pub service: f64,
    /// us from start to `playing`, without a token and with one.
    pub start_times: Histogram<u64>,
    pub token_start_times: Histogram<u64>,
}

impl Default for Verdict {
    fn default() -> Self {
        // Up to ten minutes, three digits.
        let start_times = Histogram::new_with_max(600_000_000, 3).expect("good bounds");
        Verdict {
            violations: Vec::new(),
            viewers: 0,
            starts: 0,
            playing: 0,
            busy: 0,
            failed: 0,
            setups: 0,
            left_early: 0,
            late_setups: 0,
            further: 0,
            rung_changes: 0,
            excused: 0,
            cold_overloads: 0,
            token_sessions: 0,
            seats_used: (0, 0),
            tokens: 0,
            max_cold_load: 0.0,
            service: 0.0,
            token_start_times: start_times.clone(),
            start_times,
        }
    }
}

struct Group {
    utility: f64,
    target: f64,
    floor: u64,
    top: u64,
    seats: usize,
    repeat: String,
    window: f64,
}

#[derive(Default)]
struct Terms {
    groups: BTreeMap<String, Group>,
    rung_utility: Vec<f64>,
    cold_from: f64,
    warm: f64,
    tip: f64,
    fall: f64,
    grace: f64,
    further: Option<(f64, f64, f64)>,
}

impl Terms {
    fn read(text: &str) -> Self {
        let v: Value = serde_json::from_str(text).unwrap_or_default();
        let num = |v: &Value| v.as_f64().unwrap_or(0.0);
        let fleet = &v["fleet"];
        let group = |g: &Value| {
            let of = Group {
                utility: num(&g["utility"]),
                target: num(&g["start_target"]),
                floor: g["floor"].as_u64().unwrap_or(0),
                top: g["top"].as_u64().unwrap_or(0),
                seats: g["seats"].as_u64().unwrap_or(0) as usize,
                repeat: g["repeat"].as_str().unwrap_or("").to_owned(),
                window: num(&g["repeat_window"]),
            };
            (g["name"].as_str().unwrap_or("").to_owned(), of)
        };
        let list = |v: &Value| v.as_array().cloned().unwrap_or_default();
        let b = &v["further"];
        Terms {
            groups: list(&v["groups"]).iter().map(group).collect(),
            rung_utility: list(&v["ladder"]["utility"]).iter().map(num).collect(),
            cold_from: num(&fleet["cold_from"]),
            warm: num(&fleet["warm_within"]),
            tip: num(&fleet["tip_multiple"]),
            fall: num(&fleet["fall_window"]),
            grace: num(&fleet["drain_grace"]),
            further: b.is_object().then(|| (num(&b["free"]), num(&b["per_taken"]), num(&b["span"]))),
        }
    }
}

/// A message of RTSP as text.
struct Rtsp<'a>(&'a str);

impl<'a> Rtsp<'a> {
    fn first(&self) -> &'a str {
        self.0.lines().next().unwrap_or("")
    }

    /// The method, or `None` for an answer.
    fn method(&self) -> Option<&'a str> {
        let word = self.first().split(' ').next()?;
        (!word.starts_with("RTSP/")).then_some(word)
    }

    fn status(&self) -> Option<u16> {
        self.first().strip_prefix("RTSP/2.0 ")?.split(' ').next()?.parse().ok()
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0.lines().skip(1).find_map(|l| l.split_once(": ").filter(|(n, _)| *n == name).map(|(_, v)| v))
    }
}

/// School and id in a token's claims, unverified.
fn claims(token: &str) -> Option<(String, String)> {
    let bytes = URL_SAFE_NO_PAD.decode(token.split('.').nth(1)?).ok()?;
    let v: Value = serde_json::from_slice(&bytes).ok()?;
    Some((v["school"].as_str()?.to_owned(), v["jti"].as_str()?.to_owned()))
}

/// A director as it ran: number and boot.
type Run = (u32, u32);

struct Setup {
    run: Run,
    key: String,
    group: String,
    title: String,
    node: u32,
    conn: u64,
    line: usize,
    at: f64,
    rungs: Vec<(f64, u64)>,
    plays: Option<f64>,
    ended: Option<f64>,
    /// The node said that nothing ran.
    proven: bool,
    share: f64,
}

struct Start {
    run: Run,
    key: String,
    line: usize,
    at: f64,
    timeout: f64,
    group: String,
    sent: usize,
    /// Time, line and kind of each final answer.
    finals: Vec<(f64, usize, String)>,
    refused: bool,
    /// When its viewer closed or cancelled.
    left: Option<f64>,
}

#[derive(Default)]
struct NodeLife {
    up: f64,
    cold: bool,
    places: f64,
    zone: String,
    arrivals: Vec<(f64, usize, Run)>,
    /// Directors that know of this start.
    informed: BTreeSet<u32>,
}

#[derive(Default)]
struct Checker {
    terms: Terms,
    v: Verdict,
    conns: BTreeMap<(u32, u64), u32>,
    boots: BTreeMap<u32, u32>,
    up_at: BTreeMap<u32, f64>,
    /// When a director was down for good or stood still.
    gaps: Vec<(Run, f64, f64)>,
    stalled: BTreeMap<u32, f64>,
    endings: BTreeMap<Run, f64>,
    setups: Vec<Setup>,
    by_pipe: BTreeMap<(u32, u64, String), usize>,
    by_cseq: BTreeMap<(u32, u64, String), (usize, bool)>,
    by_rtsp: BTreeMap<(u32, String), usize>,
    starts: Vec<Start>,
    by_key: BTreeMap<(Run, String), usize>,
    told: BTreeMap<(u32, u32), (f64, String)>,
    told_nodes: BTreeMap<u32, BTreeSet<u32>>,
    lives: BTreeMap<u32, NodeLife>,
    wishes: Vec<(String, u64, f64)>,
    /// Seats of each school; by request, the school and the token's id.
    schools: Option<usize>,
    tokens: BTreeMap<(Run, String), (String, String)>,
    keeper_down: Vec<(f64, f64)>,
}

impl Checker {
    fn report(&mut self, rule: u8, line: usize, what: String) {
        self.v.violations.push(Violation { rule, line, what });
    }

    fn run_of(&self, director: u32) -> Run {
        (director, self.boots.get(&director).copied().unwrap_or(0))
    }

    fn line(&mut self, n: usize, t: f64, what: &Event) {
        match what {
            Event::Settings { text } => self.terms = Terms::read(text),
            Event::NodeUp { node, cold, places, zone, .. } => {
                let life = NodeLife {
                    up: t,
                    cold: *cold,
                    places: *places,
                    zone: zone.clone(),
                    ..NodeLife::default()
                };
                // Whoever lost a connection to it knows that it failed.
                let saw = self.conns.iter().filter(|((id, _), _)| id == node).map(|(_, d)| *d).collect();
                self.lives.insert(*node, NodeLife { informed: saw, ..life });
                self.conns.retain(|(id, _), _| id != node);
            }
            Event::NodeDown { node, why } => {
                self.v.cold_overloads += usize::from(why.starts_with("pushed over"));
                self.end_where(t, |s| s.node == *node);
            }
            Event::NodeConn { node, conn, open: false } => {
                self.end_where(t, |s| (s.node, s.conn) == (*node, *conn))
            }
            Event::Schools { seats } => self.schools = Some(*seats as usize),
            Event::SeatsLeft { held } => {
                if *held > 0 {
                    self.report(7, n, format!("{held} seats are held though nobody holds any"));
                }
            }
            Event::Keeper { event } => match event.as_str() {
                "killed" | "stalled" => self.keeper_down.push((t, f64::INFINITY)),
                _ => self.keeper_down.iter_mut().for_each(|d| d.1 = d.1.min(t)),
            },
            Event::NodeConn { .. } | Event::Trouble { .. } | Event::PlayerSock { .. } => {}
            // Judged apart, in `agreed`.
            Event::Voter { .. } | Event::Proposed { .. } | Event::Outcome { .. } | Event::Calm => {}
            Event::Node { node, conn, got, text } => self.rtsp(n, t, *node, *conn, *got, text),
            Event::Stream { node, key, share, .. } => {
                let of = self.setups.iter_mut().rev().find(|s| s.node == *node && s.key == *key);
                if let Some(s) = of {
                    s.share = *share;
                    s.ended.get_or_insert(t);
                }
            }
            Event::Wish { group, best_rung, seconds, .. } => {
                self.wishes.push((group.clone(), u64::from(*best_rung), *seconds));
            }
            Event::Player { director, boot, got, text, .. } => {
                self.player(n, t, (*director, *boot), *got, text)
            }
            Event::Roster { director, text } => self.roster(t, *director, text),
            Event::Director { director, boot, event } => match event.as_str() {
                "started" => {
                    self.boots.insert(*director, *boot);
                    self.up_at.insert(*director, t);
                    self.told.retain(|(d, _), _| d != director);
                    self.told_nodes.remove(director);
                }
                "killed" => self.gaps.push(((*director, *boot), t, f64::INFINITY)),
                "stalled" => {
                    self.stalled.insert(*director, t);
                    self.gaps.push(((*director, *boot), t, f64::INFINITY));
                }
                "resumed" => {
                    if let Some(from) = self.stalled.remove(director) {
                        let gap = self.gaps.iter_mut().rev().find(|g| g.0.0 == *director && g.1 == from);
                        if let Some(gap) = gap {
                            gap.2 = t;
                        }
                        // What it was told meanwhile it reads now.
                        let late = self.told.iter_mut().filter(|((d, _), _)| d == director);
                        late.for_each(|(_, told)| told.0 = if told.0 >= from { t } else { told.0 });
                    }
                }
                "ending" => {
                    self.endings.insert((*director, *boot), t);
                }
                _ => {}
            },
        }
    }

    fn end_where(&mut self, t: f64, of: impl Fn(&Setup) -> bool) {
        self.setups.iter_mut().filter(|s| s.ended.is_none() && of(s)).for_each(|s| s.ended = Some(t));
    }

    fn rtsp(&mut self, n: usize, t: f64, node: u32, conn: u64, got: bool, text: &str) {
        let m = Rtsp(text);
        let cseq = m.get("CSeq").unwrap_or("").to_owned();
        match (got, m.method()) {
            (true, Some("OPTIONS")) => {
                let who = m.get("User-Agent").and_then(|a| a.split("(director ").nth(1));
                if let Some(d) = who.and_then(|d| d.trim_end_matches(')').parse().ok()) {
                    self.conns.insert((node, conn), d);
                }
            }
            (true, Some("SETUP")) => self.setup(n, t, node, conn, &m, cseq),
            (true, Some("PLAY")) => {
                let pipe = m.get("Pipelined-Requests").unwrap_or("").to_owned();
                if let Some(&k) = self.by_pipe.get(&(node, conn, pipe)) {
                    self.by_cseq.insert((node, conn, cseq), (k, true));
                }
            }
            (true, Some("SET_PARAMETER")) => {
                let k = m.get("Session").and_then(|s| self.by_rtsp.get(&(node, s.to_owned())).copied());
                let rung = m.get("Rung").and_then(|r| r.parse::<u64>().ok());
                if let (Some(k), Some(rung)) = (k, rung) {
                    self.v.rung_changes += 1;
                    self.setups[k].rungs.push((t, rung));
                    self.floor(n, k, rung);
                }
            }
            (true, Some("TEARDOWN")) => {
                let by_pipe = m.get("Pipelined-Requests").map(|p| (node, conn, p.to_owned()));
                let by_pipe = by_pipe.and_then(|p| self.by_pipe.get(&p).copied());
                let by_name = m.get("Session").and_then(|s| self.by_rtsp.get(&(node, s.to_owned())).copied());
                if let Some(k) = by_pipe.or(by_name) {
                    self.setups[k].ended.get_or_insert(t);
                }
            }
            (false, Some("PLAY_NOTIFY")) if m.get("Notify-Reason") == Some("end-of-stream") => {
                let k = m.get("Session").and_then(|s| self.by_rtsp.get(&(node, s.to_owned())).copied());
                if let Some(k) = k {
                    self.setups[k].ended.get_or_insert(t);
                }
            }
            (false, None) => {
                let Some((k, play)) = self.by_cseq.remove(&(node, conn, cseq)) else { return };
                let status = m.status().unwrap_or(0);
                let s = &mut self.setups[k];
                if status != 200 {
                    if !play && s.ended.is_none() {
                        s.proven = matches!(status, 453 | 503);
                        s.ended = Some(t);
                    }
                } else if play {
                    s.plays = s.plays.or(Some(t));
                } else if let Some(id) = m.get("Session") {
                    self.by_rtsp.insert((node, id.to_owned()), k);
                }
            }
            _ => {}
        }
    }

    fn floor(&mut self, n: usize, k: usize, rung: u64) {
        let group = self.setups[k].group.clone();
        let floor = self.terms.groups.get(&group).map_or(0, |g| g.floor);
        if rung < floor {
            self.report(5, n, format!("rung {rung} under the floor {floor} of {group}"));
        }
    }

    fn setup(&mut self, n: usize, t: f64, node: u32, conn: u64, m: &Rtsp<'_>, cseq: String) {
        self.v.setups += 1;
        let Some(&director) = self.conns.get(&(node, conn)) else { return };
        let run = self.run_of(director);
        let get = |name: &str| m.get(name).unwrap_or("").to_owned();
        let title = m.first().split(' ').nth(1).and_then(|u| u.rsplit('/').next()).unwrap_or("").to_owned();
        let rung = get("Rung").parse().unwrap_or(0);
        let k = self.setups.len();
        self.setups.push(Setup {
            run,
            key: get("Request-Key"),
            group: get("Service-Group"),
            title,
            node,
            conn,
            line: n,
            at: t,
            rungs: vec![(t, rung)],
            plays: None,
            ended: None,
            proven: false,
            share: 1.0,
        });
        let start = self.by_key.get(&(run, get("Request-Key"))).copied();
        let gone = start.and_then(|s| self.starts[s].left).map(|left| t - left).filter(|late| *late > GONE);
        if let Some(late) = gone {
            self.v.late_setups += 1;
            if self.v.late_setups >= GONE_CASES {
                let what = format!("director {director} sent a SETUP {late:.3} s after its viewer had gone");
                self.report(8, n, what);
            }
        }
        self.by_pipe.insert((node, conn, get("Pipelined-Requests")), k);
        self.by_cseq.insert((node, conn, cseq), (k, false));
        self.floor(n, k, rung);
        // Drains.
        if let Some((told, phase)) = self.told.get(&(director, node)).cloned() {
            let late = t - told - self.terms.grace;
            let stands = self.stalled.contains_key(&director);
            if phase != "ready" && late > HEARD && !stands {
                self.report(
                    3,
                    n,
                    format!("director {director} sent to node {node} {late:.2} s past the grace, {phase}"),
                );
            }
        }
        if let Some(life) = self.lives.get_mut(&node) {
            life.arrivals.push((t, n, run));
        }
        self.cold(n, t, node);
    }

    /// The window that ends with this SETUP, against what the node bears.
    fn cold(&mut self, n: usize, t: f64, node: u32) {
        let (from, warm, tip, fall) =
            (self.terms.cold_from, self.terms.warm, self.terms.tip, self.terms.fall);
        let Some(life) = self.lives.get(&node).filter(|l| l.cold && t < l.up + warm) else { return };
        let warmth = (from + (1.0 - from) * (t - life.up) / warm).min(1.0);
        let limit = (tip * fall * warmth * life.places / warm).max(1.0);
        let window: Vec<_> = life.arrivals.iter().filter(|(at, _, _)| *at > t - fall).collect();
        let knew = |d: u32| life.informed.contains(&d) || self.up_at.get(&d).is_some_and(|up| *up >= life.up);
        let informed = window.iter().filter(|(_, _, (d, _))| knew(*d)).count();
        let count = window.len();
        self.v.max_cold_load = self.v.max_cold_load.max(count as f64 / limit);
        if count as f64 > limit && informed * 2 > count {
            let what = format!("cold node {node} got {count} SETUPs in {fall} s, it bears {limit:.1}");
            self.report(4, n, what);
        }
    }

    fn roster(&mut self, t: f64, director: u32, text: &str) {
        let v: Value = serde_json::from_str(text).unwrap_or_default();
        let whole = v["whole"].is_object();
        let message = if whole { &v["whole"] } else { &v["change"] };
        let mut named = BTreeSet::new();
        for node in message["nodes"].as_array().into_iter().flatten() {
            let id = node["id"].as_u64().unwrap_or(u64::MAX) as u32;
            let phase = node["phase"].as_str().unwrap_or("").to_owned();
            let since = node["up_since"].as_f64().unwrap_or(0.0);
            named.insert(id);
            if let Some(life) = self.lives.get_mut(&id).filter(|l| since > 0.0 && (l.up - since).abs() < 0.5)
            {
                life.informed.insert(director);
            }
            let before = self.told.get(&(director, id)).filter(|(_, p)| *p == phase).map(|(at, _)| *at);
            self.told.insert((director, id), (before.unwrap_or(t), phase));
        }
        let known = self.told_nodes.entry(director).or_default();
        if whole {
            let lost: Vec<u32> = known.iter().copied().filter(|id| !named.contains(id)).collect();
            for id in lost {
                let entry = self.told.entry((director, id)).or_insert((t, "gone".into()));
                if entry.1 != "gone" {
                    *entry = (t, "gone".into());
                }
            }
        }
        self.told_nodes.entry(director).or_default().extend(named);
    }

    fn player(&mut self, n: usize, t: f64, run: Run, got: bool, text: &str) {
        let v: Value = serde_json::from_str(text).unwrap_or_default();
        let kind = v["type"].as_str().unwrap_or("");
        let Some(key) = v["key"].as_str().map(str::to_owned) else { return };
        let known = self.by_key.get(&(run, key.clone())).copied();
        if !got && let Some(of) = v["token"].as_str().and_then(claims) {
            self.tokens.entry((run, key.clone())).or_insert(of);
        }
        match (got, kind) {
            (false, "start") => match known {
                Some(k) => self.starts[k].sent += 1,
                None => {
                    self.by_key.insert((run, key.clone()), self.starts.len());
                    self.starts.push(Start {
                        run,
                        key,
                        line: n,
                        at: t,
                        timeout: v["setup_timeout"].as_f64().unwrap_or(0.0),
                        group: v["group"].as_str().unwrap_or("").to_owned(),
                        sent: 1,
                        finals: Vec::new(),
                        refused: false,
                        left: None,
                    });
                }
            },
            (true, "playing" | "busy" | "failed") => match known {
                Some(k) => self.starts[k].finals.push((t, n, kind.to_owned())),
                None => self.report(1, n, format!("an answer to no request: {key}")),
            },
            (false, "leave") => {
                if let Some(k) = known {
                    self.v.left_early += usize::from(self.starts[k].finals.is_empty());
                    self.starts[k].left.get_or_insert(t);
                }
            }
            (true, "error") => {
                if let Some(k) = known {
                    self.starts[k].refused = true;
                }
            }
            _ => {}
        }
    }

    /// Whether a director was down or stood still at some time in that span.
    fn gap(&self, run: Run, from: f64, to: f64) -> bool {
        self.gaps.iter().any(|(r, a, b)| *r == run && *a <= to && *b >= from)
    }

    fn answers(&mut self) {
        for k in 0..self.starts.len() {
            let s = &self.starts[k];
            let due = s.at + s.timeout;
            let ended = self.endings.get(&s.run).is_some_and(|e| *e <= s.at);
            let (run, line, key, sent) = (s.run, s.line, s.key.clone(), s.sent);
            let kinds: BTreeSet<&str> = s.finals.iter().map(|f| f.2.as_str()).collect();
            let (many, count) = (kinds.len() > 1, s.finals.len());
            let first = s.finals.first().cloned();
            let kind = first.as_ref().map(|f| f.2.clone()).unwrap_or_default();
            self.v.starts += 1;
            match kind.as_str() {
                "playing" => self.v.playing += 1,
                "busy" => self.v.busy += 1,
                "failed" => self.v.failed += 1,
                _ => {}
            }
            if many || count > sent {
                let at = self.starts[k].finals.last().map_or(line, |f| f.1);
                self.report(1, at, format!("{key}: {count} final answers to {sent} requests, kinds {many}"));
            }
            if (self.starts[k].refused || self.starts[k].left.is_some()) && count == 0 {
                continue;
            }
            let late = first.as_ref().is_none_or(|f| f.0 > due);
            if late {
                if ended || self.gap(run, self.starts[k].at, due) {
                    self.v.excused += 1;
                } else {
                    let what = first.map_or_else(
                        || format!("{key}: no answer within its {} s", self.starts[k].timeout),
                        |f| format!("{key}: {} came {:.3} s too late", f.2, f.0 - due),
                    );
                    self.report(1, line, what);
                }
            }
        }
    }

    fn repeats(&mut self) {
        let mut by_key: BTreeMap<(Run, &str), Vec<usize>> = BTreeMap::new();
        for (k, s) in self.setups.iter().enumerate() {
            by_key.entry((s.run, &s.key)).or_default().push(k);
        }
        let mut found = Vec::new();
        for of in by_key.values() {
            for (k, &b) in of.iter().enumerate().skip(1) {
                let b = &self.setups[b];
                for &a in &of[..k] {
                    let a = &self.setups[a];
                    if a.ended.is_none_or(|e| e > b.at + SKEW) {
                        let what =
                            format!("{}: a second SETUP while line {}'s is out or plays", b.key, a.line);
                        found.push((2, b.line, what));
                    }
                }
                let maybe = of[..k].iter().map(|&a| &self.setups[a]).find(|a| !a.proven);
                let Some((group, a)) = self.terms.groups.get(&b.group).zip(maybe) else { continue };
                let zone = |n: u32| self.lives.get(&n).map(|l| l.zone.clone());
                let wrong = match group.repeat.as_str() {
                    "never" => true,
                    "zone" => zone(a.node) != zone(b.node) || b.at - a.at > group.window + SKEW,
                    "cell" => a.node != b.node || b.at - a.at > group.window + SKEW,
                    "anywhere" => b.at - a.at > group.window + SKEW,
                    _ => false,
                };
                if wrong {
                    let what = format!("{}: set up again though line {}'s may have run", b.key, a.line);
                    found.push((2, b.line, what));
                }
            }
        }
        for s in &self.starts {
            let Some(group) = self.terms.groups.get(&s.group) else { continue };
            if !matches!(group.repeat.as_str(), "never" | "zone" | "cell") {
                continue;
            }
            let busy = s.finals.iter().find(|f| f.2 == "busy");
            let maybe = self.setups.iter().find(|x| x.run == s.run && x.key == s.key && !x.proven);
            if let (Some(busy), Some(maybe)) = (busy, maybe) {
                found.push((
                    2,
                    busy.1,
                    format!("{}: busy though line {}'s SETUP may have run", s.key, maybe.line),
                ));
            }
        }
        found.into_iter().for_each(|(rule, line, what)| self.report(rule, line, what));
    }

    fn seats(&mut self) {
        // Time, one more or one less, and line.
        type Step = (f64, i64, usize);
        let mut steps: BTreeMap<(Run, &str, &str), Vec<Step>> = BTreeMap::new();
        for s in &self.setups {
            let of = steps.entry((s.run, &s.group, &s.title)).or_default();
            of.push((s.at, 1, s.line));
            if let Some(end) = s.ended {
                of.push(((end - SKEW).max(s.at), -1, s.line));
            }
        }
        let mut found = Vec::new();
        for ((run, group, title), mut steps) in steps {
            let seats = self.terms.groups.get(group).map_or(0, |g| g.seats) as i64;
            steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let mut held = 0;
            for (_, by, line) in steps {
                held += by;
                if seats > 0 && held > seats {
                    let what =
                        format!("director {} holds {held} of {title} in {group}, {seats} seats", run.0);
                    found.push((line, what));
                    break;
                }
            }
        }
        found.into_iter().for_each(|(line, what)| self.report(5, line, what));
    }

    /// Seats of schools: by what played at nodes, never more tokens of a school at once than it has seats, and no token
    /// at two directors for longer than word of it takes.
    fn tickets(&mut self) {
        let Some(seats) = self.schools else { return };
        // From, to, token, line and director of each stretch of play.
        type Stretch<'a> = (f64, f64, &'a str, usize, Run);
        let mut by_school: BTreeMap<&str, Vec<Stretch<'_>>> = BTreeMap::new();
        let mut ids = BTreeSet::new();
        for s in &self.setups {
            let Some((school, id)) = self.tokens.get(&(s.run, s.key.clone())) else { continue };
            let Some(from) = s.plays else { continue };
            let end = s.ended.unwrap_or(f64::INFINITY) - SKEW;
            ids.insert((school.as_str(), id.as_str()));
            if end > from {
                by_school.entry(school).or_default().push((from, end, id, s.line, s.run));
            }
        }
        let mut found = Vec::new();
        let (mut most, mut token_sessions) = (0, 0);
        for (school, of) in &by_school {
            token_sessions += of.len();
            for (from, _, id, line, run) in of {
                let at: Vec<_> = of.iter().filter(|o| o.0 <= *from && o.1 > *from).collect();
                let held: BTreeSet<&str> = at.iter().map(|o| o.2).collect();
                most = most.max(held.len());
                if held.len() > seats {
                    found.push((*line, format!("{school}: {} of {seats} seats in use", held.len())));
                }
                let twice = at.iter().find(|o| o.2 == *id && o.3 != *line && o.1 > *from + TOLD_WITHIN);
                if let Some(o) = twice {
                    let away = |(a, b): &(f64, f64)| *a <= from + TOLD_WITHIN && *b >= *from - TOLD_WITHIN;
                    let excused = self.keeper_down.iter().any(away)
                        || self.gap(o.4, *from - TOLD_WITHIN, o.1)
                        || self.gap(*run, *from - TOLD_WITHIN, o.1);
                    if !excused {
                        let what = format!("{school}: {id} plays at two directors, since line {} too", o.3);
                        found.push((*line, what));
                    }
                }
            }
        }
        (self.v.token_sessions, self.v.seats_used, self.v.tokens) =
            (token_sessions, (most, seats), ids.len());
        found.into_iter().for_each(|(line, what)| self.report(7, line, what));
    }

    fn budget(&mut self) {
        let mut seen: BTreeMap<(Run, &str), usize> = BTreeMap::new();
        let mut further: BTreeMap<Run, Vec<(f64, usize)>> = BTreeMap::new();
        for s in &self.setups {
            let count = seen.entry((s.run, &s.key)).or_default();
            *count += 1;
            if *count > 1 {
                further.entry(s.run).or_default().push((s.at, s.line));
            }
        }
        self.v.further = further.values().map(Vec::len).sum();
        let Some((free, per_taken, span)) = self.terms.further else { return };
        let mut found = Vec::new();
        for (run, of) in &further {
            for (k, (t, line)) in of.iter().enumerate() {
                let count = of[..=k].iter().filter(|(at, _)| *at > t - span).count() as f64;
                let in_span = |s: &&Start| s.run == *run && s.at > t - span - SKEW && s.at <= *t;
                let taken = self.starts.iter().filter(in_span).count() as f64;
                let most = free + per_taken * taken;
                if count > most {
                    found.push((
                        *line,
                        format!("director {}: {count} further SETUPs in {span} s, {most:.1} allowed", run.0),
                    ));
                }
            }
        }
        found.into_iter().for_each(|(line, what)| self.report(6, line, what));
    }

    fn service(&mut self, last: f64) {
        let worth = |rung: u64| self.terms.rung_utility.get(rung as usize).copied().unwrap_or(0.0);
        let mut asked = 0.0;
        for (group, best, seconds) in &self.wishes {
            if let Some(g) = self.terms.groups.get(group) {
                asked += g.utility * seconds * worth((*best).min(g.top));
            }
        }
        let mut in_time = BTreeSet::new();
        for s in &self.starts {
            let Some(f) = s.finals.iter().find(|f| f.2 == "playing") else { continue };
            let with = self.tokens.contains_key(&(s.run, s.key.clone()));
            let times = if with { &mut self.v.token_start_times } else { &mut self.v.start_times };
            times.saturating_record(((f.0 - s.at) * 1e6) as u64);
            if self.terms.groups.get(&s.group).is_some_and(|g| f.0 - s.at <= g.target) {
                in_time.insert((s.run, s.key.clone()));
            }
        }
        let mut got = 0.0;
        for s in &self.setups {
            let Some((from, group)) = s.plays.zip(self.terms.groups.get(&s.group)) else { continue };
            if !in_time.contains(&(s.run, s.key.clone())) {
                continue;
            }
            let end = s.ended.unwrap_or(last);
            // 10 points of worth for each point of the rate that is missing under 98 in 100.
            let quality = (1.0 - 10.0 * (0.98 - s.share).max(0.0)).max(0.0);
            for (k, (at, rung)) in s.rungs.iter().enumerate() {
                let till = s.rungs.get(k + 1).map_or(end, |r| r.0);
                got += group.utility * worth(*rung) * (till - at.max(from)).max(0.0) * quality;
            }
        }
        self.v.service = if asked > 0.0 { got / asked } else { 0.0 };
        self.v.viewers = self.wishes.len();
    }
}

/// Judges a record.
pub fn check(lines: &[Entry]) -> Verdict {
    let mut order: Vec<usize> = (0..lines.len()).collect();
    order.sort_by(|&a, &b| lines[a].t.total_cmp(&lines[b].t));
    let mut checker = Checker::default();
    for k in order {
        checker.line(k + 1, lines[k].t, &lines[k].what);
    }
    checker.answers();
    checker.repeats();
    checker.seats();
    checker.tickets();
    checker.budget();
    checker.service(lines.last().map_or(0.0, |l| l.t));
    checker.v.violations.sort_by_key(|b| (b.rule, b.line));
    checker.v
}
