//! Checks a record against eight rules: answers, repeated set-ups, drains, cold nodes, floors and seats of groups, the
//! budget for further SETUPs, seats of schools, and SETUPs for viewers that have left.
//!
//! The checker shares no code with the director: it reads the messages as text and the settings as JSON. Times are those
//! at which stand-ins read or wrote, so events of two sockets may be out of order by up to [`MAX_REORDERING`].

use std::collections::{BTreeMap, BTreeSet};

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hdrhistogram::Histogram;
use serde_json::Value;

use crate::record::{Entry, Event};

/// By how much events on two sockets of one director may be recorded out of order, in seconds.
const MAX_REORDERING: f64 = 0.25;
/// A SETUP begun more than this many seconds after its viewer left counts as late.
const LATE_SETUP_AFTER: f64 = 0.1;
/// Late SETUPs are violations from this one on; fewer can be chance.
const MIN_LATE_SETUPS: usize = 3;
/// Maximum time in seconds that a roster message takes from the stand-in to the director.
const ROSTER_DELIVERY_TIME: f64 = 0.1;

/// Seconds within which a director learns that a seat moved to another one. The keeper notifies it at once, and again
/// at each heartbeat of that director.
const SEAT_MOVE_NOTICE_TIME: f64 = 4.0;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Number of the rule, 1 to 8.
    pub rule: u8,
    /// Line of the record, from 1.
    pub line: usize,
    pub what: String,
}

/// Violations found in a record, and counts over it.
#[derive(Clone, Debug)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    pub viewers: usize,
    pub starts: usize,
    pub playing: usize,
    pub busy: usize,
    pub failed: usize,
    pub setups: usize,
    /// Viewers that left before they were answered.
    pub left_early: usize,
    /// SETUPs begun more than `LATE_SETUP_AFTER` after their viewer had left.
    pub late_setups: usize,
    /// SETUPs after the first one of the same request.
    pub further: usize,
    pub rung_changes: usize,
    /// Starts without an answer in time whose director was killed or stalled before their timeout.
    pub excused: usize,
    /// Cold nodes that failed under too many SETUPs.
    pub cold_overloads: usize,
    /// Sessions with tokens that played.
    pub token_sessions: usize,
    /// Largest number of seats of a school in use at once, and the seats that each school has.
    pub seats_used: (usize, usize),
    /// Distinct tokens that played.
    pub tokens: usize,
    /// Largest ratio of the SETUPs that a cold node got in a window to its limit.
    pub max_cold_load: f64,
    /// Utility played by sessions answered within the start target, over the utility asked for.
    pub service: f64,
    /// Microseconds from `start` to `playing`, for sessions without a token.
    pub start_times: Histogram<u64>,
    /// The same, for sessions with a token.
    pub token_start_times: Histogram<u64>,
}

