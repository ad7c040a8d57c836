//! Stories told to an exchange, line by line, with what it does printed as one trace.

#![allow(dead_code, reason = "each test file uses its part")]

use kelpdoor_platform::core::{ConnectFailure, Effect, Input, SessionCore};
use kelpdoor_platform::{StartupConfig, changes, viewer};
use kelpdoor_rtsp::{Version, parse_as};
use serde_json::json;

/// The settings of the users' pages, cut down to what is read.
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

/// A connection to a node that did not come up, with what the system says of it.
pub fn no_link(link: u64, how: ConnectFailure) -> Input {
    let why = match how {
        ConnectFailure::Refused => "Connection refused (os error 111)",
        ConnectFailure::Unreachable => "no connection within 250 ms",
        ConnectFailure::LocalResources => "Too many open files (os error 24)",
    };
    Input::LinkFailed { link, failure: how, why: why.to_owned() }
}

pub struct Story {
    pub exchange: SessionCore,
    pub now: f64,
    pub trace: String,
}

impl Story {
    /// A director that knows so many nodes, in its tenth second: its own start is over.
    pub fn new(nodes: u32, sockets: usize) -> Self {
        let hosts: Vec<_> = (1..=nodes).map(|n| host(n, "up")).collect();
        let known = json!({"seq": 1, "results": [{"seq": 1, "fleet": {"whole": true, "hosts": hosts}}]});
        let (known, last_known_change) = changes::parse_known_events(&known).expect("good events");
        let (terms, report) = kelpdoor_terms::read_terms(&settings()).expect("good settings");
        let start = StartupConfig {
            config_path: "none".into(),
            name: "n0".into(),
            listen: ([127, 0, 0, 1], 0).into(),
            seed: 7,
            max_sockets: sockets,
            max_memory: 32 << 20,
            changelog: ([127, 0, 0, 1], 1).into(),
            known_changes: known,
            last_known_change,
            terms,
            report_fields: report,
            names: kelpdoor_terms::read_names(&settings()).expect("good settings"),
        };
        let mut story =
            Story { exchange: SessionCore::new(&start, 1000.0), now: 1000.0, trace: String::new() };
        story.pass(10.0);
        story
    }

    fn show(&mut self, effect: Effect) {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().to_owned();
        let line = match effect {
            Effect::SendViewer { conn, bytes } => format!("viewer {conn} < {}", text(&bytes)),
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

    /// Something that comes in with whatever comes next, in one batch.
    pub fn take(&mut self, input: Input) {
        self.exchange.handle_input(self.now, 0.0, input);
    }

    pub fn go(&mut self, input: Input) {
        self.exchange.handle_input(self.now, 0.0, input);
        self.round();
    }

    fn round(&mut self) {
        let mut effects = Vec::new();
        self.exchange.run_round(self.now, &mut |e| effects.push(e));
        effects.into_iter().for_each(|e| self.show(e));
    }

    /// Lets time pass, with a round whenever one is due.
    pub fn pass(&mut self, seconds: f64) {
        let end = self.now + seconds;
        for _ in 0..100_000 {
            let next = self.exchange.next_timer_at();
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            self.round();
        }
        self.now = end;
        self.round();
    }

    pub fn open(&mut self, conn: u64) {
        self.go(Input::ViewerConnected { conn });
    }

    pub fn say(&mut self, conn: u64, line: &str) {
        let message = viewer::parse(line.as_bytes());
        self.go(Input::ViewerMessage { conn, message });
    }

    /// A set-up that any node may take, for 3 s.
    pub fn ask(&mut self, conn: u64, id: u64) {
        self.say(conn, &start(id, "lecture", "home:0;copies:4;top:4", "v=0"));
    }

    /// A message of a node, its lines divided by `|`.
    pub fn node(&mut self, link: u64, text: &str) {
        let (head, body) = text.split_once("||").unwrap_or((text, ""));
        let head = head.replace('|', "\r\n");
        let whole = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let (message, _) = parse_as(Version::V1, whole.as_bytes()).expect("RTSP").expect("whole");
        self.go(Input::NodeMessage { link, message });
    }

    /// The node sets a session up.
    pub fn serves(&mut self, link: u64, id: u64) {
        self.node(link, &format!("RTSP/1.0 200 OK|CSeq: 1|Session: {id:016x}||answer {id}"));
    }

    pub fn up(&mut self, link: u64) {
        self.go(Input::LinkConnected { link });
    }

    /// The connections dialled since the last call come up; the one that the last SETUP went out on.
    pub fn settle(&mut self) -> u64 {
        let number = |line: &str| line.split("link ").nth(1).and_then(|l| l.split(' ').next()?.parse().ok());
        let dialled: Vec<u64> =
            self.trace.lines().filter(|l| l.contains(" dial ")).filter_map(number).collect();
        dialled.into_iter().for_each(|link| self.up(link));
        self.trace.lines().rev().find(|l| l.contains("< SETUP")).and_then(number).expect("a SETUP is out")
    }

    /// A story whose session 5 stands, on viewers' connection 1 and link 0.
    pub fn playing(nodes: u32) -> Self {
        let mut story = Story::new(nodes, 256);
        story.open(1);
        story.ask(1, 5);
        story.up(0);
        story.serves(0, 5);
        story.told();
        story
    }

    /// Every connection that is being dialled comes up.
    pub fn settle_all(&mut self) {
        (0..20).for_each(|link| self.up(link));
    }

    /// What happened since the last call.
    pub fn told(&mut self) -> String {
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
