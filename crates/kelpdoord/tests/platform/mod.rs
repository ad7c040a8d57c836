//! A harness for the program on its platform, on real connections: the test controls media nodes, a change log and viewers.
//! To control the order of what the program finds in its sockets, the harness stops the process, writes to the sockets and
//! continues the process. No result depends on a sleep; every wait is for a condition and has a timeout.

#![allow(dead_code, reason = "not every test file uses all of it")]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kelpdoor_rtsp::{Headers, Message, Method, Request, Response, Version, parse_as};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};

/// Timeout of every wait; the test fails after it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Nodes answer sessions with this id or a higher one automatically. The ids of barriers start at twice this value.
pub const AUTO_ANSWERED: u64 = 1 << 40;

/// What happened on a connection to a node.
#[derive(Debug)]
pub enum NodeEventKind {
    Connected,
    Received(Message),
    Closed,
}

#[derive(Debug)]
pub struct NodeEvent {
    pub at: Instant,
    pub node: usize,
    pub conn: usize,
    pub kind: NodeEventKind,
}

/// A SETUP that reached a node.
#[derive(Clone, Debug)]
pub struct Setup {
    pub node: usize,
    pub conn: usize,
    pub id: u64,
    pub at: Instant,
}

struct Node {
    address: SocketAddr,
    /// Accepted connections; `None` once the test has closed one.
    conns: Arc<Mutex<Vec<Option<TcpStream>>>>,
    /// Set while the node is unreachable.
    blocked: Option<BlockedListener>,
}

/// How slowly a change log answers a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pacing {
    /// From the request to the headers of the answer.
    pub headers: Duration,
    /// From the headers to the first byte of the stream.
    pub first_byte: Duration,
    /// Before each piece of headers and stream.
    pub gap: Duration,
    /// Bytes of such a piece.
    pub piece: usize,
}

impl Pacing {
    /// Writes at this pace; returns whether the connection is still open.
    fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> bool {
        if self.gap.is_zero() {
            return stream.write_all(bytes).is_ok();
        }
        bytes.chunks(self.piece).all(|piece| {
            std::thread::sleep(self.gap);
            stream.write_all(piece).is_ok()
        })
    }
}

#[derive(Default)]
struct ChangeLogState {
    pacing: Pacing,
    /// Number of requests, counted from the first, that are never answered.
    ignored_requests: usize,
    events: Vec<String>,
    /// The last event id in each request so far.
    requests: Vec<u64>,
    /// Number of connections on which a request arrived and that neither side has closed.
    open_connections: usize,
    max_open_connections: usize,
    /// Number of streams, counted from the first, that send nothing more.
    silent_streams: usize,
    /// Every stream is closed.
    down: bool,
    /// Number of streams, counted from the first, that send `final_bytes` and are closed.
    ended_streams: usize,
    final_bytes: Vec<u8>,
}

/// A server of the change log, as an event stream over HTTP.
#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    state: Arc<(Mutex<ChangeLogState>, Condvar)>,
    /// Set while it accepts no connection.
    blocked: Arc<Mutex<Option<BlockedListener>>>,
}

