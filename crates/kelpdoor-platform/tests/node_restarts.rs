//! A session core with simulated nodes whose machines are cut off for some time, and return either with a new process or with the
//! old one. Moments, lengths and the order of events are stepped through.

mod common;

use std::collections::BTreeMap;

use common::{Scenario, link_failure, start};
use kelpdoor_platform::changes;
use kelpdoor_platform::core::{ConnectFailure, Input};
use serde_json::json;

/// s; step of the simulation.
const STEP: f64 = 0.05;
/// s; interval of notifications in the settings.
const NOTIFICATION_INTERVAL: f64 = 3.0;
/// s; time in which the end of a session has to be reported to its viewer, with the slack for sockets.
const END_LIMIT: f64 = 8.05;
const NODES: usize = 4;
/// The node that is cut off.
const LOST: usize = 0;
/// Sessions at each node.
const SESSIONS: usize = 3;

/// Which of its sessions a node names in a notification.
#[derive(Clone, Copy, Debug)]
enum Named {
    Oldest,
    Newest,
    InTurn,
}

#[derive(Default)]
struct SimulatedNode {
    unreachable: bool,
    /// Number of the process that runs on it.
    process: u32,
    /// Active sessions, with the link of each SETUP.
    sessions: Vec<(u64, u64)>,
    next_notification: f64,
    notifications: usize,
}

struct SimulatedLink {
    node: usize,
    /// The process at its other end, once it is connected.
    process: Option<u32>,
    /// When an attempt to connect times out.
    timeout_at: f64,
}

struct Simulation {
    scenario: Scenario,
    nodes: Vec<SimulatedNode>,
    links: BTreeMap<u64, SimulatedLink>,
    /// Answers and resets that arrive with the next step.
    arriving: Vec<Input>,
    /// Time of the FINISH of each session to its viewer.
    finished: BTreeMap<u64, f64>,
    named: Named,
}

/// How a machine is lost and returns.
#[derive(Clone, Copy, Debug)]
struct Loss {
    /// s; after the last notification of the node.
    moment: f64,
    /// s
    length: f64,
    /// It returns with a new process; `None` means with the old one and its sessions. The change log reports the start this
    /// much later, in s.
    restart_listed_after: Option<f64>,
}

fn host(node: usize, born: f64) -> serde_json::Value {
    json!({"host": format!("s-{}", node + 1), "dial": format!("10.1.0.{}:5070", node + 1), "site": "dc1", "class": "box-3c",
        "block": (node + 1) % 4, "health": "up", "share": 3, "born_ms": (born * 1000.0) as u64})
}

fn session_of(text: &str) -> Option<u64> {
    u64::from_str_radix(text.split("Session: ").nth(1)?.get(..16)?, 16).ok()
}

impl Simulation {
    fn new(named: Named) -> Self {
        let mut scenario = Scenario::new(NODES as u32, 256);
        scenario.connect_viewer(1);
        let node = |k| SimulatedNode {
            next_notification: scenario.now + 1.0 + 0.7 * f64::from(k),
            ..SimulatedNode::default()
        };
        let nodes = (0..NODES as u32).map(node).collect();
        let (links, arriving, finished) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        Simulation { scenario, nodes, links, arriving, finished, named }
    }

    /// A director with active sessions at each node.
    fn with_sessions(named: Named) -> Self {
        let mut simulation = Simulation::new(named);
        for id in 1..=(NODES * SESSIONS) as u64 {
            let extras = format!("home:{};copies:1;top:4", (id as usize % NODES + 1) % 4);
            simulation.scenario.send_line(1, &start(id, "lecture", &extras, "v=0"));
            simulation.run_for(0.4);
        }
        assert!(simulation.nodes.iter().all(|n| n.sessions.len() == SESSIONS), "the sessions are active");
        simulation.run_for(4.0);
        simulation
    }

    fn now(&self) -> f64 {
        self.scenario.now
    }

    fn run_for(&mut self, seconds: f64) {
        let end = self.now() + seconds;
        while self.now() < end - STEP / 2.0 {
            self.step();
        }
    }