impl Default for Verdict {
    fn default() -> Self {
        // Up to ten minutes, with three significant digits.
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

/// A service group's settings. Times are in seconds.
struct Group {
    utility: f64,
    target: f64,
    floor: u64,
    top: u64,
    seats: usize,
    repeat: String,
    window: f64,
}

/// The settings that the rules depend on. Times are in seconds.
#[derive(Default)]
struct Terms {
    groups: BTreeMap<String, Group>,
    rung_utility: Vec<f64>,
    cold_from: f64,
    warm: f64,
    tip: f64,
    fall: f64,
    grace: f64,
    /// `free`, `per_taken` and `span` of the budget for further SETUPs.
    further: Option<(f64, f64, f64)>,
}

impl Terms {
    fn parse(text: &str) -> Self {
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

/// An RTSP message as text.
struct Rtsp<'a>(&'a str);

impl<'a> Rtsp<'a> {
    fn first(&self) -> &'a str {
        self.0.lines().next().unwrap_or("")
    }

    /// The method, or `None` for a response.
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

/// School and id in the claims of a token. The signature is not verified.
fn token_claims(token: &str) -> Option<(String, String)> {
    let bytes = URL_SAFE_NO_PAD.decode(token.split('.').nth(1)?).ok()?;
    let v: Value = serde_json::from_slice(&bytes).ok()?;
    Some((v["school"].as_str()?.to_owned(), v["jti"].as_str()?.to_owned()))
}

/// One process of a director: its number and boot.
type Run = (u32, u32);

/// A SETUP as a node read it, and what became of its session.
struct Setup {
    run: Run,
    key: String,
    group: String,
    title: String,
    node: u32,
    conn: u64,
    line: usize,
    at: f64,
    /// Time and rung of the SETUP and of each change of the rung.
    rungs: Vec<(f64, u64)>,
    /// When the node answered PLAY.
    plays: Option<f64>,
    ended: Option<f64>,
    /// The node refused the SETUP with 453 or 503, so that nothing ran.
    nothing_ran: bool,
    /// Share of its rate that the stream got.
    share: f64,
}

/// A request of a viewer.
struct Start {
    run: Run,
    key: String,
    line: usize,
    at: f64,
    timeout: f64,
    group: String,
    sent: usize,
    /// Time, line and type of each final answer.
    finals: Vec<(f64, usize, String)>,
    refused: bool,
    /// When its viewer left.
    left: Option<f64>,
}

/// A process of a node, from one start to the next.
#[derive(Default)]
struct NodeProcess {
    up: f64,
    cold: bool,
    places: f64,
    zone: String,
    arrivals: Vec<(f64, usize, Run)>,
    /// Directors that know that the node was started again.
    informed: BTreeSet<u32>,
}

/// State of the check while it goes through the record.
#[derive(Default)]
struct Checker {
    terms: Terms,
    verdict: Verdict,
    /// Director by node and connection.
    conns: BTreeMap<(u32, u64), u32>,
    boots: BTreeMap<u32, u32>,
    director_started_at: BTreeMap<u32, f64>,
    /// From when to when a director's process was down or stalled; a killed process never returns.
    outages: Vec<(Run, f64, f64)>,
    stalled: BTreeMap<u32, f64>,
    shutdowns: BTreeMap<Run, f64>,
    setups: Vec<Setup>,
    setup_by_pipeline: BTreeMap<(u32, u64, String), usize>,
    request_by_cseq: BTreeMap<(u32, u64, String), (usize, bool)>,
    setup_by_session: BTreeMap<(u32, String), usize>,
    starts: Vec<Start>,
    start_by_key: BTreeMap<(Run, String), usize>,
    /// When a director was first notified of a node's current phase, and that phase, by director and node.
    roster_phases: BTreeMap<(u32, u32), (f64, String)>,
    listed_nodes: BTreeMap<u32, BTreeSet<u32>>,
    node_processes: BTreeMap<u32, NodeProcess>,
    /// Group, best rung and seconds of the session that each viewer wants.
    wishes: Vec<(String, u64, f64)>,
    /// Seats of each school.
    schools: Option<usize>,
    /// School and token id, by request.
    tokens: BTreeMap<(Run, String), (String, String)>,
    keeper_outages: Vec<(f64, f64)>,
}

impl Checker {
    fn report(&mut self, rule: u8, line: usize, what: String) {
        self.verdict.violations.push(Violation { rule, line, what });
    }

    fn current_run(&self, director: u32) -> Run {
        (director, self.boots.get(&director).copied().unwrap_or(0))
    }

    fn handle_event(&mut self, line: usize, t: f64, what: &Event) {
        match what {
            Event::Settings { text } => self.terms = Terms::parse(text),
            Event::NodeUp { node, cold, places, zone, .. } => {
                let process = NodeProcess {
                    up: t,
                    cold: *cold,
                    places: *places,
                    zone: zone.clone(),
                    ..NodeProcess::default()
                };
                // A director that lost its connection to the node knows that the node failed.
                let saw = self.conns.iter().filter(|((id, _), _)| id == node).map(|(_, d)| *d).collect();
                self.node_processes.insert(*node, NodeProcess { informed: saw, ..process });
                self.conns.retain(|(id, _), _| id != node);
            }
            Event::NodeDown { node, why } => {
                self.verdict.cold_overloads += usize::from(why.starts_with("pushed over"));
                self.end_setups(t, |s| s.node == *node);
            }
            Event::NodeConn { node, conn, open: false } => {
                self.end_setups(t, |s| (s.node, s.conn) == (*node, *conn))
            }
            Event::Schools { seats } => self.schools = Some(*seats as usize),
            Event::SeatsLeft { held } => {
                if *held > 0 {
                    self.report(7, line, format!("{held} seats are held though nobody holds any"));
                }
            }
            Event::Keeper { event } => match event.as_str() {
                "killed" | "stalled" => self.keeper_outages.push((t, f64::INFINITY)),
                _ => self.keeper_outages.iter_mut().for_each(|d| d.1 = d.1.min(t)),
            },
            Event::NodeConn { .. } | Event::Trouble { .. } | Event::PlayerSock { .. } => {}
            // The module `agreed` checks these.
            Event::Voter { .. } | Event::Proposed { .. } | Event::Outcome { .. } | Event::Calm => {}
            Event::Node { node, conn, got, text } => self.handle_rtsp(line, t, *node, *conn, *got, text),
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
                self.handle_player_message(line, t, (*director, *boot), *got, text)
            }
            Event::Roster { director, text } => self.handle_roster(t, *director, text),
            Event::Director { director, boot, event } => match event.as_str() {
                "started" => {
                    self.boots.insert(*director, *boot);
                    self.director_started_at.insert(*director, t);
                    self.roster_phases.retain(|(d, _), _| d != director);
                    self.listed_nodes.remove(director);
                }
                "killed" => self.outages.push(((*director, *boot), t, f64::INFINITY)),
                "stalled" => {
                    self.stalled.insert(*director, t);
                    self.outages.push(((*director, *boot), t, f64::INFINITY));
                }
                "resumed" => {
                    if let Some(from) = self.stalled.remove(director) {
                        let outage =
                            self.outages.iter_mut().rev().find(|g| g.0.0 == *director && g.1 == from);
                        if let Some(outage) = outage {
                            outage.2 = t;
                        }
                        // It reads only now what the roster wrote meanwhile.
                        let late = self.roster_phases.iter_mut().filter(|((d, _), _)| d == director);
                        late.for_each(|(_, told)| told.0 = if told.0 >= from { t } else { told.0 });
                    }
                }
                "ending" => {
                    self.shutdowns.insert((*director, *boot), t);
                }
                _ => {}
            },
        }
    }

    fn end_setups(&mut self, t: f64, of: impl Fn(&Setup) -> bool) {
        self.setups.iter_mut().filter(|s| s.ended.is_none() && of(s)).for_each(|s| s.ended = Some(t));
    }

    fn handle_rtsp(&mut self, line: usize, t: f64, node: u32, conn: u64, got: bool, text: &str) {
        let m = Rtsp(text);
        let cseq = m.get("CSeq").unwrap_or("").to_owned();
        match (got, m.method()) {
            (true, Some("OPTIONS")) => {
                let who = m.get("User-Agent").and_then(|a| a.split("(director ").nth(1));
                if let Some(d) = who.and_then(|d| d.trim_end_matches(')').parse().ok()) {
                    self.conns.insert((node, conn), d);
                }
            }
            (true, Some("SETUP")) => self.handle_setup(line, t, node, conn, &m, cseq),
            (true, Some("PLAY")) => {
                let pipe = m.get("Pipelined-Requests").unwrap_or("").to_owned();
                if let Some(&k) = self.setup_by_pipeline.get(&(node, conn, pipe)) {
                    self.request_by_cseq.insert((node, conn, cseq), (k, true));
                }
            }
            (true, Some("SET_PARAMETER")) => {
                let k =
                    m.get("Session").and_then(|s| self.setup_by_session.get(&(node, s.to_owned())).copied());
                let rung = m.get("Rung").and_then(|r| r.parse::<u64>().ok());
                if let (Some(k), Some(rung)) = (k, rung) {
                    self.verdict.rung_changes += 1;
                    self.setups[k].rungs.push((t, rung));
                    self.check_floor(line, k, rung);
                }
            }
            (true, Some("TEARDOWN")) => {
                let setup_by_pipeline = m.get("Pipelined-Requests").map(|p| (node, conn, p.to_owned()));
                let setup_by_pipeline =
                    setup_by_pipeline.and_then(|p| self.setup_by_pipeline.get(&p).copied());
                let by_name =
                    m.get("Session").and_then(|s| self.setup_by_session.get(&(node, s.to_owned())).copied());
                if let Some(k) = setup_by_pipeline.or(by_name) {
                    self.setups[k].ended.get_or_insert(t);
                }
            }
            (false, Some("PLAY_NOTIFY")) if m.get("Notify-Reason") == Some("end-of-stream") => {
                let k =
                    m.get("Session").and_then(|s| self.setup_by_session.get(&(node, s.to_owned())).copied());
                if let Some(k) = k {
                    self.setups[k].ended.get_or_insert(t);
                }
            }
            (false, None) => {
                let Some((k, play)) = self.request_by_cseq.remove(&(node, conn, cseq)) else { return };
                let status = m.status().unwrap_or(0);
                let s = &mut self.setups[k];
                if status != 200 {
                    if !play && s.ended.is_none() {
                        s.nothing_ran = matches!(status, 453 | 503);
                        s.ended = Some(t);
                    }
                } else if play {
                    s.plays = s.plays.or(Some(t));
                } else if let Some(id) = m.get("Session") {
                    self.setup_by_session.insert((node, id.to_owned()), k);
                }
            }
            _ => {}
        }
    }

    /// Checks rule 5: no rung under the group's floor.
    fn check_floor(&mut self, line: usize, k: usize, rung: u64) {
        let group = self.setups[k].group.clone();
        let floor = self.terms.groups.get(&group).map_or(0, |g| g.floor);
        if rung < floor {
            self.report(5, line, format!("rung {rung} under the floor {floor} of {group}"));
        }
    }

    fn handle_setup(&mut self, line: usize, t: f64, node: u32, conn: u64, m: &Rtsp<'_>, cseq: String) {
        self.verdict.setups += 1;
        let Some(&director) = self.conns.get(&(node, conn)) else { return };
        let run = self.current_run(director);
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
            line,
            at: t,
            rungs: vec![(t, rung)],
            plays: None,
            ended: None,
            nothing_ran: false,
            share: 1.0,
        });
        let start = self.start_by_key.get(&(run, get("Request-Key"))).copied();
        let gone = start
            .and_then(|s| self.starts[s].left)
            .map(|left| t - left)
            .filter(|late| *late > LATE_SETUP_AFTER);
        if let Some(late) = gone {
            self.verdict.late_setups += 1;
            if self.verdict.late_setups >= MIN_LATE_SETUPS {
                let what = format!("director {director} sent a SETUP {late:.3} s after its viewer had gone");
                self.report(8, line, what);
            }
        }
        self.setup_by_pipeline.insert((node, conn, get("Pipelined-Requests")), k);
        self.request_by_cseq.insert((node, conn, cseq), (k, false));
        self.check_floor(line, k, rung);
        // Rule 3: nothing new to drained nodes.
        if let Some((told, phase)) = self.roster_phases.get(&(director, node)).cloned() {
            let late = t - told - self.terms.grace;
            let stands = self.stalled.contains_key(&director);
            if phase != "ready" && late > ROSTER_DELIVERY_TIME && !stands {
                self.report(
                    3,
                    line,
                    format!("director {director} sent to node {node} {late:.2} s past the grace, {phase}"),
                );
            }
        }
        if let Some(process) = self.node_processes.get_mut(&node) {
            process.arrivals.push((t, line, run));
        }
        self.check_cold_node(line, t, node);
    }