impl ChangeLog {
    pub fn new() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let change_log = ChangeLog {
            address: listener.local_addr().expect("bound"),
            state: Arc::default(),
            blocked: Arc::default(),
        };
        change_log.accept_connections(listener);
        change_log
    }

    /// A change log that accepts no connection before [`unblock`](Self::unblock).
    pub fn blocked() -> Self {
        let (listener, waiting) = start_blocked_listener();
        ChangeLog {
            address: listener.local_addr().expect("bound"),
            state: Arc::default(),
            blocked: Arc::new(Mutex::new(Some((listener, waiting)))),
        }
    }

    pub fn unblock(&self) {
        let (listener, waiting) = lock(&self.blocked).take().expect("it was blocked");
        drop(waiting);
        self.accept_connections(listener);
    }

    fn accept_connections(&self, listener: TcpListener) {
        let server = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve_stream(stream));
            }
        });
    }

    /// Answers requests that arrive from now on at this pace.
    pub fn set_pacing(&self, pacing: Pacing) {
        self.update(|s| s.pacing = pacing);
    }

    /// Never answers the first `count` requests.
    pub fn ignore_requests(&self, count: usize) {
        self.update(|s| s.ignored_requests = count);
    }

    /// Requests so far, and the most connections with one that were open at a time.
    pub fn request_counts(&self) -> (usize, usize) {
        let state = lock(&self.state.0);
        (state.requests.len(), state.max_open_connections)
    }

    fn update(&self, f: impl FnOnce(&mut ChangeLogState)) {
        f(&mut lock(&self.state.0));
        self.state.1.notify_all();
    }

    fn serve_stream(&self, stream: TcpStream) {
        let closing = stream.try_clone();
        if let Some(last_event_id) = Self::read_request(&stream) {
            let mut number = 0;
            self.update(|s| {
                s.requests.push(last_event_id);
                number = s.requests.len();
                s.open_connections += 1;
                s.max_open_connections = s.max_open_connections.max(s.open_connections);
            });
            self.answer(stream, number, last_event_id);
            self.update(|s| s.open_connections -= 1);
        }
        let _ = closing.map(|stream| stream.shutdown(Shutdown::Both));
    }

    /// Reads a request and returns its last event id.
    fn read_request(stream: &TcpStream) -> Option<u64> {
        let mut head = String::new();
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        head.lines().find_map(|l| l.to_ascii_lowercase().strip_prefix("last-event-id:")?.trim().parse().ok())
    }

    /// Waits for `time`, or until the peer closes the connection; returns whether it is still open.
    fn wait_while_open(stream: &TcpStream, time: Duration) -> bool {
        if time.is_zero() {
            return true;
        }
        let _ = stream.set_read_timeout(Some(time));
        let closed = matches!((&mut &*stream).read(&mut [0]), Ok(0));
        !closed
    }

    /// Answers the `number`th request with the events after `from`, until the connection or its turn ends.
    fn answer(&self, mut stream: TcpStream, number: usize, mut from: u64) -> Option<()> {
        let (pacing, is_ignored) = {
            let s = lock(&self.state.0);
            (s.pacing, number <= s.ignored_requests)
        };
        if is_ignored {
            while Self::wait_while_open(&stream, WAIT_TIMEOUT) {}
            return None;
        }
        if !Self::wait_while_open(&stream, pacing.headers) {
            return None;
        }
        let headers = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
        let is_open = pacing.write(&mut stream, headers) && Self::wait_while_open(&stream, pacing.first_byte);
        if !is_open {
            return None;
        }
        loop {
            let mut text = Vec::new();
            {
                let s = lock(&self.state.0);
                if s.down {
                    return None;
                }
                if number <= s.ended_streams {
                    text.extend_from_slice(&s.final_bytes);
                    let _ = stream.write_all(&text);
                    return None;
                }
                if number > s.silent_streams {
                    for (n, event) in (1u64..).zip(&s.events).filter(|(n, _)| *n > from) {
                        text.extend_from_slice(format!("id: {n}\ndata: {event}\n\n").as_bytes());
                    }
                    from = from.max(s.events.len() as u64);
                    text.extend_from_slice(b": still here\n");
                }
            }
            if !pacing.write(&mut stream, &text) {
                return None;
            }
            let s = lock(&self.state.0);
            let _ = self.state.1.wait_timeout(s, Duration::from_millis(300));
        }
    }

    /// Publishes an event with entries of hosts; see [`host_entry`].
    pub fn publish(&self, hosts: &[Value]) {
        self.update(|s| {
            let n = s.events.len() + 1;
            s.events.push(json!({"seq": n, "fleet": {"seq": n, "whole": false, "hosts": hosts}}).to_string());
        });
    }

    /// Keeps the open streams open and sends nothing more on them.
    pub fn silence(&self) {
        self.update(|s| s.silent_streams = s.requests.len());
    }

    pub fn set_down(&self, down: bool) {
        self.update(|s| s.down = down);
    }

    /// Sends these bytes on every open stream and closes it.
    pub fn end_streams_with(&self, bytes: &[u8]) {
        self.update(|s| {
            s.ended_streams = s.requests.len();
            s.final_bytes = bytes.to_vec();
        });
    }

    /// Waits until that many streams were opened, and returns the last event id in the request of each.
    pub fn wait_for_requests(&self, count: usize) -> Vec<u64> {
        let (state, changed) = &*self.state;
        let s = lock(state);
        let (s, _) = changed
            .wait_timeout_while(s, WAIT_TIMEOUT, |s| s.requests.len() < count)
            .unwrap_or_else(PoisonError::into_inner);
        assert!(s.requests.len() >= count, "the change log had {} requests, not {count}", s.requests.len());
        s.requests.clone()
    }
}

