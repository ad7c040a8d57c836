//! A harness that feeds inputs to a session core and prints its effects as one trace.

#![allow(dead_code, reason = "each test file uses a part of it")]

use kelpdoor_platform::core::{ConnectFailure, Effect, Input, SessionCore};
use kelpdoor_platform::{StartupConfig, changes, viewer};
use kelpdoor_rtsp::{Version, parse_as};
use serde_json::json;

/// The platform's settings, reduced to what is read.
pub fn settings() -> serde_json::Value {
    json!({
        "allowed": {"connIdleMs": 30000.0, "connectTimeoutMs": 250.0, "maxRetryAfterMs": 1000.0, "mayCancel": true,
            "retryAfter": true, "sendCap": 5},
        "feedback": {"fields": ["inflight", "x0"], "how": "piggyback"},
        "kinds": ["box-3c"], "me": 0, "siblings": 2, "zone": 0, "zones": ["dc1"],
        "profiles": [
            {"credit": 2.0, "name": "lecture", "promiseMs": 1500.0, "repeat": "safe"},
            {"credit": 1.0, "name": "paid", "promiseMs": 1000.0, "repeat": "unsafe"}],
        "rules": {"coldFrom": 0.4, "drainGraceMs": 1000.0, "fallMs": 3000.0, "tipMultiple": 4.0, "warmWithinMs": 12000.0},
        "specifics": {"cells": 4, "highestRung": [4, 3], "levelWorth": [0.19, 0.42, 0.62, 0.82, 1.0],
            "linkUnitKb": 1908.0, "lowestRung": [0, 0], "placesByKind": [39], "rackKb": 36230.0, "racks": 1,
            "ratesKb": [120.0, 221.0, 405.0, 744.0, 1365.0], "scaleByClass": [1.4, 1.0], "seenAfterMs": 1000.0,
            "switchCostS": 0.8, "toldEveryMs": 3000.0},
    })
}

fn host(n: u32, health: &str) -> serde_json::Value {
    json!({"host": format!("s-{n}"), "dial": format!("10.1.0.{n}:5070"), "site": "dc1", "class": "box-3c", "block": n % 4,
        "health": health, "share": 3, "born_ms": 0})
}

/// A failed connection attempt, with the error text of the system.
pub fn link_failure(link: u64, failure: ConnectFailure) -> Input {
    let why = match failure {
        ConnectFailure::Refused => "Connection refused (os error 111)",
        ConnectFailure::Unreachable => "no connection within 250 ms",
        ConnectFailure::LocalResources => "Too many open files (os error 24)",
    };
    Input::LinkFailed { link, failure, why: why.to_owned() }
}

pub struct Scenario {
    pub core: SessionCore,
    pub now: f64,
    pub trace: String,
}

impl Scenario {
    /// A director that knows `nodes` nodes, 10 s after its start, when its start-up phase is over.
    pub fn new(nodes: u32, sockets: usize) -> Self {
        let hosts: Vec<_> = (1..=nodes).map(|n| host(n, "up")).collect();
        let known_changes =
            json!({"seq": 1, "results": [{"seq": 1, "fleet": {"whole": true, "hosts": hosts}}]});
        let (known_changes, last_known_change) =
            changes::parse_known_events(&known_changes).expect("good events");
        let (terms, report) = kelpdoor_terms::read_terms(&settings()).expect("good settings");
        let start = StartupConfig {
            config_path: "none".into(),
            name: "n0".into(),
            listen: ([127, 0, 0, 1], 0).into(),
            seed: 7,
            max_sockets: sockets,
            max_memory: 32 << 20,
            changelog: ([127, 0, 0, 1], 1).into(),
            known_changes,
            last_known_change,
            terms,
            report_fields: report,
            names: kelpdoor_terms::read_names(&settings()).expect("good settings"),
        };
        let mut scenario =
            Scenario { core: SessionCore::new(&start, 1000.0), now: 1000.0, trace: String::new() };
        scenario.advance(10.0);
        scenario
    }

