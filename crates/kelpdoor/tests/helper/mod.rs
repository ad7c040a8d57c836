//! A test harness for one director on a small fleet, which prints its decisions.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::fmt::Write;

use kelpdoor::ids::{GroupId, NodeId, SessId, TitleId};
use kelpdoor::round::{
    Ended, ListChange, ListedNode, LoadReport, Measurement, NewSession, Phase, Playing, SetupOutcome,
};
use kelpdoor::terms::{GroupTerms, Repeat, Terms};
use kelpdoor::{Director, Orders, Round};

/// One director, its clock and the trace of its decisions.
pub struct Harness {
    pub director: Director,
    pub now: f64,
    pub trace: Trace,
}

#[derive(Default)]
pub struct Trace {
    pub text: String,
    pub sent: Vec<(SessId, NodeId)>,
    at: f64,
}

impl Trace {
    fn line(&mut self, text: std::fmt::Arguments) {
        writeln!(self.text, "{:.1} {text}", self.at).expect("writing to a string does not fail");
    }
}

impl Orders for Trace {
    fn set_rung(&mut self, s: SessId, rung: u8) {
        self.line(format_args!("sess {} rung {rung}", s.0));
    }
    fn send_setup(&mut self, s: SessId, node: NodeId, wait: Option<f64>) {
        let wait = wait.map_or("as long as the viewer".into(), |w| format!("{w:.2}"));
        self.line(format_args!("sess {} SETUP at {}, wait {wait}", s.0, node.0));
        self.sent.push((s, node));
    }
    fn withdraw(&mut self, s: SessId, setup: u8) {
        self.line(format_args!("sess {} withdraw {setup}", s.0));
    }
    fn reply_busy(&mut self, s: SessId, come_back: Option<f64>) {
        self.line(format_args!("sess {} busy, come back {come_back:?}", s.0));
    }
    fn reply_failed(&mut self, s: SessId) {
        self.line(format_args!("sess {} fail", s.0));
    }
    fn shift(&mut self, s: SessId) {
        self.line(format_args!("sess {} shift", s.0));
    }
    fn subscribe(&mut self, on: bool) {
        self.line(format_args!("subscribe {on}"));
    }
    fn fetch_list(&mut self) {
        self.line(format_args!("fetch list"));
    }
    fn probe(&mut self, node: NodeId) {
        self.line(format_args!("probe {}", node.0));
    }
    fn close_idle_connections(&mut self, node: NodeId) {
        self.line(format_args!("hang up on {}", node.0));
    }
    fn send_message(&mut self, director: Option<u16>, message: &[u8]) {
        self.line(format_args!("tell {director:?} {message:?}"));
    }
    fn log(&mut self, line: &str) {
        self.line(format_args!("log {line}"));
    }
    fn report_fault(&mut self, why: &str) {
        self.line(format_args!("fault {why}"));
    }
    fn wake_after(&mut self, _: f64) {}
}

/// Terms with two racks, six cells and three rungs; the link of a node carries ten sessions at the middle
/// rung.
pub fn terms() -> Terms {
    Terms {
        me: 0,
        directors: 1,
        zone: 0,
        groups: vec![GroupTerms {
            start_target: 1.0,
            utility: 1.0,
            repeat: Repeat::Freely,
            repeat_window: 5.0,
            floor: 0,
            top: 2,
            scale: 1.0,
            seats: 0,
            join: 1.0,
        }],
        ladder: vec![40.0, 100.0, 250.0],
        rung_utility: vec![0.3, 0.6, 1.0],
        places_by_kind: vec![24.0],
        cells: 6,
        racks: 2,
        link_unit: 1000.0,
        rack_uplink: 3000.0,
        refuses_from: None,
        seen_after: 0.5,
        told_every: 3.0,
        switch_cost: 0.5,
        cross_zone_price: 0.0,
        max_setups: 3,
        may_withdraw: true,
        come_back: Some(1.0),
        cold_from: 0.4,
        warm_within: 12.0,
        tip_multiple: 3.0,
        fall_window: 1.0,
        further: None,
        ask_list: false,
        uplinks_told: false,
    }
}

pub fn listed_node(node: u32, phase: Phase, up_since: f64) -> ListedNode {
    ListedNode { node: NodeId(node), zone: 0, kind: 0, cell: node as u16, phase, size: 1.0, up_since }
}

/// A request for a title that the first `cells` nodes hold.
pub fn new_session(sess: u64, cells: u16) -> NewSession {
    NewSession {
        sess: SessId(sess),
        group: GroupId(0),
        title: TitleId(7),
        setup_timeout: 4.0,
        first_cell: 0,
        cells,
        best_rung: 2,
    }
}

impl Harness {
    pub fn with(director: Director, now: f64) -> Harness {
        Harness { director, now, trace: Trace::default() }
    }

    /// A director at 100 s that no longer presumes nodes cold, with nodes 0 to 5 that started long ago.
    pub fn new(terms: &Terms) -> Harness {
        let mut harness = Harness::with(Director::new(terms, 42, 90.0), 90.0);
        let nodes = (0..6).map(|n| listed_node(n, Phase::Ready, 0.0)).collect();
        harness.round(|r| r.list_changes.push(ListChange::Cached(nodes)));
        harness.run_to(100.0);
        harness
    }

    pub fn round(&mut self, fill: impl FnOnce(&mut Round)) {
        let mut round = Round::default();
        fill(&mut round);
        self.trace.at = self.now;
        self.director.round(self.now, &round, &mut self.trace);
    }

    /// Lets time pass without input.
    pub fn run_to(&mut self, until: f64) {
        while self.now < until - 0.05 {
            self.now += 0.1;
            self.round(|_| ());
        }
    }

    pub fn hand_over(&mut self, sess: u64, node: u32, rung: u8) {
        self.round(|r| {
            r.handed_over.push((new_session(sess, 6), NodeId(node)));
            r.measurements.push(Measurement::Rung { sess: SessId(sess), rung });
        });
    }

    pub fn request(&mut self, sess: u64, cells: u16) {
        self.round(|r| r.new_sessions.push(new_session(sess, cells)));
    }

    /// Ends the last SETUP of a session with an outcome.
    pub fn end_setup(&mut self, sess: u64, outcome: SetupOutcome) {
        let node = self.trace.sent.iter().rev().find(|s| s.0 == SessId(sess)).expect("a SETUP was sent").1;
        self.end_at(sess, node.0, outcome, None);
    }

    pub fn end_at(&mut self, sess: u64, node: u32, outcome: SetupOutcome, streams: Option<f64>) {
        let (sess, node) = (SessId(sess), NodeId(node));
        let load = LoadReport { streams, ..LoadReport::default() };
        self.round(|r| r.ended.push(Ended { sess, node, outcome, closed: false, load }));
    }

    pub fn start_playing(&mut self, sess: u64) {
        let node = self.trace.sent.iter().rev().find(|s| s.0 == SessId(sess)).expect("a SETUP was sent").1;
        self.round(|r| r.playing.push(Playing { sess: SessId(sess), node, took: 0.1 }));
    }

    pub fn measure_link(&mut self, sess: u64, node: u32, asked: f64) {
        self.round(|r| {
            r.measurements.push(Measurement::Link { sess: SessId(sess), node: NodeId(node), asked })
        });
    }

    pub fn measure_delivery(&mut self, node: u32, share: f64) {
        self.round(|r| r.measurements.push(Measurement::Delivered { node: NodeId(node), share }));
    }
}