/// One director with its nodes.
pub struct Harness {
    nodes: Vec<Node>,
    events: Receiver<NodeEvent>,
    event_sender: Sender<NodeEvent>,
    /// SETUPs that reached nodes.
    pub setups: Vec<Setup>,
    /// SETUPs that no test has taken with [`next_setup`](Self::next_setup) yet.
    new_setups: Vec<Setup>,
    /// TEARDOWNs that no test has taken with [`next_teardown`](Self::next_teardown) yet.
    new_teardowns: Vec<(usize, u64)>,
    barriers: u64,
    /// TEARDOWNs that reached nodes, for active sessions and pending set-ups, as pairs of node and session.
    pub teardowns: Vec<(usize, u64)>,
    pub change_log: ChangeLog,
    child: Child,
    pub port: u16,
    log: Arc<Mutex<String>>,
    file: PathBuf,
    config: Value,
}

/// Default settings of the director, for tests to modify.
pub fn settings(nodes: usize) -> Value {
    let class = |name: &str, repeat: &str, window: f64| {
        json!({"credit": 1.0, "name": name, "promiseMs": 1500.0, "deadlineMs": 4000.0, "repeat": repeat, "keyScope": "all",
            "repeatWindowMs": window})
    };
    json!({
        "allowed": {"connIdleMs": 30000.0, "connectTimeoutMs": 3000.0, "maxRetryAfterMs": 700.0, "mayCancel": true,
            "retryAfter": true, "sendCap": 4},
        "feedback": {"fields": ["inflight", "x0"], "how": "piggyback"},
        "kinds": ["box"], "me": 0, "siblings": 1, "zone": 0, "zones": ["one"],
        "profiles": [class("open", "safe", 0.0), class("once", "unsafe", 0.0), class("soon", "keyed", 400.0)],
        // The warm-up limits are lax, as a director that just started takes its nodes for cold.
        "rules": {"coldFrom": 0.9, "drainGraceMs": 300.0, "fallMs": 0.0, "tipMultiple": 4.0, "warmWithinMs": 1000.0},
        "specifics": {"cells": nodes, "highestRung": [4, 4, 4], "levelWorth": [0.2, 0.42, 0.62, 0.82, 1.0],
            "linkUnitKb": 1_908_000.0, "lowestRung": [0, 0, 0], "placesByKind": [2000.0], "rackKb": 20_000_000.0, "racks": 1,
            "ratesKb": [120.0, 221.0, 405.0, 744.0, 1365.0], "scaleByClass": [1.0, 1.0, 1.0], "seenAfterMs": 300.0,
            "switchCostS": 0.8, "toldEveryMs": 0.0},
    })
}

/// Returns the change log's entry of a host.
pub fn host_entry(n: usize, address: SocketAddr, health: &str) -> Value {
    json!({"host": format!("s-{n}"), "dial": address.to_string(), "site": "one", "class": "box", "block": n, "health": health,
        "share": 1, "born_ms": 0})
}

/// Returns the program to test: this build's, or the one in `KELPDOORD`, to check that a test fails with another build.
fn program() -> String {
    std::env::var("KELPDOORD").unwrap_or_else(|_| env!("CARGO_BIN_EXE_kelpdoord").to_owned())
}