    fn step(&mut self) {
        self.scenario.advance(STEP);
        std::mem::take(&mut self.arriving).into_iter().for_each(|input| self.scenario.input_and_run(input));
        self.answer_attempts();
        (0..NODES).for_each(|node| self.notify(node));
        let trace = self.scenario.take_trace();
        trace.lines().for_each(|line| self.handle_effect(line));
    }

    /// Attempts to connect succeed at once or time out.
    fn answer_attempts(&mut self) {
        let now = self.now();
        let waiting: Vec<u64> =
            self.links.iter().filter(|(_, l)| l.process.is_none()).map(|(k, _)| *k).collect();
        for link in waiting {
            let Some(l) = self.links.get_mut(&link) else { continue };
            let node = &self.nodes[l.node];
            if !node.unreachable {
                l.process = Some(node.process);
                self.scenario.input_and_run(Input::LinkConnected { link });
            } else if now >= l.timeout_at {
                self.links.remove(&link);
                self.scenario.input_and_run(link_failure(link, ConnectFailure::Unreachable));
            }
        }
    }

    /// Sends a notification on the link of the session's SETUP, else on any open one.
    fn notify(&mut self, node: usize) {
        let (now, n) = (self.now(), &mut self.nodes[node]);
        if now < n.next_notification {
            return;
        }
        n.next_notification += NOTIFICATION_INTERVAL;
        if n.unreachable || n.sessions.is_empty() {
            return;
        }
        n.notifications += 1;
        let (id, link) = match self.named {
            Named::Oldest => n.sessions[0],
            Named::Newest => n.sessions[n.sessions.len() - 1],
            Named::InTurn => n.sessions[n.notifications % n.sessions.len()],
        };
        let process = n.process;
        let is_open = |l: &SimulatedLink| l.node == node && l.process == Some(process);
        let own = self.links.get(&link).filter(|l| is_open(l)).map(|_| link);
        let any = || self.links.iter().find(|(_, l)| is_open(l)).map(|(link, _)| *link);
        if let Some(link) = own.or_else(any) {
            let text = format!(
                "ANNOUNCE rtsp://media/x RTSP/1.0|CSeq: 9|Session: {id:016x}|X-Outcome: local|X-Reading: 0.4"
            );
            self.scenario.node_message(link, &text);
        }
    }

    fn handle_effect(&mut self, line: &str) {
        let (at, rest) = line.split_once(' ').expect("a time");
        let at: f64 = at.parse().expect("a time");
        assert!(!rest.starts_with("FAULT"), "{line}");
        if rest.starts_with("viewer") && rest.contains("FINISH") {
            let tag = rest.split("\"tag\":\"").nth(1).and_then(|t| t.get(..16)).expect("a tag");
            self.finished.insert(u64::from_str_radix(tag, 16).expect("a tag"), at + 1000.0);
        }
        let Some(rest) = rest.strip_prefix("link ") else { return };
        let (link, action) = rest.split_once(' ').expect("an action");
        let link: u64 = link.parse().expect("a link");
        if let Some(address) = action.strip_prefix("dial 10.1.0.") {
            let number: usize = address.split(':').next().and_then(|n| n.parse().ok()).expect("an address");
            let timeout_at = self.now() + 0.25;
            self.links.insert(link, SimulatedLink { node: number - 1, process: None, timeout_at });
        } else if action.starts_with("hang up") {
            self.links.remove(&link);
        } else if let Some(message) = action.strip_prefix("< ") {
            self.receive(link, message);
        }
    }

    /// A node receives a message. On a connection to an earlier process, the message is answered with a reset.
    fn receive(&mut self, link: u64, message: &str) {
        let Some(l) = self.links.get(&link) else { return };
        let node = &mut self.nodes[l.node];
        if node.unreachable {
            return;
        }
        if l.process != Some(node.process) {
            self.links.remove(&link);
            self.arriving.push(Input::LinkDisconnected { link });
            return;
        }
        let Some(id) = session_of(message) else { return };
        if message.starts_with("SETUP") {
            node.sessions.push((id, link));
            self.scenario.accept_setup(link, id);
        } else if message.starts_with("TEARDOWN") {
            node.sessions.retain(|(session, _)| *session != id);
        }
    }

