//! Simulated media nodes. Each listens on one port per director, so that every message can be attributed to its sender.

use std::time::Duration;

use anyhow::{Context, Result};
use fastrand::Rng;
use kelpdoor_rtsp::{Message, Method, Request, Response, Version, parse_as};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::sleep;

use super::{NODE_CAPACITY, NodeSession, NodeState, Platform, RECORD_TOLERANCE};
use crate::record::{Event, now};

/// Commands to the task of one connection of a node.
pub enum ConnectionCommand {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Sends bytes and nothing after them; the connection stays open.
    LastBytes(Vec<u8>),
    /// Closes the connection after the bytes sent so far.
    Close,
    /// Resets the connection.
    Reset,
}

fn bytes(message: impl Into<Message>) -> Vec<u8> {
    let mut out = Vec::new();
    message.into().write_as(Version::V1, &mut out);
    out
}

impl Platform {
    fn record(&self, node: u32, conn: u64, got: bool, text: String) {
        self.recorder.record(Event::Node { node, conn, got, text });
    }

    pub(super) async fn add_node(&self, id: u32) -> Result<()> {
        let mut ports = Vec::new();
        let mut listeners = Vec::new();
        for d in 0..self.day.directors {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            ports.push(listener.local_addr()?.port());
            listeners.push((d, listener));
        }
        let state = NodeState {
            cell: id,
            phase: "up",
            born_ms: 0,
            ports,
            up: true,
            vanished: false,
            tasks: Vec::new(),
            conns: Default::default(),
            sessions: Default::default(),
            pending_releases: Vec::new(),
        };
        self.lock().nodes.insert(id, state);
        self.listen(id, listeners, false);
        self.announce_all_nodes();
        Ok(())
    }

