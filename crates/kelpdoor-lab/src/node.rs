//! Stand-in media nodes on loopback sockets. They speak RTSP as in `docs/node-protocol.md` and deliver streams over the
//! links of [`crate::fluid`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use anyhow::Result;
use kelpdoor_director::{Phase, RosterNode};
use kelpdoor_rtsp::{Message, Method, Request, Response, header_names, notify_reasons, parse};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinSet};

use crate::fluid::{FluidFleet, Node, SetupDecision, Stream};
use crate::record::{Event, Recorder, now};
use crate::roster::Roster;

/// What a stand-in node is: its place in the fleet and its capacity.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub id: u32,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    /// Relative to a standard node.
    pub size: f64,
    /// Number of sessions that the node can hold.
    pub places: f64,
    /// Rate of the node's link, kB/s.
    pub link_kb: f64,
}

/// How late nodes send their notifications, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct NotificationDelays {
    /// Delay of each notification.
    pub seen_after: f64,
    /// Interval of the notifications of link load; 0 for none.
    pub told_every: f64,
    /// Further delay while a trouble `report_late` lasts.
    pub extra: f64,
}

struct Connection {
    stream: Arc<TcpStream>,
    out: mpsc::UnboundedSender<Vec<u8>>,
    task: AbortHandle,
    cseq: u32,
    /// Whether the node's share was below 98 % when it was last checked.
    was_short: bool,
}

struct Process {
    task: AbortHandle,
    conns: BTreeMap<u64, Connection>,
}

/// A notification: node, connection, session id of a stream, and header fields.
type Notification = (u32, u64, String, Fields);

