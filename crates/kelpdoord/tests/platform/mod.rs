//! The program on its platform, on real connections: media nodes, a change log and viewers that the test plays by hand. The
//! order of what lies in the program's sockets is made by a gate: the process is stopped, what is to lie there is written,
//! and it goes on. Nothing is decided by waiting for a while; every wait is for something, and bounded.

#![allow(dead_code, reason = "each test file uses its part")]

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

/// Whatever is waited for comes within this, or the test fails.
const PATIENCE: Duration = Duration::from_secs(10);

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sessions from here on are answered by nodes without being told; those of fences from twice as far.
pub const FENCE: u64 = 1 << 40;

/// What a node's connection did.
#[derive(Debug)]
pub enum Got {
    Up,
    Said(Message),
    Closed,
}

#[derive(Debug)]
pub struct Heard {
    pub node: usize,
    pub conn: usize,
    pub got: Got,
}

/// A SETUP that reached a node.
#[derive(Clone, Debug)]
pub struct Setup {
    pub node: usize,
    pub conn: usize,
    pub id: u64,
}

struct Node {
    address: SocketAddr,
    /// Connections that came, each as long as the test keeps it.
    conns: Arc<Mutex<Vec<Option<TcpStream>>>>,
    /// Holds newcomers off: nobody takes connections from the listener, whose line is full.
    held: Option<(TcpListener, Vec<TcpStream>)>,
}

#[derive(Default)]
struct FeedState {
    events: Vec<String>,
    /// Streams that opened so far, and what each asked to hear from.
    asked: Vec<u64>,
    /// Streams opened before this one say nothing more.
    mute_below: usize,
    /// New streams are closed at once.
    down: bool,
    /// Streams opened before this one write these bytes and are closed.
    break_below: usize,
    last_words: Vec<u8>,
}

/// The change log.
#[derive(Clone)]
pub struct Feed {
    pub address: SocketAddr,
    state: Arc<(Mutex<FeedState>, Condvar)>,
}

impl Feed {
    pub fn new() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let feed = Feed { address: listener.local_addr().expect("bound"), state: Arc::default() };
        let me = feed.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let me = me.clone();
                std::thread::spawn(move || me.stream(stream));
            }
        });
        feed
    }

    fn change(&self, f: impl FnOnce(&mut FeedState)) {
        f(&mut lock(&self.state.0));
        self.state.1.notify_all();
    }

    fn stream(&self, mut stream: TcpStream) -> Option<()> {
        let mut head = String::new();
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let last = head
            .lines()
            .find_map(|l| l.to_ascii_lowercase().strip_prefix("last-event-id:")?.trim().parse().ok());
        let mut from: u64 = last?;
        let mut said = false;
        let mut number = 0;
        self.change(|s| {
            s.asked.push(from);
            number = s.asked.len();
        });
        loop {
            let mut text = Vec::new();
            {
                let s = lock(&self.state.0);
                if s.down {
                    return None;
                }
                if !said {
                    text.extend_from_slice(
                        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
                    );
                    said = true;
                }
                if number <= s.break_below {
                    text.extend_from_slice(&s.last_words);
                    let _ = stream.write_all(&text);
                    return None;
                }
                if number > s.mute_below {
                    for (n, event) in (1u64..).zip(&s.events).filter(|(n, _)| *n > from) {
                        text.extend_from_slice(format!("id: {n}\ndata: {event}\n\n").as_bytes());
                    }
                    from = from.max(s.events.len() as u64);
                    text.extend_from_slice(b": still here\n");
                }
            }
            if stream.write_all(&text).is_err() {
                return None;
            }
            let s = lock(&self.state.0);
            let _ = self.state.1.wait_timeout(s, Duration::from_millis(300));
        }
    }

    /// Tells something of hosts, as lines of JSON.
    pub fn tell(&self, hosts: &[Value]) {
        self.change(|s| {
            let n = s.events.len() + 1;
            s.events.push(json!({"seq": n, "fleet": {"seq": n, "whole": false, "hosts": hosts}}).to_string());
        });
    }

    /// What is open stays so, and is silent.
    pub fn mute(&self) {
        self.change(|s| s.mute_below = s.asked.len());
    }

    pub fn down(&self, down: bool) {
        self.change(|s| s.down = down);
    }

    /// Every open stream breaks off after these bytes.
    pub fn break_off(&self, words: &[u8]) {
        self.change(|s| {
            s.break_below = s.asked.len();
            s.last_words = words.to_vec();
        });
    }

    /// Waits until so many streams were opened, and tells from which number each asked.
    pub fn asked(&self, times: usize) -> Vec<u64> {
        let (state, changed) = &*self.state;
        let s = lock(state);
        let (s, _) = changed
            .wait_timeout_while(s, PATIENCE, |s| s.asked.len() < times)
            .unwrap_or_else(PoisonError::into_inner);
        assert!(s.asked.len() >= times, "the change log was asked {} times, not {times}", s.asked.len());
        s.asked.clone()
    }
}