    fn publish_start(&mut self, node: usize, born: f64) {
        let event = json!({"seq": 2, "fleet": {"whole": false, "hosts": [host(node, born)]}});
        let change = changes::parse_event(&event.to_string()).expect("a good event");
        self.scenario.input_and_run(Input::Change(change));
    }

    /// Plays a loss, and returns when it began and which sessions the node ran then.
    fn play(&mut self, loss: Loss) -> (f64, Vec<u64>) {
        while self.nodes[LOST].next_notification - self.now() < NOTIFICATION_INTERVAL - STEP {
            self.step();
        }
        self.run_for(loss.moment);
        let lost_at = self.now();
        let sessions: Vec<u64> = self.nodes[LOST].sessions.iter().map(|(id, _)| *id).collect();
        assert_eq!(sessions.len(), SESSIONS);
        self.nodes[LOST].unreachable = true;
        self.run_for(loss.length);
        self.nodes[LOST].unreachable = false;
        if let Some(listed_after) = loss.restart_listed_after {
            self.nodes[LOST].process += 1;
            self.nodes[LOST].sessions.clear();
            let born = self.now();
            self.run_for(listed_after);
            self.publish_start(LOST, born);
        }
        self.run_for((lost_at + 20.0 - self.now()).max(0.0));
        (lost_at, sessions)
    }

    fn assert_ended_in_time(&self, lost_at: f64, sessions: &[u64], case: &str) {
        for id in sessions {
            let at =
                self.finished.get(id).unwrap_or_else(|| panic!("{case}: session {id} was never released"));
            assert!(at - lost_at <= END_LIMIT, "{case}: session {id} was released after {} s", at - lost_at);
        }
    }

    fn assert_others_stand(&self, sessions: &[u64], case: &str) {
        let others: Vec<u64> = self.finished.keys().copied().filter(|id| !sessions.contains(id)).collect();
        assert!(others.is_empty(), "{case}: sessions {others:?} ended though their nodes run them");
    }
}

/// Numbers from `first` to `last`, `step` apart.
fn steps(first: f64, last: f64, step: f64) -> impl Iterator<Item = f64> {
    let count = ((last - first) / step).round() as u32;
    (0..=count).map(move |k| first + f64::from(k) * step)
}

/// Guards against ending the sessions of a node that was only cut off and returns with them.
#[test]
fn sessions_of_a_node_that_was_only_cut_off_go_on() {
    for length in steps(0.25, 5.5, 0.25) {
        for moment in steps(0.0, 2.75, 0.25) {
            for named in [Named::Oldest, Named::Newest, Named::InTurn] {
                let loss = Loss { moment, length, restart_listed_after: None };
                let mut simulation = Simulation::with_sessions(named);
                let (_, sessions) = simulation.play(loss);
                simulation.assert_others_stand(&[], &format!("{loss:?}, {named:?}"));
                assert_eq!(simulation.nodes[LOST].sessions.len(), sessions.len(), "{loss:?}, {named:?}");
            }
        }
    }
}

/// Guards the limit from the other side: a node that stays out of reach loses its sessions in time, and runs none of them when it
/// returns.
#[test]
fn sessions_of_a_node_that_stays_out_of_reach_end_in_time_and_are_released_there() {
    for moment in steps(0.0, 2.95, 0.05) {
        let loss = Loss { moment, length: 12.0, restart_listed_after: None };
        let mut simulation = Simulation::with_sessions(Named::Oldest);
        let (lost_at, sessions) = simulation.play(loss);
        simulation.assert_ended_in_time(lost_at, &sessions, &format!("{loss:?}"));
        simulation.assert_others_stand(&sessions, &format!("{loss:?}"));
        assert!(simulation.nodes[LOST].sessions.is_empty(), "{loss:?}");
    }
}