    fn record(&mut self, effect: Effect) {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().to_owned();
        let line = match effect {
            Effect::SendViewer { conn, bytes } | Effect::ReportEnd { conn, bytes, .. } => {
                format!("viewer {conn} < {}", text(&bytes))
            }
            Effect::CloseViewer { conn } => format!("viewer {conn} shut"),
            Effect::ConnectLink { link, address } => format!("link {link} dial {address}"),
            Effect::SendNode { link, bytes } => {
                let (_, len) = parse_as(Version::V1, &bytes).expect("RTSP").expect("whole");
                assert_eq!(len, bytes.len(), "one message a write");
                format!("link {link} < {}", text(&bytes).replace("\r\n", " | "))
            }
            Effect::CloseLink { link, immediate } => {
                format!("link {link} hang up{}", if immediate { " at once" } else { "" })
            }
            Effect::Log(line) => format!("log: {line}"),
            Effect::InternalError(why) => format!("FAULT {why}"),
        };
        self.trace.push_str(&format!("{:.2} {line}\n", self.now - 1000.0));
    }

    /// Feeds an input that shares its round with the next one.
    pub fn input(&mut self, input: Input) {
        self.core.handle_input(self.now, 0.0, input);
    }

    pub fn input_and_run(&mut self, input: Input) {
        self.core.handle_input(self.now, 0.0, input);
        self.run_round();
    }

    fn run_round(&mut self) {
        let mut effects = Vec::new();
        self.core.run_round(self.now, &mut |e| effects.push(e));
        effects.into_iter().for_each(|e| self.record(e));
    }

    /// Advances the time, with a round whenever one is due.
    pub fn advance(&mut self, seconds: f64) {
        let end = self.now + seconds;
        for _ in 0..100_000 {
            let next = self.core.next_timer_at();
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            self.run_round();
        }
        self.now = end;
        self.run_round();
    }

    pub fn connect_viewer(&mut self, conn: u64) {
        self.input_and_run(Input::ViewerConnected { conn });
    }

    pub fn send_line(&mut self, conn: u64, line: &str) {
        let message = viewer::parse(line.as_bytes());
        self.input_and_run(Input::ViewerMessage { conn, message });
    }

    /// Sends a set-up that any node may take, from a viewer that waits 3 s.
    pub fn request_setup(&mut self, conn: u64, id: u64) {
        self.send_line(conn, &start(id, "lecture", "home:0;copies:4;top:4", "v=0"));
    }

    /// Feeds a message of a node, with its lines separated by `|` and its body by `||`.
    pub fn node_message(&mut self, link: u64, text: &str) {
        let (head, body) = text.split_once("||").unwrap_or((text, ""));
        let head = head.replace('|', "\r\n");
        let whole = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let (message, _) = parse_as(Version::V1, whole.as_bytes()).expect("RTSP").expect("whole");
        self.input_and_run(Input::NodeMessage { link, message });
    }

    /// The node accepts the SETUP of a session.
    pub fn accept_setup(&mut self, link: u64, id: u64) {
        self.node_message(link, &format!("RTSP/1.0 200 OK|CSeq: 1|Session: {id:016x}||answer {id}"));
    }

    pub fn connect_link(&mut self, link: u64) {
        self.input_and_run(Input::LinkConnected { link });
    }

    /// Connects the links that were opened since the trace was last taken; returns the link of the last
    /// SETUP.
    pub fn connect_opened_links(&mut self) -> u64 {
        let number = |line: &str| line.split("link ").nth(1).and_then(|l| l.split(' ').next()?.parse().ok());
        let opened: Vec<u64> =
            self.trace.lines().filter(|l| l.contains(" dial ")).filter_map(number).collect();
        opened.into_iter().for_each(|link| self.connect_link(link));
        self.trace.lines().rev().find(|l| l.contains("< SETUP")).and_then(number).expect("a SETUP is out")
    }

    /// A scenario in which session 5 is active, on viewer connection 1 and link 0.
    pub fn with_active_session(nodes: u32) -> Self {
        let mut scenario = Scenario::new(nodes, 256);
        scenario.connect_viewer(1);
        scenario.request_setup(1, 5);
        scenario.connect_link(0);
        scenario.accept_setup(0, 5);
        scenario.take_trace();
        scenario
    }

    /// Connects every link that is being opened.
    pub fn connect_all_links(&mut self) {
        (0..20).for_each(|link| self.connect_link(link));
    }

    /// Takes the trace since the last call.
    pub fn take_trace(&mut self) -> String {
        std::mem::take(&mut self.trace)
    }
}

pub fn start(id: u64, class: &str, extras: &str, blob: &str) -> String {
    json!({"verb": "START", "tag": format!("{id:016x}"), "blob": blob,
        "opts": {"class": class, "left": "3000", "key": "7f3a9c21e0b4d655", "extras": extras}})
    .to_string()
}

pub fn finish(id: u64, cause: u32) -> String {
    json!({"verb": "FINISH", "tag": format!("{id:016x}"), "opts": {}, "rc": cause}).to_string()
}
