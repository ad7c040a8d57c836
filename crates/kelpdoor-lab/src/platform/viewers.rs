//! Simulated viewers on the JSON lines protocol: well-behaved ones that share connections, and misbehaving ones, each on its
//! own connection.

use std::time::Duration;

use anyhow::{Result, bail};
use fastrand::Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{Instant, sleep, timeout};

use super::{Platform, ViewerSession};
use crate::record::Event;

/// Time that viewers wait for an answer, in seconds.
const SETUP_TIMEOUT: f64 = 2.0;
/// Time within which a misbehaving viewer must get a response or a close, in seconds.
const MISBEHAVIOUR_RESPONSE_TIME: f64 = 3.0;
/// Tolerance that the platform's documentation adds to every limit, in seconds.
const LIMIT_TOLERANCE: f64 = 0.05;

/// Waits until a director answers a health check.
///
/// # Errors
/// If it answers wrongly or not at all.
pub async fn wait_until_ready(port: u16) -> Result<()> {
    for _ in 0..500 {
        if let Ok(stream) = TcpStream::connect(("127.0.0.1", port)).await {
            let mut stream = BufReader::new(stream);
            stream
                .write_all(b"{\"verb\":\"ECHO\",\"tag\":\"00000000000000aa\",\"opts\":{},\"rc\":0}\n")
                .await?;
            let mut line = String::new();
            if timeout(Duration::from_secs(2), stream.read_line(&mut line))
                .await
                .is_ok_and(|n| n.is_ok_and(|n| n > 0))
            {
                let v: Value = serde_json::from_str(&line)?;
                if v["verb"] == "ECHOED" && v["rc"] == 1 {
                    return Ok(());
                }
                bail!("health check was answered with {line}");
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    bail!("no health check was answered")
}

impl Platform {
    /// Runs the well-behaved viewers of one director for the length of the day.
    pub(super) async fn run_viewers(self, director: u32, mut rng: Rng) {
        let end = Instant::now() + Duration::from_secs_f64(self.day.seconds);
        let mut conns: Vec<Option<OwnedWriteHalf>> = vec![None, None, None];
        while Instant::now() < end {
            sleep(Duration::from_secs_f64((0.5 + rng.f64()) / self.day.rate)).await;
            let (port, boot, running) = {
                let s = self.lock();
                let d = &s.directors[director as usize];
                (d.port, d.boot, d.child.is_some() && !d.ending)
            };
            if !running {
                conns.iter_mut().for_each(|c| *c = None);
                continue;
            }
            let k = rng.usize(..conns.len());
            if conns[k].is_none() {
                let Ok(stream) = TcpStream::connect(("127.0.0.1", port)).await else { continue };
                let (read, write) = stream.into_split();
                conns[k] = Some(write);
                let me = self.clone();
                tokio::spawn(async move {
                    let mut lines = BufReader::new(read).lines();
                    while let Ok(Some(line)) = lines.next_line().await {
                        me.handle_response(director, boot, &line);
                    }
                });
            }
            let tag = format!("{:016x}", rng.u64(1 << 60..u64::MAX >> 2));
            let class = ["lecture", "paid", "clip"][rng.usize(..3)];
            let home = rng.u32(..self.day.nodes);
            let text = json!({"verb": "START", "tag": tag, "blob": format!("offer {tag}\r\n"), "opts": {"class": class,
                "left": format!("{}", SETUP_TIMEOUT * 1000.0), "key": format!("{:016x}", rng.u8(..4)),
                "extras": format!("home:{home};copies:{};top:3", 3.min(self.day.nodes))}});
            let session = ViewerSession { director, boot, answered: false, over: false, left: false };
            {
                let mut s = self.lock();
                s.viewer_sessions.insert(tag.clone(), session);
                s.summary.started += 1;
            }
            let start = json!({"type": "start", "key": tag, "group": class, "setup_timeout": SETUP_TIMEOUT + LIMIT_TOLERANCE});
            self.recorder.record(Event::Player {
                player: 0,
                director,
                boot,
                got: false,
                text: start.to_string(),
            });
            let leaving = self.lock().faults.leaving;
            if rng.f64() < leaving {
                // A leaving viewer has its own connection, which ends with it.
                let (me, how, after) = (self.clone(), rng.u8(..3), 0.3 * rng.f64());
                tokio::spawn(async move {
                    me.request_and_leave(port, &format!("{text}\n"), &tag, how, after).await
                });
                continue;
            }
            let Some(conn) = &mut conns[k] else { continue };
            if conn.write_all(format!("{text}\n").as_bytes()).await.is_err() {
                conns[k] = None;
            }
        }
        // The connections stay open for outstanding answers and session ends.
        sleep(Duration::from_secs_f64(SETUP_TIMEOUT + self.day.life * 1.5)).await;
        drop(conns);
    }

    /// Requests a session and leaves soon: with a message, a close or a reset. Responses until then are not read, so none are
    /// required.
    async fn request_and_leave(self, port: u16, start: &str, tag: &str, how: u8, after: f64) {
        let stream = async {
            let mut stream = TcpStream::connect(("127.0.0.1", port)).await?;
            stream.write_all(start.as_bytes()).await?;
            std::io::Result::Ok(stream)
        };
        let Ok(mut stream) = stream.await else {
            self.lock().viewer_sessions.remove(tag);
            return;
        };
        sleep(Duration::from_secs_f64(after)).await;
        if how == 0 {
            let finish = json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": 16}).to_string() + "\n";
            let _ = stream.write_all(finish.as_bytes()).await;
        } else if how == 1 {
            let _ = stream.set_zero_linger();
        }
        let interrupted = self.lock().viewer_sessions.get_mut(tag).map(|w| {
            w.left = true;
            (w.director, w.boot)
        });
        let Some((director, boot)) = interrupted else { return };
        let text = json!({"type": "leave", "key": tag}).to_string();
        self.recorder.record(Event::Player { player: 0, director, boot, got: false, text });
        if how == 0 {
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn handle_response(&self, director: u32, boot: u32, line: &str) {
        let v: Value = serde_json::from_str(line).unwrap_or_default();
        let tag = v["tag"].as_str().unwrap_or("").to_owned();
        let mut s = self.lock();
        let known = s.viewer_sessions.get_mut(&tag).filter(|w| (w.director, w.boot) == (director, boot));
        let Some(w) = known else {
            return s.summary.violations.push(format!("message about an unknown session: {line}"));
        };
        let kind = match (v["verb"].as_str().unwrap_or(""), v["rc"].as_u64()) {
            ("STARTED", _) => "playing",
            ("FINISH", Some(34 | 42 | 102)) => "busy",
            ("FINISH", _) => "failed",
            _ => return,
        };
        if w.left {
            // The end of its session may arrive on any connection.
            s.pending_ends.remove(&tag);
            return;
        }
        if w.answered {
            if kind == "failed" && !w.over {
                w.over = true;
                s.pending_ends.remove(&tag);
                s.summary.ends += 1;
                return;
            }
            return s.summary.violations.push(format!("second answer: {line}"));
        }
        w.answered = true;
        w.over = kind != "playing";
        match kind {
            "playing" => s.summary.served += 1,
            "busy" => s.summary.refused += 1,
            _ => s.summary.failed += 1,
        }
        if kind == "playing" && v["blob"] != json!(format!("offer {tag}\r\n")) {
            s.summary.violations.push(format!("description differs from the node's: {line}"));
        }
        drop(s);
        let text = json!({"type": kind, "key": tag}).to_string();
        self.recorder.record(Event::Player { player: 0, director, boot, got: true, text });
    }

    /// Starts misbehaving viewers at the rate that the faults give, and checks the outcome of each.
    pub(super) async fn run_misbehaving_viewers(self, mut rng: Rng) {
        loop {
            sleep(Duration::from_millis(50)).await;
            let rate = self.lock().faults.rude;
            if rng.f64() >= 0.05 * rate {
                continue;
            }
            let d = rng.u32(..self.day.directors);
            let port = {
                let s = self.lock();
                let d = &s.directors[d as usize];
                (d.child.is_some() && !d.ending).then_some((d.port, d.boot))
            };
            let Some((port, boot)) = port else { continue };
            let (me, kind) = (self.clone(), rng.u8(..9));
            tokio::spawn(async move {
                let response = misbehave(port, kind).await;
                let mut s = me.lock();
                s.summary.misbehaving_viewers += 1;
                let running = s.directors[d as usize].boot == boot && !s.directors[d as usize].ending;
                match response {
                    Ok(text) if text.contains("STARTED") => {
                        s.summary
                            .violations
                            .push(format!("misbehaving viewer (kind {kind}) was served: {text}"));
                    }
                    Ok(_) => {}
                    Err(_) if !running => {}
                    Err(e) => s
                        .summary
                        .violations
                        .push(format!("misbehaving viewer (kind {kind}) got no response: {e}")),
                }
            });
        }
    }
}

/// Sends one kind of invalid input and returns what came back; a close or reset returns an empty string.
///
/// # Errors
/// If the director neither responds nor closes in time.
async fn misbehave(port: u16, kind: u8) -> Result<String> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).await?;
    let start = |tag: &str, class: &str, left: &str, extras: &str| {
        json!({"verb": "START", "tag": tag, "blob": "", "opts": {"class": class, "left": left, "key": "00", "extras": extras}})
            .to_string()
            + "\n"
    };
    let tag = format!("{:016x}", fastrand::u64(1 << 62..1 << 63));
    let bytes = match kind {
        0 => "{\"verb\":\"STA".to_owned(),
        1 => "x".repeat(400_000),
        2 => start(&tag, "no-such-class", "2000", "home:0;copies:3;top:3"),
        3 => start(&tag, "lecture", "-5", "home:0;copies:3;top:3"),
        4 => start(&tag, "lecture", "2000", "home:9999;copies:3;top:3"),
        5 => start("", "lecture", "2000", "home:0;copies:3;top:3"),
        6 => "\u{1}\u{2}nonsense\n".repeat(50),
        7 => start(&tag, "lecture", "2000", "home:0;copies:3;top:77"),
        _ => String::new(),
    };
    let (mut read, mut write) = stream.split();
    let send = async {
        let _ = write.write_all(bytes.as_bytes()).await;
        std::future::pending::<()>().await;
    };
    let mut buf = vec![0; 4096];
    let receive = timeout(Duration::from_secs_f64(MISBEHAVIOUR_RESPONSE_TIME), read.read(&mut buf));
    tokio::select! {
        received = receive => match received {
            // A close or a reset counts as a response too.
            Ok(Ok(n)) => Ok(String::from_utf8_lossy(&buf[..n]).into_owned()),
            Ok(Err(_)) => Ok(String::new()),
            Err(_) => bail!("no response within {MISBEHAVIOUR_RESPONSE_TIME} s"),
        },
        () = send => bail!("sending ended unexpectedly"),
    }
}
