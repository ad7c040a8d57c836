//! Cost of a session in the core: start, responses to SETUP and PLAY, stop and response to TEARDOWN, each in its own
//! round, while a number of other sessions are active. Prints medians of five runs of 1000 sessions.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::{Harness, deployment, ok, requests, start};
use kelpdoor_api::{FromPlayer, RequestKey};
use kelpdoor_director::{Effect, Input, NodeEvent, Phase, RosterMessage, RosterNode, RosterTitle};
use kelpdoor_rtsp::{Method, header_names};

const NODES: u32 = 40;
/// Sessions started per second.
const RATE: f64 = 500.0;

fn fleet() -> RosterMessage {
    let node =
        |id: u32| RosterNode { size: 50.0, cell: id as u16, ..common::roster_node(id % 6, Phase::Ready) };
    let nodes = (0..NODES).map(|id| RosterNode { id, ..node(id) }).collect();
    let titles = (0..40).map(|k| RosterTitle { name: format!("t{k}"), first_cell: k, cells: 5 }).collect();
    RosterMessage::Whole { version: 1, nodes, titles }
}

struct Driver {
    harness: Harness,
    next: u64,
    held: std::collections::VecDeque<String>,
    inputs: usize,
}

impl Driver {
    /// Answers all requests that the core sent to nodes, each response in its own round.
    fn answer(&mut self, effects: Vec<Effect>) {
        let mut todo = effects;
        while !todo.is_empty() {
            let mut more = Vec::new();
            for (node, link, r) in requests(&todo) {
                let mut answer = ok(&r).with(header_names::LOAD_REPORT, "streams=100;link=0.5");
                if r.method == Method::Setup {
                    self.next += 1;
                    answer = answer.with(header_names::SESSION, self.next);
                }
                if r.method == Method::Play {
                    answer = answer.with(header_names::ASKED, "link=0.5");
                }
                self.inputs += 1;
                more.extend(self.harness.input(Input::Node {
                    node,
                    link,
                    event: NodeEvent::Received(answer.into()),
                }));
            }
            todo = more;
        }
    }

    /// Starts a session and, once more than `hold` are active, stops the oldest.
    fn session(&mut self, hold: usize) {
        self.harness.now += 1.0 / RATE;
        self.next += 1;
        let key = format!("key-{:07}", self.next);
        let title = format!("t{}", self.next % 40);
        self.inputs += 1;
        let effects =
            self.harness.input(Input::Player { sock: self.next % 200, message: start(&key, "any", &title) });
        self.answer(effects);
        self.held.push_back(key);
        if self.held.len() > hold
            && let Some(key) = self.held.pop_front()
        {
            self.inputs += 1;
            let message = FromPlayer::Stop { key: RequestKey(key) };
            let effects = self.harness.input(Input::Player { sock: 1, message });
            self.answer(effects);
        }
    }
}

fn main() {
    let mut wide = deployment();
    wide.fleet.cells = NODES as u16;
    wide.fleet.kinds.insert("box".into(), 5000.0);
    wide.players.sessions = 100_000;
    wide.players.remember = 5.0;
    println!("{:>8} {:>14} {:>14}", "held", "us/session", "us/input");
    for hold in [100, 1000, 10_000] {
        let harness = Harness::new(&wide, 1);
        let mut d = Driver { harness, next: 0, held: Default::default(), inputs: 0 };
        let effects = d.harness.input(Input::Roster(fleet()));
        d.harness.connect(&effects);
        d.harness.wait(6.0);
        (0..hold).for_each(|_| d.session(hold));
        let mut runs: Vec<(f64, f64)> = (0..5)
            .map(|_| {
                d.inputs = 0;
                let began = Instant::now();
                (0..1000).for_each(|_| d.session(hold));
                let us = began.elapsed().as_secs_f64() * 1e6;
                (us / 1000.0, us / d.inputs as f64)
            })
            .collect();
        runs.sort_by(|a, b| a.0.total_cmp(&b.0));
        println!("{hold:>8} {:>14.1} {:>14.2}", runs[2].0, runs[2].1);
    }
}