    /// Checks rule 4 for the window that ends with this SETUP. It counts only if more than half of the SETUPs came from
    /// directors that knew that the node was cold.
    fn check_cold_node(&mut self, line: usize, t: f64, node: u32) {
        let (from, warm, tip, fall) =
            (self.terms.cold_from, self.terms.warm, self.terms.tip, self.terms.fall);
        let Some(process) = self.node_processes.get(&node).filter(|l| l.cold && t < l.up + warm) else {
            return;
        };
        let warmth = (from + (1.0 - from) * (t - process.up) / warm).min(1.0);
        let limit = (tip * fall * warmth * process.places / warm).max(1.0);
        let window: Vec<_> = process.arrivals.iter().filter(|(at, _, _)| *at > t - fall).collect();
        let knew = |d: u32| {
            process.informed.contains(&d)
                || self.director_started_at.get(&d).is_some_and(|up| *up >= process.up)
        };
        let informed = window.iter().filter(|(_, _, (d, _))| knew(*d)).count();
        let count = window.len();
        self.verdict.max_cold_load = self.verdict.max_cold_load.max(count as f64 / limit);
        if count as f64 > limit && informed * 2 > count {
            let what = format!("cold node {node} got {count} SETUPs in {fall} s, it bears {limit:.1}");
            self.report(4, line, what);
        }
    }