impl Harness {
    pub fn new(nodes: usize) -> Self {
        Self::with(nodes, 256, |_| {})
    }

    /// Starts a director with that many nodes and descriptors, and with modified settings.
    pub fn with(nodes: usize, sockets: u64, change: impl FnOnce(&mut Value)) -> Self {
        let mut settings = settings(nodes);
        change(&mut settings);
        Self::start(nodes, sockets, &[], &settings, ChangeLog::new())
    }

    /// Starts a director that cannot connect to the `blocked` nodes before [`unblock`](Self::unblock).
    pub fn with_blocked_nodes(nodes: usize, blocked: &[usize]) -> Self {
        Self::start(nodes, 256, blocked, &settings(nodes), ChangeLog::new())
    }

    pub fn start(
        nodes: usize, sockets: u64, blocked: &[usize], settings: &Value, change_log: ChangeLog,
    ) -> Self {
        let (event_sender, events) = channel();
        let mut all = Vec::new();
        for n in 0..nodes {
            if blocked.contains(&n) {
                all.push(start_blocked_node());
                continue;
            }
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
            let node =
                Node { address: listener.local_addr().expect("bound"), conns: Arc::default(), blocked: None };
            accept_connections(n, listener, node.conns.clone(), event_sender.clone());
            all.push(node);
        }
        let hosts: Vec<Value> =
            all.iter().enumerate().map(|(n, node)| host_entry(n, node.address, "up")).collect();
        change_log.publish(&hosts);
        let first: Value = serde_json::from_str(&lock(&change_log.state.0).events[0]).expect("JSON");
        let mut config = json!({"name": "n0", "seed": "7", "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}, "changelog": change_log.address.to_string(),
            "known": {"seq": 1, "results": [first]}});
        let (port, file, (child, log)) = start_at_free_port(&mut config);
        Harness {
            nodes: all,
            events,
            event_sender,
            setups: Vec::new(),
            new_setups: Vec::new(),
            new_teardowns: Vec::new(),
            barriers: 0,
            teardowns: Vec::new(),
            change_log,
            child,
            port,
            log,
            file,
            config,
        }
    }

