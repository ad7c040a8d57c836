//! Media nodes: each listens for each director at a port of its own, so that who sent what is known.

use std::time::Duration;

use anyhow::{Context, Result};
use fastrand::Rng;
use kelpdoor_rtsp::{Message, Method, Request, Response, Version, parse_as};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::sleep;

use super::{NodeState, PLACES, Platform, SLACK, Stand};
use crate::record::{Event, now};

/// What a node's connection is told.
pub enum Out {
    Bytes(Vec<u8>),
    /// The last that comes on this connection, which stays open.
    Spoilt(Vec<u8>),
    /// Ends after what was written.
    Close,
    Reset,
}

fn bytes(message: impl Into<Message>) -> Vec<u8> {
    let mut out = Vec::new();
    message.into().write_as(Version::V1, &mut out);
    out
}

impl Platform {
    fn put(&self, node: u32, conn: u64, got: bool, text: String) {
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
            stands: Default::default(),
            owed: Vec::new(),
        };
        self.lock().nodes.insert(id, state);
        self.listen(id, listeners, false);
        self.tell_all();
        Ok(())
    }

    fn listen(&self, id: u32, listeners: Vec<(u32, TcpListener)>, cold: bool) {
        let zone = "one".to_owned();
        self.recorder.record(Event::NodeUp { node: id, cold, places: PLACES, zone, cell: id as u16 });
        for (d, listener) in listeners {
            let me = self.clone();
            let task = tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let me = me.clone();
                    tokio::spawn(async move { me.connection(id, d, stream).await });
                }
            });
            if let Some(n) = self.lock().nodes.get_mut(&id) {
                n.tasks.push(task);
            }
        }
    }

    /// The process is gone: connections are reset, sessions cut.
    pub(super) fn node_down(&self, id: u32, why: &str) {
        self.recorder.record(Event::NodeDown { node: id, why: why.to_owned() });
        let mut s = self.lock();
        let Some(n) = s.nodes.get_mut(&id) else { return };
        (n.up, n.vanished) = (false, false);
        n.tasks.drain(..).for_each(|t| t.abort());
        std::mem::take(&mut n.conns).into_values().for_each(|(_, to)| drop(to.send(Out::Reset)));
        // No release could be sent.
        let cut: Vec<String> = std::mem::take(&mut n.stands).into_keys().collect();
        let by = now() + 8.0 + SLACK;
        cut.into_iter().for_each(|tag| {
            s.owed.entry(tag).or_insert(by);
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
        self.tell(id, "up");
        Ok(())
    }

    /// The machine vanishes: what is open stays so and is quiet, nothing new comes up.
    pub(super) async fn vanish(&self, id: u32) -> Result<()> {
        let ports = {
            let mut s = self.lock();
            let n = s.nodes.get_mut(&id).context("no such node")?;
            n.vanished = true;
            n.tasks.drain(..).for_each(|t| t.abort());
            let by = now() + 8.0 + SLACK;
            let cut: Vec<String> = std::mem::take(&mut n.stands).into_keys().collect();
            let ports = n.ports.clone();
            cut.into_iter().for_each(|tag| {
                s.owed.entry(tag).or_insert(by);
            });
            ports
        };
        self.recorder.record(Event::NodeDown { node: id, why: "vanished".into() });
        // A full backlog drops what asks for a connection.
        for port in ports {
            let me = self.clone();
            let full = async move {
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
            tokio::spawn(full);
        }
        Ok(())
    }

    async fn connection(self, id: u32, director: u32, stream: TcpStream) {
        let (to, out) = unbounded_channel();
        let (conn, owed) = {
            let mut s = self.lock();
            s.next += 1;
            let conn = s.next;
            let Some(n) = s.nodes.get_mut(&id) else { return };
            n.conns.insert(conn, (director, to.clone()));
            let (mine, others) = std::mem::take(&mut n.owed).into_iter().partition(|(d, _)| *d == director);
            n.owed = others;
            let mine: Vec<(u32, String)> = mine;
            (conn, mine)
        };
        let hello =
            format!("OPTIONS * RTSP/2.0\r\nCSeq: 0\r\nUser-Agent: stand-in (director {director})\r\n\r\n");
        self.put(id, conn, true, hello);
        for (_, tag) in owed {
            let _ = to.send(Out::Bytes(bytes(release(&tag, 16))));
        }
        let mut open = Vec::new();
        self.talk(id, director, conn, stream, &to, out, &mut open).await;
        if let Some(n) = self.lock().nodes.get_mut(&id) {
            n.conns.remove(&conn);
        }
        // The set-ups open on it are given up.
        for tag in open {
            self.put(
                id,
                conn,
                true,
                format!("TEARDOWN x RTSP/2.0\r\nCSeq: 0\r\nPipelined-Requests: {tag}\r\n\r\n"),
            );
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one connection's whole state")]
    async fn talk(
        &self, id: u32, director: u32, conn: u64, mut stream: TcpStream, to: &UnboundedSender<Out>,
        mut out: UnboundedReceiver<Out>, open: &mut Vec<String>,
    ) {
        let mut buf = Vec::new();
        // A connection with a spoilt answer on it is of no further use.
        let mut spoilt = false;
        let mut rng = Rng::new();
        loop {
            tokio::select! {
                what = out.recv() => match what {
                    Some(Out::Bytes(bytes)) => {
                        if !spoilt && stream.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                    Some(Out::Spoilt(bytes)) => {
                        spoilt = true;
                        if stream.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                    Some(Out::Reset) => {
                        let _ = stream.set_zero_linger();
                        return;
                    }
                    Some(Out::Close) | None => return,
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
                                self.wrong(format!("node {id} got what it cannot read: {e}"));
                                return;
                            }
                        }
                    }
                }
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one request's whole surroundings")]
    fn request(
        &self, id: u32, director: u32, conn: u64, r: Request, to: &UnboundedSender<Out>,
        open: &mut Vec<String>, rng: &mut Rng,
    ) {
        let get = |name: &str| r.headers.get(name).unwrap_or("").to_owned();
        let tag = get("Session");
        match r.method {
            Method::Setup => self.setup(id, director, conn, &r, to, open, rng),
            Method::Teardown => {
                self.put(
                    id, conn, true,
                    format!("TEARDOWN x RTSP/2.0\r\nCSeq: 0\r\nPipelined-Requests: {tag}\r\nSession: {tag}\r\n\r\n"),
                );
                open.retain(|t| *t != tag);
                let mut s = self.lock();
                let stood = s.nodes.get_mut(&id).and_then(|n| n.stands.remove(&tag));
                drop(s);
                if stood.is_some() {
                    let _ = to.send(Out::Bytes(bytes(release(&tag, 31))));
                }
            }
            Method::SetParameter => {
                let rung = get("X-Quality");
                let text =
                    format!("SET_PARAMETER x RTSP/2.0\r\nCSeq: 0\r\nSession: {tag}\r\nRung: {rung}\r\n\r\n");
                self.put(id, conn, true, text);
            }
            _ => {}
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one request's whole surroundings")]
    fn setup(
        &self, id: u32, director: u32, conn: u64, r: &Request, to: &UnboundedSender<Out>,
        open: &mut Vec<String>, rng: &mut Rng,
    ) {
        let get = |name: &str| r.headers.get(name).unwrap_or("").to_owned();
        let (tag, title) = (get("Session"), r.uri.rsplit('/').next().unwrap_or("").to_owned());
        let (faults, number) = {
            let mut s = self.lock();
            s.next += 1;
            (s.faults, s.next)
        };
        if !self.lock().waits.contains_key(&tag) {
            self.wrong(format!("node {id} got a SETUP that no viewer sent: {tag}"));
        }
        self.put(
            id, conn, true,
            format!(
                "SETUP rtsp://media/{title} RTSP/2.0\r\nCSeq: {number}\r\nRequest-Key: {tag}\r\nService-Group: {}\r\n\
                 Pipelined-Requests: {tag}\r\nRung: {}\r\n\r\n",
                get("X-Tier"), get("X-Quality"),
            ),
        );
        open.push(tag.clone());
        let good = bytes(Response { body: r.body.clone(), ..Response::new(200, 1).with("Session", &tag) });
        let mut draw = rng.f64();
        let mut falls = |part: f64| {
            let hit = (0.0..part).contains(&draw);
            draw -= part;
            hit
        };
        let bad = if falls(faults.noise) {
            let noise: Vec<u8> = std::iter::repeat_with(|| rng.u8(1..)).take(60).collect();
            Some((noise, false))
        } else if falls(faults.cut) {
            Some((good[..good.len() / 2].to_vec(), true))
        } else if falls(faults.endless) {
            Some((
                format!(
                    "RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 3000000000\r\n\r\n{}",
                    "x".repeat(900)
                )
                .into_bytes(),
                false,
            ))
        } else if falls(faults.never) {
            Some((Vec::new(), false))
        } else {
            None
        };
        if let Some((part, close)) = bad {
            self.lock().told.spoilt += 1;
            if close {
                let _ = to.send(Out::Bytes(part));
                let _ = to.send(Out::Close);
            } else {
                let _ = to.send(Out::Spoilt(part));
            }
            return;
        }
        let status = if falls(faults.refused) { [453, 500, 504][rng.usize(..3)] } else { 200 };
        let (twice, foreign) = (falls(faults.doubled), falls(faults.foreign));
        let (me, to, wait, life) =
            (self.clone(), to.clone(), 0.01 + 0.05 * rng.f64(), self.day.life * (0.5 + rng.f64()));
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(wait)).await;
            if status != 200 {
                let shown = if status == 453 { 453 } else { 500 };
                me.put(id, conn, false, format!("RTSP/2.0 {shown} No\r\nCSeq: {number}\r\n\r\n"));
                let refusal =
                    Response::new(status, 1).with("Session", &tag).with("X-Gauges", "inflight:3;x0:0.3");
                let _ = to.send(Out::Bytes(bytes(refusal)));
                return;
            }
            if foreign {
                let other = Response {
                    body: b"not yours".to_vec(),
                    ..Response::new(200, 1).with("Session", "ffffffffffffffff")
                };
                let _ = to.send(Out::Bytes(bytes(other)));
            }
            {
                let mut s = me.lock();
                let Some(n) =
                    s.nodes.get_mut(&id).filter(|n| n.up && !n.vanished && n.conns.contains_key(&conn))
                else {
                    return;
                };
                n.stands.insert(tag.clone(), Stand { director, conn });
            }
            me.put(id, conn, false, format!("RTSP/2.0 200 OK\r\nCSeq: {number}\r\nSession: {tag}\r\n\r\n"));
            let play = u64::MAX / 2 + number;
            me.put(
                id,
                conn,
                true,
                format!("PLAY x RTSP/2.0\r\nCSeq: {play}\r\nPipelined-Requests: {tag}\r\n\r\n"),
            );
            me.put(id, conn, false, format!("RTSP/2.0 200 OK\r\nCSeq: {play}\r\n\r\n"));
            for _ in 0..1 + u8::from(twice) {
                let _ = to.send(Out::Bytes(good.clone()));
            }
            sleep(Duration::from_secs_f64(life)).await;
            me.over(id, &tag);
        });
    }

    /// A session came to its end: released on its connection, or on any that is open, or on the next.
    fn over(&self, id: u32, tag: &str) {
        let mut s = self.lock();
        let Some(n) = s.nodes.get_mut(&id) else { return };
        let Some(stand) = n.stands.remove(tag) else { return };
        let own = n.conns.get(&stand.conn);
        let to =
            own.or_else(|| n.conns.values().find(|(d, _)| *d == stand.director)).map(|(_, to)| to.clone());
        let by = match &to {
            Some(_) => 1.0,
            None => 8.0,
        };
        n.owed.push((stand.director, tag.to_owned()));
        s.owed.entry(tag.to_owned()).or_insert(now() + by + SLACK);
        drop(s);
        let conn = stand.conn;
        self.put(
            id,
            conn,
            false,
            format!("PLAY_NOTIFY x RTSP/2.0\r\nNotify-Reason: end-of-stream\r\nSession: {tag}\r\n\r\n"),
        );
        if let Some(to) = to {
            let _ = to.send(Out::Bytes(bytes(release(tag, 16))));
        }
    }

    /// How full links are, told each second on one session of each director.
    pub(super) async fn notes(self) {
        loop {
            sleep(Duration::from_secs(1)).await;
            let s = self.lock();
            for n in s.nodes.values().filter(|n| n.up && !n.vanished) {
                for d in 0..self.day.directors {
                    let Some((tag, stand)) = n.stands.iter().find(|(_, x)| x.director == d) else { continue };
                    let own = n.conns.get(&stand.conn);
                    let Some((_, to)) = own.or_else(|| n.conns.values().find(|(of, _)| *of == d)) else {
                        continue;
                    };
                    let asked = 0.02 * n.stands.len() as f64;
                    let note = Request::new(Method::Announce, "rtsp://media/note", 9)
                        .with("Session", tag)
                        .with("X-Outcome", "local")
                        .with("X-Reading", asked);
                    let _ = to.send(Out::Bytes(bytes(note)));
                }
            }
        }
    }

    /// Connections are reset now and then, whatever is open on them.
    pub(super) async fn resets(self, mut rng: Rng) {
        loop {
            sleep(Duration::from_millis(50)).await;
            let s = self.lock();
            if rng.f64() < 0.05 * s.faults.resets {
                let conns: Vec<_> = s.nodes.values().flat_map(|n| n.conns.values()).collect();
                if let Some((_, to)) = rng.choice(conns) {
                    let _ = to.send(Out::Reset);
                }
            }
        }
    }
}

fn release(tag: &str, cause: u32) -> Request {
    Request::new(Method::Teardown, "rtsp://media/over", 2)
        .with("Session", tag)
        .with("Reason", format!("cause={cause}"))
}