/// One director with its nodes.
pub struct Stage {
    nodes: Vec<Node>,
    heard: Receiver<Heard>,
    to: Sender<Heard>,
    pub seen: Vec<Setup>,
    /// Of them, those that nobody asked for yet.
    news: Vec<Setup>,
    torn_news: Vec<(usize, u64)>,
    fences: u64,
    /// Releases and set-ups given up that reached nodes.
    pub torn: Vec<(usize, u64)>,
    pub feed: Feed,
    child: Child,
    pub port: u16,
    log: Arc<Mutex<String>>,
    file: PathBuf,
    config: Value,
}

/// What the settings are, to be changed by a test.
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
        // No pace to speak of: a director that just started takes its nodes for cold.
        "rules": {"coldFrom": 0.9, "drainGraceMs": 300.0, "fallMs": 0.0, "tipMultiple": 4.0, "warmWithinMs": 1000.0},
        "specifics": {"cells": nodes, "highestRung": [4, 4, 4], "levelWorth": [0.2, 0.42, 0.62, 0.82, 1.0],
            "linkUnitKb": 1_908_000.0, "lowestRung": [0, 0, 0], "placesByKind": [2000.0], "rackKb": 20_000_000.0, "racks": 1,
            "ratesKb": [120.0, 221.0, 405.0, 744.0, 1365.0], "scaleByClass": [1.0, 1.0, 1.0], "seenAfterMs": 300.0,
            "switchCostS": 0.8, "toldEveryMs": 0.0},
    })
}

pub fn host(n: usize, address: SocketAddr, health: &str) -> Value {
    json!({"host": format!("s-{n}"), "dial": address.to_string(), "site": "one", "class": "box", "block": n, "health": health,
        "share": 1, "born_ms": 0})
}

/// The program to test: this build's, or another's, to see a test fail there.
fn program() -> String {
    std::env::var("KELPDOORD").unwrap_or_else(|_| env!("CARGO_BIN_EXE_kelpdoord").to_owned())
}

impl Stage {
    pub fn new(nodes: usize) -> Self {
        Self::with(nodes, 256, |_| {})
    }

    /// A director that knows so many nodes and has so many descriptors, its settings changed.
    pub fn with(nodes: usize, sockets: u64, change: impl FnOnce(&mut Value)) -> Self {
        let mut settings = settings(nodes);
        change(&mut settings);
        Self::started(nodes, sockets, &[], &settings, Feed::new())
    }

    /// No connection to the nodes named comes up before [`let_in`](Self::let_in).
    pub fn held(nodes: usize, held: &[usize]) -> Self {
        Self::started(nodes, 256, held, &settings(nodes), Feed::new())
    }