    fn handle_roster(&mut self, t: f64, director: u32, text: &str) {
        let v: Value = serde_json::from_str(text).unwrap_or_default();
        let whole = v["whole"].is_object();
        let message = if whole { &v["whole"] } else { &v["change"] };
        let mut named = BTreeSet::new();
        for node in message["nodes"].as_array().into_iter().flatten() {
            let id = node["id"].as_u64().unwrap_or(u64::MAX) as u32;
            let phase = node["phase"].as_str().unwrap_or("").to_owned();
            let since = node["up_since"].as_f64().unwrap_or(0.0);
            named.insert(id);
            if let Some(process) =
                self.node_processes.get_mut(&id).filter(|l| since > 0.0 && (l.up - since).abs() < 0.5)
            {
                process.informed.insert(director);
            }
            let before =
                self.roster_phases.get(&(director, id)).filter(|(_, p)| *p == phase).map(|(at, _)| *at);
            self.roster_phases.insert((director, id), (before.unwrap_or(t), phase));
        }
        let known = self.listed_nodes.entry(director).or_default();
        if whole {
            let lost: Vec<u32> = known.iter().copied().filter(|id| !named.contains(id)).collect();
            for id in lost {
                let entry = self.roster_phases.entry((director, id)).or_insert((t, "gone".into()));
                if entry.1 != "gone" {
                    *entry = (t, "gone".into());
                }
            }
        }
        self.listed_nodes.entry(director).or_default().extend(named);
    }

