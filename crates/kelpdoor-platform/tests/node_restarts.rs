//! A session core with simulated nodes whose machines are cut off for some time, and return either with a new process or with the
//! old one. Moments, lengths and the order of events are stepped through.

mod common;

use std::collections::BTreeMap;

use common::{Scenario, finish, link_failure, start};
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
    /// No node sends notifications.
    notifications_missing: bool,
}

/// How a machine is lost and returns.
#[derive(Clone, Copy, Debug)]
struct Loss {
    /// s; after the last notification of the node.
    moment: f64,
    /// s
    length: f64,
    /// It returns with a new process; `None` means with the old one and its sessions. The change log reports the start this
    /// much later, in s; never if that is infinite.
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
        scenario.input_and_run(Input::ChangeLogFollowed(true));
        scenario.connect_viewer(1);
        let node = |k| SimulatedNode {
            next_notification: scenario.now + 1.0 + 0.7 * f64::from(k),
            ..SimulatedNode::default()
        };
        let nodes = (0..NODES as u32).map(node).collect();
        let (links, arriving, finished) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        let notifications_missing = false;
        Simulation { scenario, nodes, links, arriving, finished, named, notifications_missing }
    }

    /// A director with active sessions at each node.
    fn with_sessions(named: Named) -> Self {
        let mut simulation = Simulation::new(named);
        for id in 1..=(NODES * SESSIONS) as u64 {
            simulation.start_session(id, id as usize % NODES);
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
        if n.unreachable || n.sessions.is_empty() || self.notifications_missing {
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

    fn follow_change_log(&mut self, followed: bool) {
        self.scenario.input_and_run(Input::ChangeLogFollowed(followed));
    }

    /// Every connection to a node is reset; its process runs on.
    fn reset_links(&mut self, node: usize) {
        let links: Vec<u64> = self.links.iter().filter(|(_, l)| l.node == node).map(|(k, _)| *k).collect();
        for link in links {
            self.links.remove(&link);
            self.scenario.input_and_run(Input::LinkDisconnected { link });
        }
    }

    fn start_session(&mut self, id: u64, node: usize) {
        let extras = format!("home:{};copies:1;top:4", (node + 1) % NODES);
        self.scenario.send_line(1, &start(id, "lecture", &extras, "v=0"));
    }

    fn publish_start(&mut self, node: usize, born: f64) {
        let event = json!({"seq": 2, "fleet": {"whole": false, "hosts": [host(node, born)]}});
        let change = changes::parse_event(&event.to_string()).expect("a good event");
        self.scenario.input_and_run(Input::Change(change));
    }

    /// Waits until the node that will be lost has just sent a notification.
    fn wait_for_notification(&mut self) {
        while self.nodes[LOST].next_notification - self.now() < NOTIFICATION_INTERVAL - STEP {
            self.step();
        }
    }

    /// Plays a loss, and returns when it began and which sessions the node ran then.
    fn play(&mut self, loss: Loss) -> (f64, Vec<u64>) {
        self.wait_for_notification();
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
            if listed_after.is_finite() {
                self.run_for(listed_after);
                self.publish_start(LOST, born);
            }
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

/// Guards against sessions that are never released, as a connection to the new process was taken for life of the old one.
#[test]
fn sessions_of_a_node_that_restarted_out_of_sight_end_in_time() {
    for length in steps(0.75, 5.0, 0.25) {
        for moment in steps(0.0, 2.75, 0.25) {
            for listed_after in [0.0, 0.5, 1.0, 2.4] {
                let named = [Named::Oldest, Named::Newest, Named::InTurn][(moment * 4.0) as usize % 3];
                let loss = Loss { moment, length, restart_listed_after: Some(listed_after) };
                let mut simulation = Simulation::with_sessions(named);
                let (lost_at, sessions) = simulation.play(loss);
                simulation.assert_ended_in_time(lost_at, &sessions, &format!("{loss:?}"));
                simulation.assert_others_stand(&sessions, &format!("{loss:?}"));
            }
        }
    }
}

/// Guards against the same without the change log: what a node sends no more tells of its restart then.
#[test]
fn sessions_end_in_time_after_a_restart_that_no_change_log_reports() {
    for length in steps(0.75, 6.0, 0.25) {
        for moment in steps(0.0, 2.75, 0.25) {
            let loss = Loss { moment, length, restart_listed_after: Some(f64::INFINITY) };
            let mut simulation = Simulation::with_sessions(Named::InTurn);
            simulation.follow_change_log(false);
            let (lost_at, sessions) = simulation.play(loss);
            simulation.assert_ended_in_time(lost_at, &sessions, &format!("{loss:?}"));
            simulation.assert_others_stand(&sessions, &format!("{loss:?}"));
        }
    }
}

/// Guards against sessions that are never released, though the change log is followed, as it never reports the start.
#[test]
fn sessions_of_a_node_that_was_out_of_reach_and_never_confirms_them_end() {
    for length in steps(2.0, 6.0, 0.25) {
        for moment in steps(0.0, 2.75, 0.25) {
            let loss = Loss { moment, length, restart_listed_after: Some(f64::INFINITY) };
            let mut simulation = Simulation::with_sessions(Named::InTurn);
            let (_, sessions) = simulation.play(loss);
            let ended: Vec<u64> = simulation.finished.keys().copied().collect();
            assert_eq!(ended, sessions, "{loss:?}");
        }
    }
}

/// Guards against SETUPs and releases that are lost on a connection to the earlier process.
#[test]
fn messages_for_the_new_process_do_not_use_a_connection_to_the_earlier_one() {
    for moment in steps(0.0, 1.5, 0.1) {
        let mut simulation = Simulation::with_sessions(Named::Newest);
        simulation.wait_for_notification();
        simulation.run_for(moment);
        // It restarts in an instant and out of sight, and earlier connections stay open.
        simulation.nodes[LOST].process += 1;
        simulation.nodes[LOST].sessions.clear();
        // Silence leads to a new connection, and is not long enough yet to eject the node.
        simulation.run_for(1.8);
        simulation.start_session(100, LOST);
        simulation.run_for(0.2);
        assert_eq!(simulation.nodes[LOST].sessions.len(), 1, "{moment}");
        simulation.scenario.send_line(1, &finish(100, 16));
        simulation.run_for(0.2);
        assert!(simulation.nodes[LOST].sessions.is_empty(), "{moment}");
    }
}

/// Guards against ending every session while notifications are late or missing at all nodes.
#[test]
fn missing_notifications_of_all_nodes_end_no_session() {
    for followed in [true, false] {
        for length in [0.25, 1.0, 3.0, 5.0] {
            let mut simulation = Simulation::with_sessions(Named::Oldest);
            simulation.notifications_missing = true;
            simulation.run_for(10.0);
            simulation.follow_change_log(followed);
            simulation.play(Loss { moment: 0.0, length, restart_listed_after: None });
            simulation.assert_others_stand(&[], &format!("{followed} {length}"));
        }
    }
}

/// Guards against links that pile up at silent nodes: one for the sessions and one that shows whether the node can be reached.
#[test]
fn silent_nodes_hold_two_links_each() {
    let mut simulation = Simulation::with_sessions(Named::Oldest);
    simulation.notifications_missing = true;
    simulation.run_for(5.0);
    let mut samples = Vec::new();
    for _ in 0..200 {
        simulation.step();
        samples.push(simulation.scenario.core.counts().links);
    }
    // One more stands for a moment when the next opens.
    let mean = samples.iter().sum::<usize>() as f64 / samples.len() as f64;
    assert!(mean <= 2.25 * NODES as f64, "{mean}: {samples:?}");
}

/// Guards against taking a lost connection for a lost process, whichever sessions the node names later.
#[test]
fn sessions_go_on_after_connections_are_reset() {
    for named in [Named::Oldest, Named::Newest, Named::InTurn] {
        for moment in steps(0.0, 3.0, 0.25) {
            let mut simulation = Simulation::with_sessions(named);
            simulation.run_for(moment);
            simulation.reset_links(LOST);
            simulation.run_for(1.0);
            simulation.start_session(100, LOST);
            simulation.run_for(40.0);
            simulation.assert_others_stand(&[], &format!("{named:?} {moment}"));
            assert_eq!(simulation.nodes[LOST].sessions.len(), SESSIONS + 1);
        }
    }
}

/// Guards against ending what the new process runs: news of a start concerns earlier sessions alone, however late and often it
/// comes.
#[test]
fn late_and_repeated_news_of_a_restart_spares_the_sessions_of_the_new_process() {
    for listed_after in [1.0, 3.0, 6.0] {
        let mut simulation = Simulation::with_sessions(Named::Newest);
        simulation.nodes[LOST].process += 1;
        simulation.nodes[LOST].sessions.clear();
        let born = simulation.now();
        simulation.reset_links(LOST);
        simulation.run_for(0.8);
        simulation.start_session(100, LOST);
        simulation.run_for(listed_after);
        assert_eq!(simulation.nodes[LOST].sessions.len(), 1, "the new process runs a session");
        (0..2).for_each(|_| simulation.publish_start(LOST, born));
        simulation.run_for(15.0);
        let ended: Vec<u64> = simulation.finished.keys().copied().collect();
        assert_eq!(ended, [4, 8, 12], "listed after {listed_after} s");
    }
}

/// Guards against waiting for a connection: the news alone ends the sessions of a node that cannot be reached.
#[test]
fn news_of_a_restart_ends_sessions_before_the_node_is_reached_again() {
    let mut simulation = Simulation::with_sessions(Named::Oldest);
    simulation.nodes[LOST].unreachable = true;
    simulation.run_for(2.0);
    let born = simulation.now() - 0.5;
    simulation.publish_start(LOST, born);
    simulation.run_for(0.2);
    assert_eq!(simulation.finished.keys().copied().collect::<Vec<_>>(), [4, 8, 12]);
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