    pub fn started(nodes: usize, sockets: u64, held: &[usize], settings: &Value, feed: Feed) -> Self {
        let (to, heard) = channel();
        let mut all = Vec::new();
        for n in 0..nodes {
            if held.contains(&n) {
                all.push(full());
                continue;
            }
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
            let node =
                Node { address: listener.local_addr().expect("bound"), conns: Arc::default(), held: None };
            listen(n, listener, node.conns.clone(), to.clone());
            all.push(node);
        }
        let hosts: Vec<Value> = all.iter().enumerate().map(|(n, node)| host(n, node.address, "up")).collect();
        feed.tell(&hosts);
        let first: Value = serde_json::from_str(&lock(&feed.state.0).events[0]).expect("JSON");
        let port =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr()).expect("a port").port();
        let config = json!({"name": "n0", "listen": format!("127.0.0.1:{port}"), "seed": "7", "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}, "changelog": feed.address.to_string(),
            "known": {"seq": 1, "results": [first]}});
        let file = std::env::temp_dir().join(format!("kelpdoord-{}-{port}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("a place for it");
        let (child, log) = run(&file);
        Stage {
            nodes: all,
            heard,
            to,
            seen: Vec::new(),
            news: Vec::new(),
            torn_news: Vec::new(),
            fences: 0,
            torn: Vec::new(),
            feed,
            child,
            port,
            log,
            file,
            config,
        }
    }

    /// Killed, and started again with what it knew first.
    pub fn start_again(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        (self.child, self.log) = run(&self.file);
    }

    pub fn log(&self) -> String {
        lock(&self.log).clone()
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(i32::try_from(self.child.id()).expect("a process id"))
    }

    pub fn signal(&self, signal: Signal) {
        kill(self.pid(), signal).expect("the process is there");
    }

    /// Does something while the process stands still, so that it finds all of it at once.
    pub fn while_stopped<R>(&mut self, f: impl FnOnce(&mut Self) -> R) -> R {
        self.signal(Signal::SIGSTOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        let began = Instant::now();
        loop {
            let text = std::fs::read_to_string(&stat).expect("the process is there");
            if text.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T')) {
                break;
            }
            assert!(began.elapsed() < PATIENCE, "it does not stop");
            std::thread::yield_now();
        }
        let r = f(self);
        self.signal(Signal::SIGCONT);
        r
    }

    /// Lets time go by that the protocol counts, as a viewer's.
    pub fn age(ms: u64) {
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

    /// The change log moves; the old one goes on until it is told otherwise.
    pub fn move_feed(&mut self, to: &Feed) {
        self.config["changelog"] = json!(to.address.to_string());
        std::fs::write(&self.file, self.config.to_string()).expect("written");
    }

    fn take(&mut self, heard: &Heard) {
        let Got::Said(Message::Request(r)) = &heard.got else { return };
        let Some(id) = id_of(&r.headers) else { return };
        match r.method {
            Method::Setup => {
                let setup = Setup { node: heard.node, conn: heard.conn, id };
                self.seen.push(setup.clone());
                self.news.push(setup);
            }
            Method::Teardown => {
                self.torn.push((heard.node, id));
                self.torn_news.push((heard.node, id));
            }
            _ => {}
        }
    }

    pub fn wait(&mut self, what: &str, mut until: impl FnMut(&Heard) -> bool) -> Heard {
        let end = Instant::now() + PATIENCE;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let heard =
                self.heard.recv_timeout(left).unwrap_or_else(|_| panic!("{what}: not seen\n{}", self.log()));
            self.take(&heard);
            if until(&heard) {
                return heard;
            }
        }
    }

    /// The next SETUP of a session.
    pub fn setup_of(&mut self, id: u64) -> Setup {
        loop {
            if let Some(at) = self.news.iter().position(|s| s.id == id) {
                return self.news.remove(at);
            }
            self.wait(&format!("a SETUP of {id}"), |h| matches!(h.got, Got::Said(_)));
        }
    }

    /// The node of the next release or giving up of a session.
    pub fn torn_of(&mut self, id: u64) -> usize {
        loop {
            if let Some(at) = self.torn_news.iter().position(|t| t.1 == id) {
                return self.torn_news.remove(at).0;
            }
            self.wait(&format!("a TEARDOWN of {id}"), |h| matches!(h.got, Got::Said(_)));
        }
    }

    pub fn setups_of(&self, id: u64) -> usize {
        self.seen.iter().filter(|s| s.id == id).count()
    }

    /// Bytes on a node's connection.
    pub fn write(&self, node: usize, conn: usize, bytes: &[u8]) {
        if let Some(Some(stream)) = lock(&self.nodes[node].conns).get_mut(conn) {
            let _ = stream.write_all(bytes);
        }
    }

    pub fn serves(&self, s: &Setup) {
        self.write(s.node, s.conn, &answer(s.id, 200));
    }

    pub fn refuses(&self, s: &Setup, status: u16) {
        self.write(s.node, s.conn, &answer(s.id, status));
    }

    /// The session has come to its end.
    pub fn ends(&self, s: &Setup) {
        self.write(s.node, s.conn, &release(s.id, 16));
    }

    /// A node closes a connection, with a reset or with an end.
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

    /// Connections come up again, those that were held off too.
    pub fn let_in(&mut self, node: usize) {
        let (listener, waiting) = self.nodes[node].held.take().expect("it was held");
        for _ in 0..waiting.len() {
            drop(listener.accept());
        }
        drop(waiting);
        listen(node, listener, self.nodes[node].conns.clone(), self.to.clone());
    }

    /// Where a node is told to be now, and in which state.
    pub fn line(&self, node: usize, health: &str) -> Value {
        host(node, self.nodes[node].address, health)
    }

    /// A new node listens where another did.
    pub fn replace(&mut self, old: usize) -> usize {
        let (conns, held) = (Arc::default(), self.nodes[old].held.take());
        self.nodes.push(Node { address: self.nodes[old].address, conns, held });
        self.nodes.len() - 1
    }

    /// Plays a usual session through, as a fence: what was to happen before it has happened by then. Its node answers by
    /// itself; where the director refuses it for now it is asked for again.
    pub fn fence(&mut self) {
        let mut viewer = self.viewer();
        for _ in 0..200 {
            self.fences += 1;
            let id = 2 * FENCE + self.fences;
            viewer.start_anywhere(id, "open", self.nodes.len());
            let v = viewer.about(id).expect("an answer");
            if v["verb"] == "STARTED" {
                break;
            }
            assert_eq!(v["rc"], 42, "{v}");
            Self::age(50);
        }
        while let Ok(heard) = self.heard.recv_timeout(Duration::from_millis(30)) {
            self.take(&heard);
        }
    }

    /// Waits for the process to end.
    pub fn ended(&mut self) -> ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(began.elapsed() < PATIENCE, "it does not end\n{}", self.log());
            std::thread::park_timeout(Duration::from_millis(2));
        }
    }

    pub fn is_over(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn run(file: &PathBuf) -> (Child, Arc<Mutex<String>>) {
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
    let (kept, said) = (log.clone(), child.stderr.take().expect("piped"));
    let (up, started) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(said).lines().map_while(Result::ok) {
            if line.contains("started") {
                let _ = up.send(());
            }
            let mut log = lock(&kept);
            log.push_str(&line);
            log.push('\n');
        }
    });
    started.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("it does not start: {}", lock(&log)));
    (child, log)
}