type Fields = Vec<(&'static str, String)>;

struct State {
    fleet: FluidFleet,
    configs: BTreeMap<u32, NodeConfig>,
    processes: BTreeMap<u32, Process>,
    notification_delays: NotificationDelays,
    next_id: u64,
    /// Notifications to send, by time in microseconds and an id that keeps their order.
    pending: BTreeMap<(u64, u64), Notification>,
}

/// All stand-in nodes.
#[derive(Clone)]
pub struct Nodes {
    state: Arc<Mutex<State>>,
    recorder: Recorder,
    roster: Roster,
    /// Number of cold nodes that failed under too many SETUPs.
    cold_overloads: watch::Sender<u32>,
}

impl Nodes {
    /// Creates the stand-ins without any node.
    pub fn new(
        fleet: FluidFleet, notification_delays: NotificationDelays, recorder: Recorder, roster: Roster,
    ) -> Self {
        let state = State {
            fleet,
            configs: BTreeMap::new(),
            processes: BTreeMap::new(),
            notification_delays,
            next_id: 1,
            pending: BTreeMap::new(),
        };
        Nodes { state: Arc::new(Mutex::new(state)), recorder, roster, cold_overloads: watch::channel(0).0 }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Runs `act` on the model of links and nodes.
    pub fn with_fleet<T>(&self, act: impl FnOnce(&mut FluidFleet) -> T) -> T {
        act(&mut self.lock().fleet)
    }

    /// Runs `act` on the delays of notifications.
    pub fn notification_delays(&self, act: impl FnOnce(&mut NotificationDelays)) {
        act(&mut self.lock().notification_delays);
    }

    /// Number of nodes with at least one connection.
    pub fn connected_nodes(&self) -> usize {
        self.lock().processes.values().filter(|p| !p.conns.is_empty()).count()
    }

    /// Starts a node's process, cold unless `warm`, and adds it to the roster.
    pub async fn start(&self, config: &NodeConfig, warm: bool) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let t = now();
        let started = if warm { 0.0 } else { t };
        {
            let mut s = self.lock();
            let racks = s.fleet.uplinks.len();
            let node = Node {
                up: true,
                silent: false,
                draining: false,
                started: if warm { t - 1e6 } else { t },
                rack: usize::from(config.cell) % racks,
                places: config.places,
                link_kb: config.link_kb,
                link_factor: s.fleet.nodes.get(&config.id).map_or(1.0, |n| n.link_factor),
                setup_factor: 1.0,
                share: 1.0,
                setups: Default::default(),
                reported: Default::default(),
                reported_at: 0.0,
            };
            s.fleet.nodes.insert(config.id, node);
            s.configs.insert(config.id, config.clone());
            let (zone, cell) = (config.zone.clone(), config.cell);
            self.recorder.record(Event::NodeUp {
                node: config.id,
                cold: !warm,
                places: config.places,
                zone,
                cell,
            });
            let task = tokio::spawn(self.clone().serve(config.id, listener)).abort_handle();
            s.processes.insert(config.id, Process { task, conns: BTreeMap::new() });
        }
        self.roster.set_node(RosterNode {
            id: config.id,
            address,
            zone: config.zone.clone(),
            kind: config.kind.clone(),
            cell: config.cell,
            phase: Phase::Ready,
            size: config.size,
            up_since: started,
        });
        Ok(address)
    }

    /// Starts a node again, cold, with its previous configuration. Does nothing if it runs.
    pub async fn restart(&self, id: u32) -> Result<()> {
        let config = self.lock().configs.get(&id).cloned();
        match config {
            Some(config) if !self.lock().processes.contains_key(&id) => {
                self.start(&config, false).await.map(|_| ())
            }
            _ => Ok(()),
        }
    }

    /// Ends a node's process: its connections are reset and its streams end. The roster reports it after its lag.
    pub fn kill(&self, id: u32, why: &str) {
        let mut s = self.lock();
        let Some(process) = s.processes.remove(&id) else { return };
        self.recorder.record(Event::NodeDown { node: id, why: why.to_owned() });
        process.task.abort();
        for conn in process.conns.into_values() {
            let _ = conn.stream.set_zero_linger();
            conn.task.abort();
        }
        if let Some(n) = s.fleet.nodes.get_mut(&id) {
            n.up = false;
        }
        let over: Vec<String> =
            s.fleet.streams.iter().filter(|(_, x)| x.node == id).map(|(k, _)| k.clone()).collect();
        over.iter().for_each(|rtsp| self.end_stream(&mut s, rtsp));
        drop(s);
        self.roster.remove_node(id);
    }

    /// The node stops answering; its connections stay open.
    pub fn silence(&self, id: u32) {
        if let Some(n) = self.lock().fleet.nodes.get_mut(&id) {
            n.silent = true;
        }
    }

    /// Starts or ends the drain of a node.
    pub fn drain(&self, id: u32, on: bool) {
        if let Some(n) = self.lock().fleet.nodes.get_mut(&id) {
            n.draining = on;
        }
        self.roster.set_phase(id, if on { Phase::Draining } else { Phase::Ready });
    }

    /// Removes a stream and records what it got.
    fn end_stream(&self, s: &mut State, rtsp: &str) {
        if let Some(x) = s.fleet.remove(rtsp)
            && x.playing
        {
            let share = if x.asked_kb > 0.0 { x.got_kb / x.asked_kb } else { 1.0 };
            self.recorder.record(Event::Stream { node: x.node, key: x.key, seconds: x.played, share });
        }
    }

    /// Advances the links and sends notifications, until the task is dropped.
    pub async fn run(self) {
        let mut every = tokio::time::interval(Duration::from_millis(50));
        let mut load_sent_at = now();
        let mut shares_sent_at = now();
        loop {
            every.tick().await;
            let t = now();
            let mut s = self.lock();
            s.fleet.advance(t);
            if t - shares_sent_at >= 1.0 {
                shares_sent_at = t;
                self.schedule_share_notifications(&mut s, t);
            }
            if s.notification_delays.told_every > 0.0 && t - load_sent_at >= s.notification_delays.told_every
            {
                load_sent_at = t;
                self.schedule_load_notifications(&mut s, t);
            }
            let later = s.pending.split_off(&((t * 1e6) as u64, u64::MAX));
            let pending = std::mem::replace(&mut s.pending, later);
            for (node, conn, rtsp, fields) in pending.into_values() {
                self.notify(&mut s, node, conn, &rtsp, fields);
            }
        }
    }

    fn schedule(s: &mut State, t: f64, node: u32, conn: u64, rtsp: &str, fields: Fields) {
        let at = t + s.notification_delays.seen_after + s.notification_delays.extra;
        s.next_id += 1;
        let order = s.next_id;
        s.pending.insert(((at * 1e6) as u64, order), (node, conn, rtsp.to_owned(), fields));
    }

    /// One playing stream of each connection that has any at the node. A connection's notification of a node names it.
    fn one_stream_per_connection(s: &State, node: u32) -> Vec<(u64, String)> {
        let mut one = BTreeMap::new();
        for (rtsp, x) in s.fleet.streams.iter().filter(|(_, x)| x.node == node && x.playing) {
            one.entry(x.conn).or_insert_with(|| rtsp.clone());
        }
        one.into_iter().collect()
    }

    fn schedule_share_notifications(&self, s: &mut State, t: f64) {
        let shares: Vec<(u32, f64)> = s.fleet.nodes.iter().map(|(id, n)| (*id, n.share)).collect();
        for (id, share) in shares {
            for (conn, rtsp) in Self::one_stream_per_connection(s, id) {
                let c = s.processes.get_mut(&id).and_then(|p| p.conns.get_mut(&conn));
                let was = c.map(|c| std::mem::replace(&mut c.was_short, share < 0.98)).unwrap_or(false);
                if share < 0.98 || was {
                    let fields = vec![
                        (header_names::NOTIFY_REASON, notify_reasons::DELIVERY_SHARE.to_owned()),
                        (header_names::DELIVERED, format!("{share:.3}")),
                    ];
                    Self::schedule(s, t, id, conn, &rtsp, fields);
                }
            }
        }
    }

    fn schedule_load_notifications(&self, s: &mut State, t: f64) {
        let ids: Vec<u32> = s.fleet.nodes.keys().copied().collect();
        for id in ids {
            let asked = s.fleet.link_demand(id).to_string();
            for (conn, rtsp) in Self::one_stream_per_connection(s, id) {
                let fields = vec![
                    (header_names::NOTIFY_REASON, notify_reasons::LINK_LOAD.to_owned()),
                    (header_names::ASKED, asked.clone()),
                ];
                Self::schedule(s, t, id, conn, &rtsp, fields);
            }
        }
    }

    fn notify(&self, s: &mut State, node: u32, conn: u64, rtsp: &str, fields: Fields) {
        if s.fleet.nodes.get(&node).is_none_or(|n| n.silent) {
            return;
        }
        let Some(c) = s.processes.get_mut(&node).and_then(|p| p.conns.get_mut(&conn)) else { return };
        c.cseq += 1;
        let mut request = Request::new(Method::PlayNotify, format!("rtsp://node-{node}/"), c.cseq)
            .with(header_names::SESSION, rtsp);
        for (name, value) in fields {
            request.headers.append(name, value);
        }
        self.send(s, node, conn, &request.into());
    }

    fn send(&self, s: &mut State, node: u32, conn: u64, message: &Message) {
        if s.fleet.nodes.get(&node).is_none_or(|n| n.silent) {
            return;
        }
        let Some(c) = s.processes.get(&node).and_then(|p| p.conns.get(&conn)) else { return };
        let bytes = message.to_bytes();
        if self.recorder.is_enabled() {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            self.recorder.record(Event::Node { node, conn, got: false, text });
        }
        let _ = c.out.send(bytes);
    }

    async fn serve(self, node: u32, listener: TcpListener) {
        let mut tasks = JoinSet::new();
        loop {
            while tasks.try_join_next().is_some() {}
            let Ok((stream, _)) = listener.accept().await else { return };
            let _ = stream.set_nodelay(true);
            let stream = Arc::new(stream);
            let (out, mut from) = mpsc::unbounded_channel::<Vec<u8>>();
            let mut s = self.lock();
            s.next_id += 1;
            let conn = s.next_id;
            let me = self.clone();
            let shared = stream.clone();
            let task = tasks.spawn(async move {
                let reader = me.read(node, conn, &shared);
                let writer = async {
                    while let Some(bytes) = from.recv().await {
                        let mut rest = &bytes[..];
                        while !rest.is_empty() {
                            if shared.writable().await.is_err() {
                                return;
                            }
                            match shared.try_write(rest) {
                                Ok(n) => rest = &rest[n..],
                                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                                Err(_) => return,
                            }
                        }
                    }
                };
                tokio::select! { () = reader => {}, () = writer => {} }
                me.connection_closed(node, conn);
            });
            if let Some(p) = s.processes.get_mut(&node) {
                p.conns.insert(conn, Connection { stream, out, task, cseq: 0, was_short: false });
            }
            self.recorder.record(Event::NodeConn { node, conn, open: true });
        }
    }

    /// Ends the streams of a connection that its director closed.
    fn connection_closed(&self, node: u32, conn: u64) {
        let mut s = self.lock();
        if s.processes.get_mut(&node).and_then(|p| p.conns.remove(&conn)).is_none() {
            return;
        }
        self.recorder.record(Event::NodeConn { node, conn, open: false });
        let over: Vec<String> =
            s.fleet.streams.iter().filter(|(_, x)| x.conn == conn).map(|(k, _)| k.clone()).collect();
        over.iter().for_each(|rtsp| self.end_stream(&mut s, rtsp));
    }

    async fn read(&self, node: u32, conn: u64, stream: &TcpStream) {
        let mut buf = Vec::with_capacity(4096);
        loop {
            loop {
                match parse(&buf) {
                    Ok(Some((message, len))) => {
                        if self.recorder.is_enabled() {
                            let text = String::from_utf8_lossy(&buf[..len]).into_owned();
                            self.recorder.record(Event::Node { node, conn, got: true, text });
                        }
                        buf.drain(..len);
                        if let Message::Request(request) = message {
                            self.handle(node, conn, request);
                        }
                    }
                    Ok(None) => break,
                    Err(_) => return,
                }
            }
            if stream.readable().await.is_err() {
                return;
            }
            match stream.try_read_buf(&mut buf) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    fn handle(&self, node: u32, conn: u64, r: Request) {
        let t = now();
        let mut s = self.lock();
        let Some(n) = s.fleet.nodes.get(&node) else { return };
        if n.silent {
            return;
        }
        let load = n.reported.to_string();
        let answer = |status: u16| Response::new(status, r.cseq).with(header_names::LOAD_REPORT, &load);
        let by_pipeline = |s: &State| {
            let pipe = r.headers.get(header_names::PIPELINED)?;
            s.fleet.stream_by_pipeline(conn, pipe).cloned()
        };
        let by_session = |s: &State| {
            let id = r.headers.get(header_names::SESSION)?;
            s.fleet.streams.contains_key(id).then(|| id.to_owned())
        };
        match r.method {
            Method::Setup => match s.fleet.handle_setup(t, node) {
                SetupDecision::Overloaded => {
                    drop(s);
                    self.cold_overloads.send_modify(|n| *n += 1);
                    self.kill(node, "pushed over while cold");
                }
                SetupDecision::Full => {
                    let full = answer(453).with(header_names::RETRY_AFTER, 1);
                    self.send(&mut s, node, conn, &full.into());
                }
                SetupDecision::Accepted(wait) => {
                    s.next_id += 1;
                    let rtsp = format!("{node}-{}", s.next_id);
                    let get = |name| r.headers.get(name).unwrap_or("").to_owned();
                    let stream = Stream {
                        node,
                        conn,
                        pipe: get(header_names::PIPELINED),
                        key: get(header_names::REQUEST_KEY),
                        title: r.uri.rsplit('/').next().unwrap_or("").to_owned(),
                        group: get(header_names::SERVICE_GROUP),
                        rung: r.headers.parse_value(header_names::RUNG).unwrap_or(0),
                        playing: false,
                        began: t + wait,
                        played: 0.0,
                        asked_kb: 0.0,
                        got_kb: 0.0,
                    };
                    s.fleet.insert(rtsp.clone(), stream);
                    drop(s);
                    let (me, cseq) = (self.clone(), r.cseq);
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_secs_f64(wait)).await;
                        let mut s = me.lock();
                        let load =
                            s.fleet.nodes.get(&node).map(|n| n.reported.to_string()).unwrap_or_default();
                        let exists = s.fleet.streams.contains_key(&rtsp);
                        let answer = Response::new(if exists { 200 } else { 454 }, cseq);
                        let answer =
                            answer.with(header_names::SESSION, &rtsp).with(header_names::LOAD_REPORT, load);
                        me.send(&mut s, node, conn, &answer.into());
                    });
                }
            },
            Method::Play => {
                let id = by_pipeline(&s).or_else(|| by_session(&s));
                let Some(id) = id else {
                    return self.send(&mut s, node, conn, &answer(454).into());
                };
                let wait = (s.fleet.streams[&id].began - t).max(0.0);
                drop(s);
                let (me, cseq) = (self.clone(), r.cseq);
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs_f64(wait + 0.001)).await;
                    let mut s = me.lock();
                    let asked = s.fleet.link_demand(node).to_string();
                    let exists = s.fleet.streams.get_mut(&id).map(|x| x.playing = true).is_some();
                    let answer = Response::new(if exists { 200 } else { 454 }, cseq);
                    let answer = answer.with(header_names::SESSION, &id).with(header_names::ASKED, asked);
                    me.send(&mut s, node, conn, &answer.into());
                });
            }
            Method::SetParameter => {
                let rung = r.headers.parse_value(header_names::RUNG);
                let status = match (by_session(&s), rung) {
                    (Some(id), Some(rung)) => {
                        if let Some(x) = s.fleet.streams.get_mut(&id) {
                            x.rung = rung;
                        }
                        200
                    }
                    (None, _) => 454,
                    (_, None) => 451,
                };
                self.send(&mut s, node, conn, &answer(status).into());
            }
            Method::Teardown => {
                // One node in four refuses a TEARDOWN that names the pipeline of a SETUP not answered yet.
                let id = by_session(&s).or_else(|| by_pipeline(&s).filter(|_| !node.is_multiple_of(4)));
                let status = if id.is_some() { 200 } else { 454 };
                if let Some(id) = id {
                    self.end_stream(&mut s, &id);
                }
                self.send(&mut s, node, conn, &answer(status).into());
            }
            Method::Options | Method::GetParameter => self.send(&mut s, node, conn, &answer(200).into()),
            Method::PlayNotify | Method::Announce | Method::Redirect => {
                self.send(&mut s, node, conn, &answer(501).into());
            }
        }
    }
}