    /// Kills the process and starts it again with the same configuration.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        (self.child, self.log) =
            spawn_daemon(&self.file).unwrap_or_else(|log| panic!("it does not start: {log}"));
    }

    pub fn log(&self) -> String {
        lock(&self.log).clone()
    }

    /// Waits until the log contains a text.
    pub fn wait_for_log(&self, text: &str) {
        let start = Instant::now();
        while !self.log().contains(text) {
            assert!(start.elapsed() < WAIT_TIMEOUT, "no {text:?} in the log\n{}", self.log());
            Self::elapse(10);
        }
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(i32::try_from(self.child.id()).expect("a process id"))
    }

    pub fn signal(&self, signal: Signal) {
        kill(self.pid(), signal).expect("the process exists");
    }

    /// Calls `f` while the process is stopped, so that the process finds all its effects at once.
    pub fn while_stopped<R>(&mut self, f: impl FnOnce(&mut Self) -> R) -> R {
        self.signal(Signal::SIGSTOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        let start = Instant::now();
        loop {
            let text = std::fs::read_to_string(&stat).expect("the process exists");
            if text.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T')) {
                break;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the process does not stop");
            std::thread::yield_now();
        }
        let r = f(self);
        self.signal(Signal::SIGCONT);
        r
    }

    /// Waits until that much time has passed, for the protocol's timeouts.
    pub fn elapse(ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < until {
            std::thread::park_timeout(until - Instant::now());
        }
    }

    pub fn viewer(&self) -> Viewer {
        Viewer::new(self.port)
    }

    pub fn address(&self, node: usize) -> SocketAddr {
        self.nodes[node].address
    }

    /// Configures another change log; the process reads it at SIGHUP. The old one keeps running.
    pub fn move_change_log(&mut self, to: &ChangeLog) {
        self.config["changelog"] = json!(to.address.to_string());
        std::fs::write(&self.file, self.config.to_string()).expect("written");
    }

    /// Records a SETUP or a TEARDOWN.
    fn record(&mut self, event: &NodeEvent) {
        let NodeEventKind::Received(Message::Request(r)) = &event.kind else { return };
        let Some(id) = session_id(&r.headers) else { return };
        match r.method {
            Method::Setup => {
                let setup = Setup { node: event.node, conn: event.conn, id, at: event.at };
                self.setups.push(setup.clone());
                self.new_setups.push(setup);
            }
            Method::Teardown => {
                self.teardowns.push((event.node, id));
                self.new_teardowns.push((event.node, id));
            }
            _ => {}
        }
    }

    /// Waits for an event that `matches` accepts; `expected` names it in the panic message.
    pub fn wait_for(&mut self, expected: &str, mut matches: impl FnMut(&NodeEvent) -> bool) -> NodeEvent {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let event = self
                .events
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("{expected}: not seen\n{}", self.log()));
            self.record(&event);
            if matches(&event) {
                return event;
            }
        }
    }

    /// Waits for the next SETUP of a session.
    pub fn next_setup(&mut self, id: u64) -> Setup {
        loop {
            if let Some(index) = self.new_setups.iter().position(|s| s.id == id) {
                return self.new_setups.remove(index);
            }
            self.wait_for(&format!("a SETUP of {id}"), |event| {
                matches!(event.kind, NodeEventKind::Received(_))
            });
        }
    }

    /// Waits for the next TEARDOWN of a session and returns its node.
    pub fn next_teardown(&mut self, id: u64) -> usize {
        loop {
            if let Some(index) = self.new_teardowns.iter().position(|t| t.1 == id) {
                return self.new_teardowns.remove(index).0;
            }
            self.wait_for(&format!("a TEARDOWN of {id}"), |event| {
                matches!(event.kind, NodeEventKind::Received(_))
            });
        }
    }

    pub fn setup_count(&self, id: u64) -> usize {
        self.setups.iter().filter(|s| s.id == id).count()
    }

    /// Writes bytes on a node's connection, if it is still open.
    pub fn write(&self, node: usize, conn: usize, bytes: &[u8]) {
        if let Some(Some(stream)) = lock(&self.nodes[node].conns).get_mut(conn) {
            let _ = stream.write_all(bytes);
        }
    }

    /// A node's connection, to write to it beside the harness.
    pub fn node_stream(&self, node: usize, conn: usize) -> TcpStream {
        let conns = lock(&self.nodes[node].conns);
        conns[conn].as_ref().expect("the connection is open").try_clone().expect("the same")
    }

    /// Answers a SETUP with status 200.
    pub fn accept_setup(&self, setup: &Setup) {
        self.write(setup.node, setup.conn, &setup_response(setup.id, 200));
    }

    pub fn refuse_setup(&self, setup: &Setup, status: u16) {
        self.write(setup.node, setup.conn, &setup_response(setup.id, status));
    }

    /// Reports a session's regular end from its node.
    pub fn end_session(&self, setup: &Setup) {
        self.write(setup.node, setup.conn, &release_request(setup.id, 16));
    }

    /// Sends a notification about a session from its node.
    pub fn notify(&self, setup: &Setup) {
        let request =
            Request::new(Method::Announce, "rtsp://media/load", 9).with("Session", format_tag(setup.id));
        self.write(
            setup.node,
            setup.conn,
            &encode(request.with("X-Outcome", "local").with("X-Reading", "0.4")),
        );
    }

    /// Closes a node's connection, with a reset or in an orderly way.
    pub fn close(&self, node: usize, conn: usize, reset: bool) {
        if let Some(stream) = lock(&self.nodes[node].conns)[conn].take() {
            if reset {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                let _ = SockRef::from(&stream).shutdown(Shutdown::Read);
            }
            if !reset {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Lets a blocked node accept connections, including those that the director already tries to open.
    pub fn unblock(&mut self, node: usize) {
        let (listener, waiting) = self.nodes[node].blocked.take().expect("the node was blocked");
        for _ in 0..waiting.len() {
            drop(listener.accept());
        }
        drop(waiting);
        accept_connections(node, listener, self.nodes[node].conns.clone(), self.event_sender.clone());
    }

    /// Returns the change log's entry of a node, with the given health.
    pub fn host_entry(&self, node: usize, health: &str) -> Value {
        host_entry(node, self.nodes[node].address, health)
    }

    /// Adds a node that takes over another's address, and returns its number.
    pub fn replace_node(&mut self, old: usize) -> usize {
        let (conns, blocked) = (Arc::default(), self.nodes[old].blocked.take());
        self.nodes.push(Node { address: self.nodes[old].address, conns, blocked });
        self.nodes.len() - 1
    }

    /// Records what has reached the nodes so far.
    pub fn record_pending_events(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            self.record(&event);
        }
    }

    /// Runs a complete regular session as a barrier: the effects of everything before it have happened by its end. Its node
    /// answers automatically; the session is requested again while the director refuses it.
    pub fn barrier(&mut self) {
        let mut viewer = self.viewer();
        for _ in 0..200 {
            self.barriers += 1;
            let id = 2 * AUTO_ANSWERED + self.barriers;
            viewer.start_anywhere(id, "open", self.nodes.len());
            let v = viewer.next_message(id).expect("an answer");
            if v["verb"] == "STARTED" {
                break;
            }
            assert_eq!(v["rc"], 42, "{v}");
            Self::elapse(50);
        }
        while let Ok(event) = self.events.recv_timeout(Duration::from_millis(30)) {
            self.record(&event);
        }
    }

    /// Waits for the process to exit.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the process does not exit\n{}", self.log());
            std::thread::park_timeout(Duration::from_millis(2));
        }
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    /// Peak resident memory of the process in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        peak.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts the program at a port that is free. Another process or test may take the port before the program does: then
/// another one is chosen. Returns the port and the configuration file too.
fn start_at_free_port(config: &mut Value) -> (u16, PathBuf, (Child, Arc<Mutex<String>>)) {
    const MAX_TRIES: usize = 5;
    for _ in 0..MAX_TRIES {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr());
        let port = listener.expect("a port").port();
        config["listen"] = json!(format!("127.0.0.1:{port}"));
        let file = std::env::temp_dir().join(format!("kelpdoord-{}-{port}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("the file is written");
        match spawn_daemon(&file) {
            Ok(running) => return (port, file, running),
            Err(log) => assert!(log.contains("Address already in use"), "it does not start: {log}"),
        }
        let _ = std::fs::remove_file(&file);
    }
    panic!("{MAX_TRIES} ports in a row were taken before the program bound them");
}

/// Starts the program and waits until it logs that it started. Returns the process and its log so far, or the whole log if
/// it does not start.
fn spawn_daemon(file: &PathBuf) -> Result<(Child, Arc<Mutex<String>>), String> {
    let mut child = Command::new(program())
        .args(["platform", "--log-filter", "debug"])
        .env("PROXY_CONFIG", file)
        .env_remove("PROXY_LISTEN")
        .env_remove("PROXY_NAME")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let log = Arc::new(Mutex::new(String::new()));
    let (shared_log, stderr) = (log.clone(), child.stderr.take().expect("piped"));
    let (sender, started) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            if line.contains("started") {
                let _ = sender.send(());
            }
            let mut log = lock(&shared_log);
            log.push_str(&line);
            log.push('\n');
        }
    });
    if started.recv_timeout(WAIT_TIMEOUT).is_err() {
        let _ = child.kill();
        let _ = child.wait();
        return Err(lock(&log).clone());
    }
    Ok((child, log))
}