/// A node whose line of newcomers is full: the system passes over what asks for a connection, and asks again by itself.
fn full() -> Node {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    socket.listen(0).expect("listens");
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().expect("bound");
    let mut waiting = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(60)) {
        waiting.push(stream);
        assert!(waiting.len() < 8, "its line is never full");
    }
    Node { address, conns: Arc::default(), held: Some((listener, waiting)) }
}

fn listen(node: usize, listener: TcpListener, conns: Arc<Mutex<Vec<Option<TcpStream>>>>, to: Sender<Heard>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(reading) = stream.try_clone() else { return };
            let conn = {
                let mut conns = lock(&conns);
                conns.push(Some(stream));
                conns.len() - 1
            };
            let to = to.clone();
            std::thread::spawn(move || read_node(node, conn, reading, &to));
        }
    });
}

fn read_node(node: usize, conn: usize, mut stream: TcpStream, to: &Sender<Heard>) {
    let _ = to.send(Heard { node, conn, got: Got::Up });
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
                && let Some(id) = id_of(&r.headers).filter(|id| *id >= FENCE)
            {
                let _ = stream.write_all(&answer(id, 200));
            }
            let _ = to.send(Heard { node, conn, got: Got::Said(message) });
        }
    }
    drop(stream);
    let _ = to.send(Heard { node, conn, got: Got::Closed });
}

fn id_of(headers: &Headers) -> Option<u64> {
    u64::from_str_radix(headers.get("Session")?, 16).ok()
}

pub fn tag(id: u64) -> String {
    format!("{id:016x}")
}

fn bytes(message: impl Into<Message>) -> Vec<u8> {
    let mut out = Vec::new();
    message.into().write_as(Version::V1, &mut out);
    out
}

/// A node's release of a session.
pub fn release(id: u64, cause: u32) -> Vec<u8> {
    let release = Request::new(Method::Teardown, "rtsp://media/over", 2);
    bytes(release.with("Session", tag(id)).with("Reason", format!("cause={cause}")))
}

/// A node's answer to a SETUP.
pub fn answer(id: u64, status: u16) -> Vec<u8> {
    let mut r = Response::new(status, 1).with("Session", tag(id));
    if status == 200 {
        r.body = format!("answer {id}").into_bytes();
    }
    bytes(r)
}

pub fn start_line(id: u64, class: &str, left: u64) -> String {
    start_with(id, class, left, "v=0")
}