    fn listen(&self, id: u32, listeners: Vec<(u32, TcpListener)>, cold: bool) {
        let zone = "one".to_owned();
        self.recorder.record(Event::NodeUp { node: id, cold, places: NODE_CAPACITY, zone, cell: id as u16 });
        for (d, listener) in listeners {
            let me = self.clone();
            let task = tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let me = me.clone();
                    tokio::spawn(async move { me.serve_connection(id, d, stream).await });
                }
            });
            if let Some(n) = self.lock().nodes.get_mut(&id) {
                n.tasks.push(task);
            }
        }
    }

    /// Ends the node's process: resets its connections and drops its sessions.
    pub(super) fn node_down(&self, id: u32, why: &str) {
        self.recorder.record(Event::NodeDown { node: id, why: why.to_owned() });
        let mut s = self.lock();
        let Some(n) = s.nodes.get_mut(&id) else { return };
        (n.up, n.vanished) = (false, false);
        n.tasks.drain(..).for_each(|t| t.abort());
        std::mem::take(&mut n.conns)
            .into_values()
            .for_each(|(_, to)| drop(to.send(ConnectionCommand::Reset)));
        // The node could not release these sessions; the directors have to detect the failure in time.
        let lost: Vec<String> = std::mem::take(&mut n.sessions).into_keys().collect();
        let by = now() + 8.0 + RECORD_TOLERANCE;
        lost.into_iter().for_each(|tag| {
            s.pending_ends.entry(tag).or_insert(by);
        });
    }

    pub(super) async fn node_back(&self, id: u32) -> Result<()> {
        let ports = self.lock().nodes.get(&id).context("no such node")?.ports.clone();
        let mut listeners = Vec::new();
        for (d, port) in ports.into_iter().enumerate() {
            listeners.push((d as u32, TcpListener::bind(("127.0.0.1", port)).await?));
        }
        if let Some(n) = self.lock().nodes.get_mut(&id) {
            n.up = true;
            n.born_ms = (now() * 1000.0) as u64;
        }
        self.listen(id, listeners, true);
        self.announce_node(id, "up");
        Ok(())
    }

    /// Makes the node's machine disappear: open connections stay open in silence, new ones are not answered.
    pub(super) async fn vanish(&self, id: u32) -> Result<()> {
        let ports = {
            let mut s = self.lock();
            let n = s.nodes.get_mut(&id).context("no such node")?;
            n.vanished = true;
            n.tasks.drain(..).for_each(|t| t.abort());
            let by = now() + 8.0 + RECORD_TOLERANCE;
            let lost: Vec<String> = std::mem::take(&mut n.sessions).into_keys().collect();
            let ports = n.ports.clone();
            lost.into_iter().for_each(|tag| {
                s.pending_ends.entry(tag).or_insert(by);
            });
            ports
        };
        self.recorder.record(Event::NodeDown { node: id, why: "vanished".into() });
        // A listener with a full backlog drops connection attempts.
        for port in ports {
            let me = self.clone();
            let block_port = async move {
                let socket = TcpSocket::new_v4()?;
                socket.set_reuseaddr(true)?;
                socket.bind(([127, 0, 0, 1], port).into())?;
                let listener = socket.listen(1)?;
                let mut held = Vec::new();
                for _ in 0..3 {
                    let connect = TcpStream::connect(("127.0.0.1", port));
                    if let Ok(Ok(stream)) = tokio::time::timeout(Duration::from_millis(50), connect).await {
                        held.push(stream);
                    }
                }
                while me.lock().nodes.get(&id).is_some_and(|n| n.vanished) {
                    sleep(Duration::from_millis(20)).await;
                }
                drop((listener, held));
                std::io::Result::Ok(())
            };
            tokio::spawn(block_port);
        }
        Ok(())
    }

    async fn serve_connection(self, id: u32, director: u32, stream: TcpStream) {
        let (to, out) = unbounded_channel();
        let (conn, releases) = {
            let mut s = self.lock();
            s.last_number += 1;
            let conn = s.last_number;
            let Some(n) = s.nodes.get_mut(&id) else { return };
            n.conns.insert(conn, (director, to.clone()));
            let (for_director, others) =
                std::mem::take(&mut n.pending_releases).into_iter().partition(|(d, _)| *d == director);
            n.pending_releases = others;
            let for_director: Vec<(u32, String)> = for_director;
            (conn, for_director)
        };
        let hello =
            format!("OPTIONS * RTSP/2.0\r\nCSeq: 0\r\nUser-Agent: stand-in (director {director})\r\n\r\n");
        self.record(id, conn, true, hello);
        for (_, tag) in releases {
            let _ = to.send(ConnectionCommand::Send(bytes(release(&tag, 16))));
        }
        let mut open = Vec::new();
        self.exchange_messages(id, director, conn, stream, &to, out, &mut open).await;
        if let Some(n) = self.lock().nodes.get_mut(&id) {
            n.conns.remove(&conn);
        }
        // Set-ups that were still open on the connection are over.
        for tag in open {
            self.record(
                id,
                conn,
                true,
                format!("TEARDOWN x RTSP/2.0\r\nCSeq: 0\r\nPipelined-Requests: {tag}\r\n\r\n"),
            );
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the state of one connection")]
    async fn exchange_messages(
        &self, id: u32, director: u32, conn: u64, mut stream: TcpStream,
        to: &UnboundedSender<ConnectionCommand>, mut out: UnboundedReceiver<ConnectionCommand>,
        open: &mut Vec<String>,
    ) {
        let mut buf = Vec::new();
        // After a corrupt response the connection is unusable, so nothing more is sent on it.
        let mut sending_stopped = false;
        let mut rng = Rng::new();
        loop {
            tokio::select! {
                what = out.recv() => match what {
                    Some(ConnectionCommand::Send(bytes)) => {
                        if !sending_stopped && stream.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                    Some(ConnectionCommand::LastBytes(bytes)) => {
                        sending_stopped = true;
                        if stream.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                    Some(ConnectionCommand::Reset) => {
                        let _ = stream.set_zero_linger();
                        return;
                    }
                    Some(ConnectionCommand::Close) | None => return,
                },
                read = stream.read_buf(&mut buf) => {
                    if read.is_err() || read.is_ok_and(|n| n == 0) {
                        return;
                    }
                    if self.lock().nodes.get(&id).is_none_or(|n| n.vanished || !n.up) {
                        continue;
                    }
                    loop {
                        match parse_as(Version::V1, &buf) {
                            Ok(Some((Message::Request(r), len))) => {
                                buf.drain(..len);
                                self.request(id, director, conn, r, to, open, &mut rng);
                            }
                            Ok(Some((_, len))) => drop(buf.drain(..len)),
                            Ok(None) => break,
                            Err(e) => {
                                self.add_violation(format!("node {id} received an invalid message: {e}"));
                                return;
                            }
                        }
                    }
                }
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the context of one request")]
    fn request(
        &self, id: u32, director: u32, conn: u64, r: Request, to: &UnboundedSender<ConnectionCommand>,
        open: &mut Vec<String>, rng: &mut Rng,
    ) {
        let get = |name: &str| r.headers.get(name).unwrap_or("").to_owned();
        let tag = get("Session");
        match r.method {
            Method::Setup => self.setup(id, director, conn, &r, to, open, rng),
            Method::Teardown => {
                self.record(
                    id, conn, true,
                    format!("TEARDOWN x RTSP/2.0\r\nCSeq: 0\r\nPipelined-Requests: {tag}\r\nSession: {tag}\r\n\r\n"),
                );
                open.retain(|t| *t != tag);
                let mut s = self.lock();
                let removed = s.nodes.get_mut(&id).and_then(|n| n.sessions.remove(&tag));
                drop(s);
                if removed.is_some() {
                    let _ = to.send(ConnectionCommand::Send(bytes(release(&tag, 31))));
                }
            }
            Method::SetParameter => {
                let rung = get("X-Quality");
                let text =
                    format!("SET_PARAMETER x RTSP/2.0\r\nCSeq: 0\r\nSession: {tag}\r\nRung: {rung}\r\n\r\n");
                self.record(id, conn, true, text);
            }
            _ => {}
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the context of one request")]
    fn setup(
        &self, id: u32, director: u32, conn: u64, r: &Request, to: &UnboundedSender<ConnectionCommand>,
        open: &mut Vec<String>, rng: &mut Rng,
    ) {
        let get = |name: &str| r.headers.get(name).unwrap_or("").to_owned();
        let (tag, title) = (get("Session"), r.uri.rsplit('/').next().unwrap_or("").to_owned());
        let (faults, number) = {
            let mut s = self.lock();
            s.last_number += 1;
            (s.faults, s.last_number)
        };
        if !self.lock().viewer_sessions.contains_key(&tag) {
            self.add_violation(format!("node {id} received a SETUP that no viewer requested: {tag}"));
        }
        self.record(
            id, conn, true,
            format!(
                "SETUP rtsp://media/{title} RTSP/2.0\r\nCSeq: {number}\r\nRequest-Key: {tag}\r\nService-Group: {}\r\n\
                 Pipelined-Requests: {tag}\r\nRung: {}\r\n\r\n",
                get("X-Tier"), get("X-Quality"),
            ),
        );
        open.push(tag.clone());
        let valid = bytes(Response { body: r.body.clone(), ..Response::new(200, 1).with("Session", &tag) });
        let mut draw = rng.f64();
        let mut occurs = |probability: f64| {
            let hit = (0.0..probability).contains(&draw);
            draw -= probability;
            hit
        };
        let corrupt = if occurs(faults.noise) {
            let noise: Vec<u8> = std::iter::repeat_with(|| rng.u8(1..)).take(60).collect();
            Some((noise, false))
        } else if occurs(faults.cut) {
            Some((valid[..valid.len() / 2].to_vec(), true))
        } else if occurs(faults.endless) {
            Some((
                format!(
                    "RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 3000000000\r\n\r\n{}",
                    "x".repeat(900)
                )
                .into_bytes(),
                false,
            ))
        } else if occurs(faults.never) {
            Some((Vec::new(), false))
        } else {
            None
        };
        if let Some((bytes, close)) = corrupt {
            self.lock().summary.corrupt_responses += 1;
            if close {
                let _ = to.send(ConnectionCommand::Send(bytes));
                let _ = to.send(ConnectionCommand::Close);
            } else {
                let _ = to.send(ConnectionCommand::LastBytes(bytes));
            }
            return;
        }
        let status = if occurs(faults.refused) { [453, 500, 504][rng.usize(..3)] } else { 200 };
        let (twice, foreign) = (occurs(faults.doubled), occurs(faults.foreign));
        let (me, to, wait, life) =
            (self.clone(), to.clone(), 0.01 + 0.05 * rng.f64(), self.day.life * (0.5 + rng.f64()));
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(wait)).await;
            if status != 200 {
                let shown = if status == 453 { 453 } else { 500 };
                me.record(id, conn, false, format!("RTSP/2.0 {shown} No\r\nCSeq: {number}\r\n\r\n"));
                let refusal =
                    Response::new(status, 1).with("Session", &tag).with("X-Gauges", "inflight:3;x0:0.3");
                let _ = to.send(ConnectionCommand::Send(bytes(refusal)));
                return;
            }
            if foreign {
                let other = Response {
                    body: b"not yours".to_vec(),
                    ..Response::new(200, 1).with("Session", "ffffffffffffffff")
                };
                let _ = to.send(ConnectionCommand::Send(bytes(other)));
            }
            {
                let mut s = me.lock();
                let Some(n) =
                    s.nodes.get_mut(&id).filter(|n| n.up && !n.vanished && n.conns.contains_key(&conn))
                else {
                    return;
                };
                n.sessions.insert(tag.clone(), NodeSession { director, conn });
            }
            me.record(
                id,
                conn,
                false,
                format!("RTSP/2.0 200 OK\r\nCSeq: {number}\r\nSession: {tag}\r\n\r\n"),
            );
            let play = u64::MAX / 2 + number;
            me.record(
                id,
                conn,
                true,
                format!("PLAY x RTSP/2.0\r\nCSeq: {play}\r\nPipelined-Requests: {tag}\r\n\r\n"),
            );
            me.record(id, conn, false, format!("RTSP/2.0 200 OK\r\nCSeq: {play}\r\n\r\n"));
            for _ in 0..1 + u8::from(twice) {
                let _ = to.send(ConnectionCommand::Send(valid.clone()));
            }
            sleep(Duration::from_secs_f64(life)).await;
            me.end_session(id, &tag);
        });
    }

    /// Ends a session. The release goes out on its own connection, on another one to the same director, or on the next one.
    fn end_session(&self, id: u32, tag: &str) {
        let mut s = self.lock();
        let Some(n) = s.nodes.get_mut(&id) else { return };
        let Some(session) = n.sessions.remove(tag) else { return };
        let own = n.conns.get(&session.conn);
        let to =
            own.or_else(|| n.conns.values().find(|(d, _)| *d == session.director)).map(|(_, to)| to.clone());
        let by = match &to {
            Some(_) => 1.0,
            None => 8.0,
        };
        n.pending_releases.push((session.director, tag.to_owned()));
        s.pending_ends.entry(tag.to_owned()).or_insert(now() + by + RECORD_TOLERANCE);
        drop(s);
        let conn = session.conn;
        self.record(
            id,
            conn,
            false,
            format!("PLAY_NOTIFY x RTSP/2.0\r\nNotify-Reason: end-of-stream\r\nSession: {tag}\r\n\r\n"),
        );
        if let Some(to) = to {
            let _ = to.send(ConnectionCommand::Send(bytes(release(tag, 16))));
        }
    }

    /// Reports the load of the links, every second on one session of each director.
    pub(super) async fn send_load_reports(self) {
        loop {
            sleep(Duration::from_secs(1)).await;
            let s = self.lock();
            for n in s.nodes.values().filter(|n| n.up && !n.vanished) {
                for d in 0..self.day.directors {
                    let Some((tag, session)) = n.sessions.iter().find(|(_, x)| x.director == d) else {
                        continue;
                    };
                    let own = n.conns.get(&session.conn);
                    let Some((_, to)) = own.or_else(|| n.conns.values().find(|(of, _)| *of == d)) else {
                        continue;
                    };
                    let load = 0.02 * n.sessions.len() as f64;
                    let report = Request::new(Method::Announce, "rtsp://media/note", 9)
                        .with("Session", tag)
                        .with("X-Outcome", "local")
                        .with("X-Reading", load);
                    let _ = to.send(ConnectionCommand::Send(bytes(report)));
                }
            }
        }
    }

    /// Resets random connections at the rate that the faults give, whatever is open on them.
    pub(super) async fn reset_connections(self, mut rng: Rng) {
        loop {
            sleep(Duration::from_millis(50)).await;
            let s = self.lock();
            if rng.f64() < 0.05 * s.faults.resets {
                let conns: Vec<_> = s.nodes.values().flat_map(|n| n.conns.values()).collect();
                if let Some((_, to)) = rng.choice(conns) {
                    let _ = to.send(ConnectionCommand::Reset);
                }
            }
        }
    }
}

/// The request that notifies a director of the end of a session.
fn release(tag: &str, cause: u32) -> Request {
    Request::new(Method::Teardown, "rtsp://media/over", 2)
        .with("Session", tag)
        .with("Reason", format!("cause={cause}"))
}