/// Starts a node whose listen backlog is full: the kernel drops connection requests and retransmits them later.
fn start_blocked_node() -> Node {
    let blocked = start_blocked_listener();
    let address = blocked.0.local_addr().expect("bound");
    Node { address, conns: Arc::default(), blocked: Some(blocked) }
}

/// A listener with a full backlog that nobody accepts from, and the connections that fill it.
type BlockedListener = (TcpListener, Vec<TcpStream>);

fn start_blocked_listener() -> BlockedListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    socket.listen(0).expect("listens");
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().expect("bound");
    let mut waiting = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(60)) {
        waiting.push(stream);
        assert!(waiting.len() < 8, "the backlog never fills up");
    }
    (listener, waiting)
}

fn accept_connections(
    node: usize, listener: TcpListener, conns: Arc<Mutex<Vec<Option<TcpStream>>>>, events: Sender<NodeEvent>,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(reader) = stream.try_clone() else { return };
            let conn = {
                let mut conns = lock(&conns);
                conns.push(Some(stream));
                conns.len() - 1
            };
            let events = events.clone();
            std::thread::spawn(move || read_connection(node, conn, reader, &events));
        }
    });
}

fn read_connection(node: usize, conn: usize, mut stream: TcpStream, events: &Sender<NodeEvent>) {
    let _ = events.send(NodeEvent { at: Instant::now(), node, conn, kind: NodeEventKind::Connected });
    let (mut buf, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(n) = stream.read(&mut chunk) {
        if n == 0 {
            break;
        }
        buf.extend_from_slice(&chunk[..n]);
        while let Ok(Some((message, len))) = parse_as(Version::V1, &buf) {
            buf.drain(..len);
            if let Message::Request(r) = &message
                && r.method == Method::Setup
                && let Some(id) = session_id(&r.headers).filter(|id| *id >= AUTO_ANSWERED)
            {
                let _ = stream.write_all(&setup_response(id, 200));
            }
            let _ = events.send(NodeEvent {
                at: Instant::now(),
                node,
                conn,
                kind: NodeEventKind::Received(message),
            });
        }
    }
    drop(stream);
    let _ = events.send(NodeEvent { at: Instant::now(), node, conn, kind: NodeEventKind::Closed });
}

fn session_id(headers: &Headers) -> Option<u64> {
    u64::from_str_radix(headers.get("Session")?, 16).ok()
}

/// Returns the platform's tag of a session.
pub fn format_tag(id: u64) -> String {
    format!("{id:016x}")
}

fn encode(message: impl Into<Message>) -> Vec<u8> {
    let mut out = Vec::new();
    message.into().write_as(Version::V1, &mut out);
    out
}

/// Returns a node's TEARDOWN that reports a session's end.
pub fn release_request(id: u64, cause: u32) -> Vec<u8> {
    let request = Request::new(Method::Teardown, "rtsp://media/over", 2);
    encode(request.with("Session", format_tag(id)).with("Reason", format!("cause={cause}")))
}

/// Returns a node's response to a SETUP.
pub fn setup_response(id: u64, status: u16) -> Vec<u8> {
    let mut response = Response::new(status, 1).with("Session", format_tag(id));
    if status == 200 {
        response.body = format!("answer {id}").into_bytes();
    }
    encode(response)
}

pub fn start_line(id: u64, class: &str, left: u64) -> String {
    start_line_with_blob(id, class, left, "v=0")
}

pub fn start_line_with_blob(id: u64, class: &str, left: u64, blob: &str) -> String {
    json!({"verb": "START", "tag": format_tag(id), "blob": blob, "opts": {"class": class, "left": left.to_string(), "key": "7f3a9c21e0b4d655",
        "extras": "home:0;copies:1000;top:4"}})
    .to_string()
    .replace("copies:1000", "copies:1")
        + "\n"
}

pub fn finish_line(id: u64) -> String {
    json!({"verb": "FINISH", "tag": format_tag(id), "opts": {}, "rc": 16}).to_string() + "\n"
}

/// A connection of a viewer.
pub struct Viewer {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// Received messages that no test has taken yet, by session.
    unread: BTreeMap<u64, Vec<Value>>,
    pub cells: usize,
}

/// How a viewer leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    Close,
    Reset,
    HalfClose,
    Finish,
}