    fn handle_player_message(&mut self, line: usize, t: f64, run: Run, got: bool, text: &str) {
        let v: Value = serde_json::from_str(text).unwrap_or_default();
        let kind = v["type"].as_str().unwrap_or("");
        let Some(key) = v["key"].as_str().map(str::to_owned) else { return };
        let known = self.start_by_key.get(&(run, key.clone())).copied();
        if !got && let Some(of) = v["token"].as_str().and_then(token_claims) {
            self.tokens.entry((run, key.clone())).or_insert(of);
        }
        match (got, kind) {
            (false, "start") => match known {
                Some(k) => self.starts[k].sent += 1,
                None => {
                    self.start_by_key.insert((run, key.clone()), self.starts.len());
                    self.starts.push(Start {
                        run,
                        key,
                        line,
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
                Some(k) => self.starts[k].finals.push((t, line, kind.to_owned())),
                None => self.report(1, line, format!("an answer to no request: {key}")),
            },
            (false, "leave") => {
                if let Some(k) = known {
                    self.verdict.left_early += usize::from(self.starts[k].finals.is_empty());
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

    /// Whether a director was down or stalled at some time in the span.
    fn had_outage(&self, run: Run, from: f64, to: f64) -> bool {
        self.outages.iter().any(|(r, a, b)| *r == run && *a <= to && *b >= from)
    }

    /// Checks rule 1: one final answer to each request, within its timeout.
    fn check_answers(&mut self) {
        for k in 0..self.starts.len() {
            let s = &self.starts[k];
            let due = s.at + s.timeout;
            let ended = self.shutdowns.get(&s.run).is_some_and(|e| *e <= s.at);
            let (run, line, key, sent) = (s.run, s.line, s.key.clone(), s.sent);
            let kinds: BTreeSet<&str> = s.finals.iter().map(|f| f.2.as_str()).collect();
            let (many, count) = (kinds.len() > 1, s.finals.len());
            let first = s.finals.first().cloned();
            let kind = first.as_ref().map(|f| f.2.clone()).unwrap_or_default();
            self.verdict.starts += 1;
            match kind.as_str() {
                "playing" => self.verdict.playing += 1,
                "busy" => self.verdict.busy += 1,
                "failed" => self.verdict.failed += 1,
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
                if ended || self.had_outage(run, self.starts[k].at, due) {
                    self.verdict.excused += 1;
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

    /// Checks rule 2: one set-up of a request at a time, and repeated only as its group allows.
    fn check_repeated_setups(&mut self) {
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
                    if a.ended.is_none_or(|e| e > b.at + MAX_REORDERING) {
                        let what =
                            format!("{}: a second SETUP while line {}'s is out or plays", b.key, a.line);
                        found.push((2, b.line, what));
                    }
                }
                let maybe = of[..k].iter().map(|&a| &self.setups[a]).find(|a| !a.nothing_ran);
                let Some((group, a)) = self.terms.groups.get(&b.group).zip(maybe) else { continue };
                let zone = |n: u32| self.node_processes.get(&n).map(|l| l.zone.clone());
                let wrong = match group.repeat.as_str() {
                    "never" => true,
                    "zone" => zone(a.node) != zone(b.node) || b.at - a.at > group.window + MAX_REORDERING,
                    "cell" => a.node != b.node || b.at - a.at > group.window + MAX_REORDERING,
                    "anywhere" => b.at - a.at > group.window + MAX_REORDERING,
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
            let maybe = self.setups.iter().find(|x| x.run == s.run && x.key == s.key && !x.nothing_ran);
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

    /// Checks rule 5: a director holds no more sessions of a title than the group has seats.
    fn check_group_seats(&mut self) {
        // Time, change of the number held, and line.
        type Step = (f64, i64, usize);
        let mut steps: BTreeMap<(Run, &str, &str), Vec<Step>> = BTreeMap::new();
        for s in &self.setups {
            let of = steps.entry((s.run, &s.group, &s.title)).or_default();
            of.push((s.at, 1, s.line));
            if let Some(end) = s.ended {
                of.push(((end - MAX_REORDERING).max(s.at), -1, s.line));
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

    /// Checks rule 7 by what played at nodes: no more tokens of a school play at once than it has seats, and no token
    /// plays at two directors for longer than [`SEAT_MOVE_NOTICE_TIME`].
    fn check_school_seats(&mut self) {
        let Some(seats) = self.schools else { return };
        // Start, end, token, line and director of each session.
        type Session<'a> = (f64, f64, &'a str, usize, Run);
        let mut by_school: BTreeMap<&str, Vec<Session<'_>>> = BTreeMap::new();
        let mut ids = BTreeSet::new();
        for s in &self.setups {
            let Some((school, id)) = self.tokens.get(&(s.run, s.key.clone())) else { continue };
            let Some(from) = s.plays else { continue };
            let end = s.ended.unwrap_or(f64::INFINITY) - MAX_REORDERING;
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
                let twice =
                    at.iter().find(|o| o.2 == *id && o.3 != *line && o.1 > *from + SEAT_MOVE_NOTICE_TIME);
                if let Some(o) = twice {
                    let away = |(a, b): &(f64, f64)| {
                        *a <= from + SEAT_MOVE_NOTICE_TIME && *b >= *from - SEAT_MOVE_NOTICE_TIME
                    };
                    let excused = self.keeper_outages.iter().any(away)
                        || self.had_outage(o.4, *from - SEAT_MOVE_NOTICE_TIME, o.1)
                        || self.had_outage(*run, *from - SEAT_MOVE_NOTICE_TIME, o.1);
                    if !excused {
                        let what = format!("{school}: {id} plays at two directors, since line {} too", o.3);
                        found.push((*line, what));
                    }
                }
            }
        }
        (self.verdict.token_sessions, self.verdict.seats_used, self.verdict.tokens) =
            (token_sessions, (most, seats), ids.len());
        found.into_iter().for_each(|(line, what)| self.report(7, line, what));
    }

    /// Checks rule 6, the budget for further SETUPs, and counts them.
    fn check_further_budget(&mut self) {
        let mut seen: BTreeMap<(Run, &str), usize> = BTreeMap::new();
        let mut further: BTreeMap<Run, Vec<(f64, usize)>> = BTreeMap::new();
        for s in &self.setups {
            let count = seen.entry((s.run, &s.key)).or_default();
            *count += 1;
            if *count > 1 {
                further.entry(s.run).or_default().push((s.at, s.line));
            }
        }
        self.verdict.further = further.values().map(Vec::len).sum();
        let Some((free, per_taken, span)) = self.terms.further else { return };
        let mut found = Vec::new();
        for (run, of) in &further {
            for (k, (t, line)) in of.iter().enumerate() {
                let count = of[..=k].iter().filter(|(at, _)| *at > t - span).count() as f64;
                let in_span = |s: &&Start| s.run == *run && s.at > t - span - MAX_REORDERING && s.at <= *t;
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

    /// Computes the utility played over the utility asked for, and collects start times.
    fn measure_service(&mut self, last: f64) {
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
            let times =
                if with { &mut self.verdict.token_start_times } else { &mut self.verdict.start_times };
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
            // Each percent of the rate missing below 98 % costs 10 % of the utility.
            let quality = (1.0 - 10.0 * (0.98 - s.share).max(0.0)).max(0.0);
            for (k, (at, rung)) in s.rungs.iter().enumerate() {
                let till = s.rungs.get(k + 1).map_or(end, |r| r.0);
                got += group.utility * worth(*rung) * (till - at.max(from)).max(0.0) * quality;
            }
        }
        self.verdict.service = if asked > 0.0 { got / asked } else { 0.0 };
        self.verdict.viewers = self.wishes.len();
    }
}

/// Checks the entries of a record, in the order of their times. Lines are numbered as in the record.
pub fn check(lines: &[Entry]) -> Verdict {
    let mut order: Vec<usize> = (0..lines.len()).collect();
    order.sort_by(|&a, &b| lines[a].t.total_cmp(&lines[b].t));
    let mut checker = Checker::default();
    for k in order {
        checker.handle_event(k + 1, lines[k].t, &lines[k].what);
    }
    checker.check_answers();
    checker.check_repeated_setups();
    checker.check_group_seats();
    checker.check_school_seats();
    checker.check_further_budget();
    checker.measure_service(lines.last().map_or(0.0, |l| l.t));
    checker.verdict.violations.sort_by_key(|b| (b.rule, b.line));
    checker.verdict
}