pub fn start_with(id: u64, class: &str, left: u64, blob: &str) -> String {
    json!({"verb": "START", "tag": tag(id), "blob": blob, "opts": {"class": class, "left": left.to_string(), "key": "7f3a9c21e0b4d655",
        "extras": "home:0;copies:1000;top:4"}})
    .to_string()
    .replace("copies:1000", "copies:1")
        + "\n"
}

pub fn finish_line(id: u64) -> String {
    json!({"verb": "FINISH", "tag": tag(id), "opts": {}, "rc": 16}).to_string() + "\n"
}

/// A viewers' connection.
pub struct Viewer {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// What came and was not asked for yet, by session.
    kept: BTreeMap<u64, Vec<Value>>,
    pub cells: usize,
}

/// How a viewer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Going {
    Close,
    Reset,
    HalfClose,
    Finish,
}

impl Going {
    pub const ALL: [Going; 4] = [Going::Close, Going::Reset, Going::HalfClose, Going::Finish];
}

impl Viewer {
    pub fn new(port: u16) -> Self {
        Self::of(TcpStream::connect((Ipv4Addr::LOCALHOST, port)).expect("a connection"))
    }

    pub fn of(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream.set_nodelay(true).expect("set");
        let reader = BufReader::new(stream.try_clone().expect("the same"));
        Viewer { stream, reader, kept: BTreeMap::new(), cells: 1 }
    }

    /// A viewer that takes little before it reads.
    pub fn narrow(port: u16) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(1024).expect("set");
        socket.connect(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into()).expect("a connection");
        Self::of(socket.into())
    }

    pub fn say(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("it takes it");
    }

    /// As [`say`](Self::say), where the other end may have closed.
    pub fn try_say(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    pub fn start(&mut self, id: u64, class: &str) {
        self.say(&start_line(id, class, 4000));
    }

    /// Any node will do, of as many.
    pub fn start_anywhere(&mut self, id: u64, class: &str, nodes: usize) {
        self.say(&start_line(id, class, 4000).replace("copies:1", &format!("copies:{nodes}")));
    }

    /// Passes two tests. An answer to a test is written before what the same round decides, so after the second all that
    /// was decided before the first was read has been carried out.
    pub fn echo(&mut self) {
        for _ in 0..2 {
            self.say("{\"verb\":\"ECHO\",\"tag\":\"00000000000000aa\",\"opts\":{},\"rc\":0}\n");
            assert_eq!(self.about(0xaa).map(|v| v["verb"].clone()), Some(json!("ECHOED")));
        }
    }

    fn line(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(serde_json::from_str(&line).expect("JSON")),
        }
    }

    /// The next word about a session; `None` if the connection ends without one.
    pub fn about(&mut self, id: u64) -> Option<Value> {
        loop {
            if let Some(kept) = self.kept.get_mut(&id).filter(|k| !k.is_empty()) {
                return Some(kept.remove(0));
            }
            let v = self.line()?;
            let of = u64::from_str_radix(v["tag"].as_str().unwrap_or(""), 16).unwrap_or(0);
            self.kept.entry(of).or_default().push(v);
        }
    }

    pub fn served(&mut self, id: u64) {
        let v = self.about(id).unwrap_or_else(|| panic!("{id} was not answered"));
        assert_eq!(
            (v["verb"].as_str(), v["blob"].as_str()),
            (Some("STARTED"), Some(&*format!("answer {id}"))),
            "{v}"
        );
    }

    /// The cause of a session's refusal, failure or end.
    pub fn finished(&mut self, id: u64) -> u64 {
        let v = self.about(id).unwrap_or_else(|| panic!("{id} was not answered"));
        assert_eq!(v["verb"], "FINISH", "{v}");
        v["rc"].as_u64().unwrap_or(0)
    }

    /// Whether the director closes the connection without another word.
    pub fn closed(&mut self) -> bool {
        self.line().is_none()
    }

    pub fn go(self, how: Going, id: u64) -> Option<Viewer> {
        let mut me = self;
        match how {
            Going::Close => None,
            Going::Reset => {
                SockRef::from(&me.stream).set_linger(Some(Duration::ZERO)).expect("set");
                None
            }
            Going::HalfClose => {
                me.stream.shutdown(Shutdown::Write).expect("open");
                Some(me)
            }
            Going::Finish => {
                me.say(&finish_line(id));
                Some(me)
            }
        }
    }
}