impl Departure {
    pub const ALL: [Departure; 4] =
        [Departure::Close, Departure::Reset, Departure::HalfClose, Departure::Finish];
}

impl Viewer {
    pub fn new(port: u16) -> Self {
        Self::from_stream(TcpStream::connect((Ipv4Addr::LOCALHOST, port)).expect("a connection"))
    }

    pub fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream.set_nodelay(true).expect("set");
        let reader = BufReader::new(stream.try_clone().expect("the same"));
        Viewer { stream, reader, unread: BTreeMap::new(), cells: 1 }
    }

    /// Connects with a small receive buffer, so that little arrives before the viewer reads.
    pub fn with_small_buffer(port: u16) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(1024).expect("set");
        socket.connect(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into()).expect("a connection");
        Self::from_stream(socket.into())
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the connection is open");
    }

    /// Sends text on a connection that the peer may have closed; returns whether it succeeded.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    pub fn start(&mut self, id: u64, class: &str) {
        self.send(&start_line(id, class, 4000));
    }

    /// Starts a session whose title is on all of `nodes` nodes.
    pub fn start_anywhere(&mut self, id: u64, class: &str, nodes: usize) {
        self.send(&start_line(id, class, 4000).replace("copies:1", &format!("copies:{nodes}")));
    }

    /// Sends two ECHO requests and reads their responses. A round writes the response to an ECHO before its other decisions,
    /// so by the second response, everything that was decided before the first ECHO was read has been carried out.
    pub fn echo(&mut self) {
        for _ in 0..2 {
            self.send("{\"verb\":\"ECHO\",\"tag\":\"00000000000000aa\",\"opts\":{},\"rc\":0}\n");
            assert_eq!(self.next_message(0xaa).map(|v| v["verb"].clone()), Some(json!("ECHOED")));
        }
    }

    fn read_message(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(serde_json::from_str(&line).expect("JSON")),
        }
    }

    /// Returns the next message about a session; `None` if the connection ends without one.
    pub fn next_message(&mut self, id: u64) -> Option<Value> {
        loop {
            if let Some(messages) = self.unread.get_mut(&id).filter(|m| !m.is_empty()) {
                return Some(messages.remove(0));
            }
            let v = self.read_message()?;
            let session = u64::from_str_radix(v["tag"].as_str().unwrap_or(""), 16).unwrap_or(0);
            self.unread.entry(session).or_default().push(v);
        }
    }

    /// Asserts that the next message about a session is its start.
    pub fn expect_started(&mut self, id: u64) {
        let v = self.next_message(id).unwrap_or_else(|| panic!("{id} was not answered"));
        assert_eq!(
            (v["verb"].as_str(), v["blob"].as_str()),
            (Some("STARTED"), Some(&*format!("answer {id}"))),
            "{v}"
        );
    }

    /// Asserts that the next message about a session is its refusal, failure or end, and returns the cause.
    pub fn expect_finish(&mut self, id: u64) -> u64 {
        let v = self.next_message(id).unwrap_or_else(|| panic!("{id} was not answered"));
        assert_eq!(v["verb"], "FINISH", "{v}");
        v["rc"].as_u64().unwrap_or(0)
    }

    /// Waits for the next message; returns whether the director closed the connection instead.
    pub fn is_closed(&mut self) -> bool {
        self.read_message().is_none()
    }

    /// Leaves in the given way. Returns the viewer if its connection stays open.
    pub fn leave(self, departure: Departure, id: u64) -> Option<Viewer> {
        let mut viewer = self;
        match departure {
            Departure::Close => None,
            Departure::Reset => {
                SockRef::from(&viewer.stream).set_linger(Some(Duration::ZERO)).expect("set");
                None
            }
            Departure::HalfClose => {
                viewer.stream.shutdown(Shutdown::Write).expect("open");
                Some(viewer)
            }
            Departure::Finish => {
                viewer.send(&finish_line(id));
                Some(viewer)
            }
        }
    }
}
